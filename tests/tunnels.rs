//! VMs that lose their links to backend servers while other VMs keep theirs: their callers have to
//! be served as often as others.

mod site;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use kitepulley::standin::replica::{Action, Replica};
use site::fleet::{Cut, Fleet};
use site::{Vm, eventually, head, try_ask};

/// Time from a cut until callers of all VMs have to be served alike.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Time in which requests are counted, before a cut and from [`CONTACT_TIME`] on.
const COUNTED_TIME: Duration = Duration::from_secs(3);

/// Smallest part of first attempts at VMs without links that are served. Users allow a third less
/// than at other VMs; none needs to fail.
const MIN_SERVED: f64 = 0.95;

/// Time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(12);

/// Time within which a server notices that a caller has left its stream.
const LEAVE_TIME: Duration = Duration::from_millis(500);

/// Time within which a request that can't be served is refused.
const REFUSAL_TIME: Duration = Duration::from_millis(100);

/// Size of the largest body that the configuration allows.
const MAX_BODY: usize = 100_000;

#[derive(Clone, Debug)]
struct Outcome {
    #[expect(dead_code, reason = "shown when a check fails")]
    id: String,
    at: Duration,
    vm: usize,
    is_served: bool,
}

fn send_requests(vms: &[SocketAddr], name: &str, lasting: Duration) -> Vec<Outcome> {
    let outcomes = Mutex::new(Vec::new());
    let started = Instant::now();
    thread::scope(|scope| {
        for number in 0.. {
            let at = REQUEST_INTERVAL * number;
            if at >= lasting {
                break;
            }
            thread::sleep(at.saturating_sub(started.elapsed()));
            let outcomes = &outcomes;
            scope.spawn(move || {
                let vm = number as usize % vms.len();
                let kind = ["safe", "once", "stream", "other"][number as usize / vms.len() % 4];
                let id = format!("{name}{number}");
                let answer =
                    try_ask(vms[vm], &head(&format!("POST /{kind}/x"), &id, ""), b"question");
                let is_served =
                    answer.as_ref().is_some_and(|answer| answer.status == 200 && answer.whole);
                outcomes.lock().unwrap().push(Outcome { id, at, vm, is_served });
            });
        }
    });
    outcomes.into_inner().unwrap()
}

/// Sends requests to all VMs of a fleet in turn.
fn send_to_all(fleet: &Fleet, name: &str, lasting: Duration) -> Vec<Outcome> {
    let addresses: Vec<SocketAddr> = fleet.vms.iter().map(|vm| vm.callers).collect();
    send_requests(&addresses, name, lasting)
}

/// Returns the part of the requests to VMs that `is_counted` selects that were served.
fn served(outcomes: &[Outcome], is_counted: impl Fn(&Outcome) -> bool) -> f64 {
    let counted: Vec<&Outcome> = outcomes.iter().filter(|one| is_counted(one)).collect();
    let served = counted.iter().filter(|one| one.is_served).count();
    served as f64 / counted.len().max(1) as f64
}

/// Cuts `count` of `vms` VMs off, and checks that their callers are served as others are.
fn serves_callers_without_links(vms: usize, count: usize, cut: Cut, reset: bool) {
    let fleet = Fleet::start(vms);
    let before = send_to_all(&fleet, "before", COUNTED_TIME);
    fleet.cut(cut, count, reset);
    let outcomes = send_to_all(&fleet, "cut", CONTACT_TIME + COUNTED_TIME);
    fleet.heal();
    thread::sleep(Duration::from_secs(1));
    let after = send_to_all(&fleet, "after", COUNTED_TIME);
    let early = served(&outcomes, |one| one.at < CONTACT_TIME && one.vm < count);
    let late = served(&outcomes, |one| one.at >= CONTACT_TIME && one.vm < count);
    let others = served(&outcomes, |one| one.at >= CONTACT_TIME && one.vm >= count);
    let (before, after) = (served(&before, |_| true), served(&after, |_| true));
    println!(
        "{vms} VMs, {count} cut off: {before:.2} before, {early:.2} for 3 s, then {late:.2} \
         (others {others:.2}), {after:.2} after"
    );
    let logs = || fleet.logs();
    assert!(before >= MIN_SERVED && others >= MIN_SERVED && after >= MIN_SERVED, "{}", logs());
    assert!(late >= MIN_SERVED, "{late:.2} served\n{}", logs());
    assert!(fleet.runs_of_once().values().all(|runs| *runs == 1), "{}", logs());
}

#[test]
fn callers_of_two_of_three_vms_without_links_are_served() {
    serves_callers_without_links(3, 2, Cut::All, false);
}

#[test]
fn callers_of_five_of_seven_vms_whose_links_were_reset_are_served() {
    serves_callers_without_links(7, 5, Cut::All, true);
}

#[test]
fn callers_of_most_of_fourteen_vms_without_links_are_served() {
    serves_callers_without_links(14, 12, Cut::All, false);
}

#[test]
fn callers_of_vms_that_lost_one_service_are_served() {
    serves_callers_without_links(7, 4, Cut::OneService, true);
}

#[test]
fn callers_of_vms_that_reach_one_server_of_each_service_are_served() {
    serves_callers_without_links(7, 4, Cut::AllButOne, false);
}

#[test]
fn requests_that_may_not_be_repeated_run_once_when_a_helper_is_killed() {
    let mut fleet = Fleet::start(5);
    fleet.cut(Cut::All, 2, false);
    let addresses: Vec<SocketAddr> = fleet.vms[..2].iter().map(|vm| vm.callers).collect();
    let outcomes = thread::scope(|scope| {
        let sending =
            scope.spawn(|| send_requests(&addresses, "cut", CONTACT_TIME + 2 * COUNTED_TIME));
        thread::sleep(CONTACT_TIME + COUNTED_TIME / 2);
        fleet.vms[4].kill();
        sending.join().unwrap()
    });
    let late = served(&outcomes, |one| one.at >= CONTACT_TIME + COUNTED_TIME);
    let all = served(&outcomes, |one| one.at >= CONTACT_TIME);
    println!("{all:.2} served, {late:.2} later than 1.5 s after the kill");
    assert!(late >= MIN_SERVED, "{late:.2}\n{}", fleet.logs());
    assert!(fleet.runs_of_once().values().all(|runs| *runs == 1), "{}", fleet.logs());
}

#[test]
fn a_planned_stop_of_a_helper_cuts_off_no_request() {
    let fleet = Fleet::start(3);
    fleet.cut(Cut::All, 1, true);
    let addresses = [fleet.vms[0].callers];
    let outcomes = thread::scope(|scope| {
        let sending = scope.spawn(|| send_requests(&addresses, "cut", CONTACT_TIME * 3));
        thread::sleep(CONTACT_TIME + COUNTED_TIME / 2);
        fleet.vms[2].signal(libc::SIGTERM);
        sending.join().unwrap()
    });
    let late = served(&outcomes, |one| one.at >= CONTACT_TIME);
    let failed: Vec<&Outcome> =
        outcomes.iter().filter(|one| one.at >= CONTACT_TIME && !one.is_served).collect();
    assert!(late >= 0.99, "{late:.3} {failed:?}\n{}", fleet.logs());
}

/// Waits until the VM whose links were cut serves through another one.
fn await_tunnels(vm: &Vm) {
    let serves = || {
        let request = head("POST /safe/x", "probe", "");
        try_ask(vm.callers, &request, b"").is_some_and(|answer| answer.status == 200)
    };
    eventually("another VM relays", serves);
    thread::sleep(Duration::from_secs(1));
}

#[test]
fn a_caller_that_leaves_a_relayed_stream_is_noticed_at_the_server() {
    let fleet = Fleet::start(3);
    fleet.cut(Cut::All, 1, true);
    await_tunnels(&fleet.vms[0]);
    for server in &fleet.servers[0] {
        server.set_default_action(Action::Events {
            last: 10_000,
            cut_after: None,
            confidence: None,
            pause: Duration::from_millis(20),
        });
    }
    let mut stream = TcpStream::connect(fleet.vms[0].callers).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    let request = head("POST /stream/x", "leaving", "");
    write!(stream, "{request}Content-Length: 0\r\n\r\n").unwrap();
    let mut read = String::new();
    while !read.contains("piece 9") {
        let mut bytes = [0; 4096];
        let count = stream.read(&mut bytes).unwrap_or_else(|fault| {
            panic!("{fault} after {read}\n{}", fleet.logs());
        });
        assert!(count > 0, "{read}\n{}", fleet.logs());
        read.push_str(&String::from_utf8_lossy(&bytes[..count]));
    }
    let open = || fleet.servers[0].iter().map(Replica::open_streams).sum::<usize>();
    assert_eq!(open(), 1);
    drop(stream);
    let left = Instant::now();
    eventually("the server notices", || open() == 0);
    assert!(left.elapsed() < LEAVE_TIME, "{:?}", left.elapsed());
}

#[test]
fn bodies_up_to_the_largest_are_relayed_whole() {
    let fleet = Fleet::start(3);
    fleet.cut(Cut::All, 1, false);
    await_tunnels(&fleet.vms[0]);
    let body = vec![b'x'; MAX_BODY];
    let answer = try_ask(fleet.vms[0].callers, &head("POST /other/x", "large", ""), &body);
    assert_eq!(answer.expect("an answer").status, 200);
    let requests = fleet.servers[1].iter().flat_map(Replica::requests);
    let bodies: Vec<usize> = requests.map(|request| request.body.len()).collect();
    assert!(bodies.contains(&MAX_BODY), "{bodies:?}");
}

#[test]
fn a_vm_that_no_other_can_help_refuses_at_once() {
    let fleet = Fleet::start(3);
    fleet.cut(Cut::All, 3, true);
    send_to_all(&fleet, "early", CONTACT_TIME);
    for number in 0..20 {
        let vm = &fleet.vms[number % 3];
        let started = Instant::now();
        let answer = try_ask(vm.callers, &head("POST /once/x", &format!("late{number}"), ""), b"x");
        assert_eq!(answer.map(|answer| answer.status), Some(503));
        assert!(started.elapsed() < REFUSAL_TIME, "{:?}\n{}", started.elapsed(), fleet.logs());
        thread::sleep(Duration::from_millis(60));
    }
}
