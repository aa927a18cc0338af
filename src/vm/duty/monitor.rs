//! Withdraws versions whose quality falls while they are in service.

use super::{BASELINE_WINDOWS, STEP_INTERVAL, arm_counts, is_responsible};
use crate::config::{Change, Plan, Snapshot};
use crate::decide::sequential;
use crate::evidence::{Counts, Key};
use crate::operator::confirm;
use crate::unit::Target;
use crate::vm::config_watch;
use crate::vm::control::Control;
use crate::vm::state::TRIAL_WINDOW_US;

/// Compares the ratings of each version in service in the current time window with those in the
/// windows before. Withdraws the version if its ratings became worse and there is a previous
/// version to return to.
pub async fn monitor_versions(control: Control) {
    loop {
        tokio::time::sleep(STEP_INTERVAL).await;
        let snapshot = control.vm.config();
        let date = control.vm.clock.date();
        for model in &snapshot.declared.models {
            let Some(version) = snapshot.serving(&model.name) else {
                continue;
            };
            let target = Target { model: model.name.clone(), version };
            let previous_version = snapshot.root.previous.get(&model.name);
            let usable = previous_version.is_some_and(|version| {
                let previous = Target { model: model.name.clone(), version: version.clone() };
                !snapshot.root.withdrawn.contains(&previous)
            });
            // Without a previous version to return to, only the error budget report shows the fault
            // to operators.
            if !usable || snapshot.rollout(&model.name).is_some() {
                continue;
            }
            if !is_responsible(&control, &model.name) {
                continue;
            }
            let window = date.0 / TRIAL_WINDOW_US * TRIAL_WINDOW_US;
            let (now, before) = ratings_by_window(&control, &target, window);
            let usual = arm_counts(before).poor;
            if usual.all < 50.0 {
                continue;
            }
            let rate = usual.rate(0.1);
            let spread = (rate * (1.0 - rate) / usual.all).sqrt();
            let policy = &control.vm.settings.rollout;
            let limit = rate + 2.0 * spread + policy.tolerance;
            let evidence = sequential::evidence(arm_counts(now).poor, limit);
            // There are many windows a day, so the test of each may err a hundred times less often
            // than that of a roll-out.
            if evidence >= (100.0 / policy.alpha).ln() {
                withdraw(&control, &snapshot, &target, now).await;
            }
        }
    }
}

/// Returns the ratings of a version in the time window that starts at `window`, and in the baseline
/// windows before.
fn ratings_by_window(control: &Control, target: &Target, window: u64) -> (Counts, Counts) {
    control.with_gossip(|g| {
        let oldest = window.saturating_sub(BASELINE_WINDOWS * TRIAL_WINDOW_US);
        let of_target = g.evidence.sums(
            |key| matches!(key, Key::Trial { target: t, since } if t == target && *since >= oldest),
        );
        let mut now = Counts::default();
        let mut before = Counts::default();
        for (key, counts) in of_target {
            let Key::Trial { since, .. } = key else {
                continue;
            };
            let sum = if since == window { &mut now } else { &mut before };
            sum.rated += counts.rated;
            sum.poor += counts.poor;
        }
        (now, before)
    })
}

/// Withdraws a version through a change of the configuration in the store, with its ratings of the
/// current window as the reason.
async fn withdraw(control: &Control, snapshot: &Snapshot, target: &Target, now: Counts) {
    let reason =
        format!("its ratings became worse in service: {} of {} are poor", now.poor, now.rated);
    let descriptions = vec![format!("withdraw {target}: {reason}")];
    let change = Change::Withdraw { target: target.clone(), reason };
    let plan = Plan::new(snapshot.revision(), vec![change], descriptions.clone(), Vec::new());
    let who = control.vm.settings.vm.to_string();
    let date = control.vm.clock.date();
    if confirm(&control.store, &plan, &who, date).await.is_ok() {
        log::warn!("{who} {}", descriptions[0]);
        let _ = config_watch::read_root(control).await;
    }
}
