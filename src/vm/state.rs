//! State shared by all threads of a VM.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, RwLock};

use tokio::sync::mpsc;

use super::ratings::PendingSamples;
use super::{Clock, Command, Fleet, Settings};
use crate::client::Table as Clients;
use crate::config::Snapshot;
use crate::decide::admission::AdmissionController;
use crate::decide::cascade::{RatingBudget, Rule};
use crate::decide::limit::TokenBucket;
use crate::decide::poison::Exchange;
use crate::decide::retry::Budget;
use crate::evidence::{Counts, Key, Origin};
use crate::history::Sink;
use crate::once::ReservedKeys;
use crate::peer::Gossip;
use crate::peer::stall::Gate;
use crate::unit::{Date, Incarnation, Kind, Model, Moment, Rate, RequestId, Revision, Workspace};
use crate::watch::{BurnTracker, Metrics, TraceLog};

/// An entry VM.
pub struct Vm {
    /// Settings of the process.
    pub settings: Settings,
    /// Identifier of this process lifetime of the VM: its start in microseconds.
    pub incarnation: Incarnation,
    /// Clocks of the process.
    pub clock: Clock,
    /// The configuration in force on this VM, outside of the gossip lock since each request reads
    /// it.
    pub snapshot: RwLock<Arc<Snapshot>>,
    /// Gossip state: members, evidence and configuration.
    pub gossip: Mutex<Gossip>,
    /// State of the backend servers.
    pub fleet: Mutex<Fleet>,
    /// Decision records of recent requests.
    pub traces: Mutex<TraceLog>,
    /// Counts of answers that met or missed the objectives of workspaces (error budgets).
    pub burn: Mutex<BurnTracker>,
    /// Metrics of this VM.
    pub metrics: Metrics,
    /// Connections of clients, and what they hold.
    pub clients: Clients,
    /// Event history, if one is kept.
    pub history: Sink,
    /// True once a planned stop has begun.
    pub stopping: AtomicBool,
    /// Number of requests in flight.
    pub in_flight: AtomicUsize,
    /// True while the buffer of unflushed bills has room.
    pub has_bill_room: AtomicBool,
    /// Answers submitted for rating whose rating has not arrived.
    pub pending_samples: Mutex<PendingSamples>,
    /// Rules of cascades, by workspace and kind of request.
    pub cascade_rules: RwLock<HashMap<(Workspace, Kind), Rule>>,
    /// Probabilities that an answer is rated during a roll-out: an answer of the new version, and
    /// of any other version.
    pub sampling_rates: RwLock<(f64, f64)>,
    /// This VM's shares of the rate limits of workspaces, updated from the demand at all VMs.
    pub rate_shares: RwLock<HashMap<Workspace, Rate>>,
    /// Evidence about request contents that crash servers.
    pub poison: Mutex<Exchange>,
    /// Holds requests back after a stall of this process.
    pub stall_gate: Gate,
    /// Idempotency keys reserved on this VM.
    pub reserved: Mutex<ReservedKeys>,
    admission_controllers: Mutex<HashMap<Model, AdmissionController>>,
    /// Number of open [`DispatchGuard`]s, by the revision that their work follows.
    open_dispatches: Mutex<BTreeMap<Revision, usize>>,
    rate_buckets: Mutex<HashMap<Workspace, TokenBucket>>,
    retry_budget: Mutex<Budget>,
    rating_budget: Mutex<RatingBudget>,
    /// Moment until which new work may start, in microseconds; 0 if no work may start.
    start_lease_until: AtomicU64,
    next_request_number: AtomicU64,
    commands: mpsc::UnboundedSender<Command>,
}

impl Vm {
    /// Creates a VM that has no configuration yet.
    pub fn new(
        settings: Settings,
        clock: Clock,
        gossip: Gossip,
        history: Sink,
        commands: mpsc::UnboundedSender<Command>,
    ) -> Vm {
        let clients = Clients::new(settings.clients, clock);
        let metrics = Metrics::new();
        metrics.register(clients.closed());
        metrics.register(clients.gauge());
        Vm {
            incarnation: gossip.me().incarnation,
            settings,
            clock,
            snapshot: RwLock::default(),
            gossip: Mutex::new(gossip),
            fleet: Mutex::default(),
            traces: Mutex::default(),
            burn: Mutex::default(),
            metrics,
            clients,
            history,
            stopping: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
            has_bill_room: AtomicBool::new(true),
            pending_samples: Mutex::default(),
            cascade_rules: RwLock::default(),
            sampling_rates: RwLock::new((1.0, 0.0)),
            rate_shares: RwLock::default(),
            poison: Mutex::default(),
            stall_gate: Gate::default(),
            reserved: Mutex::default(),
            admission_controllers: Mutex::default(),
            open_dispatches: Mutex::default(),
            rate_buckets: Mutex::default(),
            retry_budget: Mutex::default(),
            rating_budget: Mutex::default(),
            start_lease_until: AtomicU64::new(0),
            next_request_number: AtomicU64::new(0),
            commands,
        }
    }

    /// Returns the configuration that this VM has adopted.
    pub fn config(&self) -> Arc<Snapshot> {
        self.snapshot.read().expect("no panic while held").clone()
    }

    /// Returns the configuration that this VM has adopted, and a guard for work decided with it.
    /// Until the guard is dropped, this VM does not report to other VMs that all its work follows a
    /// later revision.
    pub fn begin_dispatch(&self) -> (Arc<Snapshot>, DispatchGuard<'_>) {
        loop {
            let snapshot = self.config();
            let dispatch = DispatchGuard::new(self, snapshot.revision());
            // A later revision that was adopted before the guard existed may have been reported
            // already.
            if self.config().revision() == snapshot.revision() {
                return (snapshot, dispatch);
            }
        }
    }

    /// Returns a revision such that all work which this VM sends from now on follows this or a
    /// later one: the adopted revision, or the oldest one of an open `DispatchGuard`.
    pub fn enforced_revision(&self) -> Revision {
        let present = self.config().revision();
        let dispatches = self.open_dispatches.lock().expect("no panic while held");
        dispatches.keys().next().map_or(present, |oldest| present.min(*oldest))
    }

    /// Returns true if new work may start now: the VM was in contact with the store or other VMs
    /// recently enough.
    pub fn may_start(&self, now: Moment) -> bool {
        now.0 < self.start_lease_until.load(Ordering::Relaxed)
    }

    /// Sets the start lease: the moment until which new work may start.
    pub fn set_start_lease_until(&self, until: Moment) {
        self.start_lease_until.store(until.0, Ordering::Relaxed);
    }

    /// Returns true once a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Returns the name and incarnation of this VM.
    pub fn origin(&self) -> Origin {
        Origin { vm: self.settings.vm.clone(), incarnation: self.incarnation }
    }

    /// Returns a request id that is unique over all VMs and incarnations.
    pub fn next_request_id(&self) -> RequestId {
        let number = self.next_request_number.fetch_add(1, Ordering::Relaxed);
        let id = format!("{}-{:x}-{number:x}", self.settings.vm, self.incarnation.0);
        id.parse().expect("a VM's name leaves room for the numbers")
    }

    /// Sends a command to the control thread.
    pub fn send_command(&self, command: Command) {
        let _ = self.commands.send(command);
    }

    /// Adds counts to this VM's own row of the evidence.
    pub fn record_evidence(&self, key: Key, more: Counts) {
        let own = self.origin();
        self.gossip.lock().expect("no panic while held").evidence.add(&own, key, more);
    }

    /// Charges one request to a workspace's share of its rate limit on this VM.
    ///
    /// # Errors
    /// The time to wait, if the share is used up.
    pub fn try_acquire_rate(
        &self,
        workspace: &Workspace,
        limit: Rate,
        now: Moment,
    ) -> Result<(), crate::unit::Span> {
        let share = self.rate_shares.read().expect("no panic while held").get(workspace).copied();
        let rate = share.unwrap_or(limit);
        let mut buckets = self.rate_buckets.lock().expect("no panic while held");
        let bucket =
            buckets.entry(workspace.clone()).or_insert_with(|| TokenBucket::new(rate, now));
        bucket.try_take(rate, now)
    }

    /// Calls `f` with the admission controller of the pool of a model.
    pub fn with_admission<T>(
        &self,
        model: &Model,
        f: impl FnOnce(&mut AdmissionController) -> T,
    ) -> T {
        let mut controllers = self.admission_controllers.lock().expect("no panic while held");
        match controllers.get_mut(model) {
            Some(controller) => f(controller),
            None => f(controllers
                .entry(model.clone())
                .or_insert(AdmissionController::new(self.total_slots(model)))),
        }
    }

    /// Returns the slots of all servers that run any version of a model.
    fn total_slots(&self, model: &Model) -> f64 {
        let snapshot = self.config();
        let servers = snapshot.declared.servers.iter();
        let of_model = servers.filter(|s| s.versions.iter().any(|target| target.model == *model));
        of_model.map(|server| f64::from(server.slots)).sum()
    }

    /// Records a first attempt, which adds to the budgets of retries and ratings.
    pub fn record_first_attempt(&self) {
        self.retry_budget.lock().expect("no panic while held").deposit();
        self.rating_budget.lock().expect("no panic while held").earn(self.settings.rated_share);
    }

    /// Returns true if an answer is to be rated, and spends the budget of ratings. `worth` says how
    /// informative the rating is, `point` is a random number from 0 to 1.
    pub fn try_spend_rating(&self, worth: f64, point: f64) -> bool {
        self.rating_budget.lock().expect("no panic while held").spend(worth, point)
    }

    /// Spends one retry of the budget. Returns false if none is left.
    pub fn try_spend_retry(&self) -> bool {
        self.retry_budget.lock().expect("no panic while held").try_spend()
    }

    /// Returns the start, in microseconds, of the trial (the period whose answers are counted
    /// together) of a model: that of the running roll-out, or else of the current time window.
    pub fn trial_start(&self, model: &crate::unit::Model, date: Date) -> u64 {
        let snapshot = self.config();
        match snapshot.rollout(model) {
            Some(rollout) => rollout.begun.0,
            None => date.0 / TRIAL_WINDOW_US * TRIAL_WINDOW_US,
        }
    }
}

/// Guard of a piece of work from the decision with a configuration until a backend server has
/// received the work.
pub struct DispatchGuard<'a> {
    vm: &'a Vm,
    revision: Revision,
}

impl<'a> DispatchGuard<'a> {
    fn new(vm: &'a Vm, revision: Revision) -> DispatchGuard<'a> {
        let mut dispatches = vm.open_dispatches.lock().expect("no panic while held");
        *dispatches.entry(revision).or_default() += 1;
        DispatchGuard { vm, revision }
    }
}

impl Drop for DispatchGuard<'_> {
    fn drop(&mut self) {
        let mut dispatches = self.vm.open_dispatches.lock().expect("no panic while held");
        if let Some(count) = dispatches.get_mut(&self.revision) {
            *count -= 1;
            if *count == 0 {
                dispatches.remove(&self.revision);
            }
        }
    }
}

/// Length, in microseconds, of the time windows in which the ratings of a version in service are
/// compared with earlier ones.
pub const TRIAL_WINDOW_US: u64 = 600_000_000;
