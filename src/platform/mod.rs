//! Clients of the platform: object API, list of VMs, rating service.

pub mod header;
pub mod object;
pub mod objects;
mod rating;
pub mod settings;
mod store;

pub use rating::Ratings;
pub use store::{Object, Store, Written};
