//! Duties in the background: looking at servers, stepping roll-outs, learning rules and parts.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use super::control::Control;
use super::spread;
use crate::config::{Change, Plan, Rollout, Snapshot, VersionEntry};
use crate::decide::cascade::{self, Belief, Rungs};
use crate::decide::limit;
use crate::decide::rollout::{self, Arm, Move, View};
use crate::decide::sequential::Count;
use crate::engine::wire::Order;
use crate::evidence::{Key, Tally};
use crate::operator::{Confirmed, confirm};
use crate::peer::ranked;
use crate::unit::{Date, Kind, Model, Parts, Rate, Server, Span, Target, Workspace};

/// Servers that are looked at in one round at most.
const LOOKS: usize = 32;

/// Time between two rounds of looks at servers.
const LOOK_EVERY: Duration = Duration::from_millis(500);

/// Time between two looks at roll-outs.
const STEP_EVERY: Duration = Duration::from_millis(500);

/// Time between two solutions of cascades, limits' parts and sampling.
const LEARN_EVERY: Duration = Duration::from_millis(500);

/// Windows of a version in service that its next is compared with.
const WINDOWS_KEPT: u64 = 12;

/// Weight of the latest rate in the usual one.
const LATEST: f64 = 0.2;

/// Asks one server for its load.
pub async fn look(control: &Control, server: &Server) {
    let address = control.vm.fleet.lock().expect("no panic while held").address(server);
    let Some(address) = address else { return };
    let load = control.engines.load(address).await;
    let now = control.vm.clock.now();
    let mut fleet = control.vm.fleet.lock().expect("no panic while held");
    match load {
        Some(load) => fleet.report(server, load, now),
        None => fleet.failed(server, now),
    }
}

/// Servers that a VM looks at in one round, of so many.
///
/// With few servers it is all of them. With many it is fewer and fewer: load is told with each
/// answer and each refusal too, and looking must not grow with servers times VMs.
fn looks(servers: usize) -> usize {
    (LOOKS * LOOKS / servers.max(1)).clamp(1, LOOKS)
}

/// Asks servers for their load in turn, again and again.
pub async fn look_in_turn(control: Control) {
    let mut turn = 0;
    loop {
        let snapshot = control.vm.config();
        let engines = snapshot.declared.servers.iter();
        let engines = engines.filter(|s| s.kind == crate::config::ServerKind::Engine);
        let names: Vec<Server> = engines.map(|server| server.name.clone()).collect();
        let round = looks(names.len()).min(names.len());
        let chosen = names.iter().cycle().skip(turn % names.len().max(1)).take(round);
        futures_util::future::join_all(chosen.map(|name| look(&control, name))).await;
        turn = turn.wrapping_add(round);
        tokio::time::sleep(LOOK_EVERY).await;
    }
}

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

fn is_mine(control: &Control, model: &Model) -> bool {
    let now = control.vm.clock.now();
    let me = &control.vm.settings.vm;
    let duty = format!("rollout/{model}");
    control.vm.may_start(now)
        && control.gossip(|g| {
            let order = ranked(&duty, g.present().map(|member| &member.vm));
            order.first().is_some_and(|first| *first == me)
        })
}

async fn step(control: &Control, snapshot: &Snapshot, rollout: &Rollout, memory: &mut Memory) {
    if rollout.state == "loading" {
        if load_ahead(control, snapshot, rollout).await {
            let nothing = (Parts(0), false);
            change(control, snapshot, rollout, "loaded", nothing, "all its servers have it").await;
        }
        return;
    }
    let view = view(control, snapshot, rollout, memory);
    let policy = &control.vm.settings.rollout;
    let (event, share, reason) = match rollout::decide(policy, &view) {
        // Sessions may be let in, or kept out, without a change of share.
        Move::Stay if rollout.sessions != rollout::takes_sessions(policy, &view) => {
            ("grow", rollout.share, "sessions".to_owned())
        }
        Move::Stay => return,
        Move::Grow(share, reason) => ("grow", share, reason),
        Move::Shrink(share, reason) => ("shrink", share, reason),
        Move::Hold(share, reason) => ("hold", share, reason),
        Move::Resume(reason) => ("resume", rollout.share, reason),
        Move::Complete(reason) => ("complete", Parts::ALL, reason),
        Move::Withdraw(reason) => ("withdraw", Parts(0), reason),
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
    (share, sessions): (Parts, bool),
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
        look(control, &server.name).await;
    }
    true
}

fn arm(tally: Tally) -> Arm {
    Arm {
        errors: Count::of(tally.ended, tally.failed),
        slow: Count::of(tally.ended, tally.slow),
        poor: Count::of(tally.rated, tally.poor),
    }
}

fn view(control: &Control, snapshot: &Snapshot, rollout: &Rollout, memory: &mut Memory) -> View {
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
    View {
        new: arm(new),
        old: arm(old),
        before: before(control, &from, rollout.begun.0),
        share: rollout.share,
        held: rollout.state == "held",
        at_share: date.since(rollout.since),
        rate: memory.rate,
        // Evidence and the step itself need a moment to travel.
        lag: Span(lag.0 + Span::millis(1500).0),
        silent: date.since(memory.rated_at),
        prior: 1.0 - declared,
    }
}

/// Ratings of a version in the windows before a roll-out began.
fn before(control: &Control, from: &Target, begun: u64) -> Count {
    let oldest = begun.saturating_sub(WINDOWS_KEPT * super::state::WINDOW);
    let earlier = |key: &Key| match key {
        Key::Trial { target, since } => target == from && (oldest..begun).contains(since),
        _ => false,
    };
    let sums = control.gossip(|g| g.evidence.sums(earlier));
    let ratings = sums.values().map(|tally| Count::of(tally.rated, tally.poor));
    ratings.fold(Count::default(), Count::plus)
}

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
            let window = date.0 / super::state::WINDOW * super::state::WINDOW;
            let (now, before) = windows(&control, &target, window);
            let usual = arm(before).poor;
            if usual.all < 50.0 {
                continue;
            }
            let rate = usual.rate(0.1);
            let spread = (rate * (1.0 - rate) / usual.all).sqrt();
            let policy = &control.vm.settings.rollout;
            let limit = rate + 2.0 * spread + policy.tolerance;
            let evidence = crate::decide::sequential::evidence(arm(now).poor, limit);
            // Windows come and go all day, so each may err a hundred times less often.
            if evidence >= (100.0 / policy.alpha).ln() {
                withdraw(&control, &snapshot, &target, now).await;
            }
        }
    }
}

fn windows(control: &Control, target: &Target, window: u64) -> (Tally, Tally) {
    control.gossip(|g| {
        let oldest = window.saturating_sub(WINDOWS_KEPT * super::state::WINDOW);
        let of_target = g.evidence.sums(
            |key| matches!(key, Key::Trial { target: t, since } if t == target && *since >= oldest),
        );
        let mut now = Tally::default();
        let mut before = Tally::default();
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

async fn withdraw(control: &Control, snapshot: &Snapshot, target: &Target, now: Tally) {
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

/// Learns the rules of cascades, the parts of limits and the sampling of ratings.
pub async fn learn(control: Control) {
    let mut demand: BTreeMap<Workspace, (u64, u64, f64, f64)> = BTreeMap::new();
    let mut learnt: HashMap<Workspace, Learnt> = HashMap::new();
    loop {
        tokio::time::sleep(LEARN_EVERY).await;
        let snapshot = control.vm.config();
        learn_rules(&control, &snapshot, &mut learnt);
        learn_parts(&control, &snapshot, &mut demand);
        learn_sampling(&control, &snapshot);
        forget(&control, &snapshot);
    }
}

/// What was learnt of one workspace: the sums seen last, and what is believed since.
#[derive(Default)]
struct Learnt {
    sums: BTreeMap<Key, Tally>,
    beliefs: BTreeMap<Kind, Belief>,
    watches: BTreeMap<Kind, cascade::Watch>,
}

fn learn_rules(control: &Control, snapshot: &Snapshot, learnt: &mut HashMap<Workspace, Learnt>) {
    for workspace in &snapshot.declared.workspaces {
        if workspace.cascades.is_empty() {
            continue;
        }
        let known = learnt.entry(workspace.name.clone()).or_default();
        absorb(control, &workspace.name, known);
        for declared in &workspace.cascades {
            let Some(rungs) = rungs(snapshot, &declared.rungs) else { continue };
            let beliefs: Vec<Belief> = known.beliefs.values().cloned().collect();
            let rules = cascade::solve(&beliefs, &rungs, declared.target);
            let mut held = control.vm.rules.write().expect("no panic while held");
            for (kind, rule) in known.beliefs.keys().zip(rules) {
                held.insert((workspace.name.clone(), kind.clone()), rule);
            }
        }
    }
}

/// Price and quality of a cascade's first and last rung, for an answer of a thousand tokens.
pub fn rungs(snapshot: &Snapshot, models: &[Model]) -> Option<Rungs> {
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

/// Adds what evidence has grown by to what is believed; older ratings fade.
fn absorb(control: &Control, workspace: &Workspace, known: &mut Learnt) {
    let of_workspace = |key: &Key| match key {
        Key::Cheap { workspace: w, .. } | Key::Strong { workspace: w, .. } => w == workspace,
        _ => false,
    };
    let sums = control.gossip(|g| g.evidence.sums(of_workspace));
    for (key, sum) in &sums {
        let before = known.sums.get(key).copied().unwrap_or_default();
        let ended = sum.ended.saturating_sub(before.ended) as f64;
        let rated = sum.rated.saturating_sub(before.rated);
        let poor = sum.poor.saturating_sub(before.poor);
        let (Key::Cheap { kind, bin, .. } | Key::Strong { kind, bin, .. }) = key else { continue };
        let bin = usize::from(*bin).min(cascade::BINS);
        let belief = known.beliefs.entry(kind.clone()).or_default();
        belief.decay(cascade::FADE.powf(rated as f64));
        let cell = match key {
            Key::Cheap { .. } => {
                belief.asked += ended;
                belief.seen[bin.min(cascade::BINS - 1)] += ended;
                &mut belief.cheap[bin.min(cascade::BINS - 1)]
            }
            _ if bin < cascade::BINS => &mut belief.strong[bin],
            _ => {
                belief.asked += ended;
                &mut belief.direct
            }
        };
        for i in 0..rated {
            cell.add(i >= poor);
        }
        if !matches!(key, Key::Cheap { .. }) || known.sums.is_empty() {
            continue;
        }
        let rules = control.vm.rules.read().expect("no panic while held");
        let rule = rules.get(&(workspace.clone(), kind.clone()));
        let expected = rule.map_or(0.0, |rule| rule.cheap[bin.min(cascade::BINS - 1)]);
        let watch = known.watches.entry(kind.clone()).or_default();
        let alarms = (0..rated).filter(|i| expected > 0.0 && watch.note(expected, *i >= poor));
        if alarms.count() > 0 {
            belief.doubt();
        }
    }
    known.sums = sums;
}

fn learn_parts(
    control: &Control,
    snapshot: &Snapshot,
    demand: &mut BTreeMap<Workspace, (u64, u64, f64, f64)>,
) {
    let origin = control.vm.origin();
    let vms = control.others().len() + 1;
    for workspace in &snapshot.declared.workspaces {
        let key = Key::Demand { workspace: workspace.name.clone() };
        let (own, all) =
            control.gossip(|g| (g.evidence.own(&origin, &key).ended, g.evidence.sum(&key).ended));
        let held = demand.entry(workspace.name.clone()).or_default();
        // Recent demand counts; a VM that was busy an hour ago needs no part now.
        held.2 = held.2 * 0.9 + own.saturating_sub(held.0) as f64;
        held.3 = held.3 * 0.9 + all.saturating_sub(held.1) as f64;
        held.0 = own;
        held.1 = all;
        let part: Rate = limit::part(workspace.limit, held.2, held.3, vms);
        let mut parts = control.vm.parts.write().expect("no panic while held");
        parts.insert(workspace.name.clone(), part);
    }
}

fn learn_sampling(control: &Control, snapshot: &Snapshot) {
    let usual = control.vm.settings.rated_share;
    let rollout = snapshot.root.rollouts.iter().max_by_key(|rollout| rollout.share);
    let sampling = match rollout {
        Some(rollout) => {
            let key = Key::Trial { target: rollout.to.clone(), since: rollout.begun.0 };
            let rated = control.gossip(|g| g.evidence.sum(&key).rated);
            rollout::sampling(rollout.share, 1.0, usual, rated as f64)
        }
        None => (usual, usual),
    };
    *control.vm.sampling.write().expect("no panic while held") = sampling;
}

/// Drops evidence of trials that no decision looks at any more.
fn forget(control: &Control, snapshot: &Snapshot) {
    let date = control.vm.clock.date();
    let oldest = date.0.saturating_sub((WINDOWS_KEPT + 1) * super::state::WINDOW);
    let running: Vec<u64> = snapshot.root.rollouts.iter().map(|r| r.begun.0).collect();
    control.gossip(|g| {
        g.evidence.forget(|key| match key {
            Key::Trial { since, .. } => *since < oldest && !running.contains(since),
            _ => false,
        });
    });
}

#[cfg(test)]
mod tests {
    use super::looks;

    #[test]
    fn looks_do_not_grow_with_the_servers() {
        assert_eq!((looks(0), looks(14), looks(32)), (32, 32, 32));
        assert_eq!((looks(64), looks(600)), (16, 1));
    }
}
