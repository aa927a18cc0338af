//! Communication between VMs: membership, distribution of the configuration and of evidence, and
//! the connections that carry the messages.

pub mod delivery;
mod gossip;
mod link;
mod member;
mod ring;
pub mod stall;
pub mod stream;
pub mod tunnel;
pub mod wire;

pub use gossip::{Gossip, Outgoing, START_LEASE, Seed};
pub use link::{Incoming, Links};
pub use member::{Member, State};
pub use ring::{neighbours, rendezvous_order};
