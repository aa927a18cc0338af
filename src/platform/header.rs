//! The platform's headers, decoded into typed calls and answers.

use actix_http::header::{self, HeaderMap, HeaderName, HeaderValue};
use actix_http::{Method, RequestHead, ResponseHead};

use crate::decide::availability::Signal;
use crate::decide::server_limit::LimitHeader;
use crate::forward::call::{Call, Load, PromptPart, Response};
use crate::forward::replica::Replica;
use crate::unit::{Model, Rate, Span, Workspace};

const ATTEMPT: &str = "x-attempt-id";
const DEADLINE: &str = "x-deadline-ms";
const SIGNATURE: &str = "x-response-signature";
const NOT_EXECUTED: &str = "x-not-executed";
const EXPECT_INSTANCE: &str = "x-expect-instance";
const TENANT: &str = "x-tenant";
const LOAD: &str = "x-server-load";
const MODEL: &str = "x-model";
const PREFIX: &str = "x-prefix-hash";
const SESSION: &str = "session";
const LAST_EVENT: &str = "last-event-id";
const CONFIDENCE: &str = "x-confidence";
const PRIORITY: &str = "x-request-priority";
const LEAVING: &str = "server-leaving";
const LIMIT: &str = "server-limit";

/// Names in the heads of servers' answers that need no decoding here: HTTP's own, and those that are for callers or for requests this system does not
/// make.
const OF_OTHERS: [&str; 28] = [
    "accept-ranges",
    "age",
    "allow",
    "cache-control",
    "connection",
    "content-disposition",
    "content-encoding",
    "content-language",
    "content-length",
    "content-location",
    "content-type",
    "date",
    "etag",
    "expires",
    "keep-alive",
    "last-modified",
    "link",
    "location",
    "pragma",
    "server",
    "set-cookie",
    "strict-transport-security",
    "trailer",
    "transfer-encoding",
    "vary",
    "via",
    "x-instance-id",
    "x-weight-versions",
];

/// Names in the heads of servers' answers that are decoded.
const DECODED: [&str; 8] =
    [ATTEMPT, SIGNATURE, NOT_EXECUTED, LOAD, CONFIDENCE, LEAVING, LIMIT, "retry-after"];

/// Headers that only the system may set towards a server; a caller's are dropped.
const OWN: [&str; 8] = [
    TENANT,
    EXPECT_INSTANCE,
    PRIORITY,
    "x-pin-ms",
    "x-hold",
    "x-kv-backup",
    "x-expect-version",
    "kv-fetch",
];

/// Headers that tell of one connection only.
const HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::CONTENT_LENGTH,
    header::UPGRADE,
    header::TE,
    header::TRAILER,
    header::EXPECT,
    header::PROXY_AUTHENTICATE,
];

/// More of the same that the library has no constant for.
const HOP_TEXT: [&str; 3] = ["keep-alive", "proxy-connection", "kv-from"];

/// The word before a key in `Authorization`.
const SCHEME: &str = "token ";

/// What a caller that wants the system to choose names as its model.
const ANY_MODEL: &str = "*";

/// Time that a caller waits if it does not say so.
const PATIENCE: Span = Span::secs(30);

/// The longest time that is believed.
const LONGEST_PATIENCE: Span = Span::secs(3600);

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Decodes the head of a caller's request.
pub fn decode_call(head: &RequestHead) -> Call {
    let headers = &head.headers;
    let key = text(headers, header::AUTHORIZATION.as_str());
    let key = key.filter(|key| key.to_ascii_lowercase().starts_with(SCHEME));
    let model = text(headers, MODEL).filter(|model| *model != ANY_MODEL);
    let patience = text(headers, DEADLINE).and_then(|ms| ms.trim().parse::<f64>().ok());
    let patience = patience.filter(|ms| *ms >= 0.0).map(|ms| Span((ms * 1000.0) as u64));
    Call {
        id: text(headers, ATTEMPT).unwrap_or_default().to_owned(),
        host: text(headers, header::HOST.as_str()).unwrap_or_default().to_owned(),
        path: head.uri.path().to_owned(),
        api_key: key.map(|key| key[SCHEME.len()..].trim().to_owned()),
        timeout: patience.unwrap_or(PATIENCE).min(LONGEST_PATIENCE),
        any_model: text(headers, MODEL) == Some(ANY_MODEL),
        model: model.and_then(|model| model.parse().ok()),
        prompt: prompt(text(headers, PREFIX).unwrap_or_default()),
        session: text(headers, SESSION).map(str::to_owned),
        last_event_id: text(headers, LAST_EVENT).and_then(|id| id.trim().parse().ok()),
    }
}

fn prompt(text: &str) -> Vec<PromptPart> {
    let part = |part: &str| {
        let (id, tokens) = part.trim().split_once(':')?;
        Some(PromptPart { id: id.to_owned(), tokens: tokens.parse().ok()? })
    };
    text.split(',').filter_map(part).collect()
}

/// What the system adds to a caller's request for one server.
pub struct AddedHeaders<'a> {
    /// The server that is meant.
    pub replica: &'a Replica,
    /// Time left.
    pub remaining: Span,
    /// The workspace that holds the caller's key.
    pub workspace: Option<&'a Workspace>,
    /// The model, if the system chose it.
    pub model: Option<&'a Model>,
    /// Rank among the requests at the server, 0 to 9.
    pub priority: Option<u32>,
    /// The last event that the caller has, if another server began the answer.
    pub after_event: Option<u64>,
}

/// The head that goes to a server.
pub fn server_request(from: &RequestHead, extra: &AddedHeaders) -> RequestHead {
    let mut head = RequestHead::default();
    head.method = from.method.clone();
    head.uri = from.uri.clone();
    let headers = &mut head.headers;
    let named = hop_headers_named(&from.headers);
    for (name, value) in from.headers.iter() {
        let own = OWN.contains(&name.as_str()) || HOP_TEXT.contains(&name.as_str());
        let hop = HOP.contains(name) || named.iter().any(|named| named == name.as_str());
        if !own && !hop && *name != header::AUTHORIZATION && name.as_str() != DEADLINE {
            headers.append(name.clone(), value.clone());
        }
    }
    let mut set = |name: &'static str, value: String| {
        if let Ok(value) = HeaderValue::from_str(&value) {
            headers.insert(HeaderName::from_static(name), value);
        }
    };
    set(DEADLINE, (extra.remaining.0 / 1000).max(1).to_string());
    set(EXPECT_INSTANCE, extra.replica.id.to_string());
    if let Some(workspace) = extra.workspace {
        set(TENANT, workspace.to_string());
    }
    if let Some(model) = extra.model {
        set(MODEL, model.to_string());
    }
    if let Some(priority) = extra.priority {
        set(PRIORITY, priority.to_string());
    }
    if let Some(event) = extra.after_event {
        set(LAST_EVENT, event.to_string());
    }
    head
}

/// Headers that `Connection` names as its own.
fn hop_headers_named(headers: &HeaderMap) -> Vec<String> {
    let listed = headers.get_all(header::CONNECTION).filter_map(|value| value.to_str().ok());
    listed.flat_map(|text| text.split(',')).map(|name| name.trim().to_ascii_lowercase()).collect()
}

/// Decodes the head of a server's answer.
pub fn decode_response(head: &ResponseHead) -> Response {
    let headers = &head.headers;
    Response {
        status: head.status,
        id: text(headers, ATTEMPT).map(str::to_owned),
        signed: headers.contains_key(SIGNATURE),
        not_run: headers.contains_key(NOT_EXECUTED)
            || head.status == actix_http::StatusCode::MISDIRECTED_REQUEST,
        encoded: headers.contains_key(header::CONTENT_ENCODING),
        signal: said(head),
        limit: headers.get(LIMIT).map_or(LimitHeader::Absent, limit),
        load: text(headers, LOAD).and_then(load),
        confidence: text(headers, CONFIDENCE).and_then(|text| text.trim().parse().ok()),
        idle_timeout: text(headers, "keep-alive").and_then(rest),
    }
}

/// Names in the head of a server's answer that nothing here decodes: the platform may say something new.
pub fn unknown_headers(head: &ResponseHead) -> impl Iterator<Item = &str> {
    let names = head.headers.keys().map(HeaderName::as_str);
    names.filter(|name| !DECODED.contains(name) && !OF_OTHERS.contains(name))
}

/// What a server says of whether it takes requests. Only one that turns a request away asks for rest.
fn said(head: &ResponseHead) -> Signal {
    let turns_away = head.status == actix_http::StatusCode::SERVICE_UNAVAILABLE;
    let rest = text(&head.headers, header::RETRY_AFTER.as_str()).filter(|_| turns_away);
    let leaves = text(&head.headers, LEAVING).is_some_and(|value| value.trim() == "1");
    Signal { draining: leaves, backoff: rest.and_then(seconds) }
}

/// A server's limit in requests a second, a decimal number.
fn limit(value: &HeaderValue) -> LimitHeader {
    let rate = value.to_str().ok().and_then(|text| text.trim().parse::<f64>().ok());
    let rate = rate.filter(|rate| rate.is_finite() && *rate >= 0.0);
    rate.map_or(LimitHeader::Invalid, |rate| LimitHeader::Present(Rate(rate)))
}

/// A time in seconds, with or without a fraction; nothing for what is no such time, a date among them.
fn seconds(text: &str) -> Option<Span> {
    let number: f64 = text.trim().parse().ok()?;
    (number.is_finite() && number > 0.0).then_some(Span((number * 1e6) as u64))
}

fn load(text: &str) -> Option<Load> {
    let mut numbers = text.split(',').map(|part| part.trim().parse::<u32>());
    let mut next = || numbers.next()?.ok();
    Some(Load { running: next()?, waiting: next()?, slots: next()? })
}

/// The time that `Keep-Alive: timeout=N` gives an idle connection.
fn rest(text: &str) -> Option<Span> {
    let parts = text.split(',').map(str::trim);
    let mut seconds =
        parts.filter_map(|part| part.strip_prefix("timeout=").unwrap_or(part).parse().ok());
    seconds.next().map(Span::secs)
}

/// The headers of a server's answer that a caller gets.
pub fn response_headers(head: &ResponseHead) -> Vec<(HeaderName, HeaderValue)> {
    let named = hop_headers_named(&head.headers);
    let keeps = |name: &HeaderName| {
        !HOP.contains(name)
            && !HOP_TEXT.contains(&name.as_str())
            && name.as_str() != LOAD
            && !named.iter().any(|named| named == name.as_str())
    };
    let kept = head.headers.iter().filter(|(name, _)| keeps(name));
    kept.map(|(name, value)| (name.clone(), value.clone())).collect()
}

/// The id of a request, for the answers that the system gives by itself.
pub fn attempt_id_header(call: &Call) -> Option<(HeaderName, HeaderValue)> {
    let value = HeaderValue::from_str(&call.id).ok()?;
    (!call.id.is_empty()).then(|| (HeaderName::from_static(ATTEMPT), value))
}

/// Whether the balancer's question is the one about readiness.
pub fn is_readiness_probe(head: &RequestHead) -> bool {
    head.method == Method::GET && head.uri.path() == "/v1/readyz"
}
