//! Decides through which other VM a VM tunnels its connections to servers that it can't reach
//! itself, and which tunnels a VM relays for others.
//!
//! A VM that needs help asks others, which offer the services whose servers they reach. An offer is
//! valid for a short time, so that a VM that is gone or has lost its own links is not chosen for
//! long. Only direct connections are offered, so a tunnel has one hop.

use std::collections::HashMap;

use crate::unit::{Moment, Service, Span, Vm};

/// Time between two requests for offers while help is needed.
pub const REQUEST_INTERVAL: Span = Span::millis(500);

/// Time for which an offer is valid; it outlasts the loss of two answers.
const OFFER_TTL: Span = Span::millis(1600);

/// Time for which requests wait for a first offer.
pub const SEARCH_TIME: Span = Span::millis(150);

/// Time for which help counts as needed after a connection failed.
const NEED_TTL: Span = Span::secs(2);

/// Factor on the cost of a helper in another data centre, whose bytes travel further.
const REMOTE_COST: f64 = 2.0;

/// Random part of the cost of a helper, so that VMs that received the same offers don't all choose
/// the same one.
const COST_JITTER: f64 = 0.5;

/// Maximum number of tunnels that a VM relays at a time; each takes two descriptors and two buffers.
const MAX_RELAYED: usize = 256;

/// Offer of another VM.
#[derive(Clone, Debug, PartialEq)]
pub struct Offer {
    /// The services whose servers the VM reaches.
    pub services: Vec<Service>,
    /// True if the VM is in the data centre of the one that asked.
    pub is_local: bool,
    /// Load that the VM reports, in tunnels.
    pub open: u32,
    /// When the offer arrived.
    pub at: Moment,
}

impl Offer {
    fn is_valid(&self, now: Moment) -> bool {
        now.since(self.at) < OFFER_TTL
    }

    /// Returns the cost of one more tunnel; `random` is uniform from 0 to 1.
    fn cost(&self, random: f64) -> f64 {
        let distance = if self.is_local { 1.0 } else { REMOTE_COST };
        f64::from(self.open + 1) * distance * (1.0 + COST_JITTER * random)
    }
}

/// What a VM knows of other VMs that may relay its connections.
#[derive(Debug, Default)]
pub struct Helpers {
    offers: HashMap<Vm, Offer>,
    needed_at: Option<Moment>,
    asked_at: Option<Moment>,
    /// Until when requests wait for an offer.
    search_ends: Moment,
}

impl Helpers {
    /// Records that help is needed now. Returns true if others should be asked for offers at once.
    ///
    /// Requests wait for an offer when help was not needed before. If none comes, later ones don't
    /// wait until others can help again.
    pub fn on_need(&mut self, now: Moment) -> bool {
        if !self.is_needed(now) {
            self.search_ends = now + SEARCH_TIME;
        }
        self.needed_at = Some(now);
        self.is_request_due(now)
    }

    fn is_needed(&self, now: Moment) -> bool {
        self.needed_at.is_some_and(|at| now.since(at) < NEED_TTL)
    }

    /// Returns true if others should be asked for offers now.
    pub fn is_request_due(&mut self, now: Moment) -> bool {
        let is_needed = self.is_needed(now);
        let is_due = self.asked_at.is_none_or(|at| now.since(at) >= REQUEST_INTERVAL);
        if is_needed && is_due {
            self.asked_at = Some(now);
        }
        is_needed && is_due
    }

    /// Returns until when a request may wait for an offer; `None` if the search is over.
    pub fn search_ends(&self, now: Moment) -> Option<Moment> {
        Some(self.search_ends).filter(|end| *end > now)
    }

    /// Records the offer of another VM; one without services withdraws it.
    pub fn on_offer(&mut self, from: Vm, offer: Offer) {
        match offer.services.is_empty() {
            true => drop(self.offers.remove(&from)),
            false => drop(self.offers.insert(from, offer)),
        }
    }

    /// Removes the offer of a VM that did not answer. If it was the last one, others are asked at
    /// once, and requests wait for their offers.
    pub fn remove(&mut self, helper: &Vm, now: Moment) {
        self.offers.remove(helper);
        if self.offers.is_empty() {
            self.asked_at = None;
            self.search_ends = now + SEARCH_TIME;
        }
    }

    /// Returns true if a VM offers to relay to servers of the service.
    pub fn has_offer(&self, service: &Service, now: Moment) -> bool {
        self.valid(service, now).next().is_some()
    }

    /// Returns true if the offer of a VM is valid.
    pub fn is_helper(&self, helper: &Vm, now: Moment) -> bool {
        self.offers.get(helper).is_some_and(|offer| offer.is_valid(now))
    }

    /// Returns the VM with the lowest cost for a tunnel to a server of the service, and counts the
    /// tunnel. `random` returns numbers uniform from 0 to 1.
    pub fn choose(
        &mut self,
        service: &Service,
        now: Moment,
        mut random: impl FnMut() -> f64,
    ) -> Option<Vm> {
        let costs = self.valid(service, now).map(|(vm, offer)| (offer.cost(random()), vm));
        let helper = costs.min_by(|(one, _), (other, _)| one.total_cmp(other))?.1.clone();
        if let Some(offer) = self.offers.get_mut(&helper) {
            offer.open += 1;
        }
        Some(helper)
    }

    fn valid(&self, service: &Service, now: Moment) -> impl Iterator<Item = (&Vm, &Offer)> {
        let offers = self.offers.iter();
        offers.filter(move |(_, offer)| offer.is_valid(now) && offer.services.contains(service))
    }

    /// Forgets all offers: the VM's own links work again.
    pub fn clear(&mut self) {
        self.offers.clear();
        self.needed_at = None;
    }
}

/// Number of tunnels that a VM which lacks processor time adds to those that it reports, so that
/// others are chosen if there are any.
const STALL_LOAD: u32 = 64;

/// State of a VM that decides what it relays for others.
#[derive(Clone, Copy, Debug)]
pub struct Relaying {
    /// Number of tunnels that it relays.
    pub open: usize,
    /// True if it has had no processor time lately: its own callers come first.
    pub is_stalled: bool,
    /// True if it stops, or does not know the servers yet.
    pub is_unavailable: bool,
}

impl Relaying {
    /// Returns true if the VM may relay one more tunnel.
    pub fn accepts(&self) -> bool {
        !self.is_unavailable && self.open < MAX_RELAYED
    }

    /// Returns the load that it reports with an offer, in tunnels.
    pub fn reported_load(&self) -> u32 {
        self.open as u32 + if self.is_stalled { STALL_LOAD } else { 0 }
    }
}
