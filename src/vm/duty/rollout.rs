//! Steps the roll-outs that fall to this VM.

use std::collections::HashMap;

use super::{STEP_EVERY, WINDOWS_KEPT, arm, is_mine};
use crate::config::{Change, Plan, Rollout, Snapshot};
use crate::decide::rollout::{self, Action, Inputs};
use crate::decide::sequential::Count;
use crate::engine::wire::Order;
use crate::evidence::Key;
use crate::operator::{Confirmed, confirm};
use crate::unit::{Date, Span, Target, TrafficShare};
use crate::vm::control::Control;
use crate::vm::spread;
use crate::vm::state::WINDOW;

/// Weight of the latest rate in the usual one.
const LATEST: f64 = 0.2;

/// What a stepper remembers between two steps; another VM that takes over does without.
#[derive(Default)]
struct Memory {
    rated: u64,
    rated_at: Date,
    ended: u64,
    ended_at: Date,
    rate: f64,
}

/// Steps the roll-outs that fall to this VM.
pub async fn step_rollouts(control: Control) {
    let mut memories: HashMap<Target, Memory> = HashMap::new();
    loop {
        tokio::time::sleep(STEP_EVERY).await;
        let snapshot = control.vm.config();
        for rollout in snapshot.root.rollouts.clone() {
            if !is_mine(&control, &rollout.to.model) {
                memories.remove(&rollout.to);
                continue;
            }
            let memory = memories.entry(rollout.to.clone()).or_default();
            step(&control, &snapshot, &rollout, memory).await;
        }
    }
}

async fn step(control: &Control, snapshot: &Snapshot, rollout: &Rollout, memory: &mut Memory) {
    if rollout.state == "loading" {
        if load_ahead(control, snapshot, rollout).await {
            let nothing = (TrafficShare(0), false);
            change(control, snapshot, rollout, "loaded", nothing, "all its servers have it").await;
        }
        return;
    }
    let view = view(control, snapshot, rollout, memory);
    let policy = &control.vm.settings.rollout;
    let (event, share, reason) = match rollout::decide(policy, &view) {
        // Sessions may be let in, or kept out, without a change of share.
        Action::Stay if rollout.sessions != rollout::takes_sessions(policy, &view) => {
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
    let sessions = rollout::takes_sessions(policy, &view);
    change(control, snapshot, rollout, event, (share, sessions), &reason).await;
}

async fn change(
    control: &Control,
    snapshot: &Snapshot,
    rollout: &Rollout,
    event: &str,
    (share, sessions): (TrafficShare, bool),
    reason: &str,
) {
    let words = vec![format!("roll-out of {}: {event} to {share}: {reason}", rollout.to)];
    let step = Change::Step {
        model: rollout.to.model.clone(),
        event: event.to_owned(),
        share,
        sessions,
        reason: reason.to_owned(),
    };
    let plan = Plan::new(snapshot.revision(), vec![step], words.clone(), Vec::new());
    let who = control.vm.settings.vm.to_string();
    let date = control.vm.clock.date();
    match confirm(&control.store, &plan, &who, date).await {
        Ok(Confirmed::Now(revision) | Confirmed::Before(revision)) => {
            log::info!("{who} revision {revision}: {}", words[0]);
        }
        // Another VM or an operator was first; the next look sees what they did.
        Err(fault) => log::debug!("{fault}"),
    }
    let _ = spread::read_root(control).await;
}

/// Orders the next server to load the version, one at a time to spare the weight store.
async fn load_ahead(control: &Control, snapshot: &Snapshot, rollout: &Rollout) -> bool {
    for server in snapshot.servers_of(&rollout.to) {
        let loaded = {
            let fleet = control.vm.fleet.lock().expect("no panic while held");
            fleet.has_loaded(&server.name, &rollout.to)
        };
        if loaded {
            continue;
        }
        // A server that does not check orders gets one only from a VM whose duty is sure.
        if !server.checks_orders && !is_mine(control, &rollout.to.model) {
            return false;
        }
        let order = Order { fence: snapshot.revision(), load: rollout.to.clone() };
        if !control.engines.order(server.address, &order).await {
            return false;
        }
        super::look(control, &server.name).await;
    }
    true
}

fn view(control: &Control, snapshot: &Snapshot, rollout: &Rollout, memory: &mut Memory) -> Inputs {
    let date = control.vm.clock.date();
    let from = Target { model: rollout.to.model.clone(), version: rollout.from.clone() };
    let trial = |target: &Target| Key::Trial { target: target.clone(), since: rollout.begun.0 };
    let (new, old) =
        control.gossip(|g| (g.evidence.sum(&trial(&rollout.to)), g.evidence.sum(&trial(&from))));
    let rated = new.rated + old.rated;
    if rated != memory.rated || memory.rated_at == Date(0) {
        memory.rated = rated;
        memory.rated_at = date;
    }
    let ended = new.ended + old.ended;
    let since = date.since(memory.ended_at).as_secs();
    if memory.ended_at == Date(0) {
        let age = date.since(rollout.begun).as_secs().max(1.0);
        memory.rate = ended as f64 / age;
    } else if since > 0.0 {
        let recent = ended.saturating_sub(memory.ended) as f64 / since;
        memory.rate += LATEST * (recent - memory.rate);
    }
    memory.ended = ended;
    memory.ended_at = date;
    let lag = control.vm.waiting.lock().expect("no panic while held").lag();
    let declared = snapshot.version(&from).map_or(0.9, |version| version.quality);
    Inputs {
        new: arm(new),
        old: arm(old),
        earlier: before(control, &from, rollout.begun.0),
        share: rollout.share,
        held: rollout.state == "held",
        at_share: date.since(rollout.since),
        rate: memory.rate,
        // Evidence and the step itself need a moment to travel.
        lag: Span(lag.0 + Span::millis(1500).0),
        since_rating: date.since(memory.rated_at),
        prior: 1.0 - declared,
    }
}

/// Ratings of a version in the windows before a roll-out began.
fn before(control: &Control, from: &Target, begun: u64) -> Count {
    let oldest = begun.saturating_sub(WINDOWS_KEPT * WINDOW);
    let earlier = |key: &Key| match key {
        Key::Trial { target, since } => target == from && (oldest..begun).contains(since),
        _ => false,
    };
    let sums = control.gossip(|g| g.evidence.sums(earlier));
    let ratings = sums.values().map(|tally| Count::of(tally.rated, tally.poor));
    ratings.fold(Count::default(), Count::plus)
}
