//! Clients of the platform: object API, list of VMs, rating service.

mod rating;
mod store;

pub use rating::Ratings;
pub use store::{Object, Store, Written};
