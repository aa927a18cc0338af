//! What a VM has seen of the old and the new version while a roll-out runs.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::decide::canary::Trial;
use crate::decide::sequential::Count;
use crate::unit::{Moment, Span, Version, Vm};

/// An answer is slow if it took this many times what was expected of it: the reading of its prompt,
/// or, without one, the old version's usual time for its route.
const SLOW: f64 = 2.5;

/// And at least this much longer, so that jitter of fast answers does not count.
const SLOW_LEAST: Span = Span::millis(15);

/// Time that any answer of a model takes beside the reading of its prompt, at least.
const ON_THE_WAY: Span = Span::millis(25);

/// Step of the running median, as a share of it.
const STEP: f64 = 0.05;

/// Answers before a median is believed.
const KNOWN: u32 = 10;

/// A running median of times.
#[derive(Clone, Copy, Debug, Default)]
struct Median {
    value: f64,
    seen: u32,
}

impl Median {
    fn note(&mut self, time: f64) {
        if self.seen == 0 {
            self.value = time;
        }
        // Large steps first, so that a first answer that was odd is soon forgotten.
        let step = STEP.max(1.0 / f64::from(self.seen + 1)).min(0.5);
        let direction = if time > self.value { 1.0 } else { -1.0 };
        self.value += direction * step * self.value;
        self.seen += 1;
    }

    fn is_slow(&self, time: f64) -> bool {
        self.seen >= KNOWN && time > self.value * SLOW && time > self.value + SLOW_LEAST.0 as f64
    }
}

/// Whether an answer whose prompt should have been read in `expected` took too long.
pub fn is_slow(time: Span, expected: Span) -> bool {
    time.0 as f64 > (expected.0 + ON_THE_WAY.0) as f64 * SLOW
}

/// One answer, as a roll-out sees it.
#[derive(Clone, Copy, Debug)]
pub struct Sample<'a> {
    /// The route and the model, whose answers are alike.
    pub route: &'a str,
    /// The version that answered.
    pub version: &'a Version,
    /// Whether the server itself failed.
    pub failed: bool,
    /// Time to the answer or to the first event, if it came.
    pub time: Option<Span>,
    /// Time that the reading of its prompt should have taken at most, if it has one. A new version
    /// that holds no prompt yet must not look slow beside one that holds many.
    pub expected: Option<Span>,
}

/// What one VM has seen of both versions, on all routes together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Totals {
    /// Failures.
    pub failures: Trial,
    /// Slow answers.
    pub slow: Trial,
}

/// Trials of one service.
#[derive(Default)]
pub struct Trials {
    /// The order's version that the counts are of.
    version: Option<Version>,
    since: Moment,
    bad: bool,
    failures: HashMap<String, Trial>,
    slow: HashMap<String, Trial>,
    medians: HashMap<String, Median>,
    /// What other VMs have seen.
    others: HashMap<Vm, Totals>,
    told: Totals,
}

impl Trials {
    /// An order as it stands: counts begin anew with another version. `now` is when it was seen.
    pub fn follow(&mut self, version: &Version, now: Moment) {
        if self.version.as_ref() != Some(version) {
            *self = Trials {
                version: Some(version.clone()),
                since: now,
                medians: std::mem::take(&mut self.medians),
                ..Trials::default()
            };
        }
    }

    /// Notes an answer.
    pub fn note(&mut self, sample: &Sample) {
        let is_new = self.version.as_ref() == Some(sample.version);
        let median = self.medians.entry(sample.route.to_owned()).or_default();
        let time = sample.time.map(|time| time.0 as f64);
        let slow = match (sample.time, sample.expected) {
            (Some(time), Some(expected)) => is_slow(time, expected),
            (Some(time), None) => median.is_slow(time.0 as f64),
            (None, _) => false,
        };
        if let Some(time) = time.filter(|_| !is_new) {
            median.note(time);
        }
        if self.version.is_none() {
            return;
        }
        for (trials, bad) in [(&mut self.failures, sample.failed), (&mut self.slow, slow)] {
            let trial = trials.entry(sample.route.to_owned()).or_default();
            let count = if is_new { &mut trial.new } else { &mut trial.old };
            *count = count.plus(Count::of(1, u64::from(bad)));
        }
        self.bad = self.bad || (is_new && self.is_worse(sample.route));
    }

    /// Whether the new version is worse on this route, or on all routes and VMs together, in
    /// either way.
    fn is_worse(&self, route: &str) -> bool {
        let one = |trials: &HashMap<String, Trial>| trials.get(route).copied().unwrap_or_default();
        let own = self.totals();
        let all = self.others.values().fold(own, |sum, other| Totals {
            failures: sum.failures.plus(other.failures),
            slow: sum.slow.plus(other.slow),
        });
        let tests = [one(&self.failures), one(&self.slow), all.failures, all.slow];
        tests.iter().any(Trial::is_bad)
    }

    /// What this VM has seen.
    fn totals(&self) -> Totals {
        let sum = |trials: &HashMap<String, Trial>| {
            trials.values().fold(Trial::default(), |sum, one| sum.plus(*one))
        };
        Totals { failures: sum(&self.failures), slow: sum(&self.slow) }
    }

    /// Takes what another VM has seen of a version.
    pub fn hear(&mut self, from: &Vm, version: &Version, totals: Totals) {
        if self.version.as_ref() == Some(version) {
            self.others.insert(from.clone(), totals);
            self.bad = self.bad || self.is_worse("");
        }
    }

    /// What the others should be told, if it has changed since they were.
    pub fn news(&mut self) -> Option<(Version, Totals)> {
        let totals = self.totals();
        let version = self.version.clone()?;
        if totals.failures.new == self.told.failures.new && totals.slow.new == self.told.slow.new {
            return None;
        }
        self.told = totals;
        Some((version, totals))
    }

    /// Whether this VM found the version bad.
    pub fn is_bad(&self) -> bool {
        self.bad
    }

    /// Answers of the new version that were seen.
    pub fn seen(&self) -> f64 {
        self.failures.values().map(|trial| trial.new.all).sum()
    }

    /// Bad answers of the new version that were seen, in either way.
    pub fn bad_seen(&self) -> f64 {
        let bad = |trials: &HashMap<String, Trial>| {
            trials.values().map(|trial| trial.new.bad).sum::<f64>()
        };
        bad(&self.failures) + bad(&self.slow)
    }

    /// Time since the order was seen.
    pub fn age(&self, now: Moment) -> Span {
        now.since(self.since)
    }
}
