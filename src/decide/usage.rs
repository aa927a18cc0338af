//! Usage of the workspaces: how many of their requests began to run in each reporting window, added
//! up over all VMs.
//!
//! Counts only rise, and each source sends its totals rather than what was added. Merging keeps the
//! larger value, so counts that arrive twice, late or over two paths count once. The sum of a group
//! of VMs is a source of its own: what is sent on does not grow with the number of VMs.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use crate::unit::{DataCentre, Date, Span, Vm, Window, Workspace};

/// Fraction of the time until a report is due for which late counts are awaited. The rest is for
/// attempts to report, and for another VM to take over.
const SETTLING_FRACTION: f64 = 0.5;

/// Windows for which counts are kept after their report was due, for a platform that is down.
const OVERDUE_WINDOWS: u64 = 12;

/// Requests that began to run, by workspace. Sorted, so that equal counts are encoded alike.
pub type Counts = BTreeMap<Workspace, u64>;

/// Reporting windows: their length, and when the report on one is due.
#[derive(Clone, Copy, Debug)]
pub struct Schedule {
    /// Length of a window. Windows are counted from the start of 1970.
    pub length: Span,
    /// Time from the end of a window until its report is due.
    pub due_after: Span,
}

impl Schedule {
    /// Returns the window that contains a date.
    pub fn window(&self, date: Date) -> Window {
        Window(date.0 / self.length.0.max(1))
    }

    /// Returns the last window whose counts have settled, so that they may be reported.
    pub fn last_settled(&self, now: Date) -> Window {
        let settling = self.due_after.mul_f64(SETTLING_FRACTION);
        Window(self.window(Date(now.0.saturating_sub(settling.0))).0.saturating_sub(1))
    }

    /// Returns the first window for which counts are kept.
    pub fn first_kept(&self, now: Date) -> Window {
        let due = self.window(Date(now.0.saturating_sub(self.due_after.0)));
        Window(due.0.saturating_sub(OVERDUE_WINDOWS))
    }
}

/// Origin of counts.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Source {
    /// One process of a VM; a VM that restarts counts from zero.
    Process {
        /// Name of the VM.
        vm: Vm,
        /// Identifies the process.
        process: u64,
    },
    /// The VMs of a data centre; `None` if all VMs form one group.
    Group(Option<DataCentre>),
}

/// Counts of all known sources, by window.
#[derive(Debug, Default)]
pub struct Totals {
    windows: BTreeMap<Window, HashMap<Source, Counts>>,
    /// Sums over the processes among the sources, kept up to date with each change.
    group_sums: BTreeMap<Window, Counts>,
}

impl Totals {
    /// Counts a request that began to run.
    pub fn record(&mut self, source: &Source, window: Window, workspace: &Workspace) {
        let known = self.windows.get(&window).and_then(|sources| sources.get(source));
        let count = known.and_then(|counts| counts.get(workspace)).copied().unwrap_or_default();
        self.merge(source, window, &Counts::from([(workspace.clone(), count + 1)]));
    }

    /// Merges counts of a source with those known of it.
    pub fn merge(&mut self, source: &Source, window: Window, counts: &Counts) {
        let known = self.windows.entry(window).or_default().entry(source.clone()).or_default();
        let mut group_sum = matches!(source, Source::Process { .. })
            .then(|| self.group_sums.entry(window).or_default());
        for (workspace, count) in counts {
            let known = known.entry(workspace.clone()).or_default();
            let added = count.saturating_sub(*known);
            *known += added;
            if let Some(sum) = &mut group_sum {
                *sum.entry(workspace.clone()).or_default() += added;
            }
        }
    }

    /// Returns the counts of one source, by window.
    pub fn of(&self, source: &Source) -> impl Iterator<Item = (Window, &Counts)> {
        self.windows
            .iter()
            .filter_map(move |(window, sources)| Some((*window, sources.get(source)?)))
    }

    /// Returns the sums over the processes of this VM's group, by window.
    pub fn group_sums(&self) -> impl Iterator<Item = (Window, &Counts)> {
        self.group_sums.iter().map(|(window, sum)| (*window, sum))
    }

    /// Returns the sum over all VMs in a window. `own_group` is the group of this VM, whose sum may
    /// also have been received from another VM of the group.
    pub fn fleet_sum(&self, window: Window, own_group: &Source) -> Counts {
        let Some(sources) = self.windows.get(&window) else { return Counts::new() };
        let mut sum = self.group_sums.get(&window).cloned().unwrap_or_default();
        for (workspace, count) in sources.get(own_group).into_iter().flatten() {
            let known = sum.entry(workspace.clone()).or_default();
            *known = (*known).max(*count);
        }
        let is_other = |source: &Source| matches!(source, Source::Group(_)) && source != own_group;
        let others = sources.iter().filter(|(source, _)| is_other(source));
        for (workspace, count) in others.flat_map(|(_, counts)| counts) {
            *sum.entry(workspace.clone()).or_default() += count;
        }
        sum
    }

    /// Drops the windows before `first`.
    pub fn drop_before(&mut self, first: Window) {
        self.windows = self.windows.split_off(&first);
        self.group_sums = self.group_sums.split_off(&first);
    }
}

/// The counts that a VM has acknowledged, to send it only what has changed.
#[derive(Debug, Default)]
pub struct Acknowledged {
    by: Option<Vm>,
    source: Option<Source>,
    windows: BTreeMap<Window, Counts>,
}

impl Acknowledged {
    /// Returns the counts that the VM `to` has not acknowledged as counts of this source.
    pub fn unsent<'a>(
        &self,
        to: &Vm,
        source: &Source,
        totals: impl Iterator<Item = (Window, &'a Counts)>,
    ) -> Vec<(Window, Counts)> {
        let is_same = self.by.as_ref() == Some(to) && self.source.as_ref() == Some(source);
        let changed = |(window, counts): (Window, &Counts)| {
            let known = self.windows.get(&window).filter(|_| is_same);
            let is_known = |name: &Workspace, count: &u64| {
                known.is_some_and(|known| known.get(name) == Some(count))
            };
            let counts = counts.iter().filter(|(name, count)| !is_known(name, count));
            let counts: Counts = counts.map(|(name, count)| (name.clone(), *count)).collect();
            (!counts.is_empty()).then_some((window, counts))
        };
        totals.filter_map(changed).collect()
    }

    /// Records that the VM `by` has these counts of the source.
    pub fn record(&mut self, by: &Vm, source: &Source, counts: Vec<(Window, Counts)>) {
        if self.by.as_ref() != Some(by) || self.source.as_ref() != Some(source) {
            let (by, source) = (Some(by.clone()), Some(source.clone()));
            *self = Acknowledged { by, source, windows: BTreeMap::new() };
        }
        for (window, counts) in counts {
            self.windows.entry(window).or_default().extend(counts);
        }
    }

    /// Drops the windows before `first`.
    pub fn drop_before(&mut self, first: Window) {
        self.windows = self.windows.split_off(&first);
    }
}

/// Returns the offset, in microseconds, of most clocks from this VM's: the median of the offsets of
/// the other VMs' clocks and its own, which is zero. A clock that is off by itself changes little.
pub fn median_offset(others: impl IntoIterator<Item = i64>) -> i64 {
    let mut offsets: Vec<i64> = others.into_iter().chain([0]).collect();
    let middle = (offsets.len() - 1) / 2;
    *offsets.select_nth_unstable(middle).1
}
