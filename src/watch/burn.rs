//! Burn rates: how fast the error budget of each service-level objective is consumed.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde::{Deserialize, Serialize};

use crate::unit::{Date, Span, Target, Workspace};

/// Names and lengths of the report's windows.
pub const WINDOWS: [(&str, Span); 4] = [
    ("5m", Span::secs(300)),
    ("1h", Span::secs(3600)),
    ("6h", Span::secs(6 * 3600)),
    ("3d", Span::secs(3 * 24 * 3600)),
];

/// Slots per window, which limit the accuracy of the report to a thirtieth of the window.
const SLOTS_PER_WINDOW: usize = 30;

/// Period for which an error budget is granted.
const BUDGET_PERIOD: Span = Span::secs(30 * 24 * 3600);

#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    number: u64,
    all: u64,
    bad: u64,
}

#[derive(Clone, Debug, Default)]
struct Series {
    good: f64,
    rings: [[Slot; SLOTS_PER_WINDOW]; 4],
}

/// Counts of one objective, on one VM or summed over several.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ObjectiveCounts {
    /// Workspace of the requests.
    pub workspace: Workspace,
    /// Model and version that served them.
    pub target: Target,
    /// Index of the objective in the workspace's configuration.
    pub objective: usize,
    /// Share of requests that must meet the objective, from 0 to 1.
    pub good: f64,
    /// For each of [`WINDOWS`], the requests and those of them that missed the objective.
    pub counts: [(u64, u64); 4],
}

impl ObjectiveCounts {
    /// Returns the burn rate over a window of [`WINDOWS`]. At a rate of 1 the error budget lasts
    /// exactly for its period.
    pub fn burn_rate(&self, window: usize) -> f64 {
        let (all, bad) = self.counts[window];
        if all == 0 {
            return 0.0;
        }
        bad as f64 / all as f64 / (1.0 - self.good).max(1e-6)
    }
}

/// Request counts of all objectives on one VM.
#[derive(Debug, Default)]
pub struct BurnTracker {
    series: BTreeMap<(Workspace, Target, usize), Series>,
}

impl BurnTracker {
    /// Counts a request for an objective; `good` is the share that must meet it.
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
            let number = date.0 / (window.0 / SLOTS_PER_WINDOW as u64);
            let slot = &mut ring[(number % SLOTS_PER_WINDOW as u64) as usize];
            if slot.number != number {
                *slot = Slot { number, all: 0, bad: 0 };
            }
            slot.all += 1;
            slot.bad += u64::from(is_bad);
        }
    }

    /// Returns the counts of all objectives, over the windows that end at `date`.
    pub fn counts(&self, date: Date) -> Vec<ObjectiveCounts> {
        let sum_windows =
            |((workspace, target, objective), series): (&(Workspace, Target, usize), &Series)| {
                let mut counts = [(0, 0); 4];
                for ((count, ring), (_, window)) in
                    counts.iter_mut().zip(&series.rings).zip(WINDOWS)
                {
                    let number = date.0 / (window.0 / SLOTS_PER_WINDOW as u64);
                    let recent =
                        ring.iter().filter(|slot| slot.number + SLOTS_PER_WINDOW as u64 > number);
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
        self.series.iter().map(sum_windows).collect()
    }
}

/// Sums the counts of several VMs and formats the burn rates as a table, one objective per line.
pub fn burn_table(all_counts: Vec<ObjectiveCounts>) -> String {
    let mut merged: BTreeMap<(Workspace, Target, usize), ObjectiveCounts> = BTreeMap::new();
    for counts in all_counts {
        let key = (counts.workspace.clone(), counts.target.clone(), counts.objective);
        match merged.get_mut(&key) {
            Some(sum) => {
                for (count, more) in sum.counts.iter_mut().zip(counts.counts) {
                    *count = (count.0 + more.0, count.1 + more.1);
                }
            }
            None => {
                merged.insert(key, counts);
            }
        }
    }
    let mut out = format!(
        "{:<14} {:<18} {:>8} {:>8} {:>7} {:>7} {:>7} {:>7}  {}\n",
        "workspace", "version", "requests", "bad", "5m", "1h", "6h", "3d", "left at this rate"
    );
    for counts in merged.values() {
        let (all, bad) = counts.counts[3];
        let recent = counts.burn_rate(1);
        let left = if recent > 0.0 {
            format!("{:.1} days", BUDGET_PERIOD.as_secs() / recent / 86_400.0)
        } else {
            "all".to_owned()
        };
        let _ = writeln!(
            out,
            "{:<14} {:<18} {:>8} {:>8} {:>7.2} {:>7.2} {:>7.2} {:>7.2}  {left}",
            counts.workspace.to_string(),
            counts.target.to_string(),
            all,
            bad,
            counts.burn_rate(0),
            counts.burn_rate(1),
            counts.burn_rate(2),
            counts.burn_rate(3)
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
        let counts = burn.counts(start);
        assert!((counts[0].burn_rate(0) - 2.0).abs() < 1e-9);
        let later = Date(start.0 + Span::secs(301).0);
        assert_eq!(burn.counts(later)[0].counts[0], (0, 0));
        assert_eq!(burn.counts(later)[0].counts[1], (100, 10));
    }
}
