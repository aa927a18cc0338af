//! Discrete-event simulation of VMs, servers and callers with requests that crash servers.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;

use super::fleet::{Fleet, Identity, Strategy};
use super::traffic::{Culprit, Traffic};
use crate::decide::poison::refusal::{MAX_REFUSAL_WAIT, required_deliveries};
use crate::decide::poison::{
    BrokenRequest, Effects, Exchange, Fingerprint, Message, Recipients, STABLE_AFTER,
    ServerIncarnation, Topology, Transition,
};
use crate::peer::wire::encode;
use crate::unit::{Digest, Moment, Span};

/// Number of culprits (contents or parts that crash servers), one after the other.
pub const CULPRITS: usize = 3;

/// Time from the first request of one culprit to that of the next.
const CULPRIT_INTERVAL: Span = Span::secs(15);

/// Requests with a culprit in its first second.
const BURST_REQUESTS: usize = 50;

/// Requests per second with a culprit after that, and their duration.
const REPEATS_PER_SECOND: usize = 3;
const REPEAT_SECONDS: u64 = 10;

/// Time at which a quarter of the servers crash without being caused by a request, and the
/// interval over which these crashes are spread.
const MASS_CRASH_AT: Span = Span::secs(50);
const MASS_CRASH_SPREAD: Span = Span::secs(2);

/// Length of a run.
const END: Span = Span::secs(60);

/// Time within which VMs that are not partitioned know what the others know.
const PROPAGATION_LIMIT: Span = Span::secs(3);

/// Servers per VM, the ratio of the users' largest deployment, and the smallest number of servers.
const SERVERS_PER_VM: f64 = 0.56;
const MIN_SERVERS: usize = 12;

/// Innocent requests per VM and second.
const INNOCENT_PER_SECOND: f64 = 2.0;

/// Attempts of a request.
const MAX_ATTEMPTS: u32 = 3;

/// Servers that may refuse the connection of an attempt; one more, and the request is dropped.
const MAX_REFUSED_CONNECTIONS: u32 = 4;

/// Time from the crash of a server to its restart.
const RESTART_DELAY: Span = Span::secs(3);

/// Bytes of a packet's headers.
const PACKET_OVERHEAD: usize = 60;

/// Time for which a VM that did not acknowledge a crash report is not waited for.
const UNRESPONSIVE_TIME: Span = Span::secs(5);

/// A request that a VM handles.
#[derive(Clone)]
struct Request {
    fingerprint: Fingerprint,
    /// Index of the culprit, or none for an innocent request.
    poison: Option<usize>,
    vm: usize,
    /// Time for which it runs at a server.
    duration: Span,
    attempts: u32,
    /// Number of times that the caller has sent it again.
    caller_retries: u32,
    /// Time of its arrival, or of its latest retry by the VM.
    arrived_at: Moment,
}

enum Event {
    Arrival(Request),
    /// The run with this number ends at its server.
    Completion(u64),
    /// The run with this number has produced events for [`STABLE_AFTER`].
    Stability(u64),
    /// A server crashes if it still has this incarnation; `u64::MAX` for any.
    Crash(usize, u64),
    Restart(usize),
    /// A message reaches a VM.
    Delivery(usize, Message),
    /// A queued suspect is allowed to run.
    Permitted(Request),
}

struct Server {
    incarnation: u64,
    is_up: bool,
    open: HashSet<u64>,
}

/// A request that runs at a server.
struct Run {
    request: Request,
    server: usize,
    started_at: Moment,
}

/// One run of the experiment.
pub struct Simulation<'a> {
    fleet: &'a Fleet,
    strategy: Strategy,
    identity: Identity,
    traffic: Traffic,
    rng: SmallRng,
    now: Moment,
    queue: BinaryHeap<Reverse<(Moment, u64)>>,
    events: HashMap<u64, Event>,
    sequence: u64,
    vms: Vec<Exchange>,
    partitioned: Vec<bool>,
    servers: Vec<Server>,
    runs: HashMap<u64, Run>,
    /// Suspected contents of which a request is allowed to run now.
    running: HashMap<Digest, u64>,
    /// Suspected requests that wait for permission.
    queued: HashMap<Digest, Vec<Request>>,
    /// Time at which each content was first suspected.
    suspected_since: HashMap<Digest, Moment>,
    /// Time of the last accepted crash by each culprit.
    last_accepted_crash: [Option<Moment>; CULPRITS],
    /// Servers crashed by each culprit.
    pub crashes: [u32; CULPRITS],
    /// Attempts with each culprit later than [`PROPAGATION_LIMIT`] after its last accepted crash.
    pub late_retries: [u32; CULPRITS],
    /// Innocent requests.
    pub innocent: u64,
    /// Innocent requests that were refused.
    pub refused: u64,
    /// Times that suspected innocent requests waited for permission.
    pub waits: Vec<Span>,
    /// Times that refusals waited for other VMs to receive the report of a crash.
    pub refusal_waits: Vec<Span>,
    /// Times from the last accepted crash by a culprit until a VM that is not partitioned quarantined
    /// it.
    pub quarantine_delays: Vec<Span>,
    /// When a VM last failed to acknowledge a crash report of another, by sender and recipient.
    unacknowledged: HashMap<(usize, usize), Moment>,
    bytes: u64,
    messages: u64,
}

impl<'a> Simulation<'a> {
    /// Creates a run with its arrivals scheduled; each VM is partitioned with probability `cut`.
    pub fn new(
        fleet: &'a Fleet,
        strategy: Strategy,
        identity: Identity,
        culprit: Culprit,
        cut: f64,
        mut rng: SmallRng,
    ) -> Simulation<'a> {
        let vms = fleet.vms();
        let servers = ((vms as f64 * SERVERS_PER_VM) as usize).max(MIN_SERVERS);
        let partitioned = (0..vms).map(|_| rng.random_bool(cut)).collect();
        let server = |_| Server { incarnation: 0, is_up: true, open: HashSet::new() };
        let mut simulation = Simulation {
            fleet,
            strategy,
            identity,
            traffic: Traffic::new(culprit, vms),
            rng,
            now: Moment(0),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            sequence: 0,
            vms: vec![Exchange::default(); vms],
            partitioned,
            servers: (0..servers).map(server).collect(),
            runs: HashMap::new(),
            running: HashMap::new(),
            queued: HashMap::new(),
            suspected_since: HashMap::new(),
            last_accepted_crash: [None; CULPRITS],
            crashes: [0; CULPRITS],
            late_retries: [0; CULPRITS],
            innocent: 0,
            refused: 0,
            waits: Vec::new(),
            refusal_waits: Vec::new(),
            quarantine_delays: Vec::new(),
            unacknowledged: HashMap::new(),
            bytes: 0,
            messages: 0,
        };
        simulation.schedule_run();
        simulation
    }

    /// Returns the bytes sent per VM and second.
    pub fn bytes_per_vm_second(&self) -> f64 {
        self.bytes as f64 / self.fleet.vms() as f64 / END.as_secs()
    }

    /// Returns the messages sent per VM and second.
    pub fn messages_per_vm_second(&self) -> f64 {
        self.messages as f64 / self.fleet.vms() as f64 / END.as_secs()
    }

    fn schedule(&mut self, at: Moment, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    fn schedule_run(&mut self) {
        for poison in 0..CULPRITS {
            let start = Moment(0) + Span::secs(3) + Span(CULPRIT_INTERVAL.0 * poison as u64);
            for _ in 0..BURST_REQUESTS {
                let at = start + Span(self.rng.random_range(0..1_000_000));
                self.schedule_arrival(at, Some(poison));
            }
            for second in 1..=REPEAT_SECONDS {
                for _ in 0..REPEATS_PER_SECOND {
                    let at = start + Span::secs(second) + Span(self.rng.random_range(0..1_000_000));
                    self.schedule_arrival(at, Some(poison));
                }
            }
        }
        let innocent = (self.fleet.vms() as f64 * INNOCENT_PER_SECOND * END.as_secs()) as u64;
        for _ in 0..innocent {
            let at = Moment(self.rng.random_range(0..END.0));
            self.schedule_arrival(at, None);
        }
        for at in 0..self.servers.len() / 4 {
            let when =
                Moment(0) + MASS_CRASH_AT + Span(self.rng.random_range(0..MASS_CRASH_SPREAD.0));
            // Requests choose servers at random, so any quarter of the servers will do.
            self.schedule(when, Event::Crash(at, u64::MAX));
        }
    }

    fn schedule_arrival(&mut self, at: Moment, poison: Option<usize>) {
        let fingerprint = self.traffic.draw(poison, &mut self.rng);
        let vm = self.rng.random_range(0..self.fleet.vms());
        let duration = Span(self.rng.random_range(200_000..6_000_000));
        let request = Request {
            fingerprint,
            poison,
            vm,
            duration,
            attempts: 0,
            caller_retries: 0,
            arrived_at: at,
        };
        self.schedule(at, Event::Arrival(request));
    }

    /// Runs the simulation to its end.
    pub fn run(&mut self) {
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > Moment(0) + END {
                break;
            }
            self.now = at;
            match self.events.remove(&number).expect("each event is queued once") {
                Event::Arrival(request) => {
                    self.innocent += u64::from(request.poison.is_none());
                    self.admit(request);
                }
                Event::Permitted(request) => {
                    if request.poison.is_none() {
                        self.waits.push(self.now.since(request.arrived_at));
                    }
                    self.start(request, true);
                }
                Event::Completion(run) => self.on_completion(run),
                Event::Stability(run) => self.on_stability(run),
                Event::Crash(server, incarnation) => self.on_crash(server, incarnation),
                Event::Restart(server) => self.servers[server].is_up = true,
                Event::Delivery(vm, message) => {
                    let topology = self.fleet.topology();
                    let effects = self.vms[vm].on_message(&message, topology, self.now);
                    self.record_quarantines(vm, &effects);
                    self.send_messages(vm, effects);
                }
            }
        }
    }

    fn is_quarantined(&self, request: &Request) -> bool {
        let vm = &self.vms[request.vm];
        let recorded = self.identity.recorded(&request.fingerprint);
        self.strategy != Strategy::Unprotected
            && recorded.iter().any(|one| vm.refusal_cause(one, self.now).is_some())
    }

    /// Sends a request to a server, refuses it if its content is quarantined, or queues it if it is
    /// suspected and must wait.
    fn admit(&mut self, request: Request) {
        if self.is_quarantined(&request) {
            self.refused += u64::from(request.poison.is_none());
            return;
        }
        if self.must_wait(&request) {
            self.queued.entry(request.fingerprint.content()).or_default().push(request);
            return;
        }
        self.start(request, false);
    }

    /// Returns true if a suspected request must wait because another with the same content runs.
    /// A partitioned VM cannot ask for permission and does not wait.
    fn must_wait(&mut self, request: &Request) -> bool {
        if self.strategy != Strategy::OneAtATime || self.partitioned[request.vm] {
            return false;
        }
        let content = request.fingerprint.content();
        let coordinator = self.fleet.aggregators(content)[0];
        let suspicion_delay = Span::millis(10);
        let is_suspect = self
            .suspected_since
            .get(&content)
            .is_some_and(|at| self.now.since(*at) >= suspicion_delay);
        if self.partitioned[coordinator] || !is_suspect {
            return false;
        }
        if self.running.contains_key(&content) {
            return true;
        }
        self.running.insert(content, 0);
        false
    }

    fn start(&mut self, mut request: Request, is_permitted: bool) {
        if is_permitted && self.is_quarantined(&request) {
            self.refused += u64::from(request.poison.is_none());
            self.start_next(request.fingerprint.content());
            return;
        }
        request.attempts += 1;
        let mut server = None;
        for _ in 0..=MAX_REFUSED_CONNECTIONS {
            let drawn = (0..self.servers.len()).choose(&mut self.rng).expect("there are servers");
            if self.servers[drawn].is_up {
                server = Some(drawn);
                break;
            }
        }
        let Some(server) = server else {
            self.start_next(request.fingerprint.content());
            return;
        };
        self.sequence += 1;
        let run = self.sequence;
        if let Some(poison) = request.poison {
            let is_late = self.last_accepted_crash[poison]
                .is_some_and(|last| self.now.since(last) > PROPAGATION_LIMIT);
            self.late_retries[poison] += u32::from(is_late && !self.partitioned[request.vm]);
            let after = Span(self.rng.random_range(20_000..180_000));
            let incarnation = self.servers[server].incarnation;
            self.schedule(self.now + after, Event::Crash(server, incarnation));
        } else {
            self.schedule(self.now + request.duration, Event::Completion(run));
            if request.duration > STABLE_AFTER {
                self.schedule(self.now + STABLE_AFTER, Event::Stability(run));
            }
        }
        self.servers[server].open.insert(run);
        self.runs.insert(run, Run { request, server, started_at: self.now });
    }

    fn on_completion(&mut self, run: u64) {
        let Some(Run { request, server, .. }) = self.runs.remove(&run) else { return };
        self.servers[server].open.remove(&run);
        let content = request.fingerprint.content();
        self.record_success(&request, |one| one.digests());
        self.suspected_since.remove(&content);
        self.start_next(request.fingerprint.content());
    }

    fn on_stability(&mut self, run: u64) {
        let Some(Run { request, .. }) = self.runs.get(&run) else { return };
        let request = request.clone();
        self.record_success(&request, |one| one.shared_parts());
    }

    /// Records at the VM of a request that some of its digests ran well.
    fn record_success(&mut self, request: &Request, of: impl Fn(&Fingerprint) -> &[Digest]) {
        let digests = match self.identity {
            Identity::Content => vec![request.fingerprint.content()],
            Identity::EachDigest | Identity::Fingerprint => of(&request.fingerprint).to_vec(),
        };
        let effects = self.vms[request.vm].on_success(&digests, self.now);
        self.send_messages(request.vm, effects);
    }

    /// Allows the next queued request of a suspected content to run, if any.
    fn start_next(&mut self, content: Digest) {
        self.running.remove(&content);
        let Some(next) = self.queued.get_mut(&content).and_then(Vec::pop) else { return };
        self.running.insert(content, 0);
        let delay = Span(self.rng.random_range(2_000..8_000));
        self.schedule(self.now + delay, Event::Permitted(next));
    }

    /// Crashes a server, either by a content that reached this incarnation of it or, with
    /// `u64::MAX`, without a cause.
    fn on_crash(&mut self, server: usize, incarnation: u64) {
        let is_unprovoked = incarnation == u64::MAX;
        if !self.servers[server].is_up
            || (!is_unprovoked && self.servers[server].incarnation != incarnation)
        {
            return;
        }
        let open = std::mem::take(&mut self.servers[server].open);
        let incarnation_id = ServerIncarnation::new(
            &format!("server{server}"),
            Some(self.servers[server].incarnation),
        );
        self.servers[server].is_up = false;
        self.servers[server].incarnation += 1;
        self.schedule(self.now + RESTART_DELAY, Event::Restart(server));
        let mut open: Vec<u64> = open.into_iter().collect();
        open.sort_unstable();
        let interrupted: Vec<Run> = open.iter().filter_map(|run| self.runs.remove(run)).collect();
        if !is_unprovoked {
            let poisons: HashSet<usize> =
                interrupted.iter().filter_map(|run| run.request.poison).collect();
            poisons.into_iter().for_each(|poison| self.count_crash(poison));
        }
        for Run { request, started_at, .. } in interrupted {
            let ran = request.poison.is_none() && self.now.since(started_at) >= STABLE_AFTER;
            let recorded = self.identity.recorded(&request.fingerprint).into_iter();
            let open_requests: Vec<BrokenRequest> = recorded
                .map(|fingerprint| BrokenRequest { fingerprint, was_stable: ran })
                .collect();
            let effects = self.vms[request.vm].on_server_crash(
                incarnation_id,
                &open_requests,
                self.fleet.topology(),
                self.now,
            );
            let delivery_time = self.deliver(request.vm, effects);
            self.suspected_since.entry(request.fingerprint.content()).or_insert(self.now);
            self.start_next(request.fingerprint.content());
            if request.attempts >= MAX_ATTEMPTS {
                self.refusal_waits.push(delivery_time);
            }
            self.retry(request);
        }
    }

    fn count_crash(&mut self, poison: usize) {
        self.crashes[poison] += 1;
        if self.crashes[poison] == self.traffic.accepted_crashes() {
            self.last_accepted_crash[poison] = Some(self.now);
        }
    }

    /// Retries a request at another server, or lets its caller send it again once.
    fn retry(&mut self, mut request: Request) {
        if request.attempts < MAX_ATTEMPTS {
            let at = self.now + Span::millis(3);
            self.schedule_attempt(at, request);
        } else if request.poison.is_none() && request.caller_retries == 0 {
            request.vm = self.rng.random_range(0..self.fleet.vms());
            (request.attempts, request.caller_retries) = (0, 1);
            self.schedule(self.now + Span::millis(300), Event::Arrival(request));
        }
    }

    fn schedule_attempt(&mut self, at: Moment, mut request: Request) {
        request.arrived_at = at;
        // Another attempt of the VM is not another request of the caller.
        self.innocent -= u64::from(request.poison.is_none());
        self.schedule(at, Event::Arrival(request));
    }

    /// Records how long after its last accepted crash a culprit was quarantined at a VM.
    fn record_quarantines(&mut self, vm: usize, effects: &Effects) {
        if self.partitioned[vm] {
            return;
        }
        for transition in &effects.transitions {
            let Transition::Quarantined(content, _) = transition else { continue };
            let is_same = |poison: &usize| self.traffic.culprit(*poison) == *content;
            let last = (0..CULPRITS).find(is_same).and_then(|at| self.last_accepted_crash[at]);
            self.quarantine_delays.extend(last.map(|last| self.now.since(last)));
        }
    }

    fn send_messages(&mut self, vm: usize, effects: Effects) {
        self.send_with_overhead(vm, effects, PACKET_OVERHEAD);
    }

    /// Sends messages whose delivery a refusal waits for. Returns how long it waits.
    fn deliver(&mut self, vm: usize, effects: Effects) -> Span {
        // The end of such a message goes into a second packet.
        let deliveries = self.send_with_overhead(vm, effects, 2 * PACKET_OVERHEAD);
        let wait = |mut times: Vec<Span>| {
            times.sort_unstable();
            let required = required_deliveries(self.fleet.topology(), times.len());
            required.checked_sub(1).map(|last| times[last])
        };
        deliveries.into_iter().filter_map(wait).max().unwrap_or_default()
    }

    /// Sends messages. Returns for each the times after which the VMs that are waited for have
    /// acknowledged it.
    fn send_with_overhead(
        &mut self,
        vm: usize,
        effects: Effects,
        overhead: usize,
    ) -> Vec<Vec<Span>> {
        if matches!(self.strategy, Strategy::Unprotected | Strategy::PerVm) {
            return Vec::new();
        }
        let mut deliveries = Vec::new();
        for outgoing in effects.messages {
            let to = match outgoing.to {
                Recipients::All => self.fleet.neighbours(vm),
                Recipients::Aggregators(_) if self.fleet.topology() == Topology::Direct => {
                    self.fleet.neighbours(vm)
                }
                Recipients::Aggregators(content) => self.fleet.aggregators(content),
            };
            let bytes = (encode(&outgoing.message).len() + overhead) as u64;
            let others = to.into_iter().filter(|other| *other != vm);
            let times = others.filter_map(|other| self.send(vm, other, &outgoing.message, bytes));
            deliveries.push(times.collect());
        }
        deliveries
    }

    /// Sends a message to one VM. Returns the time until it is acknowledged, or the limit of the
    /// wait; none if the VM is not waited for.
    fn send(&mut self, from: usize, to: usize, message: &Message, bytes: u64) -> Option<Span> {
        if self.partitioned[from] {
            // It hears from no other VM.
            return None;
        }
        self.bytes += bytes;
        self.messages += 1;
        if self.partitioned[to] {
            return self.await_unreachable(from, to);
        }
        let delay = Span(self.rng.random_range(1_000..4_000));
        self.schedule(self.now + delay, Event::Delivery(to, message.clone()));
        Some(Span(2 * delay.0))
    }

    /// Returns how long a refusal waits for a VM that does not acknowledge messages, or none if it
    /// failed to acknowledge one recently.
    fn await_unreachable(&mut self, from: usize, to: usize) -> Option<Span> {
        let last = self.unacknowledged.get(&(from, to));
        if last.is_some_and(|last| self.now.since(*last) < UNRESPONSIVE_TIME) {
            return None;
        }
        self.unacknowledged.insert((from, to), self.now + MAX_REFUSAL_WAIT);
        Some(MAX_REFUSAL_WAIT)
    }
}
