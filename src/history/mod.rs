//! Histories: recorded events of callers, VMs, backend servers and the store, and a checker that
//! verifies the promises of the system from them.

mod check;
mod event;
mod sink;

pub use check::{Report, Verdict, judge, read};
pub use event::{Event, Line, Ran};
pub use sink::Sink;
