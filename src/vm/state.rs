//! What all threads of a VM share.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, RwLock};

use tokio::sync::mpsc;

use super::ratings::Waiting;
use super::{Clock, Errand, Fleet, Settings};
use crate::config::Snapshot;
use crate::decide::admission::AdmissionController;
use crate::decide::cascade::{Credit, Rule};
use crate::decide::limit::TokenBucket;
use crate::decide::poison::Exchange;
use crate::decide::retry::Budget;
use crate::evidence::{Counts, Key, Origin};
use crate::history::Sink;
use crate::once::Reserved;
use crate::peer::Gossip;
use crate::unit::{Date, Incarnation, Kind, Model, Moment, Rate, RequestId, Revision, Workspace};
use crate::watch::{BurnTracker, Metrics, TraceLog};

/// An entry VM.
pub struct Vm {
    /// Its settings.
    pub settings: Settings,
    /// This life.
    pub incarnation: Incarnation,
    /// Its clocks.
    pub clock: Clock,
    /// The configuration in force here, for the hot path.
    pub snapshot: RwLock<Arc<Snapshot>>,
    /// Peers, evidence, configuration.
    pub gossip: Mutex<Gossip>,
    /// Backend servers.
    pub fleet: Mutex<Fleet>,
    /// Decision records.
    pub traces: Mutex<TraceLog>,
    /// Burn of objectives.
    pub burn: Mutex<BurnTracker>,
    /// Counters.
    pub metrics: Metrics,
    /// Events, if a history is kept.
    pub history: Sink,
    /// Whether a planned stop has begun.
    pub stopping: AtomicBool,
    /// Requests in flight.
    pub running: AtomicUsize,
    /// Whether another bill surely finds room.
    pub bill_room: AtomicBool,
    /// Samples that wait for their rating.
    pub waiting: Mutex<Waiting>,
    /// Rules of cascades, by workspace and kind.
    pub rules: RwLock<HashMap<(Workspace, Kind), Rule>>,
    /// Chance that an answer of a version rolled out, or another, is rated.
    pub sampling: RwLock<(f64, f64)>,
    /// Parts of workspaces' limits on this VM.
    pub parts: RwLock<HashMap<Workspace, Rate>>,
    /// Contents under which servers crash.
    pub poison: Mutex<Exchange>,
    /// Keys set aside on this VM.
    pub reserved: Mutex<Reserved>,
    gates: Mutex<HashMap<Model, AdmissionController>>,
    dispatches: Mutex<BTreeMap<Revision, usize>>,
    buckets: Mutex<HashMap<Workspace, TokenBucket>>,
    retries: Mutex<Budget>,
    ratings: Mutex<Credit>,
    permit_until: AtomicU64,
    numbers: AtomicU64,
    errands: mpsc::UnboundedSender<Errand>,
}

impl Vm {
    /// A VM that has no configuration yet.
    pub fn new(
        settings: Settings,
        clock: Clock,
        gossip: Gossip,
        history: Sink,
        errands: mpsc::UnboundedSender<Errand>,
    ) -> Vm {
        Vm {
            incarnation: gossip.me().incarnation,
            settings,
            clock,
            snapshot: RwLock::default(),
            gossip: Mutex::new(gossip),
            fleet: Mutex::default(),
            traces: Mutex::default(),
            burn: Mutex::default(),
            metrics: Metrics::new(),
            history,
            stopping: AtomicBool::new(false),
            running: AtomicUsize::new(0),
            bill_room: AtomicBool::new(true),
            waiting: Mutex::default(),
            rules: RwLock::default(),
            sampling: RwLock::new((1.0, 0.0)),
            parts: RwLock::default(),
            poison: Mutex::default(),
            reserved: Mutex::default(),
            gates: Mutex::default(),
            dispatches: Mutex::default(),
            buckets: Mutex::default(),
            retries: Mutex::default(),
            ratings: Mutex::default(),
            permit_until: AtomicU64::new(0),
            numbers: AtomicU64::new(0),
            errands,
        }
    }

    /// The configuration in force here.
    pub fn config(&self) -> Arc<Snapshot> {
        self.snapshot.read().expect("no panic while held").clone()
    }

    /// The configuration in force here, held for a dispatch: until the returned dispatch is
    /// dropped, this VM does not tell others that it obeys a later revision.
    pub fn dispatch(&self) -> (Arc<Snapshot>, Dispatch<'_>) {
        loop {
            let snapshot = self.config();
            let dispatch = Dispatch::new(self, snapshot.revision());
            // A revision that came in between could have been told already.
            if self.config().revision() == snapshot.revision() {
                return (snapshot, dispatch);
            }
        }
    }

    /// The revision that all work which this VM sends from now on obeys.
    pub fn obeyed(&self) -> Revision {
        let present = self.config().revision();
        let dispatches = self.dispatches.lock().expect("no panic while held");
        dispatches.keys().next().map_or(present, |oldest| present.min(*oldest))
    }

    /// Whether new work may start now.
    pub fn may_start(&self, now: Moment) -> bool {
        now.0 < self.permit_until.load(Ordering::Relaxed)
    }

    /// Sets until when new work may start.
    pub fn set_permit(&self, until: Moment) {
        self.permit_until.store(until.0, Ordering::Relaxed);
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// This VM's life.
    pub fn origin(&self) -> Origin {
        Origin { vm: self.settings.vm.clone(), incarnation: self.incarnation }
    }

    /// A request id that no other VM or life gives.
    pub fn next_request(&self) -> RequestId {
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        let id = format!("{}-{:x}-{number:x}", self.settings.vm, self.incarnation.0);
        id.parse().expect("a VM's name leaves room for the numbers")
    }

    /// Sends an errand to the control thread.
    pub fn errand(&self, errand: Errand) {
        let _ = self.errands.send(errand);
    }

    /// Adds to the VM's own evidence.
    pub fn learn(&self, key: Key, more: Counts) {
        let own = self.origin();
        self.gossip.lock().expect("no panic while held").evidence.add(&own, key, more);
    }

    /// Takes a request of a workspace's rate on this VM, or says how long to wait.
    pub fn take_rate(
        &self,
        workspace: &Workspace,
        limit: Rate,
        now: Moment,
    ) -> Result<(), crate::unit::Span> {
        let part = self.parts.read().expect("no panic while held").get(workspace).copied();
        let rate = part.unwrap_or(limit);
        let mut buckets = self.buckets.lock().expect("no panic while held");
        let bucket =
            buckets.entry(workspace.clone()).or_insert_with(|| TokenBucket::new(rate, now));
        bucket.take(rate, now)
    }

    /// Calls `act` on the gate towards the pool of a model.
    pub fn gate<T>(&self, model: &Model, act: impl FnOnce(&mut AdmissionController) -> T) -> T {
        let mut gates = self.gates.lock().expect("no panic while held");
        match gates.get_mut(model) {
            Some(gate) => act(gate),
            None => act(gates
                .entry(model.clone())
                .or_insert(AdmissionController::new(self.slots(model)))),
        }
    }

    /// Slots of all servers that run some version of a model.
    fn slots(&self, model: &Model) -> f64 {
        let snapshot = self.config();
        let servers = snapshot.declared.servers.iter();
        let of_model = servers.filter(|s| s.versions.iter().any(|target| target.model == *model));
        of_model.map(|server| f64::from(server.slots)).sum()
    }

    /// Counts a first attempt for the budgets of retries and ratings.
    pub fn earn(&self) {
        self.retries.lock().expect("no panic while held").deposit();
        self.ratings.lock().expect("no panic while held").earn(self.settings.rated_share);
    }

    /// Whether to have an answer rated; `worth` is how much its rating tells.
    pub fn spend_rating(&self, worth: f64, point: f64) -> bool {
        self.ratings.lock().expect("no panic while held").spend(worth, point)
    }

    /// Takes a retry of the budget.
    pub fn spend_retry(&self) -> bool {
        self.retries.lock().expect("no panic while held").try_spend()
    }

    /// The trial that a request of a model belongs to: its roll-out's, or a window of time.
    pub fn trial(&self, model: &crate::unit::Model, date: Date) -> u64 {
        let snapshot = self.config();
        match snapshot.rollout(model) {
            Some(rollout) => rollout.begun.0,
            None => date.0 / WINDOW * WINDOW,
        }
    }
}

/// A piece of work between its decision and its receipt by a back end.
pub struct Dispatch<'a> {
    vm: &'a Vm,
    revision: Revision,
}

impl<'a> Dispatch<'a> {
    fn new(vm: &'a Vm, revision: Revision) -> Dispatch<'a> {
        let mut dispatches = vm.dispatches.lock().expect("no panic while held");
        *dispatches.entry(revision).or_default() += 1;
        Dispatch { vm, revision }
    }
}

impl Drop for Dispatch<'_> {
    fn drop(&mut self) {
        let mut dispatches = self.vm.dispatches.lock().expect("no panic while held");
        if let Some(count) = dispatches.get_mut(&self.revision) {
            *count -= 1;
            if *count == 0 {
                dispatches.remove(&self.revision);
            }
        }
    }
}

/// Length of the windows that a version in service is watched in, in microseconds.
pub const WINDOW: u64 = 600_000_000;
