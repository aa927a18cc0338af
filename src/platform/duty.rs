//! Client for the calls of duties, which one VM at a time makes to the platform for the fleet.

use std::net::SocketAddr;

use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{Method, RequestHead};
use bytes::Bytes;
use serde::Serialize;

use super::request;
use crate::decide::usage::Counts;
use crate::forward::connection::{Connection, Fault};
use crate::forward::pool;
use crate::unit::{Fence, Span, Vm, Window};

/// Timeout of a call on an open connection. The lease must last that much longer when the call is
/// sent.
pub const CALL_TIME: Span = Span::millis(800);

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Span = Span::millis(400);

/// Maximum size of a response body in bytes; responses have none.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;

const USAGE_PATH: &str = "/usage";
const HOLDER: &str = "x-duty-holder";
const FENCE: &str = "x-fencing-token";

/// Error of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The platform rejected the call with this HTTP status.
    Refused(u16),
    /// Nothing was sent, for this reason.
    NotSent(String),
    /// No usable response; the call may have been received. Holds the reason.
    NoAnswer(String),
}

impl CallError {
    /// Returns true if repeating the same call cannot succeed.
    pub fn is_final(&self) -> bool {
        matches!(self, CallError::Refused(status) if request::is_final(*status))
    }
}

impl std::fmt::Display for CallError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            CallError::Refused(status) => write!(f, "the platform responded with status {status}"),
            CallError::NotSent(reason) => write!(f, "not sent: {reason}"),
            CallError::NoAnswer(reason) => write!(f, "no usable response: {reason}"),
        }
    }
}

/// Who makes a call, and under which lease.
#[derive(Clone, Copy, Debug)]
pub struct Caller<'a> {
    /// The VM that holds the lease.
    pub vm: &'a Vm,
    /// Fencing token of the lease.
    pub fence: Fence,
}

/// Usage report as the platform reads it.
#[derive(Serialize)]
struct Report<'a> {
    window_id: Window,
    counts: &'a Counts,
}

/// Client with one connection, for one call at a time.
pub struct Client {
    address: SocketAddr,
    connection: Option<Connection>,
}

impl Client {
    /// Creates a client, which connects at the first call.
    pub fn new(address: SocketAddr) -> Client {
        Client { address, connection: None }
    }

    /// Reports the usage of a window. Equal counts are always sent as the same bytes.
    ///
    /// Calls `may_send` right before the first byte, as opening a connection takes time.
    ///
    /// # Errors
    /// If `may_send` returns false, or the platform rejects the call or does not respond.
    pub async fn report_usage(
        &mut self,
        caller: Caller<'_>,
        window: Window,
        counts: &Counts,
        may_send: impl Fn() -> bool,
    ) -> Result<(), CallError> {
        let body = serde_json::to_vec(&Report { window_id: window, counts });
        let body = body.map_err(|fault| CallError::NotSent(fault.to_string()))?;
        let head = self.head(USAGE_PATH, caller)?;
        let idle = self.connection.take().and_then(Connection::into_idle);
        let connection = pool::reuse_or_open(idle, self.address, CONNECT_TIMEOUT);
        let mut connection = connection.await.map_err(call_error)?;
        if !may_send() {
            self.connection = Some(connection);
            return Err(CallError::NotSent("the lease is about to end".to_owned()));
        }
        let exchange = exchange(&mut connection, head, Bytes::from(body));
        match tokio::time::timeout(CALL_TIME.duration(), exchange).await {
            Ok(Ok(status)) => {
                self.connection = connection.into_reusable();
                if (200..300).contains(&status) { Ok(()) } else { Err(CallError::Refused(status)) }
            }
            Ok(Err(fault)) => Err(fault),
            Err(_) => {
                // What is still in the send buffer must not arrive after the lease.
                connection.abort();
                Err(CallError::NoAnswer(format!("timed out after {CALL_TIME}")))
            }
        }
    }

    fn head(&self, path: &str, caller: Caller) -> Result<RequestHead, CallError> {
        let value = |text: String| {
            HeaderValue::from_str(&text).map_err(|fault| CallError::NotSent(fault.to_string()))
        };
        let head = request::head(Method::POST, self.address, path);
        let mut head = head.map_err(CallError::NotSent)?;
        let (holder, fence) = (caller.vm.to_string(), caller.fence.to_string());
        head.headers.insert(HeaderName::from_static(HOLDER), value(holder)?);
        head.headers.insert(HeaderName::from_static(FENCE), value(fence)?);
        Ok(head)
    }
}

/// Sends a request and reads the response. Returns its status.
async fn exchange(
    connection: &mut Connection,
    head: RequestHead,
    body: Bytes,
) -> Result<u16, CallError> {
    let head = connection.send(head, &body).await.map_err(call_error)?;
    connection.read_body(MAX_RESPONSE_BYTES).await.map_err(call_error)?;
    Ok(head.status.as_u16())
}

fn call_error(fault: Fault) -> CallError {
    match fault {
        Fault::NotSent(reason) => CallError::NotSent(reason),
        Fault::Broken(reason) => CallError::NoAnswer(reason),
    }
}
