//! Draining servers, and sessions in a rollout, while VMs have different knowledge.
//!
//! Guards against requests that reach a backend server more than two seconds after it began to
//! drain, from VMs that were not disturbed themselves. The VM that read the store for others was
//! cut off for one second or for three. In the short cut its followers went on using it: it
//! presented a proof that the configuration was the newest, seconds old, while its watch of the
//! servers hung on a connection that the cut had slowed, and the entry arrived 2.2 s late. After
//! the long cut the followers had read the entry themselves, followed the VM again at its first
//! proof, and its list from before the cut replaced the newer one: servers 4550 ms old, vouched for
//! by a proof 31 ms old.
//!
//! Knowledge of servers had neither an age nor an order. A proof of another kind vouched for it,
//! and the last update won, even if it was older.
//!
//! Also guards against sessions that change their version early in a rollout. The requests of a
//! session go to several VMs (390 of 434 sessions with more than one request); a VM that had not
//! seen the session drew its version anew, while another had sent it to the old one before the
//! rollout began.

mod site;

use std::time::{Duration, Instant};

use kitepulley::forward::Vm;
use kitepulley::forward::apply::{self, Source};
use kitepulley::forward::kind::Kind;
use kitepulley::forward::pinned_sessions::Draw;
use kitepulley::platform::object::Object;
use kitepulley::standin::platform::Switches;
use kitepulley::standin::replica::{Action, Replica};
use kitepulley::unit::{Era, Position};
use serde_json::json;
use site::proxy::Proxy;
use site::{Site, are_ready, ask, bare_vm, eventually, follows, head};

/// Time after which a draining server gets no new requests.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// How long the server is observed after that; a watch of the store waits six seconds.
const OBSERVATION_TIME: Duration = Duration::from_secs(4);

fn site() -> Site {
    let mut site = Site::new().route("safe", "idempotent", json!({}));
    // The allowed age of a proof of the configuration, as on the sites of the users.
    site.bounds["revoke_ms"] = json!(5000);
    site
}

/// Sends requests to the VMs from two to six seconds after `drained_at`, and checks that the server gets
/// none.
fn assert_no_new_requests(vms: &[site::Vm], server: &Replica, drained_at: Instant) {
    let send = |vm: &site::Vm| ask(vm.callers, &head("GET /safe/x", "id", ""), b"").status;
    std::thread::sleep(DRAIN_TIMEOUT.saturating_sub(drained_at.elapsed()));
    let before = server.requests().len();
    while drained_at.elapsed() < DRAIN_TIMEOUT + OBSERVATION_TIME {
        for (at, vm) in vms.iter().enumerate() {
            assert_eq!(send(vm), 200);
            let received = server.requests().len() - before;
            let late = drained_at.elapsed();
            let logs = || vms.iter().map(site::Vm::log_end).collect::<String>();
            assert_eq!(
                received,
                0,
                "VM {at} of {} sent {late:?} after the drain\n{}",
                vms.len(),
                logs()
            );
        }
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Fault of the VM that reads the store, for itself or for others.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// Its connection for server entries hangs; the one for proofs works.
    ConnectionHangs,
    /// Nothing passes between it and the store, in either direction.
    Partitioned,
    /// Its process is stopped.
    ProcessStopped,
}

/// Drains a server while the VM that reads the store has a fault. Undisturbed VMs, and the one
/// whose connection hangs, send the server nothing from two seconds later on.
fn drain_during_fault(fault: Fault, vms: usize) {
    let mut site = site();
    site.publish();
    let leaving = site.replica("r1", "v1");
    site.replica("r2", "v1");
    let proxies: Vec<Proxy> = (0..vms).map(|_| Proxy::new(site.store_server.address)).collect();
    let mut vms: Vec<site::Vm> =
        proxies.iter().map(|proxy| site.start_through(proxy.address)).collect();
    are_ready(&vms);
    eventually("all but one follow", || vms.iter().filter(|vm| !follows(vm)).count() == 1);
    let reader = vms.iter().position(|vm| !follows(vm)).expect("one VM reads");
    match fault {
        Fault::ConnectionHangs => {
            eventually("its proxy hangs", || proxies[reader].silence("objects/servers") > 0);
        }
        Fault::Partitioned => proxies[reader].cut(),
        Fault::ProcessStopped => vms[reader].signal(libc::SIGSTOP),
    }
    site.list("r1", "v1", "draining", leaving.address);
    let drained_at = Instant::now();
    let affected = (fault != Fault::ConnectionHangs).then(|| vms.remove(reader));
    assert_no_new_requests(&vms, &leaving, drained_at);
    drop(affected);
}

#[test]
fn a_way_to_the_servers_that_hangs_is_noticed() {
    // A single VM reads the servers itself; of two, one reads for both.
    [1, 2].into_iter().for_each(|vms| drain_during_fault(Fault::ConnectionHangs, vms));
}

#[test]
fn a_reader_that_is_cut_off_is_not_believed() {
    [2, 4].into_iter().for_each(|vms| drain_during_fault(Fault::Partitioned, vms));
}

#[test]
fn a_reader_that_stands_still_keeps_nobody_waiting() {
    [2, 4].into_iter().for_each(|vms| drain_during_fault(Fault::ProcessStopped, vms));
}

/// The first VMs of six are cut off from the store, as if it rejected a third of the VMs: the
/// reader, and the `next` VMs that would replace it. Guards against an undisturbed VM, one of nine,
/// that sent to a server 2.1 s after its drain: it had followed the second VM, which answered with
/// what it knew before it had tried the store, and polled nobody any more when that was too old.
fn partition_readers(next: usize) {
    let mut site = site();
    site.publish();
    let leaving = site.replica("r1", "v1");
    site.replica("r2", "v1");
    let proxies: Vec<Proxy> = (0..6).map(|_| Proxy::new(site.store_server.address)).collect();
    let mut vms: Vec<site::Vm> =
        proxies.iter().map(|proxy| site.start_through(proxy.address)).collect();
    are_ready(&vms);
    eventually("all but the first follow", || !follows(&vms[0]) && vms[1..].iter().all(follows));
    proxies[..=next].iter().for_each(Proxy::cut);
    std::thread::sleep(Duration::from_millis(900));
    site.list("r1", "v1", "draining", leaving.address);
    let drained_at = Instant::now();
    let affected: Vec<site::Vm> = vms.drain(..=next).collect();
    assert_no_new_requests(&vms, &leaving, drained_at);
    drop(affected);
}

#[test]
fn readers_that_are_cut_off_one_after_the_other_are_not_believed() {
    [1, 2].into_iter().for_each(partition_readers);
}

#[test]
fn nobody_begins_with_a_reader_that_is_cut_off() {
    let mut site = site();
    site.publish();
    site.replica("r1", "v1");
    let proxy = Proxy::new(site.store_server.address);
    let reader = site.start_through(proxy.address);
    eventually("the first is ready", || reader.is_ready());
    let second = site.start();
    eventually("the second follows it", || follows(&second));
    proxy.cut();
    // Its last proof is still recent, and it has not noticed that the store is lost.
    std::thread::sleep(Duration::from_millis(1350));
    let third = site.start();
    eventually("the third is ready", || third.is_ready());
    eventually("it follows the second", || follows(&third));
    let lines = [&second, &third].map(|vm| vm.lines().into_iter());
    for line in lines.into_iter().flatten().filter(|line| line["event"] == "follows a reader") {
        assert!(line["servers_age_ms"].as_f64().unwrap() <= 1300.0, "{line}");
    }
}

fn entry(name: &str, revision: u64, state: &str) -> Object {
    let spec = json!({"service": "api", "address": "127.0.0.1:9", "zone": "here", "version": "v1",
        "capacity": 8, "state": state, "cold_remaining_ms": 0, "sequence": 1});
    let value = json!({"metadata": {"name": name, "revision": revision}, "spec": spec});
    serde_json::from_value(value).unwrap()
}

fn is_eligible(vm: &Vm, name: &str) -> bool {
    let fleet = vm.fleet.borrow();
    fleet
        .eligible(&"api".parse().unwrap(), vm.now())
        .any(|server| server.replica.id.as_str() == name)
}

fn own(as_of: u64) -> Source<'static> {
    Source { reader: None, as_of: Position::new(Era(0), as_of) }
}

#[test]
fn an_older_list_does_not_replace_what_is_known() {
    let vm = bare_vm();
    let list = |revision: u64, entries: &[Object]| {
        apply::apply_list(&vm, Kind::Servers, entries, &own(revision));
    };
    let both = [entry("r1", 3, "ready"), entry("r2", 4, "ready")];
    list(4, &both);
    apply::apply_object(&vm, Kind::Servers, &entry("r1", 9, "draining"), &own(9));
    apply::apply_object(&vm, Kind::Servers, &entry("r3", 10, "ready"), &own(10));
    // A reader that has been cut off since revision 8 responds with all that it knows.
    list(8, &both);
    assert!(!is_eligible(&vm, "r1"), "it is draining");
    assert!(is_eligible(&vm, "r2"));
    assert!(is_eligible(&vm, "r3"), "it is newer than that list");
    apply::remove_object(&vm, Kind::Servers, "r2", false, &own(2));
    assert!(is_eligible(&vm, "r2"), "the removal is older than its entry");
    apply::remove_object(&vm, Kind::Servers, "r1", false, &own(9));
    list(8, &both);
    assert!(!is_eligible(&vm, "r1"), "its entry was removed");
    apply::apply_object(&vm, Kind::Servers, &entry("r1", 14, "ready"), &own(14));
    assert!(is_eligible(&vm, "r1"), "it lapsed and was written again");
    list(16, &[entry("r2", 4, "ready")]);
    assert!(!is_eligible(&vm, "r1") && !is_eligible(&vm, "r3"), "a newer list lacks them");
}

/// Returns sessions that the first step of the rollout of `v2` draws, with a share of a tenth.
fn drawn_sessions() -> impl Iterator<Item = String> {
    let (service, version) = ("api".parse().unwrap(), "v2".parse().unwrap());
    let names = (0..).map(|number| format!("s{number}"));
    names.filter(move |name| Draw::new(&service, &version, name).point() < 0.1)
}

#[test]
fn a_session_keeps_its_version_from_the_end_of_its_answer() {
    // Sessions pause for at most a second here; the response takes four, as with large models.
    let mut site = site().route("talk", "streaming", json!({"timeout_ms": 9000}));
    let old = site.replica("r1", "v1");
    let pause = Duration::from_millis(1000);
    old.set_default_action(Action::Events { last: 5, cut_after: None, confidence: None, pause });
    let vm = site.start_ready();
    let sessions: Vec<String> = drawn_sessions().take(4).collect();
    let send = |session: &str| {
        let line = head("GET /talk/x", session, &format!("Session: {session}\r\n"));
        ask(vm.callers, &line.replace("X-Deadline-Ms: 2500", "X-Deadline-Ms: 9000"), b"")
    };
    let new = std::thread::scope(|scope| {
        for session in &sessions {
            scope.spawn(move || assert!(send(session).whole));
        }
        eventually("all have come", || old.requests().len() == sessions.len());
        let order = json!({"service": "api", "target_version": "v2", "duration_s": 60.0});
        site.store.write_spec("rollouts", "api", order);
        site.replica("r2", "v2")
    });
    let state = site.store.status("rollouts", "api")["state"].clone();
    assert_eq!(state, "in_progress", "the trial began while they were answered");
    std::thread::scope(|scope| {
        sessions.iter().for_each(|session| drop(scope.spawn(move || send(session))));
    });
    assert_eq!(new.requests().len(), 0, "their answers ended a moment ago");
}

#[test]
fn a_session_of_another_vm_stays_on_its_version_while_the_trial_is_young() {
    let mut site = site();
    site.bounds["session_s"] = json!(5);
    site.replica("r1", "v1");
    let one = site.start_ready();
    let two = site.start_ready();
    let send = |vm: &site::Vm, session: u32| {
        let more = format!("Session: s{session}\r\n");
        ask(vm.callers, &head("GET /safe/x", &format!("s{session}"), &more), b"").status
    };
    let has_logged =
        |vm: &site::Vm| vm.lines().iter().any(|line| line["event"] == "peer became live");
    eventually("both VMs know the other", || has_logged(&one) && has_logged(&two));
    for session in 0..300 {
        assert_eq!(send(&one, session), 200);
    }
    let new = site.replica("r2", "v2");
    let order = json!({"service": "api", "target_version": "v2", "duration_s": 60.0});
    site.store.write_spec("rollouts", "api", order);
    eventually("the trial runs", || site.store.status("rollouts", "api")["state"] == "in_progress");
    std::thread::sleep(Duration::from_millis(500));
    for session in 0..300 {
        assert_eq!(send(&two, session), 200);
    }
    assert_eq!(
        new.requests().len(),
        0,
        "a tenth of the sessions is drawn, all were alive at the other VM"
    );
    for session in 300..600 {
        assert_eq!(send(&two, session), 200);
    }
    assert!(!new.requests().is_empty(), "sessions that begin now are drawn");
}

/// Time after which a version that was found bad is out of use.
const ROLLBACK_TIMEOUT: Duration = Duration::from_secs(5);

#[test]
fn a_way_to_the_roll_outs_that_hangs_is_noticed() {
    // The same cause for rollouts: a proof of the configuration vouched for them too.
    let mut site = site();
    site.bounds["rollback_ms"] = json!(ROLLBACK_TIMEOUT.as_millis());
    site.publish();
    site.replica("r1", "v1");
    let order = json!({"service": "api", "target_version": "v2", "duration_s": 60.0});
    site.store.write_spec("rollouts", "api", order);
    let proxy = Proxy::new(site.store_server.address);
    let vm = site.start_through(proxy.address);
    eventually("it is ready", || vm.is_ready());
    eventually("its proxy hangs", || proxy.silence("objects/rollouts?watch") > 0);
    let status = json!({"target_version": "v2", "state": "rolled_back"});
    site.store.set_status("rollouts", "api", status);
    let rolled_back_at = Instant::now();
    let knows = || vm.lines().iter().any(|line| line["phase"] == "Some(RolledBack)");
    while !knows() && rolled_back_at.elapsed() < 2 * ROLLBACK_TIMEOUT {
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(
        rolled_back_at.elapsed() < ROLLBACK_TIMEOUT,
        "known after {:?}",
        rolled_back_at.elapsed()
    );
}

#[test]
fn a_store_that_is_slow_still_tells_of_servers() {
    let mut site = site();
    let leaving = site.replica("r1", "v1");
    site.replica("r2", "v1");
    let vm = site.start_ready();
    // Longer than the first timeout for a connection that may hang.
    site.store.set_switches(Switches { slow_ms: 950, ..Switches::default() });
    std::thread::sleep(Duration::from_secs(2));
    site.list("r1", "v1", "draining", leaving.address);
    let has_logged =
        |line: &serde_json::Value| line["event"] == "server entry" && line["ready"] == false;
    eventually("the entry arrives", || vm.lines().iter().any(has_logged));
}
