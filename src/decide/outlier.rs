//! Whether a backend server is left out for a while, and when it is tried again.

use super::outcome::AttemptOutcome;
use crate::unit::{Moment, Span};

/// Failures to connect, or broken answers, in a row that leave a server out.
const UNREACHABLE: u32 = 1;
const BROKEN: u32 = 3;

/// Requests turned away in a row that leave a server out, and for how long. One that turns everything away runs nothing and looks the
/// emptiest.
const REFUSED: u32 = 3;
const REFUSED_OUT: Span = Span::millis(300);

/// Weight of the latest answer in the share of failures.
const LATEST: f64 = 0.15;

/// Answers before a share of failures says anything.
const KNOWN: u32 = 8;

/// A server is left out if its share of failures exceeds twice the pool's and this.
const WORSE: f64 = 0.25;

/// First time out, and the longest; it doubles each time.
const OUT: Span = Span::millis(600);
const LONGEST_OUT: Span = Span::secs(6);

/// What one VM has met at one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutlierDetector {
    unreachable: u32,
    broken: u32,
    refused: u32,
    share: f64,
    answers: u32,
    out_until: Option<Moment>,
    times_out: u32,
}

impl OutlierDetector {
    /// Share of answers that were failures, of late.
    pub fn failure_rate(&self) -> f64 {
        self.share
    }

    /// Until when requests should go elsewhere.
    pub fn ejected_until(&self) -> Option<Moment> {
        self.out_until
    }

    /// Whether requests should go elsewhere.
    pub fn is_ejected(&self, now: Moment) -> bool {
        self.out_until.is_some_and(|until| now < until)
    }

    /// Notes how an attempt ended; `usual` is the pool's share of failures. Whether the server
    /// is left out from now on.
    pub fn record(&mut self, end: AttemptOutcome, usual: f64, now: Moment) -> bool {
        match end {
            AttemptOutcome::NotSent => {
                self.unreachable += 1;
            }
            AttemptOutcome::Broken | AttemptOutcome::Late => {
                self.broken += 1;
                self.count(1.0);
            }
            AttemptOutcome::Failed => {
                self.answered();
                self.count(1.0);
            }
            AttemptOutcome::Good => {
                self.answered();
                self.count(0.0);
            }
            AttemptOutcome::NotRun => {
                self.unreachable = 0;
                return self.turned_away(now);
            }
            // Nothing was asked of it.
            AttemptOutcome::Withheld => return false,
        }
        let worse = self.answers >= KNOWN && self.share > 2.0 * usual + WORSE;
        if self.unreachable >= UNREACHABLE || self.broken >= BROKEN || worse {
            self.leave_out(now);
            return true;
        }
        if end == AttemptOutcome::Good
            && self.out_until.is_some_and(|until| now >= until + LONGEST_OUT)
        {
            self.times_out = 0;
            self.out_until = None;
        }
        false
    }

    /// A full server answers well and its load says the rest, unless it goes on so.
    fn turned_away(&mut self, now: Moment) -> bool {
        self.refused += 1;
        if self.refused >= REFUSED {
            self.out_until = self.out_until.max(Some(now + REFUSED_OUT));
        }
        self.refused == REFUSED
    }

    fn answered(&mut self) {
        self.refused = 0;
        self.unreachable = 0;
        self.broken = 0;
    }

    fn count(&mut self, failed: f64) {
        self.answers = self.answers.saturating_add(1);
        let weight = LATEST.max(1.0 / f64::from(self.answers));
        self.share += weight * (failed - self.share);
    }

    fn leave_out(&mut self, now: Moment) {
        let doubled = OUT.0.saturating_mul(1 << self.times_out.min(10));
        self.out_until = Some(now + Span(doubled.min(LONGEST_OUT.0)));
        self.times_out += 1;
        // It comes back with a clean slate, but one more failure counts soon.
        self.unreachable = 0;
        self.broken = BROKEN - 1;
        self.answers = 0;
        self.share = 0.0;
    }
}
