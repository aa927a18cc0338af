//! The backend servers as this VM sees them.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::chart::{self, Machine};
use crate::config::{ServerEntry, Snapshot};
use crate::decide::replica::{Replica, choose};
use crate::engine::wire::Load;
use crate::unit::{DataCentre, Moment, Revision, Server, Service, Span, Target};

/// Latency to another data centre, one way.
const BETWEEN: Span = Span::millis(1);

/// What a server can be chosen for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Group {
    /// A version.
    Version(Target),
    /// A plain service.
    Service(Service),
}

/// A chosen server.
#[derive(Clone, Debug)]
pub struct Picked {
    /// Its name.
    pub server: Server,
    /// Where it listens.
    pub address: SocketAddr,
}

#[derive(Clone, Debug)]
struct Known {
    address: SocketAddr,
    slots: f64,
    life: Machine,
    load: Load,
    reported_at: Moment,
    own: f64,
    own_then: f64,
    failed_at: Option<Moment>,
    distance: Span,
    number: u64,
    places: Vec<(Group, usize)>,
}

/// All backend servers of the configuration.
#[derive(Debug, Default)]
pub struct Fleet {
    revision: Option<Revision>,
    servers: HashMap<Server, Known>,
    groups: HashMap<Group, (Vec<Replica>, Vec<Server>)>,
}

impl Fleet {
    /// Follows the configuration; what is known of servers that stay is kept.
    pub fn sync(&mut self, snapshot: &Snapshot, home: &DataCentre) {
        if self.revision == Some(snapshot.revision()) {
            return;
        }
        self.revision = Some(snapshot.revision());
        let mut before = std::mem::take(&mut self.servers);
        self.groups.clear();
        for (i, entry) in snapshot.declared.servers.iter().enumerate() {
            let mut known = before.remove(&entry.name).unwrap_or_else(|| fresh(entry));
            known.address = entry.address;
            known.slots = f64::from(entry.slots);
            known.number = i as u64;
            known.distance = if entry.data_centre == *home { Span(0) } else { BETWEEN };
            known.places.clear();
            if !snapshot.root.drained.contains(&entry.data_centre) {
                for group in groups_of(entry) {
                    let (replicas, names) = self.groups.entry(group.clone()).or_default();
                    known.places.push((group, replicas.len()));
                    replicas.push(replica(&known));
                    names.push(entry.name.clone());
                }
            }
            self.servers.insert(entry.name.clone(), known);
        }
        let names: Vec<Server> = self.servers.keys().cloned().collect();
        for name in names {
            self.refresh(&name);
        }
    }

    /// Chooses a server and counts the request on it.
    pub fn pick(
        &mut self,
        group: &Group,
        prefix: Option<u64>,
        point: u64,
        now: Moment,
    ) -> Option<Picked> {
        let (replicas, names) = self.groups.get(group)?;
        let at = choose(replicas, prefix, point, now)?;
        let server = names[at].clone();
        let known = self.servers.get_mut(&server)?;
        known.own += 1.0;
        let address = known.address;
        self.refresh(&server);
        Some(Picked { server, address })
    }

    /// A request on a server ended.
    pub fn ended(&mut self, server: &Server) {
        if let Some(known) = self.servers.get_mut(server) {
            known.own = (known.own - 1.0).max(0.0);
            self.refresh(server);
        }
    }

    /// A server reported its load.
    pub fn report(&mut self, server: &Server, load: Load, now: Moment) {
        let Some(known) = self.servers.get_mut(server) else {
            return;
        };
        let event = if load.leaving { "leave" } else { "report" };
        let _ = known.life.apply(event);
        known.load = load;
        known.reported_at = now;
        known.own_then = known.own;
        if !known.load.leaving {
            known.failed_at = None;
        }
        self.refresh(server);
    }

    /// A server's answer told its load: requests running and waiting.
    pub fn hint(&mut self, server: &Server, running: u32, waiting: u32, now: Moment) {
        let Some(known) = self.servers.get_mut(server) else {
            return;
        };
        known.load.running = running;
        known.load.waiting = waiting;
        known.reported_at = now;
        known.own_then = known.own;
        self.refresh(server);
    }

    /// A server did not take a request, or broke one off.
    pub fn failed(&mut self, server: &Server, now: Moment) {
        let Some(known) = self.servers.get_mut(server) else {
            return;
        };
        let _ = known.life.apply("fail");
        known.failed_at = Some(now);
        self.refresh(server);
    }

    /// A server said that it is leaving.
    pub fn leaving(&mut self, server: &Server) {
        let Some(known) = self.servers.get_mut(server) else {
            return;
        };
        let _ = known.life.apply("leave");
        self.refresh(server);
    }

    /// Name and address of each server.
    pub fn addresses(&self) -> Vec<(Server, SocketAddr)> {
        self.servers.iter().map(|(name, known)| (name.clone(), known.address)).collect()
    }

    /// Where a server listens.
    pub fn address(&self, server: &Server) -> Option<SocketAddr> {
        self.servers.get(server).map(|known| known.address)
    }

    /// Whether a server reports a version as loaded.
    pub fn has_loaded(&self, server: &Server, target: &Target) -> bool {
        self.servers.get(server).is_some_and(|known| known.load.loaded.contains(target))
    }

    /// Servers of a group.
    pub fn size(&self, group: &Group) -> usize {
        self.groups.get(group).map_or(0, |(replicas, _)| replicas.len())
    }

    /// Why a request could or could not go to each server of a group, in words.
    pub fn candidates(&self, group: &Group, now: Moment) -> Vec<String> {
        let Some((replicas, names)) = self.groups.get(group) else {
            return Vec::new();
        };
        let word = |(replica, name): (&Replica, &Server)| {
            let state = self.servers.get(name).map_or("unknown", |known| known.life.state());
            let ruled = if !replica.accepting {
                format!("ruled out: {state} or not loaded")
            } else if !replica.usable(now) {
                "ruled out: failed a moment ago".to_owned()
            } else {
                format!("load {:.0}, own {:.0}", replica.reported, replica.own)
            };
            format!("{name}: {ruled}")
        };
        replicas.iter().zip(names).map(word).collect()
    }

    fn refresh(&mut self, server: &Server) {
        let Some(known) = self.servers.get(server) else {
            return;
        };
        for (group, at) in &known.places {
            let Some((replicas, _)) = self.groups.get_mut(group) else {
                continue;
            };
            let mut fresh = replica(known);
            if let Group::Version(target) = group
                && known.reported_at > Moment(0)
                && !known.load.loaded.is_empty()
            {
                fresh.accepting &= known.load.loaded.contains(target);
            }
            replicas[*at] = fresh;
        }
    }
}

fn fresh(entry: &ServerEntry) -> Known {
    Known {
        address: entry.address,
        slots: f64::from(entry.slots),
        life: Machine::new(chart::named("server")),
        load: Load::default(),
        reported_at: Moment(0),
        own: 0.0,
        own_then: 0.0,
        failed_at: None,
        distance: Span(0),
        number: 0,
        places: Vec::new(),
    }
}

fn groups_of(entry: &ServerEntry) -> Vec<Group> {
    let versions = entry.versions.iter().cloned().map(Group::Version);
    versions.chain(entry.service.iter().cloned().map(Group::Service)).collect()
}

fn replica(known: &Known) -> Replica {
    Replica {
        id: known.number,
        slots: known.slots,
        reported: f64::from(known.load.running + known.load.waiting),
        reported_at: known.reported_at,
        own: known.own,
        own_at_report: known.own_then,
        accepting: !matches!(known.life.state(), "leaving" | "gone"),
        failed_at: known.failed_at,
        latency: known.distance,
    }
}
