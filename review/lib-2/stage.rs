//! Stage of the review's second set of scripts: starts the object store's stand-in and entry VMs as
//! separate processes on loopback addresses, serves requests as stand-ins of backend servers, and
//! records what is seen. Uses the standard library alone.

#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit code of a run in which the rule was broken.
pub const BROKEN: i32 = 1;
/// Exit code of a run in which the rule held.
pub const HELD: i32 = 0;
/// Exit code of a run that could not be made.
pub const NOT_RUN: i32 = 2;

/// Time limit for processes to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

const FRONTEND_PORT: u16 = 8227;
const READINESS_PORT: u16 = 8220;
const STORE_PORT: u16 = 8223;
const SERVER_PORT: u16 = 8120;

unsafe extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const u8, length: u32) -> i32;
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;
pub const SIGTERM: i32 = 15;

/// Makes the next close of the connection a reset.
pub fn reset_on_close(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let value: [u8; 8] = [1, 0, 0, 0, 0, 0, 0, 0];
    // SAFETY: the descriptor is open and the value has the size of `struct linger`.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, value.as_ptr(), 8) };
}

/// Sends a signal to a process that this stage started.
pub fn signal(process: &Child, number: i32) {
    // SAFETY: the process was started here and has not been waited for.
    unsafe { kill(process.id() as i32, number) };
}

/// Writes what was seen, with the time since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64();
        let line = format!("{at:9.4} {}\n", text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
}

/// Head of a request as a server received it.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: HashMap<String, String>,
    /// Bytes of the body that arrived with the head.
    pub begun: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn content_length(&self) -> usize {
        self.header("content-length").parse().unwrap_or(0)
    }
}

/// Reads a head of a request or a response; returns its first line, the headers with names in lower
/// case, and the bytes that came after it.
pub fn read_head(stream: &mut TcpStream) -> Option<(String, HashMap<String, String>, Vec<u8>)> {
    let (mut bytes, mut buffer) = (Vec::new(), [0; 16 * 1024]);
    loop {
        if let Some(end) = bytes.windows(4).position(|part| part == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let mut lines = text.split("\r\n");
            let first = lines.next()?.to_owned();
            let headers = lines.filter_map(|line| line.split_once(':'));
            let headers = headers
                .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()));
            return Some((first, headers.collect(), bytes[end + 4..].to_vec()));
        }
        match stream.read(&mut buffer) {
            Ok(count) if count > 0 => bytes.extend_from_slice(&buffer[..count]),
            _ => return None,
        }
    }
}

/// Answer to a client.
#[derive(Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    /// True if the body ended as its head announced.
    pub is_complete: bool,
}

/// Sends a request on a new connection and reads the answer. Returns `None` if the connection ends
/// before a head.
pub fn ask(to: SocketAddr, head: &str, body: &[u8], within: Duration) -> Option<Answer> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(within)).ok()?;
    stream.set_nodelay(true).ok()?;
    let bytes = [format!("{head}Content-Length: {}\r\n\r\n", body.len()).as_bytes(), body].concat();
    stream.write_all(&bytes).ok()?;
    read_answer(&mut stream)
}

/// Reads an answer from a connection.
pub fn read_answer(stream: &mut TcpStream) -> Option<Answer> {
    let (first, headers, mut bytes) = read_head(stream)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let is_chunked = headers.get("transfer-encoding").is_some_and(|value| value == "chunked");
    let length: Option<usize> = headers.get("content-length").and_then(|value| value.parse().ok());
    let mut buffer = [0; 64 * 1024];
    let (mut body, mut is_complete) = (Vec::new(), false);
    loop {
        if is_chunked {
            (body, is_complete) = unchunk(&bytes);
        } else if let Some(length) = length {
            is_complete = bytes.len() >= length;
        }
        if is_complete {
            break;
        }
        match stream.read(&mut buffer) {
            Ok(count) if count > 0 => bytes.extend_from_slice(&buffer[..count]),
            Ok(_) => {
                is_complete = !is_chunked && length.is_none();
                break;
            }
            Err(_) => break,
        }
    }
    if !is_chunked {
        body = bytes;
    }
    Some(Answer { status, headers, body, is_complete })
}

/// Returns the data of a chunked body so far, and whether its last chunk has arrived.
fn unchunk(mut bytes: &[u8]) -> (Vec<u8>, bool) {
    let mut data = Vec::new();
    while let Some(end) = bytes.windows(2).position(|part| part == b"\r\n") {
        let text = String::from_utf8_lossy(&bytes[..end]).into_owned();
        let Ok(size) = usize::from_str_radix(text.trim(), 16) else { break };
        let rest = &bytes[end + 2..];
        if size == 0 {
            return (data, true);
        }
        if rest.len() < size + 2 {
            data.extend_from_slice(&rest[..rest.len().min(size)]);
            break;
        }
        data.extend_from_slice(&rest[..size]);
        bytes = &rest[size + 2..];
    }
    (data, false)
}

/// VM to start.
pub struct VmPlan {
    pub zone: char,
    /// Number within the zone.
    pub number: u8,
    /// Address of the store, or of a gate before it.
    pub store: SocketAddr,
}

/// Proxy before the store for one VM. While it is shut, the store turns the VM away: connections are
/// reset.
#[derive(Clone)]
pub struct Gate {
    pub address: SocketAddr,
    is_shut: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Gate {
    /// Starts an open gate.
    pub fn start(stage: &mut Stage) -> Gate {
        let store = stage.store_address;
        let address = stage.server_address();
        let listener = TcpListener::bind(address).expect("the address is free");
        let gate = Gate { address, is_shut: Arc::default(), open: Arc::default() };
        let accepting = gate.clone();
        std::thread::spawn(move || {
            for vm in listener.incoming().flatten() {
                if accepting.is_shut.load(Ordering::Relaxed) {
                    reset_on_close(&vm);
                    continue;
                }
                let Ok(store) = TcpStream::connect(store) else { continue };
                for stream in [&vm, &store] {
                    let _ = stream.set_nodelay(true);
                }
                let ends = (vm.try_clone(), store.try_clone());
                let (Ok(vm_end), Ok(store_end)) = ends else { continue };
                let mut open = accepting.open.lock().unwrap();
                open.extend([vm.try_clone(), store.try_clone()].into_iter().flatten());
                std::thread::spawn(move || copy(vm, store));
                std::thread::spawn(move || copy(store_end, vm_end));
            }
        });
        gate
    }

    /// Turns the VM away, or serves it again.
    pub fn set_shut(&self, is_shut: bool) {
        self.is_shut.store(is_shut, Ordering::Relaxed);
        for stream in self.open.lock().unwrap().drain(..).filter(|_| is_shut) {
            reset_on_close(&stream);
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

/// Copies bytes until a connection ends, and ends both.
fn copy(mut from: TcpStream, mut to: TcpStream) {
    let _ = std::io::copy(&mut from, &mut to);
    let _ = to.shutdown(std::net::Shutdown::Both);
    let _ = from.shutdown(std::net::Shutdown::Both);
}

/// Entry VM that runs as a process.
pub struct Vm {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub process: Child,
    pub log: PathBuf,
}

impl Vm {
    pub fn is_ready(&self) -> bool {
        let head = "GET /v1/readyz HTTP/1.1\r\nHost: x\r\n";
        ask(self.readiness, head, b"", Duration::from_secs(1)).is_some_and(|one| one.status == 200)
    }
}

/// Processes and files of one run. All are ended and removed when it is dropped.
pub struct Stage {
    pub record: Record,
    pub has_trouble: bool,
    net: [u8; 2],
    next_server: u8,
    folder: PathBuf,
    store: Option<Child>,
    pub store_address: SocketAddr,
    pub vms: Vec<Vm>,
}

impl Drop for Stage {
    fn drop(&mut self) {
        let processes = self.vms.iter_mut().map(|vm| &mut vm.process).chain(&mut self.store);
        for process in processes {
            signal(process, SIGCONT);
            let _ = process.kill();
            let _ = process.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Stage {
    /// Starts the store. `case` is the folder of the case, in which the record is written.
    pub fn start(case: &str) -> Result<Stage, String> {
        let file =
            File::create(PathBuf::from(case).join("record.txt")).map_err(|e| e.to_string())?;
        let record = Record { file: Arc::new(Mutex::new(file)), start: Instant::now() };
        let nanos = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_nanos());
        let seed = nanos as u64 ^ (u64::from(std::process::id()) << 20);
        let net = [(seed % 200) as u8 + 20, (seed / 200 % 250) as u8 + 1];
        let folder = std::env::temp_dir().join(format!("review-2-{}-{seed}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let store_address =
            SocketAddr::new(Ipv4Addr::new(127, net[0], net[1], 2).into(), STORE_PORT);
        let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let mut stage = Stage {
            record,
            has_trouble,
            net,
            next_server: 100,
            folder,
            store: None,
            store_address,
            vms: Vec::new(),
        };
        let log = File::create(stage.folder.join("store.log")).map_err(|e| e.to_string())?;
        let store = Command::new("target/release/kitepulley")
            .args(["standin", "platform", "--listen", &store_address.to_string()])
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        stage.store = Some(store.map_err(|e| e.to_string())?);
        let listens = || TcpStream::connect(store_address).is_ok();
        wait_until(READY_TIMEOUT, listens).then_some(()).ok_or("the store does not start")?;
        stage.record.line(format!("store started, disruption: {has_trouble}"));
        Ok(stage)
    }

    /// Returns an address of a backend server that is free.
    pub fn server_address(&mut self) -> SocketAddr {
        self.next_server += 1;
        let ip = Ipv4Addr::new(127, self.net[0], self.net[1], self.next_server);
        SocketAddr::new(ip.into(), SERVER_PORT)
    }

    pub fn store(&self) -> Store {
        Store { address: self.store_address, record: self.record.clone() }
    }

    /// Starts VMs of one zone with the command of the deploy file, and waits until they are ready.
    pub fn start_vms(&mut self, count: u8) -> Result<(), String> {
        let store = self.store_address;
        let plans: Vec<_> = (1..=count).map(|number| VmPlan { zone: 'a', number, store }).collect();
        self.start_planned(&plans)
    }

    /// Starts VMs with the command of the deploy file, and waits until they are ready.
    pub fn start_planned(&mut self, plans: &[VmPlan]) -> Result<(), String> {
        for plan in plans {
            self.start_vm(plan)?;
        }
        let vms = &self.vms;
        let all_ready = || vms.iter().all(Vm::is_ready);
        wait_until(READY_TIMEOUT, all_ready).then_some(()).ok_or("the VMs are not ready")?;
        // VMs discover each other.
        std::thread::sleep(Duration::from_millis(2500));
        Ok(())
    }

    fn start_vm(&mut self, plan: &VmPlan) -> Result<(), String> {
        let VmPlan { zone, number, store } = plan;
        let ip = Ipv4Addr::new(127, self.net[0], self.net[1], 10 + self.vms.len() as u8);
        let name = format!("edge-{zone}-{number}");
        let settings = SETTINGS
            .replace("@NAME@", &name)
            .replace("@IP@", &ip.to_string())
            .replace("@ZONE@", &zone.to_string())
            .replace("@STORE@", &store.to_string());
        let path = self.folder.join(format!("{name}.json"));
        std::fs::write(&path, settings).map_err(|e| e.to_string())?;
        let log = self.folder.join(format!("{name}.log"));
        let out = File::create(&log).map_err(|e| e.to_string())?;
        let deploy = std::fs::read_to_string("deploy/system.toml").map_err(|e| e.to_string())?;
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = "));
        let run = run.ok_or("the deploy file has no command")?.trim().trim_matches('"').to_owned();
        let mut words = run.split(' ');
        let process = Command::new(words.next().unwrap_or_default())
            .args(words)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("KITEPULLEY_CONFIG", &path)
            .stdout(out)
            .stderr(Stdio::null())
            .spawn()
            .map_err(|e| e.to_string())?;
        let address = |port| SocketAddr::new(ip.into(), port);
        self.record.line(format!("{name} started: {run}"));
        self.vms.push(Vm {
            name,
            callers: address(FRONTEND_PORT),
            readiness: address(READINESS_PORT),
            process,
            log,
        });
        Ok(())
    }

    /// Copies the log lines of the VMs that contain one of the texts to the record.
    pub fn record_log(&self, texts: &[&str], most: usize) {
        for vm in &self.vms {
            let log = std::fs::read_to_string(&vm.log).unwrap_or_default();
            let lines = log.lines().filter(|line| texts.iter().any(|text| line.contains(text)));
            lines.take(most).for_each(|line| self.record.line(format!("log {}: {line}", vm.name)));
        }
    }
}

/// Client of the store's stand-in, for what the operator and the servers write.
#[derive(Clone)]
pub struct Store {
    address: SocketAddr,
    record: Record,
}

impl Store {
    /// Creates an object or replaces its spec. Returns true once the store has acknowledged it.
    pub fn write(&self, kind: &str, name: &str, spec: &str) -> bool {
        let body = format!("{{\"metadata\":{{\"name\":\"{name}\"}},\"spec\":{spec}}}");
        let head = |line: String| {
            format!("{line} HTTP/1.1\r\nHost: store\r\nContent-Type: application/json\r\n")
        };
        let within = Duration::from_secs(2);
        let create = head(format!("POST /v1/objects/{kind}"));
        let replace = head(format!("PUT /v1/objects/{kind}/{name}"));
        let is_ok = |answer: Option<Answer>| answer.is_some_and(|one| one.status < 300);
        let written = is_ok(ask(self.address, &replace, body.as_bytes(), within))
            || is_ok(ask(self.address, &create, body.as_bytes(), within));
        self.record.line(format!("store: {kind}/{name} written, acknowledged: {written}"));
        written
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        let head = format!("DELETE /v1/objects/{kind}/{name} HTTP/1.1\r\nHost: store\r\n");
        ask(self.address, &head, b"", Duration::from_secs(2));
        self.record.line(format!("store: {kind}/{name} removed"));
    }

    /// Returns an object as text.
    pub fn read(&self, kind: &str, name: &str) -> String {
        let head = format!("GET /v1/objects/{kind}/{name} HTTP/1.1\r\nHost: store\r\n");
        let answer = ask(self.address, &head, b"", Duration::from_secs(2)).unwrap_or_default();
        String::from_utf8_lossy(&answer.body).into_owned()
    }

    /// Writes the entry of a backend server.
    pub fn write_server(&self, server: &Server, state: &str) -> bool {
        let Server { id, service, address, version, .. } = server;
        let sequence = server.writes.fetch_add(1, Ordering::Relaxed) + 1;
        let spec = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"a\",\
             \"version\":\"{version}\",\"capacity\":64,\"state\":\"{state}\",\
             \"cold_remaining_ms\":0,\"sequence\":{sequence}}}"
        );
        self.write("servers", id, &spec)
    }
}

/// Stand-in of a backend server.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub service: String,
    pub version: String,
    pub address: SocketAddr,
    pub record: Record,
    writes: Arc<AtomicU64>,
}

impl Server {
    /// Starts to listen. `handle` serves one request on a connection and returns true if the
    /// connection stays open.
    pub fn start<F>(stage: &mut Stage, id: &str, service: &str, version: &str, handle: F) -> Server
    where
        F: Fn(&Server, &Request, &mut TcpStream) -> bool + Send + Sync + 'static,
    {
        let address = stage.server_address();
        let listener = TcpListener::bind(address).expect("the address is free");
        let server = Server {
            id: id.to_owned(),
            service: service.to_owned(),
            version: version.to_owned(),
            address,
            record: stage.record.clone(),
            writes: Arc::default(),
        };
        let (serving, handle) = (server.clone(), Arc::new(handle));
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (server, handle) = (serving.clone(), handle.clone());
                std::thread::spawn(move || server.serve(stream, &*handle));
            }
        });
        server
    }

    fn serve(
        &self,
        mut stream: TcpStream,
        handle: &dyn Fn(&Server, &Request, &mut TcpStream) -> bool,
    ) {
        let _ = stream.set_nodelay(true);
        while let Some((line, headers, begun)) = read_head(&mut stream) {
            let mut words = line.split(' ').map(str::to_owned);
            let method = words.next().unwrap_or_default();
            let path = words.next().unwrap_or_default();
            let request = Request { method, path, headers, begun };
            let is_open = match request.path.as_str() {
                "/healthz" => self.send(&mut stream, &request, "200 OK", "", b"").is_ok(),
                _ if ![&self.id, ""].contains(&request.header("x-expect-instance")) => {
                    self.read_rest(&request, &mut stream);
                    self.send(&mut stream, &request, "421 Misdirected Request", "", b"").is_ok()
                }
                _ => handle(self, &request, &mut stream),
            };
            if !is_open {
                return;
            }
        }
    }

    /// Reads the rest of a request's body. Returns false if the connection ends before.
    pub fn read_rest(&self, request: &Request, stream: &mut TcpStream) -> bool {
        let mut left = request.content_length().saturating_sub(request.begun.len());
        let mut buffer = [0; 64 * 1024];
        while left > 0 {
            let most = left.min(buffer.len());
            match stream.read(&mut buffer[..most]) {
                Ok(count) if count > 0 => left -= count,
                _ => return false,
            }
        }
        true
    }

    /// Returns the head of a signed answer, without the line that ends it.
    pub fn head(&self, request: &Request, status: &str) -> String {
        format!(
            "HTTP/1.1 {status}\r\nX-Attempt-Id: {}\r\nX-Response-Signature: {}.1\r\n\
             X-Instance-Id: {}\r\n",
            request.header("x-attempt-id"),
            self.id,
            self.id
        )
    }

    /// Sends a whole answer with a length.
    pub fn send(
        &self,
        stream: &mut TcpStream,
        request: &Request,
        status: &str,
        headers: &str,
        body: &[u8],
    ) -> std::io::Result<()> {
        let head = self.head(request, status);
        let head = format!("{head}{headers}Content-Length: {}\r\n\r\n", body.len());
        stream.write_all(&[head.as_bytes(), body].concat())
    }
}

/// Waits until a condition holds. Returns false if it does not within the time.
pub fn wait_until(within: Duration, holds: impl Fn() -> bool) -> bool {
    let until = Instant::now() + within;
    while Instant::now() < until {
        if holds() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    holds()
}

/// Runs a case and ends the process with its exit code.
pub fn main(run: impl FnOnce(&mut Stage) -> Result<bool, String>) {
    let case = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let code = match Stage::start(&case) {
        Err(why) => {
            eprintln!("not run: {why}");
            NOT_RUN
        }
        Ok(mut stage) => {
            let outcome = run(&mut stage);
            let record = stage.record.clone();
            drop(stage);
            match outcome {
                Ok(true) => {
                    record.line("the rule was broken");
                    println!("the rule was broken");
                    BROKEN
                }
                Ok(false) => {
                    record.line("the rule held");
                    println!("the rule held");
                    HELD
                }
                Err(why) => {
                    record.line(format!("not run: {why}"));
                    eprintln!("not run: {why}");
                    NOT_RUN
                }
            }
        }
    };
    std::process::exit(code);
}

/// Settings file of a VM, with the bounds and limits of `rkt-tellimus`.
const SETTINGS: &str = r#"{
  "node_name": "@NAME@", "role": "entry", "machine_class": "edge", "serves": ["edge"],
  "ip": "@IP@", "zone": "@ZONE@", "region": "r",
  "zones": {"a": "r", "b": "r"},
  "listen": {"frontend": "@IP@:8227", "readiness": "@IP@:8220"},
  "port_range": [7340, 7355], "seeds": [], "bootstrap": true, "in_tolerance": false,
  "limits": {"cpu_quota": 0.25, "cores": 1, "memory_mb": 110, "max_fds": 4100,
             "link_mbps": 1000.0, "disk_mb": 0},
  "data_dir": null, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
  "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream",
                "tenants", "platform", "rollout"],
  "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
  "bounds": {"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000,
             "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
             "config_apply_ms": 2000, "rollback_slack_ms": 250, "outer_ms": 5000,
             "strict_revocation": true, "revoke_ms": 5000, "retry_budget_ratio": 0.9,
             "budget_window_s": 10, "retry_budget_extra": 58, "exposure_share": 0.15,
             "exposure_tolerance": 30, "rollback_ms": 5000, "recover_s": 12, "pass_ms": 120,
             "retry_after_s": 8.9, "session_s": 5},
  "platform": {"address": "@STORE@", "form": "objects", "writes_per_s": 400,
               "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000}
}
"#;
