//! Claims of idempotency keys, the answers to them, and the outcomes of claimed calls.

use serde::{Deserialize, Serialize};

use crate::evidence::Origin;
use crate::unit::{Date, Digest, RequestId, Workspace};

/// Number of shards of keys. Few, so that many claims share a write.
pub const SHARDS: u64 = 4;

/// Returns the shard of a key.
pub fn shard_of(key: Digest) -> u64 {
    key.0 % SHARDS
}

/// Claim of a key by a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    /// Digest of workspace, service and the client's key.
    pub key: Digest,
    /// Digest of method, path and body.
    pub body: Digest,
    /// Request that claims the key.
    pub request: RequestId,
    /// Workspace of the request, for people who read the store.
    pub workspace: Workspace,
    /// VM that runs the call.
    pub holder: Origin,
    /// When the key was claimed.
    pub date: Date,
    /// True if the claim reserves the key for a later call, which its holder decides on.
    pub reserved: bool,
}

/// Outcome of a claimed call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// The call ran and the service responded.
    Ran {
        /// HTTP status code.
        status: u16,
        /// Content type of the response.
        #[serde(rename = "kind")]
        content_type: String,
        /// Response body, if it was small enough to store.
        body: Option<Vec<u8>>,
    },
    /// The call certainly did not run; the key is free again.
    NotRun,
    /// It is unknown if the call ran.
    InDoubt,
}

/// Outcome of the call of a claim, reported by the claim's holder.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settlement {
    /// Key of the claim.
    pub key: Digest,
    /// Request that held the key.
    pub request: RequestId,
    /// Digest of the call's body, which the claim of a reserved key does not know yet.
    pub body: Digest,
    /// Outcome of the call.
    pub outcome: Outcome,
}

/// Answer to a claim.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The request holds the key and may run.
    Granted,
    /// Another request holds the key and has not ended.
    Running(Origin),
    /// The key is reserved; only its holder decides which call may run.
    Reserved(Origin),
    /// An earlier call with the key ended.
    Ended(Outcome),
    /// The key was used with another body.
    #[serde(rename = "OtherBody")]
    BodyMismatch,
    /// The store did not answer; the request does not hold the key.
    #[serde(rename = "Away")]
    Unavailable,
}
