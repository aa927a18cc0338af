//! Availability of one incarnation of a backend server, derived from its entry, the headers of its
//! responses and the outcome of attempts.
//!
//! What a server announces about itself (that it is draining, or asks for a backoff) binds every VM
//! that received it and is never overridden. What a VM only infers from failures may be wrong, and
//! is ignored where no other server is left.

use std::fmt;

use super::outcome::AttemptOutcome;
use super::outlier::OutlierDetector;
use super::server_limit::KnownLimit;
use crate::unit::{Moment, Span};

/// The longest backoff that is honoured. A server that sends a wrong number gets requests again
/// after it; operators would take a longer backoff for an outage and remove the server.
const MAX_BACKOFF: Span = Span::secs(600);

/// Callers that are refused because all servers back off are spread over this time after the first
/// backoff ends, so that they don't all return at once.
const RETRY_SPREAD: Span = Span::millis(500);

/// A server whose backoff is over gets one request at a time until it accepts one. A probe without
/// a response counts for this long only: response headers of a server that has room arrive within
/// some ten milliseconds.
const PROBE_TIMEOUT: Span = Span::millis(250);

/// What the headers of one response say about the state of its server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Signal {
    /// True if the server is draining and accepts no new requests.
    pub draining: bool,
    /// How long the server asks to get no requests, if it does.
    pub backoff: Option<Span>,
}

/// Why a server may not receive requests now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unavailable {
    /// It announced, or its entry did, this long ago that it is draining.
    Draining(Span),
    /// Its entry was removed, or a later incarnation started.
    Removed,
    /// Another server answered at its address.
    AddressReused,
    /// An operator's order evacuates its data centre.
    Evacuated,
    /// It asked for a backoff, which lasts this much longer.
    BackingOff(Span),
    /// Its backoff is over and a probe request is under way; the next may follow after this time.
    Probing(Span),
    /// It failed recently and stays ejected for this much longer.
    Ejected(Span),
}

impl Unavailable {
    /// Returns true if the reason holds even where no other server is left. That another server
    /// uses its address is only inferred, from a refusal that can have other causes.
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

/// Returns when a refused caller should retry, given how long each server stays unavailable;
/// `random` is between 0 and 1.
pub fn retry_after(backoffs: impl Iterator<Item = Span>, random: f64) -> Option<Span> {
    backoffs.min().map(|left| Span(left.0 + RETRY_SPREAD.mul_f64(random).0))
}

/// What is known about one incarnation of a server. A new incarnation starts with an empty state.
#[derive(Clone, Copy, Debug, Default)]
pub struct Availability {
    /// Rate limit that the server advertises to all VMs together.
    pub rate_limit: KnownLimit,
    outliers: OutlierDetector,
    /// Since when its entry in the store marks it as draining.
    entry_draining_since: Option<Moment>,
    /// Since when the server itself has announced that it is draining.
    signalled_draining_since: Option<Moment>,
    backoff_until: Option<Moment>,
    probed_at: Option<Moment>,
    address_reused: bool,
}

impl Availability {
    /// Applies its entry in the store, which a later entry may revert. No entry reverts what the
    /// server itself announced, since the entry may be older.
    pub fn apply_entry(&mut self, ready: bool, now: Moment) {
        self.entry_draining_since = (!ready).then(|| self.entry_draining_since.unwrap_or(now));
    }

    /// Applies the headers of a response and returns true if they change anything. Of two backoffs
    /// the later end holds, since responses on several connections overtake each other.
    pub fn observe(&mut self, signal: Signal, now: Moment) -> bool {
        // A response after the backoff that asks for no other one ends it.
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

    /// Records that a request is sent to the server.
    pub fn on_send(&mut self, now: Moment) {
        if self.backoff_until.is_some() {
            self.probed_at = Some(now);
        }
    }

    /// Records that another server answered at its address.
    pub fn mark_address_reused(&mut self) {
        self.address_reused = true;
    }

    /// Records the outcome of an attempt; `pool_failure_rate` is that of the whole pool. Returns
    /// true if the server is ejected as a result.
    pub fn record(&mut self, end: AttemptOutcome, pool_failure_rate: f64, now: Moment) -> bool {
        self.outliers.record(end, pool_failure_rate, now)
    }

    /// Returns the recent share of its responses that were failures.
    pub fn failure_rate(&self) -> f64 {
        self.outliers.failure_rate()
    }

    /// Returns true if the server or its entry announced that it is draining.
    pub fn is_draining(&self) -> bool {
        self.draining_since().is_some()
    }

    fn draining_since(&self) -> Option<Moment> {
        let announced = [self.signalled_draining_since, self.entry_draining_since];
        announced.into_iter().flatten().min()
    }

    /// Returns why the server may not receive requests now, hard reasons first.
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
