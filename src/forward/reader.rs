//! What a VM answers those that ask it for news: what it knows of the platform's objects, whoever read them.
//!
//! A proof of freshness is dated to the moment of its question, less the proof's age when it was told, so that no
//! delay on the way makes it look younger than it is; so are all readings. What is passed on by several VMs is as old as
//! all the ways took, and what is too old is not passed on.

use std::net::SocketAddr;
use std::rc::Rc;

use serde::{Deserialize, Serialize};

use super::feed::{News, Origin, Place, Proof, Stand, Store};
use super::kind::Kind;
use super::peer;
use super::poison;
use super::restore::Notice;
use super::role::Decline;
use super::rollout_counts::{self, Observations};
use super::vm::Vm;
use crate::decide::reader::is_stale;
use crate::peer::wire::{decode, encode};
use crate::unit::{Span, Vm as Name};

/// A reader whose own proof is older than this part of the longest age has lost touch.
const STALE: f64 = 0.75;

/// A VM whose pause between two questions lasted so much longer than asked for was frozen, or is slow: what
/// it believes may be of before, and it gives no news for a while.
pub const HELD_UP: Span = Span::millis(400);
const HELD_UP_FOR: Span = Span::millis(1500);

/// A question for news.
#[derive(Serialize, Deserialize)]
struct Question {
    /// Who asks.
    from: Name,
    /// How far it has come.
    place: Place,
    /// What it has seen of versions that are rolled out, as far as this is news.
    seen: Vec<Observations>,
    /// Contents that it holds back.
    held: Vec<poison::QuarantinedContent>,
}

/// What came of a question.
pub enum Reply {
    /// What changed.
    News(Box<News>),
    /// The VM gives none.
    Declined(Decline),
    /// No answer that reads.
    Silence,
}

/// Asks the VM at `to` for what changed since `place`, and tells it what was `seen` of versions.
pub async fn ask(
    vm: &Vm,
    to: SocketAddr,
    place: Place,
    seen: &[Observations],
    within: Span,
) -> Reply {
    let Some(links) = vm.peers.borrow().links() else { return Reply::Silence };
    let from = vm.settings.vm.clone();
    let (seen, held) = (seen.to_vec(), poison::held(vm));
    let question = encode(&Question { from, place, seen, held });
    let answer = tokio::time::timeout(within.duration(), links.call(to, question)).await;
    match answer.ok().flatten().and_then(|bytes| decode::<Result<News, Decline>>(&bytes)) {
        Some(Ok(news)) => Reply::News(Box::new(news)),
        Some(Err(why)) => Reply::Declined(why),
        None => Reply::Silence,
    }
}

/// What a VM that asks is told; the reason if this one knows nothing, or what it knows is too old.
pub fn answer(vm: &Rc<Vm>, question: &[u8]) -> Vec<u8> {
    let Some(Question { from, place, seen, held }) = decode::<Question>(question) else {
        vm.log("question of a peer not read", &[("bytes", question.len().into())]);
        return encode(&Err::<News, Decline>(Decline::Unreadable));
    };
    peer::heard(vm, &from);
    rollout_counts::merge_counts(vm, seen);
    poison::hear_held(vm, from.as_str(), &held, vm.now());
    let news = news(vm, place);
    tell_decline(vm, news.as_ref().err().copied());
    encode(&news)
}

/// Notes why this VM gives no news, when that changes.
fn tell_decline(vm: &Vm, why: Option<Decline>) {
    if vm.declined.replace(why) == why {
        return;
    }
    let now = vm.now();
    let why = why.map_or_else(|| "none".to_owned(), |why| format!("{why:?}"));
    let servers = vm.feed.borrow().reading(Kind::Servers);
    let servers_age = servers.map(|reading| now.since(reading.sent));
    let fields = [
        ("declined", why.as_str().into()),
        ("servers_age_ms", servers_age.map_or(-1.0, Span::as_millis).into()),
        ("proof_age_ms", vm.proof_age(now).map_or(-1.0, Span::as_millis).into()),
    ];
    vm.log("news for followers", &fields);
}

fn news(vm: &Vm, place: Place) -> Result<News, Decline> {
    let now = vm.now();
    if !vm.feed.borrow().is_whole() {
        return Err(Decline::KnowsTooLittle);
    }
    if vm.held_up.get().is_some_and(|at| now.since(at) < HELD_UP_FOR) {
        return Err(Decline::HeldUp);
    }
    if vm.is_stopping() {
        return Err(Decline::Stops);
    }
    if !vm.has_followers(now) {
        // From now on proofs are due earlier.
        vm.prove.notify_one();
    }
    vm.asked.set(Some(now));
    let proof_age = vm.proof_age(now);
    let verdicts = rollout_counts::verdicts(vm);
    let store = store(vm, check_ages(vm, proof_age))?;
    let held = poison::held(vm);
    let configuration = vm.routes().map(|table| table.revision);
    let proof = proof_age.zip(configuration);
    let proof = proof.map(|(age, configuration)| Proof { age, configuration });
    let restore = Notice::of(vm, now);
    let stand = Stand { origin: origin(vm), store, proof, restore, verdicts, held };
    Ok(vm.feed.borrow().since(place, stand, now))
}

/// How the store does, given how current this VM is. Of a store that is lost no newer word is to be had; how old this
/// one is, is told with it. It counts as lost until all is current again: 9 of 16 VMs read for themselves when the first
/// had an answer about servers some milliseconds before its proof.
fn store(vm: &Vm, current: Result<(), Decline>) -> Result<Store, Decline> {
    match (vm.store(vm.now()), current) {
        (Store::IsLost, _) | (Store::IsBack(_), Err(_)) => Ok(Store::IsLost),
        (store, current) => current.map(|()| store),
    }
}

/// Who read what this VM tells.
fn origin(vm: &Vm) -> Origin {
    let heard = vm.origin.borrow().clone();
    heard.unwrap_or_else(|| Origin { reader: vm.settings.vm.clone(), hops: 0 })
}

fn check_ages(vm: &Vm, proof_age: Option<Span>) -> Result<(), Decline> {
    if let Some(longest) = vm.longest_proof_age() {
        proof_age.filter(|age| *age < longest.part(STALE)).ok_or(Decline::OldProof)?;
    }
    // A proof of the configuration says nothing of servers: they have an age of their own.
    let servers = vm.feed.borrow().reading(Kind::Servers).ok_or(Decline::KnowsTooLittle)?;
    let age = vm.now().since(servers.sent);
    if is_stale(age, vm.settings.bounds.leave_within) {
        return Err(Decline::OldServers);
    }
    Ok(())
}
