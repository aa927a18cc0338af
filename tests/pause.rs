//! Real processes that are suspended with SIGSTOP and resumed. The tests guard against a VM that,
//! resumed after its permit has expired, still works on an old configuration, and against one that
//! counts the time of its own suspension as a delay of its callers.

#![cfg(unix)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use kitepulley::command::block_on;
use kitepulley::demo::{Cluster, Shape, apply_intent, workspace_key};
use serde_json::{Value, json};

/// Timeout of conditions that must become true.
const WAIT_TIMEOUT: Duration = Duration::from_secs(40);

/// A `serve` process, killed when it is dropped.
struct Process {
    child: Child,
    address: SocketAddr,
    peer: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    fn start(name: &str, platform: SocketAddr, seed: Option<SocketAddr>) -> Process {
        let address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let peer = UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_kitepulley"));
        command.args(["serve", "--vm", name, "--data-centre", "ulemiste", "--workers", "1"]);
        command.args(["--listen", &address.to_string(), "--peer", &peer.to_string()]);
        command.args(["--platform", &platform.to_string()]);
        if let Some(seed) = seed {
            command.args(["--seed", &seed.to_string()]);
        }
        command.env("KITEPULLEY_FLEET_KEY", "a-fleet-key-of-tests").env("KITEPULLEY_LOG", "off");
        command.env("KITEPULLEY_SESSION_KEYS", "k1:a-session-key-of-tests");
        let child = command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().unwrap();
        Process { child, address, peer }
    }

    fn signal(&self, signal: i32) {
        // SAFETY: the process is this test's own child and has not been waited for.
        let sent = unsafe { libc::kill(self.child.id() as libc::pid_t, signal) };
        assert_eq!(sent, 0);
    }

    fn get(&self, path: &str) -> Option<(u16, Value)> {
        self.send(path, None)
    }

    fn send(&self, path: &str, body: Option<Value>) -> Option<(u16, Value)> {
        block_on(async {
            let http = awc::Client::builder().timeout(Duration::from_secs(5)).finish();
            let url = format!("http://{}{path}", self.address);
            let key = format!("Bearer {}", workspace_key("roasters"));
            let sent = match body {
                Some(body) => {
                    http.post(url).insert_header(("authorization", key)).send_json(&body).await
                }
                None => http.get(url).insert_header(("authorization", key)).send().await,
            };
            let mut answer = sent.ok()?;
            let bytes = answer.body().await.ok()?;
            let value = serde_json::from_slice(&bytes).unwrap_or_default();
            Some((answer.status().as_u16(), value))
        })
    }
}

fn wait_until(what: &str, mut is_true: impl FnMut() -> bool) {
    let began = Instant::now();
    while !is_true() {
        assert!(began.elapsed() < WAIT_TIMEOUT, "timed out waiting for {what}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn a_vm_that_slept_past_its_permit_starts_nothing_on_a_version_withdrawn_meanwhile() {
    let world = Cluster::start(&Shape { vms: 0, engines: 3, ..Shape::default() }).unwrap();
    let first = Process::start("vm1", world.platform_address, None);
    wait_until("the first VM", || first.get("/readyz").is_some_and(|(status, _)| status == 200));
    let others: Vec<Process> = ["vm2", "vm3"]
        .iter()
        .map(|name| Process::start(name, world.platform_address, Some(first.peer)))
        .collect();
    for other in &others {
        wait_until("another VM", || other.get("/readyz").is_some_and(|(status, _)| status == 200));
    }
    let ask = json!({"model": "roastmind@v3", "max_tokens": 4,
        "messages": [{"role": "user", "content": "hi"}]});
    let answered = first.send("/v1/chat/completions", Some(ask.clone()));
    assert_eq!(answered.map(|(status, _)| status), Some(200));

    first.signal(libc::SIGSTOP);
    let revision = apply_intent(world.platform_address, "withdraw roastmind v3", "test").unwrap();
    let accepted = |process: &Process| {
        let status = process.get("/operator/status").map(|(_, value)| value);
        status.is_some_and(|value| value["accepted"].as_u64() >= Some(revision.0))
    };
    // The other VMs may accept the revision only once the suspended VM counts as dead and its
    // permit has expired, since it could still be working until then.
    assert!(!others.iter().any(accepted));
    wait_until("acceptance of the withdrawal", || others.iter().any(accepted));

    first.signal(libc::SIGCONT);
    for _ in 0..40 {
        if let Some((status, value)) = first.send("/v1/chat/completions", Some(ask.clone())) {
            assert!(status != 200, "the resumed VM served a withdrawn version");
            assert_eq!(value["ran"], "no", "{status} {value}");
        }
        std::thread::sleep(Duration::from_millis(25));
    }
    wait_until("the return of the resumed VM", || {
        first.get("/readyz").is_some_and(|(status, _)| status == 200)
    });
    let refused = first.send("/v1/chat/completions", Some(ask)).expect("it answers");
    assert_eq!((refused.0, refused.1["kind"].as_str()), (410, Some("withdrawn")));
    world.stop_standins();
}

/// Guards against 408 for connections that were opened while the process was suspended: the HTTP
/// library counts the suspended time against the timeout for the head of a request.
#[test]
fn connections_that_were_opened_while_a_vm_slept_are_served() {
    let world = Cluster::start(&Shape { vms: 0, engines: 1, ..Shape::default() }).unwrap();
    let vm = Process::start("vm1", world.platform_address, None);
    wait_until("the VM", || vm.get("/readyz").is_some_and(|(status, _)| status == 200));
    vm.signal(libc::SIGSTOP);
    std::thread::sleep(Duration::from_millis(6500));
    let mut streams: Vec<TcpStream> =
        (0..40).map(|_| TcpStream::connect(vm.address).unwrap()).collect();
    vm.signal(libc::SIGCONT);
    std::thread::sleep(Duration::from_millis(5));
    let status = |stream: &mut TcpStream| {
        stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
        let _ = stream.write_all(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        let mut text = String::new();
        let _ = stream.read_to_string(&mut text);
        text.split(' ').nth(1).unwrap_or("none").to_owned()
    };
    let statuses: Vec<String> = streams.iter_mut().map(status).collect();
    assert!(!statuses.iter().any(|status| status == "408" || status == "none"), "{statuses:?}");
    world.stop_standins();
}

/// Crashes the engines that count a crashing prompt, and starts them again, until `is_over`. Returns
/// the number of crashes.
fn crash_engines(world: &mut Cluster, is_over: impl Fn() -> bool) -> u64 {
    const RESTART_DELAY: Duration = Duration::from_millis(300);
    let mut crashes = vec![0; world.engines.len()];
    let mut down: Vec<(usize, Instant)> = Vec::new();
    while !is_over() {
        for (at, known) in crashes.iter_mut().enumerate() {
            let now = world.engines[at].crashes();
            if std::mem::replace(known, now) < now {
                world.crash_engine(at);
                down.push((at, Instant::now()));
            }
        }
        let (due, still): (Vec<_>, Vec<_>) =
            down.into_iter().partition(|(_, since)| since.elapsed() > RESTART_DELAY);
        due.into_iter().for_each(|(at, _)| world.start_engine(at).unwrap());
        down = still;
        std::thread::sleep(Duration::from_millis(1));
    }
    crashes.iter().sum()
}

/// Guards against a VM that continues and runs what its callers sent before it has read what other
/// VMs sent: a prompt that crashed three engines meanwhile crashed a fourth one.
#[test]
fn a_prompt_that_crashes_engines_is_held_back_by_a_vm_that_was_stopped() {
    const POISON: &str = "a question that no server survives";
    const CRASHES_BEFORE_QUARANTINE: u64 = 3;
    const PROMPTS: u64 = 5;
    // Outlasts the wait of a refusal.
    const PAUSE: Duration = Duration::from_millis(1600);
    let shape = Shape { vms: 0, engines: 36, ..Shape::default() };
    let mut world = Cluster::start(&shape).unwrap();
    for engine in &world.engines {
        engine.update_switches(|now| now.crashes_on = Some(POISON.to_owned()));
    }
    let first = Process::start("vm1", world.platform_address, None);
    let second = Process::start("vm2", world.platform_address, Some(first.peer));
    for vm in [&first, &second] {
        wait_until("a VM", || vm.get("/readyz").is_some_and(|(status, _)| status == 200));
    }
    let ask = |vm: &Process, number: u64| {
        let prompt = format!("{POISON}, number {number}");
        let body = json!({"model": "roastmind", "max_tokens": 4,
            "messages": [{"role": "user", "content": prompt}]});
        let (_, answer) = vm.send("/v1/chat/completions", Some(body)).expect("an answer");
        answer["kind"].as_str().unwrap_or_default().to_owned()
    };
    let play = |number: u64| {
        second.signal(libc::SIGSTOP);
        let refused = ask(&first, number);
        std::thread::scope(|scope| {
            let repeated = scope.spawn(|| ask(&second, number));
            std::thread::sleep(PAUSE);
            second.signal(libc::SIGCONT);
            [refused, repeated.join().expect("no panic")]
        })
    };
    let (answers, crashed) = std::thread::scope(|scope| {
        let callers = scope.spawn(|| (0..PROMPTS).map(play).collect::<Vec<_>>());
        let crashed = crash_engines(&mut world, || callers.is_finished());
        (callers.join().expect("no panic"), crashed)
    });
    assert_eq!(crashed, PROMPTS * CRASHES_BEFORE_QUARANTINE, "{answers:?}");
    assert!(answers.iter().all(|[_, repeated]| repeated == "held_back"), "{answers:?}");
    world.stop_standins();
}
