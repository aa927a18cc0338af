//! Overhead of the proxy path: sends the same requests to an engine directly and through a VM.

use std::time::{Duration, Instant};

use super::options::Options;
use super::probe::{Target, client, cpu_seconds, resident_bytes};
use super::table::{Row, Table, quantile};
use crate::command::block_on;
use crate::demo::{Cluster, Shape, workspace_key};
use crate::error::Error;

/// Number of sequential requests for the latencies, by default.
const REQUESTS: usize = 2000;

/// Tokens of each response.
const TOKENS: u32 = 32;

/// Concurrent callers and requests of each, for the throughput.
const CALLERS: usize = 32;
const REQUESTS_PER_CALLER: usize = 150;

/// Concurrent streams, for the memory per stream.
const OPEN_STREAMS: usize = 1000;

/// Time of a token while the streams are held open; slow enough that none ends while they are
/// measured.
const SLOW_TOKEN_US: u64 = 400_000;

struct Measured {
    first: Vec<f64>,
    token: Vec<f64>,
    per_second: f64,
    cpu_us: f64,
    stream_bytes: f64,
}

fn start_cluster(token_us: u64, slots: u32) -> Result<Cluster, Error> {
    Cluster::start(&Shape { vms: 3, engines: 2, token_us, slots, ..Shape::default() })
}

fn targets(cluster: &Cluster) -> (Target, Target) {
    let engine = cluster.engine_addresses()[1];
    let node = cluster.nodes.values().next().expect("a VM runs");
    (Target::Engine(engine), Target::Vm(node.address, workspace_key("nestwise")))
}

/// Measures both paths alternately, so that a slow moment of the machine affects both alike.
/// Returns the times to the first token and between tokens, each direct and through the VM.
fn latencies(cluster: &Cluster, requests: usize) -> ([Vec<f64>; 2], [Vec<f64>; 2]) {
    let (direct, through) = targets(cluster);
    block_on(async {
        let http = client();
        let (mut first, mut token) = ([Vec::new(), Vec::new()], [Vec::new(), Vec::new()]);
        for number in 0..requests {
            for (i, target) in [&direct, &through].into_iter().enumerate() {
                if let Some(timed) = target.time_stream(&http, number, TOKENS).await {
                    first[i].push(timed.first_ms);
                    token[i].push(timed.token_ms);
                }
            }
        }
        (first, token)
    })
}

/// Returns requests per second and CPU microseconds per request.
fn throughput(target: &Target) -> (f64, f64) {
    block_on(async {
        let http = client();
        let before = cpu_seconds();
        let started_at = Instant::now();
        let callers = (0..CALLERS).map(|caller| {
            let (http, target) = (http.clone(), target.clone());
            async move {
                let mut done = 0;
                for i in 0..REQUESTS_PER_CALLER {
                    let number = 1_000_000 + caller * REQUESTS_PER_CALLER + i;
                    done += usize::from(target.time_stream(&http, number, TOKENS).await.is_some());
                }
                done
            }
        });
        let done: usize = futures_util::future::join_all(callers).await.into_iter().sum();
        let seconds = started_at.elapsed().as_secs_f64();
        let used = cpu_seconds() - before;
        (done as f64 / seconds, used * 1e6 / done.max(1) as f64)
    })
}

/// Returns the memory per open stream of the whole process: caller, engine and, if it is on the
/// path, the VM.
fn stream_bytes(target: &Target) -> f64 {
    block_on(async {
        let http = client();
        let before = resident_bytes();
        let opening =
            (0..OPEN_STREAMS).map(|number| target.open_stream(&http, 2_000_000 + number, TOKENS));
        let open: Vec<_> =
            futures_util::future::join_all(opening).await.into_iter().flatten().collect();
        tokio::time::sleep(Duration::from_millis(500)).await;
        let bytes = (resident_bytes() - before) / open.len().max(1) as f64;
        drop(open);
        bytes
    })
}

/// Measures both paths and their difference.
///
/// # Errors
/// If a VM or a stand-in server cannot be started.
pub fn run(options: &Options) -> Result<Table, Error> {
    let requests = options.requests.unwrap_or(REQUESTS);
    let fast = start_cluster(0, 64)?;
    let (mut first, mut token) = latencies(&fast, requests);
    let (direct, through) = targets(&fast);
    let rates = [throughput(&direct), throughput(&through)];
    fast.stop_standins();
    let slow = start_cluster(SLOW_TOKEN_US, OPEN_STREAMS as u32 * 4)?;
    let (direct, through) = targets(&slow);
    let memory = [stream_bytes(&direct), stream_bytes(&through)];
    slow.stop_standins();
    let mut table = Table::default();
    let measured: Vec<Measured> = (0..2)
        .map(|i| Measured {
            first: std::mem::take(&mut first[i]),
            token: std::mem::take(&mut token[i]),
            per_second: rates[i].0,
            cpu_us: rates[i].1,
            stream_bytes: memory[i],
        })
        .collect();
    let mut figures = Vec::new();
    for (name, mut m) in ["direct", "through kitepulley"].into_iter().zip(measured) {
        let figure = [
            quantile(&mut m.first, 0.5),
            quantile(&mut m.first, 0.99),
            quantile(&mut m.token, 0.5),
            quantile(&mut m.token, 0.99),
            m.per_second,
            m.cpu_us,
            m.stream_bytes,
        ];
        table.rows.push(row(name, &figure));
        figures.push(figure);
    }
    let mut added = [0.0; 7];
    for (i, added) in added.iter_mut().enumerate() {
        *added = figures[1][i] - figures[0][i];
    }
    table.rows.push(row("added", &added));
    table.notes.push(format!(
        "Latencies: {requests} sequential requests of {TOKENS} tokens. Rate: {CALLERS} concurrent \
         callers. Memory: {OPEN_STREAMS} open streams."
    ));
    table.notes.push(
        "Caller, engine and VMs share this process, so CPU time and memory include all three. The \
         row `added` is the cost of the VM, including the copies of its bill to two other VMs."
            .to_owned(),
    );
    Ok(table)
}

fn row(name: &str, figure: &[f64; 7]) -> Row {
    Row::named("way", name)
        .number("first_token_p50_ms", figure[0], 3)
        .number("first_token_p99_ms", figure[1], 3)
        .number("per_token_p50_ms", figure[2], 4)
        .number("per_token_p99_ms", figure[3], 4)
        .number("requests_per_s", figure[4], 0)
        .number("processor_us_per_request", figure[5], 0)
        .number("bytes_per_stream", figure[6], 0)
}
