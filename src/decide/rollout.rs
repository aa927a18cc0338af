//! Decides the next step of a roll-out: the new version's share of traffic grows as fast as the
//! evidence rules out harm, and the version is withdrawn at once if the evidence proves harm.
//!
//! *Harm* is the increase of the share of bad answers over the old version's. Answers are bad if
//! they failed, were slow, or got a poor rating. Some answers are rated by an external service,
//! which takes a while, the rating lag.

use super::sequential::{Count, Difference, evidence};
use crate::unit::{Span, TrafficShare};

/// Limits of risk and pace of roll-outs, set by operators.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// False positive rate: probability of withdrawing a version that does no harm.
    pub alpha: f64,
    /// Increase of the share of bad answers that operators tolerate; less does not count as harm.
    pub tolerance: f64,
    /// Increase of the share of bad answers that must be unlikely before all traffic moves to the
    /// new version.
    pub margin: f64,
    /// Maximum probability of harm beyond `margin` at which all traffic may move.
    pub max_risk: f64,
    /// Maximum expected number of additional bad answers whose ratings are still outstanding.
    pub max_unrated_harm: f64,
    /// First share of the new version if the request rate is not known.
    pub default_first_share: TrafficShare,
    /// Number of requests that the new version may get before the first ratings arrive.
    pub first_requests: f64,
    /// Maximum expected harm at which sessions may begin on the new version.
    pub max_session_harm: f64,
    /// Minimum time in which the new version's share may double.
    pub min_doubling_time: Span,
    /// Time without any rating, in multiples of the usual rating lag, after which ratings count as
    /// stopped.
    pub max_silence_lags: f64,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            alpha: 0.01,
            tolerance: 0.005,
            margin: 0.02,
            max_risk: 0.1,
            max_unrated_harm: 3.0,
            default_first_share: TrafficShare(2_000),
            first_requests: 25.0,
            max_session_harm: 0.012,
            min_doubling_time: Span::secs(120),
            max_silence_lags: 4.0,
        }
    }
}

/// Counts of one version (the new or the old arm of the comparison) since the roll-out began.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Arm {
    /// Requests that ended; the failed ones are bad.
    pub errors: Count,
    /// Requests that ended; those with a late first token are bad.
    pub slow: Count,
    /// Ratings; those that did not pass are bad.
    pub poor: Count,
}

/// What is known of a roll-out: the inputs of [`next_step`].
#[derive(Clone, Copy, Debug)]
pub struct Inputs {
    /// Counts of the new version.
    pub new: Arm,
    /// Counts of the old version, the one in service, since the roll-out began.
    pub old: Arm,
    /// Ratings of the old version before the roll-out began.
    pub earlier_ratings: Count,
    /// Share of the traffic that the new version gets now.
    pub share: TrafficShare,
    /// True while the roll-out is held because ratings stopped.
    pub is_held: bool,
    /// Time since the new version's share last changed.
    pub time_at_share: Span,
    /// Requests per second for the model over all VMs.
    pub request_rate: f64,
    /// Usual time from an answer until its rating is counted.
    pub rating_lag: Span,
    /// Time since the latest rating of either version.
    pub time_since_rating: Span,
    /// Fraction of the old version's ratings that do not pass, as operators declared it.
    pub declared_poor_share: f64,
}

/// Next step of a roll-out, with the new share if it changes, and the reason for operators.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// No change.
    Stay,
    /// Increases the share to this one.
    Grow(TrafficShare, String),
    /// Reduces the share to this one, since harm is likely but not proved.
    Shrink(TrafficShare, String),
    /// Stops growth at this share, since ratings stopped.
    Hold(TrafficShare, String),
    /// Resumes growth, since ratings arrive again.
    Resume(String),
    /// Moves all traffic to the new version.
    Complete(String),
    /// Withdraws the version for good; it gets no new work.
    Withdraw(String),
}

/// Share of errors that is assumed of a version without answers.
const ERROR_PRIOR: f64 = 0.01;

/// Share of late first tokens that is assumed of a version without answers.
const SLOW_PRIOR: f64 = 0.05;

/// False positive rate at which the new version's share is reduced.
const SHRINK_CHANCE: f64 = 0.08;

/// Maximum share of the new version before all traffic moves; two versions are compared best at
/// equal shares.
const MAX_PARTIAL_SHARE: TrafficShare = TrafficShare(500_000);

/// Minimum factor by which the share grows; less is not worth a change of configuration.
const MIN_GROWTH_FACTOR: f64 = 1.4;

/// Ratings of the new version that are needed before its share grows beyond the first.
const MIN_RATINGS: f64 = 30.0;

/// Factor on the new version's share when harm is likely.
const SHRINK_FACTOR: f64 = 0.25;

/// Maximum weight in the baseline, in ratings, of the old version's ratings before the roll-out.
const MAX_EARLIER_RATINGS: f64 = 800.0;

/// Maximum difference, in standard errors, between the old version's ratings before and during the
/// roll-out. If they differ more, only those during the roll-out count.
const MAX_DRIFT_ERRORS: f64 = 3.0;

/// Returns the ratings with which the new version is compared: those of the old version
/// since the roll-out began, plus earlier ones if they agree.
fn baseline_ratings(inputs: &Inputs) -> Count {
    let (now, before) = (inputs.old.poor, inputs.earlier_ratings.capped(MAX_EARLIER_RATINGS));
    let difference = Difference::between(now, before, inputs.declared_poor_share);
    if difference.mean.abs() > MAX_DRIFT_ERRORS * difference.error {
        return now;
    }
    now.plus(before)
}

/// Returns the signals of harm: their names, and the log evidence of each that the new version is
/// worse than tolerated.
fn harm_signals(policy: &Policy, inputs: &Inputs) -> [(&'static str, f64); 3] {
    let limit = |old: Count, prior: f64| {
        let rate = old.rate(prior);
        let error = (rate * (1.0 - rate) / (old.all + 20.0)).sqrt();
        rate + error + policy.tolerance
    };
    [
        (
            "ratings",
            evidence(inputs.new.poor, limit(baseline_ratings(inputs), inputs.declared_poor_share)),
        ),
        ("errors", evidence(inputs.new.errors, limit(inputs.old.errors, ERROR_PRIOR))),
        ("late first tokens", evidence(inputs.new.slow, limit(inputs.old.slow, SLOW_PRIOR))),
    ]
}

/// Estimates how much larger the new version's share of poor ratings is than the baseline's.
pub fn rating_difference(inputs: &Inputs) -> Difference {
    Difference::between(inputs.new.poor, baseline_ratings(inputs), inputs.declared_poor_share)
}

/// Returns true if sessions may begin on the new version. A session stays on its version, so this
/// needs more evidence than single requests do.
pub fn admits_sessions(policy: &Policy, inputs: &Inputs) -> bool {
    inputs.new.poor.all >= MIN_RATINGS
        && rating_difference(inputs).expected_harm(policy.tolerance) <= policy.max_session_harm
}

/// Returns the first share of the new version, small enough that it gets few requests before the
/// first ratings arrive. `rate` is in requests per second, `lag` the rating lag. Without any
/// requests, returns the policy's default.
pub fn first_share(policy: &Policy, rate: f64, lag: Span) -> TrafficShare {
    if rate <= 0.0 {
        return policy.default_first_share;
    }
    TrafficShare::from_fraction(
        (policy.first_requests / (rate * lag.as_secs().max(1.0))).clamp(0.0005, 0.05),
    )
}

/// Decides the next step of a roll-out: withdraws the version if harm is proved, reduces its share
/// if harm is likely, holds the roll-out while ratings are missing, and otherwise lets the share
/// grow as far as the evidence allows.
pub fn next_step(policy: &Policy, inputs: &Inputs) -> Action {
    let proof = (3.0 / policy.alpha).ln();
    let harm_signals = harm_signals(policy, inputs);
    let (signal, worst) =
        harm_signals.iter().copied().fold(("", f64::MIN), |a, b| if b.1 > a.1 { b } else { a });
    if worst >= proof {
        return Action::Withdraw(format!(
            "{signal} prove harm: {:.0} bad of {:.0} rated against {:.0} of {:.0}",
            inputs.new.poor.bad, inputs.new.poor.all, inputs.old.poor.bad, inputs.old.poor.all
        ));
    }
    let first = first_share(policy, inputs.request_rate, inputs.rating_lag);
    if worst >= (1.0 / SHRINK_CHANCE).ln() && inputs.share > first {
        let back = TrafficShare::from_fraction(inputs.share.fraction() * SHRINK_FACTOR).max(first);
        if inputs.time_at_share >= inputs.rating_lag {
            return Action::Shrink(back, format!("{signal} make harm likely but do not prove it"));
        }
        // Not all ratings of answers at the present share have arrived yet.
        return Action::Stay;
    }
    let is_silent = inputs.time_since_rating.as_secs()
        > policy.max_silence_lags * inputs.rating_lag.as_secs().max(1.0);
    if is_silent && !inputs.is_held {
        return Action::Hold(
            inputs.share.min(first),
            format!("no rating arrived for {}", inputs.time_since_rating),
        );
    }
    if inputs.is_held {
        return if is_silent {
            Action::Stay
        } else {
            Action::Resume("ratings arrive again".to_owned())
        };
    }
    growth_step(policy, inputs, first)
}

/// Returns the probability of harm beyond the margin by the signal for which it is largest: ratings,
/// errors or late first tokens. A signal with few answers proves no harm and does not rule it out
/// either.
fn risk(policy: &Policy, inputs: &Inputs) -> f64 {
    let (new, old) = (inputs.new, inputs.old);
    let signals = [
        rating_difference(inputs),
        Difference::between(new.errors, old.errors, ERROR_PRIOR),
        Difference::between(new.slow, old.slow, SLOW_PRIOR),
    ];
    signals.map(|difference| difference.chance_above(policy.margin)).into_iter().fold(0.0, f64::max)
}

/// Decides the next step if there is no sign of harm: the first share, growth, completion, or no
/// change.
fn growth_step(policy: &Policy, inputs: &Inputs, first: TrafficShare) -> Action {
    if inputs.new.poor.all < MIN_RATINGS {
        let has_started = inputs.share >= first;
        return if has_started {
            Action::Stay
        } else {
            Action::Grow(first, "first requests".to_owned())
        };
    }
    let harm = rating_difference(inputs).expected_harm(policy.tolerance);
    let risk = risk(policy, inputs);
    let reason = || {
        format!(
            "harm of {:.2}% is expected; more than {:.0}% has a chance of {risk:.2}",
            harm * 100.0,
            policy.margin * 100.0
        )
    };
    if inputs.share >= MAX_PARTIAL_SHARE
        && risk <= policy.max_risk
        && inputs.time_at_share >= inputs.rating_lag
    {
        return Action::Complete(reason());
    }
    let unrated = inputs.rating_lag.as_secs() * inputs.request_rate;
    let allowed = policy.max_unrated_harm / (unrated * harm).max(1e-9);
    let doublings = inputs.time_at_share.as_secs() / policy.min_doubling_time.as_secs();
    let paced = inputs.share.fraction().max(first.fraction()) * 2f64.powf(doublings);
    let next = TrafficShare::from_fraction(allowed.min(paced)).min(MAX_PARTIAL_SHARE);
    if next.fraction() >= inputs.share.fraction() * MIN_GROWTH_FACTOR
        || (next == MAX_PARTIAL_SHARE && inputs.share < MAX_PARTIAL_SHARE)
    {
        return Action::Grow(next, reason());
    }
    Action::Stay
}

/// Share of the rating budget that goes to the new version until it has [`BALANCED_FROM_RATINGS`].
const EARLY_RATING_SHARE: f64 = 0.7;

/// Ratings of the new version from which both versions get equally many further ratings, which
/// gives the most precise difference.
const BALANCED_FROM_RATINGS: f64 = 500.0;

/// Returns the shares of the answers of the new and of the old version that are to be rated.
/// `share` is the new version's share of `rate` requests per second, `budget` the number of ratings
/// per second, and `rated` the number of ratings of the new version so far.
///
/// The new version gets more ratings at first, since each of them shortens the time in which a bad
/// version gets traffic.
pub fn rating_shares(share: TrafficShare, rate: f64, budget: f64, rated: f64) -> (f64, f64) {
    let new_rate = rate * share.fraction();
    let old_rate = rate - new_rate;
    let part = if rated < BALANCED_FROM_RATINGS { EARLY_RATING_SHARE } else { 0.5 };
    let new = if new_rate > 0.0 { (budget * part / new_rate).min(1.0) } else { 1.0 };
    let left = budget - new * new_rate;
    let old = if old_rate > 0.0 { (left / old_rate).clamp(0.0, 1.0) } else { 0.0 };
    (new, old)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Returns counts with these ratings; all rated answers ended well and in time.
    fn arm(poor: Count) -> Arm {
        let ended = Count { all: poor.all, bad: 0.0 };
        Arm { errors: ended, slow: ended, poor }
    }

    fn inputs(new: Count, old: Count, share: f64) -> Inputs {
        Inputs {
            new: arm(new),
            old: arm(old),
            earlier_ratings: Count::default(),
            share: TrafficShare::from_fraction(share),
            is_held: false,
            time_at_share: Span::secs(600),
            request_rate: 50.0,
            rating_lag: Span::secs(60),
            time_since_rating: Span::secs(1),
            declared_poor_share: 0.1,
        }
    }

    #[test]
    fn it_waits_for_the_first_ratings() {
        let policy = Policy::default();
        let inputs = inputs(Count::default(), Count::of(500, 50), 0.02);
        assert_eq!(next_step(&policy, &inputs), Action::Stay);
    }

    #[test]
    fn proof_withdraws_and_likely_harm_steps_back() {
        let policy = Policy::default();
        let bad = inputs(Count::of(100, 40), Count::of(500, 50), 0.1);
        assert!(matches!(next_step(&policy, &bad), Action::Withdraw(_)));
        let likely = inputs(Count::of(60, 15), Count::of(500, 50), 0.1);
        assert!(matches!(next_step(&policy, &likely), Action::Shrink(..)));
    }

    #[test]
    fn a_good_version_grows_and_ends() {
        let policy = Policy::default();
        let good = inputs(Count::of(1000, 100), Count::of(1000, 100), 0.01);
        assert!(matches!(next_step(&policy, &good), Action::Grow(..)));
        let sure = inputs(Count::of(8000, 800), Count::of(8000, 800), 0.5);
        assert!(matches!(next_step(&policy, &sure), Action::Complete(_)));
    }

    #[test]
    fn silence_holds_and_ratings_resume() {
        let policy = Policy::default();
        let mut silent = inputs(Count::of(1000, 100), Count::of(1000, 100), 0.2);
        silent.time_since_rating = Span::secs(1000);
        assert!(matches!(next_step(&policy, &silent), Action::Hold(..)));
        silent.is_held = true;
        assert_eq!(next_step(&policy, &silent), Action::Stay);
        silent.time_since_rating = Span::secs(1);
        assert!(matches!(next_step(&policy, &silent), Action::Resume(_)));
    }

    #[test]
    fn ratings_go_to_the_new_version_first() {
        let (new, old) = rating_shares(TrafficShare::from_fraction(0.01), 50.0, 2.5, 0.0);
        assert_eq!(new, 1.0);
        assert!(old > 0.0 && old < 0.05);
    }
}
