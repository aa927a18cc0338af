//! The next step of a roll-out that has a time limit: a small share first, then more while the new
//! version does no worse than the old, then all; or back at once.

use super::sequential::{Count, evidence};
use crate::forward::replica::Phase;
use crate::unit::Span;

/// Share of sessions that try the new version first; operators bound the exposure to a bad one.
const FIRST: f64 = 0.5;

/// The largest first share, whatever the bound.
const FIRST_AT_MOST: f64 = 0.1;

/// Shares after the first half, each for [`STEP`] of the time.
const RISE: [f64; 3] = [0.3, 0.6, 1.0];

/// The first rise, as a part of the whole time: live sessions stay until then.
const RISE_AT: f64 = 0.5;

/// Time between two rises, as a part of the whole.
const STEP: f64 = 0.06;

/// The new version takes over when it has had all sessions for this part of the time, so that
/// answers of the old one have ended; and not before [`DONE_AT`].
const ALONE: f64 = 0.2;
const DONE_AT: f64 = 0.85;

/// Answers of the new version that a VM must have seen before the share rises.
const SEEN: f64 = 4.0;

/// Chance to accuse a good version, of one test.
const RISK: f64 = 1e-4;

/// A share of bad answers that is always borne.
const BORNE: f64 = 0.03;

/// Bad answers before a version is accused.
const LEAST_BAD: f64 = 3.0;

/// Answers of a version, by one of the ways to be bad.
#[derive(Clone, Copy, Debug, Default)]
pub struct Trial {
    /// Of the new version.
    pub new: Count,
    /// Of the old, over the same time.
    pub old: Count,
}

impl Trial {
    /// Whether the new version is worse beyond chance.
    pub fn is_bad(&self) -> bool {
        let usual = self.old.rate(BORNE).max(BORNE);
        self.new.bad >= LEAST_BAD && evidence(self.new, usual) > (1.0 / RISK).ln()
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
    /// Time since this VM saw the present phase.
    pub phase_age: Span,
    /// Time in which it is to be done.
    pub within: Span,
    /// Share of requests that a bad version may get.
    pub exposure: f64,
    /// Servers of the new version that are ready.
    pub ready: usize,
    /// Whether any trial found it bad.
    pub bad: bool,
    /// Answers of the new version that this VM has seen.
    pub seen: f64,
}

/// The next step.
pub fn next(known: &Known) -> Step {
    let past = |part: f64| known.age.0 as f64 >= known.within.0 as f64 * part;
    let held = |part: f64| known.phase_age.0 as f64 >= known.within.0 as f64 * part;
    match known.phase {
        Some(Phase::Completed | Phase::RolledBack) => Step::Hold,
        _ if known.bad => Step::Move(Phase::RolledBack),
        None if known.ready == 0 => Step::Hold,
        None => Step::Move(Phase::Running { share: first(known.exposure) }),
        Some(Phase::Running { share }) if share >= 1.0 => {
            if past(DONE_AT) && held(ALONE) && known.ready > 0 {
                return Step::Move(Phase::Completed);
            }
            Step::Hold
        }
        Some(Phase::Running { share }) => {
            let rise = RISE.iter().find(|next| **next > share + 1e-9);
            let due = past(RISE_AT) && held(STEP) && known.seen >= SEEN;
            match rise {
                Some(next) if due => Step::Move(Phase::Running { share: *next }),
                _ => Step::Hold,
            }
        }
    }
}

/// The share that tries the new version first.
fn first(exposure: f64) -> f64 {
    (exposure * FIRST).min(FIRST_AT_MOST)
}
