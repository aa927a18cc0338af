//! Names of HTTP headers of requests and responses.

/// Idempotency key of a call, chosen by the client.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Id of the request, set by the VM on each response and on calls to services.
pub const REQUEST: &str = "x-kitepulley-request";
/// Session token; the value `new` requests one.
pub const SESSION: &str = "x-kitepulley-session";
/// Name of the VM that sent the response.
pub const VM: &str = "x-kitepulley-vm";
/// Model version that generated the answer.
pub const VERSION: &str = "x-kitepulley-version";
/// Configuration revision that the request was decided under.
pub const REVISION: &str = "x-kitepulley-revision";
/// Name of the workspace, sent to services only.
pub const WORKSPACE: &str = "x-kitepulley-workspace";
/// Kind of work, in the client's own terms; `any` if absent.
pub const KIND: &str = "x-kitepulley-kind";
/// Deadline of the request: milliseconds that the client waits for the answer.
pub const DEADLINE: &str = "x-kitepulley-deadline-ms";
/// Priority of the request from 0 to 9; 5 if absent, higher values go first.
pub const PRIORITY: &str = "x-kitepulley-priority";
/// W3C trace context, passed on unchanged.
pub const TRACEPARENT: &str = "traceparent";
/// Seconds after which the client may retry.
pub const RETRY_AFTER: &str = "retry-after";
