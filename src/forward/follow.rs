//! Tasks that keep this VM's knowledge of the platform's objects up to date.

use std::rc::Rc;
use std::time::Duration;

use super::replica::{Phase, Rollout};
use super::vm::Vm;
use crate::platform::object::{self, CONFIG, MAIN, Object, ROLLOUTS, SERVERS};
use crate::platform::objects::{Event, Listing, Objects, Trouble};
use crate::unit::Span;

/// Longest wait of a watch; the store allows 30 s.
const WAIT: Span = Span::secs(29);

/// Pause after an event, so that those of one change come with one call. Entries of servers come
/// in numbers, and a server that leaves may get work for two seconds.
const GATHER: Duration = Duration::from_millis(250);
const GATHER_SERVERS: Duration = Duration::from_millis(700);

/// First pause after a failed call, and the longest; a random part keeps VMs apart.
const PAUSE: Span = Span::millis(150);
const LONGEST_PAUSE: Span = Span::millis(1000);

/// Time between two looks for entries that lapsed.
const LOOK: Duration = Duration::from_millis(500);

/// A proof is renewed once this part of its longest age has passed: the rest is for a store that
/// is slow or away for a moment.
const PROOF_AHEAD: f64 = 0.7;

/// At the start the first list of the configuration has this long to bring a proof.
const FIRST_PROOF: Span = Span::millis(300);

/// What is followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The configuration.
    Config,
    /// Entries of backend servers.
    Servers,
    /// Orders to roll versions out.
    Rollouts,
}

impl Kind {
    fn name(self) -> &'static str {
        match self {
            Kind::Config => CONFIG,
            Kind::Servers => SERVERS,
            Kind::Rollouts => ROLLOUTS,
        }
    }
}

/// Follows a kind of objects until the process ends.
pub async fn follow(vm: Rc<Vm>, kind: Kind) {
    let mut store = Objects::new(vm.settings.store);
    let mut pause = Pause::default();
    let mut from: Option<u64> = None;
    let mut regained = vm.regained.subscribe();
    loop {
        let result = match from {
            None => list(&vm, kind, &mut store).await,
            Some(revision) => {
                let watched = store.watch(kind.name(), revision, WAIT);
                tokio::select! {
                    watched = watched => watched.map(|events| {
                        let some = !events.events.is_empty();
                        apply(&vm, kind, events.events);
                        (events.store_revision, some)
                    }),
                    // The way to the store was lost and is back: what the watch missed is asked
                    // for anew, and the old connection may lead nowhere.
                    _ = regained.changed() => {
                        store.disconnect();
                        Ok((revision, false))
                    }
                }
            }
        };
        count(&vm, kind, from.is_some(), &result);
        match result {
            Ok((revision, some)) => {
                from = Some(from.map_or(revision, |known| known.max(revision)));
                pause = Pause::default();
                if some {
                    let servers = kind == Kind::Servers;
                    tokio::time::sleep(if servers { GATHER_SERVERS } else { GATHER }).await;
                }
            }
            Err(Trouble::HistoryGone) => {
                vm.log("history lost", &[("kind", kind.name().into())]);
                from = None;
            }
            Err(trouble) => {
                vm.log(
                    "store call failed",
                    &[("kind", kind.name().into()), ("why", trouble.to_string().as_str().into())],
                );
                let wait = pause.next();
                // News that the store is back ends the pause.
                let _ = tokio::time::timeout(wait, regained.changed()).await;
            }
        }
    }
}

fn count(vm: &Vm, kind: Kind, watch: bool, result: &Result<(u64, bool), Trouble>) {
    let call = format!("{}-{}", if watch { "watch" } else { "list" }, kind.name());
    let outcome = if result.is_ok() { "answered" } else { "failed" };
    vm.metrics.store.with_label_values(&[call.as_str(), outcome]).inc();
}

/// Pauses that double, with a random part.
#[derive(Default)]
struct Pause {
    failures: u32,
}

impl Pause {
    fn next(&mut self) -> Duration {
        let doubled = PAUSE.0 << self.failures.min(8);
        self.failures += 1;
        let most = doubled.min(LONGEST_PAUSE.0) as f64;
        Duration::from_micros((most * (0.5 + 0.5 * rand::random::<f64>())) as u64)
    }
}

async fn list(vm: &Rc<Vm>, kind: Kind, store: &mut Objects) -> Result<(u64, bool), Trouble> {
    let sent = vm.now();
    let listing = store.list(kind.name()).await?;
    let revision = listing.store_revision;
    match kind {
        Kind::Config => take_config(vm, listing, sent),
        Kind::Servers => take_servers(vm, listing),
        Kind::Rollouts => {
            let orders = listing.items.iter().filter_map(|one| read_rollout(vm, one)).collect();
            take_rollouts(vm, orders);
        }
    }
    Ok((revision, false))
}

fn apply(vm: &Rc<Vm>, kind: Kind, events: Vec<Event>) {
    match kind {
        Kind::Config => {
            let newest = events.iter().rev().find(|event| event.object.metadata.name == MAIN);
            if let Some(event) = newest.filter(|event| !event.deleted) {
                put_table(vm, &event.object);
            }
        }
        Kind::Servers => events.iter().for_each(|event| apply_server(vm, event)),
        Kind::Rollouts => {
            for event in events.iter().filter(|event| !event.deleted) {
                if let Some(rollout) = read_rollout(vm, &event.object) {
                    put_rollout(vm, rollout);
                }
            }
        }
    }
}

/// Takes the configuration of a list that was asked for at `sent`: a proof of freshness.
fn take_config(vm: &Rc<Vm>, listing: Listing, sent: crate::unit::Moment) {
    let main = listing.items.iter().find(|object| object.metadata.name == MAIN);
    if main.is_some_and(|object| put_table(vm, object)) {
        vm.proved.set(vm.proved.get().max(Some(sent)));
    }
    vm.proof.notify_waiters();
}

/// Takes a configuration unless a newer one is known. Whether it reads.
fn put_table(vm: &Rc<Vm>, object: &Object) -> bool {
    let known = vm.routes().map(|table| table.revision);
    let table = match object::table(object) {
        Ok(table) => table,
        Err(why) => {
            unreadable(vm, CONFIG, object, &why);
            return false;
        }
    };
    if known.is_none_or(|known| table.revision > known) {
        vm.metrics.revision.set(table.revision.0 as i64);
        let routes = table.routes().count();
        let fields = [("revision", table.revision.0.into()), ("routes", routes.into())];
        vm.log("configuration in force", &fields);
        *vm.table.borrow_mut() = Some(Rc::new(table));
    }
    true
}

fn unreadable(vm: &Vm, kind: &str, object: &Object, why: &str) {
    vm.metrics.unreadable.with_label_values(&[kind]).inc();
    let name = object.metadata.name.as_str();
    vm.log("object not read", &[("kind", kind.into()), ("name", name.into()), ("why", why.into())]);
}

fn take_servers(vm: &Rc<Vm>, listing: Listing) {
    let mut replicas = Vec::with_capacity(listing.items.len());
    for object in &listing.items {
        match object::replica(object) {
            Ok(replica) => replicas.push(replica),
            Err(why) => unreadable(vm, SERVERS, object, &why),
        }
    }
    vm.log("servers listed", &[("count", replicas.len().into())]);
    let after_outage = vm.listed.get().0 && vm.store_lost.get();
    vm.fleet.borrow_mut().replace(replicas, after_outage, vm.now());
    vm.listed.set((true, vm.listed.get().1));
}

fn apply_server(vm: &Rc<Vm>, event: &Event) {
    let name = event.object.metadata.name.as_str();
    if event.deleted {
        vm.log("server gone", &[("server", name.into())]);
        if let Ok(id) = name.parse() {
            vm.fleet.borrow_mut().remove(&id, vm.store_lost.get(), vm.now());
        }
        return;
    }
    match object::replica(&event.object) {
        Ok(replica) => {
            let fields = [
                ("server", name.into()),
                ("service", replica.service.as_str().into()),
                ("version", replica.version.as_str().into()),
                ("ready", replica.ready.into()),
            ];
            vm.log("server entry", &fields);
            vm.fleet.borrow_mut().put(replica);
        }
        Err(why) => unreadable(vm, SERVERS, &event.object, &why),
    }
}

/// The roll-out of an object; one that does not read is counted and told.
pub fn read_rollout(vm: &Vm, object: &Object) -> Option<Rollout> {
    match object::rollout(object) {
        Ok(rollout) => Some(rollout),
        Err(why) => {
            unreadable(vm, ROLLOUTS, object, &why);
            None
        }
    }
}

fn take_rollouts(vm: &Rc<Vm>, orders: Vec<Rollout>) {
    for rollout in orders {
        put_rollout(vm, rollout);
    }
    vm.listed.set((vm.listed.get().0, true));
}

/// Takes an order, unless a newer state of it is known.
pub fn put_rollout(vm: &Vm, rollout: Rollout) {
    let mut rollouts = vm.rollouts.borrow_mut();
    let known = rollouts.get(&rollout.service);
    if known.is_some_and(|known| known.revision >= rollout.revision) {
        return;
    }
    let share = match rollout.phase {
        Some(Phase::Running { share }) => share,
        Some(Phase::Completed) => 1.0,
        Some(Phase::RolledBack) | None => 0.0,
    };
    let phase = format!("{:?}", rollout.phase);
    let fields = [
        ("service", rollout.service.as_str().into()),
        ("version", rollout.version.as_str().into()),
        ("phase", phase.as_str().into()),
        ("share", share.into()),
        ("store_revision", rollout.revision.into()),
    ];
    vm.log("roll-out", &fields);
    let mut trials = vm.trials.borrow_mut();
    let trial = trials.entry(rollout.service.clone()).or_default();
    trial.follow(&rollout.version, vm.now());
    if rollout.phase == Some(Phase::Completed) {
        vm.fleet.borrow_mut().settle(&rollout.service, &rollout.version);
    }
    rollouts.insert(rollout.service.clone(), rollout);
}

/// Proves freshness ahead of the end of the last proof and whenever it is asked to, one read at a
/// time.
pub async fn prove(vm: Rc<Vm>) {
    let mut store = Objects::new(vm.settings.store);
    let mut pause = Pause::default();
    loop {
        if !vm.store_lost.get() {
            let asked = vm.prove.notified();
            // Without a bound on keys nobody needs a proof that was not asked for.
            match proof_due(&vm) {
                Some(due) => drop(tokio::time::timeout(due.duration(), asked).await),
                None => asked.await,
            }
        }
        let sent = vm.now();
        let result = store.list(CONFIG).await;
        let outcome = if result.is_ok() { "answered" } else { "failed" };
        vm.metrics.store.with_label_values(&["prove", outcome]).inc();
        match result {
            Ok(listing) => {
                if vm.store_lost.replace(false) {
                    vm.log("store regained", &[]);
                    vm.regained.send_modify(|times| *times += 1);
                }
                pause = Pause::default();
                take_config(&vm, listing, sent);
            }
            Err(trouble) => {
                if !vm.store_lost.replace(true) {
                    vm.log("store lost", &[("why", trouble.to_string().as_str().into())]);
                }
                vm.proof.notify_waiters();
                tokio::time::sleep(pause.next()).await;
            }
        }
    }
}

/// Time until the next proof is due.
fn proof_due(vm: &Vm) -> Option<Span> {
    let longest = vm.longest_proof_age()?;
    let due = Span((longest.0 as f64 * PROOF_AHEAD) as u64);
    // The list at the start is a proof too; a little time is left to it.
    let age = vm.proof_age(vm.now()).unwrap_or(Span(due.0.saturating_sub(FIRST_PROOF.0)));
    Some(Span(due.0.saturating_sub(age.0)))
}

/// Drops entries that lapsed while the store was away and did not come back.
pub async fn expire(vm: Rc<Vm>) {
    loop {
        tokio::time::sleep(LOOK).await;
        if vm.store_lost.get() {
            continue;
        }
        for id in vm.fleet.borrow_mut().expire(vm.now()) {
            vm.log("server gone", &[("server", id.as_str().into()), ("lapsed", true.into())]);
        }
    }
}
