//! Notices that the platform's store was restored from a copy.

use std::rc::Rc;

use super::era::Anomaly;
use super::vm::Vm;

/// Enters each new era of the store, whichever call it was that met it, and counts anomalies of the
/// header until the process ends.
pub async fn run(vm: Rc<Vm>) {
    loop {
        vm.era.changed.notified().await;
        vm.enter(vm.era.newest());
        Anomaly::ALL.into_iter().for_each(|anomaly| count(&vm, anomaly));
    }
}

fn count(vm: &Vm, anomaly: Anomaly) {
    let counter = vm.metrics.era_anomalies.with_label_values(&[anomaly.name()]);
    let (before, count) = (counter.get(), vm.era.count(anomaly));
    counter.inc_by(count - before);
    if before == 0 && count > 0 {
        vm.log("era of the store not taken", &[("why", anomaly.name().into())]);
    }
}
