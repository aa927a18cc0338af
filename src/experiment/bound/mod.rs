//! Servers with rate limits behind many VMs: strategies to divide the rate that a server accepts
//! among the VMs, in virtual time.
//!
//! All servers of a service announce rate limits, which change every three seconds, and callers
//! send a third more than these allow. Refused callers retry once. The strategies are compared
//! with a central dispatcher that knows everything at once.

mod simulation;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::options::Options;
use super::table::{Row, Table, quantile};
use simulation::{RUN_LENGTH, Simulation};

/// Fleet sizes by default: those of the users' sites.
const DEFAULT_VMS: [usize; 3] = [23, 84, 295];

/// Fractions of VMs that are partitioned from the other VMs but still reach callers and servers.
const PARTITIONED_SHARES: [f64; 2] = [0.0, 0.1];

/// Number of seeds by default, and the smaller number for large fleets.
const DEFAULT_SEEDS: u64 = 50;
const SEEDS_FOR_MANY_VMS: u64 = 10;

/// Fleet size from which the smaller number of seeds is used.
const MANY_VMS: usize = 200;

/// Default of the option `runs`, which this experiment takes as unset.
const SHARED_DEFAULT_SEEDS: u64 = 1000;

/// How a server's rate limit is divided among VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// VMs ignore it.
    Unlimited,
    /// Each VM applies the whole limit to its own requests.
    PerVm,
    /// All VMs have equal shares, each with its own send slots.
    EvenShares,
    /// One VM sends to each server, chosen by rendezvous hash.
    OneSender,
    /// A few VMs send to each server, chosen by rendezvous hash, each with its own send slots: the
    /// strategy of the router.
    FewSenders,
    /// The first VM for each server grants send slots to the VMs that request them.
    Leases,
    /// A central dispatcher knows all requests and limits at once.
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

    /// Returns true if VMs send each other the limits.
    fn exchanges_limits(self) -> bool {
        matches!(
            self,
            Strategy::EvenShares | Strategy::OneSender | Strategy::FewSenders | Strategy::Leases
        )
    }
}

/// Distribution of callers over the VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerSpread {
    /// Uniform over all VMs.
    AllVms,
    /// Uniform over a quarter of the VMs, as if in one data centre.
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

/// Simulates all strategies for each fleet size, distribution of callers and partition.
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
        "Beyond: the most requests above its limit that a server received in 4 s from VMs that had \
         known the limit for 50 ms. Of rule: these requests as a fraction of what users allow, 1.5 \
         times the limit plus five."
            .to_owned(),
        "Used: requests as a fraction of what all limits allow. In time: fraction of the callers' \
         requests that were sent to a server within 1.5 s."
            .to_owned(),
    ];
    Table { rows, notes }
}
