//! Contents under which backend servers crash, as the VMs of the product know them; [`crate::decide::poison`] decides.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IndexedRandom;

use super::control::Control;
use super::{Errand, Vm};
use crate::decide::poison::{
    Effects, Message, OpenRequest, Outgoing, Recipients, ServerIncarnation, Topology, Transition,
};
use crate::engine::check::{self, Found};
use crate::peer::wire::Call;
use crate::peer::{Member, rendezvous_order};
use crate::unit::{Date, Digest, Server, Span};

/// Up to this number each VM tells each other what it sees of a content.
const ALL: usize = 12;

/// Of more, so many gather what is known of it.
const GATHERERS: usize = 3;

/// A declared server says nothing of its lives. What VMs see of its end within this time is one end: they see it some
/// milliseconds apart, and a server needs seconds to come back.
const LIFE: Span = Span::secs(4);

/// Time between two reminders of what is held back, and the VMs that each VM reminds: one that has just started hears none
/// in three seconds once in 400 times.
const REMIND_EVERY: Duration = Duration::from_secs(1);
const REMINDED: usize = 2;

/// The life of a server that was seen to have ended at a date.
fn life(server: &Server, date: Date) -> ServerIncarnation {
    ServerIncarnation::new(server.as_str(), Some(date.0 / LIFE.0))
}

/// Whether requests with a content are not sent on.
pub fn holds_back(vm: &Vm, content: &Digest) -> bool {
    let poison = vm.poison.lock().expect("no panic while held");
    poison.quarantine_crashes(content, vm.clock.now()).is_some()
}

/// A request's answer broke off at a server: finds out whether that has crashed.
pub fn broke(vm: &Arc<Vm>, server: &Server, address: SocketAddr, request: OpenRequest) {
    let (vm, server) = (vm.clone(), server.clone());
    actix_web::rt::spawn(async move {
        let found = check::check(address).await;
        log::info!("{} {server} was checked: {found:?}, {}", vm.settings.vm, request.content);
        if found == Found::IsGone {
            let life = life(&server, vm.clock.date());
            let now = vm.clock.now();
            let mut poison = vm.poison.lock().expect("no panic while held");
            let out = poison.on_server_crash(life, &[request], Topology::Direct, now);
            drop(poison);
            act(&vm, out);
        }
    });
}

/// A request ran to a good end.
pub fn ran_well(vm: &Vm, content: Digest) {
    let now = vm.clock.now();
    let out = vm.poison.lock().expect("no panic while held").on_success(content, now);
    act(vm, out);
}

/// Takes what another VM tells.
pub fn hear(vm: &Vm, news: &Message) {
    let now = vm.clock.now();
    let out =
        vm.poison.lock().expect("no panic while held").on_message(news, Topology::Direct, now);
    act(vm, out);
}

fn act(vm: &Vm, out: Effects) {
    for turn in out.transitions {
        match turn {
            Transition::Quarantined(content, ends) => {
                log::warn!("{} content {content} is held back: {ends} ends", vm.settings.vm);
            }
            Transition::Released(content) => {
                log::info!("{} content {content} is free", vm.settings.vm)
            }
        }
    }
    out.messages.into_iter().for_each(|word| vm.errand(Errand::Tell(word)));
}

/// Tells those whom a word is for.
pub fn tell(control: &Control, word: Outgoing) {
    let others = control.others();
    let to = match word.to {
        Recipients::All => others,
        Recipients::Aggregators(_) if others.len() <= ALL => others,
        Recipients::Aggregators(content) => gatherers(control, others, content),
    };
    to.into_iter().for_each(|member| send(control, member, word.message.clone()));
}

fn gatherers(control: &Control, others: Vec<Member>, content: Digest) -> Vec<Member> {
    let me = &control.vm.settings.vm;
    let names = others.iter().map(|member| &member.vm).chain([me]);
    let order = rendezvous_order(&format!("content/{content}"), names);
    let chosen: Vec<_> = order.into_iter().take(GATHERERS).cloned().collect();
    others.into_iter().filter(|member| chosen.contains(&member.vm)).collect()
}

fn send(control: &Control, to: Member, news: Message) {
    let control = control.clone();
    actix_web::rt::spawn(async move { control.call(to.address, Call::Poison(news)).await });
}

/// Reminds others of what is held back for as long as the process runs, so that a VM that starts knows it.
pub async fn remind(control: Control) {
    loop {
        tokio::time::sleep(REMIND_EVERY).await;
        let now = control.vm.clock.now();
        let held = {
            let mut poison = control.vm.poison.lock().expect("no panic while held");
            poison.expire(now);
            poison.quarantined(now)
        };
        if held.is_empty() {
            continue;
        }
        let others = control.others();
        for member in others.choose_multiple(&mut rand::rng(), REMINDED) {
            send(&control, member.clone(), Message::Quarantined(held.clone()));
        }
    }
}
