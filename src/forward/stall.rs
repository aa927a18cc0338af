//! Detects that this process stood still, and holds requests back until the messages that other VMs
//! sent meanwhile have been read.

use std::rc::Rc;

use actix_web::rt::spawn;

use super::delivery;
use super::job::Job;
use super::vm::Vm;
use crate::decide::poison::refusal;

/// Records that the process runs. If it stood still, requests are held back from now on.
pub fn observe(vm: &Rc<Vm>) {
    if let Some(stall) = vm.stall_gate.observe(vm.now()) {
        vm.log("stalled", &[("stall_ms", stall.as_millis().into())]);
        spawn(read_messages(vm.clone()));
    }
}

/// Returns true if all messages from the time of a stall have been read.
pub fn is_caught_up(vm: &Rc<Vm>) -> bool {
    observe(vm);
    vm.stall_gate.is_open()
}

/// Waits until all messages from the time of a stall have been read, or the request must be
/// refused.
pub async fn catch_up(job: &Job) {
    let vm = &job.vm;
    if !is_caught_up(vm) {
        vm.stall_gate.wait(refusal::max_wait(job.deadline, vm.now())).await;
    }
}

/// Reads the messages that arrived during a stall.
async fn read_messages(vm: Rc<Vm>) {
    let started_at = vm.now();
    let is_acknowledged = delivery::await_any_acknowledgement(&vm, refusal::MAX_REFUSAL_WAIT).await;
    vm.stall_gate.reopen(is_acknowledged).await;
    let took = vm.now().since(started_at).as_millis();
    vm.log("caught up", &[("acknowledged", is_acknowledged.into()), ("took_ms", took.into())]);
}
