//! Work that waits at a backend server: prompts that are yet to be read, in time.

use crate::unit::{Moment, Span};

/// Work that was sent to one server and not done yet; it shrinks as time passes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backlog {
    left: Span,
    at: Moment,
}

impl Backlog {
    /// Adds work that was just sent.
    pub fn add(&mut self, work: Span, now: Moment) {
        self.left = Span(self.left(now).0 + work.0);
        self.at = now;
    }

    /// What is left of it.
    pub fn left(&self, now: Moment) -> Span {
        Span(self.left.0.saturating_sub(now.since(self.at).0))
    }
}
