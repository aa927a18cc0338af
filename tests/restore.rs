//! The platform's store comes back from an older copy.

mod site;

use std::time::{Duration, Instant};

use kitepulley::forward::kind::Kind;
use kitepulley::forward::learn::{self, Source};
use kitepulley::platform::object::Object;
use kitepulley::standin::platform::{Snapshot, Switches};
use kitepulley::unit::{Era, Position, Revision};
use serde_json::{Value, json};
use site::{Site, Vm, are_ready, ask, bare_vm, eventually, follows, head};

/// VMs of a site.
const VMS: usize = 5;

/// A change must be in force everywhere within this.
const IN_FORCE: Duration = Duration::from_secs(2);

/// Changes that the copy lacks.
const LOST: usize = 8;

/// A site whose requests need a key.
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

/// The store is away for a while and comes back from a copy.
fn restore_after(site: &Site, copy: &Snapshot, away: Duration) {
    site.store.switch(Switches { down: true, ..Switches::default() });
    std::thread::sleep(away);
    site.store.restore(copy.clone());
    site.store.switch(Switches::default());
}

/// What is known directly from the store at a position.
fn at(era: u64, revision: u64) -> Source<'static> {
    Source { reader: None, as_of: Position::new(Era(era), revision) }
}

/// An object as the store has it at a position.
fn object(name: &str, Source { as_of, .. }: &Source, spec: Value) -> Object {
    let metadata = json!({"name": name, "revision": as_of.revision, "era": as_of.era});
    serde_json::from_value(json!({"metadata": metadata, "spec": spec})).unwrap()
}

/// A configuration without routes.
fn configuration(version: u64) -> Object {
    object("main", &at(0, version), json!({"version": version}))
}

fn status(vm: &Vm, key: &str) -> u16 {
    let more = format!("Authorization: Token {key}\r\n");
    ask(vm.callers, &head("GET /safe/x", "id", &more), b"").status
}

/// Replaces the key of the workspace; the operator's change is acknowledged when this returns.
fn replace_key(site: &mut Site, key: &str) {
    site.config["tenants"][0]["api_keys"] = json!([key]);
    site.publish();
}

/// Checks that `key` alone is in force on all VMs within the time that a change has.
fn is_in_force(vms: &[Vm], key: &str, old: &str) {
    let changed = Instant::now();
    let holds = |vm: &Vm| status(vm, key) == 200 && status(vm, old) == 401;
    while !vms.iter().all(holds) {
        let logs = || vms.iter().map(Vm::log_end).collect::<String>();
        assert!(changed.elapsed() < IN_FORCE, "`{key}` is not in force everywhere\n{}", logs());
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn changes_made_after_a_restore_reach_every_vm() {
    let mut site = site();
    let _server = site.replica("r1", "v1");
    let vms = start(&mut site);
    let copy = site.store.snapshot();
    (0..LOST).for_each(|number| replace_key(&mut site, &format!("lost{number}")));
    is_in_force(&vms, "lost7", "first");
    restore_after(&site, &copy, Duration::from_millis(1500));
    eventually("the store is back", || vms.iter().all(Vm::is_ready));
    replace_key(&mut site, "second");
    is_in_force(&vms, "second", "lost7");
    replace_key(&mut site, "third");
    is_in_force(&vms, "third", "second");
}

#[test]
fn a_proof_of_a_newer_configuration_than_the_one_in_force_does_not_count() {
    let vm = bare_vm();
    learn::take(&vm, Kind::Config, &configuration(4), &at(0, 4));
    learn::prove(&vm, vm.now(), Revision(5));
    assert_eq!(vm.proof_age(vm.now()), None);
    learn::take(&vm, Kind::Config, &configuration(5), &at(0, 5));
    learn::prove(&vm, vm.now(), Revision(5));
    assert!(vm.proof_age(vm.now()).is_some());
}
