//! Whether one life of a backend server takes requests, from all that is known of it: what its entry and the heads of its answers
//! say, and how attempts there ended.
//!
//! What a server says of itself binds whoever heard it, and nothing overrides it: it leaves, or wants rest. What a VM only
//! concludes from failures may be wrong, and gives way where nothing else is left.

use std::fmt;

use super::outcome::AttemptOutcome;
use super::outlier::OutlierDetector;
use super::server_limit::Limit;
use crate::unit::{Moment, Span};

/// The longest rest that is believed. A server whose number is wrong is asked again after it; longer rests would be taken for an
/// outage by operators, who take such a server away.
const LONGEST_REST: Span = Span::secs(600);

/// Callers that are refused as all servers rest come back within so long after the first rest has ended, one after the other.
const SPREAD: Span = Span::millis(500);

/// A server whose rest is over gets one request at a time until it takes one. One of which nothing is heard for so long is waited for no
/// longer: heads of answers come within some ten milliseconds of a server that has room.
const TRIED_FOR: Span = Span::millis(250);

/// What the head of one answer says of its server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Signal {
    /// It leaves.
    pub draining: bool,
    /// It wants nothing for so long.
    pub backoff: Option<Span>,
}

/// Why a server is to get nothing now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unavailable {
    /// It has said, or its entry, so long ago that it leaves.
    Draining(Span),
    /// Its entry went, or a later life of it began.
    Removed,
    /// Another server answered at its address.
    AddressReused,
    /// An order empties its data centre.
    Evacuated,
    /// It wants nothing for so much longer.
    BackingOff(Span),
    /// Its rest is over, and a request that tries it is under way; the next may try it after so long.
    Probing(Span),
    /// It failed of late, and is left out for so much longer.
    Ejected(Span),
}

impl Unavailable {
    /// Whether it holds also where no other server is left. That another server has its address is only concluded, from a refusal that
    /// has other reasons too.
    pub fn is_hard(self) -> bool {
        !matches!(self, Unavailable::Ejected(_) | Unavailable::AddressReused)
    }
}

impl fmt::Display for Unavailable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Unavailable::Draining(since) => write!(f, "it said {since} ago that it leaves"),
            Unavailable::Removed => write!(f, "its entry went"),
            Unavailable::AddressReused => write!(f, "another server has its address"),
            Unavailable::Evacuated => write!(f, "an order empties its data centre"),
            Unavailable::BackingOff(left) => write!(f, "it wants rest for {left} more"),
            Unavailable::Probing(left) => {
                write!(f, "it is tried after a rest, the next may in {left}")
            }
            Unavailable::Ejected(left) => write!(f, "it is left out for {left} more"),
        }
    }
}

/// When a caller is to come back if no server takes it now, each for so much longer; `random` is from 0 to 1.
pub fn retry_after(rests: impl Iterator<Item = Span>, random: f64) -> Option<Span> {
    rests.min().map(|left| Span(left.0 + SPREAD.part(random).0))
}

/// What is known of one life of a server. A new life begins with a new one.
#[derive(Clone, Copy, Debug, Default)]
pub struct Availability {
    /// How much it takes from all VMs together.
    pub limit: Limit,
    record: OutlierDetector,
    /// Since when its entry says that it leaves.
    listed_leaving: Option<Moment>,
    /// Since when it has said so itself.
    said_leaving: Option<Moment>,
    rests_until: Option<Moment>,
    tried: Option<Moment>,
    is_another: bool,
}

impl Availability {
    /// Takes what its entry in the store says, which a later entry may take back. No entry takes back what the server said itself, since it may
    /// be of before.
    pub fn apply_entry(&mut self, ready: bool, now: Moment) {
        self.listed_leaving = (!ready).then(|| self.listed_leaving.unwrap_or(now));
    }

    /// Takes what the head of an answer says. Whether that changes anything. Of two rests the one that ends later holds, since answers on
    /// several connections overtake each other.
    pub fn observe(&mut self, said: Signal, now: Moment) -> bool {
        // What comes after a rest and asks for none ends it.
        if said.backoff.is_none() && self.rests_until.is_some_and(|until| until <= now) {
            (self.rests_until, self.tried) = (None, None);
        }
        let before = (self.said_leaving, self.rests_until);
        if said.draining {
            self.said_leaving = self.said_leaving.or(Some(now));
        }
        if let Some(rest) = said.backoff {
            let until = now + rest.min(LONGEST_REST);
            self.rests_until = self.rests_until.max(Some(until));
            self.tried = None;
        }
        before != (self.said_leaving, self.rests_until)
    }

    /// A request is sent there.
    pub fn on_send(&mut self, now: Moment) {
        if self.rests_until.is_some() {
            self.tried = Some(now);
        }
    }

    /// Another server answered at its address.
    pub fn mark_address_reused(&mut self) {
        self.is_another = true;
    }

    /// Notes how an attempt ended; `usual` is the pool's share of failures. Whether the server is left out from now on.
    pub fn record(&mut self, end: AttemptOutcome, usual: f64, now: Moment) -> bool {
        self.record.record(end, usual, now)
    }

    /// Share of its answers that were failures, of late.
    pub fn failure_rate(&self) -> f64 {
        self.record.failure_rate()
    }

    /// Whether it has said that it leaves, or its entry has.
    pub fn is_draining(&self) -> bool {
        self.leaves_since().is_some()
    }

    fn leaves_since(&self) -> Option<Moment> {
        let told = [self.said_leaving, self.listed_leaving];
        told.into_iter().flatten().min()
    }

    /// Why it is to get nothing now; what binds comes first.
    pub fn unavailable_reason(&self, now: Moment) -> Option<Unavailable> {
        let left = |until: Moment| Some(until.since(now)).filter(|left| *left > Span(0));
        let leaves = || self.leaves_since().map(|since| Unavailable::Draining(now.since(since)));
        let another = || self.is_another.then_some(Unavailable::AddressReused);
        let rests = || self.rests_until.and_then(left).map(Unavailable::BackingOff);
        let tried = || self.tried.and_then(|at| left(at + TRIED_FOR)).map(Unavailable::Probing);
        let left_out = || self.record.ejected_until().and_then(left).map(Unavailable::Ejected);
        leaves().or_else(another).or_else(rests).or_else(tried).or_else(left_out)
    }
}
