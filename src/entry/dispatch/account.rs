//! Records of a request: bill, evidence (counters that VMs merge), error budget, sample for rating
//! and decision trace.

use tokio::sync::oneshot;

use super::Dispatcher;
use crate::decide::cascade::{self, Answer, CONFIDENCE_BINS, Rule};
use crate::evidence::{Counts, Key};
use crate::ledger::{Entry, Part, Reason};
use crate::standin::rating::Sample;
use crate::unit::{Cost, Moment, RequestId, Span, Target};
use crate::vm::{Command, PendingSample};
use crate::watch::Trace;

impl Dispatcher {
    /// Returns true if the first token came later than the first objective of the workspace allows,
    /// or later than 2 s if the workspace has no objective. A request without a token is not late.
    pub(super) fn is_late(&self, started_at: Moment, first_token: Option<Moment>) -> bool {
        let objective = self.job.workspace.objectives.first();
        let allowed = objective.map_or(Span::secs(2), |o| Span::millis(o.first_token_ms));
        first_token.is_some_and(|first| first.since(started_at) > allowed)
    }

    /// Counts an answer towards the error budget of each objective of the workspace that covers the
    /// kind of work. `target` is the version that answered.
    pub(super) fn record_burn(&self, target: &Target, bad: bool) {
        let date = self.vm.clock.date();
        let mut burn = self.vm.burn.lock().expect("no panic while held");
        for (i, objective) in self.job.workspace.objectives.iter().enumerate() {
            let applies = objective.kind.as_ref().is_none_or(|kind| *kind == self.job.kind);
            if applies {
                burn.record(&self.job.workspace.name, target, i, objective.good, bad, date);
            }
        }
    }

    /// Adds the tokens of a generation to the bill, at the price of its version.
    pub(super) fn add_bill_part(&mut self, target: &Target, tokens: u32, is_complete: bool) {
        let price = self.job.snapshot.version(target).map_or(Cost(0), |version| version.cost);
        self.bill_parts.push(Part {
            reason: if is_complete { Reason::Answer } else { Reason::Broken },
            target: Some(target.clone()),
            tokens,
            cost: price.for_tokens(u64::from(tokens)),
        });
    }

    /// Returns the key under which the answers of `target` (a version of a model) are counted now.
    /// Counts are kept per trial: a running roll-out of the model or, also for a version in service,
    /// the current time window.
    pub(super) fn evidence_key(&self, target: &Target) -> Key {
        let since = self.vm.trial_start(&target.model, self.vm.clock.date());
        Key::Trial { target: target.clone(), since }
    }

    /// Counts an answer under `key`, the evidence key of its cascade, and returns the keys that its
    /// rating will count under: that of the current trial (see `evidence_key`) and `key`.
    fn count_answer(&self, target: &Target, key: Key) -> Vec<Key> {
        self.vm.record_evidence(key.clone(), Counts { ended: 1, ..Counts::default() });
        vec![self.evidence_key(target), key]
    }

    /// Counts an answer of a cascade's cheap version, kept or not, and may submit it for rating.
    /// `bin` is the bin of its confidence.
    pub(super) fn record_cheap_answer(
        &self,
        target: &Target,
        bin: usize,
        rule: &Rule,
        received: &[String],
    ) {
        let key = Key::Cheap {
            workspace: self.job.workspace.name.clone(),
            kind: self.job.kind.clone(),
            bin: bin as u8,
        };
        let keys = self.count_answer(target, key);
        let id = format!("{}.cheap", self.job.request);
        let value = cascade::rating_value(rule, Answer::Cheap(bin));
        if let Ok(id) = id.parse() {
            self.sample_for_rating(target, id, keys, value, received.concat());
        }
    }

    /// Counts an answer of a cascade's strong version and may submit it for rating. `bin` is the
    /// confidence bin of the cheap answer before it, or `CONFIDENCE_BINS` if the strong version ran
    /// alone.
    pub(super) fn record_strong_answer(
        &self,
        target: &Target,
        bin: usize,
        rule: &Rule,
        received: &[String],
    ) {
        let key = Key::Strong {
            workspace: self.job.workspace.name.clone(),
            kind: self.job.kind.clone(),
            bin: bin as u8,
        };
        let keys = self.count_answer(target, key);
        let answer = if bin == CONFIDENCE_BINS { Answer::Direct } else { Answer::Escalated };
        let value = cascade::rating_value(rule, answer);
        self.sample_for_rating(target, self.job.request.clone(), keys, value, received.concat());
    }

    /// Submits an answer for rating, if it is sampled. During a roll-out of the model, the sampling
    /// rates of the roll-out decide; otherwise the budget for ratings goes to the answers with the
    /// most informative ratings (`value`).
    pub(super) fn sample_for_rating(
        &self,
        target: &Target,
        id: RequestId,
        keys: Vec<Key>,
        value: f64,
        answer: String,
    ) {
        let rolling = self.job.snapshot.rollout(&target.model);
        let rated = match rolling {
            Some(rollout) => {
                let (new, other) = *self.vm.sampling_rates.read().expect("no panic while held");
                let rate = if rollout.to == *target { new } else { other };
                rand::random::<f64>() < rate
            }
            None => self.vm.try_spend_rating(value, rand::random()),
        };
        if !rated {
            return;
        }
        let pending = PendingSample { keys, answered_at: self.vm.clock.date() };
        self.vm.pending_samples.lock().expect("no panic while held").insert(id.clone(), pending);
        self.vm.send_command(Command::SubmitSample(Sample {
            vm: self.vm.settings.vm.clone(),
            request: id,
            answer,
        }));
    }

    /// Bills the parts of the request that ran. Returns true once other VMs or the store hold the
    /// bill, false if that failed.
    pub(super) async fn record_bill(&mut self) -> bool {
        self.record_event("bill");
        let entry = Entry {
            number: 0,
            request: self.job.request.clone(),
            workspace: self.job.workspace.name.clone(),
            date: self.vm.clock.date(),
            parts: std::mem::take(&mut self.bill_parts),
        };
        self.trace_steps.push(format!("billed {} in {} part(s)", entry.cost(), entry.parts.len()));
        let (sender, is_stored) = oneshot::channel();
        self.vm.send_command(Command::RecordBill(entry, sender));
        is_stored.await.unwrap_or(false)
    }

    /// Stores the decision trace of the request for operators.
    pub(super) fn store_trace(&mut self) {
        let trace = Trace {
            request: self.job.request.clone(),
            workspace: self.job.workspace.name.clone(),
            revision: self.job.snapshot.revision(),
            date: self.vm.clock.date(),
            steps: std::mem::take(&mut self.trace_steps),
        };
        self.vm.traces.lock().expect("no panic while held").record(trace);
    }
}
