//! Messages between a VM and a model engine: JSON bodies and one JSON line a frame.

use serde::{Deserialize, Serialize};

use crate::unit::{RequestId, Revision, Target, Workspace};

/// The header in which an engine reports its load with each answer: `running/waiting`.
pub const LOAD: &str = "x-load";

/// Starts work.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Generate {
    /// The request.
    pub request: RequestId,
    /// Counts the attempts of the request, from 0.
    pub attempt: u32,
    /// The workspace it is for.
    pub workspace: Workspace,
    /// The version.
    pub target: Target,
    /// The whole prompt.
    pub prompt: String,
    /// Longest answer in tokens.
    pub max_tokens: u32,
    /// Tokens that the caller has already.
    pub offset: u32,
    /// Higher goes first.
    pub priority: u8,
    /// Whether it may wait for a slot; otherwise a full engine says at once that it did not run.
    pub wait: bool,
}

/// One piece of an answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Frame {
    /// The request it belongs to.
    pub request: RequestId,
    /// The attempt it belongs to.
    pub attempt: u32,
    /// Tokens of the answer before this piece.
    pub offset: u32,
    /// The text of one token.
    pub text: String,
    /// Set on the last frame, which has no text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub end: Option<End>,
}

/// The end of an answer.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct End {
    /// Tokens of the whole answer.
    pub tokens: u32,
    /// The engine's own confidence, 0 to 1.
    pub confidence: f64,
}

/// An engine's word that it did not run a request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NotRun {
    /// Why.
    pub reason: Reason,
    /// Requests running and waiting, so that the sender knows better at once.
    #[serde(default)]
    pub load: (u32, u32),
}

/// Why an engine did not run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// It is leaving.
    Leaving,
    /// It has not loaded the version.
    NotLoaded,
    /// It has no room.
    Full,
}

/// Gives up a request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Cancel {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: u32,
}

/// A report of load, some moments old.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Whether the engine is leaving.
    pub leaving: bool,
    /// Versions loaded.
    pub loaded: Vec<Target>,
}

/// A fenced order.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Order {
    /// Rises with each revision of the configuration; a lower one is late.
    pub fence: Revision,
    /// The version to load.
    pub load: Target,
}
