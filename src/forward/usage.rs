//! Counts the requests of the workspaces that began to run, and passes the counts on to the VM that
//! reports them ([`super::duty`]).
//!
//! A VM sends its counts to the VM that it follows, with its polls; the first VM of a group sends
//! the sums of its group. So the VM that reads the store has the sums of the fleet. It sends its own
//! counts to the next VM of its group, which has them if the reader fails.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::job::Job;
use super::peer::{self, Message};
use super::role::Role;
use super::vm::Vm;
use crate::decide::usage::{Acknowledged, Counts, Schedule, Source, Totals, median_offset};
use crate::unit::{Date, Moment, Vm as Name, Window};

/// Interval at which a reader sends its own counts to the next VM of its group.
const BACKUP_INTERVAL: Duration = Duration::from_millis(500);

/// Counts and clock of one VM, as it sends them to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// Origin of the counts.
    pub source: Source,
    /// Totals by window, of the workspaces whose totals have changed.
    pub windows: Vec<(Window, Counts)>,
    /// Date of the sender's own clock.
    pub date: Date,
}

/// Clock that is compared with those of other VMs. It starts with the process's wall-clock time and
/// ignores later steps of that clock.
struct ComparedClock {
    started: (Moment, Date),
    /// Offsets in microseconds of the clocks of the VMs that poll this one.
    followers: HashMap<Name, i64>,
    /// Offset in microseconds to the date of the VM that this one follows.
    upstream: Option<i64>,
}

impl ComparedClock {
    /// Returns the date of this VM's own clock.
    fn own_date(&self, now: Moment) -> Date {
        let (started, date) = self.started;
        Date(date.0 + now.since(started).0)
    }

    /// Returns the date on which the VMs agree.
    fn agreed_date(&self, now: Moment, follows: bool) -> Date {
        let upstream = self.upstream.filter(|_| follows);
        let offset = upstream.unwrap_or_else(|| median_offset(self.followers.values().copied()));
        Date(self.own_date(now).0.saturating_add_signed(offset))
    }

    /// Returns the offset in microseconds of another clock from this VM's own.
    fn offset(&self, date: Date, now: Moment) -> i64 {
        date.0.wrapping_sub(self.own_date(now).0) as i64
    }
}

/// Usage as one VM knows it.
pub struct Usage {
    schedule: Schedule,
    /// This process as a source of counts.
    own: Source,
    totals: Totals,
    clock: ComparedClock,
    acknowledged: Acknowledged,
}

impl Usage {
    /// Returns usage without counts, for a process that starts at this moment and date.
    pub fn new(schedule: Schedule, vm: Name, now: Moment, date: Date) -> Usage {
        let started = (now, date);
        Usage {
            schedule,
            own: Source::Process { vm, process: rand::random() },
            totals: Totals::default(),
            clock: ComparedClock { started, followers: HashMap::new(), upstream: None },
            acknowledged: Acknowledged::default(),
        }
    }
}

/// Returns true if this VM follows another one, whose date it uses.
fn is_follower(vm: &Vm) -> bool {
    matches!(*vm.role.borrow(), Role::Follows(_))
}

/// Returns the date on which the VMs agree; `None` if usage is not reported.
pub fn agreed_date(vm: &Vm) -> Option<Date> {
    let usage = vm.usage.as_ref()?.borrow();
    Some(usage.clock.agreed_date(vm.now(), is_follower(vm)))
}

/// Counts a request that a server has started to run. A request is counted once, however many servers
/// run it.
pub fn record_run(job: &Job) {
    let vm = &job.vm;
    let Some(holder) = &job.holder else { return };
    let Some(date) = agreed_date(vm) else { return };
    if let Some(usage) = &vm.usage
        && job.record.mark_ran()
    {
        let usage = &mut *usage.borrow_mut();
        let window = usage.schedule.window(date);
        usage.totals.record(&usage.own, window, &holder.workspace);
    }
}

/// Returns the source of the sums of this VM's group.
pub fn own_group(vm: &Vm) -> Source {
    match vm.peers.borrow().is_full_mesh() {
        true => Source::Group(None),
        false => Source::Group(Some(vm.settings.data_centre.clone())),
    }
}

/// Returns the counts that the VM `to` has not acknowledged: those of this VM, or the sums of its
/// group if this VM is the `first` of the group. Returns `None` if usage is not reported.
pub fn unsent(vm: &Vm, to: &Name, first: bool) -> Option<Batch> {
    let usage = vm.usage.as_ref()?.borrow();
    let Usage { own, totals, acknowledged, .. } = &*usage;
    let source = if first { own_group(vm) } else { own.clone() };
    let windows = match first {
        true => acknowledged.unsent(to, &source, totals.group_sums()),
        false => acknowledged.unsent(to, &source, totals.of(own)),
    };
    Some(Batch { source, windows, date: usage.clock.own_date(vm.now()) })
}

/// Records that the VM `by` has received a batch.
pub fn on_acknowledged(vm: &Vm, by: &Name, batch: Batch) {
    if let Some(usage) = &vm.usage {
        usage.borrow_mut().acknowledged.record(by, &batch.source, batch.windows);
    }
}

/// Merges the counts that another VM has sent, and notes its date.
pub fn on_batch(vm: &Vm, from: &Name, batch: &Batch) {
    let Some(usage) = &vm.usage else { return };
    let usage = &mut *usage.borrow_mut();
    let offset = usage.clock.offset(batch.date, vm.now());
    usage.clock.followers.insert(from.clone(), offset);
    for (window, counts) in &batch.windows {
        usage.totals.merge(&batch.source, *window, counts);
    }
}

/// Uses the date of the VM that this one follows.
pub fn on_upstream_date(vm: &Vm, date: Option<Date>) {
    if let (Some(usage), Some(date)) = (&vm.usage, date) {
        let usage = &mut *usage.borrow_mut();
        usage.clock.upstream = Some(usage.clock.offset(date, vm.now()));
    }
}

/// Returns the sum over all VMs in a window.
pub fn fleet_sum(vm: &Vm, window: Window) -> Counts {
    let usage = vm.usage.as_ref().map(|usage| usage.borrow());
    usage.map(|usage| usage.totals.fleet_sum(window, &own_group(vm))).unwrap_or_default()
}

/// Sends this VM's own counts to the next VM of its group while it reads the store itself, and drops
/// windows that are no longer needed, until the process ends.
pub async fn run(vm: Rc<Vm>) {
    let Some(usage) = &vm.usage else { return };
    loop {
        tokio::time::sleep(BACKUP_INTERVAL).await;
        if vm.is_reader() {
            send_own_counts(&vm);
        }
        let Some(date) = agreed_date(&vm) else { continue };
        let usage = &mut *usage.borrow_mut();
        let first = usage.schedule.first_kept(date);
        usage.totals.drop_before(first);
        usage.acknowledged.drop_before(first);
    }
}

/// Sends this VM's own counts without waiting for an acknowledgement: to the VM that it follows, or
/// to the next one of its group.
pub fn send_own_counts(vm: &Rc<Vm>) {
    let Some(usage) = &vm.usage else { return };
    let to = match &*vm.role.borrow() {
        Role::Follows(name) => Some(name.clone()),
        Role::Joins | Role::Reads => next_of_group(vm),
    };
    let address = to.and_then(|name| vm.peers.borrow().address(&name));
    let Some(address) = address else { return };
    let batch = {
        let usage = usage.borrow();
        let windows = usage.totals.of(&usage.own);
        let windows = windows.map(|(window, counts)| (window, counts.clone())).collect();
        Batch { source: usage.own.clone(), windows, date: usage.clock.own_date(vm.now()) }
    };
    if !batch.windows.is_empty() {
        peer::send(vm, address, Message::Usage(batch));
    }
}

/// Returns the highest-ranked other VM of this VM's group.
fn next_of_group(vm: &Vm) -> Option<Name> {
    let (group, _) = vm.peers.borrow().groups(&vm.settings.data_centre);
    group.into_iter().min().map(|rank| rank.vm)
}
