//! Table of grow-only counters (a CRDT) and its merge.
//!
//! A row belongs to one incarnation of one VM, which alone adds to it. All others keep the maximum
//! of what they have and what they receive, so order, repetition and loss of messages do not
//! matter.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::unit::{Incarnation, Kind, Target, Vm, Workspace};

/// One incarnation of a VM, the only writer of its row.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Origin {
    /// The VM.
    pub vm: Vm,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// Subject of a counter.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Key {
    /// A version during the trial (a roll-out or a watch window) that began at this date.
    Trial {
        /// The version.
        target: Target,
        /// When the trial began, in microseconds since 1970.
        since: u64,
    },
    /// Ratings of cheap answers of a cascade, by confidence.
    Cheap {
        /// The workspace.
        workspace: Workspace,
        /// The kind of work.
        kind: Kind,
        /// Bin of the confidence.
        bin: u8,
    },
    /// Ratings of strong answers of a cascade, by the confidence of the cheap answer before.
    Strong {
        /// The workspace.
        workspace: Workspace,
        /// The kind of work.
        kind: Kind,
        /// Bin of the confidence; one past the last if it began with the strong rung.
        bin: u8,
    },
    /// Requests offered by a workspace's callers.
    Demand {
        /// The workspace.
        workspace: Workspace,
    },
}

/// Counts for one key; each only grows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that ended.
    pub ended: u64,
    /// Those that failed.
    pub failed: u64,
    /// Those whose first token came late.
    pub slow: u64,
    /// Ratings.
    pub rated: u64,
    /// Ratings that did not pass.
    pub poor: u64,
}

impl Counts {
    /// Returns the maximum of each count.
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

/// One counter in a message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Cell {
    /// Its subject.
    pub key: Key,
    /// The counts.
    pub counts: Counts,
}

/// Counters of one origin in a message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Origin of the counters.
    pub origin: Origin,
    /// The counters that changed.
    pub cells: Vec<Cell>,
}

#[derive(Clone, Debug)]
struct Entry {
    counts: Counts,
    /// Number of its last change.
    change_number: u64,
    /// The peer that sent that change; none for the VM's own.
    received_from: Option<Vm>,
}

/// All counters that a VM knows.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: BTreeMap<Origin, BTreeMap<Key, Entry>>,
    last_change: u64,
}

impl Table {
    /// Adds to a counter of the VM's own row.
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

    /// Number of the latest change, a cursor for [`Table::delta`].
    pub fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Returns the counters that changed after the cursor `since` and did not come from `to`, at
    /// most `max_cells`, and the cursor up to which they are complete.
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

    /// Returns the sum over all origins for one key.
    pub fn sum(&self, key: &Key) -> Counts {
        let entry = self.rows.values().filter_map(|row| row.get(key));
        entry.fold(Counts::default(), |sum, entry| sum.plus(entry.counts))
    }

    /// Returns the VM's own counts for one key.
    pub fn own_counts(&self, own: &Origin, key: &Key) -> Counts {
        let entry = self.rows.get(own).and_then(|row| row.get(key));
        entry.map(|entry| entry.counts).unwrap_or_default()
    }

    /// Returns the sums over all origins for the keys that `wanted` selects.
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

    /// Removes the counters whose keys `needless` selects.
    pub fn remove_where(&mut self, needless: impl Fn(&Key) -> bool) {
        for row in self.rows.values_mut() {
            row.retain(|key, _| !needless(key));
        }
        self.rows.retain(|_, row| !row.is_empty());
    }

    /// Number of counters.
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
