//! Lease on a duty, which one VM at a time performs for the whole fleet.
//!
//! The lease is an object in the platform's store that is only written on condition of its last
//! revision. The platform that receives the calls of a duty does not compare fencing tokens, so the
//! holder itself must stop in time:
//!
//! - The holder counts the lease from the moment at which it sent the write, and sends no call that
//!   could arrive after its end.
//! - Another process counts it from the moment at which it read the object, which is later, and
//!   takes over only if the object has not changed since then.
//!
//! So two holders never act at the same time, and a VM that lost the duty and takes it over again
//! acts at least one duration after it last did.

use crate::unit::{Era, Fence, Moment, Span};

/// Relative difference of the rates of two clocks that is tolerated.
const MAX_CLOCK_DRIFT: f64 = 0.02;

/// Margin for the resolution of clocks and timers.
const TIMER_MARGIN: Span = Span::millis(100);

/// Bits of a fencing token below the era. A store that is restored from a backup forgets the tokens
/// that were given out since the backup; its new era keeps the next ones above them.
const FENCE_BITS_PER_ERA: u32 = 20;

/// Durations that all VMs use for a lease.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// Time from a write of the lease until another VM may act.
    pub duration: Span,
    /// Longest time from the decision to send a call until it arrives.
    pub call_time: Span,
}

/// What one process knows of the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The object in the store was not read, or a write of it had no answer.
    Unknown,
    /// Another process held the lease when the object was read.
    Other { fence: Fence, expires_at: Moment },
    /// This process holds the lease.
    Own { fence: Fence, renewed_at: Moment },
}

/// The lease as one process knows it.
#[derive(Clone, Copy, Debug)]
pub struct Lease {
    terms: Terms,
    state: State,
}

impl Lease {
    /// Returns a lease of which nothing is known yet.
    pub fn new(terms: Terms) -> Lease {
        Lease { terms, state: State::Unknown }
    }

    /// Records that the object in the store is a write of this process, sent at `sent_at`.
    pub fn on_own_write(&mut self, fence: Fence, sent_at: Moment) {
        self.state = State::Own { fence, renewed_at: sent_at };
    }

    /// Records that another process has written the object, as an answer received at `now` shows.
    pub fn on_other_holder(&mut self, fence: Fence, now: Moment) {
        let wait = self.terms.duration.mul_f64(1.0 + MAX_CLOCK_DRIFT);
        self.state = State::Other { fence, expires_at: now + wait + TIMER_MARGIN };
    }

    /// Returns true if this process was the holder at its last successful write.
    pub fn is_own(&self) -> bool {
        matches!(self.state, State::Own { .. })
    }

    /// Returns true if this process may send a call of the duty now.
    pub fn may_call(&self, now: Moment) -> bool {
        let State::Own { renewed_at, .. } = self.state else { return false };
        let usable = self.terms.duration.mul_f64(1.0 - MAX_CLOCK_DRIFT);
        let reserve = self.terms.call_time + TIMER_MARGIN;
        now.since(renewed_at) + reserve < usable
    }

    /// Returns true if this process may write the object, on condition that it has not changed: as
    /// its holder, or because the lease of the other holder has expired.
    pub fn may_write(&self, now: Moment) -> bool {
        match self.state {
            State::Unknown => false,
            State::Other { expires_at, .. } => now >= expires_at,
            State::Own { .. } => true,
        }
    }

    /// Returns the fencing token with which this process writes the object in an era of the store:
    /// its own, or one above that of the other holder.
    pub fn next_fence(&self, era: Era) -> Fence {
        let first = Fence(era.0 << FENCE_BITS_PER_ERA | 1);
        match self.state {
            State::Own { fence, .. } => fence.max(first),
            State::Other { fence, .. } => Fence(fence.0 + 1).max(first),
            State::Unknown => first,
        }
    }

    /// Returns the fencing token of the last known holder.
    pub fn fence(&self) -> Option<Fence> {
        match self.state {
            State::Own { fence, .. } | State::Other { fence, .. } => Some(fence),
            State::Unknown => None,
        }
    }
}
