//! Test fixture for a fleet whose VMs differ in the address from which they connect to servers, so
//! that servers can be cut off from some of them.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use kitepulley::standin::replica::{Action, Replica};
use serde_json::json;

use super::{Site, Vm, are_ready};

/// Time in which started VMs discover each other.
const DISCOVERY_TIME: Duration = Duration::from_millis(2500);

/// Events of a stream.
const EVENTS: u64 = 6;

/// Held by the fleet that runs: each uses much of the machine.
static ALONE: Mutex<()> = Mutex::new(());

/// A site whose VMs differ in the address from which they connect to servers.
pub struct Fleet {
    _alone: MutexGuard<'static, ()>,
    _site: Site,
    pub vms: Vec<Vm>,
    /// Servers of the services `api` and `other`.
    pub servers: [Vec<Replica>; 2],
}

/// Which servers some VMs lose.
#[derive(Clone, Copy, PartialEq)]
pub enum Cut {
    All,
    AllButOne,
    OneService,
}

pub fn source(vm: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 1, vm as u8 + 1)
}

impl Fleet {
    pub fn start(vms: usize) -> Fleet {
        let alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
        let mut site = Site::new()
            .route("safe", "idempotent", json!({}))
            .route("once", "non_idempotent", json!({}))
            .route("stream", "streaming", json!({"stream_resume": true}))
            .route("other", "non_idempotent", json!({"service": "other"}));
        site.publish();
        let servers = ["api", "other"].map(|service| {
            let start = |at: usize| {
                site.replica_with(&format!("{service}{at}"), json!({"service": service}))
            };
            (0..if service == "api" { 8 } else { 4 }).map(start).collect::<Vec<Replica>>()
        });
        for server in servers.iter().flatten() {
            server.set_default_action(Action::Events {
                last: EVENTS,
                cut_after: None,
                confidence: None,
                pause: Duration::from_millis(20),
            });
        }
        for server in &servers[1] {
            server.set_default_action(Action::Slow(Duration::from_millis(20)));
        }
        let vms: Vec<Vm> = (0..vms).map(|vm| site.start_from(source(vm))).collect();
        are_ready(&vms);
        thread::sleep(DISCOVERY_TIME);
        Fleet { _alone: alone, _site: site, vms, servers }
    }

    /// Cuts the first `count` VMs off.
    pub fn cut(&self, cut: Cut, count: usize, reset: bool) {
        let callers: Vec<Ipv4Addr> = (0..count).map(source).collect();
        let (api, other) = (&self.servers[0], &self.servers[1]);
        let spared = usize::from(cut == Cut::AllButOne);
        for server in &api[spared..] {
            server.cut_off(&callers, reset);
        }
        if cut != Cut::OneService {
            for server in &other[spared..] {
                server.cut_off(&callers, reset);
            }
        }
    }

    pub fn heal(&self) {
        for server in self.servers.iter().flatten() {
            server.cut_off(&[], false);
        }
    }

    /// Returns how often each request ran.
    pub fn runs(&self) -> HashMap<String, usize> {
        let mut runs = HashMap::new();
        for request in self.servers.iter().flatten().flat_map(Replica::requests) {
            let id = request.header("x-attempt-id").unwrap_or_default().to_owned();
            *runs.entry(id).or_default() += 1;
        }
        runs
    }

    /// Returns how often each request ran that may run only once.
    pub fn runs_of_once(&self) -> HashMap<String, usize> {
        let mut runs = HashMap::new();
        for request in self.servers.iter().flatten().flat_map(Replica::requests) {
            let is_once = ["POST /once", "POST /other"];
            if is_once.iter().any(|start| request.line.starts_with(start)) {
                let id = request.header("x-attempt-id").unwrap_or_default().to_owned();
                *runs.entry(id).or_default() += 1;
            }
        }
        runs
    }

    pub fn logs(&self) -> String {
        self.vms.iter().map(Vm::log_end).collect()
    }
}
