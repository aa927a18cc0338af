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
pub use crate::decide::poison::{Message, QuarantinedContent};
use crate::unit::{Digest, Moment};

/// Whether a request is not to be sent on, or not again.
pub fn holds_back(job: &Job) -> bool {
    let vm = &job.vm;
    vm.poison.borrow().quarantine_crashes(&job.content, vm.now()).is_some()
}

/// This life of a server has crashed with these requests of this VM open.
pub fn ended(vm: &Rc<Vm>, replica: &Replica, broken: &[OpenRequest]) {
    let life = ServerIncarnation::new(replica.id.as_str(), replica.born);
    let out = vm.poison.borrow_mut().on_server_crash(life, broken, ways(vm), vm.now());
    act(vm, out, None);
}

/// A request ran to a good end, whole.
pub fn ran_well(vm: &Rc<Vm>, content: Digest) {
    let out = vm.poison.borrow_mut().on_success(content, vm.now());
    act(vm, out, None);
}

/// Takes what another VM tells.
pub fn hear(vm: &Rc<Vm>, from: &str, news: &Message) {
    let out = vm.poison.borrow_mut().on_message(news, ways(vm), vm.now());
    act(vm, out, Some(from));
}

/// Takes contents that another VM holds back, as old as they were at the moment `told_at`.
pub fn hear_held(vm: &Rc<Vm>, from: &str, told: &[QuarantinedContent], told_at: Moment) {
    let out = vm.poison.borrow_mut().on_quarantine_report(told, ways(vm), told_at, vm.now());
    act(vm, out, Some(from));
}

/// What this VM holds back, for those that ask it, or that it asks.
pub fn held(vm: &Vm) -> Vec<QuarantinedContent> {
    vm.poison.borrow().quarantined(vm.now())
}

/// A VM is heard for the first time, or again: it may have started a moment ago.
pub fn greet(vm: &Rc<Vm>, address: SocketAddr) {
    let held = held(vm);
    if !held.is_empty() {
        peer::say(vm, address, peer::Word::Poison(Message::Quarantined(held)));
    }
}

/// Drops what is too old, and counts what is left.
pub fn sweep(vm: &Vm) {
    let now = vm.now();
    let mut poison = vm.poison.borrow_mut();
    poison.expire(now);
    vm.metrics.suspects.set(poison.suspect_count() as i64);
    vm.metrics.held.set(poison.quarantined(now).len() as i64);
}

fn ways(vm: &Vm) -> Topology {
    if vm.peers.borrow().are_few() { Topology::Direct } else { Topology::Gossip }
}

/// Tells and logs what follows.
fn act(vm: &Rc<Vm>, out: Effects, from: Option<&str>) {
    let from = from.unwrap_or("own");
    for turn in out.transitions {
        match turn {
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
    for word in out.messages {
        let news = peer::Word::Poison(word.message);
        match word.to {
            Recipients::All => peer::tell(vm, &news),
            Recipients::Aggregators(content) => peer::tell_gatherers(vm, content, &news),
        }
    }
}
