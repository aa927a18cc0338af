//! Restores of the platform's store from an older backup.

mod site;

use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use kitepulley::forward::Vm as Inner;
use kitepulley::forward::apply::{self, Source};
use kitepulley::forward::era::{Anomaly, Tracker};
use kitepulley::forward::kind::Kind;
use kitepulley::forward::positions::Positions;
use kitepulley::forward::replica::Phase;
use kitepulley::platform::client::{Client, Consistency, StoreError};
use kitepulley::platform::object::Object;
use kitepulley::standin::platform::{Snapshot, Switches};
use kitepulley::standin::replica::Replica;
use kitepulley::unit::{Era, Position, Revision};
use quickcheck::quickcheck;
use serde_json::{Value, json};
use site::{Site, Vm, are_ready, ask, bare_vm, eventually, follows, head};

/// Number of VMs in a test site.
const VMS: usize = 5;

/// Time within which a change must be in force on all VMs.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(2);

/// Number of changes that the backup lacks.
const LOST_CHANGES: usize = 8;

/// A site whose requests need an API key.
fn site() -> Site {
    let mut site = Site::new().route("safe", "idempotent", json!({}));
    site.bounds["revoke_ms"] = json!(5000);
    site.workspace("roasters", &["first"])
}

/// Starts the VMs of a site, of which one reads the store and the others follow it.
fn start(site: &mut Site) -> Vec<Vm> {
    site.publish();
    let vms: Vec<Vm> = (0..VMS).map(|_| site.start()).collect();
    are_ready(&vms);
    eventually("all but one follow", || vms.iter().filter(|vm| follows(vm)).count() == VMS - 1);
    vms
}

/// Takes the store down for a while and restores it from a backup.
fn restore_after(site: &Site, copy: &Snapshot, away: Duration) {
    site.store.set_switches(Switches { is_down: true, ..Switches::default() });
    std::thread::sleep(away);
    site.store.restore(copy.clone());
    site.store.set_switches(Switches::default());
}

/// Source of objects that were read from the store at a position.
fn at(era: u64, revision: u64) -> Source<'static> {
    Source { reader: None, as_of: Position::new(Era(era), revision) }
}

/// An object whose last change was at a position.
fn object(name: &str, Source { as_of, .. }: &Source, spec: Value) -> Object {
    let metadata = json!({"name": name, "revision": as_of.revision, "era": as_of.era});
    serde_json::from_value(json!({"metadata": metadata, "spec": spec})).unwrap()
}

/// A configuration without routes.
fn configuration(version: u64) -> Object {
    object("main", &at(0, version), json!({"version": version}))
}

/// The entry of a ready backend server with these fields replaced.
fn entry(fields: Value) -> Value {
    let mut entry = json!({"service": "api", "address": "127.0.0.1:9", "zone": "here",
        "version": "v1", "capacity": 8, "state": "ready", "cold_remaining_ms": 0, "sequence": 1});
    for (name, value) in fields.as_object().into_iter().flatten() {
        entry[name] = value.clone();
    }
    entry
}

/// Applies a change of the backend server's entry at a position.
fn apply_entry(vm: &Inner, changed: &Source, fields: Value) {
    apply::apply_object(vm, Kind::Servers, &object("r1", changed, entry(fields)), changed);
}

/// Applies a list from the store's second era, in which the server's entry has an older revision.
fn restore_entry(vm: &Inner, fields: Value) {
    let entry = object("r1", &at(1, 3), entry(fields));
    apply::apply_list(vm, Kind::Servers, &[entry], &at(1, 5));
}

fn is_available(vm: &Inner) -> bool {
    let fleet = vm.fleet.borrow();
    fleet
        .eligible(&"api".parse().unwrap(), vm.now())
        .any(|server| server.replica.id.as_str() == "r1")
}

fn status(vm: &Vm, key: &str) -> u16 {
    let more = format!("Authorization: Token {key}\r\n");
    ask(vm.callers, &head("GET /safe/x", "id", &more), b"").status
}

/// Replaces the key of the workspace; the change is acknowledged when this returns.
fn replace_key(site: &mut Site, key: &str) {
    site.config["tenants"][0]["api_keys"] = json!([key]);
    site.publish();
}

/// Asserts that `key` replaces `old` on all VMs within [`IN_FORCE_WITHIN`].
fn assert_in_force(vms: &[Vm], key: &str, old: &str) {
    let changed = Instant::now();
    let holds = |vm: &Vm| status(vm, key) == 200 && status(vm, old) == 401;
    while !vms.iter().all(holds) {
        let logs = || vms.iter().map(Vm::log_end).collect::<String>();
        assert!(
            changed.elapsed() < IN_FORCE_WITHIN,
            "`{key}` is not in force everywhere\n{}",
            logs()
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn changes_made_after_a_restore_reach_every_vm() {
    let mut site = site();
    let _server = site.replica("r1", "v1");
    let vms = start(&mut site);
    let copy = site.store.snapshot();
    (0..LOST_CHANGES).for_each(|number| replace_key(&mut site, &format!("lost{number}")));
    assert_in_force(&vms, "lost7", "first");
    restore_after(&site, &copy, Duration::from_millis(1500));
    eventually("the store is back", || vms.iter().all(Vm::is_ready));
    replace_key(&mut site, "second");
    assert_in_force(&vms, "second", "lost7");
    replace_key(&mut site, "third");
    assert_in_force(&vms, "third", "second");
}

#[test]
fn a_proof_of_a_newer_configuration_than_the_one_in_force_does_not_count() {
    let vm = bare_vm();
    apply::apply_object(&vm, Kind::Config, &configuration(4), &at(0, 4));
    apply::record_proof(&vm, vm.now(), Revision(5));
    assert_eq!(vm.proof_age(vm.now()), None);
    apply::apply_object(&vm, Kind::Config, &configuration(5), &at(0, 5));
    apply::record_proof(&vm, vm.now(), Revision(5));
    assert!(vm.proof_age(vm.now()).is_some());
}

#[test]
fn a_watch_whose_revision_was_given_out_again_misses_nothing() {
    let mut site = site();
    let _server = site.replica("r1", "v1");
    let vms = start(&mut site);
    let copy = site.store.snapshot();
    replace_key(&mut site, "lost");
    assert_in_force(&vms, "lost", "first");
    // No call fails, and when the watches resume the revisions are past those before the restore.
    site.store.set_switches(Switches { hides_changes: true, ..Switches::default() });
    site.store.restore(copy);
    replace_key(&mut site, "second");
    let more = (0..LOST_CHANGES).map(|number| site.replica(&format!("more{number}"), "v1"));
    let more: Vec<Replica> = more.collect();
    site.store.set_switches(Switches::default());
    assert_in_force(&vms, "second", "lost");
    eventually("all servers get requests", || {
        vms.iter().for_each(|vm| assert_eq!(status(vm, "second"), 200));
        more.iter().all(|server| !server.requests().is_empty())
    });
}

/// Objects by name with the positions of their last changes.
type State = BTreeMap<String, Position>;

/// The states of a store after each of these changes and restores from a backup that lacks some of
/// them.
fn history(steps: &[(u8, bool, u8)]) -> Vec<(Position, State)> {
    let mut states = vec![(Position::default(), State::new())];
    // Indices into `states` of the history that the present state builds on.
    let mut line = vec![0];
    for (name, there, undone) in steps {
        let (present, objects) = states[line[line.len() - 1]].clone();
        if undone % 5 == 0 && line.len() > 1 {
            let kept = line.len() - 1 - usize::from(undone / 5) % (line.len() - 1);
            line.truncate(kept);
            let (copy, objects) = states[line[kept - 1]].clone();
            let position = Position::new(Era(present.era.0 + 1), copy.revision);
            let stamp =
                |(name, at): (String, Position)| (name, Position { era: position.era, ..at });
            states.push((position, objects.into_iter().map(stamp).collect()));
        } else {
            let position = Position { revision: present.revision + 1, ..present };
            let mut objects = objects;
            match there {
                true => drop(objects.insert(format!("o{}", name % 5), position)),
                false => drop(objects.remove(&format!("o{}", name % 5))),
            }
            states.push((position, objects));
        }
        line.push(states.len() - 1);
    }
    states
}

quickcheck! {
    /// Lists of any positions, in any order and repeated, leave the objects of the newest of them.
    fn the_newest_list_of_the_newest_era_decides(steps: Vec<(u8, bool, u8)>, order: Vec<u8>) -> bool {
        let states = history(&steps);
        let (mut index, mut there) = (Positions::default(), State::new());
        let read: Vec<usize> = order.iter().map(|at| usize::from(*at) % states.len()).collect();
        for (as_of, objects) in read.iter().map(|at| &states[*at]) {
            let names: HashSet<&str> = objects.keys().map(String::as_str).collect();
            for name in index.missing_from_list(Kind::Servers, &names, *as_of) {
                if index.record_removal(Kind::Servers, &name, *as_of) {
                    there.remove(&name);
                }
            }
            for (name, changed) in objects {
                if index.record(Kind::Servers, name, *changed, *as_of) {
                    there.insert(name.clone(), *changed);
                }
            }
        }
        let newest = read.iter().map(|at| &states[*at]).max_by_key(|(position, _)| *position);
        newest.is_none_or(|(_, objects)| there == *objects)
    }

    /// Whatever headers come, the era never falls, and no answer counts as one of an older era.
    fn the_era_never_falls(headers: Vec<Option<String>>, eras: Vec<u8>) -> bool {
        let tracker = Tracker::default();
        let numbers = eras.iter().map(|era| Some((era / 16).to_string()));
        numbers.chain(headers).all(|header| {
            let before = tracker.newest();
            let taken = tracker.observe(header.as_deref());
            tracker.newest() >= before && taken.is_none_or(|taken| taken == tracker.newest())
        })
    }

    fn a_position_reads_back_as_it_is_shown(era: u64, revision: u64) -> bool {
        let position = Position::new(Era(era), revision);
        position.to_string().parse::<Position>().ok() == Some(position)
    }
}

#[test]
fn a_store_that_names_no_era_is_no_anomaly() {
    let tracker = Tracker::default();
    assert_eq!(tracker.observe(None), Some(Era(0)));
    tracker.advance(Era(0));
    assert_eq!(tracker.observe(None), Some(Era(0)), "once a position was read");
    assert_eq!(tracker.count(Anomaly::Missing), 0);
    assert_eq!(tracker.observe(Some("1")), Some(Era(1)), "its first restore");
}

#[test]
fn a_garbled_era_neither_blocks_reading_nor_ends_what_is_known() {
    let tracker = Tracker::default();
    assert_eq!(tracker.observe(None), Some(Era(0)), "a store without eras");
    assert_eq!(tracker.observe(Some("3")), Some(Era(3)));
    for header in [None, Some(""), Some("three"), Some("-1"), Some("99999999999999999999999")] {
        assert_eq!(tracker.observe(header), Some(Era(3)), "{header:?}");
    }
    assert_eq!(tracker.observe(Some("2")), None, "an answer of before changes nothing");
    assert_eq!(tracker.observe(Some("90000")), None, "it is not believed at once");
    assert_eq!(tracker.observe(Some("3")), Some(Era(3)), "reading goes on");
    assert_eq!(tracker.observe(Some("4")), Some(Era(4)));
    assert_eq!(tracker.observe(Some("7")), None, "two restores were missed");
    assert_eq!(tracker.observe(Some("7")), Some(Era(7)), "a second answer says so");
    assert_eq!(tracker.count(Anomaly::Missing), 1);
    assert_eq!(tracker.count(Anomaly::Unreadable), 4);
    assert_eq!(tracker.count(Anomaly::Implausible), 2);
    assert_eq!(tracker.count(Anomaly::Older), 1);
}

#[test]
fn a_server_that_leaves_is_not_used_again_because_a_copy_calls_it_ready() {
    let vm = bare_vm();
    apply_entry(&vm, &at(0, 3), json!({}));
    apply_entry(&vm, &at(0, 9), json!({"state": "draining"}));
    restore_entry(&vm, json!({}));
    assert!(!is_available(&vm));
    apply_entry(&vm, &at(1, 6), json!({}));
    assert!(is_available(&vm), "it says in this era that it is ready");
}

#[test]
fn a_server_that_has_gone_is_not_used_again_because_a_copy_names_it() {
    let vm = bare_vm();
    apply_entry(&vm, &at(0, 3), json!({}));
    apply::remove_object(&vm, Kind::Servers, "r1", false, &at(0, 9));
    restore_entry(&vm, json!({}));
    assert!(!is_available(&vm));
    apply_entry(&vm, &at(1, 6), json!({"sequence": 9}));
    assert!(is_available(&vm), "it writes in this era");
}

#[test]
fn a_later_life_of_a_server_goes_on_when_a_copy_names_the_earlier_one() {
    let vm = bare_vm();
    apply_entry(&vm, &at(0, 3), json!({"born": 1000}));
    apply_entry(&vm, &at(0, 9), json!({"born": 2000}));
    restore_entry(&vm, json!({"born": 1000}));
    let started_at =
        || vm.fleet.borrow().get(&"r1".parse().unwrap()).unwrap().replica.started_at_ms;
    assert_eq!(started_at(), Some(2000));
    restore_entry(&vm, json!({"born": 3000}));
    assert_eq!(started_at(), Some(3000), "it was written before the first list of the new era");
}

#[test]
fn a_server_that_a_copy_lacks_is_used_until_it_had_time_to_write_again() {
    let vm = bare_vm();
    apply::apply_list(&vm, Kind::Servers, &[], &at(0, 2));
    apply_entry(&vm, &at(0, 9), json!({}));
    apply::apply_list(&vm, Kind::Servers, &[], &at(1, 5));
    assert!(is_available(&vm));
}

/// Applies a list of a kind that was read from the store.
fn list(vm: &Inner, kind: Kind, items: &[Object], read: &Source) {
    apply::apply_list(vm, kind, items, read);
    vm.feed.borrow_mut().record_read(kind, read.as_of, vm.now());
}

/// The order to evacuate the server's data centre.
fn evacuation(changed: &Source) -> [Object; 1] {
    [object("here", changed, json!({}))]
}

#[test]
fn an_order_to_empty_a_data_centre_holds_on_when_a_copy_lacks_it() {
    let vm = bare_vm();
    apply_entry(&vm, &at(0, 3), json!({}));
    list(&vm, Kind::Evacuations, &evacuation(&at(0, 8)), &at(0, 9));
    list(&vm, Kind::Evacuations, &[], &at(1, 5));
    assert!(!is_available(&vm));
    apply::accept_restored(&vm);
    assert!(is_available(&vm), "nobody has ordered it again");
    list(&vm, Kind::Evacuations, &evacuation(&at(1, 9)), &at(1, 9));
    assert!(!is_available(&vm), "it is ordered again");
}

#[test]
fn an_order_to_empty_a_data_centre_holds_on_until_the_restored_store_was_read() {
    let vm = bare_vm();
    apply_entry(&vm, &at(0, 3), json!({}));
    list(&vm, Kind::Evacuations, &evacuation(&at(0, 8)), &at(0, 9));
    list(&vm, Kind::Vms, &[], &at(1, 5));
    apply::accept_restored(&vm);
    assert!(!is_available(&vm));
}

#[test]
fn an_order_that_was_withdrawn_does_not_come_back_because_a_copy_names_it() {
    let vm = bare_vm();
    apply_entry(&vm, &at(0, 3), json!({}));
    list(&vm, Kind::Evacuations, &evacuation(&at(0, 4)), &at(0, 4));
    list(&vm, Kind::Evacuations, &[], &at(0, 9));
    list(&vm, Kind::Evacuations, &evacuation(&at(1, 4)), &at(1, 5));
    assert!(is_available(&vm));
    apply::accept_restored(&vm);
    assert!(!is_available(&vm), "nobody has withdrawn it again");
}

#[test]
fn a_vm_that_a_copy_lacks_stays_a_peer_until_it_had_time_to_write_again() {
    let vm = bare_vm();
    let entry = json!({"address": "127.0.0.1:9", "data_centre": "here", "share": 250});
    let is_peer = |vm: &Inner| vm.peers.borrow().names().any(|name| name.as_str() == "vm-b");
    list(&vm, Kind::Vms, &[object("vm-b", &at(0, 9), entry)], &at(0, 9));
    list(&vm, Kind::Vms, &[], &at(1, 5));
    assert!(is_peer(&vm));
    apply::accept_restored(&vm);
    assert!(!is_peer(&vm));
}

/// Applies all objects of a kind as another VM sends them, which keeps objects that a restored
/// backup lacks.
fn receive_all(vm: &Inner, kind: Kind, items: &[Object], as_of: Position) {
    let sender = "vm-b".parse().unwrap();
    apply::apply_list(vm, kind, items, &Source { reader: Some(&sender), as_of });
    vm.feed.borrow_mut().record_read(kind, as_of, vm.now());
}

/// Guards against a VM that takes the entry kept by another VM for one in the restored store, and
/// never writes its own again.
#[test]
fn an_entry_that_another_vm_keeps_is_not_taken_for_one_in_the_restored_store() {
    let vm = bare_vm();
    let name = vm.settings.vm.as_str();
    let entry = json!({"address": "127.0.0.1:9", "data_centre": "here", "share": 250});
    let is_in_store = |era| {
        let earlier = vm.positions.borrow().last_seen_before(Kind::Vms, Era(era));
        !earlier.iter().any(|earlier| earlier == name)
    };
    list(&vm, Kind::Vms, &[object(name, &at(0, 9), entry.clone())], &at(0, 9));
    assert!(is_in_store(0));
    let kept = [object(name, &at(0, 9), entry.clone())];
    receive_all(&vm, Kind::Vms, &kept, Position::new(Era(1), 5));
    assert!(!is_in_store(1));
    let written = [object(name, &at(1, 6), entry)];
    receive_all(&vm, Kind::Vms, &written, Position::new(Era(1), 6));
    assert!(is_in_store(1));
}

/// Guards against orders and VMs that a backup lacks and that stay in force for good on a VM that
/// got them from another one.
#[test]
fn objects_that_another_vm_keeps_and_nobody_writes_again_end_after_the_restore() {
    for knows_them_before in [true, false] {
        let vm = bare_vm();
        apply_entry(&vm, &at(0, 3), json!({}));
        if knows_them_before {
            list(&vm, Kind::Evacuations, &evacuation(&at(0, 8)), &at(0, 9));
        } else {
            list(&vm, Kind::Evacuations, &[], &at(0, 2));
        }
        receive_all(&vm, Kind::Evacuations, &evacuation(&at(0, 8)), Position::new(Era(1), 5));
        assert!(!is_available(&vm), "it is kept until the operator had time to write it again");
        apply::accept_restored(&vm);
        assert!(is_available(&vm), "nobody has written it again");
    }
}

/// A roll-out of a version of the service, in its state after a change.
fn rollout(changed: &Source, version: &str, state: Value) -> Object {
    let spec = json!({"service": "api", "target_version": version, "duration_s": 60});
    let mut rollout = object("api", changed, spec);
    if !state.is_null() {
        rollout.status = json!({"target_version": version, "state": state, "share": 0.1});
    }
    rollout
}

fn list_rollout(vm: &Inner, rollout: Object, read: &Source) {
    list(vm, Kind::Rollouts, &[rollout], read);
}

/// Version and phase of the roll-out that a VM knows.
fn known_rollout(vm: &Inner) -> (String, Option<Phase>) {
    let rollouts = vm.rollouts.borrow();
    let rollout = &rollouts[&"api".parse().unwrap()];
    (rollout.version.to_string(), rollout.phase)
}

#[test]
fn a_roll_out_that_has_ended_does_not_go_on_because_a_copy_is_older() {
    for (state, phase) in [("rolled_back", Phase::RolledBack), ("completed", Phase::Completed)] {
        for copy in [json!("in_progress"), Value::Null] {
            let vm = bare_vm();
            list_rollout(&vm, rollout(&at(0, 8), "v2", json!(state)), &at(0, 9));
            list_rollout(&vm, rollout(&at(1, 4), "v2", copy.clone()), &at(1, 5));
            assert_eq!(known_rollout(&vm), ("v2".into(), Some(phase)), "{copy}");
            apply::accept_restored(&vm);
            assert_eq!(known_rollout(&vm), ("v2".into(), Some(phase)), "{copy}");
        }
    }
}

#[test]
fn the_share_of_a_roll_out_does_not_fall_because_a_copy_is_older() {
    let vm = bare_vm();
    list_rollout(&vm, rollout(&at(0, 8), "v2", json!("in_progress")), &at(0, 9));
    list_rollout(&vm, rollout(&at(1, 4), "v2", Value::Null), &at(1, 5));
    assert_eq!(known_rollout(&vm).1, Some(Phase::Running { share: 0.1 }));
}

#[test]
fn an_order_of_a_roll_out_holds_on_when_a_copy_names_an_earlier_one() {
    let vm = bare_vm();
    list_rollout(&vm, rollout(&at(0, 8), "v3", json!("in_progress")), &at(0, 9));
    list_rollout(&vm, rollout(&at(1, 4), "v2", json!("completed")), &at(1, 5));
    assert_eq!(known_rollout(&vm), ("v3".into(), Some(Phase::Running { share: 0.1 })));
    apply::apply_object(&vm, Kind::Rollouts, &rollout(&at(1, 6), "v3", Value::Null), &at(1, 6));
    assert_eq!(known_rollout(&vm), ("v3".into(), Some(Phase::Running { share: 0.1 })));
}

#[test]
fn an_order_of_a_roll_out_that_nobody_gives_again_ends() {
    let vm = bare_vm();
    list_rollout(&vm, rollout(&at(0, 8), "v3", Value::Null), &at(0, 9));
    list_rollout(&vm, rollout(&at(1, 4), "v2", json!("completed")), &at(1, 5));
    apply::accept_restored(&vm);
    assert_eq!(known_rollout(&vm), ("v2".into(), Some(Phase::Completed)));
}

#[test]
fn a_version_found_bad_stays_out_of_use_and_its_status_is_written_again_once() {
    let mut site = site();
    let _old = site.replica("r1", "v1");
    let bad = site.replica("r2", "v2");
    let order = json!({"service": "api", "target_version": "v2", "duration_s": 60});
    site.store.write_spec("rollouts", "api", order.clone());
    let running = json!({"target_version": "v2", "state": "in_progress", "share": 1.0});
    site.store.set_status("rollouts", "api", running);
    let copy = site.store.snapshot();
    let back = json!({"target_version": "v2", "state": "rolled_back"});
    site.store.set_status("rollouts", "api", back);
    let vms = start(&mut site);
    let before = bad.requests().len();
    site.store.restore(copy);
    let state = |site: &Site| site.store.status("rollouts", "api")["state"].clone();
    assert_eq!(state(&site), "in_progress");
    // The backup lacks the configuration too; the operator writes it again.
    site.publish();
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(3) {
        for vm in &vms {
            status(vm, "first");
        }
    }
    assert_eq!(state(&site), "rolled_back");
    assert_eq!(bad.requests().len(), before);
    let moved = |vm: &Vm| vm.lines().iter().filter(|one| one["event"] == "roll-out moved").count();
    assert_eq!(vms.iter().map(moved).sum::<usize>(), 1);
}

#[test]
fn vms_write_again_what_they_wrote_and_a_copy_lacks() {
    let mut site = site();
    let _server = site.replica("r1", "v1");
    site.publish();
    let copy = site.store.snapshot();
    let vms = start(&mut site);
    let written = |kind: &str| site.store.specs_with_prefix(kind);
    let (entries, keys) = (written("kitepulley-vms/"), written("kitepulley-keys/"));
    assert_eq!((entries.len(), keys.len()), (VMS, 1));
    site.store.restore(copy);
    assert!(written("kitepulley-vms/").is_empty() && written("kitepulley-keys/").is_empty());
    eventually("all entries are there", || written("kitepulley-vms/") == entries);
    eventually("the key is there", || written("kitepulley-keys/") == keys);
    // The configuration that the backup lacks is in force on a VM that starts now.
    let late = site.start();
    eventually("it is ready", || late.is_ready());
    assert!(vms.iter().chain([&late]).all(|vm| status(vm, "first") == 200));
}

/// Guards against a VM that finds an entry under its name in the restored store and leaves it as it
/// is, although the backup has an address that the VM no longer uses.
#[test]
fn a_vm_replaces_its_entry_if_a_backup_has_an_earlier_one() {
    let mut site = site();
    let vms = start(&mut site);
    let entries = site.store.specs_with_prefix("kitepulley-vms/");
    for (key, entry) in &entries {
        let (kind, name) = key.split_once('/').unwrap();
        let entry: Value = serde_json::from_slice(entry).unwrap();
        let mut earlier = entry.clone();
        earlier["address"] = json!("127.0.0.1:9");
        site.store.write_spec(kind, name, earlier);
        let copy = site.store.snapshot();
        site.store.write_spec(kind, name, entry);
        site.store.restore(copy);
        eventually("the entry is that of the VM", || {
            site.store.specs_with_prefix("kitepulley-vms/") == entries
        });
    }
    assert!(vms.iter().all(Vm::is_ready));
}

/// Guards against a VM that is missing from the list of VMs for good after others removed its
/// entry, as they do for a VM that they have not heard from for a minute.
#[test]
fn a_vm_whose_entry_was_removed_registers_again() {
    let mut site = site();
    let vms = start(&mut site);
    let entries = site.store.specs_with_prefix("kitepulley-vms/");
    assert_eq!(entries.len(), VMS);
    for (key, _) in &entries {
        let (kind, name) = key.split_once('/').unwrap();
        site.store.delete_object(kind, name);
        eventually("the entry is there again", || {
            site.store.specs_with_prefix("kitepulley-vms/") == entries
        });
    }
    assert!(vms.iter().all(Vm::is_ready));
}

#[actix_web::test]
async fn a_write_that_is_based_on_another_era_is_not_sent() {
    let site = Site::new();
    site.store.write_spec("kind", "one", json!("a"));
    let copy = site.store.snapshot();
    let mut client = Client::new(site.store_server.address, Rc::default());
    let read = client.get("kind", "one", Consistency::Strong).await.unwrap().unwrap();
    site.store.restore(copy.clone());
    // The revision is the same but may belong to another state.
    let again = client.get("kind", "one", Consistency::Strong).await.unwrap().unwrap();
    assert_eq!(again.metadata.position.revision, read.metadata.position.revision);
    let before = site.store.calls().writes;
    let written = client.replace("kind", "one", read.metadata.position, json!("b")).await;
    assert!(matches!(written, Err(StoreError::Conflict(None))), "{written:?}");
    assert_eq!(site.store.calls().writes, before);
    // A write during which the store is restored may be based on another state too, so the caller
    // must read again.
    site.store.restore(copy);
    let written = client.replace("kind", "one", again.metadata.position, json!("b")).await;
    assert!(matches!(written, Err(StoreError::NoAnswer(_))), "{written:?}");
}
