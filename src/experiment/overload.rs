//! Overload: more work than capacity, and half of the pool lost halfway, in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::options::Options;
use super::table::{Row, Table};
use crate::decide::admission::{AdmissionController, Outcome};
use crate::unit::{Moment, Workspace};

/// Entry VMs, replicas and slots of the pool.
const VMS: usize = 9;
const REPLICAS: usize = 20;
const SLOTS: usize = 16;

/// Mean time in a slot, in seconds.
const SERVICE: f64 = 1.0;

/// A caller gives up after this, in microseconds.
const DEADLINE: u64 = 4_000_000;

/// Length of a run; half of the pool is lost in the middle.
const SECONDS: u64 = 120;

/// A refused or late caller of a policy without `Retry-After` asks again after this, so often.
const AGAIN: u64 = 200_000;
const TIMES: u32 = 3;

/// What ours tells refused callers: when to come back.
const RETRY_AFTER: u64 = 2_000_000;

/// Large workspaces, small ones, and the share of the work that the large ones offer.
const LARGE: usize = 3;
const SMALL: usize = 7;
const LARGE_SHARE: f64 = 0.93;

/// Requests that may wait at a replica for each slot, by policy.
const WAIT_FIXED: f64 = 1.0;
const WAIT_OURS: f64 = 0.25;

/// Concurrency of a VM with fixed limits, in shares of its part of the pool.
const FIXED: f64 = 1.5;

/// Loads if none is given, in shares of the capacity.
const LOADS: [f64; 3] = [0.9, 2.0, 5.0];

/// Replicas tried before a request is refused.
const TRIED: usize = 3;

#[derive(Clone, Copy, PartialEq)]
enum Kind {
    NoLimits,
    Fixed,
    Ours,
}

const KINDS: [(Kind, &str); 3] =
    [(Kind::NoLimits, "no limits"), (Kind::Fixed, "fixed limits"), (Kind::Ours, "ours")];

#[derive(Clone)]
struct Request {
    workspace: usize,
    vm: usize,
    born: u64,
    tries: u32,
    work: u64,
}

enum Event {
    Offer(Request),
    End(usize, Request),
}

#[derive(Default)]
struct Replica {
    running: usize,
    waiting: std::collections::VecDeque<(u64, Request)>,
    lost: bool,
}

#[derive(Default)]
struct Tally {
    requests: f64,
    dispatches: f64,
    good: f64,
    late: f64,
    done: f64,
    by_workspace: BTreeMap<usize, (f64, f64)>,
}

struct Run {
    kind: Kind,
    replicas: Vec<Replica>,
    gates: Vec<AdmissionController>,
    running: Vec<f64>,
    names: Vec<Workspace>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    next: u64,
    tally: Tally,
    rng: SmallRng,
}

impl Run {
    fn push(&mut self, at: u64, event: Event) {
        self.next += 1;
        self.events.insert(self.next, event);
        self.queue.push(Reverse((at, self.next)));
    }

    fn go(&mut self) {
        let half = SECONDS * 500_000;
        let mut lost = false;
        while let Some(Reverse((now, number))) = self.queue.pop() {
            if now > half && !lost {
                lost = true;
                self.lose(now);
            }
            match self.events.remove(&number).expect("each event once") {
                Event::Offer(request) => self.offer(now, request),
                Event::End(at, request) => self.end(now, at, request),
            }
        }
    }

    /// Half of the replicas are lost with what runs and waits there.
    fn lose(&mut self, now: u64) {
        for at in 0..REPLICAS / 2 {
            self.replicas[at].lost = true;
            let waiting = std::mem::take(&mut self.replicas[at].waiting);
            for (_, request) in waiting {
                self.failed(now, request);
            }
        }
    }

    fn offer(&mut self, now: u64, request: Request) {
        if request.tries == 0 {
            self.tally.requests += 1.0;
            self.tally.by_workspace.entry(request.workspace).or_default().0 += 1.0;
        }
        let vm = request.vm;
        let admitted = match self.kind {
            Kind::NoLimits => true,
            Kind::Fixed => self.running[vm] < FIXED * (REPLICAS * SLOTS) as f64 / VMS as f64,
            Kind::Ours => {
                let name = self.names[request.workspace].clone();
                let deadline = Moment(request.born + DEADLINE);
                let in_time = self.gates[vm].can_meet_deadline(Moment(now), deadline);
                in_time && self.gates[vm].try_admit(&name, 1.0, Moment(now))
            }
        };
        if !admitted {
            self.refused(now, request);
            return;
        }
        self.running[vm] += 1.0;
        self.dispatch(now, request);
    }

    fn dispatch(&mut self, now: u64, request: Request) {
        let room = match self.kind {
            Kind::NoLimits => f64::MAX,
            Kind::Fixed => WAIT_FIXED,
            Kind::Ours => WAIT_OURS,
        };
        let tried = if self.kind == Kind::Ours { TRIED } else { 1 };
        for _ in 0..tried {
            self.tally.dispatches += 1.0;
            let at = self.pick();
            let replica = &mut self.replicas[at];
            if replica.lost {
                continue;
            }
            if replica.running < SLOTS {
                replica.running += 1;
                let end = now + request.work;
                self.push(end, Event::End(at, request));
                return;
            }
            if (replica.waiting.len() as f64) < room * SLOTS as f64 {
                replica.waiting.push_back((now, request));
                return;
            }
        }
        self.leave(now, &request, Outcome::Full);
        self.refused(now, request);
    }

    /// The less busy of two that are not known to be lost.
    fn pick(&mut self) -> usize {
        let draw = |rng: &mut SmallRng, replicas: &[Replica]| loop {
            let at = rng.random_range(0..REPLICAS);
            // A lost replica is known after its first failed connections.
            if !replicas[at].lost || rng.random::<f64>() < 0.02 {
                return at;
            }
        };
        let (a, b) = (draw(&mut self.rng, &self.replicas), draw(&mut self.rng, &self.replicas));
        let load = |at: usize| self.replicas[at].running + self.replicas[at].waiting.len();
        if load(a) <= load(b) { a } else { b }
    }

    fn leave(&mut self, now: u64, request: &Request, how: Outcome) {
        self.running[request.vm] -= 1.0;
        if self.kind == Kind::Ours {
            let name = &self.names[request.workspace];
            self.gates[request.vm].on_end(name, how, Moment(now));
        }
    }

    fn end(&mut self, now: u64, at: usize, request: Request) {
        let lost = self.replicas[at].lost;
        if lost {
            self.failed(now, request);
            return;
        }
        let late = now > request.born + DEADLINE;
        self.tally.done += 1.0;
        if late {
            self.tally.late += 1.0;
        } else {
            self.tally.good += 1.0;
            self.tally.by_workspace.entry(request.workspace).or_default().1 += 1.0;
        }
        self.leave(now, &request, if late { Outcome::Bad } else { Outcome::Good });
        self.replicas[at].running -= 1;
        self.refill(now, at);
        if late && self.kind != Kind::Ours {
            self.again(now, request, AGAIN);
        }
    }

    fn refill(&mut self, now: u64, at: usize) {
        while let Some((_, request)) = self.replicas[at].waiting.pop_front() {
            // Ours drops what cannot be in time; it has not run.
            let hopeless = now + request.work / 2 > request.born + DEADLINE;
            if self.kind == Kind::Ours && hopeless {
                self.leave(now, &request, Outcome::Bad);
                self.refused(now, request);
                continue;
            }
            self.replicas[at].running += 1;
            let end = now + request.work;
            self.push(end, Event::End(at, request));
            return;
        }
    }

    fn failed(&mut self, now: u64, request: Request) {
        self.leave(now, &request, Outcome::Bad);
        self.again(now, request, AGAIN);
    }

    fn refused(&mut self, now: u64, request: Request) {
        let wait = if self.kind == Kind::Ours { RETRY_AFTER } else { AGAIN };
        self.again(now, request, wait);
    }

    /// The caller asks again, if its time is not up.
    fn again(&mut self, now: u64, request: Request, wait: u64) {
        let at = now + wait + self.rng.random_range(0..wait);
        if request.tries + 1 < TIMES && at < request.born + DEADLINE {
            let request = Request { tries: request.tries + 1, ..request };
            self.push(at, Event::Offer(request));
        }
    }
}

fn draw(seed: u64, load: f64) -> Vec<(u64, Request)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let rate = load * (REPLICAS * SLOTS) as f64 / SERVICE;
    let mut at = 0.0;
    let mut all = Vec::new();
    while at < SECONDS as f64 {
        at -= (1.0 - rng.random::<f64>()).ln() / rate;
        let large = rng.random::<f64>() < LARGE_SHARE;
        let workspace =
            if large { rng.random_range(0..LARGE) } else { LARGE + rng.random_range(0..SMALL) };
        let born = (at * 1e6) as u64 + 1_000_000;
        let work = (-(1.0 - rng.random::<f64>()).ln() * SERVICE * 0.5 + SERVICE * 0.5) * 1e6;
        let request =
            Request { workspace, vm: rng.random_range(0..VMS), born, tries: 0, work: work as u64 };
        all.push((born, request));
    }
    all
}

fn one(kind: Kind, seed: u64, load: f64) -> Tally {
    let name = |i| format!("w{i}").parse().expect("a name");
    let mut run = Run {
        kind,
        replicas: (0..REPLICAS).map(|_| Replica::default()).collect(),
        gates: vec![AdmissionController::new((REPLICAS * SLOTS) as f64); VMS],
        running: vec![0.0; VMS],
        names: (0..LARGE + SMALL).map(name).collect(),
        queue: BinaryHeap::new(),
        events: BTreeMap::new(),
        next: 0,
        tally: Tally::default(),
        rng: SmallRng::seed_from_u64(seed ^ 0x5eed),
    };
    for (at, request) in draw(seed, load) {
        run.push(at, Event::Offer(request));
    }
    run.go();
    run.tally
}

/// Runs all policies on the same requests, for each load.
pub fn run(options: &Options) -> Table {
    let loads = options.load.map_or_else(|| LOADS.to_vec(), |load| vec![load]);
    let mut table = Table::default();
    let slots = (REPLICAS * SLOTS) as f64 / SERVICE;
    for load in loads {
        for (kind, name) in KINDS {
            let tally = one(kind, options.seed, load);
            // Full capacity for half of the run and half of it after the loss.
            let half = SECONDS as f64 / 2.0;
            let most = slots.min(load * slots) * half + (slots / 2.0).min(load * slots) * half;
            let small = (LARGE..LARGE + SMALL).filter_map(|w| tally.by_workspace.get(&w));
            let (asked, got) = small.fold((0.0, 0.0), |sum, w| (sum.0 + w.0, sum.1 + w.1));
            // Small workspaces ask for less than an even share up to a load of about 10.
            let row = Row::named("policy", name)
                .number("offered", load, 2)
                .number("goodput_ratio", tally.good / most, 4)
                .number("attempts_per_request", tally.dispatches / tally.requests, 3)
                .number("late_ratio", tally.late / tally.done.max(1.0), 4)
                .number("small_workspace_ratio", got / asked.max(1.0), 4);
            table.rows.push(row);
        }
    }
    table.notes.push(format!(
        "{VMS} VMs, {REPLICAS} replicas of {SLOTS} slots, half of them lost after {} s of {SECONDS}; \
         {LARGE} large and {SMALL} small workspaces. goodput_ratio is against the capacity that is \
         left; attempts are dispatches to replicas, those they refused too.",
        SECONDS / 2
    ));
    table
}
