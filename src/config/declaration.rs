//! What operators declare in version control.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::unit::{
    Cost, DataCentre, Kind, Model, Rate, Server, Service, Target, Version, Workspace,
};

/// All declarations together.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Declarations {
    /// Models with their versions.
    #[serde(default, rename = "model")]
    pub models: Vec<ModelEntry>,
    /// Backend servers.
    #[serde(default, rename = "server")]
    pub servers: Vec<ServerEntry>,
    /// Plain services.
    #[serde(default, rename = "service")]
    pub services: Vec<ServiceEntry>,
    /// Workspaces.
    #[serde(default, rename = "workspace")]
    pub workspaces: Vec<WorkspaceEntry>,
}

/// A model and its versions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelEntry {
    /// The model's name.
    pub name: Model,
    /// The version that serves when no roll-out says otherwise.
    pub serving: Version,
    /// Its versions.
    #[serde(rename = "version")]
    pub versions: Vec<VersionEntry>,
}

/// A version of a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionEntry {
    /// The version's name.
    pub name: Version,
    /// Price of a thousand tokens, in micro-euros.
    pub cost: Cost,
    /// Expected share of answers that pass, before any evidence, 0 to 1.
    pub quality: f64,
    /// The longest context in tokens.
    pub context: u32,
}

/// What a backend server runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServerKind {
    /// A model engine.
    Engine,
    /// A plain service's replica.
    Service,
}

/// A backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerEntry {
    /// Its name.
    pub name: Server,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// What it runs.
    pub kind: ServerKind,
    /// The versions it may run, for an engine.
    #[serde(default)]
    pub versions: Vec<Target>,
    /// The service it runs, for a service's replica.
    #[serde(default)]
    pub service: Option<Service>,
    /// Requests it runs at once.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Whether it refuses orders whose fence number is not the highest it has met.
    #[serde(default = "default_true")]
    pub checks_orders: bool,
}

fn default_slots() -> u32 {
    16
}

fn default_true() -> bool {
    true
}

/// A plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// Its name.
    pub name: Service,
    /// Path prefixes whose calls may not be repeated, whatever their method.
    #[serde(default)]
    pub once: Vec<String>,
}

/// A cascade from cheap to strong.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cascade {
    /// The name that callers give as `model`.
    pub name: Model,
    /// Share of answers that must pass, 0 to 1.
    pub target: f64,
    /// Models from cheap to strong.
    pub rungs: Vec<Model>,
}

/// A service-level objective.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Objective {
    /// The kind of work it is for; all kinds if absent.
    #[serde(default)]
    pub kind: Option<Kind>,
    /// Share of requests that must be good, 0 to 1.
    pub good: f64,
    /// A request is good if its first token comes within this many milliseconds.
    pub first_token_ms: u64,
}

/// A workspace and what it may use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceEntry {
    /// Its name.
    pub name: Workspace,
    /// SHA-256 of its callers' bearer key, in hex.
    pub key_digest: String,
    /// The versions it may use.
    pub versions: Vec<Target>,
    /// The services it may use.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Its cascades.
    #[serde(default, rename = "cascade")]
    pub cascades: Vec<Cascade>,
    /// Requests a second over all VMs.
    pub limit: Rate,
    /// Its objectives.
    #[serde(default, rename = "objective")]
    pub objectives: Vec<Objective>,
}
