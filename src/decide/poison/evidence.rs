//! What a VM knows of contents under which servers ended, and of those that ran well.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::unit::{Digest, Moment, Span, hash};

/// Weight of an end.
const CRASH_WEIGHT: u32 = 5;

/// Weight of ends from which a content is held back. The users grant three servers, and three retries after them.
const QUARANTINE_WEIGHT: u32 = 3 * CRASH_WEIGHT;

/// Weight of an end under a run that had given events for [`STABLE_AFTER`] before: five such ends hold a content back, two after the
/// third, which the users grant. Streams that go on elsewhere meet the next crash of the same content: of twelve servers each
/// has one chance in a hundred to meet three in a row, so that one stream of a hundred would be held back for another's fault.
const STABLE_CRASH_WEIGHT: u32 = 3;

/// A run that has given events for so long is not likely to be why its server crashes just then.
pub const STABLE_AFTER: Span = Span::secs(1);

/// A content that ran to a good end is not suspected for ends before this is over. A prompt that many send is open at
/// every server that crashes; it also runs well many times a second.
const SUCCESS_TTL: Span = Span::secs(30);

/// What is believed of a content ends by itself when nothing has ended under it for so long.
const SUSPICION_TTL: Span = Span::secs(600);

/// Contents that are remembered; 64 requests are open at a server that crashes. Of more, those with the least weight go.
const MAX_SUSPECTS: usize = 20_000;

/// Contents of which it is remembered that they ran well. They are no suspects, and push none out.
const MAX_SUCCESSES: usize = 4_000;

/// One life of a backend server, by its id and its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ServerIncarnation(u64);

impl ServerIncarnation {
    /// The life of the server `id` that began at `born`, if it says so.
    pub fn new(id: &str, born: Option<u64>) -> ServerIncarnation {
        ServerIncarnation(hash::stable(&[
            id,
            &born.map_or_else(String::new, |born| born.to_string()),
        ]))
    }
}

/// A request that was open at a life of a server when that ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenRequest {
    /// What it asked.
    pub content: Digest,
    /// Whether it had given events there for [`STABLE_AFTER`].
    pub was_stable: bool,
}

impl OpenRequest {
    fn weight(self) -> u32 {
        if self.was_stable { STABLE_CRASH_WEIGHT } else { CRASH_WEIGHT }
    }
}

/// A life that ended under a content.
#[derive(Clone, Copy, Debug)]
struct Crash {
    incarnation: ServerIncarnation,
    at: Moment,
    weight: u32,
}

/// That a content is held back, as one VM tells another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantinedContent {
    /// The content.
    pub content: Digest,
    /// Lives that ended under it.
    pub crashes: u32,
    /// How long ago the last of them did.
    pub age: Span,
}

/// That a content is held back, as this VM knows it.
#[derive(Clone, Copy, Debug)]
struct Quarantine {
    crashes: u32,
    last_crash: Moment,
}

/// What is known of a content under which a server ended.
#[derive(Clone, Debug, Default)]
struct Suspect {
    crashes: Vec<Crash>,
    /// What other VMs found.
    reported: Option<Quarantine>,
}

impl Suspect {
    fn weight(&self) -> u32 {
        self.crashes.iter().map(|crash| crash.weight).sum()
    }

    fn quarantine(&self) -> Option<Quarantine> {
        let found = self
            .crashes
            .iter()
            .map(|crash| crash.at)
            .max()
            .filter(|_| self.weight() >= QUARANTINE_WEIGHT);
        let found =
            found.map(|last_crash| Quarantine { crashes: self.crashes.len() as u32, last_crash });
        match (found, self.reported) {
            (Some(found), Some(reported)) => Some(Quarantine {
                crashes: found.crashes.max(reported.crashes),
                last_crash: found.last_crash.max(reported.last_crash),
            }),
            (found, reported) => found.or(reported),
        }
    }

    /// Drops what is of `before` or earlier. Whether anything is left.
    fn forget_until(&mut self, before: Moment) -> bool {
        self.crashes.retain(|crash| crash.at > before);
        self.reported = self.reported.filter(|reported| reported.last_crash > before);
        !self.crashes.is_empty() || self.reported.is_some()
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
    Quarantined,
    /// It was suspected, or held back, and is no longer.
    Cleared {
        /// Whether it was held back.
        was_quarantined: bool,
    },
}

/// Contents that ran to a good end of late, and when. The older half is dropped when the younger one is full or old.
#[derive(Clone, Debug, Default)]
struct Successes {
    younger: HashMap<Digest, Moment>,
    older: HashMap<Digest, Moment>,
    rotated_at: Moment,
}

impl Successes {
    fn record(&mut self, content: Digest, at: Moment, now: Moment) {
        if self.younger.len() >= MAX_SUCCESSES / 2 || now.since(self.rotated_at) >= SUCCESS_TTL {
            self.older = std::mem::take(&mut self.younger);
            self.rotated_at = now;
        }
        let known = self.younger.entry(content).or_insert(at);
        *known = at.max(*known);
    }

    fn last_success(&self, content: &Digest) -> Option<Moment> {
        self.younger.get(content).max(self.older.get(content)).copied()
    }
}

/// What a VM knows of contents under which servers ended, and of those that ran well.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    suspects: HashMap<Digest, Suspect>,
    successes: Successes,
}

impl Evidence {
    /// How many lives ended under a content, if it is held back.
    pub fn quarantine_crashes(&self, content: &Digest, now: Moment) -> Option<u32> {
        let quarantine = self.suspects.get(content)?.quarantine()?;
        (now.since(quarantine.last_crash) < SUSPICION_TTL).then_some(quarantine.crashes)
    }

    /// A life of a server ended at the moment `at` under a request.
    pub fn on_crash(
        &mut self,
        request: OpenRequest,
        incarnation: ServerIncarnation,
        at: Moment,
        now: Moment,
    ) -> Change {
        let OpenRequest { content, .. } = request;
        if self.has_recent_success(&content, at) {
            return Change::None;
        }
        let was_quarantined = self.quarantine_crashes(&content, now).is_some();
        self.evict_if_full(now);
        let suspect = self.suspects.entry(content).or_default();
        suspect.forget_until(expiry_cutoff(now));
        let weight = request.weight();
        match suspect.crashes.iter_mut().find(|crash| crash.incarnation == incarnation) {
            Some(known) if known.weight >= weight => return Change::None,
            Some(known) => known.weight = weight,
            None => suspect.crashes.push(Crash { incarnation, at, weight }),
        }
        match self.quarantine_crashes(&content, now) {
            Some(_) if !was_quarantined => Change::Quarantined,
            _ => Change::Suspected,
        }
    }

    /// Another VM holds a content back, for an end at the moment `last`.
    pub fn on_quarantine_report(
        &mut self,
        content: Digest,
        crashes: u32,
        last_crash: Moment,
        now: Moment,
    ) -> Change {
        if self.has_recent_success(&content, last_crash) || now.since(last_crash) >= SUSPICION_TTL {
            return Change::None;
        }
        let was_quarantined = self.quarantine_crashes(&content, now).is_some();
        self.evict_if_full(now);
        let suspect = self.suspects.entry(content).or_default();
        let known =
            suspect.reported.map_or(Quarantine { crashes, last_crash }, |known| Quarantine {
                crashes: known.crashes.max(crashes),
                last_crash: known.last_crash.max(last_crash),
            });
        suspect.reported = Some(known);
        if was_quarantined { Change::None } else { Change::Quarantined }
    }

    /// A request of a content ran to a good end at the moment `at`, here or at another VM.
    pub fn on_success(&mut self, content: Digest, at: Moment, now: Moment) -> Change {
        self.successes.record(content, at, now);
        let Some(suspect) = self.suspects.get_mut(&content) else { return Change::None };
        let was_quarantined = suspect.quarantine().is_some();
        if suspect.forget_until(at + SUCCESS_TTL) {
            return Change::None;
        }
        self.suspects.remove(&content);
        Change::Cleared { was_quarantined }
    }

    /// How long ago a content ran to a good end, if that still speaks for it.
    pub fn success_age(&self, content: &Digest, now: Moment) -> Option<Span> {
        let age = now.since(self.successes.last_success(content)?);
        (age < SUCCESS_TTL).then_some(age)
    }

    /// Whether an end at the moment `at` says nothing against a content.
    fn has_recent_success(&self, content: &Digest, at: Moment) -> bool {
        self.successes.last_success(content).is_some_and(|last| at <= last + SUCCESS_TTL)
    }

    /// Contents that are held back, as they are told: the newest first, no more than `most`.
    pub fn quarantined(&self, limit: usize, now: Moment) -> Vec<QuarantinedContent> {
        let quarantine = |(content, suspect): (&Digest, &Suspect)| {
            let Quarantine { crashes, last_crash } = suspect.quarantine()?;
            let age = now.since(last_crash);
            (age < SUSPICION_TTL).then_some(QuarantinedContent { content: *content, crashes, age })
        };
        let mut all: Vec<QuarantinedContent> =
            self.suspects.iter().filter_map(quarantine).collect();
        all.sort_by_key(|reported| (reported.age, reported.content));
        all.truncate(limit);
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
        self.suspects.retain(|_, suspect| suspect.forget_until(expiry_cutoff(now)));
    }

    /// Makes room for one more: of too many, the half with the least weight goes.
    fn evict_if_full(&mut self, now: Moment) {
        if self.suspects.len() >= MAX_SUSPECTS {
            self.expire(now);
        }
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        let rank = |suspect: &Suspect| {
            let last_crash = suspect.crashes.iter().map(|crash| crash.at).max();
            (suspect.quarantine().is_some(), suspect.weight(), last_crash)
        };
        let mut ranks: Vec<_> = self.suspects.values().map(rank).collect();
        let middle = ranks.len() / 2;
        let least = *ranks.select_nth_unstable(middle).1;
        self.suspects.retain(|_, suspect| rank(suspect) > least);
    }
}

/// What ended at this moment or before is believed no longer.
fn expiry_cutoff(now: Moment) -> Moment {
    Moment(now.0.saturating_sub(SUSPICION_TTL.0))
}
