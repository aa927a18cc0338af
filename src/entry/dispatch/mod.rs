//! Drives one model request from choice to bill.

mod account;
mod attempts;

use std::sync::Arc;
use std::sync::atomic::Ordering;

use actix_web::web::Data;
use tokio::sync::mpsc;

use super::refusal::{Kind as Refused, Refusal};
use crate::chart::{self, Machine};
use crate::config::{Snapshot, WorkspaceEntry};
use crate::decide::cascade::{BINS, Rule, bin};
use crate::engine::client::EngineClient;
use crate::engine::wire::End;
use crate::ledger::{Part, Reason};
use crate::unit::{Digest, Kind, Moment, RequestId, Target};
use crate::vm::{Vm, poison};

/// What the drive tells the door.
pub enum Output {
    /// The answer begins, on that version.
    Started(Target),
    /// A token of it.
    Token(String),
    /// It is whole; so many tokens.
    Completed(u32),
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
    pub reason: String,
    /// Whether it belongs to a session that was begun before.
    pub in_session: bool,
    /// The prompt.
    pub prompt: String,
    /// Digest of the prompt's beginning.
    pub prefix_hash: u64,
    /// What is asked, whoever of the workspace asks it.
    pub content: Digest,
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
pub struct InFlightGuard(Data<Vm>);

impl InFlightGuard {
    /// Counts one more.
    pub fn new(vm: &Data<Vm>) -> InFlightGuard {
        vm.running.fetch_add(1, Ordering::SeqCst);
        InFlightGuard(vm.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
    }
}

struct Dispatch {
    vm: Data<Vm>,
    engines: EngineClient,
    job: Job,
    to: mpsc::Sender<Output>,
    lifecycle: Machine,
    steps: Vec<String>,
    parts: Vec<Part>,
    attempts: u32,
    head_sent: bool,
    /// Whether an attempt ended so that it may have run, though it gave nothing.
    may_have_run: bool,
    first_token: Option<Moment>,
}

/// How a rung ended without an answer.
enum Abort {
    /// The caller is gone.
    ClientGone,
    /// A refusal.
    Refused(Refusal),
}

/// Runs a request to its end; the caller hears of it through `to`.
pub async fn run(vm: Data<Vm>, engines: EngineClient, job: Job, to: mpsc::Sender<Output>) {
    let in_flight = InFlightGuard::new(&vm);
    let lifecycle = Machine::new(chart::named("request"));
    let reason = job.reason.clone();
    let mut dispatch = Dispatch {
        vm,
        engines,
        job,
        to,
        lifecycle,
        steps: vec![reason],
        parts: Vec::new(),
        attempts: 0,
        head_sent: false,
        may_have_run: false,
        first_token: None,
    };
    dispatch.vm.record_first_attempt();
    dispatch.complete().await;
    dispatch.store_trace();
    drop(in_flight);
}

impl Dispatch {
    async fn complete(&mut self) {
        let ended = self.run_route().await;
        let served = !self.parts.is_empty();
        let billed = if served { self.bill().await } else { true };
        let (last, outcome) = match ended {
            Ok(_) if !billed => (Output::Refused(Refusal::new(Refused::Unbilled)), "unbilled"),
            Ok(end) => (Output::Completed(end.tokens), "whole"),
            Err(Abort::ClientGone) => {
                self.steps.push("the caller went away".to_owned());
                self.count_request("gone");
                return;
            }
            Err(Abort::Refused(refusal)) => {
                // A refusal after something ran, or may have, must not claim that nothing did, whichever attempt came last.
                let ran = served || self.may_have_run;
                let refusal = if ran { broken_refusal(&refusal) } else { refusal };
                let name = refusal.kind.row().name;
                self.steps.push(format!("refused: {name}"));
                self.vm.metrics.refusals.with_label_values(&[name]).inc();
                (Output::Refused(refusal), "refused")
            }
        };
        if matches!(last, Output::Completed(_)) {
            poison::on_success(&self.vm, self.job.content);
        }
        self.count_request(outcome);
        let _ = self.to.send(last).await;
    }

    fn count_request(&self, outcome: &str) {
        let workspace = self.job.workspace.name.as_str();
        self.vm.metrics.requests.with_label_values(&[workspace, outcome]).inc();
    }

    fn record_event(&mut self, event: &str) {
        if self.lifecycle.apply(event).is_err() {
            self.vm.metrics.invalid_transitions.inc();
        }
    }

    /// Climbs the rungs until one's answer is kept.
    async fn run_route(&mut self) -> Result<End, Abort> {
        let (cheap, strong) = match self.job.route.clone() {
            Route::Fixed(target) | Route::Model(target) => {
                return self.run_target(&target, None).await;
            }
            Route::Cascade(cheap, strong) => (cheap, strong),
        };
        let rule = self.rule();
        let point = rand::random::<f64>();
        let strong_first = rule.begins_strong(point);
        let explore = rand::random::<f64>() < rule.explore;
        if strong_first && !explore {
            self.steps.push(format!("the cascade begins with {strong}: its rule says so"));
            return self.run_strong(&strong).await;
        }
        let mut kept = Vec::new();
        let end = match self.run_target(&cheap, Some(&mut kept)).await {
            Ok(end) => end,
            Err(Abort::Refused(refusal)) if refusal.kind != Refused::Late => {
                self.steps.push(format!("climbs to {strong}: {cheap} gave no answer"));
                return self.run_strong(&strong).await;
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
            self.send_head(&cheap).await?;
            for token in kept {
                self.send_token(token).await?;
            }
            return Ok(end);
        }
        self.steps.push(format!(
            "climbs to {strong}: confidence {:.2}, expected to pass {expected:.2}",
            end.confidence
        ));
        if let Some(part) = self.parts.last_mut() {
            part.reason = Reason::Rung;
        }
        self.record_event("climb");
        let mut kept = Vec::new();
        let end = self.stream_to_client(&strong, &mut kept).await?;
        self.rate_strong(&strong, bin, &rule, &kept);
        Ok(end)
    }

    async fn run_strong(&mut self, strong: &Target) -> Result<End, Abort> {
        let mut kept = Vec::new();
        let end = self.stream_to_client(strong, &mut kept).await?;
        self.rate_strong(strong, BINS, &self.rule(), &kept);
        Ok(end)
    }

    fn rule(&self) -> Rule {
        let rules = self.vm.cascade_rules.read().expect("no panic while held");
        let key = (self.job.workspace.name.clone(), self.job.kind.clone());
        rules.get(&key).copied().unwrap_or_default()
    }

    /// Runs a rung whose tokens go to the caller at once, and keeps them for a rating.
    async fn stream_to_client(
        &mut self,
        target: &Target,
        kept: &mut Vec<String>,
    ) -> Result<End, Abort> {
        self.stream(target, kept, true).await
    }

    /// Runs a rung; with `hold`, its tokens wait there for the decision.
    async fn run_target(
        &mut self,
        target: &Target,
        withheld: Option<&mut Vec<String>>,
    ) -> Result<End, Abort> {
        match withheld {
            Some(kept) => self.stream(target, kept, false).await,
            None => {
                let mut kept = Vec::new();
                let end = self.stream(target, &mut kept, true).await?;
                let keys = vec![self.trial_key(target)];
                self.sample_for_rating(target, self.job.request.clone(), keys, 1.0, kept.concat());
                Ok(end)
            }
        }
    }

    async fn send_head(&mut self, target: &Target) -> Result<(), Abort> {
        if self.head_sent {
            return Ok(());
        }
        self.head_sent = true;
        self.to.send(Output::Started(target.clone())).await.map_err(|_| Abort::ClientGone)
    }

    async fn send_token(&mut self, text: String) -> Result<(), Abort> {
        if self.first_token.is_none() {
            let now = self.vm.clock.now();
            self.first_token = Some(now);
            self.vm.metrics.first_token.observe(now.since(self.job.arrived).as_secs());
        }
        self.vm.metrics.tokens.inc();
        self.to.send(Output::Token(text)).await.map_err(|_| Abort::ClientGone)
    }
}

/// A refusal for a request of which something ran, or may have.
fn broken_refusal(refusal: &Refusal) -> Refusal {
    match refusal.kind {
        Refused::Broken | Refused::Unbilled => refusal.clone(),
        other => Refusal::with_detail(Refused::Broken, other.row().title),
    }
}
