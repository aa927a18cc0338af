//! Stand-ins for external systems: object store, model engine, plain service, rating service.

pub mod engine;
mod packet_filter;
pub mod platform;
pub mod rating;
pub mod replica;
pub mod room;
mod server;
pub mod service;
mod text;

pub use server::{Instance, launch};
pub use text::{Completion, complete, digest};
