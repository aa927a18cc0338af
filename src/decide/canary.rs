//! The next step of a roll-out that has a time limit: a small share while the new version does no
//! worse than the old, and all at the very end; or back at once.
//!
//! Some versions are bad under a load or at a time that the trial does not meet. So all sessions
//! go over as late as the time limit allows: even a version that nobody finds bad has then had
//! less than its bounded share of the requests.

use serde::{Deserialize, Serialize};

use super::sequential::{Count, evidence};
use crate::forward::replica::Phase;
use crate::unit::Span;

/// Share of sessions that try the new version, as a part of the bound on exposure, and at most. Less leaves
/// a short trial too few answers of each kind of request.
const FIRST_SHARE_PER_EXPOSURE: f64 = 0.4;
const MAX_FIRST_SHARE: f64 = 0.1;

/// All sessions go over for the last part of the time, as a part of the bound on exposure: with
/// the first share and what operators tolerate beside it, the bound is kept.
const FULL_SHARE_TIME_PER_EXPOSURE: f64 = 0.3;

/// Time kept at the end for writing that it is done, as a part of the whole, and at least: VMs look
/// a few times a second, and a write may be lost once.
const COMPLETION_MARGIN_FRACTION: f64 = 0.04;
const MIN_COMPLETION_MARGIN: Span = Span::millis(700);

/// VMs count the time from when they hear of an order, which may be so late: a store tells of changes after up to 0.8 s,
/// and the next watch begins up to 0.25 s after the last. So it is done earlier by this, and by this part of the time in
/// which all sessions go over at most. Without it a roll-out of 24 s that was heard of 0.97 s late was done 0.21 s
/// after its time.
const MAX_ORDER_DELAY: Span = Span::secs(1);
const MAX_ORDER_DELAY_FRACTION: f64 = 0.6;

/// The first sessions go to the new version so long after the order, and at most after this part of its time: VMs hear of
/// an order within 0.8 s and then tell one another which sessions keep the old version.
const FIRST_SESSIONS_DELAY: Span = Span::millis(1200);
const MAX_FIRST_SESSIONS_DELAY_FRACTION: f64 = 0.06;

/// Answers of the new version that must have been seen before the share rises.
const MIN_ANSWERS: f64 = 8.0;

/// Evidence against a version, as in [`ROLLBACK_EVIDENCE`], at which it does not take over: of a version that
/// takes over there is no way back, and one that waits for another order costs little. Many VMs look,
/// each at what its neighbours saw: at 1.1 one of 91 doubted a good version.
const DOUBT_EVIDENCE: f64 = 3.0;

/// The same for each answer that was seen: a version that fails half of the answers of one of three routes has ten times
/// that after as many, so a little evidence from many answers is chance, of which there are sixteen tests. Of twelve good
/// versions one went back at 4.2 of 119 answers, and one of a calm day at 3.2 of 558; of 48 bad ones one was found by
/// doubt, at 4.2 of 53.
const DOUBT_EVIDENCE_PER_ANSWER: f64 = 0.04;

/// Evidence at which a version is accused: the logarithm of the inverse of the chance to accuse a good
/// one, a thousandth, of one test however often it is looked at.
pub const ROLLBACK_EVIDENCE: f64 = 6.9;

/// A share of bad answers that is always borne.
const BASELINE_BAD_SHARE: f64 = 0.03;

/// A version whose share of bad answers lies above the old one's by less than this, or by less than this part of the old
/// one's, does no harm that matters, however sure that is: its servers hold no prompts at first. Of 944 answers that 295
/// VMs had seen together of a good version, evidence against it was 2.8, and above 3.0 it went back.
const MIN_HARM: f64 = 0.05;
const MIN_HARM_FRACTION: f64 = 0.25;

/// The same for slow answers. The few servers of a version under trial have longer queues than the many of the old, among
/// which a prompt finds an idle one: on a calm day of 84 VMs with 6 servers of 140 in the trial, 24 in 100 answers of a
/// good version were slow in the first degree and 14 of the old, and it was accused (evidence 7.3 of 256 answers). Of a
/// version that is slow for half of its requests half are.
const MIN_SLOWNESS_HARM: f64 = 0.15;

/// Bad answers before a version is accused.
const MIN_BAD_ANSWERS: f64 = 3.0;

/// Answers of a version, by one of the ways to be bad.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Comparison {
    /// Of the new version.
    pub new: Count,
    /// Of the old, over the same time.
    pub old: Count,
}

impl Comparison {
    /// Both trials together.
    pub fn plus(self, other: Comparison) -> Comparison {
        Comparison { new: self.new.plus(other.new), old: self.old.plus(other.old) }
    }

    /// Evidence that the new version is worse: the logarithm of a likelihood ratio. None before a
    /// few bad answers were seen.
    pub fn evidence(&self) -> f64 {
        self.evidence_beyond(MIN_HARM)
    }

    /// The same if the bad answers are slow ones.
    pub fn evidence_of_slowness(&self) -> f64 {
        self.evidence_beyond(MIN_SLOWNESS_HARM)
    }

    fn evidence_beyond(&self, min_harm: f64) -> f64 {
        let old = self.old.rate(BASELINE_BAD_SHARE);
        let harm = self.new.rate(BASELINE_BAD_SHARE) - old;
        if self.new.bad < MIN_BAD_ANSWERS || harm < min_harm.max(old * MIN_HARM_FRACTION) {
            return 0.0;
        }
        evidence(self.new, old.max(BASELINE_BAD_SHARE))
    }

    /// Whether the new version is worse beyond chance.
    pub fn is_bad(&self) -> bool {
        self.evidence() > ROLLBACK_EVIDENCE
    }
}

/// What is to be written next.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// Nothing yet.
    Hold,
    /// This phase.
    Move(Phase),
}

/// What one VM knows of a roll-out.
#[derive(Clone, Copy, Debug)]
pub struct Inputs {
    /// How far it has come.
    pub phase: Option<Phase>,
    /// Time since this VM saw the order.
    pub age: Span,
    /// Time in which it is to be done.
    pub within: Span,
    /// Share of requests that a bad version may get.
    pub exposure: f64,
    /// Servers of the new version that are ready.
    pub ready: usize,
    /// Whether any trial found it bad.
    pub bad: bool,
    /// Answers of the new version that were seen.
    pub seen: f64,
    /// Evidence against it, as in [`ROLLBACK_EVIDENCE`].
    pub evidence: f64,
}

/// The next step.
pub fn next_step(inputs: &Inputs) -> Step {
    let completion_margin =
        (inputs.within.0 as f64 * COMPLETION_MARGIN_FRACTION).max(MIN_COMPLETION_MARGIN.0 as f64);
    let full_share_time = inputs.within.0 as f64 * inputs.exposure * FULL_SHARE_TIME_PER_EXPOSURE;
    let full_share_before = completion_margin + full_share_time;
    let complete_before = completion_margin
        + (full_share_time * MAX_ORDER_DELAY_FRACTION).min(MAX_ORDER_DELAY.0 as f64);
    let left = inputs.within.0 as f64 - inputs.age.0 as f64;
    match inputs.phase {
        Some(Phase::Completed | Phase::RolledBack) => Step::Hold,
        _ if inputs.bad => Step::Move(Phase::RolledBack),
        None if inputs.ready == 0 || inputs.age < first_sessions_delay(inputs.within) => Step::Hold,
        None => Step::Move(Phase::Running { share: first_share(inputs.exposure) }),
        Some(Phase::Running { share }) if share >= 1.0 => {
            let is_due = left <= complete_before && inputs.ready > 0;
            if is_due { advance_unless_doubted(inputs, Phase::Completed) } else { Step::Hold }
        }
        Some(Phase::Running { .. }) => {
            let has_enough_answers = inputs.seen >= MIN_ANSWERS && inputs.ready > 0;
            let is_due = left <= full_share_before && has_enough_answers;
            if is_due {
                advance_unless_doubted(inputs, Phase::Running { share: 1.0 })
            } else {
                Step::Hold
            }
        }
    }
}

/// Time until all VMs have heard of an order, and of each other's sessions.
fn first_sessions_delay(within: Span) -> Span {
    FIRST_SESSIONS_DELAY.min(within.part(MAX_FIRST_SESSIONS_DELAY_FRACTION))
}

/// A step towards the new version, or back if it is in doubt.
fn advance_unless_doubted(inputs: &Inputs, phase: Phase) -> Step {
    let is_doubted = inputs.evidence > DOUBT_EVIDENCE.max(inputs.seen * DOUBT_EVIDENCE_PER_ANSWER);
    Step::Move(if is_doubted { Phase::RolledBack } else { phase })
}

/// Servers of the new version that share its requests: so few that each is about as busy as one of
/// the old, since some versions are bad under load only.
pub fn trial_servers(share: f64, servers: usize) -> usize {
    ((share * servers as f64).ceil() as usize).clamp(1, servers.max(1))
}

/// The share that tries the new version first.
pub fn first_share(exposure: f64) -> f64 {
    (exposure * FIRST_SHARE_PER_EXPOSURE).min(MAX_FIRST_SHARE)
}
