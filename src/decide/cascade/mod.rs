//! Decides with which model a cascade begins and if it escalates to the next one, so that the cost
//! is least at the quality target.
//!
//! A cascade has *rungs*: a cheap model that answers first, and a strong one that answers instead
//! if the cheap answer is discarded (*escalated*). *Direct* requests begin with the strong model.
//! An engine states a *confidence* from 0 to 1 with each answer, which is counted in
//! [`CONFIDENCE_BINS`] bins. Some answers are *rated* by an external service: they pass or don't
//! pass, and the *quality* is the share that passes. A *kind* of work is a class of requests that
//! the client names.
//!
//! A Lagrange multiplier prices quality in money. At that price each cheap answer is kept or
//! escalated, whichever costs less with its expected quality counted as money. The solver finds the
//! least multiplier whose expected quality, less a bound on the uncertainty, meets the target.

mod estimate;
mod rating;

use estimate::{Estimate, estimate};

pub use rating::{Answer, DriftDetector, RatingBudget, rating_value};

/// Number of bins in which the confidence of answers, from 0 to 1, is counted.
pub const CONFIDENCE_BINS: usize = 16;

/// Weight, in ratings, of the prior of a pass rate. The prior of a confidence bin is the rate over
/// all kinds of work, shifted to the level of the kind.
const PRIOR_RATINGS: f64 = 10.0;

/// Margin that is kept between the expected quality and the target, in standard errors of the
/// expectation.
const CAUTION_ERRORS: f64 = 0.6;

/// Margin that is kept between the expected quality and the target in addition to
/// [`CAUTION_ERRORS`].
const QUALITY_SLACK: f64 = 0.001;

/// Maximum number of bisections in the search for the Lagrange multiplier.
const MAX_BISECTIONS: usize = 40;

/// Maximum of the Lagrange multiplier, the price of quality, in costs of a strong answer.
const MAX_PRICE_FACTOR: f64 = 1e4;

/// Number of ratings, and how many of them passed. Old ratings count less than 1.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Ratings {
    /// Number of ratings, those that passed included.
    pub all: f64,
    /// Number of ratings that passed.
    pub pass: f64,
}

impl Ratings {
    /// Returns the share that passed, shrunk towards `prior` while there are few ratings.
    fn smoothed_rate(self, prior: f64) -> f64 {
        (self.pass + PRIOR_RATINGS * prior) / (self.all + PRIOR_RATINGS)
    }

    fn decay(&mut self, kept: f64) {
        self.all *= kept;
        self.pass *= kept;
    }

    /// Adds one rating.
    pub fn add(&mut self, pass: bool) {
        self.all += 1.0;
        self.pass += f64::from(u8::from(pass));
    }
}

/// Returns the index of the bin of a confidence from 0 to 1.
pub fn confidence_bin(confidence: f64) -> usize {
    ((confidence * CONFIDENCE_BINS as f64) as usize).min(CONFIDENCE_BINS - 1)
}

/// Numbers observed for one kind of work in one workspace, from which the rule of the kind is made.
/// They are decayed, so that recent requests and ratings count most.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Observations {
    /// Number of requests of the kind of work.
    pub requests: f64,
    /// Number of answers of the cheap model, by bin of their confidence.
    pub confidence_counts: [f64; CONFIDENCE_BINS],
    /// Ratings of answers of the cheap model, by bin of their confidence.
    pub cheap: [Ratings; CONFIDENCE_BINS],
    /// Ratings of answers of the strong model after an escalation, by the confidence bin of the
    /// cheap answer before.
    pub strong: [Ratings; CONFIDENCE_BINS],
    /// Ratings of answers of the strong model to requests that began with it.
    pub direct: Ratings,
}

impl Observations {
    /// Multiplies all numbers by `kept`, from 0 to 1, so that later observations weigh more.
    pub fn decay(&mut self, kept: f64) {
        self.requests *= kept;
        self.confidence_counts.iter_mut().for_each(|seen| *seen *= kept);
        self.cheap.iter_mut().for_each(|ratings| ratings.decay(kept));
        self.strong.iter_mut().for_each(|ratings| ratings.decay(kept));
        self.direct.decay(kept);
    }

    /// Discounts the ratings to `KEPT_AFTER_ALARM`. Called after an alarm of the [`DriftDetector`],
    /// when recent ratings no longer agree with older ones.
    pub fn discount(&mut self) {
        self.cheap.iter_mut().for_each(|ratings| ratings.decay(KEPT_AFTER_ALARM));
        self.strong.iter_mut().for_each(|ratings| ratings.decay(KEPT_AFTER_ALARM));
        self.direct.decay(KEPT_AFTER_ALARM);
    }
}

/// Factor by which the observations of a kind of work decay with each further rating.
pub const RATING_DECAY: f64 = 0.9995;

/// Fraction of the ratings that is kept after a drift alarm; little, so that rules become cautious
/// at once.
const KEPT_AFTER_ALARM: f64 = 0.08;

/// Cost and declared quality of the two rungs (models) of a cascade.
#[derive(Clone, Copy, Debug)]
pub struct Rungs {
    /// Cost of an answer of the cheap model, in any unit of money that both costs share.
    pub cheap_cost: f64,
    /// Cost of an answer of the strong model.
    pub strong_cost: f64,
    /// Share of the cheap model's answers that pass, as operators declared it.
    pub cheap_quality: f64,
    /// Share of the strong model's answers that pass, as operators declared it.
    pub strong_quality: f64,
}

/// Rule of a cascade for requests of one kind of work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rule {
    /// Probability of beginning with the strong model.
    pub direct_probability: f64,
    /// Probability of keeping a cheap answer instead of escalating, by bin of its confidence.
    pub keep_probability: [f64; CONFIDENCE_BINS],
    /// Expected share of answers that pass under this rule.
    pub expected_pass_rate: f64,
    /// Probability of trying the cheap model though the rule begins with the strong one.
    pub explore_probability: f64,
    /// Expected share of cheap answers that pass, by bin of confidence.
    pub cheap_pass_rate: [f64; CONFIDENCE_BINS],
}

/// The rule of a kind of work without any observations: every request begins with the strong model.
impl Default for Rule {
    fn default() -> Rule {
        Rule {
            direct_probability: 1.0,
            keep_probability: [0.0; CONFIDENCE_BINS],
            expected_pass_rate: 0.0,
            explore_probability: rating::EXPLORE_UNKNOWN,
            cheap_pass_rate: [0.0; CONFIDENCE_BINS],
        }
    }
}

/// Returns a rule for each kind of work, in the order of `observations`. Weighted by their
/// requests, the rules together meet the quality `target` at least cost. A bisection finds the
/// price of quality just below and just above which the target is missed and met; the rules at both
/// prices are then mixed.
pub fn solve_rules(observations: &[Observations], rungs: &Rungs, target: f64) -> Vec<Rule> {
    let estimates = estimate(observations, rungs);
    let meets = |price: f64| {
        let (quality, error) = expected_quality(&estimates, rungs, price);
        quality - CAUTION_ERRORS * error - QUALITY_SLACK >= target
    };
    let top = MAX_PRICE_FACTOR * rungs.strong_cost;
    if meets(0.0) {
        return estimates.iter().map(|kind| rule_at_price(kind, rungs, 0.0)).collect();
    }
    let (mut low, mut high) = (0.0, top);
    // On a logarithmic scale, since prices of quality span orders of magnitude.
    for _ in 0..MAX_BISECTIONS {
        let middle: f64 = if low == 0.0 { high * 1e-2 } else { (low * high).sqrt() };
        if meets(middle) {
            high = middle;
        } else {
            low = middle;
        }
        if low > 0.0 && high / low < 1.001 || high < rungs.strong_cost * 1e-6 {
            break;
        }
    }
    let weight = mixing_weight(&estimates, rungs, target, low, high);
    let mixed = |kind| {
        rule_at_price(kind, rungs, low).interpolate(&rule_at_price(kind, rungs, high), weight)
    };
    estimates.iter().map(mixed).collect()
}

/// Returns the weight, from 0 to 1, of the rules at the price `high` in a mixture with those at the
/// price `low` that just meets the target.
fn mixing_weight(estimates: &[Estimate], rungs: &Rungs, target: f64, low: f64, high: f64) -> f64 {
    let sure = |price| {
        let (quality, error) = expected_quality(estimates, rungs, price);
        quality - CAUTION_ERRORS * error - QUALITY_SLACK
    };
    let (under, over) = (sure(low), sure(high));
    if over - under < 1e-9 {
        return 1.0;
    }
    ((target - under) / (over - under)).clamp(0.0, 1.0)
}

impl Rule {
    /// Returns true if the request begins with the strong model. `point` is a random number of the
    /// request, uniform from 0 to 1.
    pub fn begins_strong(&self, point: f64) -> bool {
        point < self.direct_probability
    }

    /// Returns true if a cheap answer with a confidence in `bin` is kept. `point` is a random
    /// number of the request, uniform from 0 to 1.
    pub fn keeps(&self, bin: usize, point: f64) -> bool {
        point < self.keep_probability[bin]
    }

    /// Returns the mixture of two rules, with `weight` for `other`.
    fn interpolate(&self, other: &Rule, weight: f64) -> Rule {
        let interpolate = |a: f64, b: f64| a + (b - a) * weight;
        let mut keep = [0.0; CONFIDENCE_BINS];
        for (i, keep) in keep.iter_mut().enumerate() {
            *keep = interpolate(self.keep_probability[i], other.keep_probability[i]);
        }
        Rule {
            direct_probability: interpolate(self.direct_probability, other.direct_probability),
            keep_probability: keep,
            expected_pass_rate: interpolate(self.expected_pass_rate, other.expected_pass_rate),
            explore_probability: self.explore_probability,
            cheap_pass_rate: self.cheap_pass_rate,
        }
    }
}

/// Returns the rule of a kind of work that costs least if quality is worth `price`: keeps a cheap
/// answer if escalating does not gain enough quality for its cost, and begins with the strong model
/// if that costs less than the cheap model with its escalations.
fn rule_at_price(kind: &Estimate, rungs: &Rungs, price: f64) -> Rule {
    let mut keep = [0.0; CONFIDENCE_BINS];
    let mut cheap_first_cost = rungs.cheap_cost;
    let mut quality = 0.0;
    for (i, keep) in keep.iter_mut().enumerate() {
        let keep_cost = -price * kind.cheap_pass_rate[i];
        let escalate_cost = rungs.strong_cost - price * kind.strong_pass_rate[i];
        *keep = f64::from(u8::from(keep_cost <= escalate_cost));
        cheap_first_cost += kind.confidence_shares[i] * keep_cost.min(escalate_cost);
        quality += kind.confidence_shares[i]
            * if *keep > 0.0 { kind.cheap_pass_rate[i] } else { kind.strong_pass_rate[i] };
    }
    let direct = rungs.strong_cost - price * kind.direct_pass_rate < cheap_first_cost;
    let quality = if direct { kind.direct_pass_rate } else { quality };
    Rule {
        direct_probability: f64::from(u8::from(direct)),
        keep_probability: keep,
        expected_pass_rate: quality,
        explore_probability: kind.explore_probability,
        cheap_pass_rate: kind.cheap_pass_rate,
    }
}

/// Returns the expected quality over all kinds of work at a price of quality, and its standard
/// error.
fn expected_quality(estimates: &[Estimate], rungs: &Rungs, price: f64) -> (f64, f64) {
    let mut quality = 0.0;
    let mut variance = 0.0;
    for kind in estimates {
        let rule = rule_at_price(kind, rungs, price);
        quality += kind.weight * rule.expected_pass_rate;
        if rule.direct_probability > 0.0 {
            variance += (kind.weight * kind.direct_error).powi(2);
            continue;
        }
        let mut escalated_error = 0.0;
        for i in 0..CONFIDENCE_BINS {
            if rule.keep_probability[i] > 0.0 {
                variance += (kind.weight * kind.confidence_shares[i] * kind.cheap_error[i]).powi(2);
            } else {
                escalated_error += kind.confidence_shares[i] * kind.strong_error[i];
            }
        }
        variance += (kind.weight * escalated_error).powi(2);
    }
    (quality, variance.sqrt())
}

#[cfg(test)]
mod tests {
    use super::*;

    const RUNGS: Rungs =
        Rungs { cheap_cost: 1.0, strong_cost: 10.0, cheap_quality: 0.7, strong_quality: 0.95 };

    fn informed(pass_low: f64, pass_high: f64, ratings: f64) -> Observations {
        let mut observed = Observations::default();
        for i in 0..CONFIDENCE_BINS {
            observed.confidence_counts[i] = 100.0;
            let pass = if i < CONFIDENCE_BINS / 2 { pass_low } else { pass_high };
            observed.cheap[i] = Ratings { all: ratings, pass: ratings * pass };
            observed.strong[i] = Ratings { all: ratings, pass: ratings * 0.95 };
        }
        observed
    }

    #[test]
    fn confident_answers_are_kept_and_others_climb() {
        let rules = solve_rules(&[informed(0.3, 0.96, 500.0)], &RUNGS, 0.93);
        assert!(rules[0].direct_probability < 0.5);
        assert!(rules[0].keeps(CONFIDENCE_BINS - 1, 0.99));
        assert!(!rules[0].keeps(0, 0.01));
        assert!(rules[0].expected_pass_rate >= 0.93);
    }

    #[test]
    fn hopeless_kinds_begin_with_the_strong_rung() {
        let rules = solve_rules(&[informed(0.05, 0.1, 500.0)], &RUNGS, 0.9);
        assert!(rules[0].begins_strong(0.85));
    }

    #[test]
    fn little_evidence_costs_caution() {
        let few = solve_rules(&[informed(0.6, 0.96, 3.0)], &RUNGS, 0.92);
        let many = solve_rules(&[informed(0.6, 0.96, 3000.0)], &RUNGS, 0.92);
        let kept = |rule: &Rule| rule.keep_probability.iter().filter(|keep| **keep > 0.5).count();
        assert!(few[0].direct_probability > 0.5 || kept(&few[0]) <= kept(&many[0]));
    }
}
