//! Discrete-event simulation of VMs, servers with rate limits, and callers.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

use rand::Rng;
use rand::rngs::SmallRng;

use super::{CallerSpread, Strategy};
use crate::decide::server_limit::{
    KnownLimit, LIMIT_WINDOW, LimitHeader, Pacer, RateLimit, Recipients, Share, Update, is_sender,
    max_senders,
};
use crate::peer::neighbours;
use crate::unit::{Moment, Rate, Span, Vm as Name, hash};

/// VMs per server, and the smallest number of servers.
const VMS_PER_SERVER: usize = 2;
const MIN_SERVERS: usize = 8;

/// Range of the limits that servers announce, in requests per second, and how often they change.
const LIMIT_RANGE: std::ops::Range<f64> = 0.5..4.0;
const LIMIT_CHANGE_INTERVAL: Span = Span::secs(3);

/// Length of a run.
pub const RUN_LENGTH: Span = Span::secs(20);

/// Time from which the used rate is measured; by then VMs know the limits.
const MEASURED_FROM: Span = Span::secs(2);

/// Rate of the callers' requests as a multiple of the mean limit of all servers.
const DEMAND: f64 = 1.3;

/// Longest time for which a request may wait for a send slot.
const MAX_WAIT: Span = Span::millis(1500);

/// Shortest delay before a refused caller retries, which it does once.
const CALLER_RETRY_DELAY: Span = Span::millis(1000);

/// Longest one-way delay between two processes.
const MAX_ONE_WAY_DELAY: Span = Span::millis(2);

/// Share for a server whose limit is not known yet.
const UNLIMITED: Share = Share { senders: 1, interval: Span(0) };

/// Bytes of a message between VMs.
const MESSAGE_BYTES: u64 = 120;

/// Largest fleet in which each VM sends to all others.
const MAX_FULL_MESH: usize = 12;

/// Time after a VM learns a limit from which its requests count against the limit.
const REACTION_TIME: Span = Span::millis(50);

/// Results of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Requests of callers, without retries.
    pub requests: u64,
    /// Requests that were sent to a server in time.
    pub in_time: u64,
    /// Requests that reached a server from [`MEASURED_FROM`] on.
    pub reached: u64,
    /// Requests that the servers' limits allow in the same time.
    pub allowed: f64,
    /// Most requests above a limit in a window of four seconds, from VMs that knew the limit.
    pub excess: f64,
    /// Most requests in such a window as a fraction of what users allow.
    pub rule_ratio: f64,
    /// Bytes sent between VMs.
    pub bytes: u64,
}

struct Request {
    vm: usize,
    arrived_at: Moment,
    is_retry: bool,
}

enum Event {
    Arrival(Request),
    /// The send slot of a request at a server begins.
    Send(Request, usize),
    /// A request that was sent at a time reaches a server.
    ServerReceives(Request, usize, Moment),
    /// The response headers of a server, with its limit and the request's send time, reach a VM.
    ResponseReceived(usize, usize, Rate, Moment),
    /// A VM receives a server's limit from another VM.
    LimitReceived(usize, usize, Update),
    /// A server changes its limit.
    LimitChange(usize),
}

/// State of one server at one VM.
#[derive(Clone, Copy, Default)]
struct View {
    limit: KnownLimit,
    pacer: Pacer,
    first_known_at: Option<Moment>,
}

struct Server {
    rate: Rate,
    /// Earlier limits of the last window, with the time at which each ended.
    previous_limits: VecDeque<(Moment, Rate)>,
    /// Arrivals in the last window from VMs that knew the limit.
    arrivals: VecDeque<Moment>,
    /// Send slots of the dispatcher, or of the VM that grants leases.
    pacer: Pacer,
    /// Hash of the server's id, for the rendezvous order.
    hash: u64,
}

/// One run of the simulation.
pub struct Simulation {
    strategy: Strategy,
    rng: SmallRng,
    now: Moment,
    sequence: u64,
    queue: BinaryHeap<Reverse<(Moment, u64)>>,
    events: HashMap<u64, Event>,
    /// Hashes of the names of the VMs.
    names: Vec<u64>,
    partitioned: Vec<bool>,
    neighbours: Vec<Vec<usize>>,
    views: Vec<Vec<View>>,
    servers: Vec<Server>,
    /// Results so far.
    pub counts: Counts,
}

impl Simulation {
    /// Creates a run with its arrivals and limit changes scheduled. The first `cut` (0 to 1) of the
    /// VMs are partitioned.
    pub fn new(
        vms: usize,
        strategy: Strategy,
        spread: CallerSpread,
        cut: f64,
        mut rng: SmallRng,
    ) -> Simulation {
        let count = (vms / VMS_PER_SERVER).max(MIN_SERVERS);
        let name = |vm: usize| format!("vm{vm:04}").parse::<Name>().expect("a name");
        let all: Vec<Name> = (0..vms).map(name).collect();
        let at: HashMap<&Name, usize> = all.iter().enumerate().map(|(at, vm)| (vm, at)).collect();
        let recipients = |vm: usize| -> Vec<usize> {
            match vms <= MAX_FULL_MESH {
                true => (0..vms).filter(|other| *other != vm).collect(),
                false => neighbours(&all[vm], &all).iter().map(|name| at[name]).collect(),
            }
        };
        let server = |number: usize, rng: &mut SmallRng| Server {
            rate: Rate(rng.random_range(LIMIT_RANGE)),
            previous_limits: VecDeque::new(),
            arrivals: VecDeque::new(),
            pacer: Pacer::default(),
            hash: hash::stable(&[&format!("i-{number}")]),
        };
        let servers = (0..count).map(|number| server(number, &mut rng)).collect();
        let mut simulation = Simulation {
            strategy,
            now: Moment(0),
            sequence: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            names: all.iter().map(|name| hash::stable(&[name.as_str()])).collect(),
            partitioned: (0..vms).map(|vm| (vm as f64) < cut * vms as f64).collect(),
            neighbours: (0..vms).map(recipients).collect(),
            views: vec![vec![View::default(); count]; vms],
            servers,
            counts: Counts::default(),
            rng,
        };
        simulation.schedule_run(spread);
        simulation
    }

    fn schedule_run(&mut self, spread: CallerSpread) {
        let mean = (LIMIT_RANGE.start + LIMIT_RANGE.end) / 2.0;
        let all = (self.servers.len() as f64 * mean * DEMAND * RUN_LENGTH.as_secs()) as u64;
        let callers = spread.vms(self.names.len());
        for _ in 0..all {
            let at = Moment(self.rng.random_range(0..RUN_LENGTH.0));
            let vm = self.rng.random_range(0..callers);
            self.counts.requests += 1;
            self.schedule(at, Event::Arrival(Request { vm, arrived_at: at, is_retry: false }));
        }
        for server in 0..self.servers.len() {
            let at = Moment(self.rng.random_range(0..LIMIT_CHANGE_INTERVAL.0));
            self.schedule(at, Event::LimitChange(server));
        }
    }

    fn schedule(&mut self, at: Moment, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    /// Runs the simulation to its end.
    pub fn run(&mut self) {
        let mut before = Moment(0);
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > Moment(0) + RUN_LENGTH {
                break;
            }
            if before >= Moment(0) + MEASURED_FROM {
                let rates: f64 = self.servers.iter().map(|server| server.rate.0).sum();
                self.counts.allowed += rates * at.since(before).as_secs();
            }
            (before, self.now) = (at, at);
            match self.events.remove(&number).expect("each event is queued once") {
                Event::Arrival(request) => self.dispatch(request),
                Event::Send(request, server) => self.send(request, server),
                Event::ServerReceives(request, server, sent_at) => {
                    self.on_server_receives(request, server, sent_at)
                }
                Event::ResponseReceived(vm, server, rate, sent_at) => {
                    self.on_response(vm, server, rate, sent_at)
                }
                Event::LimitReceived(vm, server, update) => self.on_limit(vm, server, update),
                Event::LimitChange(server) => self.change_limit(server),
            }
        }
    }

    fn change_limit(&mut self, at: usize) {
        let server = &mut self.servers[at];
        server.previous_limits.push_back((self.now, server.rate));
        server.rate = Rate(self.rng.random_range(LIMIT_RANGE));
        self.schedule(self.now + LIMIT_CHANGE_INTERVAL, Event::LimitChange(at));
    }

    /// Returns the share of a VM in the limit of a server, or none if it may not send there.
    /// Returns `Err` if the VM knows no limit of the server or ignores limits.
    fn share(&self, vm: usize, server: usize) -> Result<Option<Share>, ()> {
        let rate = self.views[vm][server].limit.rate(self.now).ok_or(())?;
        let vms = self.names.len();
        let equal_share =
            |rate: f64| Some(Share { senders: vms, interval: Span((1e6 / rate) as u64) });
        let share = match self.strategy {
            Strategy::Unlimited => return Err(()),
            Strategy::PerVm => equal_share(rate.0),
            Strategy::EvenShares => equal_share(rate.0 / vms as f64),
            Strategy::OneSender => {
                self.as_sender(vm, server, Share::new(&RateLimit::advertised(rate), 1))
            }
            Strategy::FewSenders | Strategy::Leases | Strategy::Dispatcher => {
                self.as_sender(vm, server, Share::new(&RateLimit::advertised(rate), vms))
            }
        };
        Ok(share)
    }

    fn as_sender(&self, vm: usize, server: usize, share: Share) -> Option<Share> {
        let others: Vec<u64> =
            (0..self.names.len()).filter(|at| *at != vm).map(|at| self.names[at]).collect();
        let server_hash = self.servers[server].hash;
        is_sender(&share, server_hash, self.names[vm], &others).then_some(share)
    }

    /// Returns the next send slot of a VM at a server, or none if it may not send there.
    fn next_send(&self, vm: usize, server: usize) -> Option<Moment> {
        let (now, at) = (self.now, &self.servers[server]);
        match self.strategy {
            Strategy::Dispatcher => return Some(at.pacer.next_send(&full_share(at.rate), now)),
            Strategy::Leases => {
                return self.leased_share(vm, server).map(|share| at.pacer.next_send(&share, now));
            }
            _ => {}
        }
        match self.share(vm, server) {
            Err(()) => Some(self.now),
            Ok(share) => Some(self.views[vm][server].pacer.next_send(&share?, self.now)),
        }
    }

    /// Returns the share with which a VM reserves send slots at a server's coordinator, or none if
    /// the VM cannot reach it. The coordinator is the VM of the highest weight for the server; all
    /// VMs reserve from its one schedule, so the share is the server's whole rate.
    fn leased_share(&self, vm: usize, server: usize) -> Option<Share> {
        let server_hash = self.servers[server].hash;
        let weight = |at: &usize| hash::mix(server_hash, self.names[*at]);
        let coordinator = (0..self.names.len()).max_by_key(weight)?;
        let is_reachable =
            vm == coordinator || !(self.partitioned[vm] || self.partitioned[coordinator]);
        // A coordinator that has not learned the rate yet uses the one that the VM knows.
        let rate = self.views[coordinator][server].limit.rate(self.now);
        let rate = rate.or(self.views[vm][server].limit.rate(self.now));
        is_reachable
            .then(|| rate.map_or(UNLIMITED, |rate| Share::new(&RateLimit::advertised(rate), 1)))
    }

    fn reserve(&mut self, vm: usize, server: usize) {
        let now = self.now;
        if self.strategy == Strategy::Dispatcher {
            let server = &mut self.servers[server];
            server.pacer.reserve(&full_share(server.rate), now);
        } else if self.strategy == Strategy::Leases {
            let share = self.leased_share(vm, server).expect("the VM has a send slot");
            self.servers[server].pacer.reserve(&share, now);
            self.counts.bytes += 2 * MESSAGE_BYTES;
        } else if let Ok(Some(share)) = self.share(vm, server) {
            self.views[vm][server].pacer.reserve(&share, self.now);
        }
    }

    /// Reserves the earliest send slot of all servers, random among equals, or refuses the request.
    fn dispatch(&mut self, request: Request) {
        let offset = self.rng.random_range(0..self.servers.len());
        let order = (0..self.servers.len()).map(|at| (at + offset) % self.servers.len());
        let slots = order.filter_map(|server| Some((self.next_send(request.vm, server)?, server)));
        let first = slots.min_by_key(|(at, _)| *at);
        match first.filter(|(at, _)| *at <= request.arrived_at + MAX_WAIT) {
            Some((at, server)) => {
                self.reserve(request.vm, server);
                self.schedule(at, Event::Send(request, server));
            }
            None => self.refuse(request),
        }
    }

    fn refuse(&mut self, mut request: Request) {
        if std::mem::replace(&mut request.is_retry, true) {
            return;
        }
        let first_vm = request.vm;
        // The load balancer directs a retry to another VM of the caller's data centre.
        request.vm = (first_vm + self.rng.random_range(0..=first_vm)) % self.names.len();
        let jitter = Span(self.rng.random_range(0..CALLER_RETRY_DELAY.0));
        self.schedule(self.now + CALLER_RETRY_DELAY + jitter, Event::Arrival(request));
    }

    fn send(&mut self, request: Request, server: usize) {
        let delay = Span(self.rng.random_range(500..MAX_ONE_WAY_DELAY.0));
        self.schedule(self.now + delay, Event::ServerReceives(request, server, self.now));
    }

    fn on_server_receives(&mut self, request: Request, at: usize, sent_at: Moment) {
        let now = self.now;
        let known_at = self.views[request.vm][at].first_known_at;
        if known_at.is_some_and(|known_at| sent_at >= known_at + REACTION_TIME) {
            self.measure_excess(at);
        }
        self.counts.in_time += u64::from(sent_at <= request.arrived_at + MAX_WAIT);
        self.counts.reached += u64::from(now >= Moment(0) + MEASURED_FROM);
        let delay = Span(self.rng.random_range(500..MAX_ONE_WAY_DELAY.0));
        let rate = self.servers[at].rate;
        self.schedule(now + delay, Event::ResponseReceived(request.vm, at, rate, sent_at));
    }

    /// Records an arrival from a VM that knew the limit, and updates the maximum excess.
    fn measure_excess(&mut self, at: usize) {
        let now = self.now;
        let server = &mut self.servers[at];
        server.arrivals.push_back(now);
        while server.arrivals.front().is_some_and(|first| now.since(*first) >= LIMIT_WINDOW) {
            server.arrivals.pop_front();
        }
        while server
            .previous_limits
            .front()
            .is_some_and(|(ended, _)| now.since(*ended) >= LIMIT_WINDOW)
        {
            server.previous_limits.pop_front();
        }
        let received = server.arrivals.len() as f64;
        // In a window in which the limit changed, the highest announced limit applies.
        let highest =
            server.previous_limits.iter().map(|(_, rate)| rate.0).fold(server.rate.0, f64::max);
        let allowed = highest * LIMIT_WINDOW.as_secs();
        self.counts.excess = self.counts.excess.max(received - allowed);
        self.counts.rule_ratio = self.counts.rule_ratio.max(received / (1.5 * allowed + 5.0));
    }

    fn on_response(&mut self, vm: usize, server: usize, rate: Rate, sent_at: Moment) {
        let now = self.now;
        let view = &mut self.views[vm][server];
        view.first_known_at = view.first_known_at.or(Some(now));
        view.limit.observe(LimitHeader::Present(rate), sent_at, now);
        match view.limit.next_announcement(now) {
            Some((update, Recipients::All)) => self.broadcast(vm, server, update),
            Some((update, Recipients::Senders(rates))) => {
                self.send_to_senders(vm, server, rates, update)
            }
            None => {}
        }
    }

    fn on_limit(&mut self, vm: usize, server: usize, update: Update) {
        let view = &mut self.views[vm][server];
        if view.limit.merge(update, self.now) {
            self.broadcast(vm, server, update);
        }
    }

    fn broadcast(&mut self, vm: usize, server: usize, update: Update) {
        let recipients = self.neighbours[vm].clone();
        self.send_update(vm, server, &recipients, update);
    }

    fn send_to_senders(&mut self, vm: usize, server: usize, rates: [Rate; 2], update: Update) {
        let mut all: Vec<usize> = (0..self.names.len()).collect();
        let weight = |at: &usize| Reverse(hash::mix(self.servers[server].hash, self.names[*at]));
        all.sort_unstable_by_key(weight);
        all.truncate(max_senders(rates, self.names.len()));
        self.send_update(vm, server, &all, update);
    }

    fn send_update(&mut self, vm: usize, server: usize, others: &[usize], update: Update) {
        if !self.strategy.exchanges_limits() || self.partitioned[vm] {
            return;
        }
        for to in others.iter().copied().filter(|to| *to != vm) {
            self.counts.bytes += MESSAGE_BYTES;
            if !self.partitioned[to] {
                let delay = Span(self.rng.random_range(500..MAX_ONE_WAY_DELAY.0));
                self.schedule(self.now + delay, Event::LimitReceived(to, server, update));
            }
        }
    }
}

/// Returns the share of a sole sender: the whole limit.
fn full_share(rate: Rate) -> Share {
    Share { senders: 1, interval: Span((1e6 / rate.0) as u64) }
}
