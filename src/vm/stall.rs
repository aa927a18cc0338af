//! Detects that this process stood still, and holds requests back until the messages that other VMs
//! sent meanwhile have been read.

use futures_util::FutureExt;
use futures_util::future::select_ok;

use super::control::Control;
use super::{Command, Vm};
use crate::decide::poison::{Message, refusal};
use crate::decide::stall::CHECK_INTERVAL;
use crate::peer::wire::Call;
use crate::unit::Moment;

/// Records that the process runs. If it stood still, requests are held back from now on.
fn observe(vm: &Vm) {
    if let Some(stall) = vm.stall_gate.observe(vm.clock.now()) {
        log::info!("{} stalled for {stall}", vm.settings.vm);
        vm.send_command(Command::ReadMessages);
    }
}

/// Observes the process until it ends.
pub async fn watch(control: Control) {
    control.vm.stall_gate.start(control.vm.clock.now());
    loop {
        tokio::time::sleep(CHECK_INTERVAL.duration()).await;
        observe(&control.vm);
    }
}

/// Waits until all messages from the time of a stall have been read, or a request with this
/// deadline must be refused.
pub async fn catch_up(vm: &Vm, deadline: Moment) {
    observe(vm);
    if !vm.stall_gate.is_open() {
        vm.stall_gate.wait(refusal::max_wait(deadline, vm.clock.now())).await;
    }
}

/// Reads the messages that arrived during a stall.
pub async fn read_messages(control: Control) {
    // An empty list of quarantined contents has no effect but its acknowledgement.
    let call = Call::Poison(Message::Quarantined(Vec::new()));
    let answers = control.other_vms().into_iter().map(|member| {
        let (control, call) = (control.clone(), call.clone());
        let answer = async move { control.call(member.address, call).await.ok_or(()) };
        answer.boxed_local()
    });
    let answers: Vec<_> = answers.collect();
    let is_acknowledged = !answers.is_empty() && select_ok(answers).await.is_ok();
    control.vm.stall_gate.reopen(is_acknowledged).await;
    log::info!("{} caught up, acknowledged: {is_acknowledged}", control.vm.settings.vm);
}
