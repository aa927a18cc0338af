//! Watches versions long in service.

use super::{STEP_EVERY, WINDOWS_KEPT, arm, is_mine};
use crate::config::{Change, Plan, Snapshot};
use crate::decide::sequential;
use crate::evidence::{Counts, Key};
use crate::operator::confirm;
use crate::unit::Target;
use crate::vm::control::Control;
use crate::vm::spread;
use crate::vm::state::WINDOW;

/// Watches versions long in service: the present window against the ones before.
pub async fn watch_service(control: Control) {
    loop {
        tokio::time::sleep(STEP_EVERY).await;
        let snapshot = control.vm.config();
        let date = control.vm.clock.date();
        for model in &snapshot.declared.models {
            let Some(version) = snapshot.serving(&model.name) else {
                continue;
            };
            let target = Target { model: model.name.clone(), version };
            let fall_back = snapshot.root.previous.get(&model.name);
            let usable = fall_back.is_some_and(|version| {
                let previous = Target { model: model.name.clone(), version: version.clone() };
                !snapshot.root.withdrawn.contains(&previous)
            });
            // Without a version to fall back on, operators are told by the burn report.
            if !usable || snapshot.rollout(&model.name).is_some() {
                continue;
            }
            if !is_mine(&control, &model.name) {
                continue;
            }
            let window = date.0 / WINDOW * WINDOW;
            let (now, before) = windows(&control, &target, window);
            let usual = arm(before).poor;
            if usual.all < 50.0 {
                continue;
            }
            let rate = usual.rate(0.1);
            let spread = (rate * (1.0 - rate) / usual.all).sqrt();
            let policy = &control.vm.settings.rollout;
            let limit = rate + 2.0 * spread + policy.tolerance;
            let evidence = sequential::evidence(arm(now).poor, limit);
            // Windows come and go all day, so each may err a hundred times less often.
            if evidence >= (100.0 / policy.alpha).ln() {
                withdraw(&control, &snapshot, &target, now).await;
            }
        }
    }
}

fn windows(control: &Control, target: &Target, window: u64) -> (Counts, Counts) {
    control.gossip(|g| {
        let oldest = window.saturating_sub(WINDOWS_KEPT * WINDOW);
        let of_target = g.evidence.sums(
            |key| matches!(key, Key::Trial { target: t, since } if t == target && *since >= oldest),
        );
        let mut now = Counts::default();
        let mut before = Counts::default();
        for (key, tally) in of_target {
            let Key::Trial { since, .. } = key else {
                continue;
            };
            let sum = if since == window { &mut now } else { &mut before };
            sum.rated += tally.rated;
            sum.poor += tally.poor;
        }
        (now, before)
    })
}

async fn withdraw(control: &Control, snapshot: &Snapshot, target: &Target, now: Counts) {
    let reason = format!("it turned bad in service: {} of {} rated poor", now.poor, now.rated);
    let words = vec![format!("withdraw {target}: {reason}")];
    let change = Change::Withdraw { target: target.clone(), reason };
    let plan = Plan::new(snapshot.revision(), vec![change], words.clone(), Vec::new());
    let who = control.vm.settings.vm.to_string();
    let date = control.vm.clock.date();
    if confirm(&control.store, &plan, &who, date).await.is_ok() {
        log::warn!("{who} {}", words[0]);
        let _ = spread::read_root(control).await;
    }
}
