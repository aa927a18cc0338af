//! Servers that name limits before many VMs: ways to part what a server takes from all of them, in virtual time.
//!
//! All servers of a service name limits, which change every three seconds; callers send a third more than these allow. Callers that are refused
//! come back once. Beside the ways stands a dispatcher that knows everything at once.

mod world;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::options::Options;
use super::table::{Row, Table, quantile};
use world::{END, World};

/// Numbers of VMs that are played if none are given: the users' sites.
const VMS: [usize; 3] = [23, 84, 295];

/// Shares of VMs that nothing reaches, though callers and servers do.
const CUT: [f64; 2] = [0.0, 0.1];

/// Seeds if none are given, by the number of VMs.
const SEEDS: u64 = 50;
const SEEDS_OF_MANY: u64 = 10;
const MANY: usize = 200;

/// The default of the option for seeds, which other experiments share.
const OTHERS_SEEDS: u64 = 1000;

/// How a limit is parted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Nobody heeds it.
    Unheeded,
    /// Each VM keeps it for itself.
    Alone,
    /// An even part for each VM, in turns.
    Even,
    /// One VM for each server, by rendezvous hash.
    One,
    /// A few VMs for each server, by rendezvous hash, in turns: the way of the server.
    Senders,
    /// The first VM for each server grants turns to those that ask it.
    Leases,
    /// One dispatcher that knows all at once.
    Dispatcher,
}

impl Way {
    const ALL: [Way; 7] = [
        Way::Unheeded,
        Way::Alone,
        Way::Even,
        Way::One,
        Way::Senders,
        Way::Leases,
        Way::Dispatcher,
    ];

    fn name(self) -> &'static str {
        match self {
            Way::Unheeded => "unheeded",
            Way::Alone => "each alone",
            Way::Even => "even parts",
            Way::One => "one sender",
            Way::Senders => "few senders",
            Way::Leases => "leases",
            Way::Dispatcher => "dispatcher",
        }
    }

    /// Whether VMs tell one another of limits.
    fn tells(self) -> bool {
        matches!(self, Way::Even | Way::One | Way::Senders | Way::Leases)
    }
}

/// Where callers are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Skew {
    /// At all VMs alike.
    Nowhere,
    /// At a quarter of the VMs: one data centre.
    Quarter,
}

impl Skew {
    const ALL: [Skew; 2] = [Skew::Nowhere, Skew::Quarter];

    fn vms(self, all: usize) -> usize {
        match self {
            Skew::Nowhere => all,
            Skew::Quarter => (all / 4).max(1),
        }
    }

    fn name(self) -> &'static str {
        match self {
            Skew::Nowhere => "all",
            Skew::Quarter => "a quarter",
        }
    }
}

fn row(vms: usize, way: Way, skew: Skew, cut: f64, seeds: std::ops::Range<u64>) -> Row {
    let mut values: [Vec<f64>; 5] = Default::default();
    for seed in seeds {
        let mut world = World::new(vms, way, skew, cut, SmallRng::seed_from_u64(seed));
        world.run();
        let counts = world.counts;
        let found = [
            counts.beyond,
            counts.of_rule,
            counts.reached as f64 / counts.allowed,
            counts.in_time as f64 / counts.requests as f64,
            counts.bytes as f64 / vms as f64 / END.as_secs(),
        ];
        values.iter_mut().zip(found).for_each(|(list, value)| list.push(value));
    }
    let mean = |values: &[f64]| values.iter().sum::<f64>() / values.len().max(1) as f64;
    let [beyond, of_rule, used, in_time, bytes] = &mut values;
    Row::named("way", way.name())
        .with("vms", vms)
        .with("callers at", skew.name())
        .number("cut off", cut, 1)
        .number("beyond worst", quantile(beyond, 1.0), 1)
        .number("of rule worst", quantile(of_rule, 1.0), 2)
        .number("used", mean(used), 3)
        .number("in time", mean(in_time), 3)
        .number("bytes/s a VM", mean(bytes), 0)
}

/// Runs it.
pub fn run(options: &Options) -> Table {
    let vms = if options.vms.is_empty() { VMS.to_vec() } else { options.vms.clone() };
    let mut rows = Vec::new();
    for vms in vms {
        let usual = if vms >= MANY { SEEDS_OF_MANY } else { SEEDS };
        let seeds = if options.runs == OTHERS_SEEDS { usual } else { options.runs };
        let seeds = options.seed..options.seed + seeds;
        for skew in Skew::ALL {
            for cut in CUT {
                rows.extend(Way::ALL.map(|way| row(vms, way, skew, cut, seeds.clone())));
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
