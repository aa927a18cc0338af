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

use super::trial::{Source, TotalsByRoute, Verdict};
use super::vm::Vm;
use crate::unit::{Service, Version, Vm as Name};

/// What a source has seen of a version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Observations {
    /// The service.
    pub service: Service,
    /// The new version.
    pub version: Version,
    /// Whose counts they are.
    pub source: Source,
    /// The counts by route.
    pub routes: TotalsByRoute,
}

/// What the fleet's evidence says of a version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionVerdict {
    /// The service.
    pub service: Service,
    /// The new version.
    pub version: Version,
    /// What was seen, and what it says.
    pub verdict: Verdict,
}

/// What one VM was told last by this one, for each service.
#[derive(Default)]
pub struct SentCounts {
    sent: HashMap<Service, (Name, Observations)>,
}

impl SentCounts {
    /// What the VM `to` does not know yet of what this one has seen; of its group, if this is the `first`.
    pub fn unsent(&self, vm: &Vm, to: &Name, first: bool) -> Vec<Observations> {
        let is_unsent = |seen: &Observations| {
            let sent = self.sent.get(&seen.service);
            sent.is_none_or(|(sent_to, sent)| sent_to != to || sent != seen)
        };
        observations(vm, first).into_iter().filter(is_unsent).collect()
    }

    /// The VM `to` has taken what it was told.
    pub fn record_sent(&mut self, to: &Name, seen: Vec<Observations>) {
        let sent = seen.into_iter().map(|one| (one.service.clone(), (to.clone(), one)));
        self.sent.extend(sent);
    }
}

/// Counts of the roll-outs that run. Among few VMs each tells each, so there are none to pass on.
fn observations(vm: &Vm, first: bool) -> Vec<Observations> {
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
        let routes = if first { trial.group_totals() } else { trial.own_totals().clone() };
        let seen = Observations { service, version, source: source.clone(), routes };
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
pub fn merge_counts(vm: &Vm, seen: Vec<Observations>) {
    let mut trials = vm.trials.borrow_mut();
    for Observations { service, version, source, routes } in seen {
        trials.entry(service).or_default().merge_totals(source, &version, routes);
    }
}

/// What this VM makes of all that it knows, for those that follow it.
pub fn verdicts(vm: &Vm) -> Vec<VersionVerdict> {
    let trials = vm.trials.borrow();
    let verdict = |(service, version): (Service, Version)| {
        let verdict = trials.get(&service)?.verdict();
        Some(VersionVerdict { service, version, verdict })
    };
    running(vm).into_iter().filter_map(verdict).collect()
}

/// Takes the verdicts of the VM that this one follows.
pub fn apply_verdicts(vm: &Vm, verdicts: &[VersionVerdict]) {
    let mut trials = vm.trials.borrow_mut();
    for VersionVerdict { service, version, verdict } in verdicts {
        trials.entry(service.clone()).or_default().set_upstream_verdict(version, *verdict);
    }
}
