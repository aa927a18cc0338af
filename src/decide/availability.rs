//! Decides if one incarnation (process lifetime) of a backend server may get requests, from its
//! entry in the platform's store, the headers of its responses and the outcome of attempts.
//!
//! What a server announces about itself (that it is draining, or asks for a backoff) binds every VM
//! that received it and is never overridden. What a VM only infers from failures may be wrong, and
//! is ignored if no other server is left.

use std::fmt;

use super::outcome::AttemptOutcome;
use super::outlier::OutlierDetector;
use super::server_limit::KnownLimit;
use crate::unit::{Moment, Span};

/// Maximum backoff that a VM grants a server. A server that asks for a longer one by mistake gets
/// requests again after this time; operators would take a longer backoff for an outage and remove
/// the server.
const MAX_BACKOFF: Span = Span::secs(600);

/// Callers that are refused because all servers back off are told to retry at random times within
/// this span after the first backoff ends, so that they don't all return at once.
const RETRY_SPREAD: Span = Span::millis(500);

/// After its backoff a server gets one request at a time, a probe, until it accepts one. If a probe
/// has no response after this time, the next may follow: response headers of a server that has room
/// arrive within some ten milliseconds.
const PROBE_TIMEOUT: Span = Span::millis(250);

/// What the headers of one response say about the state of its server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Signal {
    /// True if the server is draining and accepts no new requests.
    pub draining: bool,
    /// Time for which the server asks to get no requests; none if it does not ask.
    pub backoff: Option<Span>,
}

/// Why a server may not receive requests now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unavailable {
    /// The server, or its entry in the store, announced this long ago that it is draining.
    Draining(Span),
    /// The server's entry was removed from the store, or a later incarnation of the server started.
    Removed,
    /// Another server answered at the address of this one.
    AddressReused,
    /// An operator's order evacuates the data centre of the server.
    Evacuated,
    /// The server asked for a backoff, which lasts this much longer.
    BackingOff(Span),
    /// The server's backoff is over and a probe request is under way; the next may follow after
    /// this time.
    Probing(Span),
    /// Attempts at the server failed recently, and it stays ejected for this much longer.
    Ejected(Span),
}

impl Unavailable {
    /// Returns true if the server may not be used even if no other server is left. `Ejected` is
    /// only inferred from failures, and `AddressReused` from a refusal that can have other causes,
    /// so they are not hard.
    pub fn is_hard(self) -> bool {
        !matches!(self, Unavailable::Ejected(_) | Unavailable::AddressReused)
    }
}

impl fmt::Display for Unavailable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Unavailable::Draining(since) => {
                write!(f, "the server announced {since} ago that it is draining")
            }
            Unavailable::Removed => write!(f, "the server's entry was removed"),
            Unavailable::AddressReused => write!(f, "another server has its address now"),
            Unavailable::Evacuated => write!(f, "its data centre is being evacuated"),
            Unavailable::BackingOff(left) => {
                write!(f, "the server asked for a backoff, {left} left")
            }
            Unavailable::Probing(left) => {
                write!(f, "a probe after its backoff is under way, the next may follow in {left}")
            }
            Unavailable::Ejected(left) => {
                write!(f, "the server is ejected after failures, {left} left")
            }
        }
    }
}

/// Returns the time after which a refused caller should retry, given how much longer each server
/// backs off; `random`, uniform from 0 to 1, spreads the callers. None if `backoffs` is empty.
pub fn retry_after(backoffs: impl Iterator<Item = Span>, random: f64) -> Option<Span> {
    backoffs.min().map(|left| Span(left.0 + RETRY_SPREAD.mul_f64(random).0))
}

/// What one VM knows about the availability of one incarnation of a server. A new incarnation
/// starts with an empty state.
#[derive(Clone, Copy, Debug, Default)]
pub struct Availability {
    /// Rate limit that the server advertises in response headers, for all VMs together.
    pub rate_limit: KnownLimit,
    /// Rejections per second beyond which the server announces that it fails.
    pub rejection_limit: KnownLimit,
    outliers: OutlierDetector,
    /// Time since which the server's entry in the store marks it as draining.
    entry_draining_since: Option<Moment>,
    /// Time since which the server itself has announced that it is draining.
    signalled_draining_since: Option<Moment>,
    backoff_until: Option<Moment>,
    probed_at: Option<Moment>,
    address_reused: bool,
}

impl Availability {
    /// Applies the server's entry in the store: an entry that is not `ready` marks the server as
    /// draining, and a later one may revert that. No entry reverts what the server itself
    /// announced, since the entry may be older.
    pub fn apply_entry(&mut self, ready: bool, now: Moment) {
        self.entry_draining_since = (!ready).then(|| self.entry_draining_since.unwrap_or(now));
    }

    /// Applies the headers of a response and returns true if they change the server's drain or
    /// backoff. Of two backoffs the one that ends later counts, since responses on several
    /// connections overtake each other.
    pub fn observe(&mut self, signal: Signal, now: Moment) -> bool {
        // A response after the end of the backoff that asks for no further one clears it.
        if signal.backoff.is_none() && self.backoff_until.is_some_and(|until| until <= now) {
            (self.backoff_until, self.probed_at) = (None, None);
        }
        let previous = (self.signalled_draining_since, self.backoff_until);
        if signal.draining {
            self.signalled_draining_since = self.signalled_draining_since.or(Some(now));
        }
        if let Some(backoff) = signal.backoff {
            let until = now + backoff.min(MAX_BACKOFF);
            self.backoff_until = self.backoff_until.max(Some(until));
            self.probed_at = None;
        }
        previous != (self.signalled_draining_since, self.backoff_until)
    }

    /// Records that a request is sent to the server; during or after a backoff the request counts
    /// as a probe.
    pub fn on_send(&mut self, now: Moment) {
        if self.backoff_until.is_some() {
            self.probed_at = Some(now);
        }
    }

    /// Records that another server answered at the address of this one.
    pub fn mark_address_reused(&mut self) {
        self.address_reused = true;
    }

    /// Records the outcome of an attempt at the server; `pool_failure_rate` is the recent share of
    /// failures at all servers of its pool. Returns true if the server is ejected as a result.
    pub fn record(&mut self, end: AttemptOutcome, pool_failure_rate: f64, now: Moment) -> bool {
        self.outliers.record(end, pool_failure_rate, now)
    }

    /// Clears the failures of attempts, and ends an ejection that followed from them.
    pub fn clear_failures(&mut self) {
        self.outliers = OutlierDetector::default();
    }

    /// Returns the recent share of the server's responses that were failures, from 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.outliers.failure_rate()
    }

    /// Returns true if the server or its entry announced that it is draining.
    pub fn is_draining(&self) -> bool {
        self.draining_since().is_some()
    }

    /// Returns when the server or its entry first announced that the server is draining.
    fn draining_since(&self) -> Option<Moment> {
        let announced = [self.signalled_draining_since, self.entry_draining_since];
        announced.into_iter().flatten().min()
    }

    /// Returns the first reason that applies why the server may not receive requests now, or none
    /// if it may.
    pub fn unavailable_reason(&self, now: Moment) -> Option<Unavailable> {
        let left = |until: Moment| Some(until.since(now)).filter(|left| *left > Span(0));
        let draining =
            || self.draining_since().map(|since| Unavailable::Draining(now.since(since)));
        let reused = || self.address_reused.then_some(Unavailable::AddressReused);
        let backing_off = || self.backoff_until.and_then(left).map(Unavailable::BackingOff);
        let probing =
            || self.probed_at.and_then(|at| left(at + PROBE_TIMEOUT)).map(Unavailable::Probing);
        let ejected = || self.outliers.ejected_until().and_then(left).map(Unavailable::Ejected);
        draining().or_else(reused).or_else(backing_off).or_else(probing).or_else(ejected)
    }
}
