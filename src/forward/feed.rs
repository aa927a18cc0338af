//! What a VM knows of the platform's objects, as it passes it on to others: objects as they change, in order.
//!
//! A follower asks from the place that it has reached; one that asks for another epoch, or from a
//! place that is no longer kept, gets everything. It does not matter who read: a VM that follows another
//! passes on what it heard, as old as it is.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

use serde::{Deserialize, Serialize};

use super::kind::Kind;
use super::pack::{Change, Packed};
use super::poison;
use super::restore::Notice;
use super::rollout_counts;
use crate::platform::object::Object;
use crate::unit::{Moment, Position, Revision, Span, Vm};

/// Changes kept for followers; they ask a few times a second. Of each only the name is kept: an object is passed
/// on as it stands now.
const KEPT: usize = 2000;

/// How far a follower has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// The life of the process that counts; drawn anew with each.
    pub epoch: u64,
    /// Changes of that epoch that it has.
    pub upto: u64,
}

/// How current a VM's knowledge of a kind is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reading {
    /// Position of the store that it stands for.
    pub position: Position,
    /// When the read was sent that brought it; later changes may be missing.
    pub sent: Moment,
}

/// The same as a reader tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    /// The kind.
    pub kind: Kind,
    /// Position of the store that it stands for.
    pub position: Position,
    /// How old it is when this is told.
    pub age: Span,
}

/// How the platform's store does, as a VM tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Store {
    /// It answers.
    Answers,
    /// It answers again since so long ago; entries may have lapsed meanwhile.
    IsBack(Span),
    /// It does not answer.
    IsLost,
}

/// Proof that a configuration is the newest, as one VM passes it on to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proof {
    /// Age of the read that proves it, when this is answered.
    pub age: Span,
    /// The configuration; the proof counts for no VM that has an older one.
    pub configuration: Revision,
}

/// Who read what is told, and by how many VMs it was passed on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// The VM that read the store.
    pub reader: Vm,
    /// VMs between it and the one that is told.
    pub hops: u8,
}

/// What a VM that is asked for news answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct News {
    /// Who read it.
    pub origin: Origin,
    /// How the store does.
    pub store: Store,
    /// Where the follower stands with these changes.
    pub place: Place,
    /// Whether these are all objects there are, rather than those that changed.
    pub whole: bool,
    /// The changes in order.
    pub changes: Packed,
    /// Proof that a configuration is the newest.
    pub proof: Option<Proof>,
    /// How current each kind is.
    pub readings: Vec<Told>,
    /// The last restore of the store, if owners may not have had time to write again.
    pub restore: Option<Notice>,
    /// What it makes of versions that are rolled out.
    pub verdicts: Vec<rollout_counts::VersionVerdict>,
    /// Contents that it holds back.
    pub held: Vec<poison::QuarantinedContent>,
}

impl News {
    /// How current a kind is, if the reader has read it.
    pub fn reading(&self, kind: Kind) -> Option<&Told> {
        self.readings.iter().find(|told| told.kind == kind)
    }

    /// Returns the newest position of the store at which any kind was read.
    pub fn position(&self) -> Position {
        self.readings.iter().map(|told| told.position).max().unwrap_or_default()
    }
}

/// What a VM knows of the store, apart from its objects.
#[derive(Clone, Debug)]
pub struct Stand {
    /// Who read it.
    pub origin: Origin,
    /// How the store does.
    pub store: Store,
    /// Proof that a configuration is the newest.
    pub proof: Option<Proof>,
    /// The last restore of the store, if owners may not have had time to write again.
    pub restore: Option<Notice>,
    /// What it makes of versions that are rolled out.
    pub verdicts: Vec<rollout_counts::VersionVerdict>,
    /// Contents that it holds back.
    pub held: Vec<poison::QuarantinedContent>,
}

/// The objects that a VM knows, and their last changes.
#[derive(Default)]
pub struct Feed {
    place: Place,
    objects: BTreeMap<(Kind, String), Kept>,
    changes: VecDeque<Changed>,
    readings: BTreeMap<Kind, Reading>,
    /// Changes as they were packed for followers at a place, none for those that get everything, until the next
    /// change: fifty that ask at the same time lack the same.
    packed: RefCell<HashMap<Option<u64>, Packed>>,
}

struct Kept {
    position: Position,
    text: String,
}

/// That an object changed, or went.
struct Changed {
    kind: Kind,
    name: String,
    lapsed: bool,
}

impl Feed {
    /// The feed of a process with this epoch; nothing is known yet.
    pub fn new(epoch: u64) -> Feed {
        Feed { place: Place { epoch, upto: 0 }, ..Feed::default() }
    }

    /// Whether all kinds are known.
    pub fn is_whole(&self) -> bool {
        Kind::ALL.iter().all(|kind| self.readings.contains_key(kind))
    }

    /// How current this kind is, if it is known.
    pub fn reading(&self, kind: Kind) -> Option<Reading> {
        self.readings.get(&kind).copied()
    }

    /// A read of a kind that was sent at `sent` was answered, and what it brought was taken.
    pub fn note_read(&mut self, kind: Kind, position: Position, sent: Moment) {
        let known = self.readings.entry(kind).or_insert(Reading { position, sent });
        known.position = known.position.max(position);
        known.sent = known.sent.max(sent);
    }

    /// Replaces an object. Which of two states is the newer is for the caller to say: kinds differ in it.
    pub fn put(&mut self, kind: Kind, object: &Object) {
        let (name, position) = (object.metadata.name.clone(), object.metadata.position);
        let known = self.objects.get(&(kind, name.clone()));
        if known.is_some_and(|known| known.position == position) {
            return;
        }
        let text = object.to_json();
        self.objects.insert((kind, name.clone()), Kept { position, text });
        self.note(Changed { kind, name, lapsed: false });
    }

    /// An object is gone, or lapsed.
    pub fn remove(&mut self, kind: Kind, name: &str, lapsed: bool) {
        if self.objects.remove(&(kind, name.to_owned())).is_some() {
            self.note(Changed { kind, name: name.to_owned(), lapsed });
        }
    }

    /// The objects of a kind.
    pub fn objects(&self, kind: Kind) -> impl Iterator<Item = Object> {
        let of_kind = self.objects.iter().filter(move |((of, _), _)| *of == kind);
        of_kind.filter_map(|(_, kept)| Object::from_json(&kept.text).ok())
    }

    fn note(&mut self, change: Changed) {
        self.place.upto += 1;
        self.packed.get_mut().clear();
        self.changes.push_back(change);
        if self.changes.len() > KEPT {
            self.changes.pop_front();
        }
    }

    /// What a follower at `place` lacks.
    pub fn since(&self, place: Place, stand: Stand, now: Moment) -> News {
        let behind = self.place.upto.checked_sub(place.upto).filter(|behind| {
            place.epoch == self.place.epoch && *behind <= self.changes.len() as u64
        });
        News {
            origin: stand.origin,
            store: stand.store,
            place: self.place,
            whole: behind.is_none(),
            changes: self.packed(behind),
            proof: stand.proof,
            restore: stand.restore,
            readings: self.told(now),
            verdicts: stand.verdicts,
            held: stand.held,
        }
    }

    /// The last changes, or all objects, as they are sent.
    fn packed(&self, behind: Option<u64>) -> Packed {
        let mut packed = self.packed.borrow_mut();
        let made = packed.entry(behind).or_insert_with(|| {
            let changes = behind.map_or_else(|| self.all(), |behind| self.last(behind as usize));
            Packed::new(&changes)
        });
        made.clone()
    }

    /// The objects of the last changes, each once and as it stands.
    fn last(&self, behind: usize) -> Vec<Change> {
        let mut seen = HashSet::new();
        let newest_first = self.changes.iter().rev().take(behind);
        let once = newest_first.filter(|changed| seen.insert((changed.kind, &changed.name)));
        let mut changes: Vec<Change> = once.map(|changed| self.told_change(changed)).collect();
        changes.reverse();
        changes
    }

    fn told_change(&self, changed: &Changed) -> Change {
        let Changed { kind, name, lapsed } = changed;
        let kept = self.objects.get(&(*kind, name.clone()));
        let object = kept.map(|kept| kept.text.clone());
        Change { kind: *kind, name: name.clone(), object, lapsed: *lapsed }
    }

    fn told(&self, now: Moment) -> Vec<Told> {
        let told = |(kind, reading): (&Kind, &Reading)| Told {
            kind: *kind,
            position: reading.position,
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
