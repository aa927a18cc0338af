//! Where a cascade starts and whether it climbs: least cost at the quality target.
//!
//! One multiplier prices quality in money. At that price, each answer is kept or climbed from by
//! comparing what is expected of both; the multiplier is the least one whose expected quality,
//! less a bound on what is not known, meets the target.

mod expect;
mod rating;

use expect::{Expected, expect};

pub use rating::{Answer, Credit, DriftDetector, rating_value};

/// Bins of an engine's confidence.
pub const BINS: usize = 16;

/// Weight of the prior in each bin, in ratings: the shape over all kinds, at the kind's level.
const PRIOR_RATINGS: f64 = 10.0;

/// Standard errors kept between the expected quality and the target.
const CAUTION_ERRORS: f64 = 0.6;

/// Kept between the expected quality and the target whatever is known.
const QUALITY_SLACK: f64 = 0.001;

/// Halvings of the interval in which the multiplier is searched.
const MAX_BISECTIONS: usize = 40;

/// The largest multiplier, in costs of the strongest rung.
const MAX_PRICE_FACTOR: f64 = 1e4;

/// Ratings, decayed with age.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Ratings {
    /// Ratings.
    pub all: f64,
    /// Those that passed.
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

/// The bin of a confidence from 0 to 1.
pub fn bin(confidence: f64) -> usize {
    ((confidence * BINS as f64) as usize).min(BINS - 1)
}

/// What is believed of one kind of work in one workspace, for a cheap and a strong rung.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Belief {
    /// Requests of this kind.
    pub requests: f64,
    /// How often the cheap rung showed each confidence.
    pub confidence_counts: [f64; BINS],
    /// Ratings of cheap answers, by confidence.
    pub cheap: [Ratings; BINS],
    /// Ratings of strong answers, by the confidence of the cheap one before.
    pub strong: [Ratings; BINS],
    /// Ratings of strong answers that began there.
    pub direct: Ratings,
}

impl Belief {
    /// Forgets a part of everything; `kept` of it remains.
    pub fn decay(&mut self, kept: f64) {
        self.requests *= kept;
        self.confidence_counts.iter_mut().for_each(|seen| *seen *= kept);
        self.cheap.iter_mut().for_each(|cell| cell.decay(kept));
        self.strong.iter_mut().for_each(|cell| cell.decay(kept));
        self.direct.decay(kept);
    }

    /// Forgets most ratings, since they no longer agree with what is met.
    pub fn discount(&mut self) {
        self.cheap.iter_mut().for_each(|cell| cell.decay(KEPT_AFTER_ALARM));
        self.strong.iter_mut().for_each(|cell| cell.decay(KEPT_AFTER_ALARM));
        self.direct.decay(KEPT_AFTER_ALARM);
    }
}

/// Ratings fade by this with each further rating of their kind.
pub const RATING_DECAY: f64 = 0.9995;

/// What remains of ratings after an alarm: little, so that caution returns at once.
const KEPT_AFTER_ALARM: f64 = 0.08;

/// The price and declared quality of the rungs.
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

/// What to do for one kind of work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rule {
    /// Chance to begin with the strong rung.
    pub direct: f64,
    /// Chance to keep a cheap answer of that confidence.
    pub keep: [f64; BINS],
    /// Expected share of answers that pass.
    pub quality: f64,
    /// Chance to try the cheap rung though the rule begins with the strong one.
    pub explore: f64,
    /// Expected pass share of a cheap answer by confidence.
    pub cheap: [f64; BINS],
}

/// The rule before anything is known: strong.
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

/// Solves for the rules of all kinds that share one target.
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

/// The share of the dearer price: the two together just meet the target.
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
    /// Whether to begin with the strong rung; `point` is the request's own from 0 to 1.
    pub fn begins_strong(&self, point: f64) -> bool {
        point < self.direct
    }

    /// Whether to keep a cheap answer; `point` is the request's own from 0 to 1.
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
    let mut worth = rungs.cheap_cost;
    let mut quality = 0.0;
    for (i, keep) in keep.iter_mut().enumerate() {
        let kept = -price * kind.cheap[i];
        let climbed = rungs.strong_cost - price * kind.strong[i];
        *keep = f64::from(u8::from(kept <= climbed));
        worth += kind.seen[i] * kept.min(climbed);
        quality += kind.seen[i] * if *keep > 0.0 { kind.cheap[i] } else { kind.strong[i] };
    }
    let direct = rungs.strong_cost - price * kind.direct < worth;
    let quality = if direct { kind.direct } else { quality };
    Rule {
        direct: f64::from(u8::from(direct)),
        keep,
        quality,
        explore: kind.explore,
        cheap: kind.cheap,
    }
}

/// Expected quality over all kinds, and its standard error.
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
        let mut climbed = 0.0;
        for i in 0..BINS {
            if rule.keep[i] > 0.0 {
                variance += (kind.weight * kind.seen[i] * kind.cheap_error[i]).powi(2);
            } else {
                climbed += kind.seen[i] * kind.strong_error[i];
            }
        }
        variance += (kind.weight * climbed).powi(2);
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
