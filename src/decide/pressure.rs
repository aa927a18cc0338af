//! How long requests wait at the backend servers of a service, measured by the answers of late.

use crate::unit::{Moment, Span};

/// Weight of an answer falls to a third in this time: long enough for some answers of one VM, short
/// enough to follow a burst.
const MEMORY: Span = Span::millis(800);

/// Answers' worth of belief that nothing waits, before any was seen: little, so that what is believed
/// does not depend on how many requests a VM serves.
const PRIOR: f64 = 0.2;

/// A wait counts as at most this many goals, so that one stuck request does not speak for all.
const LONGEST: f64 = 2.0;

/// Waits of answers of late, as parts of their goals.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pressure {
    waited: f64,
    answers: f64,
    at: Moment,
}

impl Pressure {
    /// Notes that a request waited so long, beside its own reading.
    pub fn record(&mut self, waited: Span, goal: Span, now: Moment) {
        let kept = self.kept(now);
        let part = waited.0 as f64 / goal.0.max(1) as f64;
        self.waited = self.waited * kept + part.min(LONGEST);
        self.answers = self.answers * kept + 1.0;
        self.at = now;
    }

    /// The mean wait as a part of the goal; it fades while nothing is heard.
    pub fn level(&self, now: Moment) -> f64 {
        let kept = self.kept(now);
        self.waited * kept / (self.answers * kept + PRIOR)
    }

    fn kept(&self, now: Moment) -> f64 {
        (-(now.since(self.at).0 as f64) / MEMORY.0 as f64).exp()
    }
}
