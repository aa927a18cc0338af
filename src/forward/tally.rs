//! What all VMs of a large fleet have seen of a version that is rolled out.
//!
//! A VM tells the one that it follows what it has seen; the first of a group tells the sum of its group. So the VM
//! that reads the store has the sum of all, judges by it, and tells its verdict with its news. Of 295 VMs each sees
//! three answers in a thousand; with its neighbours on the ring, the way before this one, three in a hundred.
//!
//! Counts are totals since the order and replace what the same VM, or the first of the same group, told before, so
//! that nothing counts twice; a VM that starts anew begins at nought.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::trial::{Routes, Source, Verdict};
use super::vm::Vm;
use crate::unit::{Service, Version, Vm as Name};

/// What a source has seen of a version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Seen {
    /// The service.
    pub service: Service,
    /// The new version.
    pub version: Version,
    /// Whose counts they are.
    pub source: Source,
    /// The counts by route.
    pub routes: Routes,
}

/// What the fleet's evidence says of a version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Told {
    /// The service.
    pub service: Service,
    /// The new version.
    pub version: Version,
    /// What was seen, and what it says.
    pub verdict: Verdict,
}

/// What one VM was told last by this one, for each service.
#[derive(Default)]
pub struct Tally {
    told: HashMap<Service, (Name, Seen)>,
}

impl Tally {
    /// What the VM `to` does not know yet of what this one has seen; of its group, if this is the `first`.
    pub fn news(&self, vm: &Vm, to: &Name, first: bool) -> Vec<Seen> {
        let is_news = |seen: &Seen| {
            let told = self.told.get(&seen.service);
            told.is_none_or(|(told_to, told)| told_to != to || told != seen)
        };
        seen(vm, first).into_iter().filter(is_news).collect()
    }

    /// The VM `to` has taken what it was told.
    pub fn note(&mut self, to: &Name, seen: Vec<Seen>) {
        let noted = seen.into_iter().map(|one| (one.service.clone(), (to.clone(), one)));
        self.told.extend(noted);
    }
}

/// Counts of the roll-outs that run. Among few VMs each tells each, so there are none to pass on.
fn seen(vm: &Vm, first: bool) -> Vec<Seen> {
    if vm.peers.borrow().is_full_mesh() {
        return Vec::new();
    }
    let source = match first {
        true => Source::Group(vm.settings.data_centre.clone()),
        false => Source::Vm(vm.settings.vm.clone()),
    };
    let trials = vm.trials.borrow();
    let counts = |(service, version): (Service, Version)| {
        let trial = trials.get(&service)?;
        let routes = if first { trial.of_group() } else { trial.own().clone() };
        let seen = Seen { service, version, source: source.clone(), routes };
        (!seen.routes.is_empty()).then_some(seen)
    };
    running(vm).into_iter().filter_map(counts).collect()
}

/// Services whose roll-outs run, and their new versions.
fn running(vm: &Vm) -> Vec<(Service, Version)> {
    let rollouts = vm.rollouts.borrow();
    let running = rollouts.values().filter(|rollout| rollout.is_open());
    running.map(|rollout| (rollout.service.clone(), rollout.version.clone())).collect()
}

/// Takes what those that follow this VM have seen.
pub fn hear(vm: &Vm, seen: Vec<Seen>) {
    let mut trials = vm.trials.borrow_mut();
    for Seen { service, version, source, routes } in seen {
        trials.entry(service).or_default().hear(source, &version, routes);
    }
}

/// What this VM makes of all that it knows, for those that follow it.
pub fn verdicts(vm: &Vm) -> Vec<Told> {
    let trials = vm.trials.borrow();
    let verdict = |(service, version): (Service, Version)| {
        let verdict = trials.get(&service)?.verdict();
        Some(Told { service, version, verdict })
    };
    running(vm).into_iter().filter_map(verdict).collect()
}

/// Takes the verdicts of the VM that this one follows.
pub fn hear_verdicts(vm: &Vm, told: &[Told]) {
    let mut trials = vm.trials.borrow_mut();
    for Told { service, version, verdict } in told {
        trials.entry(service.clone()).or_default().hear_verdict(version, *verdict);
    }
}
