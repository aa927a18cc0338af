//! One VM of a group reads the platform's store for the others: the calls to the store grow with
//! data centres rather than with VMs.
//!
//! A follower asks its reader a few times a second. A proof of freshness that it gets so is dated to
//! the moment it asked, less the proof's age when the reader answered, so that no delay on the way
//! makes it look younger than it is. Without an answer the follower reads for itself.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use futures_util::future::join;
use serde::{Deserialize, Serialize};

use super::feed::{Change, News, Place};
use super::follow::Kind;
use super::learn::{self, Source};
use super::vm::Vm;
use crate::decide::reader::{Asked, is_stale, time_to_ask};
use crate::peer::wire::{decode, encode};
use crate::platform::object::Object;
use crate::unit::{Moment, Span, Vm as Name};

/// Time between two questions.
const ASK_EVERY: Span = Span::millis(350);

/// A reader whose own proof is older than this part of the longest age has lost touch.
const STALE: f64 = 0.75;

/// A VM whose pause between two questions lasted so much longer than asked for was frozen, or is slow: what
/// it believes may be of before, and it gives no news for a while.
const HELD_UP: Span = Span::millis(400);
const HELD_UP_FOR: Span = Span::millis(1500);

/// A question for news.
#[derive(Serialize, Deserialize)]
struct Question {
    /// Who asks.
    from: Name,
    /// How far it has come.
    place: Place,
}

/// Follows a reader whenever there is one, until the process ends.
pub async fn run(vm: Rc<Vm>) {
    vm.feed.borrow_mut().begin(rand::random());
    let mut follower =
        Follower { vm, asked: Asked::default(), place: Place::default(), known: None };
    loop {
        follower.look().await;
        let expected = follower.vm.now() + ASK_EVERY;
        tokio::time::sleep(ASK_EVERY.duration()).await;
        let now = follower.vm.now();
        if now.since(expected) >= HELD_UP {
            follower.vm.held_up.set(Some(now));
        }
    }
}

/// One VM's search for a reader.
struct Follower {
    vm: Rc<Vm>,
    asked: Asked,
    place: Place,
    /// Of when its knowledge of servers is; none while it reads for itself.
    known: Option<Moment>,
}

impl Follower {
    /// Asks the reader for news, and the first VM by name if that is another; without news from any
    /// the VM reads for itself.
    async fn look(&mut self) {
        let group = self.vm.peers.borrow().group(&self.vm.settings.data_centre);
        let reader = self.vm.reader.borrow().clone();
        let better = |first: &Name| reader.as_ref().is_none_or(|reader| first < reader);
        let first = self.first(&group).filter(better);
        // Both at once: two that do not answer take the time of one.
        let (of_first, of_reader) =
            join(self.ask(first.as_ref(), &group), self.ask(reader.as_ref(), &group)).await;
        let has_news = self.take(of_first) || self.take(of_reader);
        let Some(reader) = reader.filter(|_| !has_news) else { return };
        // A reader that declines follows another now, which is asked before this VM reads.
        if let Some(next) = self.first(&group)
            && self.asked.has_declined(&reader)
        {
            let answer = self.ask(Some(&next), &group).await;
            if self.take(answer) {
                return;
            }
        }
        self.place = Place::default();
        self.known = None;
        read_for_itself(&self.vm, "its reader gives no news");
    }

    /// The first VM by name that may have news.
    fn first(&self, group: &HashMap<Name, SocketAddr>) -> Option<Name> {
        self.asked.next(&self.vm.settings.vm, group.keys(), self.vm.now()).cloned()
    }

    /// Asks a VM, if there is one and time for it.
    async fn ask(&self, name: Option<&Name>, group: &HashMap<Name, SocketAddr>) -> Option<Answer> {
        let name = name?.clone();
        let vm = &self.vm;
        let asked = vm.now();
        let within = time_to_ask(self.known, vm.settings.bounds.leave_within, asked)?;
        let same = vm.reader.borrow().as_ref() == Some(&name);
        let place = if same { self.place } else { Place::default() };
        let reply = match group.get(&name) {
            Some(address) => question(vm, *address, place, within).await,
            None => Reply::Silence,
        };
        Some(Answer { name, asked, reply })
    }

    /// Takes what came of a question. Whether it was news.
    fn take(&mut self, answer: Option<Answer>) -> bool {
        let Some(Answer { name, asked, reply }) = answer else { return false };
        let vm = self.vm.clone();
        if !matches!(reply, Reply::Silence) {
            vm.peers.borrow_mut().heard(&name, vm.now());
        }
        match reply {
            Reply::News(news) => {
                self.asked.answered(&name);
                self.place = news.place;
                self.known = dated(asked, news.reading(Kind::Servers).map(|told| told.age));
                apply(&vm, asked, &name, &news);
                follow(&vm, &name, &news);
                return true;
            }
            Reply::Declined => self.asked.declined(&name, vm.now()),
            Reply::Silence => self.asked.silent(&name, vm.now()),
        }
        false
    }
}

/// What came of a question that was asked at a moment.
struct Answer {
    name: Name,
    asked: Moment,
    reply: Reply,
}

/// The moment of which knowledge dates that had an age when it was told, if it was asked for at `asked`.
fn dated(asked: Moment, age: Option<Span>) -> Option<Moment> {
    Some(Moment(asked.0.saturating_sub(age?.0)))
}

/// What came of a question.
enum Reply {
    /// What changed.
    News(News),
    /// The VM does not read, or not well.
    Declined,
    /// No answer that reads.
    Silence,
}

async fn question(vm: &Vm, to: SocketAddr, place: Place, within: Span) -> Reply {
    let Some(links) = vm.peers.borrow().links() else { return Reply::Silence };
    let question = encode(&Question { from: vm.settings.vm.clone(), place });
    let answer = tokio::time::timeout(within.duration(), links.call(to, question)).await;
    match answer.ok().flatten().and_then(|bytes| decode::<Option<News>>(&bytes)) {
        Some(Some(news)) => Reply::News(news),
        Some(None) => Reply::Declined,
        None => Reply::Silence,
    }
}

/// Why a VM gives no news.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decline {
    /// Another VM reads for it, or it has not read all kinds yet.
    DoesNotRead,
    /// It stood still a moment ago, so what it believes may be of before.
    HeldUp,
    /// It has lost the store.
    StoreLost,
    /// It stops.
    Stops,
    /// Its proof of the configuration is too old.
    OldProof,
    /// What it knows of servers is too old.
    OldServers,
}

/// What a follower that asks is told; nothing if this VM does not read, or not well.
pub fn answer(vm: &Vm, question: &[u8]) -> Vec<u8> {
    let Some(Question { from, place }) = decode::<Question>(question) else {
        vm.log("question of a peer not read", &[("bytes", question.len().into())]);
        return encode(&None::<News>);
    };
    let now = vm.now();
    vm.peers.borrow_mut().heard(&from, now);
    let news = news(vm, place, now);
    tell_decline(vm, news.as_ref().err().copied(), now);
    encode(&news.ok())
}

/// Notes why this VM gives no news, when that changes.
fn tell_decline(vm: &Vm, why: Option<Decline>, now: Moment) {
    if vm.declined.replace(why) == why {
        return;
    }
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

fn news(vm: &Vm, place: Place, now: Moment) -> Result<News, Decline> {
    if vm.reader.borrow().is_some() || !vm.feed.borrow().is_whole() {
        return Err(Decline::DoesNotRead);
    }
    if vm.held_up.get().is_some_and(|at| now.since(at) < HELD_UP_FOR) {
        return Err(Decline::HeldUp);
    }
    if vm.store_lost.get() {
        return Err(Decline::StoreLost);
    }
    if vm.is_stopping() {
        return Err(Decline::Stops);
    }
    if !vm.has_followers(now) {
        // From now on proofs are due earlier.
        vm.prove.notify_one();
    }
    vm.asked.set(Some(now));
    let age = vm.proof_age(now);
    if let Some(longest) = vm.longest_proof_age() {
        age.filter(|age| *age < longest.part(STALE)).ok_or(Decline::OldProof)?;
    }
    let feed = vm.feed.borrow();
    // A proof of the configuration says nothing of servers: they have an age of their own.
    let servers = feed.reading(Kind::Servers).ok_or(Decline::DoesNotRead)?;
    if is_stale(now.since(servers.sent), vm.settings.bounds.leave_within) {
        return Err(Decline::OldServers);
    }
    Ok(feed.since(place, age, now))
}

/// Takes what a reader answered to a question of the moment `asked`.
fn apply(vm: &Vm, asked: Moment, reader: &Name, news: &News) {
    if news.whole {
        for kind in Kind::ALL {
            let of_kind = news.changes.iter().filter(|change| change.kind == kind);
            let objects: Vec<Object> = of_kind.filter_map(|change| read(vm, change)).collect();
            learn::take_all(vm, kind, &objects, &source(reader, news, kind));
        }
    } else {
        let source = |kind| source(reader, news, kind);
        news.changes.iter().for_each(|change| apply_change(vm, &source(change.kind), change));
    }
    // A proof from before this process began proves nothing that it can count.
    if let Some(at) = news.proof_age.and_then(|age| asked.0.checked_sub(age.0)) {
        learn::prove(vm, Moment(at));
    }
}

/// News of a kind are what the reader knew when it had last read that kind.
fn source<'a>(reader: &'a Name, news: &News, kind: Kind) -> Source<'a> {
    let as_of = news.reading(kind).map_or(0, |told| told.revision);
    Source { reader: Some(reader), as_of }
}

fn apply_change(vm: &Vm, source: &Source, change: &Change) {
    if change.object.is_none() {
        learn::drop_object(vm, change.kind, &change.name, change.lapsed, source);
    } else if let Some(object) = read(vm, change) {
        learn::take(vm, change.kind, &object, source);
    }
}

/// The object of a change, if it is not gone; of one that does not read, what was known stays.
fn read(vm: &Vm, change: &Change) -> Option<Object> {
    match Object::from_json(change.object.as_deref()?) {
        Ok(object) => Some(object),
        Err(why) => {
            let name = change.name.as_str();
            vm.log("news not read", &[("name", name.into()), ("why", why.as_str().into())]);
            None
        }
    }
}

fn follow(vm: &Vm, reader: &Name, news: &News) {
    if vm.reader.borrow().as_ref() == Some(reader) {
        return;
    }
    let servers = news.reading(Kind::Servers);
    let fields = [
        ("reader", reader.as_str().into()),
        ("servers_age_ms", servers.map_or(-1.0, |told| told.age.as_millis()).into()),
        ("servers_revision", servers.map_or(0, |told| told.revision).into()),
        ("proof_age_ms", news.proof_age.map_or(-1.0, Span::as_millis).into()),
    ];
    vm.log("follows a reader", &fields);
    vm.feed.borrow_mut().begin(rand::random());
    vm.store_answered();
    vm.reader.send_replace(Some(reader.clone()));
}

fn read_for_itself(vm: &Vm, why: &str) {
    if vm.reader.borrow().is_none() {
        return;
    }
    vm.log("reads the store itself", &[("why", why.into())]);
    vm.feed.borrow_mut().begin(rand::random());
    vm.reader.send_replace(None);
}
