//! Choice of a replica by many VMs with delayed load reports and prefix caches, in virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::options::Options;
use super::table::{Row, Table, quantile};
use crate::decide::replica::{Replica, select_replica};
use crate::unit::Moment;

/// Requests that a replica runs at once.
const SLOTS: usize = 16;

/// Prefill time of a prompt whose prefix is not cached, and of one whose prefix is.
const PROMPT_SECONDS: f64 = 0.3;
const CACHED_PROMPT_SECONDS: f64 = 0.05;

/// Mean time for generating the response.
const RESPONSE_SECONDS: f64 = 1.2;

/// Prefixes in the cache of a replica.
const CACHED_PREFIXES: usize = 24;

/// Fraction of requests whose prefix other requests have too.
const SHARED_PREFIX_SHARE: f64 = 0.6;

/// Requests per replica in a run.
const REQUESTS_PER_REPLICA: usize = 400;

/// Fraction of a run that is not measured.
const WARM_UP_SHARE: f64 = 0.2;

/// Rejections by full replicas after which a request waits at a replica, and the cost of each.
const MAX_REJECTIONS: usize = 3;
const ROUND_TRIP_US: u64 = 3_000;

/// Offered load by default, as a fraction of the capacity with every shared prefix cached.
const DEFAULT_LOAD: f64 = 0.75;

#[derive(Clone, Copy, PartialEq)]
enum Policy {
    Random,
    RoundRobin,
    /// Least reported load.
    LeastReported,
    /// Lower reported load of two random replicas.
    TwoChoices,
    /// The router's own choice, with retries at other replicas after a rejection.
    Kitepulley,
    /// Best replica by its current state, as a bound for the others.
    Oracle,
}

const POLICIES: [(Policy, &str); 6] = [
    (Policy::Random, "random"),
    (Policy::RoundRobin, "round robin"),
    (Policy::LeastReported, "least reported"),
    (Policy::TwoChoices, "two choices"),
    (Policy::Kitepulley, "ours"),
    (Policy::Oracle, "bound without lag"),
];

struct Request {
    /// Arrival time in seconds.
    at: f64,
    vm: usize,
    prefix: Option<u64>,
    response_seconds: f64,
    /// Random number for the choice, the same for all policies.
    random: u64,
}

struct Server {
    /// Ends of the running and waiting requests, in microseconds.
    open_until: BinaryHeap<Reverse<u64>>,
    /// Cached prefixes, least recently used first.
    cache: VecDeque<u64>,
}

impl Server {
    /// Returns the number of requests that run or wait at a time.
    fn load(&mut self, now: u64) -> f64 {
        while self.open_until.peek().is_some_and(|Reverse(end)| *end <= now) {
            self.open_until.pop();
        }
        self.open_until.len() as f64
    }

    /// Accepts a request. Returns the times of its first token and of its end, and true if its
    /// prefix was cached.
    fn accept(&mut self, now: u64, prefix: Option<u64>, response_seconds: f64) -> (u64, u64, bool) {
        let load = self.load(now) as usize;
        let mut ends: Vec<u64> = self.open_until.iter().map(|Reverse(end)| *end).collect();
        ends.sort_unstable();
        // A waiting request starts when enough of the requests before it have ended.
        let begin = if load < SLOTS { now } else { ends[load - SLOTS] };
        let hit = prefix.is_some_and(|prefix| self.cache.contains(&prefix));
        if let Some(prefix) = prefix {
            self.cache.retain(|held| *held != prefix);
            self.cache.push_back(prefix);
            if self.cache.len() > CACHED_PREFIXES {
                self.cache.pop_front();
            }
        }
        let first = begin + micros(if hit { CACHED_PROMPT_SECONDS } else { PROMPT_SECONDS });
        let end = first + micros(response_seconds);
        self.open_until.push(Reverse(end));
        (first, end, hit)
    }
}

fn micros(seconds: f64) -> u64 {
    (seconds * 1e6) as u64
}

fn generate_requests(options: &Options, vms: usize, replicas: usize, load: f64) -> Vec<Request> {
    let mut rng = SmallRng::seed_from_u64(options.seed);
    let service = RESPONSE_SECONDS
        + SHARED_PREFIX_SHARE * CACHED_PROMPT_SECONDS
        + (1.0 - SHARED_PREFIX_SHARE) * PROMPT_SECONDS;
    let rate = load * (replicas * SLOTS) as f64 / service;
    let prefixes = (replicas * CACHED_PREFIXES / 3) as f64;
    let mut at = 0.0;
    let request = |_| {
        at -= (1.0 - rng.random::<f64>()).ln() / rate;
        // A skewed distribution: few prefixes are popular.
        let popular = (rng.random::<f64>().powi(2) * prefixes) as u64;
        Request {
            at,
            vm: rng.random_range(0..vms),
            prefix: (rng.random::<f64>() < SHARED_PREFIX_SHARE).then_some(popular),
            response_seconds: -(1.0 - rng.random::<f64>()).ln() * RESPONSE_SECONDS,
            random: rng.random(),
        }
    };
    (0..replicas * REQUESTS_PER_REPLICA).map(request).collect()
}

struct Run {
    policy: Policy,
    servers: Vec<Server>,
    /// State of each replica at each VM.
    views: Vec<Vec<Replica>>,
    /// Recent sends of each VM: time and replica.
    sent: Vec<VecDeque<(u64, usize)>>,
    /// Time of the latest reports.
    reported_at: u64,
    /// Reports in flight: time of the report and load of each replica.
    reports: VecDeque<(u64, Vec<f64>)>,
    round_robin: Vec<usize>,
    lag: u64,
    rejected: usize,
}

impl Run {
    fn new(policy: Policy, vms: usize, replicas: usize, lag: u64) -> Run {
        let idle = |id: usize| Replica::idle(id as u64, SLOTS as f64);
        let server = |_| Server { open_until: BinaryHeap::new(), cache: VecDeque::new() };
        Run {
            policy,
            servers: (0..replicas).map(server).collect(),
            views: vec![(0..replicas).map(idle).collect(); vms],
            sent: vec![VecDeque::new(); vms],
            reported_at: 0,
            reports: VecDeque::new(),
            round_robin: (0..vms).map(|vm| vm * 7 % replicas).collect(),
            lag,
            rejected: 0,
        }
    }

    /// Creates load reports at intervals of `lag` and delivers them `lag` later.
    fn report(&mut self, now: u64) {
        while now >= self.reported_at + self.lag {
            self.reported_at += self.lag;
            let at = self.reported_at;
            let loads = self.servers.iter_mut().map(|server| server.load(at)).collect();
            self.reports.push_back((at, loads));
        }
        while self.reports.front().is_some_and(|(at, _)| now >= at + self.lag) {
            let (at, loads) = self.reports.pop_front().expect("there is one");
            for (vm, view) in self.views.iter_mut().enumerate() {
                // The report does not include requests that this VM sent after it was made.
                for (replica, load) in view.iter_mut().zip(&loads) {
                    replica.reported = *load;
                    replica.reported_at = Moment(at);
                    replica.own_open_at_report = replica.own_open;
                }
                for (sent_at, server) in &self.sent[vm] {
                    if *sent_at > at {
                        view[*server].own_open_at_report -= 1.0;
                    }
                }
            }
        }
    }

    /// Removes requests that have ended from the views of their VMs, and sends that are older than
    /// any report in flight.
    fn expire(&mut self, ends: &mut BinaryHeap<Reverse<(u64, usize, usize)>>, now: u64) {
        while ends.peek().is_some_and(|Reverse((end, ..))| *end <= now) {
            let Reverse((_, vm, server)) = ends.pop().expect("there is one");
            self.views[vm][server].own_open -= 1.0;
        }
        let lag = self.lag * 2;
        for sent in &mut self.sent {
            while sent.front().is_some_and(|(at, _)| at + lag < now) {
                sent.pop_front();
            }
        }
    }

    /// Returns the replica for a request and the time at which it arrives there. A full replica
    /// rejects the request at once, and its response carries its load.
    fn dispatch(&mut self, request: &Request, now: u64) -> (usize, u64) {
        let mut now = now;
        let mut server = self.choose(request, now);
        if self.policy != Policy::Kitepulley {
            return (server, now);
        }
        for _ in 0..MAX_REJECTIONS {
            let load = self.servers[server].load(now);
            let view = &mut self.views[request.vm][server];
            view.reported = load;
            view.reported_at = Moment(now);
            view.own_open_at_report = view.own_open;
            if load < SLOTS as f64 {
                break;
            }
            self.rejected += 1;
            now += ROUND_TRIP_US;
            server = self.choose(request, now);
        }
        (server, now)
    }

    fn choose(&mut self, request: &Request, now: u64) -> usize {
        let replicas = self.servers.len();
        let view = &self.views[request.vm];
        let (a, b) = (
            (request.random % replicas as u64) as usize,
            (request.random / replicas as u64 % replicas as u64) as usize,
        );
        match self.policy {
            Policy::Random => a,
            Policy::RoundRobin => {
                self.round_robin[request.vm] = (self.round_robin[request.vm] + 1) % replicas;
                self.round_robin[request.vm]
            }
            Policy::LeastReported => {
                let least = |i: &usize| (view[*i].reported * 1e3) as u64;
                (0..replicas).min_by_key(least).unwrap_or(0)
            }
            Policy::TwoChoices => {
                if view[a].reported <= view[b].reported {
                    a
                } else {
                    b
                }
            }
            Policy::Kitepulley => {
                select_replica(view, request.prefix, request.random, Moment(now)).unwrap_or(a)
            }
            Policy::Oracle => self.soonest_replica(request, now),
        }
    }

    /// Returns the replica with the earliest first token, by its current state.
    fn soonest_replica(&mut self, request: &Request, now: u64) -> usize {
        let mut best = (f64::MAX, 0);
        let replicas = self.servers.len();
        for step in 0..replicas {
            let i = (request.random as usize + step) % replicas;
            let server = &mut self.servers[i];
            let load = server.load(now);
            let hit = request.prefix.is_some_and(|prefix| server.cache.contains(&prefix));
            let waits = (load - SLOTS as f64 + 1.0).max(0.0) * RESPONSE_SECONDS / SLOTS as f64;
            let cost =
                waits + if hit { CACHED_PROMPT_SECONDS } else { PROMPT_SECONDS } + load * 1e-4;
            if cost < best.0 {
                best = (cost, i);
            }
        }
        best.1
    }
}

/// Returns the times to the first token in milliseconds, the hit rate of shared prefixes, and the
/// number of rejections per request. `lag` is the interval and the delay of load reports, in
/// microseconds.
fn run_policy(
    requests: &[Request],
    policy: Policy,
    vms: usize,
    replicas: usize,
    lag: u64,
) -> (Vec<f64>, f64, f64) {
    let mut run = Run::new(policy, vms, replicas, lag);
    let mut ends = BinaryHeap::new();
    let mut first_token_ms = Vec::new();
    let (mut hits, mut shared) = (0.0, 0.0);
    let warm_up_requests = (requests.len() as f64 * WARM_UP_SHARE) as usize;
    for (i, request) in requests.iter().enumerate() {
        // The run starts one second before the first request.
        let arrived_at = micros(request.at) + 1_000_000;
        run.expire(&mut ends, arrived_at);
        run.report(arrived_at);
        let (server, accepted_at) = run.dispatch(request, arrived_at);
        let (first, end, hit) =
            run.servers[server].accept(accepted_at, request.prefix, request.response_seconds);
        run.views[request.vm][server].own_open += 1.0;
        run.sent[request.vm].push_back((accepted_at, server));
        ends.push(Reverse((end, request.vm, server)));
        if i >= warm_up_requests {
            first_token_ms.push((first - micros(request.at) - 1_000_000) as f64 / 1e3);
            if request.prefix.is_some() {
                shared += 1.0;
                hits += f64::from(u8::from(hit));
            }
        }
    }
    (first_token_ms, hits / shared, run.rejected as f64 / requests.len() as f64)
}

/// Runs all policies on the same requests, for each number of VMs.
pub fn run(options: &Options) -> Table {
    let sizes = if options.vms.is_empty() { vec![9, 330] } else { options.vms.clone() };
    let mut table = Table::default();
    let load = options.load.unwrap_or(DEFAULT_LOAD);
    for vms in sizes {
        // The number of replicas grows with the fleet: 24 behind 9 VMs, 600 behind 330.
        let replicas = options.replicas.unwrap_or(if vms >= 100 { 600 } else { 24 });
        let requests = generate_requests(options, vms, replicas, load);
        let mut p99_bound = 0.0;
        let mut rows = Vec::new();
        for (policy, name) in POLICIES.into_iter().rev() {
            let (mut first_token_ms, hits, rejected) =
                run_policy(&requests, policy, vms, replicas, options.report_lag.0);
            let p99 = quantile(&mut first_token_ms, 0.99);
            if policy == Policy::Oracle {
                p99_bound = p99;
            }
            let row = Row::named("policy", name)
                .with("vms", vms)
                .number("first_token_p50_ms", quantile(&mut first_token_ms, 0.5), 1)
                .number("first_token_p99_ms", p99, 1)
                .number("p99_ratio", p99 / p99_bound, 3)
                .number("prefix_hit", hits, 4)
                .number("bounced", rejected, 4);
            rows.push(row);
        }
        rows.reverse();
        table.rows.extend(rows);
    }
    table.notes.push(format!(
        "Load {load} of the capacity, reports every {0} and delayed by {0}, {SLOTS} slots per \
         replica, {CACHED_PREFIXES} cached prefixes.",
        options.report_lag
    ));
    table
}
