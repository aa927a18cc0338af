//! Slopes for `docs/CAPACITY.md`: what each thing costs in memory, processor time and bytes.
//!
//! Each is measured at four sizes; the slope is that of the least squares through them, and the
//! residual the largest distance from it, in shares of the largest value.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::sync::Arc;
use std::time::Instant;

use super::options::Options;
use super::probe::allocated_bytes;
use super::table::{Row, Table};
use crate::config::{self, Declarations, Root, Snapshot, digest};
use crate::decide::replica::{Replica, select_replica};
use crate::entry::session::{self, Session};
use crate::error::Error;
use crate::evidence::{Counts, Key, Origin, Table as Evidence};
use crate::ledger::{Buffer, Entry, Part, Reason};
use crate::once::{Claim, Outcome, Record, Settlement, Shard, digest as claim_digest};
use crate::peer::wire::{Call, Envelope, Frame, encode};
use crate::peer::{Gossip, Member, State};
use crate::unit::{Cost, Date, Incarnation, Moment, Revision, Span, Vm};
use crate::vm::{Fleet, SessionKeys};

/// Least time that an operation is repeated for, in seconds.
const REPEAT: f64 = 0.05;

/// Bytes of a unit of work: one SHA-256 over so many.
const UNIT: usize = 1024;

struct Slope {
    name: &'static str,
    unit: &'static str,
    sizes: Vec<f64>,
    values: Vec<f64>,
}

impl Slope {
    fn fit(&self) -> (f64, f64, f64) {
        let n = self.sizes.len() as f64;
        let mean = |values: &[f64]| values.iter().sum::<f64>() / n;
        let (x, y) = (mean(&self.sizes), mean(&self.values));
        let pairs = || self.sizes.iter().zip(&self.values);
        let over: f64 = pairs().map(|(a, b)| (a - x) * (b - y)).sum();
        let under: f64 = self.sizes.iter().map(|a| (a - x).powi(2)).sum();
        let slope = over / under;
        let start = y - slope * x;
        let largest = self.values.iter().copied().fold(f64::MIN_POSITIVE, f64::max);
        let far = pairs().map(|(a, b)| (b - start - slope * a).abs() / largest);
        (slope, start, far.fold(0.0, f64::max))
    }
}

/// Bytes that `make` holds at each size.
fn memory<T>(name: &'static str, sizes: [usize; 4], make: impl Fn(usize) -> T) -> Slope {
    let held = |size: &usize| {
        let before = allocated_bytes();
        let made = make(*size);
        let held = allocated_bytes() - before;
        drop(made);
        held
    };
    let values = sizes.iter().map(held).collect();
    Slope { name, unit: "bytes", sizes: sizes.map(|s| s as f64).to_vec(), values }
}

/// Microseconds of one call of `act`.
fn micros(mut act: impl FnMut()) -> f64 {
    let mut calls = 1u64;
    loop {
        let began = Instant::now();
        (0..calls).for_each(|_| act());
        let took = began.elapsed().as_secs_f64();
        if took >= REPEAT {
            return took * 1e6 / calls as f64;
        }
        calls = (calls * 2).max((calls as f64 * REPEAT / took.max(1e-9) * 1.1) as u64);
    }
}

fn time(name: &'static str, sizes: [usize; 4], act: impl Fn(usize) -> f64) -> Slope {
    let values = sizes.iter().map(|size| act(*size)).collect();
    Slope { name, unit: "us", sizes: sizes.map(|s| s as f64).to_vec(), values }
}

fn bytes(name: &'static str, sizes: [usize; 4], act: impl Fn(usize) -> usize) -> Slope {
    let values = sizes.iter().map(|size| act(*size) as f64).collect();
    Slope { name, unit: "bytes", sizes: sizes.map(|s| s as f64).to_vec(), values }
}

fn member(i: usize) -> Member {
    Member {
        vm: format!("vm{i}").parse().expect("a name"),
        address: format!("10.0.{}.{}:9000", i / 250 % 250, i % 250).parse().expect("an address"),
        data_centre: format!("dc{}", i % 5).parse().expect("a name"),
        incarnation: Incarnation(1_796_213_600_000_000 + i as u64),
        refutations: 0,
        state: State::Alive,
    }
}

fn gossip(peers: usize) -> Gossip {
    let mut gossip = Gossip::new(member(0), Moment(1));
    gossip.add_members((0..peers).map(member), Moment(1));
    gossip
}

fn origin() -> Origin {
    Origin { vm: "vm1".parse().expect("a name"), incarnation: Incarnation(1_796_213_600_000_000) }
}

fn key(i: usize) -> Key {
    let target = format!("roastmind@v{}", i % 13).parse().expect("a target");
    Key::Trial { target, since: i as u64 }
}

fn evidence(cells: usize) -> Evidence {
    let mut table = Evidence::default();
    for i in 0..cells {
        table.add(&origin(), key(i), Counts { ended: 1, rated: 1, ..Counts::default() });
    }
    table
}

fn entry(number: u64) -> Entry {
    Entry {
        number,
        request: format!("vm1-661a59f167e0c-{number:x}").parse().expect("a name"),
        workspace: "roasters".parse().expect("a name"),
        date: Date(1_796_213_600_000_000),
        parts: vec![Part {
            reason: Reason::Answer,
            target: Some("roastmind@v3".parse().expect("a target")),
            tokens: 245,
            cost: Cost(367),
        }],
    }
}

fn book(entries: usize) -> Buffer {
    let mut book = Buffer::new(origin());
    (0..entries).for_each(|i| {
        book.insert_own(entry(i as u64));
    });
    book
}

fn claim(i: usize) -> Claim {
    Claim {
        key: claim_digest(&[&i.to_be_bytes()]),
        body: claim_digest(&[b"body"]),
        request: format!("vm1-661a59f167e0c-{i:x}").parse().expect("a name"),
        workspace: "nestwise".parse().expect("a name"),
        holder: origin(),
        date: Date(1_796_213_600_000_000),
        reserved: false,
    }
}

fn shard(claims: usize) -> Shard {
    let mut shard = Shard::default();
    shard.apply_link((0..claims).map(|i| Record::Claim(claim(i))).collect());
    shard
}

fn declared(workspaces: usize, servers: usize) -> Declarations {
    let text = include_str!("../../examples/tiny.toml");
    let mut declared: Declarations = toml::from_str(text).expect("a sound example");
    let (workspace, server) = (declared.workspaces[0].clone(), declared.servers[0].clone());
    declared.workspaces = (0..workspaces)
        .map(|i| {
            let mut workspace = workspace.clone();
            workspace.name = format!("w{i}").parse().expect("a name");
            workspace.key_digest = digest(&i.to_be_bytes());
            workspace
        })
        .collect();
    declared.servers = (0..servers)
        .map(|i| {
            let mut server = server.clone();
            server.name = format!("engine-{i}").parse().expect("a name");
            server
        })
        .collect();
    declared
}

fn resolved(declared: &Declarations) -> Snapshot {
    let pieces = config::pieces(declared);
    let digests = pieces.iter().map(|p| (p.name.clone(), p.digest.clone())).collect();
    let root = Root { revision: Revision(1), pieces: digests, ..Root::default() };
    let bodies: BTreeMap<_, _> =
        pieces.into_iter().map(|p| (p.digest.clone(), Arc::new(p))).collect();
    Snapshot::resolve(root, bodies).expect("a sound configuration")
}

fn fleet(servers: usize) -> Fleet {
    let mut fleet = Fleet::default();
    fleet.apply_snapshot(&resolved(&declared(1, servers)), &"dc1".parse().expect("a name"));
    fleet
}

fn replicas(count: usize) -> Vec<Replica> {
    let replica = |i: usize| Replica {
        reported: (i % 12) as f64,
        reported_at: Moment(1_000_000),
        ..Replica::idle(i as u64, 16.0)
    };
    (0..count).map(replica).collect()
}

fn memories() -> Vec<Slope> {
    vec![
        memory("memory_per_replica", [2000, 4000, 6000, 8000], fleet),
        memory("memory_per_workspace", [1000, 2000, 3000, 4000], |n| resolved(&declared(n, 3))),
        memory("memory_per_peer", [5000, 10_000, 15_000, 20_000], gossip),
        memory("memory_per_cell", [20_000, 40_000, 60_000, 80_000], evidence),
        memory("memory_per_bill", [20_000, 40_000, 60_000, 80_000], book),
        memory("memory_per_old_claim", [20_000, 40_000, 60_000, 80_000], |n| {
            let mut shard = shard(n);
            let ended = |i| Settlement {
                key: claim(i).key,
                request: claim(i).request,
                body: claim(i).body,
                outcome: Outcome::Ran { status: 200, content_type: String::new(), body: None },
            };
            shard.apply_link((0..n).map(|i| Record::Settled(ended(i))).collect());
            shard.evict_expired(Date(claim(0).date.0 + Span::secs(7200).0));
            shard
        }),
        memory("memory_per_claim", [20_000, 40_000, 60_000, 80_000], shard),
    ]
}

fn times() -> Vec<Slope> {
    let keys: SessionKeys = "k1:0123456789abcdef0".parse().expect("keys");
    let session = Session {
        id: 7,
        workspace: "roasters".parse().expect("a name"),
        target: "roastmind@v3".parse().expect("a target"),
        revision: Revision(3),
        created_at: Date(1_000),
    };
    let token = session::encode_token(&session, &keys);
    let from: Vm = "vm1".parse().expect("a name");
    vec![
        time("time_per_decision_replica", [20, 100, 300, 600], |n| {
            let all = replicas(n);
            let mut point = 0u64;
            micros(|| {
                point = point.wrapping_add(0x9e37_79b9_7f4a_7c15);
                black_box(select_replica(&all, Some(point), point, Moment(1_200_000)));
            })
        }),
        time("time_per_token_check", [1, 2, 3, 4], |n| {
            micros(|| {
                for _ in 0..n {
                    black_box(session::decode_token(&token, &keys, Date(2_000)));
                }
            })
        }),
        time("time_per_probe", [1, 2, 3, 4], |n| {
            let mut gossip = gossip(330);
            let probe = envelope(self_probe(1));
            micros(|| {
                for _ in 0..n {
                    let frame: Envelope<Frame> =
                        crate::peer::wire::decode(&probe).expect("a frame");
                    black_box(gossip.receive(&from, frame.body, Moment(2)));
                }
            })
        }),
        time("time_per_tick_330", [1, 2, 3, 4], |n| {
            let mut gossip = gossip(330);
            gossip.tick(Moment(1));
            micros(|| {
                for _ in 0..n {
                    black_box(gossip.tick(Moment(2)));
                }
            })
        }),
        time("time_per_cell_merged", [100, 200, 400, 800], |n| {
            let (rows, _) = evidence(n).delta(&from, 0, n);
            micros(|| {
                let mut table = Evidence::default();
                table.merge(&from, rows.clone());
                black_box(table.len());
            })
        }),
        time("time_per_workspace_adopted", [50, 100, 200, 400], |n| {
            let declared = declared(n, 100);
            let snapshot = resolved(&declared);
            micros(|| {
                let again = Snapshot::resolve(snapshot.root.clone(), snapshot.pieces.clone());
                black_box(again.is_ok());
            })
        }),
        time("time_per_bill_recorded", [1, 2, 3, 4], |n| {
            let mut book = Buffer::new(origin());
            micros(|| {
                for _ in 0..n {
                    let made = book.insert_own(entry(0));
                    black_box(encode(&made));
                    book.remove(&origin(), made.number);
                }
            })
        }),
    ]
}

fn self_probe(number: u64) -> Frame {
    Frame::Probe {
        number,
        me: member(1),
        status: Default::default(),
        delta: Default::default(),
        cursor: Default::default(),
    }
}

fn envelope(frame: Frame) -> Vec<u8> {
    encode(&Envelope { from: "vm1".parse::<Vm>().expect("a name"), body: frame })
}

fn sizes() -> Vec<Slope> {
    let from: Vm = "vm2".parse().expect("a name");
    vec![
        bytes("bytes_per_probe", [1, 2, 3, 4], |n| {
            (0..n).map(|i| envelope(self_probe(1_000_000 + i as u64)).len()).sum()
        }),
        bytes("bytes_per_cell", [50, 100, 150, 200], |n| {
            let (evidence, _) = evidence(n).delta(&from, 0, n);
            encode(&evidence).len()
        }),
        bytes("bytes_per_member_row", [10, 20, 30, 40], |n| {
            encode(&(0..n).map(member).collect::<Vec<_>>()).len()
        }),
        bytes("bytes_per_bill_copy", [10, 20, 40, 80], |n| {
            let entries = (0..n).map(|i| entry(i as u64 + 1000)).collect();
            let call = Call::CopyBills {
                origin: from.clone(),
                incarnation: Incarnation(1_796_213_600_000_000),
                entries,
                flushed: 990,
            };
            encode(&call).len()
        }),
        bytes("bytes_per_bill_stored", [10, 20, 40, 80], |n| {
            let entries: Vec<Entry> = (0..n).map(|i| entry(i as u64 + 1000)).collect();
            serde_json::to_vec(&entries).map_or(0, |text| text.len())
        }),
        bytes("bytes_per_claim_stored", [10, 20, 40, 80], |n| {
            let records: Vec<Record> = (0..n).map(|i| Record::Claim(claim(i))).collect();
            serde_json::to_vec(&records).map_or(0, |text| text.len())
        }),
        bytes("bytes_per_workspace_piece", [1, 2, 3, 4], |n| {
            config::pieces(&declared(n, 3)).iter().skip(3).map(|piece| piece.body.len()).sum()
        }),
    ]
}

/// Measures all slopes.
///
/// # Errors
/// None at present; the signature is that of the experiments over sockets.
pub fn run(_options: &Options) -> Result<Table, Error> {
    let block = vec![7u8; UNIT];
    let unit = micros(|| {
        black_box(digest(&block));
    });
    let mut table = Table::default();
    for slope in memories().into_iter().chain(times()).chain(sizes()) {
        let (each, start, residual) = slope.fit();
        let mut row = Row::named("name", slope.name)
            .with("unit", slope.unit)
            .number("slope", each, 4)
            .number("at_nought", start, 2)
            .number("residual", residual, 4);
        if slope.unit == "us" {
            let largest = slope.values.last().copied().unwrap_or_default();
            row = row.number("largest_in_units", largest / unit, 2);
        }
        let points = slope.sizes.iter().zip(&slope.values);
        let points: Vec<String> = points.map(|(x, y)| format!("{x}:{y:.1}")).collect();
        table.rows.push(row.with("points", points.join(" ")));
    }
    table.notes.push(format!(
        "A unit of work is one SHA-256 over {UNIT} bytes with its hex: {unit:.2} us in this run."
    ));
    Ok(table)
}
