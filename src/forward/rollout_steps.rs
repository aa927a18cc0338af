//! Task that writes the next steps of rollouts to the store.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use super::apply::apply_rollout;
use super::backoff::Backoff;
use super::replica::{Phase, Rollout};
use super::rollout_trial::{Basis, RolloutTrial, Verdict};
use super::vm::Vm;
use super::{peer, rate_limit};
use crate::decide::canary::{self, Inputs, Step};
use crate::platform::client::{Client, StoreError};
use crate::platform::object::{self, ROLLOUTS};
use crate::unit::{Moment, Service, Span};

/// Interval between two checks for due steps.
const STEP_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum random delay, in seconds, before a VM writes a step, so that usually only one VM writes
/// it.
const WRITE_JITTER_S: f64 = 0.2;

/// Maximum random delay, in seconds, before a VM that reads the store writes a rollback: a version
/// that was found bad must go out of use nearly at once.
const ROLLBACK_JITTER_S: f64 = 0.05;

/// Delay, in seconds, after which VMs that follow a reader try to write a step. Followers leave
/// steps to the readers, since they see a written step some tenths of a second late.
const FOLLOWER_DELAY_S: f64 = 1.0;

/// Maximum backoff after failed writes. Without backoff 91 VMs sent 50 of them a second to a store
/// that refused them.
const MAX_RETRY_DELAY: Span = Span::millis(1600);

/// Interval at which a VM logs that a promotion waits for answers.
const WAIT_LOG_INTERVAL: Span = Span::secs(1);

/// Retry state of a service after failed writes.
#[derive(Default)]
struct Retry {
    backoff: Backoff,
    /// No step is written before this moment.
    not_before: Moment,
}

/// Writes due steps until the process ends.
pub async fn run(vm: Rc<Vm>) {
    let mut store = vm.store_client();
    let mut retries: HashMap<Service, Retry> = HashMap::new();
    let mut waits_logged: HashMap<Service, Moment> = HashMap::new();
    loop {
        tokio::time::sleep(STEP_CHECK_INTERVAL).await;
        let open: Vec<Service> = {
            let rollouts = vm.rollouts.borrow();
            let is_due = |one: &&Rollout| one.is_open() || one.is_unwritten();
            rollouts.values().filter(is_due).map(|one| one.service.clone()).collect()
        };
        for service in open {
            broadcast_counts(&vm, &service);
            log_wait_for_answers(&vm, &service, &mut waits_logged);
            // Writes wait until the store has recovered.
            if vm.is_store_unavailable() {
                continue;
            }
            if retries.get(&service).is_some_and(|retry| vm.now() < retry.not_before) {
                continue;
            }
            if write_due_step(&vm, &mut store, &service).await {
                retries.remove(&service);
            } else {
                let retry = retries.entry(service).or_default();
                retry.not_before = vm.now() + retry.backoff.next_delay(MAX_RETRY_DELAY);
            }
        }
    }
}

/// Broadcasts this VM's changed counts in a full mesh. Otherwise each VM sends them to the VM that
/// it follows.
fn broadcast_counts(vm: &Rc<Vm>, service: &Service) {
    if !vm.peers.borrow().is_full_mesh() {
        return;
    }
    let changed = vm
        .rollout_trials
        .borrow_mut()
        .get_mut(service)
        .and_then(|trial| trial.take_changed_totals());
    if let Some((version, routes)) = changed {
        peer::broadcast(
            vm,
            &peer::Message::RolloutCounts { service: service.clone(), version, routes },
        );
    }
}

/// Writes the step that is due, if any. Returns true if the store accepted the write or answered
/// with a newer state, or if no step was due. Returns false if the write must be retried.
async fn write_due_step(vm: &Rc<Vm>, store: &mut Client, service: &Service) -> bool {
    let Some(DueStep { phase, .. }) = due_step(vm, service) else { return true };
    let (wait, spread) = match (!vm.is_reader(), phase) {
        (true, _) => (FOLLOWER_DELAY_S, FOLLOWER_DELAY_S / 2.0),
        (false, Phase::RolledBack) => (0.0, ROLLBACK_JITTER_S),
        (false, _) => (0.0, WRITE_JITTER_S),
    };
    tokio::time::sleep(Duration::from_secs_f64(wait + spread * rand::random::<f64>())).await;
    // Another VM may have written the step in the meantime.
    let Some(DueStep { rollout, phase, inputs }) = due_step(vm, service) else { return true };
    let status = object::rollout_status(&rollout, phase);
    let written = store.put_status(ROLLOUTS, service.as_str(), rollout.position, status).await;
    vm.count_store_call("step", &written);
    let name = format!("{phase:?}");
    match written {
        Ok(object) => {
            log_inputs(vm, "roll-out moved", service, ("to", &name), &inputs);
            apply_rollout(vm, &object);
        }
        Err(StoreError::Conflict(Some(object))) => apply_rollout(vm, &object),
        Err(error) => {
            let reason = error.to_string();
            let fields = [
                ("service", service.as_str().into()),
                ("to", name.as_str().into()),
                ("why", reason.as_str().into()),
            ];
            vm.log("roll-out not moved", &fields);
            return false;
        }
    }
    true
}

/// Logs at intervals that the promotion of a service's new version is due and waits for answers.
fn log_wait_for_answers(vm: &Vm, service: &Service, logged: &mut HashMap<Service, Moment>) {
    let now = vm.now();
    let is_recent = |at: &Moment| now.since(*at) < WAIT_LOG_INTERVAL;
    if logged.get(service).is_some_and(is_recent) {
        return;
    }
    let Some((rollout, inputs)) = step_inputs(vm, service, now) else { return };
    if canary::next_step(&inputs) == Step::AwaitAnswers {
        let phase = format!("{:?}", rollout.phase);
        log_inputs(vm, "promotion waits for answers", service, ("phase", &phase), &inputs);
        logged.insert(service.clone(), now);
    }
}

/// Logs a decision on a rollout with its inputs and with what the trial has counted.
fn log_inputs(
    vm: &Vm,
    event: &str,
    service: &Service,
    (key, value): (&str, &str),
    inputs: &Inputs,
) {
    let trials = vm.rollout_trials.borrow();
    let trial = trials.get(service);
    let counts = trial.map(RolloutTrial::describe_counts).unwrap_or_default();
    let fields = [
        ("service", service.as_str().into()),
        (key, value.into()),
        ("age_ms", inputs.order_age.as_millis().into()),
        ("seen", inputs.answers_seen.into()),
        ("evidence", inputs.evidence.into()),
        ("bad", inputs.is_found_bad.into()),
        ("support", inputs.support.into()),
        ("request_rate", inputs.request_rate.into()),
        ("counts", counts.as_str().into()),
        ("sources", trial.map_or(0, RolloutTrial::sources).into()),
    ];
    vm.log(event, &fields);
}

/// A step that is due.
struct DueStep {
    /// The rollout to advance.
    rollout: Rollout,
    /// The phase to write.
    phase: Phase,
    /// Inputs of the decision, for the log.
    inputs: Inputs,
}

/// Returns the rollout of a service that this VM may advance, and the inputs of the decision on its
/// next step.
fn step_inputs(vm: &Vm, service: &Service, now: Moment) -> Option<(Rollout, Inputs)> {
    let rollouts = vm.rollouts.borrow();
    // A position of another era refers to another state of the store, so no write can be based on
    // it.
    let rollout = rollouts.get(service).filter(|one| one.position.era == vm.era.newest())?;
    let trials = vm.rollout_trials.borrow();
    let trial = trials.get(service)?;
    let fleet = vm.fleet.borrow();
    let access = rate_limit::limiter(vm, service, now);
    let new = fleet.eligible(service, now).filter(|one| one.replica.version == rollout.version);
    // A cold server accepts few requests, and sessions that it began could not continue anywhere
    // else.
    let ready = new.filter(|one| !access.is_cold(one)).count();
    let Verdict { seen, evidence } = trial.verdict();
    let Basis { support, request_rate, knows_most_answers } = trial.basis(now);
    let inputs = Inputs {
        phase: rollout.phase,
        order_age: trial.age(now),
        time_limit: rollout.within,
        max_exposure: vm.settings.bounds.max_exposure,
        ready_servers: ready,
        is_found_bad: trial.is_bad(),
        answers_seen: seen,
        evidence,
        support,
        request_rate,
        tolerated_requests: vm.settings.bounds.exposure_tolerance,
        knows_most_answers,
    };
    Some((rollout.clone(), inputs))
}

/// Returns the step that is due for a service, if any.
fn due_step(vm: &Vm, service: &Service) -> Option<DueStep> {
    let (rollout, inputs) = step_inputs(vm, service, vm.now())?;
    let phase = match canary::next_step(&inputs) {
        Step::Hold | Step::AwaitAnswers => rollout.phase.filter(|_| rollout.is_unwritten())?,
        Step::Move(phase) => phase,
    };
    Some(DueStep { rollout, phase, inputs })
}
