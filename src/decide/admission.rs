//! Whether a request is let towards a pool of back ends: concurrency that adapts to the pool, and
//! fair shares among workspaces while the pool is full.

use std::collections::BTreeMap;

use super::fair;
use super::limit::ConcurrencyLimit;
use crate::unit::{Moment, Span, Workspace};

/// Time between two looks at demand.
const LOOK: Span = Span::millis(200);

/// Weight of the latest look.
const LATEST: f64 = 0.3;

/// Concurrency at most, of one VM towards one pool.
const MOST: f64 = 100_000.0;

/// Shares matter while more than this part of the limit is used.
const NEARLY_FULL: f64 = 0.85;

/// Every workspace may hold this many slots, however small its share.
const LEAST: f64 = 2.0;

/// A request may take this many times as long as the mean.
const SPREAD: f64 = 2.0;

/// How a request that was let in ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// In time.
    Good,
    /// Late, or not at all.
    Bad,
    /// Every back end that was tried was full.
    Full,
    /// It says nothing about the pool: the caller left, or the request was at fault.
    Unrelated,
}

#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    weight: f64,
    offered: f64,
    rate: f64,
    running: f64,
    share: f64,
}

/// One VM's gate towards one pool.
#[derive(Clone, Debug)]
pub struct AdmissionController {
    concurrency: ConcurrencyLimit,
    running: f64,
    ended: f64,
    /// Requests let in that end in a second, and how many run at once, both of late.
    rate: f64,
    held: f64,
    time: f64,
    looked: Moment,
    demands: BTreeMap<Workspace, Demand>,
}

impl AdmissionController {
    /// A gate towards a pool of so many slots; it begins as if this VM were alone.
    pub fn new(slots: f64) -> AdmissionController {
        AdmissionController {
            concurrency: ConcurrencyLimit::new(slots, MOST),
            running: 0.0,
            ended: 0.0,
            rate: 0.0,
            held: 0.0,
            time: 0.0,
            looked: Moment(0),
            demands: BTreeMap::new(),
        }
    }

    /// Lets a request in, or not; the share of its workspace goes by `weight`.
    pub fn try_admit(&mut self, workspace: &Workspace, weight: f64, now: Moment) -> bool {
        self.look(now);
        let crowded = self.running >= NEARLY_FULL * self.concurrency.limit();
        let demand = match self.demands.get_mut(workspace) {
            Some(demand) => demand,
            None => self.demands.entry(workspace.clone()).or_default(),
        };
        demand.weight = weight;
        demand.offered += 1.0;
        let fair = !crowded || demand.running < demand.share.max(LEAST);
        // A workspace within its share goes in even if others filled the limit.
        let owed = demand.running + 1.0 <= demand.share.max(LEAST);
        let room = self.concurrency.admits(self.running);
        if !fair || !(room || owed) {
            return false;
        }
        demand.running += 1.0;
        self.running += 1.0;
        true
    }

    /// A request that was let in ended.
    pub fn on_end(&mut self, workspace: &Workspace, how: Outcome, now: Moment) {
        self.look(now);
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

    /// Whether a request that must end by `deadline` can be expected to.
    pub fn can_meet_deadline(&self, now: Moment, deadline: Moment) -> bool {
        now + Span((self.time * SPREAD * 1e6) as u64) < deadline
    }

    /// The present limit of concurrency.
    pub fn limit(&self) -> f64 {
        self.concurrency.limit()
    }

    fn look(&mut self, now: Moment) {
        let passed = now.since(self.looked);
        if passed < LOOK {
            return;
        }
        self.looked = now;
        self.concurrency.adapt();
        let seconds = passed.as_secs();
        self.rate += LATEST * (self.ended / seconds - self.rate);
        self.held += LATEST * (self.running - self.held);
        self.ended = 0.0;
        // By Little's law, the time that a request holds its slot.
        self.time = if self.rate > 0.0 { self.held / self.rate } else { 0.0 };
        let mut wanted = Vec::with_capacity(self.demands.len());
        for demand in self.demands.values_mut() {
            demand.rate += LATEST * (demand.offered / seconds - demand.rate);
            demand.offered = 0.0;
            wanted.push((demand.rate * self.time).max(demand.running));
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
        let mut gate = AdmissionController::new(64.0);
        for i in 0..1000u64 {
            let now = Moment(1_000_000 + i * 1000);
            assert!(gate.try_admit(&name(0), 1.0, now));
            gate.on_end(&name(0), Outcome::Good, now);
        }
    }

    #[test]
    fn a_full_pool_keeps_the_share_of_the_small() {
        let mut gate = AdmissionController::new(64.0);
        let (mut small, mut small_in) = (0, 0);
        let mut running = std::collections::VecDeque::new();
        // A large workspace offers 20 for each one of the small; 64 fit, each for 100 ms.
        for i in 0..200_000u64 {
            let now = Moment(1_000_000 + i * 100);
            while running.front().is_some_and(|(end, _)| *end <= now) {
                let (_, who) = running.pop_front().unwrap();
                gate.on_end(
                    &name(who),
                    if running.len() > 64 { Outcome::Full } else { Outcome::Good },
                    now,
                );
            }
            let is_small = i % 21 == 0;
            let who = usize::from(is_small);
            let admitted = gate.try_admit(&name(who), 1.0, now);
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
