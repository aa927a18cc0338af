//! Backend servers as one VM knows them: their entries, and what requests sent there have shown.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use tokio::sync::Notify;

use super::liveness::Liveness;
use super::pool::Pool;
use super::replica::{Incarnation, Replica};
use super::server_index::{self, Query, ServerIndex, Viewpoint};
use crate::decide::availability::{Availability, Unavailable};
use crate::decide::backlog::Backlog;
use crate::decide::cold_start::ColdStart;
use crate::decide::load::Load;
use crate::decide::path::DirectPath;
use crate::decide::server_limit::Pacer;
use crate::decide::server_limit::loans::Loans;
use crate::decide::server_limit::places::Lingering;
use crate::unit::{DataCentre, Moment, Server as Id, Service, Span, Version};

/// Services with more servers than this are not searched completely: a decision considers a bounded
/// number of their servers, so that it takes no longer in a larger fleet.
const MAX_SEARCHED: usize = 256;

/// Maximum number of prompt prefixes remembered for one server.
const MAX_PREFIXES: usize = 1000;
/// Time for which a prompt prefix is assumed to be cached by a server. Servers evict the oldest
/// prefixes when their cache is full, which takes some ten seconds under load.
const PREFIX_TTL: Span = Span::secs(20);

/// Number of removed servers that are remembered in any case; one takes about 300 bytes. As many are
/// remembered as there have been servers, if there were more: an outage may remove all at once.
const MIN_REMOVED: usize = 2400;
/// Age from which removed servers are dropped once [`MIN_REMOVED`] of them are remembered.
const REMOVED_TTL: Span = Span::secs(60);

/// One incarnation of a backend server (a lifetime of its process), with what this VM knows of it.
pub struct Server {
    /// The server's entry in the store, which describes this incarnation.
    pub replica: Replica,
    /// Estimate of the requests that are running or queued at the server.
    pub load: Load,
    /// State that decides if the server may receive requests.
    pub availability: Availability,
    /// Spaces the requests of this VM while the server has a rate limit.
    pub pacer: Pacer,
    /// Spaces the requests of this VM without a place while the server is brittle.
    pub spare: Pacer,
    /// Places at the server that requests of this VM take after they were given up.
    pub lingering: Lingering,
    /// Places at the server that this VM has lent and borrowed.
    pub loans: Loans,
    /// When the server last rejected a request of this VM.
    pub rejected_at: Option<Moment>,
    /// True once this incarnation has responded to this VM.
    pub has_responded: bool,
    /// Notified when a later incarnation of the server starts: requests that are open at this one
    /// are lost.
    pub superseded: Rc<Notify>,
    /// How sure this VM is that this incarnation still runs.
    pub liveness: Liveness,
    /// The direct path to the server.
    pub path: DirectPath,
    /// Idle connections to the server.
    pub pool: Pool,
    /// Prompts that wait for their prefill at the server, as far as this VM knows.
    pub backlog: Backlog,
    /// Hashes of prompt prefixes that were sent to the server recently, and when.
    prefixes: HashMap<u64, Moment>,
    /// End of the server's cold start according to its entry. An entry shows the end only with the
    /// next heartbeat, so this may be too late but is never too early.
    cold_until: Option<Moment>,
    /// Since when the server may have become cold although its entry does not show that yet.
    possibly_cold_since: Option<Moment>,
    /// Until when the server stays in use although its entry is missing from the store; `None` if
    /// it has an entry.
    kept_until: Option<Moment>,
}

impl Server {
    fn new(replica: Replica) -> Server {
        Server {
            replica,
            load: Load::default(),
            availability: Availability::default(),
            pacer: Pacer::default(),
            spare: Pacer::default(),
            lingering: Lingering::default(),
            loans: Loans::default(),
            rejected_at: None,
            has_responded: false,
            superseded: Rc::default(),
            liveness: Liveness::default(),
            cold_until: None,
            possibly_cold_since: None,
            path: DirectPath::default(),
            pool: Pool::default(),
            backlog: Backlog::default(),
            prefixes: HashMap::new(),
            kept_until: None,
        }
    }

    /// Returns the number of places at the server that requests of this VM take, or other VMs have
    /// borrowed from it.
    pub fn taken_places(&self, now: Moment) -> usize {
        self.load.open() as usize + self.lingering.count(now) + self.loans.lent(now)
    }

    /// Records that a prompt prefix was sent to the server, which now caches it for a while.
    pub fn record_prefix(&mut self, prefix: u64, now: Moment) {
        if self.prefixes.len() >= MAX_PREFIXES {
            self.prefixes.retain(|_, at| now.since(*at) < PREFIX_TTL);
        }
        if self.prefixes.len() < MAX_PREFIXES {
            self.prefixes.insert(prefix, now);
        }
    }

    /// Returns true if a prompt prefix was sent to the server recently.
    pub fn has_prefix(&self, prefix: u64, now: Moment) -> bool {
        self.prefixes.get(&prefix).is_some_and(|at| now.since(*at) < PREFIX_TTL)
    }

    /// Sets the end of the cold start from the server's entry.
    fn update_cold_until(&mut self, now: Moment) {
        let cold = self.replica.cold;
        self.cold_until = (cold > Span(0)).then(|| now + cold);
    }

    /// Returns true if the server is cold, or may be.
    pub fn is_cold(&self, bound: &ColdStart, now: Moment) -> bool {
        let is_listed_cold = self.cold_until.is_some_and(|until| now < until);
        is_listed_cold
            || self.possibly_cold_since.is_some_and(|since| now.since(since) < bound.duration)
    }
}

/// What was known of an incarnation of a server when its entry was removed.
struct RemovedServer {
    replica: Replica,
    availability: Availability,
    removed_at: Moment,
}

/// Servers of one service that a decision considers.
pub struct Considered<'a> {
    /// The servers, each once.
    pub servers: Vec<&'a Server>,
    /// Ids of the servers that all VMs of the data centre prefer for the prompt, in that order;
    /// `None` if `servers` are all servers of the service, so that all VMs know the same ones.
    pub affine: Option<Vec<&'a Id>>,
}

/// All backend servers, and the orders that apply to them.
#[derive(Default)]
pub struct Fleet {
    servers: HashMap<Id, Server>,
    index: ServerIndex,
    /// Where this VM stands among the servers; `None` if all are always considered.
    viewpoint: Option<Viewpoint>,
    /// Largest number of servers so far.
    peak_count: usize,
    /// Servers whose entries were removed recently, and may come back as the same incarnation.
    removed: HashMap<Id, RemovedServer>,
    /// Disputed incarnations: known to be draining or gone, but listed as ready by a store that was
    /// restored from a backup.
    disputed: HashMap<Id, Incarnation>,
    /// Data centres whose servers get no new requests.
    evacuated: HashSet<DataCentre>,
    /// Data centres whose last evacuation was withdrawn.
    evacuation_withdrawn: HashSet<DataCentre>,
    /// Version of each service that is in use unless a rollout says otherwise.
    default_versions: HashMap<Service, Version>,
}

impl Fleet {
    /// Returns a fleet without servers, for a VM that stands at `viewpoint`.
    pub fn new(viewpoint: Viewpoint) -> Fleet {
        Fleet { viewpoint: Some(viewpoint), ..Fleet::default() }
    }

    /// Returns the servers of a service that a decision considers: all of them, also of versions
    /// that were not asked for, or those that are sampled from a service that has too many.
    pub fn considered(&self, service: &Service, query: &Query) -> Considered<'_> {
        let from = self.viewpoint.as_ref();
        let Some(from) = from.filter(|_| self.index.count(service) > MAX_SEARCHED) else {
            return Considered { servers: self.of_service(service).collect(), affine: None };
        };
        let sample = self.index.sample(service, from, query);
        let servers = sample.all.into_iter().filter_map(|id| self.servers.get(id)).collect();
        Considered { servers, affine: Some(sample.affine) }
    }

    /// Inserts or updates the entry of a server. Returns true if the entry belongs to a later
    /// incarnation of a known server, to which nothing that was known of the earlier one applies.
    pub fn upsert(&mut self, replica: Replica, now: Moment) -> bool {
        self.default_versions
            .entry(replica.service.clone())
            .or_insert_with(|| replica.version.clone());
        self.update_index(&replica);
        match self.servers.get_mut(&replica.id) {
            Some(server) if server.replica.is_same_incarnation(&replica) => {
                let is_changed = server.replica != replica;
                server.availability.apply_entry(replica.ready, now);
                server.replica = replica;
                server.kept_until = None;
                if is_changed {
                    server.update_cold_until(now);
                }
                false
            }
            _ => {
                let removed = self.removed.remove(&replica.id);
                let mut server = Server::new(replica);
                let same =
                    removed.filter(|removed| removed.replica.is_same_incarnation(&server.replica));
                server.availability = same.map(|removed| removed.availability).unwrap_or_default();
                server.availability.apply_entry(server.replica.ready, now);
                server.update_cold_until(now);
                let earlier = self.servers.insert(server.replica.id.clone(), server);
                self.peak_count = self.peak_count.max(self.servers.len());
                if let Some(earlier) = &earlier {
                    earlier.superseded.notify_waiters();
                }
                earlier.is_some()
            }
        }
    }

    /// Puts a server into the index, or moves it if its entry has changed so.
    fn update_index(&mut self, replica: &Replica) {
        if let Some(server) = self.servers.get(&replica.id) {
            if server_index::has_same_place(&server.replica, replica) {
                return;
            }
            self.index.remove(&server.replica);
        }
        self.index.insert(replica);
    }

    /// Checks an entry that may come from a backup and be older than what is known of its server.
    /// Returns true if the entry is to be applied, because it undoes nothing that is known. An
    /// incarnation drains for good, so an entry that shows it as draining is never too old. An
    /// entry that shows a draining or removed incarnation as ready makes that incarnation disputed.
    pub fn accept_outdated(&mut self, replica: &Replica) -> bool {
        let is_same = |known: &Replica| known.is_same_incarnation(replica);
        let (is_accepted, is_disputed) =
            match (self.servers.get_mut(&replica.id), self.removed.get(&replica.id)) {
                (Some(server), _) if is_same(&server.replica) => {
                    server.kept_until = None;
                    let is_accepted = server.replica == *replica || !replica.ready;
                    (is_accepted, !is_accepted && server.availability.is_draining())
                }
                // An incarnation that started later was written after the restore.
                (Some(server), _) => (replica.started_at_ms > server.replica.started_at_ms, false),
                (None, Some(removed)) if is_same(&removed.replica) => (false, true),
                (None, _) => (true, false),
            };
        if is_disputed {
            self.disputed.insert(replica.id.clone(), replica.incarnation());
        }
        is_accepted
    }

    /// Returns the disputed incarnations: known to be draining or gone, but listed as ready by a
    /// store that was restored from a backup.
    pub fn disputed(&self) -> impl Iterator<Item = &Incarnation> {
        self.disputed.values()
    }

    /// Clears the disputed incarnations: from now on the entries in the store apply.
    pub fn settle_disputes(&mut self) {
        self.disputed.clear();
    }

    /// Applies the report of another VM that an incarnation is draining or gone although the
    /// restored store lists it as ready. A later entry of the server overrides the report.
    pub fn dispute(&mut self, incarnation: &Incarnation, now: Moment) {
        let Incarnation { server, started_at_ms, address } = incarnation;
        let server = self.servers.get_mut(server);
        if let Some(server) = server.filter(|one| {
            one.replica.matches_incarnation(&incarnation.server, *started_at_ms, *address)
        }) {
            server.availability.apply_entry(false, now);
            self.disputed.insert(incarnation.server.clone(), incarnation.clone());
        }
    }

    /// Removes a server whose entry disappeared. If the entry may only have lapsed in an outage of
    /// the store, the server stays in use until `kept_until`; [`Fleet::expire`] removes it then.
    pub fn remove(&mut self, id: &Id, kept_until: Option<Moment>, now: Moment) {
        if kept_until.is_none() {
            self.move_to_removed(id, now);
        } else if let Some(server) = self.servers.get_mut(id) {
            // A removal may be reported again, by another VM.
            server.kept_until = server.kept_until.or(kept_until);
        }
    }

    /// Removes servers whose entries lapsed in an outage of the store and did not come back in time,
    /// and returns their ids.
    pub fn expire(&mut self, now: Moment) -> Vec<Id> {
        let is_due = |server: &Server| server.kept_until.is_some_and(|until| until <= now);
        let expired = self.servers.iter().filter(|(_, server)| is_due(server));
        let gone: Vec<Id> = expired.map(|(id, _)| id.clone()).collect();
        for id in &gone {
            self.move_to_removed(id, now);
        }
        gone
    }

    /// Removes a server, but remembers what still applies if its entry comes back for the same
    /// incarnation.
    fn move_to_removed(&mut self, id: &Id, now: Moment) {
        let Some(Server { replica, availability, .. }) = self.servers.remove(id) else { return };
        self.index.remove(&replica);
        let limit = MIN_REMOVED.max(self.peak_count);
        if self.removed.len() >= limit {
            self.removed.retain(|_, removed| now.since(removed.removed_at) < REMOVED_TTL);
        }
        if self.removed.len() < limit {
            self.removed
                .insert(id.clone(), RemovedServer { replica, availability, removed_at: now });
        }
    }

    /// Returns a server by its id.
    pub fn get(&self, id: &Id) -> Option<&Server> {
        self.servers.get(id)
    }

    /// Returns the server of `replica` if it is still the same incarnation.
    pub fn incarnation(&self, replica: &Replica) -> Option<&Server> {
        self.servers.get(&replica.id).filter(|one| one.replica.is_same_incarnation(replica))
    }

    /// Returns the server of `replica`, to change it, if it is still the same incarnation.
    pub fn incarnation_mut(&mut self, replica: &Replica) -> Option<&mut Server> {
        self.servers
            .get_mut(&replica.id)
            .filter(|server| server.replica.is_same_incarnation(replica))
    }

    /// Returns true if a server can't be reached directly.
    pub fn is_path_lost(&self, replica: &Replica) -> bool {
        self.incarnation(replica).is_some_and(|server| server.path.is_lost())
    }

    /// Records that a server can't be reached directly. Its idle connections lead nowhere.
    pub fn on_path_failure(&mut self, replica: &Replica, now: Moment) {
        let Some(server) = self.incarnation_mut(replica) else { return };
        if server.path.on_failure(now) {
            server.pool = Pool::default();
        }
    }

    /// Closes the idle connections to servers that can't be reached directly.
    pub fn close_idle_tunnels(&mut self) {
        let lost = self.servers.values_mut().filter(|server| server.path.is_lost());
        lost.for_each(|server| server.pool = Pool::default());
    }

    /// Records that a server accepted a direct connection. The failures recorded while it could not
    /// be reached were those of the path.
    pub fn on_path_contact(&mut self, replica: &Replica) {
        let Some(server) = self.incarnation_mut(replica) else { return };
        if server.path.on_contact() {
            server.pool = Pool::default();
            server.availability.clear_failures();
        }
    }

    /// Returns a server by its id, to change it.
    pub fn get_mut(&mut self, id: &Id) -> Option<&mut Server> {
        self.servers.get_mut(id)
    }

    /// Applies an order to evacuate a data centre. Returns false if the data centre is evacuated
    /// already.
    pub fn evacuate(&mut self, data_centre: &DataCentre) -> bool {
        self.evacuation_withdrawn.remove(data_centre);
        self.evacuated.insert(data_centre.clone())
    }

    /// Returns true if the last evacuation of a data centre was withdrawn.
    pub fn was_evacuation_withdrawn(&self, data_centre: &DataCentre) -> bool {
        self.evacuation_withdrawn.contains(data_centre)
    }

    /// Withdraws the evacuation of a data centre. Returns false if the data centre was not
    /// evacuated. Its servers may have become cold meanwhile, and the entries that say so may not
    /// have arrived yet.
    pub fn withdraw_evacuation(&mut self, data_centre: &DataCentre, now: Moment) -> bool {
        let was_evacuated = self.evacuated.remove(data_centre);
        if was_evacuated {
            self.evacuation_withdrawn.insert(data_centre.clone());
            let there = |one: &&mut Server| one.replica.data_centre == *data_centre;
            let servers = self.servers.values_mut().filter(there);
            servers.for_each(|server| server.possibly_cold_since = Some(now));
        }
        was_evacuated
    }

    /// Returns the servers of a service that may receive requests, including those that are ejected
    /// after failures: they are still used if no other is left.
    pub fn eligible<'a>(
        &'a self,
        service: &'a Service,
        now: Moment,
    ) -> impl Iterator<Item = &'a Server> {
        self.of_service(service).filter(move |one| self.is_eligible(one, now))
    }

    /// Returns true if a server may receive requests, perhaps only if no other is left.
    pub fn is_eligible(&self, server: &Server, now: Moment) -> bool {
        !self.server_unavailable_reason(server, now).is_some_and(Unavailable::is_hard)
    }

    /// Returns the time until the next request may go to a server that is backing off or being
    /// probed after a backoff; `None` for another server.
    pub fn backoff_left(&self, server: &Server, now: Moment) -> Option<Span> {
        match self.server_unavailable_reason(server, now) {
            Some(Unavailable::BackingOff(left) | Unavailable::Probing(left)) => Some(left),
            _ => None,
        }
    }

    /// Returns all servers of a service, including those that may not receive requests.
    pub fn of_service<'a>(
        &'a self,
        service: &Service,
    ) -> impl Iterator<Item = &'a Server> + use<'a> {
        self.index.ids(service).filter_map(|id| self.servers.get(id))
    }

    /// Returns true if the data centre of the server is evacuated.
    fn is_evacuated(&self, server: &Server) -> bool {
        self.evacuated.contains(&server.replica.data_centre)
    }

    /// Returns why a server may not receive requests now.
    pub fn server_unavailable_reason(&self, server: &Server, now: Moment) -> Option<Unavailable> {
        let by_order = self.is_evacuated(server).then_some(Unavailable::Evacuated);
        by_order.or_else(|| server.availability.unavailable_reason(now))
    }

    /// Returns why a request that was assigned to an incarnation of a server may no longer be sent
    /// to it, however the server was selected.
    pub fn unavailable_reason(&self, replica: &Replica, now: Moment) -> Option<Unavailable> {
        let server =
            self.servers.get(&replica.id).filter(|one| one.replica.is_same_incarnation(replica));
        let reason = server.map_or(Some(Unavailable::Removed), |server| {
            self.server_unavailable_reason(server, now)
        });
        // The probe after a backoff may be this request itself.
        reason.filter(|reason| reason.is_hard() && !matches!(reason, Unavailable::Probing(_)))
    }

    /// Returns the version of a service that is in use unless a rollout says otherwise.
    pub fn default_version(&self, service: &Service) -> Option<&Version> {
        self.default_versions.get(service)
    }

    /// Sets the version that is in use unless a rollout says otherwise.
    pub fn set_default_version(&mut self, service: &Service, version: &Version) {
        self.default_versions.insert(service.clone(), version.clone());
    }

    /// Returns true if no server is known.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Returns all servers.
    pub fn all(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    /// Clears the failures of a service's servers and ends the ejections that followed from them.
    pub fn clear_failures(&mut self, service: &Service) {
        let of_service =
            self.servers.values_mut().filter(|server| server.replica.service == *service);
        of_service.for_each(|server| server.availability.clear_failures());
    }

    /// Returns the names of the services that have servers.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.index.services()
    }

    /// Returns the mean failure rate, from 0 to 1, of the servers of a service that may receive
    /// requests; of a service with many servers, of those to which this VM usually sends.
    pub fn failure_rate(&self, service: &Service, now: Moment) -> f64 {
        let (mut sum, mut count) = (0.0, 0.0);
        let any = Query { is_version: &|_| true, trial_share: None, prompt: None };
        let considered = self.considered(service, &any);
        for server in considered.servers.into_iter().filter(|one| self.is_eligible(one, now)) {
            sum += server.availability.failure_rate();
            count += 1.0;
        }
        if count > 0.0 { sum / count } else { 0.0 }
    }
}
