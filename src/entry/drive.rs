//! Drives one model request from choice to bill.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use actix_web::web::Data;
use tokio::sync::{mpsc, oneshot};

use super::attempt::{self, Attempt, Piece};
use super::refusal::{Kind as Refused, Refusal};
use crate::chart::{self, Machine};
use crate::config::{Allowed, Snapshot, WorkspaceEntry};
use crate::decide::admit::Ended;
use crate::decide::cascade::{self, Answer, BINS, Rule, bin};
use crate::decide::retry::{self, Failure};
use crate::engine::client::Engines;
use crate::engine::wire::{End, Generate};
use crate::evidence::{Key, Tally};
use crate::ledger::{Entry, Part, Why};
use crate::standin::rating::Sample;
use crate::unit::{Cost, Kind, Moment, RequestId, Span, Target};
use crate::vm::{Errand, Subject, Vm};
use crate::watch::Trace;

/// A retry needs at least this much of the deadline.
const LEAST: Span = Span::millis(20);

/// Full engines that a request may meet before it waits at one.
const BOUNCES: u32 = 3;

/// What the drive tells the door.
pub enum Out {
    /// The answer begins, on that version.
    Head(Target),
    /// A token of it.
    Token(String),
    /// It is whole; so many tokens.
    End(u32),
    /// It was refused before it began, or broke off after.
    Refused(Refusal),
}

/// What may answer a request.
#[derive(Clone, Debug)]
pub enum Route {
    /// A version that a session keeps or the caller named.
    Fixed(Target),
    /// The version that the configuration chooses for the caller's model.
    Model(Target),
    /// A cascade from the cheap to the strong one.
    Cascade(Target, Target),
}

/// One request, checked and admitted.
pub struct Job {
    /// Its id.
    pub request: RequestId,
    /// Its workspace.
    pub workspace: WorkspaceEntry,
    /// The configuration it was admitted under.
    pub snapshot: Arc<Snapshot>,
    /// What may answer it.
    pub route: Route,
    /// Why that may answer it, in words.
    pub why: String,
    /// Whether it belongs to a session that was begun before.
    pub in_session: bool,
    /// The prompt.
    pub prompt: String,
    /// Digest of the prompt's beginning.
    pub prefix: u64,
    /// Longest answer.
    pub max_tokens: u32,
    /// Kind of work.
    pub kind: Kind,
    /// Higher goes first.
    pub priority: u8,
    /// When it came.
    pub arrived: Moment,
    /// When its caller gives up.
    pub deadline: Moment,
}

/// Counts a request as in flight for as long as it lives.
pub struct InFlight(Data<Vm>);

impl InFlight {
    /// Counts one more.
    pub fn new(vm: &Data<Vm>) -> InFlight {
        vm.running.fetch_add(1, Ordering::SeqCst);
        InFlight(vm.clone())
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
    }
}

struct Drive {
    vm: Data<Vm>,
    engines: Engines,
    job: Job,
    to: mpsc::Sender<Out>,
    life: Machine,
    steps: Vec<String>,
    parts: Vec<Part>,
    attempts: u32,
    headed: bool,
    first_token: Option<Moment>,
}

/// How a rung ended without an answer.
enum Stop {
    /// The caller is gone.
    Gone,
    /// A refusal.
    Refused(Refusal),
}

/// Runs a request to its end; the caller hears of it through `to`.
pub async fn run(vm: Data<Vm>, engines: Engines, job: Job, to: mpsc::Sender<Out>) {
    let in_flight = InFlight::new(&vm);
    let life = Machine::new(chart::named("request"));
    let why = job.why.clone();
    let mut drive = Drive {
        vm,
        engines,
        job,
        to,
        life,
        steps: vec![why],
        parts: Vec::new(),
        attempts: 0,
        headed: false,
        first_token: None,
    };
    drive.vm.earn();
    drive.whole().await;
    drive.trace();
    drop(in_flight);
}

impl Drive {
    async fn whole(&mut self) {
        let ended = self.climb().await;
        let served = !self.parts.is_empty();
        let billed = if served { self.bill().await } else { true };
        let (last, outcome) = match ended {
            Ok(_) if !billed => (Out::Refused(Refusal::new(Refused::Unbilled)), "unbilled"),
            Ok(end) => (Out::End(end.tokens), "whole"),
            Err(Stop::Gone) => {
                self.steps.push("the caller went away".to_owned());
                self.count("gone");
                return;
            }
            Err(Stop::Refused(refusal)) => {
                // What ran is billed, so a refusal after it must not claim that nothing ran.
                let refusal = if served { broken(&refusal) } else { refusal };
                let name = refusal.kind.row().name;
                self.steps.push(format!("refused: {name}"));
                self.vm.metrics.refusals.with_label_values(&[name]).inc();
                (Out::Refused(refusal), "refused")
            }
        };
        self.count(outcome);
        let _ = self.to.send(last).await;
    }

    fn count(&self, outcome: &str) {
        let workspace = self.job.workspace.name.as_str();
        self.vm.metrics.requests.with_label_values(&[workspace, outcome]).inc();
    }

    fn take(&mut self, event: &str) {
        if self.life.take(event).is_err() {
            self.vm.metrics.misfits.inc();
        }
    }

    /// Climbs the rungs until one's answer is kept.
    async fn climb(&mut self) -> Result<End, Stop> {
        let (cheap, strong) = match self.job.route.clone() {
            Route::Fixed(target) | Route::Model(target) => return self.rung(&target, None).await,
            Route::Cascade(cheap, strong) => (cheap, strong),
        };
        let rule = self.rule();
        let point = rand::random::<f64>();
        let strong_first = rule.begins_strong(point);
        let explore = rand::random::<f64>() < rule.explore;
        if strong_first && !explore {
            self.steps.push(format!("the cascade begins with {strong}: its rule says so"));
            return self.direct(&strong).await;
        }
        let mut kept = Vec::new();
        let end = match self.rung(&cheap, Some(&mut kept)).await {
            Ok(end) => end,
            Err(Stop::Refused(refusal)) if refusal.kind != Refused::Late => {
                self.steps.push(format!("climbs to {strong}: {cheap} gave no answer"));
                return self.direct(&strong).await;
            }
            Err(stop) => return Err(stop),
        };
        let bin = bin(end.confidence);
        let expected = rule.cheap[bin];
        self.rate_cheap(&cheap, bin, &rule, &kept);
        if rule.keeps(bin, point) && !strong_first {
            self.steps.push(format!(
                "keeps the answer of {cheap}: confidence {:.2}, expected to pass {expected:.2}",
                end.confidence
            ));
            self.head(&cheap).await?;
            for token in kept {
                self.token(token).await?;
            }
            return Ok(end);
        }
        self.steps.push(format!(
            "climbs to {strong}: confidence {:.2}, expected to pass {expected:.2}",
            end.confidence
        ));
        if let Some(part) = self.parts.last_mut() {
            part.why = Why::Rung;
        }
        self.take("climb");
        let mut kept = Vec::new();
        let end = self.sent(&strong, &mut kept).await?;
        self.rate_strong(&strong, bin, &rule, &kept);
        Ok(end)
    }

    async fn direct(&mut self, strong: &Target) -> Result<End, Stop> {
        let mut kept = Vec::new();
        let end = self.sent(strong, &mut kept).await?;
        self.rate_strong(strong, BINS, &self.rule(), &kept);
        Ok(end)
    }

    fn rule(&self) -> Rule {
        let rules = self.vm.rules.read().expect("no panic while held");
        let key = (self.job.workspace.name.clone(), self.job.kind.clone());
        rules.get(&key).copied().unwrap_or_default()
    }

    /// Runs a rung whose tokens go to the caller at once, and keeps them for a rating.
    async fn sent(&mut self, target: &Target, kept: &mut Vec<String>) -> Result<End, Stop> {
        self.stream(target, kept, true).await
    }

    /// Runs a rung; with `hold`, its tokens wait there for the decision.
    async fn rung(&mut self, target: &Target, hold: Option<&mut Vec<String>>) -> Result<End, Stop> {
        match hold {
            Some(kept) => self.stream(target, kept, false).await,
            None => {
                let mut kept = Vec::new();
                let end = self.stream(target, &mut kept, true).await?;
                let keys = self.trial_key(target).into_iter().collect();
                self.rate(target, self.job.request.clone(), keys, 1.0, kept.concat());
                Ok(end)
            }
        }
    }

    /// Generates an answer, on other servers where one breaks off, each token once.
    async fn stream(
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
        if let Some(key) = self.trial_key(target) {
            let more = Tally {
                ended: 1,
                failed: u64::from(failed),
                slow: u64::from(late),
                ..Tally::default()
            };
            self.vm.learn(key, more);
        }
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
            let in_time = gate.in_time(now, deadline);
            (in_time, in_time && gate.offer(&workspace.name, workspace.limit.0, now))
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
            Ok(_) if late => Ended::Bad,
            Ok(_) => Ended::Good,
            Err(Stop::Gone) => Ended::Unrelated,
            Err(Stop::Refused(refusal)) => match refusal.kind {
                Refused::NoServer => Ended::Full,
                Refused::Broken | Refused::Late => Ended::Bad,
                _ => Ended::Unrelated,
            },
        };
        let now = self.vm.clock.now();
        let workspace = &self.job.workspace.name;
        self.vm.gate(&target.model, |gate| gate.ended(workspace, how, now));
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
                    match self.follow(&mut attempt, target, kept, send, first).await {
                        Ok(end) => return Ok(end),
                        Err(Followed::Gone) => return Err(Stop::Gone),
                        Err(Followed::Broke(words)) => {
                            let now = self.vm.clock.now();
                            let server = attempt.server().clone();
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
                Err((_, fault)) => (fault.failure, fault.words),
            };
            self.take("fail");
            let now = self.vm.clock.now();
            // A model's answer may be taken up again at its offset.
            let may = retry::allowed(failure, true, tries, now, self.job.deadline, LEAST);
            if !may || !self.vm.spend_retry() {
                return Err(Stop::Refused(self.given_up(failure, &words, now)));
            }
            self.steps.push("tries another server".to_owned());
        }
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
        first: &mut Option<Moment>,
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
                        first.get_or_insert(self.vm.clock.now());
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

    async fn head(&mut self, target: &Target) -> Result<(), Stop> {
        if self.headed {
            return Ok(());
        }
        self.headed = true;
        self.to.send(Out::Head(target.clone())).await.map_err(|_| Stop::Gone)
    }

    async fn token(&mut self, text: String) -> Result<(), Stop> {
        if self.first_token.is_none() {
            let now = self.vm.clock.now();
            self.first_token = Some(now);
            self.vm.metrics.first_token.observe(now.since(self.job.arrived).as_secs());
        }
        self.vm.metrics.tokens.inc();
        self.to.send(Out::Token(text)).await.map_err(|_| Stop::Gone)
    }

    /// Whether the first token came after what the workspace's first objective allows.
    fn late(&self, began: Moment, first: Option<Moment>) -> bool {
        let objective = self.job.workspace.objectives.first();
        let allowed = objective.map_or(Span::secs(2), |o| Span::millis(o.first_token_ms));
        first.is_some_and(|first| first.since(began) > allowed)
    }

    fn burn(&self, target: &Target, bad: bool) {
        let date = self.vm.clock.date();
        let mut burn = self.vm.burn.lock().expect("no panic while held");
        for (i, objective) in self.job.workspace.objectives.iter().enumerate() {
            let fits = objective.kind.as_ref().is_none_or(|kind| *kind == self.job.kind);
            if fits {
                burn.count(&self.job.workspace.name, target, i, objective.good, bad, date);
            }
        }
    }

    fn part(&mut self, target: &Target, tokens: u32, whole: bool) {
        let price = self.job.snapshot.version(target).map_or(Cost(0), |version| version.cost);
        self.parts.push(Part {
            why: if whole { Why::Answer } else { Why::Broken },
            target: Some(target.clone()),
            tokens,
            cost: price.of_tokens(u64::from(tokens)),
        });
    }

    fn trial_key(&self, target: &Target) -> Option<Key> {
        let since = self.vm.trial(&target.model, self.vm.clock.date());
        Some(Key::Trial { target: target.clone(), since })
    }

    fn rate_cheap(&self, target: &Target, bin: usize, rule: &Rule, kept: &[String]) {
        let key = Key::Cheap {
            workspace: self.job.workspace.name.clone(),
            kind: self.job.kind.clone(),
            bin: bin as u8,
        };
        self.vm.learn(key.clone(), Tally { ended: 1, ..Tally::default() });
        let keys = self.trial_key(target).into_iter().chain([key]).collect();
        let id = format!("{}.cheap", self.job.request);
        let worth = cascade::worth(rule, Answer::Cheap(bin));
        if let Ok(id) = id.parse() {
            self.rate(target, id, keys, worth, kept.concat());
        }
    }

    fn rate_strong(&self, target: &Target, bin: usize, rule: &Rule, kept: &[String]) {
        let key = Key::Strong {
            workspace: self.job.workspace.name.clone(),
            kind: self.job.kind.clone(),
            bin: bin as u8,
        };
        self.vm.learn(key.clone(), Tally { ended: 1, ..Tally::default() });
        let keys = self.trial_key(target).into_iter().chain([key]).collect();
        let answer = if bin == BINS { Answer::Direct } else { Answer::Climbed };
        let worth = cascade::worth(rule, answer);
        self.rate(target, self.job.request.clone(), keys, worth, kept.concat());
    }

    /// Has an answer rated: by a roll-out's sampling, or where a rating tells most.
    fn rate(&self, target: &Target, id: RequestId, keys: Vec<Key>, worth: f64, answer: String) {
        let rolling = self.job.snapshot.rollout(&target.model);
        let rated = match rolling {
            Some(rollout) => {
                let (new, usual) = *self.vm.sampling.read().expect("no panic while held");
                let chance = if rollout.to == *target { new } else { usual };
                rand::random::<f64>() < chance
            }
            None => self.vm.spend_rating(worth, rand::random()),
        };
        if !rated {
            return;
        }
        let subject = Subject { keys, date: self.vm.clock.date() };
        self.vm.waiting.lock().expect("no panic while held").note(id.clone(), subject);
        self.vm.errand(Errand::Rate(Sample {
            vm: self.vm.settings.vm.clone(),
            request: id,
            answer,
        }));
    }

    async fn bill(&mut self) -> bool {
        self.take("bill");
        let entry = Entry {
            number: 0,
            request: self.job.request.clone(),
            workspace: self.job.workspace.name.clone(),
            date: self.vm.clock.date(),
            parts: std::mem::take(&mut self.parts),
        };
        self.steps.push(format!("billed {} in {} part(s)", entry.cost(), entry.parts.len()));
        let (sender, safe) = oneshot::channel();
        self.vm.errand(Errand::Bill(entry, sender));
        safe.await.unwrap_or(false)
    }

    fn trace(&mut self) {
        let trace = Trace {
            request: self.job.request.clone(),
            workspace: self.job.workspace.name.clone(),
            revision: self.job.snapshot.revision(),
            date: self.vm.clock.date(),
            steps: std::mem::take(&mut self.steps),
        };
        self.vm.traces.lock().expect("no panic while held").keep(trace);
    }
}

/// How following an attempt failed.
enum Followed {
    Gone,
    Broke(String),
}

/// A refusal for a request of which something ran.
fn broken(refusal: &Refusal) -> Refusal {
    match refusal.kind {
        Refused::Broken | Refused::Unbilled => refusal.clone(),
        other => Refusal::because(Refused::Broken, other.row().sentence),
    }
}
