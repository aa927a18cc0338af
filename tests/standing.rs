//! Draining and backoff, which backend servers announce in their response headers.
//!
//! Guards against requests to servers that announced that they drain or need a backoff. A server
//! announced in all its responses that it drains while the store, which has its entry, was lost for
//! 12 seconds. The VM of its data centre forwarded those responses and sent it 14 more requests,
//! the last of them 2.7 s after the first response. Elsewhere four of twelve servers of a model
//! rejected requests for nine seconds and asked each time for a backoff of 3 s. They got ten times
//! as many requests as before, all rejected, up to 16 per second from one VM; a tenth of the
//! callers was refused after three such servers, while eight others were nearly idle.
//!
//! Nothing kept what a server announced: only its entry in the store decided if it gets requests,
//! and its reported load was taken as free capacity. A server that rejects everything runs nothing,
//! so every VM took it for the least loaded. The header was dropped when the response had ended.
//!
//! Before the fix each late send went to a server that had announced that it drains, up to 1.20 s
//! before, or that was backing off for up to 1.41 s more.

mod site;

use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use actix_http::header::{HeaderValue, RETRY_AFTER};
use actix_http::{ResponseHead, StatusCode};
use kitepulley::command::block_on;
use kitepulley::decide::availability::{Availability, Signal, Unavailable};
use kitepulley::decide::outcome::AttemptOutcome;
use kitepulley::forward::replica::Replica as Life;
use kitepulley::forward::server::Fleet;
use kitepulley::forward::{attempt, selection};
use kitepulley::platform::header;
use kitepulley::standin::platform::Switches;
use kitepulley::standin::replica::{Action, Replica};
use kitepulley::unit::{Moment, Span};
use quickcheck::quickcheck;
use serde_json::json;
use site::{Answer, Site, Vm, are_ready, ask, head, three_kinds};

/// Time after which an announcement applies at the VM that received it: a response takes a
/// millisecond, and choosing a server and opening a connection take a few more. Users allow two
/// seconds, and two requests during a backoff after half a second.
const SIGNAL_DELAY: Duration = Duration::from_millis(50);

/// How long callers send requests, and the pause between two requests of one of them.
const LOAD_DURATION: Duration = Duration::from_secs(3);
const CALL_INTERVAL: Duration = Duration::from_millis(8);

const CALLERS_PER_VM: usize = 4;

/// A backoff that servers ask for: the header value and the duration.
const BACKOFF: (&str, Duration) = ("1.5", Duration::from_millis(1500));

/// One request line of each kind: idempotent, not idempotent, and a stream that can resume on
/// another server.
const REQUEST_LINES: [&str; 3] = ["POST /safe/x", "POST /once/x", "POST /stream/x"];

/// Returns the normal response of a server to a request line.
fn serves(line: &str) -> Action {
    match line.contains("stream") {
        true => {
            let pause = Duration::from_millis(2);
            Action::Events { last: 4, cut_after: None, confidence: None, pause }
        }
        false => Action::Whole(200, "fine".into()),
    }
}

fn servers(site: &Site, count: usize, line: &str) -> Vec<Replica> {
    let servers: Vec<_> = (0..count).map(|at| site.replica(&format!("r{at}"), "v1")).collect();
    for server in &servers {
        server.set_default_action(serves(line));
    }
    servers
}

fn vms(site: &Site, count: usize) -> Vec<Vm> {
    let vms: Vec<Vm> = (0..count).map(|_| site.start()).collect();
    are_ready(&vms);
    vms
}

/// Returns the id of a request. It names the VM, so that the records of the servers show which VM
/// forwarded it.
fn id(vm: usize, caller: usize, number: usize) -> String {
    format!("vm{vm}-{caller}-{number}")
}

/// Sends requests to all VMs for [`LOAD_DURATION`] and returns the responses.
fn load(vms: &[Vm], line: &str) -> Vec<Answer> {
    let calls = |vm: usize, caller: usize| {
        let started = Instant::now();
        let mut answers = Vec::new();
        while started.elapsed() < LOAD_DURATION {
            let head = head(line, &id(vm, caller, answers.len()), "");
            answers.push(ask(vms[vm].callers, &head, format!("{caller}").as_bytes()));
            std::thread::sleep(CALL_INTERVAL);
        }
        answers
    };
    std::thread::scope(|scope| {
        let each =
            (0..vms.len()).flat_map(|vm| (0..CALLERS_PER_VM).map(move |caller| (vm, caller)));
        let callers: Vec<_> =
            each.map(|(vm, caller)| scope.spawn(move || calls(vm, caller))).collect();
        callers.into_iter().flat_map(|caller| caller.join().expect("no panic")).collect()
    })
}

/// Returns the times at which requests from one VM arrived at a server, in order.
fn arrivals(server: &Replica, vm: usize) -> Vec<Instant> {
    let prefix = format!("vm{vm}-");
    let of_vm = |id: &str| id.starts_with(&prefix);
    let seen = server.requests();
    let sent = seen.iter().filter(|seen| seen.header("x-attempt-id").is_some_and(of_vm));
    let mut at: Vec<Instant> = sent.map(|seen| seen.at).collect();
    at.sort();
    at
}

/// Returns the number of requests from one VM that reached a server after that VM knew that it
/// drains, and the delay of the last one.
fn after_leaving(server: &Replica, vm: usize, said: Instant) -> (usize, Duration) {
    let arrivals = arrivals(server, vm);
    let since: Vec<Instant> = arrivals.into_iter().filter(|at| *at >= said).collect();
    let Some(first) = since.first() else { return (0, Duration::ZERO) };
    let late =
        since.iter().map(|at| at.duration_since(*first)).filter(|after| *after > SIGNAL_DELAY);
    (late.clone().count(), late.max().unwrap_or_default())
}

/// Returns the number of requests from one VM that reached a server during a backoff that it had
/// asked that VM for.
fn count_during_backoff(server: &Replica, vm: usize) -> usize {
    let mut asked: Option<Instant> = None;
    let mut late = 0;
    for at in arrivals(server, vm) {
        let after = asked.map(|asked| at.duration_since(asked));
        match after {
            Some(after) if after < BACKOFF.1 => late += usize::from(after > SIGNAL_DELAY),
            _ => asked = Some(at),
        }
    }
    late
}

fn assert_all_served(answers: &[Answer]) {
    let failed: Vec<u16> =
        answers.iter().map(|answer| answer.status).filter(|status| *status != 200).collect();
    assert!(failed.is_empty(), "{} of {} not served: {failed:?}", failed.len(), answers.len());
}

fn logs(vms: &[Vm]) -> String {
    vms.iter().map(Vm::log_end).collect()
}

#[test]
fn a_server_that_said_that_it_leaves_gets_nothing_new_while_the_store_is_away() {
    for line in REQUEST_LINES {
        let site = three_kinds();
        let servers = servers(&site, 3, line);
        let vms = vms(&site, 2);
        site.store.set_switches(Switches { is_down: true, ..Switches::default() });
        let said = Instant::now();
        servers[0].announce_draining();
        assert_all_served(&load(&vms, line));
        for vm in 0..vms.len() {
            let (late, by) = after_leaving(&servers[0], vm, said);
            assert_eq!(late, 0, "{line}: VM {vm}, up to {by:?} later\n{}", logs(&vms));
        }
    }
}

#[test]
fn a_server_that_asked_for_rest_gets_none_of_what_comes_meanwhile() {
    for line in REQUEST_LINES {
        let site = three_kinds();
        let servers = servers(&site, 4, line);
        let vms = vms(&site, 2);
        for server in &servers[..2] {
            server.set_default_action(Action::RetryAfter(BACKOFF.0.into()));
        }
        assert_all_served(&load(&vms, line));
        for (at, server) in servers[..2].iter().enumerate() {
            assert!(!server.rejection_times().is_empty(), "the server got no request");
            for vm in 0..vms.len() {
                let late = count_during_backoff(server, vm);
                assert_eq!(late, 0, "{line}: server {at}, VM {vm}\n{}", logs(&vms));
            }
        }
    }
}

/// The header applies with any status, and however the response ends.
#[test]
fn leaving_is_heard_whatever_becomes_of_the_answer() {
    let acts = [
        Action::Whole(200, "fine".into()),
        Action::Whole(404, "none".into()),
        Action::Whole(500, "failed".into()),
        Action::NotRun,
        Action::CutLength,
        Action::CutChunk,
        Action::Unframed { reset: true },
        Action::ForeignFirst,
        Action::Events { last: 9, cut_after: Some(1), confidence: None, pause: Duration::ZERO },
    ];
    for act in acts {
        let site = three_kinds();
        let servers = servers(&site, 2, "POST /safe/x");
        let vms = vms(&site, 1);
        servers[0].set_default_action(act.clone()).announce_draining();
        let started = Instant::now();
        while servers[0].requests().is_empty() {
            assert!(started.elapsed() < LOAD_DURATION, "{act:?}: the server got no request");
            ask(vms[0].callers, &head("POST /safe/x", "first", ""), b"x");
        }
        std::thread::sleep(SIGNAL_DELAY);
        let before = servers[0].requests().len();
        for number in 0..40 {
            let answer = ask(vms[0].callers, &head("POST /safe/x", &id(0, 0, number), ""), b"x");
            assert_eq!(answer.status, 200, "{act:?}");
        }
        assert_eq!(servers[0].requests().len(), before, "{act:?}\n{}", logs(&vms));
    }
}

/// The caller disconnects while the body of the response is still being sent.
#[test]
fn leaving_is_heard_though_the_caller_has_left() {
    let site = three_kinds();
    let servers = servers(&site, 2, "POST /stream/x");
    let vms = vms(&site, 1);
    let pause = Duration::from_millis(500);
    let endless = Action::Events { last: 60, cut_after: None, confidence: None, pause };
    servers.iter().for_each(|server| {
        server.set_default_action(endless.clone()).announce_draining();
    });
    let text = head("POST /stream/x", "left", "") + "Content-Length: 1\r\n\r\nx";
    let mut caller = TcpStream::connect(vms[0].callers).unwrap();
    caller.write_all(text.as_bytes()).unwrap();
    let asked = |server: &Replica| !server.requests().is_empty();
    site::eventually("a server got the request", || servers.iter().any(asked));
    std::thread::sleep(SIGNAL_DELAY);
    drop(caller);
    let (leaving, other) = if asked(&servers[0]) { (0, 1) } else { (1, 0) };
    servers[other].set_default_action(serves("POST /stream/x"));
    for number in 0..20 {
        ask(vms[0].callers, &head("POST /stream/x", &id(0, 0, number), ""), b"x");
    }
    assert_eq!(servers[leaving].requests().len(), 1, "{}", logs(&vms));
}

/// All servers are backing off: requests are refused at once, with a time to retry at which the
/// first of them is available again.
#[test]
fn what_comes_while_all_rest_is_refused_until_the_first_is_back() {
    let site = three_kinds();
    let servers = servers(&site, 2, "POST /safe/x");
    let vms = vms(&site, 1);
    servers[0].set_default_action(Action::RetryAfter("1.0".into()));
    servers[1].set_default_action(Action::RetryAfter("30".into()));
    for number in 0..4 {
        ask(vms[0].callers, &head("POST /safe/x", &id(0, 0, number), ""), b"x");
    }
    let before: Vec<usize> = servers.iter().map(|server| server.requests().len()).collect();
    let started = Instant::now();
    let patient = head("POST /safe/x", "refused", "").replace("2500", "9000");
    let refused = ask(vms[0].callers, &patient, b"x");
    assert_eq!(refused.status, 503);
    assert!(started.elapsed() < Duration::from_millis(200), "held for {:?}", started.elapsed());
    let after: f64 = refused.header("retry-after").unwrap().parse().unwrap();
    // The time to retry is at most a third of the deadline that the route leaves its callers.
    assert!((0.85..=1.0).contains(&after), "{after}");
    assert_eq!(before, servers.iter().map(|server| server.requests().len()).collect::<Vec<_>>());
    for server in &servers {
        server.set_default_action(serves("POST /safe/x"));
    }
    site::eventually("the first server is available again", || {
        ask(vms[0].callers, &head("POST /safe/x", "again", ""), b"x").status == 200
    });
    assert!(started.elapsed() < Duration::from_millis(2000), "back after {:?}", started.elapsed());
    assert_eq!(servers[1].requests().len(), before[1]);
}

/// The end of a draining server is no crash, even if its entry does not show yet that it drains.
#[test]
fn a_server_that_said_that_it_leaves_and_ends_accuses_no_request() {
    let site = three_kinds();
    let servers = servers(&site, 2, "POST /stream/x");
    let vms = vms(&site, 1);
    let pause = Duration::from_millis(100);
    let long = Action::Events { last: 30, cut_after: None, confidence: None, pause };
    for server in &servers {
        server.set_default_action(long.clone()).announce_draining();
    }
    std::thread::scope(|scope| {
        let first = scope.spawn(|| ask(vms[0].callers, &head("POST /stream/x", "one", ""), b"x"));
        site::eventually("the request runs", || {
            servers.iter().any(|server| !server.requests().is_empty())
        });
        std::thread::sleep(3 * pause);
        // The idle server goes first: a stream that is resumed there must not meet its crash.
        let (running, idle): (Vec<&Replica>, Vec<&Replica>) =
            servers.iter().partition(|server| !server.requests().is_empty());
        idle.into_iter().chain(running).for_each(|server| server.crash(None));
        drop(first.join().expect("no panic"));
    });
    // A liveness check takes one or two connections.
    std::thread::sleep(10 * SIGNAL_DELAY);
    let checked = vms[0].counter(&["kitepulley_checks{"]);
    assert_eq!(checked, 0.0, "{}", logs(&vms));
}

/// Requests wait for a backoff that ends within the latency goal, and are not all sent at once.
#[test]
fn what_can_still_be_served_in_time_waits_for_the_end_of_a_rest() {
    const WAITING: usize = 12;
    let mut site = Site::new().route("safe", "idempotent", json!({"latency_goal_ms": 2500}));
    site.publish();
    let server = &servers(&site, 1, "POST /safe/x")[0];
    server.set_default_action(Action::RetryAfter("0.8".into()));
    let vms = vms(&site, 1);
    ask(vms[0].callers, &head("POST /safe/x", "first", ""), b"x");
    let asked = Instant::now();
    server.set_default_action(Action::Slow(Duration::from_millis(100)));
    let send = |number| ask(vms[0].callers, &head("POST /safe/x", &id(0, 0, number), ""), b"x");
    let answers: Vec<Answer> = std::thread::scope(|scope| {
        let callers: Vec<_> =
            (0..WAITING).map(|number| scope.spawn(move || send(number))).collect();
        callers.into_iter().map(|caller| caller.join().expect("no panic")).collect()
    });
    assert_all_served(&answers);
    let at: Vec<Duration> = arrivals(server, 0).iter().map(|at| at.duration_since(asked)).collect();
    assert_eq!(at.len(), WAITING);
    assert!(at[0] >= Duration::from_millis(750), "{at:?}");
    // The second is sent once the first was accepted.
    assert!(at[1] - at[0] >= Duration::from_millis(100), "{at:?}");
}

fn replica(id: &str, born: u64) -> Life {
    Life {
        id: id.parse().unwrap(),
        started_at_ms: Some(born),
        service: "api".parse().unwrap(),
        address: "127.0.0.1:9".parse().unwrap(),
        data_centre: "here".parse().unwrap(),
        version: "v1".parse().unwrap(),
        slots: 8,
        cold: Span(0),
        ready: true,
    }
}

/// Announcements of an incarnation apply while its entry lapses and comes back, and end with it.
#[test]
fn what_a_life_has_said_holds_until_the_next_life() {
    let at = |ms: u64| Moment(ms * 1000);
    let mut fleet = Fleet::default();
    let first = replica("r0", 1);
    fleet.upsert(first.clone(), at(0));
    let said = Signal { draining: true, backoff: Some(Span::secs(2)) };
    fleet.incarnation_mut(&first).unwrap().availability.observe(said, at(10));
    fleet.upsert(first.clone(), at(20));
    assert!(matches!(fleet.unavailable_reason(&first, at(30)), Some(Unavailable::Draining(_))));
    for kept_until in [Some(at(50)), None] {
        fleet.remove(&first.id, kept_until, at(40));
        fleet.expire(at(50));
        assert_eq!(fleet.unavailable_reason(&first, at(50)), Some(Unavailable::Removed));
        fleet.upsert(first.clone(), at(60));
        assert!(matches!(fleet.unavailable_reason(&first, at(60)), Some(Unavailable::Draining(_))));
    }
    let second = replica("r0", 2);
    fleet.upsert(second.clone(), at(70));
    assert_eq!(fleet.unavailable_reason(&second, at(80)), None);
    assert_eq!(fleet.unavailable_reason(&first, at(80)), Some(Unavailable::Removed));
}

/// Guards against a removal that another VM reports once more, which keeps the server for longer.
#[test]
fn a_removal_that_is_reported_again_does_not_keep_a_server_for_longer() {
    let at = |ms: u64| Moment(ms * 1000);
    let mut fleet = Fleet::default();
    let server = replica("r0", 1);
    fleet.upsert(server.clone(), at(0));
    fleet.remove(&server.id, Some(at(50)), at(40));
    fleet.remove(&server.id, Some(at(90)), at(45));
    fleet.expire(at(50));
    assert_eq!(fleet.unavailable_reason(&server, at(50)), Some(Unavailable::Removed));
}

/// Runs an attempt whose server was chosen before it announced `said`, as after a wait or a slow
/// connect. Returns its end and the number of requests that reached the server.
fn run_after_signal(said: Signal) -> (AttemptOutcome, usize) {
    let server = Replica::launch().unwrap();
    let vm = site::bare_vm();
    let incarnation = Life { address: server.address, ..replica("r0", 1) };
    vm.fleet.borrow_mut().upsert(incarnation.clone(), vm.now());
    let job = site::job(&vm, "api");
    let place = selection::select_server(&vm, &job.criteria(None, &[]), vm.now())
        .expect("a server is eligible");
    vm.fleet
        .borrow_mut()
        .incarnation_mut(&incarnation)
        .unwrap()
        .availability
        .observe(said, vm.now());
    let (_, waiting) = job.begin_attempt(&place, None);
    let until = job.deadline;
    let attempt = attempt::run(&job, &place.replica, None, None, waiting, until);
    (block_on(attempt).end, server.requests().len())
}

#[test]
fn a_request_that_was_placed_before_is_kept_back() {
    assert_eq!(run_after_signal(Signal::default()), (AttemptOutcome::Good, 1));
    let leaves = Signal { draining: true, backoff: None };
    assert_eq!(run_after_signal(leaves), (AttemptOutcome::Withheld, 0));
    let backoff = Signal { draining: false, backoff: Some(Span::secs(1)) };
    assert_eq!(run_after_signal(backoff), (AttemptOutcome::Withheld, 0));
}

quickcheck! {
    /// For updates in any order: an announced drain is never undone, one of the entry only by a
    /// later entry, and a backoff never ends before the latest end that was asked for.
    fn leaving_is_never_taken_back_and_no_rest_is_cut(facts: Vec<(u8, u16)>) -> bool {
        let mut availability = Availability::default();
        let (mut now, mut backoff_until) = (Moment(1), Moment(0));
        let (mut said, mut listed) = (false, false);
        for (kind, amount) in facts {
            now = now + Span::millis(u64::from(amount % 97));
            let span = Span::millis(u64::from(amount));
            match kind % 5 {
                0 => { availability.apply_entry(true, now); listed = false; }
                1 => { availability.apply_entry(false, now); listed = true; }
                2 => { availability.observe(Signal { draining: true, backoff: None }, now); said = true; }
                3 => {
                    availability.observe(Signal { draining: false, backoff: Some(span) }, now);
                    backoff_until = backoff_until.max(now + span);
                }
                _ => { availability.record(AttemptOutcome::Good, 0.0, now); }
            }
            // A server that is probed after a backoff does not count as backing off.
            let expected = if said || listed { matches!(availability.unavailable_reason(now), Some(Unavailable::Draining(_))) }
                else if now < backoff_until { availability.unavailable_reason(now) == Some(Unavailable::BackingOff(backoff_until.since(now))) }
                else { !availability.unavailable_reason(now).is_some_and(Unavailable::is_hard) };
            if !expected { return false; }
        }
        true
    }
}

#[test]
fn a_rest_that_is_no_time_is_passed_over_and_no_server_is_taken_away_for_good() {
    let rest = |status: u16, text: &str| {
        let mut head = ResponseHead::new(StatusCode::from_u16(status).unwrap());
        head.headers.insert(RETRY_AFTER, HeaderValue::from_str(text).unwrap());
        header::decode_response(&head).signal.backoff
    };
    assert_eq!(rest(503, "3"), Some(Span::secs(3)));
    assert_eq!(rest(503, " 0.25 "), Some(Span::millis(250)));
    for text in ["", "0", "-1", "NaN", "inf", "soon", "Wed, 21 Oct 2026 07:28:00 GMT"] {
        assert_eq!(rest(503, text), None, "{text}");
    }
    assert_eq!(rest(200, "3"), None);
    let mut availability = Availability::default();
    availability.observe(Signal { draining: false, backoff: rest(503, "1e300") }, Moment(1));
    assert_eq!(availability.unavailable_reason(Moment(1) + Span::secs(600)), None);
}

/// VMs that send a draining server nothing learn of it from the VM that received the header: the
/// store is lost, so there is no other source.
#[test]
fn a_server_that_said_to_one_vm_that_it_leaves_gets_nothing_new_from_any() {
    let site = three_kinds();
    let servers = servers(&site, 2, "POST /safe/x");
    let vms = vms(&site, 14);
    std::thread::sleep(Duration::from_secs(2));
    site.store.set_switches(Switches { is_down: true, ..Switches::default() });
    servers[0].announce_draining();
    site::eventually("one VM knows that it drains", || {
        ask(vms[0].callers, &head("POST /safe/x", &id(0, 0, 0), ""), b"x");
        !servers[0].requests().is_empty()
    });
    // Messages take some hops among many VMs, each a few milliseconds.
    std::thread::sleep(4 * SIGNAL_DELAY);
    let before = servers[0].requests().len();
    for (at, vm) in vms.iter().enumerate() {
        for number in 0..6 {
            let answer = ask(vm.callers, &head("POST /safe/x", &id(at, 1, number), ""), b"x");
            assert_eq!(answer.status, 200);
        }
    }
    assert_eq!(servers[0].requests().len(), before, "{}", logs(&vms));
}
