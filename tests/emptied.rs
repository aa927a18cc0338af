//! Evacuated data centres: their backend servers get no new requests, and running ones finish.

mod site;

use std::time::{Duration, Instant};

use kitepulley::standin::replica::Act;
use serde_json::json;
use site::{Site, are_ready, ask, eventually, head};

/// Kind of the evacuation orders in the store.
const EVACUATIONS: &str = "evacuations";

fn site() -> Site {
    Site::new().route("safe", "idempotent", json!({})).route(
        "stream",
        "streaming",
        json!({"stream_resume": true}),
    )
}

fn has_logged(vm: &site::Vm, event: &str) -> bool {
    vm.lines().iter().any(|line| line["event"] == event)
}

fn send(vm: &site::Vm, id: &str) -> u16 {
    ask(vm.callers, &head("GET /safe/x", id, ""), b"").status
}

#[test]
fn an_emptied_data_centre_gets_nothing_new_until_it_is_taken_back() {
    let mut site = site();
    site.publish();
    let evacuated = site.replica_with("r1", json!({"zone": "there"}));
    site.replica("r2", "v1");
    // The second VM gets the order from the first.
    let vms = [site.start_in("there"), site.start_in("there")];
    are_ready(&vms);
    site.store.put(EVACUATIONS, "there", json!({}));
    eventually("all know the order", || {
        vms.iter().all(|vm| has_logged(vm, "data centre evacuated"))
    });
    let before = evacuated.seen().len();
    for number in 0..20 {
        assert_eq!(send(&vms[number % 2], &format!("e{number}")), 200);
    }
    assert_eq!(evacuated.seen().len(), before);
    // A VM that starts during an evacuation reads the order before it is ready.
    let vm = site.start_in("there");
    are_ready(std::slice::from_ref(&vm));
    (0..20).for_each(|number| assert_eq!(send(&vm, &format!("n{number}")), 200));
    assert_eq!(evacuated.seen().len(), before);
    assert_eq!(vm.counter(&["kitepulley_emptied{", "there"]), 1.0);
    site.store.remove(EVACUATIONS, "there");
    eventually("it gets requests again", || {
        send(&vms[0], "back");
        evacuated.seen().len() > before
    });
}

#[test]
fn what_runs_in_a_data_centre_that_is_emptied_goes_on_to_its_end() {
    let mut site = site();
    let pause = Duration::from_millis(100);
    let evacuated = site.replica_with("r1", json!({"zone": "there"}));
    evacuated.usually(Act::Events { last: 12, cut_after: None, confidence: None, pause });
    let vm = site.start_ready();
    let answer = std::thread::scope(|scope| {
        let stream = || ask(vm.callers, &head("POST /stream/x", "s1", "X-Model: m\r\n"), b"x");
        let stream = scope.spawn(stream);
        eventually("the stream has started", || !evacuated.seen().is_empty());
        site.replica("r2", "v1");
        site.store.put(EVACUATIONS, "there", json!({}));
        eventually("the order is known", || has_logged(&vm, "data centre evacuated"));
        stream.join().unwrap()
    });
    assert!(answer.whole);
    assert_eq!(evacuated.seen().len(), 1);
}

#[test]
fn what_no_server_may_get_is_refused_at_once_and_has_not_run() {
    let mut site = site();
    let evacuated = site.replica_with("r1", json!({"zone": "there"}));
    let vm = site.start_ready();
    site.store.put(EVACUATIONS, "there", json!({}));
    eventually("the order is known", || has_logged(&vm, "data centre evacuated"));
    let started = Instant::now();
    let answer = ask(vm.callers, &head("GET /safe/x", "r1", ""), b"");
    assert_eq!(answer.status, 503);
    assert!(answer.header("Retry-After").is_some());
    assert!(started.elapsed() < Duration::from_millis(250), "{:?}", started.elapsed());
    assert!(evacuated.seen().is_empty());
}
