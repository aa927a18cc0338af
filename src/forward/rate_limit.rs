//! Which backend servers that bear only so much this VM may send to, and when, as [`crate::decide::server_limit`] says.

use std::cell::{Cell, OnceCell};
use std::collections::HashSet;
use std::fmt;
use std::rc::Rc;

use super::kind::Kind;
use super::replica::Replica;
use super::server::{Fleet, Server};
use super::vm::Vm;
use crate::decide::cold_start;
use crate::decide::server_limit::{self, RateLimit, Reservation, Share, Throttled};
use crate::unit::{Moment, Service, Span, hash};

/// A VM that has just started does not know all others yet, and sends nothing to servers that bear only so much: each VM that counts
/// itself among the senders by mistake adds its part to what they get.
const VM_DISCOVERY_TIME: Span = Span::millis(1500);

/// Counts the cold servers of each service and those that name a limit, for the metrics page.
pub fn update_gauges(vm: &Vm) {
    let fleet = vm.fleet.borrow();
    let now = vm.now();
    let services: HashSet<&Service> = fleet.all().map(|server| &server.replica.service).collect();
    for service in services {
        let limiter = limiter(vm, service, now);
        let of_service = || fleet.all().filter(|server| server.replica.service == *service);
        let cold = of_service().filter(|server| limiter.is_cold(server)).count();
        let limited = of_service().filter(|one| one.availability.limit.rate(now).is_some()).count();
        vm.metrics.cold_servers.with_label_values(&[service.as_str()]).set(cold as i64);
        vm.metrics.limited_servers.with_label_values(&[service.as_str()]).set(limited as i64);
    }
}

/// The VMs that may be senders, by the hashes of their names.
pub struct Vms {
    own: u64,
    others: Vec<u64>,
}

/// What one decision needs to know of servers that bear only so much.
pub struct Limiter<'a> {
    cold: Option<cold_start::ColdStart>,
    now: Moment,
    find_vms: Box<dyn Fn() -> Option<Vms> + 'a>,
    vms: OnceCell<Option<Vms>>,
}

/// What is asked of the servers of a service at a moment.
pub fn limiter<'a>(vm: &'a Vm, service: &Service, now: Moment) -> Limiter<'a> {
    let cold = vm.routes().and_then(|table| table.pool(service)?.cold_start);
    Limiter::new(cold, now, move || find_vms(vm, now))
}

/// All VMs, if this one knows the others yet.
fn find_vms(vm: &Vm, now: Moment) -> Option<Vms> {
    let is_alone = vm.settings.links.is_none();
    let is_settled = now.since(vm.started) >= VM_DISCOVERY_TIME;
    let knows_vms = is_alone || (is_settled && vm.has_listed(Kind::Vms));
    if !knows_vms {
        return None;
    }
    let peers = vm.peers.borrow();
    let others = peers.names().map(|name| hash::stable(&[name.as_str()])).collect();
    Some(Vms { own: hash::stable(&[vm.settings.vm.as_str()]), others })
}

impl<'a> Limiter<'a> {
    /// With what a service declares of cold servers, and how to find the VMs, which is asked only where a server bears only so much.
    pub fn new(
        cold: Option<cold_start::ColdStart>,
        now: Moment,
        find_vms: impl Fn() -> Option<Vms> + 'a,
    ) -> Limiter<'a> {
        Limiter { cold, now, find_vms: Box::new(find_vms), vms: OnceCell::new() }
    }

    /// Whether a server is cold.
    pub fn is_cold(&self, server: &Server) -> bool {
        self.cold.is_some_and(|cold| server.is_cold(&cold, self.now))
    }

    /// What a server bears, if that is bounded; the tightest of several.
    pub fn rate_limit(&self, server: &Server) -> Option<RateLimit> {
        let cold = self.cold.filter(|cold| server.is_cold(cold, self.now)).map(RateLimit::from);
        let limit = server.availability.limit.rate(self.now).map(RateLimit::advertised);
        cold.into_iter().chain(limit).reduce(RateLimit::strictest)
    }

    /// Whether a server may get a request now.
    pub fn allows(&self, server: &Server) -> bool {
        let may = |bound: RateLimit| self.next(&bound, server).is_some_and(|next| next <= self.now);
        self.rate_limit(server).is_none_or(may)
    }

    /// When this VM may send to a bounded server next; none if that is for others to do, or its bound is gone.
    pub fn next_permit(&self, server: &Server) -> Option<Moment> {
        self.next(&self.rate_limit(server)?, server)
    }

    fn next(&self, bound: &RateLimit, server: &Server) -> Option<Moment> {
        let share = self.share(bound, server)?;
        Some(server.pacer.next_send(&share, self.now))
    }

    /// This VM's part of what a server bears; none if it has none.
    fn share(&self, bound: &RateLimit, server: &Server) -> Option<Share> {
        let vms = self.vms.get_or_init(&self.find_vms).as_ref()?;
        let share = Share::new(bound, vms.others.len() + 1);
        let number = hash::stable(&[server.replica.id.as_str()]);
        server_limit::is_sender(&share, number, vms.own, &vms.others).then_some(share)
    }

    /// Takes this VM's next turn at a server, if the server bears only so much and this VM has a part of that.
    pub fn reserve(&self, server: &mut Server) -> Option<Reservation> {
        let share = self.share(&self.rate_limit(server)?, server)?;
        Some(server.pacer.reserve(&share, self.now))
    }
}

/// The turn of one request at one life of a server; it is given back if nothing was sent on it.
pub struct Permit {
    vm: Rc<Vm>,
    replica: Replica,
    reservation: Cell<Option<Reservation>>,
}

impl Permit {
    /// Takes the next turn at a server; an empty one if the server bears anything, or this VM has no part of what it bears.
    pub fn reserve(vm: &Rc<Vm>, fleet: &mut Fleet, replica: &Replica, now: Moment) -> Permit {
        let limiter = limiter(vm, &replica.service, now);
        let reservation = fleet.incarnation_mut(replica).and_then(|server| limiter.reserve(server));
        Permit { vm: vm.clone(), replica: replica.clone(), reservation: Cell::new(reservation) }
    }

    /// The life of the server.
    pub fn server(&self) -> &Replica {
        &self.replica
    }

    /// Its request is about to leave.
    ///
    /// # Errors
    /// `Throttled` if it may not: what the server bears was heard after the request had been meant for it, and it is not this VM's turn.
    pub fn consume(&self, now: Moment) -> Result<(), Throttled> {
        let mut fleet = self.vm.fleet.borrow_mut();
        let Some(server) = fleet.incarnation_mut(&self.replica) else { return Ok(()) };
        let limiter = limiter(&self.vm, &self.replica.service, now);
        if self.reservation.take().is_none() {
            if let (Some(bound), false) = (limiter.rate_limit(server), limiter.allows(server)) {
                return Err(Throttled(bound));
            }
            limiter.reserve(server);
        }
        server.pacer.on_send(now);
        Ok(())
    }
}

impl fmt::Debug for Permit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "turn at {}", self.replica.id)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let Some(reservation) = self.reservation.take() else { return };
        if let Some(server) = self.vm.fleet.borrow_mut().incarnation_mut(&self.replica) {
            server.pacer.release(reservation);
        }
    }
}
