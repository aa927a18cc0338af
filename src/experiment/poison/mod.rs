//! Requests that crash the servers that run them, at many VMs: the server's decisions in virtual time.
//!
//! In each run three such contents come one after the other, each fifty times within a second and then three times a second, each time to a VM
//! drawn anew; innocent requests run beside them, three in ten of them with one and the same content; and once a quarter of all
//! servers crash for no request's sake. The way of the server, in which VMs tell one another, runs beside three others.

mod fleet;
mod simulation;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::options::Options;
use super::table::{Row, Table, quantile};
use fleet::{Fleet, Strategy};
use simulation::{CONTENTS, Simulation};

/// Numbers of VMs that are played if none are given: the users' sites.
const DEFAULT_VMS: [usize; 3] = [23, 84, 295];

/// Shares of VMs that nothing reaches, though callers and servers do.
const PARTITIONED_SHARES: [f64; 2] = [0.0, 0.1];

/// Seeds if none are given.
const DEFAULT_SEEDS: u64 = 100;

/// The default of the option for seeds, which other experiments share.
const SHARED_DEFAULT_SEEDS: u64 = 1000;

fn row(fleet: &Fleet, strategy: Strategy, cut: f64, seeds: std::ops::Range<u64>) -> Row {
    let (mut lost, mut late, mut waits) = (Vec::new(), Vec::new(), Vec::new());
    let (mut refused, mut innocent, mut bytes) = (0, 0, Vec::new());
    for seed in seeds {
        let mut simulation = Simulation::new(fleet, strategy, cut, SmallRng::seed_from_u64(seed));
        simulation.run();
        for poison in 0..CONTENTS {
            lost.push(f64::from(simulation.crashes[poison]));
            late.push(f64::from(simulation.late_retries[poison]));
        }
        waits.extend(simulation.waits.iter().map(|wait| wait.as_millis()));
        refused += simulation.refused;
        innocent += simulation.innocent;
        bytes.push(simulation.bytes_per_vm_second());
    }
    let million = refused as f64 * 1e6 / innocent.max(1) as f64;
    Row::named("way", strategy.name())
        .with("vms", fleet.vms())
        .number("cut off", cut, 2)
        .number("lost median", quantile(&mut lost, 0.5), 0)
        .number("lost p99", quantile(&mut lost, 0.99), 0)
        .number("lost worst", quantile(&mut lost, 1.0), 0)
        .number("late retries worst", quantile(&mut late, 1.0), 0)
        .number("innocent refused in a million", million, 1)
        .number("innocent waits p99 ms", quantile(&mut waits, 0.99), 0)
        .number("bytes/s a VM", quantile(&mut bytes, 0.5), 1)
}

/// Runs it.
pub fn run(options: &Options) -> Table {
    let vms = if options.vms.is_empty() { DEFAULT_VMS.to_vec() } else { options.vms.clone() };
    let seeds = if options.runs == SHARED_DEFAULT_SEEDS { DEFAULT_SEEDS } else { options.runs };
    let mut rows = Vec::new();
    for fleet in vms.into_iter().map(Fleet::new) {
        for cut in PARTITIONED_SHARES {
            let seeds = options.seed..options.seed + seeds;
            rows.extend(Strategy::ALL.map(|strategy| row(&fleet, strategy, cut, seeds.clone())));
        }
    }
    let notes = vec![
        "Lost: servers that crash under one such content. Late retries: arrivals later than 3 s after the third crash, sent by VMs that \
         are not cut off."
            .to_owned(),
        "Waits: of innocent requests that were suspected, until they were let run; of those alone.".to_owned(),
        "The news of the reading order, which tell the same once more, are not played.".to_owned(),
    ];
    Table { rows, notes }
}
