//! Discrete-event simulation of a fleet of VMs that read a shared store.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use rand::Rng;
use rand::rngs::SmallRng;

use super::node::{DATA_CENTRES, Node, Role};
use super::snapshot::snapshot_bytes;
use crate::decide::freshness::{Bounds, Schedules};
use crate::decide::reader::{
    FAST_POLL_INTERVAL, FIRST_POLL_TIMEOUT, FollowerState, GroupPosition, POLL_INTERVAL,
    POLL_TIMEOUT, Rank, STORE_LOSS_CONFIRMED_AFTER, first_vm_grace, max_probe_delay,
    may_accept_update, may_stop_reading, poll_pause, read_store_age, should_read_store,
    startup_wait,
};
use crate::unit::{Moment, Span, Vm as Name};

/// Time for which a draining server may still receive work, on the users' largest site.
const DRAIN_WINDOW: Span = Span::secs(4);

/// Bounds of the same site.
const BOUNDS: Bounds = Bounds {
    config: Span::secs(4),
    servers: DRAIN_WINDOW,
    rollouts: Span::secs(5),
    evacuations: Span::secs(5),
    key_proof: Some(Span::millis(4750)),
};

/// Times of the events of a run.
pub const STORE_LOST_AT: Span = Span::secs(20);
pub const STORE_RECOVERED_AT: Span = Span::secs(28);
pub const READER_CRASH_AT: Span = Span::secs(40);
pub const ALL_CRASH_AT: Span = Span::secs(50);
pub const ALL_RESTART_AT: Span = Span::secs(51);
pub const RUN_END: Span = Span::secs(60);

/// Interval over which the starts of all VMs are spread.
const START_SPREAD: Span = Span::millis(300);

/// Duration of a poll between data centres.
const ROUND_TRIP: Span = Span::millis(4);

/// Time after a poll for which a VM has followers.
const FOLLOWER_TIMEOUT: Span = Span::secs(2);

/// Bytes of a proof: a configuration of some 60 routes.
const PROOF_BYTES: u64 = 12_000;

/// Bytes of another call to the store without changes.
const CALL_BYTES: u64 = 400;

/// Price of the calls with which a VM becomes a reader.
const FIRST_READ_CALLS: f64 = 4.0;

/// Mean interval of a VM's probes while the store is lost, as a fraction of the longest one.
const MEAN_PROBE_DELAY_FRACTION: f64 = 0.75;

/// Price of a retry: a read that may be stale.
const RETRY_PRICE: f64 = 0.1;

/// Price of a restart (the key and the names, read stale) and of a first start, which also writes
/// the key and the VM's entry.
const RESTART_PRICE: f64 = 0.2;
const FIRST_START_PRICE: f64 = 2.2;

/// Price of a start in the earlier strategy: key, entry, names, four lists, and one or two watches
/// of the names.
const DIRECT_START_PRICE: f64 = 9.0;

/// Price of a retry in the earlier strategy: a full call.
const DIRECT_RETRY_PRICE: f64 = 1.0;

/// Bytes of a poll and its response without changes, including packet overhead and
/// acknowledgements.
const POLL_BYTES: u64 = 420;

/// How VMs without updates get the contents of the store.
#[derive(Clone, Copy, PartialEq)]
pub enum Strategy {
    /// VMs relay what a reader has read: the strategy of the router.
    Relayed,
    /// The same, but only readers with followers make proofs on a schedule.
    ProofsForFollowers,
    /// A VM without updates reads the store itself at once: the earlier strategy.
    Direct,
}

/// The VMs that do not reach the store during its outage.
#[derive(Clone, Copy, PartialEq)]
pub enum Outage {
    /// All VMs.
    Everywhere,
    /// This number of VMs of highest rank in each data centre; the store serves the others.
    FirstOfEach(usize),
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Start(usize),
    Poll(usize, u32),
    ReadStore(usize, u32),
    Crash(usize),
}

/// One run of the simulation.
pub struct Simulation {
    strategy: Strategy,
    outage: Outage,
    schedules: Schedules,
    /// All VMs, by index.
    pub nodes: Vec<Node>,
    queue: BinaryHeap<Reverse<(Moment, Event)>>,
    now: Moment,
    calls: Vec<(Moment, f64)>,
    /// Bytes of the readers' calls, with their times.
    store_bytes: Vec<(Moment, f64)>,
    /// Times at which VMs became readers, with their indices.
    pub reader_starts: Vec<(Moment, usize)>,
    index: HashMap<Name, usize>,
    snapshot_bytes: u64,
    /// Largest age of the data of a VM during the outage, if the store serves that VM.
    pub oldest_data: Span,
}

impl Simulation {
    /// Creates a run with all its starts and crashes scheduled.
    pub fn new(strategy: Strategy, outage: Outage, vms: usize, rng: &mut SmallRng) -> Simulation {
        let nodes: Vec<Node> = (0..vms).map(Node::new).collect();
        let index = nodes.iter().enumerate().map(|(at, node)| (node.rank.vm.clone(), at));
        let index = index.collect();
        let (queue, snapshot_bytes) = (BinaryHeap::new(), snapshot_bytes(vms));
        let now = Moment(0);
        let schedules = Schedules::new(BOUNDS);
        let mut simulation = Simulation {
            strategy,
            outage,
            schedules,
            nodes,
            queue,
            now,
            calls: Vec::new(),
            store_bytes: Vec::new(),
            reader_starts: Vec::new(),
            index,
            snapshot_bytes,
            oldest_data: Span(0),
        };
        for at in 0..vms {
            let delay = |rng: &mut SmallRng| Span(rng.random_range(0..START_SPREAD.0));
            simulation.schedule(Moment(0) + delay(rng), Event::Start(at));
            simulation.schedule(Moment(0) + ALL_CRASH_AT, Event::Crash(at));
            simulation.schedule(Moment(0) + ALL_RESTART_AT + delay(rng), Event::Start(at));
        }
        simulation
    }

    fn schedule(&mut self, at: Moment, event: Event) {
        self.queue.push(Reverse((at, event)));
    }

    fn is_outage(&self) -> bool {
        (Moment(0) + STORE_LOST_AT..Moment(0) + STORE_RECOVERED_AT).contains(&self.now)
    }

    /// Returns true if the store does not serve this VM during the outage.
    fn is_turned_away(&self, at: usize) -> bool {
        match self.outage {
            Outage::Everywhere => true,
            Outage::FirstOfEach(count) => at / DATA_CENTRES < count,
        }
    }

    /// Records the age of a VM's data, before the data is renewed.
    fn record_age(&mut self, at: usize) {
        if let Some(synced_at) = self.nodes[at].synced_at
            && self.is_outage()
            && !self.is_turned_away(at)
        {
            self.oldest_data = self.oldest_data.max(self.now.since(synced_at));
        }
    }

    fn record_call(&mut self, price: f64) {
        self.calls.push((self.now, price));
    }

    /// Runs the simulation to its end.
    pub fn run(&mut self) {
        let mut has_reader_crashed = false;
        while let Some(Reverse((at, event))) = self.queue.pop() {
            if at > Moment(0) + RUN_END {
                return;
            }
            self.now = at;
            if !has_reader_crashed && at >= Moment(0) + READER_CRASH_AT {
                has_reader_crashed = true;
                let reader = self.nodes.iter().position(|node| node.role == Role::Reader);
                reader.into_iter().for_each(|reader| self.crash(reader));
            }
            match event {
                Event::Start(at) => self.start(at),
                Event::Crash(at) => self.crash(at),
                Event::Poll(at, incarnation) if self.is_alive(at, incarnation) => self.poll(at),
                Event::ReadStore(at, incarnation) if self.is_alive(at, incarnation) => {
                    self.read(at)
                }
                Event::Poll(..) | Event::ReadStore(..) => {}
            }
        }
    }

    fn is_alive(&self, at: usize, incarnation: u32) -> bool {
        self.nodes[at].up && self.nodes[at].incarnation == incarnation
    }

    fn crash(&mut self, at: usize) {
        let fresh = Node::new(at);
        let node = &mut self.nodes[at];
        let (incarnation, bytes) = (node.incarnation + 1, node.bytes);
        *node = Node { incarnation, bytes, ..fresh };
    }

    fn start(&mut self, at: usize) {
        let first = self.now < Moment(0) + ALL_CRASH_AT;
        let price = match (self.strategy, first) {
            (Strategy::Direct, _) => DIRECT_START_PRICE,
            (_, true) => FIRST_START_PRICE,
            (_, false) => RESTART_PRICE,
        };
        self.record_call(price);
        let node = &mut self.nodes[at];
        (node.up, node.started_at) = (true, self.now);
        if self.strategy == Strategy::Direct {
            // In the earlier strategy a VM lists everything at its start and then finds a reader.
            (node.synced_at, node.ready_at) = (Some(self.now), Some(self.now));
        }
        self.schedule(self.now + ROUND_TRIP, Event::Poll(at, self.nodes[at].incarnation));
    }

    /// Calls the store as a reader, or retries while the store is lost.
    fn read(&mut self, at: usize) {
        let incarnation = self.nodes[at].incarnation;
        if self.nodes[at].role != Role::Reader {
            return;
        }
        self.record_age(at);
        let store_lost = self.is_outage() && self.is_turned_away(at);
        if !store_lost && self.yields_to_first(at) {
            return;
        }
        let was_untested = std::mem::take(&mut self.nodes[at].store_untested);
        let price = match (store_lost, self.strategy) {
            (false, _) if was_untested => RETRY_PRICE + FIRST_READ_CALLS,
            (false, _) => 1.0,
            (true, Strategy::Direct) => DIRECT_RETRY_PRICE,
            (true, _) => RETRY_PRICE,
        };
        self.record_call(price);
        let now = self.now;
        let rates = self.call_rates(at);
        let probe_delay =
            max_probe_delay(self.ranked_before(at)).mul_f64(MEAN_PROBE_DELAY_FRACTION);
        if !store_lost {
            self.store_bytes.push((now, rates.bytes_per_call()));
        }
        let node = &mut self.nodes[at];
        if !store_lost {
            node.synced_at = Some(now);
            node.ready_at = node.ready_at.or(Some(now));
            if std::mem::take(&mut node.store_lost) {
                node.recovered_at = node.recovered_at.or(Some(now));
            }
        }
        node.store_lost = store_lost;
        let pause = if store_lost { probe_delay } else { rates.interval() };
        self.schedule(now + pause, Event::ReadStore(at, incarnation));
    }

    /// Returns true if a VM lets those that rank before it read a store that answers again. The VM
    /// reads the store later unless it follows another one by then.
    fn yields_to_first(&mut self, at: usize) -> bool {
        let is_first = self.ranked_before(at) == 0;
        let now = self.now;
        let node = &mut self.nodes[at];
        let has_found_it_lost = node.store_lost && !node.store_untested;
        if std::mem::take(&mut node.yields_to_first) || !has_found_it_lost || is_first {
            return false;
        }
        node.yields_to_first = true;
        node.sources.clear_declined();
        let incarnation = node.incarnation;
        self.record_call(RETRY_PRICE);
        self.schedule(now + first_vm_grace(max_probe_delay(0)), Event::ReadStore(at, incarnation));
        true
    }

    /// Returns the rates of a reader's calls.
    fn call_rates(&self, at: usize) -> CallRates {
        let polled_at = self.nodes[at].polled_at;
        let has_followers =
            polled_at.is_some_and(|polled| self.now.since(polled) < FOLLOWER_TIMEOUT);
        let schedules = &self.schedules;
        let proofs = match (self.strategy, has_followers) {
            (Strategy::ProofsForFollowers, false) => schedules.follower_proof_interval(),
            _ => Some(schedules.reader_proof_interval()),
        };
        let rate = |interval: Span| 1.0 / interval.as_secs();
        let watched = [schedules.rollouts, schedules.evacuations, schedules.config, schedules.vms];
        let watches: f64 = watched.iter().map(|schedule| rate(schedule.wait)).sum();
        CallRates {
            proofs: proofs.map_or(0.0, rate),
            others: rate(schedules.servers.interval) + watches,
        }
    }

    fn group(&self, at: usize) -> impl Iterator<Item = &Rank> {
        self.data_centre(at, at % DATA_CENTRES)
    }

    /// Returns the first responsive VM of each other data centre.
    fn first_per_data_centre(&self, at: usize) -> Vec<&Rank> {
        let others = (0..DATA_CENTRES).filter(|other| *other != at % DATA_CENTRES);
        let sources = &self.nodes[at].sources;
        let first = |other| sources.first_responsive(self.data_centre(at, other), self.now);
        others.filter_map(first).collect()
    }

    /// Returns the first responsive VM of the data centre of a VM, if it is another one.
    fn first_of_group(&self, at: usize) -> Option<usize> {
        let node = &self.nodes[at];
        let first = node.sources.first_responsive(self.group(at), self.now)?;
        (*first < node.rank).then(|| self.index[&first.vm])
    }

    /// Returns the ranks of the VMs of a data centre without the VM `at`.
    fn data_centre(&self, at: usize, number: usize) -> impl Iterator<Item = &Rank> {
        let vms = (number..self.nodes.len()).step_by(DATA_CENTRES);
        vms.filter(move |other| *other != at).map(|other| &self.nodes[other].rank)
    }

    /// Returns how many VMs probe a lost store before this one: VMs of its data centre or, for the
    /// first of a data centre, the firsts of others.
    fn ranked_before(&self, at: usize) -> usize {
        let node = &self.nodes[at];
        let before = match self.place(at) {
            GroupPosition::First => node.sources.count_ranked_before(
                &node.rank,
                self.first_per_data_centre(at).into_iter(),
                self.now,
            ),
            GroupPosition::Next | GroupPosition::Behind => {
                node.sources.count_ranked_before(&node.rank, self.group(at), self.now)
            }
        };
        before.responsive()
    }

    /// Returns the age of its data at which a VM reads the store itself.
    fn read_store_age(&self, at: usize) -> Span {
        let is_lost = self.is_store_reported_lost(at);
        read_store_age(DRAIN_WINDOW, is_lost.then(|| self.ranked_before(at)))
    }

    fn is_store_reported_lost(&self, at: usize) -> bool {
        let node = &self.nodes[at];
        node.sources.is_store_reported_unavailable(&node.rank, self.group(at), self.now)
    }

    fn place(&self, at: usize) -> GroupPosition {
        let node = &self.nodes[at];
        node.sources.group_position(&node.rank, self.group(at), self.now)
    }

    fn next_source(&self, at: usize) -> Option<usize> {
        let node = &self.nodes[at];
        let next = match (self.place(at), self.strategy) {
            (GroupPosition::First, Strategy::Direct) => None,
            (GroupPosition::First, _) if node.store_lost => {
                node.sources.any_source(self.first_per_data_centre(at).into_iter(), self.now)
            }
            (GroupPosition::First, _) => node.sources.next_source(
                &node.rank,
                self.first_per_data_centre(at).into_iter(),
                self.now,
            ),
            (GroupPosition::Next | GroupPosition::Behind, _) => {
                node.sources.next_source(&node.rank, self.group(at), self.now)
            }
        };
        next.map(|name| self.index[name])
    }

    fn poll(&mut self, at: usize) {
        self.record_age(at);
        let current = match self.nodes[at].role {
            Role::Follower(other) => Some(other),
            Role::Reader if self.nodes[at].store_lost => self.first_of_group(at),
            Role::Starting | Role::Reader => None,
        };
        let next = self.next_source(at).filter(|next| Some(*next) != current);
        let polled: Vec<usize> = next.into_iter().chain(current).collect();
        let answered = polled.iter().all(|other| self.nodes[*other].up);
        let outcomes: Vec<Option<bool>> =
            polled.iter().map(|other| self.poll_source(at, *other)).collect();
        let updated = outcomes.contains(&Some(true));
        let is_settled = updated || self.on_no_update(at, outcomes.contains(&Some(false)));
        let waited = match (answered, self.nodes[at].synced_at) {
            (true, _) => ROUND_TRIP,
            (false, None) => FIRST_POLL_TIMEOUT,
            (false, Some(_)) => POLL_TIMEOUT,
        };
        let pause = if is_settled { POLL_INTERVAL } else { FAST_POLL_INTERVAL };
        let node = &self.nodes[at];
        let known = node.synced_at.filter(|_| node.role != Role::Reader);
        let latest = self.schedules.max_followed_age();
        let pause = poll_pause(pause, known, self.read_store_age(at), latest, self.now + waited);
        let incarnation = self.nodes[at].incarnation;
        self.schedule(self.now + waited + pause, Event::Poll(at, incarnation));
    }

    /// Polls a VM. Returns true if it had updates, false if it reported the store as lost, and none
    /// if there was no usable response.
    fn poll_source(&mut self, at: usize, other: usize) -> Option<bool> {
        let now = self.now;
        let name = self.nodes[other].rank.vm.clone();
        if !self.nodes[other].up {
            let new = self.nodes[at].synced_at.is_none();
            let sources = &mut self.nodes[at].sources;
            if new {
                sources.on_startup_timeout(&name, now)
            } else {
                sources.on_timeout(&name, now)
            }
            return None;
        }
        self.nodes[other].polled_at = Some(now);
        let source = &self.nodes[other];
        let (synced_at, lost, incarnation) =
            (source.synced_at, source.store_lost, source.incarnation);
        let (reader, hops) = if source.role == Role::Reader { (other, 0) } else { source.origin };
        let may_answer = source.role == Role::Reader || self.strategy != Strategy::Direct;
        let reader_rank = self.nodes[reader].rank.clone();
        let node = &mut self.nodes[at];
        let reads = node.role == Role::Reader && !node.store_lost;
        let Some(synced_at) = synced_at.filter(|_| may_answer) else {
            node.sources.on_not_ready(&name, now);
            return None;
        };
        if !may_accept_update(&reader_rank.vm, hops, &node.rank.vm)
            || (lost && node.role == Role::Reader)
            || (reads && !may_stop_reading(&node.rank, &reader_rank))
        {
            node.sources.on_declined(&name, now);
            return None;
        }
        if lost && self.strategy == Strategy::Direct {
            node.sources.on_declined(&name, now);
            return None;
        }
        let is_snapshot = node.snapshots_from.insert(other, incarnation) != Some(incarnation);
        let bytes = POLL_BYTES + if is_snapshot { self.snapshot_bytes } else { 0 };
        node.synced_at = node.synced_at.max(Some(synced_at));
        node.origin = (reader, hops + 1);
        if lost {
            node.sources.on_store_unavailable(&name, now);
            node.store_lost_since = node.store_lost_since.or(Some(now));
            node.store_lost = true;
        } else {
            node.sources.on_update(&name);
            node.role = Role::Follower(other);
            node.store_lost_since = None;
            node.ready_at = node.ready_at.or(Some(now + ROUND_TRIP));
            if std::mem::take(&mut node.store_lost) {
                node.recovered_at = node.recovered_at.or(Some(now + ROUND_TRIP));
            }
        }
        node.bytes += bytes;
        self.nodes[other].bytes += bytes;
        Some(!lost)
    }

    /// Handles a poll without updates, and becomes a reader if necessary. Returns true if the VM
    /// may wait for the usual poll interval.
    fn on_no_update(&mut self, at: usize, store_reported_lost: bool) -> bool {
        let node = &self.nodes[at];
        if node.role == Role::Reader {
            return !node.yields_to_first;
        }
        let group_position = self.place(at);
        let state = FollowerState {
            group_position,
            has_other_groups: self.strategy != Strategy::Direct,
            has_source: self.next_source(at).is_some(),
            is_store_unavailable: self.is_store_reported_lost(at),
            has_snapshot: node.synced_at.is_some(),
            is_starting: self.now.since(node.started_at) < startup_wait(group_position),
            is_overdue: node
                .synced_at
                .is_some_and(|known| self.now.since(known) >= self.read_store_age(at)),
        };
        let reads_store = match self.strategy {
            Strategy::Direct => !state.has_source,
            _ => should_read_store(&state),
        };
        if reads_store {
            self.become_reader(at, state.is_store_unavailable);
            return true;
        }
        let since = self.nodes[at].store_lost_since;
        store_reported_lost
            && since.is_some_and(|since| self.now.since(since) >= STORE_LOSS_CONFIRMED_AFTER)
    }

    fn become_reader(&mut self, at: usize, store_reported_lost: bool) {
        self.reader_starts.push((self.now, at));
        if !store_reported_lost {
            self.record_call(FIRST_READ_CALLS);
        }
        let node = &mut self.nodes[at];
        node.role = Role::Reader;
        node.store_untested = store_reported_lost;
        let incarnation = node.incarnation;
        self.schedule(self.now, Event::ReadStore(at, incarnation));
    }

    /// Returns the price of the store calls between two times of the run.
    pub fn price_between(&self, from: Span, to: Span) -> f64 {
        sum_between(&self.calls, from, to)
    }

    /// Returns the bytes of the readers' calls between two times of the run.
    pub fn store_bytes_between(&self, from: Span, to: Span) -> f64 {
        sum_between(&self.store_bytes, from, to)
    }
}

/// Calls per second of a reader.
struct CallRates {
    proofs: f64,
    others: f64,
}

impl CallRates {
    /// Returns the mean interval of the calls.
    fn interval(&self) -> Span {
        Span::secs(1).mul_f64(1.0 / (self.proofs + self.others))
    }

    /// Returns the mean bytes of a call.
    fn bytes_per_call(&self) -> f64 {
        let bytes = self.proofs * PROOF_BYTES as f64 + self.others * CALL_BYTES as f64;
        bytes / (self.proofs + self.others)
    }
}

fn sum_between(values: &[(Moment, f64)], from: Span, to: Span) -> f64 {
    let (from, to) = (Moment(0) + from, Moment(0) + to);
    let within = values.iter().filter(|(at, _)| (from..to).contains(at));
    within.map(|(_, value)| value).sum()
}
