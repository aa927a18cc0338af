//! Places at brittle servers: requests that wait for one, and loans between VMs. The decisions are in
//! [`crate::decide::server_limit`].

mod event;
pub mod lending;
mod queue;

pub use event::Event;
pub use queue::{PlaceQueue, Waiting};
