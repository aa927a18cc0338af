//! Clients of the platform: object API, list of VMs, rating service.

pub mod client;
pub mod header;
pub mod object;
mod rating;
pub mod settings;
mod store;

pub use rating::RatingClient;
pub use store::{Object, Store, WriteOutcome};
