//! Sessions that keep the old version while the trial of a new one is young.
//!
//! The requests of a session come to several VMs, and one that has not seen it cannot tell whether it begins
//! just now. So each VM tells the others which of its live sessions went to the old version although their point
//! draws them to the new one. Without it four sessions of a quiet day with a roll-out changed their version.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use super::peer::{self, Message};
use super::replica::Rollout;
use super::vm::Vm;
use crate::decide::canary;
use crate::unit::{Moment, Service, Span, Version, hash};

/// Time between two looks. The first sessions go to a new version a second after the order at the earliest.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// What was told counts for this many gaps between the requests of a session, and is told again after one.
const VALID_GAPS: u64 = 2;

/// Sessions told at once.
const MAX_DRAWS_PER_MESSAGE: usize = 500;

/// The draw of a session, or of a request without one, for a version of a service: the same on all VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct Draw(u64);

impl Draw {
    /// The draw of a name.
    pub fn new(service: &Service, version: &Version, name: &str) -> Draw {
        Draw(hash::stable(&[service.as_str(), version.as_str(), name]))
    }

    /// It as a point from 0 to 1.
    pub fn point(self) -> f64 {
        hash::point(self.0)
    }
}

/// Draws of sessions that keep the old version, and when they were told or heard last.
#[derive(Default)]
pub struct PinnedSessions {
    seen_at: HashMap<Draw, Moment>,
    last_sweep: Moment,
}

impl PinnedSessions {
    /// Whether a VM said that a session keeps the old version.
    pub fn is_pinned(&self, draw: Draw, gap: Span, now: Moment) -> bool {
        self.seen_at.get(&draw).is_some_and(|at| now.since(*at) < Span(gap.0 * VALID_GAPS))
    }

    /// Takes draws that are told or heard. Those that were not within the last gap.
    pub fn record(
        &mut self,
        draws: impl Iterator<Item = Draw>,
        gap: Span,
        now: Moment,
    ) -> Vec<Draw> {
        if now.since(self.last_sweep) > gap {
            self.last_sweep = now;
            self.seen_at.retain(|_, at| now.since(*at) < Span(gap.0 * VALID_GAPS));
        }
        let is_new = |draw: &Draw| self.seen_at.get(draw).is_none_or(|at| now.since(*at) >= gap);
        let unseen: Vec<Draw> = draws.filter(is_new).collect();
        self.seen_at.extend(unseen.iter().map(|draw| (*draw, now)));
        unseen
    }
}

/// Tells the others what they should know until the process ends.
pub async fn run(vm: Rc<Vm>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let now = vm.now();
        let pinning: Vec<Rollout> = {
            let rollouts = vm.rollouts.borrow();
            rollouts.values().filter(|rollout| is_pinning(&vm, rollout, now)).cloned().collect()
        };
        for rollout in pinning {
            let own_draws = own_draws(&vm, &rollout, now);
            record_and_broadcast(&vm, &rollout.service, &rollout.version, own_draws, now);
        }
    }
}

/// Takes what another VM told. Among many VMs it goes on to the neighbours of this one.
pub fn on_pinned(vm: &Rc<Vm>, service: &Service, version: &Version, draws: Vec<Draw>) {
    if vm.peers.borrow().is_full_mesh() {
        vm.pinned_sessions.borrow_mut().record(
            draws.into_iter(),
            vm.settings.bounds.session_gap,
            vm.now(),
        );
    } else {
        record_and_broadcast(vm, service, version, draws, vm.now());
    }
}

/// Whether sessions keep their version for now: in the first half of a roll-out's time.
pub fn is_pinning(vm: &Vm, rollout: &Rollout, now: Moment) -> bool {
    let trials = vm.trials.borrow();
    let trial = trials.get(&rollout.service);
    let first_half = trial.is_none_or(|trial| trial.age(now).0 * 2 < rollout.within.0);
    first_half && rollout.is_open()
}

/// Draws of this VM's live sessions that went to the old version, though the first share has them.
fn own_draws(vm: &Vm, rollout: &Rollout, now: Moment) -> Vec<Draw> {
    let share = canary::first_share(vm.settings.bounds.max_exposure);
    let sessions = vm.sessions.borrow();
    let live = sessions.live(vm.settings.bounds.session_gap, now);
    let old = live.filter(|(_, version)| **version != rollout.version);
    let draws = old.map(|(name, _)| Draw::new(&rollout.service, &rollout.version, name));
    draws.filter(|draw| draw.point() < share).collect()
}

/// Notes draws, and tells those that are news.
fn record_and_broadcast(
    vm: &Rc<Vm>,
    service: &Service,
    version: &Version,
    draws: Vec<Draw>,
    now: Moment,
) {
    let gap = vm.settings.bounds.session_gap;
    let unseen = vm.pinned_sessions.borrow_mut().record(draws.into_iter(), gap, now);
    for chunk in unseen.chunks(MAX_DRAWS_PER_MESSAGE) {
        let (service, version) = (service.clone(), version.clone());
        peer::broadcast(vm, &Message::PinnedSessions { service, version, draws: chunk.to_vec() });
    }
}
