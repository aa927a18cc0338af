//! What a VM knows of the platform's objects, as it passes it on to others: objects as they change, in order.
//!
//! A follower asks from the cursor that it has reached; one that asks for another epoch, or from a
//! cursor that is no longer kept, gets everything. It does not matter who read: a VM that follows another
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
const MAX_CHANGES: usize = 2000;

/// How far a follower has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// The life of the process that counts; drawn anew with each.
    pub epoch: u64,
    /// Changes of that epoch that it has.
    pub sequence: u64,
}

/// How current a VM's knowledge of a kind is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Freshness {
    /// Position of the store that it stands for.
    pub position: Position,
    /// When the read was sent that brought it; later changes may be missing.
    pub sent: Moment,
}

/// The same as a reader tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Staleness {
    /// The kind.
    pub kind: Kind,
    /// Position of the store that it stands for.
    pub position: Position,
    /// How old it is when this is told.
    pub age: Span,
}

/// How the platform's store does, as a VM tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reachability {
    /// It answers.
    Up,
    /// It answers again since so long ago; entries may have lapsed meanwhile.
    Recovered(Span),
    /// It does not answer.
    Down,
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
pub struct Update {
    /// Who read it.
    pub origin: Origin,
    /// How the store does.
    pub store: Reachability,
    /// Where the follower stands with these changes.
    pub cursor: Cursor,
    /// Whether these are all objects there are, rather than those that changed.
    pub is_full: bool,
    /// The changes in order.
    pub changes: Packed,
    /// Proof that a configuration is the newest.
    pub proof: Option<Proof>,
    /// How current each kind is.
    pub freshness: Vec<Staleness>,
    /// The last restore of the store, if owners may not have had time to write again.
    pub restore: Option<Notice>,
    /// What it makes of versions that are rolled out.
    pub verdicts: Vec<rollout_counts::VersionVerdict>,
    /// Contents that it holds back.
    pub held: Vec<poison::QuarantinedContent>,
}

impl Update {
    /// How current a kind is, if the reader has read it.
    pub fn staleness_of(&self, kind: Kind) -> Option<&Staleness> {
        self.freshness.iter().find(|entry| entry.kind == kind)
    }

    /// Returns the newest position of the store at which any kind was read.
    pub fn position(&self) -> Position {
        self.freshness.iter().map(|entry| entry.position).max().unwrap_or_default()
    }
}

/// What a VM knows of the store, apart from its objects.
#[derive(Clone, Debug)]
pub struct Status {
    /// Who read it.
    pub origin: Origin,
    /// How the store does.
    pub store: Reachability,
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
    cursor: Cursor,
    objects: BTreeMap<(Kind, String), Stored>,
    changes: VecDeque<ChangeRecord>,
    freshness: BTreeMap<Kind, Freshness>,
    /// Changes as they were packed for followers at a cursor, none for those that get everything, until the next
    /// change: fifty that ask at the same time lack the same.
    packed: RefCell<HashMap<Option<u64>, Packed>>,
}

struct Stored {
    position: Position,
    text: String,
}

/// That an object changed, or went.
struct ChangeRecord {
    kind: Kind,
    name: String,
    lapsed: bool,
}

impl Feed {
    /// The feed of a process with this epoch; nothing is known yet.
    pub fn new(epoch: u64) -> Feed {
        Feed { cursor: Cursor { epoch, sequence: 0 }, ..Feed::default() }
    }

    /// Whether all kinds are known.
    pub fn is_complete(&self) -> bool {
        Kind::ALL.iter().all(|kind| self.freshness.contains_key(kind))
    }

    /// How current this kind is, if it is known.
    pub fn freshness(&self, kind: Kind) -> Option<Freshness> {
        self.freshness.get(&kind).copied()
    }

    /// A read of a kind that was sent at `sent` was answered, and what it brought was taken.
    pub fn record_read(&mut self, kind: Kind, position: Position, sent: Moment) {
        let known = self.freshness.entry(kind).or_insert(Freshness { position, sent });
        known.position = known.position.max(position);
        known.sent = known.sent.max(sent);
    }

    /// Replaces an object. Which of two states is the newer is for the caller to say: kinds differ in it.
    pub fn upsert(&mut self, kind: Kind, object: &Object) {
        let (name, position) = (object.metadata.name.clone(), object.metadata.position);
        let known = self.objects.get(&(kind, name.clone()));
        if known.is_some_and(|known| known.position == position) {
            return;
        }
        let text = object.to_json();
        self.objects.insert((kind, name.clone()), Stored { position, text });
        self.push_change(ChangeRecord { kind, name, lapsed: false });
    }

    /// An object is gone, or lapsed.
    pub fn remove(&mut self, kind: Kind, name: &str, lapsed: bool) {
        if self.objects.remove(&(kind, name.to_owned())).is_some() {
            self.push_change(ChangeRecord { kind, name: name.to_owned(), lapsed });
        }
    }

    /// The objects of a kind.
    pub fn objects(&self, kind: Kind) -> impl Iterator<Item = Object> {
        let of_kind = self.objects.iter().filter(move |((of, _), _)| *of == kind);
        of_kind.filter_map(|(_, kept)| Object::from_json(&kept.text).ok())
    }

    fn push_change(&mut self, change: ChangeRecord) {
        self.cursor.sequence += 1;
        self.packed.get_mut().clear();
        self.changes.push_back(change);
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
    }

    /// What a follower at `cursor` lacks.
    pub fn since(&self, cursor: Cursor, status: Status, now: Moment) -> Update {
        let behind = self.cursor.sequence.checked_sub(cursor.sequence).filter(|behind| {
            cursor.epoch == self.cursor.epoch && *behind <= self.changes.len() as u64
        });
        Update {
            origin: status.origin,
            store: status.store,
            cursor: self.cursor,
            is_full: behind.is_none(),
            changes: self.packed(behind),
            proof: status.proof,
            restore: status.restore,
            freshness: self.staleness(now),
            verdicts: status.verdicts,
            held: status.held,
        }
    }

    /// The last changes, or all objects, as they are sent.
    fn packed(&self, behind: Option<u64>) -> Packed {
        let mut packed = self.packed.borrow_mut();
        let made = packed.entry(behind).or_insert_with(|| {
            let changes = behind
                .map_or_else(|| self.all_objects(), |behind| self.latest_changes(behind as usize));
            Packed::new(&changes)
        });
        made.clone()
    }

    /// The objects of the last changes, each once and as it stands.
    fn latest_changes(&self, behind: usize) -> Vec<Change> {
        let mut seen = HashSet::new();
        let newest_first = self.changes.iter().rev().take(behind);
        let once = newest_first.filter(|changed| seen.insert((changed.kind, &changed.name)));
        let mut changes: Vec<Change> = once.map(|changed| self.to_change(changed)).collect();
        changes.reverse();
        changes
    }

    fn to_change(&self, changed: &ChangeRecord) -> Change {
        let ChangeRecord { kind, name, lapsed } = changed;
        let kept = self.objects.get(&(*kind, name.clone()));
        let object = kept.map(|kept| kept.text.clone());
        Change { kind: *kind, name: name.clone(), object, lapsed: *lapsed }
    }

    fn staleness(&self, now: Moment) -> Vec<Staleness> {
        let staleness = |(kind, freshness): (&Kind, &Freshness)| Staleness {
            kind: *kind,
            position: freshness.position,
            age: now.since(freshness.sent),
        };
        self.freshness.iter().map(staleness).collect()
    }

    fn all_objects(&self) -> Vec<Change> {
        let change = |((kind, name), kept): (&(Kind, String), &Stored)| Change {
            kind: *kind,
            name: name.clone(),
            object: Some(kept.text.clone()),
            lapsed: false,
        };
        self.objects.iter().map(change).collect()
    }
}
