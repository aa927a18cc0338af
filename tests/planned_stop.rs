//! Requests around a planned stop in calm: each gets an answer.

mod site;

use std::io::{Read, Write};
use std::time::{Duration, Instant};

use kitepulley::standin::replica::Action;
use serde_json::json;
use site::{Answer, Site, head, try_ask};

/// Time from the signal until the process would be killed.
const GRACE: Duration = Duration::from_secs(8);

/// A request during the stop.
#[derive(Debug)]
struct Request {
    kind: &'static str,
    /// When it was sent, after the signal.
    sent: Duration,
    took: Duration,
    answer: Option<Answer>,
}

/// Sends requests on new connections during a planned stop of a VM whose servers take `answer_time`,
/// and returns those that the VM accepted.
fn requests_of_a_stop(answer_time: Duration) -> Vec<Request> {
    let times = json!({"timeout_ms": 20000, "latency_goal_ms": 5000});
    let mut site = Site::new().route("safe", "idempotent", times.clone()).route(
        "once",
        "non_idempotent",
        times,
    );
    site.bounds["grace_s"] = json!(GRACE.as_secs());
    let servers = [site.replica("r1", "v1"), site.replica("r2", "v1")];
    for server in &servers {
        server.set_default_action(Action::Slow(answer_time));
    }
    let mut vm = site.start_ready();
    vm.signal(libc::SIGTERM);
    let stopped = Instant::now();
    let callers = vm.callers;
    let requests = std::thread::scope(|scope| {
        let mut sent = Vec::new();
        while stopped.elapsed() < GRACE {
            for (kind, line) in [("idempotent", "GET /safe/x"), ("non-idempotent", "POST /once/x")]
            {
                let id = format!("{kind}{}", sent.len());
                sent.push(scope.spawn(move || {
                    let at = stopped.elapsed();
                    let head = head(line, &id, "");
                    let head = head.replace("X-Deadline-Ms: 2500", "X-Deadline-Ms: 15000");
                    std::net::TcpStream::connect(callers).ok()?;
                    let answer = try_ask(callers, &head, b"");
                    let took = stopped.elapsed() - at;
                    Some(Request { kind, sent: at, took, answer })
                }));
            }
            std::thread::sleep(Duration::from_millis(450));
        }
        sent.into_iter().filter_map(|one| one.join().expect("it ends")).collect::<Vec<_>>()
    });
    let status = vm.process.wait().expect("it ended");
    assert!(status.success(), "{status}");
    requests
}

/// Guards against requests that a VM takes late in a planned stop and cuts off at its end.
#[test]
fn each_request_that_a_stopping_vm_takes_is_answered() {
    let times = [500, 2000, 3900, 4500, 6000, 12_000].map(Duration::from_millis);
    std::thread::scope(|scope| {
        let cases: Vec<_> =
            times.iter().map(|time| (time, scope.spawn(|| requests_of_a_stop(*time)))).collect();
        for (time, case) in cases {
            let requests = case.join().expect("it ends");
            // One that comes as the process ends finds the connection closed before it is read.
            let taken =
                requests.iter().filter(|one| one.sent < GRACE - Duration::from_millis(1500));
            for request in taken {
                let answer = request.answer.as_ref();
                let answer = answer.unwrap_or_else(|| {
                    panic!("{}, answers take {time:?}: {request:?}", request.kind)
                });
                assert!(answer.whole, "answers take {time:?}: {request:?}");
                let status = answer.status;
                assert!(matches!(status, 200 | 503 | 504), "{time:?}: {request:?}");
                // One that can still end is served; one that cannot is refused at once.
                if request.sent + *time < Duration::from_millis(6500)
                    && request.sent < Duration::from_millis(2500)
                {
                    assert_eq!(status, 200, "answers take {time:?}: {request:?}");
                }
                if status == 503 {
                    assert!(request.took < Duration::from_millis(500), "{time:?}: {request:?}");
                }
            }
        }
    });
}

/// Guards against a VM that stops while a client still reads its answer.
#[test]
fn an_answer_that_a_client_reads_slowly_is_whole_although_its_vm_stops() {
    const SIZE: usize = 3_000_000;
    let mut site = Site::new().route("once", "non_idempotent", json!({"timeout_ms": 20000}));
    site.bounds["grace_s"] = json!(GRACE.as_secs());
    let server = site.replica("r1", "v1");
    server.set_default_action(Action::Whole(200, "y".repeat(SIZE)));
    let mut vm = site.start_ready();
    let mut client = std::net::TcpStream::connect(vm.callers).expect("the VM accepts");
    // The kernel must not take the whole answer off the VM.
    socket2::SockRef::from(&client).set_recv_buffer_size(100_000).expect("a small buffer");
    let head =
        head("POST /once/x", "a1", "").replace("X-Deadline-Ms: 2500", "X-Deadline-Ms: 15000");
    client.write_all(format!("{head}\r\n").as_bytes()).expect("it reads");
    std::thread::sleep(Duration::from_millis(300));
    vm.signal(libc::SIGTERM);
    let mut bytes = Vec::new();
    let mut piece = [0; 10_000];
    // In some 6 s.
    while let Ok(count) = client.read(&mut piece) {
        if count == 0 {
            break;
        }
        bytes.extend_from_slice(&piece[..count]);
        std::thread::sleep(Duration::from_millis(18) * count as u32 / 10_000);
    }
    let answer = site::read(&bytes).expect("an answer");
    assert!(answer.status == 200 && answer.whole, "{} of {SIZE} bytes", answer.body.len());
    assert!(vm.process.wait().expect("it ended").success());
}
