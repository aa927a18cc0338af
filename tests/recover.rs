//! Return of service after all VMs were killed and started again.

mod site;

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use kitepulley::forward::kind::VMS;
use kitepulley::standin::platform::Switches;
use serde_json::{Value, json};
use site::proxy::{Proxy, Rejection};
use site::{Site, Vm, are_ready, head, try_ask};

/// Time from the return of the machines until service must be back.
const RECOVER_WITHIN: Duration = Duration::from_secs(12);

/// Number of VMs of the site.
const VMS_OF_SITE: usize = 7;

/// A site with a key, VMs that were ready, and servers.
struct World {
    site: Site,
    vms: Vec<Vm>,
    _servers: Vec<kitepulley::standin::replica::Replica>,
    proxy: Proxy,
}

fn world() -> World {
    let mut site = Site::new().route("safe", "idempotent", json!({})).workspace("w", &["k"]);
    site.bounds["revoke_ms"] = json!(5000);
    let servers = (0..4).map(|n| site.replica(&format!("r{n}"), "v1")).collect();
    site.publish();
    let proxy = Proxy::new(site.store_server.address);
    let vms: Vec<Vm> = (0..VMS_OF_SITE).map(|_| site.start_through(proxy.address)).collect();
    are_ready(&vms);
    World { site, vms, _servers: servers, proxy }
}

impl World {
    fn kill_all(&mut self) {
        self.vms.iter_mut().for_each(Vm::kill);
    }

    /// Starts all VMs, and returns how long it took until each of them served and was ready.
    /// Panics if one didn't within the bound.
    fn time_to_service(&mut self, case: &str) -> Duration {
        self.vms.iter_mut().for_each(Vm::start_again);
        let started = Instant::now();
        let mut served = vec![None; self.vms.len()];
        let mut n = 0;
        while served.iter().any(Option::is_none) {
            for (vm, at) in self.vms.iter().zip(&mut served) {
                n += 1;
                if at.is_none() && is_served(vm, &format!("q{n}")) && vm.is_ready() {
                    *at = Some(started.elapsed());
                }
            }
            let logs = || self.vms.iter().map(Vm::log_end).collect::<String>();
            assert!(started.elapsed() < RECOVER_WITHIN, "{case}: {served:?}\n{}", logs());
            std::thread::sleep(Duration::from_millis(20));
        }
        let last = served.into_iter().flatten().max().unwrap_or_default();
        println!("{case}: {last:?}");
        last
    }
}

fn is_served(vm: &Vm, id: &str) -> bool {
    let head = head("GET /safe/x", id, "Authorization: Token k\r\n")
        .replace("X-Deadline-Ms: 2500", "X-Deadline-Ms: 300");
    try_ask(vm.callers, &head, b"").is_some_and(|answer| answer.status == 200)
}

/// Writes entries of VMs that are gone, before whose sockets nobody reads.
fn list_lost_vms(site: &Site, count: usize) -> Vec<UdpSocket> {
    let sockets: Vec<UdpSocket> =
        (0..count).map(|_| UdpSocket::bind("127.0.0.1:0").expect("a socket")).collect();
    for (n, socket) in sockets.iter().enumerate() {
        let address = socket.local_addr().expect("it is bound").to_string();
        let entry = json!({"address": address, "data_centre": "here", "share": 1000});
        site.store.write_spec(VMS, &format!("lost{n:03}"), entry);
    }
    sockets
}

#[test]
fn service_returns_in_calm_and_beside_entries_of_lost_vms() {
    let mut world = world();
    world.kill_all();
    world.time_to_service("calm");
    for count in [1, 7, 60] {
        world.kill_all();
        let _silent = list_lost_vms(&world.site, count);
        world.time_to_service(&format!("{count} entries of lost VMs"));
    }
}

#[test]
fn service_returns_although_the_store_is_slow() {
    let mut world = world();
    for slow_ms in [240, 500, 1000] {
        world.kill_all();
        world.site.store.set_switches(Switches { slow_ms, ..Switches::default() });
        world.time_to_service(&format!("the store takes {slow_ms} ms"));
        let _silent = list_lost_vms(&world.site, 3);
        world.kill_all();
        world.time_to_service(&format!("the store takes {slow_ms} ms, 3 entries of lost VMs"));
    }
}

#[test]
fn service_returns_although_the_object_with_the_key_of_the_links_is_odd() {
    for odd in [json!({}), Value::Null, json!({"key": 7}), json!({"key": ""}), json!([1])] {
        let mut world = world();
        world.kill_all();
        world.site.store.write_spec("kitepulley-keys", "links", odd.clone());
        world.time_to_service(&format!("key {odd}"));
    }
}

#[test]
fn service_returns_although_the_store_takes_no_writes() {
    let mut world = world();
    world.kill_all();
    for name in world.vms.iter().map(|vm| vm.name.clone()) {
        world.site.store.delete_object(VMS, &name);
    }
    world.site.store.set_switches(Switches { lose: u32::MAX, ..Switches::default() });
    world.time_to_service("writes are lost");
}

/// Sends requests on new connections without a pause, until the flag is cleared.
fn crowd(callers: Vec<SocketAddr>, size: usize) -> (Arc<AtomicBool>, Vec<JoinHandle<()>>) {
    let go = Arc::new(AtomicBool::new(true));
    let client = |n: usize| {
        let (go, to) = (go.clone(), callers[n % callers.len()]);
        std::thread::spawn(move || {
            let head = head("GET /safe/x", &format!("c{n}"), "Authorization: Token k\r\n");
            while go.load(Ordering::SeqCst) {
                let _ = try_ask(to, &head, b"");
                std::thread::sleep(Duration::from_millis(1));
            }
        })
    };
    let clients = (0..size).map(client).collect();
    (go, clients)
}

#[test]
fn service_returns_before_a_crowd_of_clients_that_return_at_once() {
    let mut world = world();
    let callers = world.vms.iter().map(|vm| vm.callers).collect();
    let (go, clients) = crowd(callers, 200);
    std::thread::sleep(Duration::from_millis(300));
    world.kill_all();
    let _silent = list_lost_vms(&world.site, 3);
    world.site.store.set_switches(Switches { slow_ms: 240, ..Switches::default() });
    world.time_to_service("200 clients, a slow store and lost VMs");
    go.store(false, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().expect("it ends"));
}

#[test]
fn service_returns_soon_after_the_store_does() {
    let mut world = world();
    for rejection in [Rejection::Status(503), Rejection::Reset, Rejection::Silence] {
        world.kill_all();
        world.proxy.reject(Some(rejection));
        world.vms.iter_mut().for_each(Vm::start_again);
        std::thread::sleep(Duration::from_secs(6));
        world.proxy.reject(None);
        let started = Instant::now();
        while !world.vms.iter().all(|vm| is_served(vm, "s") && vm.is_ready()) {
            let logs = || world.vms.iter().map(Vm::log_end).collect::<String>();
            assert!(started.elapsed() < RECOVER_WITHIN, "{rejection:?}\n{}", logs());
        }
        println!("{rejection:?} until 6 s after the start: {:?}", started.elapsed());
    }
}
