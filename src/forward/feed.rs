//! What a VM that reads the store passes on to those that do not: objects as they change, in order.
//!
//! A follower asks from the place that it has reached; one that asks for another epoch, or from a
//! place that is no longer kept, gets everything.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::follow::Kind;
use crate::platform::object::Object;
use crate::unit::{Moment, Span};

/// Changes kept for followers; they ask a few times a second.
const KEPT: usize = 2000;

/// One object as it changed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Its kind.
    pub kind: Kind,
    /// Its name among its kind.
    pub name: String,
    /// The object in JSON; none if it is gone.
    pub object: Option<String>,
    /// Whether it may only have lapsed, since the store was away just before.
    pub lapsed: bool,
}

/// How far a follower has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// The reader's present spell of reading; drawn anew with each.
    pub epoch: u64,
    /// Changes of that epoch that it has.
    pub upto: u64,
}

/// How current a VM's knowledge of a kind is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reading {
    /// The store's revision that it stands for.
    pub revision: u64,
    /// When the read was sent that brought it; later changes may be missing.
    pub sent: Moment,
}

/// The same as a reader tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    /// The kind.
    pub kind: Kind,
    /// The store's revision that it stands for.
    pub revision: u64,
    /// How old it is when this is told.
    pub age: Span,
}

/// What a reader answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct News {
    /// Where the follower stands with these changes.
    pub place: Place,
    /// Whether these are all objects there are, rather than those that changed.
    pub whole: bool,
    /// The changes in order.
    pub changes: Vec<Change>,
    /// How old the proof is that the configuration is the newest, when this is answered.
    pub proof_age: Option<Span>,
    /// How current each kind is.
    pub readings: Vec<Told>,
}

impl News {
    /// How current a kind is, if the reader has read it.
    pub fn reading(&self, kind: Kind) -> Option<&Told> {
        self.readings.iter().find(|told| told.kind == kind)
    }
}

/// The objects that a VM has read, and their last changes.
#[derive(Default)]
pub struct Feed {
    place: Place,
    objects: BTreeMap<(Kind, String), Kept>,
    changes: VecDeque<Change>,
    readings: BTreeMap<Kind, Reading>,
}

struct Kept {
    revision: u64,
    text: String,
}

impl Feed {
    /// Begins a spell of reading: what was kept is forgotten.
    pub fn begin(&mut self, epoch: u64) {
        *self = Feed { place: Place { epoch, upto: 0 }, ..Feed::default() };
    }

    /// Whether all kinds were read in this spell.
    pub fn is_whole(&self) -> bool {
        Kind::ALL.iter().all(|kind| self.has_listed(*kind))
    }

    /// Whether this kind was read in this spell.
    pub fn has_listed(&self, kind: Kind) -> bool {
        self.readings.contains_key(&kind)
    }

    /// How current this kind is, if it was read in this spell.
    pub fn reading(&self, kind: Kind) -> Option<Reading> {
        self.readings.get(&kind).copied()
    }

    /// A read of a kind that was sent at `sent` was answered, and what it brought was taken.
    pub fn note_read(&mut self, kind: Kind, revision: u64, sent: Moment) {
        let known = self.readings.entry(kind).or_insert(Reading { revision, sent });
        known.revision = known.revision.max(revision);
        known.sent = known.sent.max(sent);
    }

    /// Takes all objects of a kind; those that are missing are gone, or lapsed.
    pub fn replace(&mut self, kind: Kind, objects: &[Object], lapsed: bool) {
        let listed = |name: &str| objects.iter().any(|object| object.metadata.name == name);
        let missing = self.objects.keys().filter(|(of, name)| *of == kind && !listed(name));
        let gone: Vec<String> = missing.map(|(_, name)| name.clone()).collect();
        for name in gone {
            self.remove(kind, &name, lapsed);
        }
        for object in objects {
            self.put(kind, object);
        }
    }

    /// Takes an object, unless a newer state of it is known.
    pub fn put(&mut self, kind: Kind, object: &Object) {
        let (name, revision) = (object.metadata.name.clone(), object.metadata.revision);
        let known = self.objects.get(&(kind, name.clone()));
        if known.is_some_and(|known| known.revision >= revision) {
            return;
        }
        let text = object.to_json();
        self.objects.insert((kind, name.clone()), Kept { revision, text: text.clone() });
        self.note(Change { kind, name, object: Some(text), lapsed: false });
    }

    /// An object is gone, or lapsed.
    pub fn remove(&mut self, kind: Kind, name: &str, lapsed: bool) {
        if self.objects.remove(&(kind, name.to_owned())).is_some() {
            self.note(Change { kind, name: name.to_owned(), object: None, lapsed });
        }
    }

    fn note(&mut self, change: Change) {
        self.place.upto += 1;
        self.changes.push_back(change);
        if self.changes.len() > KEPT {
            self.changes.pop_front();
        }
    }

    /// What a follower at `place` lacks.
    pub fn since(&self, place: Place, proof_age: Option<Span>, now: Moment) -> News {
        let behind = self.place.upto.checked_sub(place.upto).filter(|behind| {
            place.epoch == self.place.epoch && *behind <= self.changes.len() as u64
        });
        let changes = match behind {
            Some(behind) => {
                let from = self.changes.len() - behind as usize;
                self.changes.iter().skip(from).cloned().collect()
            }
            None => self.all(),
        };
        let readings = self.told(now);
        News { place: self.place, whole: behind.is_none(), changes, proof_age, readings }
    }

    fn told(&self, now: Moment) -> Vec<Told> {
        let told = |(kind, reading): (&Kind, &Reading)| Told {
            kind: *kind,
            revision: reading.revision,
            age: now.since(reading.sent),
        };
        self.readings.iter().map(told).collect()
    }

    fn all(&self) -> Vec<Change> {
        let change = |((kind, name), kept): (&(Kind, String), &Kept)| Change {
            kind: *kind,
            name: name.clone(),
            object: Some(kept.text.clone()),
            lapsed: false,
        };
        self.objects.iter().map(change).collect()
    }
}
