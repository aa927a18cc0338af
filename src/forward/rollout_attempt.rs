//! Counts attempts at a server in the trial of a rollout, which compares the answers of the old and
//! the new version ([`super::rollout_trial`]).

use super::job::Job;
use super::replica::Replica;
use super::rollout_trial::{self, Sample};
use crate::decide::outcome::AttemptOutcome;
use crate::unit::{Moment, Span, Version};

/// An attempt at a server that is counted in the trial of a rollout.
pub struct RolloutAttempt<'a> {
    job: &'a Job,
    version: Version,
    /// When the attempt began.
    started_at: Moment,
    /// Time within which the first event is due, if that is known.
    expected_time: Option<Span>,
    /// Number of slowness levels at which the attempt was counted so far.
    reported_slow_levels: usize,
}

impl<'a> RolloutAttempt<'a> {
    /// Creates the record of an attempt that began at `started_at`; its first event is due within
    /// `expected_time`, if that is known.
    pub fn new(
        job: &'a Job,
        replica: &Replica,
        started_at: Moment,
        expected_time: Option<Span>,
    ) -> RolloutAttempt<'a> {
        let version = replica.version.clone();
        RolloutAttempt { job, version, started_at, expected_time, reported_slow_levels: 0 }
    }

    /// Waits for an attempt. Counts the attempt at each slowness level as soon as it exceeds the
    /// level's threshold: the answer may come seconds later, or the caller may leave, and a slow
    /// version must be detected by then.
    pub async fn wait<T>(&mut self, attempt: impl Future<Output = T>) -> T {
        let mut attempt = std::pin::pin!(attempt);
        for limit in self.expected_time.map(rollout_trial::slow_thresholds).into_iter().flatten() {
            let left = limit.0.saturating_sub(self.job.vm.now().since(self.started_at).0);
            if let Ok(outcome) = tokio::time::timeout(Span(left).duration(), attempt.as_mut()).await
            {
                return outcome;
            }
            self.record_sample(false);
        }
        attempt.await
    }

    /// Counts the end of the attempt, unless the attempt was counted as slow before.
    pub fn on_end(mut self, end: AttemptOutcome) {
        match end {
            _ if self.reported_slow_levels > 0 => {}
            AttemptOutcome::Good | AttemptOutcome::Late => self.record_sample(false),
            AttemptOutcome::Failed => self.record_sample(true),
            // A broken connection or a full server says nothing about the version.
            AttemptOutcome::NotSent
            | AttemptOutcome::Withheld
            | AttemptOutcome::NotRun
            | AttemptOutcome::Broken => {}
        }
    }

    /// Counts the attempt in the trial of its service, as failed or with the time that it took so
    /// far.
    fn record_sample(&mut self, failed: bool) {
        let vm = &self.job.vm;
        let time = (!failed).then(|| vm.now().since(self.started_at));
        let sample = Sample {
            route: &self.job.route.name,
            version: &self.version,
            failed,
            response_time: time,
            reported_slow_levels: self.reported_slow_levels,
            expected_time: self.expected_time,
            latency_goal: self.job.route.latency_goal,
        };
        self.reported_slow_levels += 1;
        let mut trials = vm.rollout_trials.borrow_mut();
        trials.entry(self.job.service.clone()).or_default().record(&sample);
    }
}
