//! What a VM does when it wakes after it was suspended.
//!
//! Ages count the time asleep, so nothing that needs a young proof is done with an old one. Timers of the runtime do not count
//! that time: they end later by as long as the VM slept. So the next proof is asked for at once, and followers get no news until this
//! VM has had time to hear some.

use std::rc::Rc;
use std::time::Duration;

use super::vm::Vm;
use crate::unit::Span;

/// Time between two looks.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The two clocks are read one after the other, and a machine steers both; less is no sleep.
const MIN_SUSPENSION: Span = Span::millis(50);

/// Looks whether the machine slept until the process ends.
pub async fn run(vm: Rc<Vm>) {
    let Some(mut total) = vm.clock.suspended_time() else {
        vm.log("no clock counts the time asleep", &[]);
        return;
    };
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        total = check(&vm, total);
    }
}

/// Notes a sleep since the last look, when the machine had slept `known` in all. How long it has by now.
pub fn check(vm: &Vm, total: Span) -> Span {
    let slept = vm.clock.suspended_time().unwrap_or(total);
    let suspended = Span(slept.0.saturating_sub(total.0));
    if suspended < MIN_SUSPENSION {
        return total;
    }
    let now = vm.now();
    let age = vm.proof_age(now).map_or(-1.0, Span::as_millis);
    vm.log("woke", &[("slept_ms", suspended.as_millis().into()), ("proof_age_ms", age.into())]);
    vm.stalled_at.set(Some(now));
    vm.proof_requested.notify_one();
    slept
}
