//! Simulates one strategy for one fleet in virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::{Case, Strategy};
use crate::decide::server_limit::places::{EXTRA_PAUSE, Share};
use crate::experiment::table::Row;
use crate::unit::{Moment, Span, hash};

/// Slots of a server, places in its queue, and time that a request runs.
const SLOTS: usize = 4;
const QUEUE: usize = 1;
const WORK: Span = Span::millis(80);

/// Rejections in a second beyond which a server fails, and time for which it is gone then.
const REJECTION_LIMIT: usize = 2;
const RESTART_TIME: Span = Span::secs(3);

/// Time that a request travels to a server, or its response back.
const TRAVEL: Span = Span::millis(2);

/// Age at which a request that waits at its VM is refused.
const MAX_AGE: Span = Span::millis(400);

/// Length of a step of the simulation, and of a run.
const STEP: Span = Span::millis(1);
const RUN_LENGTH: Span = Span::secs(8);

/// Time for which a VM leaves out a server that rejected its request, if each acts by itself.
const PAUSE: Span = Span::millis(300);

/// Time for which a VM keeps the request of another one for a place, and until that asks again.
const ASK_TTL: Span = Span::millis(100);

/// Number of VMs that are asked for places at a time.
const ASKED_VMS: usize = 2;

/// Time for which a place is lent, if it is not lent for one request.
const LOAN_TIME: Span = Span::millis(500);

/// One server, with the load that VMs know of.
#[derive(Default)]
struct Server {
    running: usize,
    waiting: usize,
    /// Requests that VMs sent and that have not ended for them.
    in_use: usize,
    rejections: VecDeque<Moment>,
    gone_until: Moment,
    incarnation: u64,
    reported: usize,
    failures: u64,
}

/// One VM, with its requests at each server.
struct Node {
    is_dead: bool,
    is_cut_off: bool,
    queue: VecDeque<Moment>,
    open: Vec<usize>,
    shares: Vec<Share>,
    rejected_at: Vec<Option<Moment>>,
    /// Places at each server that are lent to other VMs.
    lent: Vec<usize>,
    /// Lenders of places at each server, with the time until which the place is used.
    borrowed: Vec<Vec<(usize, Moment)>>,
    sent: u64,
    served: u64,
    /// VMs that asked for a place, with the time until which they need it.
    askers: VecDeque<(usize, Moment)>,
    /// When the VM may ask for places again.
    asks_at: Moment,
}

/// What happens at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A request of a VM reaches a server.
    Arrives(usize, usize),
    /// A request of a VM ends at an incarnation of a server.
    Ends(usize, usize, u64),
    /// The VM receives the response of a request that was served.
    Served(usize, usize),
    /// The VM learns that its request was rejected or lost.
    Rejected(usize, usize),
    /// The first VM's request for a place reaches the second.
    Asked(usize, usize),
    /// A place of the second VM at a server is lent to the first.
    Lent(usize, usize, usize),
    /// The first VM returns a place of the second at a server.
    Returned(usize, usize, usize),
}

pub struct Simulation {
    strategy: Strategy,
    case: Case,
    nodes: Vec<Node>,
    servers: Vec<Server>,
    events: BinaryHeap<Reverse<(Moment, Event)>>,
    /// Requests that wait in the queue of each server, by VM.
    queues: Vec<VecDeque<usize>>,
    /// VMs that have places, each once for each server where it does.
    owners: Vec<usize>,
    /// Messages between VMs.
    messages: u64,
    rng: SmallRng,
    sent: u64,
    served: u64,
    rejected: u64,
}

impl Simulation {
    /// Returns a simulation with all servers up and idle.
    pub fn new(
        vms: usize,
        servers: usize,
        strategy: Strategy,
        case: Case,
        seed: u64,
    ) -> Simulation {
        let names: Vec<u64> = (0..vms).map(|vm| hash::stable(&[&format!("vm{vm}")])).collect();
        let dead = (vms as f64 * case.dead).ceil() as usize;
        let cut_off = (vms as f64 * case.cut_off).ceil() as usize;
        let node = |vm: usize| {
            let others: Vec<u64> =
                names.iter().copied().filter(|other| *other != names[vm]).collect();
            let share = |server: usize| {
                let server = hash::stable(&[&format!("r{server}")]);
                Share::of_vm(SLOTS, server, names[vm], &others)
            };
            Node {
                is_dead: vm < dead,
                is_cut_off: vm < cut_off,
                queue: VecDeque::new(),
                open: vec![0; servers],
                shares: (0..servers).map(share).collect(),
                rejected_at: vec![None; servers],
                lent: vec![0; servers],
                borrowed: vec![Vec::new(); servers],
                sent: 0,
                served: 0,
                askers: VecDeque::new(),
                asks_at: Moment(0),
            }
        };
        let nodes: Vec<Node> = (0..vms).map(node).collect();
        let has_places = |vm: usize| nodes[vm].shares.iter().filter(|share| share.places > 0);
        let owners = (0..vms).flat_map(|vm| has_places(vm).map(move |_| vm)).collect();
        Simulation {
            strategy,
            case,
            nodes,
            owners,
            messages: 0,
            servers: (0..servers).map(|_| Server::default()).collect(),
            events: BinaryHeap::new(),
            queues: vec![VecDeque::new(); servers],
            rng: SmallRng::seed_from_u64(seed),
            sent: 0,
            served: 0,
            rejected: 0,
        }
    }

    fn capacity(&self) -> f64 {
        (self.servers.len() * SLOTS) as f64 / WORK.as_secs()
    }

    /// Runs the simulation to its end.
    pub fn run(&mut self) {
        let alive: Vec<usize> =
            (0..self.nodes.len()).filter(|vm| !self.nodes[*vm].is_dead).collect();
        let per_step = self.case.load * self.capacity() * STEP.as_secs();
        let (mut now, mut due, mut reported_at) = (Moment(0), 0.0, Moment(0));
        while now < Moment(RUN_LENGTH.0) {
            self.handle_events(now);
            if now >= reported_at {
                reported_at = now + self.case.stale;
                for server in &mut self.servers {
                    server.reported = server.running + server.waiting;
                }
            }
            due += per_step;
            while due >= self.case.burst as f64 {
                due -= self.case.burst as f64;
                for _ in 0..self.case.burst {
                    let vm = alive[self.rng.random_range(0..alive.len())];
                    self.nodes[vm].queue.push_back(now);
                    self.nodes[vm].sent += 1;
                    self.sent += 1;
                }
            }
            for vm in &alive {
                self.send_waiting(*vm, now);
                if self.strategy.lends() {
                    self.exchange_places(*vm, now);
                }
            }
            now = now + STEP;
        }
    }

    fn send_waiting(&mut self, vm: usize, now: Moment) {
        while let Some(arrived) = self.nodes[vm].queue.front().copied() {
            if now.since(arrived) > MAX_AGE {
                self.nodes[vm].queue.pop_front();
                continue;
            }
            let Some(server) = self.choose(vm, now) else { return };
            self.nodes[vm].queue.pop_front();
            self.nodes[vm].open[server] += 1;
            self.servers[server].in_use += 1;
            // A grant takes a round trip between VMs.
            let grant = if self.strategy == Strategy::Granted { TRAVEL.0 * 2 } else { 0 };
            let arrives = now + Span(TRAVEL.0 + grant);
            self.events.push(Reverse((arrives, Event::Arrives(vm, server))));
        }
    }

    /// Lends free places of a VM, returns those that it doesn't need, and asks for some if it needs
    /// more.
    fn exchange_places(&mut self, vm: usize, now: Moment) {
        let has_waiting = !self.nodes[vm].queue.is_empty();
        for server in 0..self.servers.len() {
            self.return_unused(vm, server, has_waiting, now);
        }
        if has_waiting && now >= self.nodes[vm].asks_at {
            self.nodes[vm].asks_at = now + ASK_TTL;
            for _ in 0..ASKED_VMS.min(self.nodes[vm].queue.len()) {
                let owner = self.owners[self.rng.random_range(0..self.owners.len())];
                self.send_message(vm, owner, now, Event::Asked(vm, owner));
            }
        }
        while let Some((asker, until)) = self.nodes[vm].askers.pop_front() {
            if has_waiting || now > until {
                continue;
            }
            let has_free = |server: &usize| {
                let node = &self.nodes[vm];
                let taken = node.open[*server] + node.lent[*server];
                taken < node.shares[*server].places && self.servers[*server].gone_until <= now
            };
            let Some(server) = (0..self.servers.len()).find(has_free) else {
                self.nodes[vm].askers.push_front((asker, until));
                return;
            };
            self.nodes[vm].lent[server] += 1;
            self.send_message(vm, asker, now, Event::Lent(asker, vm, server));
        }
    }

    /// Returns a borrowed place that no request uses and that is not needed any more.
    fn return_unused(&mut self, vm: usize, server: usize, has_waiting: bool, now: Moment) {
        let node = &mut self.nodes[vm];
        let own = node.shares[server].places.saturating_sub(node.lent[server]);
        let is_unused = node.open[server] < own + node.borrowed[server].len();
        let is_needed = |until: Moment| has_waiting && now < until;
        let unneeded = node.borrowed[server].iter().position(|(_, until)| !is_needed(*until));
        if let (true, Some(at)) = (is_unused, unneeded) {
            let (lender, _) = node.borrowed[server].swap_remove(at);
            self.send_message(vm, lender, now, Event::Returned(vm, lender, server));
        }
    }

    fn send_message(&mut self, from: usize, to: usize, now: Moment, event: Event) {
        self.messages += 1;
        if !self.nodes[from].is_cut_off && !self.nodes[to].is_cut_off && !self.nodes[to].is_dead {
            self.events.push(Reverse((now + TRAVEL, event)));
        }
    }

    /// Returns the least loaded of the servers that the VM may send to, by the last report.
    fn choose(&mut self, vm: usize, now: Moment) -> Option<usize> {
        let start = self.rng.random_range(0..self.servers.len());
        let order = (0..self.servers.len()).map(|at| (start + at) % self.servers.len());
        let allowed = order.filter(|server| self.allows(vm, *server, now));
        allowed.min_by_key(|server| self.servers[*server].reported + self.nodes[vm].open[*server])
    }

    fn allows(&self, vm: usize, server: usize, now: Moment) -> bool {
        let node = &self.nodes[vm];
        // Failed servers refuse connections, which VMs notice at once.
        if self.servers[server].gone_until > now {
            return false;
        }
        let was_rejected =
            |within: Span| node.rejected_at[server].is_some_and(|at| now.since(at) < within);
        let share = node.shares[server];
        match self.strategy {
            Strategy::Unheeded => true,
            Strategy::EachAlone => !was_rejected(PAUSE),
            Strategy::EvenParts => node.open[server] < (SLOTS / self.nodes.len()).max(1),
            Strategy::Places => node.open[server] < share.places,
            Strategy::PlacesAndExtra => {
                let extra = usize::from(share.has_extra && !was_rejected(EXTRA_PAUSE));
                node.open[server] < share.places + extra
            }
            Strategy::LentOnce | Strategy::LentForTime => {
                let extra = usize::from(share.has_extra && !was_rejected(EXTRA_PAUSE));
                let taken = node.open[server] + node.lent[server];
                taken < share.places + extra + node.borrowed[server].len()
            }
            Strategy::Granted => self.servers[server].in_use < SLOTS,
        }
    }

    fn handle_events(&mut self, now: Moment) {
        while let Some(Reverse((at, event))) = self.events.peek().copied() {
            if at > now {
                return;
            }
            self.events.pop();
            match event {
                Event::Arrives(vm, server) => self.on_arrival(vm, server, now),
                Event::Ends(vm, server, incarnation) => self.on_end(vm, server, incarnation, now),
                Event::Served(vm, server) => {
                    self.release(vm, server);
                    self.nodes[vm].served += 1;
                    if self.strategy == Strategy::LentOnce {
                        self.return_unused(vm, server, false, now);
                    }
                    self.served += 1;
                }
                Event::Rejected(vm, server) => {
                    self.release(vm, server);
                    self.nodes[vm].rejected_at[server] = Some(now);
                }
                Event::Asked(vm, owner) => {
                    self.nodes[owner].askers.push_back((vm, now + ASK_TTL));
                }
                Event::Lent(vm, lender, server) => {
                    let time = match self.strategy {
                        Strategy::LentForTime => LOAN_TIME,
                        _ => Span(1),
                    };
                    self.nodes[vm].borrowed[server].push((lender, now + time));
                    self.send_waiting(vm, now);
                }
                Event::Returned(_, lender, server) => self.nodes[lender].lent[server] -= 1,
            }
        }
    }

    fn release(&mut self, vm: usize, server: usize) {
        self.nodes[vm].open[server] -= 1;
        self.servers[server].in_use -= 1;
    }

    fn on_arrival(&mut self, vm: usize, server: usize, now: Moment) {
        let state = &mut self.servers[server];
        let answer = Event::Rejected(vm, server);
        if state.gone_until > now {
            self.events.push(Reverse((now + TRAVEL, answer)));
        } else if state.running < SLOTS {
            state.running += 1;
            let end = Event::Ends(vm, server, state.incarnation);
            self.events.push(Reverse((now + WORK, end)));
        } else if state.waiting < QUEUE {
            state.waiting += 1;
            self.queues[server].push_back(vm);
        } else {
            self.rejected += 1;
            state.rejections.retain(|at| now.since(*at) < Span::secs(1));
            state.rejections.push_back(now);
            self.events.push(Reverse((now + TRAVEL, answer)));
            if state.rejections.len() > REJECTION_LIMIT {
                self.fail(server, now);
            }
        }
    }

    /// Ends an incarnation of a server; its requests are lost.
    fn fail(&mut self, server: usize, now: Moment) {
        let state = &mut self.servers[server];
        state.failures += 1;
        state.incarnation += 1;
        state.gone_until = now + RESTART_TIME;
        (state.running, state.waiting) = (0, 0);
        state.rejections.clear();
        for vm in std::mem::take(&mut self.queues[server]) {
            self.events.push(Reverse((now + TRAVEL, Event::Rejected(vm, server))));
        }
    }

    fn on_end(&mut self, vm: usize, server: usize, incarnation: u64, now: Moment) {
        let state = &mut self.servers[server];
        if state.incarnation != incarnation {
            self.events.push(Reverse((now, Event::Rejected(vm, server))));
            return;
        }
        self.events.push(Reverse((now + TRAVEL, Event::Served(vm, server))));
        match self.queues[server].pop_front() {
            Some(next) => {
                state.waiting -= 1;
                self.events.push(Reverse((now + WORK, Event::Ends(next, server, incarnation))));
            }
            None => state.running -= 1,
        }
    }

    /// Returns the part of the requests that is served at VMs without places, relative to the part
    /// at all VMs.
    fn served_without_places(&self) -> f64 {
        let has_places = |node: &Node| node.shares.iter().any(|share| share.places > 0);
        let without: Vec<&Node> = self.nodes.iter().filter(|node| !has_places(node)).collect();
        let sent: u64 = without.iter().map(|node| node.sent).sum();
        let served: u64 = without.iter().map(|node| node.served).sum();
        let all = self.served as f64 / self.sent.max(1) as f64;
        served as f64 / sent.max(1) as f64 / all.max(f64::MIN_POSITIVE)
    }

    /// Returns the row of the table with the results.
    pub fn row(&self) -> Row {
        let (seconds, vms) = (RUN_LENGTH.as_secs(), self.nodes.len() as f64);
        let able = self.capacity() * seconds;
        let failures: u64 = self.servers.iter().map(|server| server.failures).sum();
        Row::named("way", self.strategy.name())
            .with("vms", self.nodes.len())
            .with("servers", self.servers.len())
            .number("load", self.case.load, 1)
            .with("burst", self.case.burst)
            .number("stale ms", self.case.stale.as_millis(), 0)
            .number("dead", self.case.dead, 1)
            .number("cut off", self.case.cut_off, 1)
            .with("failures", failures)
            .with("allowed", 2 + self.servers.len() / 10)
            .number("served", self.served as f64 / able.min(self.sent as f64), 3)
            .number("without places", self.served_without_places(), 3)
            .number("rejected", self.rejected as f64 / self.sent.max(1) as f64, 4)
            .number("messages/s a VM", self.messages as f64 / seconds / vms, 1)
    }
}
