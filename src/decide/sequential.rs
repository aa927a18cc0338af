//! Sequential test on counts of good and bad events that stays valid however often it is evaluated
//! (anytime-valid).
//!
//! The counts are sufficient statistics, so counts merged from many VMs can be tested as one.

use serde::{Deserialize, Serialize};

/// Alternatives of the mixture test: increases of the share of bad events, each with its weight.
/// Increases that are worth finding fast weigh most.
const HARM_ALTERNATIVES: [(f64, f64); 6] =
    [(0.03, 0.13), (0.06, 0.22), (0.12, 0.27), (0.24, 0.18), (0.48, 0.1), (0.9, 0.1)];

/// Weight, in events, of the prior of a rate; keeps rates of few events off 0 and 1.
const PRIOR_EVENTS: f64 = 2.0;

/// Minimum distance of a share from 0 and 1, so that logarithms stay finite.
const MIN_SHARE: f64 = 1e-4;

/// Number of events and of bad events among them. Fractional, since counts may be decayed or
/// scaled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Count {
    /// All events, the bad ones included.
    pub all: f64,
    /// Bad events.
    pub bad: f64,
}

impl Count {
    /// Creates a count from whole numbers of events.
    pub fn of(all: u64, bad: u64) -> Count {
        Count { all: all as f64, bad: bad as f64 }
    }

    /// Returns the share of bad events, shrunk towards `prior` while there are few events.
    pub fn rate(self, prior: f64) -> f64 {
        (self.bad + PRIOR_EVENTS * prior) / (self.all + PRIOR_EVENTS)
    }

    /// Returns the sum of both counts.
    pub fn plus(self, other: Count) -> Count {
        Count { all: self.all + other.all, bad: self.bad + other.bad }
    }

    /// Scales the count down to at most `most` events with the same share of bad ones.
    pub fn capped(self, most: f64) -> Count {
        let kept = (most / self.all.max(1.0)).min(1.0);
        Count { all: self.all * kept, bad: self.bad * kept }
    }
}

/// Difference of two shares of bad events, as a normal distribution, which holds for large counts.
#[derive(Clone, Copy, Debug)]
pub struct Difference {
    /// Estimated difference.
    pub mean: f64,
    /// Standard error of the estimate.
    pub error: f64,
}

impl Difference {
    /// Estimates how much larger the share of `new` is than that of `old`, both shrunk towards
    /// `prior`.
    pub fn between(new: Count, old: Count, prior: f64) -> Difference {
        let (a, b) = (new.rate(prior), old.rate(prior));
        let spread = |p: f64, n: f64| p.max(0.01) * (1.0 - p.min(0.99)) / (n + PRIOR_EVENTS);
        let error = (spread(a, new.all) + spread(b, old.all)).sqrt();
        Difference { mean: a - b, error }
    }

    /// Returns the probability that the difference exceeds `margin`.
    pub fn chance_above(self, margin: f64) -> f64 {
        normal_cdf((self.mean - margin) / self.error)
    }

    /// Returns the expected excess over `tolerance`; differences below it count as zero.
    pub fn expected_harm(self, tolerance: f64) -> f64 {
        let mean = self.mean - tolerance;
        let z = mean / self.error;
        let density = (-0.5 * z * z).exp() / (2.0 * std::f64::consts::PI).sqrt();
        mean * normal_cdf(z) + self.error * density
    }
}

/// Cumulative distribution function of the standard normal distribution.
fn normal_cdf(z: f64) -> f64 {
    0.5 * libm::erfc(-z / std::f64::consts::SQRT_2)
}

/// Returns the log evidence (log of a mixture likelihood ratio) that the share of bad events
/// exceeds `usual`.
///
/// If the share is at most `usual`, the expectation of the mixture is at most 1 at every look, so
/// evidence of `ln(1 / alpha)` is ever reached with probability at most `alpha`.
pub fn evidence(count: Count, usual: f64) -> f64 {
    let usual = usual.clamp(MIN_SHARE, 1.0 - MIN_SHARE);
    let good = count.all - count.bad;
    let mut terms = [0.0; HARM_ALTERNATIVES.len()];
    for (term, (harm, weight)) in terms.iter_mut().zip(HARM_ALTERNATIVES) {
        let worse = (usual + harm * (1.0 - usual)).min(1.0 - MIN_SHARE);
        let ratio = count.bad * (worse / usual).ln() + good * ((1.0 - worse) / (1.0 - usual)).ln();
        *term = ratio + weight.ln();
    }
    let top = terms.iter().copied().fold(f64::MIN, f64::max);
    let sum: f64 = terms.iter().map(|term| (term - top).exp()).sum();
    top + sum.ln()
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::{Rng, SeedableRng, rngs::SmallRng};

    fn ever_crosses(share: f64, usual: f64, events: u32, seed: u64) -> bool {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut count = Count::default();
        (0..events).any(|_| {
            count.all += 1.0;
            count.bad += f64::from(u8::from(rng.random::<f64>() < share));
            evidence(count, usual) > 100f64.ln()
        })
    }

    #[test]
    fn an_honest_version_is_rarely_accused_however_often_one_looks() {
        let accused = (0..1000).filter(|seed| ever_crosses(0.1, 0.1, 2000, *seed)).count();
        assert!(accused <= 10, "{accused} of 1000 at risk 0.01");
    }

    #[test]
    fn a_harmful_version_is_found_soon() {
        let found = (0..200).filter(|seed| ever_crosses(0.25, 0.1, 250, *seed)).count();
        assert!(found >= 190, "{found} of 200");
    }

    #[test]
    fn expected_harm_falls_with_evidence_and_never_below_nothing() {
        let harm = |n: f64| {
            let count = Count { all: n, bad: n * 0.1 };
            Difference::between(count, count, 0.1).expected_harm(0.0)
        };
        assert!(harm(10_000.0) < harm(100.0) / 5.0);
        assert!(harm(1e6) > 0.0);
        let worse = Count { all: 1000.0, bad: 300.0 };
        let usual = Count { all: 1000.0, bad: 100.0 };
        let found = Difference::between(worse, usual, 0.1);
        assert!((found.expected_harm(0.0) - 0.2).abs() < 0.01);
        assert!(found.chance_above(0.1) > 0.99);
    }
}
