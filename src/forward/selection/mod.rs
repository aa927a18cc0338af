//! Which version and which backend server a request goes to, with the VM's knowledge as input.

mod prompt;
mod version;

use std::rc::Rc;

use prompt::Prompt;
use version::{eligible_versions, trial_servers};

use super::call::Call;
use super::peer;
use super::rate_limit::{self, Limiter, Permit};
use super::replica::{Phase, Replica};
use super::server::{Fleet, Server};
use super::vm::Vm;
use crate::config::Regions;
use crate::decide::availability::{self, Unavailable};
use crate::decide::limit;
use crate::decide::placement::{self, Candidate};
use crate::unit::{Model, Moment, Rate, Service, Span};

pub use version::{Reason, Versions};

/// Requests that wait for the end of one rest look for a server within so long after it.
const APART: Span = Span::millis(20);

/// What a request wants of its server.
pub struct Criteria<'a> {
    /// The service.
    pub service: &'a Service,
    /// The request.
    pub call: &'a Call,
    /// Size of its body.
    pub body_bytes: usize,
    /// Where it may go, by its route and by its workspace, if a key names one.
    pub regions: [Option<&'a Regions>; 2],
    /// The model, if it is known.
    pub model: Option<&'a Model>,
    /// Lives of servers that were tried before.
    pub tried: &'a [Replica],
}

impl Criteria<'_> {
    /// Whether this life of a server was tried before.
    fn has_tried(&self, replica: &Replica) -> bool {
        self.tried.iter().any(|tried| tried.is_same_incarnation(replica))
    }

    /// Whether it may go to a server, as far as its regions say.
    fn allows(&self, vm: &Vm, server: &Server) -> bool {
        let region = vm.settings.regions.get(&server.replica.data_centre);
        self.regions.iter().flatten().all(|regions| regions.allow(region))
    }
}

/// The server for a request.
#[derive(Clone, Debug)]
pub struct Placement {
    /// The server.
    pub replica: Replica,
    /// Time until the prompt is expected to be read there.
    pub until_prefilled: Span,
    /// The part of it that is the reading of this prompt.
    pub prefill_time: Span,
    /// Why its version.
    pub reason: Reason,
    /// Its turn, if it has waited for one.
    pub turn: Option<Rc<Permit>>,
    /// Servers of the service that were passed over though they do not leave.
    pub skipped: Skipped,
}

/// How many servers a request could not go to, and why.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Skipped {
    /// In data centres that an order empties.
    pub emptied: usize,
    /// Cold ones whose turn was not this VM's, or not yet.
    pub cold: usize,
    /// Those that name a limit, likewise.
    pub limited: usize,
    /// Those that want rest.
    pub resting: usize,
}

impl Skipped {
    fn count(fleet: &Fleet, access: &Limiter, service: &Service, now: Moment) -> Skipped {
        let (mut cold, mut limited) = (0, 0);
        for server in fleet.eligible(service, now).filter(|one| !access.allows(one)) {
            match access.is_cold(server) {
                true => cold += 1,
                false => limited += 1,
            }
        }
        let resting = fleet.backing_off(service, now).count();
        Skipped { emptied: fleet.count_evacuated(service), cold, limited, resting }
    }
}

impl std::fmt::Display for Skipped {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Skipped { emptied, cold, limited, resting } = self;
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
pub fn next_wait(vm: &Rc<Vm>, criteria: &Criteria, until: Moment, now: Moment) -> Option<Wait> {
    turn_wait(vm, criteria, until, now).or_else(|| rest_wait(vm, criteria, until, now))
}

/// The end of the first rest. Requests that wait for the same do not all look at one moment.
fn rest_wait(vm: &Vm, criteria: &Criteria, until: Moment, now: Moment) -> Option<Wait> {
    let (versions, _) = eligible_versions(vm, criteria.service, criteria.call, now);
    let fleet = vm.fleet.borrow();
    let resting = fleet.backing_off(criteria.service, now).filter(|(one, _)| {
        let replica = &one.replica;
        versions.contains(&replica.version)
            && criteria.allows(vm, one)
            && !criteria.has_tried(replica)
    });
    let left = resting.map(|(_, left)| left).min()?;
    let at = now + left + APART.part(rand::random());
    (at <= until).then_some(Wait { until: at, turn: None })
}

/// Takes the next turn at a server that bears only so much.
fn turn_wait(vm: &Rc<Vm>, criteria: &Criteria, until: Moment, now: Moment) -> Option<Wait> {
    let (versions, _) = eligible_versions(vm, criteria.service, criteria.call, now);
    let access = rate_limit::limiter(vm, criteria.service, now);
    let mut fleet = vm.fleet.borrow_mut();
    let allowed = fleet.eligible(criteria.service, now).filter(|one| {
        let replica = &one.replica;
        versions.contains(&replica.version)
            && criteria.allows(vm, one)
            && !criteria.has_tried(replica)
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
pub fn select_after_wait(
    vm: &Vm,
    criteria: &Criteria,
    wait: Wait,
    now: Moment,
) -> Option<Placement> {
    let turn = wait.turn?;
    let (versions, reason) = eligible_versions(vm, criteria.service, criteria.call, now);
    let fleet = vm.fleet.borrow();
    let server =
        fleet.eligible(criteria.service, now).find(|one| one.replica.id == turn.server().id);
    let server = server.filter(|one| {
        versions.contains(&one.replica.version)
            && one.availability.unavailable_reason(now).is_none()
    });
    let place = server.map(|server| {
        let prompt = Prompt::new(criteria, &[server]);
        Placement::of(server, &candidate(vm, criteria, &prompt, server, now), reason)
    });
    // A turn that is given back looks for its server.
    drop(fleet);
    Some(Placement { turn: Some(Rc::new(turn)), ..place? })
}

impl Placement {
    fn of(server: &Server, candidate: &Candidate, reason: Reason) -> Placement {
        let Candidate { until_prefilled: until_read, prefill: reads, .. } = *candidate;
        let replica = server.replica.clone();
        Placement {
            replica,
            until_prefilled: until_read,
            prefill_time: reads,
            reason,
            turn: None,
            skipped: Skipped::default(),
        }
    }
}

/// The server for a request; none if none takes work.
pub fn select_server(vm: &Vm, criteria: &Criteria, now: Moment) -> Option<Placement> {
    let (versions, reason) = eligible_versions(vm, criteria.service, criteria.call, now);
    let found = among(vm, criteria, &versions, reason, now);
    if found.is_none() && is_back_soon(vm, criteria, &versions, reason, now) {
        return None;
    }
    // While a version is tried, the other serves on if it alone has servers.
    let running = matches!(
        vm.rollouts.borrow().get(criteria.service).map(|one| one.phase),
        Some(Some(Phase::Running { .. }))
    );
    match (found, versions) {
        (None, Versions::Only(version)) if running => {
            among(vm, criteria, &Versions::Except(version), Reason::Elsewhere, now)
        }
        (None, Versions::Only(_)) if !vm.rollouts.borrow().contains_key(criteria.service) => {
            among(vm, criteria, &Versions::Any, Reason::Elsewhere, now)
        }
        (found, _) => found,
    }
}

/// Whether a server of these versions takes requests again in a moment, so that a request stays with its version: it wants rest, or it
/// named a limit and its turn comes later. What was only drawn for a version goes elsewhere rather than wait for a turn.
fn is_back_soon(
    vm: &Vm,
    criteria: &Criteria,
    versions: &Versions,
    reason: Reason,
    now: Moment,
) -> bool {
    let fleet = vm.fleet.borrow();
    let is_meant =
        |one: &Server| versions.contains(&one.replica.version) && criteria.allows(vm, one);
    let is_limited = |one: &Server| one.availability.limit.rate(now).is_some();
    let mut resting = fleet.backing_off(criteria.service, now);
    let mut taking = fleet.eligible(criteria.service, now);
    resting.any(|(one, _)| is_meant(one))
        || (!matches!(reason, Reason::Drawn { .. })
            && taking.any(|one| is_meant(one) && is_limited(one)))
}

/// When to come back, if all servers that a request may go to want rest or bear only so much: when the first rest ends or the first turn comes.
pub fn retry_after(vm: &Vm, criteria: &Criteria, now: Moment) -> Option<Span> {
    let fleet = vm.fleet.borrow();
    let access = rate_limit::limiter(vm, criteria.service, now);
    let is_meant = |one: &&Server| criteria.allows(vm, one);
    let taking = || fleet.eligible(criteria.service, now).filter(is_meant);
    if taking().any(|one| access.rate_limit(one).is_none()) {
        return None;
    }
    let resting = fleet.backing_off(criteria.service, now).filter(|(one, _)| is_meant(one));
    let turns = taking().filter_map(|one| access.next_permit(one)).map(|turn| turn.since(now));
    availability::retry_after(resting.map(|(_, left)| left).chain(turns), rand::random())
}

fn among(
    vm: &Vm,
    criteria: &Criteria,
    versions: &Versions,
    reason: Reason,
    now: Moment,
) -> Option<Placement> {
    let fleet = vm.fleet.borrow();
    let access = rate_limit::limiter(vm, criteria.service, now);
    let of_version = || {
        let allowed = |one: &&Server| versions.contains(&one.replica.version);
        let within = |one: &&Server| criteria.allows(vm, one);
        fleet
            .eligible(criteria.service, now)
            .filter(allowed)
            .filter(within)
            .filter(|one| access.allows(one))
    };
    let sound = |one: &&Server| one.availability.unavailable_reason(now).is_none();
    let busy = trial_servers(vm, criteria.service, versions, of_version().filter(sound));
    let most = connections_each(vm, criteria.service, now);
    let untried = |one: &&Server| !criteria.has_tried(&one.replica) && one.load.open() < most;
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
    let prompt = Prompt::new(criteria, &servers);
    let candidates: Vec<Candidate> =
        servers.iter().map(|server| candidate(vm, criteria, &prompt, server, now)).collect();
    let at = match criteria.call.prompt.is_empty() {
        true => placement::least_loaded(&candidates, rand::random()),
        false => placement::soonest(&candidates, criteria.body_bytes),
    };
    at.map(|at| {
        let passed = Skipped::count(&fleet, &access, criteria.service, now);
        Placement { skipped: passed, ..Placement::of(servers[at], &candidates[at], reason) }
    })
}

/// Requests that this VM may have open at one server: its part of the connections that the server
/// takes from all VMs together; beyond them it resets.
fn connections_each(vm: &Vm, service: &Service, now: Moment) -> u32 {
    let declared = vm.routes().and_then(|table| table.pool(service).map(|pool| pool.connections));
    let vms = vm.peers.borrow().count_live(now) as u32;
    declared.map_or(u32::MAX, |all| limit::even_share(all, vms))
}

/// What is expected of a request that was sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Estimate {
    /// Tokens of the whole prompt.
    pub prompt_tokens: u64,
    /// Tokens that the server had to read.
    pub uncached_tokens: u64,
    /// Time until the server comes to it.
    pub queue_time: Span,
    /// Time that the server needs to read it.
    pub prefill_time: Span,
    /// Requests that the server was thought to hold.
    pub load: f64,
    /// Time until the prompt is read if the server works at the usual pace and holds only what this
    /// VM sent it; none if the request has no prompt.
    pub expected_time: Option<Span>,
    /// What the server had said against it.
    pub bar: Option<Unavailable>,
    /// The limit that it had named, and how long ago it did so first.
    pub limit: Option<(Rate, Span)>,
}

/// Notes that a request was sent: its prompt waits at the server, which then holds its parts.
pub fn record_send(
    vm: &Rc<Vm>,
    place: &Placement,
    call: &Call,
    model: Option<&Model>,
    now: Moment,
) -> Estimate {
    let replica = &place.replica;
    let mut fleet = vm.fleet.borrow_mut();
    let Some(server) = fleet.incarnation_mut(replica) else { return Estimate::default() };
    let (load, bar) = (server.load.estimate(now), server.availability.unavailable_reason(now));
    let limit = server.availability.limit.rate(now).zip(server.availability.limit.age(now));
    server.availability.on_send(now);
    if call.prompt.is_empty() {
        return Estimate { load, bar, limit, ..Estimate::default() };
    }
    let prompt = Prompt::without_affinity(call, model);
    let uncached_tokens = prompt.uncached_tokens(server, now);
    let prompt_tokens = prompt.tokens();
    let prefill_time = vm.prefill_time(model, uncached_tokens);
    let queue_time = server.backlog.remaining(now);
    let expected_time = Some(Span(server.backlog.expected(now).0 + prefill_time.0));
    server.backlog.add(prefill_time, now);
    prompt.hashes().for_each(|part| server.record_prefix(part, now));
    drop(fleet);
    peer::broadcast_work(vm, &replica.id, prefill_time);
    Estimate {
        prompt_tokens,
        uncached_tokens,
        queue_time,
        prefill_time,
        load,
        expected_time,
        bar,
        limit,
    }
}

fn candidate(
    vm: &Vm,
    criteria: &Criteria,
    prompt: &Prompt,
    server: &Server,
    now: Moment,
) -> Candidate {
    let prefill_time = vm.prefill_time(criteria.model, prompt.uncached_tokens(server, now));
    Candidate {
        load: server.load.estimate(now),
        slots: f64::from(server.replica.slots),
        local: server.replica.data_centre == vm.settings.data_centre,
        until_prefilled: Span(server.backlog.remaining(now).0 + prefill_time.0),
        prefill: prefill_time,
    }
}
