//! One request on its way through this VM, and the record that it leaves.

use std::cell::{Cell, RefCell};
use std::fmt::Write as _;
use std::rc::Rc;

use actix_http::RequestHead;
use bytes::Bytes;
use tokio::sync::Notify;

use super::call::Call;
use super::rate_limit::Permit;
use super::replica::Replica;
use super::selection::{self, Criteria, Estimate, Placement, Reason, Skipped, Wait};
use super::vm::Vm;
use crate::config::{Holder, Repeat, Route};
use crate::decide::outcome::AttemptOutcome;
use crate::decide::{escalate, priority};
use crate::unit::{Digest, Model, Moment, Service, Span, Version, hash};

/// A request that may be repeated is tried elsewhere after this many times the route's goal without
/// an answer, if there is time for it.
const SILENCE: u64 = 3;

/// A stream is begun or goes on elsewhere if its first event does not come within this many times the time that was
/// expected, nor within its goal: its server hangs or cannot be reached, or is overloaded beyond use.
const OVERDUE: f64 = 30.0;

/// A request that was admitted.
pub struct Job {
    /// The VM.
    pub vm: Rc<Vm>,
    /// The head as the caller sent it.
    pub head: RequestHead,
    /// What the head says.
    pub call: Call,
    /// The whole body.
    pub body: Bytes,
    /// Its route.
    pub route: Rc<Route>,
    /// The service that answers.
    pub service: Service,
    /// Who holds its key.
    pub holder: Option<Rc<Holder>>,
    /// What it asks, whoever brings it.
    pub content: Digest,
    /// When its head arrived.
    pub arrived: Moment,
    /// When the caller, or the route's timeout, has it given up.
    pub deadline: Moment,
    /// What is told when it ends.
    pub record: Record,
}

impl Job {
    /// Time left.
    pub fn left(&self, now: Moment) -> Span {
        self.deadline.since(now)
    }

    /// Until when an attempt at a server may bring nothing, with so many attempts left, it among them: what may run elsewhere does not spend all
    /// its time on a server that says nothing. Its prompt is expected to be read within `until_read`.
    pub fn attempt_deadline(&self, attempts_left: u32, until_read: Span, now: Moment) -> Moment {
        if attempts_left <= 1 {
            return self.deadline;
        }
        let goal = self.route.goal;
        let until = match self.route.repeat {
            Repeat::Never => self.deadline,
            Repeat::Safe => {
                let half = now + Span(self.left(now).0 / 2);
                half.min(now + Span(goal.0 * SILENCE))
            }
            Repeat::Resume => now + Span((until_read.0 as f64 * OVERDUE) as u64).max(goal),
        };
        until.min(self.deadline)
    }

    /// What it wants of its server; `model` is the one that the system chose, if it did.
    pub fn criteria<'a>(&'a self, model: Option<&'a Model>, tried: &'a [Replica]) -> Criteria<'a> {
        let model = model.or(self.call.model.as_ref());
        let of_workspace = self.holder.as_ref().map(|holder| &holder.regions);
        let regions = [Some(&self.route.regions), of_workspace];
        let (service, call) = (&self.service, &self.call);
        Criteria { service, call, body_bytes: self.body.len(), regions, model, tried }
    }

    /// The server for it, after a wait for a turn at one that bears only so much or the end of a rest if no other takes it: a wait is worth while as
    /// long as the answer can come within its goal, or if that has passed, within its time. None if nothing takes it by then.
    pub async fn wait_for_server(&self, wish: &Criteria<'_>) -> Option<Placement> {
        let vm = &self.vm;
        let goal = self.arrived + self.route.goal;
        let until = if vm.now() < goal { goal.min(self.deadline) } else { self.deadline };
        loop {
            let now = vm.now();
            if let Some(place) = selection::select_server(vm, wish, now) {
                return Some(place);
            }
            let wait = selection::next_wait(vm, wish, until, now)?;
            self.record.add_wait(&wait, now);
            tokio::time::sleep(wait.until.since(now).duration()).await;
            if let Some(place) = selection::select_after_wait(vm, wish, wait, vm.now()) {
                return Some(place);
            }
        }
    }

    /// Notes that it is about to be sent to a server, and what is expected of that. Its prompt
    /// counts as unread there until the second part is dropped.
    pub fn begin_attempt(
        &self,
        place: &Placement,
        model: Option<&Model>,
    ) -> (Estimate, PendingPrompt) {
        let now = self.vm.now();
        let named = model.or(self.call.model.as_ref());
        let sent = selection::record_send(&self.vm, place, &self.call, named, now);
        let turn = place.turn.clone().unwrap_or_else(|| {
            let mut fleet = self.vm.fleet.borrow_mut();
            Rc::new(Permit::reserve(&self.vm, &mut fleet, &place.replica, now))
        });
        self.record.add_attempt(place, named, &sent, now);
        (sent, PendingPrompt::new(&self.vm, &place.replica, sent.prefill_time, turn))
    }

    /// Rank at a server, 0 to 9: the workspace's comes before that of the reading.
    pub fn priority(&self, reads: Span, now: Moment) -> u32 {
        let workspace = self.holder.as_ref().map_or(0, |holder| holder.priority);
        let goal = self.arrived + self.route.goal;
        priority::prompt_priority(workspace, reads, goal.since(now))
    }
}

/// What is told of a request when it ends, however it ends.
pub struct Record {
    vm: Rc<Vm>,
    id: String,
    session: Option<String>,
    content: Option<Digest>,
    /// The version that it was sent to last.
    version: RefCell<Option<Version>>,
    route: String,
    arrived: Moment,
    revision: u64,
    proof_age: Option<Span>,
    outcome: RefCell<String>,
    attempts: Cell<u32>,
    trail: RefCell<String>,
    first: Cell<Option<Span>>,
}

impl Record {
    /// The record of a request that arrived just now.
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
            attempts: Cell::new(0),
            trail: RefCell::default(),
            first: Cell::new(None),
            vm,
        }
    }

    /// The route was found.
    pub fn set_route(&mut self, route: &str) {
        route.clone_into(&mut self.route);
    }

    /// The body was read, and who asks is known.
    pub fn set_content(&mut self, content: Digest) {
        self.content = Some(content);
    }

    /// Sends to a server so far.
    pub fn attempts(&self) -> u32 {
        self.attempts.get()
    }

    /// A send to a server is about to begin, and what is expected of it.
    pub fn add_attempt(
        &self,
        place: &Placement,
        model: Option<&Model>,
        sent: &Estimate,
        now: Moment,
    ) {
        self.attempts.set(self.attempts.get() + 1);
        *self.version.borrow_mut() = Some(place.replica.version.clone());
        self.note_session(now);
        let mut trail = self.trail.borrow_mut();
        if !trail.is_empty() {
            trail.push_str("; ");
        }
        let after = now.since(self.arrived).0 / 1000;
        // Writing to a string cannot fail.
        let _ = write!(trail, "{after}ms {}", place.replica.id);
        if place.reason != Reason::Settled {
            let _ = write!(trail, " {} ({})", place.replica.version, place.reason);
        }
        if place.skipped != Skipped::default() {
            let _ = write!(trail, " {}", place.skipped);
        }
        if let Some(model) = model {
            let _ = write!(trail, " {model}");
        }
        if let Some(expected) = sent.expected_time {
            let _ = write!(trail, " unread {} of {}", sent.uncached_tokens, sent.prompt_tokens);
            let _ = write!(trail, " waits {} reads {}", sent.queue_time, sent.prefill_time);
            let _ = write!(trail, " within {expected}");
        }
        let _ = write!(trail, " load {:.0}", sent.load);
        if let Some(bar) = sent.bar {
            let _ = write!(trail, " though {bar}");
        }
        if let Some((rate, age)) = sent.limit {
            let _ = write!(trail, " limit {rate} named {age} ago");
        }
    }

    /// Its session, if it belongs to one, is on the version that it was sent to.
    fn note_session(&self, now: Moment) {
        let version = self.version.borrow();
        if let (Some(session), Some(version)) = (&self.session, version.as_ref()) {
            let gap = self.vm.settings.bounds.session_gap;
            self.vm.sessions.borrow_mut().record(session, version, gap, now);
        }
    }

    /// Nothing takes it now, and it waits.
    pub fn add_wait(&self, wait: &Wait, now: Moment) {
        let what = match wait.turn {
            Some(_) => "turn at a bounded server",
            None => "end of a rest",
        };
        // Writing to a string cannot fail.
        let _ = write!(self.trail.borrow_mut(), "{what} in {}", wait.until.since(now));
    }

    /// It was weighed whether a small model's answer gives way.
    pub fn add_escalation_check(&self, known: &escalate::Inputs) {
        let mut trail = self.trail.borrow_mut();
        let _ = write!(trail, " confidence {:.2}", known.confidence);
        let _ = write!(trail, " pressure {:.2}", known.pressure);
        let _ = write!(
            trail,
            " larger waits {} reads {} of {}",
            known.queue_wait, known.prefill_time, known.time_left
        );
    }

    /// An attempt ended.
    pub fn add_attempt_end(&self, end: AttemptOutcome, why: &str, now: Moment) {
        let after = now.since(self.arrived).0 / 1000;
        let mut trail = self.trail.borrow_mut();
        let _ = write!(trail, " -> {after}ms {end:?}");
        if !why.is_empty() {
            let _ = write!(trail, " ({why})");
        }
    }

    /// The answer, or its first event, is on its way to the caller.
    pub fn mark_response_started(&self, now: Moment) {
        self.first.set(Some(now.since(self.arrived)));
    }

    /// How the request ended.
    pub fn set_outcome(&self, outcome: impl Into<String>) {
        *self.outcome.borrow_mut() = outcome.into();
    }
}

impl Drop for Record {
    fn drop(&mut self) {
        let vm = &self.vm;
        vm.running.set(vm.running.get().saturating_sub(1));
        vm.metrics.running.set(vm.running.get() as i64);
        let outcome = self.outcome.borrow();
        vm.metrics.requests.with_label_values(&[self.route.as_str(), outcome.as_str()]).inc();
        if let Some(first) = self.first.get() {
            let histogram = vm.metrics.response_time.with_label_values(&[self.route.as_str()]);
            histogram.observe(first.as_secs());
        }
        // The session lives on from the end of the answer.
        self.note_session(vm.now());
        let took = vm.now().since(self.arrived);
        // A hash tells sessions apart and names nobody.
        let session = self.session.as_deref().map(hash::short).unwrap_or_default();
        let content = self.content.map(|content| content.to_string()).unwrap_or_default();
        vm.log(
            "request",
            &[
                ("id", self.id.as_str().into()),
                ("session", session.as_str().into()),
                ("content", content.as_str().into()),
                ("route", self.route.as_str().into()),
                ("outcome", outcome.as_str().into()),
                ("attempts", self.attempts.get().into()),
                ("trail", self.trail.borrow().as_str().into()),
                ("revision", self.revision.into()),
                ("proof_age_ms", self.proof_age.map_or(-1.0, Span::as_millis).into()),
                ("first_ms", self.first.get().map_or(-1.0, Span::as_millis).into()),
                ("took_ms", took.as_millis().into()),
            ],
        );
    }
}

/// A prompt of which no event has come yet; it counts as unread at that life of its server while this is held.
pub struct PendingPrompt {
    vm: Rc<Vm>,
    replica: Replica,
    /// Time that the server needs to read it.
    pub prefill_time: Span,
    /// Its turn, if the server bears only so much.
    pub turn: Rc<Permit>,
}

impl PendingPrompt {
    fn new(vm: &Rc<Vm>, replica: &Replica, reads: Span, turn: Rc<Permit>) -> PendingPrompt {
        if let Some(server) = vm.fleet.borrow_mut().incarnation_mut(replica) {
            server.backlog.add_own(reads);
        }
        PendingPrompt { vm: vm.clone(), replica: replica.clone(), prefill_time: reads, turn }
    }
}

impl Drop for PendingPrompt {
    fn drop(&mut self) {
        if let Some(server) = self.vm.fleet.borrow_mut().incarnation_mut(&self.replica) {
            server.backlog.remove_own(self.prefill_time);
        }
    }
}

/// A request that is open at a server; it is counted at that life of it while this is held.
pub struct OpenRequest {
    vm: Rc<Vm>,
    replica: Replica,
    over: Rc<Notify>,
}

impl OpenRequest {
    /// Counts a request at a server.
    pub fn new(vm: &Rc<Vm>, replica: &Replica) -> OpenRequest {
        let mut fleet = vm.fleet.borrow_mut();
        let server = fleet.incarnation_mut(replica);
        let over = server.map(|server| {
            server.load.on_open();
            server.superseded.clone()
        });
        OpenRequest { vm: vm.clone(), replica: replica.clone(), over: over.unwrap_or_default() }
    }

    /// Wakes when a later life of the server begins, so that this request is lost there.
    pub fn server_restarted(&self) -> Rc<Notify> {
        self.over.clone()
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        if let Some(server) = self.vm.fleet.borrow_mut().incarnation_mut(&self.replica) {
            server.load.on_close();
        }
    }
}
