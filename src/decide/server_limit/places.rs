//! Places at a brittle server: how many requests of each VM it may have at a time.
//!
//! A brittle server fails if it rejects too many requests in a second, and its queue may be short
//! without notice. A VM learns of a rejection only by causing it, so rejections can't be divided
//! among VMs as they happen. What certainly fits are the slots in which requests run. They are
//! divided beforehand: each VM computes alike which slots of a server are its *places*, and no
//! message is needed to keep their sum. VMs lend each other places that they don't need
//! ([`super::loans`]). Few requests beyond them go to servers with free room, at a
//! rate that the server tolerates even if it rejects them all.

use std::collections::HashMap;

use super::RateLimit;
use crate::unit::hash::mix;
use crate::unit::{Moment, Rate, Service, Span};

/// Window in which a server counts its rejections.
const REJECTION_WINDOW: Span = Span::secs(1);

/// Part of the rejections that a server tolerates that is used for requests without a place. Such a
/// request may take the room of one with a place, which is then rejected as well, and VMs may know
/// different members for a moment.
const SPARE_PART: f64 = 0.25;

/// Time for which a place stays taken by a request that was given up: the server notices that its
/// caller has gone within this time.
pub const RELEASE_DELAY: Span = Span::millis(500);

/// Weight of the latest request in the mean time for which a place is taken.
const TURNOVER_WEIGHT: f64 = 0.1;

/// Time for which the extra place at a server is not used after the server rejected a request.
pub const EXTRA_PAUSE: Span = Span::secs(10);

/// Time for which a service counts as brittle after one of its servers announced that it is.
const BRITTLE_SERVICE_TTL: Span = Span::secs(10);

/// The last announcements of brittle servers, by service. A server that has not responded yet is
/// taken for brittle if others of its service are: servers come back under new ids.
#[derive(Debug, Default)]
pub struct BrittleServices(HashMap<Service, (Rate, Moment)>);

impl BrittleServices {
    /// Records that a server of a service announced the rejections per second that it tolerates.
    pub fn on_announcement(&mut self, service: &Service, rejections: Rate, at: Moment) {
        self.0.insert(service.clone(), (rejections, at));
    }

    /// Returns the rejections per second that servers of a service tolerate; `None` if the service does
    /// not count as brittle.
    pub fn rejections(&self, service: &Service, now: Moment) -> Option<Rate> {
        let (rejections, at) = self.0.get(service)?;
        (now.since(*at) < BRITTLE_SERVICE_TTL).then_some(*rejections)
    }
}

/// Places of one VM at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// Slots of the server that are this VM's places.
    pub places: usize,
    /// True if the extra place is this VM's: room for one request in the queue of the server, which
    /// keeps its slots busy and is given up for [`EXTRA_PAUSE`] when the server has no such room.
    pub has_extra: bool,
}

impl Share {
    /// Returns the share of a VM in a server with this number of slots. `server`, `own` and `others`
    /// are hashes of the names of the server, the VM and the other VMs.
    ///
    /// The slots, and then the extra place, are dealt to the VMs in the order of their rendezvous
    /// weights for the server.
    pub fn of_vm(slots: usize, server: u64, own: u64, others: &[u64]) -> Share {
        let weight = mix(server, own);
        let higher = others.iter().filter(|other| mix(server, **other) > weight);
        // A VM that ranks lower than that has neither a place nor the extra one.
        let rank = higher.take(slots + 1).count();
        let vms = others.len() + 1;
        Share {
            places: slots / vms + usize::from(rank < slots % vms),
            has_extra: rank == slots % vms,
        }
    }
}

/// Returns the limit of requests without a place at a server that tolerates this rate of rejections;
/// `None` if it tolerates too few of them.
pub fn spare_limit(rejections: Rate) -> Option<RateLimit> {
    let rate = Rate((rejections.0 * SPARE_PART).floor());
    (rate.0 >= 1.0).then_some(RateLimit { rate, window: REJECTION_WINDOW })
}

/// Places of one VM that are taken although their requests have ended for it.
#[derive(Clone, Debug, Default)]
pub struct Lingering {
    ends: Vec<Moment>,
}

impl Lingering {
    /// Records that a request was given up whose server may still run it.
    pub fn on_given_up(&mut self, now: Moment) {
        self.ends.retain(|end| *end > now);
        self.ends.push(now + RELEASE_DELAY);
    }

    /// Returns the number of places that are taken.
    pub fn count(&self, now: Moment) -> usize {
        self.ends.iter().filter(|end| **end > now).count()
    }
}

/// Mean time for which a place at the servers of a service is taken.
#[derive(Clone, Copy, Debug, Default)]
pub struct Turnover {
    mean: Option<Span>,
}

impl Turnover {
    /// Records that a place was taken for this time.
    pub fn record(&mut self, taken: Span) {
        let mean = self.mean.unwrap_or(taken);
        let change = TURNOVER_WEIGHT * (taken.0 as f64 - mean.0 as f64);
        self.mean = Some(Span((mean.0 as f64 + change) as u64));
    }

    /// Returns the time after which a place is expected to be free for a request, if all `places`
    /// are taken and `waiting` requests wait before it. A part of a place is one that is borrowed
    /// for that part of the time.
    pub fn expected_wait(&self, waiting: usize, places: f64) -> Span {
        let mean = self.mean.unwrap_or(Span(0));
        mean.mul_f64((waiting + 1) as f64 / places)
    }
}
