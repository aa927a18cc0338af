//! Membership and spreading of the configuration, the server's own code over queues in virtual time.

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

/// Time between two ticks of a VM, in microseconds, as in the server.
const TICK: u64 = 50_000;

/// Data centres: the first three in one region, the others in the second.
const DATA_CENTRES: usize = 5;
const FIRST_REGION: usize = 3;

/// One-way latencies in microseconds: within a data centre, between two, between regions.
const WITHIN: u64 = 300;
const BETWEEN: u64 = 1_500;
const REGIONS: u64 = 40_000;

/// Time of a call to the store, in microseconds.
const STORE: u64 = 5_000;

/// Watchers in each data centre, as in the server.
const WATCHERS: usize = 2;

/// Bytes of a packet beside its message: IP, UDP, QUIC's header and tag, and its acknowledgement.
const PACKET: u64 = 28 + 28 + 60;

/// Payload of a packet.
const PAYLOAD: u64 = 1_200;

/// The parts of a run, in microseconds: calm, rest, changes, a death.
const CALM: u64 = 90_000_000;
const REST: u64 = 30_000_000;
const CHANGES: usize = 20;
const APART: u64 = 2_000_000;
const DEATH: u64 = 30_000_000;

/// Workspaces of the configuration.
const WORKSPACES: usize = 20;

enum Event {
    Tick(usize),
    Arrive(usize, Vm, Box<Frame>),
    Store(usize, u64),
}

struct World {
    nodes: Vec<Option<Gossip>>,
    index: BTreeMap<Vm, usize>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    next: u64,
    now: u64,
    bytes: u64,
    messages: u64,
    calls: u64,
    adopted: Vec<Vec<u64>>,
    suspected: BTreeMap<Vm, u64>,
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

/// A configuration of realistic size in which each revision changes one workspace.
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
    match (a == b, (a < FIRST_REGION) == (b < FIRST_REGION)) {
        (true, _) => WITHIN,
        (false, true) => BETWEEN,
        (false, false) => REGIONS,
    }
}

impl World {
    fn new(vms: usize, seed: u64) -> World {
        let mut rng = SmallRng::seed_from_u64(seed);
        let rows: Vec<Member> = (0..vms).map(member).collect();
        let mut world = World {
            nodes: Vec::new(),
            index: rows.iter().enumerate().map(|(i, row)| (row.vm.clone(), i)).collect(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next: 0,
            now: 1_000_000,
            bytes: 0,
            messages: 0,
            calls: 0,
            adopted: Vec::new(),
            suspected: BTreeMap::new(),
        };
        for i in 0..vms {
            let mut node = Gossip::new(rows[i].clone(), Moment(world.now));
            node.add_members(rows.iter().cloned(), Moment(world.now));
            world.nodes.push(Some(node));
            world.push(world.now + rng.random_range(0..TICK), Event::Tick(i));
        }
        world
    }

    fn push(&mut self, at: u64, event: Event) {
        self.next += 1;
        self.events.insert(self.next, event);
        self.queue.push(Reverse((at, self.next)));
    }

    fn send(&mut self, from: usize, out: Vec<(Member, Frame)>) {
        let vm = member(from).vm;
        for (to, frame) in out {
            let Some(to) = self.index.get(&to.vm).copied() else { continue };
            let size = encode(&Envelope { from: vm.clone(), body: frame.clone() }).len() as u64;
            self.bytes += size + size.div_ceil(PAYLOAD) * PACKET;
            self.messages += 1;
            let at = self.now + latency(from, to);
            self.push(at, Event::Arrive(to, vm.clone(), Box::new(frame)));
        }
    }

    fn run_until(&mut self, end: u64) {
        while let Some(Reverse((at, number))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            let event = self.events.remove(&number).expect("each event once");
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
                self.push(self.now + TICK, Event::Tick(i));
            }
            Event::Arrive(i, from, frame) => {
                let Some(node) = &mut self.nodes[i] else { return };
                let before = node.revision();
                let out = node.receive(&from, *frame, now);
                let revision = node.revision();
                node.set_enforced_revision(revision);
                if revision > before {
                    self.adopted[revision.0 as usize - 1].push(self.now);
                }
                self.send(i, out);
            }
            Event::Store(i, revision) => {
                let Some(node) = &mut self.nodes[i] else { return };
                // The answered watch and the one piece that changed.
                self.calls += 2;
                if node.adopt(config(revision)) {
                    node.set_enforced_revision(Revision(revision));
                    self.adopted[revision as usize - 1].push(self.now);
                }
            }
        }
    }

    /// A change takes effect in the store now; the watchers hear of it.
    fn change(&mut self, revision: u64) {
        self.adopted.push(Vec::new());
        for dc in 0..DATA_CENTRES {
            let near = (0..self.nodes.len()).filter(|i| i % DATA_CENTRES == dc);
            let vms: Vec<Vm> = near.map(|i| member(i).vm).collect();
            let order = rendezvous_order(&format!("watch/dc{dc}"), vms.iter());
            let watchers: Vec<usize> =
                order.into_iter().take(WATCHERS).map(|vm| self.index[vm]).collect();
            for i in watchers {
                // The watch is answered, then the piece is read.
                self.push(self.now + 2 * STORE, Event::Store(i, revision));
            }
        }
    }

    fn note_suspects(&mut self, but: Option<&Vm>) {
        for node in self.nodes.iter().flatten() {
            for row in node.members().filter(|row| row.state == State::Suspect) {
                if Some(&row.vm) != but {
                    self.suspected.entry(row.vm.clone()).or_insert(self.now);
                }
            }
        }
    }
}

fn one(vms: usize, seed: u64) -> Row {
    let mut world = World::new(vms, seed);
    let start = world.now;
    world.change(1);
    world.run_until(start + CALM);
    let (bytes, messages) = (world.bytes, world.messages);
    world.run_until(start + CALM + REST);
    let seconds = REST as f64 / 1e6 * vms as f64;
    let rest_bytes = (world.bytes - bytes) as f64 / seconds;
    let rest_messages = (world.messages - messages) as f64 / seconds;
    let calls = world.calls;
    let bytes = world.bytes;
    let mut times = Vec::new();
    let mut accepted = Vec::new();
    for i in 0..CHANGES {
        let began = world.now;
        let revision = i as u64 + 2;
        world.change(revision);
        let end = began + APART;
        let mut at = began;
        let mut known = None;
        while at < end {
            at += TICK;
            world.run_until(at);
            let all = world.nodes.iter().flatten().any(|n| n.accepted() >= Revision(revision));
            if all && known.is_none() {
                known = Some(at);
            }
        }
        world.note_suspects(None);
        times.extend(world.adopted[revision as usize - 1].iter().map(|t| (t - began) as f64 / 1e3));
        accepted.push((known.unwrap_or(end) - began) as f64 / 1e3);
    }
    let per_change = (world.calls - calls) as f64 / CHANGES as f64;
    let change_seconds = CHANGES as f64 * APART as f64 / 1e6;
    let extra = (world.bytes - bytes) as f64 / vms as f64 - rest_bytes * change_seconds;
    let missing = vms * CHANGES - times.len();
    let detected = death(&mut world, vms);
    Row::default()
        .with("vms", vms)
        .number("in_force_p50_ms", quantile(&mut times, 0.5), 1)
        .number("in_force_p99_ms", quantile(&mut times, 0.99), 1)
        .number("accepted_p99_ms", quantile(&mut accepted, 0.99), 0)
        .with("not_reached", missing)
        .number("rest_bytes_per_s", rest_bytes, 0)
        .number("rest_messages_per_s", rest_messages, 2)
        .number("bytes_per_change", extra / CHANGES as f64, 0)
        .number("calls_per_change", per_change, 1)
        .number("death_known_p50_ms", detected.0, 0)
        .number("death_known_p99_ms", detected.1, 0)
        .with("false_suspicions", world.suspected.len())
}

/// Kills a VM and measures when the others hold it for dead.
fn death(world: &mut World, vms: usize) -> (f64, f64) {
    let began = world.now;
    let victim = member(vms / 2).vm;
    world.nodes[vms / 2] = None;
    let mut known: Vec<Option<u64>> = vec![None; vms];
    while world.now < began + DEATH {
        world.run_until(world.now + TICK);
        for (i, node) in world.nodes.iter().enumerate() {
            let Some(node) = node else { continue };
            let dead = node.member(&victim).is_some_and(|row| row.state == State::Dead);
            if dead && known[i].is_none() {
                known[i] = Some(world.now - began);
            }
        }
        world.note_suspects(Some(&victim));
    }
    let mut times: Vec<f64> = (0..vms)
        .filter(|i| *i != vms / 2)
        .map(|i| known[i].unwrap_or(DEATH) as f64 / 1e3)
        .collect();
    (quantile(&mut times, 0.5), quantile(&mut times, 0.99))
}

/// Runs each number of VMs.
pub fn run(options: &Options) -> Table {
    let sizes = if options.vms.is_empty() { vec![9, 33, 100, 330] } else { options.vms.clone() };
    let rows = std::thread::scope(|scope| {
        let seed = options.seed;
        let runs: Vec<_> =
            sizes.iter().map(|vms| scope.spawn(move || one((*vms).max(2), seed))).collect();
        runs.into_iter().map(|run| run.join().expect("no panic")).collect()
    });
    let notes = vec![
        format!(
            "The server's own gossip over queues: {DATA_CENTRES} data centres in 2 regions, one way \
             {WITHIN} us within one, {BETWEEN} us between two, {REGIONS} us between regions, a \
             store's call {STORE} us."
        ),
        format!(
            "Bytes are those of each message and, assumed, {PACKET} for each packet and its \
             acknowledgement; sent ones are counted, once."
        ),
    ];
    Table { rows, notes }
}
