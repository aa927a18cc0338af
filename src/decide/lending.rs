//! Lends shares of rate limits from VMs with few requests to VMs with many.
//!
//! The rate limit of a server is divided among VMs beforehand. A VM whose share is used up asks the
//! others, which lend it a part of theirs for a short time. A share is in use at one VM at any time:
//! the lender stops using a part before it tells the borrower, and the lease of the borrower, which
//! began when that asked, ends before the lender uses the part again. So the shares of all VMs never
//! exceed the limit, whatever messages are lost or late and whichever VMs are cut off or gone.

use std::collections::HashMap;

use crate::unit::{Moment, Rate, Span, Vm};

/// Time for which a share is lent.
pub const LEASE_TIME: Span = Span::millis(1500);

/// Time between two requests for shares by a VM that needs them.
pub const REQUEST_INTERVAL: Span = Span::millis(500);

/// Number of requests without a loan after which a VM asks less often: the others need their shares.
const MAX_VAIN_REQUESTS: u32 = 6;

/// Time between two requests after that.
const VAIN_REQUEST_INTERVAL: Span = Span::secs(4);

/// Time after the end of a lease until the lender uses the share again, for clocks that run at
/// different rates and requests that are being sent.
const LEASE_MARGIN: Span = Span::millis(100);

/// Largest part of a share that is lent. The rest is for callers of the lender.
const MAX_LENT: f64 = 0.75;

/// Smallest part of a share that is worth a lease.
const MIN_LENT: f64 = 0.05;

/// Length of the buckets in which requests are counted.
const DEMAND_WINDOW: Span = Span::secs(1);

/// Rate of requests over the last second or two.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    started: Moment,
    current: f64,
    previous: f64,
}

impl Demand {
    /// Counts a request.
    pub fn record(&mut self, now: Moment) {
        self.rotate(now);
        self.current += 1.0;
    }

    /// Returns the rate of requests.
    pub fn rate(&mut self, now: Moment) -> Rate {
        self.rotate(now);
        let elapsed = now.since(self.started).as_secs() / DEMAND_WINDOW.as_secs();
        Rate((self.previous * (1.0 - elapsed) + self.current) / DEMAND_WINDOW.as_secs())
    }

    fn rotate(&mut self, now: Moment) {
        let elapsed = now.since(self.started);
        if elapsed < DEMAND_WINDOW {
            return;
        }
        let is_adjacent = elapsed < Span(2 * DEMAND_WINDOW.0);
        self.previous = if is_adjacent { self.current } else { 0.0 };
        self.current = 0.0;
        self.started = Moment(now.0 - now.0 % DEMAND_WINDOW.0);
    }
}

/// A part of a VM's share that another VM uses for a time.
#[derive(Clone, Debug)]
struct Lease {
    /// The other VM: the borrower, or the lender.
    vm: Vm,
    /// Part of the lender's share, from 0 to 1.
    part: f64,
    until: Moment,
}

/// The shares of one VM in the rate limits of a service, and the parts of them that it has lent or
/// borrowed.
#[derive(Clone, Debug, Default)]
pub struct Lending {
    /// Requests of this VM's callers.
    pub demand: Demand,
    lent: Vec<Lease>,
    borrowed: HashMap<Vm, Lease>,
    /// When each other VM last asked for shares.
    asked: HashMap<Vm, Moment>,
    throttled_at: Option<Moment>,
    /// When this VM last asked for shares.
    requested_at: Option<Moment>,
    /// Number of its requests since the last loan, or since it was first throttled.
    vain_requests: u32,
}

impl Lending {
    /// Records that a request found no server because this VM's shares are used up.
    pub fn on_throttled(&mut self, now: Moment) {
        if !self.is_throttled(now) {
            self.vain_requests = 0;
        }
        self.throttled_at = Some(now);
    }

    fn is_throttled(&self, now: Moment) -> bool {
        self.throttled_at.is_some_and(|at| now.since(at) < LEASE_TIME)
    }

    /// Returns this VM's demand if it needs shares of others and asks for them now.
    pub fn next_request(&mut self, now: Moment) -> Option<Rate> {
        let is_needed = self.is_throttled(now) || !self.borrowed(now).is_empty();
        let interval = match self.vain_requests {
            0..MAX_VAIN_REQUESTS => REQUEST_INTERVAL,
            MAX_VAIN_REQUESTS.. => VAIN_REQUEST_INTERVAL,
        };
        let is_due = self.requested_at.is_none_or(|at| now.since(at) >= interval);
        if !is_needed || !is_due {
            return None;
        }
        self.requested_at = Some(now);
        self.vain_requests += 1;
        Some(self.demand.rate(now))
    }

    /// Handles the request of another VM with this demand. Returns the part of this VM's shares that
    /// is lent to it until [`LEASE_TIME`] after it asked; 0 if none is.
    ///
    /// A VM lends only to one with at least twice its own demand, and nothing while it needs shares
    /// itself. Several borrowers get equal parts.
    pub fn lend(&mut self, to: &Vm, demand: Rate, now: Moment) -> f64 {
        self.lent.retain(|lease| now <= lease.until);
        self.asked.retain(|_, at| now.since(*at) < LEASE_TIME);
        self.asked.insert(to.clone(), now);
        let own = self.demand.rate(now).0;
        if self.is_throttled(now) || demand.0 <= 0.0 || own * 2.0 >= demand.0 {
            return 0.0;
        }
        let lendable = MAX_LENT * (1.0 - 2.0 * own / demand.0);
        let left = MAX_LENT - self.lent_to_others(to);
        let part = (lendable / self.asked.len() as f64).min(left);
        if part < MIN_LENT {
            return 0.0;
        }
        let until = now + LEASE_TIME + LEASE_MARGIN;
        self.lent.push(Lease { vm: to.clone(), part, until });
        part
    }

    /// Returns the part of the shares that other VMs than this one may still use.
    fn lent_to_others(&self, borrower: &Vm) -> f64 {
        total_lent(self.lent.iter().filter(|lease| lease.vm != *borrower))
    }

    /// Records the part of its shares that another VM lends, which this VM asked for at
    /// `requested_at`.
    pub fn on_lent(&mut self, by: Vm, part: f64, requested_at: Moment, now: Moment) {
        let until = requested_at + LEASE_TIME;
        if !(0.0..=MAX_LENT).contains(&part) || requested_at > now || until <= now {
            return;
        }
        self.vain_requests = 0;
        let known = self.borrowed.get(&by);
        if known.is_none_or(|known| known.until <= until) {
            self.borrowed.insert(by.clone(), Lease { vm: by, part, until });
        }
        self.borrowed.retain(|_, lease| now < lease.until);
    }

    /// Returns the part of its own shares that this VM may use.
    pub fn kept(&self, now: Moment) -> f64 {
        1.0 - total_lent(self.lent.iter().filter(|lease| now <= lease.until))
    }

    /// Returns the VMs whose shares this VM may use, with the part of each.
    pub fn borrowed(&self, now: Moment) -> Vec<(&Vm, f64)> {
        let leases = self.borrowed.values().filter(|lease| now < lease.until);
        leases.map(|lease| (&lease.vm, lease.part)).collect()
    }
}

/// Returns the part of a VM's shares that these leases allow others to use. Of several leases of one
/// borrower, which replace each other, the largest counts.
fn total_lent<'a>(leases: impl Iterator<Item = &'a Lease>) -> f64 {
    let mut parts = HashMap::<&Vm, f64>::new();
    for lease in leases {
        let part = parts.entry(&lease.vm).or_default();
        *part = part.max(lease.part);
    }
    parts.values().sum()
}
