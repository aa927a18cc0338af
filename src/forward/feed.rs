//! Change feed of the platform's objects that a VM serves to its followers.
//!
//! A follower polls from its cursor. If the cursor belongs to another process, or the changes since
//! then are no longer kept, the follower gets all objects. The feed serves what this VM read from
//! the store as well as what it got from another VM, with the age since the read.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

use serde::{Deserialize, Serialize};

use super::kind::Kind;
use super::pack::{Change, Packed};
use super::restore::Notice;
use super::{poison, rollout_counts};
use crate::platform::object::Object;
use crate::unit::{Moment, Position, Revision, Span, Vm};

/// Minimum number of changes kept for followers, which poll a few times a second. Only the object's
/// name is kept for each change: a follower gets the object in its present state. As many changes
/// are kept as there are objects, if there are more of them, since a follower that lacks fewer
/// changes would otherwise get all objects.
const MIN_CHANGES: usize = 2000;

/// Position of a follower in the feed of another VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// Identifies the process that serves the feed; drawn at random at the start of the process.
    pub epoch: u64,
    /// Number of changes of that epoch that the follower has.
    pub sequence: u64,
}

/// How current a VM's state of a kind of objects is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Freshness {
    /// Position of the store that the state reflects.
    pub position: Position,
    /// When the read that returned the state was sent; later changes may be missing.
    pub read_sent_at: Moment,
}

/// Freshness of a kind as sent to a follower, with an age instead of a local time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Staleness {
    /// The kind of objects.
    pub kind: Kind,
    /// Position of the store that the state reflects.
    pub position: Position,
    /// Age of the state when the update is sent.
    pub age: Span,
}

/// State of the platform's store, as a VM reports it to its followers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reachability {
    /// The store answers.
    Up,
    /// The store has answered again for this long; entries may have expired in the outage before.
    Recovered(Span),
    /// The store does not answer.
    Down,
}

/// Proof that a configuration is the newest, as one VM sends it to another: a linearizable read of
/// the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proof {
    /// Age of the linearizable read when the update is sent.
    pub age: Span,
    /// Revision of the configuration; a VM that has an older one ignores the proof.
    pub configuration: Revision,
}

/// The VM that read an update from the store, and the number of VMs that relayed it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// The VM that read the store.
    pub reader: Vm,
    /// VMs between the reader and the recipient.
    pub hops: u8,
}

/// Answer to a follower's poll: what changed since its cursor, and the state of the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// The VM that read the state from the store, and the number of VMs that relayed it.
    pub origin: Origin,
    /// State of the store, as the sender knows it.
    pub store: Reachability,
    /// The follower's cursor once it has applied the changes.
    pub cursor: Cursor,
    /// True if `changes` has all objects that exist, rather than only those that changed.
    pub is_full: bool,
    /// The changes, in the order in which they are applied.
    pub changes: Packed,
    /// Proof that a configuration is the newest, if the sender has one.
    pub proof: Option<Proof>,
    /// How current each kind is; kinds that were never read are missing.
    pub freshness: Vec<Staleness>,
    /// The last restore of the store, while owners may not have had time to write their objects
    /// again.
    pub restore: Option<Notice>,
    /// The sender's verdicts on versions that are rolled out.
    pub verdicts: Vec<rollout_counts::VersionVerdict>,
    /// Request contents that the sender has quarantined, since servers crashed under them.
    pub quarantined: Vec<poison::QuarantinedContent>,
}

impl Update {
    /// Returns how current a kind is, or none if the sender does not know it.
    pub fn staleness_of(&self, kind: Kind) -> Option<&Staleness> {
        self.freshness.iter().find(|entry| entry.kind == kind)
    }

    /// Returns the newest position of the store at which any kind was read.
    pub fn position(&self) -> Position {
        self.freshness.iter().map(|entry| entry.position).max().unwrap_or_default()
    }
}

/// The part of an [`Update`] that the feed itself does not know.
#[derive(Clone, Debug)]
pub struct Status {
    /// The VM that read the state from the store, and the number of VMs that relayed it.
    pub origin: Origin,
    /// State of the store, as the sender knows it.
    pub store: Reachability,
    /// Proof that a configuration is the newest, if the sender has one.
    pub proof: Option<Proof>,
    /// The last restore of the store, while owners may not have had time to write their objects
    /// again.
    pub restore: Option<Notice>,
    /// The sender's verdicts on versions that are rolled out.
    pub verdicts: Vec<rollout_counts::VersionVerdict>,
    /// Request contents that the sender has quarantined, since servers crashed under them.
    pub quarantined: Vec<poison::QuarantinedContent>,
}

/// The objects that a VM knows, and the order of their last changes.
#[derive(Default)]
pub struct Feed {
    cursor: Cursor,
    objects: BTreeMap<(Kind, String), Stored>,
    /// The latest changes, oldest first; see [`MIN_CHANGES`].
    changes: VecDeque<ChangeRecord>,
    freshness: BTreeMap<Kind, Freshness>,
    /// Cache of packed changes by the number of latest changes they contain, or `None` for all
    /// objects. Cleared at each change. Many followers, say fifty, poll at the same time and lack
    /// the same changes.
    packed_cache: RefCell<HashMap<Option<u64>, Packed>>,
}

/// An object in JSON, with the position of its last change.
struct Stored {
    position: Position,
    text: String,
}

/// A change or the removal of an object.
struct ChangeRecord {
    kind: Kind,
    name: String,
    /// True if the object was removed because its entry was missing during or just after an outage
    /// of the store, in which it may only have expired.
    lapsed: bool,
}

impl Feed {
    /// Creates an empty feed for a process with this epoch.
    pub fn new(epoch: u64) -> Feed {
        Feed { cursor: Cursor { epoch, sequence: 0 }, ..Feed::default() }
    }

    /// Returns how current a kind is, or none if it was never read.
    pub fn freshness(&self, kind: Kind) -> Option<Freshness> {
        self.freshness.get(&kind).copied()
    }

    /// Records that the store answered a read of a kind that was sent at `sent`, and that the
    /// objects read were applied.
    pub fn record_read(&mut self, kind: Kind, position: Position, sent: Moment) {
        let known =
            self.freshness.entry(kind).or_insert(Freshness { position, read_sent_at: sent });
        known.position = known.position.max(position);
        known.read_sent_at = known.read_sent_at.max(sent);
    }

    /// Inserts or replaces an object. The caller makes sure that the state is the newest, as each
    /// kind orders its states differently.
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

    /// Removes an object. `lapsed` tells followers that its entry may only have expired while the
    /// store was unavailable.
    pub fn remove(&mut self, kind: Kind, name: &str, lapsed: bool) {
        if self.objects.remove(&(kind, name.to_owned())).is_some() {
            self.push_change(ChangeRecord { kind, name: name.to_owned(), lapsed });
        }
    }

    /// Returns an object in its newest known state, or none if it does not exist.
    pub fn get(&self, kind: Kind, name: &str) -> Option<Object> {
        let stored = self.objects.get(&(kind, name.to_owned()))?;
        Object::from_json(&stored.text).ok()
    }

    /// Returns the objects of a kind, in order of their names.
    pub fn objects(&self, kind: Kind) -> impl Iterator<Item = Object> {
        let of_kind = self.objects.iter().filter(move |((of, _), _)| *of == kind);
        of_kind.filter_map(|(_, kept)| Object::from_json(&kept.text).ok())
    }

    /// Appends a change, and drops the oldest ones if there are too many.
    fn push_change(&mut self, change: ChangeRecord) {
        self.cursor.sequence += 1;
        self.packed_cache.get_mut().clear();
        self.changes.push_back(change);
        while self.changes.len() > MIN_CHANGES.max(self.objects.len()) {
            self.changes.pop_front();
        }
    }

    /// Returns the update for a follower at `cursor`. It has all objects if the cursor belongs to
    /// another epoch, or if some changes since then are no longer kept.
    pub fn update_since(&self, cursor: Cursor, status: Status, now: Moment) -> Update {
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
            quarantined: status.quarantined,
        }
    }

    /// Returns the last `behind` changes packed for sending, or all objects if `behind` is `None`.
    fn packed(&self, behind: Option<u64>) -> Packed {
        let mut packed = self.packed_cache.borrow_mut();
        let made = packed.entry(behind).or_insert_with(|| {
            let changes = behind
                .map_or_else(|| self.all_objects(), |behind| self.latest_changes(behind as usize));
            Packed::new(&changes)
        });
        made.clone()
    }

    /// Returns the objects of the last `behind` changes, each once and in its present state.
    fn latest_changes(&self, behind: usize) -> Vec<Change> {
        let mut seen = HashSet::new();
        let newest_first = self.changes.iter().rev().take(behind);
        let once = newest_first.filter(|changed| seen.insert((changed.kind, &changed.name)));
        let mut changes: Vec<Change> = once.map(|changed| self.to_change(changed)).collect();
        changes.reverse();
        changes
    }

    /// Returns a change with the present state of its object.
    fn to_change(&self, changed: &ChangeRecord) -> Change {
        let ChangeRecord { kind, name, lapsed } = changed;
        let kept = self.objects.get(&(*kind, name.clone()));
        let object = kept.map(|kept| kept.text.clone());
        Change { kind: *kind, name: name.clone(), object, lapsed: *lapsed }
    }

    /// Returns how current each kind is, with ages as of `now`.
    fn staleness(&self, now: Moment) -> Vec<Staleness> {
        let staleness = |(kind, freshness): (&Kind, &Freshness)| Staleness {
            kind: *kind,
            position: freshness.position,
            age: now.since(freshness.read_sent_at),
        };
        self.freshness.iter().map(staleness).collect()
    }

    /// Returns all objects as changes.
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
