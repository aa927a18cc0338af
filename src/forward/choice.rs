//! Which version and which backend server a request goes to, with the VM's knowledge as input.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::rc::Rc;

use super::call::Call;
use super::cold::Gate;
use super::kept::{self, Draw};
use super::peer;
use super::replica::{Phase, Replica};
use super::server::{Fleet, Server};
use super::vm::Vm;
use crate::config::Regions;
use crate::decide::canary;
use crate::decide::limit;
use crate::decide::place::{self, Candidate};
use crate::unit::{Model, Moment, Server as Id, Service, Span, Version};

/// What a request wants of its server.
pub struct Wish<'a> {
    /// The service.
    pub service: &'a Service,
    /// The request.
    pub call: &'a Call,
    /// Size of its body.
    pub bytes: usize,
    /// Where it may go, by its route and by its workspace, if a key names one.
    pub regions: [Option<&'a Regions>; 2],
    /// The model, if it is known.
    pub model: Option<&'a Model>,
    /// Lives of servers that were tried before.
    pub tried: &'a [Replica],
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

impl Wish<'_> {
    /// Whether this life of a server was tried before.
    fn has_tried(&self, replica: &Replica) -> bool {
        self.tried.iter().any(|tried| tried.is_life_of(replica))
    }

    /// Whether it may go to a server, as far as its regions say.
    fn allows(&self, vm: &Vm, server: &Server) -> bool {
        let region = vm.settings.regions.get(&server.replica.data_centre);
        self.regions.iter().flatten().all(|regions| regions.allow(region))
    }
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

/// A text that stands for another one in logs.
pub fn short_hash(text: &str) -> String {
    format!("{:08x}", stable_hash(&[text]) >> 32)
}

/// A point from 0 to 1 that follows from a hash.
pub fn point(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1u64 << 53) as f64
}

/// Why a request goes to a version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Why {
    /// No trial runs.
    Settled,
    /// This VM found the new version bad.
    Bad,
    /// Its session was sent there before.
    Kept,
    /// Another VM had sent its session there.
    Heard,
    /// Its point, from 0 to 1, lies below the new version's share, or not.
    Drawn {
        /// The point.
        point: f64,
        /// The share.
        share: f64,
        /// Whether this VM had sent its session to a version before.
        known: bool,
    },
    /// The version that it should go to has no server that takes it.
    Elsewhere,
}

impl std::fmt::Display for Why {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Why::Settled => f.write_str("settled"),
            Why::Bad => f.write_str("bad"),
            Why::Kept => f.write_str("kept"),
            Why::Heard => f.write_str("kept, as another VM said"),
            Why::Drawn { point, share, known } => {
                write!(f, "drawn {point:.3} of {share:.3}{}", if *known { " again" } else { "" })
            }
            Why::Elsewhere => f.write_str("no server of its version"),
        }
    }
}

/// The versions of a service that a request may be sent to now, and why these.
pub fn versions(vm: &Vm, service: &Service, call: &Call, now: Moment) -> (Versions, Why) {
    let rollouts = vm.rollouts.borrow();
    let Some(rollout) = rollouts.get(service) else {
        let usual = vm.fleet.borrow().usual(service).cloned();
        return (usual.map_or(Versions::Any, Versions::Only), Why::Settled);
    };
    let old = Versions::Except(rollout.version.clone());
    let new = Versions::Only(rollout.version.clone());
    match rollout.phase {
        None | Some(Phase::RolledBack) => (old, Why::Settled),
        Some(Phase::Completed) => (new, Why::Settled),
        Some(Phase::Running { share }) => {
            let trials = vm.trials.borrow();
            let trial = trials.get(service);
            if trial.is_some_and(|trial| trial.is_bad()) {
                return (old, Why::Bad);
            }
            let gap = vm.settings.bounds.session_gap;
            let name = call.session.as_deref().unwrap_or(&call.id);
            let sessions = vm.sessions.borrow();
            let last = call.session.as_deref().and_then(|one| sessions.version(one, gap, now));
            let is_young = kept::is_young(vm, rollout, now);
            let draw = Draw::new(service, &rollout.version, name);
            let point = draw.point();
            let drawn = Why::Drawn { point, share, known: last.is_some() };
            match last {
                Some(last) if *last == rollout.version => (new, Why::Kept),
                Some(_) if is_young => (old, Why::Kept),
                None if is_young && vm.kept.borrow().has(draw, gap, now) => (old, Why::Heard),
                _ if point < share => (new, drawn),
                _ => (old, drawn),
            }
        }
    }
}

/// The server for a request.
#[derive(Clone, Debug)]
pub struct Place {
    /// The server.
    pub replica: Replica,
    /// Time until the prompt is expected to be read there.
    pub until_read: Span,
    /// The part of it that is the reading of this prompt.
    pub reads: Span,
    /// Why its version.
    pub why: Why,
    /// Whether its turn at a cold server was taken when it began to wait for it.
    pub has_turn: bool,
    /// Servers of the service that were passed over though they do not leave.
    pub passed: Passed,
}

/// How many servers a request could not go to, and why.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Passed {
    /// In data centres that an order empties.
    pub emptied: usize,
    /// Cold ones whose turn was not this VM's, or not yet.
    pub cold: usize,
}

impl Passed {
    fn count(fleet: &Fleet, gate: &Gate, service: &Service) -> Passed {
        let cold = fleet.of(service).filter(|one| !gate.lets(one)).count();
        Passed { emptied: fleet.emptied_of(service), cold }
    }
}

impl std::fmt::Display for Passed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "passing over {} emptied, {} cold", self.emptied, self.cold)
    }
}

/// A turn at a cold server that a request waits for.
pub struct Turn {
    /// The server.
    pub server: Id,
    /// When it is.
    pub at: Moment,
}

/// Takes the next turn at a cold server, if it comes by `until`; for a request that no server takes at once.
pub fn turn(vm: &Vm, wish: &Wish, until: Moment, now: Moment) -> Option<Turn> {
    let (versions, _) = versions(vm, wish.service, wish.call, now);
    let gate = Gate::new(vm, wish.service, now);
    let part = gate.part()?;
    let mut fleet = vm.fleet.borrow_mut();
    let cold = fleet.of(wish.service).filter(|one| {
        let replica = &one.replica;
        let is_allowed = versions.allow(&replica.version) && wish.allows(vm, one);
        gate.is_cold(one) && is_allowed && !wish.has_tried(replica)
    });
    let turns = cold.filter_map(|one| Some((gate.turn(one)?, one.replica.id.clone())));
    let (at, server) = turns.min().filter(|(at, _)| *at <= until)?;
    fleet.get_mut(&server)?.turns.take(&part, now);
    Some(Turn { server, at })
}

/// The server whose turn a request has waited for, if it still takes work.
pub fn at_turn(vm: &Vm, wish: &Wish, turn: &Turn, now: Moment) -> Option<Place> {
    let (versions, why) = versions(vm, wish.service, wish.call, now);
    let fleet = vm.fleet.borrow();
    let server = fleet.of(wish.service).find(|one| one.replica.id == turn.server)?;
    if !versions.allow(&server.replica.version) || server.record.is_out(now) {
        return None;
    }
    let prompt = Prompt::new(wish, &[server]);
    let candidate = candidate(vm, wish, &prompt, server, now);
    Some(Place::of(server, &candidate, why, true))
}

impl Place {
    fn of(server: &Server, candidate: &Candidate, why: Why, has_turn: bool) -> Place {
        let Candidate { until_read, reads, .. } = *candidate;
        let replica = server.replica.clone();
        Place { replica, until_read, reads, why, has_turn, passed: Passed::default() }
    }
}

/// The server for a request; none if none takes work.
pub fn server(vm: &Vm, wish: &Wish, now: Moment) -> Option<Place> {
    let (versions, why) = versions(vm, wish.service, wish.call, now);
    let found = among(vm, wish, &versions, why, now);
    // While a version is tried, the other serves on if it alone has servers.
    let running = matches!(
        vm.rollouts.borrow().get(wish.service).map(|one| one.phase),
        Some(Some(Phase::Running { .. }))
    );
    match (found, versions) {
        (None, Versions::Only(version)) if running => {
            among(vm, wish, &Versions::Except(version), Why::Elsewhere, now)
        }
        (None, Versions::Only(_)) if !vm.rollouts.borrow().contains_key(wish.service) => {
            among(vm, wish, &Versions::Any, Why::Elsewhere, now)
        }
        (found, _) => found,
    }
}

fn among(vm: &Vm, wish: &Wish, versions: &Versions, why: Why, now: Moment) -> Option<Place> {
    let fleet = vm.fleet.borrow();
    let gate = Gate::new(vm, wish.service, now);
    let of_version = || {
        let allowed = |one: &&Server| versions.allow(&one.replica.version);
        let within = |one: &&Server| wish.allows(vm, one);
        fleet.of(wish.service).filter(allowed).filter(within).filter(|one| gate.lets(one))
    };
    let sound = |one: &&Server| !one.record.is_out(now);
    let busy = busy(vm, wish.service, versions, of_version().filter(sound));
    let most = connections_each(vm, wish.service, now);
    let untried = |one: &&Server| !wish.has_tried(&one.replica) && one.open < most;
    let in_trial = |one: &&Server| busy.as_ref().is_none_or(|busy| busy.contains(&one.replica.id));
    let mut servers: Vec<&Server> =
        of_version().filter(untried).filter(sound).filter(in_trial).collect();
    // A repeat stays with its version, on servers beyond those of the trial.
    if servers.is_empty() {
        servers = of_version().filter(untried).filter(sound).collect();
    }
    // If all that is left is left out, its record may be wrong and refusing is no better.
    if servers.is_empty() {
        servers = of_version().filter(untried).collect();
    }
    let prompt = Prompt::new(wish, &servers);
    let candidates: Vec<Candidate> =
        servers.iter().map(|server| candidate(vm, wish, &prompt, server, now)).collect();
    let at = match wish.call.prompt.is_empty() {
        true => place::least_loaded(&candidates, rand::random()),
        false => place::soonest(&candidates, wish.bytes),
    };
    at.map(|at| {
        let passed = Passed::count(&fleet, &gate, wish.service);
        Place { passed, ..Place::of(servers[at], &candidates[at], why, false) }
    })
}

/// Requests that this VM may have open at one server: its part of the connections that the server
/// takes from all VMs together; beyond them it resets.
fn connections_each(vm: &Vm, service: &Service, now: Moment) -> u32 {
    let declared = vm.routes().and_then(|table| table.pool(service).map(|pool| pool.connections));
    let vms = vm.peers.borrow().present(now) as u32;
    declared.map_or(u32::MAX, |all| limit::even_part(all, vms))
}

/// The servers of a version under trial that share its requests, the same on all VMs; none if all
/// of them do.
fn busy<'a>(
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
        .map(|id| (stable_hash(&[service.as_str(), id.as_str()]), id))
        .collect();
    ranked.sort();
    ranked.truncate(canary::busy_servers(share, ranked.len()));
    Some(ranked.into_iter().map(|(_, id)| id).collect())
}

/// The parts of a prompt, and where the shared ones are thought to be.
pub struct Prompt {
    parts: Vec<Part>,
    /// The server where requests that share the last shared part go first.
    home: Option<Id>,
}

/// One part of a prompt.
struct Part {
    /// Hash of the part with the model, since models share nothing.
    hash: u64,
    tokens: u64,
}

impl Prompt {
    fn new(wish: &Wish, servers: &[&Server]) -> Prompt {
        let parts = parts(wish.call, wish.model);
        let Some(shared) = parts.len().checked_sub(2) else { return Prompt { parts, home: None } };
        let name = parts[shared].hash.to_string();
        let rank = |server: &&&Server| stable_hash(&[&name, server.replica.id.as_str()]);
        let home = servers.iter().max_by_key(rank).map(|server| server.replica.id.clone());
        Prompt { parts, home }
    }

    /// Tokens that a server would have to read: parts from the first that it does not hold.
    pub fn unread(&self, server: &Server, now: Moment) -> u64 {
        let at_home = self.home.as_ref() == Some(&server.replica.id);
        let last = self.parts.len().saturating_sub(1);
        let held = |at: usize, part: &Part| (at_home && at < last) || server.holds(part.hash, now);
        let first = self.parts.iter().enumerate().position(|(at, part)| !held(at, part));
        let from = first.unwrap_or(self.parts.len());
        self.parts[from..].iter().map(|part| part.tokens).sum()
    }
}

fn parts(call: &Call, model: Option<&Model>) -> Vec<Part> {
    let model = model.map_or("", |model| model.as_str());
    let part = |part: &super::call::PromptPart| Part {
        hash: stable_hash(&[&part.id, model]),
        tokens: part.tokens,
    };
    call.prompt.iter().map(part).collect()
}

/// What is expected of a request that was sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sent {
    /// Tokens of the whole prompt.
    pub prompt: u64,
    /// Tokens that the server had to read.
    pub unread: u64,
    /// Time until the server comes to it.
    pub waits: Span,
    /// Time that the server needs to read it.
    pub reads: Span,
    /// Requests that the server was thought to hold.
    pub load: f64,
    /// Time until the prompt is read if the server works at the usual pace and holds only what this
    /// VM sent it; none if the request has no prompt.
    pub expected: Option<Span>,
}

/// Notes that a request was sent: its prompt waits at the server, which then holds its parts.
pub fn sent(vm: &Rc<Vm>, place: &Place, call: &Call, model: Option<&Model>, now: Moment) -> Sent {
    let replica = &place.replica;
    let mut fleet = vm.fleet.borrow_mut();
    let Some(server) = fleet.life_mut(replica) else { return Sent::default() };
    if !place.has_turn {
        Gate::new(vm, &replica.service, now).count(server);
    }
    let load = server.load(now);
    if call.prompt.is_empty() {
        return Sent { load, ..Sent::default() };
    }
    let prompt = Prompt { parts: parts(call, model), home: None };
    let unread = prompt.unread(server, now);
    let tokens = prompt.parts.iter().map(|part| part.tokens).sum();
    let reads = vm.reading(model, unread);
    let waits = server.backlog.left(now);
    let expected = Some(Span(server.backlog.usual(now).0 + reads.0));
    server.backlog.add(reads, now);
    for part in prompt.parts {
        server.hold(part.hash, now);
    }
    drop(fleet);
    peer::tell_work(vm, &replica.id, reads);
    Sent { prompt: tokens, unread, waits, reads, load, expected }
}

fn candidate(vm: &Vm, wish: &Wish, prompt: &Prompt, server: &Server, now: Moment) -> Candidate {
    let reading = vm.reading(wish.model, prompt.unread(server, now));
    Candidate {
        load: server.load(now),
        slots: f64::from(server.replica.slots),
        near: server.replica.data_centre == vm.settings.data_centre,
        until_read: Span(server.backlog.left(now).0 + reading.0),
        reads: reading,
    }
}
