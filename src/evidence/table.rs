//! Table of grow-only counters (a CRDT) and its merge. A *cell* holds the counts of one origin for
//! one key.
//!
//! A row belongs to one incarnation of one VM, which alone adds to it. All other VMs keep the
//! maximum of the counts that they have and those that they receive, so order, repetition and loss
//! of messages do not matter.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::unit::{Incarnation, Kind, Target, Vm, Workspace};

/// One incarnation of a VM, the only writer of its row.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Origin {
    /// Name of the VM.
    pub vm: Vm,
    /// Incarnation (process lifetime) of the VM.
    pub incarnation: Incarnation,
}

/// What the counts of a cell are about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Key {
    /// Answers of a version during one trial, which is a roll-out of its model or else a time
    /// window of fixed length.
    Trial {
        /// The version that gave the answers.
        target: Target,
        /// Start of the trial, in microseconds since 1970.
        since: u64,
    },
    /// Answers of a cascade's cheap model and their ratings, by confidence.
    Cheap {
        /// Workspace of the requests.
        workspace: Workspace,
        /// Kind of work of the requests, as their client named it.
        kind: Kind,
        /// Bin of the answer's confidence.
        bin: u8,
    },
    /// Answers of a cascade's strong model and their ratings, by the confidence of the cheap answer
    /// before.
    Strong {
        /// Workspace of the requests.
        workspace: Workspace,
        /// Kind of work of the requests, as their client named it.
        kind: Kind,
        /// Bin of the cheap answer's confidence; one past the last bin if the request began with
        /// the strong model.
        bin: u8,
    },
    /// Requests from the callers of a workspace, admitted or not, as its demand for shares of its
    /// rate limit.
    Demand {
        /// Workspace of the requests.
        workspace: Workspace,
    },
}

/// Counts for one key. Each of them only grows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that ended.
    pub ended: u64,
    /// Ended requests that failed.
    pub failed: u64,
    /// Ended requests whose first token came late.
    pub slow: u64,
    /// Number of ratings.
    pub rated: u64,
    /// Ratings that did not pass.
    pub poor: u64,
}

impl Counts {
    /// Returns the larger of the two values of each count, which merges two states of the same
    /// counter.
    pub fn join(self, other: Counts) -> Counts {
        Counts {
            ended: self.ended.max(other.ended),
            failed: self.failed.max(other.failed),
            slow: self.slow.max(other.slow),
            rated: self.rated.max(other.rated),
            poor: self.poor.max(other.poor),
        }
    }

    fn plus(self, other: Counts) -> Counts {
        Counts {
            ended: self.ended + other.ended,
            failed: self.failed + other.failed,
            slow: self.slow + other.slow,
            rated: self.rated + other.rated,
            poor: self.poor + other.poor,
        }
    }
}

/// Counts of one origin for one key, in a message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Cell {
    /// What the counts are about.
    pub key: Key,
    /// Counts since the origin started.
    pub counts: Counts,
}

/// Cells of one origin in a message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Origin of the cells.
    pub origin: Origin,
    /// The cells that changed.
    pub cells: Vec<Cell>,
}

/// Counts of one cell, with the change that they come from.
#[derive(Clone, Debug)]
struct Entry {
    counts: Counts,
    /// Number of the last change of this counter in the table's sequence of changes.
    change_number: u64,
    /// The peer that sent the last change of this counter; none if this VM made it.
    received_from: Option<Vm>,
}

/// All counters that a VM knows.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: BTreeMap<Origin, BTreeMap<Key, Entry>>,
    /// Number of the latest change of the table.
    last_change: u64,
}

impl Table {
    /// Adds `more` to the counts for a key in this VM's own row.
    pub fn add(&mut self, own: &Origin, key: Key, more: Counts) {
        self.last_change += 1;
        let changed = self.last_change;
        let row = match self.rows.get_mut(own) {
            Some(row) => row,
            None => self.rows.entry(own.clone()).or_default(),
        };
        let entry = row.entry(key).or_insert(Entry {
            counts: Counts::default(),
            change_number: changed,
            received_from: None,
        });
        entry.counts = entry.counts.plus(more);
        entry.change_number = changed;
    }

    /// Merges rows that a peer sent.
    pub fn merge(&mut self, from: &Vm, rows: Vec<Row>) {
        for row in rows {
            let stored_row = self.rows.entry(row.origin).or_default();
            for cell in row.cells {
                let before = stored_row.get(&cell.key).map(|entry| entry.counts);
                let joined = before.unwrap_or_default().join(cell.counts);
                if before == Some(joined) {
                    continue;
                }
                self.last_change += 1;
                let entry = Entry {
                    counts: joined,
                    change_number: self.last_change,
                    received_from: Some(from.clone()),
                };
                stored_row.insert(cell.key, entry);
            }
        }
    }

    /// Returns the number of the latest change, a cursor for [`Table::delta`].
    pub fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Returns the cells that changed after the cursor `since`, at most `max_cells`, without those
    /// that came from the VM `to`, and the cursor for the next call.
    pub fn delta(&self, to: &Vm, since: u64, max_cells: usize) -> (Vec<Row>, u64) {
        if self.last_change == since {
            return (Vec::new(), since);
        }
        let mut changed: Vec<(u64, &Origin, &Key, &Entry)> = Vec::new();
        for (origin, row) in &self.rows {
            let newer = row.iter().filter(|(_, entry)| entry.change_number > since);
            changed.extend(newer.map(|(key, entry)| (entry.change_number, origin, key, entry)));
        }
        changed.sort_by_key(|entry| entry.0);
        let up_to = match changed.get(max_cells) {
            Some(next) => next.0 - 1,
            None => self.last_change,
        };
        changed.truncate(max_cells);
        let mut rows: BTreeMap<&Origin, Vec<Cell>> = BTreeMap::new();
        for (_, origin, key, entry) in changed {
            if entry.received_from.as_ref() != Some(to) {
                let cell = Cell { key: key.clone(), counts: entry.counts };
                rows.entry(origin).or_default().push(cell);
            }
        }
        let rows = rows.into_iter().map(|(origin, cells)| Row { origin: origin.clone(), cells });
        (rows.collect(), up_to)
    }

    /// Returns the sum of the counts of all origins for one key.
    pub fn sum(&self, key: &Key) -> Counts {
        let entry = self.rows.values().filter_map(|row| row.get(key));
        entry.fold(Counts::default(), |sum, entry| sum.plus(entry.counts))
    }

    /// Returns the counts of the origin `own` for one key.
    pub fn own_counts(&self, own: &Origin, key: &Key) -> Counts {
        let entry = self.rows.get(own).and_then(|row| row.get(key));
        entry.map(|entry| entry.counts).unwrap_or_default()
    }

    /// Returns the sum of the counts of all origins for each key that `wanted` selects.
    pub fn sums(&self, wanted: impl Fn(&Key) -> bool) -> BTreeMap<Key, Counts> {
        let mut sums: BTreeMap<Key, Counts> = BTreeMap::new();
        for row in self.rows.values() {
            for (key, entry) in row.iter().filter(|(key, _)| wanted(key)) {
                let sum = sums.entry(key.clone()).or_default();
                *sum = sum.plus(entry.counts);
            }
        }
        sums
    }

    /// Removes the cells of all origins whose keys `needless` selects.
    pub fn remove_where(&mut self, needless: impl Fn(&Key) -> bool) {
        for row in self.rows.values_mut() {
            row.retain(|key, _| !needless(key));
        }
        self.rows.retain(|_, row| !row.is_empty());
    }

    /// Returns the number of cells of all origins.
    pub fn len(&self) -> usize {
        self.rows.values().map(BTreeMap::len).sum()
    }

    /// Returns true if there are no counters.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::quickcheck;

    fn origin(n: u8) -> Origin {
        Origin { vm: format!("vm{}", n % 3).parse().unwrap(), incarnation: Incarnation(1) }
    }

    fn key(n: u8) -> Key {
        let target = format!("m@v{}", n % 4).parse().unwrap();
        Key::Trial { target, since: 0 }
    }

    fn rows(facts: &[(u8, u8, u8)]) -> Vec<Row> {
        let row = |(vm, about, n): &(u8, u8, u8)| {
            let counts =
                Counts { rated: u64::from(*n), poor: u64::from(n / 2), ..Counts::default() };
            Row { origin: origin(*vm), cells: vec![Cell { key: key(*about), counts }] }
        };
        facts.iter().map(row).collect()
    }

    fn merged(parts: &[Vec<Row>]) -> BTreeMap<Key, Counts> {
        let mut table = Table::default();
        let from: Vm = "x".parse().unwrap();
        for part in parts {
            table.merge(&from, part.clone());
        }
        table.sums(|_| true)
    }

    quickcheck! {
        fn merge_is_commutative_associative_idempotent(
            a: Vec<(u8, u8, u8)>, b: Vec<(u8, u8, u8)>, c: Vec<(u8, u8, u8)>
        ) -> bool {
            let (a, b, c) = (rows(&a), rows(&b), rows(&c));
            let whole = merged(&[a.clone(), b.clone(), c.clone()]);
            let joined = [b.clone(), c.clone()].concat();
            whole == merged(&[c.clone(), b.clone(), a.clone()])
                && whole == merged(&[a.clone(), joined])
                && whole == merged(&[a.clone(), b.clone(), a, c.clone(), b, c])
        }

        fn deltas_carry_everything_in_parts(facts: Vec<(u8, u8, u8)>, max_cells: u8) -> bool {
            let (a, b): (Vm, Vm) = ("a".parse().unwrap(), "b".parse().unwrap());
            let mut from = Table::default();
            from.merge(&a, rows(&facts));
            let mut to = Table::default();
            let mut since = 0;
            while since < from.last_change() {
                let (rows, up_to) = from.delta(&b, since, usize::from(max_cells % 7) + 1);
                to.merge(&a, rows);
                since = up_to;
            }
            to.sums(|_| true) == from.sums(|_| true)
        }
    }
}
