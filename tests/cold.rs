//! Cold backend servers: the requests of all VMs together stay within the rate limit of such a
//! server.

mod site;

use std::time::{Duration, Instant};

use kitepulley::decide::server_limit::{Pacer, RateLimit, Share, is_sender};
use kitepulley::unit::{Moment, Rate, Span, hash};
use quickcheck::quickcheck;
use serde_json::json;
use site::{Site, are_ready, ask, eventually, head};

const SECOND: Span = Span::secs(1);

fn number(name: &str) -> u64 {
    hash::stable(&[name])
}

fn bound(rate: f64) -> RateLimit {
    RateLimit { rate: Rate(rate), window: SECOND }
}

/// Returns the largest number of these moments within one second.
fn most_in_a_second(mut moments: Vec<Moment>) -> usize {
    moments.sort();
    let within = |from: &Moment| {
        let end = *from + SECOND;
        moments.iter().filter(|at| (*from..end).contains(at)).count()
    };
    moments.iter().map(within).max().unwrap_or(0)
}

/// Returns when VMs that always have a request send to one cold server within five seconds. A VM
/// knows the VMs for which `knows` returns true.
fn sends(vms: usize, rate: f64, knows: impl Fn(usize, usize) -> bool) -> Vec<Moment> {
    let name = |vm: usize| number(&format!("vm{vm}"));
    let server = number("r1");
    let mut all = Vec::new();
    for own in 0..vms {
        let others: Vec<u64> =
            (0..vms).filter(|vm| *vm != own && knows(own, *vm)).map(name).collect();
        let part = Share::new(&bound(rate), others.len() + 1);
        let mut turns = Pacer::default();
        // The VMs start at different moments.
        let mut now = Moment(own as u64 * 7_919 % 1_000_000);
        while is_sender(&part, server, name(own), &others) && now < Moment(5_000_000) {
            now = turns.reserve(&part, now).send_at;
            all.push(now);
        }
    }
    all
}

quickcheck! {
    /// For any number of VMs and any rate, no second has more requests than the rate.
    fn all_vms_together_stay_within_the_rate(vms: u8, tenths: u16) -> bool {
        let (vms, rate) = (1 + usize::from(vms) % 120, f64::from(1 + tenths % 400) / 10.0);
        most_in_a_second(sends(vms, rate, |_, _| true)) as f64 <= rate.max(1.0)
    }

    /// A tenth of the VMs' knowledge of each other may be missing: what a service tolerates beyond
    /// its rate covers that.
    fn vms_that_know_unlike_things_stay_within_what_is_granted(seed: u8) -> bool {
        let knows = |own: usize, other: usize| !number(&format!("{seed} {own} {other}")).is_multiple_of(10);
        most_in_a_second(sends(84, 8.8, knows)) as f64 <= 8.8 * 1.5 + 5.0
    }
}

#[test]
fn most_of_the_rate_is_used_when_there_is_work() {
    let sent = sends(84, 8.8, |_, _| true).len();
    assert!(sent >= 35, "{sent} requests in five seconds");
}

/// A site whose cold servers accept four requests per second.
fn site() -> Site {
    let service = json!({"name": "api", "max_connections": 64, "cold_start_s": 3, "cold_per_s": 4});
    let times = json!({"latency_goal_ms": 2500, "timeout_ms": 4000});
    let site = Site::new().route("safe", "idempotent", times);
    site.change(|config| config["services"] = json!([service]))
}

fn most_seen_in_a_second(server: &kitepulley::standin::replica::Replica, from: Instant) -> usize {
    let since = |at: Instant| Moment(at.duration_since(from).as_micros() as u64);
    most_in_a_second(server.requests().iter().map(|seen| since(seen.at)).collect())
}

fn send(vm: &site::Vm, id: &str) -> u16 {
    let line = head("GET /safe/x", id, "").replace("X-Deadline-Ms: 2500", "X-Deadline-Ms: 4000");
    ask(vm.callers, &line, b"").status
}

#[test]
fn a_cold_server_alone_gets_what_it_bears_and_the_rest_is_refused_or_waits() {
    let mut site = site();
    site.publish();
    let begun = Instant::now();
    let cold = site.replica_with("r1", json!({"cold_remaining_ms": 60_000}));
    let vms = [site.start(), site.start(), site.start()];
    are_ready(&vms);
    // Gives the VMs the time to learn of each other.
    std::thread::sleep(Duration::from_millis(2000));
    let answers: Vec<u16> = std::thread::scope(|scope| {
        let one = |number: usize| {
            let vm = &vms[number % 3];
            scope.spawn(move || send(vm, &format!("c{number}")))
        };
        let threads: Vec<_> = (0..24).map(one).collect();
        threads.into_iter().map(|thread| thread.join().unwrap()).collect()
    });
    let served = answers.iter().filter(|status| **status == 200).count();
    let refused = answers.iter().filter(|status| **status == 503).count();
    assert_eq!(served + refused, 24, "{answers:?}");
    assert_eq!(cold.requests().len(), served, "a refused request has not run");
    assert!(served >= 6, "{served} served before the callers' deadlines");
    let most = most_seen_in_a_second(&cold, begun);
    assert!(most <= 4, "{most} requests in a second");
}

#[test]
fn a_cold_server_beside_a_warm_one_keeps_nobody_waiting() {
    let mut site = site();
    let begun = Instant::now();
    let cold = site.replica_with("r1", json!({"cold_remaining_ms": 60_000}));
    let warm = site.replica("r2", "v1");
    let vm = site.start_ready();
    std::thread::sleep(Duration::from_millis(1600));
    let asked = Instant::now();
    (0..40).for_each(|number| assert_eq!(send(&vm, &format!("w{number}")), 200));
    assert!(asked.elapsed() < Duration::from_secs(2), "{:?}", asked.elapsed());
    assert_eq!(cold.requests().len() + warm.requests().len(), 40);
    assert!(most_seen_in_a_second(&cold, begun) <= 4);
    assert_eq!(vm.counter(&["kitepulley_cold_servers{", "api"]), 1.0);
    let passed = |line: &serde_json::Value| {
        line["trail"].as_str().is_some_and(|trail| trail.contains("skipped 0 evacuated, 1 cold"))
    };
    eventually("the log names the skipped cold server", || vm.lines().iter().any(passed));
    // Once warm, the server gets its share of the requests.
    let before = cold.requests().len();
    site.list("r1", "v1", "ready", cold.address);
    eventually("it gets more requests than a cold server would", || {
        for _ in 0..10 {
            send(&vm, "more");
        }
        cold.requests().len() > before + 10
    });
}

#[test]
fn servers_of_a_data_centre_that_is_taken_back_may_be_cold() {
    let mut site = site();
    let begun = Instant::now();
    let back = site.replica_with("r1", json!({"zone": "there"}));
    site.store.write_spec("evacuations", "there", json!({}));
    let vm = site.start_ready();
    std::thread::sleep(Duration::from_millis(1600));
    site.store.delete_object("evacuations", "there");
    eventually("the end of the evacuation is known", || {
        vm.lines().iter().any(|line| line["event"] == "evacuation withdrawn")
    });
    std::thread::scope(|scope| {
        (0..20).for_each(|number| {
            drop(scope.spawn({
                let vm = &vm;
                move || send(vm, &format!("b{number}"))
            }))
        });
    });
    assert!(!back.requests().is_empty());
    let most = most_seen_in_a_second(&back, begun);
    assert!(most <= 4, "{most} requests in a second");
}
