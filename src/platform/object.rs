//! Decodes the objects of the platform's store into types of this program.

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

/// Kind of the operator's configurations.
pub const CONFIG: &str = "config";
/// Name of the object with the newest configuration.
pub const MAIN: &str = "main";
/// Kind of the entries of backend servers.
pub const SERVERS: &str = "servers";
/// Kind of the orders to send no new work to a data centre. Each is named after its data centre.
pub const EVACUATIONS: &str = "evacuations";
/// Kind of the orders to roll out a version.
pub const ROLLOUTS: &str = "rollouts";

/// Attempts per request of a route that does not set them.
const DEFAULT_MAX_ATTEMPTS: u32 = 1;

/// Priority of a workspace or route that does not set one.
const DEFAULT_PRIORITY: u32 = 5;

/// Weight of a route's service that does not set one.
const DEFAULT_WEIGHT: f64 = 1.0;

/// Timeout of a route that does not set one.
const DEFAULT_TIMEOUT_MS: f64 = 30_000.0;

/// Latency goal of a route that does not set one.
const DEFAULT_LATENCY_GOAL_MS: f64 = 1000.0;

/// Connections per server of a service that does not limit them.
const DEFAULT_MAX_CONNECTIONS: u32 = 64;

/// Object of the store.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Object {
    /// Name and position.
    pub metadata: Metadata,
    /// Content written by the owner of the object.
    #[serde(default)]
    pub spec: Value,
    /// Status written by whoever acts on the object.
    #[serde(default)]
    pub status: Value,
}

/// Name and position of an object.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(from = "Encoded", into = "Encoded")]
pub struct Metadata {
    /// Name, unique within the kind.
    pub name: String,
    /// Position of its last change.
    pub position: Position,
}

/// Encoding of [`Metadata`]. The store leaves out the era (number of restores of the store); VMs
/// include it in what they forward to each other, unless it is the first.
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
    /// Encodes the object as JSON, as VMs forward it to each other.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("names and JSON values encode")
    }

    /// Decodes an object that [`Object::to_json`] encoded.
    ///
    /// # Errors
    /// If the text is not such JSON; the error is the decoder's message.
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
    /// Time after its start during which a server is cold.
    cold_start_s: Option<f64>,
    /// Requests per second that it accepts while it is cold.
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

/// Decodes a configuration.
///
/// # Errors
/// If the object does not decode or a route has no service.
pub fn decode_config(object: &Object) -> Result<Table, String> {
    let config: Config =
        serde_json::from_value(object.spec.clone()).map_err(|fault| fault.to_string())?;
    let default = Limits::default();
    let entry = &config.limits;
    let limits = Limits {
        max_body_bytes: entry.max_body_bytes.unwrap_or(default.max_body_bytes),
        header_timeout: entry.header_timeout_ms.map_or(default.header_timeout, millis),
        idle_timeout: entry.idle_timeout_ms.map_or(default.idle_timeout, millis),
    };
    let mut table = Table::new(Revision(config.version), limits, config.tenants.is_some());
    for entry in config.routes {
        let host = entry.host.clone();
        table.add_route(&host, decode_route(entry)?);
    }
    for entry in config.services {
        let max_connections = entry.max_connections.unwrap_or(DEFAULT_MAX_CONNECTIONS);
        let cold_start = decode_cold_start(&entry);
        table.add_pool(entry.name, Pool { max_connections, cold_start });
    }
    for tenant in config.tenants.into_iter().flatten() {
        let priority = tenant.priority.unwrap_or(DEFAULT_PRIORITY);
        let regions = Regions::new(tenant.allowed_regions.unwrap_or_default());
        let holder = Rc::new(KeyHolder { workspace: tenant.name, priority, regions });
        for key in &tenant.api_keys {
            table.add_key(key, holder.clone());
        }
    }
    Ok(table)
}

/// Decodes the rate limit of servers that just started. A rate of 0 means no limit.
fn decode_cold_start(entry: &ServiceEntry) -> Option<ColdStart> {
    let rate = entry.cold_per_s.filter(|rate| *rate > 0.0)?;
    let duration = millis(entry.cold_start_s.unwrap_or_default() * 1000.0);
    Some(ColdStart { rate: Rate(rate), duration })
}

fn decode_route(entry: RouteEntry) -> Result<Route, String> {
    let is_streaming = entry.r#type == "streaming";
    let retry = match entry.r#type.as_str() {
        "idempotent" => RetryPolicy::Safe,
        "streaming" if entry.stream_resume => RetryPolicy::Resume,
        _ => RetryPolicy::Never,
    };
    let single =
        entry.service.map(|service| vec![WeightedService { service, weight: DEFAULT_WEIGHT }]);
    let split = entry.backends.map(|parts| {
        let part = |b: Backend| WeightedService {
            service: b.service,
            weight: b.weight.unwrap_or(DEFAULT_WEIGHT),
        };
        parts.into_iter().map(part).collect()
    });
    let services =
        split.or(single).ok_or_else(|| format!("route `{}` has no service", entry.name))?;
    Ok(Route {
        name: entry.name,
        prefix: entry.path_prefix,
        services,
        retry,
        is_streaming,
        timeout: millis(entry.timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS)),
        latency_goal: millis(entry.latency_goal_ms.unwrap_or(DEFAULT_LATENCY_GOAL_MS)),
        max_attempts: entry.max_attempts.unwrap_or(DEFAULT_MAX_ATTEMPTS).max(1),
        priority: entry.priority.unwrap_or(DEFAULT_PRIORITY),
        is_public: entry.public,
        regions: Regions::new(entry.allowed_regions.unwrap_or_default()),
        cascade: entry.sizes.unwrap_or_default(),
    })
}

/// Entry of a backend server. Not only servers may write this kind, so an entry counts only if all
/// of its fields decode.
#[derive(Deserialize)]
struct ServerEntry {
    service: Service,
    address: SocketAddr,
    zone: DataCentre,
    version: Version,
    capacity: u32,
    state: ServerState,
    /// Time for which it was still cold when the entry was written.
    cold_remaining_ms: f64,
    /// Number of writes of the entry. Not used, but required for the entry to decode.
    #[serde(rename = "sequence")]
    _sequence: u64,
    /// Start of the server's process, in milliseconds since the Unix epoch.
    born: Option<u64>,
}

/// State that a server reports in its entry.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum ServerState {
    /// Accepts new requests.
    Ready,
    /// Is about to stop and must not receive new requests.
    Draining,
}

/// Decodes the entry of a backend server.
///
/// # Errors
/// If a field does not decode or the object's name is not a server's.
pub fn decode_replica(object: &Object) -> Result<Replica, String> {
    let entry: ServerEntry =
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
        ready: entry.state == ServerState::Ready,
    })
}

/// Decodes the data centre of an evacuation. The object's name alone holds it; the order is in
/// force while the object exists.
///
/// # Errors
/// If the name is not that of a data centre.
pub fn decode_evacuation(object: &Object) -> Result<DataCentre, String> {
    object.metadata.name.parse().map_err(|fault| format!("{fault}"))
}

#[derive(Deserialize)]
struct RolloutSpec {
    service: Service,
    target_version: Version,
    duration_s: f64,
}

#[derive(Default, Deserialize)]
struct RolloutStatus {
    target_version: Option<Version>,
    state: Option<String>,
    /// Share of sessions that use the new version, from 0 to 1. Written by this program alone.
    share: Option<f64>,
}

/// Decodes a roll-out and how far it has come. A status that names another target version is that
/// of an earlier order and does not count.
///
/// # Errors
/// If the specification does not decode.
pub fn decode_rollout(object: &Object) -> Result<Rollout, String> {
    let order: RolloutSpec =
        serde_json::from_value(object.spec.clone()).map_err(|fault| fault.to_string())?;
    // A status that does not decode counts as none: the next step overwrites it.
    let status: RolloutStatus = serde_json::from_value(object.status.clone()).unwrap_or_default();
    let is_current = status.target_version.as_ref() == Some(&order.target_version);
    let phase = match status.state.as_deref() {
        _ if !is_current => None,
        Some("completed") => Some(Phase::Completed),
        Some("rolled_back") => Some(Phase::RolledBack),
        Some("in_progress") => {
            Some(Phase::Running { share: status.share.unwrap_or_default().clamp(0.0, 1.0) })
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

/// Returns the status to write to the store for a roll-out in a phase.
pub fn rollout_status(rollout: &Rollout, phase: Phase) -> Value {
    let (state, share) = match phase {
        Phase::Running { share } => ("in_progress", share),
        Phase::Completed => ("completed", 1.0),
        Phase::RolledBack => ("rolled_back", 0.0),
    };
    json!({"target_version": rollout.version.as_str(), "state": state, "share": share})
}
