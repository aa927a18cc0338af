//! VMs that lose their links to the backend servers, while callers, the store and other VMs reach
//! them.

mod site;

use std::io::Read;
use std::time::{Duration, Instant};

use kitepulley::decide::connectivity::{self, Change, Connectivity};
use kitepulley::standin::replica::{Action, Replica};
use kitepulley::unit::{Moment, Span};
use serde_json::json;
use site::link::{self, Link, State};
use site::{Site, Vm, ask, eventually, head};

/// Time from the loss of all links until callers have to be sent elsewhere, and from their return
/// until they are served: clients try again within some seconds.
const NOTICE_TIME: Duration = Duration::from_millis(1500);

/// Time within which a request that can't be served is refused.
const REFUSAL_TIME: Duration = Duration::from_millis(100);

/// Backend servers that a VM reaches through proxies.
struct Servers {
    links: Vec<Link>,
    replicas: Vec<Replica>,
}

impl Servers {
    fn set(&self, state: State) {
        link::set_all(&self.links, state);
    }
}

fn site() -> Site {
    Site::new().route("safe", "idempotent", json!({})).route("once", "non_idempotent", json!({}))
}

/// Lists four servers at the addresses of proxies.
fn servers(site: &Site) -> Servers {
    let (mut links, mut replicas) = (Vec::new(), Vec::new());
    for number in 0..4 {
        let replica = Replica::launch().unwrap();
        let link = Link::new(replica.address);
        site.list(&format!("r{number}"), "v1", "ready", link.address);
        links.push(link);
        replicas.push(replica);
    }
    Servers { links, replicas }
}

/// Sends requests until `holds`, for at most [`NOTICE_TIME`].
fn ask_until(vm: &Vm, what: &str, holds: impl Fn() -> bool) {
    let started = Instant::now();
    let mut number = 0;
    while !holds() {
        assert!(started.elapsed() < NOTICE_TIME, "not within {NOTICE_TIME:?}: {what}");
        number += 1;
        ask(vm.callers, &head("GET /safe/x", &format!("{what}{number}"), ""), b"");
    }
}

fn loses_and_regains_links(cut: State) {
    let mut site = site();
    let servers = servers(&site);
    let vm = site.start_ready();
    (0..20).for_each(|number| {
        ask(vm.callers, &head("GET /safe/x", &format!("before{number}"), ""), b"");
    });
    servers.set(cut);
    ask_until(&vm, "callers go elsewhere", || !vm.is_ready());
    for number in 0..10 {
        let started = Instant::now();
        let answer = ask(vm.callers, &head("POST /once/x", &format!("cut{number}"), ""), b"x");
        assert_eq!(answer.status, 503);
        assert!(started.elapsed() < REFUSAL_TIME, "{:?}", started.elapsed());
        assert_eq!(answer.header("retry-after").as_deref(), Some("0.000"));
    }
    servers.set(State::Open);
    let started = Instant::now();
    eventually("it is ready again", || vm.is_ready());
    assert!(started.elapsed() < NOTICE_TIME, "{:?}", started.elapsed());
    for number in 0..20 {
        let answer = ask(vm.callers, &head("POST /once/x", &format!("after{number}"), ""), b"x");
        assert_eq!(answer.status, 200, "{number}");
    }
    let ran: Vec<String> = servers
        .replicas
        .iter()
        .flat_map(Replica::requests)
        .filter_map(|one| one.header("x-attempt-id").map(str::to_owned))
        .collect();
    let of = |what: &str| ran.iter().filter(|id| id.starts_with(what)).count();
    assert_eq!((of("cut"), of("after")), (0, 20), "each request that was refused did not run");
}

#[test]
fn a_vm_whose_connections_are_refused_by_all_servers_sends_its_callers_elsewhere() {
    loses_and_regains_links(State::Refusing);
}

#[test]
fn a_vm_that_hears_nothing_from_any_server_sends_its_callers_elsewhere() {
    loses_and_regains_links(State::Silent);
}

/// A caller that reuses its connection would come back to the VM that can't serve it.
#[test]
fn a_vm_without_links_closes_the_connections_of_its_callers() {
    let mut site = site();
    let servers = servers(&site);
    let vm = site.start_ready();
    servers.set(State::Refusing);
    ask_until(&vm, "callers go elsewhere", || !vm.is_ready());
    let mut stream = std::net::TcpStream::connect(vm.callers).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(2))).unwrap();
    std::io::Write::write_all(
        &mut stream,
        format!("{}\r\n", head("GET /safe/x", "kept", "")).as_bytes(),
    )
    .unwrap();
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).expect("the VM closes the connection");
    let answer = String::from_utf8_lossy(&bytes).to_lowercase();
    assert!(answer.starts_with("http/1.1 503") && answer.contains("connection: close"), "{answer}");
}

/// Servers that can't be reached were taken for servers that crashed.
#[test]
fn requests_are_not_quarantined_because_links_are_lost() {
    let mut site = site();
    let servers = servers(&site);
    let vm = site.start_ready();
    for replica in &servers.replicas {
        replica.set_default_action(Action::Slow(Duration::from_millis(800)));
    }
    let callers = vm.callers;
    let asked: Vec<_> = (0..12)
        .map(|number| {
            std::thread::spawn(move || {
                site::try_ask(callers, &head("POST /once/x", &format!("open{number}"), ""), b"x");
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(300));
    servers.set(State::Refusing);
    asked.into_iter().for_each(|one| one.join().unwrap());
    // The log is written with a delay.
    std::thread::sleep(Duration::from_millis(500));
    let gone =
        |line: &serde_json::Value| line["event"] == "server checked" && line["found"] == "IsGone";
    let lines = vm.lines();
    assert!(!lines.iter().any(gone), "a server was taken for gone");
    assert!(!lines.iter().any(|line| line["event"] == "content quarantined"));
}

/// A caller whose connection rests would find out with its next request only.
#[test]
fn a_vm_that_loses_its_links_closes_connections_that_rest() {
    let mut site = site();
    let servers = servers(&site);
    let vm = site.start_ready();
    let mut stream = std::net::TcpStream::connect(vm.callers).unwrap();
    stream.set_read_timeout(Some(NOTICE_TIME)).unwrap();
    let request = format!("{}\r\n", head("GET /safe/x", "kept", ""));
    std::io::Write::write_all(&mut stream, request.as_bytes()).unwrap();
    let mut answer = [0; 4096];
    let read = stream.read(&mut answer).unwrap();
    assert!(answer[..read].starts_with(b"HTTP/1.1 200"));
    servers.set(State::Refusing);
    ask_until(&vm, "callers go elsewhere", || !vm.is_ready());
    assert_eq!(stream.read(&mut answer).expect("the VM closes the connection"), 0);
}

const BEGUN: Moment = Moment(1_000_000);

const ENDED: Moment = Moment(1_300_000);

fn after_check(tried: usize, accepted: usize) -> Connectivity {
    let mut known = Connectivity::default();
    known.on_check(tried, accepted, BEGUN, ENDED);
    known
}

#[test]
fn links_are_lost_only_if_no_server_of_any_service_is_reached() {
    let lost = |services: &[Connectivity]| connectivity::has_lost_all(services.iter().copied());
    assert!(lost(&[after_check(4, 0), after_check(12, 0)]));
    assert!(!lost(&[after_check(4, 0), after_check(12, 1)]));
    assert!(!lost(&[after_check(4, 0), Connectivity::default()]), "not checked yet");
    assert!(!lost(&[after_check(1, 0), after_check(1, 0)]), "two servers may fail together");
    assert!(!lost(&[]));
}

#[test]
fn links_are_back_once_half_of_the_servers_are_reached() {
    let mut known = after_check(16, 0);
    assert!(known.has_failed_check());
    assert_eq!(known.on_check(16, 1, ENDED, ENDED + Span::secs(1)), None);
    let back = known.on_check(16, 8, ENDED, ENDED + Span::secs(2));
    assert_eq!(back, Some(Change::Regained(Span::secs(2))));
}

#[test]
fn a_check_says_nothing_without_servers_or_after_a_later_response() {
    assert!(!after_check(0, 0).has_failed_check());
    let mut known = Connectivity::default();
    known.on_response(BEGUN + Span::millis(100));
    assert_eq!(known.on_check(4, 0, BEGUN, ENDED), None);
    assert!(!known.needs_check(BEGUN + Span::millis(200)));
    assert!(known.needs_check(BEGUN + Span::millis(400)));
}

#[test]
fn a_service_is_unreachable_only_while_none_of_its_servers_is_reached() {
    let mut known = after_check(4, 0);
    assert!(known.is_unreachable());
    known.on_check(4, 1, ENDED, ENDED + Span::secs(1));
    assert!(!known.is_unreachable(), "one server is back");
    assert!(!after_check(2, 0).is_unreachable(), "two servers may fail together");
}
