//! The root object: the one value whose conditional update is an agreement.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::Declarations;
use crate::unit::{DataCentre, Date, Model, Revision, Target, TrafficShare, Version};

/// Records kept in the root; older ones are dropped so that it stays small.
pub const MAX_LOG_RECORDS: usize = 64;

/// A part of the declarations, kept under its digest so that a half-written change is never seen.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// What it holds: `models`, `servers`, `services` or `workspace/NAME`.
    pub name: String,
    /// SHA-256 of the body in hex.
    pub digest: String,
    /// JSON.
    pub body: String,
}

/// A roll-out of a version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rollout {
    /// The version that is rolled out.
    pub to: Target,
    /// The version that served when it began.
    pub from: Version,
    /// A state of the chart `rollout`.
    pub state: String,
    /// Share of the model's new work on `to`.
    pub share: TrafficShare,
    /// Whether new sessions may begin on `to`; they keep it, so they wait for more evidence.
    pub sessions: bool,
    /// When it began; names its trial in the evidence.
    pub begun: Date,
    /// When it took its present state or share.
    pub since: Date,
    /// Why, in a sentence.
    pub reason: String,
}

/// Who changed what.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The revision the change made.
    pub revision: Revision,
    /// Who confirmed it.
    pub who: String,
    /// The plan's id.
    pub plan: String,
    /// When.
    pub date: Date,
    /// The changes in words.
    pub what: Vec<String>,
}

/// The root of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Root {
    /// Rises by one with each change.
    pub revision: Revision,
    /// Chosen by the writer, so that it knows its own write after a lost answer.
    pub nonce: u64,
    /// Digest of each piece.
    pub pieces: BTreeMap<String, String>,
    /// Roll-outs under way.
    pub rollouts: Vec<Rollout>,
    /// Withdrawn versions; they never serve again under that name.
    pub withdrawn: BTreeSet<Target>,
    /// Versions in service by a finished roll-out, in place of the declared one.
    pub serving: BTreeMap<Model, Version>,
    /// The version that served before, to fall back on.
    pub previous: BTreeMap<Model, Version>,
    /// Data centres that get no new work.
    pub drained: BTreeSet<DataCentre>,
    /// The latest records, oldest first.
    pub log: Vec<Record>,
}

impl Root {
    /// Appends a record and drops the oldest past the bound.
    pub fn push_record(&mut self, record: Record) {
        self.log.push(record);
        let surplus = self.log.len().saturating_sub(MAX_LOG_RECORDS);
        self.log.drain(..surplus);
    }

    /// The roll-out of `model` that has not ended.
    pub fn rollout_of(&self, model: &Model) -> Option<&Rollout> {
        self.rollouts.iter().find(|rollout| rollout.to.model == *model)
    }
}

/// SHA-256 in hex.
pub fn digest(body: &[u8]) -> String {
    let bytes = Sha256::digest(body);
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Cuts declarations into pieces: a change of one workspace moves that workspace only.
pub fn pieces(declared: &Declarations) -> Vec<Piece> {
    let mut pieces = vec![
        piece("models", &declared.models),
        piece("servers", &declared.servers),
        piece("services", &declared.services),
    ];
    for workspace in &declared.workspaces {
        pieces.push(piece(&format!("workspace/{}", workspace.name), workspace));
    }
    pieces
}

fn piece<T: Serialize>(name: &str, value: &T) -> Piece {
    let body = serde_json::to_string(value).expect("declarations are plain data");
    Piece { name: name.to_owned(), digest: digest(body.as_bytes()), body }
}
