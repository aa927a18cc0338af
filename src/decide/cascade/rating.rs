//! Where ratings tell most, and whether they still agree with what was expected.

use super::{BINS, Belief, Rule};
use crate::decide::sequential::{Count, evidence};

/// Ratings of cheap answers after which a kind counts as known.
const KNOWN_FROM_RATINGS: f64 = 120.0;

/// Share of requests that try the cheap rung against the rule, while a kind is not known and after.
pub(super) const EXPLORE_UNKNOWN: f64 = 0.4;

const EXPLORE_KNOWN: f64 = 0.02;

/// The chance to try the cheap rung though the rule begins with the strong one. The caller gets
/// the strong answer all the same, so this costs money and never quality.
pub(super) fn explore(belief: &Belief) -> f64 {
    let known: f64 = belief.cheap.iter().map(|cell| cell.all).sum();
    if known < KNOWN_FROM_RATINGS { EXPLORE_UNKNOWN } else { EXPLORE_KNOWN }
}

/// Which answer may be rated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A cheap one of that bin of confidence.
    Cheap(usize),
    /// A strong one that was climbed to.
    Climbed,
    /// A strong one that the cascade began with.
    Direct,
}

/// Bins on either side of a change between keeping and climbing whose ratings tell most.
const NEAR_BINS: usize = 2;

/// How much a rating of an answer tells, compared with others.
pub fn rating_value(rule: &Rule, answer: Answer) -> f64 {
    let Answer::Cheap(bin) = answer else {
        return if answer == Answer::Climbed { 0.8 } else { 0.3 };
    };
    let near = bin.saturating_sub(NEAR_BINS)..(bin + NEAR_BINS).min(BINS - 1);
    let decides = rule.direct > 0.5 || near.into_iter().any(|i| rule.keep[i] != rule.keep[i + 1]);
    if decides { 2.0 } else { 0.7 }
}

/// Ratings that may be saved up, and the credit at which an answer of usual worth is rated.
const MAX_CREDIT: f64 = 40.0;

const FULL_CREDIT: f64 = 8.0;

/// Spends a share of ratings where they tell most, and no more than that share.
#[derive(Clone, Copy, Debug, Default)]
pub struct Credit(f64);

impl Credit {
    /// Counts a request; `share` is that of ratings to requests.
    pub fn earn(&mut self, share: f64) {
        self.0 = (self.0 + share).min(MAX_CREDIT);
    }

    /// Whether to have an answer of that worth rated; `point` is a random number from 0 to 1.
    pub fn spend(&mut self, worth: f64, point: f64) -> bool {
        let rated = self.0 >= 1.0 && point < worth * self.0 / FULL_CREDIT;
        if rated {
            self.0 -= 1.0;
        }
        rated
    }
}

/// Ratings that the watch looks back on.
const WINDOW_RATINGS: f64 = 120.0;

/// Evidence, as a chance, on which what is believed is doubted.
const ALARM_CHANCE: f64 = 1e-4;

/// Watches whether ratings still agree with what was expected of the answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct DriftDetector {
    observed: Count,
    expected: f64,
}

impl DriftDetector {
    /// Notes a rating of an answer that was expected to pass with that chance; whether ratings
    /// prove that answers have become worse.
    pub fn record(&mut self, expected: f64, pass: bool) -> bool {
        let kept = 1.0 - 1.0 / WINDOW_RATINGS;
        self.observed.all = self.observed.all * kept + 1.0;
        self.observed.bad = self.observed.bad * kept + f64::from(u8::from(!pass));
        self.expected = self.expected * kept + (1.0 - expected);
        let usual = (self.expected / self.observed.all).clamp(0.01, 0.99);
        let alarm = evidence(self.observed, usual + 0.01) >= (1.0 / ALARM_CHANCE).ln();
        if alarm {
            *self = DriftDetector::default();
        }
        alarm
    }
}
