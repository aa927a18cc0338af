//! A store that turns away four of fourteen VMs: others that it serves go on with what they knew.

#[path = "../lib-2/stage.rs"]
mod stage;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use stage::{Gate, Server, Stage, VmPlan, ask};

/// VMs in each of two zones.
const VMS_PER_ZONE: u8 = 7;
/// VMs that the store turns away: four of fourteen.
const TURNED_AWAY: [(char, u8); 4] = [('a', 1), ('a', 2), ('a', 3), ('b', 1)];
/// Time for which they are turned away.
const DISRUPTION: Duration = Duration::from_secs(9);
/// Time from the start of the disruption until a server says that it drains.
const DRAIN_AFTER: Duration = Duration::from_secs(4);
const DRAIN_BOUND_S: f64 = 2.0;
/// Time for which the VMs run undisturbed before.
const SETTLE: Duration = Duration::from_secs(8);

const SERVERS: usize = 4;
const WORK: Duration = Duration::from_millis(15);
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

/// Configuration; `@VERSION@` and `@MORE@`, a further route, are filled in.
const CONFIG: &str = r#"{"version": @VERSION@,
  "routes": [{"name": "status", "host": "h.example", "path_prefix": "/status/",
              "type": "non_idempotent", "timeout_ms": 1500, "latency_goal_ms": 100, "priority": 2,
              "max_attempts": 3, "service": "api"}@MORE@],
  "services": [{"name": "api", "max_connections": 110}],
  "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000,
             "idle_timeout_ms": 15000}}"#;

/// Route that the second configuration drops.
const DROPPED_ROUTE: &str = r#", {"name": "old", "host": "h.example", "path_prefix": "/old/",
  "type": "non_idempotent", "timeout_ms": 1500, "latency_goal_ms": 100, "priority": 2,
  "max_attempts": 3, "service": "api"}"#;
/// Time after which a configuration must be in force.
const CONFIG_BOUND_S: f64 = 2.0;

fn config(version: &str, more: &str) -> String {
    CONFIG.replace("@VERSION@", version).replace("@MORE@", more)
}

fn main() {
    stage::main(run);
}

fn run(stage: &mut Stage) -> Result<bool, String> {
    let store = stage.store();
    // When the store acknowledged that the first server drains.
    let drained_at: Arc<Mutex<Option<f64>>> = Arc::default();
    let late: Arc<Mutex<BTreeMap<String, (usize, f64)>>> = Arc::default();
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let (drained_at, late) = (drained_at.clone(), late.clone());
        let id = format!("i-{number}");
        let server = Server::start(stage, &id, "api", "v1", move |server, request, stream| {
            let is_read = server.read_rest(request, stream);
            let drained_at = drained_at.lock().unwrap().filter(|_| number == 0);
            if let Some(at) = drained_at {
                let after = server.record.now() - at;
                if after > DRAIN_BOUND_S {
                    let vm = request.header("x-sent-to").to_owned();
                    let id = request.header("x-attempt-id");
                    let line = format!("{} gets {id} from {vm} {after:.3} s after", server.id);
                    server.record.line(line);
                    let mut late = late.lock().unwrap();
                    let (count, latest) = late.entry(vm).or_default();
                    *count += 1;
                    *latest = after.max(*latest);
                }
            }
            std::thread::sleep(WORK);
            is_read && server.send(stream, request, "200 OK", "", &[b'y'; 800]).is_ok()
        });
        store.write_server(&server, "ready");
        servers.push(server);
    }
    store.write("config", "main", &config("4", DROPPED_ROUTE));
    let mut plans = Vec::new();
    let mut gates = Vec::new();
    for (zone, number) in
        ['a', 'b'].iter().flat_map(|zone| (1..=VMS_PER_ZONE).map(move |n| (*zone, n)))
    {
        let gate = Gate::start(stage);
        plans.push(VmPlan { zone, number, store: gate.address });
        if TURNED_AWAY.contains(&(zone, number)) {
            gates.push(gate);
        }
    }
    stage.start_planned(&plans)?;
    std::thread::sleep(SETTLE);
    let is_over = Arc::new(AtomicBool::new(false));
    // When the store acknowledged that a route is dropped, and requests on it that ran later.
    let dropped_at: Arc<Mutex<Option<f64>>> = Arc::default();
    let by_old: Arc<Mutex<BTreeMap<String, usize>>> = Arc::default();
    let clients: Vec<_> = stage
        .vms
        .iter()
        .map(|vm| {
            let (name, to, is_over) = (vm.name.clone(), vm.callers, is_over.clone());
            let (dropped_at, by_old, record) =
                (dropped_at.clone(), by_old.clone(), stage.record.clone());
            std::thread::spawn(move || {
                let mut number = 0;
                while !is_over.load(Ordering::Relaxed) {
                    number += 1;
                    let path = if number % 2 == 0 { "old" } else { "status" };
                    let head = format!(
                        "POST /{path}/x HTTP/1.1\r\nHost: h.example\r\n\
                         X-Attempt-Id: {name}.{number}\r\nX-Deadline-Ms: 1500\r\n\
                         X-Sent-To: {name}\r\n"
                    );
                    let sent_at = record.now();
                    let got = ask(to, &head, b"{}", Duration::from_secs(3)).unwrap_or_default();
                    let after = dropped_at.lock().unwrap().map_or(0.0, |at| sent_at - at);
                    if path == "old" && got.status == 200 && after > CONFIG_BOUND_S {
                        record.line(format!("{name}.{number}, sent {after:.3} s after, is run"));
                        *by_old.lock().unwrap().entry(name.clone()).or_insert(0) += 1;
                    }
                    std::thread::sleep(REQUEST_INTERVAL);
                }
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(2));
    if stage.has_trouble {
        gates.iter().for_each(|gate| gate.set_shut(true));
        stage.record.line(format!("the store turns away {TURNED_AWAY:?}"));
    }
    std::thread::sleep(DRAIN_AFTER);
    if !store.write_server(&servers[0], "draining") {
        return Err("the entry was not written".to_owned());
    }
    *drained_at.lock().unwrap() = Some(stage.record.now());
    if !store.write("config", "main", &config("5", "")) {
        return Err("the configuration was not written".to_owned());
    }
    *dropped_at.lock().unwrap() = Some(stage.record.now());
    std::thread::sleep(DISRUPTION - DRAIN_AFTER);
    gates.iter().for_each(|gate| gate.set_shut(false));
    stage.record.line("the store serves all");
    std::thread::sleep(Duration::from_secs(3));
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let away = TURNED_AWAY.map(|(zone, number)| format!("edge-{zone}-{number}"));
    let mut broken = 0;
    for (vm, (count, latest)) in late.lock().unwrap().iter() {
        let is_away = away.contains(vm);
        let line = format!(
            "{vm} (turned away: {is_away}): {count} requests, the last {latest:.3} s after"
        );
        println!("{line}");
        stage.record.line(line);
        broken += if is_away { 0 } else { *count };
    }
    for (vm, count) in by_old.lock().unwrap().iter() {
        let is_away = away.contains(vm);
        let line = format!("{vm} (turned away: {is_away}): {count} requests on the dropped route");
        println!("{line}");
        stage.record.line(line);
    }
    stage.record_log(
        &["reads the store itself", "store lost", "told of the store", "store regained"],
        12,
    );
    let summary = format!("{broken} late requests by VMs that were served throughout");
    stage.record.line(&summary);
    println!("{summary}");
    Ok(broken > 0)
}
