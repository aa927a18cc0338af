//! Detects that a process stood still: it was stopped, or got no processor time.
//!
//! What other VMs sent meanwhile is unread when the process continues, and callers' requests may be
//! handled first.

use crate::unit::{Moment, Span};

/// Interval at which a process calls [`Detector::observe`] at least.
pub const CHECK_INTERVAL: Span = Span::millis(100);

/// Minimum delay of a check that counts as a stall. Shorter than the wait of a refusal for other
/// VMs ([`MAX_REFUSAL_WAIT`](super::poison::refusal::MAX_REFUSAL_WAIT)), so that a VM which a
/// refusal did not wait for any longer notices its stall.
const MIN_STALL: Span = Span::millis(200);

/// Detects stalls of one process by the time between calls.
#[derive(Clone, Copy, Debug)]
pub struct Detector {
    last_observed: Moment,
}

impl Detector {
    /// Creates the detector of a process that runs since `now`.
    pub fn new(now: Moment) -> Detector {
        Detector { last_observed: now }
    }

    /// Records that the process runs. Returns the time since the last call if the process stood
    /// still in between.
    pub fn observe(&mut self, now: Moment) -> Option<Span> {
        let since = now.since(std::mem::replace(&mut self.last_observed, now));
        (since >= CHECK_INTERVAL + MIN_STALL).then_some(since)
    }
}
