//! Duties in the background: looking at servers, stepping roll-outs, learning.

mod learn;
mod look;
mod rollout;
mod service;

use std::time::Duration;

use super::control::Control;
use crate::decide::rollout::Arm;
use crate::decide::sequential::Count;
use crate::evidence::Counts;
use crate::peer::rendezvous_order;
use crate::unit::Model;

pub use learn::learn;
pub use look::{look, look_in_turn};
pub use rollout::step_rollouts;
pub use service::watch_service;

/// Time between two looks at roll-outs.
const STEP_EVERY: Duration = Duration::from_millis(500);

/// Windows of a version in service that its next is compared with.
const WINDOWS_KEPT: u64 = 12;

fn is_mine(control: &Control, model: &Model) -> bool {
    let now = control.vm.clock.now();
    let me = &control.vm.settings.vm;
    let duty = format!("rollout/{model}");
    control.vm.may_start(now)
        && control.gossip(|g| {
            let order = rendezvous_order(&duty, g.present().map(|member| &member.vm));
            order.first().is_some_and(|first| *first == me)
        })
}

fn arm(tally: Counts) -> Arm {
    Arm {
        errors: Count::of(tally.ended, tally.failed),
        slow: Count::of(tally.ended, tally.slow),
        poor: Count::of(tally.rated, tally.poor),
    }
}
