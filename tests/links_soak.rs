//! Soak of VMs that lose their links to servers, while VMs are killed, stopped and started again and
//! servers crash. `LINKS_SEED=1 LINKS_SEEDS=50 cargo test --locked --test links_soak -- --nocapture`
//! runs more seeds.

mod site;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use site::fleet::{Cut, Fleet};
use site::{Answer, head, read};

/// Seeds by default.
const DEFAULT_SEEDS: u64 = 2;

const VMS: usize = 5;

/// Callers, each with a connection that it keeps while it can.
const CALLERS: usize = 12;

/// Number of events, and the longest time between two of them.
const EVENTS: usize = 10;
const MAX_PAUSE: Duration = Duration::from_millis(1500);

/// Time from the last event until callers have to be served again, and in which that is counted.
const RECOVERY_TIME: Duration = Duration::from_secs(6);
const COUNTED_TIME: Duration = Duration::from_secs(2);

/// Time within which a process that was told to stop ends.
const STOP_TIME: Duration = Duration::from_millis(4500);

/// Smallest part of the requests that are served then.
const MIN_SERVED: f64 = 0.95;

/// Pause of a caller after a request.
const CALLER_PAUSE: Duration = Duration::from_millis(60);

/// What happens to the fleet.
#[derive(Clone, Copy, Debug)]
enum Event {
    Cut,
    Heal,
    Kill,
    Stop,
    Crash,
}

/// A request, its answer, and when it was sent.
struct Call {
    id: String,
    kind: &'static str,
    at: Instant,
    status: Option<u16>,
}

/// Sends a request on an open connection. Returns none if that breaks.
fn ask_on(stream: &mut TcpStream, request: &str) -> Option<Answer> {
    stream.write_all(request.as_bytes()).ok()?;
    let mut bytes = Vec::new();
    loop {
        if let Some(answer) = read(&bytes).filter(|answer| answer.whole) {
            return Some(answer);
        }
        let mut more = [0; 16 * 1024];
        match stream.read(&mut more) {
            Ok(count) if count > 0 => bytes.extend_from_slice(&more[..count]),
            _ => return None,
        }
    }
}

/// Sends requests until `stops`, to VMs drawn anew whenever the connection ends.
fn call_until(stops: &AtomicBool, vms: &[SocketAddr], caller: usize, seed: u64) -> Vec<Call> {
    let mut rng = SmallRng::seed_from_u64(seed * 1000 + caller as u64);
    let (mut calls, mut connection) = (Vec::new(), None);
    for number in 0.. {
        if stops.load(Ordering::SeqCst) {
            break;
        }
        if connection.is_none() {
            let to = vms.choose(&mut rng).expect("there are VMs");
            connection = TcpStream::connect(to).ok();
            if let Some(stream) = &connection {
                stream.set_read_timeout(Some(Duration::from_secs(4))).unwrap();
            }
        }
        let kind = ["safe", "once", "stream", "other"][rng.random_range(0..4)];
        let id = format!("c{caller}n{number}");
        let request = format!("{}\r\n", head(&format!("GET /{kind}/x"), &id, ""));
        let at = Instant::now();
        let answer = connection.as_mut().and_then(|stream| ask_on(stream, &request));
        let closes = |answer: &Answer| answer.header("connection").as_deref() == Some("close");
        if answer.as_ref().is_none_or(closes) {
            connection = None;
        }
        calls.push(Call { id, kind, at, status: answer.map(|answer| answer.status) });
        thread::sleep(CALLER_PAUSE);
    }
    calls
}

/// Plays events on the fleet.
fn play(fleet: &mut Fleet, rng: &mut SmallRng) -> Vec<String> {
    let started = Instant::now();
    let mut played = Vec::new();
    for _ in 0..EVENTS {
        let events = [Event::Cut, Event::Cut, Event::Heal, Event::Kill, Event::Stop, Event::Crash];
        let event = *events.choose(rng).expect("there are events");
        let vm = rng.random_range(0..VMS);
        played.push(format!("{} ms {event:?} {vm}", started.elapsed().as_millis()));
        match event {
            Event::Cut => {
                let cuts = [Cut::All, Cut::AllButOne, Cut::OneService];
                let cut = *cuts.choose(rng).expect("there are cuts");
                fleet.cut(cut, rng.random_range(1..VMS), rng.random_bool(0.5));
            }
            Event::Heal => fleet.heal(),
            Event::Kill => {
                fleet.vms[vm].kill();
                fleet.vms[vm].start_again();
            }
            Event::Stop => fleet.vms[vm].signal(libc::SIGTERM),
            Event::Crash => {
                let server = fleet.servers[0].choose(rng).expect("there are servers");
                server.crash(Some(Duration::from_millis(rng.random_range(100..2000))));
            }
        }
        thread::sleep(MAX_PAUSE.mul_f64(rng.random()));
    }
    fleet.heal();
    thread::sleep(STOP_TIME);
    for vm in &mut fleet.vms {
        vm.restart_if_ended();
    }
    played
}

fn soak(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut fleet = Fleet::start(VMS);
    let addresses: Vec<SocketAddr> = fleet.vms.iter().map(|vm| vm.callers).collect();
    let stops = AtomicBool::new(false);
    let calls = Mutex::new(Vec::new());
    let (played, healed_at) = thread::scope(|scope| {
        for caller in 0..CALLERS {
            let (stops, calls, addresses) = (&stops, &calls, &addresses);
            scope.spawn(move || {
                let made = call_until(stops, addresses, caller, seed);
                calls.lock().unwrap().extend(made);
            });
        }
        thread::sleep(Duration::from_secs(1));
        let played = play(&mut fleet, &mut rng);
        let healed_at = Instant::now();
        thread::sleep(RECOVERY_TIME + COUNTED_TIME);
        stops.store(true, Ordering::SeqCst);
        (played, healed_at)
    });
    let calls = calls.into_inner().unwrap();
    let runs = fleet.runs();
    let late: Vec<&Call> = calls.iter().filter(|one| one.at >= healed_at + RECOVERY_TIME).collect();
    let served = late.iter().filter(|one| one.status == Some(200)).count() as f64;
    let part = served / late.len().max(1) as f64;
    let all = calls.iter().filter(|one| one.status == Some(200)).count();
    println!("seed {seed}: {all} of {} served, {part:.3} at the end; {played:?}", calls.len());
    let logs = || fleet.logs();
    for call in &calls {
        let runs = runs.get(&call.id).copied().unwrap_or_default();
        let is_once = matches!(call.kind, "once" | "other");
        assert!(!is_once || runs <= 1, "seed {seed}: {} ran {runs} times\n{}", call.id, logs());
        let is_denied = is_once && matches!(call.status, Some(503 | 429));
        assert!(
            !is_denied || runs == 0,
            "seed {seed}: {} was refused and ran\n{}",
            call.id,
            logs()
        );
    }
    assert!(part >= MIN_SERVED, "seed {seed}: {part:.3} served after {played:?}\n{}", logs());
}

#[test]
fn lost_links_kills_stops_and_crashes_break_no_promise() {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let first = number("LINKS_SEED").unwrap_or(1);
    let count = number("LINKS_SEEDS").unwrap_or(DEFAULT_SEEDS);
    (first..first + count).for_each(soak);
}
