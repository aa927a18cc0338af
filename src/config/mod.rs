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
pub use folder::read_declarations;
pub use intent::Intent;
pub use plan::{Change, Plan, PlanSource, apply_plan, make_plan};
pub use root::{Piece, Record, Rollout, Root, digest, pieces};
pub use route::{KeyHolder, Limits, Pool, Regions, RetryPolicy, Route, Table, WeightedService};
pub use snapshot::{Allowed, Snapshot};
