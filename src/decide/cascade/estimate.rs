//! Estimates the pass rates of both models of a cascade for each kind of work, with their standard
//! errors. Kinds with few ratings borrow from the others.

use super::rating::explore_probability;
use super::{CONFIDENCE_BINS, Observations, PRIOR_RATINGS, Ratings, Rungs};

/// Estimates for one kind of work. The arrays are indexed by confidence bin.
#[derive(Clone, Debug)]
pub(super) struct Estimate {
    pub(super) explore_probability: f64,
    /// Share of all requests that are of this kind.
    pub(super) weight: f64,
    /// Share of the kind's cheap answers in each confidence bin.
    pub(super) confidence_shares: [f64; CONFIDENCE_BINS],
    pub(super) cheap_pass_rate: [f64; CONFIDENCE_BINS],
    /// Standard error of `cheap_pass_rate`.
    pub(super) cheap_error: [f64; CONFIDENCE_BINS],
    pub(super) strong_pass_rate: [f64; CONFIDENCE_BINS],
    /// Standard error of `strong_pass_rate`.
    pub(super) strong_error: [f64; CONFIDENCE_BINS],
    pub(super) direct_pass_rate: f64,
    /// Standard error of `direct_pass_rate`.
    pub(super) direct_error: f64,
}

/// Returns the estimates of each kind of work, in the order of `observations`.
pub(super) fn estimate(observations: &[Observations], rungs: &Rungs) -> Vec<Estimate> {
    let pooled = pooled_pass_rates(observations, rungs);
    let strong = strong_ratings_of(observations);
    let total: f64 = observations.iter().map(|b| b.requests + 1.0).sum();
    observations
        .iter()
        .map(|observed| estimate_kind(observed, &pooled, strong, rungs, total))
        .collect()
}

/// Returns the sum of all ratings of strong answers, escalated and direct ones, over all kinds.
fn strong_ratings_of(observations: &[Observations]) -> Ratings {
    let ratings_by_bin = observations.iter().flat_map(|b| b.strong.iter().chain([&b.direct]));
    ratings_by_bin.fold(Ratings::default(), |sum, ratings| Ratings {
        all: sum.all + ratings.all,
        pass: sum.pass + ratings.pass,
    })
}

/// Maximum weight, in ratings, of all kinds together in a kind's estimate of the strong model,
/// whose pass rate differs little between kinds.
const MAX_POOLED_RATINGS: f64 = 80.0;

/// Returns the cheap model's pass rate in each confidence bin over all kinds of work. It is the
/// prior of a kind with few ratings.
fn pooled_pass_rates(observations: &[Observations], rungs: &Rungs) -> [f64; CONFIDENCE_BINS] {
    let mut pooled = [0.0; CONFIDENCE_BINS];
    let mut weights = [0.0; CONFIDENCE_BINS];
    for (i, share) in pooled.iter_mut().enumerate() {
        let mut ratings = Ratings::default();
        for observed in observations {
            ratings.all += observed.cheap[i].all;
            ratings.pass += observed.cheap[i].pass;
        }
        // The prior weighs the confidence itself by half, so that confidence is trusted a little
        // before any rating.
        let middle = (i as f64 + 0.5) / CONFIDENCE_BINS as f64;
        let prior = (rungs.cheap_quality * 0.5 + middle * 0.5).min(rungs.cheap_quality);
        *share = ratings.smoothed_rate(prior);
        weights[i] = ratings.all + PRIOR_RATINGS;
    }
    fit_monotone(&mut pooled, &weights);
    smooth(&pooled)
}

/// Averages each confidence bin with its neighbours: the steps that an isotonic fit leaves are
/// chance.
fn smooth(values: &[f64; CONFIDENCE_BINS]) -> [f64; CONFIDENCE_BINS] {
    let mut smoothed = *values;
    for i in 1..CONFIDENCE_BINS - 1 {
        smoothed[i] = (values[i - 1] + 2.0 * values[i] + values[i + 1]) / 4.0;
    }
    smoothed
}

/// Weight, in ratings, of the prior that a kind of work is as hard as all kinds together.
const LEVEL_PRIOR_RATINGS: f64 = 4.0;

/// Number of Newton iterations that fit how much easier or harder a kind of work is than all kinds
/// together.
const NEWTON_STEPS: usize = 6;

/// Shifts the pass rates over all kinds by the same log-odds in each bin, so that they fit the
/// kind's own ratings best.
fn shift_to_level(
    pooled: &[f64; CONFIDENCE_BINS],
    ratings_by_bin: &[Ratings; CONFIDENCE_BINS],
) -> [f64; CONFIDENCE_BINS] {
    let log_odds = pooled.map(|p| {
        let p = p.clamp(0.01, 0.99);
        (p / (1.0 - p)).ln()
    });
    let mut shift = 0.0;
    for _ in 0..NEWTON_STEPS {
        let mut gradient = -shift * LEVEL_PRIOR_RATINGS * 0.25;
        let mut curvature = LEVEL_PRIOR_RATINGS * 0.25;
        for (log_odds, ratings) in log_odds.iter().zip(ratings_by_bin) {
            let p = 1.0 / (1.0 + (-(log_odds + shift)).exp());
            gradient += ratings.pass - ratings.all * p;
            curvature += ratings.all * p * (1.0 - p);
        }
        shift += (gradient / curvature).clamp(-1.0, 1.0);
    }
    log_odds.map(|log_odds| 1.0 / (1.0 + (-(log_odds + shift)).exp()))
}

/// Returns the estimates of one kind of work. `pooled` are the cheap model's pass rates over all
/// kinds, `all_strong_ratings` the ratings of the strong model over all kinds, and `total` is the
/// number of requests of all kinds.
fn estimate_kind(
    observed: &Observations,
    pooled: &[f64; CONFIDENCE_BINS],
    all_strong_ratings: Ratings,
    rungs: &Rungs,
    total: f64,
) -> Estimate {
    let answer_count: f64 = observed.confidence_counts.iter().sum();
    let weight = (observed.requests + 1.0) / total;
    let mut confidence_shares = [1.0 / CONFIDENCE_BINS as f64; CONFIDENCE_BINS];
    let mut cheap_pass_rate = [0.0; CONFIDENCE_BINS];
    let mut weights = [0.0; CONFIDENCE_BINS];
    let level = shift_to_level(pooled, &observed.cheap);
    let own = strong_ratings_of(std::slice::from_ref(observed));
    let prior = all_strong_ratings.smoothed_rate(rungs.strong_quality);
    let trust = all_strong_ratings.all.min(MAX_POOLED_RATINGS) + PRIOR_RATINGS;
    let overall = (own.pass + trust * prior) / (own.all + trust);
    let overall_error = (overall * (1.0 - overall) / (own.all + trust)).sqrt();
    let mut strong_pass_rate = [overall; CONFIDENCE_BINS];
    let mut strong_error = [0.0; CONFIDENCE_BINS];
    for i in 0..CONFIDENCE_BINS {
        if answer_count > 0.0 {
            confidence_shares[i] = (observed.confidence_counts[i] + 0.05)
                / (answer_count + 0.05 * CONFIDENCE_BINS as f64);
        }
        cheap_pass_rate[i] = observed.cheap[i].smoothed_rate(level[i]);
        weights[i] = observed.cheap[i].all + PRIOR_RATINGS;
        strong_pass_rate[i] = observed.strong[i].smoothed_rate(overall);
        strong_error[i] = overall_error;
    }
    fit_monotone(&mut cheap_pass_rate, &weights);
    fit_monotone(
        &mut strong_pass_rate,
        &observed.strong.map(|ratings| ratings.all + PRIOR_RATINGS),
    );
    let mut cheap_error = [0.0; CONFIDENCE_BINS];
    for i in 0..CONFIDENCE_BINS {
        let p = cheap_pass_rate[i].clamp(0.02, 0.98);
        cheap_error[i] = (p * (1.0 - p) / weights[i]).sqrt();
    }
    let direct_pass_rate = overall;
    let direct_error = overall_error;
    Estimate {
        explore_probability: explore_probability(observed),
        weight,
        confidence_shares,
        cheap_pass_rate,
        cheap_error,
        strong_pass_rate,
        strong_error,
        direct_pass_rate,
        direct_error,
    }
}

/// Makes the values non-decreasing with confidence (isotonic regression by pooling adjacent
/// violators), as a more confident answer is not likelier to be poor.
fn fit_monotone(values: &mut [f64; CONFIDENCE_BINS], weights: &[f64; CONFIDENCE_BINS]) {
    let mut blocks: [(f64, f64, usize); CONFIDENCE_BINS] = [(0.0, 0.0, 0); CONFIDENCE_BINS];
    let mut count = 0;
    for i in 0..CONFIDENCE_BINS {
        blocks[count] = (values[i], weights[i], 1);
        count += 1;
        while count > 1 && blocks[count - 2].0 > blocks[count - 1].0 {
            let (a, b) = (blocks[count - 2], blocks[count - 1]);
            let weight = a.1 + b.1;
            blocks[count - 2] = ((a.0 * a.1 + b.0 * b.1) / weight, weight, a.2 + b.2);
            count -= 1;
        }
    }
    let mut start = 0;
    for block in &blocks[..count] {
        values[start..start + block.2].fill(block.0);
        start += block.2;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn monotone_leaves_no_fall() {
        let mut values = [0.5; CONFIDENCE_BINS];
        values[3] = 0.9;
        values[9] = 0.1;
        fit_monotone(&mut values, &[1.0; CONFIDENCE_BINS]);
        assert!(values.windows(2).all(|pair| pair[0] <= pair[1] + 1e-12));
    }
}
