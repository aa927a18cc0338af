//! Selects the version and the backend server for a request from the VM's state.

mod prompt;
mod version;

use std::rc::Rc;

use prompt::Prompt;
use version::{eligible_versions, rollout_servers, trial_share};

use super::call::Call;
use super::peer;
use super::rate_limit::{self, Limiter, Permit};
use super::replica::{Phase, Replica};
use super::server::{Considered, Fleet, Server};
use super::server_index::Query;
use super::vm::Vm;
use crate::config::Regions;
use crate::decide::availability::{self, Unavailable};
use crate::decide::limit;
use crate::decide::placement::{self, Candidate};
use crate::unit::{Model, Moment, Rate, Service, Span};

pub use version::{Reason, Versions};

/// Maximum random delay between the end of a server's backoff and the moment when a request that
/// waits for it wakes, so that such requests do not all retry at once.
const WAKE_JITTER: Span = Span::millis(20);

/// What a request requires of its server.
pub struct Criteria<'a> {
    /// Service that must serve the request.
    pub service: &'a Service,
    /// The parsed head of the request.
    pub call: &'a Call,
    /// Size of the request body in bytes.
    pub body_bytes: usize,
    /// Regions allowed by the route, and by the workspace if the request has an API key. A server
    /// must be in an allowed region of both.
    pub regions: [Option<&'a Regions>; 2],
    /// The model, if the caller or the system has chosen one.
    pub model: Option<&'a Model>,
    /// Server incarnations that were already tried and are avoided.
    pub tried: &'a [Replica],
}

impl Criteria<'_> {
    /// Returns true if this incarnation of a server was already tried.
    fn has_tried(&self, replica: &Replica) -> bool {
        self.tried.iter().any(|tried| tried.is_same_incarnation(replica))
    }

    /// Returns true if the server is in an allowed region.
    fn allows_region(&self, vm: &Vm, server: &Server) -> bool {
        let region = vm.settings.regions.get(&server.replica.data_centre);
        self.regions.iter().flatten().all(|regions| regions.allows(region))
    }
}

/// The server selected for a request.
#[derive(Clone, Debug)]
pub struct Placement {
    /// The selected server.
    pub replica: Replica,
    /// Expected time until the server has prefilled the prompt, including the prompts in the queue.
    pub until_prefilled: Span,
    /// Expected time that the server needs to prefill this prompt alone, without the queue.
    pub prefill_time: Span,
    /// Why the request goes to the server's version.
    pub reason: Reason,
    /// Permit to send to the rate-limited server, if the request has waited for one.
    pub permit: Option<Rc<Permit>>,
    /// Number of the considered servers that could not be selected, by reason; draining ones are not
    /// counted.
    pub skipped: Skipped,
}

/// Number of servers that a request could not go to, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Skipped {
    /// Servers in evacuated data centres.
    pub evacuated: usize,
    /// Cold servers whose rate limit does not allow this VM a request now: it is not among their
    /// senders, or its next permit is not due yet.
    pub cold: usize,
    /// Servers whose reported rate limit does not allow this VM a request now, for the same
    /// reasons.
    pub limited: usize,
    /// Brittle servers at which all places of this VM are taken.
    pub brittle: usize,
    /// Servers that are backing off, or are being probed after a backoff.
    pub backing_off: usize,
}

impl Skipped {
    /// Counts the servers that may not receive a request of this VM now.
    fn count(fleet: &Fleet, limiter: &Limiter, servers: &[&Server], now: Moment) -> Skipped {
        let mut skipped = Skipped::default();
        for server in servers {
            match fleet.server_unavailable_reason(server, now) {
                Some(Unavailable::Evacuated) if !server.availability.is_draining() => {
                    skipped.evacuated += 1;
                }
                Some(Unavailable::BackingOff(_) | Unavailable::Probing(_)) => {
                    skipped.backing_off += 1;
                }
                Some(reason) if reason.is_hard() => {}
                _ if limiter.allows(server) => {}
                _ if limiter.rejections(server).is_some() => skipped.brittle += 1,
                _ if limiter.is_cold(server) => skipped.cold += 1,
                _ => skipped.limited += 1,
            }
        }
        skipped
    }
}

impl std::fmt::Display for Skipped {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Skipped { evacuated, cold, limited, brittle, backing_off } = self;
        write!(
            f,
            "skipped {evacuated} evacuated, {cold} cold, {backing_off} backing off, \
             {limited} limited, {brittle} brittle"
        )
    }
}

/// Returns the servers of the service that a decision for a request on these versions considers.
fn considered<'a>(
    vm: &Vm,
    fleet: &'a Fleet,
    criteria: &Criteria,
    versions: &Versions,
) -> Considered<'a> {
    let query = Query {
        is_version: &|version| versions.contains(version),
        trial_share: trial_share(vm, criteria.service, versions),
        prompt: prompt::affinity(criteria),
    };
    fleet.considered(criteria.service, &query)
}

/// What a request waits for if no server takes it at once: a permit at a rate-limited server, or
/// the end of a server's backoff, after which the selection is repeated.
pub struct Wait {
    /// When the request stops waiting.
    pub until: Moment,
    /// Permit that is due at `until`; `None` if the request waits for the end of a backoff.
    pub permit: Option<Permit>,
}

/// Returns what a request can wait for that happens by `until`: the next permit of a rate-limited
/// server or, if there is none, the end of a backoff. Returns `None` if there is neither.
pub fn next_wait(vm: &Rc<Vm>, criteria: &Criteria, until: Moment, now: Moment) -> Option<Wait> {
    permit_wait(vm, criteria, until, now).or_else(|| backoff_wait(vm, criteria, until, now))
}

/// Returns the expected time until this VM has a place at a brittle server for a request; `None` if
/// it has no place at a server that the request may go to, and can't borrow one.
pub fn place_wait(vm: &Vm, criteria: &Criteria, now: Moment) -> Option<Span> {
    let (versions, _) = eligible_versions(vm, criteria.service, criteria.call, now);
    let limiter = rate_limit::limiter(vm, criteria.service, now);
    let fleet = vm.fleet.borrow();
    let considered = considered(vm, &fleet, criteria, &versions).servers;
    let allowed = considered.into_iter().filter(|one| {
        fleet.is_eligible(one, now)
            && versions.contains(&one.replica.version)
            && criteria.allows_region(vm, one)
            && !criteria.has_tried(&one.replica)
    });
    let (mut own, mut even) = (0, 0.0);
    for server in allowed {
        own += limiter.places(server).unwrap_or(0);
        even += limiter.even_places(server).unwrap_or(0.0);
    }
    let queue = vm.place_queue(criteria.service);
    let can_borrow = queue.lenders.borrow().respond(now);
    let places = if can_borrow { even.max(own as f64) } else { own as f64 };
    (places > 0.0).then(|| queue.expected_wait(places))
}

/// Returns a wait for the backoff that ends first, with jitter so that the requests that wait for
/// it do not all retry at once.
fn backoff_wait(vm: &Vm, criteria: &Criteria, until: Moment, now: Moment) -> Option<Wait> {
    let (versions, _) = eligible_versions(vm, criteria.service, criteria.call, now);
    let fleet = vm.fleet.borrow();
    let considered = considered(vm, &fleet, criteria, &versions).servers;
    let allowed = considered.into_iter().filter(|one| {
        let replica = &one.replica;
        versions.contains(&replica.version)
            && criteria.allows_region(vm, one)
            && !criteria.has_tried(replica)
    });
    let left = allowed.filter_map(|one| fleet.backoff_left(one, now)).min()?;
    let at = now + left + WAKE_JITTER.mul_f64(rand::random());
    (at <= until).then_some(Wait { until: at, permit: None })
}

/// Reserves the earliest permit at a rate-limited server and returns a wait for it.
fn permit_wait(vm: &Rc<Vm>, criteria: &Criteria, until: Moment, now: Moment) -> Option<Wait> {
    let (versions, _) = eligible_versions(vm, criteria.service, criteria.call, now);
    let limiter = rate_limit::limiter(vm, criteria.service, now);
    let mut fleet = vm.fleet.borrow_mut();
    let considered = considered(vm, &fleet, criteria, &versions).servers;
    let allowed = considered.into_iter().filter(|one| {
        let replica = &one.replica;
        fleet.is_eligible(one, now)
            && versions.contains(&replica.version)
            && criteria.allows_region(vm, one)
            && !criteria.has_tried(replica)
    });
    let permits = allowed.filter_map(|one| Some((limiter.next_permit(one)?, &one.replica)));
    let first =
        permits.min_by(|(at, one), (other_at, other)| (at, &one.id).cmp(&(other_at, &other.id)));
    let (at, replica) = first.filter(|(at, _)| *at <= until)?;
    let replica = replica.clone();
    let permit = Permit::reserve(vm, &mut fleet, &replica, now);
    Some(Wait { until: at, permit: Some(permit) })
}

/// Returns a placement at the server whose permit the request has waited for. Returns `None` if the
/// request waited for a backoff, or the server is no longer available.
pub fn select_after_wait(
    vm: &Vm,
    criteria: &Criteria,
    wait: Wait,
    now: Moment,
) -> Option<Placement> {
    let permit = wait.permit?;
    let (versions, reason) = eligible_versions(vm, criteria.service, criteria.call, now);
    let fleet = vm.fleet.borrow();
    let server = fleet.get(&permit.server().id).filter(|one| {
        one.replica.service == *criteria.service
            && fleet.is_eligible(one, now)
            && versions.contains(&one.replica.version)
            && one.availability.unavailable_reason(now).is_none()
    });
    let placement = server.map(|server| {
        let prompt = Prompt::new(criteria, &[server], None);
        Placement::of(server, &candidate(vm, criteria, &prompt, server, now), reason)
    });
    // Dropping an unused permit borrows the fleet mutably to release its reservation.
    drop(fleet);
    Some(Placement { permit: Some(Rc::new(permit)), ..placement? })
}

impl Placement {
    /// Returns a placement without a permit at a server, from its values as a candidate.
    fn of(server: &Server, candidate: &Candidate, reason: Reason) -> Placement {
        let Candidate { until_prefilled, prefill: prefill_time, .. } = *candidate;
        let replica = server.replica.clone();
        Placement {
            replica,
            until_prefilled,
            prefill_time,
            reason,
            permit: None,
            skipped: Skipped::default(),
        }
    }
}

/// Selects the server for a request. Returns `None` if no server may receive the request now, or
/// if it should wait for a server of its version that will take requests again soon.
pub fn select_server(vm: &Vm, criteria: &Criteria, now: Moment) -> Option<Placement> {
    let (versions, reason) = eligible_versions(vm, criteria.service, criteria.call, now);
    let found = select_among(vm, criteria, &versions, reason, now);
    // The request waits for its version rather than go to another one.
    if found.is_none() && is_available_soon(vm, criteria, &versions, reason, now) {
        return None;
    }
    let running = matches!(
        vm.rollouts.borrow().get(criteria.service).map(|rollout| rollout.phase),
        Some(Some(Phase::Running { .. }))
    );
    match (found, versions) {
        // While a rollout runs, requests for the new version go to the old one if the new version
        // has no server for them. The old version's requests never go to the new one instead.
        (None, Versions::Only(version)) if running => {
            let old = version::old_versions(vm, criteria.service, &version);
            select_among(vm, criteria, &old, Reason::NoServerOfVersion, now)
        }
        // Without a rollout, the service's default version is preferred but not required.
        (None, Versions::Only(_)) if !vm.rollouts.borrow().contains_key(criteria.service) => {
            select_among(vm, criteria, &Versions::Any, Reason::NoServerOfVersion, now)
        }
        // A server was found, or none of another version may serve the request: once a rollout has
        // completed, the old version gets no more requests.
        (found, _) => found,
    }
}

/// Returns true if a server of these versions will take requests again soon, so that the request
/// waits for its version: the server asked for a backoff, or it reports a rate limit and the next
/// permit is due later. A request that was assigned to its version by a draw ([`Reason::Drawn`])
/// goes to another version rather than wait for a permit.
fn is_available_soon(
    vm: &Vm,
    criteria: &Criteria,
    versions: &Versions,
    reason: Reason,
    now: Moment,
) -> bool {
    let fleet = vm.fleet.borrow();
    let is_eligible =
        |one: &Server| versions.contains(&one.replica.version) && criteria.allows_region(vm, one);
    let limiter = rate_limit::limiter(vm, criteria.service, now);
    let is_limited = |one: &Server| {
        one.availability.rate_limit.rate(now).is_some() || limiter.rejections(one).is_some()
    };
    let waits_for_permit = !matches!(reason, Reason::Drawn { .. });
    considered(vm, &fleet, criteria, versions).servers.into_iter().any(|one| {
        let is_backing_off = fleet.backoff_left(one, now).is_some();
        let is_limited = waits_for_permit && is_limited(one) && fleet.is_eligible(one, now);
        is_eligible(one) && (is_backing_off || is_limited)
    })
}

/// Returns true if a server that the request may go to has a rate limit or is brittle.
pub fn is_throttled(vm: &Vm, criteria: &Criteria, now: Moment) -> bool {
    let fleet = vm.fleet.borrow();
    let limiter = rate_limit::limiter(vm, criteria.service, now);
    let considered = considered(vm, &fleet, criteria, &Versions::Any).servers;
    considered
        .into_iter()
        .filter(|one| fleet.is_eligible(one, now))
        .any(|one| limiter.rate_limit(one).is_some() || limiter.rejections(one).is_some())
}

/// Returns the time after which a refused caller should retry, when the first backoff ends or the
/// first permit is due. Returns `None` unless all servers that the request may go to are backing
/// off or rate limited.
pub fn retry_after(vm: &Vm, criteria: &Criteria, now: Moment) -> Option<Span> {
    let fleet = vm.fleet.borrow();
    let limiter = rate_limit::limiter(vm, criteria.service, now);
    let mut considered = considered(vm, &fleet, criteria, &Versions::Any).servers;
    considered.retain(|one| criteria.allows_region(vm, one));
    let serving = || considered.iter().filter(|one| fleet.is_eligible(one, now));
    if serving().any(|one| limiter.rate_limit(one).is_none()) {
        return None;
    }
    let backoffs = considered.iter().filter_map(|one| fleet.backoff_left(one, now));
    let permits =
        serving().filter_map(|one| limiter.next_permit(one)).map(|permit| permit.since(now));
    availability::retry_after(backoffs.chain(permits), rand::random())
}

/// Selects the server among those of the given versions; `reason` is why the request goes to them.
/// If none of the servers sampled from a large service can be used, searches all of them.
fn select_among(
    vm: &Vm,
    criteria: &Criteria,
    versions: &Versions,
    reason: Reason,
    now: Moment,
) -> Option<Placement> {
    let fleet = vm.fleet.borrow();
    let considered = considered(vm, &fleet, criteria, versions);
    let found = select_considered(vm, &fleet, criteria, versions, &considered, reason, now);
    if found.is_some() || considered.affine.is_none() {
        return found;
    }
    let servers = fleet.of_service(criteria.service).collect();
    let all = Considered { servers, affine: None };
    select_considered(vm, &fleet, criteria, versions, &all, reason, now)
}

/// Selects the server for a request among the considered ones.
fn select_considered(
    vm: &Vm,
    fleet: &Fleet,
    criteria: &Criteria,
    versions: &Versions,
    considered: &Considered,
    reason: Reason,
    now: Moment,
) -> Option<Placement> {
    let limiter = rate_limit::limiter(vm, criteria.service, now);
    let of_version = || {
        considered.servers.iter().copied().filter(|one| {
            versions.contains(&one.replica.version)
                && fleet.is_eligible(one, now)
                && criteria.allows_region(vm, one)
                && limiter.allows(one)
        })
    };
    let is_available = |one: &&Server| one.availability.unavailable_reason(now).is_none();
    // While a rollout runs, only some servers of the new version take part; `None` if all do, or if
    // only those were sampled.
    let trial_servers = match considered.affine {
        Some(_) => None,
        None => rollout_servers(vm, criteria.service, versions, of_version().filter(is_available)),
    };
    let max_open = max_open_per_server(vm, criteria.service, now);
    let untried = |one: &&Server| !criteria.has_tried(&one.replica) && one.load.open() < max_open;
    let in_trial =
        |one: &&Server| trial_servers.as_ref().is_none_or(|ids| ids.contains(&one.replica.id));
    let mut servers: Vec<&Server> =
        of_version().filter(untried).filter(is_available).filter(in_trial).collect();
    // A retry stays on its version, even if only servers outside the trial are left.
    if servers.is_empty() {
        servers = of_version().filter(untried).filter(is_available).collect();
    }
    // If all remaining servers are ejected, uses one anyway: their records may be wrong, and a
    // refusal is no better.
    if servers.is_empty() {
        servers = of_version().filter(untried).collect();
    }
    let prompt = Prompt::new(criteria, &servers, considered.affine.as_deref());
    let candidates: Vec<Candidate> =
        servers.iter().map(|server| candidate(vm, criteria, &prompt, server, now)).collect();
    let at = match criteria.call.prompt.is_empty() {
        true => placement::select_least_loaded(&candidates, rand::random()),
        false => placement::select_soonest(&candidates, criteria.body_bytes),
    };
    at.map(|at| {
        let skipped = Skipped::count(fleet, &limiter, &considered.servers, now);
        Placement { skipped, ..Placement::of(servers[at], &candidates[at], reason) }
    })
}

/// Returns the number of requests that this VM may have open at one server: its share of the
/// connections that the server accepts from all VMs. The server resets connections beyond that.
fn max_open_per_server(vm: &Vm, service: &Service, now: Moment) -> u32 {
    let declared =
        vm.routes().and_then(|table| table.pool(service).map(|pool| pool.max_connections));
    let vms = vm.peers.borrow().count_live(now) as u32;
    declared.map_or(u32::MAX, |all| limit::even_share(all, vms))
}

/// What the VM expected of a request when it was sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Estimate {
    /// Number of tokens of the prompt.
    pub prompt_tokens: u64,
    /// Number of the prompt's tokens that the server was expected not to have cached.
    pub uncached_tokens: u64,
    /// Expected time until the server starts to prefill the prompt.
    pub queue_time: Span,
    /// Expected time that the server needs to prefill the prompt.
    pub prefill_time: Span,
    /// Estimated number of requests at the server.
    pub load: f64,
    /// Expected time until the prompt is prefilled if the server works at the usual speed and has
    /// only the work of this VM; `None` if the request has no prompt.
    pub expected_time: Option<Span>,
    /// Why the server was unavailable, if it was selected nevertheless because no other server was
    /// left.
    pub unavailable: Option<Unavailable>,
    /// The rate limit that the server reported, and the time since it first did.
    pub reported_limit: Option<(Rate, Span)>,
}

/// Records that a request is sent: its prompt joins the server's backlog and its parts count as
/// cached at the server. Returns what was expected of the request before it was added to the
/// backlog.
pub fn record_send(
    vm: &Rc<Vm>,
    placement: &Placement,
    call: &Call,
    model: Option<&Model>,
    now: Moment,
) -> Estimate {
    let replica = &placement.replica;
    let mut fleet = vm.fleet.borrow_mut();
    let Some(server) = fleet.incarnation_mut(replica) else { return Estimate::default() };
    let (load, unavailable) =
        (server.load.estimate(now), server.availability.unavailable_reason(now));
    let reported_limit = server
        .availability
        .rate_limit
        .rate(now)
        .zip(server.availability.rate_limit.limited_for(now));
    server.availability.on_send(now);
    if call.prompt.is_empty() {
        return Estimate { load, unavailable, reported_limit, ..Estimate::default() };
    }
    let prompt = Prompt::without_affinity(call, model);
    let uncached_tokens = prompt.uncached_tokens(server, now);
    let prompt_tokens = prompt.tokens();
    let prefill_time = vm.prefill_time(model, uncached_tokens);
    let queue_time = server.backlog.remaining(now);
    let expected_time = Some(Span(server.backlog.expected_remaining(now).0 + prefill_time.0));
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
        unavailable,
        reported_limit,
    }
}

/// Returns the inputs for choosing a server: its load, and how soon it would have prefilled the
/// prompt.
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
