//! Format of the declarations that operators keep in version control.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::unit::{
    Cost, DataCentre, Kind, Model, Rate, Server, Service, Target, Version, Workspace,
};

/// All declarations of a fleet, merged from all files.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Declarations {
    /// Models and their versions.
    #[serde(default, rename = "model")]
    pub models: Vec<ModelEntry>,
    /// Backend servers.
    #[serde(default, rename = "server")]
    pub servers: Vec<ServerEntry>,
    /// Plain services.
    #[serde(default, rename = "service")]
    pub services: Vec<ServiceEntry>,
    /// Workspaces and what they may use.
    #[serde(default, rename = "workspace")]
    pub workspaces: Vec<WorkspaceEntry>,
}

/// A model and its versions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelEntry {
    /// Name of the model.
    pub name: Model,
    /// Version in service, unless a finished roll-out replaced it.
    pub serving: Version,
    /// Versions that servers may run.
    #[serde(rename = "version")]
    pub versions: Vec<VersionEntry>,
}

/// A version of a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionEntry {
    /// Name of the version, unique within the model.
    pub name: Version,
    /// Price per thousand tokens, in micro-euros.
    pub cost: Cost,
    /// Expected share of answers that pass, 0 to 1; used until there is evidence.
    pub quality: f64,
    /// Longest context, in tokens.
    pub context: u32,
}

/// The kind of work of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServerKind {
    /// Runs versions of models.
    Engine,
    /// Runs a replica of a plain service.
    Service,
}

/// A backend server, for model versions or for a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerEntry {
    /// Unique name.
    pub name: Server,
    /// Address at which it listens.
    pub address: SocketAddr,
    /// Data centre in which it runs.
    pub data_centre: DataCentre,
    /// Kind of work that it runs.
    pub kind: ServerKind,
    /// Versions that it may run, for an engine.
    #[serde(default)]
    pub versions: Vec<Target>,
    /// Service that it runs, for a replica of a service.
    #[serde(default)]
    pub service: Option<Service>,
    /// Number of requests that it runs at once.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// True if it refuses orders whose fencing number is lower than one it has seen.
    #[serde(default = "default_true")]
    pub checks_orders: bool,
}

fn default_slots() -> u32 {
    16
}

fn default_true() -> bool {
    true
}

/// A plain service: any HTTP service that is not a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// Unique name.
    pub name: Service,
    /// Path prefixes of calls that may run at most once, whatever their method.
    #[serde(default)]
    pub once: Vec<String>,
}

/// A cascade of models: a request starts on one and may escalate to a stronger one, so that the
/// quality target is met at the least cost.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cascade {
    /// Name that callers send as `model`.
    pub name: Model,
    /// Required share of answers that pass, 0 to 1.
    pub target: f64,
    /// Models from cheap to strong.
    pub rungs: Vec<Model>,
}

/// A service-level objective.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Objective {
    /// Kind of work to which it applies; all kinds if absent.
    #[serde(default)]
    pub kind: Option<Kind>,
    /// Required share of good requests, 0 to 1.
    pub good: f64,
    /// Time limit for the first token of a good request, in milliseconds.
    pub first_token_ms: u64,
}

/// A workspace and what it may use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceEntry {
    /// Unique name.
    pub name: Workspace,
    /// SHA-256 of the bearer key of its callers, in hex.
    pub key_digest: String,
    /// Versions that it may use.
    pub versions: Vec<Target>,
    /// Services that it may use.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Cascades that its callers may name as a model.
    #[serde(default, rename = "cascade")]
    pub cascades: Vec<Cascade>,
    /// Rate limit in requests per second, over all VMs.
    pub limit: Rate,
    /// Service-level objectives of its requests.
    #[serde(default, rename = "objective")]
    pub objectives: Vec<Objective>,
}
