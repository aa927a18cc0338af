//! Relays a stream of server-sent events to the caller: complete events as they arrive, resumed at
//! another server if a server breaks off.

use bytes::Bytes;
use futures_util::Stream as Pieces;

use super::connection::Fault;
use super::dispatch::StartedStream;
use super::job::Job;
use super::sse::Batch;
use super::{attempt, crash, poison, stall};
use crate::config::RetryPolicy;
use crate::decide::outcome::AttemptOutcome;
use crate::decide::poison::{BrokenRequest, STABLE_AFTER};
use crate::unit::{Moment, Span};

/// Interval at which a broken stream checks for an exhausted retry budget to recover.
const RETRY_BUDGET_POLL_INTERVAL: Span = Span::millis(50);

/// A stream that is being relayed.
struct Relay {
    job: Job,
    current: StartedStream,
    /// Id of the last event that the caller has.
    last_id: Option<u64>,
    /// Number of attempts to resume that failed before a byte was sent.
    unsent_attempts: u32,
    /// True if a server has produced events for [`STABLE_AFTER`].
    has_been_stable: bool,
}

/// Why the caller's stream is aborted. The connection is reset, so that the stream does not look
/// complete.
#[derive(Debug)]
pub struct Aborted(String);

impl std::fmt::Display for Aborted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Aborted {}

/// Returns the body of the caller's response. Dropping it closes the connection to the server.
pub fn body(job: Job, started: StartedStream) -> impl Pieces<Item = Result<Bytes, Aborted>> {
    let last_id = job.call.last_event_id;
    // The outcome if the body is dropped before the stream ends.
    job.record.set_outcome("caller left its stream");
    let relay =
        Relay { job, current: started, last_id, unsent_attempts: 0, has_been_stable: false };
    futures_util::stream::unfold(Some(relay), |relay| async move {
        let mut relay = relay?;
        match relay.next().await {
            Some(Ok(bytes)) => Some((Ok(bytes), Some(relay))),
            Some(Err(reason)) => {
                relay.job.record.set_broken_off(&reason.to_string());
                // When a body fails, the HTTP server drops what it has not written yet. While the
                // body is pending, it writes.
                tokio::task::yield_now().await;
                Some((Err(Aborted(reason)), None))
            }
            None => {
                relay.job.record.set_outcome("streamed");
                poison::on_success(&relay.job);
                relay.release_connection();
                None
            }
        }
    })
}

impl Relay {
    /// Returns the next complete events, or `None` at the end of the stream.
    async fn next(&mut self) -> Option<Result<Bytes, String>> {
        loop {
            let reason = match self.next_buffered() {
                Some(batch) => match self.check_order(&batch) {
                    Ok(()) => {
                        self.last_id = batch.last_id.or(self.last_id);
                        self.record_stability();
                        return Some(Ok(batch.bytes));
                    }
                    Err(reason) => reason,
                },
                None if self.current.stream.ended => {
                    self.current.stream.open.mark_complete();
                    return None;
                }
                None => match self.read().await {
                    Ok(()) => continue,
                    Err(reason) => reason,
                },
            };
            if let Err(reason) = self.resume(reason).await {
                poison::await_crash_checks(&self.job, &self.current.checks).await;
                return Some(Err(reason));
            }
        }
    }

    /// Returns the complete events that have already arrived.
    fn next_buffered(&mut self) -> Option<Batch> {
        let stream = &mut self.current.stream;
        stream.first_batch.take().or_else(|| stream.events.take_complete())
    }

    /// Returns true if the present server has produced events for [`STABLE_AFTER`].
    fn is_stable(&self, now: Moment) -> bool {
        now.since(self.current.stream.started_at) >= STABLE_AFTER
    }

    /// Records once that a server has run the request for long enough to rule out the shared parts
    /// of its prompt as a cause of crashes.
    fn record_stability(&mut self) {
        if !self.has_been_stable && self.is_stable(self.job.vm.now()) {
            self.has_been_stable = true;
            poison::on_stable(&self.job);
        }
    }

    /// Checks that the events follow directly those that the caller has.
    fn check_order(&self, batch: &Batch) -> Result<(), String> {
        match (self.last_id, batch.first_id) {
            (Some(last), Some(first)) if first != last + 1 => {
                Err(format!("event {first} came after event {last}"))
            }
            _ => Ok(()),
        }
    }

    /// Reads more of the stream until the deadline or a restart of the server.
    async fn read(&mut self) -> Result<(), String> {
        let left = self.job.left(self.job.vm.now()).duration();
        let restarted = self.current.stream.open.server_restarted();
        let read = tokio::time::timeout(left, self.current.stream.read());
        let read = tokio::select! {
            read = read => read,
            () = restarted.notified() => return Err("the server started again".to_owned()),
        };
        match read {
            Ok(Ok(())) => Ok(()),
            Ok(Err(Fault::NotSent(reason) | Fault::Broken(reason))) => Err(reason),
            Err(_) => Err("the time was up".to_owned()),
        }
    }

    /// Resumes the stream at another server after the last complete event, if the route, the retry
    /// budget and the deadline allow it. Before that, closes the connection of the broken attempt,
    /// records it and reports it to [`crash`].
    async fn resume(&mut self, reason: String) -> Result<(), String> {
        let vm = self.job.vm.clone();
        // A server stops the request when its connection closes. It must not work on it beside the
        // next one.
        self.current.stream.connection = None;
        let broken = &self.current.replica;
        self.job.record.add_attempt_end(AttemptOutcome::Broken, &reason, vm.now());
        {
            let mut fleet = vm.fleet.borrow_mut();
            let usual = fleet.failure_rate(&self.job.service, vm.now());
            if let Some(server) = fleet.incarnation_mut(broken) {
                server.availability.record(AttemptOutcome::Broken, usual, vm.now());
            }
        }
        let fingerprint = self.job.fingerprint.clone();
        let request = BrokenRequest { fingerprint, was_stable: self.is_stable(vm.now()) };
        let check = crash::on_broken_response(&vm, broken, request);
        self.current.checks.extend(check);
        if self.job.route.retry != RetryPolicy::Resume {
            return Err(reason);
        }
        loop {
            poison::await_decisive_checks(&self.job, &self.current.checks).await;
            stall::catch_up(&self.job).await;
            let now = vm.now();
            if !self.may_resume(now) || poison::refusal_cause(&self.job).is_some() {
                return Err(reason);
            }
            if !vm.spend_retry(&self.job.service, now) {
                tokio::time::sleep(RETRY_BUDGET_POLL_INTERVAL.duration()).await;
                continue;
            }
            let criteria = self.job.criteria(self.current.model.as_ref(), &self.current.tried);
            let Some(placement) = self.job.wait_for_server(&criteria).await else {
                return Err(format!("{reason}; no other server takes work"));
            };
            let model = self.current.model.clone();
            let left = self.job.route.max_attempts.saturating_sub(self.counted_attempts());
            let until = self.job.attempt_deadline(left, placement.until_prefilled, vm.now());
            let (_, pending) = self.job.begin_attempt(&placement, model.as_ref());
            let replica = placement.replica;
            let outcome =
                attempt::run(&self.job, &replica, model.as_ref(), self.last_id, pending, until)
                    .await;
            self.current.tried.push(replica.clone());
            self.current.checks.extend(outcome.check);
            self.unsent_attempts += u32::from(outcome.end.is_unsent());
            if let Some(stream) = outcome.stream {
                self.current.stream = stream;
                self.current.replica = replica;
                return Ok(());
            }
        }
    }

    /// Returns true if the route's limit on attempts and the deadline allow another attempt.
    fn may_resume(&self, now: Moment) -> bool {
        self.counted_attempts() < self.job.route.max_attempts && now < self.job.deadline
    }

    /// Returns the number of attempts that count towards the route's limit.
    fn counted_attempts(&self) -> u32 {
        self.job.record.attempts().saturating_sub(self.unsent_attempts)
    }

    /// Returns the connection of a complete stream to the pool.
    fn release_connection(self) {
        let Relay { job, current, .. } = self;
        if let Some(connection) = current.stream.connection {
            attempt::release_connection(&job, &current.replica, connection, None);
        }
    }
}
