//! Admission of requests to a pool of back ends: a concurrency limit that adapts to the pool, and
//! fair shares among workspaces while the pool is nearly full.

use std::collections::BTreeMap;

use super::fair;
use super::limit::ConcurrencyLimit;
use crate::unit::{Moment, Span, Workspace};

/// Time between two updates of the measured demand of workspaces and of the concurrency limit.
const UPDATE_INTERVAL: Span = Span::millis(200);

/// Weight of the latest sample in the moving averages of rates and of running requests.
const SMOOTHING_FACTOR: f64 = 0.3;

/// Upper bound of the concurrency limit of one VM for one pool.
const MAX_CONCURRENCY: f64 = 100_000.0;

/// Fraction of the concurrency limit in use from which fair shares of workspaces are enforced.
const CROWDED_THRESHOLD: f64 = 0.85;

/// Number of concurrent requests that every workspace may have, however small its fair share.
const MIN_FAIR_SHARE: f64 = 2.0;

/// Factor on the mean duration of requests for the time that a new request is assumed to need.
const MAX_DURATION_FACTOR: f64 = 2.0;

/// How an admitted request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request succeeded in time.
    Good,
    /// The request ended late or without a response.
    Bad,
    /// Every backend server that was tried was full.
    Full,
    /// The outcome says nothing about the pool: the caller disconnected, or the request was
    /// invalid.
    Unrelated,
}

/// Requests of one workspace to the pool.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    /// Weight of the workspace in the division of the limit.
    weight: f64,
    /// Requests since the last update, admitted or not.
    offered: f64,
    rate: f64,
    running: f64,
    /// Number of concurrent requests that is the workspace's fair share of the limit.
    share: f64,
}

/// Admission of one VM's requests to one pool.
#[derive(Clone, Debug)]
pub struct AdmissionController {
    concurrency: ConcurrencyLimit,
    running: f64,
    /// Admitted requests that ended since the last update.
    ended: f64,
    /// Admitted requests that end per second, as a moving average.
    rate: f64,
    /// Admitted requests that run at once, as a moving average.
    mean_running: f64,
    /// Mean time in seconds that a request runs.
    mean_duration: f64,
    updated_at: Moment,
    demands: BTreeMap<Workspace, Demand>,
}

impl AdmissionController {
    /// Creates a controller for a pool whose back ends run `slots` requests at once. The initial
    /// limit assumes that no other VM sends to the pool.
    pub fn new(slots: f64) -> AdmissionController {
        AdmissionController {
            concurrency: ConcurrencyLimit::new(slots, MAX_CONCURRENCY),
            running: 0.0,
            ended: 0.0,
            rate: 0.0,
            mean_running: 0.0,
            mean_duration: 0.0,
            updated_at: Moment(0),
            demands: BTreeMap::new(),
        }
    }

    /// Returns true if a request of `workspace` is admitted, and then counts it as running. While
    /// the pool is nearly full, the fair share of the workspace is proportional to `weight`.
    pub fn try_admit(&mut self, workspace: &Workspace, weight: f64, now: Moment) -> bool {
        self.update(now);
        let crowded = self.running >= CROWDED_THRESHOLD * self.concurrency.limit();
        let demand = match self.demands.get_mut(workspace) {
            Some(demand) => demand,
            None => self.demands.entry(workspace.clone()).or_default(),
        };
        demand.weight = weight;
        demand.offered += 1.0;
        let fair = !crowded || demand.running < demand.share.max(MIN_FAIR_SHARE);
        // A workspace below its fair share is admitted even if others have used up the limit.
        let within_share = demand.running + 1.0 <= demand.share.max(MIN_FAIR_SHARE);
        let has_room = self.concurrency.admits(self.running);
        if !fair || !(has_room || within_share) {
            return false;
        }
        demand.running += 1.0;
        self.running += 1.0;
        true
    }

    /// Records the outcome of an admitted request.
    pub fn on_end(&mut self, workspace: &Workspace, how: Outcome, now: Moment) {
        self.update(now);
        match how {
            Outcome::Good => self.concurrency.record_success(),
            Outcome::Bad | Outcome::Full => self.concurrency.record_overload(),
            Outcome::Unrelated => {}
        }
        self.ended += 1.0;
        self.running = (self.running - 1.0).max(0.0);
        if let Some(demand) = self.demands.get_mut(workspace) {
            demand.running = (demand.running - 1.0).max(0.0);
        }
    }

    /// Returns true if a request that starts now is expected to end before `deadline`, from the
    /// mean duration of recent requests.
    pub fn can_meet_deadline(&self, now: Moment, deadline: Moment) -> bool {
        now + Span((self.mean_duration * MAX_DURATION_FACTOR * 1e6) as u64) < deadline
    }

    /// Returns how many requests of this VM may run at the pool at once.
    pub fn concurrency_limit(&self) -> f64 {
        self.concurrency.limit()
    }

    /// Updates the moving averages, the concurrency limit and the fair shares, at most once per
    /// [`UPDATE_INTERVAL`].
    fn update(&mut self, now: Moment) {
        let elapsed = now.since(self.updated_at);
        if elapsed < UPDATE_INTERVAL {
            return;
        }
        self.updated_at = now;
        self.concurrency.adapt();
        let seconds = elapsed.as_secs();
        self.rate += SMOOTHING_FACTOR * (self.ended / seconds - self.rate);
        self.mean_running += SMOOTHING_FACTOR * (self.running - self.mean_running);
        self.ended = 0.0;
        // Little's law: mean time that a request holds its slot.
        self.mean_duration = if self.rate > 0.0 { self.mean_running / self.rate } else { 0.0 };
        let mut wanted = Vec::with_capacity(self.demands.len());
        for demand in self.demands.values_mut() {
            demand.rate += SMOOTHING_FACTOR * (demand.offered / seconds - demand.rate);
            demand.offered = 0.0;
            wanted.push((demand.rate * self.mean_duration).max(demand.running));
        }
        let weights: Vec<f64> = self.demands.values().map(|demand| demand.weight).collect();
        let shares = fair::shares(&wanted, &weights, self.concurrency.limit());
        for (demand, share) in self.demands.values_mut().zip(shares) {
            demand.share = share;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn name(i: usize) -> Workspace {
        format!("w{i}").parse().unwrap()
    }

    #[test]
    fn an_idle_pool_lets_everyone_in() {
        let mut controller = AdmissionController::new(64.0);
        for i in 0..1000u64 {
            let now = Moment(1_000_000 + i * 1000);
            assert!(controller.try_admit(&name(0), 1.0, now));
            controller.on_end(&name(0), Outcome::Good, now);
        }
    }

    #[test]
    fn a_full_pool_keeps_the_share_of_the_small() {
        let mut controller = AdmissionController::new(64.0);
        let (mut small, mut small_in) = (0, 0);
        let mut running = std::collections::VecDeque::new();
        // The large workspace offers 20 requests for each one of the small; 64 fit, each for 100
        // ms.
        for i in 0..200_000u64 {
            let now = Moment(1_000_000 + i * 100);
            while running.front().is_some_and(|(end, _)| *end <= now) {
                let (_, who) = running.pop_front().unwrap();
                controller.on_end(
                    &name(who),
                    if running.len() > 64 { Outcome::Full } else { Outcome::Good },
                    now,
                );
            }
            let is_small = i % 21 == 0;
            let who = usize::from(is_small);
            let admitted = controller.try_admit(&name(who), 1.0, now);
            if admitted {
                running.push_back((now + Span::millis(100), who));
            }
            if is_small && i > 50_000 {
                small += 1;
                small_in += u32::from(admitted);
            }
        }
        assert!(f64::from(small_in) / f64::from(small) > 0.5, "{small_in} of {small}");
    }
}
