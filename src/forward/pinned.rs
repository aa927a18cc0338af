//! Sessions pinned to the old version while the trial of a new one is young.
//!
//! The requests of a session arrive at several VMs, and a VM that has not seen the session can't
//! tell whether it begins just now. So each VM tells the others which of its live sessions use the
//! old version although their draw selects the new one. Without this, four sessions of a quiet day
//! with a roll-out changed their version.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use super::peer::{self, Message};
use super::replica::Rollout;
use super::vm::Vm;
use crate::decide::canary;
use crate::unit::{Moment, Service, Span, Version, hash};

/// Interval between two checks. The first sessions move to a new version a second after the order
/// at the earliest.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Validity of a pin, in maximum gaps between the requests of a session. It is sent again after one
/// gap.
const VALID_GAPS: u64 = 2;

/// Maximum number of sessions in a message.
const MAX_DRAWS_PER_MESSAGE: usize = 500;

/// Draw of a session, or of a request without one, for a version of a service: a hash that is the
/// same on all VMs.
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

/// Draws of sessions pinned to the old version, and when they were last sent or received.
#[derive(Default)]
pub struct PinnedSessions {
    seen_at: HashMap<Draw, Moment>,
    last_sweep: Moment,
}

impl PinnedSessions {
    /// Returns true if a VM has reported the session as pinned to the old version.
    pub fn is_pinned(&self, draw: Draw, gap: Span, now: Moment) -> bool {
        self.seen_at.get(&draw).is_some_and(|at| now.since(*at) < Span(gap.0 * VALID_GAPS))
    }

    /// Records draws that are sent or received. Returns those that were not recorded within the
    /// last gap.
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

/// Broadcasts this VM's pinned sessions until the process ends.
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

/// Handles pinned sessions from another VM. Outside a full mesh they are forwarded to this VM's
/// neighbours.
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

/// Returns true while sessions are pinned to their version: in the first half of a roll-out's time
/// limit.
pub fn is_pinning(vm: &Vm, rollout: &Rollout, now: Moment) -> bool {
    let trials = vm.trials.borrow();
    let trial = trials.get(&rollout.service);
    let first_half = trial.is_none_or(|trial| trial.age(now).0 * 2 < rollout.within.0);
    first_half && rollout.is_open()
}

/// Returns the draws of this VM's live sessions that use the old version although the first share
/// selects them.
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
