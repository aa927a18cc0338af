//! Detects that the machine was suspended and has resumed.
//!
//! Ages include the time suspended, so nothing that needs a recent proof is done with an old one.
//! Timers of the runtime do not include the time suspended: they fire later by the length of the
//! suspension. So after a suspension the next proof that the configuration is the newest is
//! requested at once, and the VMs that poll this one get no updates until it has had time to get
//! some itself.

use std::rc::Rc;

use super::stall;
use super::vm::Vm;
use crate::decide::stall::CHECK_INTERVAL;
use crate::unit::Span;

/// Minimum difference between the two clocks that counts as a suspension. Smaller ones arise
/// because the clocks are read one after the other, and the system adjusts the rates of both.
const MIN_SUSPENSION: Span = Span::millis(50);

/// Checks for suspensions and stalls until the process ends.
pub async fn run(vm: Rc<Vm>) {
    vm.stall_gate.start(vm.now());
    let mut total = vm.clock.suspended_time();
    if total.is_none() {
        vm.log("no clock that counts suspended time; suspensions are not detected", &[]);
    }
    loop {
        tokio::time::sleep(CHECK_INTERVAL.duration()).await;
        stall::observe(&vm);
        total = total.map(|total| check(&vm, total));
    }
}

/// Handles a suspension since the last check, when the machine had been suspended for `total` in
/// total. Returns the total by now.
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
