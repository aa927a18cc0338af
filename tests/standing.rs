//! What backend servers say of themselves in the heads of their answers: that they leave, or want rest.
//!
//! The story. A server that was to leave said so in all its answers while the platform's store, where its entry stands, was away for 12
//! seconds. The VM of its data centre passed those answers on and sent it 14 more requests, the last of them 2.7 s after it had passed
//! on the first. In another place four of twelve servers of a model turned requests away for nine seconds and asked each time for
//! 3 s of rest. They were sent ten times as many requests as before, all turned away, up to 16 a second by one VM; a tenth of the callers
//! was refused after three servers that rested, while eight others had hardly anything to do.
//!
//! The cause: what a server says of itself had no place where it is kept. The store's entry alone said whether it takes work, and
//! the load that it told was read as room: a server that turns everything away runs nothing, so that every VM took it for the emptiest.
//! How an answer ended was noted when it had ended; what its head said was dropped with it.
//!
//! The evidence: in the trails the sends that came too late are first attempts, ended well, at a server taken to hold 3 requests, then 2,
//! 1 and 0, as nobody else sent there; a server that asked for rest is taken to hold 5, 1 and 0 within 0.3 s and is the first choice
//! from then on. With sight, below and before the repair: each of these sends has "though it said 1.20s ago that it leaves", or "though it
//! wants rest for 1.41s more".

mod site;

use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use actix_http::header::{HeaderValue, RETRY_AFTER};
use actix_http::{ResponseHead, StatusCode};
use kitepulley::command::block;
use kitepulley::decide::availability::{Availability, Signal, Unavailable};
use kitepulley::decide::outcome::AttemptOutcome;
use kitepulley::forward::replica::Replica as Life;
use kitepulley::forward::server::Fleet;
use kitepulley::forward::{attempt, selection};
use kitepulley::platform::header;
use kitepulley::standin::platform::Switches;
use kitepulley::standin::replica::{Act, Replica};
use kitepulley::unit::{Moment, Span};
use quickcheck::quickcheck;
use serde_json::json;
use site::{Answer, Site, Vm, are_ready, ask, head, three_kinds};

/// What was heard from a server binds the VM that heard it from so soon on: an answer is on its way for a millisecond, and the choice of
/// a server and the opening of a connection take a few more. Users allow two seconds, and two requests in a rest after half a second.
const SIGNAL_DELAY: Duration = Duration::from_millis(50);

/// How long callers go on, and the pause between two requests of one of them.
const LOAD_DURATION: Duration = Duration::from_secs(3);
const CALL_INTERVAL: Duration = Duration::from_millis(8);

/// Callers at each VM.
const CALLERS_PER_VM: usize = 4;

/// A rest that servers ask for, as they write it and as it is.
const BACKOFF: (&str, Duration) = ("1.5", Duration::from_millis(1500));

/// Kinds of requests: one that may be repeated, one that may not, and a stream that may go on elsewhere.
const REQUEST_LINES: [&str; 3] = ["POST /safe/x", "POST /once/x", "POST /stream/x"];

/// What a server does with a request of that kind.
fn serves(line: &str) -> Act {
    match line.contains("stream") {
        true => {
            let pause = Duration::from_millis(2);
            Act::Events { last: 4, cut_after: None, confidence: None, pause }
        }
        false => Act::Whole(200, "fine".into()),
    }
}

fn servers(site: &Site, count: usize, line: &str) -> Vec<Replica> {
    let servers: Vec<_> = (0..count).map(|at| site.replica(&format!("r{at}"), "v1")).collect();
    for server in &servers {
        server.usually(serves(line));
    }
    servers
}

fn vms(site: &Site, count: usize) -> Vec<Vm> {
    let vms: Vec<Vm> = (0..count).map(|_| site.start()).collect();
    are_ready(&vms);
    vms
}

/// The id of a request says at which VM it is sent, so that servers' records tell who sent it on.
fn id(vm: usize, caller: usize, number: usize) -> String {
    format!("vm{vm}-{caller}-{number}")
}

/// Callers at all VMs send requests for [`LOAD_DURATION`]; the answers.
fn load(vms: &[Vm], line: &str) -> Vec<Answer> {
    let calls = |vm: usize, caller: usize| {
        let begun = Instant::now();
        let mut answers = Vec::new();
        while begun.elapsed() < LOAD_DURATION {
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

/// When requests arrived at a server from one VM, in order.
fn arrivals(server: &Replica, vm: usize) -> Vec<Instant> {
    let prefix = format!("vm{vm}-");
    let of_vm = |id: &str| id.starts_with(&prefix);
    let seen = server.seen();
    let sent = seen.iter().filter(|seen| seen.header("x-attempt-id").is_some_and(of_vm));
    let mut at: Vec<Instant> = sent.map(|seen| seen.at).collect();
    at.sort();
    at
}

/// Requests from one VM that reached a server though it had heard by then that it leaves, and how late the last was.
fn after_leaving(server: &Replica, vm: usize, said: Instant) -> (usize, Duration) {
    let arrivals = arrivals(server, vm);
    let since: Vec<Instant> = arrivals.into_iter().filter(|at| *at >= said).collect();
    let Some(first) = since.first() else { return (0, Duration::ZERO) };
    let late =
        since.iter().map(|at| at.duration_since(*first)).filter(|after| *after > SIGNAL_DELAY);
    (late.clone().count(), late.max().unwrap_or_default())
}

/// Requests from one VM that reached a server in a rest that it had asked that VM for.
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
        site.store.switch(Switches { down: true, ..Switches::default() });
        let said = Instant::now();
        servers[0].leaves();
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
            server.usually(Act::TurnAway(BACKOFF.0.into()));
        }
        assert_all_served(&load(&vms, line));
        for (at, server) in servers[..2].iter().enumerate() {
            assert!(!server.turned_away().is_empty(), "it was never asked");
            for vm in 0..vms.len() {
                let late = count_during_backoff(server, vm);
                assert_eq!(late, 0, "{line}: server {at}, VM {vm}\n{}", logs(&vms));
            }
        }
    }
}

/// The words of heads that arrive on any status, and with what becomes of the answer afterwards.
#[test]
fn leaving_is_heard_whatever_becomes_of_the_answer() {
    let acts = [
        Act::Whole(200, "fine".into()),
        Act::Whole(404, "none".into()),
        Act::Whole(500, "failed".into()),
        Act::NotRun,
        Act::CutLength,
        Act::CutChunk,
        Act::Unframed { reset: true },
        Act::StrangerFirst,
        Act::Events { last: 9, cut_after: Some(1), confidence: None, pause: Duration::ZERO },
    ];
    for act in acts {
        let site = three_kinds();
        let servers = servers(&site, 2, "POST /safe/x");
        let vms = vms(&site, 1);
        servers[0].usually(act.clone()).leaves();
        let begun = Instant::now();
        while servers[0].seen().is_empty() {
            assert!(begun.elapsed() < LOAD_DURATION, "{act:?}: it was never asked");
            ask(vms[0].callers, &head("POST /safe/x", "first", ""), b"x");
        }
        std::thread::sleep(SIGNAL_DELAY);
        let before = servers[0].seen().len();
        for number in 0..40 {
            let answer = ask(vms[0].callers, &head("POST /safe/x", &id(0, 0, number), ""), b"x");
            assert_eq!(answer.status, 200, "{act:?}");
        }
        assert_eq!(servers[0].seen().len(), before, "{act:?}\n{}", logs(&vms));
    }
}

/// The caller leaves while the body of the answer is still on its way.
#[test]
fn leaving_is_heard_though_the_caller_has_left() {
    let site = three_kinds();
    let servers = servers(&site, 2, "POST /stream/x");
    let vms = vms(&site, 1);
    let pause = Duration::from_millis(500);
    let endless = Act::Events { last: 60, cut_after: None, confidence: None, pause };
    servers.iter().for_each(|server| {
        server.usually(endless.clone()).leaves();
    });
    let text = head("POST /stream/x", "left", "") + "Content-Length: 1\r\n\r\nx";
    let mut caller = TcpStream::connect(vms[0].callers).unwrap();
    caller.write_all(text.as_bytes()).unwrap();
    let asked = |server: &Replica| !server.seen().is_empty();
    site::eventually("one is asked", || servers.iter().any(asked));
    std::thread::sleep(SIGNAL_DELAY);
    drop(caller);
    let (leaving, other) = if asked(&servers[0]) { (0, 1) } else { (1, 0) };
    servers[other].usually(serves("POST /stream/x"));
    for number in 0..20 {
        ask(vms[0].callers, &head("POST /stream/x", &id(0, 0, number), ""), b"x");
    }
    assert_eq!(servers[leaving].seen().len(), 1, "{}", logs(&vms));
}

/// All servers rest: what comes is refused at once, truly, and told to come back when the first of them is.
#[test]
fn what_comes_while_all_rest_is_refused_until_the_first_is_back() {
    let site = three_kinds();
    let servers = servers(&site, 2, "POST /safe/x");
    let vms = vms(&site, 1);
    servers[0].usually(Act::TurnAway("1.0".into()));
    servers[1].usually(Act::TurnAway("30".into()));
    for number in 0..4 {
        ask(vms[0].callers, &head("POST /safe/x", &id(0, 0, number), ""), b"x");
    }
    let before: Vec<usize> = servers.iter().map(|server| server.seen().len()).collect();
    let begun = Instant::now();
    let patient = head("POST /safe/x", "refused", "").replace("2500", "9000");
    let refused = ask(vms[0].callers, &patient, b"x");
    assert_eq!(refused.status, 503);
    assert!(begun.elapsed() < Duration::from_millis(200), "held for {:?}", begun.elapsed());
    let after: f64 = refused.header("retry-after").unwrap().parse().unwrap();
    // A third of the time that the route leaves its callers, at most.
    assert!((0.85..=1.0).contains(&after), "{after}");
    assert_eq!(before, servers.iter().map(|server| server.seen().len()).collect::<Vec<_>>());
    for server in &servers {
        server.usually(serves("POST /safe/x"));
    }
    site::eventually("the first is back", || {
        ask(vms[0].callers, &head("POST /safe/x", "again", ""), b"x").status == 200
    });
    assert!(begun.elapsed() < Duration::from_millis(2000), "back after {:?}", begun.elapsed());
    assert_eq!(servers[1].seen().len(), before[1]);
}

/// A server that ends as planned crashes nothing, also where the store does not know yet that it leaves.
#[test]
fn a_server_that_said_that_it_leaves_and_ends_accuses_no_request() {
    let site = three_kinds();
    let servers = servers(&site, 2, "POST /stream/x");
    let vms = vms(&site, 1);
    let pause = Duration::from_millis(100);
    let long = Act::Events { last: 30, cut_after: None, confidence: None, pause };
    for server in &servers {
        server.usually(long.clone()).leaves();
    }
    std::thread::scope(|scope| {
        let first = scope.spawn(|| ask(vms[0].callers, &head("POST /stream/x", "one", ""), b"x"));
        site::eventually("it runs", || servers.iter().any(|server| !server.seen().is_empty()));
        std::thread::sleep(3 * pause);
        servers.iter().for_each(|server| server.crash(None));
        drop(first.join().expect("no panic"));
    });
    // A check takes a connection or two.
    std::thread::sleep(10 * SIGNAL_DELAY);
    let checked = vms[0].counter(&["kitepulley_checks{"]);
    assert_eq!(checked, 0.0, "{}", logs(&vms));
}

/// A rest that ends within the goal is waited for, and what waits does not all come at once.
#[test]
fn what_can_still_be_served_in_time_waits_for_the_end_of_a_rest() {
    const WAITING: usize = 12;
    let mut site = Site::new().route("safe", "idempotent", json!({"latency_goal_ms": 2500}));
    site.publish();
    let server = &servers(&site, 1, "POST /safe/x")[0];
    server.usually(Act::TurnAway("0.8".into()));
    let vms = vms(&site, 1);
    ask(vms[0].callers, &head("POST /safe/x", "first", ""), b"x");
    let asked = Instant::now();
    server.usually(Act::Slow(Duration::from_millis(100)));
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
    // The second comes once the first was taken.
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

/// What a life has said holds while its entry lapses and comes back, and ends with that life.
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
    for in_outage in [true, false] {
        fleet.remove(&first.id, in_outage, at(40));
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

/// A request whose server was chosen before the server said that it leaves, or wants rest: it waited, or its connection took a while.
fn placed_before(said: Signal) -> (AttemptOutcome, usize) {
    let server = Replica::launch().unwrap();
    let vm = site::bare_vm();
    let life = Life { address: server.address, ..replica("r0", 1) };
    vm.fleet.borrow_mut().upsert(life.clone(), vm.now());
    let job = site::job(&vm, "api");
    let place =
        selection::select_server(&vm, &job.criteria(None, &[]), vm.now()).expect("it takes work");
    vm.fleet.borrow_mut().incarnation_mut(&life).unwrap().availability.observe(said, vm.now());
    let (_, waiting) = job.begin_attempt(&place, None);
    let until = job.deadline;
    let attempt = attempt::run(&job, &place.replica, None, None, waiting, until);
    (block(attempt).end, server.seen().len())
}

#[test]
fn a_request_that_was_placed_before_is_kept_back() {
    assert_eq!(placed_before(Signal::default()), (AttemptOutcome::Good, 1));
    let leaves = Signal { draining: true, backoff: None };
    assert_eq!(placed_before(leaves), (AttemptOutcome::Withheld, 0));
    let rests = Signal { draining: false, backoff: Some(Span::secs(1)) };
    assert_eq!(placed_before(rests), (AttemptOutcome::Withheld, 0));
}

quickcheck! {
    /// Facts in any order: what it said of leaving is never taken back, what its entry said by a later entry alone; a rest never ends sooner than the latest end that was asked for.
    fn leaving_is_never_taken_back_and_no_rest_is_cut(facts: Vec<(u8, u16)>) -> bool {
        let mut availability = Availability::default();
        let (mut now, mut rests_until) = (Moment(1), Moment(0));
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
                    rests_until = rests_until.max(now + span);
                }
                _ => { availability.record(AttemptOutcome::Good, 0.0, now); }
            }
            // One that is tried after a rest counts as resting no longer.
            let expected = if said || listed { matches!(availability.unavailable_reason(now), Some(Unavailable::Draining(_))) }
                else if now < rests_until { availability.unavailable_reason(now) == Some(Unavailable::BackingOff(rests_until.since(now))) }
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

/// What one VM heard all know, also those that send the server nothing: the store is away, so nobody else tells them.
#[test]
fn a_server_that_said_to_one_vm_that_it_leaves_gets_nothing_new_from_any() {
    let site = three_kinds();
    let servers = servers(&site, 2, "POST /safe/x");
    let vms = vms(&site, 14);
    std::thread::sleep(Duration::from_secs(2));
    site.store.switch(Switches { down: true, ..Switches::default() });
    servers[0].leaves();
    site::eventually("one VM has heard it", || {
        ask(vms[0].callers, &head("POST /safe/x", &id(0, 0, 0), ""), b"x");
        !servers[0].seen().is_empty()
    });
    // Some hops among many VMs, each a few milliseconds.
    std::thread::sleep(4 * SIGNAL_DELAY);
    let before = servers[0].seen().len();
    for (at, vm) in vms.iter().enumerate() {
        for number in 0..6 {
            let answer = ask(vm.callers, &head("POST /safe/x", &id(at, 1, number), ""), b"x");
            assert_eq!(answer.status, 200);
        }
    }
    assert_eq!(servers[0].seen().len(), before, "{}", logs(&vms));
}
