//! One attempt: a request at one server, until its answer is whole or its first event is there.

use std::rc::Rc;

use actix_http::{ResponseHead, StatusCode};
use bytes::Bytes;

use super::call::Response;
use super::connection::{Connection, Fault};
use super::job::{Job, OpenRequest, PendingPrompt};
use super::replica::Replica;
use super::sse::{Batch, EventBuffer};
use super::vm::Vm;
use super::{announce, crash, pool};
use crate::config::Repeat;
use crate::decide::outcome::AttemptOutcome;
use crate::decide::poison;
use crate::decide::server_limit;
use crate::platform::header::{self, Extra};
use crate::unit::{Model, Moment, Rate, Span};

/// A connection that does not open within this is tried elsewhere; the servers are some
/// milliseconds away.
const OPEN_WITHIN: Span = Span::millis(350);

/// Largest answer that is not a stream.
const LARGEST: usize = 8 * 1024 * 1024;

/// Answers for other requests that may precede ours on a connection.
const STRANGERS: u32 = 2;

/// Why an attempt has no answer whose server began a later life.
const BEFORE_A_LATER_LIFE: &str = "before the server started again";

/// What an attempt brought.
pub struct Outcome {
    /// How it ended.
    pub end: AttemptOutcome,
    /// Why, in words, if it is no good end.
    pub reason: String,
    /// The answer's head, as the server gave it and as it was understood.
    pub head: Option<(ResponseHead, Response)>,
    /// The body, if it is whole.
    pub body: Bytes,
    /// The rest of a stream.
    pub stream: Option<Stream>,
}

/// A stream whose first whole event, or end, has arrived.
pub struct Stream {
    /// Where the rest comes from.
    pub connection: Connection,
    /// Events that arrived and are not passed on.
    pub events: EventBuffer,
    /// The first whole events.
    pub first_batch: Option<Batch>,
    /// Whether the server ended it.
    pub ended: bool,
    /// When its first event, or its end, arrived.
    pub started_at: Moment,
    /// Counts the request at the server.
    pub open: OpenRequest,
}

impl Stream {
    /// Reads what arrives next, or finds that the server ended the stream.
    ///
    /// # Errors
    /// `Broken` if it broke off, or ended within an event.
    pub async fn read(&mut self) -> Result<(), Fault> {
        let broken = |why: &str| Err(Fault::Broken(why.to_owned()));
        match self.connection.read_chunk().await? {
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
    fn without_answer(end: AttemptOutcome, why: impl Into<String>) -> Outcome {
        Outcome { end, reason: why.into(), head: None, body: Bytes::new(), stream: None }
    }
}

/// Sends a request to a server and waits until `until`; its prompt is `waiting` there meanwhile.
pub async fn run(
    job: &Job,
    replica: &Replica,
    model: Option<&Model>,
    after_event: Option<u64>,
    waiting: PendingPrompt,
    until: Moment,
) -> Outcome {
    let vm = &job.vm;
    let open = OpenRequest::new(vm, replica);
    let over = open.server_restarted();
    let mut sent = false;
    let left = until.since(vm.now()).duration();
    let exchange = exchange(job, replica, model, after_event, &waiting, open, &mut sent);
    let outcome = tokio::select! {
        ended = tokio::time::timeout(left, exchange) => ended.map_err(|_| "in time"),
        () = over.notified() => Err(BEFORE_A_LATER_LIFE),
    };
    let is_lost = outcome.as_ref().is_err_and(|why| *why == BEFORE_A_LATER_LIFE);
    let outcome = match outcome {
        Ok(outcome) => outcome,
        Err(why) if sent => {
            Outcome::without_answer(AttemptOutcome::Late, format!("no answer {why}"))
        }
        Err(why) => {
            Outcome::without_answer(AttemptOutcome::NotSent, format!("no connection {why}"))
        }
    };
    drop(waiting);
    note(job, replica, &outcome);
    if outcome.end == AttemptOutcome::Broken || is_lost {
        crash::on_broken_response(
            vm,
            replica,
            poison::OpenRequest { content: job.content, was_stable: false },
        );
    }
    outcome
}

/// Keeps what an attempt told about its server.
fn note(job: &Job, replica: &Replica, outcome: &Outcome) {
    let vm = &job.vm;
    let now = vm.now();
    let end = format!("{:?}", outcome.end);
    vm.metrics.attempts.with_label_values(&[job.service.as_str(), end.as_str()]).inc();
    job.record.add_attempt_end(outcome.end, &outcome.reason, now);
    let mut fleet = vm.fleet.borrow_mut();
    let usual = fleet.failure_rate(&job.service, now);
    let Some(server) = fleet.incarnation_mut(replica) else { return };
    if let Some(load) = outcome.head.as_ref().and_then(|(_, answer)| answer.load) {
        server.load.observe(load.running + load.waiting, now);
    }
    let is_another =
        |(head, _): &(ResponseHead, Response)| head.status == StatusCode::MISDIRECTED_REQUEST;
    if outcome.head.as_ref().is_some_and(is_another) {
        server.availability.mark_address_reused();
    }
    let left_out = server.availability.record(outcome.end, usual, now);
    let failures = server.availability.failure_rate();
    drop(fleet);
    if left_out {
        vm.log(
            "server left out",
            &[
                ("server", replica.id.as_str().into()),
                ("after", outcome.reason.as_str().into()),
                ("failures", failures.into()),
                ("usual_failures", usual.into()),
            ],
        );
    }
}

async fn exchange(
    job: &Job,
    replica: &Replica,
    model: Option<&Model>,
    after_event: Option<u64>,
    waiting: &PendingPrompt,
    open: OpenRequest,
    sent: &mut bool,
) -> Outcome {
    let vm = &job.vm;
    let repeatable = job.route.repeat != Repeat::Never;
    let now = vm.now();
    let resting = {
        let mut fleet = vm.fleet.borrow_mut();
        fleet.incarnation_mut(replica).and_then(|server| server.pool.checkout(repeatable, now))
    };
    let mut connection = match pool::reuse_or_open(resting, replica.address, OPEN_WITHIN).await {
        Ok(connection) => connection,
        Err(fault) => return broken(fault),
    };
    let forbidden = vm.fleet.borrow().unavailable_reason(replica, vm.now());
    if let Some(bar) = forbidden {
        release_connection(job, replica, connection, None);
        return Outcome::without_answer(AttemptOutcome::Withheld, bar.to_string());
    }
    if let Err(why) = waiting.turn.consume(vm.now()) {
        release_connection(job, replica, connection, None);
        return Outcome::without_answer(AttemptOutcome::Withheld, why.to_string());
    }
    let extra = Extra {
        replica,
        left: job.left(vm.now()),
        workspace: job.holder.as_ref().map(|holder| &holder.workspace),
        model,
        priority: job.route.streams.then(|| job.priority(waiting.prefill_time, vm.now())),
        after_event,
    };
    let head = header::request(&job.head, &extra);
    // From here on a byte may leave.
    *sent = true;
    let (head, answer) = match answer(job, replica, &mut connection, head).await {
        Ok(answered) => answered,
        Err(fault) => return broken(fault),
    };
    if head.status.is_success() && (!answer.signed || answer.encoded) {
        return Outcome::without_answer(
            AttemptOutcome::Broken,
            "a success that the server did not sign",
        );
    }
    if head.status.is_success() && job.route.streams {
        return first_event(vm, connection, open, head, answer).await;
    }
    let body = match connection.read_body(LARGEST).await {
        Ok(body) => body,
        Err(fault) => return broken(fault),
    };
    let end = match (answer.not_run, head.status.is_server_error()) {
        (true, _) => AttemptOutcome::NotRun,
        (false, true) => AttemptOutcome::Failed,
        (false, false) => AttemptOutcome::Good,
    };
    release_connection(job, replica, connection, answer.idle_timeout);
    let why =
        if end == AttemptOutcome::Good { String::new() } else { head.status.as_str().to_owned() };
    Outcome { end, reason: why, head: Some((head, answer)), body, stream: None }
}

/// Sends, and reads heads until one answers this request.
async fn answer(
    job: &Job,
    replica: &Replica,
    connection: &mut Connection,
    head: actix_http::RequestHead,
) -> Result<(ResponseHead, Response), Fault> {
    let asked = job.vm.now();
    let mut head = connection.send(head, &job.body).await?;
    for _ in 0..=STRANGERS {
        let answer = header::answer(&head);
        note_unknown(job, replica, &head);
        // A server that turns a request away unread may not have seen its id.
        let ours = answer.id.as_deref() == Some(job.call.id.as_str())
            || (answer.id.is_none() && answer.not_run);
        let ends_limit = ours && !answer.not_run;
        heed(job, replica, &answer, ends_limit.then_some(asked));
        if ours || job.call.id.is_empty() {
            return Ok((head, answer));
        }
        if answer.id.is_none() {
            return Err(Fault::Broken("an answer without an id".to_owned()));
        }
        // The answer of an earlier request; ours is due behind it.
        connection.read_body(LARGEST).await?;
        head = connection.read_head().await?;
    }
    Err(Fault::Broken("answers for other requests only".to_owned()))
}

/// Counts the headers of an answer that nothing decodes, so that a new word of the platform is seen on the day on which it comes.
fn note_unknown(job: &Job, replica: &Replica, head: &ResponseHead) {
    let vm = &job.vm;
    for name in header::unknown(head) {
        let (name, is_new) = vm.unknown_headers.borrow_mut().meet(name);
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

/// Keeps what a server says of itself, as soon as a head has arrived; it holds whatever becomes of the answer. The request that it answers was
/// sent at `asked`, if it is this one and ran: a refusal that names no limit ends none, since what refuses need not know of the server's need.
fn heed(job: &Job, replica: &Replica, answer: &Response, asked: Option<Moment>) {
    // The head of another server that has its address now.
    if answer.status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    let vm = &job.vm;
    let now = vm.now();
    let (heard, limited, rate) = {
        let mut fleet = vm.fleet.borrow_mut();
        let Some(server) = fleet.incarnation_mut(replica) else { return };
        let availability = &mut server.availability;
        let limited = availability.limit.observe(answer.limit, asked.unwrap_or_default(), now);
        (availability.observe(answer.signal, now), limited, availability.limit.rate(now))
    };
    announce::broadcast_limit(vm, replica);
    let news = [
        ("leaves", heard && answer.signal.draining),
        ("rest", heard && !answer.signal.draining),
        ("limit", limited),
        ("unreadable limit", answer.limit == server_limit::LimitHeader::Invalid),
    ];
    let mut is_news = false;
    for (word, _) in news.iter().filter(|(_, is_new)| *is_new) {
        vm.metrics.server_signals.with_label_values(&[job.service.as_str(), word]).inc();
        is_news = true;
    }
    if is_news {
        log_said(job, replica, answer, rate);
    }
    if heard && answer.signal.draining {
        announce::broadcast_drain(vm, replica);
    }
}

/// Tells what the head of an answer said of its server, which now has this limit.
fn log_said(job: &Job, replica: &Replica, answer: &Response, limit: Option<Rate>) {
    let is_read = answer.limit != server_limit::LimitHeader::Invalid;
    let fields = [
        ("server", replica.id.as_str().into()),
        ("born_ms", replica.started_at_ms.unwrap_or_default().into()),
        ("request", job.call.id.as_str().into()),
        ("status", u32::from(answer.status.as_u16()).into()),
        ("leaves", answer.signal.draining.into()),
        ("rest_ms", answer.signal.backoff.map_or(-1.0, Span::as_millis).into()),
        ("limit_per_s", limit.map_or(-1.0, |rate| rate.0).into()),
        ("limit_read", is_read.into()),
    ];
    job.vm.log("server said", &fields);
}

async fn first_event(
    vm: &Vm,
    connection: Connection,
    open: OpenRequest,
    head: ResponseHead,
    answer: Response,
) -> Outcome {
    let events = EventBuffer::default();
    let begun = vm.now();
    let mut stream =
        Stream { connection, events, first_batch: None, ended: false, started_at: begun, open };
    loop {
        stream.first_batch = stream.events.take_complete();
        if stream.first_batch.is_some() || stream.ended {
            break;
        }
        if let Err(fault) = stream.read().await {
            return broken(fault);
        }
    }
    stream.started_at = vm.now();
    Outcome {
        end: AttemptOutcome::Good,
        reason: String::new(),
        head: Some((head, answer)),
        body: Bytes::new(),
        stream: Some(stream),
    }
}

fn broken(fault: Fault) -> Outcome {
    match fault {
        Fault::NotSent(why) => Outcome::without_answer(AttemptOutcome::NotSent, why),
        Fault::Broken(why) => Outcome::without_answer(AttemptOutcome::Broken, why),
    }
}

/// Lets a connection rest for the next request.
pub fn release_connection(
    job: &Job,
    replica: &Replica,
    connection: Connection,
    rest: Option<Span>,
) {
    let vm: &Rc<super::Vm> = &job.vm;
    let now = vm.now();
    if let Some(server) = vm.fleet.borrow_mut().incarnation_mut(replica) {
        server.pool.release(connection, rest, now);
    }
}
