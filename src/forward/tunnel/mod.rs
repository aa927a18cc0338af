//! Tunnels to backend servers through other VMs, for a VM that has lost its own links to them.
//!
//! The VM that took a request from its caller selects the server, and does all that belongs to the
//! request; the other VM, its *helper*, only relays the bytes of the connection. Limits, retries,
//! quarantines and usage are therefore counted once, at the first VM.

mod client;
mod helpers;
mod relay;

pub use client::{check_process, open};
pub use helpers::{find_helper, has_helper, release, run};
pub use relay::withdraw;
