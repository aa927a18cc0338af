//! The state of one entry VM. It is used from a single thread.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::sync::Notify;

use super::era::Tracker;
use super::events::Events;
use super::feed::{Feed, Origin, Reachability};
use super::kind::Kind;
use super::metrics::Metrics;
use super::peer::Peers;
use super::pinned_sessions::PinnedSessions;
use super::places::{Event as PlaceEvent, PlaceQueue};
use super::positions::Positions;
use super::read_budget::{Budget, DEFAULT_MEMORY};
use super::replica::Rollout;
use super::restore::Restore;
use super::role::{Decline, Role};
use super::rollout_trial::RolloutTrial;
use super::server::Fleet;
use super::server_index::Viewpoint;
use super::session::Sessions;
use super::settings::Settings;
use super::usage::Usage;
use crate::client::Table as Clients;
use crate::config::Table;
use crate::decide::budget::RetryBudget;
use crate::decide::clients;
use crate::decide::connectivity::Connectivity;
use crate::decide::freshness::Schedules;
use crate::decide::lapse::{LAPSED_ENTRY_GRACE, Lapses};
use crate::decide::lending::Lending;
use crate::decide::limit;
use crate::decide::poison::Exchange;
use crate::decide::prefill::PrefillEstimator;
use crate::decide::pressure::Pressure;
use crate::decide::reader::Rank;
use crate::decide::server_limit::places::BrittleServices;
use crate::decide::tunnel::Helpers;
use crate::peer::stall::Gate;
use crate::peer::tunnel::Event as TunnelEvent;
use crate::platform::client::{Client, StoreError};
use crate::platform::object::Object;
use crate::unit::{Era, Model, Moment, Position, Service, Span, Vm as Name, hash};
use crate::vm::Clock;
use crate::watch::label::LabelSet;
use crate::watch::log::{Logger, Value};

/// How long new requests are accepted after a planned stop began, and no longer than half of it. The
/// balancer takes two to three seconds to notice the stop, and requests take some seconds.
const STOP_ACCEPT_TIME: Span = Span::millis(2800);

/// Safety margin before the time at which the process would be killed.
const KILL_MARGIN: Span = Span::millis(700);

/// Time before the end of a planned stop at which requests that still run are answered, so that
/// their answers are written by then.
const LAST_ANSWER_TIME: Span = Span::millis(300);

/// Kinds that a VM must have listed, besides the configuration, before it forwards requests.
const REQUIRED_KINDS: [Kind; 3] = [Kind::Servers, Kind::Rollouts, Kind::Evacuations];

/// Returns what callers of a VM with these settings may take together.
fn client_limits(settings: &Settings) -> clients::Limits {
    let descriptors = settings.descriptors.or_else(crate::client::max_descriptors);
    let limits = clients::Limits::new(settings.memory.unwrap_or(DEFAULT_MEMORY), descriptors);
    let connections = settings.client_connections.unwrap_or(limits.connections);
    clients::Limits { connections, ..limits }
}

/// One entry VM.
pub struct Vm {
    /// Settings that were read at the start.
    pub settings: Settings,
    /// Times of reads that keep the state within the bounds of the settings.
    pub schedules: Schedules,
    /// Clocks; tests put in their own.
    pub clock: Clock,
    /// When the process started.
    pub started: Moment,
    /// Routes and keys in force; `None` before the first configuration was read.
    pub table: RefCell<Option<Rc<Table>>>,
    /// Newest era of the store that any response named.
    pub era: Rc<Tracker>,
    /// Era of the store that this VM works in.
    pub active_era: Cell<Option<Era>>,
    /// The last restore of the store from a backup, until owners have had time to write again the
    /// objects that the backup lacks.
    pub recent_restore: tokio::sync::watch::Sender<Option<Restore>>,
    /// Positions (era and revision) of the objects that this VM knows, to ignore stale updates.
    pub positions: RefCell<Positions>,
    /// Backend servers, with what this VM knows of each.
    pub fleet: RefCell<Fleet>,
    /// Rollouts by service.
    pub rollouts: RefCell<HashMap<Service, Rollout>>,
    /// Wakes the task that broadcasts disputed servers, which a restored backup wrongly lists as
    /// ready.
    pub disputes_changed: Notify,
    /// Rollouts read from a restored backup while a later order is known; applied when the grace
    /// time after the restore ends.
    pub deferred_rollouts: RefCell<HashMap<Service, Object>>,
    /// Trials of new versions, by service: counts of the answers of old and new version.
    pub rollout_trials: RefCell<HashMap<Service, RolloutTrial>>,
    /// Sessions that were seen recently.
    pub sessions: RefCell<Sessions>,
    /// Sessions that other VMs report as pinned to the old version.
    pub pinned_sessions: RefCell<PinnedSessions>,
    /// Request contents under which servers crashed, by digest.
    pub poison: RefCell<Exchange>,
    /// When the last read that proved the configuration to be the newest was sent.
    pub proved_at: Cell<Option<Moment>>,
    /// True if this VM reads the store itself and its last attempt to get a proof failed.
    pub store_lost: Cell<bool>,
    /// True if the store has answered any call since the start.
    pub store_has_answered: Cell<bool>,
    /// When the store became reachable again, or was restored.
    pub store_recovered_at: Cell<Option<Moment>>,
    /// When this VM's state of the servers was read, to tell entries that may only have lapsed from
    /// those that were taken away.
    pub lapses: Cell<Lapses>,
    /// How this VM gets the state of the store: it reads the store itself, or follows another VM.
    pub role: tokio::sync::watch::Sender<Role>,
    /// Which VM read the last update from the store, and the number of VMs that relayed it; `None`
    /// if this VM reads the store itself.
    pub updates_origin: RefCell<Option<Origin>>,
    /// True if the VM that this one follows reports that the store is lost.
    pub upstream_store_lost: Cell<bool>,
    /// True if the last read of the servers failed or got no timely response.
    pub store_suspect: Cell<bool>,
    /// True if this VM became a reader because others report the store as lost, and has not tried
    /// the store itself yet.
    pub store_untested: Cell<bool>,
    /// Number of VMs that probe a lost store before this one, which probes it the more rarely the
    /// more there are.
    pub ranked_before: Cell<usize>,
    /// Wakes the follower task, which then polls for a VM to follow at once; used when a lost store
    /// responds again.
    pub reader_search: Notify,
    /// Notified when the VMs that the store lists are known.
    pub peers_listed: Notify,
    /// Since when this VM is the first of its group: the highest-ranked one that responds. `None`
    /// if it is not.
    pub first_in_group_since: Cell<Option<Moment>>,
    /// Updates that this VM serves to its followers.
    pub feed: RefCell<Feed>,
    /// What the responses of servers and of the store may cost this VM together.
    pub read_budget: Budget,
    /// Connections of callers, and what they hold.
    pub clients: Clients,
    /// Why the last VM that polled this one got no update; `None` if it got one.
    pub last_decline: Cell<Option<Decline>>,
    /// When this process noticed that it had been stalled or suspended.
    pub stalled_at: Cell<Option<Moment>>,
    /// Holds requests back after a stall of this process.
    pub stall_gate: Gate,
    /// Wakes the task that gets proofs that the configuration is the newest.
    pub proof_requested: Notify,
    /// Wakes tasks that wait for a proof.
    pub proof_received: Notify,
    /// Counts recoveries and restores of the store; tasks that watch the store wait for a change.
    pub store_recoveries: tokio::sync::watch::Sender<u64>,
    /// Kinds of objects that have been listed completely since the start.
    pub listed_kinds: RefCell<HashSet<Kind>>,
    /// Kinds of objects whose last list was not whole, although the store answered.
    pub incomplete_kinds: RefCell<HashSet<Kind>>,
    /// What this VM knows of its links to the backend servers, by service.
    pub connectivity: RefCell<HashMap<Service, Connectivity>>,
    /// True while this VM reaches no backend server, directly or through another VM.
    pub links_lost: tokio::sync::watch::Sender<bool>,
    /// Wakes the task that checks the links to the backend servers.
    pub links_in_doubt: Notify,
    /// Other VMs that relay connections of this one to servers that it can't reach.
    pub helpers: RefCell<Helpers>,
    /// Wakes requests that wait for an offer of another VM to relay their connections.
    pub helper_offered: Notify,
    /// Queue of what other VMs send about tunnels.
    pub tunnel_events: Events<TunnelEvent>,
    /// VMs that this one has offered to relay connections for, with their addresses.
    pub tunnel_users: RefCell<HashMap<Name, SocketAddr>>,
    /// Number of tunnels that this VM relays for others.
    pub tunnels_relayed: Cell<usize>,
    /// When a planned stop began; `None` before.
    pub stopping_since: tokio::sync::watch::Sender<Option<Moment>>,
    /// Number of requests in flight.
    pub running: Cell<usize>,
    /// The other VMs, as far as known.
    pub peers: RefCell<Peers>,
    /// True if this VM's entry was removed from the store and must be written again.
    pub is_unregistered: Cell<bool>,
    /// Requests of the workspaces that began to run; `None` if usage is not reported.
    pub usage: Option<RefCell<Usage>>,
    /// Shares of the servers' rate limits that this VM has lent or borrowed, by service.
    pub lending: RefCell<HashMap<Service, Lending>>,
    /// Services whose servers announced lately that they are brittle.
    pub brittle_services: RefCell<BrittleServices>,
    /// Requests that wait for a place at a brittle server, by service.
    pub place_queues: RefCell<HashMap<Service, Rc<PlaceQueue>>>,
    /// Queue of what happens to places at brittle servers.
    pub place_events: Events<PlaceEvent>,
    /// Buffered log lines.
    pub logger: Logger,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Names of servers' response headers that this version does not decode.
    pub unknown_headers: RefCell<LabelSet>,
    /// Retry budgets by service.
    budgets: RefCell<HashMap<Service, RetryBudget>>,
    /// Estimators of prefill times by model; `None` is for requests without a model.
    prefill_estimators: RefCell<HashMap<Option<Model>, PrefillEstimator>>,
    /// Recent waits at the servers of each service, relative to the latency goal.
    pressures: RefCell<HashMap<Service, Pressure>>,
}

impl Vm {
    /// Returns a VM that has not read the store yet.
    pub fn new(settings: Settings, clock: Clock, lines: Logger) -> Vm {
        let usage = settings.duties.map(|duties| {
            let vm = settings.vm.clone();
            RefCell::new(Usage::new(duties.usage, vm, clock.now(), clock.date()))
        });
        let read_budget = Budget::new(settings.memory, settings.cpu_quota, clock);
        let clients = Clients::new(client_limits(&settings), clock);
        let metrics = Metrics::new();
        metrics.register(clients.closed());
        metrics.register(clients.gauge());
        let viewpoint = Viewpoint {
            data_centre: settings.data_centre.clone(),
            point: hash::stable(&[settings.vm.as_str()]),
        };
        Vm {
            schedules: settings.bounds.schedules(),
            settings,
            started: clock.now(),
            clock,
            table: RefCell::default(),
            era: Rc::default(),
            active_era: Cell::new(None),
            recent_restore: tokio::sync::watch::Sender::new(None),
            positions: RefCell::default(),
            fleet: RefCell::new(Fleet::new(viewpoint)),
            rollouts: RefCell::default(),
            disputes_changed: Notify::new(),
            deferred_rollouts: RefCell::default(),
            rollout_trials: RefCell::default(),
            sessions: RefCell::default(),
            pinned_sessions: RefCell::default(),
            poison: RefCell::default(),
            proved_at: Cell::new(None),
            store_lost: Cell::new(false),
            store_has_answered: Cell::new(false),
            store_recovered_at: Cell::new(None),
            lapses: Cell::default(),
            role: tokio::sync::watch::Sender::new(Role::Joins),
            updates_origin: RefCell::default(),
            upstream_store_lost: Cell::new(false),
            store_suspect: Cell::new(false),
            store_untested: Cell::new(false),
            ranked_before: Cell::new(0),
            reader_search: Notify::new(),
            peers_listed: Notify::new(),
            first_in_group_since: Cell::new(None),
            feed: RefCell::new(Feed::new(rand::random())),
            read_budget,
            clients,
            last_decline: Cell::new(None),
            stalled_at: Cell::new(None),
            stall_gate: Gate::default(),
            proof_requested: Notify::new(),
            proof_received: Notify::new(),
            store_recoveries: tokio::sync::watch::Sender::new(0),
            listed_kinds: RefCell::default(),
            incomplete_kinds: RefCell::default(),
            connectivity: RefCell::default(),
            links_lost: tokio::sync::watch::Sender::new(false),
            links_in_doubt: Notify::new(),
            helpers: RefCell::default(),
            helper_offered: Notify::new(),
            tunnel_events: Events::default(),
            tunnel_users: RefCell::default(),
            tunnels_relayed: Cell::new(0),
            stopping_since: tokio::sync::watch::Sender::new(None),
            running: Cell::new(0),
            peers: RefCell::default(),
            is_unregistered: Cell::new(false),
            usage,
            lending: RefCell::default(),
            brittle_services: RefCell::default(),
            place_queues: RefCell::default(),
            place_events: Events::default(),
            logger: lines,
            metrics,
            unknown_headers: RefCell::default(),
            budgets: RefCell::default(),
            prefill_estimators: RefCell::default(),
            pressures: RefCell::default(),
        }
    }

    /// Returns the current time of the steady clock, which includes time suspended.
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Returns a client of the store with its own connection.
    pub fn store_client(&self) -> Client {
        Client::new(self.settings.store, self.era.clone()).with_budget(&self.read_budget)
    }

    /// Appends a log line; it is written with the next flush.
    pub fn log(&self, event: &str, fields: &[(&str, Value)]) {
        self.logger.log(event, self.clock.date(), self.now(), fields);
    }

    /// Returns the routing table in force, if a configuration was read.
    pub fn routes(&self) -> Option<Rc<Table>> {
        self.table.borrow().clone()
    }

    /// Returns the age of the proof that the configuration is the newest.
    pub fn proof_age(&self, now: Moment) -> Option<Span> {
        self.proved_at.get().map(|at| now.since(at))
    }

    /// Returns the rank of this VM, which decides with the ranks of the others who reads the store.
    pub fn rank(&self) -> Rank {
        Rank::new(self.settings.cpu_quota, self.settings.vm.clone())
    }

    /// Returns true if this VM reads the store itself, whether or not others follow it.
    pub fn is_reader(&self) -> bool {
        *self.role.borrow() == Role::Reads
    }

    /// Records that the store responded, which ends an outage if there was one.
    pub fn on_store_response(&self) {
        self.store_suspect.set(false);
        if self.store_lost.replace(false) {
            self.log("store regained", &[]);
            self.store_recovered_at.set(Some(self.now()));
            self.store_recoveries.send_modify(|times| *times += 1);
        }
    }

    /// Enters an era of the store that a response named.
    pub fn enter_era(&self, era: Era) {
        self.enter_era_with(era, Some(Restore { noticed_at: self.now(), first_position: None }));
    }

    /// Enters an era of the store, a counter that rises with each restore. A later era means that
    /// the store was restored from a backup: entries of backend servers may be missing for a while,
    /// and all kinds are listed again. `restore` is `None` if owners have had time to write again
    /// the objects that the backup lacks.
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
            let mut lapses = self.lapses.get();
            lapses.on_restore(self.now());
            self.lapses.set(lapses);
            self.recent_restore.send_replace(restore);
            self.store_recoveries.send_modify(|times| *times += 1);
        }
    }

    /// Enters the era of a position that was read. The first position of an era becomes the base of
    /// its restore.
    pub fn enter_era_of(&self, position: Position) {
        self.enter_era(position.era);
        let is_first = |restore: &mut Restore| {
            let is_first =
                restore.first_position.is_none() && self.active_era.get() == Some(position.era);
            restore.first_position = restore.first_position.or(is_first.then_some(position));
            is_first
        };
        self.recent_restore.send_if_modified(|restore| restore.as_mut().is_some_and(is_first));
    }

    /// Returns true if an object that last changed at `position` may come from a backup that the
    /// store was restored from, and its owner may not have had time to write it again.
    pub fn may_be_outdated(&self, position: Position) -> bool {
        self.recent_restore.borrow().is_some_and(|restore| restore.covers(position, self.now()))
    }

    /// Records that a read of the store for a proof failed. Ignored while this VM follows another.
    pub fn on_proof_failure(&self, why: &str) {
        if self.is_reader() && !self.store_lost.replace(true) {
            self.log("store lost", &[("why", why.into())]);
        }
    }

    /// Applies the state of the store that another VM reported in response to a poll sent at
    /// `polled_at`. The reported age of a recovery is counted from that time, so that the recovery
    /// can't look more recent than it was.
    pub fn on_store_report(&self, store: Reachability, polled_at: Moment) {
        if let Reachability::Recovered(age) = store {
            let recovered_at = Moment(polled_at.0.saturating_sub(age.0));
            self.store_recovered_at.set(self.store_recovered_at.get().max(Some(recovered_at)));
        }
        let lost = store == Reachability::Down;
        if self.upstream_store_lost.replace(lost) != lost {
            self.log("told of the store", &[("lost", lost.into())]);
            self.store_recoveries.send_modify(|times| *times += 1);
        }
    }

    /// Returns the state of the store that this VM reports to its followers.
    pub fn store_state(&self, now: Moment) -> Reachability {
        if self.is_store_unavailable() || self.store_suspect.get() || self.store_untested.get() {
            return Reachability::Down;
        }
        let age = self.store_recovered_at.get().map(|at| now.since(at));
        age.filter(|age| *age < LAPSED_ENTRY_GRACE)
            .map_or(Reachability::Up, Reachability::Recovered)
    }

    /// Returns true if this VM, or the one that it follows, found the store unreachable.
    pub fn is_store_unavailable(&self) -> bool {
        self.store_lost.get() || self.upstream_store_lost.get()
    }

    /// Records a read of the servers that was sent at `sent`, by this VM or by the one that it
    /// follows, before its changes are applied.
    pub fn on_servers_read(&self, sent: Moment) {
        let mut lapses = self.lapses.get();
        let unread = lapses.on_read(sent, self.settings.bounds.drain_within);
        self.lapses.set(lapses);
        if let Some(unread) = unread {
            self.log("servers read again", &[("unread_ms", unread.as_millis().into())]);
        }
    }

    /// Returns true if entries of live servers may be missing, during an outage of the store or
    /// soon after it.
    pub fn may_entries_be_missing(&self, now: Moment) -> bool {
        self.lapses.get().may_be_missing(self.settings.bounds.drain_within, now)
    }

    /// Returns until when a server stays in use whose entry is missing from the last read; `None`
    /// if the entry was taken away.
    pub fn lapsed_server_kept_until(&self, now: Moment) -> Option<Moment> {
        let is_recent = |at: Moment| now.since(at) < LAPSED_ENTRY_GRACE;
        let has_read_failed =
            self.store_lost.get() || self.store_recovered_at.get().is_some_and(is_recent);
        self.lapses.get().kept_until(has_read_failed, self.schedules.max_followed_age(), now)
    }

    /// Counts a call to the store by its outcome.
    pub fn count_store_call<T>(&self, call: &str, result: &Result<T, StoreError>) {
        let outcome = if result.is_ok() { "answered" } else { "failed" };
        self.store_has_answered.set(self.store_has_answered.get() || result.is_ok());
        self.metrics.store_calls.with_label_values(&[call, outcome]).inc();
    }

    /// Returns the longest age of the proof at which requests with a key may be forwarded; `None`
    /// if the settings give no bound for revoked keys.
    pub fn max_proof_age(&self) -> Option<Span> {
        self.settings.bounds.max_proof_age()
    }

    /// Returns true if requests with a key may be forwarded: a key that was revoked is not used for
    /// longer than promised.
    pub fn may_use_keys(&self, now: Moment) -> bool {
        match (self.max_proof_age(), self.proof_age(now)) {
            (None, _) => true,
            (Some(longest), Some(age)) => age < longest,
            (Some(_), None) => false,
        }
    }

    /// Returns true if all objects of a kind have been listed.
    pub fn has_listed(&self, kind: Kind) -> bool {
        self.listed_kinds.borrow().contains(&kind)
    }

    /// Returns true if all objects of a kind have been listed, or as many as the store lists.
    pub fn has_tried_to_list(&self, kind: Kind) -> bool {
        self.has_listed(kind) || self.incomplete_kinds.borrow().contains(&kind)
    }

    /// Returns true if routes, backend servers, rollouts and evacuations are known, or as much of
    /// the last three as the store lists.
    pub fn has_required_state(&self) -> bool {
        let has_tried = |kind: &Kind| self.has_tried_to_list(*kind);
        self.table.borrow().is_some() && REQUIRED_KINDS.iter().all(has_tried)
    }

    /// Returns the kinds of objects that are missing for [`Vm::has_required_state`].
    pub fn missing_state(&self) -> Vec<&'static str> {
        let configuration = self.table.borrow().is_none().then_some(Kind::Config);
        let others = REQUIRED_KINDS.into_iter().filter(|kind| !self.has_tried_to_list(*kind));
        configuration.into_iter().chain(others).map(Kind::name).collect()
    }

    /// Returns true if the balancer may send new connections.
    pub fn is_ready(&self, now: Moment) -> bool {
        self.has_required_state()
            && !self.is_stopping()
            && !self.has_lost_links()
            && self.may_use_keys(now)
    }

    /// Returns true if this VM reaches no backend server, so that callers are better served by
    /// other VMs.
    pub fn has_lost_links(&self) -> bool {
        *self.links_lost.borrow()
    }

    /// Returns true if a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping_since.borrow().is_some()
    }

    /// Returns true if a request that arrives now could still run at the end of a planned stop.
    pub fn would_outlast(&self, now: Moment) -> bool {
        let Some(stopping_since) = *self.stopping_since.borrow() else { return false };
        let accept_time = STOP_ACCEPT_TIME.min(self.settings.bounds.stop_within.half());
        now.since(stopping_since) > accept_time
    }

    /// Returns the end of a planned stop that began at `stopping_since`.
    pub fn stop_ends_at(&self, stopping_since: Moment) -> Moment {
        stopping_since + Span(self.settings.bounds.stop_within.0.saturating_sub(KILL_MARGIN.0))
    }

    /// Waits until requests that still run must be answered, since a planned stop is about to end.
    pub async fn last_answers_due(&self) {
        let mut stop = self.stopping_since.subscribe();
        let Ok(since) = stop.wait_for(Option::is_some).await.map(|since| *since) else {
            return std::future::pending().await;
        };
        let ends_at = self.stop_ends_at(since.unwrap_or_default());
        let due = Moment(ends_at.0.saturating_sub(LAST_ANSWER_TIME.0));
        tokio::time::sleep(due.since(self.now()).duration()).await;
    }

    /// Returns the estimated time that a model takes to prefill a number of tokens.
    pub fn prefill_time(&self, model: Option<&Model>, tokens: u64) -> Span {
        let prefill_estimators = self.prefill_estimators.borrow();
        let estimator = prefill_estimators.get(&model.cloned());
        estimator.map_or_else(
            || PrefillEstimator::default().prefill_time(tokens),
            |estimator| estimator.prefill_time(tokens),
        )
    }

    /// Records the time that a model took to prefill a number of tokens.
    pub fn record_prefill(&self, model: Option<&Model>, tokens: u64, time: Span) {
        self.prefill_estimators
            .borrow_mut()
            .entry(model.cloned())
            .or_default()
            .record(tokens, time);
    }

    /// Records how long a request waited at a server of a service, not counting the prefill of its
    /// own prompt.
    pub fn record_wait(&self, service: &Service, waited: Span, goal: Span) {
        let mut pressures = self.pressures.borrow_mut();
        pressures.entry(service.clone()).or_default().record(waited, goal, self.now());
    }

    /// Returns the recent mean wait at the servers of a service, as a fraction of the latency goal.
    pub fn pressure(&self, service: &Service, now: Moment) -> f64 {
        self.pressures.borrow().get(service).map_or(0.0, |pressure| pressure.mean_wait(now))
    }

    /// Counts the first attempt of a request at a service, which earns retry budget.
    pub fn record_first_attempt(&self, service: &Service, now: Moment) {
        self.budget(service, |budget| budget.record_first(now));
        self.lending.borrow_mut().entry(service.clone()).or_default().demand.record(now);
    }

    /// Takes a retry from the budget of a service. Returns false if none is left.
    pub fn spend_retry(&self, service: &Service, now: Moment) -> bool {
        self.budget(service, |budget| budget.try_spend(now))
    }

    /// Takes an attempt that is no reaction to a failure from the retry budget of a service.
    /// Returns false if too little would be left for retries after failures.
    pub fn spend_optional_retry(&self, service: &Service, now: Moment) -> bool {
        self.budget(service, |budget| budget.try_spend_optional(now))
    }

    /// Returns the queue of the requests that wait for a place at a brittle server of a service.
    pub fn place_queue(&self, service: &Service) -> Rc<PlaceQueue> {
        self.place_queues.borrow_mut().entry(service.clone()).or_default().clone()
    }

    /// Calls `act` with the retry budget of a service, which is created if needed and gets this
    /// VM's even share of the extra retries of all VMs.
    fn budget<T>(&self, service: &Service, act: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let bounds = &self.settings.bounds;
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(bounds.retry_window, bounds.retry_share));
        let vms = self.peers.borrow().count_live(self.now()) as u32;
        budget.set_extra_retries(limit::even_share(bounds.retry_extra as u32, vms));
        act(budget)
    }
}
