//! The platform's objects, decoded into the project's types.

use std::net::SocketAddr;
use std::rc::Rc;

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::config::{KeyHolder, Limits, Pool, Regions, RetryPolicy, Route, Table, WeightedService};
use crate::decide::cold_start::ColdStart;
use crate::forward::replica::{Phase, Replica, Rollout};
use crate::unit::{
    DataCentre, Era, Model, Position, Rate, Region, Revision, Service, Span, Version,
};

/// Kinds of objects, and the name of the operator's configuration.
pub const CONFIG: &str = "config";
/// The newest configuration's name.
pub const MAIN: &str = "main";
/// Entries of backend servers.
pub const SERVERS: &str = "servers";
/// Orders to empty a data centre of new work; each is named after it.
pub const EVACUATIONS: &str = "evacuations";
/// Orders to roll a version out.
pub const ROLLOUTS: &str = "rollouts";

/// Attempts of a route that names none.
const ATTEMPTS: u32 = 1;

/// Rank of a workspace or route that names none.
const PRIORITY: u32 = 5;

/// Weight of a part that names none.
const WEIGHT: f64 = 1.0;

/// Timeout of a route that names none, in milliseconds.
const TIMEOUT_MS: f64 = 30_000.0;

/// Goal of a route that names none, in milliseconds.
const GOAL_MS: f64 = 1000.0;

/// Connections that a server of a service that says nothing takes.
const CONNECTIONS: u32 = 64;

/// An object of the store.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Object {
    /// Name and position.
    pub metadata: Metadata,
    /// What its owner wrote.
    #[serde(default)]
    pub spec: Value,
    /// What was answered to it.
    #[serde(default)]
    pub status: Value,
}

/// Name and position of an object.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(from = "Encoded", into = "Encoded")]
pub struct Metadata {
    /// Its name among its kind.
    pub name: String,
    /// Position of its last change.
    pub position: Position,
}

/// Metadata as the store sends them, which leaves out the era, and as VMs pass them on.
#[derive(Deserialize, Serialize)]
struct Encoded {
    name: String,
    revision: u64,
    #[serde(default, skip_serializing_if = "is_first")]
    era: Era,
}

fn is_first(era: &Era) -> bool {
    *era == Era::default()
}

impl From<Encoded> for Metadata {
    fn from(Encoded { name, revision, era }: Encoded) -> Metadata {
        Metadata { name, position: Position { era, revision } }
    }
}

impl From<Metadata> for Encoded {
    fn from(Metadata { name, position: Position { era, revision } }: Metadata) -> Encoded {
        Encoded { name, revision, era }
    }
}

impl Object {
    /// The object in JSON, as VMs pass it on.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("names and JSON values encode")
    }

    /// The object of a text that [`Object::to_json`] gave.
    ///
    /// # Errors
    /// Why it does not read.
    pub fn from_json(text: &str) -> Result<Object, String> {
        serde_json::from_str(text).map_err(|fault| fault.to_string())
    }
}

#[derive(Deserialize)]
struct Config {
    version: u64,
    #[serde(default)]
    routes: Vec<RouteEntry>,
    #[serde(default)]
    services: Vec<ServiceEntry>,
    #[serde(default)]
    limits: LimitsEntry,
    tenants: Option<Vec<Tenant>>,
}

#[derive(Deserialize)]
struct RouteEntry {
    #[serde(default)]
    name: String,
    host: String,
    path_prefix: String,
    r#type: String,
    timeout_ms: Option<f64>,
    latency_goal_ms: Option<f64>,
    priority: Option<u32>,
    max_attempts: Option<u32>,
    service: Option<Service>,
    backends: Option<Vec<Backend>>,
    #[serde(default)]
    public: bool,
    #[serde(default)]
    stream_resume: bool,
    sizes: Option<Vec<Model>>,
    allowed_regions: Option<Vec<Region>>,
}

#[derive(Deserialize)]
struct Backend {
    service: Service,
    weight: Option<f64>,
}

#[derive(Deserialize)]
struct ServiceEntry {
    name: Service,
    max_connections: Option<u32>,
    /// Time that a server is cold after its start.
    cold_start_s: Option<f64>,
    /// Requests that it bears then.
    cold_per_s: Option<f64>,
}

#[derive(Default, Deserialize)]
struct LimitsEntry {
    max_body_bytes: Option<usize>,
    header_timeout_ms: Option<f64>,
    idle_timeout_ms: Option<f64>,
}

#[derive(Deserialize)]
struct Tenant {
    name: crate::unit::Workspace,
    #[serde(default)]
    api_keys: Vec<String>,
    priority: Option<u32>,
    allowed_regions: Option<Vec<Region>>,
}

fn millis(ms: f64) -> Span {
    Span((ms.max(0.0) * 1000.0) as u64)
}

/// The configuration of an object.
///
/// # Errors
/// Why it does not read.
pub fn decode_config(object: &Object) -> Result<Table, String> {
    let config: Config =
        serde_json::from_value(object.spec.clone()).map_err(|fault| fault.to_string())?;
    let known = Limits::default();
    let entry = &config.limits;
    let limits = Limits {
        max_body_bytes: entry.max_body_bytes.unwrap_or(known.max_body_bytes),
        header_timeout: entry.header_timeout_ms.map_or(known.header_timeout, millis),
        idle_timeout: entry.idle_timeout_ms.map_or(known.idle_timeout, millis),
    };
    let mut table = Table::new(Revision(config.version), limits, config.tenants.is_some());
    for entry in config.routes {
        let host = entry.host.clone();
        table.add_route(&host, route(entry)?);
    }
    for entry in config.services {
        let max_connections = entry.max_connections.unwrap_or(CONNECTIONS);
        let cold_start = cold(&entry);
        table.add_pool(entry.name, Pool { max_connections, cold_start });
    }
    for tenant in config.tenants.into_iter().flatten() {
        let priority = tenant.priority.unwrap_or(PRIORITY);
        let regions = Regions::new(tenant.allowed_regions.unwrap_or_default());
        let holder = Rc::new(KeyHolder { workspace: tenant.name, priority, regions });
        for key in &tenant.api_keys {
            table.add_key(key, holder.clone());
        }
    }
    Ok(table)
}

/// What a service says of servers that start; a rate of nought says that it has no limit.
fn cold(entry: &ServiceEntry) -> Option<ColdStart> {
    let rate = entry.cold_per_s.filter(|rate| *rate > 0.0)?;
    let lasts = millis(entry.cold_start_s.unwrap_or_default() * 1000.0);
    Some(ColdStart { rate: Rate(rate), duration: lasts })
}

fn route(entry: RouteEntry) -> Result<Route, String> {
    let streaming = entry.r#type == "streaming";
    let retry = match entry.r#type.as_str() {
        "idempotent" => RetryPolicy::Safe,
        "streaming" if entry.stream_resume => RetryPolicy::Resume,
        _ => RetryPolicy::Never,
    };
    let whole = entry.service.map(|service| vec![WeightedService { service, weight: WEIGHT }]);
    let split = entry.backends.map(|parts| {
        let part =
            |b: Backend| WeightedService { service: b.service, weight: b.weight.unwrap_or(WEIGHT) };
        parts.into_iter().map(part).collect()
    });
    let services =
        split.or(whole).ok_or_else(|| format!("route `{}` has no service", entry.name))?;
    Ok(Route {
        name: entry.name,
        prefix: entry.path_prefix,
        services,
        retry,
        streaming,
        timeout: millis(entry.timeout_ms.unwrap_or(TIMEOUT_MS)),
        latency_goal: millis(entry.latency_goal_ms.unwrap_or(GOAL_MS)),
        max_attempts: entry.max_attempts.unwrap_or(ATTEMPTS).max(1),
        priority: entry.priority.unwrap_or(PRIORITY),
        public: entry.public,
        regions: Regions::new(entry.allowed_regions.unwrap_or_default()),
        cascade: entry.sizes.unwrap_or_default(),
    })
}

/// The entry of a backend server. Others than servers may write there too, so all of it must read.
#[derive(Deserialize)]
struct Entry {
    service: Service,
    address: SocketAddr,
    zone: DataCentre,
    version: Version,
    capacity: u32,
    state: State,
    /// How much longer it is cold, when the entry was written.
    cold_remaining_ms: f64,
    /// Counts its writes; nobody needs it.
    #[serde(rename = "sequence")]
    _sequence: u64,
    /// The start of this life, in Unix milliseconds.
    born: Option<u64>,
}

/// What a server says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum State {
    /// It takes new work.
    Ready,
    /// It leaves.
    Draining,
}

/// The backend server of an object.
///
/// # Errors
/// Why it does not read.
pub fn decode_replica(object: &Object) -> Result<Replica, String> {
    let entry: Entry =
        serde_json::from_value(object.spec.clone()).map_err(|fault| fault.to_string())?;
    Ok(Replica {
        id: object.metadata.name.parse().map_err(|fault| format!("{fault}"))?,
        started_at_ms: entry.born,
        service: entry.service,
        address: entry.address,
        data_centre: entry.zone,
        version: entry.version,
        slots: entry.capacity.max(1),
        cold: millis(entry.cold_remaining_ms),
        ready: entry.state == State::Ready,
    })
}

/// The data centre that an order asks to empty. The name alone says it; the order stands while the object is there.
///
/// # Errors
/// Why it does not read.
pub fn decode_evacuation(object: &Object) -> Result<DataCentre, String> {
    object.metadata.name.parse().map_err(|fault| format!("{fault}"))
}

#[derive(Deserialize)]
struct Order {
    service: Service,
    target_version: Version,
    duration_s: f64,
}

#[derive(Default, Deserialize)]
struct Progress {
    target_version: Option<Version>,
    state: Option<String>,
    /// Our own field: what share of sessions the new version gets.
    share: Option<f64>,
}

/// The roll-out of an object.
///
/// # Errors
/// Why it does not read.
pub fn decode_rollout(object: &Object) -> Result<Rollout, String> {
    let order: Order =
        serde_json::from_value(object.spec.clone()).map_err(|fault| fault.to_string())?;
    // A status that does not read counts as none: the next step writes a good one.
    let progress: Progress = serde_json::from_value(object.status.clone()).unwrap_or_default();
    let of_this_order = progress.target_version.as_ref() == Some(&order.target_version);
    let phase = match progress.state.as_deref() {
        _ if !of_this_order => None,
        Some("completed") => Some(Phase::Completed),
        Some("rolled_back") => Some(Phase::RolledBack),
        Some("in_progress") => {
            Some(Phase::Running { share: progress.share.unwrap_or_default().clamp(0.0, 1.0) })
        }
        _ => None,
    };
    Ok(Rollout {
        service: order.service,
        version: order.target_version,
        within: millis(order.duration_s * 1000.0),
        phase,
        stored: phase,
        position: object.metadata.position,
    })
}

/// The status that says how far a roll-out has come.
pub fn rollout_status(rollout: &Rollout, phase: Phase) -> Value {
    let (state, share) = match phase {
        Phase::Running { share } => ("in_progress", share),
        Phase::Completed => ("completed", 1.0),
        Phase::RolledBack => ("rolled_back", 0.0),
    };
    json!({"target_version": rollout.version.as_str(), "state": state, "share": share})
}
