//! Names of headers.

/// A call that may not be repeated bears its caller's key here.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Request id.
pub const REQUEST: &str = "x-kitepulley-request";
/// Session token; `new` asks for one.
pub const SESSION: &str = "x-kitepulley-session";
/// The VM that answers.
pub const VM: &str = "x-kitepulley-vm";
/// The version that answered.
pub const VERSION: &str = "x-kitepulley-version";
/// The revision that the request was decided under.
pub const REVISION: &str = "x-kitepulley-revision";
/// The workspace, towards services.
pub const WORKSPACE: &str = "x-kitepulley-workspace";
/// Kind of work, as the caller names it.
pub const KIND: &str = "x-kitepulley-kind";
/// Milliseconds that the caller waits.
pub const DEADLINE: &str = "x-kitepulley-deadline-ms";
/// Priority from 0 to 9.
pub const PRIORITY: &str = "x-kitepulley-priority";
/// Trace context, carried through.
pub const TRACEPARENT: &str = "traceparent";
/// Seconds after which to come back.
pub const RETRY_AFTER: &str = "retry-after";
