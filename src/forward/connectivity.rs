//! Checks the links of this VM to the backend servers when attempts get no response, and while no
//! server of a service can be reached ([`crate::decide::connectivity`]).

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::{self, FutureExt};
use rand::seq::IndexedRandom;
use tokio::net::TcpStream;

use super::replica::Replica;
use super::vm::Vm;
use crate::decide::connectivity::{self, Change, Connectivity};
use crate::decide::outcome::AttemptOutcome;
use crate::unit::{Moment, Service, Span};

/// Timeout of a connection; the servers are a few milliseconds away.
const CONNECT_TIMEOUT: Span = Span::millis(250);

/// Time without a response after which the links are in doubt.
const MAX_SILENCE: Duration = Duration::from_millis(300);

/// Interval between two checks while no server of a service can be reached.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Maximum number of servers of a service that are tried in a check. Links to only some of them may
/// be lost.
const SAMPLE_SIZE: usize = 16;

/// Number of servers of the sample that are tried first; usually one of them accepts.
const FIRST_TRIED: usize = 2;

/// Maximum number of servers of each service that are tried to tell a crash from lost links.
const OTHERS_PER_SERVICE: usize = 4;

/// Maximum number of services that are checked at a time.
const MAX_SERVICES: usize = 16;

/// Checks the links whenever they are in doubt, and repeatedly while checks fail, until the process
/// ends.
pub async fn run(vm: Rc<Vm>) {
    loop {
        let is_failing = vm.connectivity.borrow().values().any(Connectivity::has_failed_check);
        match is_failing {
            true => tokio::time::sleep(CHECK_INTERVAL).await,
            false => vm.links_in_doubt.notified().await,
        }
        check_links(&vm).await;
    }
}

/// Returns true if no server of the service can be reached from this VM.
pub fn is_unreachable(vm: &Vm, service: &Service) -> bool {
    of_service(vm, service).is_unreachable()
}

/// Records what the end of an attempt says about this VM's links.
pub fn on_attempt_end(vm: &Vm, service: &Service, end: AttemptOutcome, has_response: bool) {
    let now = vm.now();
    if has_response {
        record_response(vm, service, now);
        return;
    }
    let is_silent =
        matches!(end, AttemptOutcome::NotSent | AttemptOutcome::Broken | AttemptOutcome::Late);
    if is_silent && of_service(vm, service).needs_check(now) {
        vm.links_in_doubt.notify_one();
    }
}

/// Puts the links in doubt once an attempt has had no response for [`MAX_SILENCE`]. A request on a
/// connection that was open before a silent cut would otherwise notice it only at its deadline.
pub async fn watch_silence(vm: &Vm, service: &Service) {
    tokio::time::sleep(MAX_SILENCE).await;
    if of_service(vm, service).needs_check(vm.now()) {
        vm.links_in_doubt.notify_one();
    }
}

fn record_response(vm: &Vm, service: &Service, now: Moment) {
    let mut known = vm.connectivity.borrow_mut();
    match known.get_mut(service) {
        Some(known) => known.on_response(now),
        None => known.entry(service.clone()).or_default().on_response(now),
    }
}

/// Returns true if this VM has reached a server other than `replica` since the moment `since`, or
/// reaches one now. Returns true as well if it knows no other.
pub async fn reaches_others(vm: &Vm, replica: &Replica, since: Moment) -> bool {
    if vm.connectivity.borrow().values().any(|known| known.had_contact_after(since)) {
        return true;
    }
    let services: Vec<Service> = vm.fleet.borrow().services().cloned().collect();
    let samples = services.iter().flat_map(|service| {
        let servers = sample_servers(vm, service).into_iter();
        servers.filter(|one| *one != replica.address).take(OTHERS_PER_SERVICE)
    });
    let others: Vec<SocketAddr> = samples.collect();
    if others.is_empty() || accepts_any(&others).await {
        return true;
    }
    vm.links_in_doubt.notify_one();
    false
}

fn of_service(vm: &Vm, service: &Service) -> Connectivity {
    vm.connectivity.borrow().get(service).copied().unwrap_or_default()
}

/// Checks the links to the servers of all services if one of them had no recent contact.
async fn check_links(vm: &Vm) {
    let started = vm.now();
    let services: Vec<Service> = vm.fleet.borrow().services().cloned().collect();
    let (doubtful, others): (Vec<&Service>, Vec<&Service>) =
        services.iter().partition(|service| of_service(vm, service).needs_check(started));
    if doubtful.is_empty() {
        return;
    }
    // If the links of one service are lost, those of the others may be too.
    let checked = doubtful.into_iter().chain(others).take(MAX_SERVICES);
    future::join_all(checked.map(|service| check_service(vm, service))).await;
    let known = services.iter().map(|service| of_service(vm, service));
    let has_lost_all = connectivity::has_lost_all(known);
    let is_change = vm
        .links_lost
        .send_if_modified(|lost| std::mem::replace(lost, has_lost_all) != has_lost_all);
    if is_change {
        let fields = [("lost", has_lost_all.into()), ("services", services.len().into())];
        vm.log("links to all servers", &fields);
    }
}

async fn check_service(vm: &Vm, service: &Service) {
    let started = vm.now();
    let servers = sample_servers(vm, service);
    let has_failed = of_service(vm, service).has_failed_check();
    // Any server shows that the links work. Once they are lost, most have to.
    let accepted = match has_failed {
        true => count_accepting(&servers).await,
        false => usize::from(accepts_any(&servers).await),
    };
    let change = {
        let mut known = vm.connectivity.borrow_mut();
        let known = known.entry(service.clone()).or_default();
        known.on_check(servers.len(), accepted, started, vm.now())
    };
    match change {
        None => {}
        Some(Change::Lost) => {
            let fields = [("service", service.as_str().into()), ("tried", servers.len().into())];
            vm.log("links to servers lost", &fields);
        }
        Some(Change::Regained(lost_for)) => {
            // The failures recorded meanwhile were those of the links.
            vm.fleet.borrow_mut().clear_failures(service);
            let fields = [
                ("service", service.as_str().into()),
                ("lost_ms", lost_for.as_millis().into()),
                ("tried", servers.len().into()),
                ("accepted", accepted.into()),
            ];
            vm.log("links to servers regained", &fields);
        }
    }
}

/// Returns the addresses of random servers of a service that may receive requests.
fn sample_servers(vm: &Vm, service: &Service) -> Vec<SocketAddr> {
    let now = vm.now();
    let fleet = vm.fleet.borrow();
    let servers: Vec<SocketAddr> =
        fleet.eligible(service, now).map(|one| one.replica.address).collect();
    servers.choose_multiple(&mut rand::rng(), SAMPLE_SIZE).copied().collect()
}

/// Returns true if any of the servers accepts a connection.
async fn accepts_any(servers: &[SocketAddr]) -> bool {
    let (first, others) = servers.split_at(servers.len().min(FIRST_TRIED));
    for tried in [first, others].into_iter().filter(|tried| !tried.is_empty()) {
        let connects = tried.iter().map(|address| connect(*address).boxed_local());
        if future::select_ok(connects).await.is_ok() {
            return true;
        }
    }
    false
}

/// Returns the number of servers that accept a connection.
async fn count_accepting(servers: &[SocketAddr]) -> usize {
    let connects = servers.iter().map(|address| connect(*address));
    future::join_all(connects).await.into_iter().filter(Result::is_ok).count()
}

async fn connect(address: SocketAddr) -> Result<(), ()> {
    let connected = tokio::time::timeout(CONNECT_TIMEOUT.duration(), TcpStream::connect(address));
    connected.await.map_err(|_| ())?.map(drop).map_err(|_| ())
}
