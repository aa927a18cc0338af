//! Positions of the objects that a VM knows, so that an older state never replaces a newer one.
//! States come from the store, by a list or a watch, and from another VM, which may have been
//! partitioned for a while.

use std::collections::{HashMap, HashSet};

use super::kind::Kind;
use crate::unit::{Era, Position};

/// Positions of an object that exists.
#[derive(Clone, Copy, Debug)]
struct Entry {
    /// Newest position of the store at which the object was seen.
    as_of: Position,
    /// Position of the object's last change.
    changed: Position,
}

/// Positions of all objects that a VM knows.
#[derive(Default)]
pub struct Positions {
    objects: HashMap<(Kind, String), Entry>,
    /// The newest position of the store at which objects of a kind were missing or removed; an
    /// object that is not in `objects` did not exist at that position.
    gone_as_of: HashMap<Kind, Position>,
}

impl Positions {
    /// Records an object that last changed at `changed`, as known at the store's position `as_of`.
    /// Returns false, and records nothing, if a newer state is known.
    ///
    /// All objects of a restored store count as changed in its new era. An object of an earlier era
    /// is therefore missing from the store: a VM that knew it keeps it until its owner has had time
    /// to write it again, and sends it to others meanwhile.
    pub fn record(&mut self, kind: Kind, name: &str, changed: Position, as_of: Position) -> bool {
        let key = (kind, name.to_owned());
        let known = self.objects.get(&key);
        let is_newest = match known {
            Some(known) => as_of >= known.as_of && changed >= known.changed,
            None => as_of >= self.gone_as_of(kind),
        };
        if is_newest {
            let is_missing = changed.era < as_of.era;
            let last_seen = known.map_or(changed, |known| known.as_of);
            let as_of = if is_missing { last_seen } else { as_of };
            self.objects.insert(key, Entry { as_of, changed });
        }
        is_newest
    }

    /// Records that an object did not exist at the store's position `as_of`. Returns false, and
    /// records nothing, if a newer state is known.
    pub fn record_removal(&mut self, kind: Kind, name: &str, as_of: Position) -> bool {
        let key = (kind, name.to_owned());
        let newer = |known: &Entry| as_of < known.as_of.max(known.changed);
        if self.objects.get(&key).is_some_and(newer) {
            return false;
        }
        self.objects.remove(&key);
        self.record_gone(kind, as_of);
        true
    }

    /// Records that a list of the store's position `as_of` had exactly the objects `listed`.
    /// Returns the known objects that the list lacks; the caller removes each with
    /// [`Positions::record_removal`].
    pub fn missing_from_list(
        &mut self,
        kind: Kind,
        listed: &HashSet<&str>,
        as_of: Position,
    ) -> Vec<String> {
        self.record_gone(kind, as_of);
        let of_kind = self.objects.iter().filter(|((of, _), _)| *of == kind);
        let older = of_kind.filter(|(_, known)| known.as_of.max(known.changed) <= as_of);
        let names = older.map(|((_, name), _)| name);
        names.filter(|name| !listed.contains(name.as_str())).cloned().collect()
    }

    /// Returns the objects of a kind that were last seen before this era of the store.
    pub fn last_seen_before(&self, kind: Kind, era: Era) -> Vec<String> {
        let of_kind = self.objects.iter().filter(|((of, _), _)| *of == kind);
        let earlier = of_kind.filter(|(_, known)| known.as_of.era < era);
        earlier.map(|((_, name), _)| name.clone()).collect()
    }

    fn gone_as_of(&self, kind: Kind) -> Position {
        self.gone_as_of.get(&kind).copied().unwrap_or_default()
    }

    /// Records that objects of a kind were missing or removed at the store's position `as_of`.
    fn record_gone(&mut self, kind: Kind, as_of: Position) {
        let known = self.gone_as_of.entry(kind).or_insert(as_of);
        *known = as_of.max(*known);
    }
}
