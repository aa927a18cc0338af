//! Work that waits at a backend server: prompts that are yet to be read, in time.

use crate::unit::{Moment, Span};

/// Part of this VM's own unread prompts that certainly waits; the first may be half read.
const SURE: f64 = 0.5;

/// Work that was sent to one server and not done yet. It shrinks as time passes, but not below
/// what this VM itself still waits for: a server that is slow or silent keeps its work.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backlog {
    left: Span,
    at: Moment,
    /// Reading of prompts that this VM sent and of which it has no first event.
    own: Span,
}

impl Backlog {
    /// Adds work that was just sent, by this VM or another.
    pub fn add(&mut self, work: Span, now: Moment) {
        self.left = Span(self.expected(now).0 + work.0);
        self.at = now;
    }

    /// This VM waits for the first event of a prompt.
    pub fn add_own(&mut self, work: Span) {
        self.own = Span(self.own.0 + work.0);
    }

    /// It came, or nobody waits for it any more.
    pub fn remove_own(&mut self, work: Span) {
        self.own = Span(self.own.0.saturating_sub(work.0));
    }

    /// What is left of it.
    pub fn remaining(&self, now: Moment) -> Span {
        self.expected(now).max(Span((self.own.0 as f64 * SURE) as u64))
    }

    /// What would be left of it if the server had done its work at the usual pace, and none was its own
    /// fault.
    pub fn expected(&self, now: Moment) -> Span {
        Span(self.left.0.saturating_sub(now.since(self.at).0))
    }
}
