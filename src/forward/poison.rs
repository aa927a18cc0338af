//! Quarantine of request contents under which backend servers crash. This module connects the rules
//! of [`crate::decide::poison`] to the requests and messages of a VM.

use std::net::SocketAddr;
use std::rc::Rc;

use super::job::Job;
use super::peer;
use super::replica::Replica;
use super::vm::Vm;
use crate::decide::poison::{
    Effects, OpenRequest, Recipients, ServerIncarnation, Topology, Transition,
};
use crate::unit::{Digest, Moment};

pub use crate::decide::poison::{Message, QuarantinedContent};

/// Returns true if the content of a request is quarantined, so that the request must not be sent,
/// or not sent again.
pub fn is_quarantined(job: &Job) -> bool {
    let vm = &job.vm;
    vm.poison.borrow().quarantine_crashes(&job.content, vm.now()).is_some()
}

/// Records that an incarnation of a server crashed while the requests `broken` of this VM were open
/// at it.
pub fn on_server_crash(vm: &Rc<Vm>, replica: &Replica, broken: &[OpenRequest]) {
    let incarnation = ServerIncarnation::new(replica.id.as_str(), replica.started_at_ms);
    let out = vm.poison.borrow_mut().on_server_crash(incarnation, broken, topology(vm), vm.now());
    apply(vm, out, None);
}

/// Records that a request with this content got a good and complete response.
pub fn on_success(vm: &Rc<Vm>, content: Digest) {
    let out = vm.poison.borrow_mut().on_success(content, vm.now());
    apply(vm, out, None);
}

/// Applies a message from another VM.
pub fn on_message(vm: &Rc<Vm>, from: &str, message: &Message) {
    let out = vm.poison.borrow_mut().on_message(message, topology(vm), vm.now());
    apply(vm, out, Some(from));
}

/// Applies the contents that another VM has quarantined, with their ages as of `as_of`.
pub fn on_quarantine_list(vm: &Rc<Vm>, from: &str, reported: &[QuarantinedContent], as_of: Moment) {
    let out = vm.poison.borrow_mut().on_quarantine_report(reported, topology(vm), as_of, vm.now());
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

/// Returns how crash reports reach the other VMs: directly in a full mesh, else by gossip.
fn topology(vm: &Vm) -> Topology {
    if vm.peers.borrow().is_full_mesh() { Topology::Direct } else { Topology::Gossip }
}

/// Logs the changes and sends the messages that a decision asks for.
fn apply(vm: &Rc<Vm>, out: Effects, from: Option<&str>) {
    let from = from.unwrap_or("own");
    for change in out.transitions {
        match change {
            Transition::Quarantined(content, ends) => {
                let content = content.to_string();
                let content = ("content", content.as_str().into());
                vm.log(
                    "content quarantined",
                    &[content, ("ends", ends.into()), ("from", from.into())],
                );
            }
            Transition::Released(content) => {
                let content = content.to_string();
                let content = ("content", content.as_str().into());
                vm.log("content released from quarantine", &[content, ("from", from.into())]);
            }
        }
    }
    for outgoing in out.messages {
        let message = peer::Message::Poison(outgoing.message);
        match outgoing.to {
            Recipients::All => peer::broadcast(vm, &message),
            Recipients::Aggregators(content) => peer::send_to_aggregators(vm, content, &message),
        }
    }
}
