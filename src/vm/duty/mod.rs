//! Background duties of a VM: probing servers, stepping roll-outs, monitoring versions, updating
//! policies from evidence. Some are done by one VM for the whole fleet: the first VM in a ranking
//! by hash of the duty's name.

mod monitor;
mod policy;
mod probe;
mod rollout;

use std::time::Duration;

use super::control::Control;
use crate::decide::rollout::Arm;
use crate::decide::sequential::Count;
use crate::evidence::Counts;
use crate::peer::rendezvous_order;
use crate::unit::Model;

pub use monitor::monitor_versions;
pub use policy::update_policies;
pub use probe::{probe_server, probe_servers};
pub use rollout::step_rollouts;

/// Time between two checks of roll-outs and of versions in service.
const STEP_INTERVAL: Duration = Duration::from_millis(500);

/// Number of earlier time windows in which the ratings of a version in service are its baseline.
const BASELINE_WINDOWS: u64 = 12;

/// Returns true if this VM may start work and is the one that steps and monitors the roll-outs of a
/// model for the fleet.
fn is_responsible(control: &Control, model: &Model) -> bool {
    let now = control.vm.clock.now();
    let own_vm = &control.vm.settings.vm;
    let duty = format!("rollout/{model}");
    control.vm.may_start(now)
        && control.with_gossip(|g| {
            let order = rendezvous_order(&duty, g.present().map(|member| &member.vm));
            order.first().is_some_and(|first| *first == own_vm)
        })
}

/// Converts evidence counts to one arm of the comparison of two versions.
fn arm_counts(counts: Counts) -> Arm {
    Arm {
        errors: Count::of(counts.ended, counts.failed),
        slow: Count::of(counts.ended, counts.slow),
        poor: Count::of(counts.rated, counts.poor),
    }
}
