//! Client of engines and services, one for each thread.

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
use crate::unit::Span;
use crate::vm::Clock;

/// A load report that takes longer is a failure.
const LOAD_WITHIN: Duration = Duration::from_millis(800);

/// An order may take long: weights are loaded.
const ORDER_WITHIN: Duration = Duration::from_secs(60);

/// A connection that does not open within this never will.
const OPEN_WITHIN: Duration = Duration::from_millis(500);

/// The same for services.
const SERVICE_OPEN: Span = Span::millis(500);

/// An engine says within this whether it takes a request; a change of configuration may wait
/// for that word.
const TAKEN_WITHIN: Duration = Duration::from_secs(3);

/// Longest line of an answer's stream.
const LONGEST_LINE: usize = 1 << 20;

/// A client for one thread.
#[derive(Clone)]
pub struct EngineClient {
    client: Client,
    services: Rc<RefCell<HashMap<SocketAddr, Pool>>>,
    clock: Clock,
}

/// Why an attempt gave no stream.
#[derive(Clone, Debug)]
pub struct AttemptError {
    /// What it means for a retry.
    pub failure: Failure,
    /// The engine's own word that it did not run the work, if it gave it.
    pub not_run: Option<NotRun>,
    /// In words, for the decision record.
    pub reason: String,
}

impl AttemptError {
    /// Whether the engine had no free slot.
    pub fn is_full(&self) -> bool {
        self.not_run.as_ref().is_some_and(|not_run| not_run.reason == Reason::Full)
    }
}

type Body =
    std::pin::Pin<Box<dyn futures_util::Stream<Item = Result<Bytes, awc::error::PayloadError>>>>;

/// The frames of one attempt.
pub struct Frames {
    body: Body,
    buffer: BytesMut,
    /// Requests running and waiting when the engine answered.
    pub load: Option<(u32, u32)>,
}

impl EngineClient {
    /// A client.
    pub fn new() -> EngineClient {
        let connector = Connector::new().timeout(OPEN_WITHIN).limit(0);
        let client = Client::builder().connector(connector).disable_timeout().finish();
        EngineClient { client, services: Rc::default(), clock: Clock::default() }
    }

    /// Calls a service and reads its whole answer, of at most `most` bytes.
    ///
    /// # Errors
    /// What a failed call proves.
    pub async fn call(
        &self,
        to: SocketAddr,
        head: RequestHead,
        body: &Bytes,
        repeatable: bool,
        most: usize,
    ) -> Result<(ResponseHead, Bytes), Failure> {
        let failure = |fault| match fault {
            connection::Fault::NotSent(_) => Failure::NotSent,
            connection::Fault::Broken(_) => Failure::Broken,
        };
        let resting = {
            let mut pools = self.services.borrow_mut();
            pools.entry(to).or_default().checkout(repeatable, self.clock.now())
        };
        let mut connection =
            pool::reuse_or_open(resting, to, SERVICE_OPEN).await.map_err(failure)?;
        let head = connection.send(head, body).await.map_err(failure)?;
        let body = connection.read_body(most).await.map_err(failure)?;
        let mut pools = self.services.borrow_mut();
        pools.entry(to).or_default().release(connection, None, self.clock.now());
        Ok((head, body))
    }

    /// Starts work on an engine.
    ///
    /// # Errors
    /// Why there is no stream, and whether the work may have run.
    pub async fn generate(&self, to: SocketAddr, work: &Generate) -> Result<Frames, AttemptError> {
        let request = self.client.post(format!("http://{to}/v1/generate"));
        let sent = tokio::time::timeout(TAKEN_WITHIN, request.send_json(work)).await;
        let silent = |_| AttemptError {
            failure: Failure::Broken,
            not_run: None,
            reason: format!("it did not say within {TAKEN_WITHIN:?} whether it took the work"),
        };
        let mut answer = sent.map_err(silent)?.map_err(|fault| classify(&fault))?;
        match answer.status() {
            StatusCode::OK => {
                let load = answer.headers().get(LOAD).and_then(|value| value.to_str().ok());
                let load = load.and_then(|text| {
                    let (running, waiting) = text.split_once('/')?;
                    Some((running.parse().ok()?, waiting.parse().ok()?))
                });
                Ok(Frames { body: Box::pin(answer), buffer: BytesMut::new(), load })
            }
            StatusCode::CONFLICT => {
                let told = answer.json::<NotRun>().await.ok();
                let failure = if told.is_some() { Failure::NotRun } else { Failure::Broken };
                let reason = told.as_ref().map(|not_run| not_run.reason);
                Err(AttemptError {
                    failure,
                    not_run: told,
                    reason: format!("it did not run: {reason:?}"),
                })
            }
            other => Err(AttemptError {
                failure: Failure::Broken,
                not_run: None,
                reason: format!("it answered {other}"),
            }),
        }
    }

    /// Gives up work on an engine; one that does not hear it finds the connection closed.
    pub async fn cancel(&self, to: SocketAddr, cancel: &Cancel) {
        let request = self.client.post(format!("http://{to}/v1/cancel")).timeout(LOAD_WITHIN);
        let _ = request.send_json(cancel).await;
    }

    /// An engine's load report.
    pub async fn load(&self, to: SocketAddr) -> Option<Load> {
        let request = self.client.get(format!("http://{to}/v1/load")).timeout(LOAD_WITHIN);
        request.send().await.ok()?.json().await.ok()
    }

    /// Sends an order; whether it was obeyed.
    pub async fn order(&self, to: SocketAddr, order: &Order) -> bool {
        let request = self.client.post(format!("http://{to}/v1/orders")).timeout(ORDER_WITHIN);
        request.send_json(order).await.is_ok_and(|answer| answer.status().is_success())
    }
}

impl Default for EngineClient {
    fn default() -> EngineClient {
        EngineClient::new()
    }
}

/// What a failed exchange proves: only a connection that never opened sent nothing.
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
    /// The next frame; nothing at the stream's end.
    ///
    /// # Errors
    /// If the stream broke or held something else.
    pub async fn next(&mut self) -> Option<Result<Frame, String>> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line = self.buffer.split_to(end + 1);
                let frame = serde_json::from_slice(&line[..end]);
                return Some(frame.map_err(|fault| format!("a frame does not read: {fault}")));
            }
            if self.buffer.len() > LONGEST_LINE {
                return Some(Err("a frame is too long".to_owned()));
            }
            match self.body.next().await? {
                Ok(bytes) => self.buffer.extend_from_slice(&bytes),
                Err(fault) => return Some(Err(format!("the stream broke: {fault}"))),
            }
        }
    }
}
