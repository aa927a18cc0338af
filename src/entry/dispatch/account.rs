//! What a request leaves behind: its bill, its evidence, its rating, its record.

use tokio::sync::oneshot;

use super::Dispatch;
use crate::decide::cascade::{self, Answer, BINS, Rule};
use crate::evidence::{Counts, Key};
use crate::ledger::{Entry, Part, Reason};
use crate::standin::rating::Sample;
use crate::unit::{Cost, Moment, RequestId, Span, Target};
use crate::vm::{Command, Subject};
use crate::watch::Trace;

impl Dispatch {
    /// Whether the first token came after what the workspace's first objective allows.
    pub(super) fn is_late(&self, began: Moment, first: Option<Moment>) -> bool {
        let objective = self.job.workspace.objectives.first();
        let allowed = objective.map_or(Span::secs(2), |o| Span::millis(o.first_token_ms));
        first.is_some_and(|first| first.since(began) > allowed)
    }

    pub(super) fn record_burn(&self, target: &Target, bad: bool) {
        let date = self.vm.clock.date();
        let mut burn = self.vm.burn.lock().expect("no panic while held");
        for (i, objective) in self.job.workspace.objectives.iter().enumerate() {
            let fits = objective.kind.as_ref().is_none_or(|kind| *kind == self.job.kind);
            if fits {
                burn.record(&self.job.workspace.name, target, i, objective.good, bad, date);
            }
        }
    }

    pub(super) fn add_bill_part(&mut self, target: &Target, tokens: u32, whole: bool) {
        let price = self.job.snapshot.version(target).map_or(Cost(0), |version| version.cost);
        self.parts.push(Part {
            reason: if whole { Reason::Answer } else { Reason::Broken },
            target: Some(target.clone()),
            tokens,
            cost: price.for_tokens(u64::from(tokens)),
        });
    }

    pub(super) fn trial_key(&self, target: &Target) -> Key {
        let since = self.vm.trial_start(&target.model, self.vm.clock.date());
        Key::Trial { target: target.clone(), since }
    }

    /// Counts an answer under a cascade's key; its rating will count there and in its trial.
    fn count_answer(&self, target: &Target, key: Key) -> Vec<Key> {
        self.vm.record_evidence(key.clone(), Counts { ended: 1, ..Counts::default() });
        vec![self.trial_key(target), key]
    }

    pub(super) fn rate_cheap(&self, target: &Target, bin: usize, rule: &Rule, kept: &[String]) {
        let key = Key::Cheap {
            workspace: self.job.workspace.name.clone(),
            kind: self.job.kind.clone(),
            bin: bin as u8,
        };
        let keys = self.count_answer(target, key);
        let id = format!("{}.cheap", self.job.request);
        let worth = cascade::rating_value(rule, Answer::Cheap(bin));
        if let Ok(id) = id.parse() {
            self.sample_for_rating(target, id, keys, worth, kept.concat());
        }
    }

    pub(super) fn rate_strong(&self, target: &Target, bin: usize, rule: &Rule, kept: &[String]) {
        let key = Key::Strong {
            workspace: self.job.workspace.name.clone(),
            kind: self.job.kind.clone(),
            bin: bin as u8,
        };
        let keys = self.count_answer(target, key);
        let answer = if bin == BINS { Answer::Direct } else { Answer::Climbed };
        let worth = cascade::rating_value(rule, answer);
        self.sample_for_rating(target, self.job.request.clone(), keys, worth, kept.concat());
    }

    /// Has an answer rated: by a roll-out's sampling, or where a rating tells most.
    pub(super) fn sample_for_rating(
        &self,
        target: &Target,
        id: RequestId,
        keys: Vec<Key>,
        worth: f64,
        answer: String,
    ) {
        let rolling = self.job.snapshot.rollout(&target.model);
        let rated = match rolling {
            Some(rollout) => {
                let (new, usual) = *self.vm.sampling_rates.read().expect("no panic while held");
                let chance = if rollout.to == *target { new } else { usual };
                rand::random::<f64>() < chance
            }
            None => self.vm.try_spend_rating(worth, rand::random()),
        };
        if !rated {
            return;
        }
        let subject = Subject { keys, date: self.vm.clock.date() };
        self.vm.pending_samples.lock().expect("no panic while held").insert(id.clone(), subject);
        self.vm.send_command(Command::SubmitSample(Sample {
            vm: self.vm.settings.vm.clone(),
            request: id,
            answer,
        }));
    }

    pub(super) async fn bill(&mut self) -> bool {
        self.record_event("bill");
        let entry = Entry {
            number: 0,
            request: self.job.request.clone(),
            workspace: self.job.workspace.name.clone(),
            date: self.vm.clock.date(),
            parts: std::mem::take(&mut self.parts),
        };
        self.steps.push(format!("billed {} in {} part(s)", entry.cost(), entry.parts.len()));
        let (sender, safe) = oneshot::channel();
        self.vm.send_command(Command::RecordBill(entry, sender));
        safe.await.unwrap_or(false)
    }

    pub(super) fn store_trace(&mut self) {
        let trace = Trace {
            request: self.job.request.clone(),
            workspace: self.job.workspace.name.clone(),
            revision: self.job.snapshot.revision(),
            date: self.vm.clock.date(),
            steps: std::mem::take(&mut self.steps),
        };
        self.vm.traces.lock().expect("no panic while held").record(trace);
    }
}
