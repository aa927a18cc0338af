//! Discrete-event simulation of VMs, overloaded or draining servers, and callers.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use rand::Rng;
use rand::rngs::SmallRng;

use super::Strategy;
use crate::decide::availability::{self, Availability, Signal, Unavailable};
use crate::decide::load::Load;
use crate::decide::placement::{Candidate, select_least_loaded};
use crate::unit::{Moment, Span};

/// Servers per VM, the ratio of the users' largest deployment, and the smallest number of servers.
const SERVERS_PER_VM: f64 = 0.56;
const MIN_SERVERS: usize = 12;

/// Requests that a server runs at once.
const SLOTS: u32 = 16;

/// Requests that may wait at a server.
const QUEUE: u32 = 4;

/// Mean time for which a request runs.
const MEAN_DURATION: Span = Span::secs(1);

/// Seconds of the run in which the burst takes place.
const BURST_SECONDS: std::ops::Range<u64> = 4..10;

/// Length of a run.
const RUN_LENGTH: Span = Span::secs(18);

/// Load outside the burst, as a fraction of the capacity.
const CALM_LOAD: f64 = 0.5;

/// Fraction of the servers that reject everything regardless of their load, and when they do.
const FAULTY_SHARE: f64 = 0.25;
const FAULTY_FROM: Moment = Moment(5_000_000);
const FAULTY_DURATION: Span = Span::secs(5);

/// Fraction of the servers that drain while the store is lost.
const DRAINING_SHARE: f64 = 0.1;

/// Time at which they announce it, and how long they serve after that.
const DRAIN_AT: Moment = Moment(6_000_000);
const DRAIN_DURATION: Span = Span::secs(3);

/// Time from the stop of a server to its next incarnation under the same id.
const RESTART_DELAY: Span = Span::secs(5);

/// Longest one-way delay between a VM and a server.
const MAX_ONE_WAY_DELAY: Span = Span::millis(3);

/// Time within which callers want their requests to begin to run.
const START_GOAL: Span = Span::millis(1500);

/// Attempts of a request.
const MAX_ATTEMPTS: u32 = 3;

/// Longest time that a request waits at a server; refused callers retry after a third of it at the
/// latest.
const MAX_CALLER_WAIT: Span = Span::secs(5);

/// Delay before a refused caller retries if the refusal names no time.
const DEFAULT_RETRY_DELAY: Span = Span::millis(300);

/// Time after a VM receives a signal from which its sends count as against it, since requests may
/// already be on their way.
const REACTION_TIME: Span = Span::millis(50);

/// Interval at which requests that wait for a free server check again.
const RECHECK_INTERVAL: Span = Span::millis(20);

/// Bytes of a message between VMs, with packet headers.
const MESSAGE_BYTES: u64 = 110;

#[derive(Clone)]
struct Request {
    vm: usize,
    arrived_at: Moment,
    attempts: u32,
    /// Servers that were tried.
    tried_servers: Vec<usize>,
    is_retry: bool,
}

enum Event {
    Arrival(Request),
    /// A request reaches a server.
    ServerReceives(Request, usize),
    /// A response reaches the VM: server, incarnation, signal, reported load, and true if the
    /// request was accepted.
    ResponseReceived(Request, usize, u64, Signal, u32, bool),
    /// A request of a VM ends at an incarnation of a server.
    Completion(usize, usize, u64),
    DrainStarts(usize),
    ServerStops(usize),
    ServerRestarts(usize),
    /// A VM learns from another VM that a server asked for a backoff until a time.
    BackoffReceived(usize, usize, Moment),
}

struct Server {
    incarnation: u64,
    is_up: bool,
    is_draining: bool,
    is_faulty: bool,
    running: u32,
    waiting: std::collections::VecDeque<(Request, Moment)>,
}

impl Server {
    /// Returns the number of requests that run or wait here.
    fn open_requests(&self) -> u32 {
        self.running + self.waiting.len() as u32
    }
}

/// State of one server at one VM.
#[derive(Clone, Default)]
struct View {
    availability: Availability,
    load: Load,
    incarnation: u64,
    /// Start and end of the server's backoff or drain, as received by this VM.
    unavailable_during: Option<(Moment, Moment)>,
    /// End of the server's backoff as reported by other VMs.
    reported_backoff_until: Moment,
}

/// Results of a run.
#[derive(Clone, Copy, Default)]
pub struct Counts {
    /// Requests of callers, without retries.
    pub requests: u64,
    /// Requests that began to run within [`START_GOAL`].
    pub in_goal: u64,
    /// Requests that began to run.
    pub served: u64,
    /// Requests sent to servers, with retries.
    pub sends: u64,
    /// Sends that servers rejected.
    pub rejected: u64,
    /// Sends to a server that backed off or drained, as the VM knew by then.
    pub sent_while_unavailable: u64,
    /// Requests that ran or waited at a server when it stopped as planned.
    pub interrupted: u64,
    /// Bytes of messages between VMs.
    pub bytes: u64,
    /// Tenths of a second in the burst in which no request began to run.
    pub idle_tenths: u64,
}

/// One run of the simulation.
pub struct Simulation {
    strategy: Strategy,
    backoff: Span,
    rng: SmallRng,
    now: Moment,
    queue: BinaryHeap<Reverse<(Moment, u64)>>,
    events: HashMap<u64, Event>,
    sequence: u64,
    views: Vec<Vec<View>>,
    partitioned: Vec<bool>,
    servers: Vec<Server>,
    /// Indexed by tenth of a second since the start of the run: true if a request began to run.
    started: Vec<bool>,
    /// Results so far.
    pub counts: Counts,
}

impl Simulation {
    /// Creates a run with its arrivals scheduled. Each VM is partitioned with probability `cut`;
    /// `burst` is the load of the burst as a multiple of the capacity.
    pub fn new(
        vms: usize,
        strategy: Strategy,
        cut: f64,
        burst: f64,
        mut rng: SmallRng,
    ) -> Simulation {
        let count = ((vms as f64 * SERVERS_PER_VM) as usize).max(MIN_SERVERS);
        let backoff = Span(rng.random_range(500_000..5_000_000));
        let partitioned = (0..vms).map(|_| rng.random_bool(cut)).collect();
        let server = |_| Server {
            incarnation: 0,
            is_up: true,
            is_draining: false,
            is_faulty: false,
            running: 0,
            waiting: Default::default(),
        };
        let mut simulation = Simulation {
            strategy,
            backoff,
            rng,
            now: Moment(0),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            sequence: 0,
            views: vec![vec![View::default(); count]; vms],
            partitioned,
            servers: (0..count).map(server).collect(),
            started: vec![false; (RUN_LENGTH.0 / 100_000) as usize + 1],
            counts: Counts::default(),
        };
        simulation.schedule_run(burst);
        simulation
    }

    fn schedule_run(&mut self, burst: f64) {
        let count = self.servers.len();
        let capacity = count as f64 * f64::from(SLOTS) / MEAN_DURATION.as_secs();
        for second in 0..(RUN_LENGTH.0 / 1_000_000) {
            let load = if BURST_SECONDS.contains(&second) { burst } else { CALM_LOAD };
            for _ in 0..(capacity * load) as u64 {
                let at = Moment(second * 1_000_000 + self.rng.random_range(0..1_000_000));
                let vm = self.rng.random_range(0..self.views.len());
                let request = Request {
                    vm,
                    arrived_at: at,
                    attempts: 0,
                    tried_servers: Vec::new(),
                    is_retry: false,
                };
                self.counts.requests += 1;
                self.schedule(at, Event::Arrival(request));
            }
        }
        let faulty_count = (count as f64 * FAULTY_SHARE) as usize;
        self.servers[..faulty_count].iter_mut().for_each(|server| server.is_faulty = true);
        let leaving = ((count as f64 * DRAINING_SHARE) as usize).max(1);
        (count - leaving..count).for_each(|at| self.schedule(DRAIN_AT, Event::DrainStarts(at)));
    }

    fn schedule(&mut self, at: Moment, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    /// Runs the simulation to its end.
    pub fn run(&mut self) {
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > Moment(0) + RUN_LENGTH {
                break;
            }
            self.now = at;
            match self.events.remove(&number).expect("each event is queued once") {
                Event::Arrival(request) => self.dispatch(request),
                Event::ServerReceives(request, server) => self.on_server_receives(request, server),
                Event::ResponseReceived(request, server, incarnation, signal, load, accepted) => {
                    self.on_response(request, server, incarnation, signal, load, accepted);
                }
                Event::Completion(vm, server, incarnation) => {
                    self.on_completion(vm, server, incarnation)
                }
                Event::DrainStarts(server) => {
                    self.servers[server].is_draining = true;
                    self.schedule(self.now + DRAIN_DURATION, Event::ServerStops(server));
                }
                Event::ServerStops(server) => self.stop(server),
                Event::ServerRestarts(server) => {
                    let server = &mut self.servers[server];
                    (server.is_up, server.is_draining) = (true, false);
                    server.incarnation += 1;
                }
                Event::BackoffReceived(vm, server, until) => {
                    self.on_backoff_report(vm, server, until)
                }
            }
        }
        let burst =
            &self.started[BURST_SECONDS.start as usize * 10..BURST_SECONDS.end as usize * 10];
        self.counts.idle_tenths = burst.iter().filter(|started| !**started).count() as u64;
    }

    /// Returns the reason why a VM may not send to a server now under the strategy, or none.
    fn unavailable_reason(&self, vm: usize, server: usize) -> Option<Unavailable> {
        let reason = self.views[vm][server]
            .availability
            .unavailable_reason(self.now)
            .filter(|reason| reason.is_hard());
        match (self.strategy, reason) {
            (Strategy::Ignored, _) | (Strategy::PerVm, Some(Unavailable::Probing(_))) => None,
            (_, reason) => reason,
        }
    }

    /// Sends a request to the least loaded available server, delays it, or refuses it.
    fn dispatch(&mut self, request: Request) {
        let vm = request.vm;
        let may = |server: &usize| {
            !request.tried_servers.contains(server)
                && self.unavailable_reason(vm, *server).is_none()
        };
        let available: Vec<usize> = (0..self.servers.len()).filter(may).collect();
        let candidate = |server: &usize| {
            let view = &self.views[vm][*server];
            let is_reported =
                self.strategy == Strategy::Shared && self.now < view.reported_backoff_until;
            let more = if is_reported { f64::from(SLOTS) } else { 0.0 };
            let zero = Span(0);
            Candidate {
                load: view.load.estimate(self.now) + more,
                slots: f64::from(SLOTS),
                local: true,
                until_prefilled: zero,
                prefill: zero,
            }
        };
        let candidates: Vec<Candidate> = available.iter().map(candidate).collect();
        let least = select_least_loaded(&candidates, self.rng.random());
        let avoids_full = self.strategy == Strategy::AvoidFull
            && self.now + RECHECK_INTERVAL <= request.arrived_at + START_GOAL;
        match least {
            Some(at) if avoids_full && candidates[at].load >= f64::from(SLOTS) => {
                return self.schedule(self.now + RECHECK_INTERVAL, Event::Arrival(request));
            }
            Some(at) => return self.send(request, available[at]),
            None => {}
        }
        let backoffs: Vec<Span> = (0..self.servers.len())
            .filter_map(|server| match self.unavailable_reason(vm, server) {
                Some(Unavailable::BackingOff(left) | Unavailable::Probing(left)) => Some(left),
                _ => None,
            })
            .collect();
        let first = backoffs.iter().min().copied();
        let waits =
            matches!(self.strategy, Strategy::Wait | Strategy::Shared | Strategy::AvoidFull);
        match first.filter(|left| waits && self.now + *left <= request.arrived_at + START_GOAL) {
            Some(left) => {
                let jitter = Span(self.rng.random_range(0..20_000));
                let mut request = request;
                request.tried_servers.clear();
                self.schedule(self.now + left + jitter, Event::Arrival(request));
            }
            None => self.refuse(request, backoffs),
        }
    }

    fn refuse(&mut self, mut request: Request, backoffs: Vec<Span>) {
        if std::mem::replace(&mut request.is_retry, true) {
            return;
        }
        let after = availability::retry_after(backoffs.into_iter(), self.rng.random());
        let after = after.unwrap_or(DEFAULT_RETRY_DELAY).min(Span(MAX_CALLER_WAIT.0 / 3));
        (request.attempts, request.tried_servers) = (0, Vec::new());
        request.vm = self.rng.random_range(0..self.views.len());
        self.schedule(self.now + after, Event::Arrival(request));
    }

    fn send(&mut self, mut request: Request, server: usize) {
        request.attempts += 1;
        request.tried_servers.push(server);
        self.counts.sends += 1;
        let now = self.now;
        let view = &mut self.views[request.vm][server];
        view.load.on_open();
        view.availability.on_send(now);
        let was_unavailable =
            |(since, until): (Moment, Moment)| now >= since + REACTION_TIME && now < until;
        self.counts.sent_while_unavailable +=
            u64::from(view.unavailable_during.is_some_and(was_unavailable));
        let delay = Span(self.rng.random_range(500..MAX_ONE_WAY_DELAY.0));
        self.schedule(now + delay, Event::ServerReceives(request, server));
    }

    fn on_server_receives(&mut self, request: Request, at: usize) {
        let now = self.now;
        let server = &mut self.servers[at];
        let rejects_all =
            server.is_faulty && now >= FAULTY_FROM && now < FAULTY_FROM + FAULTY_DURATION;
        let open_requests = server.open_requests();
        let is_full = open_requests >= SLOTS + QUEUE;
        let (incarnation, is_draining, is_up) =
            (server.incarnation, server.is_draining, server.is_up);
        if !is_up || rejects_all || is_full {
            let backoff = is_up.then_some(self.backoff);
            return self.respond(
                request,
                at,
                incarnation,
                Signal { draining: is_draining, backoff },
                open_requests,
                false,
            );
        }
        if server.running < SLOTS {
            server.running += 1;
            return self.start(request, at);
        }
        server.waiting.push_back((request, now));
    }

    /// Starts a request and sends the response headers.
    fn start(&mut self, request: Request, at: usize) {
        let server = &self.servers[at];
        let (incarnation, is_draining, open_requests) =
            (server.incarnation, server.is_draining, server.open_requests());
        let duration =
            Span((-(1.0 - self.rng.random::<f64>()).ln() * MEAN_DURATION.0 as f64) as u64);
        self.schedule(self.now + duration, Event::Completion(request.vm, at, incarnation));
        self.started[(self.now.0 / 100_000) as usize] = true;
        self.respond(
            request,
            at,
            incarnation,
            Signal { draining: is_draining, backoff: None },
            open_requests,
            true,
        );
    }

    fn respond(
        &mut self,
        request: Request,
        at: usize,
        incarnation: u64,
        signal: Signal,
        open_requests: u32,
        accepted: bool,
    ) {
        let delay = Span(self.rng.random_range(500..MAX_ONE_WAY_DELAY.0));
        self.schedule(
            self.now + delay,
            Event::ResponseReceived(request, at, incarnation, signal, open_requests, accepted),
        );
    }

    fn on_response(
        &mut self,
        request: Request,
        at: usize,
        incarnation: u64,
        signal: Signal,
        open_requests: u32,
        accepted: bool,
    ) {
        let (vm, now) = (request.vm, self.now);
        let backoff = self.backoff;
        let view = &mut self.views[vm][at];
        // The store's entry of a new incarnation reaches all VMs before it accepts requests.
        if view.incarnation != incarnation {
            *view = View { incarnation, load: view.load, ..View::default() };
        }
        view.availability.observe(signal, now);
        view.load.observe(open_requests, now);
        if signal.draining {
            view.unavailable_during.get_or_insert((now, Moment(u64::MAX)));
        } else if signal.backoff.is_some()
            && view.unavailable_during.is_none_or(|(_, until)| until <= now)
        {
            view.unavailable_during = Some((now, now + backoff));
        }
        if accepted {
            let waited = now.since(request.arrived_at);
            self.counts.served += 1;
            self.counts.in_goal += u64::from(waited <= START_GOAL);
            return;
        }
        view.load.on_close();
        self.counts.rejected += 1;
        if signal.backoff.is_some() && self.strategy == Strategy::Shared {
            self.on_backoff_report(vm, at, now + backoff);
        }
        if request.attempts < MAX_ATTEMPTS {
            self.dispatch(request)
        } else {
            self.refuse(request, Vec::new())
        }
    }

    /// Records a backoff that a VM received from a server or another VM, and forwards it to the
    /// VM's ring neighbours if it is new.
    fn on_backoff_report(&mut self, vm: usize, server: usize, until: Moment) {
        let is_known = self.views[vm][server].reported_backoff_until + REACTION_TIME >= until;
        self.views[vm][server].reported_backoff_until = until;
        if is_known || self.partitioned[vm] {
            return;
        }
        let vms = self.views.len();
        let mut distance = 1;
        while distance < vms {
            self.counts.bytes += MESSAGE_BYTES;
            let other = (vm + distance) % vms;
            if !self.partitioned[other] {
                let delay = Span(self.rng.random_range(1_000..4_000));
                self.schedule(self.now + delay, Event::BackoffReceived(other, server, until));
            }
            distance *= 2;
        }
    }

    fn on_completion(&mut self, vm: usize, at: usize, incarnation: u64) {
        self.views[vm][at].load.on_close();
        let server = &mut self.servers[at];
        if server.incarnation != incarnation || !server.is_up {
            return;
        }
        server.running -= 1;
        // Callers that waited too long have given up.
        while let Some((request, since)) = server.waiting.pop_front() {
            if self.now.since(since) > MAX_CALLER_WAIT {
                continue;
            }
            server.running += 1;
            return self.start(request, at);
        }
    }

    fn stop(&mut self, at: usize) {
        let server = &mut self.servers[at];
        server.is_up = false;
        self.counts.interrupted += u64::from(server.open_requests());
        server.running = 0;
        server.waiting.clear();
        self.schedule(self.now + RESTART_DELAY, Event::ServerRestarts(at));
    }
}
