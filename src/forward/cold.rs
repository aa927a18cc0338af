//! Which cold backend servers this VM may send to, and when, as [`crate::decide::cold`] says.

use std::cell::OnceCell;
use std::collections::HashSet;

use super::follow::Kind;
use super::server::Server;
use super::vm::Vm;
use crate::decide::cold::{self, Bound, Part};
use crate::unit::{Moment, Service, Span, hash};

/// A VM that has just started does not know all others yet, and sends nothing to cold servers: each VM that counts itself
/// among the senders by mistake adds a request a second.
const KNOWS_VMS_AFTER: Span = Span::millis(1500);

/// Counts the cold servers of each service, for the metrics page.
pub fn count(vm: &Vm) {
    let fleet = vm.fleet.borrow();
    let services: HashSet<&Service> = fleet.all().map(|server| &server.replica.service).collect();
    for service in services {
        let gate = Gate::new(vm, service, vm.now());
        let of_service = fleet.all().filter(|server| server.replica.service == *service);
        let cold = of_service.filter(|server| gate.is_cold(server)).count();
        vm.metrics.cold.with_label_values(&[service.as_str()]).set(cold as i64);
    }
}

/// What one choice of a server needs to know of cold ones.
pub struct Gate<'a> {
    vm: &'a Vm,
    bound: Option<Bound>,
    now: Moment,
    senders: OnceCell<Option<Senders>>,
}

/// The VMs that may be senders.
struct Senders {
    part: Part,
    own: u64,
    others: Vec<u64>,
}

impl<'a> Gate<'a> {
    /// The gate before the servers of a service.
    pub fn new(vm: &'a Vm, service: &Service, now: Moment) -> Gate<'a> {
        let bound = vm.routes().and_then(|table| table.pool(service)?.cold);
        Gate { vm, bound, now, senders: OnceCell::new() }
    }

    /// Whether a server is cold, so that its requests are counted.
    pub fn is_cold(&self, server: &Server) -> bool {
        self.bound.is_some_and(|bound| server.is_cold(&bound, self.now))
    }

    /// Whether a server may get a request now.
    pub fn lets(&self, server: &Server) -> bool {
        !self.is_cold(server) || self.turn(server).is_some_and(|turn| turn <= self.now)
    }

    /// When this VM may send to a cold server next; none if that is for others to do.
    pub fn turn(&self, server: &Server) -> Option<Moment> {
        let senders = self.senders()?;
        let number = hash::stable(&[server.replica.id.as_str()]);
        let is_sender = cold::is_sender(&senders.part, number, senders.own, &senders.others);
        is_sender.then(|| server.turns.next(self.now))
    }

    /// Counts a request to a server, which takes this VM's turn if it is cold.
    pub fn count(&self, server: &mut Server) {
        if !self.is_cold(server) {
            return;
        }
        if let Some(part) = self.part() {
            server.turns.take(&part, self.now);
        }
    }

    /// This VM's part of the rate of one cold server; none if it does not know the other VMs yet.
    pub fn part(&self) -> Option<Part> {
        self.senders().map(|senders| senders.part)
    }

    fn senders(&self) -> Option<&Senders> {
        self.senders.get_or_init(|| self.find_senders()).as_ref()
    }

    fn find_senders(&self) -> Option<Senders> {
        let (vm, bound) = (self.vm, self.bound?);
        let is_alone = vm.settings.links.is_none();
        let is_settled = self.now.since(vm.started) >= KNOWS_VMS_AFTER;
        let knows_vms = is_alone || (is_settled && vm.has_listed(Kind::Vms));
        if !knows_vms {
            return None;
        }
        let peers = vm.peers.borrow();
        let others: Vec<u64> = peers.names().map(|name| hash::stable(&[name.as_str()])).collect();
        let own = hash::stable(&[vm.settings.vm.as_str()]);
        Some(Senders { part: Part::new(&bound, others.len() + 1), own, others })
    }
}
