//! Decodes the HTTP headers of the platform into typed requests and responses, and encodes those
//! that the router adds.

use actix_http::header::{self, HeaderMap, HeaderName, HeaderValue};
use actix_http::{Method, RequestHead, ResponseHead};

use crate::decide::availability::Signal;
use crate::decide::server_limit::LimitHeader;
use crate::forward::call::{Call, Load, PromptPart, Response};
use crate::forward::replica::Replica;
use crate::unit::{Model, Rate, Span, Workspace};

const ATTEMPT_ID: &str = "x-attempt-id";
const DEADLINE: &str = "x-deadline-ms";
const SIGNATURE: &str = "x-response-signature";
const NOT_EXECUTED: &str = "x-not-executed";
const EXPECT_INSTANCE: &str = "x-expect-instance";
const TENANT: &str = "x-tenant";
const SERVER_LOAD: &str = "x-server-load";
const MODEL: &str = "x-model";
const PREFIX_HASH: &str = "x-prefix-hash";
const SESSION: &str = "session";
const LAST_EVENT_ID: &str = "last-event-id";
const CONFIDENCE: &str = "x-confidence";
const PRIORITY: &str = "x-request-priority";
const SERVER_LEAVING: &str = "server-leaving";
const SERVER_LIMIT: &str = "server-limit";
const SERVER_BRITTLE: &str = "server-brittle";

/// Response headers that are not decoded: standard HTTP headers, and headers of the platform that
/// are for callers or belong to requests that the router does not send.
const IGNORED: [&str; 28] = [
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

/// Response headers that are decoded.
const DECODED: [&str; 9] = [
    ATTEMPT_ID,
    SIGNATURE,
    NOT_EXECUTED,
    SERVER_LOAD,
    CONFIDENCE,
    SERVER_LEAVING,
    SERVER_LIMIT,
    SERVER_BRITTLE,
    "retry-after",
];

/// Request headers that only the router may set; those of a caller are dropped.
const ROUTER_ONLY: [&str; 8] = [
    TENANT,
    EXPECT_INSTANCE,
    PRIORITY,
    "x-pin-ms",
    "x-hold",
    "x-kv-backup",
    "x-expect-version",
    "kv-fetch",
];

/// Hop-by-hop headers, which are not forwarded.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::CONTENT_LENGTH,
    header::UPGRADE,
    header::TE,
    header::TRAILER,
    header::EXPECT,
    header::PROXY_AUTHENTICATE,
];

/// Hop-by-hop headers that the library has no constant for.
const HOP_BY_HOP_NAMES: [&str; 3] = ["keep-alive", "proxy-connection", "kv-from"];

/// Scheme before the API key in `Authorization`, in lower case.
const AUTH_SCHEME: &str = "token ";

/// Model name by which a caller lets the router choose the model.
const ANY_MODEL: &str = "*";

/// Timeout of a request without a deadline header.
const DEFAULT_TIMEOUT: Span = Span::secs(30);

/// Upper bound of the timeout that a caller may ask for.
const MAX_TIMEOUT: Span = Span::secs(3600);

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Decodes the head of a caller's request. Values that do not parse count as absent.
pub fn decode_call(head: &RequestHead) -> Call {
    let headers = &head.headers;
    let key = header_text(headers, header::AUTHORIZATION.as_str());
    let key = key.filter(|key| key.to_ascii_lowercase().starts_with(AUTH_SCHEME));
    let model = header_text(headers, MODEL).filter(|model| *model != ANY_MODEL);
    let timeout = header_text(headers, DEADLINE).and_then(|ms| ms.trim().parse::<f64>().ok());
    let timeout = timeout.filter(|ms| *ms >= 0.0).map(|ms| Span((ms * 1000.0) as u64));
    Call {
        id: header_text(headers, ATTEMPT_ID).unwrap_or_default().to_owned(),
        host: header_text(headers, header::HOST.as_str()).unwrap_or_default().to_owned(),
        path: head.uri.path().to_owned(),
        api_key: key.map(|key| key[AUTH_SCHEME.len()..].trim().to_owned()),
        timeout: timeout.unwrap_or(DEFAULT_TIMEOUT).min(MAX_TIMEOUT),
        any_model: header_text(headers, MODEL) == Some(ANY_MODEL),
        model: model.and_then(|model| model.parse().ok()),
        prompt: parse_prompt(header_text(headers, PREFIX_HASH).unwrap_or_default()),
        session: header_text(headers, SESSION).map(str::to_owned),
        last_event_id: header_text(headers, LAST_EVENT_ID).and_then(|id| id.trim().parse().ok()),
    }
}

/// Parses the parts of a prompt, `ID:TOKENS` separated by commas. Malformed parts are skipped.
fn parse_prompt(text: &str) -> Vec<PromptPart> {
    let part = |part: &str| {
        let (id, tokens) = part.trim().split_once(':')?;
        Some(PromptPart { id: id.to_owned(), tokens: tokens.parse().ok()? })
    };
    text.split(',').filter_map(part).collect()
}

/// Headers that the router adds to a caller's request to one server.
pub struct AddedHeaders<'a> {
    /// Server that receives the request.
    pub replica: &'a Replica,
    /// Time until the caller's deadline.
    pub remaining: Span,
    /// Workspace of the caller's API key.
    pub workspace: Option<&'a Workspace>,
    /// Model, if the router chose it.
    pub model: Option<&'a Model>,
    /// Priority among the requests at the server, 0 to 9.
    pub priority: Option<u32>,
    /// Id of the last event that the caller received, if another server began the response.
    pub after_event: Option<u64>,
}

/// Builds the head of the request to a server: the caller's headers without hop-by-hop headers,
/// credentials and those reserved for the router, plus the added ones.
pub fn server_request(from: &RequestHead, extra: &AddedHeaders) -> RequestHead {
    let mut head = RequestHead::default();
    head.method = from.method.clone();
    head.uri = from.uri.clone();
    let headers = &mut head.headers;
    let listed = connection_options(&from.headers);
    for (name, value) in from.headers.iter() {
        let reserved =
            ROUTER_ONLY.contains(&name.as_str()) || HOP_BY_HOP_NAMES.contains(&name.as_str());
        let hop_by_hop =
            HOP_BY_HOP.contains(name) || listed.iter().any(|listed| listed == name.as_str());
        if !reserved && !hop_by_hop && *name != header::AUTHORIZATION && name.as_str() != DEADLINE {
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
        set(LAST_EVENT_ID, event.to_string());
    }
    head
}

/// Returns the names in lower case that `Connection` lists as hop-by-hop.
fn connection_options(headers: &HeaderMap) -> Vec<String> {
    let listed = headers.get_all(header::CONNECTION).filter_map(|value| value.to_str().ok());
    listed.flat_map(|text| text.split(',')).map(|name| name.trim().to_ascii_lowercase()).collect()
}

/// Decodes the head of a server's response.
pub fn decode_response(head: &ResponseHead) -> Response {
    let headers = &head.headers;
    Response {
        status: head.status,
        id: header_text(headers, ATTEMPT_ID).map(str::to_owned),
        signed: headers.contains_key(SIGNATURE),
        not_run: headers.contains_key(NOT_EXECUTED)
            || head.status == actix_http::StatusCode::MISDIRECTED_REQUEST,
        encoded: headers.contains_key(header::CONTENT_ENCODING),
        signal: decode_signal(head),
        limit: headers.get(SERVER_LIMIT).map_or(LimitHeader::Absent, parse_limit),
        rejections: headers.get(SERVER_BRITTLE).map_or(LimitHeader::Absent, parse_limit),
        load: header_text(headers, SERVER_LOAD).and_then(parse_load),
        confidence: header_text(headers, CONFIDENCE).and_then(|text| text.trim().parse().ok()),
        idle_timeout: header_text(headers, "keep-alive").and_then(parse_keep_alive),
    }
}

/// Returns the response headers that are neither decoded nor ignored; the platform may have added a
/// header that matters.
pub fn unknown_headers(head: &ResponseHead) -> impl Iterator<Item = &str> {
    let names = head.headers.keys().map(HeaderName::as_str);
    names.filter(|name| !DECODED.contains(name) && !IGNORED.contains(name))
}

/// Decodes whether the server drains or asks for a backoff. `Retry-After` counts only with status
/// 503, by which a server rejects a request.
fn decode_signal(head: &ResponseHead) -> Signal {
    let rejected = head.status == actix_http::StatusCode::SERVICE_UNAVAILABLE;
    let backoff = header_text(&head.headers, header::RETRY_AFTER.as_str()).filter(|_| rejected);
    let draining =
        header_text(&head.headers, SERVER_LEAVING).is_some_and(|value| value.trim() == "1");
    Signal { draining, backoff: backoff.and_then(parse_seconds) }
}

/// Parses a limit in requests, or rejections, per second, a decimal number.
fn parse_limit(value: &HeaderValue) -> LimitHeader {
    let rate = value.to_str().ok().and_then(|text| text.trim().parse::<f64>().ok());
    let rate = rate.filter(|rate| rate.is_finite() && *rate >= 0.0);
    rate.map_or(LimitHeader::Invalid, |rate| LimitHeader::Present(Rate(rate)))
}

/// Parses a positive number of seconds, with or without a fraction. Returns `None` for anything
/// else, such as the date that HTTP allows in `Retry-After`.
fn parse_seconds(text: &str) -> Option<Span> {
    let number: f64 = text.trim().parse().ok()?;
    (number.is_finite() && number > 0.0).then_some(Span((number * 1e6) as u64))
}

/// Parses `RUNNING,WAITING,SLOTS`.
fn parse_load(text: &str) -> Option<Load> {
    let mut numbers = text.split(',').map(|part| part.trim().parse::<u32>());
    let mut next = || numbers.next()?.ok();
    Some(Load { running: next()?, waiting: next()?, slots: next()? })
}

/// Parses the idle timeout in seconds of `Keep-Alive: timeout=N`.
fn parse_keep_alive(text: &str) -> Option<Span> {
    let mut parameters = text.split(',').map(str::trim);
    let seconds = parameters.find_map(|parameter| parameter.strip_prefix("timeout="))?;
    seconds.parse().ok().map(Span::secs)
}

/// Returns the headers of a server's response to forward to the caller: all but hop-by-hop headers
/// and the server's load.
pub fn response_headers(head: &ResponseHead) -> Vec<(HeaderName, HeaderValue)> {
    let listed = connection_options(&head.headers);
    let is_forwarded = |name: &HeaderName| {
        !HOP_BY_HOP.contains(name)
            && !HOP_BY_HOP_NAMES.contains(&name.as_str())
            && name.as_str() != SERVER_LOAD
            && !listed.iter().any(|listed| listed == name.as_str())
    };
    let forwarded = head.headers.iter().filter(|(name, _)| is_forwarded(name));
    forwarded.map(|(name, value)| (name.clone(), value.clone())).collect()
}

/// Returns the header with the id of a request, for responses that the router sends itself. Returns
/// `None` if the caller sent no id.
pub fn attempt_id_header(call: &Call) -> Option<(HeaderName, HeaderValue)> {
    let value = HeaderValue::from_str(&call.id).ok()?;
    (!call.id.is_empty()).then(|| (HeaderName::from_static(ATTEMPT_ID), value))
}

/// Returns true if the request is the load balancer's readiness probe.
pub fn is_readiness_probe(head: &RequestHead) -> bool {
    head.method == Method::GET && head.uri.path() == "/v1/readyz"
}
