//! Decides with which rung a cascade begins and whether it escalates: least cost at the quality
//! target.
//!
//! A Lagrange multiplier prices quality in money. At that price each answer is kept or escalated by
//! comparing the expected cost and quality of both. The solver finds the least multiplier whose
//! expected quality, less a bound on the uncertainty, meets the target.

mod expect;
mod rating;

use expect::{Expected, expect};

pub use rating::{Answer, Credit, DriftDetector, rating_value};

/// Number of bins of an engine's confidence.
pub const BINS: usize = 16;

/// Weight, in ratings, of the prior in each bin: the curve over all kinds, shifted to the level of
/// the kind.
const PRIOR_RATINGS: f64 = 10.0;

/// Margin, in standard errors, between the expected quality and the target.
const CAUTION_ERRORS: f64 = 0.6;

/// Minimum margin between the expected quality and the target.
const QUALITY_SLACK: f64 = 0.001;

/// Maximum number of bisections in the search for the multiplier.
const MAX_BISECTIONS: usize = 40;

/// Maximum multiplier, in costs of a strong answer.
const MAX_PRICE_FACTOR: f64 = 1e4;

/// Number of ratings and of those that passed, decayed with age.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Ratings {
    /// Ratings.
    pub all: f64,
    /// Ratings that passed.
    pub pass: f64,
}

impl Ratings {
    fn smoothed_rate(self, prior: f64) -> f64 {
        (self.pass + PRIOR_RATINGS * prior) / (self.all + PRIOR_RATINGS)
    }

    fn decay(&mut self, kept: f64) {
        self.all *= kept;
        self.pass *= kept;
    }

    /// Adds a rating.
    pub fn add(&mut self, pass: bool) {
        self.all += 1.0;
        self.pass += f64::from(u8::from(pass));
    }
}

/// Returns the bin of a confidence from 0 to 1.
pub fn bin(confidence: f64) -> usize {
    ((confidence * BINS as f64) as usize).min(BINS - 1)
}

/// Observations of one kind of work in one workspace, for a cheap and a strong rung.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Belief {
    /// Requests of this kind.
    pub requests: f64,
    /// Answers of the cheap rung by bin of confidence.
    pub confidence_counts: [f64; BINS],
    /// Ratings of cheap answers by bin of confidence.
    pub cheap: [Ratings; BINS],
    /// Ratings of strong answers by the confidence of the cheap answer before.
    pub strong: [Ratings; BINS],
    /// Ratings of strong answers of requests that began with the strong rung.
    pub direct: Ratings,
}

impl Belief {
    /// Decays all observations to the part `kept`.
    pub fn decay(&mut self, kept: f64) {
        self.requests *= kept;
        self.confidence_counts.iter_mut().for_each(|seen| *seen *= kept);
        self.cheap.iter_mut().for_each(|cell| cell.decay(kept));
        self.strong.iter_mut().for_each(|cell| cell.decay(kept));
        self.direct.decay(kept);
    }

    /// Discounts most ratings, since recent ones no longer agree with them.
    pub fn discount(&mut self) {
        self.cheap.iter_mut().for_each(|cell| cell.decay(KEPT_AFTER_ALARM));
        self.strong.iter_mut().for_each(|cell| cell.decay(KEPT_AFTER_ALARM));
        self.direct.decay(KEPT_AFTER_ALARM);
    }
}

/// Decay of the ratings of a kind with each further rating.
pub const RATING_DECAY: f64 = 0.9995;

/// Part of the ratings that is kept after an alarm; little, so that caution returns at once.
const KEPT_AFTER_ALARM: f64 = 0.08;

/// Cost and declared quality of the rungs.
#[derive(Clone, Copy, Debug)]
pub struct Rungs {
    /// Cost of a cheap answer.
    pub cheap_cost: f64,
    /// Cost of a strong answer.
    pub strong_cost: f64,
    /// Declared share of cheap answers that pass.
    pub cheap_quality: f64,
    /// Declared share of strong answers that pass.
    pub strong_quality: f64,
}

/// Rule for one kind of work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rule {
    /// Probability of beginning with the strong rung.
    pub direct: f64,
    /// Probability of keeping a cheap answer, by bin of confidence.
    pub keep: [f64; BINS],
    /// Expected share of answers that pass.
    pub quality: f64,
    /// Probability of trying the cheap rung though the rule begins with the strong one.
    pub explore: f64,
    /// Expected share of cheap answers that pass, by bin of confidence.
    pub cheap: [f64; BINS],
}

/// The rule without any observations: begin with the strong rung.
impl Default for Rule {
    fn default() -> Rule {
        Rule {
            direct: 1.0,
            keep: [0.0; BINS],
            quality: 0.0,
            explore: rating::EXPLORE_UNKNOWN,
            cheap: [0.0; BINS],
        }
    }
}

/// Returns the rules of all kinds, which share one quality target.
pub fn solve(beliefs: &[Belief], rungs: &Rungs, target: f64) -> Vec<Rule> {
    let expected = expect(beliefs, rungs);
    let meets = |price: f64| {
        let (quality, error) = expected_quality(&expected, rungs, price);
        quality - CAUTION_ERRORS * error - QUALITY_SLACK >= target
    };
    let top = MAX_PRICE_FACTOR * rungs.strong_cost;
    if meets(0.0) {
        return expected.iter().map(|kind| rule(kind, rungs, 0.0)).collect();
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
    let share = mixing_share(&expected, rungs, target, low, high);
    let mixed = |kind| rule(kind, rungs, low).interpolate(&rule(kind, rungs, high), share);
    expected.iter().map(mixed).collect()
}

/// Returns the share of the higher price with which the mixture of both rules just meets the
/// target.
fn mixing_share(expected: &[Expected], rungs: &Rungs, target: f64, low: f64, high: f64) -> f64 {
    let sure = |price| {
        let (quality, error) = expected_quality(expected, rungs, price);
        quality - CAUTION_ERRORS * error - QUALITY_SLACK
    };
    let (under, over) = (sure(low), sure(high));
    if over - under < 1e-9 {
        return 1.0;
    }
    ((target - under) / (over - under)).clamp(0.0, 1.0)
}

impl Rule {
    /// Returns true if the request begins with the strong rung; `point` is the request's own,
    /// uniform from 0 to 1.
    pub fn begins_strong(&self, point: f64) -> bool {
        point < self.direct
    }

    /// Returns true if a cheap answer is kept; `point` is the request's own, uniform from 0 to 1.
    pub fn keeps(&self, bin: usize, point: f64) -> bool {
        point < self.keep[bin]
    }

    fn interpolate(&self, other: &Rule, share: f64) -> Rule {
        let interpolate = |a: f64, b: f64| a + (b - a) * share;
        let mut keep = [0.0; BINS];
        for (i, keep) in keep.iter_mut().enumerate() {
            *keep = interpolate(self.keep[i], other.keep[i]);
        }
        Rule {
            direct: interpolate(self.direct, other.direct),
            keep,
            quality: interpolate(self.quality, other.quality),
            explore: self.explore,
            cheap: self.cheap,
        }
    }
}

fn rule(kind: &Expected, rungs: &Rungs, price: f64) -> Rule {
    let mut keep = [0.0; BINS];
    let mut cheap_first_cost = rungs.cheap_cost;
    let mut quality = 0.0;
    for (i, keep) in keep.iter_mut().enumerate() {
        let keep_cost = -price * kind.cheap[i];
        let escalate_cost = rungs.strong_cost - price * kind.strong[i];
        *keep = f64::from(u8::from(keep_cost <= escalate_cost));
        cheap_first_cost += kind.seen[i] * keep_cost.min(escalate_cost);
        quality += kind.seen[i] * if *keep > 0.0 { kind.cheap[i] } else { kind.strong[i] };
    }
    let direct = rungs.strong_cost - price * kind.direct < cheap_first_cost;
    let quality = if direct { kind.direct } else { quality };
    Rule {
        direct: f64::from(u8::from(direct)),
        keep,
        quality,
        explore: kind.explore,
        cheap: kind.cheap,
    }
}

/// Returns the expected quality over all kinds and its standard error.
fn expected_quality(expected: &[Expected], rungs: &Rungs, price: f64) -> (f64, f64) {
    let mut quality = 0.0;
    let mut variance = 0.0;
    for kind in expected {
        let rule = rule(kind, rungs, price);
        quality += kind.weight * rule.quality;
        if rule.direct > 0.0 {
            variance += (kind.weight * kind.direct_error).powi(2);
            continue;
        }
        let mut escalated_error = 0.0;
        for i in 0..BINS {
            if rule.keep[i] > 0.0 {
                variance += (kind.weight * kind.seen[i] * kind.cheap_error[i]).powi(2);
            } else {
                escalated_error += kind.seen[i] * kind.strong_error[i];
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

    fn informed(pass_low: f64, pass_high: f64, ratings: f64) -> Belief {
        let mut belief = Belief::default();
        for i in 0..BINS {
            belief.confidence_counts[i] = 100.0;
            let pass = if i < BINS / 2 { pass_low } else { pass_high };
            belief.cheap[i] = Ratings { all: ratings, pass: ratings * pass };
            belief.strong[i] = Ratings { all: ratings, pass: ratings * 0.95 };
        }
        belief
    }

    #[test]
    fn confident_answers_are_kept_and_others_climb() {
        let rules = solve(&[informed(0.3, 0.96, 500.0)], &RUNGS, 0.93);
        assert!(rules[0].direct < 0.5);
        assert!(rules[0].keeps(BINS - 1, 0.99));
        assert!(!rules[0].keeps(0, 0.01));
        assert!(rules[0].quality >= 0.93);
    }

    #[test]
    fn hopeless_kinds_begin_with_the_strong_rung() {
        let rules = solve(&[informed(0.05, 0.1, 500.0)], &RUNGS, 0.9);
        assert!(rules[0].begins_strong(0.85));
    }

    #[test]
    fn little_evidence_costs_caution() {
        let few = solve(&[informed(0.6, 0.96, 3.0)], &RUNGS, 0.92);
        let many = solve(&[informed(0.6, 0.96, 3000.0)], &RUNGS, 0.92);
        let kept = |rule: &Rule| rule.keep.iter().filter(|keep| **keep > 0.5).count();
        assert!(few[0].direct > 0.5 || kept(&few[0]) <= kept(&many[0]));
    }
}
