//! Service-level burn: how fast each objective's allowance is used up.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde::{Deserialize, Serialize};

use crate::unit::{Date, Span, Target, Workspace};

/// The windows of the report.
pub const WINDOWS: [(&str, Span); 4] = [
    ("5m", Span::secs(300)),
    ("1h", Span::secs(3600)),
    ("6h", Span::secs(6 * 3600)),
    ("3d", Span::secs(3 * 24 * 3600)),
];

/// Slots that a window is kept in: the report is exact to a thirtieth of its window.
const SLOTS: usize = 30;

/// The period over which an allowance lasts if it is used evenly.
const PERIOD: Span = Span::secs(30 * 24 * 3600);

#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    number: u64,
    all: u64,
    bad: u64,
}

#[derive(Clone, Debug, Default)]
struct Series {
    good: f64,
    rings: [[Slot; SLOTS]; 4],
}

/// Counts of one objective on one or more VMs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ObjectiveCounts {
    /// The workspace.
    pub workspace: Workspace,
    /// The version.
    pub target: Target,
    /// The objective's number in the workspace.
    pub objective: usize,
    /// Share of requests that must be good.
    pub good: f64,
    /// Requests and bad ones for each of `WINDOWS`.
    pub counts: [(u64, u64); 4],
}

impl ObjectiveCounts {
    /// Burn over a window: 1 uses the allowance up in exactly its period.
    pub fn burn_rate(&self, window: usize) -> f64 {
        let (all, bad) = self.counts[window];
        if all == 0 {
            return 0.0;
        }
        bad as f64 / all as f64 / (1.0 - self.good).max(1e-6)
    }
}

/// All objectives on one VM.
#[derive(Debug, Default)]
pub struct BurnTracker {
    series: BTreeMap<(Workspace, Target, usize), Series>,
}

impl BurnTracker {
    /// Counts a request against an objective.
    pub fn record(
        &mut self,
        workspace: &Workspace,
        target: &Target,
        objective: usize,
        good: f64,
        is_bad: bool,
        date: Date,
    ) {
        let key = (workspace.clone(), target.clone(), objective);
        let series = self.series.entry(key).or_default();
        series.good = good;
        for (ring, (_, window)) in series.rings.iter_mut().zip(WINDOWS) {
            let number = date.0 / (window.0 / SLOTS as u64);
            let slot = &mut ring[(number % SLOTS as u64) as usize];
            if slot.number != number {
                *slot = Slot { number, all: 0, bad: 0 };
            }
            slot.all += 1;
            slot.bad += u64::from(is_bad);
        }
    }

    /// The counts over each window that ends now.
    pub fn counts(&self, date: Date) -> Vec<ObjectiveCounts> {
        let slice =
            |((workspace, target, objective), series): (&(Workspace, Target, usize), &Series)| {
                let mut counts = [(0, 0); 4];
                for ((count, ring), (_, window)) in
                    counts.iter_mut().zip(&series.rings).zip(WINDOWS)
                {
                    let number = date.0 / (window.0 / SLOTS as u64);
                    let recent = ring.iter().filter(|slot| slot.number + SLOTS as u64 > number);
                    *count = recent.fold((0, 0), |sum, slot| (sum.0 + slot.all, sum.1 + slot.bad));
                }
                ObjectiveCounts {
                    workspace: workspace.clone(),
                    target: target.clone(),
                    objective: *objective,
                    good: series.good,
                    counts,
                }
            };
        self.series.iter().map(slice).collect()
    }
}

/// Adds up slices of several VMs and shows them as a table.
pub fn burn_table(slices: Vec<ObjectiveCounts>) -> String {
    let mut merged: BTreeMap<(Workspace, Target, usize), ObjectiveCounts> = BTreeMap::new();
    for slice in slices {
        let key = (slice.workspace.clone(), slice.target.clone(), slice.objective);
        match merged.get_mut(&key) {
            Some(held) => {
                for (count, more) in held.counts.iter_mut().zip(slice.counts) {
                    *count = (count.0 + more.0, count.1 + more.1);
                }
            }
            None => {
                merged.insert(key, slice);
            }
        }
    }
    let mut out = format!(
        "{:<14} {:<18} {:>8} {:>8} {:>7} {:>7} {:>7} {:>7}  {}\n",
        "workspace", "version", "requests", "bad", "5m", "1h", "6h", "3d", "left at this rate"
    );
    for slice in merged.values() {
        let (all, bad) = slice.counts[3];
        let recent = slice.burn_rate(1);
        let left = if recent > 0.0 {
            format!("{:.1} days", PERIOD.as_secs() / recent / 86_400.0)
        } else {
            "all".to_owned()
        };
        let _ = writeln!(
            out,
            "{:<14} {:<18} {:>8} {:>8} {:>7.2} {:>7.2} {:>7.2} {:>7.2}  {left}",
            slice.workspace.to_string(),
            slice.target.to_string(),
            all,
            bad,
            slice.burn_rate(0),
            slice.burn_rate(1),
            slice.burn_rate(2),
            slice.burn_rate(3)
        );
    }
    out
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn burn_is_bad_share_over_allowance_and_old_slots_fall_out() {
        let mut burn = BurnTracker::default();
        let (workspace, target) = ("w".parse().unwrap(), "m@v1".parse().unwrap());
        let start = Date(1_000_000_000_000_000);
        for i in 0..100 {
            burn.record(&workspace, &target, 0, 0.95, i < 10, start);
        }
        let slices = burn.counts(start);
        assert!((slices[0].burn_rate(0) - 2.0).abs() < 1e-9);
        let later = Date(start.0 + Span::secs(301).0);
        assert_eq!(burn.counts(later)[0].counts[0], (0, 0));
        assert_eq!(burn.counts(later)[0].counts[1], (100, 10));
    }
}
