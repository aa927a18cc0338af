//! Adapter to the platform: clients of its object store, its duties and its rating service, and the
//! decoding of its headers, objects and settings file into types of this program.

pub mod client;
pub mod duty;
pub mod header;
pub mod listing;
pub mod object;
pub mod path;
mod rating;
mod request;
pub mod settings;
mod store;

pub use rating::RatingClient;
pub use store::{Object, Store, WriteOutcome};
