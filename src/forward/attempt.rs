//! One attempt: sends a request to one server and waits until the response is complete or, for a
//! stream, its first event has arrived.

use std::rc::Rc;

use actix_http::body::BodySize;
use actix_http::header::CONTENT_LENGTH;
use actix_http::{ResponseHead, StatusCode};
use bytes::Bytes;

use super::announce::LimitKind;
use super::call::Response;
use super::connection::{Connection, Fault};
use super::job::{Job, OpenRequestGuard, PendingPrompt};
use super::replica::Replica;
use super::sse::{Batch, EventBuffer};
use super::{announce, connectivity, crash, path, poison, stall, usage};
use crate::client::body;
use crate::config::RetryPolicy;
use crate::decide::outcome::AttemptOutcome;
use crate::decide::poison::BrokenRequest;
use crate::decide::server_limit;
use crate::engine::crash_check::Check;
use crate::platform::header::{self, AddedHeaders};
use crate::unit::{Model, Moment, Rate, Span};

/// Largest response body in bytes that is not a stream.
const MAX_BODY_SIZE: usize = 8 * 1024 * 1024;

/// Maximum number of responses to earlier requests that are skipped on a connection before the
/// response to the present request.
const MAX_STALE_RESPONSES: u32 = 2;

/// Ends the reason of an attempt whose server restarted before it responded. Such a request is lost
/// with its server, unlike one whose deadline passed.
const BEFORE_RESTART: &str = "before the server restarted";

/// The result of an attempt.
pub struct Outcome {
    /// How the attempt ended.
    pub end: AttemptOutcome,
    /// Human-readable reason; empty if the attempt succeeded.
    pub reason: String,
    /// The response head as the server sent it, and as parsed.
    pub head: Option<(ResponseHead, Response)>,
    /// The complete body; empty for a stream.
    pub body: Bytes,
    /// The open stream, if the response is one.
    pub stream: Option<Stream>,
    /// The check of the server, if that broke off its response.
    pub check: Option<Check>,
}

/// A stream of server-sent events whose first complete event, or whose end, has arrived.
pub struct Stream {
    /// The connection that the remaining events come from; `None` once the stream broke off.
    pub connection: Option<Connection>,
    /// Bytes of the stream that have arrived and are not relayed yet.
    pub events: EventBuffer,
    /// The first complete events; `None` once they are relayed.
    pub first_batch: Option<Batch>,
    /// Set once the server has ended the stream.
    pub ended: bool,
    /// When the first event, or the end of the stream, arrived.
    pub started_at: Moment,
    /// Counts the request as open at the server until the stream is dropped.
    pub open: OpenRequestGuard,
}

impl Stream {
    /// Reads the next chunk into the buffer, or sets `ended` at the end of the stream.
    ///
    /// # Errors
    /// `Broken` if the connection broke, or the stream ended within an event or exceeded the
    /// maximum event size.
    pub async fn read(&mut self) -> Result<(), Fault> {
        let broken = |reason: &str| Err(Fault::Broken(reason.to_owned()));
        let Some(connection) = &mut self.connection else {
            return broken("the stream broke off before");
        };
        match connection.read_chunk().await? {
            Some(bytes) if self.events.push(&bytes) => Ok(()),
            Some(_) => broken("an event without an end"),
            None if self.events.has_partial_event() => broken("the stream ended within an event"),
            None => {
                self.ended = true;
                Ok(())
            }
        }
    }
}

impl Outcome {
    fn without_response(end: AttemptOutcome, reason: impl Into<String>) -> Outcome {
        Outcome {
            end,
            reason: reason.into(),
            head: None,
            body: Bytes::new(),
            stream: None,
            check: None,
        }
    }
}

/// Sends a request to a server and waits for the response until the moment `until`. `pending` keeps
/// the prompt in the server's backlog and is dropped when the attempt ends.
///
/// Without a response by then, or if the server restarts, the outcome is `Late` if bytes may have
/// been sent, else `NotSent`. A response that breaks off, or is lost by a restart, is reported to
/// the module `crash`, which checks if the server crashed.
pub async fn run(
    job: &Job,
    replica: &Replica,
    model: Option<&Model>,
    last_event_id: Option<u64>,
    pending: PendingPrompt,
    until: Moment,
) -> Outcome {
    let vm = &job.vm;
    let open = OpenRequestGuard::new(vm, replica);
    let restarted = open.server_restarted();
    let mut sent = false;
    let left = until.since(vm.now()).duration();
    let exchange = exchange(job, replica, model, last_event_id, &pending, open, &mut sent);
    let silence = async {
        connectivity::watch_silence(vm, &job.service).await;
        std::future::pending().await
    };
    let outcome = tokio::select! {
        ended = tokio::time::timeout(left, exchange) => ended.map_err(|_| "in time"),
        () = restarted.notified() => Err(BEFORE_RESTART),
        () = silence => Err("in time"),
    };
    let is_lost = outcome.as_ref().is_err_and(|reason| *reason == BEFORE_RESTART);
    let mut outcome = match outcome {
        Ok(outcome) => outcome,
        Err(reason) if sent => {
            Outcome::without_response(AttemptOutcome::Late, format!("no response {reason}"))
        }
        Err(reason) => {
            Outcome::without_response(AttemptOutcome::NotSent, format!("no connection {reason}"))
        }
    };
    drop(pending);
    record_outcome(job, replica, &outcome);
    if outcome.end == AttemptOutcome::Broken || is_lost {
        let request = BrokenRequest { fingerprint: job.fingerprint.clone(), was_stable: false };
        outcome.check = crash::on_broken_response(vm, replica, request);
    }
    outcome
}

/// Records the result of an attempt in the metrics, the request's record and the server's state.
fn record_outcome(job: &Job, replica: &Replica, outcome: &Outcome) {
    let vm = &job.vm;
    let now = vm.now();
    let end = format!("{:?}", outcome.end);
    vm.metrics.attempts.with_label_values(&[job.service.as_str(), end.as_str()]).inc();
    job.record.add_attempt_end(outcome.end, &outcome.reason, now);
    connectivity::on_attempt_end(vm, replica, outcome.end, outcome.head.is_some());
    let mut fleet = vm.fleet.borrow_mut();
    let usual = fleet.failure_rate(&job.service, now);
    let Some(server) = fleet.incarnation_mut(replica) else { return };
    if let Some(load) = outcome.head.as_ref().and_then(|(_, response)| response.load) {
        server.load.observe(load.running + load.waiting, now);
    }
    let is_misdirected =
        |(head, _): &(ResponseHead, Response)| head.status == StatusCode::MISDIRECTED_REQUEST;
    if outcome.head.as_ref().is_some_and(is_misdirected) {
        server.availability.mark_address_reused();
    }
    if outcome.end == AttemptOutcome::NotRun {
        server.rejected_at = Some(now);
    }
    let left_out = server.availability.record(outcome.end, usual, now);
    let failures = server.availability.failure_rate();
    drop(fleet);
    if left_out {
        vm.log(
            "server ejected",
            &[
                ("server", replica.id.as_str().into()),
                ("after", outcome.reason.as_str().into()),
                ("failures", failures.into()),
                ("usual_failures", usual.into()),
            ],
        );
    }
}

/// Sends the request on a pooled or new connection and reads the response; of a stream, its first
/// event. Sets `sent` as soon as bytes may have been sent.
///
/// The availability and the rate limit of the server, and whether the content is quarantined, are
/// checked again before sending, as they may have changed while the connection was opened.
async fn exchange(
    job: &Job,
    replica: &Replica,
    model: Option<&Model>,
    last_event_id: Option<u64>,
    pending: &PendingPrompt,
    open: OpenRequestGuard,
    sent: &mut bool,
) -> Outcome {
    let vm = &job.vm;
    let repeatable = job.route.retry != RetryPolicy::Never;
    let now = vm.now();
    let pooled = {
        let mut fleet = vm.fleet.borrow_mut();
        fleet.incarnation_mut(replica).and_then(|server| server.pool.checkout(repeatable, now))
    };
    let mut connection = match path::connect(vm, replica, pooled).await {
        Ok(connection) => connection,
        Err(fault) => return outcome_of(fault),
    };
    let unavailable = vm.fleet.borrow().unavailable_reason(replica, vm.now());
    if let Some(unavailable) = unavailable {
        release_connection(job, replica, connection, None);
        return Outcome::without_response(AttemptOutcome::Withheld, unavailable.to_string());
    }
    if !stall::is_caught_up(vm) || poison::refusal_cause(job).is_some() {
        release_connection(job, replica, connection, None);
        let reason = "the request is, or may be, quarantined";
        return Outcome::without_response(AttemptOutcome::Withheld, reason);
    }
    if let Err(reason) = pending.permit.consume(vm.now()) {
        release_connection(job, replica, connection, None);
        return Outcome::without_response(AttemptOutcome::Withheld, reason.to_string());
    }
    if let Some(helper) = connection.helper() {
        job.record.add_helper(helper);
    }
    let extra = AddedHeaders {
        replica,
        remaining: job.left(vm.now()),
        workspace: job.holder.as_ref().map(|holder| &holder.workspace),
        model,
        priority: job.route.is_streaming.then(|| job.priority(pending.prefill_time, vm.now())),
        after_event: last_event_id,
    };
    let head = header::server_request(&job.head, &extra);
    // From here on bytes of the request may have been sent.
    *sent = true;
    open.mark_sent();
    let (head, response) = match send_and_read_head(job, replica, &mut connection, head).await {
        Ok(answered) => answered,
        Err(fault) => return outcome_of(fault),
    };
    if head.status.is_success() && (!response.signed || response.encoded) {
        return Outcome::without_response(
            AttemptOutcome::Broken,
            "the success response is unsigned or encoded",
        );
    }
    if head.status.is_success() && job.route.is_streaming {
        return read_first_event(job, connection, open, head, response).await;
    }
    if !response.not_run {
        usage::record_run(job);
    }
    reserve_memory(job, &head).await;
    let body = match connection.read_body(MAX_BODY_SIZE).await {
        Ok(body) => body,
        Err(fault) => return outcome_of(fault),
    };
    open.mark_complete();
    let end = match (response.not_run, head.status.is_server_error()) {
        (true, _) => AttemptOutcome::NotRun,
        (false, true) => AttemptOutcome::Failed,
        (false, false) => AttemptOutcome::Good,
    };
    release_connection(job, replica, connection, response.idle_timeout);
    let reason =
        if end == AttemptOutcome::Good { String::new() } else { head.status.as_str().to_owned() };
    Outcome { end, reason, head: Some((head, response)), body, stream: None, check: None }
}

/// Waits for memory for the body that a response head announces. Clients that don't take their
/// responses are closed for it, so that they don't use up what all responses may take.
async fn reserve_memory(job: &Job, head: &ResponseHead) {
    let length = head.headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok());
    let length = length.and_then(|length| length.trim().parse().ok());
    if let (Some(client), Some(length)) = (&job.client, length) {
        let longest = job.left(job.vm.now()).duration();
        body::reserve_response(client, BodySize::Sized(length), longest).await;
    }
}

/// Sends the request and reads response heads until one belongs to it.
async fn send_and_read_head(
    job: &Job,
    replica: &Replica,
    connection: &mut Connection,
    head: actix_http::RequestHead,
) -> Result<(ResponseHead, Response), Fault> {
    let sent_at = job.vm.now();
    let mut head = connection.send(head, &job.body).await?;
    for _ in 0..=MAX_STALE_RESPONSES {
        let response = header::decode_response(&head);
        count_unknown_headers(job, replica, &head);
        // A server that rejects a request without reading it may not know the request's id.
        let is_ours = response.id.as_deref() == Some(job.call.id.as_str())
            || (response.id.is_none() && response.not_run);
        let ends_limit = is_ours && !response.not_run;
        apply_signal(job, replica, &response, ends_limit.then_some(sent_at));
        if is_ours || job.call.id.is_empty() {
            return Ok((head, response));
        }
        if response.id.is_none() {
            return Err(Fault::Broken("the response has no request id".to_owned()));
        }
        // The response belongs to an earlier request on the connection; the next one may be to this
        // request.
        connection.read_body(MAX_BODY_SIZE).await?;
        head = connection.read_head().await?;
    }
    Err(Fault::Broken("only responses to other requests arrived".to_owned()))
}

/// Counts response headers that this version does not know, so that a header new to the platform is
/// noticed on the day it appears.
fn count_unknown_headers(job: &Job, replica: &Replica, head: &ResponseHead) {
    let vm = &job.vm;
    for name in header::unknown_headers(head) {
        let (name, is_new) = vm.unknown_headers.borrow_mut().observe(name);
        vm.metrics.unknown_headers.with_label_values(&[name]).inc();
        if is_new {
            let fields = [
                ("name", name.into()),
                ("server", replica.id.as_str().into()),
                ("request", job.call.id.as_str().into()),
            ];
            vm.log("unknown header", &fields);
        }
    }
}

/// Applies what a response head reports about its server: draining, backoff and rate limit. Called
/// as soon as the head has arrived: the report is valid even if the rest of the response does not
/// arrive.
///
/// `sent_at` is when the request was sent, or `None` if the response belongs to an earlier request
/// or the request did not run. A head without a rate limit ends the known limit only if `sent_at`
/// is given: a component that refuses a request may not know the server's limit.
fn apply_signal(job: &Job, replica: &Replica, response: &Response, sent_at: Option<Moment>) {
    // Another server has the address now, so the head says nothing about the server that was
    // selected.
    if response.status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    let vm = &job.vm;
    let now = vm.now();
    if let server_limit::LimitHeader::Present(rejections) = response.rejections {
        let mut services = vm.brittle_services.borrow_mut();
        services.on_announcement(&replica.service, rejections, now);
    }
    let (signal_changed, limit_changed, rejections_changed, rate) = {
        let mut fleet = vm.fleet.borrow_mut();
        let Some(server) = fleet.incarnation_mut(replica) else { return };
        server.has_responded = true;
        let availability = &mut server.availability;
        let sent_at = sent_at.unwrap_or_default();
        let limit_changed = availability.rate_limit.observe(response.limit, sent_at, now);
        let rejections_changed =
            availability.rejection_limit.observe(response.rejections, sent_at, now);
        (
            availability.observe(response.signal, now),
            limit_changed,
            rejections_changed,
            availability.rate_limit.rate(now),
        )
    };
    announce::broadcast_limit(vm, replica, LimitKind::Requests);
    announce::broadcast_limit(vm, replica, LimitKind::Rejections);
    let signals = [
        ("leaves", signal_changed && response.signal.draining),
        ("rest", signal_changed && !response.signal.draining),
        ("limit", limit_changed),
        ("brittle", rejections_changed),
        ("unreadable limit", response.limit == server_limit::LimitHeader::Invalid),
    ];
    let mut is_any_new = false;
    for (name, _) in signals.iter().filter(|(_, is_new)| *is_new) {
        vm.metrics.server_signals.with_label_values(&[job.service.as_str(), name]).inc();
        is_any_new = true;
    }
    if is_any_new {
        log_signal(job, replica, response, rate);
    }
    if signal_changed && response.signal.draining {
        announce::broadcast_drain(vm, replica);
    }
}

/// Logs what a response head reports about its server; `limit` is the server's rate limit as now
/// known.
fn log_signal(job: &Job, replica: &Replica, response: &Response, limit: Option<Rate>) {
    let rejections = match response.rejections {
        server_limit::LimitHeader::Present(rate) => rate.0,
        server_limit::LimitHeader::Absent | server_limit::LimitHeader::Invalid => -1.0,
    };
    let is_read = response.limit != server_limit::LimitHeader::Invalid;
    let fields = [
        ("server", replica.id.as_str().into()),
        ("born_ms", replica.started_at_ms.unwrap_or_default().into()),
        ("request", job.call.id.as_str().into()),
        ("status", u32::from(response.status.as_u16()).into()),
        ("leaves", response.signal.draining.into()),
        ("rest_ms", response.signal.backoff.map_or(-1.0, Span::as_millis).into()),
        ("limit_per_s", limit.map_or(-1.0, |rate| rate.0).into()),
        ("limit_read", is_read.into()),
        ("rejections_per_s", rejections.into()),
    ];
    job.vm.log("server signal received", &fields);
}

/// Reads until the first complete event, or the end of the stream, has arrived.
async fn read_first_event(
    job: &Job,
    connection: Connection,
    open: OpenRequestGuard,
    head: ResponseHead,
    response: Response,
) -> Outcome {
    let vm = &job.vm;
    let events = EventBuffer::new(connection.budget());
    let connection = Some(connection);
    let started_at = vm.now();
    let mut stream =
        Stream { connection, events, first_batch: None, ended: false, started_at, open };
    loop {
        stream.first_batch = stream.events.take_complete();
        if stream.first_batch.is_some() || stream.ended {
            break;
        }
        if let Err(fault) = stream.read().await {
            return outcome_of(fault);
        }
    }
    stream.started_at = vm.now();
    usage::record_run(job);
    Outcome {
        end: AttemptOutcome::Good,
        reason: String::new(),
        head: Some((head, response)),
        body: Bytes::new(),
        stream: Some(stream),
        check: None,
    }
}

/// Returns the outcome of an attempt whose connection failed.
fn outcome_of(fault: Fault) -> Outcome {
    match fault {
        Fault::NotSent(reason) => Outcome::without_response(AttemptOutcome::NotSent, reason),
        Fault::Broken(reason) => Outcome::without_response(AttemptOutcome::Broken, reason),
    }
}

/// Returns a connection to the server's pool, or drops it if the server's incarnation is gone.
/// `idle_timeout` is the one that the server announced, if it did.
pub fn release_connection(
    job: &Job,
    replica: &Replica,
    connection: Connection,
    idle_timeout: Option<Span>,
) {
    let vm: &Rc<super::Vm> = &job.vm;
    let now = vm.now();
    let is_helped = |helper| {
        vm.fleet.borrow().is_path_lost(replica) && vm.helpers.borrow().is_helper(helper, now)
    };
    if !connection.helper().is_none_or(is_helped) {
        return;
    }
    if let Some(server) = vm.fleet.borrow_mut().incarnation_mut(replica) {
        server.pool.release(connection, idle_timeout, now);
    }
}
