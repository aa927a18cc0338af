//! Claims, their answers, and how a claimed call ended.

use serde::{Deserialize, Serialize};

use crate::evidence::Origin;
use crate::unit::{Date, Digest, RequestId, Workspace};

/// Shards of keys: few, so that many claims share a write.
pub const SHARDS: u64 = 4;

/// The shard of a key.
pub fn shard_of(key: Digest) -> u64 {
    key.0 % SHARDS
}

/// A claim to run a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    /// Digest of workspace, service and the caller's key.
    pub key: Digest,
    /// Digest of method, path and body.
    pub body: Digest,
    /// The request that wants to run.
    pub request: RequestId,
    /// The workspace, for the reader of the store.
    pub workspace: Workspace,
    /// The VM that would run it.
    pub holder: Origin,
    /// When.
    pub date: Date,
    /// Whether it only sets the key aside, for a call to come through its holder's word.
    pub reserved: bool,
}

/// How a claimed call ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// It ran; what the back end answered.
    Ran {
        /// HTTP status.
        status: u16,
        /// The content's type.
        #[serde(rename = "kind")]
        content_type: String,
        /// The body, if it was small enough to keep.
        body: Option<Vec<u8>>,
    },
    /// It surely did not run: the key is free again.
    NotRun,
    /// Nobody knows.
    InDoubt,
}

/// An outcome, of a claim's holder.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settlement {
    /// The key.
    pub key: Digest,
    /// The request that held it.
    pub request: RequestId,
    /// Digest of the call's body, which a key set aside did not know yet.
    pub body: Digest,
    /// How it ended.
    pub outcome: Outcome,
}

/// The answer to a claim.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The request holds the key and may run.
    Granted,
    /// Another request holds it and has not ended.
    Running(Origin),
    /// It is set aside; its holder alone says who may run.
    Reserved(Origin),
    /// It ended before.
    Ended(Outcome),
    /// The key was used with another body.
    #[serde(rename = "OtherBody")]
    BodyMismatch,
    /// No agreement could be had; the request does not hold the key.
    #[serde(rename = "Away")]
    Unavailable,
}
