//! Test fixture for a small site: simulated store and backend servers, entry VMs as real processes,
//! and callers that see every byte.

// Each test program uses only a part of this module.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, OnceLock};
use std::time::{Duration, Instant};

use actix_http::RequestHead;
use bytes::Bytes;
use kitepulley::config::{Regions, RetryPolicy, Route};
use kitepulley::decide::poison::Fingerprint;
use kitepulley::forward::job::{Job, Record};
use kitepulley::forward::{Bounds, Settings, Vm as Inner};
use kitepulley::history::Sink;
use kitepulley::platform::header;
use kitepulley::standin::Instance;
use kitepulley::standin::platform::{Platform, Rates};
use kitepulley::standin::replica::{Crash, Replica};
use kitepulley::unit::{Millicores, Span};
use kitepulley::vm::Clock;
use kitepulley::watch::log::Logger;
use serde_json::{Value, json};

pub mod fleet;
pub mod link;
pub mod proxy;

/// Time limit for anything a test waits for; generous, as a busy machine is slow.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Start of the first incarnation of a crashing server, in milliseconds since 1970; each later one
/// starts a millisecond after the one before.
const FIRST_INCARNATION_MS: u64 = 1_700_000_000_000;

/// Number of log lines of each VM in the message of a failed check.
const LOG_TAIL_LINES: usize = 40;

/// Number of the next VM, which makes its file names unique.
static NEXT_VM: AtomicU32 = AtomicU32::new(0);

/// Process of an entry VM. It is killed when dropped.
pub struct Vm {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub metrics: SocketAddr,
    pub process: Child,
    pub log: PathBuf,
    settings: PathBuf,
    /// Flags of the process besides the usual ones.
    flags: Vec<String>,
}

impl Drop for Vm {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_file(&self.settings);
        let _ = std::fs::remove_file(&self.log);
    }
}

impl Vm {
    /// Sends a signal to the process.
    pub fn signal(&self, signal: i32) {
        // SAFETY: the process was started by this test and has not been waited for.
        unsafe { libc::kill(self.process.id() as i32, signal) };
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }

    /// Starts the process again, with the same settings and the same log.
    pub fn start_again(&mut self) {
        self.process = process(&self.settings, &self.log, self.metrics, &self.flags);
    }

    /// Starts the process again if it has ended.
    pub fn restart_if_ended(&mut self) {
        if self.process.try_wait().unwrap().is_some() {
            self.start_again();
        }
    }

    /// Returns true if the readiness check succeeds.
    pub fn is_ready(&self) -> bool {
        let answer = try_ask(self.readiness, "GET /v1/readyz HTTP/1.1\r\nHost: x\r\n", b"");
        answer.is_some_and(|answer| answer.status == 200)
    }

    /// Returns the log lines so far.
    pub fn lines(&self) -> Vec<Value> {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect()
    }

    /// Returns the last log lines, without those of single requests, for failure messages.
    pub fn log_end(&self) -> String {
        let lines = self.lines();
        let shown: Vec<&Value> = lines.iter().filter(|line| line["event"] != "request").collect();
        let end = shown.iter().skip(shown.len().saturating_sub(LOG_TAIL_LINES));
        let end: Vec<String> = end.map(|line| line.to_string()).collect();
        format!("{}:\n{}\n", self.callers, end.join("\n"))
    }

    /// Returns the value of the first metric whose line contains all `parts`, or 0.
    pub fn counter(&self, parts: &[&str]) -> f64 {
        let page = ask(self.metrics, "GET /metrics HTTP/1.1\r\nHost: x\r\n", b"");
        let text = String::from_utf8_lossy(&page.body).into_owned();
        let line = text.lines().find(|line| parts.iter().all(|part| line.contains(part)));
        let value = line.and_then(|line| line.rsplit(' ').next()?.parse().ok());
        value.unwrap_or(0.0)
    }
}

/// A site: the store, and the configuration and bounds for the VMs.
pub struct Site {
    pub store: Platform,
    pub store_server: Instance,
    pub config: Value,
    pub bounds: Value,
    /// Fields of the VMs' settings besides the usual ones.
    pub settings: Value,
    version: u64,
}

impl Default for Site {
    fn default() -> Site {
        Site::new()
    }
}

impl Site {
    /// Starts a store; the configuration has no routes yet.
    pub fn new() -> Site {
        let store = Platform::new(Rates { writes: 1e6, reads: 1e6 }, Sink::default());
        let store_server = store.launch("127.0.0.1:0".parse().unwrap()).unwrap();
        let config = json!({
            "version": 1, "routes": [], "services": [],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 100_000,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        });
        let bounds = json!({"revoke_ms": 2000, "strict_revocation": true, "grace_s": 4,
            "session_s": 1, "retry_budget_extra": 1000, "exposure_share": 0.5});
        Site { store, store_server, config, bounds, settings: json!({}), version: 1 }
    }

    /// Adds a route under `/NAME/` of the host `h.example` to the service `api`, with the fields
    /// `more`.
    pub fn route(self, name: &str, kind: &str, more: Value) -> Site {
        let mut route = json!({"name": name, "host": "h.example",
            "path_prefix": format!("/{name}/"), "type": kind, "timeout_ms": 3000,
            "latency_goal_ms": 200, "max_attempts": 3, "priority": 1, "service": "api"});
        merge(&mut route, more);
        self.change(|config| push(config, "routes", route))
    }

    /// Adds a workspace with keys; from then on requests need a key.
    pub fn workspace(self, name: &str, keys: &[&str]) -> Site {
        let workspace = json!({"name": name, "api_keys": keys, "priority": 1});
        self.change(|config| push(config, "tenants", workspace))
    }

    /// Changes the configuration, without publishing it.
    pub fn change(mut self, change: impl FnOnce(&mut Value)) -> Site {
        change(&mut self.config);
        self
    }

    /// Writes the configuration to the store under a new version.
    pub fn publish(&mut self) {
        self.version += 1;
        self.config["version"] = json!(self.version);
        self.store.write_spec("config", "main", self.config.clone());
    }

    /// Starts a backend server of `api` and writes its entry.
    pub fn replica(&self, id: &str, version: &str) -> Replica {
        let replica = Replica::launch().unwrap();
        self.list(id, version, "ready", replica.address);
        replica
    }

    /// Writes the entry of a backend server.
    pub fn list(&self, id: &str, version: &str, state: &str, address: SocketAddr) {
        self.list_with(id, address, json!({"version": version, "state": state}));
    }

    /// Starts a backend server of `api` and writes its entry with these fields.
    pub fn replica_with(&self, id: &str, fields: Value) -> Replica {
        let replica = Replica::launch().unwrap();
        self.list_with(id, replica.address, fields);
        replica
    }

    /// Starts a backend server of `api` that crashes on some requests and restarts as a new
    /// incarnation.
    pub fn fragile(&self, id: &str, crash: Crash) -> Replica {
        let replica = Replica::launch().unwrap();
        let (store, name, address) = (self.store.clone(), id.to_owned(), replica.address);
        let list = move |incarnation: u64| {
            store.write_spec(
                "servers",
                &name,
                entry(address, json!({"born": FIRST_INCARNATION_MS + incarnation})),
            );
        };
        list(0);
        replica.set_crash(crash).on_start(list);
        replica
    }

    /// Writes the entry of a backend server: that of a ready one, except for these fields.
    pub fn list_with(&self, id: &str, address: SocketAddr, fields: Value) {
        let entry = entry(address, fields);
        self.store.write_spec("servers", id, entry);
    }

    /// Starts an entry VM in the data centre `here`, without waiting until it is ready.
    pub fn start(&self) -> Vm {
        self.start_through(self.store_server.address)
    }

    /// Starts an entry VM with the store at another address, that of a [`proxy::Proxy`].
    pub fn start_through(&self, store: SocketAddr) -> Vm {
        self.launch(store, "here")
    }

    /// Starts an entry VM in a data centre.
    pub fn start_in(&self, data_centre: &str) -> Vm {
        self.launch(self.store_server.address, data_centre)
    }

    /// Starts an entry VM that connects to servers from this address.
    pub fn start_from(&self, source: Ipv4Addr) -> Vm {
        let more = ["--source-ip".to_owned(), source.to_string()];
        self.launch_with(self.store_server.address, "here", &more)
    }

    fn launch(&self, store: SocketAddr, data_centre: &str) -> Vm {
        self.launch_with(store, data_centre, &[])
    }

    fn launch_with(&self, store: SocketAddr, data_centre: &str, flags: &[String]) -> Vm {
        let number = NEXT_VM.fetch_add(1, Ordering::SeqCst);
        let name = format!("kitepulley-{}-{number}", std::process::id());
        let (callers, readiness, metrics) = (free_address(), free_address(), free_address());
        let settings = std::env::temp_dir().join(format!("{name}.json"));
        let log = std::env::temp_dir().join(format!("{name}.log"));
        let mut text = json!({
            "node_name": format!("vm{number:04}"), "ip": "127.0.0.1", "zone": data_centre,
            "zones": {"here": "north", "there": "south"},
            "listen": {"frontend": callers.to_string(), "readiness": readiness.to_string()},
            "port_range": [free_address().port(), 0],
            "bounds": self.bounds, "something_new": {"unknown": true},
            "platform": {"address": store.to_string()},
        });
        merge(&mut text, self.settings.clone());
        std::fs::write(&settings, text.to_string()).unwrap();
        let process = process(&settings, &log, metrics, flags);
        let name = format!("vm{number:04}");
        let flags = flags.to_vec();
        Vm { name, callers, readiness, metrics, process, log, settings, flags }
    }

    /// Starts an entry VM and waits until it is ready.
    pub fn start_ready(&mut self) -> Vm {
        self.publish();
        let vm = self.start();
        eventually("the VM is ready", || vm.is_ready());
        vm
    }
}

/// Returns a site with a route of each kind, under the paths `/safe/`, `/once/` and `/stream/`,
/// whose VMs keep serving while the store is lost.
pub fn three_kinds() -> Site {
    let mut site = Site::new()
        .route("safe", "idempotent", json!({}))
        .route("once", "non_idempotent", json!({}))
        .route("stream", "streaming", json!({"stream_resume": true}));
    site.bounds["strict_revocation"] = json!(false);
    site.publish();
    site
}

/// Returns the entry of a ready backend server of `api`, except for these fields.
fn entry(address: SocketAddr, fields: Value) -> Value {
    let mut entry = json!({"service": "api", "address": address.to_string(), "zone": "here",
        "version": "v1", "capacity": 8, "state": "ready", "cold_remaining_ms": 0,
        "sequence": 1});
    merge(&mut entry, fields);
    entry
}

fn process(settings: &Path, log: &Path, metrics: SocketAddr, flags: &[String]) -> Child {
    let _lock = PORT_PROBE_LOCK.lock().unwrap();
    let out = std::fs::File::options().create(true).append(true).open(log).unwrap();
    Command::new(env!("CARGO_BIN_EXE_kitepulley"))
        .args(["entry", "--metrics-port", &metrics.port().to_string()])
        .args(flags)
        .env("KITEPULLEY_CONFIG", settings)
        .stdout(Stdio::from(out))
        .spawn()
        .expect("the program starts")
}

fn push(config: &mut Value, list: &str, entry: Value) {
    match config[list].as_array_mut() {
        Some(entries) => entries.push(entry),
        None => config[list] = json!([entry]),
    }
}

fn merge(into: &mut Value, more: Value) {
    for (name, value) in more.as_object().into_iter().flatten() {
        into[name] = value.clone();
    }
}

/// Ports for tests, below the ephemeral range, so that no outgoing connection takes one.
const PORT_RANGE: std::ops::Range<u32> = 12_000..32_000;

/// Held while a port is probed and while a process is started. A forked child keeps the descriptors
/// of its parent until it executes its program, so a VM could not bind a port that another test was
/// probing then (1 in 100 binds of a loop beside three that start processes).
static PORT_PROBE_LOCK: Mutex<()> = Mutex::new(());

/// Number of ports reserved for one test program.
const PORTS_PER_PROCESS: u32 = 500;

/// Returns the block of ports reserved for this test program, by a file lock that ends with the
/// process. A port is free between its probe and the bind of the VM: without the lock, 6 of 48 runs
/// of one program, four at a time, failed because another had taken the port.
fn port_block() -> u32 {
    static HELD_BLOCK: OnceLock<(File, u32)> = OnceLock::new();
    let blocks = (PORT_RANGE.end - PORT_RANGE.start) / PORTS_PER_PROCESS;
    let lock = |number: u32| {
        let path = std::env::temp_dir().join(format!("kitepulley-ports-{number}"));
        let file = File::options().create(true).append(true).open(path).ok()?;
        // SAFETY: the descriptor is that of an open file.
        let locked = unsafe { libc::flock(file.as_raw_fd(), libc::LOCK_EX | libc::LOCK_NB) } == 0;
        locked.then_some((file, number))
    };
    HELD_BLOCK.get_or_init(|| (0..blocks).find_map(lock).expect("a block of ports is free")).1
}

/// Returns a free address that no other test of this process gets.
pub fn free_address() -> SocketAddr {
    let _lock = PORT_PROBE_LOCK.lock().unwrap();
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let first = PORT_RANGE.start + port_block() * PORTS_PER_PROCESS;
    loop {
        let port = first + NEXT.fetch_add(1, Ordering::SeqCst) % PORTS_PER_PROCESS;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        // Links between VMs use UDP, whose ports other programs may hold.
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// Returns true if a VM follows a reader now, by its log.
pub fn follows(vm: &Vm) -> bool {
    let events = ["follows a reader", "reads the store itself"];
    let lines = vm.lines();
    let last = lines.iter().rev().find(|line| events.iter().any(|event| line["event"] == *event));
    last.is_some_and(|line| line["event"] == events[0])
}

/// Waits until all VMs are ready; on a timeout the message has the logs of all.
pub fn are_ready(vms: &[Vm]) {
    let started = Instant::now();
    while !vms.iter().all(Vm::is_ready) {
        let logs = || vms.iter().map(Vm::log_end).collect::<String>();
        assert!(started.elapsed() < WAIT_TIMEOUT, "not ready within {WAIT_TIMEOUT:?}\n{}", logs());
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Waits until `holds` returns true.
pub fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < WAIT_TIMEOUT, "not within {WAIT_TIMEOUT:?}: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// A response as a caller sees it.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    /// True if the body is complete by its framing.
    pub whole: bool,
}

impl Answer {
    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<String> {
        let prefix = format!("{}:", name.to_ascii_lowercase());
        let found = self.head.lines().find(|line| line.to_ascii_lowercase().starts_with(&prefix));
        found.map(|line| line[prefix.len()..].trim().to_owned())
    }
}

/// Returns the head of a request, without its end: the request line, the id and more headers.
pub fn head(line: &str, id: &str, more: &str) -> String {
    format!(
        "{line} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 2500\r\n{more}"
    )
}

/// Sends a request on a new connection, and returns the response.
pub fn ask(to: SocketAddr, head: &str, body: &[u8]) -> Answer {
    try_ask(to, head, body).expect("an answer")
}

/// Sends a request as [`ask`] does. Returns `None` if there is no response.
pub fn try_ask(to: SocketAddr, head: &str, body: &[u8]) -> Option<Answer> {
    let mut stream = TcpStream::connect(to).ok()?;
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).ok()?;
    let length = format!("Content-Length: {}\r\n", body.len());
    let length = if body.is_empty() { "" } else { length.as_str() };
    let text = format!("{head}{length}Connection: close\r\n\r\n");
    stream.write_all(text.as_bytes()).ok()?;
    stream.write_all(body).ok()?;
    let mut bytes = Vec::new();
    // After a reset the bytes before it are kept.
    let _ = stream.read_to_end(&mut bytes);
    read(&bytes)
}

/// Parses a response from all bytes of its connection.
pub fn read(bytes: &[u8]) -> Option<Answer> {
    let end = bytes.windows(4).position(|end| end == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let mut answer = Answer { status, head, body: Vec::new(), whole: false };
    let body = &bytes[end + 4..];
    if answer.header("transfer-encoding").is_some() {
        (answer.body, answer.whole) = decode_chunks(body);
    } else {
        let length = answer.header("content-length").and_then(|text| text.parse().ok());
        answer.whole = length.unwrap_or(0) == body.len();
        answer.body = body.to_vec();
    }
    Some(answer)
}

fn decode_chunks(mut bytes: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    loop {
        let Some(line) = bytes.windows(2).position(|end| end == b"\r\n") else {
            return (body, false);
        };
        let size = std::str::from_utf8(&bytes[..line]).ok();
        let Some(size) = size.and_then(|size| usize::from_str_radix(size, 16).ok()) else {
            return (body, false);
        };
        bytes = &bytes[line + 2..];
        if size == 0 {
            return (body, bytes.starts_with(b"\r\n"));
        }
        if bytes.len() < size + 2 {
            body.extend_from_slice(&bytes[..bytes.len().min(size)]);
            return (body, false);
        }
        body.extend_from_slice(&bytes[..size]);
        bytes = &bytes[size + 2..];
    }
}

/// Returns the state of a VM without a process; tests feed it directly.
pub fn bare_vm() -> Rc<Inner> {
    vm_with_clock(Clock::default(), None)
}

/// Returns an idempotent request that just arrived at such a VM.
pub fn job(vm: &Rc<Inner>, service: &str) -> Job {
    let mut request = RequestHead::default();
    request.uri = "/safe/x".parse().unwrap();
    let call = header::decode_call(&request);
    let route = Route {
        name: "safe".into(),
        prefix: "/safe/".into(),
        services: Vec::new(),
        retry: RetryPolicy::Safe,
        is_streaming: false,
        timeout: Span::secs(3),
        latency_goal: Span::millis(200),
        max_attempts: 3,
        priority: 1,
        is_public: true,
        regions: Regions::default(),
        cascade: Vec::new(),
    };
    let arrived = vm.now();
    Job {
        record: Record::new(vm.clone(), &call, arrived),
        vm: vm.clone(),
        head: request,
        call,
        body: Bytes::new(),
        route: Rc::new(route),
        service: service.parse().unwrap(),
        holder: None,
        fingerprint: Fingerprint::default(),
        arrived,
        deadline: arrived + Span::secs(3),
        client: None,
    }
}

/// Returns the state of a VM as [`bare_vm`] does, with these clocks and a bound on the age of keys.
pub fn vm_with_clock(clock: Clock, key_staleness: Option<Span>) -> Rc<Inner> {
    let address = "127.0.0.1:9".parse().unwrap();
    let bounds = Bounds {
        settling_time: Span::secs(3),
        config_propagation: Span::secs(2),
        drain_within: Span::secs(2),
        evacuate_within: Span::secs(5),
        key_staleness,
        rollback: Span::secs(5),
        stop_within: Span::secs(8),
        session_gap: Span::secs(5),
        retry_share: 0.9,
        retry_extra: 54.0,
        retry_window: Span::secs(10),
        max_exposure: 0.15,
        exposure_tolerance: 30.0,
    };
    let settings = Settings {
        vm: "vm-a".parse().unwrap(),
        data_centre: "here".parse().unwrap(),
        regions: HashMap::new(),
        ip: "127.0.0.1".parse().unwrap(),
        source: None,
        cpu_quota: Millicores(250),
        memory: None,
        descriptors: None,
        client_connections: None,
        callers: address,
        readiness: address,
        links: None,
        store: address,
        metrics: None,
        keep_confidence: 60.0,
        bounds,
        duties: None,
    };
    Rc::new(Inner::new(settings, clock, Logger::default()))
}
