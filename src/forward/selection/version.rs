//! Selects the version of a service for a request, and the servers that serve a version in a
//! rollout.

use crate::decide::canary;
use crate::forward::call::Call;
use crate::forward::pinned::{self, Draw};
use crate::forward::replica::Phase;
use crate::forward::server::Server;
use crate::forward::vm::Vm;
use crate::unit::{Moment, Server as Id, Service, Version, hash};

/// Versions that a request may be sent to.
#[derive(Clone, Debug, PartialEq)]
pub enum Versions {
    /// Only this version.
    Only(Version),
    /// All versions but this one.
    Except(Version),
    /// Any version.
    Any,
}

impl Versions {
    /// Returns true if the version is among them.
    pub fn contains(&self, version: &Version) -> bool {
        match self {
            Versions::Only(only) => version == only,
            Versions::Except(not) => version != not,
            Versions::Any => true,
        }
    }
}

/// Why a request goes to a version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reason {
    /// No rollout is in progress.
    Settled,
    /// This VM has judged the new version bad.
    Bad,
    /// This VM has sent the session to that version before.
    Kept,
    /// Another VM reported that the session was sent to that version.
    Heard,
    /// Chosen by comparing the request's point, from 0 to 1, with the new version's share.
    Drawn {
        /// The point, the same on all VMs for the same session.
        point: f64,
        /// The new version's share of the requests, from 0 to 1.
        share: f64,
        /// Set if this VM has sent the session to a version before.
        known: bool,
    },
    /// The version that the request should go to has no available server.
    Elsewhere,
}

impl std::fmt::Display for Reason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Reason::Settled => f.write_str("settled"),
            Reason::Bad => f.write_str("bad"),
            Reason::Kept => f.write_str("kept"),
            Reason::Heard => f.write_str("kept, as another VM reported"),
            Reason::Drawn { point, share, known } => {
                write!(f, "drawn {point:.3} of {share:.3}{}", if *known { " again" } else { "" })
            }
            Reason::Elsewhere => f.write_str("no server of its version"),
        }
    }
}

/// Returns the versions of a service that a request may be sent to now, and the reason.
pub fn eligible_versions(
    vm: &Vm,
    service: &Service,
    call: &Call,
    now: Moment,
) -> (Versions, Reason) {
    let rollouts = vm.rollouts.borrow();
    let Some(rollout) = rollouts.get(service) else {
        let usual = vm.fleet.borrow().default_version(service).cloned();
        return (usual.map_or(Versions::Any, Versions::Only), Reason::Settled);
    };
    let old = Versions::Except(rollout.version.clone());
    let new = Versions::Only(rollout.version.clone());
    match rollout.phase {
        None | Some(Phase::RolledBack) => (old, Reason::Settled),
        Some(Phase::Completed) => (new, Reason::Settled),
        Some(Phase::Running { share }) => {
            let trials = vm.trials.borrow();
            let trial = trials.get(service);
            if trial.is_some_and(|trial| trial.is_bad()) {
                return (old, Reason::Bad);
            }
            let gap = vm.settings.bounds.session_gap;
            let name = call.session.as_deref().unwrap_or(&call.id);
            let sessions = vm.sessions.borrow();
            let last = call.session.as_deref().and_then(|one| sessions.version(one, gap, now));
            let is_young = pinned::is_pinning(vm, rollout, now);
            let draw = Draw::new(service, &rollout.version, name);
            let point = draw.point();
            let drawn = Reason::Drawn { point, share, known: last.is_some() };
            match last {
                Some(last) if *last == rollout.version => (new, Reason::Kept),
                Some(_) if is_young => (old, Reason::Kept),
                None if is_young && vm.pinned_sessions.borrow().is_pinned(draw, gap, now) => {
                    (old, Reason::Heard)
                }
                _ if point < share => (new, drawn),
                _ => (old, drawn),
            }
        }
    }
}

/// Returns the servers that share the requests of a version in a rollout, or none if all of them
/// do. All VMs compute the same servers.
pub fn trial_servers<'a>(
    vm: &Vm,
    service: &Service,
    versions: &Versions,
    servers: impl Iterator<Item = &'a Server>,
) -> Option<Vec<Id>> {
    let rollouts = vm.rollouts.borrow();
    let rollout = rollouts.get(service)?;
    let Some(Phase::Running { share }) = rollout.phase else { return None };
    if *versions != Versions::Only(rollout.version.clone()) || share >= 1.0 {
        return None;
    }
    let mut ranked: Vec<(u64, Id)> = servers
        .map(|server| server.replica.id.clone())
        .map(|id| (hash::stable(&[service.as_str(), id.as_str()]), id))
        .collect();
    ranked.sort();
    ranked.truncate(canary::trial_servers(share, ranked.len()));
    Some(ranked.into_iter().map(|(_, id)| id).collect())
}
