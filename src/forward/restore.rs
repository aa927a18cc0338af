//! Handles a restore of the platform's store from a backup.
//!
//! The backup lacks the last writes, and the owners of the objects (servers, VMs, operators' tools)
//! write them again within a short time. Until then the restored state does not undo what this VM
//! knows to be newer. The store's era, a counter that rises with each restore, shows that one
//! happened.

use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::apply;
use super::era::Anomaly;
use super::peer::{self, Message};
use super::replica::Incarnation;
use super::vm::Vm;
use crate::unit::{Moment, Position, Span};

/// Time after a restore within which owners write again what the backup lacks. Servers write about
/// every second; an operator's tool may take longer to notice the restore.
pub const REWRITE_GRACE: Span = Span::secs(5);

/// Interval of the messages about disputed servers, which the backup lists as ready although they
/// are draining or gone. The messages are repeated because one sent to a VM just after its start
/// may be lost.
const DISPUTE_BROADCAST_INTERVAL: Duration = Duration::from_secs(1);

/// A restore of the store that this VM has noticed.
#[derive(Clone, Copy, Debug)]
pub struct Restore {
    /// When this VM noticed the restore.
    pub noticed_at: Moment,
    /// First position that was read in the new era; objects that changed later were written after
    /// the restore. `None` until a position was read.
    pub first_position: Option<Position>,
}

impl Restore {
    /// Returns true if an object that last changed at `position` may come from the backup, and its
    /// owner may not have had time to write it again.
    pub fn covers(&self, position: Position, now: Moment) -> bool {
        self.is_recent(now) && self.first_position.is_none_or(|base| position <= base)
    }

    /// Returns true while owners may not have had time to write their objects again.
    pub fn is_recent(&self, now: Moment) -> bool {
        now.since(self.noticed_at) < REWRITE_GRACE
    }
}

/// A restore as one VM reports it to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// Time since the sender noticed the restore, when the update is sent.
    age: Span,
    /// First position that was read in the new era.
    first_position: Position,
    /// Incarnations of servers that are draining or gone but that the backup lists as ready.
    pub disputed: Vec<Incarnation>,
}

impl Notice {
    /// Returns the notice of the last restore. Returns `None` if owners have had time to write
    /// their objects again, or no position of the new era was read.
    pub fn of(vm: &Vm, now: Moment) -> Option<Notice> {
        let restore = (*vm.recent_restore.borrow()).filter(|restore| restore.is_recent(now))?;
        let disputed = vm.fleet.borrow().disputed().cloned().collect();
        Some(Notice {
            age: now.since(restore.noticed_at),
            first_position: restore.first_position?,
            disputed,
        })
    }

    /// Returns the restore, dated by the time at which the update was requested, so that the
    /// restore can't look more recent than it was.
    pub fn to_restore(&self, requested_at: Moment) -> Restore {
        Restore {
            noticed_at: Moment(requested_at.0.saturating_sub(self.age.0)),
            first_position: Some(self.first_position),
        }
    }
}

/// Enters each new era of the store, whichever call to the store showed it, and counts anomalies of
/// the era header, until the process ends.
pub async fn run(vm: Rc<Vm>) {
    loop {
        vm.era.changed.notified().await;
        vm.enter_era(vm.era.newest());
        Anomaly::ALL.into_iter().for_each(|anomaly| update_anomaly_counter(&vm, anomaly));
    }
}

/// Raises the metric of an anomaly to its count, and logs the first occurrence.
fn update_anomaly_counter(vm: &Vm, anomaly: Anomaly) {
    let counter = vm.metrics.era_anomalies.with_label_values(&[anomaly.name()]);
    let (before, count) = (counter.get(), vm.era.count(anomaly));
    counter.inc_by(count - before);
    if before == 0 && count > 0 {
        vm.log("anomalous store era header", &[("why", anomaly.name().into())]);
    }
}

/// Broadcasts which servers the backup wrongly lists as ready, repeatedly while there are any: a VM
/// that starts meanwhile and reads the restored store learns it only by these messages.
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

/// Applies the deferred state of the backup when the grace time after a restore ends; repeats this
/// for each restore until the process ends.
pub async fn accept_after_grace(vm: Rc<Vm>) {
    let mut restored = vm.recent_restore.subscribe();
    loop {
        let Ok(Some(restore)) = restored.wait_for(Option::is_some).await.map(|one| *one) else {
            return;
        };
        let left = (restore.noticed_at + REWRITE_GRACE).since(vm.now());
        if left > Span(0) {
            // A second restore starts the grace time anew.
            tokio::time::sleep(left.duration()).await;
            continue;
        }
        apply::accept_restored(&vm);
    }
}
