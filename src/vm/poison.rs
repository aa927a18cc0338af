//! Request contents (digests of what requests ask for) that crash backend servers: checks if
//! servers crashed, and exchanges the results with other VMs. The decisions are in
//! [`crate::decide::poison`].

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_web::rt::spawn;
use futures_util::future::join_all;
use rand::seq::IndexedRandom;
use tokio::sync::oneshot;

use super::control::Control;
use super::{Command, Vm};
use crate::decide::poison::{
    BrokenRequest, Effects, Fingerprint, Message, Outgoing, Recipients, ServerIncarnation,
    Topology, Transition, refusal,
};
use crate::engine::check::{self, ProcessState};
use crate::engine::crash_check::{Check, Checks};
use crate::peer::delivery::await_required;
use crate::peer::wire::Call;
use crate::peer::{Member, rendezvous_order};
use crate::unit::{Date, Digest, Moment, RequestId, Server, Span};

/// Number of other VMs up to which each VM sends what it observes of a content to all of them.
const FULL_MESH_LIMIT: usize = 12;

/// Number of VMs that collect the observations of one content in a fleet beyond
/// [`FULL_MESH_LIMIT`].
const AGGREGATORS: usize = 3;

/// Length of the time windows in which crashes of a server count as one. A server does not report
/// its incarnation (process lifetime); VMs observe a crash some milliseconds apart, and a server
/// needs seconds to restart.
const INCARNATION_WINDOW: Span = Span::secs(4);

/// Time between two reminders of the quarantined contents that a VM sends to others.
const REMINDER_INTERVAL: Duration = Duration::from_secs(1);

/// Number of random VMs that each VM sends a reminder to. With 2 a second, a VM that has just
/// started receives none in three seconds once in 400 times.
const REMINDER_FANOUT: usize = 2;

/// Returns an identifier of the incarnation of a server that crashed at a date, alike on all VMs
/// that observe the crash.
fn incarnation_at(server: &Server, date: Date) -> ServerIncarnation {
    ServerIncarnation::new(server.as_str(), Some(date.0 / INCARNATION_WINDOW.0))
}

/// Returns true if a request has a quarantined digest for which it must not be sent to a server.
pub fn is_quarantined(vm: &Vm, request: &Fingerprint) -> bool {
    let poison = vm.poison.lock().expect("no panic while held");
    poison.refusal_cause(request, vm.clock.now()).is_some()
}

/// Checks, after a response ended early, if the process of the server has crashed, and then records
/// the crash for the request. Returns the check, which ends when the other VMs know
/// of the crash too.
pub fn on_broken_response(
    vm: &Arc<Vm>,
    server: &Server,
    address: SocketAddr,
    request: BrokenRequest,
) -> Check {
    let (vm, server) = (vm.clone(), server.clone());
    let (reporter, check) = Check::start();
    spawn(async move {
        let found = check::check_process_with(address, || reporter.on_accepted()).await;
        log::info!(
            "{} checked {server} after a broken response: {found:?}, content {}",
            vm.settings.vm,
            request.fingerprint.content()
        );
        if found == ProcessState::IsGone {
            let incarnation = incarnation_at(&server, vm.clock.date());
            let now = vm.clock.now();
            let effects = {
                let mut poison = vm.poison.lock().expect("no panic while held");
                poison.on_server_crash(incarnation, &[request], Topology::Direct, now)
            };
            // Fails for messages that were not sent because this VM stops.
            let deliveries = apply_effects(&vm, effects);
            reporter.on_result();
            let _ = join_all(deliveries).await;
        }
        drop(reporter);
    });
    check
}

/// Waits, before a request is sent again, for the checks of the servers that broke off their
/// responses to it, if their crashes would quarantine it.
pub async fn await_decisive_checks(
    vm: &Vm,
    fingerprint: &Fingerprint,
    deadline: Moment,
    checks: &Checks,
) {
    let further_crashes = checks.without_result();
    let is_decisive = {
        let poison = vm.poison.lock().expect("no panic while held");
        poison.would_be_quarantined(fingerprint, further_crashes)
    };
    if further_crashes > 0 && is_decisive {
        checks.wait_for_results(refusal::max_wait(deadline, vm.clock.now())).await;
    }
}

/// Waits, before a request is refused, until the servers that broke off their responses to it have
/// been checked and the other VMs know of the crashes. A request under which no server broke off
/// is not delayed.
pub async fn await_crash_checks(
    vm: &Vm,
    request: &RequestId,
    fingerprint: &Fingerprint,
    deadline: Moment,
    checks: &Checks,
) {
    if checks.is_empty() {
        return;
    }
    let started_at = vm.clock.now();
    let is_suspect = vm.poison.lock().expect("no panic while held").is_suspect(fingerprint);
    let content = fingerprint.content();
    let limit = refusal::max_wait(deadline, started_at);
    let is_complete = checks.wait(is_suspect, limit).await;
    log::info!(
        "{} refuses {request} after {} broken responses, content {content}, waited {}, complete: \
         {is_complete}",
        vm.settings.vm,
        checks.len(),
        vm.clock.now().since(started_at)
    );
}

/// Records that a request with these digests ran well, which clears them of suspicion.
pub fn on_success(vm: &Vm, digests: &[Digest]) {
    let now = vm.clock.now();
    let effects = vm.poison.lock().expect("no panic while held").on_success(digests, now);
    apply_effects(vm, effects);
}

/// Handles a message of another VM about contents that crash servers.
pub fn on_message(vm: &Vm, message: &Message) {
    let now = vm.clock.now();
    let effects =
        vm.poison.lock().expect("no panic while held").on_message(message, Topology::Direct, now);
    apply_effects(vm, effects);
}

/// Logs the start and end of quarantines, and queues the messages for other VMs. Returns for each
/// message the end of its delivery.
fn apply_effects(vm: &Vm, effects: Effects) -> Vec<oneshot::Receiver<()>> {
    for transition in effects.transitions {
        match transition {
            Transition::Quarantined(content, crashes) => {
                log::warn!(
                    "{} content {content} quarantined after {crashes} server crashes",
                    vm.settings.vm
                );
            }
            Transition::Released(content) => {
                log::info!("{} content {content} released from quarantine", vm.settings.vm)
            }
        }
    }
    let queue = |outgoing| {
        let (delivered, delivery) = oneshot::channel();
        vm.send_command(Command::SendPoison(outgoing, delivered));
        delivery
    };
    effects.messages.into_iter().map(queue).collect()
}

/// Sends a message to its recipients and waits until enough of them have answered.
pub async fn send_outgoing(control: &Control, outgoing: Outgoing) {
    let others = control.other_vms();
    let is_full_mesh = others.len() <= FULL_MESH_LIMIT;
    let topology = if is_full_mesh { Topology::Direct } else { Topology::Gossip };
    let to = match outgoing.to {
        Recipients::All => others,
        Recipients::Aggregators(_) if is_full_mesh => others,
        Recipients::Aggregators(digest) => aggregators(control, others, digest, &outgoing.message),
    };
    let deliveries: Vec<_> = to
        .into_iter()
        .map(|member| spawn(send(control.clone(), member, outgoing.message.clone())))
        .collect();
    let required = refusal::required_deliveries(topology, deliveries.len());
    await_required(deliveries, required).await;
}

/// Returns the other VMs that aggregate the observations of a digest and, of a crash, those of the
/// other digests of the request.
fn aggregators(
    control: &Control,
    others: Vec<Member>,
    digest: Digest,
    message: &Message,
) -> Vec<Member> {
    let own_vm = &control.vm.settings.vm;
    let reported = match message {
        Message::ServerCrashed { requests, .. } => requests.as_slice(),
        Message::Quarantined(_) | Message::Succeeded { .. } => &[],
    };
    let digests = reported.iter().map(|request| request.content).chain([digest]);
    let chosen: HashSet<_> = digests
        .flat_map(|digest| {
            let names = others.iter().map(|member| &member.vm).chain([own_vm]);
            let order = rendezvous_order(&format!("content/{digest}"), names);
            order.into_iter().take(AGGREGATORS).cloned().collect::<Vec<_>>()
        })
        .collect();
    others.into_iter().filter(|member| chosen.contains(&member.vm)).collect()
}

/// Sends a message to a VM. Returns false if that does not answer.
async fn send(control: Control, to: Member, message: Message) -> bool {
    control.call(to.address, Call::Poison(message)).await.is_some()
}

/// Sends the quarantined contents to a few random VMs at each interval, so that a VM that starts
/// learns of them.
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
        for member in others.choose_multiple(&mut rand::rng(), REMINDER_FANOUT).cloned() {
            let message = Message::Quarantined(quarantined.clone());
            spawn(send(control.clone(), member, message));
        }
    }
}
