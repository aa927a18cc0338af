//! Attempts of a request on one version: on other servers where one breaks off, each token once.

use std::net::SocketAddr;
use std::sync::Arc;

use super::{Drive, Stop};
use crate::config::{Allowed, Snapshot};
use crate::decide::admission::Outcome;
use crate::decide::poison::{OpenRequest, STABLE_AFTER};
use crate::decide::retry::{self, Failure};
use crate::engine::wire::{End, Generate};
use crate::entry::attempt::{self, Attempt, Piece};
use crate::entry::refusal::{Kind as Refused, Refusal};
use crate::evidence::Counts;
use crate::unit::{Moment, Server, Span, Target};
use crate::vm::poison;

/// A retry needs at least this much of the deadline.
const LEAST: Span = Span::millis(20);

/// Full engines that a request may meet before it waits at one.
const BOUNCES: u32 = 3;

/// How following an attempt failed.
enum Followed {
    Gone,
    Broke(String),
}

impl Drive {
    /// Generates an answer, on other servers where one breaks off, each token once.
    pub(super) async fn stream(
        &mut self,
        target: &Target,
        kept: &mut Vec<String>,
        send: bool,
    ) -> Result<End, Stop> {
        let began = self.vm.clock.now();
        let mut first = None;
        self.let_in(target, began)?;
        let outcome = self.attempts(target, kept, send, &mut first).await;
        let late = self.late(began, first);
        self.let_out(target, &outcome, late);
        let failed = matches!(&outcome, Err(Stop::Refused(_)));
        let more = Counts {
            ended: 1,
            failed: u64::from(failed),
            slow: u64::from(late),
            ..Counts::default()
        };
        self.vm.learn(self.trial_key(target), more);
        self.burn(target, failed || late);
        if !kept.is_empty() || outcome.is_ok() {
            self.part(target, kept.len() as u32, outcome.is_ok());
        }
        outcome
    }

    /// Asks the gate of the model's pool; a refusal there is early and true.
    fn let_in(&mut self, target: &Target, now: Moment) -> Result<(), Stop> {
        let workspace = &self.job.workspace;
        let deadline = self.job.deadline;
        let (in_time, fits) = self.vm.gate(&target.model, |gate| {
            let in_time = gate.can_meet_deadline(now, deadline);
            (in_time, in_time && gate.try_admit(&workspace.name, workspace.limit.0, now))
        });
        let refuse = |kind, words| Err(Stop::Refused(Refusal::because(kind, words)));
        match (in_time, fits) {
            (_, true) => Ok(()),
            (false, _) => refuse(Refused::Late, "it could not be expected to end in time"),
            (true, false) => refuse(Refused::NoServer, "the pool of the model is full"),
        }
    }

    fn let_out(&self, target: &Target, outcome: &Result<End, Stop>, late: bool) {
        let how = match outcome {
            Ok(_) if late => Outcome::Bad,
            Ok(_) => Outcome::Good,
            Err(Stop::Gone) => Outcome::Unrelated,
            Err(Stop::Refused(refusal)) => match refusal.kind {
                Refused::NoServer => Outcome::Full,
                Refused::Broken | Refused::Late => Outcome::Bad,
                _ => Outcome::Unrelated,
            },
        };
        let now = self.vm.clock.now();
        let workspace = &self.job.workspace.name;
        self.vm.gate(&target.model, |gate| gate.on_end(workspace, how, now));
    }

    async fn attempts(
        &mut self,
        target: &Target,
        kept: &mut Vec<String>,
        send: bool,
        first: &mut Option<Moment>,
    ) -> Result<End, Stop> {
        let mut tries = 0;
        let mut bounces = 0;
        loop {
            let vm = self.vm.clone();
            // Held until the engine has taken the work or surely has not.
            let (snapshot, dispatch) = vm.dispatch();
            self.gate(target, snapshot)?;
            self.take("choose");
            let work = self.work(target, kept.len() as u32, bounces >= BOUNCES);
            self.attempts += 1;
            tries += 1;
            let mut steps = Vec::new();
            let revision = self.job.snapshot.revision();
            let started =
                attempt::start(&vm, &self.engines, work, self.job.prefix, revision, &mut steps)
                    .await;
            drop(dispatch);
            self.steps.append(&mut steps);
            let (failure, words) = match started {
                Ok(mut attempt) => {
                    self.take("send");
                    let mut began_at = None;
                    let followed =
                        self.follow(&mut attempt, target, kept, send, &mut began_at).await;
                    if let Some(began_at) = began_at {
                        first.get_or_insert(began_at);
                    }
                    match followed {
                        Ok(end) => return Ok(end),
                        Err(Followed::Gone) => return Err(Stop::Gone),
                        Err(Followed::Broke(words)) => {
                            let now = self.vm.clock.now();
                            let server = attempt.server().clone();
                            self.suspect(&server, attempt.address(), began_at);
                            self.vm.fleet.lock().expect("no panic while held").failed(&server, now);
                            self.steps.push(format!("{server} broke off: {words}"));
                            (Failure::Broken, words)
                        }
                    }
                }
                Err((_, fault)) if fault.is_full() && bounces < BOUNCES => {
                    // Nothing ran and little time was lost: it costs no retry.
                    bounces += 1;
                    tries -= 1;
                    self.take("fail");
                    continue;
                }
                Err((picked, fault)) => {
                    if let Some(picked) = picked.filter(|_| fault.failure == Failure::Broken) {
                        self.suspect(&picked.server, picked.address, None);
                    }
                    (fault.failure, fault.reason)
                }
            };
            self.take("fail");
            self.may_have_run |= failure == Failure::Broken;
            let now = self.vm.clock.now();
            // A model's answer may be taken up again at its offset.
            let may = retry::is_allowed(failure, true, tries, now, self.job.deadline, LEAST);
            if !may || !self.vm.spend_retry() {
                return Err(Stop::Refused(self.given_up(failure, &words, now)));
            }
            self.steps.push("tries another server".to_owned());
        }
    }

    /// An answer broke off at a server, after its first token came at a moment, if it did.
    fn suspect(&self, server: &Server, address: SocketAddr, first: Option<Moment>) {
        let now = self.vm.clock.now();
        let ran = first.is_some_and(|first| now.since(first) >= STABLE_AFTER);
        let request = OpenRequest { content: self.job.content, was_stable: ran };
        poison::broke(&self.vm, server, address, request);
    }

    fn given_up(&self, failure: Failure, words: &str, now: Moment) -> Refusal {
        if failure == Failure::Broken || !self.parts.is_empty() {
            return Refusal::because(Refused::Broken, words);
        }
        let kind = if now >= self.job.deadline { Refused::Late } else { Refused::NoServer };
        Refusal::because(kind, words)
    }

    /// Checks, right before work starts, what may have changed since the request was admitted.
    fn gate(&mut self, target: &Target, snapshot: Arc<Snapshot>) -> Result<(), Stop> {
        let now = self.vm.clock.now();
        let refuse = |kind| Err(Stop::Refused(Refusal::new(kind)));
        if !self.vm.may_start(now) {
            return refuse(Refused::CutOff);
        }
        if poison::holds_back(&self.vm, &self.job.content) {
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

    fn work(&self, target: &Target, offset: u32, wait: bool) -> Generate {
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

    async fn follow(
        &mut self,
        attempt: &mut Attempt<'_>,
        target: &Target,
        kept: &mut Vec<String>,
        send: bool,
        began_at: &mut Option<Moment>,
    ) -> Result<End, Followed> {
        let to = self.to.clone();
        let mut began = false;
        loop {
            let piece = tokio::select! {
                piece = attempt.next(self.job.deadline) => piece,
                () = to.closed() => return Err(Followed::Gone),
            };
            match piece.map_err(Followed::Broke)? {
                Piece::Token(text) => {
                    if !began {
                        began = true;
                        *began_at = Some(self.vm.clock.now());
                        self.take("first");
                    }
                    kept.push(text.clone());
                    if send {
                        self.head(target).await.map_err(|_| Followed::Gone)?;
                        self.token(text).await.map_err(|_| Followed::Gone)?;
                    }
                }
                Piece::End(end) => {
                    self.take(if began { "last" } else { "first" });
                    return Ok(end);
                }
            }
        }
    }
}
