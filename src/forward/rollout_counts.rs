//! Aggregates the counts of trials over a large fleet. A trial compares the answers of the old and
//! the new version of a service while a rollout runs ([`super::rollout_trial`]).
//!
//! A VM sends its counts to the VM that it follows, and the first VM of a group (a data centre)
//! sends the sum of its group. So the VM that reads the store has the sum of all counts, judges the
//! version by that sum, and sends its verdict with its updates. Each of 295 VMs sees three answers
//! in a thousand by itself, and three in a hundred together with its neighbours on the ring, which
//! were the basis before this aggregation.
//!
//! Counts are totals since the order and replace the last ones from the same VM, or from the first
//! of the same group, so that nothing counts twice. A VM that restarts begins at zero.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::rollout_trial::{Source, TotalsByRoute, Verdict};
use super::vm::Vm;
use crate::unit::{Service, Version, Vm as Name};

/// Counts of a version from one source.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Observations {
    /// The service.
    pub service: Service,
    /// The new version.
    pub version: Version,
    /// Origin of the counts.
    pub source: Source,
    /// The counts by route.
    pub routes: TotalsByRoute,
}

/// Verdict on a version from the counts of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionVerdict {
    /// The service.
    pub service: Service,
    /// The new version.
    pub version: Version,
    /// The verdict.
    pub verdict: Verdict,
}

/// The counts that this VM last sent for each service, and to whom.
#[derive(Default)]
pub struct SentCounts {
    sent: HashMap<Service, (Name, Observations)>,
}

impl SentCounts {
    /// Returns the counts that the VM `to` has not received yet: those of this VM, or the sum of
    /// its group if this VM is the `first` of the group.
    pub fn unsent(&self, vm: &Vm, to: &Name, first: bool) -> Vec<Observations> {
        let is_unsent = |seen: &Observations| {
            let sent = self.sent.get(&seen.service);
            sent.is_none_or(|(sent_to, sent)| sent_to != to || sent != seen)
        };
        observations(vm, first).into_iter().filter(is_unsent).collect()
    }

    /// Records that the VM `to` has received the counts `seen`.
    pub fn record_sent(&mut self, to: &Name, seen: Vec<Observations>) {
        let sent = seen.into_iter().map(|one| (one.service.clone(), (to.clone(), one)));
        self.sent.extend(sent);
    }
}

/// Returns the counts of running rollouts, or no counts in a full mesh, where each VM broadcasts
/// its counts.
fn observations(vm: &Vm, first: bool) -> Vec<Observations> {
    if vm.peers.borrow().is_full_mesh() {
        return Vec::new();
    }
    let source = match first {
        true => Source::Group(vm.settings.data_centre.clone()),
        false => Source::Vm(vm.settings.vm.clone()),
    };
    let trials = vm.rollout_trials.borrow();
    let counts = |(service, version): (Service, Version)| {
        let trial = trials.get(&service)?;
        let routes = if first { trial.group_totals() } else { trial.own_totals().clone() };
        let seen = Observations { service, version, source: source.clone(), routes };
        (!seen.routes.is_empty()).then_some(seen)
    };
    running_rollouts(vm).into_iter().filter_map(counts).collect()
}

/// Returns the services with a running rollout and their new versions.
fn running_rollouts(vm: &Vm) -> Vec<(Service, Version)> {
    let rollouts = vm.rollouts.borrow();
    let running = rollouts.values().filter(|rollout| rollout.is_open());
    running.map(|rollout| (rollout.service.clone(), rollout.version.clone())).collect()
}

/// Applies counts from a VM that follows this one.
pub fn merge_counts(vm: &Vm, seen: Vec<Observations>) {
    let mut trials = vm.rollout_trials.borrow_mut();
    for Observations { service, version, source, routes } in seen {
        trials.entry(service).or_default().merge_totals(source, &version, routes);
    }
}

/// Returns this VM's verdicts on running rollouts, for the VMs that follow it.
pub fn verdicts(vm: &Vm) -> Vec<VersionVerdict> {
    let trials = vm.rollout_trials.borrow();
    let verdict = |(service, version): (Service, Version)| {
        let verdict = trials.get(&service)?.verdict();
        Some(VersionVerdict { service, version, verdict })
    };
    running_rollouts(vm).into_iter().filter_map(verdict).collect()
}

/// Applies the verdicts of the VM that this one follows.
pub fn apply_verdicts(vm: &Vm, verdicts: &[VersionVerdict]) {
    let mut trials = vm.rollout_trials.borrow_mut();
    for VersionVerdict { service, version, verdict } in verdicts {
        trials.entry(service.clone()).or_default().set_upstream_verdict(version, *verdict);
    }
}
