//! Outlier detection: ejects a backend server for a while after failures, and lets requests try it
//! again.

use super::outcome::AttemptOutcome;
use crate::unit::{Moment, Span};

/// Consecutive failures to connect after which a server is ejected.
const UNREACHABLE_THRESHOLD: u32 = 1;

/// Consecutive broken or late responses after which a server is ejected.
const BROKEN_THRESHOLD: u32 = 3;

/// Consecutive refusals ("not run") after which a server is ejected for [`REFUSAL_EJECTION`]. A
/// server that refuses everything runs nothing and so looks the least loaded.
const REFUSAL_THRESHOLD: u32 = 3;

/// Duration of an ejection after consecutive refusals.
const REFUSAL_EJECTION: Span = Span::millis(300);

/// Weight of the latest response in the moving average of a server's failure rate.
const SMOOTHING_FACTOR: f64 = 0.15;

/// Number of responses from which a server's failure rate is significant enough to eject it.
const MIN_SAMPLES: u32 = 8;

/// Part of the ejection threshold: a server is ejected if its failure rate exceeds twice that of
/// its pool plus this.
const MIN_EXCESS_FAILURES: f64 = 0.25;

/// Duration of the first ejection of a server; each further one is twice as long, up to
/// [`MAX_EJECTION`].
const BASE_EJECTION: Span = Span::millis(600);

/// Maximum duration of an ejection after failures.
const MAX_EJECTION: Span = Span::secs(6);

/// Recent outcomes of one VM's attempts at one server, and the ejections that follow from them.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutlierDetector {
    /// Consecutive failures to connect.
    unreachable: u32,
    /// Consecutive broken or late responses.
    broken: u32,
    /// Consecutive refusals.
    refusals: u32,
    failure_rate: f64,
    /// Responses counted in `failure_rate`.
    samples: u32,
    ejected_until: Option<Moment>,
    /// Ejections in a row, which double the duration of the next.
    ejections: u32,
}

impl OutlierDetector {
    /// Returns the recent share of the server's responses that were failures, from 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Returns the end of the last ejection, which may be past; none if the server was not ejected,
    /// or has responded well for a while since.
    pub fn ejected_until(&self) -> Option<Moment> {
        self.ejected_until
    }

    /// Returns true while the server is ejected, so that requests go to other servers.
    pub fn is_ejected(&self, now: Moment) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Records the outcome of an attempt at the server; `pool_failure_rate` is the recent share of
    /// failures at all servers of its pool. Returns true if the server is ejected as a result.
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
            // Nothing was sent, so the outcome says nothing about the server.
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

    /// Records a refusal. A full server refuses properly and its reported load keeps requests away,
    /// so only several refusals in a row eject it.
    fn on_refusal(&mut self, now: Moment) -> bool {
        self.refusals += 1;
        if self.refusals >= REFUSAL_THRESHOLD {
            self.ejected_until = self.ejected_until.max(Some(now + REFUSAL_EJECTION));
        }
        self.refusals == REFUSAL_THRESHOLD
    }

    /// Ends all runs of consecutive failures and refusals, after a complete response.
    fn reset_streaks(&mut self) {
        self.refusals = 0;
        self.unreachable = 0;
        self.broken = 0;
    }

    /// Adds a response to the failure rate: 1 for a failure, 0 for a success.
    fn add_sample(&mut self, failed: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = SMOOTHING_FACTOR.max(1.0 / f64::from(self.samples));
        self.failure_rate += weight * (failed - self.failure_rate);
    }

    /// Ejects the server for twice as long as the last time.
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
