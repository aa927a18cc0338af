//! Contents under which backend servers crash, as the VMs on the users' platform know them; [`crate::decide::poison`] decides.

use std::net::SocketAddr;
use std::rc::Rc;

use super::job::Job;
use super::peer;
use super::replica::Replica;
use super::vm::Vm;
use crate::decide::poison::{Broken, Life, Out, To, Turn, Ways};
use crate::unit::{Digest, Moment};

pub use crate::decide::poison::{News, Told};

/// Whether a request is not to be sent on, or not again.
pub fn is_quarantined(job: &Job) -> bool {
    let vm = &job.vm;
    vm.poison.borrow().held(&job.content, vm.now()).is_some()
}

/// This life of a server has crashed with these requests of this VM open.
pub fn on_server_crash(vm: &Rc<Vm>, replica: &Replica, broken: &[Broken]) {
    let incarnation = Life::new(replica.id.as_str(), replica.started_at_ms);
    let out = vm.poison.borrow_mut().ended(incarnation, broken, topology(vm), vm.now());
    apply(vm, out, None);
}

/// A request ran to a good end, whole.
pub fn on_success(vm: &Rc<Vm>, content: Digest) {
    let out = vm.poison.borrow_mut().ran_well(content, vm.now());
    apply(vm, out, None);
}

/// Takes what another VM tells.
pub fn on_message(vm: &Rc<Vm>, from: &str, news: &News) {
    let out = vm.poison.borrow_mut().hear(news, topology(vm), vm.now());
    apply(vm, out, Some(from));
}

/// Takes contents that another VM holds back, as old as they were at the moment `told_at`.
pub fn on_quarantine_list(vm: &Rc<Vm>, from: &str, told: &[Told], told_at: Moment) {
    let out = vm.poison.borrow_mut().hear_held(told, topology(vm), told_at, vm.now());
    apply(vm, out, Some(from));
}

/// What this VM holds back, for those that ask it, or that it asks.
pub fn quarantined(vm: &Vm) -> Vec<Told> {
    vm.poison.borrow().all_held(vm.now())
}

/// A VM is heard for the first time, or again: it may have started a moment ago.
pub fn send_quarantined(vm: &Rc<Vm>, address: SocketAddr) {
    let held = quarantined(vm);
    if !held.is_empty() {
        peer::send(vm, address, peer::Message::Poison(News::Held(held)));
    }
}

/// Drops what is too old, and counts what is left.
pub fn expire(vm: &Vm) {
    let now = vm.now();
    let mut poison = vm.poison.borrow_mut();
    poison.expire(now);
    vm.metrics.suspect_contents.set(poison.suspects() as i64);
    vm.metrics.quarantined_contents.set(poison.all_held(now).len() as i64);
}

fn topology(vm: &Vm) -> Ways {
    if vm.peers.borrow().is_full_mesh() { Ways::Direct } else { Ways::ByNeighbours }
}

/// Tells and logs what follows.
fn apply(vm: &Rc<Vm>, out: Out, from: Option<&str>) {
    let from = from.unwrap_or("own");
    for change in out.turns {
        match change {
            Turn::Held(content, ends) => {
                let content = content.to_string();
                let content = ("content", content.as_str().into());
                vm.log(
                    "content held back",
                    &[content, ("ends", ends.into()), ("from", from.into())],
                );
            }
            Turn::Freed(content) => {
                let content = content.to_string();
                let content = ("content", content.as_str().into());
                vm.log("content free again", &[content, ("from", from.into())]);
            }
        }
    }
    for message in out.words {
        let news = peer::Message::Poison(message.news);
        match message.to {
            To::All => peer::broadcast(vm, &news),
            To::Gatherers(content) => peer::send_to_aggregators(vm, content, &news),
        }
    }
}
