//! The life of one request: attempts at servers until one answers, or nothing more may be tried.

use actix_http::ResponseHead;
use bytes::Bytes;

use super::attempt::{self, Outcome, Stream};
use super::call::Response;
use super::job::Job;
use super::poison;
use super::replica::Replica;
use super::selection::{self, Placement};
use super::trial_attempt::TrialAttempt;
use crate::config::Repeat;
use crate::decide::escalate;
use crate::decide::outcome::{self, AttemptOutcome, FinalResponse, Next};
use crate::entry::refusal::{Kind, Refusal};
use crate::unit::{Model, Moment, Span};

/// A repeat needs at least this much time.
const LEAST: Span = Span::millis(30);

/// Attempts without a byte sent, which the route's number does not count; for each model.
const UNSENT: u32 = 4;

/// What the caller gets.
pub enum Reply {
    /// A whole answer of a server.
    Complete(Box<(ResponseHead, Bytes)>),
    /// A stream.
    Stream(Box<StartedStream>),
    /// An answer of this VM's own.
    Refused(Refusal),
}

/// A stream that has begun, and who sends it.
pub struct StartedStream {
    /// The head of the first server.
    pub head: ResponseHead,
    /// The rest.
    pub stream: Stream,
    /// The server.
    pub replica: Replica,
    /// The model.
    pub model: Option<Model>,
    /// Servers tried so far.
    pub tried: Vec<Replica>,
}

/// What is known of the attempts so far.
#[derive(Default)]
struct Progress {
    tried: Vec<Replica>,
    /// Attempts without a byte sent; in all, and since the model changed.
    unsent: u32,
    unsent_of_model: u32,
    may_have_run: bool,
    /// A failure that a server gave, kept in case that nothing better comes.
    failure: Option<(ResponseHead, Bytes)>,
    /// Whether a larger model was asked; that happens once.
    escalated: bool,
    /// The smaller model whose answer was dropped for it. It answers again if the larger fails.
    smaller: Option<Model>,
}

/// Tries servers until one answers.
pub async fn run(job: &Job) -> Reply {
    let vm = &job.vm;
    let mut progress = Progress::default();
    let mut model = first_model(job);
    vm.record_first_attempt(&job.service, vm.now());
    loop {
        if poison::is_quarantined(job) {
            return hold_back(job, progress);
        }
        let now = vm.now();
        if job.left(now) < LEAST {
            return give_up(job, progress, AttemptOutcome::Late);
        }
        let wish = job.criteria(model.as_ref(), &progress.tried);
        let Some(place) = job.wait_for_server(&wish).await else {
            if fall_back(job, &mut progress, &mut model, vm.now()) {
                continue;
            }
            return give_up(job, progress, AttemptOutcome::NotSent);
        };
        if poison::is_quarantined(job) {
            return hold_back(job, progress);
        }
        let now = vm.now();
        let replica = &place.replica;
        vm.metrics.added_latency.observe(now.since(job.arrived).as_secs());
        let left = job.route.attempts.saturating_sub(sends(job, &progress));
        let until = job.attempt_deadline(left, place.until_prefilled, now);
        let outcome = try_at(job, &place, model.as_ref(), until).await;
        progress.tried.push(replica.clone());
        let ended = vm.now();
        if outcome.end == AttemptOutcome::Good
            && let Some(larger) = gives_way(job, &progress, model.as_ref(), &outcome, ended)
        {
            // Dropping the answer closes its connection, so the server stops. It did run.
            drop(outcome);
            progress.may_have_run = true;
            progress.tried.pop();
            progress.escalated = true;
            progress.smaller = model.replace(larger);
            progress.unsent_of_model = 0;
            continue;
        }
        match outcome::next(outcome.end, job.route.repeat) {
            Next::Deliver => return deliver(job, place.replica, model, outcome, progress),
            Next::Unknown if !goes_on(job, &outcome) => {
                progress.may_have_run = true;
                return give_up(job, progress, outcome.end);
            }
            Next::Unknown | Next::Retry => {}
        }
        let end = outcome.end;
        let unsent = u32::from(end.is_unsent());
        progress.unsent += unsent;
        progress.unsent_of_model += unsent;
        progress.may_have_run |=
            matches!(end, AttemptOutcome::Broken | AttemptOutcome::Failed | AttemptOutcome::Late);
        if let (AttemptOutcome::Failed, Some((head, _))) = (end, outcome.head) {
            progress.failure = Some((head, outcome.body));
        }
        let falls_back = !end.is_unsent() && progress.smaller.is_some();
        if !falls_back && may_try_again(job, &progress, end) {
            continue;
        }
        if !fall_back(job, &mut progress, &mut model, ended) {
            return give_up(job, progress, end);
        }
    }
}

/// Goes back to the smaller model whose answer was dropped, if there is one and it may run again.
fn fall_back(job: &Job, progress: &mut Progress, model: &mut Option<Model>, now: Moment) -> bool {
    let may = job.left(now) >= LEAST && progress.smaller.is_some();
    if !may || !spend_attempt(job, progress, now) {
        return false;
    }
    *model = progress.smaller.take();
    progress.tried.clear();
    progress.unsent_of_model = 0;
    true
}

/// One attempt, and what this VM learns from it.
async fn try_at(job: &Job, place: &Placement, model: Option<&Model>, until: Moment) -> Outcome {
    let replica = &place.replica;
    let vm = &job.vm;
    let begun = vm.now();
    let named = model.or(job.call.model.as_ref());
    let (sent, waiting) = job.begin_attempt(place, model);
    let mut trial = TrialAttempt::new(job, replica, begun, sent.expected_time);
    let attempt = attempt::run(job, replica, model, job.call.last_event_id, waiting, until);
    let outcome = trial.wait(attempt).await;
    trial.on_end(outcome.end);
    if outcome.end == AttemptOutcome::Good {
        let took = vm.now().since(begun);
        vm.record_prefill(named, sent.uncached_tokens, took);
        if sent.expected_time.is_some() {
            let waited = Span(took.0.saturating_sub(sent.prefill_time.0));
            vm.record_wait(&job.service, waited, job.route.goal);
        }
    }
    outcome
}

/// The model that begins, if the caller leaves the choice to the system: the smallest.
fn first_model(job: &Job) -> Option<Model> {
    if !job.call.any_model {
        return None;
    }
    job.route.cascade.first().cloned()
}

/// The model that takes over from one whose answer is in doubt: the largest, if it is not that
/// already and the request may run again. Models between cost several times more than the smallest
/// and answer few more.
fn larger_model(job: &Job, model: Option<&Model>) -> Option<Model> {
    if !job.call.any_model || job.route.repeat == Repeat::Never {
        return None;
    }
    let largest = job.route.cascade.last()?;
    (model != Some(largest)).then(|| largest.clone())
}

/// The larger model, if an answer that nobody has seen yet gives way to one of it. Only if the smaller
/// may run again should the larger fail, and if the budget of repeats leaves enough for failures.
fn gives_way(
    job: &Job,
    progress: &Progress,
    model: Option<&Model>,
    outcome: &Outcome,
    now: Moment,
) -> Option<Model> {
    // The larger's, and one more if the route allows so many at all.
    let needed = if job.route.attempts > 2 { 2 } else { 1 };
    let may_send = sends(job, progress) + needed <= job.route.attempts;
    if progress.escalated || !may_send || poison::is_quarantined(job) {
        return None;
    }
    let (_, answer) = outcome.head.as_ref()?;
    let confidence = answer.confidence? / 100.0;
    let larger = larger_model(job, model)?;
    let place = selection::select_server(&job.vm, &job.criteria(Some(&larger), &[]), now)?;
    let left = (job.arrived + job.route.goal).since(now);
    let pressure = job.vm.pressure(&job.service, now);
    let known = escalate::Inputs {
        confidence,
        keep_confidence: job.vm.settings.keep_confidence / 100.0,
        pressure,
        queue_wait: Span(place.until_prefilled.0 - place.prefill_time.0),
        prefill_time: place.prefill_time,
        time_left: left,
    };
    job.record.add_escalation_check(&known);
    let may = escalate::should_escalate(&known) && job.vm.spend_optional_retry(&job.service, now);
    may.then_some(larger)
}

/// Sends that count as an attempt.
fn sends(job: &Job, progress: &Progress) -> u32 {
    job.record.attempts().saturating_sub(progress.unsent)
}

/// Whether a request that may be repeated can still go elsewhere after its attempt's time was up.
fn goes_on(job: &Job, outcome: &Outcome) -> bool {
    let more = job.left(job.vm.now()) >= LEAST;
    outcome.end == AttemptOutcome::Late && job.route.repeat != Repeat::Never && more
}

fn may_try_again(job: &Job, progress: &Progress, end: AttemptOutcome) -> bool {
    let now = job.vm.now();
    if job.left(now) < LEAST || progress.unsent_of_model >= UNSENT {
        return false;
    }
    if end.is_unsent() {
        return true;
    }
    spend_attempt(job, progress, now)
}

/// Takes one more attempt, if the route's number and the budget of repeats leave one.
fn spend_attempt(job: &Job, progress: &Progress, now: Moment) -> bool {
    sends(job, progress) < job.route.attempts && job.vm.spend_retry(&job.service, now)
}

fn deliver(
    job: &Job,
    replica: Replica,
    model: Option<Model>,
    outcome: Outcome,
    progress: Progress,
) -> Reply {
    job.record.mark_response_started(job.vm.now());
    let Some((head, answer)) = outcome.head else {
        return unknown(job, "an answer without a head");
    };
    if let Some(stream) = outcome.stream {
        let tried = progress.tried;
        return Reply::Stream(Box::new(StartedStream { head, stream, replica, model, tried }));
    }
    if promises_not_run(&answer) {
        return unknown(job, "a failure that promises too much");
    }
    poison::on_success(&job.vm, job.content);
    job.record.set_outcome(head.status.as_str());
    Reply::Complete(Box::new((head, outcome.body)))
}

/// Whether callers would take an answer for the promise that the request did not run, which the
/// server did not give.
fn promises_not_run(answer: &Response) -> bool {
    matches!(answer.status.as_u16(), 408 | 421 | 429 | 503) && !answer.not_run
}

fn unknown(job: &Job, why: &str) -> Reply {
    refuse(job, Refusal::with_detail(Kind::Broken, why))
}

fn refuse(job: &Job, refusal: Refusal) -> Reply {
    job.record.set_outcome(refusal.kind.row().name);
    Reply::Refused(refusal)
}

/// The last word of a request whose content crashes servers.
fn hold_back(job: &Job, progress: Progress) -> Reply {
    if progress.may_have_run {
        return give_up(job, progress, AttemptOutcome::Broken);
    }
    refuse(job, Refusal::new(Kind::HeldBack))
}

/// The last word when nothing more may be tried.
fn give_up(job: &Job, progress: Progress, end: AttemptOutcome) -> Reply {
    let late = job.left(job.vm.now()) < LEAST;
    if let Some((head, body)) = progress.failure {
        let answer = crate::platform::header::answer(&head);
        if !promises_not_run(&answer) {
            job.record.set_outcome(head.status.as_str());
            return Reply::Complete(Box::new((head, body)));
        }
    }
    match outcome::final_response(end, progress.may_have_run) {
        FinalResponse::Refused if late => refuse(job, Refusal::new(Kind::Busy)),
        FinalResponse::Refused => {
            let delay = selection::retry_after(&job.vm, &job.criteria(None, &[]), job.vm.now());
            refuse(job, Refusal { delay, ..Refusal::new(Kind::NoServer) })
        }
        FinalResponse::Unknown | FinalResponse::Delivered if !progress.may_have_run => {
            refuse(job, Refusal::new(Kind::Busy))
        }
        FinalResponse::Unknown | FinalResponse::Delivered if late => {
            refuse(job, Refusal::new(Kind::TimedOut))
        }
        FinalResponse::Unknown | FinalResponse::Delivered => {
            unknown(job, "no server gave a whole answer")
        }
    }
}
