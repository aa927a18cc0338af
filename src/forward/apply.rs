//! Applies objects of the platform's store to a VM's state, whether this VM read them or a peer
//! sent them.

use std::collections::HashSet;
use std::rc::Rc;

use super::kind::Kind;
use super::membership;
use super::replica::{Phase, Replica, Rollout};
use super::vm::Vm;
use crate::platform::object::{self, CONFIG, EVACUATIONS, MAIN, Object, ROLLOUTS, SERVERS};
use crate::unit::{Moment, Position, Revision, Span, Vm as Name};
use crate::watch::log::Value;

/// Where objects that this VM applies come from, and the position of the store that they reflect.
pub struct Source<'a> {
    /// The VM that sent the objects; `None` if this VM read the store itself.
    pub reader: Option<&'a Name>,
    /// Position of the store at which the objects were in this state.
    pub as_of: Position,
}

impl Source<'_> {
    fn fields(&self) -> [(&'static str, Value<'_>); 3] {
        let from = self.reader.map_or("store", |name| name.as_str());
        let Position { era, revision } = self.as_of;
        [("from", from.into()), ("era", era.0.into()), ("as_of", revision.into())]
    }
}

/// Applies a list of all objects of a kind. Returns the revision of the configuration if the list
/// has a valid one.
pub fn apply_list(vm: &Vm, kind: Kind, objects: &[Object], source: &Source) -> Option<Revision> {
    vm.enter_era_of(source.as_of);
    let configuration = apply_kind(vm, kind, objects, source);
    // Requests may wait until a VM that has just started knows all kinds.
    vm.proof_received.notify_waiters();
    configuration
}

/// Applies a list of a kind. Returns the revision of the configuration if the list has a valid one.
fn apply_kind(vm: &Vm, kind: Kind, objects: &[Object], source: &Source) -> Option<Revision> {
    match kind {
        // Objects of these kinds carry revisions that only rise; each object is compared with the
        // known one.
        Kind::Config => return apply_config_list(vm, objects),
        Kind::Rollouts => apply_rollouts(vm, objects),
        Kind::Servers => {
            let may_lapse = vm.has_listed(kind) && vm.lapsed_server_kept_until(vm.now()).is_some();
            log_list(vm, objects.len(), may_lapse, source);
            reconcile(vm, kind, objects, may_lapse, source);
        }
        Kind::Evacuations | Kind::Vms => reconcile(vm, kind, objects, false, source),
    }
    vm.listed_kinds.borrow_mut().insert(kind);
    vm.incomplete_kinds.borrow_mut().remove(&kind);
    None
}

/// Applies a list of all objects of a kind whose states are ordered by the position at which they
/// were read: removes known objects that the list lacks, and applies those that it has. Objects
/// that are known in a newer state stay as they are; otherwise the list of a reader that had been
/// partitioned brought draining servers back for 0.7 s.
///
/// `may_lapse` is set if missing servers may only have expired in an outage of the store.
fn reconcile(vm: &Vm, kind: Kind, objects: &[Object], may_lapse: bool, source: &Source) {
    let listed: HashSet<&str> = objects.iter().map(|one| one.metadata.name.as_str()).collect();
    let missing = vm.positions.borrow_mut().missing_from_list(kind, &listed, source.as_of);
    // A server that a restored backup lacks is treated as one whose entry expired in an outage.
    // Missing objects of other kinds stay until their owners have had time to write them again.
    if kind == Kind::Servers || vm.recent_restore.borrow().is_none() {
        for name in missing {
            remove_object(vm, kind, &name, may_lapse, source);
        }
    }
    let (newest, older): (Vec<&Object>, Vec<&Object>) =
        objects.iter().partition(|object| record_if_newest(vm, kind, object, source));
    newest.into_iter().for_each(|object| apply_current(vm, kind, object, None));
    if !older.is_empty() {
        log_stale(vm, kind, older.len(), source);
    }
}

/// Records the object's position if it is at least as new as the known one. Returns true if it is.
fn record_if_newest(vm: &Vm, kind: Kind, object: &Object, source: &Source) -> bool {
    let metadata = &object.metadata;
    vm.positions.borrow_mut().record(kind, &metadata.name, metadata.position, source.as_of)
}

fn log_stale(vm: &Vm, kind: Kind, count: usize, source: &Source) {
    let [from, era, as_of] = source.fields();
    let fields = [("kind", kind.name().into()), ("count", count.into()), from, era, as_of];
    vm.log("stale update ignored", &fields);
}

/// Applies an object in its newest known state; the entry of a server is logged if `source` is
/// given.
fn apply_current(vm: &Vm, kind: Kind, object: &Object, source: Option<&Source>) {
    match kind {
        Kind::Config if object.metadata.name == MAIN => {
            apply_config(vm, object);
        }
        Kind::Config => {}
        Kind::Servers => {
            vm.feed.borrow_mut().upsert(kind, object);
            apply_server(vm, object, source);
        }
        Kind::Rollouts => apply_rollout(vm, object),
        Kind::Evacuations => {
            vm.feed.borrow_mut().upsert(kind, object);
            apply_evacuation(vm, object);
        }
        Kind::Vms => {
            vm.feed.borrow_mut().upsert(kind, object);
            membership::apply_entry(vm, object);
        }
    }
}

/// Applies an order to evacuate a data centre.
fn apply_evacuation(vm: &Vm, object: &Object) {
    match object::decode_evacuation(object) {
        Ok(data_centre) => {
            let is_outdated = vm.may_be_outdated(object.metadata.position);
            if is_outdated && vm.fleet.borrow().was_evacuation_withdrawn(&data_centre) {
                let data_centre = ("data_centre", data_centre.as_str().into());
                vm.log("evacuation from a restored backup ignored", &[data_centre]);
                return;
            }
            if vm.fleet.borrow_mut().evacuate(&data_centre) {
                let revision = object.metadata.position.revision;
                let fields =
                    [("data_centre", data_centre.as_str().into()), ("revision", revision.into())];
                vm.log("data centre evacuated", &fields);
                vm.metrics.evacuated.with_label_values(&[data_centre.as_str()]).set(1);
            }
        }
        Err(why) => log_unreadable(vm, EVACUATIONS, object, &why),
    }
}

/// Ends the evacuation of a data centre whose order was withdrawn.
fn withdraw_evacuation(vm: &Vm, name: &str, source: &Source) {
    let Ok(data_centre) = name.parse() else { return };
    if vm.fleet.borrow_mut().withdraw_evacuation(&data_centre, vm.now()) {
        let [from, era, as_of] = source.fields();
        vm.log("evacuation withdrawn", &[("data_centre", name.into()), from, era, as_of]);
        vm.metrics.evacuated.with_label_values(&[name]).set(0);
    }
}

/// Applies a changed object unless a newer state is known.
pub fn apply_object(vm: &Vm, kind: Kind, object: &Object, source: &Source) {
    vm.enter_era_of(source.as_of);
    if matches!(kind, Kind::Config | Kind::Rollouts) {
        apply_current(vm, kind, object, None);
    } else if record_if_newest(vm, kind, object, source) {
        apply_current(vm, kind, object, Some(source));
    } else {
        log_stale(vm, kind, 1, source);
    }
}

/// Removes an object unless a newer state is known. A backend server is kept for a while if its
/// entry may only have lapsed: this VM knows of an outage of the store, and the VM that reported the
/// removal did not see the entry taken away (`may_lapse`).
pub fn remove_object(vm: &Vm, kind: Kind, name: &str, may_lapse: bool, source: &Source) {
    vm.enter_era_of(source.as_of);
    // The operator never removes the configuration or a rollout; its last state stays in force.
    if matches!(kind, Kind::Config | Kind::Rollouts) {
        return;
    }
    if !vm.positions.borrow_mut().record_removal(kind, name, source.as_of) {
        log_stale(vm, kind, 1, source);
        return;
    }
    let now = vm.now();
    let kept_until = vm.lapsed_server_kept_until(now).filter(|_| may_lapse);
    vm.feed.borrow_mut().remove(kind, name, kept_until.is_some());
    match kind {
        Kind::Vms => membership::remove_entry(vm, name),
        Kind::Evacuations => withdraw_evacuation(vm, name, source),
        // Only servers get here: the other two kinds have returned above.
        Kind::Servers | Kind::Config | Kind::Rollouts => {
            let [from, era, as_of] = source.fields();
            let kept = kept_until.map_or(Span(0), |until| until.since(now));
            let fields = [
                ("server", name.into()),
                ("may_be_back", kept_until.is_some().into()),
                ("kept_ms", kept.as_millis().into()),
                from,
                era,
                as_of,
            ];
            vm.log("server gone", &fields);
            if let Ok(id) = name.parse() {
                vm.fleet.borrow_mut().remove(&id, kept_until, now);
            }
        }
    }
}

/// Ends the grace time after a restore of the store from a backup, in which owners could write
/// again what the backup lacks.
///
/// Applies the state of the backup that was deferred until now: removes evacuations and VMs that
/// the backup lacks and nobody has written again, accepts entries of disputed servers, and applies
/// deferred rollouts.
pub fn accept_restored(vm: &Vm) {
    let Some(restore) = vm.recent_restore.send_replace(None) else { return };
    // If no position of the new era was read, the state counts as of the start of the era.
    let as_of = restore.first_position.unwrap_or(Position::new(vm.era.newest(), 0));
    for kind in [Kind::Evacuations, Kind::Vms] {
        let read = vm.feed.borrow().freshness(kind);
        if read.is_some_and(|freshness| freshness.position.era == as_of.era) {
            let missing = vm.positions.borrow().last_seen_before(kind, as_of.era);
            let source = Source { reader: None, as_of };
            missing.iter().for_each(|name| remove_object(vm, kind, name, false, &source));
        }
    }
    vm.fleet.borrow_mut().settle_disputes();
    let deferred = vm.deferred_rollouts.take();
    deferred.values().for_each(|object| apply_rollout(vm, object));
    let objects = |kind| -> Vec<Object> { vm.feed.borrow().objects(kind).collect() };
    objects(Kind::Evacuations).iter().for_each(|object| apply_evacuation(vm, object));
    objects(Kind::Servers).iter().for_each(|object| apply_server(vm, object, None));
}

/// Records a proof (a linearizable read) that the revision `configuration` was the newest at
/// `moment`. A proof of a newer configuration than this VM has is ignored.
pub fn record_proof(vm: &Vm, moment: Moment, configuration: Revision) {
    let in_force = vm.routes().map(|table| table.revision).unwrap_or_default();
    if in_force < configuration {
        let fields = [("of", configuration.0.into()), ("in_force", in_force.0.into())];
        vm.log("proof of a newer configuration ignored", &fields);
        return;
    }
    vm.proved_at.set(vm.proved_at.get().max(Some(moment)));
    vm.proof_received.notify_waiters();
}

/// Applies the configuration of a list. Returns its revision if the list has a valid one.
fn apply_config_list(vm: &Vm, objects: &[Object]) -> Option<Revision> {
    let main = objects.iter().find(|object| object.metadata.name == MAIN);
    main.and_then(|object| apply_config(vm, object))
}

/// Applies a configuration unless a newer one is in force. Returns its revision if it is valid.
fn apply_config(vm: &Vm, object: &Object) -> Option<Revision> {
    let known = vm.routes().map(|table| table.revision);
    let table = match object::decode_config(object) {
        Ok(table) => table,
        Err(why) => {
            log_unreadable(vm, CONFIG, object, &why);
            return None;
        }
    };
    let revision = table.revision;
    if known.is_none_or(|known| revision > known) {
        vm.metrics.revision.set(revision.0 as i64);
        let routes = table.routes().count();
        let fields = [("revision", revision.0.into()), ("routes", routes.into())];
        vm.log("configuration in force", &fields);
        *vm.table.borrow_mut() = Some(Rc::new(table));
        vm.feed.borrow_mut().upsert(Kind::Config, object);
    }
    Some(revision)
}

fn log_unreadable(vm: &Vm, kind: &str, object: &Object, why: &str) {
    vm.metrics.unreadable.with_label_values(&[kind]).inc();
    let name = object.metadata.name.as_str();
    vm.log(
        "invalid object ignored",
        &[("kind", kind.into()), ("name", name.into()), ("why", why.into())],
    );
}

fn log_list(vm: &Vm, count: usize, may_lapse: bool, source: &Source) {
    let [from, era, as_of] = source.fields();
    let (count, may_lapse) = (("count", count.into()), ("missing_may_be_back", may_lapse.into()));
    vm.log("servers listed", &[count, may_lapse, from, era, as_of]);
}

/// Applies the entry of a server. An entry that may come from a restored backup and contradicts
/// what is known is ignored, and the dispute is announced to other VMs. An invalid entry removes
/// the server.
fn apply_server(vm: &Vm, object: &Object, source: Option<&Source>) {
    match object::decode_replica(object) {
        Ok(replica) => {
            if let Some(source) = source {
                log_server_entry(vm, object, &replica, source);
            }
            let id = replica.id.clone();
            let mut fleet = vm.fleet.borrow_mut();
            if vm.may_be_outdated(object.metadata.position) && !fleet.accept_outdated(&replica) {
                if fleet.get(&id).is_none_or(|known| known.replica != replica) {
                    vm.log(
                        "server entry from a restored backup ignored",
                        &[("server", id.as_str().into())],
                    );
                    vm.disputes_changed.notify_one();
                }
                return;
            }
            if fleet.upsert(replica, vm.now()) {
                let revision = object.metadata.position.revision.into();
                vm.log(
                    "server restarted",
                    &[("server", id.as_str().into()), ("revision", revision)],
                );
            }
        }
        Err(why) => {
            log_unreadable(vm, SERVERS, object, &why);
            // The server's earlier entry is no longer valid.
            if let Ok(id) = object.metadata.name.parse() {
                vm.fleet.borrow_mut().remove(&id, None, vm.now());
            }
        }
    }
}

fn log_server_entry(vm: &Vm, object: &Object, replica: &Replica, source: &Source) {
    let [from, era, as_of] = source.fields();
    let fields = [
        ("server", object.metadata.name.as_str().into()),
        ("service", replica.service.as_str().into()),
        ("version", replica.version.as_str().into()),
        ("born_ms", replica.started_at_ms.unwrap_or_default().into()),
        ("ready", replica.ready.into()),
        ("cold_ms", replica.cold.as_millis().into()),
        ("revision", object.metadata.position.revision.into()),
        from,
        era,
        as_of,
    ];
    vm.log("server entry", &fields);
}

fn apply_rollouts(vm: &Vm, objects: &[Object]) {
    objects.iter().for_each(|object| apply_current(vm, Kind::Rollouts, object, None));
}

/// Applies the state of a rollout unless a newer one is known.
///
/// A restored backup may have an older state under a newer position. If that state belongs to the
/// order that this VM knows, the known progress of the rollout is kept. If it belongs to another
/// order, which may be an earlier one, it is deferred until the grace time after the restore ends
/// ([`accept_restored`]).
pub fn apply_rollout(vm: &Vm, object: &Object) {
    let mut rollout = match object::decode_rollout(object) {
        Ok(rollout) => rollout,
        Err(why) => return log_unreadable(vm, ROLLOUTS, object, &why),
    };
    let known = vm.rollouts.borrow().get(&rollout.service).cloned();
    if let Some(known) = known {
        let is_restored = known.position.era < rollout.position.era;
        if known.position >= rollout.position {
            return;
        }
        if known.is_same_order(&rollout) {
            if is_restored || vm.recent_restore.borrow().is_some() {
                rollout.keep_progress(&known);
            }
        } else if is_restored && vm.may_be_outdated(rollout.position) {
            vm.log(
                "roll-out from a restored backup ignored",
                &[("service", known.service.as_str().into())],
            );
            vm.deferred_rollouts.borrow_mut().insert(known.service, object.clone());
            return;
        }
    }
    vm.deferred_rollouts.borrow_mut().remove(&rollout.service);
    vm.feed.borrow_mut().upsert(Kind::Rollouts, object);
    set_rollout(vm, rollout);
}

/// Puts the state of a rollout into force, and starts a new trial if its version is new.
fn set_rollout(vm: &Vm, rollout: Rollout) {
    let mut rollouts = vm.rollouts.borrow_mut();
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
        ("unwritten", rollout.is_unwritten().into()),
        ("era", rollout.position.era.0.into()),
        ("store_revision", rollout.position.revision.into()),
    ];
    vm.log("roll-out", &fields);
    let mut trials = vm.rollout_trials.borrow_mut();
    let trial = trials.entry(rollout.service.clone()).or_default();
    trial.track_version(&rollout.version, vm.now());
    if rollout.phase == Some(Phase::Completed) {
        trial.on_promoted();
        vm.fleet.borrow_mut().set_default_version(&rollout.service, &rollout.version);
    }
    rollouts.insert(rollout.service.clone(), rollout);
}
