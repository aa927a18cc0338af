//! Watching: decision records, the burn report, counters.

mod burn;
pub mod line;
mod metrics;
pub mod name;
mod trace;

pub use burn::{Burn, Slice, WINDOWS, show};
pub use metrics::Metrics;
pub use trace::{Trace, Traces};
