//! The task that moves roll-outs on.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use super::apply::apply_rollout;
use super::backoff::Backoff;
use super::replica::{Phase, Rollout};
use super::trial::Verdict;
use super::vm::Vm;
use super::{peer, rate_limit};
use crate::decide::canary::{self, Inputs, Step};
use crate::platform::object::{self, ROLLOUTS};
use crate::platform::objects::{Objects, Trouble};
use crate::unit::{Moment, Service, Span};

/// Time between two looks.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// A VM waits up to this before it writes a step, so that mostly one VM does.
const WRITE_JITTER_S: f64 = 0.2;

/// A step back is written at once by a VM that reads the store and finds the version bad.
const ROLLBACK_JITTER_S: f64 = 0.05;

/// VMs that follow a reader leave steps to those that read, and try after this: they hear of a
/// step some tenths of a second late.
const FOLLOWER_DELAY_S: f64 = 1.0;

/// Longest pause after writes that failed: a store that turns VMs away had 50 of them a second from 91 VMs
/// without pauses.
const MAX_RETRY_PAUSE: Span = Span::millis(1600);

/// When a step of a service may be written again after writes that failed.
#[derive(Default)]
struct Retry {
    pause: Backoff,
    after: Moment,
}

/// Looks for steps that are due until the process ends.
pub async fn run(vm: Rc<Vm>) {
    let mut store = vm.store_client();
    let mut retries: HashMap<Service, Retry> = HashMap::new();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let open: Vec<Service> = {
            let rollouts = vm.rollouts.borrow();
            let is_due = |one: &&Rollout| one.is_open() || one.is_unwritten();
            rollouts.values().filter(is_due).map(|one| one.service.clone()).collect()
        };
        for service in open {
            broadcast_counts(&vm, &service);
            // A write waits for the word that the store is back.
            if vm.is_store_lost() {
                continue;
            }
            if retries.get(&service).is_some_and(|retry| vm.now() < retry.after) {
                continue;
            }
            if write_due_step(&vm, &mut store, &service).await {
                retries.remove(&service);
            } else {
                let retry = retries.entry(service).or_default();
                retry.after = vm.now() + retry.pause.next_delay(MAX_RETRY_PAUSE);
            }
        }
    }
}

/// Tells the others what this VM has seen, if there is more than they know and they are few; of many, each tells the
/// VM that it follows.
fn broadcast_counts(vm: &Rc<Vm>, service: &Service) {
    if !vm.peers.borrow().is_full_mesh() {
        return;
    }
    let news =
        vm.trials.borrow_mut().get_mut(service).and_then(|trial| trial.take_changed_totals());
    if let Some((version, routes)) = news {
        peer::broadcast(
            vm,
            &peer::Message::TrialCounts { service: service.clone(), version, routes },
        );
    }
}

/// Writes the step that is due, if there is one. Whether the store took or answered it.
async fn write_due_step(vm: &Rc<Vm>, store: &mut Objects, service: &Service) -> bool {
    let Some(DueStep { phase, .. }) = due_step(vm, service) else { return true };
    let (wait, spread) = match (!vm.is_reader(), phase) {
        (true, _) => (FOLLOWER_DELAY_S, FOLLOWER_DELAY_S / 2.0),
        (false, Phase::RolledBack) => (0.0, ROLLBACK_JITTER_S),
        (false, _) => (0.0, WRITE_JITTER_S),
    };
    tokio::time::sleep(Duration::from_secs_f64(wait + spread * rand::random::<f64>())).await;
    // Another VM may have written it meanwhile.
    let Some(DueStep { rollout, phase, inputs }) = due_step(vm, service) else { return true };
    let status = object::progress(&rollout, phase);
    let written = store.put_status(ROLLOUTS, service.as_str(), rollout.position, status).await;
    vm.count_store_call("step", &written);
    let name = format!("{phase:?}");
    match written {
        Ok(object) => {
            let fields = [
                ("service", service.as_str().into()),
                ("to", name.as_str().into()),
                ("age_ms", inputs.age.as_millis().into()),
                ("seen", inputs.seen.into()),
                ("evidence", inputs.evidence.into()),
                ("bad", inputs.bad.into()),
            ];
            vm.log("roll-out moved", &fields);
            apply_rollout(vm, &object);
        }
        Err(Trouble::Conflict(Some(object))) => apply_rollout(vm, &object),
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

/// A step that is due.
struct DueStep {
    /// The order as it is known.
    rollout: Rollout,
    /// The phase to write.
    phase: Phase,
    /// What decided it.
    inputs: Inputs,
}

/// The step that is due for a service, if any.
fn due_step(vm: &Vm, service: &Service) -> Option<DueStep> {
    let now = vm.now();
    let rollouts = vm.rollouts.borrow();
    // The revision of another era would name another state.
    let rollout = rollouts.get(service).filter(|one| one.position.era == vm.era.newest())?;
    let trials = vm.trials.borrow();
    let trial = trials.get(service)?;
    let fleet = vm.fleet.borrow();
    let access = rate_limit::limiter(vm, service, now);
    let new = fleet.eligible(service, now).filter(|one| one.replica.version == rollout.version);
    // A cold server takes few requests, and sessions that it began would have nowhere to go on.
    let ready = new.filter(|one| !access.is_cold(one)).count();
    let Verdict { seen, evidence } = trial.verdict();
    let inputs = Inputs {
        phase: rollout.phase,
        age: trial.age(now),
        within: rollout.within,
        exposure: vm.settings.bounds.max_exposure,
        ready,
        bad: trial.is_bad(),
        seen,
        evidence,
    };
    let phase = match canary::next_step(&inputs) {
        Step::Hold => rollout.phase.filter(|_| rollout.is_unwritten())?,
        Step::Move(phase) => phase,
    };
    Some(DueStep { rollout: rollout.clone(), phase, inputs })
}
