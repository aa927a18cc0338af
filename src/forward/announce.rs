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
use crate::decide::availability::{Availability, Signal};
use crate::decide::server_limit::{KnownLimit, Recipients, Update};
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

/// Which limit of a server a report is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitKind {
    /// Requests per second.
    Requests,
    /// Rejections per second that a brittle server tolerates.
    Rejections,
}

impl LimitKind {
    /// Returns what is known of the limit.
    fn known(self, availability: &mut Availability) -> &mut KnownLimit {
        match self {
            LimitKind::Requests => &mut availability.rate_limit,
            LimitKind::Rejections => &mut availability.rejection_limit,
        }
    }
}

/// Sends what this VM knows of a limit of an incarnation to the VMs that need it, if an update is
/// due.
pub fn broadcast_limit(vm: &Rc<Vm>, replica: &Replica, kind: LimitKind) {
    let now = vm.now();
    let report = {
        let mut fleet = vm.fleet.borrow_mut();
        let server = fleet.incarnation_mut(replica);
        server.and_then(|server| kind.known(&mut server.availability).next_announcement(now))
    };
    match report {
        Some((update, Recipients::Senders(rates))) if kind == LimitKind::Requests => {
            let message = limit_message(replica, kind, update, now);
            peer::send_to_senders(vm, &replica.id, rates, &message);
        }
        Some((update, _)) => peer::broadcast(vm, &limit_message(replica, kind, update, now)),
        None => {}
    }
}

fn limit_message(replica: &Replica, kind: LimitKind, update: Update, now: Moment) -> Message {
    let (server, started_at_ms, address) =
        (replica.id.clone(), replica.started_at_ms, replica.address);
    let (rate, age) = (update.rate, now.since(update.as_of));
    match kind {
        LimitKind::Requests => Message::ServerLimit { server, started_at_ms, address, rate, age },
        LimitKind::Rejections => {
            Message::ServerBrittle { server, started_at_ms, address, rate, age }
        }
    }
}

/// Report of another VM on a limit of an incarnation of a server.
pub struct LimitReport<'a> {
    /// Which limit.
    pub kind: LimitKind,
    /// Name of the sender.
    pub from: &'a str,
    /// Id of the server.
    pub server: &'a Server,
    /// Start of the incarnation, in milliseconds since 1970 by the server's own clock.
    pub started_at_ms: Option<u64>,
    /// Address on which the server listens.
    pub address: SocketAddr,
    /// The limit, per second and for all VMs together; `None` if it has ended.
    pub rate: Option<Rate>,
    /// Time since the server announced the rate limit or its end.
    pub age: Span,
}

/// Applies the report of another VM on a limit of a server, and relays the report if it changes
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
        let limit = report.kind.known(&mut server.availability);
        let before = limit.rate(now);
        let relays = limit.merge(update, now);
        (server.replica.clone(), before != limit.rate(now), relays)
    };
    if let (LimitKind::Rejections, Some(rejections)) = (report.kind, report.rate) {
        let mut services = vm.brittle_services.borrow_mut();
        services.on_announcement(&replica.service, rejections, update.as_of);
    }
    if changed {
        let event = match report.kind {
            LimitKind::Requests => "server rate limit reported by peer",
            LimitKind::Rejections => "brittle server reported by peer",
        };
        let fields = [
            ("server", report.server.as_str().into()),
            ("born_ms", report.started_at_ms.unwrap_or_default().into()),
            ("from", report.from.into()),
            ("limit_per_s", report.rate.map_or(-1.0, |rate| rate.0).into()),
            ("age_ms", report.age.as_millis().into()),
        ];
        vm.log(event, &fields);
    }
    if relays {
        peer::broadcast(vm, &limit_message(&replica, report.kind, update, now));
    }
}
