//! Parsed heads of callers' requests and of servers' responses, independent of header names.

use actix_http::StatusCode;

use crate::decide::availability::Signal;
use crate::decide::server_limit;
use crate::unit::{Model, Span};

/// The parsed head of a caller's request.
#[derive(Clone, Debug)]
pub struct Call {
    /// Id that the caller gave this attempt; a retry by the caller has another id.
    pub id: String,
    /// The host that the request names.
    pub host: String,
    /// The path, without a query.
    pub path: String,
    /// The workspace's API key, if given.
    pub api_key: Option<String>,
    /// Time that the caller waits for the response.
    pub timeout: Span,
    /// Set if the caller leaves the choice of the model to the system.
    pub any_model: bool,
    /// The model, if the caller named one.
    pub model: Option<Model>,
    /// Parts of the prompt in order; servers cache the parts that they have read.
    pub prompt: Vec<PromptPart>,
    /// The session that the request belongs to, if any.
    pub session: Option<String>,
    /// Id of the last event that the caller has received, if it resumes a stream.
    pub last_event_id: Option<u64>,
}

/// A part of a prompt that other requests may share.
#[derive(Clone, Debug, PartialEq)]
pub struct PromptPart {
    /// Id that all requests with this part share.
    pub id: String,
    /// Length in tokens.
    pub tokens: u64,
}

/// The parsed head of a server's response.
#[derive(Clone, Debug)]
pub struct Response {
    /// The HTTP status.
    pub status: StatusCode,
    /// Id of the request that the response belongs to.
    pub id: Option<String>,
    /// Set if the response has the server's signature header. Only its presence is checked, the
    /// signature is not verified; a success response without one counts as broken.
    pub signed: bool,
    /// Set if the server states that it did not run the request.
    pub not_run: bool,
    /// Set if the body has a content encoding; servers never use one.
    pub encoded: bool,
    /// Whether the server is draining or asks for a backoff.
    pub signal: Signal,
    /// The rate limit that the server reports.
    pub limit: server_limit::LimitHeader,
    /// The rejections per second beyond which a brittle server fails.
    pub rejections: server_limit::LimitHeader,
    /// The load that the server reports.
    pub load: Option<Load>,
    /// The model's own rough confidence in its response, 0 to 100.
    pub confidence: Option<f64>,
    /// Time that the server keeps the idle connection open.
    pub idle_timeout: Option<Span>,
}

/// A server's load as reported by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests that are running.
    pub running: u32,
    /// Requests that are queued.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}
