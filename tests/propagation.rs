//! Order of events between VMs when a request crashes servers: a caller that was refused repeats
//! the request at once, at a VM that was stopped while the servers crashed.
//!
//! Guards against a refusal that is sent before the other VMs know of the crashes, and against a VM
//! that continues and runs what its callers sent before it has read what other VMs sent.

mod site;

use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::{Duration, Instant};

use kitepulley::command::block_on;
use kitepulley::demo::{Cluster, Shape, workspace_key};
use kitepulley::standin::replica::{Action, Crash, Replica};
use serde_json::json;
use site::{Site, Vm, are_ready, ask, eventually, head};

/// Part of a body that crashes a server.
const POISON: &str = "a question that no server survives";

/// Servers that may crash under a content before it is quarantined.
const CRASHES_BEFORE_QUARANTINE: usize = 3;

/// Number of backend servers, and of VMs in front of them.
const SERVERS: usize = 8;
const VMS: usize = 3;

/// Number of VMs beyond a full mesh.
const RING_VMS: usize = 14;

/// Time from the arrival of a crashing request to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(30);

/// Time in which started VMs discover each other.
const DISCOVERY_TIME: Duration = Duration::from_millis(1500);

/// Time in which a response is due on the routes of the site (`latency_goal_ms`).
const LATENCY_GOAL: Duration = Duration::from_millis(200);

/// Time in which the first token is due: the users' target.
const FIRST_TOKEN_TARGET: Duration = Duration::from_millis(1400);

fn site() -> Site {
    let mut site = Site::new()
        .route("safe", "idempotent", json!({}))
        .route("once", "non_idempotent", json!({}))
        .route("stream", "streaming", json!({"stream_resume": true}));
    site.publish();
    site
}

fn fragile_servers(site: &Site) -> Vec<Replica> {
    let crash = || Crash {
        trigger: POISON.into(),
        delay: CRASH_DELAY,
        restart_after: Duration::from_secs(30),
    };
    (0..SERVERS).map(|at| site.fragile(&format!("r{at}"), crash())).collect()
}

/// Starts VMs and waits until they know each other.
fn vms(site: &Site, count: usize) -> Vec<Vm> {
    let vms: Vec<Vm> = (0..count).map(|_| site.start()).collect();
    are_ready(&vms);
    thread::sleep(DISCOVERY_TIME);
    vms
}

/// Returns the last log lines of all VMs, which write them with a delay.
fn logs(vms: &[Vm]) -> String {
    thread::sleep(Duration::from_millis(200));
    vms.iter().map(Vm::log_end).collect()
}

fn crashes(servers: &[Replica]) -> usize {
    servers.iter().map(|server| server.crash_times().len()).sum()
}

fn send(to: SocketAddr, line: &str, id: &str) -> u16 {
    ask(to, &head(line, id, ""), POISON.as_bytes()).status
}

/// Stops the last VM for `pause`. Meanwhile a caller sends the content to the first VM and, as soon
/// as that refuses it, to the stopped one. `earlier` requests with the content came to the first VM
/// before. Returns the number of crashed servers and the logs.
fn crashes_with_stopped_vm(line: &str, earlier: usize, pause: Duration) -> (usize, String) {
    let site = site();
    let servers = fragile_servers(&site);
    let vms = vms(&site, VMS);
    for number in 0..earlier {
        send(vms[number % (VMS - 1)].callers, line, &format!("earlier{number}"));
    }
    vms[VMS - 1].signal(libc::SIGSTOP);
    thread::scope(|scope| {
        scope.spawn(|| {
            thread::sleep(pause);
            vms[VMS - 1].signal(libc::SIGCONT);
        });
        let first = send(vms[0].callers, line, "first");
        assert!([502, 503].contains(&first), "{first}");
        let second = send(vms[VMS - 1].callers, line, "second");
        assert!([502, 503].contains(&second), "{second}");
    });
    (crashes(&servers), logs(&vms))
}

/// Plays [`crashes_with_stopped_vm`] for each pause; fails with the results of all plays.
fn assert_held_back(line: &str, earlier: usize, pauses_ms: &[u64]) {
    let plays: Vec<(u64, usize, String)> = pauses_ms
        .iter()
        .map(|pause| {
            let (crashed, log) =
                crashes_with_stopped_vm(line, earlier, Duration::from_millis(*pause));
            (*pause, crashed, log)
        })
        .collect();
    let found: Vec<(u64, usize)> =
        plays.iter().map(|(pause, crashed, _)| (*pause, *crashed)).collect();
    let failed = plays.iter().find(|(_, crashed, _)| *crashed != CRASHES_BEFORE_QUARANTINE);
    if let Some((_, _, log)) = failed {
        panic!("(pause in ms, crashed servers): {found:?}\n{log}");
    }
}

/// Pauses that are shorter than the longest wait of a refusal.
const SHORT_PAUSES_MS: [u64; 4] = [150, 250, 350, 900];

/// Pauses that outlast the wait of a refusal.
const LONG_PAUSES_MS: [u64; 2] = [2000, 4000];

#[test]
fn a_retried_request_is_held_back_by_a_vm_that_was_stopped() {
    assert_held_back("POST /safe/x", 0, &SHORT_PAUSES_MS);
}

#[test]
fn a_stream_is_held_back_by_a_vm_that_was_stopped() {
    assert_held_back("POST /stream/x", 0, &SHORT_PAUSES_MS);
}

#[test]
fn a_request_that_is_not_retried_is_held_back_by_a_vm_that_was_stopped() {
    assert_held_back("POST /once/x", 2, &SHORT_PAUSES_MS);
}

#[test]
fn a_vm_that_was_stopped_for_longer_than_a_refusal_waits_reads_its_messages_first() {
    assert_held_back("POST /safe/x", 0, &LONG_PAUSES_MS);
    assert_held_back("POST /once/x", 2, &LONG_PAUSES_MS);
}

/// The content came to three VMs at the same time, and each saw one crash.
#[test]
fn three_vms_that_saw_one_crash_each_hold_the_next_request_back() {
    let site = site();
    let servers = fragile_servers(&site);
    let vms = vms(&site, VMS);
    thread::scope(|scope| {
        for vm in &vms {
            scope.spawn(move || send(vm.callers, "POST /once/x", &vm.name));
        }
    });
    // Fewer servers crashed if two of the requests came to the same one.
    let before = crashes(&servers);
    let statuses: Vec<u16> =
        vms.iter().map(|vm| send(vm.callers, "POST /once/x", "next")).collect();
    let logs = || logs(&vms);
    assert_eq!(crashes(&servers), CRASHES_BEFORE_QUARANTINE, "{before} {statuses:?}\n{}", logs());
    let runs = CRASHES_BEFORE_QUARANTINE - before;
    let refused = statuses.iter().filter(|status| **status == 503).count();
    assert_eq!(refused, VMS - runs, "{before} {statuses:?}\n{}", logs());
}

/// A VM that knows of two crashes sees the third one, and its retry does not overtake the check of
/// that server.
#[test]
fn a_retry_waits_for_a_check_that_may_find_the_third_crash() {
    const CONTENTS: usize = 25;
    let mut site = Site::new().route("twice", "idempotent", json!({"max_attempts": 2}));
    site.publish();
    let crash = || Crash {
        trigger: POISON.into(),
        delay: CRASH_DELAY,
        restart_after: Duration::from_millis(300),
    };
    let servers: Vec<Replica> =
        (0..4 * SERVERS).map(|at| site.fragile(&format!("r{at}"), crash())).collect();
    let vms = vms(&site, VMS);
    for content in 0..CONTENTS {
        let body = format!("{POISON}, number {content}");
        for vm in &vms {
            ask(vm.callers, &head("POST /twice/x", &vm.name, ""), body.as_bytes());
        }
        thread::sleep(Duration::from_millis(400));
    }
    let crashed = crashes(&servers);
    assert_eq!(crashed, CONTENTS * CRASHES_BEFORE_QUARANTINE, "{}", logs(&vms));
}

/// Beyond a full mesh, VMs report crashes to aggregators, and quarantines travel along a ring.
#[test]
fn many_vms_hold_back_what_one_of_them_refused() {
    let site = site();
    let servers = fragile_servers(&site);
    let vms = vms(&site, RING_VMS);
    assert_eq!(send(vms[0].callers, "POST /safe/x", "first"), 502);
    let repeat = |vm: &Vm| send(vm.callers, "POST /safe/x", "repeated");
    let statuses: Vec<u16> = thread::scope(|scope| {
        let repeats: Vec<_> = vms.iter().map(|vm| scope.spawn(|| repeat(vm))).collect();
        repeats.into_iter().map(|one| one.join().expect("no panic")).collect()
    });
    let crashed = crashes(&servers);
    assert_eq!(crashed, CRASHES_BEFORE_QUARANTINE, "{statuses:?}\n{}", logs(&vms));
    assert_eq!(statuses, [503; RING_VMS]);
}

/// Returns how long after the last crash the refusal of a request came.
fn refusal_delay(servers: &[Replica], vm: &Vm, body: &str) -> Duration {
    ask(vm.callers, &head("POST /safe/x", "delayed", ""), body.as_bytes());
    let refused_at = Instant::now();
    let crashes = servers.iter().flat_map(Replica::crash_times);
    refused_at - crashes.max().expect("servers crashed")
}

#[test]
fn a_refusal_waits_for_a_dead_vm_no_longer_than_for_a_first_token() {
    let site = site();
    let servers = fragile_servers(&site);
    let mut vms = vms(&site, VMS);
    vms[VMS - 1].kill();
    let first = refusal_delay(&servers, &vms[0], POISON);
    assert!(first <= FIRST_TOKEN_TARGET + LATENCY_GOAL, "{first:?}\n{}", vms[0].log_end());
    // The VM did not respond, so the next refusal does not wait for it.
    let second = refusal_delay(&servers, &vms[0], &format!("{POISON}, asked differently"));
    assert!(second <= LATENCY_GOAL, "{second:?}\n{}", vms[0].log_end());
}

/// Beyond a full mesh, a VM can't tell from the silence of one VM that it is gone.
#[test]
fn a_refusal_of_a_vm_that_hears_from_no_other_waits_for_none() {
    const SILENCE: Duration = Duration::from_secs(6);
    let site = site();
    let servers = fragile_servers(&site);
    let mut vms = vms(&site, RING_VMS);
    vms[1..].iter_mut().for_each(Vm::kill);
    thread::sleep(SILENCE);
    let delay = refusal_delay(&servers, &vms[0], POISON);
    assert!(delay <= LATENCY_GOAL, "{delay:?}\n{}", vms[0].log_end());
}

#[test]
fn a_refusal_comes_before_the_deadline_of_its_request() {
    const DEADLINE: Duration = Duration::from_millis(600);
    let site = site();
    let _servers = fragile_servers(&site);
    let vms = vms(&site, VMS);
    vms[VMS - 1].signal(libc::SIGSTOP);
    let head = head("POST /safe/x", "short", "").replace("2500", &DEADLINE.as_millis().to_string());
    let sent_at = Instant::now();
    let answer = ask(vms[0].callers, &head, POISON.as_bytes());
    let took = sent_at.elapsed();
    assert_eq!(answer.status, 502);
    assert!(took <= DEADLINE, "{took:?}\n{}", vms[0].log_end());
}

/// A refusal waits neither if no response broke off, nor if the server that broke it off runs.
#[test]
fn refusals_without_a_crash_wait_for_nothing() {
    let site = site();
    let servers = fragile_servers(&site);
    let vms = vms(&site, VMS);
    send(vms[0].callers, "POST /safe/x", "quarantined");
    assert_eq!(crashes(&servers), CRASHES_BEFORE_QUARANTINE);
    vms[VMS - 1].signal(libc::SIGSTOP);
    for server in &servers {
        server.set_default_action(Action::Reset);
    }
    let expected = [("/safe/x", POISON, 503), ("/once/x", "innocent", 502), ("/none/x", "", 404)];
    for (path, body, status) in expected {
        let sent_at = Instant::now();
        let answer = ask(vms[0].callers, &head(&format!("POST {path}"), path, ""), body.as_bytes());
        let took = sent_at.elapsed();
        assert_eq!(answer.status, status, "{path}");
        assert!(took <= LATENCY_GOAL, "{path} after {took:?}\n{}", vms[0].log_end());
    }
}

/// The product's own API: a call of a plain service is refused once the other VMs know of the crash.
#[test]
fn a_call_of_a_service_is_refused_once_other_vms_know_of_the_crash() {
    const BLOCKED_FOR: Duration = Duration::from_millis(300);
    let world = Cluster::start(&Shape { engines: 3, ..Shape::default() }).unwrap();
    let address = world.service_address();
    // The services run behind the engines.
    (0..world.services.len()).for_each(|at| world.crash_engine(world.engines.len() + at));
    let mut listener = None;
    eventually("the address is free", || {
        listener = TcpListener::bind(address).ok();
        listener.is_some()
    });
    let listener = listener.expect("bound");
    listener.set_nonblocking(true).unwrap();
    let service = thread::spawn(move || {
        let mut open = None;
        // The first connections may be those of probes.
        eventually("the service is called", || {
            let Ok((mut connection, _)) = listener.accept() else { return false };
            connection.set_nonblocking(false).unwrap();
            let mut request = [0; 1024];
            let size = connection.read(&mut request).unwrap_or_default();
            open = Some(connection);
            String::from_utf8_lossy(&request[..size]).contains("/seats")
        });
        // The process ends with a request open.
        drop(listener);
    });
    let nodes: Vec<_> = world.nodes.values().collect();
    let members = || nodes[0].vm.gossip.lock().expect("no panic while held").present().count();
    eventually("the VM knows the others", || members() == nodes.len());
    let url = format!("http://{}/v1/services/tellimus-api/seats", nodes[0].address);
    // The other VM handles no message before the lock is released.
    let blocked = nodes[1].vm.poison.lock().expect("no panic while held");
    let call = move || {
        block_on(async {
            let http = awc::Client::builder().timeout(Duration::from_secs(10)).finish();
            let key = format!("Bearer {}", workspace_key("roasters"));
            let answer = http.get(&url).insert_header(("authorization", key)).send().await;
            answer.expect("the VM answers").status().as_u16()
        })
    };
    // The VM may find that the service has gone before the new listener stands in for it, and
    // refuse calls without sending them.
    let caller = thread::spawn(move || {
        let mut status = 503;
        eventually("a call is sent to the service", || {
            status = call();
            status != 503
        });
        status
    });
    service.join().expect("no panic");
    thread::sleep(BLOCKED_FOR);
    let is_refused_early = caller.is_finished();
    drop(blocked);
    assert_eq!(caller.join().expect("no panic"), 502);
    let known = nodes[1].vm.poison.lock().expect("no panic while held").suspect_count();
    assert_eq!((is_refused_early, known), (false, 1));
    world.stop_standins();
}
