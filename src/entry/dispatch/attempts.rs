//! Attempts of a request on one version: on other servers where one breaks off, each token once.

use std::net::SocketAddr;
use std::sync::Arc;

use super::{Abort, Dispatch};
use crate::config::{Allowed, Snapshot};
use crate::decide::admission::Outcome;
use crate::decide::poison::{OpenRequest, STABLE_AFTER};
use crate::decide::retry::{self, Failure};
use crate::engine::wire::{End, Generate};
use crate::entry::attempt::{self, Attempt, Chunk};
use crate::entry::refusal::{Kind as Refused, Refusal};
use crate::evidence::Counts;
use crate::unit::{Moment, Server, Span, Target};
use crate::vm::poison;

/// A retry needs at least this much of the deadline.
const MIN_RETRY_TIME: Span = Span::millis(20);

/// Full engines that a request may meet before it waits at one.
const MAX_FULL_REFUSALS: u32 = 3;

/// How following an attempt failed.
enum StreamError {
    ClientGone,
    Broken(String),
}

impl Dispatch {
    /// Generates an answer, on other servers where one breaks off, each token once.
    pub(super) async fn stream(
        &mut self,
        target: &Target,
        kept: &mut Vec<String>,
        send: bool,
    ) -> Result<End, Abort> {
        let began = self.vm.clock.now();
        let mut first = None;
        self.admit(target, began)?;
        let outcome = self.try_servers(target, kept, send, &mut first).await;
        let late = self.is_late(began, first);
        self.record_admission_end(target, &outcome, late);
        let failed = matches!(&outcome, Err(Abort::Refused(_)));
        let more = Counts {
            ended: 1,
            failed: u64::from(failed),
            slow: u64::from(late),
            ..Counts::default()
        };
        self.vm.record_evidence(self.trial_key(target), more);
        self.record_burn(target, failed || late);
        if !kept.is_empty() || outcome.is_ok() {
            self.add_bill_part(target, kept.len() as u32, outcome.is_ok());
        }
        outcome
    }

    /// Asks the gate of the model's pool; a refusal there is early and true.
    fn admit(&mut self, target: &Target, now: Moment) -> Result<(), Abort> {
        let workspace = &self.job.workspace;
        let deadline = self.job.deadline;
        let (in_time, fits) = self.vm.with_admission(&target.model, |gate| {
            let in_time = gate.can_meet_deadline(now, deadline);
            (in_time, in_time && gate.try_admit(&workspace.name, workspace.limit.0, now))
        });
        let refuse = |kind, words| Err(Abort::Refused(Refusal::with_detail(kind, words)));
        match (in_time, fits) {
            (_, true) => Ok(()),
            (false, _) => refuse(Refused::Late, "it could not be expected to end in time"),
            (true, false) => refuse(Refused::NoServer, "the pool of the model is full"),
        }
    }

    fn record_admission_end(&self, target: &Target, outcome: &Result<End, Abort>, late: bool) {
        let how = match outcome {
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
        self.vm.with_admission(&target.model, |gate| gate.on_end(workspace, how, now));
    }

    async fn try_servers(
        &mut self,
        target: &Target,
        kept: &mut Vec<String>,
        send: bool,
        first: &mut Option<Moment>,
    ) -> Result<End, Abort> {
        let mut attempts = 0;
        let mut full_refusals = 0;
        loop {
            let vm = self.vm.clone();
            // Held until the engine has taken the work or surely has not.
            let (snapshot, dispatch_guard) = vm.begin_dispatch();
            self.check_still_allowed(target, snapshot)?;
            self.record_event("choose");
            let work = self.generate_request(
                target,
                kept.len() as u32,
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
            self.steps.append(&mut steps);
            let (failure, words) = match started {
                Ok(mut attempt) => {
                    self.record_event("send");
                    let mut first_token_at = None;
                    let streamed = self
                        .relay_stream(&mut attempt, target, kept, send, &mut first_token_at)
                        .await;
                    if let Some(first_token_at) = first_token_at {
                        first.get_or_insert(first_token_at);
                    }
                    match streamed {
                        Ok(end) => return Ok(end),
                        Err(StreamError::ClientGone) => return Err(Abort::ClientGone),
                        Err(StreamError::Broken(words)) => {
                            let now = self.vm.clock.now();
                            let server = attempt.server().clone();
                            self.report_broken(&server, attempt.address(), first_token_at);
                            self.vm
                                .fleet
                                .lock()
                                .expect("no panic while held")
                                .on_failure(&server, now);
                            self.steps.push(format!("{server} broke off: {words}"));
                            (Failure::Broken, words)
                        }
                    }
                }
                Err((_, fault)) if fault.is_full() && full_refusals < MAX_FULL_REFUSALS => {
                    // Nothing ran and little time was lost: it costs no retry.
                    full_refusals += 1;
                    attempts -= 1;
                    self.record_event("fail");
                    continue;
                }
                Err((picked, fault)) => {
                    if let Some(picked) = picked.filter(|_| fault.failure == Failure::Broken) {
                        self.report_broken(&picked.server, picked.address, None);
                    }
                    (fault.failure, fault.reason)
                }
            };
            self.record_event("fail");
            self.may_have_run |= failure == Failure::Broken;
            let now = self.vm.clock.now();
            // A model's answer may be taken up again at its offset.
            let may =
                retry::is_allowed(failure, true, attempts, now, self.job.deadline, MIN_RETRY_TIME);
            if !may || !self.vm.try_spend_retry() {
                return Err(Abort::Refused(self.final_refusal(failure, &words, now)));
            }
            self.steps.push("tries another server".to_owned());
        }
    }

    /// An answer broke off at a server, after its first token came at a moment, if it did.
    fn report_broken(&self, server: &Server, address: SocketAddr, first: Option<Moment>) {
        let now = self.vm.clock.now();
        let ran = first.is_some_and(|first| now.since(first) >= STABLE_AFTER);
        let request = OpenRequest { content: self.job.content, was_stable: ran };
        poison::on_broken_response(&self.vm, server, address, request);
    }

    fn final_refusal(&self, failure: Failure, words: &str, now: Moment) -> Refusal {
        if failure == Failure::Broken || !self.parts.is_empty() {
            return Refusal::with_detail(Refused::Broken, words);
        }
        let kind = if now >= self.job.deadline { Refused::Late } else { Refused::NoServer };
        Refusal::with_detail(kind, words)
    }

    /// Checks, right before work starts, what may have changed since the request was admitted.
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
        if poison::is_quarantined(&self.vm, &self.job.content) {
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

    async fn relay_stream(
        &mut self,
        attempt: &mut Attempt<'_>,
        target: &Target,
        kept: &mut Vec<String>,
        send: bool,
        first_token_at: &mut Option<Moment>,
    ) -> Result<End, StreamError> {
        let to = self.to.clone();
        let mut began = false;
        loop {
            let chunk = tokio::select! {
                chunk = attempt.next(self.job.deadline) => chunk,
                () = to.closed() => return Err(StreamError::ClientGone),
            };
            match chunk.map_err(StreamError::Broken)? {
                Chunk::Token(text) => {
                    if !began {
                        began = true;
                        *first_token_at = Some(self.vm.clock.now());
                        self.record_event("first");
                    }
                    kept.push(text.clone());
                    if send {
                        self.send_head(target).await.map_err(|_| StreamError::ClientGone)?;
                        self.send_token(text).await.map_err(|_| StreamError::ClientGone)?;
                    }
                }
                Chunk::End(end) => {
                    self.record_event(if began { "last" } else { "first" });
                    return Ok(end);
                }
            }
        }
    }
}
