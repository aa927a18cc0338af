//! Canary analysis of a rollout (its trial): counts the failed and slow answers of the old and the
//! new version of a service while the rollout runs, and compares them to find a new version that is
//! worse.

use std::collections::{BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

use crate::decide::canary::{self, Comparison, Fault};
use crate::decide::sequential::Count;
use crate::unit::{DataCentre, Moment, Span, Version, Vm as Name};

/// Levels of slowness: an answer is slow at a level if it took this many times its expected time.
/// The expected time is the prefill time of the prompt or, without a prompt, the old version's
/// usual time for the route. Where servers are overloaded, two in five answers of a good version
/// are slow at the first level, and a slow version stands out at the higher ones only.
const SLOW_FACTORS: [f64; SLOWNESS_LEVELS] = [2.5, 6.0, 15.0];
/// Number of levels of slowness.
const SLOWNESS_LEVELS: usize = 3;

/// Time by which an answer without a prompt must exceed the usual time to count as slow, so that
/// jitter of fast answers does not count.
const MIN_SLOW_EXCESS: Span = Span::millis(15);

/// Minimum time that any answer of a model takes in addition to prefill.
const MIN_OVERHEAD: Span = Span::millis(25);

/// Minimum step of the running median, as a fraction of its value.
const MIN_MEDIAN_STEP: f64 = 0.05;

/// Answers needed before a median is used. Many VMs share the requests of a service, so each sees
/// only few answers of a route.
const MIN_MEDIAN_SAMPLES: u32 = 4;

/// Factor by which the counts of the old version grow before they are sent again.
const MIN_OLD_GROWTH: f64 = 1.25;

/// Running estimate of a median time.
#[derive(Clone, Copy, Debug, Default)]
struct Median {
    value: f64,
    seen: u32,
}

impl Median {
    /// Moves the estimate towards a new time.
    fn record(&mut self, time: f64) {
        if self.seen == 0 {
            self.value = time;
        }
        // Large steps first, so that an outlier as the first answer has little effect.
        let step = MIN_MEDIAN_STEP.max(1.0 / f64::from(self.seen + 1)).min(0.5);
        let direction = if time > self.value { 1.0 } else { -1.0 };
        self.value += direction * step * self.value;
        self.seen += 1;
    }

    /// Returns the number of levels at which a time is slow. Before the median is known, answers
    /// are slow at the first level if they miss the latency goal.
    fn slow_levels(&self, time: f64, latency_goal: Span) -> usize {
        let usual = match self.seen >= MIN_MEDIAN_SAMPLES {
            true => self.value,
            false => latency_goal.0 as f64 / SLOW_FACTORS[0],
        };
        if time <= usual + MIN_SLOW_EXCESS.0 as f64 {
            return 0;
        }
        SLOW_FACTORS.iter().filter(|times| time > usual * **times).count()
    }
}

/// Returns for each level of slowness the time after which an answer is slow, if its first event
/// was due within `expected`.
pub fn slow_thresholds(expected: Span) -> [Span; SLOWNESS_LEVELS] {
    SLOW_FACTORS.map(|times| Span(((expected.0 + MIN_OVERHEAD.0) as f64 * times) as u64))
}

/// Origin of counts that another VM sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Source {
    /// One VM.
    Vm(Name),
    /// All VMs of a data centre.
    Group(DataCentre),
}

/// One answer, as it is counted in a trial.
#[derive(Clone, Copy, Debug)]
pub struct Sample<'a> {
    /// Route of the request; answers of one route have similar times.
    pub route: &'a str,
    /// Version of the server that answered.
    pub version: &'a Version,
    /// True if the answer is a failure of the server itself.
    pub failed: bool,
    /// Time to the answer or to its first event, or the time waited so far; `None` if the answer is
    /// a failure.
    pub response_time: Option<Span>,
    /// Number of slowness levels at which this answer was already counted while it was awaited.
    pub reported_slow_levels: usize,
    /// Time within which the first event was due if the request has a prompt, assuming that the
    /// server has cached only prompts that this VM sent to it. Otherwise a new version, which has
    /// no prompt cached yet, would look slow beside one that has many.
    pub expected_time: Option<Span>,
    /// Latency goal of the route.
    pub latency_goal: Span,
}

/// Counts of both versions on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Totals {
    /// Failed answers.
    pub failures: Comparison,
    /// Slow answers, by level of slowness.
    pub slow: [Comparison; SLOWNESS_LEVELS],
}

impl Totals {
    /// Returns the sum of both counts.
    fn plus(self, other: Totals) -> Totals {
        let slow = std::array::from_fn(|level| self.slow[level].plus(other.slow[level]));
        Totals { failures: self.failures.plus(other.failures), slow }
    }

    /// Returns the strongest evidence that the new version is worse, over all ways of being bad.
    fn evidence(&self) -> f64 {
        let slow = self.slow.iter().map(Comparison::evidence_of_slowness);
        slow.fold(self.failures.evidence(), f64::max)
    }
}

impl std::fmt::Display for Totals {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let of = |count: fn(&Comparison) -> Count| {
            let slow = self.slow.map(|comparison| count(&comparison).bad.to_string()).join("/");
            let failures = count(&self.failures);
            format!("{} failed {} slow {slow}", failures.all, failures.bad)
        };
        write!(f, "new {}, old {}", of(|both| both.new), of(|both| both.old))
    }
}

/// Counts by route. A version may be bad on a single route with few requests: one VM sees only some
/// answers of that route during a trial, but all VMs together see enough.
pub type TotalsByRoute = HashMap<String, Totals>;

/// Canary analysis of a new version of one service against the old one.
#[derive(Default)]
pub struct RolloutTrial {
    /// The new version that is compared with the old one; `None` before the first rollout.
    version: Option<Version>,
    /// When this VM first saw the order to roll out the version.
    started_at: Moment,
    /// True once this VM has found the new version worse; later counts do not change that.
    found_bad: bool,
    /// Counts of this VM.
    own: TotalsByRoute,
    /// Usual times of the old version, by route.
    medians: HashMap<String, Median>,
    /// Latest counts from other VMs, and sums from other groups (data centres).
    others: HashMap<Source, TotalsByRoute>,
    /// Verdict of the VM that this one follows, which knows the counts of more VMs.
    upstream_verdict: Option<Verdict>,
    /// Counts of this VM as they were last sent to the other VMs.
    sent: TotalsByRoute,
    /// True once the new version was promoted.
    is_promoted: bool,
    /// Versions that were ordered before this one and not promoted. Their servers may still run, and
    /// say nothing about the old version.
    rejected: BTreeSet<Version>,
}

/// Judgement on a new version from the counts of its answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Verdict {
    /// Number of answers of the new version that were counted.
    pub seen: f64,
    /// Evidence that the new version is worse than the old one, as a log likelihood ratio.
    pub evidence: f64,
}

/// What the counts that a VM knows say for the promotion of a new version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Basis {
    /// Evidence that the new version is no worse than the old one, on any route with many requests
    /// and on all together, as a log likelihood ratio.
    pub support: f64,
    /// Answers of both versions per second since the order.
    pub request_rate: f64,
    /// False if the VM that this one follows knows more answers.
    pub knows_most_answers: bool,
}

/// Returns the pooled counts of all routes.
fn pool(routes: &TotalsByRoute) -> Totals {
    let failures = routes.values().map(|route| route.failures);
    let slow = |level: usize| routes.values().map(move |route| route.slow[level]);
    Totals {
        failures: Comparison::pooled(failures),
        slow: std::array::from_fn(|level| Comparison::pooled(slow(level))),
    }
}

impl RolloutTrial {
    /// Sets the version that is rolled out, seen at the moment `now`. Counts restart if the version
    /// differs from the last one, which is rejected unless it was promoted.
    pub fn track_version(&mut self, version: &Version, now: Moment) {
        if self.version.as_ref() != Some(version) {
            let mut rejected = std::mem::take(&mut self.rejected);
            rejected.extend(self.version.take().filter(|_| !self.is_promoted));
            rejected.remove(version);
            *self = RolloutTrial {
                version: Some(version.clone()),
                started_at: now,
                medians: std::mem::take(&mut self.medians),
                rejected,
                ..RolloutTrial::default()
            };
        }
    }

    /// Records that the new version was promoted: it is the only one that serves.
    pub fn on_promoted(&mut self) {
        self.is_promoted = true;
        self.rejected.clear();
    }

    /// Returns the versions that were ordered before the present one and not promoted.
    pub fn rejected_versions(&self) -> impl Iterator<Item = &Version> {
        self.rejected.iter()
    }

    /// Counts an answer in the totals of its route, or an awaited answer at the moment when it
    /// became slow. An answer is counted once at each level.
    pub fn record(&mut self, sample: &Sample) {
        if self.rejected.contains(sample.version) {
            return;
        }
        let is_new = self.version.as_ref() == Some(sample.version);
        let level = self.slow_levels(sample, is_new);
        if self.version.is_none() {
            return;
        }
        let reported = sample.reported_slow_levels;
        let totals = self.own.entry(sample.route.to_owned()).or_default();
        let slow = totals.slow.iter_mut().enumerate();
        let slow = slow.map(|(at, comparison)| (comparison, at >= reported && at < level));
        for (comparison, bad) in slow.chain([(&mut totals.failures, sample.failed)]) {
            let count = if is_new { &mut comparison.new } else { &mut comparison.old };
            *count = count.plus(Count::of(u64::from(reported == 0), u64::from(bad)));
        }
        self.found_bad = self.found_bad || (is_new && self.evidence() > canary::ROLLBACK_EVIDENCE);
    }

    /// Returns the number of levels at which an answer was slow. The usual time of a request
    /// without a prompt is the median of the old version's times.
    fn slow_levels(&mut self, sample: &Sample, is_new: bool) -> usize {
        let Some(time) = sample.response_time else { return 0 };
        if let Some(expected) = sample.expected_time {
            return slow_thresholds(expected).iter().filter(|limit| time > **limit).count();
        }
        let median = self.medians.entry(sample.route.to_owned()).or_default();
        let level = median.slow_levels(time.0 as f64, sample.latency_goal);
        if !is_new {
            median.record(time.0 as f64);
        }
        level
    }

    /// Counts of this VM.
    pub fn own_totals(&self) -> &TotalsByRoute {
        &self.own
    }

    /// Returns the sum of the counts of this VM and the others of its group (data centre).
    pub fn group_totals(&self) -> TotalsByRoute {
        self.sum(|source| matches!(source, Source::Vm(_)))
    }

    /// Returns the counts by route of this VM and of the sources that `included` selects.
    fn sum(&self, included: impl Fn(&Source) -> bool) -> TotalsByRoute {
        let mut sums = self.own.clone();
        let others = self.others.iter().filter(|(source, _)| included(source));
        for (route, totals) in others.flat_map(|(_, routes)| routes) {
            let sum = sums.entry(route.clone()).or_default();
            *sum = sum.plus(*totals);
        }
        sums
    }

    /// Returns the evidence that the new version is worse on one route or on all together. Returns
    /// this VM's own verdict or that of the VM it follows, whichever is based on more answers: with
    /// fewer answers, good versions would be found bad by chance.
    pub fn verdict(&self) -> Verdict {
        let sums = self.sum(|_| true);
        let all = pool(&sums);
        let evidence = sums.values().map(Totals::evidence).fold(all.evidence(), f64::max);
        let counted = Verdict { seen: all.failures.new.all, evidence };
        self.better_verdict(counted.seen).unwrap_or(counted)
    }

    /// Returns the verdict of the VM that this one follows if it is based on at least `seen`
    /// answers.
    fn better_verdict(&self, seen: f64) -> Option<Verdict> {
        self.upstream_verdict.filter(|upstream| upstream.seen >= seen)
    }

    /// Returns what the counts known to this VM say for a promotion.
    pub fn basis(&self, now: Moment) -> Basis {
        let sums = self.sum(|_| true);
        let failures: Vec<Comparison> = sums.values().map(|route| route.failures).collect();
        let slow = |level: usize| sums.values().map(|route| route.slow[level]).collect::<Vec<_>>();
        let support = (0..SLOWNESS_LEVELS)
            .map(|level| canary::support(Fault::Slowness, &slow(level)))
            .fold(canary::support(Fault::Failure, &failures), f64::min);
        let seen: f64 = failures.iter().map(|route| route.new.all).sum();
        let answers: f64 = seen + failures.iter().map(|route| route.old.all).sum::<f64>();
        Basis {
            support,
            request_rate: answers / self.age(now).as_secs().max(f64::MIN_POSITIVE),
            knows_most_answers: self.better_verdict(seen + 1.0).is_none(),
        }
    }

    /// Returns the evidence of all VMs that the new version is worse.
    pub fn evidence(&self) -> f64 {
        self.verdict().evidence
    }

    /// Replaces the counts of another VM or group by route; routes that are not named keep their
    /// counts. Counts of another version than the present one are ignored.
    pub fn merge_totals(
        &mut self,
        from: Source,
        version: &Version,
        routes: impl IntoIterator<Item = (String, Totals)>,
    ) {
        if self.version.as_ref() == Some(version) {
            self.others.entry(from).or_default().extend(routes);
            self.found_bad = self.found_bad || self.evidence() > canary::ROLLBACK_EVIDENCE;
        }
    }

    /// Sets the verdict of the VM that this one follows. A verdict on another version than the
    /// present one is ignored.
    pub fn set_upstream_verdict(&mut self, version: &Version, verdict: Verdict) {
        if self.version.as_ref() == Some(version) {
            self.upstream_verdict = Some(verdict);
            self.found_bad = self.found_bad || self.evidence() > canary::ROLLBACK_EVIDENCE;
        }
    }

    /// Clears the verdict when this VM stops following another.
    pub fn clear_upstream_verdict(&mut self) {
        self.upstream_verdict = None;
    }

    /// Returns the routes whose counts changed since the last call, to be sent to the other VMs.
    /// Those of the old version, which change with most requests, are sent again once they have
    /// grown by a fraction.
    pub fn take_changed_totals(&mut self) -> Option<(Version, Vec<(String, Totals)>)> {
        let version = self.version.clone()?;
        let is_changed = |route: &String, totals: &Totals| {
            let sent = self.sent.get(route).copied().unwrap_or_default();
            totals.failures.new != sent.failures.new
                || totals.failures.old.all > MIN_OLD_GROWTH * sent.failures.old.all
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

    /// Returns the number of other VMs and data centres whose counts are known.
    pub fn sources(&self) -> usize {
        self.others.len()
    }

    /// Returns the counts of all known sources by route, for the log: answers of the new version,
    /// failed ones and slow ones by level, then the same of the old version.
    pub fn describe_counts(&self) -> String {
        let mut routes: Vec<(String, Totals)> = self.sum(|_| true).into_iter().collect();
        routes.sort_by(|(one, _), (other, _)| one.cmp(other));
        let routes = routes.iter().map(|(route, totals)| format!("{route} {totals}"));
        routes.collect::<Vec<_>>().join("; ")
    }

    /// Returns true once this VM has found the version bad.
    pub fn is_bad(&self) -> bool {
        self.found_bad
    }

    /// Returns the number of answers of the new version that all VMs have seen.
    pub fn seen(&self) -> f64 {
        self.verdict().seen
    }

    /// Returns the time since this VM first saw the order to roll out the version.
    pub fn age(&self, now: Moment) -> Span {
        now.since(self.started_at)
    }
}
