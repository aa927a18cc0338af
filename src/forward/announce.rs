//! Exchange between VMs of what backend servers announce in their responses: that they drain, and
//! their rate limits. The store lists draining servers too, but can't be read in an outage, and it
//! lists no rate limits. A VM that misses a message learns the same from the response to its next
//! request to that server.
//!
//! Each VM relays what it did not know yet, so that all VMs know of a change within some round
//! trips, at some hundred bytes for each change and neighbour. A changed rate is sent only to the
//! VMs that have a share of the rate limit.

use std::net::SocketAddr;
use std::rc::Rc;

use super::peer::{self, Message};
use super::replica::{Incarnation, Replica};
use super::vm::Vm;
use crate::decide::availability::Signal;
use crate::decide::server_limit::{Recipients, Update};
use crate::unit::{Moment, Rate, Server, Span};

/// Broadcasts that an incarnation of a server drains.
pub fn broadcast_drain(vm: &Rc<Vm>, replica: &Replica) {
    peer::broadcast(vm, &Message::ServerDraining(replica.incarnation()));
}

/// Applies the report of another VM that an incarnation of a server drains, and relays the report
/// if this VM did not know.
pub fn on_drain(vm: &Rc<Vm>, from: &str, incarnation: &Incarnation) {
    let Incarnation { server: id, started_at_ms, address } = incarnation;
    let replica = {
        let mut fleet = vm.fleet.borrow_mut();
        let server = fleet
            .get_mut(id)
            .filter(|one| one.replica.matches_incarnation(id, *started_at_ms, *address));
        let Some(server) = server else { return };
        let drain = Signal { draining: true, ..Signal::default() };
        if !server.availability.observe(drain, vm.now()) {
            return;
        }
        server.replica.clone()
    };
    let fields = [
        ("server", id.as_str().into()),
        ("born_ms", started_at_ms.unwrap_or_default().into()),
        ("from", from.into()),
    ];
    vm.log("server drain reported by peer", &fields);
    broadcast_drain(vm, &replica);
}

/// Sends what this VM knows of the rate limit of an incarnation to the VMs that need it, if an
/// update is due.
pub fn broadcast_limit(vm: &Rc<Vm>, replica: &Replica) {
    let now = vm.now();
    let report = {
        let mut fleet = vm.fleet.borrow_mut();
        fleet
            .incarnation_mut(replica)
            .and_then(|server| server.availability.rate_limit.next_announcement(now))
    };
    match report {
        Some((update, Recipients::All)) => {
            peer::broadcast(vm, &limit_message(replica, update, now))
        }
        Some((update, Recipients::Senders(rates))) => {
            let message = limit_message(replica, update, now);
            peer::send_to_senders(vm, &replica.id, rates, &message);
        }
        None => {}
    }
}

fn limit_message(replica: &Replica, update: Update, now: Moment) -> Message {
    let (server, started_at_ms, address) =
        (replica.id.clone(), replica.started_at_ms, replica.address);
    Message::ServerLimit {
        server,
        started_at_ms,
        address,
        rate: update.rate,
        age: now.since(update.as_of),
    }
}

/// Report of another VM on the rate limit of an incarnation of a server.
pub struct LimitReport<'a> {
    /// Name of the sender.
    pub from: &'a str,
    /// Id of the server.
    pub server: &'a Server,
    /// Start of the incarnation, in milliseconds since 1970 by the server's own clock.
    pub started_at_ms: Option<u64>,
    /// Address on which the server listens.
    pub address: SocketAddr,
    /// Rate limit in requests per second from all VMs together; `None` if the limit has ended.
    pub rate: Option<Rate>,
    /// Time since the server announced the rate limit or its end.
    pub age: Span,
}

/// Applies the report of another VM on a server's rate limit, and relays the report if it changes
/// what this VM knows.
pub fn on_limit(vm: &Rc<Vm>, report: &LimitReport) {
    let now = vm.now();
    let update = Update { rate: report.rate, as_of: Moment(now.0.saturating_sub(report.age.0)) };
    let (replica, changed, relays) = {
        let mut fleet = vm.fleet.borrow_mut();
        let is_same = |replica: &Replica| {
            replica.matches_incarnation(report.server, report.started_at_ms, report.address)
        };
        let server = fleet.get_mut(report.server).filter(|one| is_same(&one.replica));
        let Some(server) = server else { return };
        let limit = &mut server.availability.rate_limit;
        let before = limit.rate(now);
        let relays = limit.merge(update, now);
        (server.replica.clone(), before != limit.rate(now), relays)
    };
    if changed {
        let fields = [
            ("server", report.server.as_str().into()),
            ("born_ms", report.started_at_ms.unwrap_or_default().into()),
            ("from", report.from.into()),
            ("limit_per_s", report.rate.map_or(-1.0, |rate| rate.0).into()),
            ("age_ms", report.age.as_millis().into()),
        ];
        vm.log("server rate limit reported by peer", &fields);
    }
    if relays {
        peer::broadcast(vm, &limit_message(&replica, update, now));
    }
}
