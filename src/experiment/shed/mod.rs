//! Servers that turn requests away and ask for rest, and servers that leave while the store is away, before many VMs: the server's decisions
//! in virtual time.
//!
//! A burst beyond the capacity fills the servers, which turn away what they have no room for; a quarter of them turns everything away for
//! five seconds; a tenth says that it leaves, serves on for three seconds, ends, and is back under the same id. Callers that are refused come back once.

mod simulation;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::options::Options;
use super::table::{Row, Table, quantile};
use simulation::Simulation;

/// Numbers of VMs that are played if none are given: the users' sites.
const DEFAULT_VMS: [usize; 3] = [23, 84, 295];

/// Shares of VMs that nothing reaches, though callers and servers do.
const PARTITIONED_SHARES: [f64; 2] = [0.0, 0.1];

/// Loads of the burst, in parts of the capacity; seeds take them in turn.
const BURST_LOADS: [f64; 4] = [1.5, 2.0, 2.5, 3.0];

/// Seeds if none are given.
const DEFAULT_SEEDS: u64 = 100;

/// The default of the option for seeds, which other experiments share.
const SHARED_DEFAULT_SEEDS: u64 = 1000;

/// Length of a run in seconds, for rates.
const RUN_SECONDS: f64 = 18.0;

/// What VMs do about what servers say of themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// Nothing.
    Ignored,
    /// Each keeps what it heard itself.
    PerVm,
    /// And after a rest one request at a time tries the server.
    Probe,
    /// And what can still be served in time waits for the end of the first rest: the way of the server.
    Wait,
    /// And VMs tell one another, so that a server that asked another for rest counts as full.
    Shared,
    /// And, not told, what would come to a server that is thought to be full waits too.
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

/// Runs it.
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
        "Against: sends to a server in a rest that it had asked this VM for, or after it had told this VM that it leaves, 50 ms after that was \
         heard."
            .to_owned(),
        "Turned away: part of the sends. In aim and served: requests that began to run within 1.5 s, and at all, of all that callers sent."
            .to_owned(),
        "Cut: requests that ran or waited at a server when it ended as planned. No service: time in the burst in which nothing began to run."
            .to_owned(),
    ];
    Table { rows, notes }
}
