//! What a VM answers those that ask it for update: what it knows of the platform's objects, whoever read them.
//!
//! A proof of freshness is dated to the moment of its question, less the proof's age when it was told, so that no
//! delay on the way makes it look younger than it is; so are all readings. What is passed on by several VMs is as old as
//! all the ways took, and what is too old is not passed on.

use std::net::SocketAddr;
use std::rc::Rc;

use serde::{Deserialize, Serialize};

use super::feed::{Cursor, Origin, Proof, Reachability, Status, Update};
use super::kind::Kind;
use super::restore::Notice;
use super::role::Decline;
use super::rollout_counts::{self, Observations};
use super::vm::Vm;
use super::{peer, poison};
use crate::decide::reader::is_stale;
use crate::peer::wire::{decode, encode};
use crate::unit::{Span, Vm as Name};

/// A reader whose own proof is older than this part of the longest age has lost touch.
const MAX_PROOF_AGE_FRACTION: f64 = 0.75;

/// A VM whose pause between two questions lasted so much longer than asked for was frozen, or is slow: what
/// it believes may be of before, and it gives no update for a while.
pub const STALL_THRESHOLD: Span = Span::millis(400);
const STALL_QUARANTINE: Span = Span::millis(1500);

/// A question for update.
#[derive(Serialize, Deserialize)]
struct Request {
    /// Who asks.
    from: Name,
    /// How far it has come.
    cursor: Cursor,
    /// What it has seen of versions that are rolled out, as far as this is update.
    seen: Vec<Observations>,
    /// Contents that it holds back.
    held: Vec<poison::QuarantinedContent>,
}

/// What came of a question.
pub enum Response {
    /// What changed.
    Update(Box<Update>),
    /// The VM gives none.
    Declined(Decline),
    /// No answer that reads.
    NoAnswer,
}

/// Asks the VM at `to` for what changed since `cursor`, and tells it what was `seen` of versions.
pub async fn request(
    vm: &Vm,
    to: SocketAddr,
    cursor: Cursor,
    seen: &[Observations],
    within: Span,
) -> Response {
    let Some(links) = vm.peers.borrow().links() else { return Response::NoAnswer };
    let from = vm.settings.vm.clone();
    let (seen, held) = (seen.to_vec(), poison::quarantined(vm));
    let question = encode(&Request { from, cursor, seen, held });
    let answer = tokio::time::timeout(within.duration(), links.call(to, question)).await;
    match answer.ok().flatten().and_then(|bytes| decode::<Result<Update, Decline>>(&bytes)) {
        Some(Ok(update)) => Response::Update(Box::new(update)),
        Some(Err(why)) => Response::Declined(why),
        None => Response::NoAnswer,
    }
}

/// What a VM that asks is told; the reason if this one knows nothing, or what it knows is too old.
pub fn respond(vm: &Rc<Vm>, question: &[u8]) -> Vec<u8> {
    let Some(Request { from, cursor, seen, held }) = decode::<Request>(question) else {
        vm.log("question of a peer not read", &[("bytes", question.len().into())]);
        return encode(&Err::<Update, Decline>(Decline::Unreadable));
    };
    peer::on_contact(vm, &from);
    rollout_counts::merge_counts(vm, seen);
    poison::on_quarantine_list(vm, from.as_str(), &held, vm.now());
    let update = update(vm, cursor);
    log_decline(vm, update.as_ref().err().copied());
    encode(&update)
}

/// Notes why this VM gives no update, when that changes.
fn log_decline(vm: &Vm, why: Option<Decline>) {
    if vm.last_decline.replace(why) == why {
        return;
    }
    let now = vm.now();
    let why = why.map_or_else(|| "none".to_owned(), |why| format!("{why:?}"));
    let servers = vm.feed.borrow().freshness(Kind::Servers);
    let servers_age = servers.map(|reading| now.since(reading.sent));
    let fields = [
        ("declined", why.as_str().into()),
        ("servers_age_ms", servers_age.map_or(-1.0, Span::as_millis).into()),
        ("proof_age_ms", vm.proof_age(now).map_or(-1.0, Span::as_millis).into()),
    ];
    vm.log("news for followers", &fields);
}

fn update(vm: &Vm, cursor: Cursor) -> Result<Update, Decline> {
    let now = vm.now();
    if !vm.feed.borrow().is_complete() {
        return Err(Decline::KnowsTooLittle);
    }
    if vm.stalled_at.get().is_some_and(|at| now.since(at) < STALL_QUARANTINE) {
        return Err(Decline::HeldUp);
    }
    if vm.is_stopping() {
        return Err(Decline::Stops);
    }
    if !vm.has_followers(now) {
        // From now on proofs are due earlier.
        vm.proof_requested.notify_one();
    }
    vm.follower_polled_at.set(Some(now));
    let proof_age = vm.proof_age(now);
    let verdicts = rollout_counts::verdicts(vm);
    let store = availability(vm, check_ages(vm, proof_age))?;
    let held = poison::quarantined(vm);
    let configuration = vm.routes().map(|table| table.revision);
    let proof = proof_age.zip(configuration);
    let proof = proof.map(|(age, configuration)| Proof { age, configuration });
    let restore = Notice::of(vm, now);
    let status = Status { origin: origin(vm), store, proof, restore, verdicts, held };
    Ok(vm.feed.borrow().since(cursor, status, now))
}

/// How the store does, given how current this VM is. Of a store that is lost no newer word is to be had; how old this
/// one is, is told with it. It counts as lost until all is current again: 9 of 16 VMs read for themselves when the first
/// had an answer about servers some milliseconds before its proof.
fn availability(vm: &Vm, current: Result<(), Decline>) -> Result<Reachability, Decline> {
    match (vm.store_state(vm.now()), current) {
        (Reachability::Down, _) | (Reachability::Recovered(_), Err(_)) => Ok(Reachability::Down),
        (store, current) => current.map(|()| store),
    }
}

/// Who read what this VM tells.
fn origin(vm: &Vm) -> Origin {
    let heard = vm.origin.borrow().clone();
    heard.unwrap_or_else(|| Origin { reader: vm.settings.vm.clone(), hops: 0 })
}

fn check_ages(vm: &Vm, proof_age: Option<Span>) -> Result<(), Decline> {
    if let Some(longest) = vm.max_proof_age() {
        proof_age
            .filter(|age| *age < longest.part(MAX_PROOF_AGE_FRACTION))
            .ok_or(Decline::OldProof)?;
    }
    // A proof of the configuration says nothing of servers: they have an age of their own.
    let servers = vm.feed.borrow().freshness(Kind::Servers).ok_or(Decline::KnowsTooLittle)?;
    let age = vm.now().since(servers.sent);
    if is_stale(age, vm.settings.bounds.drain_within) {
        return Err(Decline::OldServers);
    }
    Ok(())
}
