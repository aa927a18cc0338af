//! Claims of idempotency keys, the answers to them, and the outcomes of claimed calls.

use serde::{Deserialize, Serialize};

use crate::evidence::Origin;
use crate::unit::{Date, Digest, RequestId, Workspace};

/// Number of shards that keys are divided into. Few, so that many claims share a write to the
/// store.
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
    /// Digest of method, path and body of the call, to refuse a key that is reused for another
    /// call.
    pub body: Digest,
    /// Request that claims the key.
    pub request: RequestId,
    /// Workspace of the request, for people who read the store.
    pub workspace: Workspace,
    /// Incarnation of the VM that runs the call, or that reserved the key.
    pub holder: Origin,
    /// When the key was claimed.
    pub date: Date,
    /// True if the claim reserves the key for a later call. The holder then decides which call may
    /// use the key.
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
        /// Body of the response, if it was small enough to store.
        body: Option<Vec<u8>>,
    },
    /// The call certainly did not run; the key is free again.
    NotRun,
    /// It is unknown if the call ran.
    InDoubt,
}

/// Outcome of a claimed call, reported by the VM that holds the claim.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settlement {
    /// Digest of the claimed key.
    pub key: Digest,
    /// Request that held the key.
    pub request: RequestId,
    /// Digest of method, path and body of the call, which are not known yet when a key is reserved.
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
    /// The key is reserved; only the VM that reserved it decides which call may run.
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
