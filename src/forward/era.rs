//! Tracks the era of the platform's store from the era header of its answers. The era rises with
//! each restore from a backup.

use std::cell::Cell;

use tokio::sync::Notify;

use crate::unit::Era;

/// Largest rise of the era that a single answer can cause. A larger rise takes effect only once a
/// second answer names the same era: one garbled header must not make all later answers look old.
const MAX_UNCONFIRMED_RISE: u64 = 1;

/// Why the era header of an answer was not used as it was.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Anomaly {
    /// The answer has no header, though earlier ones had.
    Missing,
    /// The header is not a number.
    Unreadable,
    /// The era is more than one ahead of the newest, and no other answer has confirmed it yet.
    Implausible,
    /// The era is older than the newest.
    Older,
}

impl Anomaly {
    /// All anomalies, in the order of their declaration.
    pub const ALL: [Anomaly; 4] =
        [Anomaly::Missing, Anomaly::Unreadable, Anomaly::Implausible, Anomaly::Older];

    /// Returns the anomaly's name in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Anomaly::Missing => "missing",
            Anomaly::Unreadable => "unreadable",
            Anomaly::Implausible => "implausible",
            Anomaly::Older => "older",
        }
    }
}

/// Tracks the newest era that any answer of the store named, and counts anomalies of the era
/// header.
#[derive(Default)]
pub struct Tracker {
    newest: Cell<Option<Era>>,
    /// True once any answer had the header.
    header_seen: Cell<bool>,
    /// An implausible era that one answer named, until a second answer confirms it.
    candidate: Cell<Option<Era>>,
    anomalies: [Cell<u64>; Anomaly::ALL.len()],
    /// Notified of a new era or an anomaly.
    pub changed: Notify,
}

impl Tracker {
    /// Returns the newest era, or the initial one if no answer has named any.
    pub fn newest(&self) -> Era {
        self.newest.get().unwrap_or_default()
    }

    /// Returns the era of an answer with this era header. Returns `None` if the answer must be
    /// ignored because its era is older than the newest, or is not confirmed yet. An answer without
    /// a valid header counts as one of the newest era.
    pub fn observe(&self, header: Option<&str>) -> Option<Era> {
        self.header_seen.set(self.header_seen.get() || header.is_some());
        match (header.map(str::parse::<Era>), self.newest.get()) {
            (None, newest) if !self.header_seen.get() => Some(newest.unwrap_or_default()),
            (None, newest) => self.assume_newest(newest.unwrap_or_default(), Anomaly::Missing),
            (Some(Err(_)), newest) => {
                self.assume_newest(newest.unwrap_or_default(), Anomaly::Unreadable)
            }
            (Some(Ok(era)), Some(newest)) if era < newest => self.reject(Anomaly::Older),
            (Some(Ok(era)), Some(newest)) if !self.is_plausible(era, newest) => {
                self.reject(Anomaly::Implausible)
            }
            (Some(Ok(era)), _) => {
                self.advance(era);
                Some(era)
            }
        }
    }

    /// Raises the newest era to one that the store, or another VM, has named.
    pub fn advance(&self, era: Era) {
        self.candidate.set(None);
        if self.newest.get().is_none_or(|newest| newest < era) {
            self.newest.set(Some(era));
            self.changed.notify_one();
        }
    }

    /// Returns the number of answers so far with an anomaly.
    pub fn count(&self, anomaly: Anomaly) -> u64 {
        self.anomalies[anomaly as usize].get()
    }

    /// Returns true if a rise of the era is small, or a second answer confirms it.
    fn is_plausible(&self, era: Era, newest: Era) -> bool {
        let is_near = era.0 - newest.0 <= MAX_UNCONFIRMED_RISE;
        is_near || self.candidate.replace(Some(era)) == Some(era)
    }

    /// Counts an anomaly of an answer that is used as one of the newest era.
    fn assume_newest(&self, newest: Era, anomaly: Anomaly) -> Option<Era> {
        self.record_anomaly(anomaly);
        Some(newest)
    }

    /// Counts an anomaly of an answer that must be ignored.
    fn reject(&self, anomaly: Anomaly) -> Option<Era> {
        self.record_anomaly(anomaly);
        None
    }

    fn record_anomaly(&self, anomaly: Anomaly) {
        let count = &self.anomalies[anomaly as usize];
        count.set(count.get() + 1);
        self.changed.notify_one();
    }
}
