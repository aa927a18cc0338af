//! Quarantine of requests under which backend servers crash. This module connects the rules
//! of [`crate::decide::poison`] to the requests and messages of a VM.

use std::net::SocketAddr;
use std::rc::Rc;

use super::job::Job;
use super::peer;
use super::replica::Replica;
use super::vm::Vm;
use crate::decide::poison::{
    BrokenRequest, Effects, Outgoing, ServerIncarnation, Transition, refusal,
};
use crate::engine::crash_check::Checks;
use crate::unit::{Digest, Moment};

pub use crate::decide::poison::{Message, QuarantinedContent};

/// Returns the quarantined digest for which a request must not be sent, or not sent again, if there
/// is one.
pub fn refusal_cause(job: &Job) -> Option<Digest> {
    let vm = &job.vm;
    vm.poison.borrow().refusal_cause(&job.fingerprint, vm.now())
}

/// Records that an incarnation of a server crashed while the requests `broken` of this VM were open
/// at it. Returns the messages for other VMs.
pub fn on_server_crash(vm: &Vm, replica: &Replica, broken: &[BrokenRequest]) -> Vec<Outgoing> {
    let incarnation = ServerIncarnation::new(replica.id.as_str(), replica.started_at_ms);
    let topology = vm.peers.borrow().topology();
    let effects = vm.poison.borrow_mut().on_server_crash(incarnation, broken, topology, vm.now());
    log_transitions(vm, &effects.transitions, None);
    effects.messages
}

/// Waits, before a request is sent again, for the checks of the servers that broke off their
/// responses to it, if their crashes would quarantine it.
pub async fn await_decisive_checks(job: &Job, checks: &Checks) {
    let vm = &job.vm;
    let further_crashes = checks.without_result();
    let is_decisive = vm.poison.borrow().would_be_quarantined(&job.fingerprint, further_crashes);
    if further_crashes > 0 && is_decisive {
        checks.wait_for_results(refusal::max_wait(job.deadline, vm.now())).await;
    }
}

/// Waits, before a request is refused or broken off, until the servers that broke off their
/// responses to it have been checked and the other VMs know of the crashes. A request under which
/// no server broke off is not delayed.
pub async fn await_crash_checks(job: &Job, checks: &Checks) {
    if checks.is_empty() {
        return;
    }
    let vm = &job.vm;
    let started_at = vm.now();
    let is_suspect = vm.poison.borrow().is_suspect(&job.fingerprint);
    let limit = refusal::max_wait(job.deadline, started_at);
    let is_complete = checks.wait(is_suspect, limit).await;
    let content = job.fingerprint.content().to_string();
    let fields = [
        ("id", job.call.id.as_str().into()),
        ("content", content.as_str().into()),
        ("checks", checks.len().into()),
        ("suspect", is_suspect.into()),
        ("in_time", is_complete.into()),
        ("waited_ms", vm.now().since(started_at).as_millis().into()),
    ];
    vm.log("refusal after broken responses", &fields);
}

/// Records that a request got a good and complete response.
pub fn on_success(job: &Job) {
    let vm = &job.vm;
    let out = vm.poison.borrow_mut().on_success(job.fingerprint.digests(), vm.now());
    apply(vm, out, None);
}

/// Records that a server has produced events for a request for so long that the shared parts of its
/// prompt are no cause of crashes.
pub fn on_stable(job: &Job) {
    let vm = &job.vm;
    let out = vm.poison.borrow_mut().on_success(job.fingerprint.shared_parts(), vm.now());
    apply(vm, out, None);
}

/// Applies a message from another VM.
pub fn on_message(vm: &Rc<Vm>, from: &str, message: &Message) {
    let out = vm.poison.borrow_mut().on_message(message, vm.peers.borrow().topology(), vm.now());
    apply(vm, out, Some(from));
}

/// Applies the contents that another VM has quarantined, with their ages as of `as_of`.
pub fn on_quarantine_list(vm: &Rc<Vm>, from: &str, reported: &[QuarantinedContent], as_of: Moment) {
    let out = vm.poison.borrow_mut().on_quarantine_report(
        reported,
        vm.peers.borrow().topology(),
        as_of,
        vm.now(),
    );
    apply(vm, out, Some(from));
}

/// Returns the contents that this VM has quarantined, for the VMs that poll it or that it polls.
pub fn quarantined(vm: &Vm) -> Vec<QuarantinedContent> {
    vm.poison.borrow().quarantined(vm.now())
}

/// Sends the quarantined contents to a VM that was just discovered, or is back: that VM may have
/// started a moment ago and know none of them.
pub fn send_quarantined(vm: &Rc<Vm>, address: SocketAddr) {
    let quarantined = quarantined(vm);
    if !quarantined.is_empty() {
        peer::send(vm, address, peer::Message::Poison(Message::Quarantined(quarantined)));
    }
}

/// Removes entries that are too old, and updates the gauges.
pub fn expire(vm: &Vm) {
    let now = vm.now();
    let mut poison = vm.poison.borrow_mut();
    poison.expire(now);
    vm.metrics.suspect_contents.set(poison.suspect_count() as i64);
    vm.metrics.quarantined_contents.set(poison.quarantined(now).len() as i64);
}

/// Logs the changes and sends the messages that a decision asks for, without waiting for their
/// delivery.
fn apply(vm: &Rc<Vm>, effects: Effects, from: Option<&str>) {
    log_transitions(vm, &effects.transitions, from);
    for outgoing in effects.messages {
        let message = peer::Message::Poison(outgoing.message);
        peer::send_to_recipients(vm, outgoing.to, &message);
    }
}

/// Logs the start and end of quarantines; `from` is the VM whose message caused them.
fn log_transitions(vm: &Vm, transitions: &[Transition], from: Option<&str>) {
    let from = from.unwrap_or("own");
    for transition in transitions {
        match transition {
            Transition::Quarantined(content, ends) => {
                let content = content.to_string();
                let content = ("content", content.as_str().into());
                vm.log(
                    "content quarantined",
                    &[content, ("ends", (*ends).into()), ("from", from.into())],
                );
            }
            Transition::Released(content) => {
                let content = content.to_string();
                let content = ("content", content.as_str().into());
                vm.log("content released from quarantine", &[content, ("from", from.into())]);
            }
        }
    }
}
