//! Clients that send too much, stop short of an end, don't read, or stay: the VM stays within its
//! memory and descriptors, and answers an ordinary request.

mod site;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::process::CommandExt;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use kitepulley::standin::replica::{Action, Replica};
use serde_json::json;
use site::{Site, Vm, ask, head, try_ask};

/// Memory of the VM.
const MEMORY_MB: u64 = 64;

/// Number of clients in a crowd. Their bodies are twice the memory.
const CROWD: usize = 60;

/// Largest body that the configuration allows.
const MAX_BODY: usize = 2_000_000;

/// Descriptors that the VM may have.
const MAX_FDS: u64 = 300;

/// Time for which a client waits until the VM reads more.
const WRITE_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for which a client reads an answer that may not come.
const READ_TIMEOUT: Duration = Duration::from_millis(400);

/// Most bytes that a client without end sends.
const ENDLESS: usize = 16_000_000;

/// Held by the test that runs.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

fn alone() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// A process that a crowd presses on.
struct Door {
    callers: SocketAddr,
    pid: u32,
    /// Head of an ordinary request, without its end, and the status of its answer.
    ordinary: (String, u16),
    /// Head of a request with a body, without its end.
    with_body: String,
    process: Option<Child>,
    _vm: Option<Vm>,
    _site: Site,
    _servers: Vec<Replica>,
}

impl Drop for Door {
    fn drop(&mut self) {
        if let Some(process) = &mut self.process {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

/// Starts `entry` with this memory, in megabytes, and this limit of bodies.
fn entry(memory_mb: u64, max_body: usize) -> Door {
    let mut site = Site::new()
        .route("safe", "idempotent", json!({"timeout_ms": 20000}))
        .route("stream", "streaming", json!({"timeout_ms": 20000}))
        .change(|config| config["limits"]["max_body_bytes"] = json!(max_body));
    site.settings =
        json!({"limits": {"cpu_quota": 1.0, "memory_mb": memory_mb, "max_fds": MAX_FDS}});
    let servers: Vec<Replica> = (0..2).map(|n| site.replica(&format!("r{n}"), "v1")).collect();
    let vm = site.start_ready();
    let head =
        |line: &str| head(line, "a1", "").replace("X-Deadline-Ms: 2500", "X-Deadline-Ms: 20000");
    Door {
        callers: vm.callers,
        pid: vm.process.id(),
        ordinary: (head("POST /safe/x"), 200),
        with_body: head("POST /safe/x"),
        process: None,
        _vm: Some(vm),
        _site: site,
        _servers: servers,
    }
}

/// Runs a command of the program, which must succeed.
fn run(arguments: &[&str]) {
    let output = Command::new(env!("CARGO_BIN_EXE_kitepulley")).args(arguments).output();
    let output = output.expect("the program starts");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
}

/// Writes a configuration with one workspace into the store.
fn configure(store: SocketAddr) {
    let store = store.to_string();
    let plan = std::env::temp_dir().join(format!("kitepulley-plan-{}.json", std::process::id()));
    let plan = plan.to_str().expect("a path in UTF-8");
    run(&["plan", "examples/tiny.toml", "--platform", &store, "--out", plan]);
    run(&["confirm", plan, "--who", "test", "--platform", &store]);
    let _ = std::fs::remove_file(plan);
}

/// Starts `serve` with this memory and this limit of bodies. Requests have no key, so an ordinary
/// one is answered 401.
fn serve() -> Door {
    let site = Site::new();
    configure(site.store_server.address);
    let callers = site::free_address();
    let process = Command::new(env!("CARGO_BIN_EXE_kitepulley"))
        .args(["serve", "--vm", "vm1", "--data-centre", "here"])
        .args(["--listen", &callers.to_string(), "--peer", &site::free_address().to_string()])
        .args(["--platform", &site.store_server.address.to_string()])
        .args(["--body-limit", "2MB"])
        .env("KITEPULLEY_FLEET_KEY", "a-fleet-key-of-tests")
        .env("KITEPULLEY_SESSION_KEYS", "k1:a-session-key-of-tests")
        .env("KITEPULLEY_MEMORY", format!("{MEMORY_MB}MB"))
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .limit_descriptors()
        .spawn()
        .expect("the program starts");
    let head = "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n".to_owned();
    let is_ready = || try_ask(callers, &head, b"{}").is_some_and(|answer| answer.status == 401);
    site::eventually("it answers", is_ready);
    Door {
        callers,
        pid: process.id(),
        ordinary: (head.clone(), 401),
        with_body: head,
        process: Some(process),
        _vm: None,
        _site: site,
        _servers: Vec::new(),
    }
}

impl Door {
    fn is_alive(&self) -> bool {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid));
        status.is_ok_and(|status| !status.contains("State:\tZ"))
    }

    /// Returns the bytes that wait in the buffers of the sockets of clients.
    fn socket_bytes(&self) -> u64 {
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
        let port = format!(":{:04X}", self.callers.port());
        let bytes = |line: &str| {
            let mut fields = line.split_whitespace().skip(1);
            let local = fields.next()?;
            let (sent, received) = fields.nth(2)?.split_once(':')?;
            let hex = |text| u64::from_str_radix(text, 16).ok();
            local.ends_with(&port).then_some(hex(sent)? + hex(received)?)
        };
        // A listener's queue counts connections.
        let connections = table.lines().filter(|line| line.split_whitespace().nth(3) != Some("0A"));
        connections.filter_map(bytes).sum()
    }

    /// Returns the largest memory that the process has taken, in bytes.
    fn peak(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmHWM:"));
        let kb = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        kb.unwrap_or(0) * 1024
    }

    fn descriptors(&self) -> u64 {
        std::fs::read_dir(format!("/proc/{}/fd", self.pid)).map_or(0, |fds| fds.count() as u64)
    }

    /// Lets a crowd of clients act, which stay connected, and checks that the VM lives, stays within
    /// its memory and answers an ordinary request while they stay, and after they have gone.
    fn withstands(&self, size: usize, act: impl Fn(usize, &mut TcpStream) + Send + Sync + 'static) {
        println!("{} MB before", self.peak() / 1_000_000);
        let crowd = Crowd::start(self.callers, size, act);
        let mut in_sockets = 0;
        while !crowd.is_settled() {
            in_sockets = in_sockets.max(self.socket_bytes());
            std::thread::sleep(Duration::from_millis(10));
        }
        in_sockets = in_sockets.max(self.socket_bytes());
        let (peak, limit) = (self.peak(), MEMORY_MB * 1_000_000);
        let shown = format!("{} MB and {} MB in sockets", peak / 1_000_000, in_sockets / 1_000_000);
        println!("{shown}, {} descriptors", self.descriptors());
        assert!(self.is_alive(), "the process has ended");
        assert!(peak + in_sockets <= limit, "{shown}");
        self.answers("beside the crowd");
        drop(crowd);
        self.answers("after the crowd");
        assert!(self.peak() + in_sockets <= limit, "{shown}");
    }

    /// Checks that an ordinary request is answered.
    fn answers(&self, when: &str) {
        let (head, status) = &self.ordinary;
        let answer = try_ask(self.callers, head, b"{\"n\":1}");
        let answer = answer.unwrap_or_else(|| panic!("no answer {when}"));
        assert_eq!(answer.status, *status, "{when}: {}", answer.text());
    }
}

/// Clients that have done what they do, and stay connected until it is dropped.
struct Crowd {
    go: Arc<AtomicBool>,
    settled: Arc<Mutex<usize>>,
    clients: Vec<JoinHandle<()>>,
}

impl Crowd {
    fn start(
        to: SocketAddr,
        size: usize,
        act: impl Fn(usize, &mut TcpStream) + Send + Sync + 'static,
    ) -> Crowd {
        let (go, settled) = (Arc::new(AtomicBool::new(true)), Arc::<Mutex<usize>>::default());
        let act = Arc::new(act);
        let client = |number| {
            let (go, settled, act) = (go.clone(), settled.clone(), act.clone());
            std::thread::spawn(move || {
                let stream = TcpStream::connect_timeout(&to, Duration::from_secs(2));
                if let Ok(stream) = &stream {
                    let mut stream = stream;
                    stream.set_write_timeout(Some(WRITE_TIMEOUT)).expect("a timeout");
                    stream.set_read_timeout(Some(READ_TIMEOUT)).expect("a timeout");
                    let mut own = stream.try_clone().expect("a clone");
                    act(number, &mut own);
                    let _ = stream.flush();
                }
                *settled.lock().unwrap() += 1;
                while go.load(Ordering::SeqCst) {
                    std::thread::sleep(Duration::from_millis(20));
                }
            })
        };
        let clients = (0..size).map(client).collect();
        Crowd { go, settled, clients }
    }

    fn is_settled(&self) -> bool {
        *self.settled.lock().unwrap() == self.clients.len()
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.go.store(false, Ordering::SeqCst);
        self.clients.drain(..).for_each(|client| client.join().expect("it ends"));
    }
}

/// Writes all bytes, or as many as the VM takes.
fn write(stream: &mut TcpStream, bytes: &[u8]) -> bool {
    stream.write_all(bytes).is_ok()
}

/// Writes a piece again and again, up to this many bytes.
fn repeat(stream: &mut TcpStream, piece: &[u8], bytes: usize) {
    let mut left = bytes;
    while left >= piece.len() && write(stream, piece) {
        left -= piece.len();
    }
}

fn by_length(head: &str, length: usize) -> Vec<u8> {
    format!("{head}Content-Length: {length}\r\n\r\n").into_bytes()
}

fn in_chunks(head: &str) -> Vec<u8> {
    format!("{head}Transfer-Encoding: chunked\r\n\r\n").into_bytes()
}

/// Each way of sending too much at a door.
fn bodies_short_of_their_end(door: &Door) {
    let start = by_length(&door.with_body, MAX_BODY);
    door.withstands(CROWD, move |_, stream| {
        write(stream, &start);
        repeat(stream, &[b'x'; 19_999], MAX_BODY - 100);
    });
}

fn bodies_in_pieces_short_of_their_end(door: &Door) {
    let start = by_length(&door.with_body, MAX_BODY);
    door.withstands(CROWD, move |_, stream| {
        write(stream, &start);
        for _ in 0..19 {
            write(stream, &[b'x'; 100_000]);
            std::thread::sleep(Duration::from_millis(20));
        }
    });
}

fn large_chunks_short_of_their_end(door: &Door) {
    let start = in_chunks(&door.with_body);
    let chunk = [b"10000\r\n".as_slice(), &[b'x'; 0x10000], b"\r\n"].concat();
    door.withstands(CROWD, move |_, stream| {
        write(stream, &start);
        repeat(stream, &chunk, MAX_BODY - 100_000);
    });
}

fn chunks_of_one_byte_short_of_their_end(door: &Door) {
    let start = in_chunks(&door.with_body);
    let chunks = b"1\r\nx\r\n".repeat(1000);
    door.withstands(CROWD, move |_, stream| {
        write(stream, &start);
        repeat(stream, &chunks, 1_800_000);
    });
}

fn whole_bodies_at_once(door: &Door) {
    let start = by_length(&door.with_body, MAX_BODY);
    door.withstands(CROWD, move |_, stream| {
        write(stream, &start);
        write(stream, &[b'x'; MAX_BODY]);
    });
}

fn bodies_far_over_the_limit(door: &Door) {
    let starts = [
        by_length(&door.with_body, 50_000_000),
        by_length(&door.with_body, 100_000_000_000),
        in_chunks(&door.with_body),
    ];
    let chunk = [b"10000\r\n".as_slice(), &[b'x'; 0x10000], b"\r\n"].concat();
    door.withstands(CROWD, move |number, stream| {
        let start = &starts[number % starts.len()];
        write(stream, start);
        let piece = if number % starts.len() == 2 { &chunk } else { &chunk[7..0x10000] };
        repeat(stream, piece, ENDLESS);
    });
}

fn heads_and_framing_without_end(door: &Door) {
    let with_body = door.with_body.clone();
    door.withstands(CROWD, move |number, stream| match number % 5 {
        0 => {
            write(stream, b"GET /");
            repeat(stream, &[b'x'; 1000], ENDLESS);
        }
        1 => {
            write(stream, with_body.as_bytes());
            repeat(
                stream,
                b"X-More: yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\n",
                ENDLESS,
            );
        }
        2 => {
            write(stream, &in_chunks(&with_body));
            write(stream, b"0\r\n");
            repeat(
                stream,
                b"X-Trailer: yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\n",
                ENDLESS,
            );
        }
        3 => {
            write(stream, &in_chunks(&with_body));
            write(stream, b"5;");
            repeat(stream, &[b'e'; 1000], ENDLESS);
        }
        _ => {
            write(stream, with_body.as_bytes());
            write(stream, b"X-Long: ");
            repeat(stream, &[b'l'; 1000], ENDLESS);
        }
    });
}

fn requests_without_reading_an_answer(door: &Door) {
    let request = [by_length(&door.with_body, 7), b"{\"n\":1}".to_vec()].concat();
    let requests = request.repeat(10);
    door.withstands(CROWD, move |_, stream| repeat(stream, &requests, 4_000_000));
}

fn all_at_once(door: &Door) {
    let (head, chunked) = (door.with_body.clone(), in_chunks(&door.with_body));
    let start = by_length(&head, MAX_BODY);
    let request = [by_length(&head, 7), b"{\"n\":1}".to_vec()].concat().repeat(10);
    let chunk = [b"10000\r\n".as_slice(), &[b'x'; 0x10000], b"\r\n"].concat();
    let small = b"1\r\nx\r\n".repeat(1000);
    door.withstands(CROWD * 2, move |number, stream| match number % 6 {
        0 => {
            write(stream, &start);
            repeat(stream, &[b'x'; 19_999], MAX_BODY - 100);
        }
        1 => {
            write(stream, &chunked);
            repeat(stream, &chunk, ENDLESS);
        }
        2 => {
            write(stream, &chunked);
            repeat(stream, &small, 1_800_000);
        }
        3 => repeat(stream, &request, 4_000_000),
        4 => {
            write(stream, head.as_bytes());
            repeat(stream, b"X-More: yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\n", ENDLESS);
        }
        _ => {}
    });
}

macro_rules! at_both_doors {
    ($($name:ident $of_entry:ident $of_serve:ident;)*) => {
        $(
            #[test]
            fn $of_entry() {
                let _alone = alone();
                $name(&entry(MEMORY_MB, MAX_BODY));
            }

            #[test]
            fn $of_serve() {
                let _alone = alone();
                $name(&serve());
            }
        )*
    };
}

at_both_doors! {
    bodies_short_of_their_end
        entry_withstands_bodies_short_of_their_end serve_withstands_bodies_short_of_their_end;
    bodies_in_pieces_short_of_their_end
        entry_withstands_bodies_in_pieces serve_withstands_bodies_in_pieces;
    large_chunks_short_of_their_end
        entry_withstands_large_chunks serve_withstands_large_chunks;
    chunks_of_one_byte_short_of_their_end
        entry_withstands_chunks_of_one_byte serve_withstands_chunks_of_one_byte;
    whole_bodies_at_once
        entry_withstands_whole_bodies_at_once serve_withstands_whole_bodies_at_once;
    bodies_far_over_the_limit
        entry_withstands_bodies_far_over_the_limit serve_withstands_bodies_far_over_the_limit;
    heads_and_framing_without_end
        entry_withstands_heads_without_end serve_withstands_heads_without_end;
    requests_without_reading_an_answer
        entry_withstands_clients_that_do_not_read serve_withstands_clients_that_do_not_read;
    all_at_once entry_withstands_all_at_once serve_withstands_all_at_once;
}

#[test]
fn entry_withstands_clients_that_do_not_read_large_answers() {
    let _alone = alone();
    let door = entry(MEMORY_MB, MAX_BODY);
    for server in &door._servers {
        server.set_default_action(Action::Whole(200, "y".repeat(1_000_000)));
    }
    requests_without_reading_an_answer(&door);
}

#[test]
fn entry_withstands_clients_that_do_not_read_streams() {
    let _alone = alone();
    let mut door = entry(MEMORY_MB, MAX_BODY);
    for server in &door._servers {
        server.set_default_action(Action::Events {
            last: 200_000,
            cut_after: None,
            confidence: None,
            pause: Duration::ZERO,
        });
    }
    let ordinary = door.ordinary.0.clone();
    door.with_body = ordinary.replace("POST /safe/x", "POST /stream/x");
    let request = [by_length(&door.with_body, 7), b"{\"n\":1}".to_vec()].concat();
    let crowd = Crowd::start(door.callers, CROWD, move |_, stream| {
        write(stream, &request);
        std::thread::sleep(Duration::from_secs(3));
    });
    while !crowd.is_settled() {
        std::thread::sleep(Duration::from_millis(10));
    }
    let (peak, in_sockets) = (door.peak(), door.socket_bytes());
    let shown = format!("{} MB and {} MB in sockets", peak / 1_000_000, in_sockets / 1_000_000);
    println!("{shown}");
    assert!(door.is_alive() && peak + in_sockets <= MEMORY_MB * 1_000_000, "{shown}");
    for server in &door._servers {
        server.set_default_action(Action::Whole(200, "whole".to_owned()));
    }
    door.answers("beside streams that nobody reads");
}

static DESCRIPTORS: libc::rlimit = libc::rlimit { rlim_cur: MAX_FDS, rlim_max: MAX_FDS };

/// Limits the descriptors of a process, as the platform does.
fn limit_descriptors(pid: u32) {
    // SAFETY: the limit is a valid struct, and no old one is asked for.
    let set = unsafe {
        libc::prlimit(pid as i32, libc::RLIMIT_NOFILE, &raw const DESCRIPTORS, std::ptr::null_mut())
    };
    assert_eq!(set, 0, "the limit is set");
}

trait LimitDescriptors {
    /// Limits the descriptors of the process from its start: `serve` reads no other limit.
    fn limit_descriptors(&mut self) -> &mut Self;
}

impl LimitDescriptors for Command {
    fn limit_descriptors(&mut self) -> &mut Command {
        let limit = || {
            // SAFETY: the limit is a valid struct.
            match unsafe { libc::setrlimit(libc::RLIMIT_NOFILE, &raw const DESCRIPTORS) } {
                0 => Ok(()),
                _ => Err(std::io::Error::last_os_error()),
            }
        };
        // SAFETY: the closure makes one system call and allocates nothing.
        unsafe { self.pre_exec(limit) }
    }
}

fn idle_connections(door: &Door) {
    limit_descriptors(door.pid);
    let request = [by_length(&door.with_body, 7), b"{\"n\":1}".to_vec()].concat();
    door.withstands(MAX_FDS as usize + 100, move |number, stream| {
        if number % 3 == 0 {
            write(stream, &request);
            let _ = stream.read(&mut [0; 1000]);
        } else if number % 3 == 1 {
            write(stream, b"GET /");
        }
    });
    assert!(door.descriptors() < MAX_FDS, "{} descriptors", door.descriptors());
}

#[test]
fn entry_withstands_idle_connections() {
    let _alone = alone();
    idle_connections(&entry(MEMORY_MB, MAX_BODY));
}

#[test]
fn serve_withstands_idle_connections() {
    let _alone = alone();
    idle_connections(&serve());
}

#[test]
fn a_request_of_the_full_size_is_served_in_calm() {
    let _alone = alone();
    const FULL: usize = 4_194_304;
    let door = entry(110, FULL);
    let body = vec![b'x'; FULL];
    let answer = ask(door.callers, &door.with_body, &body);
    assert_eq!(answer.status, 200, "{}", answer.text());
    // In chunks, and slowly.
    let mut stream = TcpStream::connect(door.callers).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    stream.write_all(&in_chunks(&door.with_body)).unwrap();
    for _ in 0..64 {
        stream.write_all(b"10000\r\n").unwrap();
        stream.write_all(&body[..0x10000]).unwrap();
        stream.write_all(b"\r\n").unwrap();
        std::thread::sleep(Duration::from_millis(10));
    }
    stream.write_all(b"0\r\n\r\n").unwrap();
    let mut answer = [0; 15];
    stream.read_exact(&mut answer).unwrap();
    assert_eq!(&answer, b"HTTP/1.1 200 OK");
    let requests: Vec<usize> = door
        ._servers
        .iter()
        .flat_map(|server| server.requests())
        .map(|one| one.body.len())
        .collect();
    assert_eq!(requests, [FULL, FULL]);
}

/// Reads what the VM answers to bytes, until it closes or says nothing more.
fn reply(door: &Door, parts: &[&[u8]]) -> Option<site::Answer> {
    let mut stream = TcpStream::connect(door.callers).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
    stream.set_write_timeout(Some(Duration::from_secs(3))).ok()?;
    for part in parts {
        if stream.write_all(part).is_err() {
            break;
        }
    }
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    site::read(&bytes)
}

#[test]
fn a_body_over_the_limit_is_refused_when_it_is_announced() {
    let _alone = alone();
    for door in [entry(MEMORY_MB, MAX_BODY), serve()] {
        let started = Instant::now();
        let answer = reply(&door, &[&by_length(&door.with_body, 50_000_000)]).expect("an answer");
        assert_eq!(answer.status, 413, "{}", answer.text());
        assert_eq!(answer.header("connection").as_deref(), Some("close"));
        assert_eq!(answer.header("retry-after"), None);
        assert!(started.elapsed() < Duration::from_secs(10));
        // One that is found too large on its way.
        let chunk = [b"10000\r\n".as_slice(), &[b'x'; 0x10000], b"\r\n"].concat();
        let answer = reply(&door, &[&in_chunks(&door.with_body), &chunk.repeat(40)]);
        let answer = answer.expect("an answer");
        assert_eq!(answer.status, 413, "{}", answer.text());
        assert_eq!(answer.header("connection").as_deref(), Some("close"));
    }
}

#[test]
fn a_refusal_for_lack_of_memory_says_so() {
    let _alone = alone();
    for door in [entry(MEMORY_MB, MAX_BODY), serve()] {
        let start = by_length(&door.with_body, MAX_BODY);
        let refusals = Arc::<Mutex<Vec<site::Answer>>>::default();
        let seen = refusals.clone();
        door.withstands(CROWD, move |_, stream| {
            write(stream, &start);
            repeat(stream, &[b'x'; 19_999], MAX_BODY - 100);
            let mut bytes = Vec::new();
            let _ = stream.read_to_end(&mut bytes);
            seen.lock().unwrap().extend(site::read(&bytes));
        });
        let refusals = refusals.lock().unwrap();
        assert!(!refusals.is_empty(), "clients read why they were refused");
        for answer in refusals.iter() {
            assert_eq!(answer.status, 503, "{}", answer.text());
            assert_eq!(answer.header("connection").as_deref(), Some("close"));
            let retry: f64 = answer.header("retry-after").unwrap_or_default().parse().unwrap();
            assert!(retry > 0.0, "{retry}");
        }
    }
}
