//! One entry VM: its shared state and its background tasks.

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
mod state;

pub use clock::{Clock, Reading};
pub use command::{Command, KeyUse};
pub use config_watch::{ROOT_KEY, fetch_snapshot, piece_key};
pub use fleet::{Fleet, Group, SelectedServer};
pub use ratings::{PendingSample, PendingSamples};
pub use run::{Handle, start};
pub use settings::{Secret, SessionKeys, Settings};
pub use state::Vm;
