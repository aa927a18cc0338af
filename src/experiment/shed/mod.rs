//! Servers that reject requests with a backoff, and servers that drain during a store outage,
//! behind many VMs: the router's decisions in virtual time.
//!
//! A burst above the capacity fills the servers, which reject what they have no room for. A quarter
//! of them rejects everything for five seconds. A tenth announces that it drains, serves for three
//! more seconds, stops, and restarts under the same id. Refused callers retry once.

mod simulation;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::options::Options;
use super::table::{Row, Table, quantile};
use simulation::Simulation;

/// Fleet sizes by default: those of the users' sites.
const DEFAULT_VMS: [usize; 3] = [23, 84, 295];

/// Fractions of VMs that are partitioned from the other VMs but still reach callers and servers.
const PARTITIONED_SHARES: [f64; 2] = [0.0, 0.1];

/// Loads of the burst as multiples of the capacity; consecutive seeds cycle through them.
const BURST_LOADS: [f64; 4] = [1.5, 2.0, 2.5, 3.0];

/// Number of seeds by default.
const DEFAULT_SEEDS: u64 = 100;

/// Default of the option `runs`, which this experiment takes as unset.
const SHARED_DEFAULT_SEEDS: u64 = 1000;

/// Length of a run.
const RUN_SECONDS: f64 = 18.0;

/// How VMs react to the backoff and drain signals of servers. Each strategy adds to the one before
/// it unless stated otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// They ignore them.
    Ignored,
    /// Each VM follows the signals that it received itself.
    PerVm,
    /// After a backoff, one request at a time probes the server.
    Probe,
    /// Requests that can still be served in time wait for the end of the first backoff: the
    /// strategy of the router.
    Wait,
    /// VMs share backoffs, and a server that asked another VM for one counts as full.
    Shared,
    /// As `Wait`, without sharing; requests that would go to a server believed to be full wait too.
    AvoidFull,
}

impl Strategy {
    const ALL: [Strategy; 6] = [
        Strategy::Ignored,
        Strategy::PerVm,
        Strategy::Probe,
        Strategy::Wait,
        Strategy::Shared,
        Strategy::AvoidFull,
    ];

    fn name(self) -> &'static str {
        match self {
            Strategy::Ignored => "unheeded",
            Strategy::PerVm => "each alone",
            Strategy::Probe => "one at a time after",
            Strategy::Wait => "and waits",
            Strategy::Shared => "and told",
            Strategy::AvoidFull => "waits, spares the full",
        }
    }
}

fn row(vms: usize, strategy: Strategy, cut: f64, seeds: std::ops::Range<u64>) -> Row {
    let mut values: [Vec<f64>; 7] = Default::default();
    for seed in seeds {
        let burst = BURST_LOADS[seed as usize % BURST_LOADS.len()];
        let mut simulation =
            Simulation::new(vms, strategy, cut, burst, SmallRng::seed_from_u64(seed));
        simulation.run();
        let counts = simulation.counts;
        let of_requests = |count: u64| count as f64 * 100.0 / counts.requests as f64;
        let each = counts.bytes as f64 / vms as f64 / RUN_SECONDS;
        let found = [
            counts.sent_while_unavailable as f64,
            counts.rejected as f64 * 100.0 / counts.sends as f64,
            of_requests(counts.in_goal),
            of_requests(counts.served),
            counts.interrupted as f64,
            each,
            counts.idle_tenths as f64 / 10.0,
        ];
        values.iter_mut().zip(found).for_each(|(list, value)| list.push(value));
    }
    let mean = |values: &[f64]| values.iter().sum::<f64>() / values.len().max(1) as f64;
    let [sent_while_unavailable, turned, aim, served, cut_off, bytes, idle] = &mut values;
    Row::named("way", strategy.name())
        .with("vms", vms)
        .number("cut off", cut, 2)
        .number("against median", quantile(sent_while_unavailable, 0.5), 0)
        .number("against worst", quantile(sent_while_unavailable, 1.0), 0)
        .number("turned away %", mean(turned), 2)
        .number("in aim %", mean(aim), 2)
        .number("in aim % worst", quantile(aim, 0.0), 2)
        .number("served %", mean(served), 2)
        .number("cut by leaving", mean(cut_off), 1)
        .number("no service s worst", quantile(idle, 1.0), 1)
        .number("bytes/s a VM", mean(bytes), 1)
}

/// Simulates all strategies for each fleet size, without and with partitioned VMs.
pub fn run(options: &Options) -> Table {
    let vms = if options.vms.is_empty() { DEFAULT_VMS.to_vec() } else { options.vms.clone() };
    let seeds = if options.runs == SHARED_DEFAULT_SEEDS { DEFAULT_SEEDS } else { options.runs };
    let mut rows = Vec::new();
    for vms in vms {
        for cut in PARTITIONED_SHARES {
            let seeds = options.seed..options.seed + seeds;
            rows.extend(Strategy::ALL.map(|strategy| row(vms, strategy, cut, seeds.clone())));
        }
    }
    let notes = vec![
        "Against: sends to a server that had asked this VM to back off or announced to it that it \
         drains, 50 ms or more after the signal was received."
            .to_owned(),
        "Turned away: share of the sends that were rejected. In aim and served: share of the \
         callers' requests that began to run within 1.5 s, and at all."
            .to_owned(),
        "Cut: requests that ran or waited at a server when it stopped as planned. No service: time \
         in the burst in which no request began to run."
            .to_owned(),
    ];
    Table { rows, notes }
}
