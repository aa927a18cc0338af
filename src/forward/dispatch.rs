//! Dispatches a request: attempts at servers until one of them responds or no retry is allowed.

use actix_http::ResponseHead;
use bytes::Bytes;

use super::attempt::{self, Outcome, Stream};
use super::call::Response;
use super::connectivity;
use super::job::Job;
use super::poison;
use super::replica::Replica;
use super::rollout_attempt::RolloutAttempt;
use super::selection::{self, Placement};
use super::stall;
use super::tunnel;
use crate::config::RetryPolicy;
use crate::decide::escalate;
use crate::decide::outcome::{self, AttemptOutcome, FinalResponse, NextAction};
use crate::engine::crash_check::Checks;
use crate::entry::refusal::{Kind, Refusal};
use crate::unit::{Digest, Model, Moment, Span};

/// Time to the deadline below which no attempt is started.
const MIN_ATTEMPT_TIME: Span = Span::millis(30);

/// Attempts per model that may fail before a byte is sent. The route's limit on attempts does not
/// count them.
const MAX_UNSENT_ATTEMPTS: u32 = 4;

/// The response that the caller gets.
pub enum Reply {
    /// A complete response of a server.
    Complete(Box<(ResponseHead, Bytes)>),
    /// A stream of server-sent events whose first event has arrived.
    Stream(Box<StartedStream>),
    /// A refusal by this VM.
    Refused(Refusal),
}

/// A stream that has started, with the server and model that send it.
pub struct StartedStream {
    /// Response head of the first server; the caller keeps it if another server takes over.
    pub head: ResponseHead,
    /// The events that are still to be relayed.
    pub stream: Stream,
    /// The server that sends the events now.
    pub replica: Replica,
    /// The model that the system chose; `None` if the caller named one or the request needs no
    /// model.
    pub model: Option<Model>,
    /// Servers that were tried so far; a resumed stream avoids them.
    pub tried: Vec<Replica>,
    /// Checks of the servers that broke off their responses.
    pub checks: Checks,
}

/// State of the attempts at a request so far.
#[derive(Default)]
struct Progress {
    /// Servers tried so far, which further attempts avoid; cleared when the request goes back to
    /// the smaller model.
    tried: Vec<Replica>,
    /// Number of attempts that failed before a byte of the request was sent.
    unsent_attempts: u32,
    /// Number of attempts that failed before a byte was sent, since the model last changed.
    unsent_attempts_of_model: u32,
    /// True if a server may have run the request, at least in part.
    may_have_run: bool,
    /// The latest error response of a server, delivered if no later attempt succeeds.
    failure: Option<(ResponseHead, Bytes)>,
    /// Set once the request was escalated to the larger model, which happens at most once.
    escalated: bool,
    /// The smaller model whose response was dropped for the larger one. The request goes back to
    /// this model if the larger one fails.
    fallback_model: Option<Model>,
    /// Checks of the servers that broke off their responses.
    checks: Checks,
}

impl Reply {
    /// Returns true if the caller may repeat the request because it failed.
    fn is_failure(&self) -> bool {
        match self {
            Reply::Complete(response) => response.0.status.is_server_error(),
            Reply::Stream(_) => false,
            Reply::Refused(_) => true,
        }
    }
}

/// Sends the request to one server after another until one responds or no retry is allowed. Returns
/// a failure only once the other VMs know of the servers that crashed under the request. If a planned
/// stop is about to end, answers at once.
pub async fn run(job: &Job) -> Reply {
    tokio::select! {
        reply = run_to_end(job) => reply,
        () = job.vm.last_answers_due() => refuse_at_stop(job),
    }
}

/// Makes the attempts of [`run`], and waits until the crashes under them are known.
async fn run_to_end(job: &Job) -> Reply {
    let mut progress = Progress::default();
    let reply = try_servers(job, &mut progress).await;
    if reply.is_failure() {
        poison::await_crash_checks(job, &progress.checks).await;
    }
    reply
}

/// Ends a request that still runs when a planned stop is about to end.
fn refuse_at_stop(job: &Job) -> Reply {
    match job.record.attempts() {
        0 => refuse(job, Refusal::with_retry_after(Kind::Stopping, Span(0))),
        _ => refuse(job, Refusal::new(Kind::TimedOut)),
    }
}

/// Makes the attempts of [`run`].
async fn try_servers(job: &Job, progress: &mut Progress) -> Reply {
    let vm = &job.vm;
    let mut model = initial_model(job);
    vm.record_first_attempt(&job.service, vm.now());
    loop {
        poison::await_decisive_checks(job, &progress.checks).await;
        stall::catch_up(job).await;
        if let Some(cause) = poison::refusal_cause(job) {
            return refuse_quarantined(job, progress, cause);
        }
        let is_unreachable = vm.has_lost_links() || connectivity::is_unreachable(vm, &job.service);
        if is_unreachable && !tunnel::find_helper(vm, &job.service).await {
            return refuse_unreachable(job, progress);
        }
        let now = vm.now();
        if job.left(now) < MIN_ATTEMPT_TIME {
            return give_up(job, progress, AttemptOutcome::Late);
        }
        let criteria = job.criteria(model.as_ref(), &progress.tried);
        let Some(placement) = job.wait_for_server(&criteria).await else {
            if fall_back(job, progress, &mut model, vm.now()) {
                continue;
            }
            return give_up(job, progress, AttemptOutcome::NotSent);
        };
        if let Some(cause) = poison::refusal_cause(job) {
            return refuse_quarantined(job, progress, cause);
        }
        let now = vm.now();
        let replica = &placement.replica;
        vm.metrics.added_latency.observe(now.since(job.arrived).as_secs());
        let left = job.route.max_attempts.saturating_sub(counted_attempts(job, progress));
        let until = job.attempt_deadline(left, placement.until_prefilled, now);
        let outcome = attempt_at(job, &placement, model.as_ref(), until, progress).await;
        progress.tried.push(replica.clone());
        progress.checks.extend(outcome.check.clone());
        let ended = vm.now();
        if outcome.end == AttemptOutcome::Good
            && let Some(larger) = escalate_to(job, progress, model.as_ref(), &outcome, ended)
        {
            // Dropping the outcome closes the connection, which cancels the request at the server.
            // It has run there, at least in part.
            drop(outcome);
            progress.may_have_run = true;
            progress.tried.pop();
            progress.escalated = true;
            progress.fallback_model = model.replace(larger);
            progress.unsent_attempts_of_model = 0;
            continue;
        }
        match outcome::next_action(outcome.end, job.route.retry) {
            NextAction::Deliver => {
                return deliver(job, placement.replica, model, outcome, progress);
            }
            NextAction::Unknown if !may_retry_timeout(job, &outcome) => {
                progress.may_have_run = true;
                return give_up(job, progress, outcome.end);
            }
            NextAction::Unknown | NextAction::Retry => {}
        }
        let end = outcome.end;
        let unsent = u32::from(end.is_unsent());
        progress.unsent_attempts += unsent;
        progress.unsent_attempts_of_model += unsent;
        progress.may_have_run |=
            matches!(end, AttemptOutcome::Broken | AttemptOutcome::Failed | AttemptOutcome::Late);
        if let (AttemptOutcome::Failed, Some((head, _))) = (end, outcome.head) {
            progress.failure = Some((head, outcome.body));
        }
        let uses_fallback = !end.is_unsent() && progress.fallback_model.is_some();
        if !uses_fallback && may_retry(job, progress, end) {
            continue;
        }
        if !fall_back(job, progress, &mut model, ended) {
            return give_up(job, progress, end);
        }
    }
}

/// Switches back to the smaller model whose response was dropped on an escalation. Returns false if
/// there was no escalation, or no further attempt is allowed.
fn fall_back(job: &Job, progress: &mut Progress, model: &mut Option<Model>, now: Moment) -> bool {
    let is_allowed = job.left(now) >= MIN_ATTEMPT_TIME && progress.fallback_model.is_some();
    if !is_allowed || !spend_attempt(job, progress, now) {
        return false;
    }
    *model = progress.fallback_model.take();
    progress.tried.clear();
    progress.unsent_attempts_of_model = 0;
    true
}

/// Makes one attempt, and records its result in the trial of a rollout and in this VM's estimates
/// of prefill and queue times.
async fn attempt_at(
    job: &Job,
    placement: &Placement,
    model: Option<&Model>,
    until: Moment,
    progress: &Progress,
) -> Outcome {
    let replica = &placement.replica;
    let vm = &job.vm;
    let started = vm.now();
    let named = model.or(job.call.model.as_ref());
    let (estimate, pending) = job.begin_attempt(placement, model);
    let attempt = attempt::run(job, replica, model, job.call.last_event_id, pending, until);
    // A request that failed may fail at any server: a second answer to it says little about the
    // version.
    let outcome = if progress.failure.is_some() {
        attempt.await
    } else {
        let mut trial = RolloutAttempt::new(job, replica, started, estimate.expected_time);
        let outcome = trial.wait(attempt).await;
        trial.on_end(outcome.end);
        outcome
    };
    if outcome.end == AttemptOutcome::Good {
        let took = vm.now().since(started);
        vm.record_prefill(named, estimate.uncached_tokens, took);
        if estimate.expected_time.is_some() {
            let waited = Span(took.0.saturating_sub(estimate.prefill_time.0));
            vm.record_wait(&job.service, waited, job.route.latency_goal);
        }
    }
    outcome
}

/// Returns the smallest model of the route's cascade, if the caller leaves the choice to the
/// system.
fn initial_model(job: &Job) -> Option<Model> {
    if !job.call.any_model {
        return None;
    }
    job.route.cascade.first().cloned()
}

/// Returns the largest model of the route's cascade if `model` is not that one yet and the request
/// may be repeated. Models in between are skipped: they cost several times more than the smallest
/// and answer few more requests.
fn larger_model(job: &Job, model: Option<&Model>) -> Option<Model> {
    if !job.call.any_model || job.route.retry == RetryPolicy::Never {
        return None;
    }
    let largest = job.route.cascade.last()?;
    (model != Some(largest)).then(|| largest.clone())
}

/// Returns the larger model if the request should escalate to it, because the smaller model's
/// response, which the caller has not seen yet, has a low confidence.
///
/// Requires that the smaller model may run again should the larger one fail, and that the retry
/// budget keeps enough for failures.
fn escalate_to(
    job: &Job,
    progress: &Progress,
    model: Option<&Model>,
    outcome: &Outcome,
    now: Moment,
) -> Option<Model> {
    // One attempt for the larger model, and one for the fallback if the route allows three at all.
    let needed = if job.route.max_attempts > 2 { 2 } else { 1 };
    let may_attempt = counted_attempts(job, progress) + needed <= job.route.max_attempts;
    if progress.escalated || !may_attempt || poison::refusal_cause(job).is_some() {
        return None;
    }
    let (_, response) = outcome.head.as_ref()?;
    let confidence = response.confidence? / 100.0;
    let larger = larger_model(job, model)?;
    let placement = selection::select_server(&job.vm, &job.criteria(Some(&larger), &[]), now)?;
    let left = (job.arrived + job.route.latency_goal).since(now);
    let pressure = job.vm.pressure(&job.service, now);
    let known = escalate::Inputs {
        confidence,
        keep_confidence: job.vm.settings.keep_confidence / 100.0,
        pressure,
        queue_wait: Span(placement.until_prefilled.0 - placement.prefill_time.0),
        prefill_time: placement.prefill_time,
        time_left: left,
    };
    job.record.add_escalation_check(&known);
    let is_allowed =
        escalate::should_escalate(&known) && job.vm.spend_optional_retry(&job.service, now);
    is_allowed.then_some(larger)
}

/// Returns the number of attempts that count towards the route's limit.
fn counted_attempts(job: &Job, progress: &Progress) -> u32 {
    job.record.attempts().saturating_sub(progress.unsent_attempts)
}

/// Returns true if a request whose attempt timed out may be retried at another server.
fn may_retry_timeout(job: &Job, outcome: &Outcome) -> bool {
    let more = job.left(job.vm.now()) >= MIN_ATTEMPT_TIME;
    outcome.end == AttemptOutcome::Late && job.route.retry != RetryPolicy::Never && more
}

/// Returns true if a failed request may be sent again. Takes the retry from the budget, unless the
/// attempt failed before a byte was sent.
fn may_retry(job: &Job, progress: &Progress, end: AttemptOutcome) -> bool {
    let now = job.vm.now();
    if job.left(now) < MIN_ATTEMPT_TIME || progress.unsent_attempts_of_model >= MAX_UNSENT_ATTEMPTS
    {
        return false;
    }
    if end.is_unsent() {
        return true;
    }
    spend_attempt(job, progress, now)
}

/// Returns true if the route's limit and the retry budget allow one more attempt, and spends it
/// from the budget.
fn spend_attempt(job: &Job, progress: &Progress, now: Moment) -> bool {
    counted_attempts(job, progress) < job.route.max_attempts
        && job.vm.spend_retry(&job.service, now)
}

/// Returns the reply that delivers the response of a server to the caller.
fn deliver(
    job: &Job,
    replica: Replica,
    model: Option<Model>,
    outcome: Outcome,
    progress: &mut Progress,
) -> Reply {
    job.record.mark_response_started(job.vm.now());
    let Some((head, response)) = outcome.head else {
        return refuse_broken(job, "the response of the server has no head");
    };
    if let Some(stream) = outcome.stream {
        let tried = std::mem::take(&mut progress.tried);
        let checks = std::mem::take(&mut progress.checks);
        let started = StartedStream { head, stream, replica, model, tried, checks };
        return Reply::Stream(Box::new(started));
    }
    if reads_as_not_run(&response) {
        return refuse_broken(job, "the server failed with a status that callers read as not run");
    }
    poison::on_success(job);
    job.record.set_outcome(head.status.as_str());
    Reply::Complete(Box::new((head, outcome.body)))
}

/// Returns true if callers would read the status as a promise that the request did not run although
/// the server made none.
fn reads_as_not_run(response: &Response) -> bool {
    matches!(response.status.as_u16(), 408 | 421 | 429 | 503) && !response.not_run
}

fn refuse_broken(job: &Job, reason: &str) -> Reply {
    refuse(job, Refusal::with_detail(Kind::Broken, reason))
}

/// Records the refusal as the request's outcome and returns it as the reply.
fn refuse(job: &Job, refusal: Refusal) -> Reply {
    job.record.set_outcome(refusal.kind.row().name);
    Reply::Refused(refusal)
}

/// Ends a request that has a quarantined digest, `cause`.
fn refuse_quarantined(job: &Job, progress: &mut Progress, cause: Digest) -> Reply {
    if progress.may_have_run {
        return give_up(job, progress, AttemptOutcome::Broken);
    }
    let refusal = Refusal::new(Kind::HeldBack);
    job.record.set_held_back(refusal.kind.row().name, cause);
    Reply::Refused(refusal)
}

/// Ends a request for a service of which this VM reaches no server. Other VMs may serve it at once
/// if this VM reaches no server of any service. Otherwise the servers may be gone, and the caller
/// comes back later.
fn refuse_unreachable(job: &Job, progress: &mut Progress) -> Reply {
    if progress.may_have_run {
        return give_up(job, progress, AttemptOutcome::Broken);
    }
    let retry_delay = job.vm.has_lost_links().then_some(Span(0));
    refuse(job, Refusal { retry_delay, ..Refusal::new(Kind::Unreachable) })
}

/// Ends a request that may not be attempted any more.
fn give_up(job: &Job, progress: &mut Progress, end: AttemptOutcome) -> Reply {
    let late = job.left(job.vm.now()) < MIN_ATTEMPT_TIME;
    if let Some((head, body)) = progress.failure.take() {
        let response = crate::platform::header::decode_response(&head);
        if !reads_as_not_run(&response) {
            job.record.set_outcome(head.status.as_str());
            return Reply::Complete(Box::new((head, body)));
        }
    }
    match outcome::final_response(end, progress.may_have_run) {
        FinalResponse::Refused if late => refuse(job, Refusal::new(Kind::Busy)),
        FinalResponse::Refused => {
            let delay = selection::retry_after(&job.vm, &job.criteria(None, &[]), job.vm.now());
            refuse(job, Refusal { retry_delay: delay, ..Refusal::new(Kind::NoServer) })
        }
        FinalResponse::Unknown | FinalResponse::Delivered if !progress.may_have_run => {
            refuse(job, Refusal::new(Kind::Busy))
        }
        FinalResponse::Unknown | FinalResponse::Delivered if late => {
            refuse(job, Refusal::new(Kind::TimedOut))
        }
        FinalResponse::Unknown | FinalResponse::Delivered => {
            refuse_broken(job, "no server gave a complete response")
        }
    }
}
