//! Observability: log lines, metrics, decision records and the error-budget report.

mod burn;
pub mod label;
pub mod log;
mod metrics;
mod trace;

pub use burn::{BurnTracker, ObjectiveCounts, WINDOWS, burn_table};
pub use metrics::Metrics;
pub use trace::{Trace, TraceLog};
