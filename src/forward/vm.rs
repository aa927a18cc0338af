//! The state of one entry VM. All of it lives on one thread.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use tokio::sync::Notify;

use super::era::Tracker;
use super::feed::{Feed, Origin, Store};
use super::kind::Kind;
use super::known::Known;
use super::metrics::Metrics;
use super::peer::Peers;
use super::pinned::PinnedSessions;
use super::replica::Rollout;
use super::restore::Restore;
use super::role::{Decline, Role};
use super::server::{Fleet, LAPSED_FOR};
use super::session::Sessions;
use super::settings::Settings;
use super::trial::RolloutTrial;
use crate::config::Table;
use crate::decide::budget::Budget;
use crate::decide::limit;
use crate::decide::pace::Pace;
use crate::decide::poison::Exchange;
use crate::decide::pressure::Pressure;
use crate::decide::reader::Rank;
use crate::platform::object::Object;
use crate::platform::objects::{Objects, Trouble};
use crate::unit::{Era, Model, Moment, Position, Service, Span};
use crate::vm::Clock;
use crate::watch::line::{Lines, Value};
use crate::watch::name::Names;

/// Margin of the age of the proof of freshness, for clocks that run unlike.
const FRESH_MARGIN: Span = Span::millis(250);

/// During a planned stop streams are begun for this long: the balancer needs two to three seconds to
/// notice the stop, and a stream takes some seconds too.
const STREAMS_TAKEN: Span = Span::millis(2800);

/// A VM that was asked for news within this has followers; they ask a few times a second.
const FOLLOWED_FOR: Span = Span::secs(2);

/// What a VM must have listed beside the configuration before it sends anything on.
const NEEDED: [Kind; 3] = [Kind::Servers, Kind::Rollouts, Kind::Evacuations];

/// One entry VM.
pub struct Vm {
    /// Its settings.
    pub settings: Settings,
    /// Its clocks.
    pub clock: Clock,
    /// When it began.
    pub started: Moment,
    /// Routes and keys in force; none before the first configuration was read.
    pub table: RefCell<Option<Rc<Table>>>,
    /// Newest era of the store that any answer named.
    pub era: Rc<Tracker>,
    /// Era that this VM has entered.
    pub entered: Cell<Option<Era>>,
    /// The last restore of the store, until owners have had time to write again what the copy lacks.
    pub restored: tokio::sync::watch::Sender<Option<Restore>>,
    /// How new what it knows of the platform's objects is.
    pub known: RefCell<Known>,
    /// Backend servers.
    pub fleet: RefCell<Fleet>,
    /// Roll-outs by service.
    pub rollouts: RefCell<HashMap<Service, Rollout>>,
    /// Wakes the task that tells other VMs which servers a copy wrongly calls ready.
    pub disputes: Notify,
    /// Roll-outs of a copy that the store was restored from, while a later order is known.
    pub put_off: RefCell<HashMap<Service, Object>>,
    /// What was seen of roll-outs.
    pub trials: RefCell<HashMap<Service, RolloutTrial>>,
    /// Sessions seen of late.
    pub sessions: RefCell<Sessions>,
    /// Sessions that keep the old version, as other VMs say.
    pub kept: RefCell<PinnedSessions>,
    /// Contents under which servers crashed.
    pub poison: RefCell<Exchange>,
    /// When the last read that proved the configuration the newest was sent.
    pub proved: Cell<Option<Moment>>,
    /// Whether the last proof failed.
    pub store_lost: Cell<bool>,
    /// When the way to the store came back.
    pub store_back: Cell<Option<Moment>>,
    /// Who reads the store for this VM.
    pub role: tokio::sync::watch::Sender<Role>,
    /// Who read what this VM was told last, and by how many VMs that was passed on; none if it reads itself.
    pub origin: RefCell<Option<Origin>>,
    /// Whether the VM that this one follows says that the store is lost.
    pub told_lost: Cell<bool>,
    /// Whether the last question for servers had no answer.
    pub doubts_store: Cell<bool>,
    /// Whether this VM reads on the word that the store is lost for others, and has not tried it yet.
    pub unsure: Cell<bool>,
    /// Whether enough others try a store that is lost, so that this VM does so rarely.
    pub tries_rarely: Cell<bool>,
    /// Wakes the search for a VM that has news: a store that was lost answers.
    pub ask_again: Notify,
    /// Tells that the VMs that the store names are known.
    pub peers_named: Notify,
    /// Since when this VM is the first of its group.
    pub first_since: Cell<Option<Moment>>,
    /// What this VM knows, for those that ask it.
    pub feed: RefCell<Feed>,
    /// Why the last that asked for news got none.
    pub declined: Cell<Option<Decline>>,
    /// When this process noticed that it had been held up.
    pub held_up: Cell<Option<Moment>>,
    /// When a follower asked last.
    pub asked: Cell<Option<Moment>>,
    /// Wakes the task that proves freshness.
    pub prove: Notify,
    /// Wakes those who wait for a proof.
    pub proof: Notify,
    /// Tells followers that the way to the store is back.
    pub regained: tokio::sync::watch::Sender<u64>,
    /// Kinds of which all objects have been listed.
    pub listed: RefCell<HashSet<Kind>>,
    /// When a planned stop began.
    pub stop: tokio::sync::watch::Sender<Option<Moment>>,
    /// Requests in flight.
    pub running: Cell<usize>,
    /// The other VMs.
    pub peers: RefCell<Peers>,
    /// Log lines.
    pub lines: Lines,
    /// Counters.
    pub metrics: Metrics,
    /// Headers of servers' answers that nothing decodes.
    pub unknown: RefCell<Names>,
    budgets: RefCell<HashMap<Service, Budget>>,
    paces: RefCell<HashMap<Option<Model>, Pace>>,
    pressures: RefCell<HashMap<Service, Pressure>>,
}

impl Vm {
    /// A VM that knows nothing yet.
    pub fn new(settings: Settings, clock: Clock, lines: Lines) -> Vm {
        Vm {
            settings,
            started: clock.now(),
            clock,
            table: RefCell::default(),
            era: Rc::default(),
            entered: Cell::new(None),
            restored: tokio::sync::watch::Sender::new(None),
            known: RefCell::default(),
            fleet: RefCell::default(),
            rollouts: RefCell::default(),
            disputes: Notify::new(),
            put_off: RefCell::default(),
            trials: RefCell::default(),
            sessions: RefCell::default(),
            kept: RefCell::default(),
            poison: RefCell::default(),
            proved: Cell::new(None),
            store_lost: Cell::new(false),
            store_back: Cell::new(None),
            role: tokio::sync::watch::Sender::new(Role::Joins),
            origin: RefCell::default(),
            told_lost: Cell::new(false),
            doubts_store: Cell::new(false),
            unsure: Cell::new(false),
            tries_rarely: Cell::new(false),
            ask_again: Notify::new(),
            peers_named: Notify::new(),
            first_since: Cell::new(None),
            feed: RefCell::new(Feed::new(rand::random())),
            declined: Cell::new(None),
            held_up: Cell::new(None),
            asked: Cell::new(None),
            prove: Notify::new(),
            proof: Notify::new(),
            regained: tokio::sync::watch::Sender::new(0),
            listed: RefCell::default(),
            stop: tokio::sync::watch::Sender::new(None),
            running: Cell::new(0),
            peers: RefCell::default(),
            lines,
            metrics: Metrics::new(),
            unknown: RefCell::default(),
            budgets: RefCell::default(),
            paces: RefCell::default(),
            pressures: RefCell::default(),
        }
    }

    /// The present moment.
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// A client of the store with a connection of its own.
    pub fn store_client(&self) -> Objects {
        Objects::new(self.settings.store, self.era.clone())
    }

    /// Adds a log line.
    pub fn log(&self, event: &str, fields: &[(&str, Value)]) {
        self.lines.add(event, self.clock.date(), self.now(), fields);
    }

    /// The routes in force.
    pub fn routes(&self) -> Option<Rc<Table>> {
        self.table.borrow().clone()
    }

    /// How old the proof is that the configuration is the newest.
    pub fn proof_age(&self, now: Moment) -> Option<Span> {
        self.proved.get().map(|at| now.since(at))
    }

    /// Its place in the order of VMs.
    pub fn rank(&self) -> Rank {
        Rank::new(self.settings.share, self.settings.vm.clone())
    }

    /// Whether this VM reads the store for itself, and maybe for others.
    pub fn reads(&self) -> bool {
        *self.role.borrow() == Role::Reads
    }

    /// Notes that the store answered.
    pub fn store_answered(&self) {
        self.doubts_store.set(false);
        if self.store_lost.replace(false) {
            self.log("store regained", &[]);
            self.store_back.set(Some(self.now()));
            self.regained.send_modify(|times| *times += 1);
        }
    }

    /// Enters an era of the store that an answer named.
    pub fn enter(&self, era: Era) {
        self.enter_with(era, Some(Restore { at: self.now(), base: None }));
    }

    /// Enters an era of the store. If it is a later one, the store was restored from a copy: entries of
    /// backend servers may be missing for a while, and all kinds are to be listed again. `restore` is
    /// none if owners have had time to write again what the copy lacks.
    pub fn enter_with(&self, era: Era, restore: Option<Restore>) {
        self.era.advance(era);
        let before = self.entered.get();
        if before >= Some(era) {
            return;
        }
        self.entered.set(Some(era));
        self.metrics.era.set(era.0 as i64);
        if before.is_some() {
            self.log("store restored", &[("era", era.0.into())]);
            self.store_back.set(Some(self.now()));
            self.restored.send_replace(restore);
            self.regained.send_modify(|times| *times += 1);
        }
    }

    /// Enters the era of a position that was read.
    pub fn enter_at(&self, position: Position) {
        self.enter(position.era);
        let is_first = |restore: &mut Restore| {
            let is_first = restore.base.is_none() && self.entered.get() == Some(position.era);
            restore.base = restore.base.or(is_first.then_some(position));
            is_first
        };
        self.restored.send_if_modified(|restore| restore.as_mut().is_some_and(is_first));
    }

    /// Returns true if an object that last changed at `position` may stem from a copy that the store was
    /// restored from, and its owner may not have had time to write again.
    pub fn may_be_outdated(&self, position: Position) -> bool {
        self.restored.borrow().is_some_and(|restore| restore.covers(position, self.now()))
    }

    /// Notes that a proof failed. While another VM reads for this one that changes nothing.
    pub fn store_failed(&self, why: &str) {
        if self.reads() && !self.store_lost.replace(true) {
            self.log("store lost", &[("why", why.into())]);
        }
    }

    /// Takes how the store does from a VM that answered a question of the moment `asked`. What it says of a return
    /// is dated so that it cannot look later than it was.
    pub fn hear_store(&self, store: Store, asked: Moment) {
        if let Store::IsBack(age) = store {
            let back = Moment(asked.0.saturating_sub(age.0));
            self.store_back.set(self.store_back.get().max(Some(back)));
        }
        let lost = store == Store::IsLost;
        if self.told_lost.replace(lost) != lost {
            self.log("told of the store", &[("lost", lost.into())]);
            self.regained.send_modify(|times| *times += 1);
        }
    }

    /// How the store does, for those that ask this VM.
    pub fn store(&self, now: Moment) -> Store {
        if self.is_store_lost() || self.doubts_store.get() || self.unsure.get() {
            return Store::IsLost;
        }
        let back = self.store_back.get().map(|back| now.since(back));
        back.filter(|age| *age < LAPSED_FOR).map_or(Store::Answers, Store::IsBack)
    }

    /// Whether the store is away, as this VM or the one that it follows found.
    pub fn is_store_lost(&self) -> bool {
        self.store_lost.get() || self.told_lost.get()
    }

    /// Whether the store is away, or was until a moment ago: entries of backend servers may have
    /// lapsed meanwhile, and those of servers that live come back.
    pub fn was_store_away(&self, now: Moment) -> bool {
        let lately = |back: Moment| now.since(back) < LAPSED_FOR;
        self.store_lost.get() || self.store_back.get().is_some_and(lately)
    }

    /// Counts a call to the store.
    pub fn count_call<T>(&self, call: &str, result: &Result<T, Trouble>) {
        let outcome = if result.is_ok() { "answered" } else { "failed" };
        self.metrics.store.with_label_values(&[call, outcome]).inc();
    }

    /// Whether other VMs rely on what this one reads.
    pub fn has_followers(&self, now: Moment) -> bool {
        self.asked.get().is_some_and(|at| now.since(at) < FOLLOWED_FOR)
    }

    /// The longest age of the proof at which a request with a key may be sent on.
    pub fn longest_proof_age(&self) -> Option<Span> {
        let bound = self.settings.bounds.key_staleness?;
        Some(Span(bound.0.saturating_sub(FRESH_MARGIN.0)))
    }

    /// Whether a request with a key may be sent on.
    pub fn may_use_keys(&self, now: Moment) -> bool {
        match (self.longest_proof_age(), self.proof_age(now)) {
            (None, _) => true,
            (Some(longest), Some(age)) => age < longest,
            (Some(_), None) => false,
        }
    }

    /// Whether all objects of a kind have been listed.
    pub fn has_listed(&self, kind: Kind) -> bool {
        self.listed.borrow().contains(&kind)
    }

    /// Whether it knows routes, backend servers and the orders that bind them.
    pub fn knows_all(&self) -> bool {
        self.table.borrow().is_some() && NEEDED.iter().all(|kind| self.has_listed(*kind))
    }

    /// Whether the balancer may send new connections.
    pub fn is_ready(&self, now: Moment) -> bool {
        self.knows_all() && !self.is_stopping() && self.may_use_keys(now)
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stop.borrow().is_some()
    }

    /// Whether a request that arrives now could outlast a planned stop.
    pub fn would_outlast(&self, streams: bool, now: Moment) -> bool {
        let Some(begun) = *self.stop.borrow() else { return false };
        let taken = if streams { STREAMS_TAKEN } else { self.settings.bounds.stop_within.half() };
        now.since(begun) > taken
    }

    /// Time that a model takes to read so many tokens.
    pub fn reading(&self, model: Option<&Model>, tokens: u64) -> Span {
        let paces = self.paces.borrow();
        let pace = paces.get(&model.cloned());
        pace.map_or_else(|| Pace::default().time(tokens), |pace| pace.time(tokens))
    }

    /// Learns how fast a model reads prompts.
    pub fn learn_pace(&self, model: Option<&Model>, tokens: u64, time: Span) {
        self.paces.borrow_mut().entry(model.cloned()).or_default().note(tokens, time);
    }

    /// Notes that a request waited so long at a server of a service, beside its own reading.
    pub fn note_wait(&self, service: &Service, waited: Span, goal: Span) {
        let mut pressures = self.pressures.borrow_mut();
        pressures.entry(service.clone()).or_default().note(waited, goal, self.now());
    }

    /// Mean wait at the servers of a service of late, as a part of the goal.
    pub fn pressure(&self, service: &Service, now: Moment) -> f64 {
        self.pressures.borrow().get(service).map_or(0.0, |pressure| pressure.level(now))
    }

    /// Counts a request's first send to a service.
    pub fn count_first(&self, service: &Service, now: Moment) {
        self.budget(service, |budget| budget.first(now));
    }

    /// Takes a repeated send to a service from the budget.
    pub fn spend_repeat(&self, service: &Service, now: Moment) -> bool {
        self.budget(service, |budget| budget.spend(now))
    }

    /// Takes a repeated send that serves no failure from the budget, if enough is left for failures.
    pub fn spend_spare(&self, service: &Service, now: Moment) -> bool {
        self.budget(service, |budget| budget.spend_spare(now))
    }

    fn budget<T>(&self, service: &Service, act: impl FnOnce(&mut Budget) -> T) -> T {
        let bounds = &self.settings.bounds;
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| Budget::new(bounds.retry_window, bounds.retry_share));
        let vms = self.peers.borrow().present(self.now()) as u32;
        budget.set_extra(limit::even_part(bounds.retry_extra as u32, vms));
        act(budget)
    }
}
