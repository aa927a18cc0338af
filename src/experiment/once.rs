//! What the guarantees cost: keyed calls and bills over real sockets, with a store of 5 ms.

use std::time::{Duration, Instant};

use serde_json::json;

use super::options::Options;
use super::probe::client;
use super::table::{Row, Table, quantile};
use crate::command::block;
use crate::demo::{Shape, World, key};
use crate::error::Error;
use crate::ledger;
use crate::standin::platform::Switches;
use crate::unit::Vm;

/// Time of a call to the store, in milliseconds.
const STORE_MS: u64 = 5;

/// Calls one after the other.
const CALLS: usize = 120;

/// Rates for the writes, and seconds of each.
const RATES: [usize; 3] = [10, 100, 1000];
const SECONDS: usize = 4;

/// Share of calls that have a key, in the runs at a rate.
const KEYED: usize = 5;

#[derive(Clone, Copy, PartialEq)]
enum Way {
    Direct,
    Billed,
    Keyed,
}

async fn call(http: &awc::Client, world: &World, way: Way, vm: &Vm, number: usize) -> Option<f64> {
    let began = Instant::now();
    let request = match way {
        Way::Direct => {
            http.get(format!("http://{}/seats?centre={number}", world.service_address()))
        }
        Way::Billed => {
            let at = world.nodes[vm].address;
            http.get(format!("http://{at}/v1/services/tellimus-api/seats?centre={number}"))
        }
        Way::Keyed => {
            let at = world.nodes[vm].address;
            http.post(format!("http://{at}/v1/services/tellimus-api/enrolments"))
                .insert_header(("idempotency-key", format!("key-{number}")))
        }
    };
    let request = request.insert_header(("authorization", format!("Bearer {}", key("nestwise"))));
    let sent = match way {
        Way::Keyed => request.send_json(&json!({"seat": number})).await,
        _ => request.send().await,
    };
    let mut answer = sent.ok()?;
    answer.body().await.ok()?;
    answer.status().is_success().then(|| began.elapsed().as_secs_f64() * 1e3)
}

fn idle(world: &World, way: Way) -> Vec<f64> {
    block(async {
        let http = client();
        let vms: Vec<&Vm> = world.nodes.keys().collect();
        let mut times = Vec::new();
        for number in 0..CALLS {
            let vm = vms[number % vms.len()];
            times.extend(call(&http, world, way, vm, number).await);
            // Idle means that no other call shares its write.
            tokio::time::sleep(Duration::from_millis(60)).await;
        }
        times
    })
}

struct AtRate {
    done: usize,
    keyed: Vec<f64>,
    writes: f64,
    bytes: f64,
}

fn at_rate(world: &World, rate: usize) -> AtRate {
    let calls = world.platform.calls().writes;
    let sent = || world.nodes.values().map(crate::demo::Node::bytes_sent).sum::<u64>();
    let before = sent();
    let began = Instant::now();
    let times = block(async {
        let http = client();
        let vms: Vec<&Vm> = world.nodes.keys().collect();
        let count = rate * SECONDS;
        let calls = (0..count).map(|i| {
            let (http, vm) = (http.clone(), vms[i % vms.len()]);
            async move {
                let due = Duration::from_secs_f64(i as f64 / rate as f64);
                tokio::time::sleep(due).await;
                let way = if i % KEYED == 0 { Way::Keyed } else { Way::Billed };
                let number = rate * 1_000_000 + i;
                (way, call(&http, world, way, vm, number).await)
            }
        });
        futures_util::future::join_all(calls).await
    });
    let seconds = began.elapsed().as_secs_f64();
    let done = times.iter().filter(|(_, time)| time.is_some()).count();
    let keyed = times.iter().filter(|(way, _)| *way == Way::Keyed).filter_map(|(_, t)| *t);
    AtRate {
        done,
        keyed: keyed.collect(),
        writes: (world.platform.calls().writes - calls) as f64 / seconds,
        bytes: (sent() - before) as f64 / done.max(1) as f64,
    }
}

/// Runs all ways and rates.
///
/// # Errors
/// If something cannot be started.
pub fn run(_options: &Options) -> Result<Table, Error> {
    let world = World::start(&Shape { vms: 5, engines: 3, ..Shape::default() })?;
    world.platform.switch(Switches { slow_ms: STORE_MS, ..Switches::default() });
    let mut table = Table::default();
    let mut base = (0.0, 0.0);
    for (name, way) in
        [("direct", Way::Direct), ("billed", Way::Billed), ("keyed, billed", Way::Keyed)]
    {
        let mut times = idle(&world, way);
        let (p50, p99) = (quantile(&mut times, 0.5), quantile(&mut times, 0.99));
        if way == Way::Direct {
            base = (p50, p99);
        }
        let row = Row::named("way", name).number("added_p50_ms", p50 - base.0, 3).number(
            "added_p99_ms",
            p99 - base.1,
            3,
        );
        table.rows.push(row);
    }
    for rate in RATES {
        let mut run = at_rate(&world, rate);
        let row = Row::named("way", format!("{rate}/s, 1 in {KEYED} keyed"))
            .number("keyed_p50_ms", quantile(&mut run.keyed, 0.5), 2)
            .number("keyed_p99_ms", quantile(&mut run.keyed, 0.99), 2)
            .with("answered", run.done)
            .with("asked", rate * SECONDS)
            .number("writes_per_s", run.writes, 1)
            .number("peer_bytes_per_request", run.bytes, 0);
        table.rows.push(row);
    }
    world.end();
    let vms = 330;
    let flushes = f64::from(vms) / ledger::flush_interval(vms as usize).as_secs();
    table.notes.push(format!(
        "A store of {STORE_MS} ms, 5 VMs. At {vms} VMs bills take {flushes:.1} writes a second by \
         their interval, and keys at most 20 by their shards' pace."
    ));
    Ok(table)
}
