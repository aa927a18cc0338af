//! Demo: runs stand-ins, VMs and callers in one process over real sockets, injects faults and
//! checks the recorded history.

mod caller;
mod client;
mod cluster;
mod fault;
mod node;
mod scenario;
mod work;

pub use client::{Answer, Client};
pub use cluster::{Cluster, Shape, apply, apply_intent, settings, workspace_key};
pub use fault::{ALL as ALL_FAULTS, Fault};
pub use node::Node;
pub use scenario::{Outcome, Scenario, run};
