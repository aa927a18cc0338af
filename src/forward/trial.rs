//! What a VM has seen of the old and the new version while a roll-out runs.

use std::collections::HashMap;

use crate::decide::canary::Trial;
use crate::decide::sequential::Count;
use crate::forward::replica::Phase;
use crate::unit::{Moment, Span, Version};

/// An answer is slow if it took this many times the old version's usual time for its route.
const SLOW: f64 = 2.5;

/// And at least this much longer, so that jitter of fast answers does not count.
const SLOW_LEAST: Span = Span::millis(40);

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

/// One answer, as a roll-out sees it.
#[derive(Clone, Copy, Debug)]
pub struct Sample<'a> {
    /// The route.
    pub route: &'a str,
    /// The version that answered.
    pub version: &'a Version,
    /// Whether the server itself failed.
    pub failed: bool,
    /// Time to the answer or to the first event, if it came; the larger the work, the smaller
    /// the share that it counts with.
    pub time: Option<Span>,
}

/// Trials of one service.
#[derive(Default)]
pub struct Trials {
    /// The order's version that the counts are of.
    version: Option<Version>,
    since: Moment,
    phase: Option<Phase>,
    phase_since: Moment,
    bad: bool,
    failures: HashMap<String, Trial>,
    slow: HashMap<String, Trial>,
    medians: HashMap<String, Median>,
}

impl Trials {
    /// An order as it stands: counts begin anew with another version. `now` is when it was seen.
    pub fn follow(&mut self, version: &Version, phase: Option<Phase>, now: Moment) {
        if self.version.as_ref() != Some(version) {
            *self = Trials {
                version: Some(version.clone()),
                since: now,
                phase_since: now,
                medians: std::mem::take(&mut self.medians),
                ..Trials::default()
            };
        }
        if self.phase != phase {
            self.phase = phase;
            self.phase_since = now;
        }
    }

    /// Notes an answer.
    pub fn note(&mut self, sample: &Sample) {
        let is_new = self.version.as_ref() == Some(sample.version);
        let median = self.medians.entry(sample.route.to_owned()).or_default();
        let time = sample.time.map(|time| time.0 as f64);
        let slow = time.is_some_and(|time| median.is_slow(time));
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

    /// Whether the new version is worse on this route or on all together, in either way.
    fn is_worse(&self, route: &str) -> bool {
        let all = |trials: &HashMap<String, Trial>| {
            trials.values().fold(Trial::default(), |sum, one| Trial {
                new: sum.new.plus(one.new),
                old: sum.old.plus(one.old),
            })
        };
        let one = |trials: &HashMap<String, Trial>| trials.get(route).copied().unwrap_or_default();
        let (failures, slow) = (&self.failures, &self.slow);
        let tests = [one(failures), all(failures), one(slow), all(slow)];
        tests.iter().any(Trial::is_bad)
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

    /// Time since the present phase was seen.
    pub fn phase_age(&self, now: Moment) -> Span {
        now.since(self.phase_since)
    }
}
