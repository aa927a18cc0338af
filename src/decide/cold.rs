//! How fast a backend server that has just started is sent requests, by all VMs together.
//!
//! Until its caches and pools are warm a server bears some requests a second and falls over well above that. Its empty
//! queue draws every VM at the same moment, and an even part for each of hundreds of VMs is less than one request a
//! second, which all may send at once. So a few VMs, which all work out alike, may send to it, each in turns.

use crate::unit::hash::mix;
use crate::unit::{Moment, Rate, Span};

/// Turns of one VM are so much further apart than a second: an answer, or a connection that opens slowly, moves the
/// arrival of two requests by some milliseconds.
const APART: f64 = 1.05;

/// What a service declares of its servers that start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Requests that a cold server bears, from all VMs together.
    pub rate: Rate,
    /// How long a server is cold after its start.
    pub lasts: Span,
}

/// How the rate of one cold server is parted among VMs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Part {
    /// VMs that send to it.
    pub senders: usize,
    /// Time between two requests of one of them.
    pub gap: Span,
}

impl Part {
    /// The parts of so many VMs. In any second the senders together reach at most the declared rate, or one request.
    /// With as few VMs as that the rate is lost to nobody if others join or leave: of 84 VMs and 8.8 requests a second
    /// 8 send, one request each.
    pub fn new(bound: &Bound, vms: usize) -> Part {
        let whole = bound.rate.0.floor().max(1.0);
        let senders = (whole as usize).min(vms.max(1));
        let each = bound.rate.0 / senders as f64;
        let a_second = if each < 1.0 { each.max(f64::MIN_POSITIVE) } else { each.floor() };
        Part { senders, gap: Span((APART / a_second * 1e6) as u64) }
    }
}

/// Whether a VM is among the senders to a server, given the hashes of their names: those with the highest weights for
/// that server. VMs that do not know of each other differ in few servers.
pub fn is_sender(part: &Part, server: u64, own: u64, others: &[u64]) -> bool {
    let own = mix(server, own);
    let before = others.iter().filter(|other| mix(server, **other) > own);
    before.take(part.senders).count() < part.senders
}

/// One VM's turns at one cold server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Turns {
    next: Moment,
}

impl Turns {
    /// When the next turn is.
    pub fn next(&self, now: Moment) -> Moment {
        self.next.max(now)
    }

    /// Takes the next turn, and tells when it is.
    pub fn take(&mut self, part: &Part, now: Moment) -> Moment {
        let turn = self.next(now);
        self.next = turn + part.gap;
        turn
    }
}
