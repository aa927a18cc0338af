//! Index of the backend servers by service, version and data centre, from which a bounded number of
//! servers is sampled for a decision.
//!
//! The servers of each version are arranged on a hash ring that is the same on all VMs. A VM samples
//! those that follow its own point, so that it uses the same servers again and again and the VMs
//! spread over all servers. For a prompt it samples those that follow the hash of the shared part,
//! so that all VMs of a data centre send equal prompts to the same servers.

use std::collections::{BTreeSet, HashMap, HashSet};

use super::replica::Replica;
use crate::decide::canary;
use crate::unit::{DataCentre, Server as Id, Service, Version, hash};

/// Servers of the VM's own data centre that are sampled for a decision.
const LOCAL_SERVERS: usize = 48;
/// Servers of all data centres that are sampled in addition, for the case that the own one has none
/// left.
const OTHER_SERVERS: usize = 16;
/// Servers that are sampled for a prompt: the one that has probably cached it, and those that stand
/// in for it.
const AFFINE_SERVERS: usize = 4;

/// Largest number of servers in a trial that are enumerated; a larger trial is a part of the ring.
const MAX_ENUMERATED: usize = 64;

/// Where a VM stands among the servers.
#[derive(Clone, Debug)]
pub struct Viewpoint {
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// Point of the VM on every ring.
    pub point: u64,
}

/// Servers on a hash ring. An entry without an id is only used as the start of a range.
#[derive(Debug, Default)]
struct Ring(BTreeSet<(u64, Option<Id>)>);

impl Ring {
    /// Returns the servers whose position is at most `end`, each once, from `point` on.
    fn starting_at(&self, point: u64, end: u64) -> impl Iterator<Item = &Id> {
        let start = (end.checked_add(1).map_or(point, |length| point % length), None);
        let after = self.0.range(start.clone()..).take_while(move |(at, _)| *at <= end);
        let before = self.0.range(..start);
        after.chain(before).filter_map(|(_, id)| id.as_ref())
    }
}

/// Servers of one version.
#[derive(Debug, Default)]
struct VersionServers {
    all: Ring,
    by_data_centre: HashMap<DataCentre, Ring>,
}

impl VersionServers {
    fn insert(&mut self, replica: &Replica) {
        let entry = (position(replica), Some(replica.id.clone()));
        let local = self.by_data_centre.entry(replica.data_centre.clone()).or_default();
        local.0.insert(entry.clone());
        self.all.0.insert(entry);
    }

    fn remove(&mut self, replica: &Replica) {
        let entry = (position(replica), Some(replica.id.clone()));
        self.all.0.remove(&entry);
        if let Some(local) = self.by_data_centre.get_mut(&replica.data_centre) {
            local.0.remove(&entry);
        }
        self.by_data_centre.retain(|_, local| !local.0.is_empty());
    }

    /// Returns the end of the part of the ring that takes part in a trial with a share of the
    /// servers.
    fn trial_end(&self, share: Option<f64>) -> u64 {
        let count = self.all.0.len();
        let Some(share) = share else { return u64::MAX };
        let taking_part = canary::trial_servers(share, count);
        if taking_part <= MAX_ENUMERATED {
            let last = self.all.0.iter().nth(taking_part.saturating_sub(1));
            return last.map_or(u64::MAX, |(at, _)| *at);
        }
        (taking_part as f64 / count as f64 * u64::MAX as f64) as u64
    }

    /// Returns the ring of a data centre, or of all servers if it has none.
    fn local(&self, data_centre: &DataCentre) -> &Ring {
        self.by_data_centre.get(data_centre).unwrap_or(&self.all)
    }
}

/// Returns the position of a server on the rings, which is the same on all VMs.
fn position(replica: &Replica) -> u64 {
    hash::stable(&[replica.service.as_str(), replica.id.as_str()])
}

/// Returns true if the index has two states of the same server at the same place.
pub fn has_same_place(one: &Replica, other: &Replica) -> bool {
    one.service == other.service
        && one.version == other.version
        && one.data_centre == other.data_centre
}

/// Servers of one service.
#[derive(Debug, Default)]
struct ServiceServers {
    /// In random order, which differs between processes.
    ids: HashSet<Id>,
    by_version: HashMap<Version, VersionServers>,
}

/// Which servers of a service to sample.
pub struct Query<'a> {
    /// Returns true for the versions whose servers are sampled.
    pub is_version: &'a dyn Fn(&Version) -> bool,
    /// Share of the servers that take part in a trial of their version; `None` without a trial.
    pub trial_share: Option<f64>,
    /// Hash of the shared part of a prompt; `None` if nothing is shared.
    pub prompt: Option<u64>,
}

/// Servers that were sampled for a decision.
#[derive(Debug, Default)]
pub struct Sample<'a> {
    /// Servers that all VMs of the data centre sample for the prompt, the first one preferred.
    pub affine: Vec<&'a Id>,
    /// All sampled servers, each once, the affine ones first.
    pub all: Vec<&'a Id>,
}

/// The servers of all services.
#[derive(Debug, Default)]
pub struct ServerIndex {
    services: HashMap<Service, ServiceServers>,
}

impl ServerIndex {
    /// Inserts a server.
    pub fn insert(&mut self, replica: &Replica) {
        let service = self.services.entry(replica.service.clone()).or_default();
        service.ids.insert(replica.id.clone());
        service.by_version.entry(replica.version.clone()).or_default().insert(replica);
    }

    /// Removes a server, which must be as it was when it was inserted.
    pub fn remove(&mut self, replica: &Replica) {
        let Some(service) = self.services.get_mut(&replica.service) else { return };
        service.ids.remove(&replica.id);
        if let Some(of_version) = service.by_version.get_mut(&replica.version) {
            of_version.remove(replica);
        }
        service.by_version.retain(|_, of_version| !of_version.all.0.is_empty());
        if service.ids.is_empty() {
            self.services.remove(&replica.service);
        }
    }

    /// Returns the names of the services that have servers.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.keys()
    }

    /// Returns the ids of all servers of a service.
    pub fn ids<'a>(&'a self, service: &Service) -> impl Iterator<Item = &'a Id> + use<'a> {
        self.services.get(service).into_iter().flat_map(|service| &service.ids)
    }

    /// Returns the number of servers of a service.
    pub fn count(&self, service: &Service) -> usize {
        self.services.get(service).map_or(0, |service| service.ids.len())
    }

    /// Samples servers of a service for one decision; their number does not depend on how many the
    /// service has.
    pub fn sample(&self, service: &Service, from: &Viewpoint, query: &Query) -> Sample<'_> {
        let mut sample = Sample::default();
        let Some(service) = self.services.get(service) else { return sample };
        let versions = service.by_version.iter().filter(|(version, _)| (query.is_version)(version));
        let versions: Vec<(&VersionServers, u64)> =
            versions.map(|(_, servers)| (servers, servers.trial_end(query.trial_share))).collect();
        for (servers, end) in &versions {
            let Some(prompt) = query.prompt else { break };
            let affine = servers.local(&from.data_centre).starting_at(prompt, *end);
            sample.affine.extend(affine.take(AFFINE_SERVERS));
        }
        let mut seen: HashSet<&Id> = sample.affine.iter().copied().collect();
        sample.all.clone_from(&sample.affine);
        for (servers, end) in &versions {
            let local = servers.local(&from.data_centre).starting_at(from.point, *end);
            let others = servers.all.starting_at(from.point, *end);
            let both = local.take(LOCAL_SERVERS).chain(others.take(OTHER_SERVERS));
            sample.all.extend(both.filter(|id| seen.insert(*id)));
        }
        sample
    }
}
