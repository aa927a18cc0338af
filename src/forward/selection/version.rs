//! Selects the version of a service for a request, and the servers that serve a version in a
//! rollout.

use crate::decide::canary;
use crate::forward::call::Call;
use crate::forward::pinned_sessions::{self, Draw};
use crate::forward::replica::Phase;
use crate::forward::rollout_trial::RolloutTrial;
use crate::forward::server::Server;
use crate::forward::vm::Vm;
use crate::unit::{Moment, Server as Id, Service, Version, hash};

/// Versions that a request may be sent to.
#[derive(Clone, Debug, PartialEq)]
pub enum Versions {
    /// Only this version.
    Only(Version),
    /// All versions but these.
    Except(Vec<Version>),
    /// Any version.
    Any,
}

impl Versions {
    /// Returns true if a request may be sent to `version`.
    pub fn contains(&self, version: &Version) -> bool {
        match self {
            Versions::Only(only) => version == only,
            Versions::Except(not) => !not.contains(version),
            Versions::Any => true,
        }
    }
}

/// Why a request goes to a version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reason {
    /// No rollout is running: there is none, or it has not begun, has completed or was rolled back.
    Settled,
    /// This VM has judged the new version bad.
    NewVersionBad,
    /// This VM has sent the session to the version before.
    SessionKept,
    /// Another VM reported the session as pinned to the old version ([`pinned_sessions`]).
    SessionPinned,
    /// Assigned by the draw of the session, or of a request without one: to the new version if the
    /// draw's point is below the new version's share.
    Drawn {
        /// Point of the draw, from 0 to 1; the same on all VMs for the same session.
        point: f64,
        /// The new version's share of the requests, from 0 to 1.
        share: f64,
        /// True if this VM has sent the session to any version before.
        known: bool,
    },
    /// The version that the request should go to has no available server.
    NoServerOfVersion,
}

impl std::fmt::Display for Reason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Reason::Settled => f.write_str("settled"),
            Reason::NewVersionBad => f.write_str("bad"),
            Reason::SessionKept => f.write_str("kept"),
            Reason::SessionPinned => f.write_str("kept, as another VM reported"),
            Reason::Drawn { point, share, known } => {
                write!(f, "drawn {point:.3} of {share:.3}{}", if *known { " again" } else { "" })
            }
            Reason::NoServerOfVersion => f.write_str("no server of its version"),
        }
    }
}

/// Returns the versions that serve besides a new one: neither it nor versions that were ordered
/// before it and not promoted, whose servers may still run. Versions of the last kind serve if no
/// other has servers: one may have been promoted without this VM's knowledge.
pub fn old_versions(vm: &Vm, service: &Service, new: &Version) -> Versions {
    let trials = vm.rollout_trials.borrow();
    let rejected = trials.get(service).into_iter().flat_map(RolloutTrial::rejected_versions);
    let excluded: Vec<Version> = rejected.chain([new]).cloned().collect();
    let has_rejected = excluded.len() > 1;
    let old = Versions::Except(excluded);
    let fleet = vm.fleet.borrow();
    let mut servers = fleet.of_service(service);
    if has_rejected && !servers.any(|server| old.contains(&server.replica.version)) {
        return Versions::Except(vec![new.clone()]);
    }
    old
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
        // Without a default version, any version may serve.
        return (usual.map_or(Versions::Any, Versions::Only), Reason::Settled);
    };
    let old = old_versions(vm, service, &rollout.version);
    let new = Versions::Only(rollout.version.clone());
    match rollout.phase {
        None | Some(Phase::RolledBack) => (old, Reason::Settled),
        Some(Phase::Completed) => (new, Reason::Settled),
        Some(Phase::Running { share }) => {
            let trials = vm.rollout_trials.borrow();
            let trial = trials.get(service);
            if trial.is_some_and(|trial| trial.is_bad()) {
                return (old, Reason::NewVersionBad);
            }
            let gap = vm.settings.bounds.session_gap;
            let name = call.session.as_deref().unwrap_or(&call.id);
            let sessions = vm.sessions.borrow();
            let last = call.session.as_deref().and_then(|one| sessions.version(one, gap, now));
            let is_young = pinned_sessions::is_pinning(vm, rollout, now);
            let draw = Draw::new(service, &rollout.version, name);
            let point = draw.point();
            let drawn = Reason::Drawn { point, share, known: last.is_some() };
            match last {
                Some(last) if *last == rollout.version => (new, Reason::SessionKept),
                Some(_) if is_young => (old, Reason::SessionKept),
                None if is_young && vm.pinned_sessions.borrow().is_pinned(draw, gap, now) => {
                    (old, Reason::SessionPinned)
                }
                _ if point < share => (new, drawn),
                _ => (old, drawn),
            }
        }
    }
}

/// Returns the share of the new version's servers that take part in its trial while a rollout runs,
/// or `None` if all servers of `versions` may serve.
pub fn trial_share(vm: &Vm, service: &Service, versions: &Versions) -> Option<f64> {
    let rollouts = vm.rollouts.borrow();
    let rollout = rollouts.get(service)?;
    let Some(Phase::Running { share }) = rollout.phase else { return None };
    let is_new = *versions == Versions::Only(rollout.version.clone());
    (is_new && share < 1.0).then_some(share)
}

/// Returns the ids of the servers that share the requests for the new version while a rollout runs,
/// or `None` if all servers of `versions` may serve. All VMs compute the same ids.
pub fn rollout_servers<'a>(
    vm: &Vm,
    service: &Service,
    versions: &Versions,
    servers: impl Iterator<Item = &'a Server>,
) -> Option<Vec<Id>> {
    let share = trial_share(vm, service, versions)?;
    let mut ranked: Vec<(u64, Id)> = servers
        .map(|server| server.replica.id.clone())
        .map(|id| (hash::stable(&[service.as_str(), id.as_str()]), id))
        .collect();
    ranked.sort();
    ranked.truncate(canary::trial_servers(share, ranked.len()));
    Some(ranked.into_iter().map(|(_, id)| id).collect())
}
