//! A request as a caller sent it, and an answer as a server gave it, in the project's own types.

use actix_http::StatusCode;

use crate::decide::availability::Signal;
use crate::decide::server_limit;
use crate::unit::{Model, Span};

/// What the head of a caller's request says.
#[derive(Clone, Debug)]
pub struct Call {
    /// The caller's id of this try; each try has its own.
    pub id: String,
    /// The host that it asks.
    pub host: String,
    /// The path, without a query.
    pub path: String,
    /// The workspace's key.
    pub api_key: Option<String>,
    /// Time that the caller waits.
    pub timeout: Span,
    /// Whether the system is to choose the model.
    pub any_model: bool,
    /// The model, if the caller named one.
    pub model: Option<Model>,
    /// Parts of the prompt in order; servers keep parts that they have read.
    pub prompt: Vec<PromptPart>,
    /// The session, if it belongs to one.
    pub session: Option<String>,
    /// The last event that the caller has, if it goes on with a stream.
    pub last_event_id: Option<u64>,
}

/// A part of a prompt that other requests may share.
#[derive(Clone, Debug, PartialEq)]
pub struct PromptPart {
    /// Its id.
    pub id: String,
    /// Its length in tokens.
    pub tokens: u64,
}

/// What the head of a server's answer says.
#[derive(Clone, Debug)]
pub struct Response {
    /// The status.
    pub status: StatusCode,
    /// The id of the request that it answers.
    pub id: Option<String>,
    /// Whether it bears the server's signature.
    pub signed: bool,
    /// The server's word that it did not run the request.
    pub not_run: bool,
    /// Whether the body is encoded; servers never do that.
    pub encoded: bool,
    /// Whether the server leaves, or wants rest.
    pub signal: Signal,
    /// What it says of a limit.
    pub limit: server_limit::LimitHeader,
    /// The server's load.
    pub load: Option<Load>,
    /// The model's own rough opinion of its answer, 0 to 100.
    pub confidence: Option<f64>,
    /// Time that the connection may rest.
    pub idle_timeout: Option<Span>,
}

/// A server's load as it told it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}
