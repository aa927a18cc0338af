//! The root object of the configuration: the one stored value whose conditional update commits a
//! revision for all VMs.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::Declarations;
use crate::unit::{DataCentre, Date, Model, Revision, Target, TrafficShare, Version};

/// Most records in the log of the root; older ones are dropped to keep the root small.
pub const MAX_LOG_RECORDS: usize = 64;

/// A part of the declarations.
///
/// It is stored under its digest and the root refers to it, so that no reader sees a change whose
/// pieces are written only in part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// Name of the part: `models`, `servers`, `services` or `workspace/NAME`.
    pub name: String,
    /// SHA-256 of the body, in hex.
    pub digest: String,
    /// Declarations of the part, as JSON.
    pub body: String,
}

/// A roll-out of a version that has not ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rollout {
    /// Version that is rolled out.
    pub to: Target,
    /// Version that was in service at its start.
    pub from: Version,
    /// State in the state machine `rollout` (`charts/rollout.toml`).
    pub state: String,
    /// Share of the model's new work that goes to `to`.
    pub share: TrafficShare,
    /// True if new sessions may start on `to`. Sessions stay on their version, so this needs more
    /// evidence than single requests.
    #[serde(rename = "sessions")]
    pub accepts_new_sessions: bool,
    /// Start of the roll-out; evidence about it is recorded under this date.
    pub begun: Date,
    /// Time of the last change of its state or share.
    pub since: Date,
    /// Reason for the last change, as a sentence.
    pub reason: String,
}

/// A log entry about a confirmed plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Revision that the plan created.
    pub revision: Revision,
    /// Operator or component that confirmed the plan.
    pub who: String,
    /// Id of the plan.
    pub plan: String,
    /// Time of the confirmation.
    pub date: Date,
    /// Changes of the plan, in words.
    pub what: Vec<String>,
}

/// The root object of the configuration. It names the pieces by digest, so that one conditional
/// write of it commits all parts of a revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Root {
    /// Number of the revision; each change raises it by one.
    pub revision: Revision,
    /// Random number of the writer, by which it recognises its own write if the response was lost.
    pub nonce: u64,
    /// Digest of each piece, by the name of the piece.
    pub pieces: BTreeMap<String, String>,
    /// Roll-outs under way.
    pub rollouts: Vec<Rollout>,
    /// Withdrawn versions; they are never in service again under that name.
    pub withdrawn: BTreeSet<Target>,
    /// Versions that a finished roll-out put into service, in place of the declared ones.
    pub serving: BTreeMap<Model, Version>,
    /// Version in service before the last finished roll-out; a withdrawal falls back on it.
    pub previous: BTreeMap<Model, Version>,
    /// Data centres that get no new work.
    pub drained: BTreeSet<DataCentre>,
    /// Latest records, oldest first.
    pub log: Vec<Record>,
}

impl Root {
    /// Appends a record and drops the oldest ones beyond `MAX_LOG_RECORDS`.
    pub fn push_record(&mut self, record: Record) {
        self.log.push(record);
        let surplus = self.log.len().saturating_sub(MAX_LOG_RECORDS);
        self.log.drain(..surplus);
    }

    /// Returns the roll-out of `model` that has not ended.
    pub fn rollout_of(&self, model: &Model) -> Option<&Rollout> {
        self.rollouts.iter().find(|rollout| rollout.to.model == *model)
    }
}

/// Returns the SHA-256 of `body`, in hex.
pub fn digest(body: &[u8]) -> String {
    let bytes = Sha256::digest(body);
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Splits declarations into pieces. Each workspace is a piece of its own, so that a change of one
/// workspace sends only that workspace to the VMs.
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
