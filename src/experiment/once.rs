//! Cost of the delivery guarantees: calls with idempotency keys and bills over real sockets, with
//! a store that takes 5 ms per call.

use std::time::{Duration, Instant};

use serde_json::json;

use super::options::Options;
use super::probe::client;
use super::table::{Row, Table, quantile};
use crate::command::block_on;
use crate::demo::{Cluster, Shape, workspace_key};
use crate::error::Error;
use crate::ledger;
use crate::standin::platform::Switches;
use crate::unit::Vm;

/// Latency of a call to the store.
const STORE_CALL_MS: u64 = 5;

/// Number of sequential calls for the latencies of an idle system.
const IDLE_CALLS: usize = 120;

/// Calls per second for the count of store writes, and duration of each rate.
const CALL_RATES: [usize; 3] = [10, 100, 1000];
const SECONDS_PER_RATE: usize = 4;

/// One in this many calls has an idempotency key, in the runs at a rate.
const KEYED_EVERY: usize = 5;

#[derive(Clone, Copy, PartialEq)]
enum CallKind {
    /// To the service itself, without kitepulley.
    Direct,
    /// Through a VM, which bills the call.
    Billed,
    /// Through a VM with an idempotency key, and billed.
    Keyed,
}

/// Sends a call and returns its latency in milliseconds, or none if it failed.
async fn call(
    http: &awc::Client,
    cluster: &Cluster,
    kind: CallKind,
    vm: &Vm,
    number: usize,
) -> Option<f64> {
    let started_at = Instant::now();
    let request = match kind {
        CallKind::Direct => {
            http.get(format!("http://{}/seats?centre={number}", cluster.service_address()))
        }
        CallKind::Billed => {
            let at = cluster.nodes[vm].address;
            http.get(format!("http://{at}/v1/services/tellimus-api/seats?centre={number}"))
        }
        CallKind::Keyed => {
            let at = cluster.nodes[vm].address;
            http.post(format!("http://{at}/v1/services/tellimus-api/enrolments"))
                .insert_header(("idempotency-key", format!("key-{number}")))
        }
    };
    let request =
        request.insert_header(("authorization", format!("Bearer {}", workspace_key("nestwise"))));
    let sent = match kind {
        CallKind::Keyed => request.send_json(&json!({"seat": number})).await,
        _ => request.send().await,
    };
    let mut answer = sent.ok()?;
    answer.body().await.ok()?;
    answer.status().is_success().then(|| started_at.elapsed().as_secs_f64() * 1e3)
}

fn idle_latencies(cluster: &Cluster, kind: CallKind) -> Vec<f64> {
    block_on(async {
        let http = client();
        let vms: Vec<&Vm> = cluster.nodes.keys().collect();
        let mut times = Vec::new();
        for number in 0..IDLE_CALLS {
            let vm = vms[number % vms.len()];
            times.extend(call(&http, cluster, kind, vm, number).await);
            // The pause keeps calls from sharing a store write, as they would under load.
            tokio::time::sleep(Duration::from_millis(60)).await;
        }
        times
    })
}

struct RateResult {
    /// Number of successful calls.
    done: usize,
    /// Latencies of the successful calls with a key, in milliseconds.
    keyed: Vec<f64>,
    /// Store writes per second.
    writes: f64,
    /// Bytes sent between VMs for each successful call.
    bytes: f64,
}

fn run_at_rate(cluster: &Cluster, rate: usize) -> RateResult {
    let writes_before = cluster.platform.calls().writes;
    let sent = || cluster.nodes.values().map(crate::demo::Node::bytes_sent).sum::<u64>();
    let bytes_before = sent();
    let started_at = Instant::now();
    let times = block_on(async {
        let http = client();
        let vms: Vec<&Vm> = cluster.nodes.keys().collect();
        let count = rate * SECONDS_PER_RATE;
        let calls = (0..count).map(|i| {
            let (http, vm) = (http.clone(), vms[i % vms.len()]);
            async move {
                let due = Duration::from_secs_f64(i as f64 / rate as f64);
                tokio::time::sleep(due).await;
                let kind = if i % KEYED_EVERY == 0 { CallKind::Keyed } else { CallKind::Billed };
                let number = rate * 1_000_000 + i;
                (kind, call(&http, cluster, kind, vm, number).await)
            }
        });
        futures_util::future::join_all(calls).await
    });
    let seconds = started_at.elapsed().as_secs_f64();
    let done = times.iter().filter(|(_, time)| time.is_some()).count();
    let keyed = times.iter().filter(|(kind, _)| *kind == CallKind::Keyed).filter_map(|(_, t)| *t);
    RateResult {
        done,
        keyed: keyed.collect(),
        writes: (cluster.platform.calls().writes - writes_before) as f64 / seconds,
        bytes: (sent() - bytes_before) as f64 / done.max(1) as f64,
    }
}

/// Measures the added latency of each kind of call and the store writes at each rate.
///
/// # Errors
/// If a VM or a stand-in server cannot be started.
pub fn run(_options: &Options) -> Result<Table, Error> {
    let cluster = Cluster::start(&Shape { vms: 5, engines: 3, ..Shape::default() })?;
    cluster.platform.set_switches(Switches { slow_ms: STORE_CALL_MS, ..Switches::default() });
    let mut table = Table::default();
    let mut base = (0.0, 0.0);
    for (name, kind) in [
        ("direct", CallKind::Direct),
        ("billed", CallKind::Billed),
        ("keyed, billed", CallKind::Keyed),
    ] {
        let mut times = idle_latencies(&cluster, kind);
        let (p50, p99) = (quantile(&mut times, 0.5), quantile(&mut times, 0.99));
        if kind == CallKind::Direct {
            base = (p50, p99);
        }
        let row = Row::named("way", name).number("added_p50_ms", p50 - base.0, 3).number(
            "added_p99_ms",
            p99 - base.1,
            3,
        );
        table.rows.push(row);
    }
    for rate in CALL_RATES {
        let mut run = run_at_rate(&cluster, rate);
        let row = Row::named("way", format!("{rate}/s, 1 in {KEYED_EVERY} keyed"))
            .number("keyed_p50_ms", quantile(&mut run.keyed, 0.5), 2)
            .number("keyed_p99_ms", quantile(&mut run.keyed, 0.99), 2)
            .with("answered", run.done)
            .with("asked", rate * SECONDS_PER_RATE)
            .number("writes_per_s", run.writes, 1)
            .number("peer_bytes_per_request", run.bytes, 0);
        table.rows.push(row);
    }
    cluster.stop_standins();
    let vms = 330;
    let flushes = f64::from(vms) / ledger::flush_interval(vms as usize).as_secs();
    table.notes.push(format!(
        "The store takes {STORE_CALL_MS} ms per call; 5 VMs. With {vms} VMs, bills need \
         {flushes:.1} writes per second, given by their flush interval, and keys at most 20, given \
         by the write rate of their shards."
    ));
    Ok(table)
}
