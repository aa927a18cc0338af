//! Checks the links of this VM to the backend servers when attempts get no response, and while no
//! server of a service can be reached ([`crate::decide::connectivity`]).

use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::{self, FutureExt};
use rand::seq::IndexedRandom;

use super::replica::Replica;
use super::server::Server;
use super::vm::Vm;
use super::{connection, tunnel};
use crate::decide::connectivity::{self, Change, Connectivity};
use crate::decide::outcome::AttemptOutcome;
use crate::unit::{Moment, Service, Span, hash};

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
        let is_doubtful = match is_failing(&vm) {
            true => {
                tokio::time::timeout(CHECK_INTERVAL, vm.links_in_doubt.notified()).await.is_ok()
            }
            false => {
                vm.links_in_doubt.notified().await;
                true
            }
        };
        check_links(&vm, is_doubtful).await;
        if !is_failing(&vm) {
            tunnel::release(&vm);
        } else if is_doubtful {
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }
}

/// Returns true if servers that this VM could not reach have to be checked again.
fn is_failing(vm: &Vm) -> bool {
    let now = vm.now();
    let fleet = vm.fleet.borrow();
    vm.connectivity.borrow().values().any(Connectivity::has_failed_check)
        || fleet.all().any(|server| server.path.is_lost() && fleet.is_eligible(server, now))
}

/// Returns true if no server of the service can be reached from this VM.
pub fn is_unreachable(vm: &Vm, service: &Service) -> bool {
    of_service(vm, service).is_unreachable()
}

/// Records that no direct connection to a server could be opened. Returns true if the fault is
/// likely to be one of this VM's own links, since another server failed alike.
pub fn on_connect_failure(vm: &Vm, replica: &Replica) -> bool {
    let server = hash::stable(&[replica.id.as_str()]);
    let mut known = vm.connectivity.borrow_mut();
    let known = known.entry(replica.service.clone()).or_default();
    known.on_connect_failure(server, vm.now());
    vm.links_in_doubt.notify_one();
    known.is_suspect(vm.now())
}

/// Records what the end of an attempt says about this VM's links; nothing if another VM relayed it.
pub fn on_attempt_end(vm: &Vm, replica: &Replica, end: AttemptOutcome, has_response: bool) {
    if vm.fleet.borrow().is_path_lost(replica) {
        return;
    }
    let (service, now) = (&replica.service, vm.now());
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
        let (lost, others) = sample_servers(vm, service);
        let servers = others.into_iter().chain(lost);
        servers.filter(|one| one.address != replica.address).take(OTHERS_PER_SERVICE)
    });
    let others: Vec<Replica> = samples.collect();
    if others.is_empty() || accepts_any(vm.settings.source, &others).await {
        return true;
    }
    vm.links_in_doubt.notify_one();
    false
}

fn of_service(vm: &Vm, service: &Service) -> Connectivity {
    vm.connectivity.borrow().get(service).copied().unwrap_or_default()
}

/// Checks the servers that this VM could not reach, and the links to the servers of all services if
/// those to one of them are in doubt. With `is_doubtful`, that includes a service without recent
/// contact.
async fn check_links(vm: &Rc<Vm>, is_doubtful: bool) {
    let started = vm.now();
    let services: Vec<Service> = vm.fleet.borrow().services().cloned().collect();
    let needs_check = |service: &&Service| {
        let links = of_service(vm, service);
        links.is_suspect(started) || (is_doubtful && links.needs_check(started))
    };
    let (doubtful, others): (Vec<&Service>, Vec<&Service>) = services.iter().partition(needs_check);
    if doubtful.is_empty() {
        let checks = services.iter().map(|service| check_lost_paths(vm, service));
        future::join_all(checks).await;
        return;
    }
    // If the links of one service are lost, those of the others may be too.
    let checked = doubtful.into_iter().chain(others).take(MAX_SERVICES);
    future::join_all(checked.map(|service| check_service(vm, service))).await;
    let known = services.iter().map(|service| of_service(vm, service));
    let has_lost_all = connectivity::has_lost_all(known);
    let is_helped = has_lost_all && finds_helper(vm, &services).await;
    let has_lost_all = has_lost_all && !is_helped;
    let is_change = vm
        .links_lost
        .send_if_modified(|lost| std::mem::replace(lost, has_lost_all) != has_lost_all);
    if is_change {
        let fields = [("lost", has_lost_all.into()), ("services", services.len().into())];
        vm.log("links to all servers", &fields);
    }
}

/// Returns true if another VM relays connections to servers of one of the services.
async fn finds_helper(vm: &Rc<Vm>, services: &[Service]) -> bool {
    for service in services {
        if tunnel::find_helper(vm, service).await {
            return true;
        }
    }
    false
}

/// Checks again servers of a service that this VM could not reach directly.
async fn check_lost_paths(vm: &Rc<Vm>, service: &Service) {
    let (lost, _) = sample_servers(vm, service);
    count_accepting(vm, &lost).await;
}

async fn check_service(vm: &Rc<Vm>, service: &Service) {
    let started = vm.now();
    let (lost, others) = sample_servers(vm, service);
    let has_failed = of_service(vm, service).has_failed_check();
    let (first, rest) = others.split_at(others.len().min(FIRST_TRIED));
    let (of_lost, of_first) =
        future::join(count_accepting(vm, &lost), count_accepting(vm, first)).await;
    // If the first servers accept, the links work. Once they are lost, most servers have to.
    let of_rest = match has_failed || of_first < first.len() {
        true => count_accepting(vm, rest).await,
        false => 0,
    };
    let (tried, accepted) = (lost.len() + others.len(), of_lost + of_first + of_rest);
    let change = {
        let mut known = vm.connectivity.borrow_mut();
        let known = known.entry(service.clone()).or_default();
        known.on_check(tried, accepted, started, vm.now())
    };
    match change {
        None => {}
        Some(Change::Lost) => {
            let fields = [("service", service.as_str().into()), ("tried", tried.into())];
            vm.log("links to servers lost", &fields);
        }
        Some(Change::Regained(lost_for)) => {
            // The failures recorded meanwhile were those of the links.
            vm.fleet.borrow_mut().clear_failures(service);
            let fields = [
                ("service", service.as_str().into()),
                ("lost_ms", lost_for.as_millis().into()),
                ("tried", tried.into()),
                ("accepted", accepted.into()),
            ];
            vm.log("links to servers regained", &fields);
        }
    }
}

/// Returns random servers of a service that may receive requests: those that this VM could not reach
/// directly, and others.
fn sample_servers(vm: &Vm, service: &Service) -> (Vec<Replica>, Vec<Replica>) {
    let now = vm.now();
    let fleet = vm.fleet.borrow();
    let (lost, others): (Vec<&Server>, Vec<&Server>) =
        fleet.eligible(service, now).partition(|server| server.path.is_lost());
    let mut rng = rand::rng();
    let mut sample = |servers: &[&Server], count: usize| -> Vec<Replica> {
        let chosen = servers.choose_multiple(&mut rng, count);
        chosen.map(|server| server.replica.clone()).collect()
    };
    let lost = sample(&lost, SAMPLE_SIZE);
    let others = sample(&others, SAMPLE_SIZE - lost.len());
    (lost, others)
}

/// Returns true if any of the servers accepts a connection.
async fn accepts_any(source: Option<IpAddr>, servers: &[Replica]) -> bool {
    let (first, others) = servers.split_at(servers.len().min(FIRST_TRIED));
    for tried in [first, others].into_iter().filter(|tried| !tried.is_empty()) {
        let connects = tried.iter().map(|server| connect(source, server).boxed_local());
        if future::select_ok(connects).await.is_ok() {
            return true;
        }
    }
    false
}

/// Returns the number of servers that accept a connection, and records for each if it does.
async fn count_accepting(vm: &Rc<Vm>, servers: &[Replica]) -> usize {
    let connects = servers.iter().map(|server| async move {
        let is_accepting = connect(vm.settings.source, server).await.is_ok();
        let mut fleet = vm.fleet.borrow_mut();
        match is_accepting {
            true => fleet.on_path_contact(server),
            false => fleet.on_path_failure(server, vm.now()),
        }
        is_accepting
    });
    future::join_all(connects).await.into_iter().filter(|accepts| *accepts).count()
}

async fn connect(source: Option<IpAddr>, server: &Replica) -> Result<(), ()> {
    let connecting = connection::connect(source, server.address);
    let connected = tokio::time::timeout(CONNECT_TIMEOUT.duration(), connecting);
    connected.await.map_err(|_| ())?.map(drop).map_err(|_| ())
}
