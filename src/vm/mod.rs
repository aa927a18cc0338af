//! One entry VM, a router process: its shared state and its background tasks.
//!
//! Worker threads serve callers. A single *control thread* does the rest: gossip with other VMs,
//! reads and writes of the platform's store, bills, and the duties of the VM. Workers send it
//! [`Command`]s. *Evidence* are the counters of requests and ratings that VMs merge by gossip.

mod bills;
mod claims;
mod clock;
mod command;
mod config_watch;
mod control;
mod duty;
mod fleet;
pub mod poison;
mod ratings;
mod run;
mod settings;
pub mod stall;
mod state;

pub use clock::{Clock, Reading};
pub use command::{Command, KeyUse};
pub use config_watch::{ROOT_KEY, fetch_snapshot, piece_key};
pub use fleet::{Fleet, Group, SelectedServer};
pub use ratings::{PendingSample, PendingSamples};
pub use run::{Handle, start};
pub use settings::{Secret, SessionKeys, Settings};
pub use state::Vm;
