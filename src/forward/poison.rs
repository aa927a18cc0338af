//! Contents under which backend servers crash, as the VMs on the users' platform know them; [`crate::decide::poison`] decides.

use std::net::SocketAddr;
use std::rc::Rc;

use super::job::Job;
use super::peer;
use super::replica::Replica;
use super::vm::Vm;
use crate::decide::poison::{Broken, Life, Out, To, Turn, Ways};
pub use crate::decide::poison::{News, Told};
use crate::unit::{Digest, Moment};

/// Whether a request is not to be sent on, or not again.
pub fn holds_back(job: &Job) -> bool {
    let vm = &job.vm;
    vm.poison.borrow().held(&job.content, vm.now()).is_some()
}

/// This life of a server has crashed with these requests of this VM open.
pub fn ended(vm: &Rc<Vm>, replica: &Replica, broken: &[Broken]) {
    let life = Life::new(replica.id.as_str(), replica.started_at_ms);
    let out = vm.poison.borrow_mut().ended(life, broken, ways(vm), vm.now());
    act(vm, out, None);
}

/// A request ran to a good end, whole.
pub fn ran_well(vm: &Rc<Vm>, content: Digest) {
    let out = vm.poison.borrow_mut().ran_well(content, vm.now());
    act(vm, out, None);
}

/// Takes what another VM tells.
pub fn hear(vm: &Rc<Vm>, from: &str, news: &News) {
    let out = vm.poison.borrow_mut().hear(news, ways(vm), vm.now());
    act(vm, out, Some(from));
}

/// Takes contents that another VM holds back, as old as they were at the moment `told_at`.
pub fn hear_held(vm: &Rc<Vm>, from: &str, told: &[Told], told_at: Moment) {
    let out = vm.poison.borrow_mut().hear_held(told, ways(vm), told_at, vm.now());
    act(vm, out, Some(from));
}

/// What this VM holds back, for those that ask it, or that it asks.
pub fn held(vm: &Vm) -> Vec<Told> {
    vm.poison.borrow().all_held(vm.now())
}

/// A VM is heard for the first time, or again: it may have started a moment ago.
pub fn greet(vm: &Rc<Vm>, address: SocketAddr) {
    let held = held(vm);
    if !held.is_empty() {
        peer::say(vm, address, peer::Word::Poison(News::Held(held)));
    }
}

/// Drops what is too old, and counts what is left.
pub fn sweep(vm: &Vm) {
    let now = vm.now();
    let mut poison = vm.poison.borrow_mut();
    poison.expire(now);
    vm.metrics.suspects.set(poison.suspects() as i64);
    vm.metrics.held.set(poison.all_held(now).len() as i64);
}

fn ways(vm: &Vm) -> Ways {
    if vm.peers.borrow().are_few() { Ways::Direct } else { Ways::ByNeighbours }
}

/// Tells and logs what follows.
fn act(vm: &Rc<Vm>, out: Out, from: Option<&str>) {
    let from = from.unwrap_or("own");
    for turn in out.turns {
        match turn {
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
    for word in out.words {
        let news = peer::Word::Poison(word.news);
        match word.to {
            To::All => peer::tell(vm, &news),
            To::Gatherers(content) => peer::tell_gatherers(vm, content, &news),
        }
    }
}
