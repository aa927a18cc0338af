//! VMs among themselves: who is there, what revision is in force, evidence; and the links.

mod gossip;
mod link;
mod member;
mod ring;
pub mod wire;

pub use gossip::{Gossip, Outgoing, START_LEASE, Seed};
pub use link::{Incoming, Links};
pub use member::{Member, State};
pub use ring::{neighbours, rendezvous_order};
