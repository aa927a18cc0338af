//! Units and identifiers: every quantity and name has a type of its own.

mod digest;
pub mod hash;
mod id;
mod position;
mod quantity;
mod time;

pub use digest::{Digest, digest};
pub use id::{
    DataCentre, Incarnation, Kind, Model, ParseError, Region, RequestId, Revision, Server, Service,
    Target, Version, Vm, Workspace,
};
pub use position::{Era, Position};
pub use quantity::{Cost, Millicores, Rate, Size, TrafficShare};
pub use time::{Date, Moment, Span};
