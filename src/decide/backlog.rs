//! Queued work of a backend server: the prefill time of prompts that it has not read yet.

use crate::unit::{Moment, Span};

/// Fraction of this VM's own unread prompts that is certainly left; the first one may be half read.
const MIN_UNREAD_FRACTION: f64 = 0.5;

/// Work that was sent to one server and is not done yet. It shrinks as time passes, but not below
/// the work that this VM itself still waits for: a slow or silent server keeps its backlog.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backlog {
    work_at_update: Span,
    updated_at: Moment,
    /// Prefill time of prompts that this VM sent and that have no first event yet.
    own_unread: Span,
}

impl Backlog {
    /// Adds work that this or another VM just sent.
    pub fn add(&mut self, work: Span, now: Moment) {
        self.work_at_update = Span(self.expected_remaining(now).0 + work.0);
        self.updated_at = now;
    }

    /// Adds a prompt of this VM to those that have no first event yet.
    pub fn add_own(&mut self, work: Span) {
        self.own_unread = Span(self.own_unread.0 + work.0);
    }

    /// Removes a prompt of this VM, because its first event arrived or nobody waits for it any
    /// more.
    pub fn remove_own(&mut self, work: Span) {
        self.own_unread = Span(self.own_unread.0.saturating_sub(work.0));
    }

    /// Returns the work that is left.
    pub fn remaining(&self, now: Moment) -> Span {
        self.expected_remaining(now)
            .max(Span((self.own_unread.0 as f64 * MIN_UNREAD_FRACTION) as u64))
    }

    /// Returns the work that would be left if the server had worked at the usual speed, without
    /// delays of its own.
    pub fn expected_remaining(&self, now: Moment) -> Span {
        Span(self.work_at_update.0.saturating_sub(now.since(self.updated_at).0))
    }
}
