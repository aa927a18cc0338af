//! Backend servers that name a limit: so many requests a second from all VMs together, for as long as they say so.
//!
//! The story. Two of twelve servers of a model service were in need and named limits of 1.4 and 2 requests a second in their answers. Seven VMs
//! passed those answers on and sent them 24 and 22 requests in four seconds. The servers had no room and were slower still.

mod site;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{ResponseHead, StatusCode};
use kitepulley::decide::bound::{Limit, Word};
use kitepulley::platform::header;
use kitepulley::standin::replica::{Act, Replica};
use kitepulley::unit::{Moment, Rate, Span};
use serde_json::json;
use site::{Answer, Site, Vm, are_ready, ask, head};

/// What was heard from a server binds the VM that heard it from so soon on: an answer is on its way for a millisecond, and the choice of
/// a server and the opening of a connection take a few more. Users allow half a second.
const HEARD: Duration = Duration::from_millis(50);

/// What a server gets is counted over any such time.
const WINDOW: Span = Span::secs(4);

/// Requests beyond the limit in a window: what one window holds of turns that begin and end in it. Users allow half of the limit and five.
const BEYOND: f64 = 2.0;

/// How long callers go on, and the pause between two requests of one of them.
const SENT: Duration = Duration::from_secs(9);
const PAUSE: Duration = Duration::from_millis(15);

/// Callers at each VM, one for each kind of request: one that may be repeated, one that may not, and a stream that may go on elsewhere.
const LINES: [&str; 3] = ["POST /safe/x", "POST /once/x", "POST /stream/x"];

fn site() -> Site {
    let mut site = Site::new()
        .route("safe", "idempotent", json!({}))
        .route("once", "non_idempotent", json!({}))
        .route("stream", "streaming", json!({"stream_resume": true}));
    site.bounds["strict_revocation"] = json!(false);
    site.publish();
    site
}

/// Servers that answer all kinds of requests alike: a short stream is a whole answer too.
fn servers(site: &Site, limits: &[Option<&str>]) -> Vec<Replica> {
    let server = |(at, limit): (usize, &Option<&str>)| {
        let server = site.replica(&format!("r{at}"), "v1");
        let pause = Duration::from_millis(2);
        let short = Act::Events { last: 4, cut_after: None, confidence: None, pause };
        server.usually(short).names_limit(*limit);
        server
    };
    limits.iter().enumerate().map(server).collect()
}

fn vms(site: &Site, count: usize) -> Vec<Vm> {
    let vms: Vec<Vm> = (0..count).map(|_| site.start()).collect();
    are_ready(&vms);
    // VMs know each other when they have been up for a while.
    std::thread::sleep(Duration::from_millis(2000));
    vms
}

/// Callers at all VMs send requests for [`SENT`]; the answers. The id of a request says at which VM it is sent.
fn load(vms: &[Vm]) -> Vec<Answer> {
    let calls = |vm: usize, line: &str| {
        let begun = Instant::now();
        let mut answers = Vec::new();
        while begun.elapsed() < SENT {
            let id = format!("vm{vm}-{}-{}", line.len(), answers.len());
            answers.push(ask(vms[vm].callers, &head(line, &id, ""), b"x"));
            std::thread::sleep(PAUSE);
        }
        answers
    };
    std::thread::scope(|scope| {
        let each = (0..vms.len()).flat_map(|vm| LINES.map(|line| (vm, line)));
        let callers: Vec<_> = each.map(|(vm, line)| scope.spawn(move || calls(vm, line))).collect();
        callers.into_iter().flat_map(|caller| caller.join().expect("no panic")).collect()
    })
}

/// The most requests that reached a server within [`WINDOW`] from VMs that had heard of its limit, as each VM's own first request told it.
fn most_in_a_window(server: &Replica) -> usize {
    let seen = server.seen();
    let Some(begun) = seen.iter().map(|seen| seen.at).min() else { return 0 };
    let mut told: HashMap<String, Instant> = HashMap::new();
    let mut at: Vec<Moment> = Vec::new();
    for seen in &seen {
        let id = seen.header("x-attempt-id").unwrap_or_default();
        let vm = id.split('-').next().unwrap_or_default().to_owned();
        let first = *told.entry(vm).or_insert(seen.at);
        if seen.at.duration_since(first) > HEARD {
            at.push(Moment(seen.at.duration_since(begun).as_micros() as u64));
        }
    }
    let within =
        |from: &Moment| at.iter().filter(|at| (*from..*from + WINDOW).contains(at)).count();
    at.iter().map(within).max().unwrap_or(0)
}

fn allowed(rate: f64) -> f64 {
    rate * WINDOW.as_secs() + BEYOND
}

fn logs(vms: &[Vm]) -> String {
    vms.iter().map(Vm::log_end).collect()
}

#[test]
fn servers_that_named_a_limit_get_no_more_from_all_vms_together() {
    let site = site();
    let servers = servers(&site, &[Some("2"), Some("1.4"), None, None]);
    let vms = vms(&site, 5);
    let answers = load(&vms);
    let failed = answers.iter().filter(|answer| answer.status != 200).count();
    assert_eq!(failed, 0, "of {}\n{}", answers.len(), logs(&vms));
    for (server, rate) in servers.iter().zip([2.0, 1.4]) {
        let most = most_in_a_window(server);
        assert!(most as f64 <= allowed(rate), "{most} requests at {rate} a second\n{}", logs(&vms));
    }
}

#[test]
fn a_limit_is_read_as_a_rate_and_what_is_none_is_told_apart() {
    let word = |text: &[u8]| {
        let mut head = ResponseHead::new(StatusCode::OK);
        let value = HeaderValue::from_bytes(text).unwrap();
        head.headers.insert(HeaderName::from_static("server-limit"), value);
        header::answer(&head).limit
    };
    for (text, rate) in [("2", 2.0), (" 1.4 ", 1.4), ("0.25", 0.25), ("0", 0.0), ("1e3", 1000.0)] {
        assert_eq!(word(text.as_bytes()), Word::Named(Rate(rate)), "{text}");
    }
    for text in [&b""[..], b"-1", b"NaN", b"inf", b"some", b"2/s", b"1,4", b"\xff"] {
        assert_eq!(word(text), Word::Unreadable, "{text:?}");
    }
    assert_eq!(header::answer(&ResponseHead::new(StatusCode::OK)).limit, Word::Unnamed);
}

#[test]
fn an_answer_without_a_limit_ends_it_only_if_it_was_asked_for_later() {
    let mut limit = Limit::default();
    assert!(limit.hear(Word::Named(Rate(2.0)), Moment(10), Moment(20)));
    assert!(!limit.hear(Word::Named(Rate(2.0)), Moment(12), Moment(24)));
    assert!(!limit.hear(Word::Unnamed, Moment(13), Moment(25)));
    assert!(!limit.hear(Word::Unreadable, Moment(26), Moment(27)));
    assert_eq!((limit.rate(), limit.age(Moment(27))), (Some(Rate(2.0)), Some(Span(7))));
    assert!(limit.hear(Word::Unnamed, Moment(25), Moment(28)));
    assert_eq!(limit.rate(), None);
}
