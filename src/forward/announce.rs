//! What servers said of themselves, as VMs tell one another: that they leave, and which limits they name. The store tells of leaving too, but not
//! while it is away, and nothing else tells of limits; a VM that is not told finds out by a request that it sends there.
//!
//! Each VM passes on what is news to it, so that all know it within some round trips: some hundred bytes for each change and neighbour. That a limit is
//! another is told to those alone that have a part of it.

use std::net::SocketAddr;
use std::rc::Rc;

use super::peer::{self, Message};
use super::replica::{Incarnation, Replica};
use super::vm::Vm;
use crate::decide::availability::Signal;
use crate::decide::server_limit::{Recipients, Update};
use crate::unit::{Moment, Rate, Server, Span};

/// Tells the other VMs that a life of a server leaves.
pub fn broadcast_drain(vm: &Rc<Vm>, replica: &Replica) {
    peer::broadcast(vm, &Message::ServerDraining(replica.incarnation()));
}

/// Takes another VM's word that a life of a server leaves, and passes it on if it is news.
pub fn on_drain(vm: &Rc<Vm>, from: &str, incarnation: &Incarnation) {
    let Incarnation { server: id, started_at_ms: born, address } = incarnation;
    let replica = {
        let mut fleet = vm.fleet.borrow_mut();
        let server =
            fleet.get_mut(id).filter(|one| one.replica.matches_incarnation(id, *born, *address));
        let Some(server) = server else { return };
        let leaves = Signal { draining: true, ..Signal::default() };
        if !server.availability.observe(leaves, vm.now()) {
            return;
        }
        server.replica.clone()
    };
    let fields = [
        ("server", id.as_str().into()),
        ("born_ms", born.unwrap_or_default().into()),
        ("from", from.into()),
    ];
    vm.log("server said to leave", &fields);
    broadcast_drain(vm, &replica);
}

/// Tells other VMs what this one knows of the limit of a life of a server, if any are to be told.
pub fn broadcast_limit(vm: &Rc<Vm>, replica: &Replica) {
    let now = vm.now();
    let report = {
        let mut fleet = vm.fleet.borrow_mut();
        fleet
            .incarnation_mut(replica)
            .and_then(|server| server.availability.limit.next_announcement(now))
    };
    match report {
        Some((news, Recipients::All)) => peer::broadcast(vm, &limit_message(replica, news, now)),
        Some((news, Recipients::Senders(rates))) => {
            let message = limit_message(replica, news, now);
            peer::send_to_senders(vm, &replica.id, rates, &message);
        }
        None => {}
    }
}

fn limit_message(replica: &Replica, news: Update, now: Moment) -> Message {
    let (server, born, address) = (replica.id.clone(), replica.started_at_ms, replica.address);
    Message::ServerLimit { server, born, address, rate: news.rate, age: now.since(news.as_of) }
}

/// Another VM's word of the limit of a life of a server.
pub struct LimitReport<'a> {
    /// Who says it.
    pub from: &'a str,
    /// The server.
    pub server: &'a Server,
    /// When that life began, by its own clock.
    pub born: Option<u64>,
    /// Where it listens.
    pub address: SocketAddr,
    /// The limit, if it names one.
    pub rate: Option<Rate>,
    /// How long ago it said so.
    pub age: Span,
}

/// Takes another VM's word of a limit, and passes it on if it is news.
pub fn on_limit(vm: &Rc<Vm>, report: &LimitReport) {
    let now = vm.now();
    let news = Update { rate: report.rate, as_of: Moment(now.0.saturating_sub(report.age.0)) };
    let (replica, changed, relays) = {
        let mut fleet = vm.fleet.borrow_mut();
        let is_same = |replica: &Replica| {
            replica.matches_incarnation(report.server, report.born, report.address)
        };
        let server = fleet.get_mut(report.server).filter(|one| is_same(&one.replica));
        let Some(server) = server else { return };
        let limit = &mut server.availability.limit;
        let before = limit.rate(now);
        let relays = limit.merge(news, now);
        (server.replica.clone(), before != limit.rate(now), relays)
    };
    if changed {
        let fields = [
            ("server", report.server.as_str().into()),
            ("born_ms", report.born.unwrap_or_default().into()),
            ("from", report.from.into()),
            ("limit_per_s", report.rate.map_or(-1.0, |rate| rate.0).into()),
            ("age_ms", report.age.as_millis().into()),
        ];
        vm.log("server said to have a limit", &fields);
    }
    if relays {
        peer::broadcast(vm, &limit_message(&replica, news, now));
    }
}
