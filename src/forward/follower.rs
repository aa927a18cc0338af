//! Polls other VMs for updates of the store's objects, and makes this VM read the store itself if
//! none of them has any. [`crate::decide::reader`] ranks the VMs and has the rules.

use std::collections::HashMap;
use std::rc::Rc;

use futures_util::future::join;

use super::apply::{self, Source};
use super::feed::{Cursor, Origin, Reachability, Update};
use super::kind::Kind;
use super::pack::Change;
use super::poll::{self, Response, STALL_THRESHOLD};
use super::role::{Decline, Role};
use super::rollout_counts::{self, Observations, SentCounts};
use super::rollout_trial::RolloutTrial;
use super::vm::Vm;
use super::{peer, poison, usage};
use crate::decide::reader::{
    self as decide, FAST_POLL_INTERVAL, FIRST_POLL_TIMEOUT, FollowerState, POLL_INTERVAL, Rank,
    RankedBefore, STARTUP_WAIT, STORE_LOSS_CONFIRMED_AFTER, SourceHistory, is_detour,
    may_accept_update, may_stop_reading, poll_pause, poll_timeout, read_store_age, startup_wait,
};
use crate::platform::object::Object;
use crate::unit::{Moment, Span, Vm as Name};

/// Polls for updates until the process ends. This VM follows another one whenever one serves
/// updates, and otherwise reads the store itself.
pub async fn run(vm: Rc<Vm>) {
    if vm.settings.links.is_none() {
        vm.role.send_replace(Role::Reads);
        return;
    }
    vm.peers_listed.notified().await;
    let started = vm.now();
    let mut follower = Follower {
        vm,
        started,
        source_history: SourceHistory::default(),
        cursors: HashMap::new(),
        servers_as_of: None,
        store_lost_since: None,
        sent_counts: SentCounts::default(),
    };
    loop {
        let pause = if follower.poll().await { POLL_INTERVAL } else { FAST_POLL_INTERVAL };
        let pause = follower.pause_before_poll(pause);
        let expected = follower.vm.now() + pause;
        let search_requested = follower.vm.reader_search.notified();
        if tokio::time::timeout(pause.duration(), search_requested).await.is_ok() {
            follower.source_history.clear_declined();
        }
        let now = follower.vm.now();
        // All that a VM knows during its start was read since then, so a stall can't outdate it. If
        // the first VM of a group served no updates after one, the whole group would read the store.
        if now.since(expected) >= STALL_THRESHOLD && !follower.is_in_startup_wait() {
            follower.vm.stalled_at.set(Some(now));
        }
    }
}

/// State of this VM's polls.
struct Follower {
    vm: Rc<Vm>,
    /// When the polls began.
    started: Moment,
    /// How the VMs answered earlier polls, and when each may be polled again.
    source_history: SourceHistory,
    /// Cursor in the feed of each VM.
    cursors: HashMap<Name, Cursor>,
    /// Time that this VM's state of the servers reflects; `None` while this VM reads the store
    /// itself.
    servers_as_of: Option<Moment>,
    /// Since when all VMs that answer report that the store is down.
    store_lost_since: Option<Moment>,
    /// For each VM, the counts of answers in rollout trials that were already sent to it.
    sent_counts: SentCounts,
}

/// The VMs that may be polled.
struct Candidates {
    /// Rank of this VM.
    own: Rank,
    /// The other VMs of this VM's group: those of its data centre, or all VMs in a full mesh.
    group: Vec<Rank>,
    /// The highest-ranked VM that responds, of each other group.
    firsts: Vec<Rank>,
}

/// Outcome of one poll.
struct Outcome {
    name: Name,
    /// When the request was sent.
    requested_at: Moment,
    /// Answer counts of the trials of running rollouts, as sent with the request.
    counts: Vec<Observations>,
    /// Usage, as sent with the request.
    usage: Option<usage::Batch>,
    reply: Response,
}

impl Outcome {
    /// Returns the update, if there is one from a VM that doesn't report the store as lost.
    fn current_update(&self) -> Option<&Update> {
        match &self.reply {
            Response::Update(update) if update.store != Reachability::Down => Some(update),
            _ => None,
        }
    }
}

/// What a poll brought, from worst to best. An update may also be rejected; see
/// [`Follower::apply_update`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Gain {
    /// No update, or one that was rejected.
    None,
    /// An update from a VM that reports the store as down, with the state from before: applied, or
    /// put off by a VM that has just started.
    Stale,
    /// An update with current state, which was applied.
    Fresh,
}

impl Follower {
    /// Polls the next candidate and the VM that this one follows, if that is another one. Returns
    /// true if the next poll may wait for the regular interval, false if it should follow soon.
    async fn poll(&mut self) -> bool {
        let candidates = self.candidates();
        let followed = match &*self.vm.role.borrow() {
            Role::Follows(name) => Some(name.clone()),
            // The first VM of the group notices the recovery of the store before this one.
            Role::Reads if self.vm.store_lost.get() => self.first_of_group(&candidates),
            Role::Joins | Role::Reads => None,
        };
        self.update_rank(&candidates);
        let next = self.next_target(&candidates).filter(|next| Some(next) != followed.as_ref());
        // Both at the same time, so that two timeouts take no longer than one.
        let (of_next, of_followed) = join(self.poll_vm(next), self.poll_vm(followed)).await;
        let of_next = self.without_detour(of_next, of_followed.as_ref());
        let gain = self.apply_outcome(of_next);
        let gain =
            if gain < Gain::Fresh { gain.max(self.apply_outcome(of_followed)) } else { gain };
        if gain == Gain::Stale {
            self.vm.on_store_report(Reachability::Down, self.vm.now());
        }
        gain == Gain::Fresh || self.decide_without_update(gain == Gain::Stale, &candidates)
    }

    /// Returns the outcome of the poll of the next candidate, or `None` if its updates take a longer
    /// way from the same reader than those of the followed VM, which answered too. Otherwise two VMs
    /// could follow each other, and their state would get old.
    fn without_detour(
        &mut self,
        of_next: Option<Outcome>,
        of_followed: Option<&Outcome>,
    ) -> Option<Outcome> {
        let has_detour = {
            let origin = self.vm.updates_origin.borrow();
            let current = of_followed.and_then(Outcome::current_update);
            let offered = of_next.as_ref().and_then(Outcome::current_update);
            offered.zip(current).zip(origin.as_ref()).is_some_and(|((offered, _), origin)| {
                is_detour(&offered.origin.reader, offered.origin.hops, &origin.reader, origin.hops)
            })
        };
        if !has_detour {
            return of_next;
        }
        let now = self.vm.now();
        of_next.iter().for_each(|outcome| self.source_history.on_declined(&outcome.name, now));
        None
    }

    /// Returns the age of its state of the servers at which this VM reads the store itself.
    fn read_store_age(&self, candidates: &Candidates) -> Span {
        let is_lost = self.is_store_reported_down(candidates);
        let ranked_before = is_lost.then(|| self.ranked_before(candidates).responsive());
        read_store_age(self.vm.schedules.contact_bound(), ranked_before)
    }

    /// Returns true if the state of the servers is too old to wait for updates any longer.
    fn is_overdue(&self, candidates: &Candidates) -> bool {
        let read_age = self.read_store_age(candidates);
        self.servers_as_of.is_some_and(|known| self.vm.now().since(known) >= read_age)
    }

    /// Returns the pause before the next poll, at which this VM decides again if it reads the store
    /// itself.
    fn pause_before_poll(&self, pause: Span) -> Span {
        let read_age = self.read_store_age(&self.candidates());
        let latest = self.vm.schedules.max_followed_age();
        poll_pause(pause, self.servers_as_of, read_age, latest, self.vm.now())
    }

    /// Returns the timeout of the next poll, or `None` if the state of the servers is too old to
    /// wait for an answer.
    fn poll_timeout(&self) -> Option<Span> {
        poll_timeout(self.servers_as_of, self.vm.schedules.contact_bound(), self.vm.now())
    }

    /// Returns how many VMs of this VM's group rank before it.
    fn ranked_before(&self, candidates: &Candidates) -> RankedBefore {
        let group = candidates.group.iter();
        self.source_history.count_ranked_before(&candidates.own, group, self.vm.now())
    }

    /// Returns true if the VMs of the group that this VM polls report the store as down.
    fn is_store_reported_down(&self, candidates: &Candidates) -> bool {
        self.source_history.is_store_reported_unavailable(
            &candidates.own,
            candidates.group.iter(),
            self.vm.now(),
        )
    }

    /// Returns true if this VM has just started and has received no update yet.
    fn is_starting(&self) -> bool {
        self.servers_as_of.is_none() && self.is_in_startup_wait()
    }

    /// Returns true while a VM that has just started still waits for its first update.
    fn is_in_startup_wait(&self) -> bool {
        self.vm.now().since(self.started) < STARTUP_WAIT
    }

    /// Returns the VMs that may be polled now.
    fn candidates(&self) -> Candidates {
        let vm = &self.vm;
        let own = vm.rank();
        let now = vm.now();
        let peers = vm.peers.borrow();
        let (group, others) = peers.groups(&vm.settings.data_centre);
        let first =
            |group: &Vec<Rank>| self.source_history.first_responsive(group.iter(), now).cloned();
        let firsts = others.values().filter_map(first).collect();
        Candidates { own, group, firsts }
    }

    /// Returns the first VM of this VM's group that responds, if it is another one.
    fn first_of_group(&self, candidates: &Candidates) -> Option<Name> {
        let group = candidates.group.iter();
        let first = self.source_history.first_responsive(group, self.vm.now());
        first.filter(|first| **first < candidates.own).map(|first| first.vm.clone())
    }

    /// Returns this VM's place among the VMs of its group that respond.
    fn own_place(&self, candidates: &Candidates) -> decide::GroupPosition {
        self.source_history.group_position(&candidates.own, candidates.group.iter(), self.vm.now())
    }

    /// Updates since when this VM is the first of its group, and how many VMs probe a lost store
    /// before it: VMs of its group or, for the first of a group, the firsts of other groups.
    fn update_rank(&self, candidates: &Candidates) {
        let now = self.vm.now();
        let is_first = self.own_place(candidates) == decide::GroupPosition::First;
        let since = self.vm.first_in_group_since.get();
        self.vm.first_in_group_since.set(is_first.then(|| since.unwrap_or(now)));
        let others = if is_first { &candidates.firsts } else { &candidates.group };
        let before = self.source_history.count_ranked_before(&candidates.own, others.iter(), now);
        self.vm.ranked_before.set(before.responsive());
    }

    /// Returns the next VM to poll: one that ranks before this one in its group or, for the first
    /// of a group, the first of another group. The sums of a group reach the reader through the
    /// firsts, so that a first follows no other VM.
    fn next_target(&self, candidates: &Candidates) -> Option<Name> {
        let now = self.vm.now();
        let next = if self.own_place(candidates) != decide::GroupPosition::First {
            self.source_history.next_source(&candidates.own, candidates.group.iter(), now)
        } else if self.vm.store_lost.get() || self.vm.store_suspect.get() {
            self.source_history.any_source(candidates.firsts.iter(), now)
        } else {
            self.source_history.next_source(&candidates.own, candidates.firsts.iter(), now)
        };
        next.cloned()
    }

    /// Polls a VM. Returns `None` if there is no VM to poll, or no time left for it.
    async fn poll_vm(&self, name: Option<Name>) -> Option<Outcome> {
        let (name, vm) = (name?, &self.vm);
        let requested_at = vm.now();
        let within = match self.is_starting() {
            true => FIRST_POLL_TIMEOUT,
            false => self.poll_timeout()?,
        };
        let cursor = self.cursors.get(&name).copied().unwrap_or_default();
        let is_first = vm.first_in_group_since.get().is_some();
        let counts = self.sent_counts.unsent(vm, &name, is_first);
        let usage = usage::unsent(vm, &name, is_first);
        let address = vm.peers.borrow().address(&name);
        let reply = match address {
            Some(address) => {
                poll::request_updates(vm, address, cursor, &counts, usage.as_ref(), within).await
            }
            None => Response::NoAnswer,
        };
        Some(Outcome { name, requested_at, counts, usage, reply })
    }

    /// Applies the outcome of a poll, if there was one, and records how the VM answered.
    fn apply_outcome(&mut self, answer: Option<Outcome>) -> Gain {
        let Some(Outcome { name, requested_at, counts, usage, reply }) = answer else {
            return Gain::None;
        };
        let now = self.vm.now();
        if !matches!(reply, Response::NoAnswer) {
            peer::on_contact(&self.vm, &name);
            self.sent_counts.record_sent(&name, counts);
            if let Some(batch) = usage {
                usage::on_acknowledged(&self.vm, &name, batch);
            }
        }
        match reply {
            Response::Update(update) => return self.apply_update(&name, requested_at, &update),
            Response::Declined(Decline::KnowsTooLittle) => {
                self.source_history.on_not_ready(&name, now)
            }
            Response::Declined(_) => self.source_history.on_declined(&name, now),
            Response::NoAnswer if self.is_starting() => {
                self.source_history.on_startup_timeout(&name, now)
            }
            Response::NoAnswer => self.source_history.on_timeout(&name, now),
        }
        Gain::None
    }

    /// Applies an update that was requested at `requested_at`, and makes this VM follow the sender.
    ///
    /// An update is rejected if this VM itself read it from the store, too many VMs have relayed
    /// it, its era is older than the newest, it can't be decoded, or this VM reads the store and
    /// ranks before the VM that read the update. While the sender reports the store as lost, its
    /// update is used only if this VM does not read the store itself; a VM that has just started
    /// waits until the loss is confirmed.
    ///
    /// Returns `None` if the update was rejected, `Stale` if it comes from a sender that reports
    /// the store as lost, whether it was applied or put off until the loss is confirmed, and
    /// `Fresh` if it was applied and this VM follows the sender.
    fn apply_update(&mut self, from: &Name, requested_at: Moment, update: &Update) -> Gain {
        let vm = self.vm.clone();
        let Origin { reader, hops } = &update.origin;
        let is_lost = update.store == Reachability::Down;
        if !may_accept_update(reader, *hops, &vm.settings.vm)
            || (is_lost && vm.is_reader())
            || !may_stop_reading_for(&vm, reader)
        {
            self.source_history.on_declined(from, vm.now());
            return Gain::None;
        }
        if is_lost {
            // Another VM may reach the store. This one is still polled, to learn when the store is
            // back.
            self.source_history.on_store_unavailable(from, vm.now());
            let lost_since = *self.store_lost_since.get_or_insert(vm.now());
            if *vm.role.borrow() == Role::Joins
                && vm.now().since(lost_since) < STORE_LOSS_CONFIRMED_AFTER
            {
                return Gain::Stale;
            }
        }
        let position = update.position();
        if position.era < vm.era.newest() {
            vm.log("update from an older era ignored", &[("from", from.as_str().into())]);
            self.source_history.on_declined(from, vm.now());
            return Gain::None;
        }
        vm.enter_era_with(
            position.era,
            update.restore.as_ref().map(|restore| restore.to_restore(requested_at)),
        );
        let Some(changes) = update.changes.changes() else {
            let bytes = ("bytes", update.changes.size().into());
            vm.log("invalid update ignored", &[("from", from.as_str().into()), bytes]);
            self.source_history.on_declined(from, vm.now());
            return Gain::None;
        };
        self.cursors.insert(from.clone(), update.cursor);
        if !is_lost {
            vm.on_store_report(update.store, requested_at);
        }
        rollout_counts::apply_verdicts(&vm, &update.verdicts);
        poison::on_quarantine_list(&vm, from.as_str(), &update.quarantined, requested_at);
        apply_contents(&vm, requested_at, from, update, &changes);
        // Incarnations that the sender knows as draining or gone although the restored store lists
        // them as ready.
        let disputed = update.restore.iter().flat_map(|restore| &restore.disputed);
        disputed.for_each(|incarnation| vm.fleet.borrow_mut().dispute(incarnation, vm.now()));
        let age = update.staleness_of(Kind::Servers).map(|staleness| staleness.age);
        self.servers_as_of = self.servers_as_of.max(dated_at(requested_at, age));
        vm.updates_origin.replace(Some(Origin { reader: reader.clone(), hops: hops + 1 }));
        if is_lost {
            if *vm.role.borrow() == Role::Joins {
                become_follower(&vm, from, update);
            }
            return Gain::Stale;
        }
        self.source_history.on_update(from);
        self.store_lost_since = None;
        become_follower(&vm, from, update);
        Gain::Fresh
    }

    /// Handles a poll that brought no current update: makes this VM a reader if it must read the
    /// store itself. Returns true if the next poll may wait for the regular interval, because this
    /// VM reads the store without failures, or the loss of the store is confirmed.
    fn decide_without_update(&mut self, is_reported_down: bool, candidates: &Candidates) -> bool {
        let vm = &self.vm;
        if vm.is_reader() {
            return !vm.store_suspect.get();
        }
        self.update_rank(candidates);
        let now = vm.now();
        let group_position = self.own_place(candidates);
        let without = FollowerState {
            group_position,
            has_other_groups: !candidates.firsts.is_empty(),
            has_source: self.next_target(candidates).is_some(),
            is_store_unavailable: self.is_store_reported_down(candidates),
            has_snapshot: self.servers_as_of.is_some(),
            is_starting: now.since(self.started) < startup_wait(group_position),
            is_overdue: self.is_overdue(candidates),
        };
        if decide::should_read_store(&without) {
            become_reader(vm, &without, self.ranked_before(candidates));
            self.servers_as_of = None;
            return true;
        }
        is_reported_down
            && self
                .store_lost_since
                .is_some_and(|since| now.since(since) >= STORE_LOSS_CONFIRMED_AFTER)
    }
}

/// Returns true unless this VM reads the store without failures and keeps doing so, although `reader`
/// reads it too. The rank of a VM that is not known yet is no reason to keep reading.
fn may_stop_reading_for(vm: &Vm, reader: &Name) -> bool {
    let reads = vm.is_reader() && vm.store_state(vm.now()) != Reachability::Down;
    let rank = vm.peers.borrow().rank(reader);
    !reads || rank.is_none_or(|rank| may_stop_reading(&vm.rank(), &rank))
}

/// Returns the time that a state reflects if a request sent at `requested_at` was answered with a
/// state of the age `age`. The result is never later than the true time, however long the response
/// took.
fn dated_at(requested_at: Moment, age: Option<Span>) -> Option<Moment> {
    Some(Moment(requested_at.0.saturating_sub(age?.0)))
}

/// Applies the objects, freshness and proof of an update that was requested at `requested_at`.
fn apply_contents(vm: &Vm, requested_at: Moment, from: &Name, update: &Update, changes: &[Change]) {
    let servers_age = update.staleness_of(Kind::Servers).map(|staleness| staleness.age);
    if let Some(sent) = dated_at(requested_at, servers_age) {
        vm.on_servers_read(sent);
    }
    if update.is_full {
        for kind in Kind::ALL {
            let of_kind = changes.iter().filter(|change| change.kind == kind);
            let objects: Vec<Object> =
                of_kind.filter_map(|change| parse_object(vm, change)).collect();
            apply::apply_list(vm, kind, &objects, &update_source(from, update, kind));
        }
    } else {
        let source = |kind| update_source(from, update, kind);
        changes.iter().for_each(|change| apply_change(vm, &source(change.kind), change));
    }
    for staleness in &update.freshness {
        if let Some(sent) = dated_at(requested_at, Some(staleness.age)) {
            vm.feed.borrow_mut().record_read(staleness.kind, staleness.position, sent);
        }
    }
    // The clock starts with the process, so a proof from before that can't be dated.
    if let Some(proof) = update.proof
        && let Some(at) = requested_at.0.checked_sub(proof.age.0)
    {
        apply::record_proof(vm, Moment(at), proof.configuration);
    }
}

/// Returns the source of an update's objects of a kind: they reflect the position at which the
/// sender's state of that kind was last read. If the sender did not report it, the default position
/// is used.
fn update_source<'a>(from: &'a Name, update: &Update, kind: Kind) -> Source<'a> {
    let as_of = update.staleness_of(kind).map(|staleness| staleness.position).unwrap_or_default();
    Source { reader: Some(from), as_of }
}

/// Applies the change or removal of one object.
fn apply_change(vm: &Vm, source: &Source, change: &Change) {
    if change.object.is_none() {
        apply::remove_object(vm, change.kind, &change.name, change.lapsed, source);
    } else if let Some(object) = parse_object(vm, change) {
        apply::apply_object(vm, change.kind, &object, source);
    }
}

/// Returns the object of a change, or `None` if the object was removed or is invalid. An invalid
/// object leaves the known state as it is.
fn parse_object(vm: &Vm, change: &Change) -> Option<Object> {
    match Object::from_json(change.object.as_deref()?) {
        Ok(object) => Some(object),
        Err(why) => {
            let name = change.name.as_str();
            vm.log(
                "invalid object in an update ignored",
                &[("name", name.into()), ("why", why.as_str().into())],
            );
            None
        }
    }
}

/// Makes this VM a follower of `reader`, which served the update.
fn become_follower(vm: &Vm, reader: &Name, update: &Update) {
    let role = Role::Follows(reader.clone());
    if *vm.role.borrow() == role {
        return;
    }
    let servers = update.staleness_of(Kind::Servers);
    let fields = [
        ("reader", reader.as_str().into()),
        ("origin", update.origin.reader.as_str().into()),
        ("hops", u64::from(update.origin.hops).into()),
        ("servers_age_ms", servers.map_or(-1.0, |staleness| staleness.age.as_millis()).into()),
        ("servers_revision", servers.map_or(0, |staleness| staleness.position.revision).into()),
        ("proof_age_ms", update.proof.map_or(-1.0, |proof| proof.age.as_millis()).into()),
    ];
    vm.log("follows a reader", &fields);
    if vm.store_lost.replace(false) {
        vm.log("told of the store", &[("lost", vm.upstream_store_lost.get().into())]);
    }
    vm.store_suspect.set(false);
    vm.role.send_replace(role);
}

/// Makes this VM read the store itself, and requests a proof at once. `ranked_before` counts the
/// VMs of its group that it would rather follow, for the log.
fn become_reader(vm: &Vm, without: &FollowerState, ranked_before: RankedBefore) {
    let place = format!("{:?}", without.group_position);
    let fields = [
        ("place", place.as_str().into()),
        ("told_lost", without.is_store_unavailable.into()),
        ("overdue", without.is_overdue.into()),
        ("starting", without.is_starting.into()),
        ("ranked_before", ranked_before.known.into()),
        ("silent", ranked_before.silent.into()),
    ];
    vm.log("reads the store itself", &fields);
    vm.upstream_store_lost.set(false);
    vm.store_untested.set(without.is_store_unavailable);
    vm.proof_requested.notify_one();
    vm.updates_origin.replace(None);
    vm.rollout_trials.borrow_mut().values_mut().for_each(RolloutTrial::clear_upstream_verdict);
    vm.role.send_replace(Role::Reads);
}
