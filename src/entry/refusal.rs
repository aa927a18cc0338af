//! Refusals of requests: a closed list of kinds and the table of their HTTP responses.

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use serde_json::json;

use super::header;
use crate::history::Ran;
use crate::unit::{RequestId, Span};

/// Reason why a request is refused or its answer ends early.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// The API key is missing or unknown.
    Unauthorised,
    /// The body can't be parsed.
    Malformed,
    /// The body exceeds the configured limit.
    TooLarge,
    /// The path has no route.
    NotFound,
    /// No model, version, cascade or service has the requested name.
    UnknownModel,
    /// The workspace may not use the model, version or service.
    NotAllowed,
    /// The requested version was withdrawn.
    Withdrawn,
    /// The session token is forged, expired or of another workspace.
    BadSession,
    /// The version that the session is pinned to was withdrawn.
    SessionEnded,
    /// The VM has too little memory for the request.
    Crowded,
    /// The VM is shutting down.
    Stopping,
    /// The VM has lost contact with the other VMs and the store, or has no configuration yet.
    CutOff,
    /// The VM has not reached the configuration revision that the request requires.
    Behind,
    /// The rate limit of the workspace is exhausted.
    Limited,
    /// No backend server can accept the request.
    NoServer,
    /// The VM has lost its links to the backend servers.
    Unreachable,
    /// The deadline passed before the request ran, or the request is not expected to end in time.
    Late,
    /// The backend servers are too busy to answer in time.
    Busy,
    /// The deadline passed while a backend server was processing the request.
    TimedOut,
    /// Bills can't be stored durably.
    NoLedger,
    /// A call that is not idempotent has no idempotency key.
    KeyMissing,
    /// The idempotency key was used with another body.
    KeyReused,
    /// A call with the same idempotency key is running.
    KeyRunning,
    /// It is unknown if an earlier call with the same idempotency key ran, or its stored result is
    /// incomplete.
    InDoubt,
    /// The store is unavailable, so the idempotency key can't be claimed.
    StoreAway,
    /// The backend server closed the stream early and the answer could not be completed.
    Broken,
    /// The content is quarantined because backend servers crashed while processing it.
    HeldBack,
    /// The request ran, but its bill could not be stored durably.
    Unbilled,
}

/// HTTP response of one kind of refusal.
#[derive(Clone, Copy, Debug)]
pub struct Row {
    /// Kind of refusal.
    pub kind: Kind,
    /// Machine-readable name, sent as `kind`.
    pub name: &'static str,
    /// HTTP status code.
    pub status: u16,
    /// If the request ran: tells the client if a retry may run it twice.
    pub ran: Ran,
    /// Default number of seconds until a retry; `None` if the client should not retry.
    pub retry_after_s: Option<u64>,
    /// Sentence that says what went wrong or what the client can do.
    pub title: &'static str,
}

macro_rules! rows {
    ($($kind:ident $name:literal $status:literal $ran:ident $retry_after:expr, $title:literal;)*) => {
        &[$(Row {
            kind: Kind::$kind,
            name: $name,
            status: $status,
            ran: Ran::$ran,
            retry_after_s: $retry_after,
            title: $title,
        }),*]
    };
}

/// Responses of all kinds; `docs/PROMISES.md` lists the tests behind each row.
pub const TABLE: &[Row] = rows![
    Unauthorised "unauthorised" 401 No None, "Send a workspace's key as `Authorization: Bearer KEY`.";
    Malformed "malformed" 400 No None, "Send a JSON body with `model` and `messages` in UTF-8.";
    TooLarge "too_large" 413 No None, "Send a smaller body.";
    NotFound "not_found" 404 No None, "Use a path that the README names.";
    UnknownModel "unknown_model" 404 No None, "Name a model, MODEL@VERSION or cascade that `/v1/models` lists.";
    NotAllowed "not_allowed" 403 No None, "Ask your operator to allow it for this workspace, or use one that `/v1/models` lists.";
    Withdrawn "withdrawn" 410 No None, "This version was withdrawn; name another.";
    BadSession "bad_session" 400 No None, "Begin a new session with the header `x-kitepulley-session: new`.";
    SessionEnded "session_ended" 410 No None, "The session's version was withdrawn; begin a new session with `x-kitepulley-session: new`.";
    Crowded "crowded" 503 No Some(1), "This VM has too little memory for the request now; send it again.";
    Stopping "stopping" 503 No Some(1), "This VM is being replaced; send the request again.";
    CutOff "cut_off" 503 No Some(2), "This VM cannot reach the others; send the request again.";
    Behind "behind" 503 No Some(1), "This VM has not caught up yet; send the request again.";
    Limited "limited" 429 No Some(1), "The workspace's rate is used up; come back later.";
    NoServer "no_server" 503 No Some(2), "No backend server can take it now; come back later.";
    Unreachable "unreachable" 503 No Some(1), "This VM has lost its links to the backend servers; send the request again, to reach another VM.";
    Late "late" 504 No Some(1), "The deadline passed before it ran; allow more time.";
    Busy "busy" 503 No Some(1), "The backend servers are too busy to answer in time; come back later.";
    TimedOut "timed_out" 504 Unknown None, "The time was up while a backend server had the request; it may have run.";
    NoLedger "no_ledger" 503 No Some(10), "Bills cannot be kept safe now; come back later.";
    KeyMissing "key_missing" 400 No None, "This call may not be repeated; give it an `Idempotency-Key` of its own.";
    KeyReused "key_reused" 422 No None, "This key was used with another body; use a new key for a new call.";
    KeyRunning "key_running" 409 Unknown Some(1), "A call with this key is running; come back for its outcome.";
    InDoubt "in_doubt" 409 Unknown None, "A call with this key may have run and will not run again; look up its outcome at the service.";
    StoreAway "store_away" 503 No Some(5), "No agreement on the key can be had now; send the call again with the same key.";
    Broken "broken" 502 Unknown None, "The back end broke off; what was sent before is not the whole answer.";
    HeldBack "held_back" 503 No None, "Backend servers crashed under requests like this one, so it is not sent on for now; do not send it again unchanged.";
    Unbilled "unbilled" 502 Yes None, "The request ran but its end is withheld, since its bill could not be made safe.";
];

impl Kind {
    /// Returns the row of [`TABLE`] for this kind.
    pub fn row(self) -> &'static Row {
        TABLE.iter().find(|row| row.kind == self).expect("each kind has a row")
    }
}

/// Refusal of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// Kind of refusal.
    pub kind: Kind,
    /// Time until a retry, if known more precisely than in [`TABLE`].
    pub retry_delay: Option<Span>,
    /// Details of the case, for the client.
    pub detail: Option<String>,
}

impl Refusal {
    /// Creates a refusal with the defaults of [`TABLE`].
    pub fn new(kind: Kind) -> Refusal {
        Refusal { kind, retry_delay: None, detail: None }
    }

    /// Creates a refusal with a detail for the client.
    pub fn with_detail(kind: Kind, detail: impl Into<String>) -> Refusal {
        Refusal { detail: Some(detail.into()), ..Refusal::new(kind) }
    }

    /// Creates a refusal with a time until a retry that replaces the default.
    pub fn with_retry_after(kind: Kind, delay: Span) -> Refusal {
        Refusal { retry_delay: Some(delay), ..Refusal::new(kind) }
    }

    /// Returns the whole seconds until a retry, at least 1; `None` if the client should not retry.
    pub fn retry_after(&self) -> Option<u64> {
        let seconds = self.retry_delay.map(|span| (span.as_secs().ceil() as u64).max(1));
        seconds.or(self.kind.row().retry_after_s)
    }

    /// Returns the JSON body, used for responses and for errors inside an event stream.
    pub fn to_json(&self) -> serde_json::Value {
        let row = self.kind.row();
        json!({
            "type": format!("urn:kitepulley:{}", row.name),
            "kind": row.name,
            "title": row.title,
            "status": row.status,
            "detail": self.detail,
            "ran": row.ran,
            "retry": self.retry_after().is_some(),
            "retry_after_s": self.retry_after(),
        })
    }

    /// Builds the HTTP response; `request` is `None` if the request got no id.
    pub fn to_response(&self, vm: &str, request: Option<&RequestId>) -> HttpResponse {
        let status =
            StatusCode::from_u16(self.kind.row().status).expect("the table has valid status codes");
        let mut response = HttpResponse::build(status);
        response.insert_header((header::VM, vm));
        if let Some(request) = request {
            response.insert_header((header::REQUEST, request.as_str()));
        }
        if let Some(seconds) = self.retry_after() {
            response.insert_header((header::RETRY_AFTER, seconds.to_string()));
        }
        response.content_type("application/problem+json").body(self.to_json().to_string())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_row_is_a_sentence_and_its_name_is_used_once() {
        let mut names = std::collections::BTreeSet::new();
        for row in TABLE {
            assert!(row.title.ends_with('.'), "{}", row.name);
            assert!(names.insert(row.name), "{}", row.name);
        }
    }

    #[test]
    fn what_may_have_run_is_never_offered_again_without_its_key() {
        for row in TABLE.iter().filter(|row| row.ran != Ran::No) {
            assert!(row.retry_after_s.is_none() || row.kind == Kind::KeyRunning, "{}", row.name);
        }
    }
}
