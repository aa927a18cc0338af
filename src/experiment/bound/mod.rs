//! Servers that name limits before many VMs: ways to part what a server takes from all of them, in virtual time.
//!
//! All servers of a service name limits, which change every three seconds; callers send a third more than these allow. Callers that are refused
//! come back once. Beside the ways stands a dispatcher that knows everything at once.

mod simulation;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::options::Options;
use super::table::{Row, Table, quantile};
use simulation::{RUN_LENGTH, Simulation};

/// Numbers of VMs that are played if none are given: the users' sites.
const DEFAULT_VMS: [usize; 3] = [23, 84, 295];

/// Shares of VMs that nothing reaches, though callers and servers do.
const PARTITIONED_SHARES: [f64; 2] = [0.0, 0.1];

/// Seeds if none are given, by the number of VMs.
const DEFAULT_SEEDS: u64 = 50;
const SEEDS_FOR_MANY_VMS: u64 = 10;
const MANY_VMS: usize = 200;

/// The default of the option for seeds, which other experiments share.
const SHARED_DEFAULT_SEEDS: u64 = 1000;

/// How a limit is parted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// Nobody heeds it.
    Unlimited,
    /// Each VM keeps it for itself.
    PerVm,
    /// An even part for each VM, in turns.
    EvenShares,
    /// One VM for each server, by rendezvous hash.
    OneSender,
    /// A few VMs for each server, by rendezvous hash, in turns: the way of the server.
    FewSenders,
    /// The first VM for each server grants turns to those that ask it.
    Leases,
    /// One dispatcher that knows all at once.
    Dispatcher,
}

impl Strategy {
    const ALL: [Strategy; 7] = [
        Strategy::Unlimited,
        Strategy::PerVm,
        Strategy::EvenShares,
        Strategy::OneSender,
        Strategy::FewSenders,
        Strategy::Leases,
        Strategy::Dispatcher,
    ];

    fn name(self) -> &'static str {
        match self {
            Strategy::Unlimited => "unheeded",
            Strategy::PerVm => "each alone",
            Strategy::EvenShares => "even parts",
            Strategy::OneSender => "one sender",
            Strategy::FewSenders => "few senders",
            Strategy::Leases => "leases",
            Strategy::Dispatcher => "dispatcher",
        }
    }

    /// Whether VMs tell one another of limits.
    fn exchanges_limits(self) -> bool {
        matches!(
            self,
            Strategy::EvenShares | Strategy::OneSender | Strategy::FewSenders | Strategy::Leases
        )
    }
}

/// Where callers are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerSpread {
    /// At all VMs alike.
    AllVms,
    /// At a quarter of the VMs: one data centre.
    Quarter,
}

impl CallerSpread {
    const ALL: [CallerSpread; 2] = [CallerSpread::AllVms, CallerSpread::Quarter];

    fn vms(self, all: usize) -> usize {
        match self {
            CallerSpread::AllVms => all,
            CallerSpread::Quarter => (all / 4).max(1),
        }
    }

    fn name(self) -> &'static str {
        match self {
            CallerSpread::AllVms => "all",
            CallerSpread::Quarter => "a quarter",
        }
    }
}

fn row(
    vms: usize,
    strategy: Strategy,
    spread: CallerSpread,
    cut: f64,
    seeds: std::ops::Range<u64>,
) -> Row {
    let mut values: [Vec<f64>; 5] = Default::default();
    for seed in seeds {
        let mut simulation =
            Simulation::new(vms, strategy, spread, cut, SmallRng::seed_from_u64(seed));
        simulation.run();
        let counts = simulation.counts;
        let found = [
            counts.excess,
            counts.rule_ratio,
            counts.reached as f64 / counts.allowed,
            counts.in_time as f64 / counts.requests as f64,
            counts.bytes as f64 / vms as f64 / RUN_LENGTH.as_secs(),
        ];
        values.iter_mut().zip(found).for_each(|(list, value)| list.push(value));
    }
    let mean = |values: &[f64]| values.iter().sum::<f64>() / values.len().max(1) as f64;
    let [excess, rule_ratio, used, in_time, bytes] = &mut values;
    Row::named("way", strategy.name())
        .with("vms", vms)
        .with("callers at", spread.name())
        .number("cut off", cut, 1)
        .number("beyond worst", quantile(excess, 1.0), 1)
        .number("of rule worst", quantile(rule_ratio, 1.0), 2)
        .number("used", mean(used), 3)
        .number("in time", mean(in_time), 3)
        .number("bytes/s a VM", mean(bytes), 0)
}

/// Runs it.
pub fn run(options: &Options) -> Table {
    let vms = if options.vms.is_empty() { DEFAULT_VMS.to_vec() } else { options.vms.clone() };
    let mut rows = Vec::new();
    for vms in vms {
        let usual = if vms >= MANY_VMS { SEEDS_FOR_MANY_VMS } else { DEFAULT_SEEDS };
        let seeds = if options.runs == SHARED_DEFAULT_SEEDS { usual } else { options.runs };
        let seeds = options.seed..options.seed + seeds;
        for spread in CallerSpread::ALL {
            for cut in PARTITIONED_SHARES {
                rows.extend(
                    Strategy::ALL.map(|strategy| row(vms, strategy, spread, cut, seeds.clone())),
                );
            }
        }
    }
    let notes = vec![
        "Beyond: the most requests in 4 s at one server beyond its limit, from VMs that had heard of it 50 ms before. Of rule: the same in parts of what \
         users allow, half as much again as the limit and five."
            .to_owned(),
        "Used: requests in parts of what all limits allow. In time: requests that left within 1.5 s, of all that callers sent."
            .to_owned(),
    ];
    Table { rows, notes }
}
