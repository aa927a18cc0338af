//! The demo: stand-ins, VMs and callers in one process, real sockets, faults, and a verdict.

mod caller;
mod client;
mod fault;
mod node;
mod scenario;
mod work;
mod world;

pub use client::{Answer, Client};
pub use fault::{ALL as ALL_FAULTS, Fault};
pub use node::Node;
pub use scenario::{Outcome, Scenario, run};
pub use world::{Shape, World, apply, intend, key, settings};
