//! Quarantine of request contents under which backend servers crash. This module connects the rules
//! of [`crate::decide::poison`] to the requests and messages of a VM.

use std::net::SocketAddr;
use std::rc::Rc;

use super::job::Job;
use super::peer;
use super::replica::Replica;
use super::vm::Vm;
use crate::decide::poison::{Broken, Life, Out, To, Turn, Ways};
pub use crate::decide::poison::{News, Told};
use crate::unit::{Digest, Moment};

/// Returns true if the content of a request is quarantined: it is not sent, or not again.
pub fn is_quarantined(job: &Job) -> bool {
    let vm = &job.vm;
    vm.poison.borrow().held(&job.content, vm.now()).is_some()
}

/// Records that an incarnation of a server crashed while these requests of this VM were open there.
pub fn on_server_crash(vm: &Rc<Vm>, replica: &Replica, broken: &[Broken]) {
    let incarnation = Life::new(replica.id.as_str(), replica.born);
    let out = vm.poison.borrow_mut().ended(incarnation, broken, topology(vm), vm.now());
    apply(vm, out, None);
}

/// Records that a request with this content got a good and complete response.
pub fn on_success(vm: &Rc<Vm>, content: Digest) {
    let out = vm.poison.borrow_mut().ran_well(content, vm.now());
    apply(vm, out, None);
}

/// Applies a message from another VM.
pub fn on_message(vm: &Rc<Vm>, from: &str, news: &News) {
    let out = vm.poison.borrow_mut().hear(news, topology(vm), vm.now());
    apply(vm, out, Some(from));
}

/// Applies the contents that another VM has quarantined. Their ages are those at `told_at`.
pub fn on_quarantine_list(vm: &Rc<Vm>, from: &str, told: &[Told], told_at: Moment) {
    let out = vm.poison.borrow_mut().hear_held(told, topology(vm), told_at, vm.now());
    apply(vm, out, Some(from));
}

/// Returns the contents that this VM has quarantined, for the VMs that poll it or that it polls.
pub fn quarantined(vm: &Vm) -> Vec<Told> {
    vm.poison.borrow().all_held(vm.now())
}

/// Sends the quarantined contents to a VM that was just discovered, or is back: it may have started
/// a moment ago and know none.
pub fn send_quarantined(vm: &Rc<Vm>, address: SocketAddr) {
    let held = quarantined(vm);
    if !held.is_empty() {
        peer::send(vm, address, peer::Message::Poison(News::Held(held)));
    }
}

/// Removes what is too old, and updates the gauges.
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

/// Logs the changes and sends the messages that a decision asks for.
fn apply(vm: &Rc<Vm>, out: Out, from: Option<&str>) {
    let from = from.unwrap_or("own");
    for change in out.turns {
        match change {
            Turn::Held(content, ends) => {
                let content = content.to_string();
                let content = ("content", content.as_str().into());
                vm.log(
                    "content quarantined",
                    &[content, ("ends", ends.into()), ("from", from.into())],
                );
            }
            Turn::Freed(content) => {
                let content = content.to_string();
                let content = ("content", content.as_str().into());
                vm.log("content released from quarantine", &[content, ("from", from.into())]);
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
