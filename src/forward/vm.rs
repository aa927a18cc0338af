//! The state of one entry VM. All of it lives on one thread.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use tokio::sync::Notify;

use super::era::Tracker;
use super::feed::{Feed, Origin, Reachability};
use super::kind::Kind;
use super::metrics::Metrics;
use super::peer::Peers;
use super::pinned::PinnedSessions;
use super::positions::Positions;
use super::replica::Rollout;
use super::restore::Restore;
use super::role::{Decline, Role};
use super::server::{Fleet, LAPSED_ENTRY_GRACE};
use super::session::Sessions;
use super::settings::Settings;
use super::trial::RolloutTrial;
use crate::config::Table;
use crate::decide::budget::RetryBudget;
use crate::decide::limit;
use crate::decide::poison::Exchange;
use crate::decide::prefill::PrefillEstimator;
use crate::decide::pressure::Pressure;
use crate::decide::reader::Rank;
use crate::platform::client::{Client, StoreError};
use crate::platform::object::Object;
use crate::unit::{Era, Model, Moment, Position, Service, Span};
use crate::vm::Clock;
use crate::watch::label::LabelSet;
use crate::watch::log::{Logger, Value};

/// Margin of the age of the proof of freshness, for clocks that run unlike.
const PROOF_AGE_MARGIN: Span = Span::millis(250);

/// During a planned stop streams are begun for this long: the balancer needs two to three seconds to
/// notice the stop, and a stream takes some seconds too.
const STREAM_ACCEPT_TIME: Span = Span::millis(2800);

/// A VM that was asked for news within this has followers; they ask a few times a second.
const FOLLOWER_TIMEOUT: Span = Span::secs(2);

/// What a VM must have listed beside the configuration before it sends anything on.
const REQUIRED_KINDS: [Kind; 3] = [Kind::Servers, Kind::Rollouts, Kind::Evacuations];

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
    pub active_era: Cell<Option<Era>>,
    /// The last restore of the store, until owners have had time to write again what the copy lacks.
    pub restored: tokio::sync::watch::Sender<Option<Restore>>,
    /// How new what it knows of the platform's objects is.
    pub freshness: RefCell<Positions>,
    /// Backend servers.
    pub fleet: RefCell<Fleet>,
    /// Roll-outs by service.
    pub rollouts: RefCell<HashMap<Service, Rollout>>,
    /// Wakes the task that tells other VMs which servers a copy wrongly calls ready.
    pub disputes_changed: Notify,
    /// Roll-outs of a copy that the store was restored from, while a later order is known.
    pub deferred_rollouts: RefCell<HashMap<Service, Object>>,
    /// What was seen of roll-outs.
    pub trials: RefCell<HashMap<Service, RolloutTrial>>,
    /// Sessions seen of late.
    pub sessions: RefCell<Sessions>,
    /// Sessions that keep the old version, as other VMs say.
    pub pinned_sessions: RefCell<PinnedSessions>,
    /// Contents under which servers crashed.
    pub poison: RefCell<Exchange>,
    /// When the last read that proved the configuration the newest was sent.
    pub proved_at: Cell<Option<Moment>>,
    /// Whether the last proof failed.
    pub store_lost: Cell<bool>,
    /// When the way to the store came back.
    pub store_recovered_at: Cell<Option<Moment>>,
    /// Who reads the store for this VM.
    pub role: tokio::sync::watch::Sender<Role>,
    /// Who read what this VM was told last, and by how many VMs that was passed on; none if it reads itself.
    pub origin: RefCell<Option<Origin>>,
    /// Whether the VM that this one follows says that the store is lost.
    pub upstream_store_lost: Cell<bool>,
    /// Whether the last question for servers had no answer.
    pub store_suspect: Cell<bool>,
    /// Whether this VM reads on the word that the store is lost for others, and has not tried it yet.
    pub store_untested: Cell<bool>,
    /// Whether enough others try a store that is lost, so that this VM does so rarely.
    pub probes_rarely: Cell<bool>,
    /// Wakes the search for a VM that has news: a store that was lost answers.
    pub reader_search: Notify,
    /// Tells that the VMs that the store names are known.
    pub peers_listed: Notify,
    /// Since when this VM is the first of its group.
    pub first_in_group_since: Cell<Option<Moment>>,
    /// What this VM knows, for those that ask it.
    pub feed: RefCell<Feed>,
    /// Why the last that asked for news got none.
    pub last_decline: Cell<Option<Decline>>,
    /// When this process noticed that it had been held up.
    pub stalled_at: Cell<Option<Moment>>,
    /// When a follower asked last.
    pub follower_polled_at: Cell<Option<Moment>>,
    /// Wakes the task that proves freshness.
    pub proof_requested: Notify,
    /// Wakes those who wait for a proof.
    pub proof_received: Notify,
    /// Tells followers that the way to the store is back.
    pub store_recoveries: tokio::sync::watch::Sender<u64>,
    /// Kinds of which all objects have been listed.
    pub listed: RefCell<HashSet<Kind>>,
    /// When a planned stop began.
    pub stopping_since: tokio::sync::watch::Sender<Option<Moment>>,
    /// Requests in flight.
    pub running: Cell<usize>,
    /// The other VMs.
    pub peers: RefCell<Peers>,
    /// Log lines.
    pub lines: Logger,
    /// Counters.
    pub metrics: Metrics,
    /// Headers of servers' answers that nothing decodes.
    pub unknown_headers: RefCell<LabelSet>,
    budgets: RefCell<HashMap<Service, RetryBudget>>,
    prefill_estimators: RefCell<HashMap<Option<Model>, PrefillEstimator>>,
    pressures: RefCell<HashMap<Service, Pressure>>,
}

impl Vm {
    /// A VM that knows nothing yet.
    pub fn new(settings: Settings, clock: Clock, lines: Logger) -> Vm {
        Vm {
            settings,
            started: clock.now(),
            clock,
            table: RefCell::default(),
            era: Rc::default(),
            active_era: Cell::new(None),
            restored: tokio::sync::watch::Sender::new(None),
            freshness: RefCell::default(),
            fleet: RefCell::default(),
            rollouts: RefCell::default(),
            disputes_changed: Notify::new(),
            deferred_rollouts: RefCell::default(),
            trials: RefCell::default(),
            sessions: RefCell::default(),
            pinned_sessions: RefCell::default(),
            poison: RefCell::default(),
            proved_at: Cell::new(None),
            store_lost: Cell::new(false),
            store_recovered_at: Cell::new(None),
            role: tokio::sync::watch::Sender::new(Role::Joins),
            origin: RefCell::default(),
            upstream_store_lost: Cell::new(false),
            store_suspect: Cell::new(false),
            store_untested: Cell::new(false),
            probes_rarely: Cell::new(false),
            reader_search: Notify::new(),
            peers_listed: Notify::new(),
            first_in_group_since: Cell::new(None),
            feed: RefCell::new(Feed::new(rand::random())),
            last_decline: Cell::new(None),
            stalled_at: Cell::new(None),
            follower_polled_at: Cell::new(None),
            proof_requested: Notify::new(),
            proof_received: Notify::new(),
            store_recoveries: tokio::sync::watch::Sender::new(0),
            listed: RefCell::default(),
            stopping_since: tokio::sync::watch::Sender::new(None),
            running: Cell::new(0),
            peers: RefCell::default(),
            lines,
            metrics: Metrics::new(),
            unknown_headers: RefCell::default(),
            budgets: RefCell::default(),
            prefill_estimators: RefCell::default(),
            pressures: RefCell::default(),
        }
    }

    /// The present moment.
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// A client of the store with a connection of its own.
    pub fn store_client(&self) -> Client {
        Client::new(self.settings.store, self.era.clone())
    }

    /// Adds a log line.
    pub fn log(&self, event: &str, fields: &[(&str, Value)]) {
        self.lines.log(event, self.clock.date(), self.now(), fields);
    }

    /// The routes in force.
    pub fn routes(&self) -> Option<Rc<Table>> {
        self.table.borrow().clone()
    }

    /// How old the proof is that the configuration is the newest.
    pub fn proof_age(&self, now: Moment) -> Option<Span> {
        self.proved_at.get().map(|at| now.since(at))
    }

    /// Its place in the order of VMs.
    pub fn rank(&self) -> Rank {
        Rank::new(self.settings.share, self.settings.vm.clone())
    }

    /// Whether this VM reads the store for itself, and maybe for others.
    pub fn is_reader(&self) -> bool {
        *self.role.borrow() == Role::Reads
    }

    /// Notes that the store answered.
    pub fn on_store_response(&self) {
        self.store_suspect.set(false);
        if self.store_lost.replace(false) {
            self.log("store regained", &[]);
            self.store_recovered_at.set(Some(self.now()));
            self.store_recoveries.send_modify(|times| *times += 1);
        }
    }

    /// Enters an era of the store that an answer named.
    pub fn enter_era(&self, era: Era) {
        self.enter_era_with(era, Some(Restore { at: self.now(), base: None }));
    }

    /// Enters an era of the store. If it is a later one, the store was restored from a copy: entries of
    /// backend servers may be missing for a while, and all kinds are to be listed again. `restore` is
    /// none if owners have had time to write again what the copy lacks.
    pub fn enter_era_with(&self, era: Era, restore: Option<Restore>) {
        self.era.advance(era);
        let before = self.active_era.get();
        if before >= Some(era) {
            return;
        }
        self.active_era.set(Some(era));
        self.metrics.era.set(era.0 as i64);
        if before.is_some() {
            self.log("store restored", &[("era", era.0.into())]);
            self.store_recovered_at.set(Some(self.now()));
            self.restored.send_replace(restore);
            self.store_recoveries.send_modify(|times| *times += 1);
        }
    }

    /// Enters the era of a position that was read.
    pub fn enter_era_of(&self, position: Position) {
        self.enter_era(position.era);
        let is_first = |restore: &mut Restore| {
            let is_first = restore.base.is_none() && self.active_era.get() == Some(position.era);
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
    pub fn on_proof_failure(&self, why: &str) {
        if self.is_reader() && !self.store_lost.replace(true) {
            self.log("store lost", &[("why", why.into())]);
        }
    }

    /// Takes how the store does from a VM that answered a question of the moment `asked`. What it says of a return
    /// is dated so that it cannot look later than it was.
    pub fn on_store_report(&self, store: Reachability, asked: Moment) {
        if let Reachability::Recovered(age) = store {
            let back = Moment(asked.0.saturating_sub(age.0));
            self.store_recovered_at.set(self.store_recovered_at.get().max(Some(back)));
        }
        let lost = store == Reachability::Down;
        if self.upstream_store_lost.replace(lost) != lost {
            self.log("told of the store", &[("lost", lost.into())]);
            self.store_recoveries.send_modify(|times| *times += 1);
        }
    }

    /// How the store does, for those that ask this VM.
    pub fn store_state(&self, now: Moment) -> Reachability {
        if self.is_store_lost() || self.store_suspect.get() || self.store_untested.get() {
            return Reachability::Down;
        }
        let back = self.store_recovered_at.get().map(|back| now.since(back));
        back.filter(|age| *age < LAPSED_ENTRY_GRACE)
            .map_or(Reachability::Up, Reachability::Recovered)
    }

    /// Whether the store is away, as this VM or the one that it follows found.
    pub fn is_store_lost(&self) -> bool {
        self.store_lost.get() || self.upstream_store_lost.get()
    }

    /// Whether the store is away, or was until a moment ago: entries of backend servers may have
    /// lapsed meanwhile, and those of servers that live come back.
    pub fn was_store_lost_recently(&self, now: Moment) -> bool {
        let lately = |back: Moment| now.since(back) < LAPSED_ENTRY_GRACE;
        self.store_lost.get() || self.store_recovered_at.get().is_some_and(lately)
    }

    /// Counts a call to the store.
    pub fn count_store_call<T>(&self, call: &str, result: &Result<T, StoreError>) {
        let outcome = if result.is_ok() { "answered" } else { "failed" };
        self.metrics.store_calls.with_label_values(&[call, outcome]).inc();
    }

    /// Whether other VMs rely on what this one reads.
    pub fn has_followers(&self, now: Moment) -> bool {
        self.follower_polled_at.get().is_some_and(|at| now.since(at) < FOLLOWER_TIMEOUT)
    }

    /// The longest age of the proof at which a request with a key may be sent on.
    pub fn max_proof_age(&self) -> Option<Span> {
        let bound = self.settings.bounds.key_staleness?;
        Some(Span(bound.0.saturating_sub(PROOF_AGE_MARGIN.0)))
    }

    /// Whether a request with a key may be sent on.
    pub fn may_use_keys(&self, now: Moment) -> bool {
        match (self.max_proof_age(), self.proof_age(now)) {
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
    pub fn has_required_state(&self) -> bool {
        self.table.borrow().is_some() && REQUIRED_KINDS.iter().all(|kind| self.has_listed(*kind))
    }

    /// Whether the balancer may send new connections.
    pub fn is_ready(&self, now: Moment) -> bool {
        self.has_required_state() && !self.is_stopping() && self.may_use_keys(now)
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping_since.borrow().is_some()
    }

    /// Whether a request that arrives now could outlast a planned stop.
    pub fn would_outlast(&self, streams: bool, now: Moment) -> bool {
        let Some(begun) = *self.stopping_since.borrow() else { return false };
        let taken =
            if streams { STREAM_ACCEPT_TIME } else { self.settings.bounds.stop_within.half() };
        now.since(begun) > taken
    }

    /// Time that a model takes to read so many tokens.
    pub fn prefill_time(&self, model: Option<&Model>, tokens: u64) -> Span {
        let prefill_estimators = self.prefill_estimators.borrow();
        let pace = prefill_estimators.get(&model.cloned());
        pace.map_or_else(
            || PrefillEstimator::default().prefill_time(tokens),
            |pace| pace.prefill_time(tokens),
        )
    }

    /// Learns how fast a model reads prompts.
    pub fn record_prefill(&self, model: Option<&Model>, tokens: u64, time: Span) {
        self.prefill_estimators
            .borrow_mut()
            .entry(model.cloned())
            .or_default()
            .record(tokens, time);
    }

    /// Notes that a request waited so long at a server of a service, beside its own reading.
    pub fn record_wait(&self, service: &Service, waited: Span, goal: Span) {
        let mut pressures = self.pressures.borrow_mut();
        pressures.entry(service.clone()).or_default().record(waited, goal, self.now());
    }

    /// Mean wait at the servers of a service of late, as a part of the goal.
    pub fn pressure(&self, service: &Service, now: Moment) -> f64 {
        self.pressures.borrow().get(service).map_or(0.0, |pressure| pressure.level(now))
    }

    /// Counts a request's first send to a service.
    pub fn record_first_attempt(&self, service: &Service, now: Moment) {
        self.budget(service, |budget| budget.record_first(now));
    }

    /// Takes a repeated send to a service from the budget.
    pub fn spend_retry(&self, service: &Service, now: Moment) -> bool {
        self.budget(service, |budget| budget.try_spend(now))
    }

    /// Takes a repeated send that serves no failure from the budget, if enough is left for failures.
    pub fn spend_optional_retry(&self, service: &Service, now: Moment) -> bool {
        self.budget(service, |budget| budget.try_spend_optional(now))
    }

    fn budget<T>(&self, service: &Service, act: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let bounds = &self.settings.bounds;
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(bounds.retry_window, bounds.retry_share));
        let vms = self.peers.borrow().count_live(self.now()) as u32;
        budget.set_extra(limit::even_share(bounds.retry_extra as u32, vms));
        act(budget)
    }
}
