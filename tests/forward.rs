//! An entry VM on the users' platform, run as a process: each way that an attempt can end, streams,
//! API keys, routes, failures of the store, planned stops.

mod site;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use kitepulley::standin::platform::Switches;
use kitepulley::standin::replica::Action;
use serde_json::json;
use site::{Site, ask, eventually, follows, head, try_ask};

/// Kinds of routes as the platform names them.
const SAFE: &str = "idempotent";
const ONCE: &str = "non_idempotent";
const STREAM: &str = "streaming";

fn site() -> Site {
    Site::new()
        .route("safe", SAFE, json!({}))
        .route("once", ONCE, json!({}))
        .route("stream", STREAM, json!({"stream_resume": true}))
        .route("cascade", STREAM, json!({"stream_resume": true, "sizes": ["small", "large"]}))
        .route("talk", STREAM, json!({}))
}

fn events(last: u64, cut_after: Option<u64>) -> Action {
    Action::Events { last, cut_after, confidence: None, pause: Duration::ZERO }
}

fn pieces(upto: u64) -> String {
    (1..=upto).map(|id| format!("id: {id}\ndata: piece {id}\n\n")).collect()
}

#[test]
fn a_request_goes_through_unchanged_and_its_answer_comes_back_signed() {
    let mut site = site().workspace("roasters", &["secret"]);
    let replica = site.replica("r1", "v1");
    let vm = site.start_ready();
    let more = "Authorization: Token secret\r\nX-Tenant: someone-else\r\nX-Hold: 7\r\nKv-Fetch: 127.0.0.1:9\r\nX-Own: kept\r\n";
    let answer = ask(vm.callers, &head("POST /once/a/b?c=d%20e", "id1", more), b"two bags");
    assert_eq!((answer.status, answer.text().as_str(), answer.whole), (200, "fine", true));
    assert_eq!(answer.header("x-response-signature").as_deref(), Some("sig.id1"));
    let seen = replica.requests().pop().expect("it arrived");
    assert_eq!(seen.line, "POST /once/a/b?c=d%20e");
    assert_eq!(seen.body, b"two bags");
    assert_eq!(seen.header("x-attempt-id"), Some("id1"));
    assert_eq!(seen.header("x-tenant"), Some("roasters"));
    assert_eq!(seen.header("x-expect-instance"), Some("r1"));
    assert_eq!(seen.header("x-own"), Some("kept"));
    assert_eq!(seen.header("authorization"), None);
    assert_eq!(seen.header("x-hold"), None);
    assert_eq!(seen.header("kv-fetch"), None);
    let left: u64 = seen.header("x-deadline-ms").unwrap().parse().unwrap();
    assert!((1..=2500).contains(&left), "{left}");
}

/// Each outcome of an attempt at a request that may not be repeated.
#[test]
fn what_may_not_be_repeated_runs_at_most_once_whatever_happens() {
    let mut site = site();
    let replica = site.replica("r1", "v1");
    let vm = site.start_ready();
    let rows = [
        (Action::Reset, 502),
        (Action::CutLength, 502),
        (Action::CutChunk, 502),
        (Action::Garbage, 502),
        (Action::Unsigned, 502),
        (Action::Unframed { reset: true }, 502),
        (Action::Unframed { reset: false }, 200),
        (Action::Whole(500, "failed".to_owned()), 500),
        (Action::Whole(503, "ran and failed".to_owned()), 502),
        (Action::Slow(Duration::from_secs(4)), 504),
    ];
    for (number, (act, status)) in rows.into_iter().enumerate() {
        let id = format!("once{number}");
        replica.push_action(act.clone());
        let answer = ask(vm.callers, &head("POST /once/x", &id, ""), b"order");
        assert_eq!(answer.status, status, "{act:?}");
        assert!(answer.whole, "{act:?}");
        let arrived = replica
            .requests()
            .iter()
            .filter(|seen| seen.header("x-attempt-id") == Some(&id))
            .count();
        assert_eq!(arrived, 1, "{act:?}");
    }
}

#[test]
fn what_may_be_repeated_goes_elsewhere_until_an_answer_is_whole() {
    let mut site = site();
    let replica = site.replica("r1", "v1");
    let other = site.replica("r2", "v1");
    let vm = site.start_ready();
    let acts = [
        Action::Reset,
        Action::CutLength,
        Action::CutChunk,
        Action::Garbage,
        Action::Unsigned,
        Action::Unframed { reset: true },
        Action::Whole(500, "failed".to_owned()),
        Action::NotRun,
        Action::Misdirected,
    ];
    for (number, act) in acts.into_iter().enumerate() {
        // Both servers do the same, as either may be tried first.
        replica.push_action(act.clone());
        other.push_action(act.clone());
        let id = format!("safe{number}");
        let answer = ask(vm.callers, &head("GET /safe/x", &id, ""), b"");
        let arrived = |one: &kitepulley::standin::replica::Replica| {
            one.requests().iter().filter(|seen| seen.header("x-attempt-id") == Some(&id)).count()
        };
        let sends = arrived(&replica) + arrived(&other);
        assert!(sends == 2, "{act:?}: {sends} sends, {}", answer.status);
        // Both attempts failed alike, so the caller gets the final response for this outcome.
        let expected = match act {
            Action::Whole(500, _) => 500,
            Action::NotRun | Action::Misdirected => 503,
            _ => 502,
        };
        assert_eq!(answer.status, expected, "{act:?}");
        // Waits until servers that were ejected after a few failures are used again.
        eventually("requests succeed again", || {
            ask(vm.callers, &head("GET /safe/x", "again", ""), b"").status == 200
        });
    }
}

#[test]
fn a_server_that_did_not_run_a_request_leaves_it_to_another() {
    let mut site = site();
    let replica = site.replica("r1", "v1");
    replica.set_default_action(Action::NotRun);
    let other = site.replica("r2", "v1");
    let vm = site.start_ready();
    for number in 0..6 {
        let answer = ask(vm.callers, &head("POST /once/x", &format!("n{number}"), ""), b"order");
        assert_eq!(answer.status, 200);
    }
    assert_eq!(other.requests().len(), 6);
}

#[test]
fn a_refusal_is_true_and_says_when_to_come_back() {
    let mut site = site();
    let replica = site.replica("r1", "v1");
    replica.set_default_action(Action::NotRun);
    let vm = site.start_ready();
    let answer = ask(vm.callers, &head("POST /once/x", "refused", ""), b"order");
    assert_eq!(answer.status, 503);
    let again: f64 = answer.header("retry-after").unwrap().parse().unwrap();
    assert!(again > 0.0 && again <= 2.5 / 3.0, "{again}");
    assert!(answer.text().contains("\"ran\":\"no\""), "{}", answer.text());
    assert!(answer.header("x-response-signature").is_none());
}

#[test]
fn a_server_that_does_not_open_is_passed_over() {
    let mut site = site();
    let good = site.replica("r2", "v1");
    // An address without a listener.
    let nobody = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    site.list("r1", "v1", "ready", nobody);
    let vm = site.start_ready();
    for number in 0..5 {
        let answer = ask(vm.callers, &head("POST /once/x", &format!("d{number}"), ""), b"order");
        assert_eq!(answer.status, 200);
    }
    assert_eq!(good.requests().len(), 5);
}

#[test]
fn an_answer_for_another_request_is_never_passed_on() {
    let mut site = site();
    let replica = site.replica("r1", "v1");
    let vm = site.start_ready();
    for act in [Action::ForeignFirst, Action::ForeignAfter, Action::Whole(200, "yours".to_owned())]
    {
        replica.push_action(act.clone());
        let answer = ask(vm.callers, &head("POST /once/x", "mine", ""), b"order");
        assert_eq!((answer.status, answer.text().as_str()), (200, "yours"), "{act:?}");
        assert_eq!(answer.header("x-attempt-id").as_deref(), Some("mine"));
    }
}

#[test]
fn an_early_answer_to_a_long_body_ends_the_use_of_its_connection() {
    let mut site = site();
    let replica = site.replica("r1", "v1");
    let vm = site.start_ready();
    replica.push_action(Action::Early);
    let answer = ask(vm.callers, &head("POST /once/x", "long", ""), &vec![b'x'; 90_000]);
    assert_eq!((answer.status, answer.text().as_str()), (200, "early"));
    let next = ask(vm.callers, &head("POST /once/x", "next", ""), b"order");
    assert_eq!((next.status, next.text().as_str()), (200, "fine"));
    let bodies: Vec<usize> = replica.requests().iter().map(|seen| seen.body.len()).collect();
    assert!(bodies.iter().all(|length| *length == 90_000 || *length == 5), "{bodies:?}");
}

#[test]
fn a_silent_server_does_not_use_up_the_time_of_what_may_be_repeated() {
    let mut site = site();
    let slow = Action::Slow(Duration::from_secs(5));
    let one = site.replica("r1", "v1");
    let two = site.replica("r2", "v1");
    one.set_default_action(slow.clone());
    let vm = site.start_ready();
    // Sends requests until one was tried at the silent server.
    let mut number = 0;
    while one.requests().is_empty() {
        number += 1;
        let begun = Instant::now();
        let answer = ask(vm.callers, &head("GET /safe/x", &format!("silent{number}"), ""), b"");
        assert_eq!(answer.status, 200);
        assert!(begun.elapsed() < Duration::from_millis(2500), "{:?}", begun.elapsed());
        assert!(number < 50, "the silent server was never tried");
    }
    assert_eq!(two.requests().len(), number);
}

#[test]
fn a_stream_goes_on_at_another_server_without_gap_or_repeat() {
    let mut site = site();
    let one = site.replica("r1", "v1");
    let two = site.replica("r2", "v1");
    one.set_default_action(events(9, Some(4)));
    two.set_default_action(events(9, Some(4)));
    let vm = site.start_ready();
    let answer = ask(vm.callers, &head("POST /stream/x", "s1", ""), b"prompt");
    assert_eq!(answer.status, 200);
    // Each server sends four events per attempt: 4 + 4 + 1 in three attempts.
    assert!(answer.text().starts_with(&pieces(8)), "{}", answer.text());
    let seen: Vec<_> = one.requests().into_iter().chain(two.requests()).collect();
    let after: Vec<_> = seen.iter().map(|seen| seen.header("last-event-id")).collect();
    assert!(after.contains(&None) && after.contains(&Some("4")), "{after:?}");
    assert!(seen.len() <= 3, "{}", seen.len());
}

/// Starts a server that answers one request with `text` after a delay, and reports when the caller
/// closes the connection.
fn scripted_server(text: &'static str, after: Duration) -> (SocketAddr, mpsc::Receiver<Instant>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (closed, times) = mpsc::channel();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, closed) = (stream.unwrap(), closed.clone());
            std::thread::spawn(move || {
                let mut bytes = [0; 4096];
                if !matches!(stream.read(&mut bytes), Ok(got) if got > 0) {
                    return;
                }
                std::thread::sleep(after);
                let head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: s1\r\nX-Response-Signature: sig\r\n\
                            Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
                let _ = stream.write_all(format!("{head}{text}").as_bytes());
                while matches!(stream.read(&mut bytes), Ok(got) if got > 0) {}
                let _ = closed.send(Instant::now());
            });
        }
    });
    (address, times)
}

/// Guards against two servers that work on one stream, as the connection to the first one stays open
/// after bytes that are no answer until the second one has sent its first event.
#[test]
fn a_stream_that_goes_on_elsewhere_is_closed_at_the_server_before() {
    const FIRST_EVENT: Duration = Duration::from_millis(600);
    let fields = json!({"stream_resume": true, "latency_goal_ms": 2000});
    let mut site = Site::new().route("stream", STREAM, fields);
    let event = "17\r\nid: 1\ndata: piece one\n\n\r\n";
    let garbled: &str = Box::leak(format!("{event}no size\r\n").into_boxed_str());
    let rest = "17\r\nid: 2\ndata: piece two\n\n\r\n0\r\n\r\n";
    let (first, closed) = scripted_server(garbled, Duration::ZERO);
    let (second, _closed) = scripted_server(rest, FIRST_EVENT);
    site.publish();
    site.list("r1", "v1", "ready", first);
    // The server in the own data centre is tried before this one.
    site.list_with("r2", second, json!({"zone": "there"}));
    let vm = site.start();
    eventually("the VM is ready", || vm.is_ready());
    let started = Instant::now();
    let answer = ask(vm.callers, &head("POST /stream/x", "s1", ""), b"prompt");
    let both = ["piece one", "piece two"].iter().all(|piece| answer.text().contains(piece));
    assert!(answer.whole && both, "{}\n{:?}", answer.text(), vm.lines().last());
    let closed_at = closed.recv_timeout(Duration::from_secs(5)).expect("it is closed");
    let open = closed_at.duration_since(started);
    assert!(open < FIRST_EVENT / 2, "it was open for {open:?}\n{}", vm.log_end());
}

/// A stream breaks off and is resumed at a server that accepts it but sends nothing. It must move
/// on to a third server while time is left.
#[test]
fn a_stream_that_goes_on_at_a_silent_server_goes_on_at_a_third() {
    let mut site = site();
    let pause = Duration::from_millis(300);
    let first = site.replica("r1", "v1");
    first.set_default_action(Action::Events {
        last: 6,
        cut_after: Some(3),
        confidence: None,
        pause,
    });
    // The server in the own data centre is tried before this one.
    let third = site.replica_with("r3", json!({"zone": "there"}));
    third.set_default_action(events(6, None));
    let vm = site.start_ready();
    std::thread::scope(|scope| {
        let asked = scope.spawn(|| ask(vm.callers, &head("POST /stream/x", "t1", ""), b"prompt"));
        eventually("it runs", || !first.requests().is_empty());
        let silent = site.replica("r2", "v1");
        silent.set_default_action(Action::Slow(Duration::from_secs(5)));
        let answer = asked.join().expect("no panic");
        assert!(answer.whole && answer.text() == pieces(6), "{}\n{}", answer.text(), vm.log_end());
        let seen = [&first, &silent, &third].map(|server| server.requests().len());
        assert_eq!(seen, [1, 1, 1]);
    });
}

#[test]
fn a_silent_server_that_still_opens_connections_keeps_its_streams() {
    let mut site = site();
    let slow = site.replica("r1", "v1");
    let act = Action::Events {
        last: 3,
        cut_after: None,
        confidence: None,
        pause: Duration::from_millis(700),
    };
    slow.push_action(act);
    let vm = site.start_ready();
    let other = site.replica("r2", "v1");
    let answer = ask(vm.callers, &head("GET /stream/x", "id1", ""), b"");
    assert!(answer.whole && answer.text() == pieces(3), "{}", answer.head);
    assert!(other.requests().is_empty() || slow.requests().is_empty(), "it ran at one server only");
}

#[test]
fn a_stream_that_may_not_be_resumed_is_broken_off_and_does_not_look_whole() {
    let mut site = site();
    let one = site.replica("r1", "v1");
    one.set_default_action(events(9, Some(4)));
    let vm = site.start_ready();
    let answer = ask(vm.callers, &head("POST /talk/x", "t1", ""), b"prompt");
    assert_eq!(answer.status, 200);
    assert_eq!(answer.text(), pieces(4));
    assert!(!answer.whole);
    assert_eq!(one.requests().len(), 1);
}

#[test]
fn a_caller_that_goes_on_gets_what_it_lacks() {
    let mut site = site();
    let replica = site.replica("r1", "v1");
    replica.set_default_action(events(6, None));
    let vm = site.start_ready();
    let answer = ask(vm.callers, &head("POST /stream/x", "l1", "Last-Event-Id: 4\r\n"), b"prompt");
    assert_eq!(answer.text(), "id: 5\ndata: piece 5\n\nid: 6\ndata: piece 6\n\n");
    assert!(answer.whole);
}

/// A stream without a length or chunks ends with its connection. It was broken off if it ends within
/// an event, of which the caller gets nothing.
#[test]
fn a_stream_without_framing_is_whole_unless_it_ends_within_an_event() {
    let mut site = site();
    let replica = site.replica("r1", "v1");
    let vm = site.start_ready();
    for (cut, events) in [(false, 3), (true, 2)] {
        replica.push_action(Action::UnframedEvents { cut });
        let answer = ask(vm.callers, &head("POST /talk/x", &format!("cut {cut}"), ""), b"story");
        let received = answer.text().matches("\n\n").count();
        assert_eq!((answer.status, answer.whole, received), (200, !cut, events), "cut: {cut}");
    }
}

#[test]
fn a_server_hears_at_once_that_the_caller_left_its_stream() {
    let mut site = site();
    let replica = site.replica("r1", "v1");
    let pause = Duration::from_millis(100);
    replica.set_default_action(Action::Events {
        last: 100,
        cut_after: None,
        confidence: None,
        pause,
    });
    let vm = site.start_ready();
    let mut stream = TcpStream::connect(vm.callers).unwrap();
    let text = head("POST /stream/x", "leaves", "Content-Length: 1\r\n");
    stream.write_all(format!("{text}\r\nx").as_bytes()).unwrap();
    let mut bytes = [0; 512];
    assert!(stream.read(&mut bytes).unwrap() > 0);
    drop(stream);
    eventually("the log says that the caller left", || {
        vm.lines().iter().any(|line| line["outcome"] == "caller left its stream")
    });
}

#[test]
fn a_small_model_in_doubt_gives_way_to_the_largest() {
    let mut site = site();
    let replica = site.replica("r1", "v1");
    let vm = site.start_ready();
    let answers = |confidence| Action::Events {
        last: 2,
        cut_after: None,
        confidence: Some(confidence),
        pause: Duration::ZERO,
    };
    let models = |id: &str| -> Vec<String> {
        let seen = replica.requests();
        let of_id = seen.iter().filter(|seen| seen.header("x-attempt-id") == Some(id));
        of_id.map(|seen| seen.header("x-model").unwrap_or_default().to_owned()).collect()
    };
    replica.push_action(answers(95));
    let sure = ask(vm.callers, &head("POST /cascade/x", "sure", "X-Model: *\r\n"), b"prompt");
    assert_eq!((sure.text(), models("sure")), (pieces(2), vec!["small".to_owned()]));
    replica.push_action(answers(5)).push_action(answers(50));
    let unsure = ask(vm.callers, &head("POST /cascade/x", "unsure", "X-Model: *\r\n"), b"prompt");
    assert_eq!(unsure.text(), pieces(2));
    assert_eq!(models("unsure"), ["small", "large"]);
    replica.push_action(answers(5));
    ask(vm.callers, &head("POST /cascade/x", "named", "X-Model: small\r\n"), b"prompt");
    assert_eq!(models("named"), ["small"]);
}

#[test]
fn the_longest_prefix_of_the_host_decides_and_weights_split() {
    let mut site = Site::new()
        .route("a", SAFE, json!({"service": "other"}))
        .route("longer", SAFE, json!({"path_prefix": "/a/b/"}))
        .route(
            "split",
            SAFE,
            json!({"backends": [
            {"service": "api", "weight": 0}, {"service": "api2", "weight": 1}]}),
        );
    let replica = site.replica("r1", "v1");
    let vm = site.start_ready();
    assert_eq!(ask(vm.callers, &head("GET /a/b/c", "p1", ""), b"").status, 200);
    assert_eq!(ask(vm.callers, &head("GET /a/bb", "p2", ""), b"").status, 503);
    assert_eq!(ask(vm.callers, &head("GET /split/x", "p3", ""), b"").status, 503);
    assert_eq!(ask(vm.callers, &head("GET /b/", "p4", ""), b"").status, 404);
    let foreign = "GET /a/b/c HTTP/1.1\r\nHost: other.example\r\nX-Attempt-Id: p5\r\n";
    assert_eq!(ask(vm.callers, foreign, b"").status, 404);
    assert_eq!(replica.requests().len(), 1);
}

#[test]
fn keys_come_and_go_while_the_process_runs() {
    let mut site = site().workspace("roasters", &["old"]);
    site.replica("r1", "v1");
    let vm = site.start_ready();
    let status = |key: &str| {
        let more = format!("Authorization: Token {key}\r\n");
        ask(vm.callers, &head("GET /safe/x", "k", &more), b"").status
    };
    assert_eq!((status("old"), status("new")), (200, 401));
    site.config["tenants"][0]["api_keys"] = json!(["new"]);
    site.publish();
    eventually("the new key is known", || status("new") == 200);
    assert_eq!(status("old"), 401);
    // An older configuration that arrives late changes nothing.
    site.store.write_spec("config", "main", json!({"version": 1, "routes": [], "services": []}));
    std::thread::sleep(Duration::from_millis(400));
    assert_eq!(status("new"), 200);
}

#[test]
fn a_vm_that_cannot_prove_that_its_keys_are_good_refuses_and_comes_back() {
    let mut site = site().workspace("roasters", &["key"]);
    let replica = site.replica("r1", "v1");
    let vm = site.start_ready();
    let more = "Authorization: Token key\r\n";
    let status = || ask(vm.callers, &head("GET /safe/x", "f", more), b"").status;
    assert_eq!(status(), 200);
    site.store.set_switches(Switches { is_down: true, ..Switches::default() });
    // The key is revoked while the store is unreachable.
    site.config["tenants"][0]["api_keys"] = json!([]);
    site.publish();
    let taken = Instant::now();
    std::thread::sleep(Duration::from_millis(2000));
    let before = replica.requests().len();
    assert_eq!(status(), 503);
    assert!(!vm.is_ready(), "{:?}", taken.elapsed());
    assert_eq!(replica.requests().len(), before);
    site.store.set_switches(Switches::default());
    eventually("it is ready again", || vm.is_ready());
    assert_eq!(status(), 401);
    assert_eq!(replica.requests().len(), before);
}

#[test]
fn the_store_s_refusals_and_lost_history_are_got_over() {
    let mut site = site();
    site.replica("r1", "v1");
    let vm = site.start_ready();
    let status = |path: &str| ask(vm.callers, &head(&format!("GET {path}"), "h", ""), b"").status;
    for (round, switches) in [
        Switches { is_rate_limiting: true, ..Switches::default() },
        Switches { is_down: true, ..Switches::default() },
        Switches { slow_ms: 300, ..Switches::default() },
    ]
    .into_iter()
    .enumerate()
    {
        site.store.set_switches(switches);
        let name = format!("round{round}");
        site = site.route(&name, SAFE, json!({}));
        site.publish();
        site.store.compact();
        std::thread::sleep(Duration::from_millis(700));
        site.store.set_switches(Switches::default());
        eventually("the new route is served", || status(&format!("/{name}/x")) == 200);
    }
    for event in ["watch history expired", "store regained"] {
        eventually(event, || vm.lines().iter().any(|line| line["event"] == event));
    }
}

#[test]
fn a_configuration_that_does_not_read_leaves_the_last_good_one() {
    let mut site = site();
    site.replica("r1", "v1");
    let vm = site.start_ready();
    site.store.write_spec("config", "main", json!({"version": "seven", "routes": 3}));
    eventually("it is counted", || vm.counter(&["kitepulley_unreadable", "config"]) >= 1.0);
    assert_eq!(ask(vm.callers, &head("GET /safe/x", "g", ""), b"").status, 200);
    eventually("it is logged", || {
        vm.lines().iter().any(|line| line["event"] == "invalid object ignored")
    });
}

#[test]
fn a_leaving_server_gets_no_new_work() {
    let mut site = site();
    let leaving = site.replica("r1", "v1");
    let staying = site.replica("r2", "v1");
    let vm = site.start_ready();
    site.list("r1", "v1", "draining", leaving.address);
    eventually("the entry is known", || {
        vm.lines().iter().any(|line| line["event"] == "server entry" && line["ready"] == false)
    });
    let before = leaving.requests().len();
    for number in 0..6 {
        ask(vm.callers, &head("POST /once/x", &format!("l{number}"), ""), b"order");
    }
    assert_eq!((leaving.requests().len(), staying.requests().len()), (before, 6 - before + before));
}

#[test]
fn a_planned_stop_cuts_nothing_off_and_says_so_to_the_balancer() {
    let mut site = site();
    let replica = site.replica("r1", "v1");
    replica.set_default_action(Action::Slow(Duration::from_millis(1200)));
    let mut vm = site.start_ready();
    let callers = vm.callers;
    let asked =
        std::thread::spawn(move || ask(callers, &head("POST /once/x", "open", ""), b"order"));
    eventually("it arrived", || !replica.requests().is_empty());
    vm.signal(libc::SIGTERM);
    eventually("it is not ready", || !vm.is_ready());
    let answer = asked.join().unwrap();
    assert_eq!((answer.status, answer.text().as_str()), (200, "slow"));
    assert_eq!(answer.header("connection").as_deref(), Some("close"));
    let ended = vm.process.wait().unwrap();
    assert!(ended.success());
    let lines = vm.lines();
    let stop = lines.iter().find(|line| line["event"] == "stop").expect("the stop is logged");
    assert_eq!(stop["cut_off"], 0.0);
}

#[test]
fn requests_that_come_until_the_end_of_a_planned_stop_are_answered_or_not_taken() {
    let mut site = site();
    site.bounds["grace_s"] = json!(8);
    let replica = site.replica("r1", "v1");
    // Most of the time one request is running; the stop may end in the gap between two.
    replica.set_default_action(Action::Slow(Duration::from_millis(60)));
    let mut vm = site.start_ready();
    vm.signal(libc::SIGTERM);
    let begun = Instant::now();
    std::thread::sleep(Duration::from_millis(2300));
    let mut unanswered = Vec::new();
    let mut number = 0;
    while vm.process.try_wait().unwrap().is_none() {
        assert!(begun.elapsed() < Duration::from_secs(9), "the process ends in time");
        number += 1;
        let id = format!("late{number}");
        if site::try_ask(vm.callers, &head("GET /safe/x", &id, ""), b"").is_none() {
            unanswered.push(id);
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    let seen = replica.requests();
    let ran = |id: &&String| seen.iter().any(|seen| seen.header("x-attempt-id") == Some(id));
    let lost: Vec<&String> = unanswered.iter().filter(ran).collect();
    assert!(number > 5 && lost.is_empty(), "ran without an answer: {lost:?}");
}

#[test]
fn a_hangup_reads_the_settings_again_and_harms_nothing() {
    let mut site = site();
    site.replica("r1", "v1");
    let vm = site.start_ready();
    vm.signal(libc::SIGHUP);
    eventually("it is logged", || {
        vm.lines().iter().any(|line| line["event"] == "settings read again")
    });
    assert_eq!(ask(vm.callers, &head("GET /safe/x", "u", ""), b"").status, 200);
}

#[test]
fn a_body_that_is_too_long_is_refused() {
    let mut site = site();
    let replica = site.replica("r1", "v1");
    let vm = site.start_ready();
    let answer = ask(vm.callers, &head("POST /once/x", "big", ""), &vec![b'x'; 200_000]);
    assert_eq!(answer.status, 413);
    assert!(replica.requests().is_empty());
}

/// Sends requests, each in its own session, until `holds` returns true.
fn load_until(vm: &site::Vm, what: &str, mut holds: impl FnMut() -> bool) {
    let mut number = 0;
    eventually(what, || {
        number += 1;
        let more = format!("Session: {what}{number}\r\n");
        let answer = ask(vm.callers, &head("GET /safe/x", &format!("{what}{number}"), &more), b"");
        assert!(answer.status == 200 || answer.status == 500, "{}", answer.status);
        holds()
    });
}

fn order(site: &Site, seconds: f64) {
    order_version(site, "v2", seconds);
}

fn order_version(site: &Site, version: &str, seconds: f64) {
    let order = json!({"service": "api", "target_version": version, "duration_s": seconds});
    site.store.write_spec("rollouts", "api", order);
}

#[test]
fn a_bad_version_is_rolled_back_and_gets_no_more_requests() {
    let mut site = site();
    site.replica("r1", "v1");
    let vm = site.start_ready();
    let bad = site.replica("r2", "v2");
    bad.set_default_action(Action::Whole(500, "bad".to_owned()));
    order(&site, 60.0);
    load_until(&vm, "bad", || site.store.status("rollouts", "api")["state"] == "rolled_back");
    let met = bad.requests().len();
    assert!((1..=40).contains(&met), "{met}");
    for number in 0..30 {
        ask(vm.callers, &head("GET /safe/x", &format!("after{number}"), ""), b"");
    }
    assert_eq!(bad.requests().len(), met);
    assert!(vm.lines().iter().any(|line| line["event"] == "roll-out moved"));
}

/// Guards against a version that was rolled back and serves again as an old one while the next
/// version is rolled out.
#[test]
fn a_version_that_was_rolled_back_gets_no_requests_during_the_next_rollout() {
    let mut site = site();
    let old = site.replica("r1", "v1");
    let vm = site.start_ready();
    let bad = site.replica("r2", "v2");
    bad.set_default_action(Action::Whole(500, "bad".to_owned()));
    order(&site, 60.0);
    load_until(&vm, "bad", || site.store.status("rollouts", "api")["state"] == "rolled_back");
    let met = bad.requests().len();
    let _new = site.replica("r3", "v3");
    order_version(&site, "v3", 60.0);
    eventually("the next rollout runs", || {
        site.store.status("rollouts", "api")["target_version"] == "v3"
    });
    let before = old.requests().len();
    for number in 0..40 {
        let more = format!("Session: next{number}\r\n");
        let answer = ask(vm.callers, &head("GET /safe/x", &format!("next{number}"), &more), b"");
        assert_eq!(answer.status, 200);
    }
    assert_eq!(bad.requests().len(), met, "{}", vm.log_end());
    assert!(old.requests().len() > before);
}

#[test]
fn a_good_version_takes_over_before_its_time_is_up() {
    let mut site = site();
    let old = site.replica("r1", "v1");
    let vm = site.start_ready();
    let new = site.replica("r2", "v2");
    let begun = Instant::now();
    order(&site, 6.0);
    load_until(&vm, "good", || site.store.status("rollouts", "api")["state"] == "completed");
    assert!(begun.elapsed() < Duration::from_secs(6), "{:?}", begun.elapsed());
    let before = old.requests().len();
    let met = new.requests().len();
    for number in 0..10 {
        assert_eq!(
            ask(vm.callers, &head("GET /safe/x", &format!("g{number}"), ""), b"").status,
            200
        );
    }
    assert_eq!((old.requests().len(), new.requests().len()), (before, met + 10));
}

#[test]
fn a_session_stays_on_its_version_while_the_trial_is_young() {
    let mut site = site();
    site.replica("r1", "v1");
    let vm = site.start_ready();
    let send = |session: u32| {
        let more = format!("Session: s{session}\r\n");
        ask(vm.callers, &head("GET /safe/x", &format!("s{session}"), &more), b"").status
    };
    for session in 0..40 {
        assert_eq!(send(session), 200);
    }
    let new = site.replica("r2", "v2");
    order(&site, 60.0);
    eventually("the trial runs", || site.store.status("rollouts", "api")["state"] == "in_progress");
    std::thread::sleep(Duration::from_millis(500));
    for session in 0..40 {
        assert_eq!(send(session), 200);
    }
    assert_eq!(new.requests().len(), 0, "live sessions stay on the old version");
}

#[test]
fn vms_find_one_another_through_the_store_and_say_goodbye() {
    let mut site = site();
    site.replica("r1", "v1");
    let one = site.start_ready();
    let mut two = site.start_ready();
    let heard = |vm: &site::Vm, event: &str| vm.lines().iter().any(|line| line["event"] == event);
    eventually("each has received a message of the other", || {
        heard(&one, "peer became live") && heard(&two, "peer became live")
    });
    two.signal(libc::SIGTERM);
    eventually("the other VM knows of the stop", || heard(&one, "peer left"));
    assert!(two.process.wait().unwrap().success());
}

#[test]
fn a_request_that_comes_just_after_a_start_is_served() {
    // The load balancer uses all VMs of a data centre if most are not ready, as after a restart of
    // all of them.
    let mut site = site().workspace("roasters", &["key"]);
    site.replica("r1", "v1");
    let mut vms = vec![site.start_ready(), site.start_ready()];
    vms.iter_mut().for_each(site::Vm::kill);
    vms.iter_mut().for_each(site::Vm::start_again);
    let request = head("GET /safe/x", "id", "Authorization: Token key\r\n");
    for vm in &vms {
        let mut answer = None;
        eventually("it accepts connections", || {
            answer = try_ask(vm.callers, &request, b"");
            answer.is_some()
        });
        let answer = answer.expect("there is one");
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
}

fn store_calls(vm: &site::Vm) -> usize {
    let page = ask(vm.metrics, "GET /metrics HTTP/1.1\r\nHost: x\r\n", b"");
    let text = page.text();
    let counts = text.lines().filter(|line| line.starts_with("kitepulley_store_calls{"));
    counts.filter_map(|line| line.rsplit(' ').next()?.parse::<usize>().ok()).sum()
}

#[test]
fn one_vm_reads_the_store_for_the_others_and_another_when_it_is_gone() {
    let mut site = site().workspace("roasters", &["old"]);
    site.replica("r1", "v1");
    let mut vms = vec![site.start_ready(), site.start_ready(), site.start_ready()];
    eventually("two follow the third", || vms.iter().filter(|vm| follows(vm)).count() == 2);
    let before: Vec<usize> = vms.iter().map(store_calls).collect();
    // Longer than the maximum age of a proof: followers get theirs from the reader.
    std::thread::sleep(Duration::from_secs(3));
    let status = |vm: &site::Vm, key: &str| {
        let more = format!("Authorization: Token {key}\r\n");
        ask(vm.callers, &head("GET /safe/x", "id", &more), b"").status
    };
    for (vm, before) in vms.iter().zip(before) {
        assert_eq!(status(vm, "old"), 200);
        assert!(!follows(vm) || store_calls(vm) == before, "a follower called the store");
    }
    let replace = |site: &mut Site, key: &str| {
        site.config["tenants"][0]["api_keys"] = json!([key]);
        site.publish();
    };
    replace(&mut site, "new");
    for vm in &vms {
        eventually("the new key is in force", || status(vm, "new") == 200);
        assert_eq!(status(vm, "old"), 401);
    }
    // The reader is killed at the moment at which another change is acknowledged.
    let reader = vms.iter().position(|vm| !follows(vm)).expect("one reads");
    vms.remove(reader).signal(libc::SIGKILL);
    replace(&mut site, "newest");
    let changed = Instant::now();
    for vm in &vms {
        eventually("the newest key is in force", || status(vm, "newest") == 200);
        assert!(changed.elapsed() < Duration::from_secs(2), "{:?}", changed.elapsed());
        assert_eq!(status(vm, "new"), 401);
    }
    eventually("one follows the other", || vms.iter().filter(|vm| follows(vm)).count() == 1);
}

#[test]
fn a_vm_that_starts_before_the_first_configuration_is_ready_soon_after_it() {
    let mut site = site().workspace("roasters", &["key"]);
    site.replica("r1", "v1");
    let vm = site.start();
    std::thread::sleep(Duration::from_millis(800));
    assert!(!vm.is_ready(), "it knows no configuration");
    site.publish();
    let published = Instant::now();
    eventually("it is ready", || vm.is_ready());
    assert!(published.elapsed() < Duration::from_secs(2), "{:?}", published.elapsed());
}

#[test]
fn a_server_that_lapsed_while_the_store_was_away_is_used_until_it_had_time_to_come_back() {
    let mut site = site();
    let replica = site.replica("r1", "v1");
    let vm = site.start_ready();
    site.store.set_switches(Switches { is_down: true, ..Switches::default() });
    eventually("the store is lost", || vm.lines().iter().any(|line| line["event"] == "store lost"));
    site.store.delete_object("servers", "r1");
    site.store.set_switches(Switches::default());
    eventually("its entry is gone", || {
        vm.lines().iter().any(|line| {
            line["event"] == "server gone"
                || (line["event"] == "servers listed" && line["count"] == 0.0)
        })
    });
    assert_eq!(ask(vm.callers, &head("GET /safe/x", "id1", ""), b"").status, 200);
    site.list("r1", "v1", "ready", replica.address);
    std::thread::sleep(Duration::from_secs(3));
    assert_eq!(ask(vm.callers, &head("GET /safe/x", "id2", ""), b"").status, 200);
    site.store.delete_object("servers", "r1");
    eventually("it is removed for good", || {
        ask(vm.callers, &head("GET /safe/x", "id3", ""), b"").status == 503
    });
}

#[test]
fn a_server_that_went_while_the_store_was_away_is_not_used_three_seconds_after_its_return() {
    let mut site = site();
    site.replica("r1", "v1");
    let vm = site.start_ready();
    site.store.set_switches(Switches { is_down: true, ..Switches::default() });
    // Long enough for the retry delay to grow.
    std::thread::sleep(Duration::from_millis(3500));
    site.store.delete_object("servers", "r1");
    site.store.set_switches(Switches::default());
    let back = Instant::now();
    let status = || ask(vm.callers, &head("GET /safe/x", "id", ""), b"").status;
    while back.elapsed() < Duration::from_millis(1700) {
        assert_eq!(
            status(),
            200,
            "it may still return, {:?} after the store recovered",
            back.elapsed()
        );
        std::thread::sleep(Duration::from_millis(100));
    }
    std::thread::sleep(Duration::from_millis(3000).saturating_sub(back.elapsed()));
    assert_eq!(status(), 503, "{:?} after the store recovered", back.elapsed());
}

#[test]
fn a_write_whose_answer_is_lost_moves_a_roll_out_once() {
    let mut site = site();
    site.replica("r1", "v1");
    let vm = site.start_ready();
    site.replica("r2", "v2");
    site.store.set_switches(Switches { lose: 1, late: 1, ..Switches::default() });
    order(&site, 60.0);
    load_until(&vm, "lost", || site.store.status("rollouts", "api")["state"] == "in_progress");
    eventually("the VM knows", || {
        vm.lines().iter().any(|line| line["event"] == "roll-out" && line["share"] != 0.0)
    });
}

#[test]
fn a_repeat_stays_with_the_version_of_its_session() {
    let mut site = site();
    let old = site.replica("r1", "v1");
    let vm = site.start_ready();
    // As many servers as a request may have attempts: the old version serves only if none is left.
    let new = ["r2", "r3", "r4"].map(|id| site.replica(id, "v2"));
    for replica in &new {
        replica.set_default_action(Action::NotRun);
    }
    eventually("all are known", || {
        vm.lines().iter().filter(|line| line["version"] == "v2").count() == new.len()
    });
    order(&site, 60.0);
    eventually("the trial runs", || site.store.status("rollouts", "api")["state"] == "in_progress");
    let ids = |replica: &kitepulley::standin::replica::Replica| -> Vec<String> {
        let seen = replica.requests();
        seen.iter().filter_map(|seen| seen.header("x-attempt-id").map(str::to_owned)).collect()
    };
    for number in 0..60 {
        let more = format!("Session: t{number}\r\n");
        ask(vm.callers, &head("GET /safe/x", &format!("t{number}"), &more), b"");
    }
    let asked: Vec<Vec<String>> = new.iter().map(ids).collect();
    assert!(
        asked.iter().filter(|ids| !ids.is_empty()).count() >= 2,
        "a server of the trial and others are tried"
    );
    let strays: Vec<String> =
        ids(&old).into_iter().filter(|id| asked.concat().contains(id)).collect();
    let told = |id: &String| vm.lines().into_iter().find(|line| line["id"] == id.as_str());
    assert!(strays.is_empty(), "{:?}", strays.iter().map(told).collect::<Vec<_>>());
}

#[test]
fn streams_are_not_begun_late_in_a_planned_stop() {
    let mut site = site().route("long", STREAM, json!({"timeout_ms": 9000}));
    site.bounds["grace_s"] = json!(6);
    let replica = site.replica("r1", "v1");
    let pause = Duration::from_millis(100);
    replica.set_default_action(Action::Events {
        last: 45,
        cut_after: None,
        confidence: None,
        pause,
    });
    let vm = site.start_ready();
    let long = |id: &str| {
        let line = "POST /long/x HTTP/1.1\r\nHost: h.example\r\nX-Deadline-Ms: 9000\r\n";
        ask(vm.callers, &format!("{line}X-Attempt-Id: {id}\r\n"), b"prompt")
    };
    std::thread::scope(|scope| {
        let open = scope.spawn(|| long("before"));
        eventually("it arrived", || !replica.requests().is_empty());
        vm.signal(libc::SIGTERM);
        std::thread::sleep(Duration::from_millis(3200));
        let late = long("late");
        assert_eq!((late.status, late.header("connection").as_deref()), (503, Some("close")));
        assert_eq!(late.header("retry-after").as_deref(), Some("0.000"));
        let answer = open.join().unwrap();
        assert!(answer.whole && answer.text() == pieces(45), "{}", answer.text());
    });
    assert_eq!(replica.requests().len(), 1);
}

/// A stream with a low confidence.
fn doubtful() -> Action {
    Action::Events { last: 2, cut_after: None, confidence: Some(5), pause: Duration::ZERO }
}

#[test]
fn a_request_whose_small_answer_was_dropped_is_not_refused_as_not_run() {
    let mut site = site();
    let replica = site.replica("r1", "v1");
    let vm = site.start_ready();
    replica.push_action(doubtful()).set_default_action(Action::NotRun);
    let answer = ask(vm.callers, &head("POST /cascade/x", "ran", "X-Model: *\r\n"), b"prompt");
    assert_eq!(answer.status, 502, "{}", answer.text());
    assert!(answer.text().contains("\"ran\":\"unknown\""), "{}", answer.text());
}

/// The server does not run the request for the larger model, so that the smaller model runs again.
#[test]
fn a_small_model_answers_again_if_the_larger_cannot() {
    let mut site = site();
    let replica = site.replica("r1", "v1");
    let vm = site.start_ready();
    replica.push_action(doubtful()).push_action(Action::NotRun).push_action(events(2, None));
    let answer = ask(vm.callers, &head("POST /cascade/x", "again", "X-Model: *\r\n"), b"prompt");
    assert_eq!((answer.status, answer.text()), (200, pieces(2)));
    let models: Vec<String> = replica
        .requests()
        .iter()
        .map(|seen| seen.header("x-model").unwrap_or_default().to_owned())
        .collect();
    assert_eq!(models, ["small", "large", "small"]);
}

#[test]
fn a_cascade_that_may_not_be_repeated_keeps_its_first_answer() {
    let mut site = site().route("final", STREAM, json!({"sizes": ["small", "large"]}));
    let replica = site.replica("r1", "v1");
    let vm = site.start_ready();
    replica.set_default_action(doubtful());
    let answer = ask(vm.callers, &head("POST /final/x", "once", "X-Model: *\r\n"), b"prompt");
    assert_eq!((answer.status, answer.text()), (200, pieces(2)));
    assert_eq!(replica.requests().len(), 1);
}

/// A response header that is new to the platform must show in the metrics and the log.
#[test]
fn headers_of_servers_that_nothing_decodes_are_counted_by_name() {
    let mut site = Site::new().route("safe", "idempotent", json!({}));
    site.publish();
    let server = site.replica("r0", "v1");
    let vm = site.start_ready();
    let count = |name: &str| vm.counter(&["kitepulley_unknown_headers{", name]);
    let send = || assert_eq!(ask(vm.callers, &head("GET /safe/x", "word", ""), b"").status, 200);
    send();
    let page = ask(vm.metrics, "GET /metrics HTTP/1.1\r\nHost: x\r\n", b"");
    assert!(!String::from_utf8_lossy(&page.body).contains("kitepulley_unknown_headers{"));
    server.set_extra_header("Server-Mood: fine");
    (0..3).for_each(|_| send());
    assert_eq!(count("server-mood"), 3.0);
    (0..40).for_each(|number| {
        server.set_extra_header(&format!("Server-Word-{number}: fine"));
        send();
    });
    assert_eq!((count("server-word-30\""), count("others")), (1.0, 9.0));
    let told = || vm.lines().iter().filter(|line| line["event"] == "unknown header").count();
    eventually("one line per name, and one for all others", || told() == 33);
}

#[test]
fn a_vm_that_starts_again_after_a_kill_is_told_things_at_once() {
    let mut site = site();
    site.replica("r1", "v1");
    let mut vms = [site.start_ready(), site.start(), site.start()];
    let heard =
        |vm: &site::Vm| vm.lines().iter().filter(|one| one["event"] == "peer became live").count();
    eventually("all VMs receive messages of each other", || vms.iter().all(|vm| heard(vm) == 2));
    vms[0].kill();
    vms[0].start_again();
    let started = Instant::now();
    eventually("it receives messages of the others", || heard(&vms[0]) == 4);
    assert!(started.elapsed() < Duration::from_secs(4), "{:?}", started.elapsed());
}
