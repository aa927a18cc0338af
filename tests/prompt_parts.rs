//! Shared parts of prompts that crash the backend servers that respond to them.

mod site;

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use kitepulley::standin::replica::{Action, Crash, Replica, Trigger};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde_json::json;
use site::{Site, Vm, are_ready, head, try_ask};

/// Id of the part that crashes servers.
const CRASHING_PART: &str = "bad0bad0";

/// Parts that all sound requests share, in the order of the prompt.
const SOUND_PARTS: [&str; 3] = ["a1", "b2", "c3"];

/// Crashes from which on requests with the part must stop.
const ACCEPTED_CRASHES: usize = 5;

/// Time in which VMs get what the others know; it begins with the last accepted crash.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Requests with the part that may reach servers after that.
const MAX_LATE_REQUESTS: usize = 3;

/// Smallest part of the sound requests that are served at the first attempt, compared with the time
/// before, from twice [`CONTACT_TIME`] after the last accepted crash.
const MIN_SOUND_SHARE: f64 = 0.5;

/// When requests with the part begin to come, and when all requests end.
const FIRST_CRASHING_REQUEST: Duration = Duration::from_secs(4);
const END: Duration = Duration::from_secs(17);

/// Time between two sound requests.
const SOUND_INTERVAL: Duration = Duration::from_millis(40);

/// Time from a crash to the restart of the server.
const RESTART_AFTER: Duration = Duration::from_secs(2);

/// Time in which started VMs discover each other.
const DISCOVERY_TIME: Duration = Duration::from_millis(1500);

/// A site, and the requests with the part that come to it.
#[derive(Clone, Copy)]
struct Play {
    /// Place of the part in the prompt.
    place: usize,
    vms: usize,
    servers: usize,
    /// Time between two requests with the part.
    interval: Duration,
    /// Time from the start of a response to the crash.
    crash_delay: Duration,
    /// Request line of all requests.
    line: &'static str,
    /// Events of a stream that are sent before the crash.
    events: u64,
    /// Seed of the choice of VMs.
    seed: u64,
    /// True if a VM is killed and started again one second after the first crash.
    kills: bool,
}

impl Play {
    fn new(place: usize, vms: usize, servers: usize, interval_ms: u64, delay_ms: u64) -> Play {
        Play {
            place,
            vms,
            servers,
            interval: Duration::from_millis(interval_ms),
            crash_delay: Duration::from_millis(delay_ms),
            line: "POST /safe/x",
            events: 0,
            seed: vms as u64,
            kills: false,
        }
    }

    fn stream(self, events: u64) -> Play {
        Play { line: "POST /stream/x", events, ..self }
    }

    fn kills(self) -> Play {
        Play { kills: true, ..self }
    }

    fn crash(&self) -> Crash {
        Crash {
            trigger: Trigger::PromptPart { id: CRASHING_PART.to_owned(), events: self.events },
            delay: self.crash_delay,
            restart_after: RESTART_AFTER,
        }
    }

    /// Returns the prompt header of a request; the last part is its own.
    fn prompt(&self, number: usize, has_part: bool) -> String {
        let mut parts = SOUND_PARTS.map(str::to_owned);
        if has_part {
            parts[self.place] = CRASHING_PART.to_owned();
        }
        let shared: String = parts.iter().map(|part| format!("{part}:400,")).collect();
        let own = if has_part { "e" } else { "f" };
        format!("X-Prefix-Hash: {shared}{own}{number:06x}:30\r\n")
    }
}

/// A request as its caller saw it.
struct Call {
    at: Instant,
    is_sound: bool,
    is_served: bool,
}

/// What was seen in a play.
struct Outcome {
    /// Times of the crashes, in order.
    crashes: Vec<Instant>,
    /// Requests with the part that reached servers more than [`CONTACT_TIME`] after the last
    /// accepted crash.
    late: usize,
    /// Part of the sound requests that were served before the first request with the part, and from
    /// twice [`CONTACT_TIME`] after the last accepted crash.
    sound: [f64; 2],
    logs: String,
}

/// Starts a site and sends requests to it, each to a VM drawn anew.
fn run(play: Play) -> Outcome {
    let mut site = Site::new().route("safe", "idempotent", json!({})).route(
        "stream",
        "streaming",
        json!({"stream_resume": true}),
    );
    site.publish();
    let servers: Vec<Replica> =
        (0..play.servers).map(|at| site.fragile(&format!("r{at}"), play.crash())).collect();
    if play.line.contains("stream") {
        let pause = Duration::from_millis(40);
        let events = Action::Events { last: 5, cut_after: None, confidence: None, pause };
        for server in &servers {
            server.set_default_action(events.clone());
        }
    }
    let mut vms: Vec<Vm> = (0..play.vms).map(|_| site.start()).collect();
    are_ready(&vms);
    thread::sleep(DISCOVERY_TIME);
    let addresses: Vec<_> = vms.iter().map(|vm| vm.callers).collect();
    let (calls, numbers) = (Mutex::new(Vec::new()), AtomicUsize::new(0));
    let started = Instant::now();
    let send = |to, is_sound: bool| {
        let number = numbers.fetch_add(1, Ordering::SeqCst);
        let prompt = play.prompt(number, !is_sound);
        let head = head(play.line, &format!("call{number}"), &prompt);
        let at = Instant::now();
        let answer = try_ask(to, &head, format!("question {number}").as_bytes());
        let is_served = answer.is_some_and(|answer| answer.status == 200 && answer.whole);
        calls.lock().unwrap().push(Call { at, is_sound, is_served });
    };
    let send_all = |first: Duration, interval: Duration, is_sound: bool| {
        let mut rng = SmallRng::seed_from_u64(play.seed + u64::from(is_sound));
        thread::scope(|scope| {
            let mut next = first;
            while next < END {
                thread::sleep(next.saturating_sub(started.elapsed()));
                let to = *addresses.choose(&mut rng).unwrap();
                scope.spawn(move || send(to, is_sound));
                next += interval.mul_f64(rng.random_range(0.5..1.5));
            }
        });
    };
    let send_all = &send_all;
    thread::scope(|scope| {
        scope.spawn(|| send_all(Duration::ZERO, SOUND_INTERVAL, true));
        scope.spawn(|| send_all(FIRST_CRASHING_REQUEST, play.interval, false));
        if play.kills {
            let at = FIRST_CRASHING_REQUEST + Duration::from_secs(1);
            thread::sleep(at.saturating_sub(started.elapsed()));
            vms[0].kill();
            thread::sleep(Duration::from_millis(500));
            vms[0].start_again();
        }
    });
    let mut crashes: Vec<Instant> = servers.iter().flat_map(Replica::crash_times).collect();
    crashes.sort();
    let last_accepted = crashes.get(ACCEPTED_CRASHES - 1).or(crashes.last()).copied();
    let last_accepted = last_accepted.expect("a server crashed");
    let arrivals = servers.iter().flat_map(Replica::requests);
    let late = arrivals
        .filter(|seen| seen.prompt_parts().any(|part| part == CRASHING_PART))
        .filter(|seen| seen.at > last_accepted + CONTACT_TIME)
        .count();
    let served = |from: Instant, to: Instant| {
        let calls = calls.lock().unwrap();
        let sound = calls.iter().filter(|call| call.is_sound && call.at >= from && call.at < to);
        let served: Vec<bool> = sound.map(|call| call.is_served).collect();
        assert!(served.len() >= 20, "only {} sound requests", served.len());
        served.iter().filter(|served| **served).count() as f64 / served.len() as f64
    };
    let sound = [
        served(started, started + FIRST_CRASHING_REQUEST),
        served(last_accepted + 2 * CONTACT_TIME, started + END),
    ];
    let logs = vms.iter().map(Vm::log_end).collect();
    Outcome { crashes, late, sound, logs }
}

/// Checks that requests with the part stop in time, and that sound ones are served.
fn assert_part_is_held_back(play: Play) {
    let Outcome { crashes, late, sound, logs } = run(play);
    let what = format!(
        "part in place {} of {}, {} VMs, {} servers: {} crashes, {late} late requests, sound {sound:.2?}",
        play.place,
        play.line,
        play.vms,
        play.servers,
        crashes.len(),
    );
    println!("{what}");
    assert!(late <= MAX_LATE_REQUESTS, "{what}\n{logs}");
    assert!(sound[1] >= MIN_SOUND_SHARE * sound[0], "{what}\n{logs}");
}

#[test]
fn a_prompt_part_that_crashes_servers_is_held_back_by_three_vms() {
    for place in 0..SOUND_PARTS.len() {
        assert_part_is_held_back(Play::new(place, 3, 8, 120, 40));
    }
}

#[test]
fn a_prompt_part_that_crashes_servers_is_held_back_by_five_vms() {
    for place in 0..SOUND_PARTS.len() {
        assert_part_is_held_back(Play::new(place, 5, 24, 80, 120));
    }
}

#[test]
fn a_prompt_part_that_crashes_servers_is_held_back_by_fourteen_vms() {
    assert_part_is_held_back(Play::new(0, 14, 24, 120, 40));
    assert_part_is_held_back(Play::new(1, 14, 24, 120, 40).stream(0));
}

#[test]
fn a_prompt_part_that_crashes_streaming_servers_is_held_back() {
    assert_part_is_held_back(Play::new(0, 3, 8, 120, 40).stream(0));
    assert_part_is_held_back(Play::new(0, 5, 24, 80, 120).stream(1));
    assert_part_is_held_back(Play::new(2, 5, 24, 80, 120).stream(1));
}

#[test]
fn a_prompt_part_that_crashes_servers_is_held_back_by_a_vm_that_was_killed() {
    assert_part_is_held_back(Play::new(0, 3, 12, 400, 40).kills());
    assert_part_is_held_back(Play::new(1, 3, 12, 400, 40).stream(0).kills());
}
