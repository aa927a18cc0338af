//! What a VM knows of contents under which servers ended, and of those that ran well.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::unit::{Digest, Moment, Span, hash};

/// Weight of an end.
const CRASHED: u32 = 5;

/// Weight of ends from which a content is held back. The users grant three servers, and three retries after them.
const HELD_FROM: u32 = 3 * CRASHED;

/// Weight of an end under a run that had given events for [`RAN_FOR`] before: five such ends hold a content back, two after the
/// third, which the users grant. Streams that go on elsewhere meet the next crash of the same content: of twelve servers each
/// has one chance in a hundred to meet three in a row, so that one stream of a hundred would be held back for another's fault.
const RAN_WELL: u32 = 3;

/// A run that has given events for so long is not likely to be why its server crashes just then.
pub const RAN_FOR: Span = Span::secs(1);

/// A content that ran to a good end is not suspected for ends before this is over. A prompt that many send is open at
/// every server that crashes; it also runs well many times a second.
const SOUND_FOR: Span = Span::secs(30);

/// What is believed of a content ends by itself when nothing has ended under it for so long.
const BELIEVED_FOR: Span = Span::secs(600);

/// Contents that are remembered; 64 requests are open at a server that crashes. Of more, those with the least weight go.
const MOST: usize = 20_000;

/// Contents of which it is remembered that they ran well. They are no suspects, and push none out.
const MOST_SOUND: usize = 4_000;

/// One life of a backend server, by its id and its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Life(u64);

impl Life {
    /// The life of the server `id` that began at `born`, if it says so.
    pub fn new(id: &str, born: Option<u64>) -> Life {
        Life(hash::stable(&[id, &born.map_or_else(String::new, |born| born.to_string())]))
    }
}

/// A request that was open at a life of a server when that ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Broken {
    /// What it asked.
    pub content: Digest,
    /// Whether it had given events there for [`RAN_FOR`].
    pub ran: bool,
}

impl Broken {
    fn weight(self) -> u32 {
        if self.ran { RAN_WELL } else { CRASHED }
    }
}

/// A life that ended under a content.
#[derive(Clone, Copy, Debug)]
struct End {
    life: Life,
    at: Moment,
    weight: u32,
}

/// That a content is held back, as one VM tells another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    /// The content.
    pub content: Digest,
    /// Lives that ended under it.
    pub ends: u32,
    /// How long ago the last of them did.
    pub age: Span,
}

/// That a content is held back, as this VM knows it.
#[derive(Clone, Copy, Debug)]
struct Held {
    ends: u32,
    last: Moment,
}

/// What is known of a content under which a server ended.
#[derive(Clone, Debug, Default)]
struct Suspect {
    ends: Vec<End>,
    /// What other VMs found.
    told: Option<Held>,
}

impl Suspect {
    fn weight(&self) -> u32 {
        self.ends.iter().map(|end| end.weight).sum()
    }

    fn held(&self) -> Option<Held> {
        let found = self.ends.iter().map(|end| end.at).max().filter(|_| self.weight() >= HELD_FROM);
        let found = found.map(|last| Held { ends: self.ends.len() as u32, last });
        match (found, self.told) {
            (Some(found), Some(told)) => {
                Some(Held { ends: found.ends.max(told.ends), last: found.last.max(told.last) })
            }
            (found, told) => found.or(told),
        }
    }

    /// Drops what is of `before` or earlier. Whether anything is left.
    fn forget(&mut self, before: Moment) -> bool {
        self.ends.retain(|end| end.at > before);
        self.told = self.told.filter(|told| told.last > before);
        !self.ends.is_empty() || self.told.is_some()
    }
}

/// What came of a word about a content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing that was not known.
    None,
    /// It is suspected, or of more.
    Suspected,
    /// It is held back from now on.
    Held,
    /// It was suspected, or held back, and is no longer.
    Cleared {
        /// Whether it was held back.
        was_held: bool,
    },
}

/// Contents that ran to a good end of late, and when. The older half is dropped when the younger one is full or old.
#[derive(Clone, Debug, Default)]
struct Sound {
    younger: HashMap<Digest, Moment>,
    older: HashMap<Digest, Moment>,
    since: Moment,
}

impl Sound {
    fn note(&mut self, content: Digest, at: Moment, now: Moment) {
        if self.younger.len() >= MOST_SOUND / 2 || now.since(self.since) >= SOUND_FOR {
            self.older = std::mem::take(&mut self.younger);
            self.since = now;
        }
        let known = self.younger.entry(content).or_insert(at);
        *known = at.max(*known);
    }

    fn last(&self, content: &Digest) -> Option<Moment> {
        self.younger.get(content).max(self.older.get(content)).copied()
    }
}

/// What a VM knows of contents under which servers ended, and of those that ran well.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    suspects: HashMap<Digest, Suspect>,
    sound: Sound,
}

impl Evidence {
    /// How many lives ended under a content, if it is held back.
    pub fn held(&self, content: &Digest, now: Moment) -> Option<u32> {
        let held = self.suspects.get(content)?.held()?;
        (now.since(held.last) < BELIEVED_FOR).then_some(held.ends)
    }

    /// A life of a server ended at the moment `at` under a request.
    pub fn ended(&mut self, broken: Broken, life: Life, at: Moment, now: Moment) -> Change {
        let Broken { content, .. } = broken;
        if self.is_sound(&content, at) {
            return Change::None;
        }
        let was_held = self.held(&content, now).is_some();
        self.make_room(now);
        let suspect = self.suspects.entry(content).or_default();
        suspect.forget(oldest(now));
        let weight = broken.weight();
        match suspect.ends.iter_mut().find(|end| end.life == life) {
            Some(known) if known.weight >= weight => return Change::None,
            Some(known) => known.weight = weight,
            None => suspect.ends.push(End { life, at, weight }),
        }
        match self.held(&content, now) {
            Some(_) if !was_held => Change::Held,
            _ => Change::Suspected,
        }
    }

    /// Another VM holds a content back, for an end at the moment `last`.
    pub fn told(&mut self, content: Digest, ends: u32, last: Moment, now: Moment) -> Change {
        if self.is_sound(&content, last) || now.since(last) >= BELIEVED_FOR {
            return Change::None;
        }
        let was_held = self.held(&content, now).is_some();
        self.make_room(now);
        let suspect = self.suspects.entry(content).or_default();
        let known = suspect.told.map_or(Held { ends, last }, |known| Held {
            ends: known.ends.max(ends),
            last: known.last.max(last),
        });
        suspect.told = Some(known);
        if was_held { Change::None } else { Change::Held }
    }

    /// A request of a content ran to a good end at the moment `at`, here or at another VM.
    pub fn ran_well(&mut self, content: Digest, at: Moment, now: Moment) -> Change {
        self.sound.note(content, at, now);
        let Some(suspect) = self.suspects.get_mut(&content) else { return Change::None };
        let was_held = suspect.held().is_some();
        if suspect.forget(at + SOUND_FOR) {
            return Change::None;
        }
        self.suspects.remove(&content);
        Change::Cleared { was_held }
    }

    /// How long ago a content ran to a good end, if that still speaks for it.
    pub fn sound_age(&self, content: &Digest, now: Moment) -> Option<Span> {
        let age = now.since(self.sound.last(content)?);
        (age < SOUND_FOR).then_some(age)
    }

    /// Whether an end at the moment `at` says nothing against a content.
    fn is_sound(&self, content: &Digest, at: Moment) -> bool {
        self.sound.last(content).is_some_and(|sound| at <= sound + SOUND_FOR)
    }

    /// Contents that are held back, as they are told: the newest first, no more than `most`.
    pub fn all_held(&self, most: usize, now: Moment) -> Vec<Told> {
        let held = |(content, suspect): (&Digest, &Suspect)| {
            let Held { ends, last } = suspect.held()?;
            let age = now.since(last);
            (age < BELIEVED_FOR).then_some(Told { content: *content, ends, age })
        };
        let mut all: Vec<Told> = self.suspects.iter().filter_map(held).collect();
        all.sort_by_key(|told| (told.age, told.content));
        all.truncate(most);
        all
    }

    /// How many contents are suspected, or held back.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether nothing is suspected.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Drops what is too old.
    pub fn expire(&mut self, now: Moment) {
        self.suspects.retain(|_, suspect| suspect.forget(oldest(now)));
    }

    /// Makes room for one more: of too many, the half with the least weight goes.
    fn make_room(&mut self, now: Moment) {
        if self.suspects.len() >= MOST {
            self.expire(now);
        }
        if self.suspects.len() < MOST {
            return;
        }
        let rank = |suspect: &Suspect| {
            let last = suspect.ends.iter().map(|end| end.at).max();
            (suspect.held().is_some(), suspect.weight(), last)
        };
        let mut ranks: Vec<_> = self.suspects.values().map(rank).collect();
        let middle = ranks.len() / 2;
        let least = *ranks.select_nth_unstable(middle).1;
        self.suspects.retain(|_, suspect| rank(suspect) > least);
    }
}

/// What ended at this moment or before is believed no longer.
fn oldest(now: Moment) -> Moment {
    Moment(now.0.saturating_sub(BELIEVED_FOR.0))
}
