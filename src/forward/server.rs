//! What one VM knows of one backend server beyond its entry.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use tokio::sync::Notify;

use super::liveness::Liveness;
use super::pool::Pool;
use super::replica::{Incarnation, Replica};
use crate::decide::availability::{Availability, Unavailable};
use crate::decide::backlog::Backlog;
use crate::decide::cold_start::ColdStart;
use crate::decide::load::Load;
use crate::decide::server_limit::Pacer;
use crate::unit::{DataCentre, Moment, Server as Id, Service, Span, Version};

/// A server whose entry went while the store was away is used on until this long after its return was
/// noticed: entries of servers that live come back within two seconds. Noticing takes up to 0.7 s, among
/// many VMs up to 1 s; the published sites of few grant three seconds after the return, those of many four.
pub const LAPSED_ENTRY_GRACE: Span = Span::millis(2000);

/// Parts of prompts remembered for one server, and for how long; servers drop the oldest when their
/// memory is full, which takes some ten seconds under load.
const MAX_PREFIXES: usize = 1000;
const PREFIX_TTL: Span = Span::secs(20);

/// Servers whose entries went that are remembered at most, and for how long they are once there are so many. Sites of two years from now
/// have 600; what is kept of one takes some 300 bytes.
const MAX_REMOVED: usize = 2400;
const REMOVED_TTL: Span = Span::secs(60);

/// One backend server.
pub struct Server {
    /// Its entry.
    pub replica: Replica,
    /// Requests that it is thought to hold.
    pub load: Load,
    /// Whether it takes requests, as far as this VM knows.
    pub availability: Availability,
    /// When this VM may send to it while it bears only so much.
    pub pacer: Pacer,
    /// Wakes requests at this life of it when a later one begins: they are lost.
    pub superseded: Rc<Notify>,
    /// How this life of it goes on, as far as this VM knows.
    pub liveness: Liveness,
    /// Connections that rest.
    pub pool: Pool,
    /// Prompts that wait to be read there, as far as this VM knows.
    pub backlog: Backlog,
    /// Parts of prompts that it was sent of late, by model, and when.
    prefixes: HashMap<u64, Moment>,
    /// Until when it is cold, as its entry said; that of a server whose cold time ends says so only at its next
    /// heartbeat, so this may be too late and is never too early.
    cold_until: Option<Moment>,
    /// Since when it may have turned cold without a word of its own yet.
    possibly_cold_since: Option<Moment>,
    /// Whether its entry went while the store was away.
    lapsed: bool,
}

impl Server {
    fn new(replica: Replica) -> Server {
        Server {
            replica,
            load: Load::default(),
            availability: Availability::default(),
            pacer: Pacer::default(),
            superseded: Rc::default(),
            liveness: Liveness::default(),
            cold_until: None,
            possibly_cold_since: None,
            pool: Pool::default(),
            backlog: Backlog::default(),
            prefixes: HashMap::new(),
            lapsed: false,
        }
    }

    /// Notes that it was sent a part of a prompt, which it now holds for a while.
    pub fn record_prefix(&mut self, prefix: u64, now: Moment) {
        if self.prefixes.len() >= MAX_PREFIXES {
            self.prefixes.retain(|_, at| now.since(*at) < PREFIX_TTL);
        }
        if self.prefixes.len() < MAX_PREFIXES {
            self.prefixes.insert(prefix, now);
        }
    }

    /// Whether it was sent a part of a prompt of late.
    pub fn has_prefix(&self, prefix: u64, now: Moment) -> bool {
        self.prefixes.get(&prefix).is_some_and(|at| now.since(*at) < PREFIX_TTL)
    }

    /// Notes what its entry says of how long it is cold.
    fn update_cold_until(&mut self, now: Moment) {
        let cold = self.replica.cold;
        self.cold_until = (cold > Span(0)).then(|| now + cold);
    }

    /// Whether it is cold, or may be.
    pub fn is_cold(&self, bound: &ColdStart, now: Moment) -> bool {
        let is_listed_cold = self.cold_until.is_some_and(|until| now < until);
        is_listed_cold
            || self.possibly_cold_since.is_some_and(|since| now.since(since) < bound.duration)
    }
}

/// What was known of a life of a server whose entry went.
struct RemovedServer {
    replica: Replica,
    availability: Availability,
    at: Moment,
}

/// All backend servers.
#[derive(Default)]
pub struct Fleet {
    servers: HashMap<Id, Server>,
    /// Servers whose entries went of late, and may come back in the same life.
    removed: HashMap<Id, RemovedServer>,
    /// Lives that leave or have gone, and that a copy of the store calls ready.
    disputed: HashMap<Id, Incarnation>,
    /// Data centres whose servers get nothing new.
    evacuated: HashSet<DataCentre>,
    /// Data centres of which an order to empty them was withdrawn last.
    evacuation_withdrawn: HashSet<DataCentre>,
    /// The version of a service that is in use when no roll-out says otherwise.
    default_versions: HashMap<Service, Version>,
}

impl Fleet {
    /// Takes one entry. Whether a later life of a known server begins with it: nothing that was known of the earlier one
    /// holds on.
    pub fn upsert(&mut self, replica: Replica, now: Moment) -> bool {
        self.default_versions
            .entry(replica.service.clone())
            .or_insert_with(|| replica.version.clone());
        match self.servers.get_mut(&replica.id) {
            Some(server) if server.replica.is_same_incarnation(&replica) => {
                let is_changed = server.replica != replica;
                server.availability.apply_entry(replica.ready, now);
                server.replica = replica;
                server.lapsed = false;
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
                if let Some(earlier) = &earlier {
                    earlier.superseded.notify_waiters();
                }
                earlier.is_some()
            }
        }
    }

    /// Takes an entry that may be older than what is known of its server. Returns true if it counts: nothing is known
    /// that it could take back. A life that leaves does so for good, so a word of that is never too old.
    pub fn accept_outdated(&mut self, replica: &Replica) -> bool {
        let is_same = |known: &Replica| known.is_same_incarnation(replica);
        let (counts, is_disputed) =
            match (self.servers.get_mut(&replica.id), self.removed.get(&replica.id)) {
                (Some(server), _) if is_same(&server.replica) => {
                    server.lapsed = false;
                    let counts = server.replica == *replica || !replica.ready;
                    (counts, !counts && server.availability.is_draining())
                }
                // A life that began later was written after the restore.
                (Some(server), _) => (replica.started_at_ms > server.replica.started_at_ms, false),
                (None, Some(removed)) if is_same(&removed.replica) => (false, true),
                (None, _) => (true, false),
            };
        if is_disputed {
            self.disputed.insert(replica.id.clone(), replica.incarnation());
        }
        counts
    }

    /// Returns the lives that leave or have gone, and that a copy of the store calls ready.
    pub fn disputed(&self) -> impl Iterator<Item = &Incarnation> {
        self.disputed.values()
    }

    /// Ends disputes: what the store says counts.
    pub fn settle_disputes(&mut self) {
        self.disputed.clear();
    }

    /// Takes another VM's word that a life of a server leaves or has gone, until its entry says otherwise.
    pub fn dispute(&mut self, incarnation: &Incarnation, now: Moment) {
        let Incarnation { server, started_at_ms: born, address } = incarnation;
        let server = self.servers.get_mut(server);
        if let Some(server) = server
            .filter(|one| one.replica.matches_incarnation(&incarnation.server, *born, *address))
        {
            server.availability.apply_entry(false, now);
            self.disputed.insert(incarnation.server.clone(), incarnation.clone());
        }
    }

    /// An entry went. With `in_outage` it may have lapsed and is kept a while.
    pub fn remove(&mut self, id: &Id, in_outage: bool, now: Moment) {
        if !in_outage {
            self.move_to_removed(id, now);
        } else if let Some(server) = self.servers.get_mut(id) {
            server.lapsed = true;
        }
    }

    /// Drops entries that lapsed and did not come back; the store has been back for long enough.
    pub fn expire(&mut self, now: Moment) -> Vec<Id> {
        let lapsed = self.servers.iter().filter(|(_, server)| server.lapsed);
        let gone: Vec<Id> = lapsed.map(|(id, _)| id.clone()).collect();
        for id in &gone {
            self.move_to_removed(id, now);
        }
        gone
    }

    /// Drops a server, but for what would bind VMs if its entry came back in the same life.
    fn move_to_removed(&mut self, id: &Id, now: Moment) {
        let Some(Server { replica, availability, .. }) = self.servers.remove(id) else { return };
        if self.removed.len() >= MAX_REMOVED {
            self.removed.retain(|_, removed| now.since(removed.at) < REMOVED_TTL);
        }
        if self.removed.len() < MAX_REMOVED {
            self.removed.insert(id.clone(), RemovedServer { replica, availability, at: now });
        }
    }

    /// A server.
    pub fn get(&self, id: &Id) -> Option<&Server> {
        self.servers.get(id)
    }

    /// A server, if the life that `replica` tells of goes on.
    pub fn incarnation_mut(&mut self, replica: &Replica) -> Option<&mut Server> {
        self.servers
            .get_mut(&replica.id)
            .filter(|server| server.replica.is_same_incarnation(replica))
    }

    /// A server.
    pub fn get_mut(&mut self, id: &Id) -> Option<&mut Server> {
        self.servers.get_mut(id)
    }

    /// Takes an order to empty a data centre. Whether it is news.
    pub fn evacuate(&mut self, data_centre: &DataCentre) -> bool {
        self.evacuation_withdrawn.remove(data_centre);
        self.evacuated.insert(data_centre.clone())
    }

    /// Returns true if the last order to empty a data centre was withdrawn.
    pub fn was_evacuation_withdrawn(&self, data_centre: &DataCentre) -> bool {
        self.evacuation_withdrawn.contains(data_centre)
    }

    /// The order to empty a data centre is withdrawn. Whether there was one. Its servers may have gone cold meanwhile,
    /// and their entries that say so may still be on the way.
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

    /// How many servers of a service would take work if no order emptied their data centre.
    pub fn count_evacuated(&self, service: &Service) -> usize {
        if self.evacuated.is_empty() {
            return 0;
        }
        let staying = self.of_service(service).filter(|server| !server.availability.is_draining());
        staying.filter(|server| self.is_evacuated(server)).count()
    }

    /// The servers of a service that take requests, those that are left out among them.
    pub fn eligible<'a>(
        &'a self,
        service: &'a Service,
        now: Moment,
    ) -> impl Iterator<Item = &'a Server> {
        let is_open = move |one: &&Server| !self.reason(one, now).is_some_and(Unavailable::is_hard);
        self.of_service(service).filter(is_open)
    }

    /// The servers of a service that want rest or are tried after one, and when the next request may go there.
    pub fn backing_off<'a>(
        &'a self,
        service: &'a Service,
        now: Moment,
    ) -> impl Iterator<Item = (&'a Server, Span)> {
        self.of_service(service).filter_map(move |server| match self.reason(server, now) {
            Some(Unavailable::BackingOff(left) | Unavailable::Probing(left)) => {
                Some((server, left))
            }
            _ => None,
        })
    }

    fn of_service<'a>(&'a self, service: &'a Service) -> impl Iterator<Item = &'a Server> {
        self.servers.values().filter(move |one| one.replica.service == *service)
    }

    fn is_evacuated(&self, server: &Server) -> bool {
        self.evacuated.contains(&server.replica.data_centre)
    }

    /// Why a server is to get nothing now.
    fn reason(&self, server: &Server, now: Moment) -> Option<Unavailable> {
        let by_order = self.is_evacuated(server).then_some(Unavailable::Evacuated);
        by_order.or_else(|| server.availability.unavailable_reason(now))
    }

    /// Why a request that was meant for this life of a server may not leave for it, whatever it was chosen for.
    pub fn unavailable_reason(&self, replica: &Replica, now: Moment) -> Option<Unavailable> {
        let server =
            self.servers.get(&replica.id).filter(|one| one.replica.is_same_incarnation(replica));
        let reason = server.map_or(Some(Unavailable::Removed), |server| self.reason(server, now));
        // What tries a server after a rest may be this very request.
        reason.filter(|reason| reason.is_hard() && !matches!(reason, Unavailable::Probing(_)))
    }

    /// The version of a service that is in use when no roll-out says otherwise.
    pub fn default_version(&self, service: &Service) -> Option<&Version> {
        self.default_versions.get(service)
    }

    /// Makes a version the usual one.
    pub fn set_default_version(&mut self, service: &Service, version: &Version) {
        self.default_versions.insert(service.clone(), version.clone());
    }

    /// Whether any server is known.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// All servers.
    pub fn all(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    /// The mean share of failures among the servers of a service.
    pub fn failure_rate(&self, service: &Service, now: Moment) -> f64 {
        let (mut sum, mut count) = (0.0, 0.0);
        for server in self.eligible(service, now) {
            sum += server.availability.failure_rate();
            count += 1.0;
        }
        if count > 0.0 { sum / count } else { 0.0 }
    }
}
