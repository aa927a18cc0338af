//! Bills that are not in the store yet: a VM's own, and copies of others'.

use std::collections::BTreeMap;

use super::Entry;
use crate::evidence::Origin;

/// Bills held at most, own and copies: past this, new work is refused before a bill could be lost.
/// At 300 bytes each this is 60 MB of the 128 MB that control may take.
const MOST: usize = 200_000;

/// What one VM holds.
#[derive(Clone, Debug)]
pub struct Book {
    own: Origin,
    next: u64,
    reached: u64,
    entries: BTreeMap<Origin, BTreeMap<u64, Entry>>,
    held: usize,
}

impl Book {
    /// An empty book of one incarnation.
    pub fn new(own: Origin) -> Book {
        Book { own, next: 1, reached: 0, entries: BTreeMap::new(), held: 0 }
    }

    /// Numbers an entry of this VM's own and holds it.
    pub fn record(&mut self, mut entry: Entry) -> Entry {
        entry.number = self.next;
        self.next += 1;
        self.hold(self.own.clone(), entry.clone());
        entry
    }

    fn hold(&mut self, origin: Origin, entry: Entry) {
        let entries = self.entries.entry(origin).or_default();
        if entries.insert(entry.number, entry).is_none() {
            self.held += 1;
        }
    }

    /// Holds copies of another VM's entries; drops those that it says are in the store.
    pub fn copy(&mut self, origin: Origin, entries: Vec<Entry>, flushed: u64) {
        for entry in entries {
            if entry.number > flushed {
                self.hold(origin.clone(), entry);
            }
        }
        self.drop_up_to(&origin, flushed);
    }

    /// Drops an origin's entries up to a number: they are in the store.
    pub fn drop_up_to(&mut self, origin: &Origin, number: u64) {
        let Some(entries) = self.entries.get_mut(origin) else {
            return;
        };
        let kept = entries.split_off(&(number + 1));
        self.held -= entries.len();
        *entries = kept;
        if entries.is_empty() {
            self.entries.remove(origin);
        }
    }

    /// Drops one entry that is in the store.
    pub fn drop_one(&mut self, origin: &Origin, number: u64) {
        let Some(entries) = self.entries.get_mut(origin) else {
            return;
        };
        if entries.remove(&number).is_some() {
            self.held -= 1;
        }
        if entries.is_empty() {
            self.entries.remove(origin);
        }
    }

    /// Notes how far this VM's chain in the store reaches.
    pub fn reach(&mut self, number: u64) {
        self.reached = self.reached.max(number);
    }

    /// The number that the chain reaches, if these entries simply follow it.
    pub fn chain_after(&self, entries: &[Entry]) -> Option<u64> {
        let follows = entries.first().is_some_and(|entry| entry.number > self.reached);
        follows.then_some(self.reached)
    }

    /// An origin's entries held here.
    pub fn of(&self, origin: &Origin) -> Vec<Entry> {
        let entries = self.entries.get(origin);
        entries.map(|entries| entries.values().cloned().collect()).unwrap_or_default()
    }

    /// Origins whose entries are held here, apart from this VM.
    pub fn others(&self) -> Vec<Origin> {
        self.entries.keys().filter(|origin| **origin != self.own).cloned().collect()
    }

    /// This VM's life.
    pub fn own(&self) -> &Origin {
        &self.own
    }

    /// The highest number of this VM's own entries up to which all are in the store.
    pub fn flushed(&self) -> u64 {
        let first = self.entries.get(&self.own).and_then(|entries| entries.keys().next());
        first.map_or(self.next, |first| *first) - 1
    }

    /// Entries held.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Whether another bill surely finds room.
    pub fn has_room(&self) -> bool {
        self.held < MOST
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
        let mut book = Book::new(origin());
        for id in ["r1", "r2", "r3"] {
            book.record(entry(id));
        }
        assert_eq!(book.flushed(), 0);
        book.drop_up_to(&origin(), 2);
        assert_eq!((book.flushed(), book.held()), (2, 1));
    }

    #[test]
    fn a_repeated_copy_is_held_once() {
        let mut book = Book::new(origin());
        let other = Origin { vm: "b".parse().unwrap(), incarnation: Incarnation(1) };
        let one = Entry { number: 5, ..entry("r5") };
        book.copy(other.clone(), vec![one.clone()], 0);
        book.copy(other.clone(), vec![one.clone()], 0);
        assert_eq!(book.held(), 1);
        book.copy(other.clone(), vec![one], 5);
        assert_eq!(book.held(), 0);
        assert!(book.others().is_empty());
    }
}
