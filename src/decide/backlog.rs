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

/// Time to read a token that nothing is known of, in microseconds; a mid-sized model's.
const FIRST_PACE: f64 = 16.0;

/// Prompts shorter than this say more of the way there than of the reading.
const TELLING: u64 = 400;

/// Weight of a time shorter than thought, and of a longer one: waiting only lengthens times, so
/// short ones tell more.
const SHORTER: f64 = 0.3;
const LONGER: f64 = 0.03;

/// Time that a model takes to read a token, learned from answers.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    micros: f64,
}

impl Default for Pace {
    fn default() -> Pace {
        Pace { micros: FIRST_PACE }
    }
}

impl Pace {
    /// Notes the time to the first event of a prompt of which so many tokens had to be read.
    pub fn note(&mut self, tokens: u64, time: Span) {
        if tokens < TELLING {
            return;
        }
        let seen = time.0 as f64 / tokens as f64;
        let weight = if seen < self.micros { SHORTER } else { LONGER };
        self.micros += weight * (seen - self.micros);
    }

    /// Time to read so many tokens.
    pub fn time(&self, tokens: u64) -> Span {
        Span((tokens as f64 * self.micros) as u64)
    }
}
