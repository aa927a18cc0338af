//! How new a VM's knowledge of each object is, so that no older word takes the place of a newer one, whoever says
//! it: the store, by a list or a watch, or a reader, which may have been cut off for a while.

use std::collections::{HashMap, HashSet};

use super::kind::Kind;
use crate::unit::{Era, Position};

/// What is known of an object that is there.
#[derive(Clone, Copy, Debug)]
struct Entry {
    /// Position of the store at which it was so.
    as_of: Position,
    /// Position of the object's last change.
    changed: Position,
}

/// The objects that a VM knows.
#[derive(Default)]
pub struct Positions {
    objects: HashMap<(Kind, String), Entry>,
    /// The newest position of the store at which objects of a kind were missing or gone: one that is not known
    /// was not there then.
    gone_as_of: HashMap<Kind, Position>,
}

impl Positions {
    /// Takes an object whose last change was at `changed`, as it stood at the store's position `as_of`. Returns true if
    /// that is as new as what is known.
    pub fn record(&mut self, kind: Kind, name: &str, changed: Position, as_of: Position) -> bool {
        let key = (kind, name.to_owned());
        let is_newest = match self.objects.get(&key) {
            Some(known) => as_of >= known.as_of && changed >= known.changed,
            None => as_of >= self.gone_as_of(kind),
        };
        if is_newest {
            self.objects.insert(key, Entry { as_of, changed });
        }
        is_newest
    }

    /// Takes that an object was gone at the store's position `as_of`. Returns true if that is as new as what is known.
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

    /// Takes that a list of the store's position `as_of` names just `listed`. The objects that are known and were gone
    /// by then; each is still to be removed.
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

    /// Returns true if an answer of this era named an object.
    pub fn was_seen_in(&self, kind: Kind, name: &str, era: Era) -> bool {
        let known = self.objects.get(&(kind, name.to_owned()));
        known.is_some_and(|known| known.as_of.era == era)
    }

    /// Returns the objects of a kind that no answer of this era named.
    pub fn last_seen_before(&self, kind: Kind, era: Era) -> Vec<String> {
        let of_kind = self.objects.iter().filter(|((of, _), _)| *of == kind);
        let earlier = of_kind.filter(|(_, known)| known.as_of.era < era);
        earlier.map(|((_, name), _)| name.clone()).collect()
    }

    fn gone_as_of(&self, kind: Kind) -> Position {
        self.gone_as_of.get(&kind).copied().unwrap_or_default()
    }

    fn record_gone(&mut self, kind: Kind, as_of: Position) {
        let known = self.gone_as_of.entry(kind).or_insert(as_of);
        *known = as_of.max(*known);
    }
}
