//! Duties in the background: looking at servers, stepping roll-outs, learning.

mod policy;
mod probe;
mod rollout;
mod service;

use std::time::Duration;

use super::control::Control;
use crate::decide::rollout::Arm;
use crate::decide::sequential::Count;
use crate::evidence::Counts;
use crate::peer::ranked;
use crate::unit::Model;

pub use policy::update_policies;
pub use probe::{probe_server, probe_servers};
pub use rollout::step_rollouts;
pub use service::watch_service;

/// Time between two looks at roll-outs.
const STEP_INTERVAL: Duration = Duration::from_millis(500);

/// Windows of a version in service that its next is compared with.
const BASELINE_WINDOWS: u64 = 12;

fn is_responsible(control: &Control, model: &Model) -> bool {
    let now = control.vm.clock.now();
    let own_vm = &control.vm.settings.vm;
    let duty = format!("rollout/{model}");
    control.vm.may_start(now)
        && control.with_gossip(|g| {
            let order = ranked(&duty, g.present().map(|member| &member.vm));
            order.first().is_some_and(|first| *first == own_vm)
        })
}

fn arm(counts: Counts) -> Arm {
    Arm {
        errors: Count::of(counts.ended, counts.failed),
        slow: Count::of(counts.ended, counts.slow),
        poor: Count::of(counts.rated, counts.poor),
    }
}
