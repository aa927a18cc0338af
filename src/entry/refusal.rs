//! Refusals: one closed list of kinds, and one table from kind to answer.

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use serde_json::json;

use super::header;
use crate::history::Ran;
use crate::unit::{RequestId, Span};

/// Why a request is refused or broken off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// The bearer key is missing or unknown.
    Unauthorised,
    /// The body does not read.
    Malformed,
    /// The body is larger than accepted.
    TooLarge,
    /// There is nothing under that path.
    NotFound,
    /// No model, version or cascade of that name.
    UnknownModel,
    /// The workspace may not use it.
    NotAllowed,
    /// The version was withdrawn.
    Withdrawn,
    /// The session's token is forged, foreign or expired.
    BadSession,
    /// The session's version was withdrawn; the session has ended.
    SessionEnded,
    /// The VM is stopping as planned.
    Stopping,
    /// The VM has had no contact with the others or the store.
    CutOff,
    /// The VM could not catch up with the revision that the token names.
    Behind,
    /// The workspace's rate is used up.
    Limited,
    /// No backend server can take it now.
    NoServer,
    /// The deadline passed before it ran.
    Late,
    /// The backend servers are too busy to answer in time.
    Busy,
    /// The time was up while a backend server had the request.
    TimedOut,
    /// Bills cannot be kept safe now.
    NoLedger,
    /// A call that may not be repeated has no key.
    KeyMissing,
    /// The key was used with another body.
    KeyReused,
    /// A call with that key is running.
    KeyRunning,
    /// A call with that key may have run; nobody knows.
    InDoubt,
    /// No agreement on the key could be had.
    StoreAway,
    /// The back end broke off and the answer could not be completed.
    Broken,
    /// Backend servers crashed under requests with its content.
    HeldBack,
    /// The answer is complete, but its bill could not be made safe.
    Unbilled,
}

/// One row of the table.
#[derive(Clone, Copy, Debug)]
pub struct Row {
    /// The kind.
    pub kind: Kind,
    /// Its name for programs.
    pub name: &'static str,
    /// HTTP status.
    pub status: u16,
    /// Whether the request ran.
    pub ran: Ran,
    /// Seconds after which to try again; none if trying again is no use.
    pub retry_after_s: Option<u64>,
    /// A whole sentence that says what to do.
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

/// The table from kind to answer; `docs/PROMISES.md` names the evidence of each row.
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
    Stopping "stopping" 503 No Some(1), "This VM is being replaced; send the request again.";
    CutOff "cut_off" 503 No Some(2), "This VM cannot reach the others; send the request again.";
    Behind "behind" 503 No Some(1), "This VM has not caught up yet; send the request again.";
    Limited "limited" 429 No Some(1), "The workspace's rate is used up; come back later.";
    NoServer "no_server" 503 No Some(2), "No backend server can take it now; come back later.";
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
    /// The kind's row.
    pub fn row(self) -> &'static Row {
        TABLE.iter().find(|row| row.kind == self).expect("each kind has its row")
    }
}

/// A refusal of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// The kind.
    pub kind: Kind,
    /// When to come back, if it is known better than the table does.
    pub delay: Option<Span>,
    /// What in particular, if there is more to say.
    pub detail: Option<String>,
}

impl Refusal {
    /// A refusal of that kind.
    pub fn new(kind: Kind) -> Refusal {
        Refusal { kind, delay: None, detail: None }
    }

    /// With a detail.
    pub fn with_detail(kind: Kind, detail: impl Into<String>) -> Refusal {
        Refusal { detail: Some(detail.into()), ..Refusal::new(kind) }
    }

    /// With a time to come back.
    pub fn with_retry_after(kind: Kind, delay: Span) -> Refusal {
        Refusal { delay: Some(delay), ..Refusal::new(kind) }
    }

    /// Whole seconds after which to come back.
    pub fn retry_after(&self) -> Option<u64> {
        let seconds = self.delay.map(|span| (span.as_secs().ceil() as u64).max(1));
        seconds.or(self.kind.row().retry_after_s)
    }

    /// The body, for an answer or in-band in a stream.
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

    /// The answer; `request` is none if the request was refused before it had an id.
    pub fn to_response(&self, vm: &str, request: Option<&RequestId>) -> HttpResponse {
        let status = StatusCode::from_u16(self.kind.row().status).expect("a status of the table");
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
