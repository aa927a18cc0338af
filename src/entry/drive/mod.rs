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
use crate::ledger::{Part, Why};
use crate::unit::{Digest, Kind, Moment, RequestId, Target};
use crate::vm::{Vm, poison};

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
    engines: EngineClient,
    job: Job,
    to: mpsc::Sender<Out>,
    life: Machine,
    steps: Vec<String>,
    parts: Vec<Part>,
    attempts: u32,
    headed: bool,
    /// Whether an attempt ended so that it may have run, though it gave nothing.
    may_have_run: bool,
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
pub async fn run(vm: Data<Vm>, engines: EngineClient, job: Job, to: mpsc::Sender<Out>) {
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
        may_have_run: false,
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
                // A refusal after something ran, or may have, must not claim that nothing did, whichever attempt came last.
                let ran = served || self.may_have_run;
                let refusal = if ran { broken(&refusal) } else { refusal };
                let name = refusal.kind.row().name;
                self.steps.push(format!("refused: {name}"));
                self.vm.metrics.refusals.with_label_values(&[name]).inc();
                (Out::Refused(refusal), "refused")
            }
        };
        if matches!(last, Out::End(_)) {
            poison::ran_well(&self.vm, self.job.content);
        }
        self.count(outcome);
        let _ = self.to.send(last).await;
    }

    fn count(&self, outcome: &str) {
        let workspace = self.job.workspace.name.as_str();
        self.vm.metrics.requests.with_label_values(&[workspace, outcome]).inc();
    }

    fn take(&mut self, event: &str) {
        if self.life.apply(event).is_err() {
            self.vm.metrics.invalid_transitions.inc();
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
                let keys = vec![self.trial_key(target)];
                self.rate(target, self.job.request.clone(), keys, 1.0, kept.concat());
                Ok(end)
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
}

/// A refusal for a request of which something ran, or may have.
fn broken(refusal: &Refusal) -> Refusal {
    match refusal.kind {
        Refused::Broken | Refused::Unbilled => refusal.clone(),
        other => Refusal::because(Refused::Broken, other.row().sentence),
    }
}
