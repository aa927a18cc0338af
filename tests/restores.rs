//! Repeated restores of the platform's store during configuration changes, drains, evacuations, a
//! roll-out of a bad version and restarts of VMs. The VMs' behaviour is checked from what callers
//! and backend servers saw.
//!
//! `RESTORE_SEEDS` sets the number of seeds to run, `RESTORE_SEED` the first of them.

mod site;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use kitepulley::standin::platform::{Snapshot, Switches};
use kitepulley::standin::replica::{Action, Replica};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use site::{Site, Vm, are_ready, eventually, follows, head, try_ask};

const VMS: usize = 5;
const SERVERS: usize = 4;

/// Duration of the changes, and of the phase after them in which the system must settle.
const CHANGE_PHASE: Duration = Duration::from_secs(14);
const SETTLE_PHASE: Duration = Duration::from_secs(6);

/// Bounds of the site: time until a change is in force, a replaced key is refused, a draining
/// server gets no new requests, and an evacuated data centre gets none.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(2);
const REVOKED_WITHIN: Duration = Duration::from_secs(5);
const DRAINED_WITHIN: Duration = Duration::from_secs(2);
const EVACUATED_WITHIN: Duration = Duration::from_secs(5);

/// Time until a version gets no requests after `rolled_back` was written to the store.
const ROLLED_BACK_WITHIN: Duration = Duration::from_secs(1);

/// The data centre that is evacuated.
const EVACUATED_DATA_CENTRE: &str = "there";

/// Time from the drain of a server to its exit, and from the last write of an entry to its expiry.
const EXIT_DELAY: Duration = Duration::from_secs(3);
const LAPSE_DELAY: Duration = Duration::from_millis(3600);

/// Time after its start in which a VM may know less than the others and is not held to the bounds
/// on servers and versions.
const STARTUP_GRACE: Duration = Duration::from_millis(2500);

/// Time until all VMs know a change of servers or an evacuation, so that a restore doesn't undo it.
const PROPAGATION_TIME: Duration = Duration::from_secs(1);

/// A request as its caller saw it.
#[derive(Clone, Copy)]
struct Call {
    vm: usize,
    /// Number of restarts of the VM before this request.
    incarnation: usize,
    key: usize,
    sent: Instant,
    done: Instant,
    status: u16,
}

/// A backend server and the state that its owner wrote.
struct Server {
    id: String,
    replica: Replica,
    data_centre: &'static str,
    /// Time since which its entry says that it is draining.
    draining_since: Option<Instant>,
    gone: bool,
}

impl Server {
    fn state(&self) -> &'static str {
        if self.draining_since.is_some() { "draining" } else { "ready" }
    }
}

/// Address of a VM for callers.
#[derive(Clone, Copy)]
struct Target {
    address: SocketAddr,
    incarnation: usize,
}

/// State that the callers share with the scenario.
struct Shared {
    targets: Mutex<Vec<Target>>,
    newest: Mutex<usize>,
    calls: Mutex<Vec<Call>>,
    over: AtomicBool,
}

/// Assigns VMs and servers alternately to two data centres; a VM prefers servers of its own.
fn data_centre(number: usize) -> &'static str {
    if number.is_multiple_of(2) { "here" } else { EVACUATED_DATA_CENTRE }
}

fn key(number: usize) -> String {
    format!("key{number}")
}

/// Sends requests to one VM, with the newest key or the one before, until the scenario is over.
fn call_vm(shared: &Shared, vm: usize, mut random: StdRng) {
    while !shared.over.load(Ordering::SeqCst) {
        let target = shared.targets.lock().unwrap()[vm];
        let newest = *shared.newest.lock().unwrap();
        let number = newest.saturating_sub(usize::from(random.random_bool(0.5)));
        let more = format!("Authorization: Token {}\r\n", key(number));
        let sent = Instant::now();
        // Requests without a session choose a version by a hash of their id.
        let id = format!("{:016x}", random.random::<u64>());
        if let Some(answer) = try_ask(target.address, &head("GET /safe/x", &id, &more), b"") {
            let (incarnation, status) = (target.incarnation, answer.status);
            let done = Instant::now();
            let call = Call { vm, incarnation, key: number, sent, done, status };
            shared.calls.lock().unwrap().push(call);
        }
        std::thread::sleep(Duration::from_millis(25));
    }
}

/// A write or restore that is due later.
enum Task {
    Configure,
    Write(usize),
    Order,
    Remove(usize),
    End(usize),
    Restore,
}

struct Scenario<'a> {
    site: Site,
    shared: &'a Shared,
    random: StdRng,
    vms: Vec<Vm>,
    servers: Vec<Server>,
    pending: Vec<(Instant, Task)>,
    copies: VecDeque<(Instant, Snapshot)>,
    /// When the write of each key was acknowledged, and when the newest key was last written.
    acknowledged: Vec<Instant>,
    written: Instant,
    /// When the store was restored or went down.
    restored: Vec<Instant>,
    /// For each server, the time after which it may get no new requests.
    closed: Vec<Option<Instant>>,
    /// When a VM was restarted.
    started: Vec<Instant>,
    /// When the evacuation was ordered (true) or withdrawn, and when a restore may have undone
    /// that.
    orders: Vec<(Instant, bool)>,
    /// A server of the bad version, whose responses are failures.
    bad: Option<Replica>,
    /// When the store first had the roll-out as rolled back.
    rolled_back: Option<Instant>,
}

impl Scenario<'_> {
    fn random_time(&mut self, least: u64, most: u64) -> Instant {
        Instant::now() + Duration::from_millis(self.random.random_range(least..=most))
    }

    fn schedule(&mut self, least: u64, most: u64, task: Task) {
        let at = self.random_time(least, most);
        self.pending.push((at, task));
    }

    fn configure(&mut self) {
        self.site.publish();
        self.written = Instant::now();
    }

    fn replace_key(&mut self) {
        let number = self.acknowledged.len();
        self.site.config["tenants"][0]["api_keys"] = json!([key(number)]);
        self.configure();
        self.acknowledged.push(Instant::now());
        *self.shared.newest.lock().unwrap() = number;
    }

    fn start_server(&mut self) {
        let id = format!("r{}", self.servers.len());
        let data_centre = data_centre(self.servers.len());
        let replica = self.site.replica_with(&id, json!({"zone": data_centre}));
        self.servers.push(Server { id, replica, data_centre, draining_since: None, gone: false });
        self.closed.push(None);
    }

    fn drain(&mut self) {
        let ready: Vec<usize> = (0..self.servers.len())
            .filter(|at| self.servers[*at].draining_since.is_none())
            .collect();
        if ready.len() < SERVERS {
            return;
        }
        let at = ready[self.random.random_range(0..ready.len())];
        let now = Instant::now();
        self.servers[at].draining_since = Some(now);
        self.write_entry(at);
        self.pending.push((now + EXIT_DELAY, Task::End(at)));
        self.start_server();
    }

    /// Writes the entry of a server unless the server is gone.
    fn write_entry(&mut self, at: usize) {
        let Server { id, replica, gone, draining_since, data_centre } = &self.servers[at];
        if *gone {
            return;
        }
        let fields = json!({"zone": data_centre, "state": self.servers[at].state()});
        self.site.list_with(id, replica.address, fields);
        if draining_since.is_some() {
            let closed = Instant::now() + DRAINED_WITHIN;
            self.closed[at] = Some(self.closed[at].map_or(closed, |known| known.min(closed)));
        }
    }

    /// Returns true if the evacuation is ordered at present.
    fn is_evacuation_ordered(&self) -> bool {
        self.orders.last().is_some_and(|(_, ordered)| *ordered)
    }

    fn toggle_evacuation(&mut self) {
        let ordered = !self.is_evacuation_ordered();
        self.orders.push((Instant::now(), ordered));
        self.write_orders();
    }

    /// Writes the operator's present orders to the store.
    fn write_orders(&mut self) {
        match self.is_evacuation_ordered() {
            true => {
                self.site.store.write_spec("evacuations", EVACUATED_DATA_CENTRE, json!({}));
            }
            false => self.site.store.delete_object("evacuations", EVACUATED_DATA_CENTRE),
        }
        let order = json!({"service": "api", "target_version": "v2", "duration_s": 60});
        if self.bad.is_some() {
            self.site.store.write_spec("rollouts", "api", order);
        }
    }

    fn start_bad_version(&mut self) {
        let bad = self.site.replica_with("bad", json!({"version": "v2"}));
        bad.set_default_action(Action::Whole(500, "bad".to_owned()));
        self.bad = Some(bad);
        self.write_orders();
    }

    /// Restores the store from a backup. Owners write their objects again a little later.
    fn restore(&mut self) {
        let at = self.random.random_range(0..self.copies.len());
        let copy = self.copies[at].1.clone();
        let away = self.random.random_range(0..=1500);
        let started_at = Instant::now();
        if away > 300 {
            self.site.store.set_switches(Switches { is_down: true, ..Switches::default() });
            std::thread::sleep(Duration::from_millis(away));
        }
        self.site.store.restore(copy);
        self.site.store.set_switches(Switches::default());
        self.restored.extend([started_at, Instant::now()]);
        self.copies.clear();
        // VMs may not know a drain that was written just before; the bound starts anew when it is
        // written again.
        for (server, closed) in self.servers.iter().zip(&mut self.closed) {
            if server.draining_since.is_some_and(|at| started_at < at + PROPAGATION_TIME)
                && !server.gone
            {
                *closed = None;
            }
        }
        // VMs may not know an order that was written just before.
        if let Some((at, ordered)) = self.orders.last().copied()
            && started_at < at + PROPAGATION_TIME
        {
            self.orders.push((Instant::now(), ordered));
        }
        self.schedule(100, 1000, Task::Configure);
        self.schedule(100, 1000, Task::Order);
        if let Some(bad) = &self.bad {
            self.site.list_with("bad", bad.address, json!({"version": "v2"}));
        }
        for at in 0..self.servers.len() {
            let task = if self.servers[at].gone { Task::Remove(at) } else { Task::Write(at) };
            match task {
                Task::Remove(_) => self.pending.push((Instant::now() + LAPSE_DELAY, task)),
                _ => self.schedule(100, 1200, task),
            }
        }
    }

    fn perform(&mut self, task: Task) {
        match task {
            Task::Configure => self.configure(),
            Task::Write(at) => self.write_entry(at),
            Task::Order => self.write_orders(),
            Task::Remove(at) => {
                let id = self.servers[at].id.clone();
                self.site.store.delete_object("servers", &id);
            }
            Task::End(at) => {
                self.servers[at].gone = true;
                self.perform(Task::Remove(at));
            }
            Task::Restore => self.restore(),
        }
    }

    fn perform_due(&mut self) {
        let now = Instant::now();
        while let Some(at) = self.pending.iter().position(|(due, _)| *due <= now) {
            let (_, task) = self.pending.swap_remove(at);
            self.perform(task);
        }
    }

    /// Kills and restarts the VM that reads the store.
    fn kill_reader(&mut self) {
        let Some(at) = self.vms.iter().position(|vm| !follows(vm)) else { return };
        self.shared.targets.lock().unwrap()[at].incarnation += 1;
        self.vms[at].kill();
        self.vms[at].start_again();
        self.started.push(Instant::now());
    }

    fn run_changes(&mut self) {
        let started_at = Instant::now();
        let (mut keys, mut drains, mut restores) = (
            self.random_time(200, 800),
            self.random_time(1000, 2000),
            self.random_time(2000, 3500),
        );
        let mut kills = self.random_time(3000, 10_000);
        let mut orders = self.random_time(500, 2000);
        self.start_bad_version();
        while started_at.elapsed() < CHANGE_PHASE {
            self.perform_due();
            let now = Instant::now();
            if self.copies.back().is_none_or(|(at, _)| now >= *at + Duration::from_millis(400)) {
                self.copies.push_back((now, self.site.store.snapshot()));
                self.copies.retain(|(at, _)| now < *at + Duration::from_secs(5));
            }
            if now >= keys {
                self.replace_key();
                keys = self.random_time(400, 1500);
            }
            if now >= drains {
                self.drain();
                drains = self.random_time(1200, 2500);
            }
            if now >= restores {
                self.restore();
                if self.random.random_bool(0.3) {
                    self.schedule(300, 1500, Task::Restore);
                }
                restores = self.random_time(3000, 5000);
            }
            if now >= orders {
                self.toggle_evacuation();
                orders = self.random_time(2500, 7000);
            }
            let state = &self.site.store.status("rollouts", "api")["state"];
            if self.rolled_back.is_none() && state == "rolled_back" {
                self.rolled_back = Some(now);
            }
            if now >= kills {
                self.kill_reader();
                kills = self.random_time(8000, 20_000);
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        let settled = Instant::now();
        self.pending.retain(|(_, task)| !matches!(task, Task::Restore));
        if self.is_evacuation_ordered() {
            self.toggle_evacuation();
        }
        while settled.elapsed() < SETTLE_PHASE {
            self.perform_due();
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Returns true if a VM has just started: it may know only the restored state until other VMs
    /// send it newer state.
    fn is_starting(&self, at: Instant) -> bool {
        self.started.iter().any(|start| *start <= at && at < *start + STARTUP_GRACE)
    }

    /// Copies the logs of the VMs to the temporary folder and prints their paths.
    fn save_logs(&self, seed: u64) {
        for (number, vm) in self.vms.iter().enumerate() {
            let kept = std::env::temp_dir().join(format!("restores-{seed}-vm{number}.log"));
            let copied = std::fs::copy(&vm.log, &kept).map(drop);
            println!("VM {number}: {} {copied:?}", kept.display());
        }
    }

    /// Returns the violations of the bounds.
    fn violations(&self) -> Vec<String> {
        let calls = self.shared.calls.lock().unwrap().clone();
        let mut faults = Vec::new();
        let was_restored =
            |from: Instant, to: Instant| self.restored.iter().any(|at| from <= *at && *at <= to);
        for call in &calls {
            let of = format!("VM {} with key {}", call.vm, call.key);
            let replaced = self.acknowledged.get(call.key + 1);
            if call.status == 200 && replaced.is_some_and(|at| call.sent > *at + REVOKED_WITHIN) {
                faults.push(format!(
                    "{of}: used {:?} after it was taken away",
                    call.sent - *replaced.unwrap()
                ));
            }
            let in_force = self.acknowledged[call.key] + IN_FORCE_WITHIN;
            let is_calm = !was_restored(call.sent - REVOKED_WITHIN, call.done);
            if call.status == 401 && replaced.is_none() && call.sent > in_force && is_calm {
                faults.push(format!(
                    "{of}: refused {:?} after it was given",
                    call.sent - self.acknowledged[call.key]
                ));
            }
            let newest = self.acknowledged.len() - 1;
            if call.status == 401
                && call.key == newest
                && call.sent > self.written + IN_FORCE_WITHIN
            {
                faults.push(format!(
                    "{of}: refused {:?} after it was written again",
                    call.sent - self.written
                ));
            }
            let is_later = |one: &&Call| {
                (one.vm, one.incarnation) == (call.vm, call.incarnation)
                    && one.status == 200
                    && one.key > call.key
                    && one.done < call.sent
            };
            if call.status == 200 && calls.iter().any(|one| is_later(&one)) {
                faults.push(format!("{of}: used after a later one"));
            }
        }
        for (server, closed) in self.servers.iter().zip(&self.closed) {
            let seen = server.replica.requests();
            let is_late = |at: Instant| closed.is_some_and(|closed| at > closed);
            let late = seen.iter().filter(|one| is_late(one.at) && !self.is_starting(one.at));
            let late: Vec<Duration> =
                late.map(|one| one.at - server.draining_since.unwrap()).collect();
            if !late.is_empty() {
                let (count, first) = (late.len(), late[0]);
                faults
                    .push(format!("{}: {count} requests from {first:?} after it left", server.id));
            }
            let last = seen.iter().map(|one| one.at).max();
            let is_used = last.is_some_and(|last| last.elapsed() < Duration::from_secs(2));
            let emptied = seen.iter().filter(|one| {
                server.data_centre == EVACUATED_DATA_CENTRE
                    && self.is_evacuated(one.at)
                    && !self.is_starting(one.at)
            });
            let emptied = emptied.count();
            if emptied > 0 {
                faults.push(format!("{}: {emptied} requests in an emptied data centre", server.id));
            }
            if server.draining_since.is_none() && !is_used {
                faults.push(format!("{}: it is ready and gets no requests", server.id));
            }
        }
        if let (Some(bad), Some(back)) = (&self.bad, self.rolled_back) {
            let is_late = |at: Instant| at > back + ROLLED_BACK_WITHIN && !self.is_starting(at);
            let late = bad.requests().iter().filter(|one| is_late(one.at)).count();
            if late > 0 {
                faults.push(format!("{late} requests at a version that was found bad"));
            }
        }
        faults
    }

    /// Returns true if the evacuation is due, so that no VM may send a request to the data centre.
    fn is_evacuated(&self, at: Instant) -> bool {
        let orders = self.orders.iter().rev();
        let (since, ordered) = match orders.clone().find(|(since, _)| *since <= at) {
            Some(order) => *order,
            None => return false,
        };
        ordered && at > since + EVACUATED_WITHIN
    }
}

fn run(seed: u64) -> Vec<String> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut site = Site::new().route("safe", "idempotent", json!({}));
    site.bounds["revoke_ms"] = json!(REVOKED_WITHIN.as_millis() as u64);
    site.bounds["retry_budget_extra"] = json!(10_000);
    let mut site = site.workspace("roasters", &[&key(0)]);
    site.publish();
    let vms: Vec<Vm> = (0..VMS).map(|number| site.start_in(data_centre(number))).collect();
    let targets = vms.iter().map(|vm| Target { address: vm.callers, incarnation: 0 }).collect();
    let shared = Shared {
        targets: Mutex::new(targets),
        newest: Mutex::new(0),
        calls: Mutex::default(),
        over: AtomicBool::new(false),
    };
    let seeds: Vec<u64> = (0..VMS).map(|_| random.random()).collect();
    let mut run = Scenario {
        site,
        shared: &shared,
        random,
        vms,
        servers: Vec::new(),
        pending: Vec::new(),
        copies: VecDeque::new(),
        acknowledged: vec![Instant::now()],
        written: Instant::now(),
        restored: Vec::new(),
        closed: Vec::new(),
        started: Vec::new(),
        orders: Vec::new(),
        bad: None,
        rolled_back: None,
    };
    (0..SERVERS).for_each(|_| run.start_server());
    are_ready(&run.vms);
    eventually("all but one follow", || run.vms.iter().filter(|vm| follows(vm)).count() == VMS - 1);
    std::thread::scope(|scope| {
        for (vm, seed) in seeds.into_iter().enumerate() {
            let shared = &shared;
            scope.spawn(move || call_vm(shared, vm, StdRng::seed_from_u64(seed)));
        }
        run.run_changes();
        shared.over.store(true, Ordering::SeqCst);
    });
    let faults = run.violations();
    let calls = shared.calls.lock().unwrap().len();
    let (restores, rolled_back) = (run.restored.len() / 2, run.rolled_back.is_some());
    println!(
        "seed {seed}: {calls} calls, {restores} restores, rolled back: {rolled_back}, {} faults",
        faults.len()
    );
    if !faults.is_empty() {
        run.save_logs(seed);
    }
    faults
}

fn number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[test]
fn restores_in_series_take_nothing_back() {
    let first = number("RESTORE_SEED", 1);
    for seed in first..first + number("RESTORE_SEEDS", 2) {
        let faults = run(seed);
        let shown = &faults[..faults.len().min(10)];
        assert!(faults.is_empty(), "seed {seed}: {} faults: {shown:#?}", faults.len());
    }
}
