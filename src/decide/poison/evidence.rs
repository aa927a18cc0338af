//! Evidence of one VM against request contents under which servers crashed, and of contents that
//! completed.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::unit::{Digest, Moment, Span, hash};

/// Weight of one server crash as evidence against a content.
const CRASH_WEIGHT: u32 = 5;

/// Sum of the weights of crashes from which a content is quarantined. The users accept three
/// crashed servers for one content, and three retries after them.
const QUARANTINE_WEIGHT: u32 = 3 * CRASH_WEIGHT;

/// Weight of a crash under a request that had produced events for [`STABLE_AFTER`] before: five
/// such crashes quarantine a content, two more than the three that the users accept. A stream that
/// is resumed on another server may be there when the culprit crashes that one too: with twelve
/// servers it meets three such crashes in a row once in a hundred times, so with the full weight
/// one stream in a hundred would be quarantined for another content's fault.
const STABLE_CRASH_WEIGHT: u32 = 3;

/// Time for which a request must have produced events at a server to be an unlikely cause if the
/// server crashes.
pub const STABLE_AFTER: Span = Span::secs(1);

/// Time after the completion of a request during which crashes do not count against its content. A
/// prompt that many callers send is open at every server that crashes, but it also completes many
/// times a second.
const SUCCESS_TTL: Span = Span::secs(30);

/// Time without a further crash under a content after which suspicion against it, or its
/// quarantine, expires.
const SUSPICION_TTL: Span = Span::secs(600);

/// Maximum number of suspects, of which a crash adds up to 64, one for each open request. Beyond
/// the maximum, the suspects with the least weight are evicted.
const MAX_SUSPECTS: usize = 20_000;

/// Maximum number of contents whose last success is remembered. They are kept apart from suspects
/// and evict none.
const MAX_SUCCESSES: usize = 4_000;

/// One incarnation of a backend server, identified by a hash of its id and its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ServerIncarnation(u64);

impl ServerIncarnation {
    /// Creates the identifier of the incarnation of the server `id` that started at `born`; `born`
    /// is none if the server does not report its start.
    pub fn new(id: &str, born: Option<u64>) -> ServerIncarnation {
        ServerIncarnation(hash::stable(&[
            id,
            &born.map_or_else(String::new, |born| born.to_string()),
        ]))
    }
}

/// A request that was open at a server incarnation when the server crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenRequest {
    /// Digest of the request's content.
    pub content: Digest,
    /// True if the request had produced events at the server for [`STABLE_AFTER`] before the crash.
    pub was_stable: bool,
}

impl OpenRequest {
    fn weight(self) -> u32 {
        if self.was_stable { STABLE_CRASH_WEIGHT } else { CRASH_WEIGHT }
    }
}

/// A crash of a server incarnation under a content.
#[derive(Clone, Copy, Debug)]
struct Crash {
    incarnation: ServerIncarnation,
    at: Moment,
    weight: u32,
}

/// A quarantined content in a message between VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantinedContent {
    /// Digest of the quarantined content.
    pub content: Digest,
    /// Number of server incarnations that crashed under the content.
    pub crashes: u32,
    /// Time since the last crash under the content, when the message was sent.
    pub age: Span,
}

/// Quarantine of a content: the number of server incarnations that crashed under it, and when the
/// last one did.
#[derive(Clone, Copy, Debug)]
struct Quarantine {
    crashes: u32,
    last_crash: Moment,
}

/// Evidence of one VM against one content.
#[derive(Clone, Debug, Default)]
struct Suspect {
    crashes: Vec<Crash>,
    /// Quarantine of the content that other VMs reported, if any.
    reported: Option<Quarantine>,
}

impl Suspect {
    fn weight(&self) -> u32 {
        self.crashes.iter().map(|crash| crash.weight).sum()
    }

    /// Returns the quarantine of the content, from the crashes that this VM knows and from reports
    /// of other VMs; none if the content is only a suspect.
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

    /// Drops evidence against the content dated `before` or earlier. Returns true if any evidence
    /// is left.
    fn forget_until(&mut self, before: Moment) -> bool {
        self.crashes.retain(|crash| crash.at > before);
        self.reported = self.reported.filter(|reported| reported.last_crash > before);
        !self.crashes.is_empty() || self.reported.is_some()
    }
}

/// Change in the evidence about a content that an event (a crash, success or report) caused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvidenceChange {
    /// The event changed nothing.
    None,
    /// The content became a suspect, or the evidence against it grew.
    Suspected,
    /// The content is quarantined from now on.
    Quarantined,
    /// The content was a suspect or quarantined and no longer is.
    Cleared {
        /// True if the content was quarantined, false if it was only a suspect.
        was_quarantined: bool,
    },
}

/// Contents of requests that completed recently, with the time of the last success. The older half
/// is dropped when the younger half is full or [`SUCCESS_TTL`] old.
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

/// Evidence of one VM about request contents: suspects and recent successes.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    suspects: HashMap<Digest, Suspect>,
    successes: Successes,
}

impl Evidence {
    /// Returns the number of server incarnations that crashed under a content if the content is
    /// quarantined, else none.
    pub fn quarantine_crashes(&self, content: &Digest, now: Moment) -> Option<u32> {
        let quarantine = self.suspects.get(content)?.quarantine()?;
        (now.since(quarantine.last_crash) < SUSPICION_TTL).then_some(quarantine.crashes)
    }

    /// Returns true if a content is quarantined in case this number of further servers has crashed
    /// under it.
    pub fn would_be_quarantined(&self, content: &Digest, further_crashes: usize) -> bool {
        let known = self.suspects.get(content).map_or(0, Suspect::weight);
        known + further_crashes as u32 * CRASH_WEIGHT >= QUARANTINE_WEIGHT
    }

    /// Returns true if there is evidence against a content.
    pub fn is_suspect(&self, content: &Digest) -> bool {
        self.suspects.contains_key(content)
    }

    /// Records that a server incarnation crashed at the moment `at` with a request open. Repeated
    /// reports of one crash count once.
    pub fn on_crash(
        &mut self,
        request: OpenRequest,
        incarnation: ServerIncarnation,
        at: Moment,
        now: Moment,
    ) -> EvidenceChange {
        let OpenRequest { content, .. } = request;
        if self.has_recent_success(&content, at) {
            return EvidenceChange::None;
        }
        let was_quarantined = self.quarantine_crashes(&content, now).is_some();
        self.evict_if_full(now);
        let suspect = self.suspects.entry(content).or_default();
        suspect.forget_until(expiry_cutoff(now));
        let weight = request.weight();
        match suspect.crashes.iter_mut().find(|crash| crash.incarnation == incarnation) {
            Some(known) if known.weight >= weight => return EvidenceChange::None,
            Some(known) => known.weight = weight,
            None => suspect.crashes.push(Crash { incarnation, at, weight }),
        }
        match self.quarantine_crashes(&content, now) {
            Some(_) if !was_quarantined => EvidenceChange::Quarantined,
            _ => EvidenceChange::Suspected,
        }
    }

    /// Records that another VM has quarantined a content, with the time of the last crash under it.
    pub fn on_quarantine_report(
        &mut self,
        content: Digest,
        crashes: u32,
        last_crash: Moment,
        now: Moment,
    ) -> EvidenceChange {
        if self.has_recent_success(&content, last_crash) || now.since(last_crash) >= SUSPICION_TTL {
            return EvidenceChange::None;
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
        if was_quarantined { EvidenceChange::None } else { EvidenceChange::Quarantined }
    }

    /// Records that a request with this content completed at the moment `at`, here or at another
    /// VM.
    pub fn on_success(&mut self, content: Digest, at: Moment, now: Moment) -> EvidenceChange {
        self.successes.record(content, at, now);
        let Some(suspect) = self.suspects.get_mut(&content) else { return EvidenceChange::None };
        let was_quarantined = suspect.quarantine().is_some();
        if suspect.forget_until(at + SUCCESS_TTL) {
            return EvidenceChange::None;
        }
        self.suspects.remove(&content);
        EvidenceChange::Cleared { was_quarantined }
    }

    /// Returns the time since the last success of a content, or none if that is too long ago to
    /// clear the content.
    pub fn success_age(&self, content: &Digest, now: Moment) -> Option<Span> {
        let age = now.since(self.successes.last_success(content)?);
        (age < SUCCESS_TTL).then_some(age)
    }

    /// Returns true if a recent success clears a content of a crash at the moment `at`.
    fn has_recent_success(&self, content: &Digest, at: Moment) -> bool {
        self.successes.last_success(content).is_some_and(|last| at <= last + SUCCESS_TTL)
    }

    /// Returns the quarantined contents, the most recent first and no more than `limit`.
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

    /// Returns the number of contents that are suspects, the quarantined ones included.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns true if there are no suspects.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Drops evidence older than `SUSPICION_TTL`.
    pub fn expire(&mut self, now: Moment) {
        self.suspects.retain(|_, suspect| suspect.forget_until(expiry_cutoff(now)));
    }

    /// Makes room for one more suspect: if there are too many, evicts the half with the least
    /// weight. Quarantined contents are evicted last.
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

/// Returns the moment such that evidence dated then or earlier has expired by `now`.
fn expiry_cutoff(now: Moment) -> Moment {
    Moment(now.0.saturating_sub(SUSPICION_TTL.0))
}
