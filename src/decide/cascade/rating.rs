//! Chooses which answers of a cascade to have rated, and detects when ratings no longer agree with
//! the estimated pass rates.

use super::{CONFIDENCE_BINS, Observations, Rule};
use crate::decide::sequential::{Count, evidence};

/// Number of ratings of cheap answers from which the pass rates of a kind of work count as known.
const KNOWN_FROM_RATINGS: f64 = 120.0;

/// Share of requests of a kind of work that try the cheap model against the rule, until
/// [`KNOWN_FROM_RATINGS`].
pub(super) const EXPLORE_UNKNOWN: f64 = 0.4;

/// Share of requests of a kind of work that try the cheap model against the rule, from
/// [`KNOWN_FROM_RATINGS`] on.
const EXPLORE_KNOWN: f64 = 0.02;

/// Returns the probability of trying the cheap model though the rule begins with the strong one.
/// The caller still gets the strong answer, so exploration costs money and never quality.
pub(super) fn explore_probability(observed: &Observations) -> f64 {
    let known: f64 = observed.cheap.iter().map(|ratings| ratings.all).sum();
    if known < KNOWN_FROM_RATINGS { EXPLORE_UNKNOWN } else { EXPLORE_KNOWN }
}

/// An answer of a cascade that may be rated, by the model that gave it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// An answer of the cheap model in this confidence bin.
    Cheap(usize),
    /// An answer of the strong model after a cheap answer was discarded.
    Escalated,
    /// An answer of the strong model, with which the cascade began.
    Direct,
}

/// Number of confidence bins on either side of a change between keeping and escalating whose
/// ratings are the most informative.
const NEAR_BINS: usize = 2;

/// Returns how informative a rating of an answer is, relative to an answer of value 1.
pub fn rating_value(rule: &Rule, answer: Answer) -> f64 {
    let Answer::Cheap(bin) = answer else {
        return if answer == Answer::Escalated { 0.8 } else { 0.3 };
    };
    let near = bin.saturating_sub(NEAR_BINS)..(bin + NEAR_BINS).min(CONFIDENCE_BINS - 1);
    let decides = rule.direct_probability > 0.5
        || near.into_iter().any(|i| rule.keep_probability[i] != rule.keep_probability[i + 1]);
    if decides { 2.0 } else { 0.7 }
}

/// Maximum credit that is saved up, in ratings.
const MAX_CREDIT: f64 = 40.0;

/// Credit, in ratings, from which an answer of value 1 is certainly rated.
const FULL_CREDIT: f64 = 8.0;

/// Budget of ratings, in ratings: requests earn a fixed share of a rating each, and the most
/// informative answers spend it.
#[derive(Clone, Copy, Debug, Default)]
pub struct RatingBudget(f64);

impl RatingBudget {
    /// Adds the credit that one request earns; `share` is the agreed ratio of ratings to requests.
    pub fn earn(&mut self, share: f64) {
        self.0 = (self.0 + share).min(MAX_CREDIT);
    }

    /// Returns true, and spends the credit of one rating, if an answer is to be rated. `value` is
    /// that of [`rating_value`], `point` a random number, uniform from 0 to 1.
    pub fn spend(&mut self, value: f64, point: f64) -> bool {
        let rated = self.0 >= 1.0 && point < value * self.0 / FULL_CREDIT;
        if rated {
            self.0 -= 1.0;
        }
        rated
    }
}

/// Effective number of ratings in the window of the drift detector.
const WINDOW_RATINGS: f64 = 120.0;

/// Probability of a drift alarm although answers have not become worse.
const ALARM_CHANCE: f64 = 1e-4;

/// Detects when answers pass less often than the estimates say, from the latest ratings of one kind
/// of work.
#[derive(Clone, Copy, Debug, Default)]
pub struct DriftDetector {
    observed: Count,
    /// Expected number of bad ratings, over the same ratings as `observed`.
    expected_bad: f64,
}

impl DriftDetector {
    /// Records a rating of an answer that was expected to pass with probability `pass_probability`.
    /// Returns true and resets the detector if the ratings show that answers have become worse,
    /// with a false-alarm probability of at most `ALARM_CHANCE`.
    pub fn record(&mut self, pass_probability: f64, pass: bool) -> bool {
        let kept = 1.0 - 1.0 / WINDOW_RATINGS;
        self.observed.all = self.observed.all * kept + 1.0;
        self.observed.bad = self.observed.bad * kept + f64::from(u8::from(!pass));
        self.expected_bad = self.expected_bad * kept + (1.0 - pass_probability);
        let usual = (self.expected_bad / self.observed.all).clamp(0.01, 0.99);
        // The share of bad ratings must exceed the expected one by more than 0.01.
        let alarm = evidence(self.observed, usual + 0.01) >= (1.0 / ALARM_CHANCE).ln();
        if alarm {
            *self = DriftDetector::default();
        }
        alarm
    }
}
