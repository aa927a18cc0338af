//! Overload: more work than capacity, and the loss of half of the pool in the middle of the run, in
//! virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::options::Options;
use super::table::{Row, Table};
use crate::decide::admission::{AdmissionController, Outcome};
use crate::unit::{Moment, Workspace};

/// Entry VMs, replicas of the pool, and requests that a replica runs at once.
const VMS: usize = 9;
const REPLICAS: usize = 20;
const SLOTS: usize = 16;

/// Mean time for which a request runs.
const MEAN_SERVICE_SECONDS: f64 = 1.0;

/// Time after which a caller gives up.
const DEADLINE_US: u64 = 4_000_000;

/// Length of a run; half of the pool is lost in the middle of it.
const RUN_SECONDS: u64 = 120;

/// Delay after which a refused or late caller retries if it received no `Retry-After`.
const CALLER_RETRY_US: u64 = 200_000;

/// Requests that a caller sends at most, including the first.
const MAX_CALLER_ATTEMPTS: u32 = 3;

/// `Retry-After` that the router sends to refused callers.
const RETRY_AFTER_US: u64 = 2_000_000;

/// Numbers of large and small workspaces, and the fraction of requests from the large ones.
const LARGE_WORKSPACES: usize = 3;
const SMALL_WORKSPACES: usize = 7;
const LARGE_WORKSPACES_SHARE: f64 = 0.93;

/// Requests that may wait at a replica per slot, with fixed limits and with the router.
const FIXED_QUEUE_PER_SLOT: f64 = 1.0;
const KITEPULLEY_QUEUE_PER_SLOT: f64 = 0.25;

/// Concurrency limit of a VM with fixed limits, as a multiple of its share of the pool.
const FIXED_CONCURRENCY: f64 = 1.5;

/// Offered loads by default, as multiples of the capacity.
const DEFAULT_LOADS: [f64; 3] = [0.9, 2.0, 5.0];

/// Replicas that the router tries before it refuses a request.
const MAX_REPLICAS_TRIED: usize = 3;

#[derive(Clone, Copy, PartialEq)]
enum Policy {
    NoLimits,
    Fixed,
    Kitepulley,
}

const POLICIES: [(Policy, &str); 3] = [
    (Policy::NoLimits, "no limits"),
    (Policy::Fixed, "fixed limits"),
    (Policy::Kitepulley, "ours"),
];

#[derive(Clone)]
struct Request {
    workspace: usize,
    vm: usize,
    /// Arrival of the caller's first request, in microseconds.
    arrived_at: u64,
    /// Number of times that the caller has retried.
    retries: u32,
    /// Time for which it runs.
    service_us: u64,
}

enum Event {
    Arrival(Request),
    /// A request ends at a replica.
    Completion(usize, Request),
}

#[derive(Default)]
struct Replica {
    running: usize,
    waiting: std::collections::VecDeque<(u64, Request)>,
    lost: bool,
}

#[derive(Default)]
struct Counts {
    requests: f64,
    attempts: f64,
    in_time: f64,
    late: f64,
    completed: f64,
    /// Requests of each workspace, and those of them that ended in time.
    by_workspace: BTreeMap<usize, (f64, f64)>,
}

struct Run {
    policy: Policy,
    replicas: Vec<Replica>,
    controllers: Vec<AdmissionController>,
    running: Vec<f64>,
    names: Vec<Workspace>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    sequence: u64,
    counts: Counts,
    rng: SmallRng,
}

impl Run {
    fn schedule(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.events.insert(self.sequence, event);
        self.queue.push(Reverse((at, self.sequence)));
    }

    fn run_events(&mut self) {
        let half = RUN_SECONDS * 500_000;
        let mut lost = false;
        while let Some(Reverse((now, number))) = self.queue.pop() {
            if now > half && !lost {
                lost = true;
                self.lose_half(now);
            }
            match self.events.remove(&number).expect("each event is queued once") {
                Event::Arrival(request) => self.on_arrival(now, request),
                Event::Completion(at, request) => self.on_completion(now, at, request),
            }
        }
    }

    /// Loses half of the replicas with the requests that run or wait there.
    fn lose_half(&mut self, now: u64) {
        for at in 0..REPLICAS / 2 {
            self.replicas[at].lost = true;
            let waiting = std::mem::take(&mut self.replicas[at].waiting);
            for (_, request) in waiting {
                self.on_failure(now, request);
            }
        }
    }

    fn on_arrival(&mut self, now: u64, request: Request) {
        if request.retries == 0 {
            self.counts.requests += 1.0;
            self.counts.by_workspace.entry(request.workspace).or_default().0 += 1.0;
        }
        let vm = request.vm;
        let admitted = match self.policy {
            Policy::NoLimits => true,
            Policy::Fixed => {
                self.running[vm] < FIXED_CONCURRENCY * (REPLICAS * SLOTS) as f64 / VMS as f64
            }
            Policy::Kitepulley => {
                let name = self.names[request.workspace].clone();
                let deadline = Moment(request.arrived_at + DEADLINE_US);
                let in_time = self.controllers[vm].can_meet_deadline(Moment(now), deadline);
                in_time && self.controllers[vm].try_admit(&name, 1.0, Moment(now))
            }
        };
        if !admitted {
            self.on_refusal(now, request);
            return;
        }
        self.running[vm] += 1.0;
        self.dispatch(now, request);
    }

    fn dispatch(&mut self, now: u64, request: Request) {
        let queue_per_slot = match self.policy {
            Policy::NoLimits => f64::MAX,
            Policy::Fixed => FIXED_QUEUE_PER_SLOT,
            Policy::Kitepulley => KITEPULLEY_QUEUE_PER_SLOT,
        };
        let tried = if self.policy == Policy::Kitepulley { MAX_REPLICAS_TRIED } else { 1 };
        for _ in 0..tried {
            self.counts.attempts += 1.0;
            let at = self.pick_replica();
            let replica = &mut self.replicas[at];
            if replica.lost {
                continue;
            }
            if replica.running < SLOTS {
                replica.running += 1;
                let end = now + request.service_us;
                self.schedule(end, Event::Completion(at, request));
                return;
            }
            if (replica.waiting.len() as f64) < queue_per_slot * SLOTS as f64 {
                replica.waiting.push_back((now, request));
                return;
            }
        }
        self.on_attempt_end(now, &request, Outcome::Full);
        self.on_refusal(now, request);
    }

    /// Returns the less loaded of two random replicas that are not known to be lost.
    fn pick_replica(&mut self) -> usize {
        let draw = |rng: &mut SmallRng, replicas: &[Replica]| loop {
            let at = rng.random_range(0..REPLICAS);
            // After the first failed connections a lost replica is rarely chosen.
            if !replicas[at].lost || rng.random::<f64>() < 0.02 {
                return at;
            }
        };
        let (a, b) = (draw(&mut self.rng, &self.replicas), draw(&mut self.rng, &self.replicas));
        let load = |at: usize| self.replicas[at].running + self.replicas[at].waiting.len();
        if load(a) <= load(b) { a } else { b }
    }

    /// Ends a request at its VM and reports its outcome to the admission controller.
    fn on_attempt_end(&mut self, now: u64, request: &Request, outcome: Outcome) {
        self.running[request.vm] -= 1.0;
        if self.policy == Policy::Kitepulley {
            let name = &self.names[request.workspace];
            self.controllers[request.vm].on_end(name, outcome, Moment(now));
        }
    }

    fn on_completion(&mut self, now: u64, at: usize, request: Request) {
        let lost = self.replicas[at].lost;
        if lost {
            self.on_failure(now, request);
            return;
        }
        let late = now > request.arrived_at + DEADLINE_US;
        self.counts.completed += 1.0;
        if late {
            self.counts.late += 1.0;
        } else {
            self.counts.in_time += 1.0;
            self.counts.by_workspace.entry(request.workspace).or_default().1 += 1.0;
        }
        self.on_attempt_end(now, &request, if late { Outcome::Bad } else { Outcome::Good });
        self.replicas[at].running -= 1;
        self.start_queued(now, at);
        if late && self.policy != Policy::Kitepulley {
            self.schedule_retry(now, request, CALLER_RETRY_US);
        }
    }

    fn start_queued(&mut self, now: u64, at: usize) {
        while let Some((_, request)) = self.replicas[at].waiting.pop_front() {
            // The router drops requests that cannot meet their deadline; they have not run yet.
            let misses_deadline = now + request.service_us / 2 > request.arrived_at + DEADLINE_US;
            if self.policy == Policy::Kitepulley && misses_deadline {
                self.on_attempt_end(now, &request, Outcome::Bad);
                self.on_refusal(now, request);
                continue;
            }
            self.replicas[at].running += 1;
            let end = now + request.service_us;
            self.schedule(end, Event::Completion(at, request));
            return;
        }
    }

    fn on_failure(&mut self, now: u64, request: Request) {
        self.on_attempt_end(now, &request, Outcome::Bad);
        self.schedule_retry(now, request, CALLER_RETRY_US);
    }

    fn on_refusal(&mut self, now: u64, request: Request) {
        let wait = if self.policy == Policy::Kitepulley { RETRY_AFTER_US } else { CALLER_RETRY_US };
        self.schedule_retry(now, request, wait);
    }

    /// Schedules a retry of the caller, unless it has given up by then.
    fn schedule_retry(&mut self, now: u64, request: Request, wait: u64) {
        let at = now + wait + self.rng.random_range(0..wait);
        if request.retries + 1 < MAX_CALLER_ATTEMPTS && at < request.arrived_at + DEADLINE_US {
            let request = Request { retries: request.retries + 1, ..request };
            self.schedule(at, Event::Arrival(request));
        }
    }
}

fn generate_requests(seed: u64, load: f64) -> Vec<(u64, Request)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let rate = load * (REPLICAS * SLOTS) as f64 / MEAN_SERVICE_SECONDS;
    let mut at = 0.0;
    let mut all = Vec::new();
    while at < RUN_SECONDS as f64 {
        at -= (1.0 - rng.random::<f64>()).ln() / rate;
        let large = rng.random::<f64>() < LARGE_WORKSPACES_SHARE;
        let workspace = if large {
            rng.random_range(0..LARGE_WORKSPACES)
        } else {
            LARGE_WORKSPACES + rng.random_range(0..SMALL_WORKSPACES)
        };
        let arrived_at = (at * 1e6) as u64 + 1_000_000;
        let service_us = (-(1.0 - rng.random::<f64>()).ln() * MEAN_SERVICE_SECONDS * 0.5
            + MEAN_SERVICE_SECONDS * 0.5)
            * 1e6;
        let request = Request {
            workspace,
            vm: rng.random_range(0..VMS),
            arrived_at,
            retries: 0,
            service_us: service_us as u64,
        };
        all.push((arrived_at, request));
    }
    all
}

fn run_policy(policy: Policy, seed: u64, load: f64) -> Counts {
    let name = |i| format!("w{i}").parse().expect("a name");
    let mut run = Run {
        policy,
        replicas: (0..REPLICAS).map(|_| Replica::default()).collect(),
        controllers: vec![AdmissionController::new((REPLICAS * SLOTS) as f64); VMS],
        running: vec![0.0; VMS],
        names: (0..LARGE_WORKSPACES + SMALL_WORKSPACES).map(name).collect(),
        queue: BinaryHeap::new(),
        events: BTreeMap::new(),
        sequence: 0,
        counts: Counts::default(),
        rng: SmallRng::seed_from_u64(seed ^ 0x5eed),
    };
    for (at, request) in generate_requests(seed, load) {
        run.schedule(at, Event::Arrival(request));
    }
    run.run_events();
    run.counts
}

/// Runs all policies on the same requests, for each load.
pub fn run(options: &Options) -> Table {
    let loads = options.load.map_or_else(|| DEFAULT_LOADS.to_vec(), |load| vec![load]);
    let mut table = Table::default();
    let slots = (REPLICAS * SLOTS) as f64 / MEAN_SERVICE_SECONDS;
    for load in loads {
        for (policy, name) in POLICIES {
            let counts = run_policy(policy, options.seed, load);
            // The full capacity for the first half of the run, and half of it after the loss.
            let half = RUN_SECONDS as f64 / 2.0;
            let max_in_time =
                slots.min(load * slots) * half + (slots / 2.0).min(load * slots) * half;
            let small = (LARGE_WORKSPACES..LARGE_WORKSPACES + SMALL_WORKSPACES)
                .filter_map(|w| counts.by_workspace.get(&w));
            let (requested, got) = small.fold((0.0, 0.0), |sum, w| (sum.0 + w.0, sum.1 + w.1));
            // Up to a load of about 10, small workspaces request less than an equal share.
            let row = Row::named("policy", name)
                .number("offered", load, 2)
                .number("goodput_ratio", counts.in_time / max_in_time, 4)
                .number("attempts_per_request", counts.attempts / counts.requests, 3)
                .number("late_ratio", counts.late / counts.completed.max(1.0), 4)
                .number("small_workspace_ratio", got / requested.max(1.0), 4);
            table.rows.push(row);
        }
    }
    table.notes.push(format!(
        "{VMS} VMs, {REPLICAS} replicas of {SLOTS} slots, half of them lost after {} s of \
         {RUN_SECONDS}; {LARGE_WORKSPACES} large and {SMALL_WORKSPACES} small workspaces. \
         goodput_ratio is relative to the remaining capacity; attempts are requests sent to \
         replicas, including rejected ones.",
        RUN_SECONDS / 2
    ));
    table
}
