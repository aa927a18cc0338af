//! Callers of which nearly all come to one VM, while servers limit the rate of requests from all VMs
//! together.

mod site;

use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use kitepulley::standin::replica::{Action, Replica};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use site::{Site, Vm, are_ready, head, try_ask};

const VMS: usize = 7;
const SERVERS: usize = 8;

/// Rate limit that each server announces, in requests per second.
const LIMIT: usize = 14;

/// Requests per second of all callers.
const REQUEST_RATE: u64 = 60;

/// Share of the requests that come to one VM after [`EVEN_TIME`].
const UNEVEN_SHARE: f64 = 0.95;

/// Time for which the requests come to all VMs alike, and then for which most of them come to one VM
/// before they come to the next one.
const EVEN_TIME: Duration = Duration::from_secs(6);
const UNEVEN_TIME: Duration = Duration::from_secs(8);

/// Time after which the requests at one VM must be served.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Smallest part of the requests that are served, compared with the time before.
const MIN_SERVED: f64 = 0.75;

/// Window in which a server gets at most half as much again as its limit, and five.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
const MAX_IN_WINDOW: usize = LIMIT * 4 * 3 / 2 + 5;

/// Time in which started VMs discover each other, and learn the limits.
const DISCOVERY_TIME: Duration = Duration::from_millis(2500);

/// Returns the largest number of arrivals in a window.
fn most_in_window(mut arrivals: Vec<Instant>) -> usize {
    arrivals.sort();
    let in_window = |(at, first): (usize, &Instant)| {
        arrivals[at..].iter().take_while(|one| **one < *first + LIMIT_WINDOW).count()
    };
    arrivals.iter().enumerate().map(in_window).max().unwrap_or_default()
}

/// Sends requests on new connections, first to all VMs, then most of them to the first VM and then
/// to the second one. Returns when each was sent and if it was served at the first attempt.
fn send_requests(vms: &[Vm]) -> Vec<(Duration, bool)> {
    let outcomes = Mutex::new(Vec::new());
    let started = Instant::now();
    let mut rng = SmallRng::seed_from_u64(1);
    let interval = Duration::from_secs(1) / REQUEST_RATE as u32;
    thread::scope(|scope| {
        let mut at = Duration::ZERO;
        for number in 0.. {
            let preferred = match at {
                at if at < EVEN_TIME => None,
                at if at < EVEN_TIME + UNEVEN_TIME => Some(0),
                at if at < EVEN_TIME + 2 * UNEVEN_TIME => Some(1),
                _ => break,
            };
            let drawn = rng.random_range(0..vms.len());
            let vm = preferred.filter(|_| rng.random_bool(UNEVEN_SHARE)).unwrap_or(drawn);
            let (to, outcomes) = (vms[vm].callers, &outcomes);
            thread::sleep(at.saturating_sub(started.elapsed()));
            scope.spawn(move || {
                let head = head("POST /safe/x", &format!("call{number}"), "");
                let answer = try_ask(to, &head, format!("question {number}").as_bytes());
                let is_served = answer.is_some_and(|answer| answer.status == 200);
                outcomes.lock().unwrap().push((at, is_served));
            });
            at += interval;
        }
    });
    outcomes.into_inner().unwrap()
}

#[test]
fn requests_that_come_to_one_vm_are_served_where_servers_limit_their_rate() {
    let mut site = Site::new().route("safe", "idempotent", json!({"latency_goal_ms": 400}));
    site.publish();
    let servers: Vec<Replica> =
        (0..SERVERS).map(|at| site.replica(&format!("r{at}"), "v1")).collect();
    for server in &servers {
        server.set_default_action(Action::Slow(Duration::from_millis(60)));
        server.set_limit_header(Some(&LIMIT.to_string()));
    }
    let vms: Vec<Vm> = (0..VMS).map(|_| site.start()).collect();
    are_ready(&vms);
    thread::sleep(DISCOVERY_TIME);
    let outcomes = send_requests(&vms);
    let served = |from: Duration, to: Duration| {
        let sent = outcomes.iter().filter(|(at, _)| *at >= from && *at < to);
        let served: Vec<bool> = sent.map(|(_, is_served)| *is_served).collect();
        served.iter().filter(|served| **served).count() as f64 / served.len() as f64
    };
    let before = served(EVEN_TIME / 2, EVEN_TIME);
    let after = [0, 1].map(|vm| {
        let start = EVEN_TIME + vm * UNEVEN_TIME;
        (served(start, start + CONTACT_TIME), served(start + CONTACT_TIME, start + UNEVEN_TIME))
    });
    let most = servers
        .iter()
        .map(|server| most_in_window(server.requests().iter().map(|request| request.at).collect()));
    let most: Vec<usize> = most.collect();
    println!("served {before:.2}, then {after:.2?}; most requests of each server in 4 s: {most:?}");
    let logs = || vms.iter().map(Vm::log_end).collect::<String>();
    assert!(most.iter().all(|most| *most <= MAX_IN_WINDOW), "{most:?}\n{}", logs());
    for (_, later) in after {
        assert!(later >= MIN_SERVED * before, "{before:.2} {after:.2?}\n{}", logs());
    }
}
