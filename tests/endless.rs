//! Responses without end: what they cost a VM in bytes, time and memory.

mod site;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use actix_http::{Method, RequestHead};
use bytes::Bytes;
use kitepulley::decide::reading::{Memory, Rate};
use kitepulley::engine::client::EngineClient;
use kitepulley::engine::wire::Generate;
use kitepulley::forward::connection::{Connection, Fault};
use kitepulley::forward::read_budget::Budget;
use kitepulley::forward::sse::EventBuffer;
use kitepulley::unit::{Millicores, Moment, Size, Span};
use kitepulley::vm::Clock;
use serde_json::json;
use site::{Site, Vm, head, try_ask};

/// Size of the largest body that is read.
const MAX_BODY: usize = 100_000;

/// Bytes that a server may send until its response is given up, with those in the kernel's buffers.
const MAX_SENT: usize = 8_000_000;

/// Time until a response without end is given up, on a busy machine.
const MAX_TIME: Duration = Duration::from_secs(3);

const OK: &str = "HTTP/1.1 200 OK\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Starts a server that answers each request with `start` and then `rest` again and again until the
/// caller closes. Returns its address and the number of bytes that it sent.
fn endless_server(start: String, rest: String) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let sent = Arc::new(AtomicUsize::new(0));
    let counter = sent.clone();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, start, rest) = (stream.unwrap(), start.clone(), rest.clone());
            let counter = counter.clone();
            thread::spawn(move || {
                let _ = stream.read(&mut [0; 4096]);
                let _ = stream.write_all(start.as_bytes());
                while stream.write_all(rest.as_bytes()).is_ok() {
                    counter.fetch_add(rest.len(), Ordering::Relaxed);
                }
            });
        }
    });
    (address, sent)
}

fn request(method: Method) -> RequestHead {
    let mut head = RequestHead::default();
    head.method = method;
    head.uri = "/status/x".parse().unwrap();
    head
}

async fn exchange(to: SocketAddr) -> Result<Bytes, Fault> {
    let mut connection = Connection::open(to, Span::secs(2)).await?;
    connection.send(request(Method::GET), &Bytes::new()).await?;
    connection.read_body(MAX_BODY).await
}

/// Guards against bytes without end that can't become a response and are read until the deadline.
#[test]
fn a_response_without_end_is_given_up_soon() {
    let cases = [
        ("informational heads", "", "HTTP/1.1 102 Processing\r\n\r\n".repeat(100)),
        ("lines of a head", OK, "X-More: 1\r\n".repeat(100)),
        ("bytes that are no head", "", "no head ".repeat(100)),
        ("digits of a chunk's size", CHUNKED, "0".repeat(1000)),
        ("an extension of a chunk", &format!("{CHUNKED}5;"), "x".repeat(1000)),
        ("trailers", &format!("{CHUNKED}0\r\n"), "X-More: 1\r\n".repeat(100)),
        ("chunks of one byte", CHUNKED, "1\r\nx\r\n".repeat(100)),
        ("a body without a length", &format!("{OK}\r\n"), "x".repeat(1000)),
        ("a long body", &format!("{OK}Content-Length: 99999999999\r\n\r\n"), "x".repeat(1000)),
    ];
    for (name, start, rest) in cases {
        let (address, sent) = endless_server(start.to_owned(), rest);
        let answer = actix_web::rt::System::new()
            .block_on(async { tokio::time::timeout(MAX_TIME, exchange(address)).await });
        assert!(matches!(answer, Ok(Err(Fault::Broken(_)))), "{name}: {answer:?}");
        let sent = sent.load(Ordering::Relaxed);
        assert!(sent < MAX_SENT, "{name}: {sent} bytes");
    }
}

/// Guards against few responses without end that take the memory of all others.
#[test]
fn large_responses_leave_memory_for_small_ones() {
    const LIMIT: u64 = 25_000_000;
    const PIECE: u64 = 10_000;
    for endless in [1, 3, 100] {
        let mut memory = Memory::new(Size(4 * LIMIT));
        let mut held = vec![Size(0); endless];
        loop {
            let mut has_grown = false;
            for size in &mut held {
                let wanted = Size(size.0 + PIECE);
                if memory.try_resize(*size, wanted) {
                    (*size, has_grown) = (wanted, true);
                }
            }
            if !has_grown {
                break;
            }
        }
        assert!(memory.used().0 <= LIMIT, "{endless}: {}", memory.used());
        let small = Size(LIMIT / (2 * endless as u64 + 2));
        assert!(memory.try_resize(Size(0), small), "{endless}: no {small} of {}", memory.used());
        held.iter().for_each(|size| assert!(memory.try_resize(*size, Size(0))));
        assert_eq!(memory.used(), small);
    }
}

/// Guards against large responses that take the processor time of all others.
#[test]
fn large_responses_share_a_rate_and_small_ones_are_not_delayed() {
    const STEP: Span = Span::millis(1);
    let mut now = Moment(0) + Span::secs(1);
    let mut rate = Rate::new(Millicores(250), now);
    let (large, read) = (Size(1_000_000), Size(16_000));
    let mut ready_at = vec![now; 40];
    let mut total = 0;
    for _ in 0..10_000 {
        for ready in ready_at.iter_mut().filter(|ready| **ready <= now) {
            *ready = now + rate.record(large, read, now);
            total += read.0;
        }
        assert_eq!(rate.record(Size(0), Size(800), now), Span(0), "a small response waits");
        now = now + STEP;
    }
    // 16 MB a second for 10 s, what may be read at once, and one read of each response.
    assert!(total <= 160_000_000 + 8_000_000 + 40 * read.0, "{total} bytes");
    assert!(total >= 150_000_000, "{total} bytes");
}

/// Guards against memory that grows with the number of servers that answer without end, and against
/// sound responses that are lost beside them.
#[test]
fn sound_responses_arrive_beside_many_without_end() {
    const ENDLESS: usize = 30;
    const LARGE_BODY: usize = 8 * 1024 * 1024;
    let (address, _) = endless_server(format!("{OK}\r\n"), "x".repeat(1000));
    let sound = TcpListener::bind("127.0.0.1:0").unwrap();
    let sound_address = sound.local_addr().unwrap();
    thread::spawn(move || {
        for stream in sound.incoming() {
            let mut stream = stream.unwrap();
            let _ = stream.read(&mut [0; 4096]);
            let body = "y".repeat(20_000);
            let head = format!("{OK}Content-Length: {}\r\n\r\n", body.len());
            let _ = stream.write_all(format!("{head}{body}").as_bytes());
        }
    });
    let of_vm = Size(40_000_000);
    let budget = Budget::new(Some(of_vm), Millicores(1000), Clock::default());
    let read = async |to: SocketAddr, max: usize| {
        let connection = Connection::open(to, Span::secs(2)).await?;
        let mut connection = connection.with_budget(&budget);
        connection.send(request(Method::GET), &Bytes::new()).await?;
        connection.read_body(max).await
    };
    let endless = async {
        loop {
            let answers = (0..ENDLESS).map(|_| read(address, LARGE_BODY));
            for answer in futures_util::future::join_all(answers).await {
                assert!(matches!(answer, Err(Fault::Broken(_))), "{answer:?}");
            }
        }
    };
    let sound = async {
        for _ in 0..40 {
            let answer =
                tokio::time::timeout(Duration::from_secs(2), read(sound_address, MAX_BODY));
            let answer = answer.await.expect("a sound response arrives in time");
            assert!(answer.as_ref().is_ok_and(|body| body.len() == 20_000), "{answer:?}");
            let used = budget.memory_used();
            assert!(used.0 <= of_vm.0 / 4, "{used} of {of_vm}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    actix_web::rt::System::new().block_on(async {
        tokio::select! {
            () = sound => {}
            () = endless => {}
        }
    });
    assert_eq!(budget.memory_used(), Size(0), "memory that is not released");
}

/// Guards against memory that grows with the number of streams whose event has no end.
#[test]
fn an_event_without_end_is_given_up_at_the_limit_of_memory() {
    let budget = Budget::new(Some(Size(4_000_000)), Millicores(1000), Clock::default());
    let mut buffers: Vec<EventBuffer> = (0..20).map(|_| EventBuffer::new(&budget)).collect();
    for _ in 0..1000 {
        for buffer in &mut buffers {
            buffer.push(&[b'x'; 1000]);
            assert_eq!(buffer.take_complete(), None);
        }
    }
    assert!(budget.memory_used().0 <= 1_000_000, "{}", budget.memory_used());
    buffers.clear();
    assert_eq!(budget.memory_used(), Size(0));
}

/// Starts a server of the service that answers one request in `endless_every` without a length and
/// without end, until the caller closes.
fn server_of_service(endless_every: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for (number, stream) in listener.incoming().enumerate() {
            let mut stream = stream.unwrap();
            thread::spawn(move || {
                let mut bytes = [0; 4096];
                let got = stream.read(&mut bytes).unwrap_or(0);
                let text = String::from_utf8_lossy(&bytes[..got]).to_lowercase();
                let id = text.split("x-attempt-id: ").nth(1).and_then(|rest| rest.lines().next());
                let id = id.unwrap_or_default();
                let signed = format!("{OK}X-Attempt-Id: {id}\r\nX-Response-Signature: sig\r\n");
                if number % endless_every == endless_every - 1 {
                    let _ = stream.write_all(format!("{signed}\r\n").as_bytes());
                    while stream.write_all(&[b'x'; 16_000]).is_ok() {}
                } else {
                    let rest = "Connection: close\r\nContent-Length: 5\r\n\r\nwhole";
                    let _ = stream.write_all(format!("{signed}{rest}").as_bytes());
                }
            });
        }
    });
    address
}

/// Returns the largest memory in kilobytes that a process has taken so far.
fn peak_memory_kb(vm: &Vm) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", vm.process.id())).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// Guards against a VM that takes more memory than its settings allow, since several servers answer
/// without end at the same time.
#[test]
fn a_vm_keeps_to_its_memory_beside_servers_that_answer_without_end() {
    const CALLERS: usize = 100;
    const MEMORY_KB: u64 = 110_000;
    let mut site = Site::new().route("once", "non_idempotent", json!({}));
    site.settings = json!({"limits": {"cpu_quota": 0.25, "memory_mb": MEMORY_KB / 1000}});
    site.publish();
    for (id, every) in [("r1", 20), ("r2", 20), ("r3", usize::MAX), ("r4", usize::MAX)] {
        site.list(id, "v1", "ready", server_of_service(every));
    }
    let vm = site.start_ready();
    let until = Instant::now() + Duration::from_secs(5);
    let statuses: Vec<u16> = thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| {
                let to = vm.callers;
                scope.spawn(move || {
                    let mut statuses = Vec::new();
                    while Instant::now() < until {
                        let id = format!("c{caller}n{}", statuses.len());
                        let answer = try_ask(to, &head("POST /once/x", &id, ""), b"order");
                        statuses.push(answer.map_or(0, |answer| answer.status));
                    }
                    statuses
                })
            })
            .collect();
        callers.into_iter().flat_map(|caller| caller.join().unwrap()).collect()
    });
    let count = |status: u16| statuses.iter().filter(|other| **other == status).count();
    let peak = peak_memory_kb(&vm);
    println!(
        "{} answers, {} of them 200, {} 502; {peak} KB",
        statuses.len(),
        count(200),
        count(502)
    );
    assert!(peak <= MEMORY_KB, "{peak} KB");
    assert!(count(502) > 20, "servers answered without end");
}

/// Guards against engines whose frames have no end, which take memory for each stream that `serve`
/// reads.
#[test]
fn frames_without_end_share_the_memory_for_responses() {
    const STREAMS: usize = 60;
    let chunk = format!("3e80\r\n{}\r\n", "x".repeat(16_000));
    let (server, _) = endless_server(CHUNKED.to_owned(), chunk);
    let work = Generate {
        request: "r1".parse().unwrap(),
        attempt: 0,
        workspace: "w".parse().unwrap(),
        target: "m@v1".parse().unwrap(),
        prompt: String::new(),
        max_tokens: 8,
        offset: 0,
        priority: 5,
        wait: false,
    };
    let budget = Budget::new(Some(Size(16_000_000)), Millicores(1000), Clock::default());
    actix_web::rt::System::new().block_on(async {
        let client = EngineClient::new().with_budget(&budget);
        let mut streams = Vec::new();
        for _ in 0..STREAMS {
            streams.push(client.generate(server, &work).await.expect("a stream"));
        }
        let mut most = Size(0);
        for stream in &mut streams {
            let frame = stream.next().await.expect("an end");
            assert!(frame.is_err(), "{frame:?}");
            most = most.max(budget.memory_used());
        }
        assert!(most > Size(1_000_000) && most <= Size(4_000_000), "{most}");
        drop(streams);
        assert_eq!(budget.memory_used(), Size(0));
    });
}
