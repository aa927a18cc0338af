//! Sessions pinned to the old version while the trial of a new one is young.
//!
//! The requests of a session arrive at several VMs, and a VM that has not seen the session can't
//! tell whether it begins just now. So each VM reports to the others which of its live sessions use
//! the old version although their draw selects the new one. Without these reports, four sessions
//! changed their version on a quiet day with a rollout.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use super::peer::{self, Message};
use super::replica::Rollout;
use super::vm::Vm;
use crate::decide::canary;
use crate::unit::{Moment, Service, Span, Version, hash};

/// Interval at which a VM broadcasts its pinned sessions. The first sessions move to a new version
/// a second after the order at the earliest.
const PIN_BROADCAST_INTERVAL: Duration = Duration::from_millis(200);

/// Time that a reported pin is valid, as a multiple of `session_gap`, the longest time between two
/// requests of a session. A pin is reported again after one such gap.
const PIN_VALIDITY_GAPS: u64 = 2;

/// Maximum number of sessions in a message.
const MAX_DRAWS_PER_MESSAGE: usize = 500;

/// Hash that decides which version of a service a session, or a request without a session, is
/// assigned to during a rollout: the new one if the hash, as a point from 0 to 1, is below the new
/// version's share. It is the same on all VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct Draw(u64);

impl Draw {
    /// Computes the draw of a session or request by its name.
    pub fn new(service: &Service, version: &Version, name: &str) -> Draw {
        Draw(hash::stable(&[service.as_str(), version.as_str(), name]))
    }

    /// Returns the draw as a point from 0 to 1.
    pub fn point(self) -> f64 {
        hash::to_unit_interval(self.0)
    }
}

/// Sessions pinned to the old version, identified by their draws.
#[derive(Default)]
pub struct PinnedSessions {
    /// When the pin of each session was last sent or received.
    seen_at: HashMap<Draw, Moment>,
    /// When expired pins were last removed.
    last_sweep: Moment,
}

impl PinnedSessions {
    /// Returns true if a VM has reported the session as pinned to the old version and the report is
    /// still valid; `gap` is the longest time between two requests of a session.
    pub fn is_pinned(&self, draw: Draw, gap: Span, now: Moment) -> bool {
        self.seen_at.get(&draw).is_some_and(|at| now.since(*at) < Span(gap.0 * PIN_VALIDITY_GAPS))
    }

    /// Records draws that are sent or received. Returns the draws that were not recorded within the
    /// last `gap`, the longest time between two requests of a session.
    pub fn record(
        &mut self,
        draws: impl Iterator<Item = Draw>,
        gap: Span,
        now: Moment,
    ) -> Vec<Draw> {
        if now.since(self.last_sweep) > gap {
            self.last_sweep = now;
            self.seen_at.retain(|_, at| now.since(*at) < Span(gap.0 * PIN_VALIDITY_GAPS));
        }
        let is_new = |draw: &Draw| self.seen_at.get(draw).is_none_or(|at| now.since(*at) >= gap);
        let unseen: Vec<Draw> = draws.filter(is_new).collect();
        self.seen_at.extend(unseen.iter().map(|draw| (*draw, now)));
        unseen
    }
}

/// Broadcasts this VM's pinned sessions until the process ends.
pub async fn run(vm: Rc<Vm>) {
    loop {
        tokio::time::sleep(PIN_BROADCAST_INTERVAL).await;
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

/// Handles pinned sessions reported by another VM. If there are too many VMs for a full mesh, they
/// are forwarded to this VM's ring neighbours.
pub fn on_pinned_sessions(vm: &Rc<Vm>, service: &Service, version: &Version, draws: Vec<Draw>) {
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

/// Returns true while sessions are pinned to the old version: in the first half of the time in
/// which the rollout must complete.
pub fn is_pinning(vm: &Vm, rollout: &Rollout, now: Moment) -> bool {
    let trials = vm.rollout_trials.borrow();
    let trial = trials.get(&rollout.service);
    let first_half = trial.is_none_or(|trial| trial.age(now).0 * 2 < rollout.within.0);
    first_half && rollout.is_open()
}

/// Returns the draws of this VM's live sessions that use the old version although they are below
/// the new version's first share.
fn own_draws(vm: &Vm, rollout: &Rollout, now: Moment) -> Vec<Draw> {
    let share = canary::first_share(vm.settings.bounds.max_exposure);
    let sessions = vm.sessions.borrow();
    let live = sessions.live(vm.settings.bounds.session_gap, now);
    let old = live.filter(|(_, version)| **version != rollout.version);
    let draws = old.map(|(name, _)| Draw::new(&rollout.service, &rollout.version, name));
    draws.filter(|draw| draw.point() < share).collect()
}

/// Records draws and broadcasts the new ones.
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
