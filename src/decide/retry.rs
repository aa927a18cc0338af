//! Conditions under which a request may be retried, and a token-bucket budget of retries. The
//! budget over a sliding window is [`super::budget`].

use crate::unit::{Moment, Span};

/// Retries that each first attempt adds to the budget.
const RETRY_RATIO: f64 = 0.1;

/// Maximum number of unused retries that the budget saves up.
const MAX_SAVED: f64 = 20.0;

/// Maximum number of attempts of one request, the first one included.
const MAX_ATTEMPTS: u32 = 3;

/// How an attempt failed that got no complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The connection was never established, so nothing was sent.
    NotSent,
    /// The back end stated that it did not run the request.
    NotRun,
    /// The connection broke after bytes may have been sent.
    Broken,
}

/// Retry budget: a fraction of first attempts.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// Number of retries that may be spent.
    level: f64,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget { level: MAX_SAVED / 2.0 }
    }
}

impl Budget {
    /// Records a first attempt, which adds to the budget.
    pub fn deposit(&mut self) {
        self.level = (self.level + RETRY_RATIO).min(MAX_SAVED);
    }

    /// Spends one retry of the budget. Returns false if none is left.
    pub fn try_spend(&mut self) -> bool {
        if self.level < 1.0 {
            return false;
        }
        self.level -= 1.0;
        true
    }
}

/// Returns true if a request may be retried after `attempts` attempts, of which the last failed
/// with `failure`; the caller checks the budget. After a `Broken` attempt, which may have run, only
/// a `repeatable` request is retried. `min_time` is the time that must be left until the deadline.
pub fn is_retry_allowed(
    failure: Failure,
    repeatable: bool,
    attempts: u32,
    now: Moment,
    deadline: Moment,
    min_time: Span,
) -> bool {
    let safe = repeatable || failure != Failure::Broken;
    safe && attempts < MAX_ATTEMPTS && now + min_time < deadline
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_may_not_be_repeated_is_tried_again_only_if_it_did_not_run() {
        let allowed = |failure| is_retry_allowed(failure, false, 1, Moment(0), Moment(10), Span(1));
        assert!(allowed(Failure::NotSent));
        assert!(allowed(Failure::NotRun));
        assert!(!allowed(Failure::Broken));
    }

    #[test]
    fn the_budget_is_a_fraction_of_first_attempts() {
        let mut budget = Budget::default();
        let mut retries = 0;
        for _ in 0..1000 {
            budget.deposit();
            retries += u32::from(budget.try_spend());
        }
        assert!((100..=111).contains(&retries), "{retries}");
    }

    #[test]
    fn no_retry_starts_past_the_deadline() {
        assert!(!is_retry_allowed(Failure::NotRun, true, 1, Moment(9), Moment(10), Span(1)));
    }
}
