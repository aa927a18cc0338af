//! Backend servers that crash: what a VM can tell of it from a connection that broke.

mod site;

use std::time::Duration;

use kitepulley::standin::replica::Act;
use serde_json::{Value, json};
use site::{Site, Vm, ask, eventually, head};

fn site() -> Site {
    Site::new().route("safe", "idempotent", json!({})).route("stream", "streaming", json!({}))
}

/// What checks of a server found, and how many answers had broken off there.
fn checks(vm: &Vm, server: &str) -> Vec<(String, u64)> {
    let lines = vm.lines();
    let of_server =
        lines.iter().filter(|line| line["event"] == "server checked" && line["server"] == server);
    let told = |line: &Value| {
        let broken = line["broken"].as_f64().unwrap_or_default() as u64;
        (line["found"].as_str().unwrap_or_default().to_owned(), broken)
    };
    of_server.map(told).collect()
}

#[test]
fn a_server_that_lives_is_told_from_one_that_crashed() {
    let mut site = site();
    let replica = site.replica("r1", "v1");
    let vm = site.start_ready();
    replica.then(Act::Reset);
    ask(vm.callers, &head("GET /safe/x", "reset", ""), b"");
    eventually("it was checked", || checks(&vm, "r1") == [("Lives".to_owned(), 1)]);
    replica.usually(Act::Slow(Duration::from_millis(400)));
    let waiting: Vec<_> = (0..3)
        .map(|at| {
            let (callers, head) = (vm.callers, head("GET /safe/x", &format!("lost{at}"), ""));
            std::thread::spawn(move || ask(callers, &head, b"").status)
        })
        .collect();
    eventually("all three run", || replica.seen().len() == 4);
    replica.crash(None);
    for one in waiting {
        assert!(one.join().unwrap() >= 500);
    }
    eventually("it was found gone", || {
        let gone = checks(&vm, "r1").into_iter().skip(1);
        let broken: Vec<u64> =
            gone.filter(|(found, _)| found == "IsGone").map(|(_, broken)| broken).collect();
        broken.iter().sum::<u64>() == 3
    });
    assert_eq!(vm.counter(&["kitepulley_checks", "Lives"]), 1.0);
}

#[test]
fn a_server_that_ends_as_planned_has_not_crashed() {
    let mut site = site();
    let replica = site.replica("r1", "v1");
    let vm = site.start_ready();
    replica.then(Act::Slow(Duration::from_millis(1500)));
    let (callers, head) = (vm.callers, head("GET /safe/x", "late", ""));
    let waiting = std::thread::spawn(move || ask(callers, &head, b"").status);
    eventually("it runs", || !replica.seen().is_empty());
    site.list("r1", "v1", "draining", replica.address);
    eventually("the VM knows that it leaves", || {
        vm.lines().iter().any(|line| line["event"] == "server entry" && line["ready"] == false)
    });
    replica.crash(None);
    assert_eq!(waiting.join().unwrap(), 502);
    assert!(checks(&vm, "r1").is_empty(), "{}", vm.log_end());
}

#[test]
fn requests_with_the_same_content_have_the_same_digest() {
    let mut site = site().workspace("roasters", &["key1", "key2"]).workspace("nest", &["key3"]);
    site.replica("r1", "v1");
    let vm = site.start_ready();
    let content = |id: &str, line: &str, key: &str, more: &str, body: &[u8]| {
        let more = format!("Authorization: Token {key}\r\n{more}");
        assert_eq!(ask(vm.callers, &head(line, id, &more), body).status, 200);
        let told = || {
            let lines = vm.lines();
            let line =
                lines.into_iter().find(|line| line["event"] == "request" && line["id"] == id);
            line.map(|line| line["content"].as_str().unwrap_or_default().to_owned())
        };
        eventually("the request was told", || told().is_some());
        told().expect("it was told")
    };
    let first = content("a", "POST /safe/x?y=1", "key1", "", b"order");
    assert_eq!(first.len(), 32);
    let same = content("b", "POST /safe/x?y=1", "key2", "Session: other\r\n", b"order");
    assert_eq!(first, same, "another id, key, session");
    let others = [
        content("c", "POST /safe/x?y=1", "key3", "", b"order"),
        content("d", "POST /safe/x?y=2", "key1", "", b"order"),
        content("e", "POST /safe/x?y=1", "key1", "", b"ordes"),
        content("f", "PUT /safe/x?y=1", "key1", "", b"order"),
    ];
    assert!(!others.contains(&first), "{others:?}");
}
