//! A VM's search for one that has news, as [`crate::decide::reader`] says, and what it does without.

use std::collections::HashMap;
use std::rc::Rc;

use futures_util::future::join;

use super::feed::{News, Origin, Place, Store};
use super::kind::Kind;
use super::learn::{self, Source};
use super::pack::Change;
use super::peer;
use super::poison;
use super::reader::{self, HELD_UP, Reply};
use super::role::{Decline, Role};
use super::rollout_counts::{self, Observations, SentCounts};
use super::trial::RolloutTrial;
use super::vm::Vm;
use crate::decide::reader::{
    self as decide, FAST_POLL_INTERVAL, FIRST_ANSWER_TIMEOUT, FollowerState, POLL_INTERVAL, Rank,
    STARTUP_WAIT, STORE_LOSS_CONFIRMED_AFTER, SourceHistory, answer_timeout, may_accept,
};
use crate::platform::object::Object;
use crate::unit::{Moment, Span, Vm as Name};

/// Follows another VM whenever one has news, until the process ends.
pub async fn run(vm: Rc<Vm>) {
    if vm.settings.links.is_none() {
        vm.role.send_replace(Role::Reads);
        return;
    }
    vm.peers_named.notified().await;
    let begun = vm.now();
    let mut follower = Follower {
        vm,
        begun,
        asked: SourceHistory::default(),
        places: HashMap::new(),
        known: None,
        lost_since: None,
        tally: SentCounts::default(),
    };
    loop {
        let pause = if follower.look().await { POLL_INTERVAL } else { FAST_POLL_INTERVAL };
        let expected = follower.vm.now() + pause;
        let asked_again = follower.vm.ask_again.notified();
        if tokio::time::timeout(pause.duration(), asked_again).await.is_ok() {
            follower.asked.clear_declined();
        }
        let now = follower.vm.now();
        if now.since(expected) >= HELD_UP {
            follower.vm.held_up.set(Some(now));
        }
    }
}

/// One VM's search.
struct Follower {
    vm: Rc<Vm>,
    /// When it began.
    begun: Moment,
    asked: SourceHistory,
    /// How far it has come with the news of each VM.
    places: HashMap<Name, Place>,
    /// Of when its knowledge of servers is; none while it reads for itself.
    known: Option<Moment>,
    /// Since when those that answer say that the store is lost.
    lost_since: Option<Moment>,
    /// What others were told of versions that are rolled out.
    tally: SentCounts,
}

/// The VMs that one may ask.
struct Circle {
    own: Rank,
    /// The others of its group.
    group: Vec<Rank>,
    /// The first of each other group.
    firsts: Vec<Rank>,
}

/// What came of a question that was asked at a moment.
struct Answer {
    name: Name,
    asked: Moment,
    /// What was told with it.
    seen: Vec<Observations>,
    reply: Reply,
}

/// What an answer was worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Worth {
    /// Nothing.
    None,
    /// What was known when the store was lost.
    Old,
    /// News.
    News,
}

impl Follower {
    /// Asks the next VM that may have news, and the one that is followed if that is another. Whether this VM has what
    /// it needs for now.
    async fn look(&mut self) -> bool {
        let circle = self.circle();
        let followed = match &*self.vm.role.borrow() {
            Role::Follows(name) => Some(name.clone()),
            Role::Joins | Role::Reads => None,
        };
        self.note_place(&circle);
        let next = self.next(&circle).filter(|next| Some(next) != followed.as_ref());
        // Both at once: two that do not answer take the time of one.
        let (of_next, of_followed) =
            join(self.ask(next, &circle), self.ask(followed, &circle)).await;
        let worth = self.take(of_next);
        let worth = if worth < Worth::News { worth.max(self.take(of_followed)) } else { worth };
        if worth == Worth::Old {
            self.vm.hear_store(Store::IsLost, self.vm.now());
        }
        worth == Worth::News || self.go_without(worth == Worth::Old, &circle)
    }

    /// Time for a question, if any. While the store is said to be lost others may yet be asked, however old is what is
    /// known.
    fn time_to_ask(&self, circle: &Circle) -> Option<Span> {
        let now = self.vm.now();
        let lost = self.vm.told_lost.get() || self.is_told_lost(circle);
        answer_timeout(self.known.filter(|_| !lost), self.vm.settings.bounds.leave_within, now)
    }

    fn is_told_lost(&self, circle: &Circle) -> bool {
        self.asked.is_store_reported_lost(&circle.own, circle.group.iter(), self.vm.now())
    }

    /// Whether this VM has just started and had no news yet.
    fn is_new(&self) -> bool {
        self.known.is_none() && self.is_young()
    }

    fn is_young(&self) -> bool {
        self.vm.now().since(self.begun) < STARTUP_WAIT
    }

    fn circle(&self) -> Circle {
        let vm = &self.vm;
        let own = vm.rank();
        let now = vm.now();
        let peers = vm.peers.borrow();
        let (group, others) = peers.groups(&vm.settings.data_centre);
        let firsts = others.into_values();
        let firsts =
            firsts.filter_map(|group| self.asked.first_responsive(group.iter(), now).cloned());
        let firsts = firsts.collect();
        Circle { own, group, firsts }
    }

    fn place(&self, circle: &Circle) -> decide::Place {
        self.asked.place(&circle.own, circle.group.iter(), self.vm.now())
    }

    /// Notes since when this VM is the first of its group, and whether enough other firsts come before it.
    fn note_place(&self, circle: &Circle) {
        let now = self.vm.now();
        let is_first = self.place(circle) == decide::Place::First;
        let since = self.vm.first_since.get();
        self.vm.first_since.set(is_first.then(|| since.unwrap_or(now)));
        let among = self.asked.place(&circle.own, circle.firsts.iter(), now);
        self.vm.tries_rarely.set(among == decide::Place::Behind);
    }

    /// The next VM to ask: one before this one in its group; for the first of a group, the first of another.
    fn next(&self, circle: &Circle) -> Option<Name> {
        let now = self.vm.now();
        let next = if self.place(circle) != decide::Place::First {
            self.asked.next_source(&circle.own, circle.group.iter(), now)
        } else if self.vm.store_lost.get() || self.vm.doubts_store.get() {
            self.asked.any_source(circle.firsts.iter(), now)
        } else {
            self.asked.next_source(&circle.own, circle.firsts.iter(), now)
        };
        next.cloned()
    }

    /// Asks a VM, if there is one and time for it.
    async fn ask(&self, name: Option<Name>, circle: &Circle) -> Option<Answer> {
        let (name, vm) = (name?, &self.vm);
        let asked = vm.now();
        let within = match self.is_new() {
            true => FIRST_ANSWER_TIMEOUT,
            false => self.time_to_ask(circle)?,
        };
        let place = self.places.get(&name).copied().unwrap_or_default();
        let is_first = vm.first_since.get().is_some();
        let seen = self.tally.unsent(vm, &name, is_first);
        let address = vm.peers.borrow().address(&name);
        let reply = match address {
            Some(address) => reader::ask(vm, address, place, &seen, within).await,
            None => Reply::Silence,
        };
        Some(Answer { name, asked, seen, reply })
    }

    /// Takes what came of a question.
    fn take(&mut self, answer: Option<Answer>) -> Worth {
        let Some(Answer { name, asked, seen, reply }) = answer else { return Worth::None };
        let now = self.vm.now();
        if !matches!(reply, Reply::Silence) {
            peer::heard(&self.vm, &name);
            self.tally.record_sent(&name, seen);
        }
        match reply {
            Reply::News(news) => return self.take_news(&name, asked, &news),
            Reply::Declined(Decline::KnowsTooLittle) => self.asked.on_not_ready(&name, now),
            Reply::Declined(_) => self.asked.on_declined(&name, now),
            Reply::Silence if self.is_new() => self.asked.on_startup_timeout(&name, now),
            Reply::Silence => self.asked.on_timeout(&name, now),
        }
        Worth::None
    }

    fn take_news(&mut self, from: &Name, asked: Moment, news: &News) -> Worth {
        let vm = self.vm.clone();
        let Origin { reader, hops } = &news.origin;
        let is_lost = news.store == Store::IsLost;
        if !may_accept(reader, *hops, &vm.settings.vm) || (is_lost && vm.reads()) {
            self.asked.on_declined(from, vm.now());
            return Worth::None;
        }
        if is_lost {
            // Another may reach the store; this one is asked on, to hear of its return.
            self.asked.on_store_lost(from, vm.now());
            let lost_since = *self.lost_since.get_or_insert(vm.now());
            if *vm.role.borrow() == Role::Joins
                && vm.now().since(lost_since) < STORE_LOSS_CONFIRMED_AFTER
            {
                return Worth::Old;
            }
        }
        let position = news.position();
        if position.era < vm.era.newest() {
            vm.log("news of an older era", &[("from", from.as_str().into())]);
            self.asked.on_declined(from, vm.now());
            return Worth::None;
        }
        vm.enter_with(position.era, news.restore.as_ref().map(|restore| restore.at(asked)));
        let Some(changes) = news.changes.changes() else {
            let bytes = ("bytes", news.changes.size().into());
            vm.log("news not read", &[("from", from.as_str().into()), bytes]);
            self.asked.on_declined(from, vm.now());
            return Worth::None;
        };
        self.places.insert(from.clone(), news.place);
        if !is_lost {
            vm.hear_store(news.store, asked);
        }
        rollout_counts::apply_verdicts(&vm, &news.verdicts);
        poison::hear_held(&vm, from.as_str(), &news.held, asked);
        apply(&vm, asked, from, news, &changes);
        let disputed = news.restore.iter().flat_map(|restore| &restore.disputed);
        disputed.for_each(|life| vm.fleet.borrow_mut().dispute(life, vm.now()));
        let age = news.reading(Kind::Servers).map(|told| told.age);
        self.known = self.known.max(dated(asked, age));
        vm.origin.replace(Some(Origin { reader: reader.clone(), hops: hops + 1 }));
        if is_lost {
            if *vm.role.borrow() == Role::Joins {
                follow(&vm, from, news);
            }
            return Worth::Old;
        }
        self.asked.on_update(from);
        self.lost_since = None;
        follow(&vm, from, news);
        Worth::News
    }

    /// What this VM does without news. Whether it has what it needs for now.
    fn go_without(&mut self, is_told: bool, circle: &Circle) -> bool {
        let vm = &self.vm;
        if vm.reads() {
            return !vm.doubts_store.get();
        }
        self.note_place(circle);
        let now = vm.now();
        let bound = vm.settings.bounds.leave_within;
        let without = FollowerState {
            place: self.place(circle),
            has_other_groups: !circle.firsts.is_empty(),
            has_source: self.next(circle).is_some(),
            is_store_lost: self.is_told_lost(circle),
            has_snapshot: self.known.is_some(),
            is_starting: self.is_young(),
            is_overdue: answer_timeout(self.known, bound, now).is_none(),
        };
        if decide::should_read_store(&without) {
            read(vm, &without);
            self.known = None;
            return true;
        }
        is_told
            && self.lost_since.is_some_and(|since| now.since(since) >= STORE_LOSS_CONFIRMED_AFTER)
    }
}

/// The moment of which knowledge dates that had an age when it was told, if it was asked for at `asked`.
fn dated(asked: Moment, age: Option<Span>) -> Option<Moment> {
    Some(Moment(asked.0.saturating_sub(age?.0)))
}

/// Takes what a VM answered to a question of the moment `asked`.
fn apply(vm: &Vm, asked: Moment, from: &Name, news: &News, changes: &[Change]) {
    if news.whole {
        for kind in Kind::ALL {
            let of_kind = changes.iter().filter(|change| change.kind == kind);
            let objects: Vec<Object> =
                of_kind.filter_map(|change| read_object(vm, change)).collect();
            learn::take_all(vm, kind, &objects, &source(from, news, kind));
        }
    } else {
        let source = |kind| source(from, news, kind);
        changes.iter().for_each(|change| apply_change(vm, &source(change.kind), change));
    }
    for told in &news.readings {
        if let Some(sent) = dated(asked, Some(told.age)) {
            vm.feed.borrow_mut().note_read(told.kind, told.position, sent);
        }
    }
    // A proof from before this process began proves nothing that it can count.
    if let Some(proof) = news.proof
        && let Some(at) = asked.0.checked_sub(proof.age.0)
    {
        learn::prove(vm, Moment(at), proof.configuration);
    }
}

/// News of a kind are what the teller knew when that kind had been read last.
fn source<'a>(from: &'a Name, news: &News, kind: Kind) -> Source<'a> {
    let as_of = news.reading(kind).map(|told| told.position).unwrap_or_default();
    Source { reader: Some(from), as_of }
}

fn apply_change(vm: &Vm, source: &Source, change: &Change) {
    if change.object.is_none() {
        learn::drop_object(vm, change.kind, &change.name, change.lapsed, source);
    } else if let Some(object) = read_object(vm, change) {
        learn::take(vm, change.kind, &object, source);
    }
}

/// The object of a change, if it is not gone; of one that does not read, what was known stays.
fn read_object(vm: &Vm, change: &Change) -> Option<Object> {
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
    let role = Role::Follows(reader.clone());
    if *vm.role.borrow() == role {
        return;
    }
    let servers = news.reading(Kind::Servers);
    let fields = [
        ("reader", reader.as_str().into()),
        ("origin", news.origin.reader.as_str().into()),
        ("hops", u64::from(news.origin.hops).into()),
        ("servers_age_ms", servers.map_or(-1.0, |told| told.age.as_millis()).into()),
        ("servers_revision", servers.map_or(0, |told| told.position.revision).into()),
        ("proof_age_ms", news.proof.map_or(-1.0, |proof| proof.age.as_millis()).into()),
    ];
    vm.log("follows a reader", &fields);
    if vm.store_lost.replace(false) {
        vm.log("told of the store", &[("lost", vm.told_lost.get().into())]);
    }
    vm.doubts_store.set(false);
    vm.role.send_replace(role);
}

fn read(vm: &Vm, without: &FollowerState) {
    let place = format!("{:?}", without.place);
    let fields = [
        ("place", place.as_str().into()),
        ("told_lost", without.is_store_lost.into()),
        ("overdue", without.is_overdue.into()),
    ];
    vm.log("reads the store itself", &fields);
    vm.told_lost.set(false);
    vm.unsure.set(without.is_store_lost);
    vm.prove.notify_one();
    vm.origin.replace(None);
    vm.trials.borrow_mut().values_mut().for_each(RolloutTrial::clear_upstream_verdict);
    vm.role.send_replace(Role::Reads);
}
