//! Reports usage to the platform: a duty that one VM at a time performs for the fleet.
//!
//! The lease on the duty and the reports are one object in the platform's store. A report is
//! written there before it is sent for the first time, so that each VM that sends it, also after
//! the holder has changed, sends the same counts. VMs that read the store themselves compete for
//! the lease: usually there is one, which has the counts of the fleet ([`super::usage`]).

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::json;

use super::backoff::Backoff;
use super::settings::Duties;
use super::usage;
use super::vm::Vm;
use crate::decide::lease::Lease;
use crate::decide::usage::Counts;
use crate::platform::client::{Client, Consistency, StoreError};
use crate::platform::duty::{self, CallError, Caller};
use crate::platform::object::Object;
use crate::unit::{Date, Era, Fence, Moment, Position, Span, Vm as Name, Window, hash};

/// Kind and name of the object with the lease and the reports.
const KIND: &str = "kitepulley-duties";
const NAME: &str = "usage";

/// Interval at which a VM checks if a report is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Longest delay after a failed call to the store or the platform.
const MAX_BACKOFF: Span = Span::millis(1000);

/// Time that other VMs give the holder to write a report that is due, before one takes over. The
/// actual delay has a part that depends on the VM, so that usually one of them is first.
const TAKEOVER_GRACE: Span = Span::millis(600);

/// Most reports in the object: those of a platform that was down for a while.
const MAX_REPORTS: usize = 16;

/// Writes whose outcome is unknown that a VM remembers, to recognize one that takes effect late.
const MAX_UNCONFIRMED: usize = 16;

/// Content of the object in the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Record {
    /// The VM that holds the lease.
    holder: Name,
    /// Identifies the holder's process.
    process: u64,
    /// Number of the write among those of the process.
    write: u64,
    /// Fencing token of the holder.
    fence: Fence,
    /// Era of the store in which the object was written.
    era: Era,
    /// The last window that needs no report any more, or has one in `reports`.
    last: Window,
    /// Reports that the platform has perhaps not acknowledged yet.
    reports: BTreeMap<Window, Counts>,
}

/// The object as it was last read or written.
struct Known {
    position: Position,
    record: Record,
}

/// State of the reporting task.
struct Reporter {
    vm: Rc<Vm>,
    duties: Duties,
    store: Client,
    platform: duty::Client,
    lease: Lease,
    process: u64,
    /// The object in the store; `None` if it must be read or created.
    known: Option<Known>,
    /// The last content that this process has written as the holder.
    held: Option<Record>,
    /// When each write of this process was sent whose outcome may still be unknown, by number.
    writes: BTreeMap<u64, Moment>,
    next_write: u64,
    /// Reports that the platform has acknowledged, or rejected for good.
    done: BTreeSet<Window>,
    backoff: Backoff,
}

/// Reports usage while this VM holds the lease, until the process ends.
pub async fn run(vm: Rc<Vm>) {
    let Some(duties) = vm.settings.duties else { return };
    let mut reporter = Reporter::new(vm, duties);
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if let Err(delay) = reporter.step().await {
            tokio::time::sleep(delay.duration()).await;
        }
    }
}

impl Reporter {
    fn new(vm: Rc<Vm>, duties: Duties) -> Reporter {
        Reporter {
            store: vm.store_client(),
            platform: duty::Client::new(duties.platform),
            lease: Lease::new(duties.lease),
            process: rand::random(),
            known: None,
            held: None,
            writes: BTreeMap::new(),
            next_write: 0,
            done: BTreeSet::new(),
            backoff: Backoff::default(),
            vm,
            duties,
        }
    }

    /// Reads or creates the object if necessary, writes the reports that are due, and sends those
    /// that the platform has not acknowledged. The error is the delay before the next step.
    async fn step(&mut self) -> Result<(), Span> {
        let vm = self.vm.clone();
        if !vm.is_reader() || vm.is_store_unavailable() || vm.is_stopping() {
            return Ok(());
        }
        let Some(date) = usage::agreed_date(&vm) else { return Ok(()) };
        match &self.known {
            None => self.claim(date).await?,
            Some(_) if self.is_write_due(date) => self.write(date).await?,
            Some(_) => {}
        }
        if self.lease.is_own() { self.send_reports().await } else { Ok(()) }
    }

    /// Creates the object, or reads it if it exists.
    async fn claim(&mut self, date: Date) -> Result<(), Span> {
        let read = self.store.get(KIND, NAME, Consistency::Strong).await;
        self.vm.count_store_call("duty-get", &read);
        match read {
            Ok(Some(object)) => {
                self.observe(&object);
                Ok(())
            }
            Ok(None) => {
                // A restored store may have lost the object, and with it which windows were
                // reported, so only later ones are, unless this process knows better.
                let settled = self.duties.usage.last_settled(date);
                let held = self.held_record().map(|held| (held.last, held.reports));
                let (last, reports) = held.unwrap_or((settled, BTreeMap::new()));
                self.put(None, last, reports).await
            }
            Err(error) => Err(self.on_store_error(&error)),
        }
    }

    /// Returns the last content that this process has written, if its lease still runs. No other
    /// process can have written since then, even if a restored store shows otherwise.
    fn held_record(&self) -> Option<Record> {
        self.held.clone().filter(|_| self.lease.may_call(self.vm.now()))
    }

    /// Returns true if the object must be written: to add reports that are due, or to renew the
    /// holder's lease for those that were not acknowledged. Other VMs than the holder wait a little
    /// longer, and do not know which reports were acknowledged.
    fn is_write_due(&self, date: Date) -> bool {
        let Some(known) = &self.known else { return false };
        let now = self.vm.now();
        if !self.lease.may_write(now) {
            return false;
        }
        let is_own = self.lease.is_own();
        let grace = if is_own { Span(0) } else { self.takeover_grace() };
        let settled = self.duties.usage.last_settled(Date(date.0.saturating_sub(grace.0)));
        let is_unsent = is_own && !self.pending(&known.record).is_empty();
        settled > known.record.last || (is_unsent && !self.lease.may_call(now))
    }

    /// Returns this VM's delay before it takes over, which is drawn for each fencing token.
    fn takeover_grace(&self) -> Span {
        let fence = self.lease.fence().unwrap_or_default().to_string();
        let draw = hash::stable(&[self.vm.settings.vm.as_str(), &fence]);
        TAKEOVER_GRACE.mul_f64(1.0 + hash::to_unit_interval(draw))
    }

    /// Returns the windows whose reports the platform has not acknowledged to this process.
    fn pending(&self, record: &Record) -> Vec<Window> {
        let windows = record.reports.keys().filter(|window| !self.done.contains(window));
        windows.copied().collect()
    }

    /// Writes the object with the reports that are due.
    async fn write(&mut self, date: Date) -> Result<(), Span> {
        let Some(Known { position, record }) = self.known.take() else { return Ok(()) };
        let schedule = self.duties.usage;
        let settled = schedule.last_settled(date);
        let first_kept = schedule.first_kept(date);
        let mut last = record.last;
        // What was reported after the backup was made, from which the store was restored, is not
        // known, unless this process did it.
        if record.era < self.vm.era.newest() && !self.lease.may_call(self.vm.now()) {
            last = last.max(settled);
        }
        let mut reports = record.reports;
        reports.retain(|window, _| !self.done.contains(window) && *window >= first_kept);
        for window in (last.0 + 1).max(first_kept.0)..=settled.0 {
            if reports.len() >= MAX_REPORTS {
                break;
            }
            reports.insert(Window(window), usage::fleet_sum(&self.vm, Window(window)));
            last = Window(window);
        }
        self.put(Some(position), last, reports).await
    }

    /// Writes the object on condition that it is still at `position`; without one, that it does not
    /// exist yet. Until the outcome is known, the object has to be read again.
    async fn put(
        &mut self,
        position: Option<Position>,
        last: Window,
        reports: BTreeMap<Window, Counts>,
    ) -> Result<(), Span> {
        let vm = self.vm.clone();
        let era = vm.era.newest();
        let record = Record {
            holder: vm.settings.vm.clone(),
            process: self.process,
            write: self.next_write,
            fence: self.lease.next_fence(era),
            era,
            last,
            reports,
        };
        let sent_at = vm.now();
        self.writes.insert(self.next_write, sent_at);
        self.next_write += 1;
        if self.writes.len() > MAX_UNCONFIRMED {
            self.writes.pop_first();
        }
        let spec = json!(record);
        let written = match position {
            Some(position) => self.store.replace(KIND, NAME, position, spec).await,
            None => self.store.create(KIND, NAME, spec).await,
        };
        vm.count_store_call("duty-write", &written);
        match written {
            Ok(object) => {
                self.backoff = Backoff::default();
                self.adopt(object.metadata.position, record, sent_at);
                Ok(())
            }
            Err(StoreError::Conflict(Some(object))) => {
                self.observe(&object);
                Ok(())
            }
            Err(error) => Err(self.on_store_error(&error)),
        }
    }

    /// Takes over the object as it stands in the store.
    fn observe(&mut self, object: &Object) {
        let position = object.metadata.position;
        let Ok(record) = serde_json::from_value::<Record>(object.spec.clone()) else {
            self.vm.log("invalid duty ignored", &[("duty", NAME.into())]);
            return;
        };
        if record.era < position.era
            && let Some(held) = self.held_record()
        {
            self.known = Some(Known { position, record: held });
            return;
        }
        let own_write = (record.process == self.process && record.era == position.era)
            .then(|| self.writes.get(&record.write).copied())
            .flatten();
        match own_write {
            Some(sent_at) => self.adopt(position, record, sent_at),
            None => {
                self.log_other_holder(&record);
                self.lease.on_other_holder(record.fence, self.vm.now());
                self.vm.metrics.duty_fence.with_label_values(&[NAME]).set(0);
                self.known = Some(Known { position, record });
            }
        }
    }

    /// Records that the object is a write of this process.
    fn adopt(&mut self, position: Position, record: Record, sent_at: Moment) {
        let vm = &self.vm;
        if !self.lease.is_own() || self.lease.fence() != Some(record.fence) {
            let before = self.lease.fence().unwrap_or_default();
            let fields = [
                ("duty", NAME.into()),
                ("fence", record.fence.0.into()),
                ("fence_before", before.0.into()),
                ("last_window", record.last.0.into()),
            ];
            vm.log("duty taken", &fields);
        }
        vm.metrics.duty_fence.with_label_values(&[NAME]).set(record.fence.0 as i64);
        self.lease.on_own_write(record.fence, sent_at);
        self.held = Some(record.clone());
        self.known = Some(Known { position, record });
    }

    fn log_other_holder(&self, record: &Record) {
        let event = if self.lease.is_own() { "duty lost" } else { "duty held by another VM" };
        let fields = [
            ("duty", NAME.into()),
            ("holder", record.holder.as_str().into()),
            ("fence", record.fence.0.into()),
            ("last_window", record.last.0.into()),
        ];
        self.vm.log(event, &fields);
    }

    /// Logs a failed call to the store and returns the delay before the next step.
    fn on_store_error(&mut self, error: &StoreError) -> Span {
        let why = error.to_string();
        let fields = [("duty", NAME.into()), ("why", why.as_str().into())];
        self.vm.log("duty not renewed", &fields);
        self.backoff.next_delay(MAX_BACKOFF)
    }

    /// Sends the reports that the platform has not acknowledged, as long as the lease runs.
    async fn send_reports(&mut self) -> Result<(), Span> {
        let Some(Known { record, .. }) = &self.known else { return Ok(()) };
        let may_send = || self.lease.may_call(self.vm.now());
        for window in self.pending(record) {
            if !may_send() {
                break;
            }
            let caller = Caller { vm: &self.vm.settings.vm, fence: record.fence };
            let counts = &record.reports[&window];
            let sent = self.platform.report_usage(caller, window, counts, may_send).await;
            self.log_report(record, window, &sent);
            if sent.is_err_and(|error| !error.is_final()) {
                return Err(self.backoff.next_delay(MAX_BACKOFF));
            }
            self.done.insert(window);
        }
        self.backoff = Backoff::default();
        let last = self.duties.usage.first_kept(Date(record.last.0 * self.duties.usage.length.0));
        self.done = self.done.split_off(&last);
        Ok(())
    }

    fn log_report(&self, record: &Record, window: Window, sent: &Result<(), CallError>) {
        let outcome = sent.as_ref().map_or_else(CallError::to_string, |()| "accepted".to_owned());
        let label = match sent {
            Ok(()) => "accepted",
            Err(CallError::Refused(_)) => "refused",
            Err(CallError::NotSent(_)) => "not sent",
            Err(CallError::NoAnswer(_)) => "no answer",
        };
        self.vm.metrics.duty_calls.with_label_values(&[NAME, label]).inc();
        let requests: u64 = record.reports[&window].values().sum();
        let fields = [
            ("window", window.0.into()),
            ("fence", record.fence.0.into()),
            ("requests", requests.into()),
            ("workspaces", record.reports[&window].len().into()),
            ("outcome", outcome.as_str().into()),
        ];
        self.vm.log("usage report", &fields);
    }
}
