//! Steps the roll-outs that this VM is responsible for: has servers load the new version, then
//! changes its share of traffic as [`crate::decide::rollout`] decides.

use std::collections::HashMap;

use super::{BASELINE_WINDOWS, STEP_INTERVAL, arm_counts, is_responsible};
use crate::config::{Change, Plan, Rollout, Snapshot};
use crate::decide::rollout::{self, Action, Inputs};
use crate::decide::sequential::Count;
use crate::engine::wire::Order;
use crate::evidence::Key;
use crate::operator::{Confirmation, confirm};
use crate::unit::{Date, Span, Target, TrafficShare};
use crate::vm::config_watch;
use crate::vm::control::Control;
use crate::vm::state::TRIAL_WINDOW_US;

/// Weight of the latest request rate in the moving average.
const SMOOTHING_FACTOR: f64 = 0.2;

/// State kept between two steps of a roll-out; a VM that becomes responsible for a roll-out starts
/// without it.
#[derive(Default)]
struct StepState {
    /// Number of ratings of both versions.
    rated: u64,
    /// When the number of ratings last grew.
    rated_at: Date,
    /// Number of ended requests of both versions at the last step.
    ended: u64,
    /// Time of the last step.
    ended_at: Date,
    /// Requests per second of both versions, as a moving average.
    request_rate: f64,
}

/// Steps the roll-outs that this VM is responsible for at each interval, until the process ends.
pub async fn step_rollouts(control: Control) {
    let mut states: HashMap<Target, StepState> = HashMap::new();
    loop {
        tokio::time::sleep(STEP_INTERVAL).await;
        let snapshot = control.vm.config();
        for rollout in snapshot.root.rollouts.clone() {
            if !is_responsible(&control, &rollout.to.model) {
                states.remove(&rollout.to);
                continue;
            }
            let state = states.entry(rollout.to.clone()).or_default();
            step(&control, &snapshot, &rollout, state).await;
        }
    }
}

/// Performs the next step of one roll-out, if it is due.
async fn step(control: &Control, snapshot: &Snapshot, rollout: &Rollout, state: &mut StepState) {
    if rollout.state == "loading" {
        if load_on_servers(control, snapshot, rollout).await {
            let no_share = (TrafficShare(0), false);
            write_step(control, snapshot, rollout, "loaded", no_share, "all its servers have it")
                .await;
        }
        return;
    }
    let inputs = collect_inputs(control, snapshot, rollout, state);
    let policy = &control.vm.settings.rollout;
    let (event, share, reason) = match rollout::next_step(policy, &inputs) {
        // Sessions may be admitted or excluded without a change of share.
        Action::Stay
            if rollout.accepts_new_sessions != rollout::admits_sessions(policy, &inputs) =>
        {
            ("grow", rollout.share, "sessions".to_owned())
        }
        Action::Stay => return,
        Action::Grow(share, reason) => ("grow", share, reason),
        Action::Shrink(share, reason) => ("shrink", share, reason),
        Action::Hold(share, reason) => ("hold", share, reason),
        Action::Resume(reason) => ("resume", rollout.share, reason),
        Action::Complete(reason) => ("complete", TrafficShare::ALL, reason),
        Action::Withdraw(reason) => ("withdraw", TrafficShare(0), reason),
    };
    if rollout.state == "held" && event == "grow" {
        return;
    }
    let accepts_new_sessions = rollout::admits_sessions(policy, &inputs);
    write_step(control, snapshot, rollout, event, (share, accepts_new_sessions), &reason).await;
}

/// Writes a step of a rollout to the store and reads the configuration again.
async fn write_step(
    control: &Control,
    snapshot: &Snapshot,
    rollout: &Rollout,
    event: &str,
    (share, accepts_new_sessions): (TrafficShare, bool),
    reason: &str,
) {
    let descriptions = vec![format!("roll-out of {}: {event} to {share}: {reason}", rollout.to)];
    let step = Change::Step {
        model: rollout.to.model.clone(),
        event: event.to_owned(),
        share,
        accepts_new_sessions,
        reason: reason.to_owned(),
    };
    let plan = Plan::new(snapshot.revision(), vec![step], descriptions.clone(), Vec::new());
    let who = control.vm.settings.vm.to_string();
    let date = control.vm.clock.date();
    match confirm(&control.store, &plan, &who, date).await {
        Ok(Confirmation::Applied(revision) | Confirmation::AlreadyApplied(revision)) => {
            log::info!("{who} revision {revision}: {}", descriptions[0]);
        }
        // Another VM or an operator changed the configuration first; the next step starts from
        // that.
        Err(error) => log::debug!("rollout step not written: {error}"),
    }
    let _ = config_watch::read_root(control).await;
}

/// Orders servers to load the version, one at a time to limit the load on the weight store.
///
/// Returns true once all servers have loaded it.
async fn load_on_servers(control: &Control, snapshot: &Snapshot, rollout: &Rollout) -> bool {
    for server in snapshot.servers_of(&rollout.to) {
        let loaded = {
            let fleet = control.vm.fleet.lock().expect("no panic while held");
            fleet.has_loaded(&server.name, &rollout.to)
        };
        if loaded {
            continue;
        }
        // A server that does not check the fence (revision) of orders gets an order only from the
        // responsible VM.
        if !server.checks_orders && !is_responsible(control, &rollout.to.model) {
            return false;
        }
        let order = Order { fence: snapshot.revision(), load: rollout.to.clone() };
        if !control.engines.order(server.address, &order).await {
            return false;
        }
        super::probe_server(control, &server.name).await;
    }
    true
}

/// Returns the inputs of the decision, from the evidence of all VMs, and updates `state`.
fn collect_inputs(
    control: &Control,
    snapshot: &Snapshot,
    rollout: &Rollout,
    state: &mut StepState,
) -> Inputs {
    let date = control.vm.clock.date();
    let from = Target { model: rollout.to.model.clone(), version: rollout.from.clone() };
    let trial = |target: &Target| Key::Trial { target: target.clone(), since: rollout.begun.0 };
    let (new, old) = control
        .with_gossip(|g| (g.evidence.sum(&trial(&rollout.to)), g.evidence.sum(&trial(&from))));
    let rated = new.rated + old.rated;
    if rated != state.rated || state.rated_at == Date(0) {
        state.rated = rated;
        state.rated_at = date;
    }
    let ended = new.ended + old.ended;
    let since = date.since(state.ended_at).as_secs();
    if state.ended_at == Date(0) {
        let age = date.since(rollout.begun).as_secs().max(1.0);
        state.request_rate = ended as f64 / age;
    } else if since > 0.0 {
        let recent = ended.saturating_sub(state.ended) as f64 / since;
        state.request_rate += SMOOTHING_FACTOR * (recent - state.request_rate);
    }
    state.ended = ended;
    state.ended_at = date;
    let lag = control.vm.pending_samples.lock().expect("no panic while held").mean_lag();
    let declared = snapshot.version(&from).map_or(0.9, |version| version.quality);
    Inputs {
        new: arm_counts(new),
        old: arm_counts(old),
        earlier_ratings: ratings_before(control, &from, rollout.begun.0),
        share: rollout.share,
        is_held: rollout.state == "held",
        time_at_share: date.since(rollout.since),
        request_rate: state.request_rate,
        // The ratings and the step itself take time to reach all VMs.
        rating_lag: Span(lag.0 + Span::millis(1500).0),
        time_since_rating: date.since(state.rated_at),
        declared_poor_share: 1.0 - declared,
    }
}

/// Returns the ratings of a version in the time windows before a roll-out began.
fn ratings_before(control: &Control, from: &Target, rollout_start: u64) -> Count {
    let oldest = rollout_start.saturating_sub(BASELINE_WINDOWS * TRIAL_WINDOW_US);
    let earlier = |key: &Key| match key {
        Key::Trial { target, since } => target == from && (oldest..rollout_start).contains(since),
        _ => false,
    };
    let sums = control.with_gossip(|g| g.evidence.sums(earlier));
    let ratings = sums.values().map(|counts| Count::of(counts.rated, counts.poor));
    ratings.fold(Count::default(), Count::plus)
}
