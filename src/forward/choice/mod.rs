//! Which version and which backend server a request goes to, with the VM's knowledge as input.

mod prompt;
mod version;

use std::rc::Rc;

use super::call::Call;
use super::peer;
use super::rate_limit::{self, Limiter, Permit};
use super::replica::{Phase, Replica};
use super::server::{Fleet, Server};
use super::vm::Vm;
use crate::config::Regions;
use crate::decide::limit;
use crate::decide::place::{self, Candidate};
use crate::decide::standing::{self, Bar};
use crate::unit::{Model, Moment, Rate, Service, Span};

use prompt::Prompt;
pub use version::{Versions, Why};
use version::{busy, versions};

/// Requests that wait for the end of one rest look for a server within so long after it.
const APART: Span = Span::millis(20);

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
    /// Its turn, if it has waited for one.
    pub turn: Option<Rc<Permit>>,
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
    /// Those that name a limit, likewise.
    pub limited: usize,
    /// Those that want rest.
    pub resting: usize,
}

impl Passed {
    fn count(fleet: &Fleet, access: &Limiter, service: &Service, now: Moment) -> Passed {
        let (mut cold, mut limited) = (0, 0);
        for server in fleet.eligible(service, now).filter(|one| !access.allows(one)) {
            match access.is_cold(server) {
                true => cold += 1,
                false => limited += 1,
            }
        }
        let resting = fleet.backing_off(service, now).count();
        Passed { emptied: fleet.count_evacuated(service), cold, limited, resting }
    }
}

impl std::fmt::Display for Passed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Passed { emptied, cold, limited, resting } = self;
        write!(
            f,
            "passing over {emptied} emptied, {cold} cold, {resting} resting, {limited} limited"
        )
    }
}

/// What a request waits for that no server takes at once: its turn at a server that bears only so much, or the end of a server's rest, when
/// it is looked for a server anew.
pub struct Wait {
    /// When that comes.
    pub until: Moment,
    /// Its turn.
    pub turn: Option<Permit>,
}

/// What comes by `until`, if anything does.
pub fn wait(vm: &Rc<Vm>, wish: &Wish, until: Moment, now: Moment) -> Option<Wait> {
    turn_wait(vm, wish, until, now).or_else(|| rest_wait(vm, wish, until, now))
}

/// The end of the first rest. Requests that wait for the same do not all look at one moment.
fn rest_wait(vm: &Vm, wish: &Wish, until: Moment, now: Moment) -> Option<Wait> {
    let (versions, _) = versions(vm, wish.service, wish.call, now);
    let fleet = vm.fleet.borrow();
    let resting = fleet.backing_off(wish.service, now).filter(|(one, _)| {
        let replica = &one.replica;
        versions.allow(&replica.version) && wish.allows(vm, one) && !wish.has_tried(replica)
    });
    let left = resting.map(|(_, left)| left).min()?;
    let at = now + left + APART.part(rand::random());
    (at <= until).then_some(Wait { until: at, turn: None })
}

/// Takes the next turn at a server that bears only so much.
fn turn_wait(vm: &Rc<Vm>, wish: &Wish, until: Moment, now: Moment) -> Option<Wait> {
    let (versions, _) = versions(vm, wish.service, wish.call, now);
    let access = rate_limit::limiter(vm, wish.service, now);
    let mut fleet = vm.fleet.borrow_mut();
    let allowed = fleet.eligible(wish.service, now).filter(|one| {
        let replica = &one.replica;
        versions.allow(&replica.version) && wish.allows(vm, one) && !wish.has_tried(replica)
    });
    let turns = allowed.filter_map(|one| Some((access.next_permit(one)?, &one.replica)));
    let first =
        turns.min_by(|(at, one), (other_at, other)| (at, &one.id).cmp(&(other_at, &other.id)));
    let (at, replica) = first.filter(|(at, _)| *at <= until)?;
    let replica = replica.clone();
    let turn = Permit::reserve(vm, &mut fleet, &replica, now);
    Some(Wait { until: at, turn: Some(turn) })
}

/// The server whose turn a request has waited for, if it still takes work.
pub fn at_turn(vm: &Vm, wish: &Wish, wait: Wait, now: Moment) -> Option<Place> {
    let turn = wait.turn?;
    let (versions, why) = versions(vm, wish.service, wish.call, now);
    let fleet = vm.fleet.borrow();
    let server = fleet.eligible(wish.service, now).find(|one| one.replica.id == turn.server().id);
    let server = server
        .filter(|one| versions.allow(&one.replica.version) && one.availability.bar(now).is_none());
    let place = server.map(|server| {
        let prompt = Prompt::new(wish, &[server]);
        Place::of(server, &candidate(vm, wish, &prompt, server, now), why)
    });
    // A turn that is given back looks for its server.
    drop(fleet);
    Some(Place { turn: Some(Rc::new(turn)), ..place? })
}

impl Place {
    fn of(server: &Server, candidate: &Candidate, why: Why) -> Place {
        let Candidate { until_read, reads, .. } = *candidate;
        let replica = server.replica.clone();
        Place { replica, until_read, reads, why, turn: None, passed: Passed::default() }
    }
}

/// The server for a request; none if none takes work.
pub fn server(vm: &Vm, wish: &Wish, now: Moment) -> Option<Place> {
    let (versions, why) = versions(vm, wish.service, wish.call, now);
    let found = among(vm, wish, &versions, why, now);
    if found.is_none() && is_back_soon(vm, wish, &versions, why, now) {
        return None;
    }
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

/// Whether a server of these versions takes requests again in a moment, so that a request stays with its version: it wants rest, or it
/// named a limit and its turn comes later. What was only drawn for a version goes elsewhere rather than wait for a turn.
fn is_back_soon(vm: &Vm, wish: &Wish, versions: &Versions, why: Why, now: Moment) -> bool {
    let fleet = vm.fleet.borrow();
    let is_meant = |one: &Server| versions.allow(&one.replica.version) && wish.allows(vm, one);
    let is_limited = |one: &Server| one.availability.limit.rate(now).is_some();
    let mut resting = fleet.backing_off(wish.service, now);
    let mut taking = fleet.eligible(wish.service, now);
    resting.any(|(one, _)| is_meant(one))
        || (!matches!(why, Why::Drawn { .. }) && taking.any(|one| is_meant(one) && is_limited(one)))
}

/// When to come back, if all servers that a request may go to want rest or bear only so much: when the first rest ends or the first turn comes.
pub fn come_back(vm: &Vm, wish: &Wish, now: Moment) -> Option<Span> {
    let fleet = vm.fleet.borrow();
    let access = rate_limit::limiter(vm, wish.service, now);
    let is_meant = |one: &&Server| wish.allows(vm, one);
    let taking = || fleet.eligible(wish.service, now).filter(is_meant);
    if taking().any(|one| access.rate_limit(one).is_none()) {
        return None;
    }
    let resting = fleet.backing_off(wish.service, now).filter(|(one, _)| is_meant(one));
    let turns = taking().filter_map(|one| access.next_permit(one)).map(|turn| turn.since(now));
    standing::come_back(resting.map(|(_, left)| left).chain(turns), rand::random())
}

fn among(vm: &Vm, wish: &Wish, versions: &Versions, why: Why, now: Moment) -> Option<Place> {
    let fleet = vm.fleet.borrow();
    let access = rate_limit::limiter(vm, wish.service, now);
    let of_version = || {
        let allowed = |one: &&Server| versions.allow(&one.replica.version);
        let within = |one: &&Server| wish.allows(vm, one);
        fleet
            .eligible(wish.service, now)
            .filter(allowed)
            .filter(within)
            .filter(|one| access.allows(one))
    };
    let sound = |one: &&Server| one.availability.bar(now).is_none();
    let busy = busy(vm, wish.service, versions, of_version().filter(sound));
    let most = connections_each(vm, wish.service, now);
    let untried = |one: &&Server| !wish.has_tried(&one.replica) && one.load.open() < most;
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
        let passed = Passed::count(&fleet, &access, wish.service, now);
        Place { passed, ..Place::of(servers[at], &candidates[at], why) }
    })
}

/// Requests that this VM may have open at one server: its part of the connections that the server
/// takes from all VMs together; beyond them it resets.
fn connections_each(vm: &Vm, service: &Service, now: Moment) -> u32 {
    let declared = vm.routes().and_then(|table| table.pool(service).map(|pool| pool.connections));
    let vms = vm.peers.borrow().count_live(now) as u32;
    declared.map_or(u32::MAX, |all| limit::even_part(all, vms))
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
    /// What the server had said against it.
    pub bar: Option<Bar>,
    /// The limit that it had named, and how long ago it did so first.
    pub limit: Option<(Rate, Span)>,
}

/// Notes that a request was sent: its prompt waits at the server, which then holds its parts.
pub fn sent(vm: &Rc<Vm>, place: &Place, call: &Call, model: Option<&Model>, now: Moment) -> Sent {
    let replica = &place.replica;
    let mut fleet = vm.fleet.borrow_mut();
    let Some(server) = fleet.incarnation_mut(replica) else { return Sent::default() };
    let (load, bar) = (server.load.level(now), server.availability.bar(now));
    let limit = server.availability.limit.rate(now).zip(server.availability.limit.age(now));
    server.availability.send(now);
    if call.prompt.is_empty() {
        return Sent { load, bar, limit, ..Sent::default() };
    }
    let prompt = Prompt::sent(call, model);
    let unread = prompt.unread(server, now);
    let tokens = prompt.tokens();
    let reads = vm.prefill_time(model, unread);
    let waits = server.backlog.left(now);
    let expected = Some(Span(server.backlog.usual(now).0 + reads.0));
    server.backlog.add(reads, now);
    prompt.hashes().for_each(|part| server.record_prefix(part, now));
    drop(fleet);
    peer::broadcast_work(vm, &replica.id, reads);
    Sent { prompt: tokens, unread, waits, reads, load, expected, bar, limit }
}

fn candidate(vm: &Vm, wish: &Wish, prompt: &Prompt, server: &Server, now: Moment) -> Candidate {
    let reading = vm.prefill_time(wish.model, prompt.unread(server, now));
    Candidate {
        load: server.load.level(now),
        slots: f64::from(server.replica.slots),
        near: server.replica.data_centre == vm.settings.data_centre,
        until_read: Span(server.backlog.left(now).0 + reading.0),
        reads: reading,
    }
}
