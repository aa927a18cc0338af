//! Contents under which backend servers crash, as the VMs on the users' platform know them; [`crate::decide::poison`] decides.

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

/// Whether a request is not to be sent on, or not again.
pub fn is_quarantined(job: &Job) -> bool {
    let vm = &job.vm;
    vm.poison.borrow().quarantine_crashes(&job.content, vm.now()).is_some()
}

/// This life of a server has crashed with these requests of this VM open.
pub fn on_server_crash(vm: &Rc<Vm>, replica: &Replica, broken: &[OpenRequest]) {
    let incarnation = ServerIncarnation::new(replica.id.as_str(), replica.started_at_ms);
    let out = vm.poison.borrow_mut().on_server_crash(incarnation, broken, topology(vm), vm.now());
    apply(vm, out, None);
}

/// A request ran to a good end, whole.
pub fn on_success(vm: &Rc<Vm>, content: Digest) {
    let out = vm.poison.borrow_mut().on_success(content, vm.now());
    apply(vm, out, None);
}

/// Takes what another VM tells.
pub fn on_message(vm: &Rc<Vm>, from: &str, news: &Message) {
    let out = vm.poison.borrow_mut().on_message(news, topology(vm), vm.now());
    apply(vm, out, Some(from));
}

/// Takes contents that another VM holds back, as old as they were at the moment `told_at`.
pub fn on_quarantine_list(vm: &Rc<Vm>, from: &str, told: &[QuarantinedContent], told_at: Moment) {
    let out = vm.poison.borrow_mut().on_quarantine_report(told, topology(vm), told_at, vm.now());
    apply(vm, out, Some(from));
}

/// What this VM holds back, for those that ask it, or that it asks.
pub fn quarantined(vm: &Vm) -> Vec<QuarantinedContent> {
    vm.poison.borrow().quarantined(vm.now())
}

/// A VM is heard for the first time, or again: it may have started a moment ago.
pub fn send_quarantined(vm: &Rc<Vm>, address: SocketAddr) {
    let held = quarantined(vm);
    if !held.is_empty() {
        peer::send(vm, address, peer::Message::Poison(Message::Quarantined(held)));
    }
}

/// Drops what is too old, and counts what is left.
pub fn expire(vm: &Vm) {
    let now = vm.now();
    let mut poison = vm.poison.borrow_mut();
    poison.expire(now);
    vm.metrics.suspect_contents.set(poison.suspect_count() as i64);
    vm.metrics.quarantined_contents.set(poison.quarantined(now).len() as i64);
}

fn topology(vm: &Vm) -> Topology {
    if vm.peers.borrow().is_full_mesh() { Topology::Direct } else { Topology::Gossip }
}

/// Tells and logs what follows.
fn apply(vm: &Rc<Vm>, out: Effects, from: Option<&str>) {
    let from = from.unwrap_or("own");
    for change in out.transitions {
        match change {
            Transition::Quarantined(content, ends) => {
                let content = content.to_string();
                let content = ("content", content.as_str().into());
                vm.log(
                    "content held back",
                    &[content, ("ends", ends.into()), ("from", from.into())],
                );
            }
            Transition::Released(content) => {
                let content = content.to_string();
                let content = ("content", content.as_str().into());
                vm.log("content free again", &[content, ("from", from.into())]);
            }
        }
    }
    for message in out.messages {
        let news = peer::Message::Poison(message.message);
        match message.to {
            Recipients::All => peer::broadcast(vm, &news),
            Recipients::Aggregators(content) => peer::send_to_aggregators(vm, content, &news),
        }
    }
}
