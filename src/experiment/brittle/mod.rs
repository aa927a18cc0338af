//! Brittle servers behind many VMs, in virtual time: ways to divide what a server takes at once, so
//! that it rejects few requests and stays busy.
//!
//! All servers of a service are brittle and have a short queue. A server that rejects more than its
//! limit in a second fails, and is back after three seconds. Requests wait at their VM for a place
//! until they are too old. Reports of the servers' loads are late by the same time for all VMs.

mod simulation;

use simulation::Simulation;

use super::options::Options;
use super::table::Table;
use crate::unit::Span;

/// VMs and servers by default.
const SIZES: [(usize, usize); 6] = [(7, 12), (23, 24), (84, 5), (84, 12), (84, 96), (295, 96)];

/// Part of the VMs that are dead, with places that nobody uses, or that reach no other VM, in the
/// cases with such VMs.
const FAULTY_SHARE: f64 = 0.1;

/// How the room of a server is divided among VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// Each VM sends to the least loaded server it knows of.
    Unheeded,
    /// Each VM leaves a server out for a while after a rejection.
    EachAlone,
    /// Each VM has an even part of the slots of each server, at least one.
    EvenParts,
    /// The slots are dealt to VMs in an order that all compute alike.
    Places,
    /// The same with room for one request in the queue: the strategy of the router.
    PlacesAndExtra,
    /// A VM without a free place asks VMs that have some, which lend one for one request.
    LentOnce,
    /// The same, for as long as the borrower has requests, up to [`LOAN_TIME`].
    LentForTime,
    /// One VM for each server grants its slots on request, which takes a round trip between VMs.
    Granted,
}

impl Strategy {
    const ALL: [Strategy; 8] = [
        Strategy::Unheeded,
        Strategy::EachAlone,
        Strategy::EvenParts,
        Strategy::Places,
        Strategy::PlacesAndExtra,
        Strategy::LentOnce,
        Strategy::LentForTime,
        Strategy::Granted,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Strategy::Unheeded => "unheeded",
            Strategy::EachAlone => "each alone",
            Strategy::EvenParts => "even parts",
            Strategy::Places => "places",
            Strategy::PlacesAndExtra => "places and extra",
            Strategy::LentOnce => "lent for a request",
            Strategy::LentForTime => "lent for a time",
            Strategy::Granted => "granted",
        }
    }

    /// Returns true if VMs lend each other places.
    pub fn lends(self) -> bool {
        matches!(self, Strategy::LentOnce | Strategy::LentForTime)
    }
}

/// What is simulated beside size and strategy.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    pub load: f64,
    pub burst: usize,
    pub stale: Span,
    /// Part of the VMs that are dead.
    pub dead: f64,
    /// Part of the VMs that exchange nothing with others.
    pub cut_off: f64,
}

const CASES: [Case; 6] = [
    Case { load: 0.7, burst: 1, stale: Span::millis(50), dead: 0.0, cut_off: 0.0 },
    Case { load: 1.6, burst: 1, stale: Span::millis(50), dead: 0.0, cut_off: 0.0 },
    Case { load: 1.6, burst: 1, stale: Span::secs(1), dead: 0.0, cut_off: 0.0 },
    Case { load: 1.2, burst: 40, stale: Span::millis(200), dead: 0.0, cut_off: 0.0 },
    Case { load: 1.6, burst: 1, stale: Span::millis(200), dead: FAULTY_SHARE, cut_off: 0.0 },
    Case { load: 1.6, burst: 1, stale: Span::millis(200), dead: 0.0, cut_off: FAULTY_SHARE },
];

/// Simulates all strategies for each size and case.
pub fn run(options: &Options) -> Table {
    let sizes = SIZES.iter().filter(|(vms, _)| options.vms.is_empty() || options.vms.contains(vms));
    let mut rows = Vec::new();
    for (vms, servers) in sizes.copied() {
        for case in CASES {
            for strategy in Strategy::ALL {
                let mut simulation = Simulation::new(vms, servers, strategy, case, options.seed);
                simulation.run();
                rows.push(simulation.row());
            }
        }
    }
    let notes = vec![
        "Failures of servers, and how many users allow. Served: part of what the servers can do, or \
         of what is asked if that is less. Without places: part that is served at VMs without places, \
         relative to that at all VMs. Rejected: part of the requests, by servers."
            .to_owned(),
    ];
    Table { rows, notes }
}
