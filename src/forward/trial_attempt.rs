//! What a roll-out's trial is told of an attempt at a server.

use super::job::Job;
use super::replica::Replica;
use super::trial::{self, Sample};
use crate::decide::outcome::AttemptOutcome;
use crate::unit::{Moment, Span, Version};

/// An attempt as a roll-out's trial sees it.
pub struct TrialAttempt<'a> {
    job: &'a Job,
    version: Version,
    begun: Moment,
    expected: Option<Span>,
    /// Degrees of slowness that were told.
    reported_slow_levels: usize,
}

impl<'a> TrialAttempt<'a> {
    /// An attempt at a server that began at a moment; its answer is due within `expected`, if that is known.
    pub fn new(
        job: &'a Job,
        replica: &Replica,
        begun: Moment,
        expected: Option<Span>,
    ) -> TrialAttempt<'a> {
        let version = replica.version.clone();
        TrialAttempt { job, version, begun, expected, reported_slow_levels: 0 }
    }

    /// Waits for an attempt. One that takes too long is told as slow at that moment: its answer may
    /// come seconds later, or its caller may leave, and a version that is slow is found by then.
    pub async fn wait<T>(&mut self, attempt: impl Future<Output = T>) -> T {
        let mut attempt = std::pin::pin!(attempt);
        for limit in self.expected.map(trial::slow_thresholds).into_iter().flatten() {
            let left = limit.0.saturating_sub(self.job.vm.now().since(self.begun).0);
            if let Ok(outcome) = tokio::time::timeout(Span(left).duration(), attempt.as_mut()).await
            {
                return outcome;
            }
            self.record_sample(false);
        }
        attempt.await
    }

    /// It ended; what was told of it as slow is not told again.
    pub fn on_end(mut self, end: AttemptOutcome) {
        match end {
            _ if self.reported_slow_levels > 0 => {}
            AttemptOutcome::Good | AttemptOutcome::Late => self.record_sample(false),
            AttemptOutcome::Failed => self.record_sample(true),
            // A connection that breaks and a server that is full say nothing about the version.
            AttemptOutcome::NotSent
            | AttemptOutcome::Withheld
            | AttemptOutcome::NotRun
            | AttemptOutcome::Broken => {}
        }
    }

    fn record_sample(&mut self, failed: bool) {
        let vm = &self.job.vm;
        let time = (!failed).then(|| vm.now().since(self.begun));
        let sample = Sample {
            route: &self.job.route.name,
            version: &self.version,
            failed,
            time,
            reported_slow_levels: self.reported_slow_levels,
            expected: self.expected,
        };
        self.reported_slow_levels += 1;
        let mut trials = vm.trials.borrow_mut();
        trials.entry(self.job.service.clone()).or_default().record(&sample);
    }
}
