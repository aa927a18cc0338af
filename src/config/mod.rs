//! The configuration: declarations, the revision in force, and plans that change it.

mod check;
mod declaration;
mod folder;
mod intent;
mod plan;
mod root;
mod route;
mod snapshot;

pub use check::check;
pub use declaration::{
    Cascade, Declarations, ModelEntry, Objective, ServerEntry, ServerKind, ServiceEntry,
    VersionEntry, WorkspaceEntry,
};
pub use folder::read;
pub use intent::Intent;
pub use plan::{Change, Plan, Wish, apply, make};
pub use root::{Piece, Record, Rollout, Root, digest, pieces};
pub use route::{Holder, Limits, Part, Pool, Regions, Repeat, Route, Table};
pub use snapshot::{Allowed, Snapshot};
