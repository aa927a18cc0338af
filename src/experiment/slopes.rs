//! Slopes for `docs/CAPACITY.md`: cost of each kind of object or operation in memory, CPU time and
//! bytes.
//!
//! Each is measured at four sizes. The slope is that of the least-squares line through them, and
//! the residual is the largest distance from the line as a fraction of the largest value.

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

/// Shortest time for which an operation is repeated.
const MIN_MEASURE_SECONDS: f64 = 0.05;

/// Size of the block whose SHA-256 is the unit of work, relative to which times are shown too.
const HASH_BLOCK_BYTES: usize = 1024;

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
        let covariance: f64 = pairs().map(|(a, b)| (a - x) * (b - y)).sum();
        let variance: f64 = self.sizes.iter().map(|a| (a - x).powi(2)).sum();
        let slope = covariance / variance;
        let intercept = y - slope * x;
        let largest = self.values.iter().copied().fold(f64::MIN_POSITIVE, f64::max);
        let distances = pairs().map(|(a, b)| (b - intercept - slope * a).abs() / largest);
        (slope, intercept, distances.fold(0.0, f64::max))
    }
}

/// Measures the memory that the result of `make` occupies at each size.
fn measure_memory<T>(name: &'static str, sizes: [usize; 4], make: impl Fn(usize) -> T) -> Slope {
    let held = |size: &usize| {
        let before = allocated_bytes();
        let value = make(*size);
        let held = allocated_bytes() - before;
        drop(value);
        held
    };
    let values = sizes.iter().map(held).collect();
    Slope { name, unit: "bytes", sizes: sizes.map(|s| s as f64).to_vec(), values }
}

/// Returns the mean time of a call of `operation` in microseconds.
fn call_micros(mut operation: impl FnMut()) -> f64 {
    let mut calls = 1u64;
    loop {
        let started_at = Instant::now();
        (0..calls).for_each(|_| operation());
        let took = started_at.elapsed().as_secs_f64();
        if took >= MIN_MEASURE_SECONDS {
            return took * 1e6 / calls as f64;
        }
        calls = (calls * 2).max((calls as f64 * MIN_MEASURE_SECONDS / took.max(1e-9) * 1.1) as u64);
    }
}

fn measure_time(name: &'static str, sizes: [usize; 4], operation: impl Fn(usize) -> f64) -> Slope {
    let values = sizes.iter().map(|size| operation(*size)).collect();
    Slope { name, unit: "us", sizes: sizes.map(|s| s as f64).to_vec(), values }
}

fn measure_bytes(
    name: &'static str,
    sizes: [usize; 4],
    operation: impl Fn(usize) -> usize,
) -> Slope {
    let values = sizes.iter().map(|size| operation(*size) as f64).collect();
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

fn ledger_buffer(entries: usize) -> Buffer {
    let mut buffer = Buffer::new(origin());
    (0..entries).for_each(|i| {
        buffer.insert_own(entry(i as u64));
    });
    buffer
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

fn declarations(workspaces: usize, servers: usize) -> Declarations {
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

fn resolve_snapshot(declared: &Declarations) -> Snapshot {
    let pieces = config::pieces(declared);
    let digests = pieces.iter().map(|p| (p.name.clone(), p.digest.clone())).collect();
    let root = Root { revision: Revision(1), pieces: digests, ..Root::default() };
    let bodies: BTreeMap<_, _> =
        pieces.into_iter().map(|p| (p.digest.clone(), Arc::new(p))).collect();
    Snapshot::resolve(root, bodies).expect("a sound configuration")
}

fn fleet(servers: usize) -> Fleet {
    let mut fleet = Fleet::default();
    fleet.apply_snapshot(
        &resolve_snapshot(&declarations(1, servers)),
        &"dc1".parse().expect("a name"),
    );
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

fn memory_slopes() -> Vec<Slope> {
    vec![
        measure_memory("memory_per_replica", [2000, 4000, 6000, 8000], fleet),
        measure_memory("memory_per_workspace", [1000, 2000, 3000, 4000], |n| {
            resolve_snapshot(&declarations(n, 3))
        }),
        measure_memory("memory_per_peer", [5000, 10_000, 15_000, 20_000], gossip),
        measure_memory("memory_per_cell", [20_000, 40_000, 60_000, 80_000], evidence),
        measure_memory("memory_per_bill", [20_000, 40_000, 60_000, 80_000], ledger_buffer),
        measure_memory("memory_per_old_claim", [20_000, 40_000, 60_000, 80_000], |n| {
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
        measure_memory("memory_per_claim", [20_000, 40_000, 60_000, 80_000], shard),
    ]
}

fn time_slopes() -> Vec<Slope> {
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
        measure_time("time_per_decision_replica", [20, 100, 300, 600], |n| {
            let all = replicas(n);
            let mut point = 0u64;
            call_micros(|| {
                point = point.wrapping_add(0x9e37_79b9_7f4a_7c15);
                black_box(select_replica(&all, Some(point), point, Moment(1_200_000)));
            })
        }),
        measure_time("time_per_token_check", [1, 2, 3, 4], |n| {
            call_micros(|| {
                for _ in 0..n {
                    black_box(session::decode_token(&token, &keys, Date(2_000)));
                }
            })
        }),
        measure_time("time_per_probe", [1, 2, 3, 4], |n| {
            let mut gossip = gossip(330);
            let probe = envelope(probe_frame(1));
            call_micros(|| {
                for _ in 0..n {
                    let frame: Envelope<Frame> =
                        crate::peer::wire::decode(&probe).expect("a frame");
                    black_box(gossip.receive(&from, frame.body, Moment(2)));
                }
            })
        }),
        measure_time("time_per_tick_330", [1, 2, 3, 4], |n| {
            let mut gossip = gossip(330);
            gossip.tick(Moment(1));
            call_micros(|| {
                for _ in 0..n {
                    black_box(gossip.tick(Moment(2)));
                }
            })
        }),
        measure_time("time_per_cell_merged", [100, 200, 400, 800], |n| {
            let (rows, _) = evidence(n).delta(&from, 0, n);
            call_micros(|| {
                let mut table = Evidence::default();
                table.merge(&from, rows.clone());
                black_box(table.len());
            })
        }),
        measure_time("time_per_workspace_adopted", [50, 100, 200, 400], |n| {
            let declared = declarations(n, 100);
            let snapshot = resolve_snapshot(&declared);
            call_micros(|| {
                let again = Snapshot::resolve(snapshot.root.clone(), snapshot.pieces.clone());
                black_box(again.is_ok());
            })
        }),
        measure_time("time_per_bill_recorded", [1, 2, 3, 4], |n| {
            let mut buffer = Buffer::new(origin());
            call_micros(|| {
                for _ in 0..n {
                    let value = buffer.insert_own(entry(0));
                    black_box(encode(&value));
                    buffer.remove(&origin(), value.number);
                }
            })
        }),
    ]
}

fn probe_frame(number: u64) -> Frame {
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

fn byte_slopes() -> Vec<Slope> {
    let from: Vm = "vm2".parse().expect("a name");
    vec![
        measure_bytes("bytes_per_probe", [1, 2, 3, 4], |n| {
            (0..n).map(|i| envelope(probe_frame(1_000_000 + i as u64)).len()).sum()
        }),
        measure_bytes("bytes_per_cell", [50, 100, 150, 200], |n| {
            let (evidence, _) = evidence(n).delta(&from, 0, n);
            encode(&evidence).len()
        }),
        measure_bytes("bytes_per_member_row", [10, 20, 30, 40], |n| {
            encode(&(0..n).map(member).collect::<Vec<_>>()).len()
        }),
        measure_bytes("bytes_per_bill_copy", [10, 20, 40, 80], |n| {
            let entries = (0..n).map(|i| entry(i as u64 + 1000)).collect();
            let call = Call::CopyBills {
                origin: from.clone(),
                incarnation: Incarnation(1_796_213_600_000_000),
                entries,
                flushed: 990,
            };
            encode(&call).len()
        }),
        measure_bytes("bytes_per_bill_stored", [10, 20, 40, 80], |n| {
            let entries: Vec<Entry> = (0..n).map(|i| entry(i as u64 + 1000)).collect();
            serde_json::to_vec(&entries).map_or(0, |text| text.len())
        }),
        measure_bytes("bytes_per_claim_stored", [10, 20, 40, 80], |n| {
            let records: Vec<Record> = (0..n).map(|i| Record::Claim(claim(i))).collect();
            serde_json::to_vec(&records).map_or(0, |text| text.len())
        }),
        measure_bytes("bytes_per_workspace_piece", [1, 2, 3, 4], |n| {
            config::pieces(&declarations(n, 3)).iter().skip(3).map(|piece| piece.body.len()).sum()
        }),
    ]
}

/// Measures all slopes.
///
/// # Errors
/// Never fails at present; the signature is that of the experiments over sockets.
pub fn run(_options: &Options) -> Result<Table, Error> {
    let block = vec![7u8; HASH_BLOCK_BYTES];
    let unit = call_micros(|| {
        black_box(digest(&block));
    });
    let mut table = Table::default();
    for slope in memory_slopes().into_iter().chain(time_slopes()).chain(byte_slopes()) {
        let (each, intercept, residual) = slope.fit();
        let mut row = Row::named("name", slope.name)
            .with("unit", slope.unit)
            .number("slope", each, 4)
            .number("at_nought", intercept, 2)
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
        "A unit of work is the SHA-256 of {HASH_BLOCK_BYTES} bytes in hexadecimal: {unit:.2} us in \
         this run."
    ));
    Ok(table)
}
