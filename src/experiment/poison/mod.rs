//! Requests that crash the servers that run them, with many VMs: the router's decisions in virtual
//! time.
//!
//! Each run has three culprits, one after the other, which are contents or shared parts of prompts:
//! each arrives fifty times within a second and then three times a second, every time at a random
//! VM. Innocent requests run meanwhile, three in ten of them with the same content, and a quarter of
//! all servers crash once without being caused by a request. The router's strategy, in which VMs share reports of
//! crashes, is compared with three others.

mod fleet;
mod simulation;
mod traffic;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::options::Options;
use super::table::{Row, Table, quantile};
use fleet::{Fleet, Identity, Strategy};
use simulation::{CULPRITS, Simulation};
use traffic::Culprit;

/// Fleet sizes by default: those of the users' sites.
const DEFAULT_VMS: [usize; 3] = [23, 84, 295];

/// Fractions of VMs that are partitioned from the other VMs but still reach callers and servers.
const PARTITIONED_SHARES: [f64; 2] = [0.0, 0.1];

/// Number of seeds by default.
const DEFAULT_SEEDS: u64 = 100;

/// Default of the option `runs`, which this experiment takes as unset.
const SHARED_DEFAULT_SEEDS: u64 = 1000;

/// A way to handle requests that crash servers, and what crashes them.
#[derive(Clone, Copy)]
struct Case {
    culprit: Culprit,
    strategy: Strategy,
    identity: Identity,
}

impl Case {
    /// Returns all cases: the strategies for contents that crash servers, and what VMs may suspect
    /// if shared parts of prompts do.
    fn all() -> Vec<Case> {
        let contents = Strategy::ALL.map(|strategy| {
            let identity = Identity::Fingerprint;
            Case { culprit: Culprit::Content, strategy, identity }
        });
        let parts = Identity::ALL.map(|identity| {
            let strategy = Strategy::Shared;
            Case { culprit: Culprit::Part, strategy, identity }
        });
        contents.into_iter().chain(parts).collect()
    }

    fn name(self) -> &'static str {
        match self.culprit {
            Culprit::Content => self.strategy.name(),
            Culprit::Part => self.identity.name(),
        }
    }
}

fn row(fleet: &Fleet, case: Case, cut: f64, seeds: std::ops::Range<u64>) -> Row {
    let (mut lost, mut late, mut waits) = (Vec::new(), Vec::new(), Vec::new());
    let (mut refused, mut innocent, mut bytes) = (0, 0, Vec::new());
    let (mut refusal_waits, mut delays, mut messages) = (Vec::new(), Vec::new(), Vec::new());
    for seed in seeds {
        let Case { culprit, strategy, identity } = case;
        let rng = SmallRng::seed_from_u64(seed);
        let mut simulation = Simulation::new(fleet, strategy, identity, culprit, cut, rng);
        simulation.run();
        for poison in 0..CULPRITS {
            lost.push(f64::from(simulation.crashes[poison]));
            late.push(f64::from(simulation.late_retries[poison]));
        }
        waits.extend(simulation.waits.iter().map(|wait| wait.as_millis()));
        refused += simulation.refused;
        innocent += simulation.innocent;
        bytes.push(simulation.bytes_per_vm_second());
        messages.push(simulation.messages_per_vm_second());
        refusal_waits.extend(simulation.refusal_waits.iter().map(|wait| wait.as_millis()));
        delays.extend(simulation.quarantine_delays.iter().map(|delay| delay.as_millis()));
    }
    let refused_per_million = refused as f64 * 1e6 / innocent.max(1) as f64;
    Row::named("way", case.name())
        .with("culprit", case.culprit.name())
        .with("vms", fleet.vms())
        .number("cut off", cut, 2)
        .number("lost median", quantile(&mut lost, 0.5), 0)
        .number("lost p99", quantile(&mut lost, 0.99), 0)
        .number("lost worst", quantile(&mut lost, 1.0), 0)
        .number("late retries worst", quantile(&mut late, 1.0), 0)
        .number("innocent refused in a million", refused_per_million, 1)
        .number("innocent waits p99 ms", quantile(&mut waits, 0.99), 0)
        .number("bytes/s a VM", quantile(&mut bytes, 0.5), 1)
        .number("messages/s a VM", quantile(&mut messages, 0.5), 2)
        .number("refusal waits median ms", quantile(&mut refusal_waits, 0.5), 1)
        .number("refusal waits p99 ms", quantile(&mut refusal_waits, 0.99), 1)
        .number("quarantined after p99 ms", quantile(&mut delays, 0.99), 1)
}

/// Simulates all strategies for each fleet size, without and with partitioned VMs.
pub fn run(options: &Options) -> Table {
    let vms = if options.vms.is_empty() { DEFAULT_VMS.to_vec() } else { options.vms.clone() };
    let seeds = if options.runs == SHARED_DEFAULT_SEEDS { DEFAULT_SEEDS } else { options.runs };
    let mut rows = Vec::new();
    for fleet in vms.into_iter().map(Fleet::new) {
        for cut in PARTITIONED_SHARES {
            let seeds = options.seed..options.seed + seeds;
            rows.extend(Case::all().into_iter().map(|case| row(&fleet, case, cut, seeds.clone())));
        }
    }
    let notes = vec![
        "Lost: servers crashed by one content or part. Late retries: attempts that VMs which are \
         not cut off start later than 3 s after its third crash (content) or its fifth (part)."
            .to_owned(),
        "Waits: time until suspected innocent requests were allowed to run; others are not counted."
            .to_owned(),
        "Refusal waits: after the last crash under a request, until the other VMs have the report. \
         Quarantined after: time from that crash until a VM that is not cut off heard of it."
            .to_owned(),
        "Updates through the store's readers, which repeat the same reports, are not simulated."
            .to_owned(),
    ];
    Table { rows, notes }
}
