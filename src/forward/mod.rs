//! An entry VM on the platform: forwards requests to backend servers unchanged and keeps what all
//! VMs must agree on in the platform's store. `docs/PLATFORM.md` has the design.
//!
//! Terms of this module:
//!
//! - Reader: a VM that reads the store itself. Follower: a VM that polls another VM for updates.
//! - Group: the VMs of one data centre, or all VMs in a full mesh. VMs of a group are ranked by CPU
//!   quota and name. Usually the first of the first group reads the store, the firsts of the other
//!   groups follow it, and all others follow the first of their group.
//! - Full mesh: so few VMs that each sends its messages to all others. If there are more VMs, each
//!   sends to its neighbours on a ring.
//! - Proof: a linearizable read of the store that shows that the configuration is the newest. Its
//!   age counts from when the read was sent.
//! - Era: counter of the store that rises when it is restored from a backup. A position is an era
//!   and a revision within it.
//! - Incarnation: one lifetime of a backend server's process.
//! - Lapsed: said of an entry that may have expired only because the store was unavailable.
//! - Cold: said of a server that has started recently and accepts few requests per second.
//! - Brittle: said of a server that fails if it has to reject too many requests in a second. A place
//!   is the right of a VM to have one request at such a server.
//! - Tunnel: connection to a server through another VM, the helper, which relays its bytes.
//! - Trial: comparison of a service's old and new version while a rollout runs.
//! - Content: what a request asks for, identified by a digest; see [`content`].
//! - Duty: calls to the platform that one VM at a time makes for the fleet, under a lease.
//! - Evacuation: an order to send no more requests to the servers of a data centre.

mod announce;
pub mod apply;
pub mod attempt;
mod backoff;
pub mod call;
pub mod connection;
pub mod connectivity;
pub mod content;
mod crash;
mod delivery;
pub mod dispatch;
mod duty;
pub mod era;
mod events;
pub mod feed;
mod follower;
pub mod job;
pub mod kind;
mod lending;
mod listener;
mod liveness;
mod membership;
mod message;
mod metrics;
pub mod pack;
mod path;
pub mod peer;
pub mod pinned_sessions;
mod places;
pub mod poison;
pub mod poll;
pub mod pool;
pub mod positions;
pub mod proof;
pub mod rate_limit;
pub mod read_budget;
mod relay;
pub mod replica;
pub mod restore;
pub mod role;
mod rollout_attempt;
pub mod rollout_counts;
mod rollout_steps;
pub mod rollout_trial;
mod run;
pub mod selection;
pub mod server;
pub mod server_index;
pub mod session;
mod settings;
pub mod sse;
pub mod stall;
pub mod store_watch;
pub mod suspension;
mod tunnel;
pub mod usage;
mod vm;

pub use run::run;
pub use settings::{Bounds, Duties, Settings};
pub use vm::Vm;
