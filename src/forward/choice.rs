//! Which version and which backend server a request goes to, with the VM's knowledge as input.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

use super::call::Call;
use super::replica::{Phase, Replica};
use super::server::Server;
use super::vm::Vm;
use crate::decide::place::{self, Candidate};
use crate::unit::{Model, Moment, Server as Id, Service, Version};

/// What a request wants of its server.
pub struct Wish<'a> {
    /// The service.
    pub service: &'a Service,
    /// The request.
    pub call: &'a Call,
    /// The model, if it is known.
    pub model: Option<&'a Model>,
    /// Servers that were tried before.
    pub tried: &'a [Id],
}

/// Versions that a request may be sent to.
#[derive(Clone, Debug, PartialEq)]
pub enum Versions {
    /// This one only.
    Only(Version),
    /// All but this one.
    Except(Version),
    /// Any.
    Any,
}

impl Versions {
    fn allow(&self, version: &Version) -> bool {
        match self {
            Versions::Only(only) => version == only,
            Versions::Except(not) => version != not,
            Versions::Any => true,
        }
    }
}

/// A hash that all VMs work out alike, whatever their build.
pub fn stable_hash(parts: &[&str]) -> u64 {
    // `DefaultHasher::new` has fixed keys.
    let mut hasher = DefaultHasher::new();
    for part in parts {
        part.hash(&mut hasher);
    }
    hasher.finish()
}

/// A point from 0 to 1 that follows from a text.
pub fn point(parts: &[&str]) -> f64 {
    (stable_hash(parts) >> 11) as f64 / (1u64 << 53) as f64
}

/// The versions of a service that a request may be sent to now.
pub fn versions(vm: &Vm, service: &Service, call: &Call, now: Moment) -> Versions {
    let rollouts = vm.rollouts.borrow();
    let Some(rollout) = rollouts.get(service) else {
        return match vm.fleet.borrow().usual(service) {
            Some(usual) => Versions::Only(usual.clone()),
            None => Versions::Any,
        };
    };
    let old = Versions::Except(rollout.version.clone());
    let new = Versions::Only(rollout.version.clone());
    match rollout.phase {
        None | Some(Phase::RolledBack) => old,
        Some(Phase::Completed) => new,
        Some(Phase::Running { share }) => {
            let trials = vm.trials.borrow();
            let trial = trials.get(service);
            if trial.is_some_and(|trial| trial.is_bad()) {
                return old;
            }
            let gap = vm.settings.bounds.session_gap;
            let name = call.session.as_deref().unwrap_or(&call.id);
            let sessions = vm.sessions.borrow();
            let last = call.session.as_deref().and_then(|one| sessions.version(one, gap, now));
            let first_half = trial.is_none_or(|trial| trial.age(now).0 * 2 < rollout.within.0);
            match last {
                Some(last) if *last == rollout.version => new,
                Some(_) if first_half => old,
                _ if point(&[service.as_str(), rollout.version.as_str(), name]) < share => new,
                _ => old,
            }
        }
    }
}

/// The server for a request; none if none takes work.
pub fn server(vm: &Vm, wish: &Wish, now: Moment) -> Option<Replica> {
    let versions = versions(vm, wish.service, wish.call, now);
    let found = among(vm, wish, &versions, now);
    // While a version is tried, the other serves on if it alone has servers.
    let running = matches!(
        vm.rollouts.borrow().get(wish.service).map(|one| one.phase),
        Some(Some(Phase::Running { .. }))
    );
    match (found, versions) {
        (None, Versions::Only(version)) if running => {
            among(vm, wish, &Versions::Except(version), now)
        }
        (None, Versions::Only(_)) if !vm.rollouts.borrow().contains_key(wish.service) => {
            among(vm, wish, &Versions::Any, now)
        }
        (found, _) => found,
    }
}

fn among(vm: &Vm, wish: &Wish, versions: &Versions, now: Moment) -> Option<Replica> {
    let fleet = vm.fleet.borrow();
    let of_version = || fleet.of(wish.service).filter(|one| versions.allow(&one.replica.version));
    let untried = |one: &&Server| !wish.tried.contains(&one.replica.id);
    let sound = |one: &&Server| !one.record.is_out(now);
    let mut servers: Vec<&Server> = of_version().filter(untried).filter(sound).collect();
    // If all that is left is left out, its record may be wrong and refusing is no better.
    if servers.is_empty() {
        servers = of_version().filter(untried).collect();
    }
    let candidates: Vec<Candidate> =
        servers.iter().map(|server| candidate(vm, wish, server, now)).collect();
    let at = match home(wish).is_empty() {
        true => place::least_loaded(&candidates, rand::random()),
        false => place::at_home(&candidates),
    };
    at.map(|at| servers[at].replica.clone())
}

/// What names a prompt's home: the last part that other requests share.
fn home<'a>(wish: &Wish<'a>) -> &'a str {
    let shared = wish.call.prompt.len().saturating_sub(1);
    wish.call.prompt[..shared].last().map_or("", |part| part.id.as_str())
}

fn candidate(vm: &Vm, wish: &Wish, server: &Server, now: Moment) -> Candidate {
    let model = wish.model.map_or("", |model| model.as_str());
    let id = server.replica.id.as_str();
    Candidate {
        load: server.load(now),
        slots: f64::from(server.replica.slots),
        near: server.replica.data_centre == vm.settings.data_centre,
        affinity: stable_hash(&[home(wish), model, id]),
    }
}
