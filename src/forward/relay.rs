//! A stream of events on its way to the caller: whole events as they arrive, gone on with at
//! another server if one breaks off.

use bytes::Bytes;
use futures_util::Stream as Pieces;

use super::connection::Fault;
use super::dispatch::StartedStream;
use super::job::Job;
use super::sse::Batch;
use super::{attempt, crash, poison};
use crate::config::Repeat;
use crate::decide::outcome::AttemptOutcome;
use crate::decide::poison::{OpenRequest, STABLE_AFTER};
use crate::unit::{Moment, Span};

/// Pause until the budget of repeats is asked again.
const PAUSE: Span = Span::millis(50);

/// A stream that is passed on.
struct Relay {
    job: Job,
    begun: StartedStream,
    last: Option<u64>,
    unsent: u32,
}

/// Why the caller's stream is broken off; the connection is reset, so that it does not look whole.
#[derive(Debug)]
pub struct BrokenOff(String);

impl std::fmt::Display for BrokenOff {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for BrokenOff {}

/// The body of the caller's answer. Dropping it closes the server's connection.
pub fn body(job: Job, begun: StartedStream) -> impl Pieces<Item = Result<Bytes, BrokenOff>> {
    let last = job.call.last_event_id;
    // The caller left, unless the end is seen.
    job.record.set_outcome("caller left its stream");
    let relay = Relay { job, begun, last, unsent: 0 };
    futures_util::stream::unfold(Some(relay), |relay| async move {
        let mut relay = relay?;
        match relay.next().await {
            Some(Ok(bytes)) => Some((Ok(bytes), Some(relay))),
            Some(Err(why)) => {
                relay.job.record.set_outcome(format!("broken off: {why}"));
                // The server of callers drops what it has not written when a body fails; while
                // the body is pending it writes.
                tokio::task::yield_now().await;
                Some((Err(BrokenOff(why)), None))
            }
            None => {
                relay.job.record.set_outcome("streamed");
                poison::on_success(&relay.job.vm, relay.job.content);
                relay.rest();
                None
            }
        }
    })
}

impl Relay {
    /// The next whole events; nothing at the end of the stream.
    async fn next(&mut self) -> Option<Result<Bytes, String>> {
        loop {
            let why = match self.ready() {
                Some(batch) => match self.in_order(&batch) {
                    Ok(()) => {
                        self.last = batch.last_id.or(self.last);
                        return Some(Ok(batch.bytes));
                    }
                    Err(why) => why,
                },
                None if self.begun.stream.ended => return None,
                None => match self.read().await {
                    Ok(()) => continue,
                    Err(why) => why,
                },
            };
            if let Err(why) = self.go_on(why).await {
                return Some(Err(why));
            }
        }
    }

    fn ready(&mut self) -> Option<Batch> {
        let stream = &mut self.begun.stream;
        stream.first_batch.take().or_else(|| stream.events.take_complete())
    }

    /// Events must follow those that the caller has.
    fn in_order(&self, batch: &Batch) -> Result<(), String> {
        match (self.last, batch.first_id) {
            (Some(last), Some(first)) if first != last + 1 => {
                Err(format!("event {first} came after event {last}"))
            }
            _ => Ok(()),
        }
    }

    async fn read(&mut self) -> Result<(), String> {
        let left = self.job.left(self.job.vm.now()).duration();
        let over = self.begun.stream.open.server_restarted();
        let read = tokio::time::timeout(left, self.begun.stream.read());
        let read = tokio::select! {
            read = read => read,
            () = over.notified() => return Err("the server started again".to_owned()),
        };
        match read {
            Ok(Ok(())) => Ok(()),
            Ok(Err(Fault::NotSent(why) | Fault::Broken(why))) => Err(why),
            Err(_) => Err("the time was up".to_owned()),
        }
    }

    /// Goes on at another server after the last whole event, if the request allows it.
    async fn go_on(&mut self, why: String) -> Result<(), String> {
        let vm = self.job.vm.clone();
        let broken = &self.begun.replica;
        self.job.record.add_attempt_end(AttemptOutcome::Broken, &why, vm.now());
        {
            let mut fleet = vm.fleet.borrow_mut();
            let usual = fleet.failure_rate(&self.job.service, vm.now());
            if let Some(server) = fleet.incarnation_mut(broken) {
                server.availability.record(AttemptOutcome::Broken, usual, vm.now());
            }
        }
        let ran = vm.now().since(self.begun.stream.started_at) >= STABLE_AFTER;
        crash::on_broken_response(
            &vm,
            broken,
            OpenRequest { content: self.job.content, was_stable: ran },
        );
        if self.job.route.repeat != Repeat::Resume {
            return Err(why);
        }
        loop {
            let now = vm.now();
            if !self.may_go_on(now) || poison::is_quarantined(&self.job) {
                return Err(why);
            }
            if !vm.spend_retry(&self.job.service, now) {
                tokio::time::sleep(PAUSE.duration()).await;
                continue;
            }
            let wish = self.job.criteria(self.begun.model.as_ref(), &self.begun.tried);
            let Some(place) = self.job.wait_for_server(&wish).await else {
                return Err(format!("{why}; no other server takes work"));
            };
            let model = self.begun.model.clone();
            let left = self.job.route.attempts.saturating_sub(self.sends());
            let until = self.job.attempt_deadline(left, place.until_prefilled, vm.now());
            let (_, waiting) = self.job.begin_attempt(&place, model.as_ref());
            let replica = place.replica;
            let outcome =
                attempt::run(&self.job, &replica, model.as_ref(), self.last, waiting, until).await;
            self.begun.tried.push(replica.clone());
            self.unsent += u32::from(outcome.end.is_unsent());
            if let Some(stream) = outcome.stream {
                self.begun.stream = stream;
                self.begun.replica = replica;
                return Ok(());
            }
        }
    }

    fn may_go_on(&self, now: Moment) -> bool {
        self.sends() < self.job.route.attempts && now < self.job.deadline
    }

    /// Sends that count as an attempt.
    fn sends(&self) -> u32 {
        self.job.record.attempts().saturating_sub(self.unsent)
    }

    /// Lets the connection of a stream that ended rest.
    fn rest(self) {
        let Relay { job, begun, .. } = self;
        attempt::release_connection(&job, &begun.replica, begun.stream.connection, None);
    }
}
