//! What holds after the platform's store was restored from a copy.
//!
//! The copy lacks what was written last, and its owners write that again within a short time. Until then
//! the copy does not undo what this VM knows to be newer.

use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::apply;
use super::era::Anomaly;
use super::peer::{self, Message};
use super::replica::Incarnation;
use super::vm::Vm;
use crate::unit::{Moment, Position, Span};

/// Time after a restore within which owners write again what the copy lacks. Servers write every second
/// or so; an operator's tool may take longer to notice.
pub const REWRITE_GRACE: Span = Span::secs(5);

/// Time between two messages about the same servers; one that is sent to a VM just after its start may be lost.
const DISPUTE_BROADCAST_INTERVAL: Duration = Duration::from_secs(1);

/// A restore that this VM noticed.
#[derive(Clone, Copy, Debug)]
pub struct Restore {
    /// When.
    pub at: Moment,
    /// First position that was read in the new era; objects that changed later were written in it.
    pub base: Option<Position>,
}

impl Restore {
    /// Returns true if an object that last changed at `position` may stem from the copy, and its owner
    /// may not have had time to write again.
    pub fn covers(&self, position: Position, now: Moment) -> bool {
        self.is_recent(now) && self.base.is_none_or(|base| position <= base)
    }

    /// Returns true if owners may not have had time to write again.
    pub fn is_recent(&self, now: Moment) -> bool {
        now.since(self.at) < REWRITE_GRACE
    }
}

/// A restore as one VM passes it on to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// Time since it was noticed, when this is answered.
    age: Span,
    base: Position,
    /// Lives of servers that leave or have gone, and that the copy calls ready.
    pub disputed: Vec<Incarnation>,
}

impl Notice {
    /// Returns the notice of the last restore, if owners may not have had time to write again.
    pub fn of(vm: &Vm, now: Moment) -> Option<Notice> {
        let restore = (*vm.restored.borrow()).filter(|restore| restore.is_recent(now))?;
        let disputed = vm.fleet.borrow().disputed().cloned().collect();
        Some(Notice { age: now.since(restore.at), base: restore.base?, disputed })
    }

    /// Returns the restore, dated so that it cannot look later than it was if the question was sent at
    /// `asked`.
    pub fn at(&self, asked: Moment) -> Restore {
        Restore { at: Moment(asked.0.saturating_sub(self.age.0)), base: Some(self.base) }
    }
}

/// Enters each new era of the store, whichever call it was that met it, and counts anomalies of the
/// header until the process ends.
pub async fn run(vm: Rc<Vm>) {
    loop {
        vm.era.changed.notified().await;
        vm.enter_era(vm.era.newest());
        Anomaly::ALL.into_iter().for_each(|anomaly| update_metric(&vm, anomaly));
    }
}

fn update_metric(vm: &Vm, anomaly: Anomaly) {
    let counter = vm.metrics.era_anomalies.with_label_values(&[anomaly.name()]);
    let (before, count) = (counter.get(), vm.era.count(anomaly));
    counter.inc_by(count - before);
    if before == 0 && count > 0 {
        vm.log("era of the store not taken", &[("why", anomaly.name().into())]);
    }
}

/// Tells other VMs, for as long as that may be so, which servers the copy wrongly calls ready: one that
/// starts meanwhile and reads the copy knows no better.
pub async fn broadcast_disputes(vm: Rc<Vm>) {
    loop {
        let disputed: Vec<Incarnation> = vm.fleet.borrow().disputed().cloned().collect();
        let pause = if disputed.is_empty() { Duration::MAX } else { DISPUTE_BROADCAST_INTERVAL };
        for incarnation in disputed {
            peer::broadcast(&vm, &Message::ServerDraining(incarnation));
        }
        let _ = tokio::time::timeout(pause, vm.disputes_changed.notified()).await;
    }
}

/// Applies what the copy says once its time is over, after each restore, until the process ends.
pub async fn accept_after_grace(vm: Rc<Vm>) {
    let mut restored = vm.restored.subscribe();
    loop {
        let Ok(Some(restore)) = restored.wait_for(Option::is_some).await.map(|one| *one) else {
            return;
        };
        let left = (restore.at + REWRITE_GRACE).since(vm.now());
        if left > Span(0) {
            // A second restore begins a time of its own.
            tokio::time::sleep(left.duration()).await;
            continue;
        }
        apply::accept_restored(&vm);
    }
}
