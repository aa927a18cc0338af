//! Recording what callers, VMs, back ends and the store did, and judging the promises from it.

mod check;
mod event;
mod sink;

pub use check::{Report, Verdict, judge, read};
pub use event::{Event, Line, Ran};
pub use sink::Sink;
