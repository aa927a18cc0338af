//! State of the backend servers of the configuration as this VM knows it, and the choice of a
//! server for a request.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::chart::{self, Machine};
use crate::config::{ServerEntry, Snapshot};
use crate::decide::replica::{Replica, select_replica};
use crate::engine::wire::Load;
use crate::unit::{DataCentre, Moment, Revision, Server, Service, Span, Target};

/// One-way latency assumed to a server in another data centre.
const CROSS_DATA_CENTRE_LATENCY: Span = Span::millis(1);

/// A set of servers from which one is selected for a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Group {
    /// Servers that run a version of a model.
    Version(Target),
    /// Servers of a plain service.
    Service(Service),
}

/// The server selected for a request.
#[derive(Clone, Debug)]
pub struct SelectedServer {
    /// Name of the server.
    pub server: Server,
    /// Address on which the server accepts requests.
    pub address: SocketAddr,
}

/// What this VM knows of one server.
#[derive(Clone, Debug)]
struct ServerState {
    address: SocketAddr,
    slots: f64,
    state_machine: Machine,
    load: Load,
    reported_at: Moment,
    /// Number of this VM's requests that are open at the server.
    in_flight: f64,
    /// Number of this VM's requests that were open at the server at its last load report.
    in_flight_at_report: f64,
    failed_at: Option<Moment>,
    latency: Span,
    replica_id: u64,
    /// Groups of the server, with the index of its replica in each.
    group_indices: Vec<(Group, usize)>,
}

/// All backend servers of the configuration.
#[derive(Debug, Default)]
pub struct Fleet {
    revision: Option<Revision>,
    servers: HashMap<Server, ServerState>,
    /// Replicas and names of the servers of each group, in the same order.
    groups: HashMap<Group, (Vec<Replica>, Vec<Server>)>,
}

impl Fleet {
    /// Updates the servers to a configuration. Servers that remain keep their state; servers of
    /// drained data centres are in no group, so they get no requests.
    pub fn apply_snapshot(&mut self, snapshot: &Snapshot, own_data_centre: &DataCentre) {
        if self.revision == Some(snapshot.revision()) {
            return;
        }
        self.revision = Some(snapshot.revision());
        let mut previous = std::mem::take(&mut self.servers);
        self.groups.clear();
        for (i, entry) in snapshot.declared.servers.iter().enumerate() {
            let mut state = previous.remove(&entry.name).unwrap_or_else(|| new_state(entry));
            state.address = entry.address;
            state.slots = f64::from(entry.slots);
            state.replica_id = i as u64;
            state.latency = if entry.data_centre == *own_data_centre {
                Span(0)
            } else {
                CROSS_DATA_CENTRE_LATENCY
            };
            state.group_indices.clear();
            if !snapshot.root.drained.contains(&entry.data_centre) {
                for group in groups_of(entry) {
                    let (replicas, names) = self.groups.entry(group.clone()).or_default();
                    state.group_indices.push((group, replicas.len()));
                    replicas.push(to_replica(&state));
                    names.push(entry.name.clone());
                }
            }
            self.servers.insert(entry.name.clone(), state);
        }
        let names: Vec<Server> = self.servers.keys().cloned().collect();
        for name in names {
            self.update_replicas(&name);
        }
    }

    /// Selects a server of a group and counts the request as in flight there.
    ///
    /// `prefix` is a hash of the start of the prompt, for servers that have it cached, and `point`
    /// a random number that spreads the choice. Returns none if no server can take the request.
    pub fn select_server(
        &mut self,
        group: &Group,
        prefix: Option<u64>,
        point: u64,
        now: Moment,
    ) -> Option<SelectedServer> {
        let (replicas, names) = self.groups.get(group)?;
        let at = select_replica(replicas, prefix, point, now)?;
        let server = names[at].clone();
        let state = self.servers.get_mut(&server)?;
        state.in_flight += 1.0;
        let address = state.address;
        self.update_replicas(&server);
        Some(SelectedServer { server, address })
    }

    /// Records that a request of this VM at a server ended.
    pub fn on_request_end(&mut self, server: &Server) {
        if let Some(state) = self.servers.get_mut(server) {
            state.in_flight = (state.in_flight - 1.0).max(0.0);
            self.update_replicas(server);
        }
    }

    /// Records the load that a server reported when probed.
    pub fn on_load_report(&mut self, server: &Server, load: Load, now: Moment) {
        let Some(state) = self.servers.get_mut(server) else {
            return;
        };
        let event = if load.leaving { "leave" } else { "report" };
        let _ = state.state_machine.apply(event);
        state.load = load;
        state.reported_at = now;
        state.in_flight_at_report = state.in_flight;
        if !state.load.leaving {
            state.failed_at = None;
        }
        self.update_replicas(server);
    }

    /// Records the numbers of running and waiting requests that a server sent with a response.
    pub fn on_load_hint(&mut self, server: &Server, running: u32, waiting: u32, now: Moment) {
        let Some(state) = self.servers.get_mut(server) else {
            return;
        };
        state.load.running = running;
        state.load.waiting = waiting;
        state.reported_at = now;
        state.in_flight_at_report = state.in_flight;
        self.update_replicas(server);
    }

    /// Records that a server did not accept a request or failed while it ran one; for a while the
    /// server gets no requests.
    pub fn on_failure(&mut self, server: &Server, now: Moment) {
        let Some(state) = self.servers.get_mut(server) else {
            return;
        };
        let _ = state.state_machine.apply("fail");
        state.failed_at = Some(now);
        self.update_replicas(server);
    }

    /// Records that a server announced that it is draining.
    pub fn on_drain(&mut self, server: &Server) {
        let Some(state) = self.servers.get_mut(server) else {
            return;
        };
        let _ = state.state_machine.apply("leave");
        self.update_replicas(server);
    }

    /// Returns the name and address of each server.
    pub fn addresses(&self) -> Vec<(Server, SocketAddr)> {
        self.servers.iter().map(|(name, state)| (name.clone(), state.address)).collect()
    }

    /// Returns the address of a server; none if it is not in the configuration.
    pub fn address(&self, server: &Server) -> Option<SocketAddr> {
        self.servers.get(server).map(|state| state.address)
    }

    /// Returns true if a server reported a version of a model as loaded.
    pub fn has_loaded(&self, server: &Server, target: &Target) -> bool {
        self.servers.get(server).is_some_and(|state| state.load.loaded.contains(target))
    }

    /// Returns the number of servers in a group.
    pub fn server_count(&self, group: &Group) -> usize {
        self.groups.get(group).map_or(0, |(replicas, _)| replicas.len())
    }

    /// Describes for each server of a group if a request can be sent to it, and why not, for
    /// decision records.
    pub fn describe_candidates(&self, group: &Group, now: Moment) -> Vec<String> {
        let Some((replicas, names)) = self.groups.get(group) else {
            return Vec::new();
        };
        let describe = |(replica, name): (&Replica, &Server)| {
            let state =
                self.servers.get(name).map_or("unknown", |server| server.state_machine.state());
            let verdict = if !replica.accepting {
                format!("ruled out: {state} or not loaded")
            } else if !replica.is_usable(now) {
                "ruled out: failed recently".to_owned()
            } else {
                format!(
                    "load {:.0}, in flight from this VM {:.0}",
                    replica.reported, replica.own_open
                )
            };
            format!("{name}: {verdict}")
        };
        replicas.iter().zip(names).map(describe).collect()
    }

    /// Copies the changed state of a server to its replica in each of its groups, from which
    /// servers are selected.
    fn update_replicas(&mut self, server: &Server) {
        let Some(state) = self.servers.get(server) else {
            return;
        };
        for (group, at) in &state.group_indices {
            let Some((replicas, _)) = self.groups.get_mut(group) else {
                continue;
            };
            let mut updated = to_replica(state);
            if let Group::Version(target) = group
                && state.reported_at > Moment(0)
                && !state.load.loaded.is_empty()
            {
                updated.accepting &= state.load.loaded.contains(target);
            }
            replicas[*at] = updated;
        }
    }
}

fn new_state(entry: &ServerEntry) -> ServerState {
    ServerState {
        address: entry.address,
        slots: f64::from(entry.slots),
        state_machine: Machine::new(chart::named("server")),
        load: Load::default(),
        reported_at: Moment(0),
        in_flight: 0.0,
        in_flight_at_report: 0.0,
        failed_at: None,
        latency: Span(0),
        replica_id: 0,
        group_indices: Vec::new(),
    }
}

/// Returns the groups of a server: one per version that it runs, and its service.
fn groups_of(entry: &ServerEntry) -> Vec<Group> {
    let versions = entry.versions.iter().cloned().map(Group::Version);
    versions.chain(entry.service.iter().cloned().map(Group::Service)).collect()
}

/// Returns the state of a server in the form that [`select_replica`] needs.
fn to_replica(state: &ServerState) -> Replica {
    Replica {
        id: state.replica_id,
        slots: state.slots,
        reported: f64::from(state.load.running + state.load.waiting),
        reported_at: state.reported_at,
        own_open: state.in_flight,
        own_open_at_report: state.in_flight_at_report,
        accepting: !matches!(state.state_machine.state(), "leaving" | "gone"),
        failed_at: state.failed_at,
        latency: state.latency,
    }
}
