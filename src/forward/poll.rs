//! Polls between VMs: a follower requests updates of the objects in the platform's store, and any
//! VM responds with what it knows, whether it read the store itself or follows another VM.
//!
//! A proof is a linearizable read of the store that shows that a configuration is the newest. The
//! follower dates a proof to the moment when it sent its request, less the age that the response
//! gives, so that no network delay makes the proof look younger than it is. Ages of objects are
//! dated in the same way. Updates that several VMs relay carry the delays of all hops, and updates
//! that are too old are not relayed.

use std::net::SocketAddr;
use std::rc::Rc;

use serde::{Deserialize, Serialize};

use super::feed::{Cursor, Origin, Proof, Reachability, Status, Update};
use super::kind::Kind;
use super::restore::Notice;
use super::role::Decline;
use super::rollout_counts::{self, Observations};
use super::vm::Vm;
use super::{peer, poison, usage};
use crate::decide::reader::is_too_old_to_forward;
use crate::peer::wire::{decode, encode};
use crate::unit::{Date, Span, Vm as Name};

/// Largest age of its proof at which a VM serves updates, as a fraction of the age up to which
/// requests with a key may be forwarded ([`Vm::max_proof_age`]). A VM with an older proof has lost
/// contact with the store, or with the VM that it follows.
const MAX_PROOF_AGE_FRACTION: f64 = 0.75;

/// A VM whose sleep between two polls took this much too long was stalled. Its state may be
/// outdated, so it serves no updates for `STALL_QUARANTINE`.
pub const STALL_THRESHOLD: Span = Span::millis(400);
/// Time after a stall during which a VM serves no updates.
const STALL_QUARANTINE: Span = Span::millis(1500);

/// A request for updates.
#[derive(Serialize, Deserialize)]
struct Request {
    /// The VM that sends the request.
    from: Name,
    /// The sender's cursor in the feed of the recipient.
    cursor: Cursor,
    /// The sender's answer counts of the trials of running rollouts, if the recipient has not
    /// received them yet.
    counts: Vec<Observations>,
    /// Request contents that the sender has quarantined, since servers crashed under them.
    quarantined: Vec<poison::QuarantinedContent>,
    /// The sender's usage, if the recipient has not received it yet; `None` if usage is not
    /// reported.
    usage: Option<usage::Batch>,
}

/// Answer to a [`Request`].
#[derive(Serialize, Deserialize)]
struct Answer {
    /// The update, or the reason why none is served.
    update: Result<Update, Decline>,
    /// Date on which the VMs agree; `None` if usage is not reported.
    date: Option<Date>,
}

/// Outcome of a request for updates.
pub enum Response {
    /// The changes since the cursor, and the state of the store.
    Update(Box<Update>),
    /// The VM serves no updates now.
    Declined(Decline),
    /// No answer in time, or none that could be decoded.
    NoAnswer,
}

/// Requests the changes since `cursor` from the VM at `to`, and sends it the answer `counts`
/// of the trials of running rollouts, and usage. Waits for the response for the time `within`.
pub async fn request_updates(
    vm: &Vm,
    to: SocketAddr,
    cursor: Cursor,
    counts: &[Observations],
    usage: Option<&usage::Batch>,
    within: Span,
) -> Response {
    let Some(links) = vm.peers.borrow().links() else { return Response::NoAnswer };
    let from = vm.settings.vm.clone();
    let (counts, quarantined) = (counts.to_vec(), poison::quarantined(vm));
    let usage = usage.cloned();
    let request = encode(&Request { from, cursor, counts, quarantined, usage });
    let answer = tokio::time::timeout(within.duration(), links.call(to, request)).await;
    let answer = answer.ok().flatten().and_then(|bytes| decode::<Answer>(&bytes));
    let Some(Answer { update, date }) = answer else { return Response::NoAnswer };
    match update {
        Ok(update) => {
            usage::on_upstream_date(vm, date);
            Response::Update(Box::new(update))
        }
        Err(why) => Response::Declined(why),
    }
}

/// Returns the encoded answer to a request for updates: an update, or the reason why this VM
/// serves none.
pub fn respond(vm: &Rc<Vm>, request: &[u8]) -> Vec<u8> {
    let Some(request) = decode::<Request>(request) else {
        vm.log("invalid poll request", &[("bytes", request.len().into())]);
        return encode(&Answer { update: Err(Decline::Unreadable), date: None });
    };
    let Request { from, cursor, counts, quarantined, usage } = request;
    peer::on_contact(vm, &from);
    rollout_counts::merge_counts(vm, counts);
    poison::on_quarantine_list(vm, from.as_str(), &quarantined, vm.now());
    if let Some(batch) = &usage {
        usage::on_batch(vm, &from, batch);
    }
    let update = update(vm, cursor);
    log_decline(vm, update.as_ref().err().copied());
    encode(&Answer { update, date: usage::agreed_date(vm) })
}

/// Logs why this VM serves no updates, when the reason changes.
fn log_decline(vm: &Vm, why: Option<Decline>) {
    if vm.last_decline.replace(why) == why {
        return;
    }
    let now = vm.now();
    let why = why.map_or_else(|| "none".to_owned(), |why| format!("{why:?}"));
    let servers = vm.feed.borrow().freshness(Kind::Servers);
    let servers_age = servers.map(|reading| now.since(reading.read_sent_at));
    let fields = [
        ("declined", why.as_str().into()),
        ("servers_age_ms", servers_age.map_or(-1.0, Span::as_millis).into()),
        ("proof_age_ms", vm.proof_age(now).map_or(-1.0, Span::as_millis).into()),
    ];
    vm.log("serving of updates changed", &fields);
}

/// Returns the update for a follower at `cursor`, or the reason why this VM serves none.
fn update(vm: &Vm, cursor: Cursor) -> Result<Update, Decline> {
    let now = vm.now();
    if !knows_enough(vm) {
        return Err(Decline::KnowsTooLittle);
    }
    if vm.stalled_at.get().is_some_and(|at| now.since(at) < STALL_QUARANTINE) {
        return Err(Decline::HeldUp);
    }
    if vm.is_stopping() {
        return Err(Decline::Stops);
    }
    let proof_age = vm.proof_age(now);
    let verdicts = rollout_counts::verdicts(vm);
    let store = reachability(vm, check_ages(vm, proof_age))?;
    let quarantined = poison::quarantined(vm);
    let configuration = vm.routes().map(|table| table.revision);
    let proof = proof_age.zip(configuration);
    let proof = proof.map(|(age, configuration)| Proof { age, configuration });
    let restore = Notice::of(vm, now);
    let status = Status { origin: origin(vm), store, proof, restore, verdicts, quarantined };
    Ok(vm.feed.borrow().update_since(cursor, status, now))
}

/// Returns true if this VM has read all kinds, as far as the store lists them.
fn knows_enough(vm: &Vm) -> bool {
    let feed = vm.feed.borrow();
    let incomplete = vm.incomplete_kinds.borrow();
    Kind::ALL.iter().all(|kind| feed.freshness(*kind).is_some() || incomplete.contains(kind))
}

/// Returns the state of the store to report, or why no update is served; `current` is the result of
/// [`check_ages`]. While the store is down no VM has anything newer, so outdated objects are served
/// with their age. The store counts as down until all state is current again. Without that rule,
/// when the first VM of a group had a response about servers some milliseconds before its proof, 9
/// of 16 VMs read the store themselves.
fn reachability(vm: &Vm, current: Result<(), Decline>) -> Result<Reachability, Decline> {
    match (vm.store_state(vm.now()), current) {
        (Reachability::Down, _) | (Reachability::Recovered(_), Err(_)) => Ok(Reachability::Down),
        (store, current) => current.map(|()| store),
    }
}

/// Returns the VM that read the updates served here; this VM if it reads the store itself.
fn origin(vm: &Vm) -> Origin {
    let origin = vm.updates_origin.borrow().clone();
    origin.unwrap_or_else(|| Origin { reader: vm.settings.vm.clone(), hops: 0 })
}

/// Returns an error if the proof or the state of the servers is too old to be served.
fn check_ages(vm: &Vm, proof_age: Option<Span>) -> Result<(), Decline> {
    if let Some(longest) = vm.max_proof_age() {
        proof_age
            .filter(|age| *age < longest.mul_f64(MAX_PROOF_AGE_FRACTION))
            .ok_or(Decline::OldProof)?;
    }
    // A proof of the configuration does not cover servers, which have an age of their own.
    let servers = vm.feed.borrow().freshness(Kind::Servers).ok_or(Decline::KnowsTooLittle)?;
    let age = vm.now().since(servers.read_sent_at);
    if is_too_old_to_forward(age, vm.schedules.contact_bound()) {
        return Err(Decline::OldServers);
    }
    Ok(())
}
