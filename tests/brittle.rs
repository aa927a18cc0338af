//! Servers that announce that they are brittle: they fail if they have to reject more than some
//! requests in a second, and then let fewer wait.

mod site;

use std::net::SocketAddr;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use kitepulley::standin::replica::Replica;
use kitepulley::standin::room::Capacity;
use serde_json::json;
use site::{Site, Vm, are_ready, head, try_ask};

/// Slots of a server, time that a request runs, and queue before and while it is short.
const SLOTS: usize = 4;
const WORK: Duration = Duration::from_millis(240);
const LONG_QUEUE: usize = 12;
const SHORT_QUEUE: usize = 1;

/// Time for which a server is gone after a failure.
const RESTART_TIME: Duration = Duration::from_secs(3);

/// When servers announce that they are brittle, when their queues are short, from when on served
/// requests count, and the end.
const ANNOUNCED_AT: Duration = Duration::from_secs(4);
const SHORT_FROM: Duration = Duration::from_secs(7);
const COUNTED_FROM: Duration = Duration::from_secs(8);
const END: Duration = Duration::from_secs(15);

/// Time in which started VMs discover each other.
const DISCOVERY_TIME: Duration = Duration::from_millis(2500);

/// Smallest part of what the servers can do, or of what is asked if that is less, that is served.
const MIN_SERVED: f64 = 0.9;

/// Held by the test that runs: each uses much of the machine.
static ALONE: Mutex<()> = Mutex::new(());

/// What is sent to which servers.
struct Case {
    vms: usize,
    servers: usize,
    /// Rejections a second that the servers announce.
    limit: usize,
    /// Requests as a multiple of what all servers can do.
    load: f64,
    /// Requests that are sent at once.
    burst: usize,
}

fn capacity(queue: usize, max_rejections: Option<usize>) -> Capacity {
    Capacity { slots: SLOTS, queue, work: WORK, max_rejections, restart_after: RESTART_TIME }
}

/// Requests sent, and those that were served, by the time at which they were sent.
fn send_requests(vms: &[SocketAddr], case: &Case, until: Duration) -> Vec<(Duration, bool)> {
    let outcomes = Mutex::new(Vec::new());
    let rate = case.load * (case.servers * SLOTS) as f64 / WORK.as_secs_f64();
    let started = Instant::now();
    thread::scope(|scope| {
        for number in 0.. {
            let burst = number / case.burst * case.burst;
            let at = Duration::from_secs_f64(burst as f64 / rate);
            if at >= until {
                break;
            }
            thread::sleep(at.saturating_sub(started.elapsed()));
            let outcomes = &outcomes;
            let send = move || {
                let kind = if number % 4 == 0 { "once" } else { "safe" };
                let request = head(&format!("POST /{kind}/x"), &format!("call{number}"), "");
                let answer = try_ask(vms[number % vms.len()], &request, b"question");
                let is_served = answer.is_some_and(|answer| answer.status == 200);
                outcomes.lock().unwrap().push((at, is_served));
            };
            let spawned = thread::Builder::new().stack_size(256 * 1024).spawn_scoped(scope, send);
            spawned.expect("a thread starts");
        }
    });
    outcomes.into_inner().unwrap()
}

fn keeps_brittle_servers_up_and_busy(case: Case) {
    let _alone = ALONE.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    let mut site = Site::new().route("safe", "idempotent", json!({"latency_goal_ms": 1000})).route(
        "once",
        "non_idempotent",
        json!({"latency_goal_ms": 1000}),
    );
    site.publish();
    let servers: Vec<Replica> = (0..case.servers)
        .map(|at| site.replica_with(&format!("r{at}"), json!({"capacity": SLOTS})))
        .collect();
    for server in &servers {
        server.set_capacity(capacity(LONG_QUEUE, None));
    }
    let vms: Vec<Vm> = (0..case.vms).map(|_| site.start()).collect();
    are_ready(&vms);
    thread::sleep(DISCOVERY_TIME);
    let addresses: Vec<SocketAddr> = vms.iter().map(|vm| vm.callers).collect();
    let outcomes = thread::scope(|scope| {
        let sending = scope.spawn(|| send_requests(&addresses, &case, END));
        thread::sleep(ANNOUNCED_AT);
        for server in &servers {
            server.set_extra_header(&format!("Server-Brittle: {}", case.limit));
        }
        thread::sleep(SHORT_FROM - ANNOUNCED_AT);
        for server in &servers {
            server.set_capacity(capacity(SHORT_QUEUE, Some(case.limit)));
        }
        sending.join().unwrap()
    });
    let failures: usize = servers.iter().map(|server| server.crash_times().len()).sum();
    let allowed = 2 + case.servers / 10;
    let counted: Vec<bool> =
        outcomes.iter().filter(|(at, _)| *at >= COUNTED_FROM).map(|(_, served)| *served).collect();
    let able =
        (END - COUNTED_FROM).as_secs_f64() * (case.servers * SLOTS) as f64 / WORK.as_secs_f64();
    let served = counted.iter().filter(|served| **served).count() as f64;
    let part = served / able.min(counted.len() as f64);
    let rejected: usize = servers.iter().map(|server| server.rejection_times().len()).sum();
    println!(
        "{} VMs, {} servers, N {}, load {}: {failures} failures ({allowed} allowed), {part:.2} \
         served, {rejected} rejected by servers",
        case.vms, case.servers, case.limit, case.load
    );
    let logs = || vms.iter().map(Vm::log_end).collect::<String>();
    assert!(failures <= allowed, "{failures} failures\n{}", logs());
    assert!(part >= MIN_SERVED, "{part:.2} served\n{}", logs());
}

#[test]
fn brittle_servers_behind_three_vms_stay_up_and_busy() {
    keeps_brittle_servers_up_and_busy(Case { vms: 3, servers: 8, limit: 2, load: 1.6, burst: 1 });
}

#[test]
fn brittle_servers_with_little_load_stay_up_and_busy() {
    keeps_brittle_servers_up_and_busy(Case { vms: 3, servers: 8, limit: 2, load: 0.7, burst: 1 });
}

#[test]
fn brittle_servers_behind_seven_vms_stay_up_and_busy_in_bursts() {
    keeps_brittle_servers_up_and_busy(Case { vms: 7, servers: 12, limit: 3, load: 1.2, burst: 40 });
}

#[test]
fn brittle_servers_behind_fourteen_vms_stay_up_and_busy() {
    keeps_brittle_servers_up_and_busy(Case { vms: 14, servers: 12, limit: 2, load: 2.0, burst: 1 });
}

#[test]
fn brittle_servers_that_bear_many_rejections_stay_up_and_busy() {
    keeps_brittle_servers_up_and_busy(Case { vms: 7, servers: 8, limit: 10, load: 2.5, burst: 1 });
}

#[test]
fn brittle_servers_with_fewer_slots_than_vms_stay_up_and_busy() {
    keeps_brittle_servers_up_and_busy(Case { vms: 14, servers: 2, limit: 2, load: 0.8, burst: 1 });
}
