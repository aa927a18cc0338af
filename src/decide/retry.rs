//! Whether a request may be tried again, and the budget that bounds retries.

use crate::unit::{Moment, Span};

/// Retries for each first attempt.
const SHARE: f64 = 0.1;

/// Retries saved up at most.
const SAVED: f64 = 20.0;

/// Attempts of one request at most.
const ATTEMPTS: u32 = 3;

/// How an attempt ended that gave no whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The connection never opened, so nothing was sent.
    NotSent,
    /// The back end's own word that it did not run.
    NotRun,
    /// It broke after a byte may have left.
    Broken,
}

/// A budget of retries: a fraction of first attempts.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    level: f64,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget { level: SAVED / 2.0 }
    }
}

impl Budget {
    /// Counts a first attempt.
    pub fn deposit(&mut self) {
        self.level = (self.level + SHARE).min(SAVED);
    }

    /// Takes a retry, if one is left.
    pub fn try_spend(&mut self) -> bool {
        if self.level < 1.0 {
            return false;
        }
        self.level -= 1.0;
        true
    }
}

/// Whether an attempt may be followed by another, apart from the budget.
pub fn is_allowed(
    failure: Failure,
    repeatable: bool,
    attempts: u32,
    now: Moment,
    deadline: Moment,
    least: Span,
) -> bool {
    let safe = repeatable || failure != Failure::Broken;
    safe && attempts < ATTEMPTS && now + least < deadline
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_may_not_be_repeated_is_tried_again_only_if_it_did_not_run() {
        let ask = |failure| is_allowed(failure, false, 1, Moment(0), Moment(10), Span(1));
        assert!(ask(Failure::NotSent));
        assert!(ask(Failure::NotRun));
        assert!(!ask(Failure::Broken));
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
        assert!(!is_allowed(Failure::NotRun, true, 1, Moment(9), Moment(10), Span(1)));
    }
}
