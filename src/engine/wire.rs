//! Messages between a VM and a model engine: JSON bodies, and streams with one JSON frame per line.

use serde::{Deserialize, Serialize};

use crate::unit::{RequestId, Revision, Target, Workspace};

/// Response header with the load of the engine: `RUNNING/WAITING`.
pub const LOAD: &str = "x-load";

/// Request to generate a response.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Generate {
    /// Id of the request.
    pub request: RequestId,
    /// Number of this attempt, from 0.
    pub attempt: u32,
    /// Workspace of the caller.
    pub workspace: Workspace,
    /// Model and version to run.
    pub target: Target,
    /// Whole prompt.
    pub prompt: String,
    /// Maximum length of the response in tokens.
    pub max_tokens: u32,
    /// Tokens that the caller received from earlier attempts, which are not sent again.
    pub offset: u32,
    /// Priority; a higher one is served first.
    pub priority: u8,
    /// If set, the request may wait for a slot; otherwise a full engine responds at once that it
    /// did not run it.
    pub wait: bool,
}

/// Frame of a response stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Frame {
    /// Request that the frame belongs to.
    pub request: RequestId,
    /// Attempt that the frame belongs to.
    pub attempt: u32,
    /// Tokens of the response before this frame.
    pub offset: u32,
    /// Text of one token.
    pub text: String,
    /// Set on the last frame, which has no text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub end: Option<End>,
}

/// Totals at the end of a response.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct End {
    /// Tokens of the whole response.
    pub tokens: u32,
    /// Confidence that the engine reports for the response, from 0 to 1.
    pub confidence: f64,
}

/// Statement of an engine that it did not run a request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NotRun {
    /// Reason for the rejection.
    pub reason: Reason,
    /// Requests running and waiting, which update the sender's view of the load without a probe.
    #[serde(default)]
    pub load: (u32, u32),
}

/// Reason why an engine did not run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// It is draining.
    Leaving,
    /// It has not loaded the version.
    NotLoaded,
    /// It has no free slot.
    Full,
}

/// Request to cancel an attempt.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Cancel {
    /// Id of the request.
    pub request: RequestId,
    /// Number of the attempt.
    pub attempt: u32,
}

/// Load report of an engine, which may be slightly out of date.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Load {
    /// Requests that are running.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Set if the engine is draining.
    pub leaving: bool,
    /// Models and versions that are loaded.
    pub loaded: Vec<Target>,
}

/// Order to load a version, with a fencing token against late delivery.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Order {
    /// Fencing token: the revision of the configuration. An order with a lower one than the last is
    /// out of date.
    pub fence: Revision,
    /// Model and version to load.
    pub load: Target,
}
