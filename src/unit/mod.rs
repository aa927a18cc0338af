//! Units and identifiers: each quantity and name has its own type.

mod digest;
pub mod hash;
mod id;
mod position;
mod quantity;
mod time;

pub use digest::{Digest, digest};
pub use id::{
    DataCentre, Fence, Incarnation, Kind, Model, ParseError, Region, RequestId, Revision, Server,
    Service, Target, Version, Vm, Window, Workspace,
};
pub use position::{Era, Position};
pub use quantity::{Cost, Millicores, Rate, Size, TrafficShare};
pub use time::{Date, Moment, Span};
