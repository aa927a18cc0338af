//! kitepulley: a model-aware router for model versions and cascades.
//!
//! Every entry VM runs the same binary. `decide` holds the routing decisions as pure functions and
//! `vm` the state and tasks of one VM. VMs share state through `peer` (messages between VMs) and
//! `platform` (the object store). `entry` serves callers; `engine` sends requests to model engines.

pub mod chart;
pub mod cli;
pub mod client;
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
