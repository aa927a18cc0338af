//! Always-valid evidence from counts: it may be looked at after every event.
//!
//! The counts are sufficient, so evidence merged from many VMs is tested as one.

/// Alternatives that the test against harm is a mixture of: harm in share of bad events.
const HARMS: [f64; 6] = [0.02, 0.04, 0.08, 0.16, 0.32, 0.64];

/// Variance-scale of the normal mixture; the boundary is tightest near this many events.
const MIXTURE: f64 = 200.0;

/// Weight of the prior that keeps rates of few events off 0 and 1.
const PRIOR: f64 = 2.0;

/// Shares are kept this far from 0 and 1.
const EDGE: f64 = 1e-4;

/// Bad events among all events.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Count {
    /// All events.
    pub all: f64,
    /// Bad ones.
    pub bad: f64,
}

impl Count {
    /// A count of whole events.
    pub fn of(all: u64, bad: u64) -> Count {
        Count { all: all as f64, bad: bad as f64 }
    }

    /// The share of bad events, drawn towards `prior` while there are few.
    pub fn rate(self, prior: f64) -> f64 {
        (self.bad + PRIOR * prior) / (self.all + PRIOR)
    }

    /// Half the width of a confidence sequence of the share, at risk `alpha`.
    pub fn radius(self, alpha: f64, prior: f64) -> f64 {
        if self.all < 1.0 {
            return 1.0;
        }
        let p = self.rate(prior.max(0.02));
        let spread = p * (1.0 - p);
        let n = self.all;
        let log = (((n + MIXTURE) / MIXTURE).sqrt() / alpha).ln();
        (2.0 * spread * log * (n + MIXTURE)).sqrt() / n
    }
}

/// Logarithm of the evidence that the share of bad events lies above `usual`.
///
/// The mixture's expectation is at most 1 at every look if the share is at most `usual`, so
/// evidence of `ln(1 / alpha)` is reached with a chance of at most `alpha`.
pub fn evidence(count: Count, usual: f64) -> f64 {
    let usual = usual.clamp(EDGE, 1.0 - EDGE);
    let good = count.all - count.bad;
    let mut terms = [0.0; HARMS.len()];
    for (term, harm) in terms.iter_mut().zip(HARMS) {
        let worse = (usual + harm * (1.0 - usual)).min(1.0 - EDGE);
        *term = count.bad * (worse / usual).ln() + good * ((1.0 - worse) / (1.0 - usual)).ln();
    }
    let top = terms.iter().copied().fold(f64::MIN, f64::max);
    let sum: f64 = terms.iter().map(|term| (term - top).exp()).sum();
    top + sum.ln() - (HARMS.len() as f64).ln()
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
    fn the_radius_shrinks_with_events() {
        let small = Count { all: 100.0, bad: 10.0 }.radius(0.05, 0.1);
        let large = Count { all: 10_000.0, bad: 1000.0 }.radius(0.05, 0.1);
        assert!(large < small / 5.0);
    }
}
