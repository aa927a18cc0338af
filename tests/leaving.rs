//! Servers that leave, and sessions in a roll-out, while VMs know unlike things.
//!
//! The story. Users saw requests reach backend servers more than two seconds after these had said that they
//! leave, from VMs that nothing had befallen. A VM that reads the store for others was cut off from the store,
//! for one second or for three; its followers were not. In the short cut they went on believing it: it
//! vouched with a proof that the configuration was the newest, seconds old, while its watch of the servers
//! hung on a connection that the cut had slowed, and an entry that said `leaving` came 2.2 s late. After the
//! long cut they had read for themselves and knew the entry, followed it again at its first proof, and its
//! list of before the cut replaced what they knew.
//!
//! The cause: knowledge of servers had neither an age nor an order. What vouched for it was a proof of
//! another kind, and what was told last won, whichever was newer.
//!
//! The evidence: logs with the revision, the source and the age of what each VM knew. On the day of the short
//! cut, which ended at 4.31 s, the reader took the entry of 3.138 s at 5.121 s, its followers at 5.465 s, and
//! one of them had sent to that server at 5.317 s. On the day of the long one a VM took `leaving`, revision 56,
//! at 7.307 s; at 8.283 s it took a list of revision 55 from its new reader, whose servers were 4550 ms old
//! and whose proof was 31 ms old; it sent to that server at 8.811 s.
//!
//! Users also saw sessions change their version in the young trial of a good one. The requests of a session
//! come to several VMs (of 434 sessions with more than one request 390 did); a VM that had not seen the session
//! drew its version anew, while another had sent it to the old one before the trial began.

mod site;

use std::time::{Duration, Instant};

use kitepulley::forward::Vm;
use kitepulley::forward::apply::{self, Source};
use kitepulley::forward::kind::Kind;
use kitepulley::forward::pinned::Draw;
use kitepulley::platform::object::Object;
use kitepulley::standin::platform::Switches;
use kitepulley::standin::replica::{Act, Replica};
use kitepulley::unit::{Era, Position};
use serde_json::json;
use site::proxy::Proxy;
use site::{Site, are_ready, ask, bare_vm, eventually, follows, head};

/// A leaving server gets nothing new after this.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// How long it is watched after that; a watch of the store waits six seconds.
const OBSERVATION_TIME: Duration = Duration::from_secs(4);

fn site() -> Site {
    let mut site = Site::new().route("safe", "idempotent", json!({}));
    // A proof of the configuration may be this old, as on the users' sites.
    site.bounds["revoke_ms"] = json!(5000);
    site
}

/// Asks VMs from two seconds to six after `left`, and checks that the server gets none of it.
fn assert_no_new_requests(vms: &[site::Vm], server: &Replica, left: Instant) {
    let send = |vm: &site::Vm| ask(vm.callers, &head("GET /safe/x", "id", ""), b"").status;
    std::thread::sleep(DRAIN_TIMEOUT.saturating_sub(left.elapsed()));
    let before = server.seen().len();
    while left.elapsed() < DRAIN_TIMEOUT + OBSERVATION_TIME {
        for (at, vm) in vms.iter().enumerate() {
            assert_eq!(send(vm), 200);
            let met = server.seen().len() - before;
            let late = left.elapsed();
            let logs = || vms.iter().map(site::Vm::log_end).collect::<String>();
            assert_eq!(
                met,
                0,
                "VM {at} of {} sent {late:?} after the leave\n{}",
                vms.len(),
                logs()
            );
        }
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// What befalls the VM that reads the store, for itself or for others.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// Its connection to the servers' entries hangs; proofs go over another one, which stays sound.
    ConnectionHangs,
    /// Nothing passes between it and the store.
    Partitioned,
    /// It stands still.
    ProcessStopped,
}

/// A server leaves while trouble befalls the VM that reads the store, of so many VMs. Those that nothing
/// has befallen, and the one whose connection hangs, send it nothing two seconds later.
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
    let reader = vms.iter().position(|vm| !follows(vm)).expect("one reads");
    match fault {
        Fault::ConnectionHangs => {
            eventually("its proxy hangs", || proxies[reader].silence("objects/servers") > 0);
        }
        Fault::Partitioned => proxies[reader].cut(),
        Fault::ProcessStopped => vms[reader].signal(libc::SIGSTOP),
    }
    site.list("r1", "v1", "draining", leaving.address);
    let left = Instant::now();
    let affected = (fault != Fault::ConnectionHangs).then(|| vms.remove(reader));
    assert_no_new_requests(&vms, &leaving, left);
    drop(affected);
}

#[test]
fn a_way_to_the_servers_that_hangs_is_noticed() {
    // Alone a VM asks for servers itself; of two, one does for both.
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

/// The first VMs of six are cut off one after the other, as where a store turns a third of the VMs away: the one that reads, and
/// `next` that would read in its place. On a short day of the users' site a VM of nine that nothing had befallen sent
/// to a server 2.1 s after its leave: it had followed the second, which answered with what it knew before it had tried
/// the store, and asked nobody any more when that was too old.
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
    let left = Instant::now();
    let affected: Vec<site::Vm> = vms.drain(..=next).collect();
    assert_no_new_requests(&vms, &leaving, left);
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
    // Its last proof is young yet, and it has not noticed that the store is away.
    std::thread::sleep(Duration::from_millis(1350));
    let third = site.start();
    eventually("the third is ready", || third.is_ready());
    eventually("it follows the second", || follows(&third));
    let told = [&second, &third].map(|vm| vm.lines().into_iter());
    for line in told.into_iter().flatten().filter(|line| line["event"] == "follows a reader") {
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
    // A reader that has been cut off since revision 8 answers with all that it knows.
    list(8, &both);
    assert!(!is_eligible(&vm, "r1"), "it had said that it leaves");
    assert!(is_eligible(&vm, "r2"));
    assert!(is_eligible(&vm, "r3"), "it came after that list");
    apply::remove_object(&vm, Kind::Servers, "r2", false, &own(2));
    assert!(is_eligible(&vm, "r2"), "its end is older than its entry");
    apply::remove_object(&vm, Kind::Servers, "r1", false, &own(9));
    list(8, &both);
    assert!(!is_eligible(&vm, "r1"), "its entry had gone");
    apply::apply_object(&vm, Kind::Servers, &entry("r1", 14, "ready"), &own(14));
    assert!(is_eligible(&vm, "r1"), "it lapsed, lives and wrote itself anew");
    list(16, &[entry("r2", 4, "ready")]);
    assert!(!is_eligible(&vm, "r1") && !is_eligible(&vm, "r3"), "a newer list lacks them");
}

/// Sessions that the first share of the trial of `v2` draws, in a site that grants a tenth.
fn drawn_sessions() -> impl Iterator<Item = String> {
    let (service, version) = ("api".parse().unwrap(), "v2".parse().unwrap());
    let names = (0..).map(|number| format!("s{number}"));
    names.filter(move |name| Draw::new(&service, &version, name).point() < 0.1)
}

#[test]
fn a_session_keeps_its_version_from_the_end_of_its_answer() {
    // Sessions pause for a second here; the answer takes four, as those of large models do.
    let mut site = site().route("talk", "streaming", json!({"timeout_ms": 9000}));
    let old = site.replica("r1", "v1");
    let pause = Duration::from_millis(1000);
    old.usually(Act::Events { last: 5, cut_after: None, confidence: None, pause });
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
        eventually("all have come", || old.seen().len() == sessions.len());
        let order = json!({"service": "api", "target_version": "v2", "duration_s": 60.0});
        site.store.put("rollouts", "api", order);
        site.replica("r2", "v2")
    });
    let state = site.store.status("rollouts", "api")["state"].clone();
    assert_eq!(state, "in_progress", "the trial began while they were answered");
    std::thread::scope(|scope| {
        sessions.iter().for_each(|session| drop(scope.spawn(move || send(session))));
    });
    assert_eq!(new.seen().len(), 0, "their answers ended a moment ago");
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
    let heard = |vm: &site::Vm| vm.lines().iter().any(|line| line["event"] == "peer heard");
    eventually("both have heard the other", || heard(&one) && heard(&two));
    for session in 0..300 {
        assert_eq!(send(&one, session), 200);
    }
    let new = site.replica("r2", "v2");
    let order = json!({"service": "api", "target_version": "v2", "duration_s": 60.0});
    site.store.put("rollouts", "api", order);
    eventually("the trial runs", || site.store.status("rollouts", "api")["state"] == "in_progress");
    std::thread::sleep(Duration::from_millis(500));
    for session in 0..300 {
        assert_eq!(send(&two, session), 200);
    }
    assert_eq!(
        new.seen().len(),
        0,
        "a tenth of the sessions is drawn, all were alive at the other VM"
    );
    for session in 300..600 {
        assert_eq!(send(&two, session), 200);
    }
    assert!(!new.seen().is_empty(), "sessions that begin now are drawn");
}

/// A version that was found bad is out of use after this.
const ROLLBACK_TIMEOUT: Duration = Duration::from_secs(5);

#[test]
fn a_way_to_the_roll_outs_that_hangs_is_noticed() {
    // The same cause, one kind further: what vouches for roll-outs is a proof of the configuration too.
    let mut site = site();
    site.bounds["rollback_ms"] = json!(ROLLBACK_TIMEOUT.as_millis());
    site.publish();
    site.replica("r1", "v1");
    let order = json!({"service": "api", "target_version": "v2", "duration_s": 60.0});
    site.store.put("rollouts", "api", order);
    let proxy = Proxy::new(site.store_server.address);
    let vm = site.start_through(proxy.address);
    eventually("it is ready", || vm.is_ready());
    eventually("its proxy hangs", || proxy.silence("objects/rollouts?watch") > 0);
    let status = json!({"target_version": "v2", "state": "rolled_back"});
    site.store.set_status("rollouts", "api", status);
    let moved = Instant::now();
    let knows = || vm.lines().iter().any(|line| line["phase"] == "Some(RolledBack)");
    while !knows() && moved.elapsed() < 2 * ROLLBACK_TIMEOUT {
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(moved.elapsed() < ROLLBACK_TIMEOUT, "heard after {:?}", moved.elapsed());
}

#[test]
fn a_store_that_is_slow_still_tells_of_servers() {
    let mut site = site();
    let leaving = site.replica("r1", "v1");
    site.replica("r2", "v1");
    let vm = site.start_ready();
    // Longer than a connection that might hang is waited for at first.
    site.store.switch(Switches { slow_ms: 950, ..Switches::default() });
    std::thread::sleep(Duration::from_secs(2));
    site.list("r1", "v1", "draining", leaving.address);
    let heard =
        |line: &serde_json::Value| line["event"] == "server entry" && line["ready"] == false;
    eventually("it hears of it", || vm.lines().iter().any(heard));
}
