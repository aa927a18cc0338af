//! Load of the control path with many VMs: calls to the platform's store and bytes between VMs,
//! with the router's decisions in virtual time.
//!
//! A run covers the start of all VMs, a calm period, a store outage of eight seconds, a crash of
//! the VM that reads the store, and a crash and restart of all VMs. The router's strategy is
//! compared with one in which only readers with followers make proofs on a schedule, and with its
//! predecessor, in which a VM without updates reads the store itself at once.
//! All are computed from the times of calls and polls; packets are counted, not sent.
//!
//! A second run has an outage in which the store turns away the three VMs of highest rank in each
//! data centre and serves the others.

mod node;
mod simulation;
mod snapshot;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::options::Options;
use super::table::{Row, Table, quantile};
use crate::unit::{Moment, Span};
use node::Node;
use simulation::{
    ALL_CRASH_AT, ALL_RESTART_AT, Outage, READER_CRASH_AT, RUN_END, STORE_LOST_AT,
    STORE_RECOVERED_AT, Simulation, Strategy,
};

/// Time before the outage and after it in which calls are counted.
const CALM_DURATION: Span = Span::secs(10);

/// Number of VMs of each data centre that the store turns away in the second run: those that others
/// poll for updates.
const TURNED_AWAY: usize = 3;

fn row(strategy: Strategy, vms: usize, seed: u64) -> Row {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut simulation = Simulation::new(strategy, Outage::Everywhere, vms, &mut rng);
    simulation.run();
    let partial = partial_outage(strategy, vms, seed);
    let per_vm = |price: f64| price / vms as f64;
    let calm = simulation.price_between(Span(STORE_LOST_AT.0 - CALM_DURATION.0), STORE_LOST_AT);
    let during_outage = simulation.price_between(STORE_LOST_AT, STORE_RECOVERED_AT);
    let after_outage =
        simulation.price_between(STORE_RECOVERED_AT, Span(STORE_RECOVERED_AT.0 + CALM_DURATION.0));
    let after_reader_crash = Moment(0) + READER_CRASH_AT..Moment(0) + ALL_CRASH_AT;
    let new_readers =
        simulation.reader_starts.iter().filter(|(at, _)| after_reader_crash.contains(at)).count();
    let time_to_ready = |node: &Node| node.ready_at.map(|at| at.since(node.started_at).as_millis());
    let mut ready: Vec<f64> = simulation.nodes.iter().filter_map(time_to_ready).collect();
    let seconds = RUN_END.as_secs();
    let largest = simulation.nodes.iter().map(|node| node.bytes).max().unwrap_or(0);
    let mean = simulation.nodes.iter().map(|node| node.bytes).sum::<u64>() as f64 / vms as f64;
    let store_bytes = simulation
        .store_bytes_between(Span(STORE_LOST_AT.0 - CALM_DURATION.0), STORE_LOST_AT)
        / CALM_DURATION.as_secs();
    let way = match strategy {
        Strategy::Relayed => "passed on",
        Strategy::ProofsForFollowers => "proofs for followers only",
        Strategy::Direct => "each itself",
    };
    Row::named("way", way)
        .with("vms", vms)
        .number("start, calls a VM", per_vm(simulation.price_between(Span(0), Span::secs(5))), 2)
        .number("calm, calls/s", calm / CALM_DURATION.as_secs(), 2)
        .number("away 8 s, calls", during_outage, 0)
        .number("return 10 s, calls", after_outage, 0)
        .number("turned away 8 s, calls", partial.calls, 0)
        .number("oldest at VMs served ms", partial.oldest_data.as_millis(), 0)
        .with("fall, VMs that read", new_readers)
        .number("again, calls a VM", per_vm(simulation.price_between(ALL_RESTART_AT, RUN_END)), 2)
        .number("ready after p99 ms", quantile(&mut ready, 0.99), 0)
        .number("bytes/s a VM", mean / seconds, 0)
        .number("bytes/s largest", largest as f64 / seconds, 0)
        .number("calm, bytes/s of the store", store_bytes, 0)
}

/// Result of an outage in which the store turns away some VMs and serves the others.
struct PartialOutage {
    /// Price of all calls.
    calls: f64,
    /// Largest age of the data of a VM that the store serves.
    oldest_data: Span,
}

fn partial_outage(strategy: Strategy, vms: usize, seed: u64) -> PartialOutage {
    let mut rng = SmallRng::seed_from_u64(seed);
    let outage = Outage::FirstOfEach(TURNED_AWAY);
    let mut simulation = Simulation::new(strategy, outage, vms, &mut rng);
    simulation.run();
    PartialOutage {
        calls: simulation.price_between(STORE_LOST_AT, STORE_RECOVERED_AT),
        oldest_data: simulation.oldest_data,
    }
}

/// Fleet sizes by default.
const VMS: [usize; 5] = [10, 23, 60, 300, 1000];

/// Simulates all strategies for each fleet size.
pub fn run(options: &Options) -> Table {
    let vms = if options.vms.is_empty() { VMS.to_vec() } else { options.vms.clone() };
    let strategies = [Strategy::Relayed, Strategy::ProofsForFollowers, Strategy::Direct];
    let rows =
        vms.iter().flat_map(|vms| strategies.map(|strategy| row(strategy, *vms, options.seed)));
    let rows: Vec<Row> = rows.collect();
    let notes = vec![
        "Calls are weighted by price: a read that may be some seconds stale costs a tenth."
            .to_owned(),
        "Bytes are the control traffic that a VM sends and receives, over the whole run."
            .to_owned(),
    ];
    Table { rows, notes }
}
