//! Watching: decision records, the burn report, counters.

mod burn;
pub mod label;
pub mod log;
mod metrics;
mod trace;

pub use burn::{BurnTracker, ObjectiveCounts, WINDOWS, burn_table};
pub use metrics::Metrics;
pub use trace::{Trace, TraceLog};
