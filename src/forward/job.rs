//! An admitted request ([`Job`]), its log record, and the guards that count the request towards a
//! server's backlog and load while it is there.

use std::cell::{Cell, RefCell};
use std::fmt::Write as _;
use std::rc::Rc;
use std::sync::Arc;

use actix_http::RequestHead;
use bytes::Bytes;
use tokio::sync::Notify;

use super::call::Call;
use super::lending;
use super::places::{Event, Waiting};
use super::rate_limit::Permit;
use super::replica::Replica;
use super::selection::{self, Criteria, Estimate, Placement, Reason, Skipped, Wait};
use super::vm::Vm;
use crate::client::Account;
use crate::config::{KeyHolder, RetryPolicy, Route};
use crate::decide::outcome::AttemptOutcome;
use crate::decide::poison::Fingerprint;
use crate::decide::{escalate, priority};
use crate::unit::{Digest, Model, Moment, Service, Span, Version, Vm as Name, hash};

/// An attempt of an idempotent request times out after this many times the route's latency goal;
/// the request is then retried at another server if time is left.
const ATTEMPT_TIMEOUT_GOALS: u64 = 3;

/// A resumable stream moves to another server if its first event arrives neither within this many
/// times the expected time nor within the route's latency goal: the server hangs, is unreachable or
/// is overloaded beyond use.
const FIRST_EVENT_TIMEOUT_FACTOR: f64 = 30.0;

/// An admitted request with everything that its attempts need.
pub struct Job {
    /// The VM that forwards the request.
    pub vm: Rc<Vm>,
    /// The request head as the caller sent it.
    pub head: RequestHead,
    /// The request head, parsed.
    pub call: Call,
    /// The complete request body.
    pub body: Bytes,
    /// Route that matches the request's host and path.
    pub route: Rc<Route>,
    /// Service of the route that the request was assigned to, by weight.
    pub service: Service,
    /// Holder of the request's API key; `None` on a public route, or if the configuration has no
    /// keys.
    pub holder: Option<Rc<KeyHolder>>,
    /// What identifies the request if it crashes servers; see [`super::content`].
    pub fingerprint: Fingerprint,
    /// When the request head arrived.
    pub arrived: Moment,
    /// When the shorter of the caller's and the route's timeout expires.
    pub deadline: Moment,
    /// The caller's connection, to which the memory for the response is charged.
    pub client: Option<Arc<Account>>,
    /// Log record, written when the request ends.
    pub record: Record,
}

impl Job {
    /// Returns the time left until the deadline.
    pub fn left(&self, now: Moment) -> Span {
        self.deadline.since(now)
    }

    /// Returns the moment until which an attempt may go without a response. A request that may run
    /// elsewhere does not spend all its time on a server that does not respond.
    ///
    /// `attempts_left` includes this attempt; the server is expected to have prefilled the prompt
    /// within `until_prefilled`.
    pub fn attempt_deadline(
        &self,
        attempts_left: u32,
        until_prefilled: Span,
        now: Moment,
    ) -> Moment {
        // The next attempt of a VM that stops would end later than this one.
        if attempts_left <= 1 || self.vm.is_stopping() {
            return self.deadline;
        }
        let goal = self.route.latency_goal;
        let until = match self.route.retry {
            RetryPolicy::Never => self.deadline,
            RetryPolicy::Safe => {
                let half = now + Span(self.left(now).0 / 2);
                half.min(now + Span(goal.0 * ATTEMPT_TIMEOUT_GOALS))
            }
            RetryPolicy::Resume => {
                now + Span((until_prefilled.0 as f64 * FIRST_EVENT_TIMEOUT_FACTOR) as u64).max(goal)
            }
        };
        until.min(self.deadline)
    }

    /// Returns the criteria for selecting a server. `model` is the model that the system chose, if
    /// it did; `tried` are the servers to avoid.
    pub fn criteria<'a>(&'a self, model: Option<&'a Model>, tried: &'a [Replica]) -> Criteria<'a> {
        let model = model.or(self.call.model.as_ref());
        let of_workspace = self.holder.as_ref().map(|holder| &holder.regions);
        let regions = [Some(&self.route.regions), of_workspace];
        let (service, call) = (&self.service, &self.call);
        Criteria { service, call, body_bytes: self.body.len(), regions, model, tried }
    }

    /// Returns the server for this request, waiting for a permit at a rate-limited server, the end of
    /// a backoff or a place at a brittle server if no other server may receive it.
    ///
    /// Waits while the response can still come within the route's latency goal, or within the
    /// deadline once the goal has passed. Returns `None` if no server may receive the request by
    /// then.
    pub async fn wait_for_server(&self, criteria: &Criteria<'_>) -> Option<Placement> {
        let vm = &self.vm;
        let goal = self.arrived + self.route.latency_goal;
        let until = if vm.now() < goal { goal.min(self.deadline) } else { self.deadline };
        let mut waiting = None;
        loop {
            let now = vm.now();
            if let Some(placement) = selection::select_server(vm, criteria, now) {
                return Some(placement);
            }
            if selection::is_throttled(vm, criteria, now) {
                lending::on_throttled(vm, criteria.service);
            }
            if let Some(wait) = selection::next_wait(vm, criteria, until, now) {
                self.record.add_wait(&wait, now);
                tokio::time::sleep(wait.until.since(now).duration()).await;
                let placement = selection::select_after_wait(vm, criteria, wait, vm.now());
                if placement.is_some() {
                    return placement;
                }
                continue;
            }
            self.request_place(criteria, now);
            let expected_wait = selection::place_wait(vm, criteria, now)?;
            // A request that has begun to wait keeps its turn until its time is up.
            let is_too_long = waiting.is_none() && now + expected_wait > until;
            if is_too_long || now >= until {
                return None;
            }
            let waiting = waiting.get_or_insert_with(|| {
                self.record.add_place_wait(now);
                Waiting::new(vm.place_queue(criteria.service))
            });
            waiting.wait(until.since(now)).await;
        }
    }

    /// Has other VMs asked for a place at a brittle server, unless they were asked just now.
    fn request_place(&self, criteria: &Criteria<'_>, now: Moment) {
        let queue = self.vm.place_queue(criteria.service);
        if queue.lenders.borrow_mut().is_request_due(now) {
            self.vm.place_events.send(Event::Needed(criteria.service.clone()));
        }
    }

    /// Records that the request is about to be sent to a server. Returns the estimate for the
    /// attempt, and a guard that keeps the prompt in the server's backlog until it is dropped.
    pub fn begin_attempt(
        &self,
        placement: &Placement,
        model: Option<&Model>,
    ) -> (Estimate, PendingPrompt) {
        let now = self.vm.now();
        let named = model.or(self.call.model.as_ref());
        let estimate = selection::record_send(&self.vm, placement, &self.call, named, now);
        let permit = placement.permit.clone().unwrap_or_else(|| {
            let mut fleet = self.vm.fleet.borrow_mut();
            Rc::new(Permit::reserve(&self.vm, &mut fleet, &placement.replica, now))
        });
        self.record.add_attempt(placement, named, &estimate, now);
        (estimate, PendingPrompt::new(&self.vm, &placement.replica, estimate.prefill_time, permit))
    }

    /// Returns the priority of the request at a server, 0 (first) to 9. The workspace's priority
    /// takes precedence over the prefill time.
    pub fn priority(&self, prefill_time: Span, now: Moment) -> u32 {
        let workspace = self.holder.as_ref().map_or(0, |holder| holder.priority);
        let goal = self.arrived + self.route.latency_goal;
        priority::prompt_priority(workspace, prefill_time, goal.since(now))
    }
}

/// Log record of a request, written when it is dropped, however the request ends.
pub struct Record {
    vm: Rc<Vm>,
    id: String,
    session: Option<String>,
    content: Option<Digest>,
    /// The version that the request was last sent to.
    version: RefCell<Option<Version>>,
    route: String,
    arrived: Moment,
    /// Revision of the configuration in force when the request arrived.
    revision: u64,
    /// Age of the proof that the configuration is the newest, when the request arrived.
    proof_age: Option<Span>,
    outcome: RefCell<String>,
    /// Why the request ended like that, for the log; may be empty.
    outcome_reason: RefCell<String>,
    attempts: Cell<u32>,
    /// True once a server has started to run the request.
    has_run: Cell<bool>,
    /// Readable list of the attempts, waits and escalation checks, with their times and ends.
    trail: RefCell<String>,
    /// Time from the request's arrival to the start of the response to the caller.
    response_time: Cell<Option<Span>>,
}

impl Record {
    /// Starts the record of a request that has just arrived and counts it as running.
    pub fn new(vm: Rc<Vm>, call: &Call, arrived: Moment) -> Record {
        vm.running.set(vm.running.get() + 1);
        vm.metrics.running.set(vm.running.get() as i64);
        Record {
            id: call.id.clone(),
            session: call.session.clone(),
            content: None,
            version: RefCell::default(),
            route: String::new(),
            arrived,
            revision: vm.routes().map_or(0, |table| table.revision.0),
            proof_age: vm.proof_age(arrived),
            outcome: RefCell::new("caller left".to_owned()),
            outcome_reason: RefCell::default(),
            attempts: Cell::new(0),
            has_run: Cell::new(false),
            trail: RefCell::default(),
            response_time: Cell::new(None),
            vm,
        }
    }

    /// Sets the name of the matched route.
    pub fn set_route(&mut self, route: &str) {
        route.clone_into(&mut self.route);
    }

    /// Sets the digest of the content, once the body and the workspace are known.
    pub fn set_content(&mut self, content: Digest) {
        self.content = Some(content);
    }

    /// Marks that a server has started to run the request. Returns true the first time.
    pub fn mark_ran(&self) -> bool {
        !self.has_run.replace(true)
    }

    /// Returns the number of attempts so far.
    pub fn attempts(&self) -> u32 {
        self.attempts.get()
    }

    /// Adds an attempt that is about to start, with its estimate.
    pub fn add_attempt(
        &self,
        placement: &Placement,
        model: Option<&Model>,
        estimate: &Estimate,
        now: Moment,
    ) {
        self.attempts.set(self.attempts.get() + 1);
        *self.version.borrow_mut() = Some(placement.replica.version.clone());
        self.record_session(now);
        let mut trail = self.trail.borrow_mut();
        start_step(&mut trail);
        let after = now.since(self.arrived).0 / 1000;
        // Writing to a string cannot fail.
        let _ = write!(trail, "{after}ms {}", placement.replica.id);
        if placement.reason != Reason::Settled {
            let _ = write!(trail, " {} ({})", placement.replica.version, placement.reason);
        }
        if placement.skipped != Skipped::default() {
            let _ = write!(trail, " {}", placement.skipped);
        }
        if let Some(model) = model {
            let _ = write!(trail, " {model}");
        }
        if let Some(expected) = estimate.expected_time {
            let _ = write!(
                trail,
                " uncached {} of {} tokens",
                estimate.uncached_tokens, estimate.prompt_tokens
            );
            let _ =
                write!(trail, " queue {} prefill {}", estimate.queue_time, estimate.prefill_time);
            let _ = write!(trail, " expected {expected}");
        }
        let _ = write!(trail, " load {:.0}", estimate.load);
        if let Some(unavailable) = estimate.unavailable {
            let _ = write!(trail, " despite {unavailable}");
        }
        if let Some((rate, age)) = estimate.reported_limit {
            let _ = write!(trail, " limit {rate} first reported {age} ago");
        }
    }

    /// Adds the VM that relays the connection of the present attempt.
    pub fn add_helper(&self, helper: &Name) {
        // Writing to a string cannot fail.
        let _ = write!(self.trail.borrow_mut(), " via {helper}");
    }

    /// Records the version that the request's session, if it has one, was last sent to.
    fn record_session(&self, now: Moment) {
        let version = self.version.borrow();
        if let (Some(session), Some(version)) = (&self.session, version.as_ref()) {
            let gap = self.vm.settings.bounds.session_gap;
            self.vm.sessions.borrow_mut().record(session, version, gap, now);
        }
    }

    /// Adds a wait for a server, as no server may receive the request now.
    pub fn add_wait(&self, wait: &Wait, now: Moment) {
        let what = match wait.permit {
            Some(_) => "permit of a rate-limited server",
            None => "end of a backoff",
        };
        let mut trail = self.trail.borrow_mut();
        start_step(&mut trail);
        // Writing to a string cannot fail.
        let _ = write!(trail, "{what} in {}", wait.until.since(now));
    }

    /// Adds a wait for a place at a brittle server.
    fn add_place_wait(&self, now: Moment) {
        let mut trail = self.trail.borrow_mut();
        start_step(&mut trail);
        let after = now.since(self.arrived).0 / 1000;
        // Writing to a string cannot fail.
        let _ = write!(trail, "{after}ms waits for a place at a brittle server");
    }

    /// Adds the inputs of the decision on an escalation to a larger model.
    pub fn add_escalation_check(&self, known: &escalate::Inputs) {
        let mut trail = self.trail.borrow_mut();
        let _ = write!(trail, " confidence {:.2}", known.confidence);
        let _ = write!(trail, " pressure {:.2}", known.pressure);
        let _ = write!(
            trail,
            " larger queue {} prefill {} of {}",
            known.queue_wait, known.prefill_time, known.time_left
        );
    }

    /// Adds the end of an attempt.
    pub fn add_attempt_end(&self, end: AttemptOutcome, reason: &str, now: Moment) {
        let after = now.since(self.arrived).0 / 1000;
        let mut trail = self.trail.borrow_mut();
        let _ = write!(trail, " -> {after}ms {end:?}");
        if !reason.is_empty() {
            let _ = write!(trail, " ({reason})");
        }
    }

    /// Marks the moment at which the response, or its first event, goes to the caller.
    pub fn mark_response_started(&self, now: Moment) {
        self.response_time.set(Some(now.since(self.arrived)));
    }

    /// Returns the attempts, waits and escalation checks so far, as text for the log.
    pub fn trail(&self) -> String {
        self.trail.borrow().clone()
    }

    /// Sets that the request was refused because a digest of it is quarantined.
    pub fn set_held_back(&self, outcome: &str, quarantined: Digest) {
        self.set_outcome(outcome);
        *self.outcome_reason.borrow_mut() = format!("digest {quarantined} is quarantined");
    }

    /// Sets that the stream to the caller broke off. The reason, which may hold any text of an
    /// error, is logged and is not part of the metric's label.
    pub fn set_broken_off(&self, reason: &str) {
        self.set_outcome("broken off");
        *self.outcome_reason.borrow_mut() = reason.to_owned();
    }

    /// Sets how the request ended. The text is also the `outcome` label of a metric.
    pub fn set_outcome(&self, outcome: impl Into<String>) {
        *self.outcome.borrow_mut() = outcome.into();
        self.outcome_reason.borrow_mut().clear();
    }
}

/// Separates the next step of a trail from the one before, if there is one.
fn start_step(trail: &mut String) {
    if !trail.is_empty() {
        trail.push_str("; ");
    }
}

impl Drop for Record {
    fn drop(&mut self) {
        let vm = &self.vm;
        vm.running.set(vm.running.get().saturating_sub(1));
        vm.metrics.running.set(vm.running.get() as i64);
        let outcome = self.outcome.borrow();
        vm.metrics.requests.with_label_values(&[self.route.as_str(), outcome.as_str()]).inc();
        if let Some(first) = self.response_time.get() {
            let histogram = vm.metrics.response_time.with_label_values(&[self.route.as_str()]);
            histogram.observe(first.as_secs());
        }
        // The gap after which a session expires starts at the end of the response.
        self.record_session(vm.now());
        let took = vm.now().since(self.arrived);
        // A hash tells sessions apart without disclosing their names.
        let session = self.session.as_deref().map(hash::fingerprint).unwrap_or_default();
        let content = self.content.map(|content| content.to_string()).unwrap_or_default();
        let logged_outcome = match self.outcome_reason.borrow().as_str() {
            "" => outcome.clone(),
            reason => format!("{outcome}: {reason}"),
        };
        vm.log(
            "request",
            &[
                ("id", self.id.as_str().into()),
                ("session", session.as_str().into()),
                ("content", content.as_str().into()),
                ("route", self.route.as_str().into()),
                ("outcome", logged_outcome.as_str().into()),
                ("attempts", self.attempts.get().into()),
                ("trail", self.trail.borrow().as_str().into()),
                ("revision", self.revision.into()),
                ("proof_age_ms", self.proof_age.map_or(-1.0, Span::as_millis).into()),
                ("first_ms", self.response_time.get().map_or(-1.0, Span::as_millis).into()),
                ("took_ms", took.as_millis().into()),
            ],
        );
    }
}

/// Guard of a prompt that was sent and has had no response yet. The prompt is part of the backlog
/// of that incarnation of the server until the guard is dropped.
pub struct PendingPrompt {
    vm: Rc<Vm>,
    replica: Replica,
    /// Time that the server is expected to need to prefill the prompt.
    pub prefill_time: Span,
    /// Permit to send; it holds no reservation if the server has no rate limit.
    pub permit: Rc<Permit>,
}

impl PendingPrompt {
    fn new(
        vm: &Rc<Vm>,
        replica: &Replica,
        prefill_time: Span,
        permit: Rc<Permit>,
    ) -> PendingPrompt {
        if let Some(server) = vm.fleet.borrow_mut().incarnation_mut(replica) {
            server.backlog.add_own(prefill_time);
        }
        PendingPrompt { vm: vm.clone(), replica: replica.clone(), prefill_time, permit }
    }
}

impl Drop for PendingPrompt {
    fn drop(&mut self) {
        if let Some(server) = self.vm.fleet.borrow_mut().incarnation_mut(&self.replica) {
            server.backlog.remove_own(self.prefill_time);
        }
    }
}

/// Guard of a request that is open at a server. The request counts towards the load of that
/// incarnation of the server until the guard is dropped.
pub struct OpenRequestGuard {
    vm: Rc<Vm>,
    replica: Replica,
    restarted: Rc<Notify>,
    opened_at: Moment,
    /// True from when the request is sent until its response is complete.
    may_run: Cell<bool>,
}

impl OpenRequestGuard {
    /// Counts a request as open at a server.
    pub fn new(vm: &Rc<Vm>, replica: &Replica) -> OpenRequestGuard {
        let mut fleet = vm.fleet.borrow_mut();
        let server = fleet.incarnation_mut(replica);
        let restarted = server.map(|server| {
            server.load.on_open();
            server.superseded.clone()
        });
        OpenRequestGuard {
            vm: vm.clone(),
            replica: replica.clone(),
            restarted: restarted.unwrap_or_default(),
            opened_at: vm.now(),
            may_run: Cell::new(false),
        }
    }

    /// Returns a notification that fires when a later incarnation of the server starts, so that the
    /// request is lost.
    pub fn server_restarted(&self) -> Rc<Notify> {
        self.restarted.clone()
    }

    /// Marks that the request is sent: the server may run it although it is given up.
    pub fn mark_sent(&self) {
        self.may_run.set(true);
    }

    /// Marks that the response is complete.
    pub fn mark_complete(&self) {
        self.may_run.set(false);
    }
}

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        let now = self.vm.now();
        if let Some(server) = self.vm.fleet.borrow_mut().incarnation_mut(&self.replica) {
            server.load.on_close();
            if self.may_run.get() {
                server.lingering.on_given_up(now);
            }
        }
        if let Some(queue) = self.vm.place_queues.borrow().get(&self.replica.service) {
            queue.on_freed(now.since(self.opened_at));
            if queue.has_loans() {
                self.vm.place_events.send(Event::Freed(self.replica.clone()));
            }
        }
    }
}
