//! Outlier detection: ejects a backend server for a while after failures, and lets requests try it
//! again.

use super::outcome::AttemptOutcome;
use crate::unit::{Moment, Span};

/// Consecutive failures to connect, or broken responses, after which a server is ejected.
const UNREACHABLE_THRESHOLD: u32 = 1;
const BROKEN_THRESHOLD: u32 = 3;

/// Consecutive refusals after which a server is ejected, and for how long. A server that refuses
/// everything runs nothing and so looks the least loaded.
const REFUSAL_THRESHOLD: u32 = 3;
const REFUSAL_EJECTION: Span = Span::millis(300);

/// Weight of the latest response in the failure rate.
const SMOOTHING_FACTOR: f64 = 0.15;

/// Number of responses from which the failure rate is significant.
const MIN_SAMPLES: u32 = 8;

/// A server is ejected if its failure rate exceeds twice the pool's rate plus this.
const MIN_EXCESS_FAILURES: f64 = 0.25;

/// First and longest ejection; the duration doubles each time.
const BASE_EJECTION: Span = Span::millis(600);
const MAX_EJECTION: Span = Span::secs(6);

/// Outcomes of one VM's attempts at one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutlierDetector {
    unreachable: u32,
    broken: u32,
    refusals: u32,
    failure_rate: f64,
    samples: u32,
    ejected_until: Option<Moment>,
    ejections: u32,
}

impl OutlierDetector {
    /// Returns the recent share of responses that were failures.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Returns when the last ejection ends.
    pub fn ejected_until(&self) -> Option<Moment> {
        self.ejected_until
    }

    /// Returns true if requests should go to other servers.
    pub fn is_ejected(&self, now: Moment) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Records the outcome of an attempt; `pool_failure_rate` is that of the whole pool. Returns
    /// true if the server is ejected as a result.
    pub fn record(&mut self, end: AttemptOutcome, pool_failure_rate: f64, now: Moment) -> bool {
        match end {
            AttemptOutcome::NotSent => {
                self.unreachable += 1;
            }
            AttemptOutcome::Broken | AttemptOutcome::Late => {
                self.broken += 1;
                self.add_sample(1.0);
            }
            AttemptOutcome::Failed => {
                self.reset_streaks();
                self.add_sample(1.0);
            }
            AttemptOutcome::Good => {
                self.reset_streaks();
                self.add_sample(0.0);
            }
            AttemptOutcome::NotRun => {
                self.unreachable = 0;
                return self.on_refusal(now);
            }
            // The server never saw the attempt.
            AttemptOutcome::Withheld => return false,
        }
        let worse = self.samples >= MIN_SAMPLES
            && self.failure_rate > 2.0 * pool_failure_rate + MIN_EXCESS_FAILURES;
        if self.unreachable >= UNREACHABLE_THRESHOLD || self.broken >= BROKEN_THRESHOLD || worse {
            self.eject(now);
            return true;
        }
        if end == AttemptOutcome::Good
            && self.ejected_until.is_some_and(|until| now >= until + MAX_EJECTION)
        {
            self.ejections = 0;
            self.ejected_until = None;
        }
        false
    }

    /// A refusal by a full server is a proper response, and its load tells the rest; only a run of
    /// refusals ejects it.
    fn on_refusal(&mut self, now: Moment) -> bool {
        self.refusals += 1;
        if self.refusals >= REFUSAL_THRESHOLD {
            self.ejected_until = self.ejected_until.max(Some(now + REFUSAL_EJECTION));
        }
        self.refusals == REFUSAL_THRESHOLD
    }

    fn reset_streaks(&mut self) {
        self.refusals = 0;
        self.unreachable = 0;
        self.broken = 0;
    }

    fn add_sample(&mut self, failed: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = SMOOTHING_FACTOR.max(1.0 / f64::from(self.samples));
        self.failure_rate += weight * (failed - self.failure_rate);
    }

    fn eject(&mut self, now: Moment) {
        let doubled = BASE_EJECTION.0.saturating_mul(1 << self.ejections.min(10));
        self.ejected_until = Some(now + Span(doubled.min(MAX_EJECTION.0)));
        self.ejections += 1;
        // The history is cleared, but one more broken response ejects the server again.
        self.unreachable = 0;
        self.broken = BROKEN_THRESHOLD - 1;
        self.samples = 0;
        self.failure_rate = 0.0;
    }
}
