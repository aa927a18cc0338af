//! Objects and change log of the store stand-in.

use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use serde_json::{Value, json};

use super::{Calls, Rates, Switches, UsageReport};
use crate::history::Event;
use crate::unit::{Era, Revision, Target, Workspace};

/// Kind and name of the root object of the configuration, whose changes are recorded in the
/// history.
pub const ROOT: (&str, &str) = ("config", "root");

/// Prefix of the names of configuration pieces, the objects that hold a part of the declarations.
const PIECE_PREFIX: &str = "piece~";

/// Length of the change log; watches from before it are answered 410.
const MAX_CHANGES: usize = 20_000;

/// One object of the store.
#[derive(Clone, Debug)]
pub struct Object {
    pub revision: u64,
    pub created: u64,
    pub finalizers: Value,
    pub spec: Value,
    pub status: Value,
}

impl Object {
    /// Returns the object as the API shows it.
    pub fn to_json(&self, name: &str) -> Value {
        let metadata = json!({
            "name": name,
            "revision": self.revision,
            "created": self.created,
            "finalizers": self.finalizers,
            "deletion_pending": false,
        });
        json!({"metadata": metadata, "spec": self.spec, "status": self.status})
    }
}

/// An entry of the change log, which watches read.
#[derive(Clone)]
pub struct Change {
    pub revision: u64,
    pub kind: String,
    pub object: Value,
    pub is_deletion: bool,
}

/// Token bucket that limits calls per second; its burst is one second of calls.
pub struct Bucket {
    pub rate: f64,
    pub level: f64,
    pub at: Instant,
}

impl Bucket {
    /// Consumes a token; returns false if there is none.
    pub fn try_take(&mut self, now: Instant) -> bool {
        let gained = now.duration_since(self.at).as_secs_f64() * self.rate;
        self.level = (self.level + gained).min(self.rate);
        self.at = now;
        if self.level < 1.0 {
            return false;
        }
        self.level -= 1.0;
        true
    }
}

/// A backup of the objects, from which the store can be restored.
#[derive(Clone)]
pub struct Snapshot {
    objects: BTreeMap<(String, String), Object>,
    changes: VecDeque<Change>,
    compacted_revision: u64,
    clock: u64,
}

/// Objects, change log, injected faults and call counters.
pub struct State {
    pub objects: BTreeMap<(String, String), Object>,
    /// Change log, oldest first, and the last revision that was dropped from it.
    pub changes: VecDeque<Change>,
    pub compacted_revision: u64,
    /// Revision of the last change.
    pub clock: u64,
    /// Number that rises each time the store is restored from a backup, because revisions count
    /// from that of the backup again.
    pub era: Era,
    pub switches: Switches,
    pub calls: Calls,
    /// Usage reports, in the order of their arrival.
    pub usage_reports: Vec<UsageReport>,
    pub writes: Bucket,
    pub reads: Bucket,
}

impl State {
    /// Returns an empty store.
    pub fn new(rates: Rates) -> State {
        let bucket = |rate| Bucket { rate, level: rate, at: Instant::now() };
        State {
            objects: BTreeMap::new(),
            changes: VecDeque::new(),
            compacted_revision: 0,
            clock: 0,
            era: Era::default(),
            switches: Switches::default(),
            calls: Calls::default(),
            usage_reports: Vec::new(),
            writes: bucket(rates.writes),
            reads: bucket(rates.reads),
        }
    }

    /// Returns a backup of the current objects and change log.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            objects: self.objects.clone(),
            changes: self.changes.clone(),
            compacted_revision: self.compacted_revision,
            clock: self.clock,
        }
    }

    /// Restores a backup and increments the era, by which clients notice the restore.
    pub fn restore(&mut self, snapshot: Snapshot) {
        let Snapshot { objects, changes, compacted_revision, clock } = snapshot;
        (self.objects, self.changes) = (objects, changes);
        (self.compacted_revision, self.clock) = (compacted_revision, clock);
        self.era.0 += 1;
    }

    pub fn names(&self, kind: &str) -> Vec<String> {
        let of_kind = self.objects.keys().filter(|(of, _)| of == kind);
        of_kind.map(|(_, name)| name.clone()).collect()
    }

    pub fn get(&self, kind: &str, name: &str) -> Option<&Object> {
        self.objects.get(&(kind.to_owned(), name.to_owned()))
    }

    /// Changes or creates an object and returns its revision, which stays if nothing changed.
    pub fn write(&mut self, kind: &str, name: &str, change: impl FnOnce(&mut Object)) -> u64 {
        let key = (kind.to_owned(), name.to_owned());
        let next = self.clock + 1;
        let old = self.objects.get(&key).cloned();
        let mut object = old.clone().unwrap_or(Object {
            revision: next,
            created: next,
            finalizers: json!([]),
            spec: Value::Null,
            status: Value::Null,
        });
        change(&mut object);
        let same = |old: &Object| old.spec == object.spec && old.status == object.status;
        if let Some(old) = old.filter(same) {
            return old.revision;
        }
        object.revision = next;
        self.clock = next;
        self.record_change(kind, object.to_json(name), false);
        self.objects.insert(key, object);
        next
    }

    pub fn delete(&mut self, kind: &str, name: &str) {
        if let Some(object) = self.objects.remove(&(kind.to_owned(), name.to_owned())) {
            self.clock += 1;
            self.record_change(kind, object.to_json(name), true);
        }
    }

    /// Appends to the change log and drops its oldest entry if it is full.
    pub fn record_change(&mut self, kind: &str, object: Value, is_deletion: bool) {
        let revision = self.clock;
        self.changes.push_back(Change { revision, kind: kind.to_owned(), object, is_deletion });
        if self.changes.len() > MAX_CHANGES
            && let Some(oldest) = self.changes.pop_front()
        {
            self.compacted_revision = oldest.revision;
        }
    }

    pub fn events(&self, kind: &str, after: u64) -> Vec<Value> {
        let later = self.changes.iter().filter(|one| one.revision > after && one.kind == kind);
        later.map(|one| json!({"object": one.object, "deleted": one.is_deletion})).collect()
    }
}

/// Returns the event of a new root: which versions each workspace may use.
///
/// The configuration is stored as pieces (parts of the declarations, named by their digest) and a
/// root object that lists the digests; the versions are read from the pieces.
pub fn confirmed(state: &State) -> Event {
    let value = |name: &str| {
        let object = state.get(ROOT.0, name);
        object.map(|object| object.spec.clone()).unwrap_or_default()
    };
    let root = value(ROOT.1);
    let mut allowed: BTreeMap<Workspace, Vec<Target>> = BTreeMap::new();
    for (name, digest) in root["pieces"].as_object().into_iter().flatten() {
        let Some(name) = name.strip_prefix("workspace/") else {
            continue;
        };
        let body = value(&format!("{PIECE_PREFIX}{}", digest.as_str().unwrap_or_default()));
        if let Ok(name) = name.parse() {
            let versions = serde_json::from_value(body["versions"].clone());
            allowed.insert(name, versions.unwrap_or_default());
        }
    }
    let withdrawn: Vec<Target> =
        serde_json::from_value(root["withdrawn"].clone()).unwrap_or_default();
    for list in allowed.values_mut() {
        list.retain(|target| !withdrawn.contains(target));
    }
    let revision = Revision(root["revision"].as_u64().unwrap_or_default());
    Event::Confirmed { revision, allowed, withdrawn }
}
