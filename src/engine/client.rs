//! Client of model engines and plain services, one per thread.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::{RequestHead, ResponseHead};
use awc::error::{ConnectError, SendRequestError};
use awc::http::StatusCode;
use awc::{Client, Connector};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;

use super::wire::{Cancel, Frame, Generate, LOAD, Load, NotRun, Order, Reason};
use crate::decide::retry::Failure;
use crate::forward::connection;
use crate::forward::pool::{self, Pool};
use crate::forward::read_budget::{Budget, Lease};
use crate::unit::Span;
use crate::vm::Clock;

/// Timeout of load reports and cancellations.
const LOAD_TIMEOUT: Duration = Duration::from_millis(800);

/// Timeout of orders, which is long because an engine may have to load weights.
const ORDER_TIMEOUT: Duration = Duration::from_secs(60);

/// Timeout for opening a connection to an engine; one that takes longer is not expected to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout for opening a connection to a service.
const SERVICE_CONNECT_TIMEOUT: Span = Span::millis(500);

/// Timeout for an engine to accept or reject a request. A change of configuration may wait for that
/// response.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum length in bytes of a frame in a response stream.
const MAX_FRAME_BYTES: usize = 1 << 20;

/// Client for one thread; clones share its connections.
#[derive(Clone)]
pub struct EngineClient {
    client: Client,
    services: Rc<RefCell<HashMap<SocketAddr, Pool>>>,
    clock: Clock,
    budget: Budget,
}

/// Error of an attempt for which the engine returned no stream.
#[derive(Clone, Debug)]
pub struct AttemptError {
    /// What the error proves about the work, which decides whether a retry is safe.
    pub failure: Failure,
    /// The engine's statement that it did not run the work, if it sent one.
    pub not_run: Option<NotRun>,
    /// Description for the decision record.
    pub reason: String,
}

impl AttemptError {
    /// Returns true if the engine stated that it had no free slot.
    pub fn is_full(&self) -> bool {
        self.not_run.as_ref().is_some_and(|not_run| not_run.reason == Reason::Full)
    }
}

type Body =
    std::pin::Pin<Box<dyn futures_util::Stream<Item = Result<Bytes, awc::error::PayloadError>>>>;

/// Stream of the frames of one attempt.
pub struct Frames {
    body: Body,
    buffer: BytesMut,
    /// Memory of the buffer.
    lease: Lease,
    /// Requests running and waiting when the engine accepted the request, if it reported them.
    pub load: Option<(u32, u32)>,
}

impl EngineClient {
    /// Creates a client without open connections.
    pub fn new() -> EngineClient {
        let connector = Connector::new().timeout(CONNECT_TIMEOUT).limit(0);
        let client = Client::builder().connector(connector).disable_timeout().finish();
        let (services, clock, budget) = (Rc::default(), Clock::default(), Budget::default());
        EngineClient { client, services, clock, budget }
    }

    /// Returns the client with the budget that its responses share with others.
    pub fn with_budget(self, budget: &Budget) -> EngineClient {
        EngineClient { budget: budget.clone(), ..self }
    }

    /// Sends a request to a service and reads the whole response, of at most `max_bytes`.
    ///
    /// # Errors
    /// What the failure proves about whether the request was sent.
    pub async fn call(
        &self,
        to: SocketAddr,
        head: RequestHead,
        body: &Bytes,
        repeatable: bool,
        max_bytes: usize,
    ) -> Result<(ResponseHead, Bytes), Failure> {
        let failure = |fault| match fault {
            connection::Fault::NotSent(_) => Failure::NotSent,
            connection::Fault::Broken(_) => Failure::Broken,
        };
        let idle = {
            let mut pools = self.services.borrow_mut();
            pools.entry(to).or_default().checkout(repeatable, self.clock.now())
        };
        let connection = pool::reuse_or_open(idle, to, SERVICE_CONNECT_TIMEOUT).await;
        let mut connection = connection.map_err(failure)?.with_budget(&self.budget);
        let head = connection.send(head, body).await.map_err(failure)?;
        let body = connection.read_body(max_bytes).await.map_err(failure)?;
        let mut pools = self.services.borrow_mut();
        pools.entry(to).or_default().release(connection, None, self.clock.now());
        Ok((head, body))
    }

    /// Starts work on an engine and returns the stream of its frames.
    ///
    /// # Errors
    /// If there is no stream; the error states whether the work may have run.
    pub async fn generate(&self, to: SocketAddr, work: &Generate) -> Result<Frames, AttemptError> {
        let request = self.client.post(format!("http://{to}/v1/generate"));
        let sent = tokio::time::timeout(ACCEPT_TIMEOUT, request.send_json(work)).await;
        let timed_out = |_| AttemptError {
            failure: Failure::Broken,
            not_run: None,
            reason: format!("it neither accepted nor rejected the work within {ACCEPT_TIMEOUT:?}"),
        };
        let mut response = sent.map_err(timed_out)?.map_err(|fault| classify(&fault))?;
        match response.status() {
            StatusCode::OK => {
                let load = response.headers().get(LOAD).and_then(|value| value.to_str().ok());
                let load = load.and_then(|text| {
                    let (running, waiting) = text.split_once('/')?;
                    Some((running.parse().ok()?, waiting.parse().ok()?))
                });
                let lease = self.budget.lease();
                Ok(Frames { body: Box::pin(response), buffer: BytesMut::new(), lease, load })
            }
            StatusCode::CONFLICT => {
                let not_run = response.json::<NotRun>().await.ok();
                let failure = if not_run.is_some() { Failure::NotRun } else { Failure::Broken };
                let reason = not_run.as_ref().map(|not_run| not_run.reason);
                Err(AttemptError {
                    failure,
                    not_run,
                    reason: format!("it did not run: {reason:?}"),
                })
            }
            other => Err(AttemptError {
                failure: Failure::Broken,
                not_run: None,
                reason: format!("it responded with status {other}"),
            }),
        }
    }

    /// Cancels work on an engine. Failures are ignored: an engine that does not receive the request
    /// notices that the connection of the stream is closed.
    pub async fn cancel(&self, to: SocketAddr, cancel: &Cancel) {
        let request = self.client.post(format!("http://{to}/v1/cancel")).timeout(LOAD_TIMEOUT);
        let _ = request.send_json(cancel).await;
    }

    /// Returns the load report of an engine, or `None` if it sends no valid one in time.
    pub async fn load(&self, to: SocketAddr) -> Option<Load> {
        let request = self.client.get(format!("http://{to}/v1/load")).timeout(LOAD_TIMEOUT);
        request.send().await.ok()?.json().await.ok()
    }

    /// Sends an order. Returns true if the engine carried it out.
    pub async fn order(&self, to: SocketAddr, order: &Order) -> bool {
        let request = self.client.post(format!("http://{to}/v1/orders")).timeout(ORDER_TIMEOUT);
        request.send_json(order).await.is_ok_and(|response| response.status().is_success())
    }
}

impl Default for EngineClient {
    fn default() -> EngineClient {
        EngineClient::new()
    }
}

/// Returns what a failed request proves: only if the connection never opened, nothing was sent.
fn classify(fault: &SendRequestError) -> AttemptError {
    let never_opened = match fault {
        SendRequestError::Connect(inner) => !matches!(inner, ConnectError::Disconnected),
        SendRequestError::Url(_) | SendRequestError::TunnelNotSupported => true,
        _ => false,
    };
    let failure = if never_opened { Failure::NotSent } else { Failure::Broken };
    AttemptError { failure, not_run: None, reason: fault.to_string() }
}

impl Frames {
    /// Returns the next frame, or `None` at the end of the stream.
    ///
    /// # Errors
    /// If the stream breaks, or a frame is too long or does not decode.
    pub async fn next(&mut self) -> Option<Result<Frame, String>> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line = self.buffer.split_to(end + 1);
                let frame = serde_json::from_slice(&line[..end]);
                return Some(frame.map_err(|fault| format!("a frame does not decode: {fault}")));
            }
            if self.buffer.len() > MAX_FRAME_BYTES {
                return Some(Err("a frame is too long".to_owned()));
            }
            match self.body.next().await? {
                Ok(bytes) => {
                    if !self.lease.try_resize(self.buffer.len() + bytes.len()) {
                        return Some(Err("there is too little memory for a frame".to_owned()));
                    }
                    self.buffer.extend_from_slice(&bytes);
                }
                Err(fault) => return Some(Err(format!("the stream broke: {fault}"))),
            }
        }
    }
}
