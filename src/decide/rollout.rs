//! The next step of a roll-out: as fast as evidence rules out harm, and back at once on proof.

use super::sequential::{Count, Difference, evidence};
use crate::unit::{Parts, Span};

/// What bounds a roll-out.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Chance of withdrawing a version that does no harm.
    pub alpha: f64,
    /// Harm, in share of bad answers, that operators put up with.
    pub tolerance: f64,
    /// Harm that must be unlikely before all traffic moves.
    pub margin: f64,
    /// Chance of harm beyond the margin with which all traffic may move.
    pub doubt: f64,
    /// Bad answers beyond the usual, as expected, that may be under way before their ratings are
    /// back.
    pub blind: f64,
    /// The share begun with, if the traffic is not known.
    pub first: Parts,
    /// Requests that may be exposed before the first ratings are back.
    pub scouts: f64,
    /// Expected harm above which no session begins on the version.
    pub sessions_below: f64,
    /// The share at most doubles in this time.
    pub doubling: Span,
    /// Ratings count as stopped after this many times their usual lag.
    pub patience: f64,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            alpha: 0.01,
            tolerance: 0.005,
            margin: 0.02,
            doubt: 0.1,
            blind: 3.0,
            first: Parts(2_000),
            scouts: 25.0,
            sessions_below: 0.012,
            doubling: Span::secs(120),
            patience: 4.0,
        }
    }
}

/// What is known of one version since the roll-out began.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Arm {
    /// Requests that ended, and those that failed.
    pub errors: Count,
    /// Requests that ended, and those whose first token came late.
    pub slow: Count,
    /// Ratings, and those that did not pass.
    pub poor: Count,
}

/// What a decision stands on.
#[derive(Clone, Copy, Debug)]
pub struct View {
    /// The version rolled out.
    pub new: Arm,
    /// The version in service, over the same time.
    pub old: Arm,
    /// Ratings of the version in service before the roll-out began.
    pub before: Count,
    /// The present share.
    pub share: Parts,
    /// Whether the roll-out is held.
    pub held: bool,
    /// Time at the present share.
    pub at_share: Span,
    /// Requests a second for the model, over all VMs.
    pub rate: f64,
    /// The usual time from an answer to its rating and to this decision.
    pub lag: Span,
    /// Time since the latest rating of any of the two.
    pub silent: Span,
    /// Declared share of bad answers of the version in service.
    pub prior: f64,
}

/// The next step.
#[derive(Clone, Debug, PartialEq)]
pub enum Move {
    /// Nothing changes.
    Stay,
    /// More traffic.
    Grow(Parts, String),
    /// Less traffic, since harm is likely but not proved.
    Shrink(Parts, String),
    /// No more growth, since ratings stopped.
    Hold(Parts, String),
    /// Ratings are back.
    Resume(String),
    /// All traffic.
    Complete(String),
    /// No new work, for good.
    Withdraw(String),
}

/// Evidence, as a chance, on which the share is stepped back.
const DOUBT: f64 = 0.08;

/// The largest share before all traffic: the two are compared best at halves.
const HALF: Parts = Parts(500_000);

/// Growth of less than this factor is not worth a change of configuration.
const WORTHWHILE: f64 = 1.4;

/// Fewest ratings before the share grows at all.
const FEWEST: f64 = 30.0;

/// How far the share is stepped back in doubt.
const STEP_BACK: f64 = 0.25;

/// Ratings from before the roll-out count as at most so many.
const BEFORE: f64 = 800.0;

/// Standard errors by which the usual share may have moved since; past it, only ratings of the
/// same time count.
const MOVED: f64 = 3.0;

/// What the version in service does: over the same time, and before if that agrees.
fn usual(view: &View) -> Count {
    let (now, before) = (view.old.poor, view.before.at_most(BEFORE));
    let difference = Difference::between(now, before, view.prior);
    if difference.mean.abs() > MOVED * difference.error {
        return now;
    }
    now.plus(before)
}

/// A sign of harm: what it is called, and its evidence.
fn signs(policy: &Policy, view: &View) -> [(&'static str, f64); 3] {
    let limit = |old: Count, prior: f64| {
        let rate = old.rate(prior);
        let spread = (rate * (1.0 - rate) / (old.all + 20.0)).sqrt();
        rate + spread + policy.tolerance
    };
    [
        ("ratings", evidence(view.new.poor, limit(usual(view), view.prior))),
        ("errors", evidence(view.new.errors, limit(view.old.errors, 0.01))),
        ("late first tokens", evidence(view.new.slow, limit(view.old.slow, 0.05))),
    ]
}

/// How much worse the version may be, in share of poor answers.
pub fn difference(view: &View) -> Difference {
    Difference::between(view.new.poor, usual(view), view.prior)
}

/// Whether sessions may begin on the version: they keep it, so they wait for more evidence.
pub fn takes_sessions(policy: &Policy, view: &View) -> bool {
    view.new.poor.all >= FEWEST
        && difference(view).expected_harm(policy.tolerance) <= policy.sessions_below
}

/// The share that a roll-out begins with: few enough requests before the first ratings are back.
pub fn first_share(policy: &Policy, rate: f64, lag: Span) -> Parts {
    if rate <= 0.0 {
        return policy.first;
    }
    Parts::of((policy.scouts / (rate * lag.as_secs().max(1.0))).clamp(0.0005, 0.05))
}

/// Decides the next step.
pub fn decide(policy: &Policy, view: &View) -> Move {
    let proof = (3.0 / policy.alpha).ln();
    let signs = signs(policy, view);
    let (sign, worst) =
        signs.iter().copied().fold(("", f64::MIN), |a, b| if b.1 > a.1 { b } else { a });
    if worst >= proof {
        return Move::Withdraw(format!(
            "{sign} prove harm: {:.0} bad of {:.0} rated against {:.0} of {:.0}",
            view.new.poor.bad, view.new.poor.all, view.old.poor.bad, view.old.poor.all
        ));
    }
    let first = first_share(policy, view.rate, view.lag);
    if worst >= (1.0 / DOUBT).ln() && view.share > first {
        let back = Parts::of(view.share.fraction() * STEP_BACK).max(first);
        if view.at_share >= view.lag {
            return Move::Shrink(back, format!("{sign} make harm likely but do not prove it"));
        }
        return Move::Stay;
    }
    let quiet = view.silent.as_secs() > policy.patience * view.lag.as_secs().max(1.0);
    if quiet && !view.held {
        return Move::Hold(view.share.min(first), format!("no rating came for {}", view.silent));
    }
    if view.held {
        return if quiet { Move::Stay } else { Move::Resume("ratings are back".to_owned()) };
    }
    grow(policy, view, first)
}

fn grow(policy: &Policy, view: &View, first: Parts) -> Move {
    if view.new.poor.all < FEWEST {
        let begun = view.share >= first;
        return if begun { Move::Stay } else { Move::Grow(first, "first requests".to_owned()) };
    }
    let difference = difference(view);
    let harm = difference.expected_harm(policy.tolerance);
    let risk = difference.exceeds(policy.margin);
    let words = || {
        format!(
            "harm of {:.2}% is expected; more than {:.0}% has a chance of {risk:.2}",
            harm * 100.0,
            policy.margin * 100.0
        )
    };
    if view.share >= HALF && risk <= policy.doubt && view.at_share >= view.lag {
        return Move::Complete(words());
    }
    let blind = view.lag.as_secs() * view.rate;
    let allowed = policy.blind / (blind * harm).max(1e-9);
    let doublings = view.at_share.as_secs() / policy.doubling.as_secs();
    let paced = view.share.fraction().max(first.fraction()) * 2f64.powf(doublings);
    let next = Parts::of(allowed.min(paced)).min(HALF);
    if next.fraction() >= view.share.fraction() * WORTHWHILE || (next == HALF && view.share < HALF)
    {
        return Move::Grow(next, words());
    }
    Move::Stay
}

/// Share of the ratings that the version rolled out gets while little is known of it.
const SCOUTED: f64 = 0.7;

/// Ratings after which both versions get as many: the difference is known best then.
const KNOWN: f64 = 500.0;

/// Which share of the answers of each version to have rated, out of `budget` ratings a second,
/// when `rated` answers of the version rolled out were rated before.
///
/// The version rolled out comes first: each of its ratings ends exposure sooner.
pub fn sampling(share: Parts, rate: f64, budget: f64, rated: f64) -> (f64, f64) {
    let new_rate = rate * share.fraction();
    let old_rate = rate - new_rate;
    let part = if rated < KNOWN { SCOUTED } else { 0.5 };
    let new = if new_rate > 0.0 { (budget * part / new_rate).min(1.0) } else { 1.0 };
    let left = budget - new * new_rate;
    let old = if old_rate > 0.0 { (left / old_rate).clamp(0.0, 1.0) } else { 0.0 };
    (new, old)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn view(new: Count, old: Count, share: f64) -> View {
        View {
            new: Arm { poor: new, ..Arm::default() },
            old: Arm { poor: old, ..Arm::default() },
            before: Count::default(),
            share: Parts::of(share),
            held: false,
            at_share: Span::secs(600),
            rate: 50.0,
            lag: Span::secs(60),
            silent: Span::secs(1),
            prior: 0.1,
        }
    }

    #[test]
    fn it_waits_for_the_first_ratings() {
        let policy = Policy::default();
        let view = view(Count::default(), Count::of(500, 50), 0.02);
        assert_eq!(decide(&policy, &view), Move::Stay);
    }

    #[test]
    fn proof_withdraws_and_likely_harm_steps_back() {
        let policy = Policy::default();
        let bad = view(Count::of(100, 40), Count::of(500, 50), 0.1);
        assert!(matches!(decide(&policy, &bad), Move::Withdraw(_)));
        let likely = view(Count::of(60, 15), Count::of(500, 50), 0.1);
        assert!(matches!(decide(&policy, &likely), Move::Shrink(..)));
    }

    #[test]
    fn a_good_version_grows_and_ends() {
        let policy = Policy::default();
        let good = view(Count::of(1000, 100), Count::of(1000, 100), 0.01);
        assert!(matches!(decide(&policy, &good), Move::Grow(..)));
        let sure = view(Count::of(8000, 800), Count::of(8000, 800), 0.5);
        assert!(matches!(decide(&policy, &sure), Move::Complete(_)));
    }

    #[test]
    fn silence_holds_and_ratings_resume() {
        let policy = Policy::default();
        let mut quiet = view(Count::of(1000, 100), Count::of(1000, 100), 0.2);
        quiet.silent = Span::secs(1000);
        assert!(matches!(decide(&policy, &quiet), Move::Hold(..)));
        quiet.held = true;
        assert_eq!(decide(&policy, &quiet), Move::Stay);
        quiet.silent = Span::secs(1);
        assert!(matches!(decide(&policy, &quiet), Move::Resume(_)));
    }

    #[test]
    fn ratings_go_to_the_new_version_first() {
        let (new, old) = sampling(Parts::of(0.01), 50.0, 2.5, 0.0);
        assert_eq!(new, 1.0);
        assert!(old > 0.0 && old < 0.05);
    }
}
