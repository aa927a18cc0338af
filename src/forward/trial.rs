//! What a VM has seen of the old and the new version while a roll-out runs.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::decide::canary::{self, Comparison};
use crate::decide::sequential::Count;
use crate::unit::{DataCentre, Moment, Span, Version, Vm as Name};

/// Degrees of slowness. An answer is slow in a degree if it took this many times what was expected of
/// it: the reading of its prompt, or, without one, the old version's usual time for its route. Where
/// servers are overloaded, two in five answers of a sound version are slow in the first degree, and a
/// slow version stands out in the higher ones only.
const SLOW_FACTORS: [f64; SLOWNESS_LEVELS] = [2.5, 6.0, 15.0];
const SLOWNESS_LEVELS: usize = 3;

/// And at least this much longer, so that jitter of fast answers does not count.
const MIN_SLOW_EXCESS: Span = Span::millis(15);

/// Time that any answer of a model takes beside the reading of its prompt, at least.
const MIN_OVERHEAD: Span = Span::millis(25);

/// Step of the running median, as a share of it.
const MIN_MEDIAN_STEP: f64 = 0.05;

/// Answers before a median is believed.
const MIN_MEDIAN_SAMPLES: u32 = 10;

/// A running median of times.
#[derive(Clone, Copy, Debug, Default)]
struct Median {
    value: f64,
    seen: u32,
}

impl Median {
    fn record(&mut self, time: f64) {
        if self.seen == 0 {
            self.value = time;
        }
        // Large steps first, so that a first answer that was odd is soon forgotten.
        let step = MIN_MEDIAN_STEP.max(1.0 / f64::from(self.seen + 1)).min(0.5);
        let direction = if time > self.value { 1.0 } else { -1.0 };
        self.value += direction * step * self.value;
        self.seen += 1;
    }

    /// In how many degrees a time is slow.
    fn level(&self, time: f64) -> usize {
        if self.seen < MIN_MEDIAN_SAMPLES || time <= self.value + MIN_SLOW_EXCESS.0 as f64 {
            return 0;
        }
        SLOW_FACTORS.iter().filter(|times| time > self.value * **times).count()
    }
}

/// The longest times of an answer that is not slow in each degree, if its first event was due within
/// `expected`.
pub fn slow_thresholds(expected: Span) -> [Span; SLOWNESS_LEVELS] {
    SLOW_FACTORS.map(|times| Span(((expected.0 + MIN_OVERHEAD.0) as f64 * times) as u64))
}

/// Whose counts they are.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Source {
    /// One VM.
    Vm(Name),
    /// All VMs of a data centre.
    Group(DataCentre),
}

/// One answer, as a roll-out sees it.
#[derive(Clone, Copy, Debug)]
pub struct Sample<'a> {
    /// The route, whose answers are alike.
    pub route: &'a str,
    /// The version that answered.
    pub version: &'a Version,
    /// Whether the server itself failed.
    pub failed: bool,
    /// Time to the answer or to the first event, or that it has been awaited; none if it failed.
    pub time: Option<Span>,
    /// Degrees of slowness in which it was noted before.
    pub reported_slow_levels: usize,
    /// Time within which the first event was due if the server holds nothing that this VM did not
    /// send it, if the request has a prompt. A new version that holds no prompt yet must not look slow
    /// beside one that holds many.
    pub expected: Option<Span>,
}

/// What one VM has seen of both versions on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Totals {
    /// Failures.
    pub failures: Comparison,
    /// Slow answers, by degree.
    pub slow: [Comparison; SLOWNESS_LEVELS],
}

impl Totals {
    fn plus(self, other: Totals) -> Totals {
        let slow = std::array::from_fn(|level| self.slow[level].plus(other.slow[level]));
        Totals { failures: self.failures.plus(other.failures), slow }
    }

    /// Evidence that the new version is worse, in the way that tells most.
    fn evidence(&self) -> f64 {
        let slow = self.slow.iter().map(Comparison::evidence_of_slowness);
        slow.fold(self.failures.evidence(), f64::max)
    }
}

/// What was seen, by route. A version may be bad on one route only, and few of its answers lie
/// there: what one VM sees of one route in a trial is some answers, what all see is enough.
pub type TotalsByRoute = HashMap<String, Totals>;

/// Trials of one service.
#[derive(Default)]
pub struct RolloutTrial {
    /// The order's version that the counts are of.
    version: Option<Version>,
    since: Moment,
    bad: bool,
    own: TotalsByRoute,
    medians: HashMap<String, Median>,
    /// What other VMs have seen, and other groups of them.
    others: HashMap<Source, TotalsByRoute>,
    /// What the VM that this one follows makes of what it knows.
    upstream_verdict: Option<Verdict>,
    /// What the others were told.
    sent: TotalsByRoute,
}

/// What the counts say of a new version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Verdict {
    /// Answers of the new version that were seen.
    pub seen: f64,
    /// Evidence that it is worse: the logarithm of a likelihood ratio.
    pub evidence: f64,
}

impl RolloutTrial {
    /// An order as it stands: counts begin anew with another version. `now` is when it was seen.
    pub fn track_version(&mut self, version: &Version, now: Moment) {
        if self.version.as_ref() != Some(version) {
            *self = RolloutTrial {
                version: Some(version.clone()),
                since: now,
                medians: std::mem::take(&mut self.medians),
                ..RolloutTrial::default()
            };
        }
    }

    /// Notes an answer, or the moment when one that is awaited became slow.
    pub fn record(&mut self, sample: &Sample) {
        let is_new = self.version.as_ref() == Some(sample.version);
        let level = self.level(sample, is_new);
        if self.version.is_none() {
            return;
        }
        let reported = sample.reported_slow_levels;
        let totals = self.own.entry(sample.route.to_owned()).or_default();
        let slow = totals.slow.iter_mut().enumerate();
        let slow = slow.map(|(at, trial)| (trial, at >= reported && at < level));
        for (trial, bad) in slow.chain([(&mut totals.failures, sample.failed)]) {
            let count = if is_new { &mut trial.new } else { &mut trial.old };
            *count = count.plus(Count::of(u64::from(reported == 0), u64::from(bad)));
        }
        self.bad = self.bad || (is_new && self.evidence() > canary::ROLLBACK_EVIDENCE);
    }

    /// In how many degrees an answer was slow. Those of the old version teach what is usual for answers
    /// without a prompt.
    fn level(&mut self, sample: &Sample, is_new: bool) -> usize {
        let Some(time) = sample.time else { return 0 };
        if let Some(expected) = sample.expected {
            return slow_thresholds(expected).iter().filter(|limit| time > **limit).count();
        }
        let median = self.medians.entry(sample.route.to_owned()).or_default();
        let level = median.level(time.0 as f64);
        if !is_new {
            median.record(time.0 as f64);
        }
        level
    }

    /// What this VM has seen.
    pub fn own_totals(&self) -> &TotalsByRoute {
        &self.own
    }

    /// What this VM and others of its group have seen.
    pub fn group_totals(&self) -> TotalsByRoute {
        self.sum(|source| matches!(source, Source::Vm(_)))
    }

    /// What this VM and others that were heard have seen, by route.
    fn sum(&self, included: impl Fn(&Source) -> bool) -> TotalsByRoute {
        let mut sums = self.own.clone();
        let others = self.others.iter().filter(|(source, _)| included(source));
        for (route, totals) in others.flat_map(|(_, routes)| routes) {
            let sum = sums.entry(route.clone()).or_default();
            *sum = sum.plus(*totals);
        }
        sums
    }

    /// What is known of the new version: evidence that it is worse on one route, or on all together. Of what this VM
    /// counted and what it was told, that counts which rests on more answers: the less would accuse by chance.
    pub fn verdict(&self) -> Verdict {
        let sums = self.sum(|_| true);
        let all = sums.values().fold(Totals::default(), |sum, one| sum.plus(*one));
        let evidence = sums.values().map(Totals::evidence).fold(all.evidence(), f64::max);
        let counted = Verdict { seen: all.failures.new.all, evidence };
        self.upstream_verdict
            .filter(|upstream_verdict| upstream_verdict.seen >= counted.seen)
            .unwrap_or(counted)
    }

    /// Evidence of all VMs that the new version is worse.
    pub fn evidence(&self) -> f64 {
        self.verdict().evidence
    }

    /// Takes what others have seen of a version; routes that are not named stay as they were.
    pub fn merge_totals(
        &mut self,
        from: Source,
        version: &Version,
        routes: impl IntoIterator<Item = (String, Totals)>,
    ) {
        if self.version.as_ref() == Some(version) {
            self.others.entry(from).or_default().extend(routes);
            self.bad = self.bad || self.evidence() > canary::ROLLBACK_EVIDENCE;
        }
    }

    /// Takes the verdict of the VM that this one follows.
    pub fn set_upstream_verdict(&mut self, version: &Version, verdict: Verdict) {
        if self.version.as_ref() == Some(version) {
            self.upstream_verdict = Some(verdict);
            self.bad = self.bad || self.evidence() > canary::ROLLBACK_EVIDENCE;
        }
    }

    /// This VM follows none any more: what counts is what it is told from now on.
    pub fn clear_upstream_verdict(&mut self) {
        self.upstream_verdict = None;
    }

    /// What the others should be told: routes where more of the new version was seen than they know.
    pub fn take_changed_totals(&mut self) -> Option<(Version, Vec<(String, Totals)>)> {
        let version = self.version.clone()?;
        let is_changed = |route: &String, totals: &Totals| {
            let sent = self.sent.get(route).copied().unwrap_or_default();
            totals.failures.new != sent.failures.new
                || (0..SLOWNESS_LEVELS).any(|at| totals.slow[at].new != sent.slow[at].new)
        };
        let changed: Vec<(String, Totals)> = self
            .own
            .iter()
            .filter(|(route, totals)| is_changed(route, totals))
            .map(|(route, totals)| (route.clone(), *totals))
            .collect();
        self.sent.extend(changed.iter().cloned());
        (!changed.is_empty()).then_some((version, changed))
    }

    /// Whether this VM found the version bad.
    pub fn is_bad(&self) -> bool {
        self.bad
    }

    /// Answers of the new version that all VMs have seen.
    pub fn seen(&self) -> f64 {
        self.verdict().seen
    }

    /// Time since the order was seen.
    pub fn age(&self, now: Moment) -> Span {
        now.since(self.since)
    }
}
