//! Membership and propagation of the configuration: the router's own gossip code, with messages
//! queued in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::options::Options;
use super::table::{Row, Table, quantile};
use crate::config::{Piece, Record, Root, Snapshot, digest};
use crate::peer::wire::{Envelope, Frame, encode};
use crate::peer::{Gossip, Member, State, rendezvous_order};
use crate::unit::{Date, Incarnation, Moment, Revision, Vm};

/// Interval between two ticks of a VM, as in the router.
const TICK_US: u64 = 50_000;

/// Data centres, and how many of them are in the first of two regions.
const DATA_CENTRES: usize = 5;
const FIRST_REGION_DATA_CENTRES: usize = 3;

/// One-way latencies.
const LATENCY_WITHIN_DATA_CENTRE_US: u64 = 300;
const LATENCY_BETWEEN_DATA_CENTRES_US: u64 = 1_500;
const LATENCY_BETWEEN_REGIONS_US: u64 = 40_000;

/// Latency of a call to the store.
const STORE_CALL_US: u64 = 5_000;

/// VMs of each data centre that watch the store, as in the router.
const WATCHERS_PER_DATA_CENTRE: usize = 2;

/// Bytes of a packet in addition to its message: IP and UDP headers, QUIC header and tag, and the
/// acknowledgement.
const PACKET_OVERHEAD_BYTES: u64 = 28 + 28 + 60;

/// Message bytes that fit into a packet.
const PACKET_PAYLOAD_BYTES: u64 = 1_200;

/// Phases of a run: warm-up, an idle phase that is measured, configuration changes, and the crash
/// of a VM.
const WARM_UP_US: u64 = 90_000_000;
const IDLE_US: u64 = 30_000_000;
const CHANGES: usize = 20;
const CHANGE_INTERVAL_US: u64 = 2_000_000;
const FAILURE_WINDOW_US: u64 = 30_000_000;

/// Workspaces of the configuration.
const WORKSPACES: usize = 20;

enum Event {
    Tick(usize),
    /// A frame from a VM reaches another.
    Delivery(usize, Vm, Box<Frame>),
    /// A watcher has read a revision from the store.
    StoreRead(usize, u64),
}

struct Simulation {
    nodes: Vec<Option<Gossip>>,
    index: BTreeMap<Vm, usize>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    sequence: u64,
    now: u64,
    bytes: u64,
    messages: u64,
    store_calls: u64,
    /// Times at which VMs adopted each revision, the first at index 0.
    adopted_at: Vec<Vec<u64>>,
    /// Running VMs that were suspected, with the time of the first suspicion.
    suspected_at: BTreeMap<Vm, u64>,
}

fn member(i: usize) -> Member {
    Member {
        vm: format!("vm{i}").parse().expect("a name"),
        address: format!("10.0.{}.{}:9000", i / 250, i % 250 + 1).parse().expect("an address"),
        data_centre: format!("dc{}", i % DATA_CENTRES).parse().expect("a name"),
        incarnation: Incarnation(1_796_213_600_000_000 + i as u64),
        refutations: 0,
        state: State::Alive,
    }
}

/// Returns a configuration of realistic size in which each revision changes one workspace.
fn config(revision: u64) -> Snapshot {
    let mut root = Root { revision: Revision(revision), ..Root::default() };
    let mut pieces = BTreeMap::new();
    for i in 0..WORKSPACES {
        let last = (0..=revision).rev().find(|r| *r as usize % WORKSPACES == i).unwrap_or(0);
        let body = format!(
            "{{\"name\":\"w{i}\",\"key_digest\":\"{}\",\"versions\":[],\"limit\":{last}}}",
            digest(&[i as u8])
        );
        let piece =
            Piece { name: format!("workspace/w{i}"), digest: digest(body.as_bytes()), body };
        root.pieces.insert(piece.name.clone(), piece.digest.clone());
        pieces.insert(piece.digest.clone(), Arc::new(piece));
    }
    for i in 0..revision {
        root.push_record(Record {
            revision: Revision(i),
            who: "mari".to_owned(),
            plan: digest(&i.to_be_bytes())[..16].to_owned(),
            date: Date(i),
            what: vec!["change workspace/w1: may use roastmind@v4, up to 50.0/s".to_owned()],
        });
    }
    Snapshot::resolve(root, pieces).expect("a sound configuration")
}

fn latency(a: usize, b: usize) -> u64 {
    let (a, b) = (a % DATA_CENTRES, b % DATA_CENTRES);
    match (a == b, (a < FIRST_REGION_DATA_CENTRES) == (b < FIRST_REGION_DATA_CENTRES)) {
        (true, _) => LATENCY_WITHIN_DATA_CENTRE_US,
        (false, true) => LATENCY_BETWEEN_DATA_CENTRES_US,
        (false, false) => LATENCY_BETWEEN_REGIONS_US,
    }
}

impl Simulation {
    fn new(vms: usize, seed: u64) -> Simulation {
        let mut rng = SmallRng::seed_from_u64(seed);
        let rows: Vec<Member> = (0..vms).map(member).collect();
        let mut simulation = Simulation {
            nodes: Vec::new(),
            index: rows.iter().enumerate().map(|(i, row)| (row.vm.clone(), i)).collect(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            sequence: 0,
            now: 1_000_000,
            bytes: 0,
            messages: 0,
            store_calls: 0,
            adopted_at: Vec::new(),
            suspected_at: BTreeMap::new(),
        };
        for i in 0..vms {
            let mut node = Gossip::new(rows[i].clone(), Moment(simulation.now));
            node.add_members(rows.iter().cloned(), Moment(simulation.now));
            simulation.nodes.push(Some(node));
            simulation.schedule(simulation.now + rng.random_range(0..TICK_US), Event::Tick(i));
        }
        simulation
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.events.insert(self.sequence, event);
        self.queue.push(Reverse((at, self.sequence)));
    }

    fn send(&mut self, from: usize, out: Vec<(Member, Frame)>) {
        let vm = member(from).vm;
        for (to, frame) in out {
            let Some(to) = self.index.get(&to.vm).copied() else { continue };
            let size = encode(&Envelope { from: vm.clone(), body: frame.clone() }).len() as u64;
            self.bytes += size + size.div_ceil(PACKET_PAYLOAD_BYTES) * PACKET_OVERHEAD_BYTES;
            self.messages += 1;
            let at = self.now + latency(from, to);
            self.schedule(at, Event::Delivery(to, vm.clone(), Box::new(frame)));
        }
    }

    fn run_until(&mut self, end: u64) {
        while let Some(Reverse((at, number))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            let event = self.events.remove(&number).expect("each event is queued once");
            self.handle(event);
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        let now = Moment(self.now);
        match event {
            Event::Tick(i) => {
                let Some(node) = &mut self.nodes[i] else { return };
                node.on_store_contact(now);
                let out = node.tick(now);
                self.send(i, out);
                self.schedule(self.now + TICK_US, Event::Tick(i));
            }
            Event::Delivery(i, from, frame) => {
                let Some(node) = &mut self.nodes[i] else { return };
                let before = node.revision();
                let out = node.receive(&from, *frame, now);
                let revision = node.revision();
                node.set_enforced_revision(revision);
                if revision > before {
                    self.adopted_at[revision.0 as usize - 1].push(self.now);
                }
                self.send(i, out);
            }
            Event::StoreRead(i, revision) => {
                let Some(node) = &mut self.nodes[i] else { return };
                // The response to the watch, and the read of the piece that changed.
                self.store_calls += 2;
                if node.adopt(config(revision)) {
                    node.set_enforced_revision(Revision(revision));
                    self.adopted_at[revision as usize - 1].push(self.now);
                }
            }
        }
    }

    /// Changes the configuration in the store now and notifies the watchers.
    fn change_config(&mut self, revision: u64) {
        self.adopted_at.push(Vec::new());
        for dc in 0..DATA_CENTRES {
            let local = (0..self.nodes.len()).filter(|i| i % DATA_CENTRES == dc);
            let vms: Vec<Vm> = local.map(|i| member(i).vm).collect();
            let order = rendezvous_order(&format!("watch/dc{dc}"), vms.iter());
            let watchers: Vec<usize> =
                order.into_iter().take(WATCHERS_PER_DATA_CENTRE).map(|vm| self.index[vm]).collect();
            for i in watchers {
                // Two calls: the response to the watch, then the read of the piece.
                self.schedule(self.now + 2 * STORE_CALL_US, Event::StoreRead(i, revision));
            }
        }
    }

    fn record_suspects(&mut self, except: Option<&Vm>) {
        for node in self.nodes.iter().flatten() {
            for row in node.members().filter(|row| row.state == State::Suspect) {
                if Some(&row.vm) != except {
                    self.suspected_at.entry(row.vm.clone()).or_insert(self.now);
                }
            }
        }
    }
}

fn run_size(vms: usize, seed: u64) -> Row {
    let mut simulation = Simulation::new(vms, seed);
    let start = simulation.now;
    simulation.change_config(1);
    simulation.run_until(start + WARM_UP_US);
    let (bytes, messages) = (simulation.bytes, simulation.messages);
    simulation.run_until(start + WARM_UP_US + IDLE_US);
    let seconds = IDLE_US as f64 / 1e6 * vms as f64;
    let idle_bytes = (simulation.bytes - bytes) as f64 / seconds;
    let idle_messages = (simulation.messages - messages) as f64 / seconds;
    let store_calls = simulation.store_calls;
    let bytes = simulation.bytes;
    let mut times = Vec::new();
    let mut accepted = Vec::new();
    for i in 0..CHANGES {
        let started_at = simulation.now;
        let revision = i as u64 + 2;
        simulation.change_config(revision);
        let end = started_at + CHANGE_INTERVAL_US;
        let mut at = started_at;
        let mut known = None;
        while at < end {
            at += TICK_US;
            simulation.run_until(at);
            let all = simulation.nodes.iter().flatten().any(|n| n.accepted() >= Revision(revision));
            if all && known.is_none() {
                known = Some(at);
            }
        }
        simulation.record_suspects(None);
        times.extend(
            simulation.adopted_at[revision as usize - 1]
                .iter()
                .map(|t| (t - started_at) as f64 / 1e3),
        );
        accepted.push((known.unwrap_or(end) - started_at) as f64 / 1e3);
    }
    let per_change = (simulation.store_calls - store_calls) as f64 / CHANGES as f64;
    let change_seconds = CHANGES as f64 * CHANGE_INTERVAL_US as f64 / 1e6;
    let extra = (simulation.bytes - bytes) as f64 / vms as f64 - idle_bytes * change_seconds;
    let missing = vms * CHANGES - times.len();
    let detected = measure_failure_detection(&mut simulation, vms);
    Row::default()
        .with("vms", vms)
        .number("in_force_p50_ms", quantile(&mut times, 0.5), 1)
        .number("in_force_p99_ms", quantile(&mut times, 0.99), 1)
        .number("accepted_p99_ms", quantile(&mut accepted, 0.99), 0)
        .with("not_reached", missing)
        .number("rest_bytes_per_s", idle_bytes, 0)
        .number("rest_messages_per_s", idle_messages, 2)
        .number("bytes_per_change", extra / CHANGES as f64, 0)
        .number("calls_per_change", per_change, 1)
        .number("death_known_p50_ms", detected.0, 0)
        .number("death_known_p99_ms", detected.1, 0)
        .with("false_suspicions", simulation.suspected_at.len())
}

/// Crashes a VM and returns the median and the 99th percentile of the time in milliseconds after
/// which the other VMs consider it dead.
fn measure_failure_detection(simulation: &mut Simulation, vms: usize) -> (f64, f64) {
    let started_at = simulation.now;
    let victim = member(vms / 2).vm;
    simulation.nodes[vms / 2] = None;
    let mut known: Vec<Option<u64>> = vec![None; vms];
    while simulation.now < started_at + FAILURE_WINDOW_US {
        simulation.run_until(simulation.now + TICK_US);
        for (i, node) in simulation.nodes.iter().enumerate() {
            let Some(node) = node else { continue };
            let dead = node.member(&victim).is_some_and(|row| row.state == State::Dead);
            if dead && known[i].is_none() {
                known[i] = Some(simulation.now - started_at);
            }
        }
        simulation.record_suspects(Some(&victim));
    }
    let mut times: Vec<f64> = (0..vms)
        .filter(|i| *i != vms / 2)
        .map(|i| known[i].unwrap_or(FAILURE_WINDOW_US) as f64 / 1e3)
        .collect();
    (quantile(&mut times, 0.5), quantile(&mut times, 0.99))
}

/// Simulates each fleet size.
pub fn run(options: &Options) -> Table {
    let sizes = if options.vms.is_empty() { vec![9, 33, 100, 330] } else { options.vms.clone() };
    let rows = std::thread::scope(|scope| {
        let seed = options.seed;
        let runs: Vec<_> =
            sizes.iter().map(|vms| scope.spawn(move || run_size((*vms).max(2), seed))).collect();
        runs.into_iter().map(|run| run.join().expect("no panic")).collect()
    });
    let notes = vec![
        format!(
            "The router's own gossip in virtual time: {DATA_CENTRES} data centres in 2 regions; \
             one-way latency {LATENCY_WITHIN_DATA_CENTRE_US} us within a data centre, \
             {LATENCY_BETWEEN_DATA_CENTRES_US} us between two, {LATENCY_BETWEEN_REGIONS_US} us \
             between regions; {STORE_CALL_US} us for a store call."
        ),
        format!(
            "Bytes are those of each sent message plus an assumed {PACKET_OVERHEAD_BYTES} for each \
             packet and its acknowledgement."
        ),
    ];
    Table { rows, notes }
}
