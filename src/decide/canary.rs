//! Decides the next step of a roll-out that has a time limit: a small share of sessions uses the
//! new version while its answers are no worse than those of the old one, all sessions do at the
//! very end, and the roll-out is rolled back as soon as the new version is worse.
//!
//! An answer is bad if it failed or is slow, by the signal that a comparison counts. Some versions
//! fail only under a load or at a time that the trial does not meet. So all sessions move as late
//! as the time limit allows, and even a bad version that no test detects has then received less
//! than its bounded share of the requests.
//!
//! A version that is not found bad is not thereby found good: a trial with few answers finds
//! nothing. A promotion can't be reverted, so it needs support, which is evidence that the version
//! is no worse. A trial without it goes on after the time limit, until it has support or until the
//! version has received as many requests as a bad one may get.

use serde::{Deserialize, Serialize};

use super::sequential::{Count, evidence};
use crate::forward::replica::Phase;
use crate::unit::Span;

/// Share of sessions that try the new version first, as a fraction of the exposure bound (the share
/// of requests that a bad version may get). With a smaller share a short trial gets too few answers
/// of each kind of request.
const FIRST_SHARE_PER_EXPOSURE: f64 = 0.4;

/// Maximum share of sessions that try the new version first.
const MAX_FIRST_SHARE: f64 = 0.1;

/// Part of the time limit for which all sessions use the new version, as a fraction of the exposure
/// bound. Together with the first share and the harm that operators tolerate, this value keeps
/// exposure below the bound.
const FULL_SHARE_TIME_PER_EXPOSURE: f64 = 0.3;

/// Time reserved at the end of a roll-out for writing its completion, as a fraction of the time
/// limit. VMs check a few times a second, and a write may be lost once.
const COMPLETION_MARGIN_FRACTION: f64 = 0.04;

/// Minimum time reserved for writing the completion of a roll-out.
const MIN_COMPLETION_MARGIN: Span = Span::millis(700);

/// Maximum delay until a VM sees the order of a roll-out. VMs measure the time limit from when they
/// see the order: a store reports changes after up to 0.8 s, and the next watch begins up to 0.25 s
/// after the last. The completion is written earlier by this delay; without it a roll-out of 24 s
/// that was seen 0.97 s late completed 0.21 s after its limit.
const MAX_ORDER_DELAY: Span = Span::secs(1);

/// Maximum of the assumed delay, as a fraction of the time in which all sessions use the new
/// version.
const MAX_ORDER_DELAY_FRACTION: f64 = 0.6;

/// Delay of the first sessions on the new version after the order. VMs see an order within 0.8 s
/// and then send each other the sessions that are pinned to the old version.
const FIRST_SESSIONS_DELAY: Span = Span::millis(1200);

/// Maximum of [`FIRST_SESSIONS_DELAY`], as a fraction of the time limit of the roll-out.
const MAX_FIRST_SESSIONS_DELAY_FRACTION: f64 = 0.06;

/// Answers of the new version that must have been seen before its share of sessions rises.
const MIN_ANSWERS: f64 = 8.0;

/// Evidence against a version, on the scale of [`ROLLBACK_EVIDENCE`], above which the version is
/// not promoted. A promotion can't be reverted, while a version that must wait for another order
/// costs little. Many VMs check, each with the answers that its neighbours saw: with a threshold of
/// 1.1, one of 91 VMs doubted a good version.
const DOUBT_EVIDENCE: f64 = 3.0;

/// Evidence per answer seen up to which a version is still promoted. A version that fails half of
/// the answers on one of three routes has ten times this after as many answers, so little evidence
/// from many answers is chance, given sixteen tests. Of twelve good versions one was rolled back at
/// 4.2 of 119 answers, and one on a calm day at 3.2 of 558; of 48 bad ones one was found by this
/// limit, at 4.2 of 53 answers.
const DOUBT_EVIDENCE_PER_ANSWER: f64 = 0.04;

/// Evidence at which a version is rolled back: the log of the inverse of the false positive rate, a
/// thousandth for one test however often it is looked at.
pub const ROLLBACK_EVIDENCE: f64 = 6.9;

/// Share of bad answers that is tolerated even if the old version has fewer.
const BASELINE_BAD_SHARE: f64 = 0.03;

/// Minimum excess of the new version's share of bad answers over the old version's that counts as
/// harm. A smaller excess does not matter however certain it is, since the servers of a new version
/// have no prompts cached at first. In 944 answers of a good version that 295 VMs had seen
/// together, the evidence against the version was 2.8, close to the 3.0 at which it is rolled back.
const MIN_HARM: f64 = 0.05;

/// [`MIN_HARM`] relative to the old version's share of bad answers; the larger of both applies.
const MIN_HARM_FRACTION: f64 = 0.25;

/// Minimum excess of the new version's share of slow answers over the old version's that counts as
/// harm. It is larger than [`MIN_HARM`], since the few servers of a version under trial have longer
/// queues than the many of the old one, among which a prompt finds an idle server: on a calm day of
/// 84 VMs with 6 of 140 servers in the trial, 24 in 100 answers of a good version exceeded the
/// first latency threshold and 14 in 100 of the old one, and the good version was rejected
/// (evidence 7.3 of 256 answers). Of a version that is slow for half of its requests, 50 in 100
/// answers are slow.
const MIN_SLOWNESS_HARM: f64 = 0.15;

/// Number of bad answers of a version below which there is no evidence against it.
const MIN_BAD_ANSWERS: f64 = 3.0;

/// Support that a version needs for its promotion, on the scale of [`ROLLBACK_EVIDENCE`]: about twelve
/// to one against the least harm that a trial has to rule out.
const PROMOTION_SUPPORT: f64 = 2.5;

/// Failures that a trial has to rule out, as a share of all answers of the service.
const FAILURE_HARM: f64 = 0.15;

/// Slow answers that a trial has to rule out, as a share of all answers of the service. It exceeds
/// [`FAILURE_HARM`] as [`MIN_SLOWNESS_HARM`] exceeds [`MIN_HARM`].
const SLOWNESS_HARM: f64 = 0.3;

/// Maximum share of bad answers that a trial can tell from the old version's.
const MAX_BAD_SHARE: f64 = 0.95;

/// Fraction of the requests that a bad version may get after which a trial that can't tell ends. The
/// rest covers requests without an answer yet, and an estimate of the request rate that is too high.
const TRIAL_EXPOSURE_FRACTION: f64 = 0.9;

/// Time until all VMs know of a rollback.
const ROLLBACK_DELAY: Span = Span::millis(500);

/// Fraction of the tolerated requests that is spent on more answers in the second half of a trial.
/// The rest covers requests that are sent before all VMs know of a rollback.
const TOLERANCE_FRACTION: f64 = 0.5;

/// Maximum share of sessions that use the new version in the second half of its trial.
const MAX_SECOND_SHARE: f64 = 0.5;

/// Minimum factor by which the share of sessions rises in the second half of a trial; less is not
/// worth a write.
const MIN_SECOND_SHARE_FACTOR: f64 = 1.25;

/// Minimum time over which the additional requests of the second half are spread, as a fraction of
/// the time limit.
const MIN_SECOND_SHARE_TIME_FRACTION: f64 = 0.25;

/// Answers of the new and the old version of a roll-out. A bad answer is one that failed, or one
/// that exceeded one latency threshold, depending on the comparison.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Comparison {
    /// Answers of the new version.
    pub new: Count,
    /// Answers of the old version over the same time.
    pub old: Count,
}

impl Comparison {
    /// Returns the sum of both comparisons.
    pub fn plus(self, other: Comparison) -> Comparison {
        Comparison { new: self.new.plus(other.new), old: self.old.plus(other.old) }
    }

    /// Returns the number of answers of both versions.
    fn answers(&self) -> f64 {
        self.new.all + self.old.all
    }

    /// Returns the comparison over several routes. The old version's share of bad answers is the
    /// one it would have if its requests were spread over the routes like those of the new version.
    /// Otherwise a trial with many requests on a route where either version often fails would speak
    /// against the new one.
    pub fn pooled(routes: impl Iterator<Item = Comparison>) -> Comparison {
        let (mut sum, mut expected_bad) = (Comparison::default(), 0.0);
        for route in routes {
            sum = sum.plus(route);
            expected_bad += route.new.all * route.old.rate(BASELINE_BAD_SHARE);
        }
        if sum.new.all > 0.0 {
            sum.old.bad = sum.old.all * expected_bad / sum.new.all;
        }
        sum
    }

    /// Returns the evidence that the new version is worse, as a log likelihood ratio; zero while
    /// the new version has few bad answers, or hardly a larger share of them than the old one.
    pub fn evidence(&self) -> f64 {
        self.evidence_beyond(MIN_HARM)
    }

    /// Returns the evidence that the new version is worse if the bad answers are slow ones, for
    /// which a larger excess counts as harm.
    pub fn evidence_of_slowness(&self) -> f64 {
        self.evidence_beyond(MIN_SLOWNESS_HARM)
    }

    /// Returns the evidence that the new version is worse, or zero if it has few bad answers or its
    /// share of them exceeds the old version's by less than `min_harm`.
    fn evidence_beyond(&self, min_harm: f64) -> f64 {
        let old = self.old.rate(BASELINE_BAD_SHARE);
        let harm = self.new.rate(BASELINE_BAD_SHARE) - old;
        if self.new.bad < MIN_BAD_ANSWERS || harm < min_harm.max(old * MIN_HARM_FRACTION) {
            return 0.0;
        }
        evidence(self.new, old.max(BASELINE_BAD_SHARE))
    }

    /// Returns the evidence for the old version's share of bad answers against one that is larger
    /// by `harm`, as a log likelihood ratio. Returns `None` if these answers can't show such harm.
    fn support_against(&self, harm: f64) -> Option<f64> {
        let usual = self.old.rate(BASELINE_BAD_SHARE).max(BASELINE_BAD_SHARE);
        let worse = usual + harm;
        if worse > MAX_BAD_SHARE {
            return None;
        }
        let good = self.new.all - self.new.bad;
        Some(good * ((1.0 - usual) / (1.0 - worse)).ln() - self.new.bad * (worse / usual).ln())
    }

    /// Returns true if the new version is worse beyond chance.
    pub fn is_bad(&self) -> bool {
        self.evidence() > ROLLBACK_EVIDENCE
    }
}

/// How answers are bad, which decides the harm that a trial has to rule out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The answers failed.
    Failure,
    /// The answers were slow.
    Slowness,
}

/// Returns the evidence that a version is good, as a log likelihood ratio, from the comparisons of
/// all routes of its service: the weaker of the evidence against harm to all routes and against
/// the same harm to a single one, which then has a larger share of bad answers. Returns zero if the
/// answers can't show such harm.
pub fn support(fault: Fault, routes: &[Comparison]) -> f64 {
    let harm = match fault {
        Fault::Failure => FAILURE_HARM,
        Fault::Slowness => SLOWNESS_HARM,
    };
    let answers: f64 = routes.iter().map(Comparison::answers).sum();
    let to_all: f64 = routes.iter().filter_map(|route| route.support_against(harm)).sum();
    let to_one = routes.iter().filter_map(|route| {
        let fraction = route.answers() / answers;
        route.support_against(harm / fraction)
    });
    to_one.fold(to_all, f64::min)
}

/// What a VM does next for a roll-out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// Write nothing to the store yet.
    Hold,
    /// Write nothing, although a step is due: the answers do not tell yet whether the version is
    /// good.
    AwaitAnswers,
    /// Write this phase to the status of the roll-out in the store.
    Move(Phase),
}

/// What one VM knows of a roll-out: the inputs of [`next_step`].
#[derive(Clone, Copy, Debug)]
pub struct Inputs {
    /// Present phase of the roll-out; none before the first step.
    pub phase: Option<Phase>,
    /// Time since this VM saw the order of the roll-out.
    pub order_age: Span,
    /// Time after the order by which the roll-out must be complete.
    pub time_limit: Span,
    /// Exposure bound: maximum share of requests, over the whole roll-out, that a bad version may
    /// get.
    pub max_exposure: f64,
    /// Number of servers of the new version that are ready.
    pub ready_servers: usize,
    /// True once the trial has found the version bad.
    pub is_found_bad: bool,
    /// Number of answers of the new version that this VM knows of, its own and those reported by
    /// other VMs.
    pub answers_seen: f64,
    /// Evidence against the new version, on the scale of [`ROLLBACK_EVIDENCE`].
    pub evidence: f64,
    /// Evidence that the version is no worse, on the same scale; zero without answers.
    pub support: f64,
    /// Requests per second that the service gets from all VMs, by the answers known to this VM.
    pub request_rate: f64,
    /// Number of requests that a bad version may get in addition to its share.
    pub tolerated_requests: f64,
    /// False if the VM that this one follows knows more answers: that VM decides then.
    pub knows_most_answers: bool,
}

/// Returns the next step of a roll-out, from what this VM knows of it. The first share begins once
/// servers are ready and all VMs know the order. In the second half of the time limit, in which
/// sessions may change to the new version, the share rises as far as the tolerated requests allow.
/// Near the end of the time limit all sessions move, and at the end the roll-out completes, each
/// once the version is found good. A version that is found bad is rolled back at any time.
pub fn next_step(inputs: &Inputs) -> Step {
    let completion_margin = (inputs.time_limit.0 as f64 * COMPLETION_MARGIN_FRACTION)
        .max(MIN_COMPLETION_MARGIN.0 as f64);
    let full_share_time =
        inputs.time_limit.0 as f64 * inputs.max_exposure * FULL_SHARE_TIME_PER_EXPOSURE;
    let full_share_before = completion_margin + full_share_time;
    let complete_before = completion_margin
        + (full_share_time * MAX_ORDER_DELAY_FRACTION).min(MAX_ORDER_DELAY.0 as f64);
    let left = inputs.time_limit.0 as f64 - inputs.order_age.0 as f64;
    match inputs.phase {
        Some(Phase::Completed | Phase::RolledBack) => Step::Hold,
        _ if inputs.is_found_bad => Step::Move(Phase::RolledBack),
        None if inputs.ready_servers == 0
            || inputs.order_age < first_sessions_delay(inputs.time_limit) =>
        {
            Step::Hold
        }
        None => Step::Move(Phase::Running { share: first_share(inputs.max_exposure) }),
        Some(_) if !inputs.knows_most_answers => Step::Hold,
        Some(Phase::Running { share }) if share >= 1.0 => {
            let is_due = left <= complete_before && inputs.ready_servers > 0;
            match is_due {
                true => advance_if_found_good(inputs, share, Phase::Completed),
                false => Step::Hold,
            }
        }
        Some(Phase::Running { share }) => {
            let has_enough_answers = inputs.answers_seen >= MIN_ANSWERS && inputs.ready_servers > 0;
            let is_due = left <= full_share_before && has_enough_answers;
            let step = if is_due {
                advance_if_found_good(inputs, share, Phase::Running { share: 1.0 })
            } else {
                Step::Hold
            };
            match step {
                Step::Move(_) => step,
                _ => raise_share(inputs, share, Span((left - full_share_before) as u64))
                    .unwrap_or(step),
            }
        }
    }
}

/// Returns the delay from an order to the first sessions on the new version, in which all VMs see
/// the order and each other's pinned sessions.
fn first_sessions_delay(within: Span) -> Span {
    FIRST_SESSIONS_DELAY.min(within.mul_f64(MAX_FIRST_SESSIONS_DELAY_FRACTION))
}

/// Returns the step to `phase` if the version is found good. A version in doubt is rolled back, as
/// is one that has received as many requests as a bad one may get; otherwise the trial goes on at
/// its `share` of the sessions.
fn advance_if_found_good(inputs: &Inputs, share: f64, phase: Phase) -> Step {
    let is_doubted =
        inputs.evidence > DOUBT_EVIDENCE.max(inputs.answers_seen * DOUBT_EVIDENCE_PER_ANSWER);
    if is_doubted {
        return Step::Move(Phase::RolledBack);
    }
    if inputs.support >= PROMOTION_SUPPORT {
        return Step::Move(phase);
    }
    let until_rollback = share * inputs.request_rate * ROLLBACK_DELAY.as_secs();
    let max_answers = TRIAL_EXPOSURE_FRACTION * max_exposed_requests(inputs);
    if inputs.answers_seen + until_rollback >= max_answers {
        return Step::Move(Phase::RolledBack);
    }
    Step::AwaitAnswers
}

/// Returns the number of requests that a bad version may get within the time limit.
fn max_exposed_requests(inputs: &Inputs) -> f64 {
    let expected = inputs.request_rate * inputs.time_limit.as_secs();
    inputs.max_exposure * expected + inputs.tolerated_requests
}

/// Returns the step to the share of the trial's second half, which spends a part of the tolerated
/// requests by the time `left` when all sessions move; `None` if the share stays. A service with
/// few requests gets too few answers from the first share alone.
fn raise_share(inputs: &Inputs, share: f64, left: Span) -> Option<Step> {
    let first = first_share(inputs.max_exposure);
    let is_second_half = inputs.order_age.0 * 2 >= inputs.time_limit.0;
    if !is_second_half || share > first || inputs.request_rate <= 0.0 {
        return None;
    }
    let left = left.max(inputs.time_limit.mul_f64(MIN_SECOND_SHARE_TIME_FRACTION));
    let requests = inputs.request_rate * left.as_secs();
    let extra = TOLERANCE_FRACTION * inputs.tolerated_requests / requests;
    let second = (first + extra).min(MAX_SECOND_SHARE);
    let is_worth_a_write = second >= first * MIN_SECOND_SHARE_FACTOR;
    is_worth_a_write.then_some(Step::Move(Phase::Running { share: second }))
}

/// Returns how many of the `servers` of the new version get requests at a `share` of the sessions:
/// few enough that each is about as busy as a server of the old version, since some versions fail
/// only under load.
pub fn trial_servers(share: f64, servers: usize) -> usize {
    ((share * servers as f64).ceil() as usize).clamp(1, servers.max(1))
}

/// Returns the share of sessions that use the new version in its trial, for an exposure bound.
pub fn first_share(exposure: f64) -> f64 {
    (exposure * FIRST_SHARE_PER_EXPOSURE).min(MAX_FIRST_SHARE)
}
