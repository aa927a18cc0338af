//! Buffer of bills that are not in the store yet: a VM's own bills, and copies of other VMs' bills.

use std::collections::BTreeMap;

use super::Entry;
use crate::evidence::Origin;

/// Maximum number of bills held, own ones and copies. At the maximum new work is refused, so that
/// no bill is lost. At 300 bytes each this is 60 MB of the 128 MB that the control thread may use.
const MAX_ENTRIES: usize = 200_000;

/// The bills that one VM holds and that are not in the store yet, as far as the VM knows.
#[derive(Clone, Debug)]
pub struct Buffer {
    own_origin: Origin,
    /// Number of the next bill of this VM.
    next_number: u64,
    /// Number of the last bill in this VM's chain in the store.
    chain_end: u64,
    entries: BTreeMap<Origin, BTreeMap<u64, Entry>>,
    /// Number of bills of all origins.
    count: usize,
}

impl Buffer {
    /// Creates an empty buffer for one incarnation of a VM.
    pub fn new(own_origin: Origin) -> Buffer {
        Buffer { own_origin, next_number: 1, chain_end: 0, entries: BTreeMap::new(), count: 0 }
    }

    /// Assigns the next number to a bill of this VM, inserts the bill and returns it.
    pub fn insert_own(&mut self, mut entry: Entry) -> Entry {
        entry.number = self.next_number;
        self.next_number += 1;
        self.insert(self.own_origin.clone(), entry.clone());
        entry
    }

    fn insert(&mut self, origin: Origin, entry: Entry) {
        let entries = self.entries.entry(origin).or_default();
        if entries.insert(entry.number, entry).is_none() {
            self.count += 1;
        }
    }

    /// Inserts copies of another VM's bills, and removes copies up to the number `flushed`, which
    /// are in the store.
    pub fn insert_copies(&mut self, origin: Origin, entries: Vec<Entry>, flushed: u64) {
        for entry in entries {
            if entry.number > flushed {
                self.insert(origin.clone(), entry);
            }
        }
        self.remove_up_to(&origin, flushed);
    }

    /// Removes the bills of an origin up to a number, because they are in the store.
    pub fn remove_up_to(&mut self, origin: &Origin, number: u64) {
        let Some(entries) = self.entries.get_mut(origin) else {
            return;
        };
        let kept = entries.split_off(&(number + 1));
        self.count -= entries.len();
        *entries = kept;
        if entries.is_empty() {
            self.entries.remove(origin);
        }
    }

    /// Removes one bill that is in the store.
    pub fn remove(&mut self, origin: &Origin, number: u64) {
        let Some(entries) = self.entries.get_mut(origin) else {
            return;
        };
        if entries.remove(&number).is_some() {
            self.count -= 1;
        }
        if entries.is_empty() {
            self.entries.remove(origin);
        }
    }

    /// Records the number of the last bill in this VM's chain in the store.
    pub fn record_chain_end(&mut self, number: u64) {
        self.chain_end = self.chain_end.max(number);
    }

    /// Returns the number of the last bill in this VM's chain in the store if all of `entries` have
    /// higher numbers, else none. The chain then needs no read before a flush.
    pub fn chain_end_before(&self, entries: &[Entry]) -> Option<u64> {
        let follows = entries.first().is_some_and(|entry| entry.number > self.chain_end);
        follows.then_some(self.chain_end)
    }

    /// Returns the bills of an origin that this VM holds.
    pub fn entries_of(&self, origin: &Origin) -> Vec<Entry> {
        let entries = self.entries.get(origin);
        entries.map(|entries| entries.values().cloned().collect()).unwrap_or_default()
    }

    /// Returns the origins, other than this VM, of which this VM holds bills.
    pub fn other_origins(&self) -> Vec<Origin> {
        self.entries.keys().filter(|origin| **origin != self.own_origin).cloned().collect()
    }

    /// Returns the name and incarnation of this VM.
    pub fn own_origin(&self) -> &Origin {
        &self.own_origin
    }

    /// Returns the highest number up to which all bills of this VM are in the store.
    pub fn flushed_up_to(&self) -> u64 {
        let first = self.entries.get(&self.own_origin).and_then(|entries| entries.keys().next());
        first.map_or(self.next_number, |first| *first) - 1
    }

    /// Returns the number of bills held.
    pub fn count(&self) -> usize {
        self.count
    }

    /// Returns true if there is room for another bill.
    pub fn has_room(&self) -> bool {
        self.count < MAX_ENTRIES
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::unit::{Date, Incarnation};

    fn origin() -> Origin {
        Origin { vm: "a".parse().unwrap(), incarnation: Incarnation(1) }
    }

    fn entry(request: &str) -> Entry {
        Entry {
            number: 0,
            request: request.parse().unwrap(),
            workspace: "w".parse().unwrap(),
            date: Date(0),
            parts: Vec::new(),
        }
    }

    #[test]
    fn numbers_rise_and_flushed_ones_are_dropped() {
        let mut buffer = Buffer::new(origin());
        for id in ["r1", "r2", "r3"] {
            buffer.insert_own(entry(id));
        }
        assert_eq!(buffer.flushed_up_to(), 0);
        buffer.remove_up_to(&origin(), 2);
        assert_eq!((buffer.flushed_up_to(), buffer.count()), (2, 1));
    }

    #[test]
    fn a_repeated_copy_is_held_once() {
        let mut buffer = Buffer::new(origin());
        let other = Origin { vm: "b".parse().unwrap(), incarnation: Incarnation(1) };
        let one = Entry { number: 5, ..entry("r5") };
        buffer.insert_copies(other.clone(), vec![one.clone()], 0);
        buffer.insert_copies(other.clone(), vec![one.clone()], 0);
        assert_eq!(buffer.count(), 1);
        buffer.insert_copies(other.clone(), vec![one], 5);
        assert_eq!(buffer.count(), 0);
        assert!(buffer.other_origins().is_empty());
    }
}
