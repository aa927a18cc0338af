//! Early answers without a length that a reset breaks off, while the request is still being sent.

#[path = "../lib-2/stage.rs"]
mod stage;

use std::collections::BTreeMap;
use std::io::Write;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use stage::{Server, Stage, ask, reset_on_close};

const VMS: u8 = 2;
/// Servers of the service, as at `rkt-tellimus`.
const SERVERS: usize = 4;
/// Servers in disruption: a share of 0.5.
const GARBLING: usize = 2;
/// Largest part of its answers that a server in disruption breaks off.
const SPOILT_PART: f64 = 0.05;
/// Length of the disruption.
const DISRUPTION: Duration = Duration::from_secs(5);
/// Time for which clients send requests, before and after the disruption.
const QUIET: Duration = Duration::from_secs(2);

const CLIENTS_PER_VM: usize = 4;
/// One request in this many has a long body.
const LONG_EVERY: usize = 8;
/// Long body in bytes; the configuration allows 4,194,304.
const LONG_BODY: usize = 4_000_000;
const SHORT_BODY: usize = 200;
/// Size of each whole answer in bytes.
const ANSWER: usize = 800;
/// Time that a server works on a request.
const WORK: Duration = Duration::from_millis(15);

const CONFIG: &str = r#"{"version": 4,
  "routes": [{"name": "status", "host": "h.example", "path_prefix": "/status/",
              "type": "non_idempotent", "timeout_ms": 1500, "latency_goal_ms": 100, "priority": 2,
              "max_attempts": 3, "service": "api"}],
  "services": [{"name": "api", "max_connections": 110}],
  "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000,
             "idle_timeout_ms": 15000}}"#;

/// What a server in disruption did so far.
#[derive(Default)]
struct Counts {
    answers: AtomicU32,
    spoilt: AtomicU32,
}

fn main() {
    stage::main(run);
}

fn run(stage: &mut Stage) -> Result<bool, String> {
    let is_disrupted = Arc::new(AtomicBool::new(false));
    let store = stage.store();
    for number in 0..SERVERS {
        let may_garble = number < GARBLING;
        let (is_disrupted, counts) = (is_disrupted.clone(), Counts::default());
        let id = format!("i-{number}");
        let server = Server::start(stage, &id, "api", "v1", move |server, request, stream| {
            let is_garbling = may_garble && is_disrupted.load(Ordering::Relaxed);
            if is_garbling && request.content_length() == LONG_BODY && counts.may_spoil() {
                return break_off(server, request, stream);
            }
            let is_read = server.read_rest(request, stream);
            std::thread::sleep(WORK);
            if is_garbling {
                counts.answers.fetch_add(1, Ordering::Relaxed);
            }
            is_read && server.send(stream, request, "200 OK", "", &answer()).is_ok()
        });
        store.write_server(&server, "ready");
    }
    store.write("config", "main", CONFIG);
    stage.start_vms(VMS)?;
    let ends = Instant::now() + QUIET + DISRUPTION + QUIET;
    let results = Arc::new(Mutex::new(BTreeMap::new()));
    let clients: Vec<_> = (0..CLIENTS_PER_VM * usize::from(VMS))
        .map(|client| {
            let to = stage.vms[client % usize::from(VMS)].callers;
            let (record, results) = (stage.record.clone(), results.clone());
            std::thread::spawn(move || {
                let sent = (0..).take_while(|_| Instant::now() < ends);
                sent.filter(|number| send(client, *number, to, &record, &results)).count()
            })
        })
        .collect();
    std::thread::sleep(QUIET);
    is_disrupted.store(stage.has_trouble, Ordering::Relaxed);
    std::thread::sleep(DISRUPTION);
    is_disrupted.store(false, Ordering::Relaxed);
    let mixed: usize = clients.into_iter().map(|client| client.join().unwrap_or(0)).sum();
    for (result, count) in results.lock().unwrap().iter() {
        stage.record.line(format!("in all: {count} requests, {result}"));
    }
    let summary = format!("{mixed} successes without the replica's whole body");
    stage.record.line(&summary);
    println!("{summary}");
    Ok(mixed > 0)
}

impl Counts {
    /// Returns true, and counts the answer as spoilt, if that keeps within [`SPOILT_PART`].
    fn may_spoil(&self) -> bool {
        let answers = self.answers.load(Ordering::Relaxed) + 1;
        let spoilt = self.spoilt.load(Ordering::Relaxed) + 1;
        let may_spoil = f64::from(spoilt) <= f64::from(answers) * SPOILT_PART;
        if may_spoil {
            self.answers.store(answers, Ordering::Relaxed);
            self.spoilt.store(spoilt, Ordering::Relaxed);
        }
        may_spoil
    }
}

fn answer() -> Vec<u8> {
    (0..ANSWER).map(|at| b'a' + (at % 26) as u8).collect()
}

/// Answers before the body is read, without a length, and resets the connection after half of the
/// answer.
fn break_off(server: &Server, request: &stage::Request, stream: &mut std::net::TcpStream) -> bool {
    std::thread::sleep(WORK);
    let head = format!("{}Connection: close\r\n\r\n", server.head(request, "200 OK"));
    reset_on_close(stream);
    let _ = stream.write_all(&[head.as_bytes(), &answer()[..ANSWER / 2]].concat());
    let id = request.header("x-attempt-id");
    server.record.line(format!("{} ran {id}, resets its early answer after half", server.id));
    false
}

/// Sends a request. Returns true if the client got a success that is not the replica's whole body.
fn send(
    client: usize,
    number: usize,
    to: std::net::SocketAddr,
    record: &stage::Record,
    results: &Mutex<BTreeMap<String, usize>>,
) -> bool {
    let is_long = number % LONG_EVERY == LONG_EVERY - 1;
    let body = vec![b'x'; if is_long { LONG_BODY } else { SHORT_BODY }];
    let id = format!("c{client}n{number:05}");
    let head = format!(
        "POST /status/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {id}\r\n\
         X-Deadline-Ms: 1500\r\n"
    );
    let got = ask(to, &head, &body, Duration::from_secs(3)).unwrap_or_default();
    let size = got.body.len();
    let result = match got.status {
        200 => format!("200 with {size} bytes, looks complete: {}", got.is_complete),
        status => format!("{status}"),
    };
    *results.lock().unwrap().entry(result.clone()).or_default() += 1;
    let is_mixed = got.status == 200 && got.is_complete && got.body != answer();
    if is_long || is_mixed {
        let length = got.headers.get("content-length").map_or("none", String::as_str);
        record.line(format!("client: {id} gets {result}, content-length {length}"));
    }
    is_mixed
}
