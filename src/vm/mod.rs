//! One entry VM: its shared state, and the tasks that keep it.

mod bills;
mod claims;
mod clock;
mod control;
mod duty;
mod errand;
mod fleet;
pub mod poison;
mod ratings;
mod run;
mod settings;
mod spread;
mod state;

pub use clock::{Clock, Reading};
pub use errand::{Asked, Errand};
pub use fleet::{Fleet, Group, Picked};
pub use ratings::{Subject, Waiting};
pub use run::{Handle, start};
pub use settings::{Secret, SessionKeys, Settings};
pub use spread::{ROOT, fetch, piece_key};
pub use state::Vm;
