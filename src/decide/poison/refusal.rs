//! How long the refusal of a request waits after servers broke off their responses to it.
//!
//! A caller may repeat a refused request at once and at any VM. If servers crashed under the
//! request, the other VMs must know of the crashes by then, or the repeat crashes more of them.

use super::Topology;
use crate::unit::{Moment, Span};

/// Longest wait of a refusal: the time within which callers are to get the first token of a
/// response. Other VMs that do not acknowledge a crash report for that long are stopped, overloaded
/// or unreachable.
pub const MAX_REFUSAL_WAIT: Span = Span::millis(1400);

/// Time before the deadline of a request at which its refusal is sent at the latest.
const REFUSAL_MARGIN: Span = Span::millis(30);

/// Progress of the check of a server that broke off its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckProgress {
    /// The server has neither accepted nor refused a connection yet.
    Connecting,
    /// The server accepted a connection, so it probably runs.
    Accepted,
    /// The result is recorded, and the other VMs are being informed of a crash.
    Recorded,
    /// The check is complete. If the server crashed, the other VMs know of the crash.
    Complete,
}

impl CheckProgress {
    /// Returns true if the result of the check is recorded.
    pub fn has_result(self) -> bool {
        matches!(self, CheckProgress::Recorded | CheckProgress::Complete)
    }

    /// Returns true if a refusal does not wait for this check any longer. `is_suspect` is true if
    /// other evidence against the content of the request exists.
    ///
    /// A process that is about to end may still accept a connection. For a suspect the refusal
    /// waits until that is ruled out; other requests are refused at once.
    pub fn allows_refusal(self, is_suspect: bool) -> bool {
        match self {
            CheckProgress::Connecting | CheckProgress::Recorded => false,
            CheckProgress::Accepted => !is_suspect,
            CheckProgress::Complete => true,
        }
    }
}

/// Returns how many of the VMs that get a crash report must have received it before a request is
/// refused. Where they forward what they get, most of them are enough: a VM that none of its reports
/// reaches delays no refusal.
pub fn required_deliveries(topology: Topology, recipients: usize) -> usize {
    match topology {
        Topology::Direct => recipients,
        Topology::Gossip => recipients.min(recipients / 2 + 1),
    }
}

/// Returns the longest time that a refusal may wait for checks from `now` on.
pub fn max_wait(deadline: Moment, now: Moment) -> Span {
    let left = Span(deadline.since(now).0.saturating_sub(REFUSAL_MARGIN.0));
    left.min(MAX_REFUSAL_WAIT)
}
