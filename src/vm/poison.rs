//! Contents under which backend servers crash, as the VMs of the product know them; [`crate::decide::poison`] decides.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IndexedRandom;

use super::control::Control;
use super::{Command, Vm};
use crate::decide::poison::{
    Effects, Message, OpenRequest, Outgoing, Recipients, ServerIncarnation, Topology, Transition,
};
use crate::engine::check::{self, Found};
use crate::peer::wire::Call;
use crate::peer::{Member, ranked};
use crate::unit::{Date, Digest, Server, Span};

/// Up to this number each VM tells each other what it sees of a content.
const FULL_MESH_LIMIT: usize = 12;

/// Of more, so many gather what is known of it.
const AGGREGATORS: usize = 3;

/// A declared server says nothing of its lives. What VMs see of its end within this time is one end: they see it some
/// milliseconds apart, and a server needs seconds to come back.
const INCARNATION_WINDOW: Span = Span::secs(4);

/// Time between two reminders of what is held back, and the VMs that each VM reminds: one that has just started hears none
/// in three seconds once in 400 times.
const REMINDER_INTERVAL: Duration = Duration::from_secs(1);
const REMINDER_FANOUT: usize = 2;

/// The life of a server that was seen to have ended at a date.
fn incarnation_at(server: &Server, date: Date) -> ServerIncarnation {
    ServerIncarnation::new(server.as_str(), Some(date.0 / INCARNATION_WINDOW.0))
}

/// Whether requests with a content are not sent on.
pub fn is_quarantined(vm: &Vm, content: &Digest) -> bool {
    let poison = vm.poison.lock().expect("no panic while held");
    poison.quarantine_crashes(content, vm.clock.now()).is_some()
}

/// A request's answer broke off at a server: finds effects whether that has crashed.
pub fn on_broken_response(
    vm: &Arc<Vm>,
    server: &Server,
    address: SocketAddr,
    request: OpenRequest,
) {
    let (vm, server) = (vm.clone(), server.clone());
    actix_web::rt::spawn(async move {
        let found = check::check(address).await;
        log::info!("{} {server} was checked: {found:?}, {}", vm.settings.vm, request.content);
        if found == Found::IsGone {
            let incarnation = incarnation_at(&server, vm.clock.date());
            let now = vm.clock.now();
            let mut poison = vm.poison.lock().expect("no panic while held");
            let effects = poison.on_server_crash(incarnation, &[request], Topology::Direct, now);
            drop(poison);
            apply_effects(&vm, effects);
        }
    });
}

/// A request ran to a good end.
pub fn on_success(vm: &Vm, content: Digest) {
    let now = vm.clock.now();
    let effects = vm.poison.lock().expect("no panic while held").on_success(content, now);
    apply_effects(vm, effects);
}

/// Takes what another VM tells.
pub fn on_message(vm: &Vm, message: &Message) {
    let now = vm.clock.now();
    let effects =
        vm.poison.lock().expect("no panic while held").on_message(message, Topology::Direct, now);
    apply_effects(vm, effects);
}

fn apply_effects(vm: &Vm, effects: Effects) {
    for transition in effects.transitions {
        match transition {
            Transition::Quarantined(content, ends) => {
                log::warn!("{} content {content} is held back: {ends} ends", vm.settings.vm);
            }
            Transition::Released(content) => {
                log::info!("{} content {content} is free", vm.settings.vm)
            }
        }
    }
    effects
        .messages
        .into_iter()
        .for_each(|outgoing| vm.send_command(Command::SendPoison(outgoing)));
}

/// Tells those whom a word is for.
pub fn send_outgoing(control: &Control, outgoing: Outgoing) {
    let others = control.other_vms();
    let to = match outgoing.to {
        Recipients::All => others,
        Recipients::Aggregators(_) if others.len() <= FULL_MESH_LIMIT => others,
        Recipients::Aggregators(content) => aggregators(control, others, content),
    };
    to.into_iter().for_each(|member| send(control, member, outgoing.message.clone()));
}

fn aggregators(control: &Control, others: Vec<Member>, content: Digest) -> Vec<Member> {
    let own_vm = &control.vm.settings.vm;
    let names = others.iter().map(|member| &member.vm).chain([own_vm]);
    let order = ranked(&format!("content/{content}"), names);
    let chosen: Vec<_> = order.into_iter().take(AGGREGATORS).cloned().collect();
    others.into_iter().filter(|member| chosen.contains(&member.vm)).collect()
}

fn send(control: &Control, to: Member, message: Message) {
    let control = control.clone();
    actix_web::rt::spawn(async move { control.call(to.address, Call::Poison(message)).await });
}

/// Reminds others of what is held back for as long as the process runs, so that a VM that starts knows it.
pub async fn send_reminders(control: Control) {
    loop {
        tokio::time::sleep(REMINDER_INTERVAL).await;
        let now = control.vm.clock.now();
        let quarantined = {
            let mut poison = control.vm.poison.lock().expect("no panic while held");
            poison.expire(now);
            poison.quarantined(now)
        };
        if quarantined.is_empty() {
            continue;
        }
        let others = control.other_vms();
        for member in others.choose_multiple(&mut rand::rng(), REMINDER_FANOUT) {
            send(&control, member.clone(), Message::Quarantined(quarantined.clone()));
        }
    }
}
