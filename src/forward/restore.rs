//! Notices that the platform's store was restored from a copy.

use std::collections::HashMap;
use std::rc::Rc;

use super::era::Anomaly;
use super::vm::Vm;

/// Logs new eras and anomalies of their header until the process ends.
pub async fn run(vm: Rc<Vm>) {
    let mut known = None;
    let mut counted: HashMap<&str, u64> = HashMap::new();
    loop {
        vm.era.changed.notified().await;
        let newest = vm.era.newest();
        if known.is_some_and(|known| known != newest) {
            vm.log("store restored", &[("era", newest.0.into())]);
        }
        known = Some(newest);
        vm.metrics.era.set(newest.0 as i64);
        for anomaly in Anomaly::ALL {
            let (name, count) = (anomaly.name(), vm.era.count(anomaly));
            let before = counted.insert(name, count).unwrap_or(0);
            vm.metrics.era_anomalies.with_label_values(&[name]).inc_by(count - before);
            if before == 0 && count > 0 {
                vm.log("era of the store not taken", &[("why", name.into())]);
            }
        }
    }
}
