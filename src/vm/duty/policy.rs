//! Updates the rules of cascades, the shares of rate limits and the sampling rates of ratings from
//! evidence.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use super::BASELINE_WINDOWS;
use crate::config::{Snapshot, VersionEntry};
use crate::decide::cascade::{self, Observations, Rungs};
use crate::decide::{limit, rollout};
use crate::evidence::{Counts, Key};
use crate::unit::{Kind, Model, Rate, Target, Workspace};
use crate::vm::control::Control;
use crate::vm::state::TRIAL_WINDOW_US;

/// Time between two updates of the policies.
const UPDATE_INTERVAL: Duration = Duration::from_millis(500);

/// Updates the policies of this VM at each interval until the process ends.
pub async fn update_policies(control: Control) {
    let mut demand: BTreeMap<Workspace, (u64, u64, f64, f64)> = BTreeMap::new();
    let mut cascades: HashMap<Workspace, CascadeState> = HashMap::new();
    loop {
        tokio::time::sleep(UPDATE_INTERVAL).await;
        let snapshot = control.vm.config();
        update_cascade_rules(&control, &snapshot, &mut cascades);
        update_rate_shares(&control, &snapshot, &mut demand);
        update_sampling_rates(&control, &snapshot);
        remove_old_trials(&control, &snapshot);
    }
}

/// State of the cascades of one workspace: the sums of evidence read last, and the decayed
/// observations made from the growth of these sums.
#[derive(Default)]
struct CascadeState {
    last_sums: BTreeMap<Key, Counts>,
    observations: BTreeMap<Kind, Observations>,
    detectors: BTreeMap<Kind, cascade::DriftDetector>,
}

/// Updates the rules of the cascades of all workspaces from the evidence.
fn update_cascade_rules(
    control: &Control,
    snapshot: &Snapshot,
    cascades: &mut HashMap<Workspace, CascadeState>,
) {
    for workspace in &snapshot.declared.workspaces {
        if workspace.cascades.is_empty() {
            continue;
        }
        let state = cascades.entry(workspace.name.clone()).or_default();
        update_observations(control, &workspace.name, state);
        for declared in &workspace.cascades {
            let Some(rungs) = cascade_rungs(snapshot, &declared.rungs) else { continue };
            let observations: Vec<Observations> = state.observations.values().cloned().collect();
            let rules = cascade::solve_rules(&observations, &rungs, declared.target);
            let mut installed = control.vm.cascade_rules.write().expect("no panic while held");
            for (kind, rule) in state.observations.keys().zip(rules) {
                installed.insert((workspace.name.clone(), kind.clone()), rule);
            }
        }
    }
}

/// Returns the cost and quality of the first and the last rung (model) of a cascade, for an answer
/// of 1000 tokens.
///
/// Returns none if one of the two models has no version in service.
pub fn cascade_rungs(snapshot: &Snapshot, models: &[Model]) -> Option<Rungs> {
    let entry = |model: &Model| -> Option<VersionEntry> {
        let version = snapshot.serving(model)?;
        snapshot.version(&Target { model: model.clone(), version }).cloned()
    };
    let cheap = entry(models.first()?)?;
    let strong = entry(models.last()?)?;
    Some(Rungs {
        cheap_cost: cheap.cost.0 as f64,
        strong_cost: strong.cost.0 as f64,
        cheap_quality: cheap.quality,
        strong_quality: strong.quality,
    })
}

/// Adds the growth of the evidence since the last call to the observations of each kind of work, in
/// which older ratings decay.
fn update_observations(control: &Control, workspace: &Workspace, state: &mut CascadeState) {
    let of_workspace = |key: &Key| match key {
        Key::Cheap { workspace: w, .. } | Key::Strong { workspace: w, .. } => w == workspace,
        _ => false,
    };
    let sums = control.with_gossip(|g| g.evidence.sums(of_workspace));
    for (key, sum) in &sums {
        let before = state.last_sums.get(key).copied().unwrap_or_default();
        let ended = sum.ended.saturating_sub(before.ended) as f64;
        let rated = sum.rated.saturating_sub(before.rated);
        let poor = sum.poor.saturating_sub(before.poor);
        let (Key::Cheap { kind, bin, .. } | Key::Strong { kind, bin, .. }) = key else { continue };
        let bin = usize::from(*bin).min(cascade::CONFIDENCE_BINS);
        let observed = state.observations.entry(kind.clone()).or_default();
        observed.decay(cascade::RATING_DECAY.powf(rated as f64));
        let ratings = match key {
            Key::Cheap { .. } => {
                observed.requests += ended;
                observed.confidence_counts[bin.min(cascade::CONFIDENCE_BINS - 1)] += ended;
                &mut observed.cheap[bin.min(cascade::CONFIDENCE_BINS - 1)]
            }
            _ if bin < cascade::CONFIDENCE_BINS => &mut observed.strong[bin],
            _ => {
                observed.requests += ended;
                &mut observed.direct
            }
        };
        // Of the new ratings, `poor` count as not passed, in any order.
        for i in 0..rated {
            ratings.add(i >= poor);
        }
        if !matches!(key, Key::Cheap { .. }) || state.last_sums.is_empty() {
            continue;
        }
        let rules = control.vm.cascade_rules.read().expect("no panic while held");
        let rule = rules.get(&(workspace.clone(), kind.clone()));
        let expected =
            rule.map_or(0.0, |rule| rule.cheap_pass_rate[bin.min(cascade::CONFIDENCE_BINS - 1)]);
        let detector = state.detectors.entry(kind.clone()).or_default();
        let alarms = (0..rated).filter(|i| expected > 0.0 && detector.record(expected, *i >= poor));
        if alarms.count() > 0 {
            observed.discount();
        }
    }
    state.last_sums = sums;
}

/// Updates this VM's share of each workspace's rate limit from the demand at this VM and at all
/// VMs. `demand` holds per workspace: the requests counted at the last call, at this VM and at all
/// VMs, and the decayed sums of both.
fn update_rate_shares(
    control: &Control,
    snapshot: &Snapshot,
    demand: &mut BTreeMap<Workspace, (u64, u64, f64, f64)>,
) {
    let origin = control.vm.origin();
    let vms = control.other_vms().len() + 1;
    for workspace in &snapshot.declared.workspaces {
        let key = Key::Demand { workspace: workspace.name.clone() };
        let (own, all) = control.with_gossip(|g| {
            (g.evidence.own_counts(&origin, &key).ended, g.evidence.sum(&key).ended)
        });
        let known = demand.entry(workspace.name.clone()).or_default();
        // The decay makes recent demand count: a VM that was busy an hour ago needs no share now.
        known.2 = known.2 * 0.9 + own.saturating_sub(known.0) as f64;
        known.3 = known.3 * 0.9 + all.saturating_sub(known.1) as f64;
        known.0 = own;
        known.1 = all;
        let share: Rate = limit::local_share(workspace.limit, known.2, known.3, vms);
        let mut shares = control.vm.rate_shares.write().expect("no panic while held");
        shares.insert(workspace.name.clone(), share);
    }
}

/// Updates the probabilities with which answers of the new and of other versions are rated during a
/// roll-out.
fn update_sampling_rates(control: &Control, snapshot: &Snapshot) {
    let usual = control.vm.settings.rated_share;
    let rollout = snapshot.root.rollouts.iter().max_by_key(|rollout| rollout.share);
    let rates = match rollout {
        Some(rollout) => {
            let key = Key::Trial { target: rollout.to.clone(), since: rollout.begun.0 };
            let rated = control.with_gossip(|g| g.evidence.sum(&key).rated);
            rollout::rating_shares(rollout.share, 1.0, usual, rated as f64)
        }
        None => (usual, usual),
    };
    *control.vm.sampling_rates.write().expect("no panic while held") = rates;
}

/// Removes the evidence of trials (roll-outs and time windows) that no decision uses any more.
fn remove_old_trials(control: &Control, snapshot: &Snapshot) {
    let date = control.vm.clock.date();
    let oldest = date.0.saturating_sub((BASELINE_WINDOWS + 1) * TRIAL_WINDOW_US);
    let running: Vec<u64> = snapshot.root.rollouts.iter().map(|r| r.begun.0).collect();
    control.with_gossip(|g| {
        g.evidence.remove_where(|key| match key {
            Key::Trial { since, .. } => *since < oldest && !running.contains(since),
            _ => false,
        });
    });
}
