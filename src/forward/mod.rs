//! An entry VM on the users' platform: requests are forwarded to backend servers unchanged, and
//! what must be agreed lies in the platform's store. `docs/PLATFORM.md` has the design.

pub mod attempt;
pub mod bounded;
pub mod call;
pub mod choice;
pub mod connection;
pub mod content;
mod crash;
mod door;
pub mod drive;
pub mod event;
pub mod feed;
pub mod follow;
mod follower;
pub mod job;
pub mod kept;
pub mod known;
pub mod learn;
mod metrics;
pub mod pack;
mod pause;
pub mod peer;
pub mod poison;
pub mod pool;
mod proof;
pub mod reader;
mod relay;
pub mod replica;
mod roster;
mod run;
mod said;
pub mod server;
pub mod session;
mod settings;
mod steps;
pub mod tally;
pub mod trial;
mod vm;
pub mod wake;
mod watched;
mod word;

pub use run::run;
pub use settings::{Bounds, Settings};
pub use vm::Vm;
