//! Enforces the limits of backend servers at this VM. A server's limit holds for the requests of all
//! VMs together; each VM that may send to the server (a sender) has a share of its rate limit, and
//! places at it while it is brittle. [`crate::decide::server_limit`] decides which VMs may send to a
//! server, how far apart, and how many requests at a time.

use std::cell::{Cell, OnceCell};
use std::fmt;
use std::rc::Rc;

use super::kind::Kind;
use super::replica::Replica;
use super::server::{Fleet, Server};
use super::vm::Vm;
use crate::decide::cold_start;
use crate::decide::server_limit::{self, RateLimit, Reservation, Share, Throttled, places};
use crate::unit::{Moment, Rate, Service, Span, hash};

/// A VM that has just started does not know all others yet, and sends nothing to rate-limited
/// servers for this long: each VM that counts itself among a server's senders by mistake adds its
/// share to the load of the server.
const VM_DISCOVERY_TIME: Span = Span::millis(1500);

/// Updates the gauges of cold servers and of servers that announce a rate limit, by service.
pub fn update_gauges(vm: &Vm) {
    let fleet = vm.fleet.borrow();
    let now = vm.now();
    for service in fleet.services() {
        let limiter = limiter(vm, service, now);
        let (mut cold, mut limited, mut brittle) = (0, 0, 0);
        for server in fleet.of_service(service) {
            cold += usize::from(limiter.is_cold(server));
            limited += usize::from(server.availability.rate_limit.rate(now).is_some());
            brittle += usize::from(limiter.rejections(server).is_some());
        }
        vm.metrics.cold_servers.with_label_values(&[service.as_str()]).set(cold as i64);
        vm.metrics.limited_servers.with_label_values(&[service.as_str()]).set(limited as i64);
        vm.metrics.brittle_servers.with_label_values(&[service.as_str()]).set(brittle as i64);
    }
}

/// Hashes of the names of all VMs, from which the senders to a server are chosen, and the parts of
/// their shares that this one may use.
pub struct Vms {
    own: u64,
    others: Vec<u64>,
    /// Part of its own shares that this VM has not lent, from 0 to 1.
    kept: f64,
    /// VMs that have lent a part of their shares to this one, with the part.
    lenders: Vec<(u64, f64)>,
}

impl Vms {
    /// Returns this VM's share of the slots of a server.
    fn places(&self, server: &Server) -> places::Share {
        let number = hash::stable(&[server.replica.id.as_str()]);
        places::Share::of_vm(server.replica.slots as usize, number, self.own, &self.others)
    }

    /// Returns true if another VM is a sender of a server.
    fn is_sender(&self, share: &Share, server: u64, other: u64) -> bool {
        // A VM does not count against itself, so `other` may be in the list.
        let all: Vec<u64> = self.others.iter().copied().chain([self.own]).collect();
        server_limit::is_sender(share, server, other, &all)
    }
}

/// Checks the rate limits of the servers of one service at one moment.
pub struct Limiter<'a> {
    /// Rate limit that the service declares for cold servers.
    cold: Option<cold_start::ColdStart>,
    /// Rejections per second that servers of the service tolerate, if it counts as brittle.
    brittle: Option<Rate>,
    now: Moment,
    /// Returns the VMs, or `None` if this one does not know the others yet.
    find_vms: Box<dyn Fn() -> Option<Vms> + 'a>,
    vms: OnceCell<Option<Vms>>,
}

/// Returns the limiter for the servers of a service.
pub fn limiter<'a>(vm: &'a Vm, service: &'a Service, now: Moment) -> Limiter<'a> {
    let cold = vm.routes().and_then(|table| table.pool(service)?.cold_start);
    let brittle = vm.brittle_services.borrow().rejections(service, now);
    Limiter { brittle, ..Limiter::new(cold, now, move || find_vms(vm, service, now)) }
}

/// Returns all VMs, or `None` if this one does not know the others yet.
fn find_vms(vm: &Vm, service: &Service, now: Moment) -> Option<Vms> {
    let is_alone = vm.settings.links.is_none();
    let is_settled = now.since(vm.started) >= VM_DISCOVERY_TIME;
    let knows_vms = is_alone || (is_settled && vm.has_listed(Kind::Vms));
    if !knows_vms {
        return None;
    }
    let peers = vm.peers.borrow();
    let others = peers.names().map(|name| hash::stable(&[name.as_str()])).collect();
    let lending = vm.lending.borrow();
    let lending = lending.get(service);
    let kept = lending.map_or(1.0, |lending| lending.kept(now));
    let borrowed = lending.map(|lending| lending.borrowed(now)).unwrap_or_default();
    let lenders = borrowed.into_iter().map(|(name, part)| (hash::stable(&[name.as_str()]), part));
    let own = hash::stable(&[vm.settings.vm.as_str()]);
    Some(Vms { own, others, kept, lenders: lenders.collect() })
}

impl<'a> Limiter<'a> {
    /// Returns a limiter. `cold` is the rate limit that the service declares for cold servers;
    /// `find_vms` is called at most once, and only if a server has a rate limit.
    pub fn new(
        cold: Option<cold_start::ColdStart>,
        now: Moment,
        find_vms: impl Fn() -> Option<Vms> + 'a,
    ) -> Limiter<'a> {
        Limiter { cold, brittle: None, now, find_vms: Box::new(find_vms), vms: OnceCell::new() }
    }

    /// Returns true if a server is cold and the service declares a rate limit for that.
    pub fn is_cold(&self, server: &Server) -> bool {
        self.cold.is_some_and(|cold| server.is_cold(&cold, self.now))
    }

    /// Returns the rate limit of a server, if it has one; the tightest if there are several.
    pub fn rate_limit(&self, server: &Server) -> Option<RateLimit> {
        let cold = self.cold.filter(|cold| server.is_cold(cold, self.now)).map(RateLimit::from);
        let advertised = server.availability.rate_limit.rate(self.now).map(RateLimit::advertised);
        cold.into_iter().chain(advertised).reduce(RateLimit::strictest)
    }

    /// Returns true if the limits of a server allow this VM one more request now.
    pub fn allows(&self, server: &Server) -> bool {
        let has_place = self.free_places(server).is_none_or(|free| free > 0);
        self.allows_rate(server) && (has_place || self.has_spare(server))
    }

    /// Returns true if the rate limit of a server allows this VM a request now.
    fn allows_rate(&self, server: &Server) -> bool {
        let may = |limit: RateLimit| self.next(&limit, server).is_some_and(|next| next <= self.now);
        self.rate_limit(server).is_none_or(may)
    }

    /// Returns the rejections per second that a server tolerates; `None` if it is not brittle.
    pub fn rejections(&self, server: &Server) -> Option<Rate> {
        let announced = server.availability.rejection_limit.rate(self.now);
        announced.or_else(|| self.brittle.filter(|_| !server.has_responded))
    }

    /// Returns the number of requests that this VM may have at a server at a time, with places that
    /// it has borrowed; `None` if the server is not brittle.
    pub fn places(&self, server: &Server) -> Option<usize> {
        let rejections = self.rejections(server)?;
        let own = self.own_places(server).map_or(0, |own| {
            let is_full =
                server.rejected_at.is_some_and(|at| self.now.since(at) < places::EXTRA_PAUSE);
            own.places + usize::from(own.has_extra && !is_full && rejections.0 >= 1.0)
        });
        Some(own + server.loans.borrowed())
    }

    /// Returns this VM's share of the slots of a server, or `None` if it does not know the other VMs
    /// yet.
    fn own_places(&self, server: &Server) -> Option<places::Share> {
        let vms = self.vms.get_or_init(&self.find_vms).as_ref()?;
        Some(vms.places(server))
    }

    /// Returns how many more requests this VM may have at a server; `None` if the server is not
    /// brittle.
    pub fn free_places(&self, server: &Server) -> Option<usize> {
        let places = self.places(server)?;
        Some(places.saturating_sub(server.taken_places(self.now)))
    }

    /// Returns the number of places at a server that this VM may lend to others.
    pub fn lendable_places(&self, server: &Server) -> usize {
        let own = self.rejections(server).and_then(|_| self.own_places(server));
        own.map_or(0, |own| own.places.saturating_sub(server.taken_places(self.now)))
    }

    /// Returns the number of places at a server that this VM has on average if VMs lend each other
    /// all that they don't need; `None` if the server is not brittle.
    pub fn even_places(&self, server: &Server) -> Option<f64> {
        self.rejections(server)?;
        let vms = self.vms.get_or_init(&self.find_vms).as_ref();
        Some(vms.map_or(0.0, |vms| f64::from(server.replica.slots) / (vms.others.len() + 1) as f64))
    }

    /// Returns true if this VM may send a request without a place to a brittle server now.
    fn has_spare(&self, server: &Server) -> bool {
        let limit = self.rejections(server).and_then(places::spare_limit);
        let share = limit.and_then(|limit| self.share(&limit, server));
        let is_due =
            share.is_some_and(|share| server.spare.next_send(&share, self.now) <= self.now);
        is_due && server.load.estimate(self.now) < f64::from(server.replica.slots)
    }

    /// Returns when this VM may next send to a server; `None` if the server has no rate limit, or
    /// this VM is not among its senders.
    pub fn next_permit(&self, server: &Server) -> Option<Moment> {
        self.next(&self.rate_limit(server)?, server)
    }

    /// Returns when this VM may next send to a server with this rate limit; `None` if this VM is
    /// not among the server's senders.
    fn next(&self, limit: &RateLimit, server: &Server) -> Option<Moment> {
        let share = self.share(limit, server)?;
        Some(server.pacer.next_send(&share, self.now))
    }

    /// Returns this VM's share of a server's rate limit; `None` if this VM is not among the senders
    /// to the server.
    fn share(&self, limit: &RateLimit, server: &Server) -> Option<Share> {
        let vms = self.vms.get_or_init(&self.find_vms).as_ref()?;
        let share = Share::new(limit, vms.others.len() + 1);
        let number = hash::stable(&[server.replica.id.as_str()]);
        let own = match server_limit::is_sender(&share, number, vms.own, &vms.others) {
            true => vms.kept,
            false => 0.0,
        };
        let lenders =
            vms.lenders.iter().filter(|(lender, _)| vms.is_sender(&share, number, *lender));
        let borrowed: Vec<f64> = lenders.map(|(_, part)| *part).collect();
        share.with_parts(limit, own, &borrowed)
    }

    /// Reserves this VM's next send to a server. Returns `None` if the server has no rate limit, or
    /// this VM is not among its senders.
    pub fn reserve(&self, server: &mut Server) -> Option<Reservation> {
        let share = self.share(&self.rate_limit(server)?, server)?;
        Some(server.pacer.reserve(&share, self.now))
    }
}

/// Permit to send one request to one incarnation of a server. Dropping an unused permit releases
/// its reservation.
pub struct Permit {
    vm: Rc<Vm>,
    replica: Replica,
    /// The reserved send; `None` if the server has no rate limit, this VM is not among its senders,
    /// or the permit was used.
    reservation: Cell<Option<Reservation>>,
}

impl Permit {
    /// Reserves the next send to a server. The permit holds no reservation if the server has no
    /// rate limit, or this VM is not among its senders.
    pub fn reserve(vm: &Rc<Vm>, fleet: &mut Fleet, replica: &Replica, now: Moment) -> Permit {
        let limiter = limiter(vm, &replica.service, now);
        let reservation = fleet.incarnation_mut(replica).and_then(|server| limiter.reserve(server));
        Permit { vm: vm.clone(), replica: replica.clone(), reservation: Cell::new(reservation) }
    }

    /// Returns the incarnation of the server that the permit is for.
    pub fn server(&self) -> &Replica {
        &self.replica
    }

    /// Uses the permit; called right before the request is sent.
    ///
    /// # Errors
    /// `Throttled` if the request may not be sent now: the rate limit became known after the server
    /// had been selected.
    pub fn consume(&self, now: Moment) -> Result<(), Throttled> {
        let mut fleet = self.vm.fleet.borrow_mut();
        let Some(server) = fleet.incarnation_mut(&self.replica) else { return Ok(()) };
        let limiter = limiter(&self.vm, &self.replica.service, now);
        // This request counts as open already.
        let is_beyond = limiter.places(server).filter(|most| server.taken_places(now) > *most);
        if let Some(places) = is_beyond {
            if !limiter.has_spare(server) {
                return Err(Throttled::Places(places));
            }
            server.spare.on_send(now);
        }
        if self.reservation.take().is_none() {
            if let (Some(limit), false) = (limiter.rate_limit(server), limiter.allows_rate(server))
            {
                return Err(Throttled::Rate(limit));
            }
            limiter.reserve(server);
        }
        server.pacer.on_send(now);
        Ok(())
    }
}

impl fmt::Debug for Permit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "permit for {}", self.replica.id)
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
