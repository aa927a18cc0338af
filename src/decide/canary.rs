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
const FIRST: f64 = 0.4;
const FIRST_AT_MOST: f64 = 0.1;

/// All sessions go over for the last part of the time, as a part of the bound on exposure: with
/// the first share and what operators tolerate beside it, the bound is kept.
const ALL: f64 = 0.3;

/// Time kept at the end for writing that it is done, as a part of the whole, and at least: VMs look
/// a few times a second, and a write may be lost once.
const DONE_BEFORE: f64 = 0.04;
const DONE_BEFORE_LEAST: Span = Span::millis(700);

/// VMs count the time from when they hear of an order, which may be so late: a store tells of changes after up to 0.8 s,
/// and the next watch begins up to 0.25 s after the last. So it is done earlier by this, and by this part of the time in
/// which all sessions go over at most. Without it a roll-out of 24 s that was heard of 0.97 s late was done 0.21 s
/// after its time.
const HEARD_LATE: Span = Span::secs(1);
const HEARD_LATE_PART: f64 = 0.6;

/// The first sessions go to the new version so long after the order, and at most after this part of its time: VMs hear of
/// an order within 0.8 s and then tell one another which sessions keep the old version.
const HEARD_AFTER: Span = Span::millis(1200);
const HEARD_AFTER_PART: f64 = 0.06;

/// Answers of the new version that must have been seen before the share rises.
const SEEN: f64 = 8.0;

/// Evidence against a version, as in [`ACCUSED`], at which it does not take over: of a version that
/// takes over there is no way back, and one that waits for another order costs little. Many VMs look,
/// each at what its neighbours saw: at 1.1 one of 91 doubted a good version.
const DOUBTED: f64 = 3.0;

/// The same for each answer that was seen: a version that fails half of the answers of one of three routes has ten times
/// that after as many, so a little evidence from many answers is chance, of which there are sixteen tests. Of twelve good
/// versions one went back at 4.2 of 119 answers, and one of a calm day at 3.2 of 558; of 48 bad ones one was found by
/// doubt, at 4.2 of 53.
const DOUBTED_EACH: f64 = 0.04;

/// Evidence at which a version is accused: the logarithm of the inverse of the chance to accuse a good
/// one, a thousandth, of one test however often it is looked at.
pub const ACCUSED: f64 = 6.9;

/// A share of bad answers that is always borne.
const BORNE: f64 = 0.03;

/// A version whose share of bad answers lies above the old one's by less than this, or by less than this part of the old
/// one's, does no harm that matters, however sure that is: its servers hold no prompts at first. Of 944 answers that 295
/// VMs had seen together of a good version, evidence against it was 2.8, and above 3.0 it went back.
const NO_HARM: f64 = 0.05;
const NO_HARM_PART: f64 = 0.25;

/// The same for slow answers. The few servers of a version under trial have longer queues than the many of the old, among
/// which a prompt finds an idle one: on a calm day of 84 VMs with 6 servers of 140 in the trial, 24 in 100 answers of a
/// good version were slow in the first degree and 14 of the old, and it was accused (evidence 7.3 of 256 answers). Of a
/// version that is slow for half of its requests half are.
const NO_HARM_SLOW: f64 = 0.15;

/// Bad answers before a version is accused.
const LEAST_BAD: f64 = 3.0;

/// Answers of a version, by one of the ways to be bad.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Trial {
    /// Of the new version.
    pub new: Count,
    /// Of the old, over the same time.
    pub old: Count,
}

impl Trial {
    /// Both trials together.
    pub fn plus(self, other: Trial) -> Trial {
        Trial { new: self.new.plus(other.new), old: self.old.plus(other.old) }
    }

    /// Evidence that the new version is worse: the logarithm of a likelihood ratio. None before a
    /// few bad answers were seen.
    pub fn evidence(&self) -> f64 {
        self.evidence_beyond(NO_HARM)
    }

    /// The same if the bad answers are slow ones.
    pub fn evidence_of_slowness(&self) -> f64 {
        self.evidence_beyond(NO_HARM_SLOW)
    }

    fn evidence_beyond(&self, no_harm: f64) -> f64 {
        let old = self.old.rate(BORNE);
        let harm = self.new.rate(BORNE) - old;
        if self.new.bad < LEAST_BAD || harm < no_harm.max(old * NO_HARM_PART) {
            return 0.0;
        }
        evidence(self.new, old.max(BORNE))
    }

    /// Whether the new version is worse beyond chance.
    pub fn is_bad(&self) -> bool {
        self.evidence() > ACCUSED
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
pub struct Known {
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
    /// Evidence against it, as in [`ACCUSED`].
    pub evidence: f64,
}

/// The next step.
pub fn next(known: &Known) -> Step {
    let written_before = (known.within.0 as f64 * DONE_BEFORE).max(DONE_BEFORE_LEAST.0 as f64);
    let all_for = known.within.0 as f64 * known.exposure * ALL;
    let all_before = written_before + all_for;
    let done_before = written_before + (all_for * HEARD_LATE_PART).min(HEARD_LATE.0 as f64);
    let left = known.within.0 as f64 - known.age.0 as f64;
    match known.phase {
        Some(Phase::Completed | Phase::RolledBack) => Step::Hold,
        _ if known.bad => Step::Move(Phase::RolledBack),
        None if known.ready == 0 || known.age < heard_after(known.within) => Step::Hold,
        None => Step::Move(Phase::Running { share: first(known.exposure) }),
        Some(Phase::Running { share }) if share >= 1.0 => {
            let done = left <= done_before && known.ready > 0;
            if done { unless_doubted(known, Phase::Completed) } else { Step::Hold }
        }
        Some(Phase::Running { .. }) => {
            let tried = known.seen >= SEEN && known.ready > 0;
            let all = left <= all_before && tried;
            if all { unless_doubted(known, Phase::Running { share: 1.0 }) } else { Step::Hold }
        }
    }
}

/// Time until all VMs have heard of an order, and of each other's sessions.
fn heard_after(within: Span) -> Span {
    HEARD_AFTER.min(within.part(HEARD_AFTER_PART))
}

/// A step towards the new version, or back if it is in doubt.
fn unless_doubted(known: &Known, phase: Phase) -> Step {
    let doubted = known.evidence > DOUBTED.max(known.seen * DOUBTED_EACH);
    Step::Move(if doubted { Phase::RolledBack } else { phase })
}

/// Servers of the new version that share its requests: so few that each is about as busy as one of
/// the old, since some versions are bad under load only.
pub fn busy_servers(share: f64, servers: usize) -> usize {
    ((share * servers as f64).ceil() as usize).clamp(1, servers.max(1))
}

/// The share that tries the new version first.
pub fn first(exposure: f64) -> f64 {
    (exposure * FIRST).min(FIRST_AT_MOST)
}
