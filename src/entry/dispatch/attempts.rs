//! Attempts of a request with one version. After a failure, another server continues the answer at
//! the token where the failed server stopped, so the client receives each token once.

use std::net::SocketAddr;
use std::sync::Arc;

use super::{Abort, Dispatcher, Job};
use crate::config::{Allowed, Snapshot};
use crate::decide::admission::Outcome;
use crate::decide::poison::{BrokenRequest, STABLE_AFTER};
use crate::decide::retry::{self, Failure};
use crate::engine::wire::{End, Generate};
use crate::entry::attempt::{self, Attempt, Chunk};
use crate::entry::refusal::{Kind as Refused, Refusal};
use crate::evidence::Counts;
use crate::unit::{Moment, Server, Span, Target};
use crate::vm::{poison, stall};

/// Minimum time until the deadline at which a retry is still made.
const MIN_RETRY_TIME: Span = Span::millis(20);

/// Number of refusals by full engines after which the request asks the next engine to queue it.
const MAX_FULL_REFUSALS: u32 = 3;

/// Reason why the stream of an attempt ended early.
enum StreamError {
    ClientGone,
    Broken(String),
}

impl Dispatcher {
    /// Generates an answer with the version `target` of a model and records the outcome for
    /// admission, roll-out evidence, error budget and bill. Tokens are collected in `received` and,
    /// with `to_client`, also sent.
    pub(super) async fn generate(
        &mut self,
        target: &Target,
        received: &mut Vec<String>,
        to_client: bool,
    ) -> Result<End, Abort> {
        let started_at = self.vm.clock.now();
        let mut first_token = None;
        self.admit(target, started_at)?;
        let outcome = self.try_servers(target, received, to_client, &mut first_token).await;
        let late = self.is_late(started_at, first_token);
        self.record_admission_end(target, &outcome, late);
        let failed = matches!(&outcome, Err(Abort::Refused(_)));
        let counts = Counts {
            ended: 1,
            failed: u64::from(failed),
            slow: u64::from(late),
            ..Counts::default()
        };
        self.vm.record_evidence(self.evidence_key(target), counts);
        self.record_burn(target, failed || late);
        if !received.is_empty() || outcome.is_ok() {
            self.add_bill_part(target, received.len() as u32, outcome.is_ok());
        }
        outcome
    }

    /// Asks the admission controller of the model's pool for admission, so that a request that
    /// could not be served in time is refused before it runs.
    fn admit(&mut self, target: &Target, now: Moment) -> Result<(), Abort> {
        let workspace = &self.job.workspace;
        let deadline = self.job.deadline;
        let (in_time, is_admitted) = self.vm.with_admission(&target.model, |controller| {
            let in_time = controller.can_meet_deadline(now, deadline);
            (in_time, in_time && controller.try_admit(&workspace.name, workspace.limit.0, now))
        });
        let refuse = |kind, reason| Err(Abort::Refused(Refusal::with_detail(kind, reason)));
        match (in_time, is_admitted) {
            (_, true) => Ok(()),
            (false, _) => refuse(Refused::Late, "it could not be expected to end in time"),
            (true, false) => refuse(Refused::NoServer, "the pool of the model is full"),
        }
    }

    /// Reports the end of an admitted request to the admission controller, which adapts its limit.
    fn record_admission_end(&self, target: &Target, outcome: &Result<End, Abort>, late: bool) {
        let admission_outcome = match outcome {
            Ok(_) if late => Outcome::Bad,
            Ok(_) => Outcome::Good,
            Err(Abort::ClientGone) => Outcome::Unrelated,
            Err(Abort::Refused(refusal)) => match refusal.kind {
                Refused::NoServer => Outcome::Full,
                Refused::Broken | Refused::Late => Outcome::Bad,
                _ => Outcome::Unrelated,
            },
        };
        let now = self.vm.clock.now();
        let workspace = &self.job.workspace.name;
        self.vm.with_admission(&target.model, |controller| {
            controller.on_end(workspace, admission_outcome, now)
        });
    }

    /// Attempts the generation at one server after another until one completes the answer or no
    /// retry is allowed.
    async fn try_servers(
        &mut self,
        target: &Target,
        received: &mut Vec<String>,
        to_client: bool,
        first_token: &mut Option<Moment>,
    ) -> Result<End, Abort> {
        let mut attempts = 0;
        let mut full_refusals = 0;
        loop {
            let vm = self.vm.clone();
            let Job { fingerprint, deadline, .. } = &self.job;
            poison::await_decisive_checks(&vm, fingerprint, *deadline, &self.crash_checks).await;
            stall::catch_up(&vm, *deadline).await;
            // The guard is held until the engine accepted or certainly refused the work: until
            // then, this VM does not report a later revision as in force.
            let (snapshot, dispatch_guard) = vm.begin_dispatch();
            self.check_still_allowed(target, snapshot)?;
            self.record_event("choose");
            let work = self.generate_request(
                target,
                received.len() as u32,
                full_refusals >= MAX_FULL_REFUSALS,
            );
            self.attempts += 1;
            attempts += 1;
            let mut steps = Vec::new();
            let revision = self.job.snapshot.revision();
            let started = attempt::start(
                &vm,
                &self.engines,
                work,
                self.job.prefix_hash,
                revision,
                &mut steps,
            )
            .await;
            drop(dispatch_guard);
            self.trace_steps.append(&mut steps);
            let (failure, reason) = match started {
                Ok(mut attempt) => {
                    self.record_event("send");
                    let mut first_token_at = None;
                    let streamed = self
                        .relay_stream(
                            &mut attempt,
                            target,
                            received,
                            to_client,
                            &mut first_token_at,
                        )
                        .await;
                    if let Some(first_token_at) = first_token_at {
                        first_token.get_or_insert(first_token_at);
                    }
                    match streamed {
                        Ok(end) => return Ok(end),
                        Err(StreamError::ClientGone) => return Err(Abort::ClientGone),
                        Err(StreamError::Broken(reason)) => {
                            let now = self.vm.clock.now();
                            let server = attempt.server().clone();
                            self.report_broken(&server, attempt.address(), first_token_at);
                            self.vm
                                .fleet
                                .lock()
                                .expect("no panic while held")
                                .on_failure(&server, now);
                            self.trace_steps
                                .push(format!("{server} ended the stream early: {reason}"));
                            (Failure::Broken, reason)
                        }
                    }
                }
                Err((_, error)) if error.is_full() && full_refusals < MAX_FULL_REFUSALS => {
                    // Nothing ran and little time was lost, so the next attempt does not use the
                    // retry budget.
                    full_refusals += 1;
                    attempts -= 1;
                    self.record_event("fail");
                    continue;
                }
                Err((selected, error)) => {
                    if let Some(selected) = selected.filter(|_| error.failure == Failure::Broken) {
                        self.report_broken(&selected.server, selected.address, None);
                    }
                    (error.failure, error.reason)
                }
            };
            self.record_event("fail");
            self.may_have_run |= failure == Failure::Broken;
            let now = self.vm.clock.now();
            // An answer can be resumed at its offset, so every model request is repeatable.
            let can_retry = retry::is_retry_allowed(
                failure,
                true,
                attempts,
                now,
                self.job.deadline,
                MIN_RETRY_TIME,
            );
            if !can_retry || !self.vm.try_spend_retry() {
                return Err(Abort::Refused(self.final_refusal(failure, &reason, now)));
            }
            self.trace_steps.push("retrying on another server".to_owned());
        }
    }

    /// Reports that a server ended an answer early, which may mean that the content of the request
    /// crashed the server. `first` is when the first token arrived, if any did.
    fn report_broken(&mut self, server: &Server, address: SocketAddr, first: Option<Moment>) {
        let now = self.vm.clock.now();
        let ran = first.is_some_and(|first| now.since(first) >= STABLE_AFTER);
        let fingerprint = self.job.fingerprint.clone();
        let request = BrokenRequest { fingerprint, was_stable: ran };
        let check = poison::on_broken_response(&self.vm, server, address, request);
        self.crash_checks.push(check);
    }

    /// Returns the refusal for a request whose last attempt failed and that may not be retried.
    fn final_refusal(&self, failure: Failure, reason: &str, now: Moment) -> Refusal {
        if failure == Failure::Broken || !self.bill_parts.is_empty() {
            return Refusal::with_detail(Refused::Broken, reason);
        }
        let kind = if now >= self.job.deadline { Refused::Late } else { Refused::NoServer };
        Refusal::with_detail(kind, reason)
    }

    /// Checks right before an attempt what may have changed since the request was admitted.
    fn check_still_allowed(
        &mut self,
        target: &Target,
        snapshot: Arc<Snapshot>,
    ) -> Result<(), Abort> {
        let now = self.vm.clock.now();
        let refuse = |kind| Err(Abort::Refused(Refusal::new(kind)));
        if !self.vm.may_start(now) {
            return refuse(Refused::CutOff);
        }
        if poison::is_quarantined(&self.vm, &self.job.fingerprint) {
            return refuse(Refused::HeldBack);
        }
        if now >= self.job.deadline {
            return refuse(Refused::Late);
        }
        if snapshot.revision() == self.job.snapshot.revision() {
            return Ok(());
        }
        let Some(workspace) = snapshot.workspace(&self.job.workspace.name) else {
            return refuse(Refused::Unauthorised);
        };
        let allowed = snapshot.allowed(workspace, target);
        self.job.snapshot = snapshot.clone();
        match allowed {
            Allowed::Yes => Ok(()),
            Allowed::Withdrawn if self.job.in_session => refuse(Refused::SessionEnded),
            Allowed::Withdrawn => refuse(Refused::Withdrawn),
            Allowed::No | Allowed::Unknown => refuse(Refused::NotAllowed),
        }
    }

    /// Builds the request to an engine for the tokens from `offset` on. With `wait`, a full engine
    /// queues the request instead of refusing.
    fn generate_request(&self, target: &Target, offset: u32, wait: bool) -> Generate {
        Generate {
            request: self.job.request.clone(),
            attempt: self.attempts,
            workspace: self.job.workspace.name.clone(),
            target: target.clone(),
            prompt: self.job.prompt.clone(),
            max_tokens: self.job.max_tokens,
            offset,
            priority: self.job.priority,
            wait,
        }
    }

    /// Reads the stream of an attempt until its end or until the client disconnects; with
    /// `to_client`, sends each token on.
    async fn relay_stream(
        &mut self,
        attempt: &mut Attempt<'_>,
        target: &Target,
        received: &mut Vec<String>,
        to_client: bool,
        first_token_at: &mut Option<Moment>,
    ) -> Result<End, StreamError> {
        let output = self.output.clone();
        let mut has_tokens = false;
        let mut is_stable = false;
        loop {
            let chunk = tokio::select! {
                chunk = attempt.next(self.job.deadline) => chunk,
                () = output.closed() => return Err(StreamError::ClientGone),
            };
            match chunk.map_err(StreamError::Broken)? {
                Chunk::Token(text) => {
                    if !has_tokens {
                        has_tokens = true;
                        *first_token_at = Some(self.vm.clock.now());
                        self.record_event("first");
                    }
                    received.push(text.clone());
                    let now = self.vm.clock.now();
                    if !is_stable && first_token_at.is_some_and(|at| now.since(at) >= STABLE_AFTER)
                    {
                        is_stable = true;
                        poison::on_success(&self.vm, self.job.fingerprint.shared_parts());
                    }
                    if to_client {
                        self.send_head(target).await.map_err(|_| StreamError::ClientGone)?;
                        self.send_token(text).await.map_err(|_| StreamError::ClientGone)?;
                    }
                }
                Chunk::End(end) => {
                    // An empty answer has no first token. Its end is recorded as `first`, by which
                    // the state machine `charts/request.toml` moves from `sent` to `running`.
                    self.record_event(if has_tokens { "last" } else { "first" });
                    return Ok(end);
                }
            }
        }
    }
}
