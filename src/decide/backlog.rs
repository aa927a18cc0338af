//! Estimate of the queued work of a backend server: the prefill time of prompts that the server has
//! not read yet.

use crate::unit::{Moment, Span};

/// Fraction of the prefill time of this VM's own unread prompts that is counted as left at least;
/// the server may have read half of the first prompt.
const MIN_UNREAD_FRACTION: f64 = 0.5;

/// Work that VMs sent to one server and that is not done yet. The estimate shrinks as time passes,
/// but not below the work that this VM itself still waits for: a slow or silent server keeps its
/// backlog.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backlog {
    /// Work that was left at `updated_at`.
    work_at_update: Span,
    updated_at: Moment,
    /// Prefill time of prompts that this VM sent and that have no first event yet.
    own_unread: Span,
}

impl Backlog {
    /// Adds the prefill time of a prompt that this or another VM just sent.
    pub fn add(&mut self, work: Span, now: Moment) {
        self.work_at_update = Span(self.expected_remaining(now).0 + work.0);
        self.updated_at = now;
    }

    /// Adds the prefill time of a prompt of this VM, whose response has no first event yet.
    pub fn add_own(&mut self, work: Span) {
        self.own_unread = Span(self.own_unread.0 + work.0);
    }

    /// Removes the prefill time of a prompt of this VM, because the first event of its response
    /// arrived or its caller no longer waits.
    pub fn remove_own(&mut self, work: Span) {
        self.own_unread = Span(self.own_unread.0.saturating_sub(work.0));
    }

    /// Returns the estimated work that is left at the server.
    pub fn remaining(&self, now: Moment) -> Span {
        self.expected_remaining(now)
            .max(Span((self.own_unread.0 as f64 * MIN_UNREAD_FRACTION) as u64))
    }

    /// Returns the work that is left if the server works at the usual speed. It may be too low for
    /// a slow server; [`Backlog::remaining`] corrects that.
    pub fn expected_remaining(&self, now: Moment) -> Span {
        Span(self.work_at_update.0.saturating_sub(now.since(self.updated_at).0))
    }
}
