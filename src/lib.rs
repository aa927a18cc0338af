//! kitepulley: a model-aware router for versions and cascades.
//!
//! Every entry VM runs the same binary. `decide` holds the decisions as pure functions; `vm` keeps
//! one VM's state and tasks; `peer` and `platform` are the two ways to agree and to share;
//! `entry` and `engine` are the doors towards callers and back ends.

pub mod chart;
pub mod cli;
pub mod command;
pub mod config;
pub mod decide;
pub mod demo;
pub mod engine;
pub mod entry;
pub mod error;
pub mod evidence;
pub mod experiment;
pub mod forward;
pub mod history;
pub mod ledger;
pub mod once;
pub mod operator;
pub mod options;
pub mod peer;
pub mod platform;
pub mod standin;
pub mod unit;
pub mod vm;
pub mod watch;

pub use command::run;
