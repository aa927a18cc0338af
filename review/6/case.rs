//! Streams that break off within a connection that stays open: the request goes on at another
//! server while the first one still works on it.

#[path = "../lib-2/stage.rs"]
mod stage;

use std::collections::BTreeMap;
use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use stage::{Request, Server, Stage, ask};

const SERVERS: usize = 4;
/// Servers in disruption: a share of 0.5.
const GARBLING: usize = 2;
/// Largest part of its answers that a server in disruption spoils.
const SPOILT_PART: f64 = 0.05;
/// Time before the disruption, its length, and the time after it.
const QUIET: Duration = Duration::from_secs(1);
const DISRUPTION: Duration = Duration::from_secs(5);
/// Time between two requests: 50 a second, as `subscriber-reply` at `rkt-tellimus`.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// Events of a stream, and the time between two of them.
const EVENTS: u64 = 49;
const EVENT_INTERVAL: Duration = Duration::from_millis(40);
/// Event in whose place a spoilt answer has other bytes.
const SPOILT_EVENT: u64 = 10;
/// Time until the first event; the objective is 1,500 ms.
const PREFILL: Duration = Duration::from_millis(900);
/// Time after which the server before may no longer work on a request that goes on at another one.
const BOUND_S: f64 = 0.4;

const CONFIG: &str = r#"{"version": 4,
  "routes": [{"name": "reply", "host": "h.example", "path_prefix": "/reply/", "type": "streaming",
              "stream_resume": true, "timeout_ms": 20000, "latency_goal_ms": 1500,
              "gap_target_ms": 1200, "priority": 0, "max_attempts": 3, "service": "llm",
              "session_affinity": true}],
  "services": [{"name": "llm", "max_connections": 370}],
  "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000,
             "idle_timeout_ms": 15000}}"#;

/// Work of one server on a request, with times since the start.
struct Run {
    server: String,
    began: f64,
    ended: f64,
}

/// All work by request.
type Runs = Arc<Mutex<BTreeMap<String, Vec<Run>>>>;

fn main() {
    stage::main(run);
}

fn run(stage: &mut Stage) -> Result<bool, String> {
    let is_disrupted = Arc::new(AtomicBool::new(false));
    let (store, runs) = (stage.store(), Runs::default());
    for number in 0..SERVERS {
        let (is_disrupted, runs) = (is_disrupted.clone(), runs.clone());
        let (answers, spoilt) = (AtomicU32::new(0), AtomicU32::new(0));
        let id = format!("i-{number}");
        let server = Server::start(stage, &id, "llm", "v1", move |server, request, stream| {
            let may_garble = number < GARBLING && is_disrupted.load(Ordering::Relaxed);
            let is_spoilt = may_garble && may_spoil(&answers, &spoilt);
            serve(server, request, stream, is_spoilt, &runs)
        });
        store.write_server(&server, "ready");
    }
    store.write("config", "main", CONFIG);
    stage.start_vms(1)?;
    let clients: Vec<_> = (0..(QUIET + DISRUPTION + QUIET).as_millis() / REQUEST_INTERVAL.as_millis())
        .map(|number| {
            let sent_after = REQUEST_INTERVAL * number as u32;
            let is_within = sent_after >= QUIET && sent_after < QUIET + DISRUPTION;
            is_disrupted.store(is_within && stage.has_trouble, Ordering::Relaxed);
            let (to, record) = (stage.vms[0].callers, stage.record.clone());
            let client = std::thread::spawn(move || send(number, to, &record));
            std::thread::sleep(REQUEST_INTERVAL);
            client
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    // Servers that have lost their callers notice it.
    std::thread::sleep(Duration::from_secs(3));
    let runs = runs.lock().unwrap();
    let mut twice = 0;
    for (id, runs) in runs.iter() {
        for (run, next) in runs.iter().flat_map(|run| runs.iter().map(move |next| (run, next))) {
            let overlap = run.ended - next.began;
            if next.began > run.began && overlap > BOUND_S {
                twice += 1;
                let line = format!(
                    "{id} goes on at {}, {} still works on it {overlap:.3} s later",
                    next.server, run.server
                );
                stage.record.line(line);
            }
        }
    }
    let summary = format!("{twice} requests went on while the server before still worked on them");
    stage.record.line(&summary);
    println!("{summary}");
    Ok(twice > 0)
}

/// Returns true, and counts the answer as spoilt, if that keeps within [`SPOILT_PART`].
fn may_spoil(answers: &AtomicU32, spoilt: &AtomicU32) -> bool {
    let answers = answers.fetch_add(1, Ordering::Relaxed) + 1;
    let next = spoilt.load(Ordering::Relaxed) + 1;
    let may_spoil = f64::from(next) <= f64::from(answers) * SPOILT_PART;
    if may_spoil {
        spoilt.store(next, Ordering::Relaxed);
    }
    may_spoil
}

/// Works on a request until its last event, or until its connection ends.
fn serve(
    server: &Server,
    request: &Request,
    stream: &mut TcpStream,
    is_spoilt: bool,
    runs: &Runs,
) -> bool {
    let id = request.header("x-attempt-id").to_owned();
    let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
    let began = server.record.now();
    if after > 0 {
        server.record.line(format!("{} begins {id} after event {after}", server.id));
    }
    let is_finished = server.read_rest(request, stream)
        && stream.set_nonblocking(true).is_ok()
        && send_events(server, request, stream, after, is_spoilt).is_ok();
    let ended = server.record.now();
    if after > 0 || is_spoilt || !is_finished {
        let end = if is_finished { "has finished" } else { "drops, its connection has ended," };
        server.record.line(format!("{} {end} {id}, spoilt: {is_spoilt}", server.id));
    }
    let run = Run { server: server.id.clone(), began, ended };
    runs.lock().unwrap().entry(id).or_default().push(run);
    false
}

fn send_events(
    server: &Server,
    request: &Request,
    stream: &mut TcpStream,
    after: u64,
    is_spoilt: bool,
) -> std::io::Result<()> {
    pause(stream, PREFILL)?;
    let head = server.head(request, "200 OK");
    let head = format!(
        "{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
         Connection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    for event in after + 1..=EVENTS {
        let text = format!("id: {event}\ndata: piece {event}\n\n");
        let bytes = match is_spoilt && event == SPOILT_EVENT {
            true => "these bytes are no answer\r\n".to_owned(),
            false => format!("{:x}\r\n{text}\r\n", text.len()),
        };
        stream.write_all(bytes.as_bytes())?;
        pause(stream, EVENT_INTERVAL)?;
    }
    stream.write_all(b"0\r\n\r\n")
}

/// Works for a while.
///
/// # Errors
/// If the connection ends meanwhile.
fn pause(stream: &TcpStream, time: Duration) -> std::io::Result<()> {
    const STEP: Duration = Duration::from_millis(10);
    for _ in 0..time.as_millis() / STEP.as_millis() {
        std::thread::sleep(STEP);
        match stream.peek(&mut [0; 1]) {
            Ok(0) => return Err(ErrorKind::ConnectionAborted.into()),
            Err(fault) if fault.kind() != ErrorKind::WouldBlock => return Err(fault),
            _ => {}
        }
    }
    Ok(())
}

fn send(number: u128, to: std::net::SocketAddr, record: &stage::Record) {
    let id = format!("r{number:05}");
    let head = format!(
        "POST /reply/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {id}\r\n\
         X-Deadline-Ms: 20000\r\nX-Model: m\r\nX-Token-Usage: 826,290\r\n\
         X-Prefix-Hash: {:x}c1e07a2:198,{number:x}e4402b:628\r\n",
        number % 8
    );
    let got = ask(to, &head, b"{}", Duration::from_secs(21)).unwrap_or_default();
    let events = String::from_utf8_lossy(&got.body).matches("id: ").count();
    if got.status != 200 || !got.is_complete || events as u64 != EVENTS {
        let (status, end) = (got.status, got.is_complete);
        record.line(format!("client: {id} gets {status}, {events} events, complete: {end}"));
    }
}
