//! Lends places at brittle servers to other VMs, and borrows some for requests that wait. The rules
//! are in [`crate::decide::server_limit::loans`].

use std::net::SocketAddr;
use std::rc::Rc;

use rand::seq::IteratorRandom;

use super::event::Event;
use super::queue::{Borrower, PlaceQueue};
use crate::decide::server_limit::loans::{self, ASKED_VMS, REQUEST_TTL};
use crate::forward::Vm;
use crate::forward::peer::{self, Message};
use crate::forward::rate_limit;
use crate::forward::replica::Incarnation;
use crate::forward::server::{Fleet, Server};
use crate::unit::{Moment, Service, Span, Vm as Name, hash};

/// Maximum number of servers that are searched for a place to lend.
const MAX_SEARCHED: usize = 64;

/// Time between two looks for places that nobody returned, and for requests that are too old.
const SWEEP_INTERVAL: Span = Span::millis(50);

/// Handles events of places until the process ends.
pub async fn run(vm: Rc<Vm>) {
    let Some(mut events) = vm.place_events.take_receiver() else { return };
    let mut ticks = tokio::time::interval(SWEEP_INTERVAL.duration());
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            event = events.recv() => match event {
                Some(event) => on_event(&vm, event),
                None => return,
            },
            _ = ticks.tick(), if has_loans(&vm) => sweep(&vm),
        }
    }
}

/// Returns true if places are borrowed, or other VMs want to borrow some.
fn has_loans(vm: &Vm) -> bool {
    vm.place_queues.borrow().values().any(|queue| queue.has_loans())
}

fn on_event(vm: &Rc<Vm>, event: Event) {
    match event {
        Event::Needed(service) => ask(vm, &service),
        Event::Freed(replica) => exchange(vm, &replica.service),
        Event::Request { from, address, service, sent_at } => {
            let received_at = vm.now();
            let borrower = Borrower { vm: from, address, sent_at, received_at };
            on_request(vm, &service, borrower);
        }
        Event::Answer { from, address, place, requested_at } => {
            on_answer(vm, from, address, place, requested_at);
        }
        Event::Return { from, place } => on_return(vm, &from, &place),
    }
}

/// Asks VMs that have places at a server of the service to lend one.
fn ask(vm: &Rc<Vm>, service: &Service) {
    let now = vm.now();
    let queue = vm.place_queue(service);
    let targets: Vec<(Name, SocketAddr)> = {
        let peers = vm.peers.borrow();
        let lenders = queue.lenders.borrow();
        let owners = owners(vm, service, now);
        let known = owners.into_iter().filter_map(|name| Some((peers.address(&name)?, name)));
        let asked = known.filter(|(_, name)| lenders.may_ask(name, now));
        let asked = asked.choose_multiple(&mut rand::rng(), ASKED_VMS);
        asked.into_iter().map(|(address, name)| (name, address)).collect()
    };
    for (name, address) in targets {
        queue.lenders.borrow_mut().on_asked(name, now);
        let message = Message::PlaceRequest { service: service.clone(), sent_at: now };
        peer::send(vm, address, message);
    }
}

/// Returns the other VMs that have places at a server of the service that is drawn at random.
fn owners(vm: &Vm, service: &Service, now: Moment) -> Vec<Name> {
    let fleet = vm.fleet.borrow();
    let limiter = rate_limit::limiter(vm, service, now);
    let brittle = fleet
        .of_service(service)
        .filter(|server| fleet.is_eligible(server, now) && limiter.rejections(server).is_some());
    let Some(server) = brittle.choose(&mut rand::rng()) else { return Vec::new() };
    let slots = server.replica.slots as usize;
    let number = hash::stable(&[server.replica.id.as_str()]);
    let own = &vm.settings.vm;
    let peers = vm.peers.borrow();
    let all = peers.names().chain([own]).map(|name| (hash::stable(&[name.as_str()]), name));
    let owners = loans::owners(slots, number, all);
    owners.into_iter().filter(|name| *name != own).cloned().collect()
}

/// Handles the request of another VM for a place.
fn on_request(vm: &Rc<Vm>, service: &Service, borrower: Borrower) {
    let is_brittle = {
        let limiter = rate_limit::limiter(vm, service, vm.now());
        let fleet = vm.fleet.borrow();
        fleet.of_service(service).any(|server| limiter.rejections(server).is_some())
    };
    if !is_brittle {
        answer(vm, &borrower, None);
        return;
    }
    vm.place_queue(service).borrowers.borrow_mut().push(borrower);
    exchange(vm, service);
}

/// Returns borrowed places that are not needed, and lends own ones that are free.
fn exchange(vm: &Rc<Vm>, service: &Service) {
    let queue = vm.place_queue(service);
    if queue.borrowed.get() > 0 {
        return_places(vm, service, &queue);
    }
    while !queue.has_waiting() && !queue.borrowers.borrow().is_empty() {
        let now = vm.now();
        let Some(place) = lend(vm, service, &queue, now) else { return };
        let borrower = queue.borrowers.borrow_mut().remove(0);
        answer(vm, &borrower, Some(place));
    }
}

/// Lends a free place to the VM that asked first. Returns the server at which it is.
fn lend(vm: &Vm, service: &Service, queue: &PlaceQueue, now: Moment) -> Option<Incarnation> {
    let borrowers = queue.borrowers.borrow();
    let borrower = &borrowers.first()?.vm;
    let free = {
        let fleet = vm.fleet.borrow();
        let limiter = rate_limit::limiter(vm, service, now);
        let is_available = |server: &Server| {
            fleet.is_eligible(server, now) && server.availability.unavailable_reason(now).is_none()
        };
        let searched = fleet.of_service(service).choose_multiple(&mut rand::rng(), MAX_SEARCHED);
        let is_free =
            |server: &&Server| is_available(server) && limiter.lendable_places(server) > 0;
        searched.into_iter().find(is_free)?.replica.clone()
    };
    vm.fleet.borrow_mut().incarnation_mut(&free)?.loans.lend(borrower.clone(), now);
    Some(free.incarnation())
}

/// Answers the request of another VM for a place.
fn answer(vm: &Rc<Vm>, borrower: &Borrower, place: Option<Incarnation>) {
    let outcome = if place.is_some() { "lent" } else { "declined" };
    vm.metrics.place_loans.with_label_values(&[outcome]).inc();
    if let Some(place) = &place {
        log(vm, "place lent", &borrower.vm, place);
    }
    let message = Message::PlaceAnswer { place, requested_at: borrower.sent_at };
    peer::send(vm, borrower.address, message);
}

/// Handles the answer of another VM to a request for a place.
fn on_answer(
    vm: &Rc<Vm>,
    from: Name,
    address: SocketAddr,
    place: Option<Incarnation>,
    requested_at: Moment,
) {
    let now = vm.now();
    for queue in vm.place_queues.borrow().values() {
        queue.lenders.borrow_mut().on_answer(&from, now);
    }
    let Some(place) = place else { return };
    let service = {
        let mut fleet = vm.fleet.borrow_mut();
        let server = incarnation_mut(&mut fleet, &place);
        server.map(|server| {
            server.loans.borrow(from.clone(), requested_at, now);
            server.replica.service.clone()
        })
    };
    let Some(service) = service else {
        peer::send(vm, address, Message::PlaceReturn { place });
        return;
    };
    vm.metrics.place_loans.with_label_values(&["borrowed"]).inc();
    log(vm, "place borrowed", &from, &place);
    let queue = vm.place_queue(&service);
    queue.borrowed.set(queue.borrowed.get() + 1);
    return_places(vm, &service, &queue);
    queue.wake();
}

/// Handles a place that another VM returns.
fn on_return(vm: &Rc<Vm>, from: &Name, place: &Incarnation) {
    let service = {
        let mut fleet = vm.fleet.borrow_mut();
        let Some(server) = incarnation_mut(&mut fleet, place) else { return };
        server.loans.on_returned(from);
        server.replica.service.clone()
    };
    vm.place_queue(&service).wake();
    exchange(vm, &service);
}

/// Returns the borrowed places of a service that are not needed any more.
fn return_places(vm: &Rc<Vm>, service: &Service, queue: &PlaceQueue) {
    let now = vm.now();
    let mut returned = Vec::new();
    let unused: Vec<_> = {
        let fleet = vm.fleet.borrow();
        let limiter = rate_limit::limiter(vm, service, now);
        let borrowed = fleet.of_service(service).filter(|server| server.loans.borrowed() > 0);
        // Of a server that is not brittle any more, all are unused.
        let unused = |server: &Server| limiter.free_places(server).unwrap_or(usize::MAX);
        borrowed.map(|server| (server.replica.clone(), unused(server))).collect()
    };
    let mut left = 0;
    for (replica, mut unused) in unused {
        let mut fleet = vm.fleet.borrow_mut();
        let Some(server) = fleet.incarnation_mut(&replica) else { continue };
        while let Some(lender) = server.loans.next_return(unused, queue.has_waiting(), now) {
            unused = unused.saturating_sub(1);
            returned.push((lender, replica.incarnation()));
        }
        left += server.loans.borrowed();
    }
    queue.borrowed.set(left);
    for (lender, place) in returned {
        let address = vm.peers.borrow().address(&lender);
        if let Some(address) = address {
            peer::send(vm, address, Message::PlaceReturn { place });
        }
    }
}

/// Returns places whose time is up, lends those that have become free without an event, and declines
/// requests that are too old.
fn sweep(vm: &Rc<Vm>) {
    let now = vm.now();
    let queues: Vec<(Service, Rc<PlaceQueue>)> = {
        let queues = vm.place_queues.borrow();
        let used = queues.iter().filter(|(_, queue)| queue.has_loans());
        used.map(|(service, queue)| (service.clone(), queue.clone())).collect()
    };
    for (service, queue) in queues {
        exchange(vm, &service);
        let is_late = |borrower: &mut Borrower| now.since(borrower.received_at) >= REQUEST_TTL;
        let late: Vec<Borrower> = queue.borrowers.borrow_mut().extract_if(.., is_late).collect();
        for borrower in late {
            answer(vm, &borrower, None);
        }
    }
}

fn incarnation_mut<'a>(fleet: &'a mut Fleet, place: &Incarnation) -> Option<&'a mut Server> {
    let Incarnation { server, started_at_ms, address } = place;
    let known = fleet.get_mut(server)?;
    known.replica.matches_incarnation(server, *started_at_ms, *address).then_some(known)
}

fn log(vm: &Vm, event: &str, other: &Name, place: &Incarnation) {
    let fields = [("peer", other.as_str().into()), ("server", place.server.as_str().into())];
    vm.log(event, &fields);
}
