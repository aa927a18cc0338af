//! Evidence of one VM against the digests of requests under which servers crashed, and for those of
//! requests that ran well.

use std::collections::{HashMap, HashSet};

use serde::{Deserialize, Serialize};

use super::fingerprint::Fingerprint;
use super::success::{SUCCESS_TTL, Successes};
use super::verdict::{self, Verdict};
use crate::unit::{Digest, Moment, Span, hash};

/// Weight of one server crash as evidence against a digest.
const CRASH_WEIGHT: u32 = 5;

/// Sum of the weights of crashes from which a digest may be quarantined. The users accept three
/// crashed servers for one content, and three retries after them.
const QUARANTINE_WEIGHT: u32 = 3 * CRASH_WEIGHT;

/// Sum of the weights of crashes from which a shared part of prompts may be quarantined. More
/// requests have it than a content, and the users accept five crashed servers for it.
const PART_QUARANTINE_WEIGHT: u32 = 4 * CRASH_WEIGHT;

/// Weight of a crash under a request that had produced events for [`STABLE_AFTER`] before: five
/// such crashes quarantine a content, two more than the three that the users accept. A stream that
/// is resumed on another server may be there when the culprit crashes that one too: with twelve
/// servers it meets three such crashes in a row once in a hundred times, so with the full weight
/// one stream in a hundred would be quarantined for another content's fault.
const STABLE_CRASH_WEIGHT: u32 = 3;

/// Time for which a request must have produced events at a server to be an unlikely cause if the
/// server crashes. The shared parts of its prompt, which the server has read by then, are no cause.
pub const STABLE_AFTER: Span = Span::secs(1);

/// Time without a further crash under a digest after which suspicion against it, or its
/// quarantine, expires.
const SUSPICION_TTL: Span = Span::secs(600);

/// Maximum number of suspects, of which a crash adds up to 64, one for each open request. Beyond
/// the maximum, the suspects with the least weight are evicted.
const MAX_SUSPECTS: usize = 20_000;

/// Maximum number of requests that are remembered for one crash under a suspect.
const MAX_REQUESTS_PER_CRASH: usize = 8;

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
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BrokenRequest {
    /// What identifies the request as a possible cause.
    pub fingerprint: Fingerprint,
    /// True if the request had produced events at the server for [`STABLE_AFTER`] before the crash.
    pub was_stable: bool,
}

impl BrokenRequest {
    fn weight(&self) -> u32 {
        if self.was_stable { STABLE_CRASH_WEIGHT } else { CRASH_WEIGHT }
    }

    /// Returns the digests that may be the cause of the crash.
    pub(super) fn suspects(&self) -> &[Digest] {
        let all = self.fingerprint.digests();
        if self.was_stable { &all[..all.len().min(1)] } else { all }
    }
}

/// A crash of a server incarnation under a suspect.
#[derive(Clone, Debug)]
pub(super) struct Crash {
    pub incarnation: ServerIncarnation,
    pub at: Moment,
    pub weight: u32,
    /// Requests with the suspect that were open at the server.
    pub requests: Vec<Fingerprint>,
}

impl Crash {
    /// Adds a request with the suspect. Returns true if that is new evidence.
    fn add(&mut self, request: &BrokenRequest) -> bool {
        let is_heavier = request.weight() > self.weight;
        self.weight = self.weight.max(request.weight());
        let fingerprint = &request.fingerprint;
        let is_new =
            self.requests.len() < MAX_REQUESTS_PER_CRASH && !self.requests.contains(fingerprint);
        if is_new {
            self.requests.push(fingerprint.clone());
        }
        is_heavier || is_new
    }
}

/// A quarantined digest in a message between VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantinedContent {
    /// The quarantined digest.
    pub content: Digest,
    /// Number of server incarnations that crashed under it.
    pub crashes: u32,
    /// Time since the last crash under it, when the message was sent.
    pub age: Span,
}

/// Quarantine of a digest: the number of server incarnations that crashed under it, and when the
/// last one did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Quarantine {
    pub crashes: u32,
    pub last_crash: Moment,
}

impl Quarantine {
    fn merge(self, other: Quarantine) -> Quarantine {
        Quarantine {
            crashes: self.crashes.max(other.crashes),
            last_crash: self.last_crash.max(other.last_crash),
        }
    }
}

/// Evidence of one VM against one digest.
#[derive(Clone, Debug, Default)]
pub(super) struct Suspect {
    pub crashes: Vec<Crash>,
    /// Quarantine of the digest that other VMs reported, if any.
    reported: Option<Quarantine>,
}

impl Suspect {
    pub(super) fn weight(&self) -> u32 {
        self.crashes.iter().map(|crash| crash.weight).sum()
    }

    /// Returns the weight from which the suspect `digest` may be quarantined.
    pub(super) fn quarantine_weight(&self, digest: &Digest) -> u32 {
        let mut requests = self.crashes.iter().flat_map(|crash| &crash.requests);
        let is_content = requests.all(|request| request.content() == *digest);
        if is_content { QUARANTINE_WEIGHT } else { PART_QUARANTINE_WEIGHT }
    }

    /// Returns what the crashes that this VM knows amount to, if there are any.
    pub(super) fn known(&self) -> Option<Quarantine> {
        let last_crash = self.crashes.iter().map(|crash| crash.at).max()?;
        Some(Quarantine { crashes: self.crashes.len() as u32, last_crash })
    }

    /// Returns the quarantine that other VMs reported, unless this VM knows of as many crashes and
    /// judges for itself.
    fn accepted_report(&self) -> Option<Quarantine> {
        self.reported.filter(|reported| (self.crashes.len() as u32) < reported.crashes)
    }

    /// Drops evidence against the digest dated `before` or earlier. Returns true if any evidence
    /// is left.
    fn forget_until(&mut self, before: Moment) -> bool {
        self.crashes.retain(|crash| crash.at > before);
        self.reported = self.reported.filter(|reported| reported.last_crash > before);
        !self.crashes.is_empty() || self.reported.is_some()
    }
}

/// Change in the evidence about a digest that an event (a crash, success or report) caused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvidenceChange {
    /// The event changed nothing.
    None,
    /// The digest became a suspect, or the evidence against it grew.
    Suspected,
    /// The digest is quarantined from now on.
    Quarantined,
    /// The digest was a suspect or quarantined and no longer is.
    Cleared {
        /// True if the digest was quarantined, false if it was only a suspect.
        was_quarantined: bool,
    },
}

/// Start or end of a quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// The digest is now quarantined, after this number of server crashes.
    Quarantined(Digest, u32),
    /// The digest is no longer quarantined.
    Released(Digest),
}

/// Evidence of one VM about the digests of requests: suspects and recent successes.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    suspects: HashMap<Digest, Suspect>,
    successes: Successes,
    /// Suspects with enough evidence for a quarantine, which other suspects may explain.
    candidates: HashSet<Digest>,
    /// The quarantined digests.
    verdicts: HashMap<Digest, Verdict>,
    /// Quarantines that started or ended since they were last taken.
    transitions: Vec<Transition>,
}

impl Evidence {
    /// Returns the number of server incarnations that crashed under a digest if the digest is
    /// quarantined, else none.
    pub fn quarantine_crashes(&self, digest: &Digest, now: Moment) -> Option<u32> {
        let Quarantine { crashes, last_crash } = self.verdicts.get(digest)?.quarantine;
        (now.since(last_crash) < SUSPICION_TTL).then_some(crashes)
    }

    /// Returns the digest for which a request is refused, if there is one: a quarantined digest of
    /// the request, which also has all that the requests under which servers crashed had in common.
    pub fn refusal_cause(&self, request: &Fingerprint, now: Moment) -> Option<Digest> {
        if self.verdicts.is_empty() {
            return None;
        }
        let is_refused = |digest: &&Digest| {
            self.quarantine_crashes(digest, now).is_some()
                && self.verdicts[*digest].companions.iter().all(|one| request.contains(one))
        };
        request.digests().iter().find(is_refused).copied()
    }

    /// Returns true if a request may be quarantined in case this number of further servers has
    /// crashed under it.
    pub fn would_be_quarantined(&self, request: &Fingerprint, further_crashes: usize) -> bool {
        let further_weight = further_crashes as u32 * CRASH_WEIGHT;
        let weight = |digest| self.suspects.get(digest).map_or(0, Suspect::weight);
        request.digests().iter().any(|one| weight(one) + further_weight >= QUARANTINE_WEIGHT)
    }

    /// Returns true if there is evidence against a digest of a request.
    pub fn is_suspect(&self, request: &Fingerprint) -> bool {
        request.digests().iter().any(|one| self.suspects.contains_key(one))
    }

    /// Records that a server incarnation crashed at the moment `at` with a request open. Repeated
    /// reports of one crash count once. Returns the change for the content of the request.
    pub fn on_crash(
        &mut self,
        request: &BrokenRequest,
        incarnation: ServerIncarnation,
        at: Moment,
        now: Moment,
    ) -> EvidenceChange {
        let content = request.fingerprint.content();
        let was_quarantined = self.quarantine_crashes(&content, now).is_some();
        let (mut is_content_suspected, mut is_candidate) = (false, false);
        for digest in request.suspects() {
            let is_suspected = self.add_crash(*digest, request, incarnation, at, now);
            is_content_suspected |= is_suspected && *digest == content;
            is_candidate |= is_suspected && self.candidates.contains(digest);
        }
        if is_candidate {
            self.judge();
        }
        match self.quarantine_crashes(&content, now) {
            _ if !is_content_suspected => EvidenceChange::None,
            Some(_) if !was_quarantined => EvidenceChange::Quarantined,
            _ => EvidenceChange::Suspected,
        }
    }

    /// Adds a crash to the evidence against one digest of a request. Returns true if the evidence
    /// grew.
    fn add_crash(
        &mut self,
        digest: Digest,
        request: &BrokenRequest,
        incarnation: ServerIncarnation,
        at: Moment,
        now: Moment,
    ) -> bool {
        if self.successes.clears(&digest, at) {
            return false;
        }
        self.evict_if_full(now);
        let suspect = self.suspects.entry(digest).or_default();
        suspect.forget_until(expiry_cutoff(now));
        let known = suspect.crashes.iter_mut().find(|crash| crash.incarnation == incarnation);
        let has_grown = match known {
            Some(known) => known.add(request),
            None => {
                let requests = vec![request.fingerprint.clone()];
                suspect.crashes.push(Crash { incarnation, at, weight: request.weight(), requests });
                true
            }
        };
        if suspect.weight() >= QUARANTINE_WEIGHT {
            self.candidates.insert(digest);
        }
        has_grown
    }

    /// Records that another VM has quarantined a digest, with the time of the last crash under it.
    pub fn on_quarantine_report(
        &mut self,
        digest: Digest,
        crashes: u32,
        last_crash: Moment,
        now: Moment,
    ) -> EvidenceChange {
        if self.successes.clears(&digest, last_crash) || now.since(last_crash) >= SUSPICION_TTL {
            return EvidenceChange::None;
        }
        self.evict_if_full(now);
        let suspect = self.suspects.entry(digest).or_default();
        let reported = Quarantine { crashes, last_crash };
        let known = suspect.reported;
        let reported = known.map_or(reported, |known| known.merge(reported));
        suspect.reported = Some(reported);
        let has_own_evidence = !suspect.crashes.is_empty();
        // VMs repeat their reports often; most of them only confirm a quarantine.
        if let Some(verdict) = self.verdicts.get_mut(&digest)
            && known.is_some_and(|known| known.crashes == reported.crashes)
        {
            verdict.quarantine = verdict.quarantine.merge(reported);
            return EvidenceChange::None;
        }
        let was_quarantined = self.quarantine_crashes(&digest, now).is_some();
        self.candidates.insert(digest);
        if has_own_evidence {
            self.judge();
        } else {
            self.verdicts.insert(digest, Verdict::reported(reported));
            if !was_quarantined {
                self.transitions.push(Transition::Quarantined(digest, reported.crashes));
            }
        }
        match self.quarantine_crashes(&digest, now) {
            Some(_) if !was_quarantined => EvidenceChange::Quarantined,
            _ => EvidenceChange::None,
        }
    }

    /// Records that a request with this digest ran well at the moment `at`, here or at another VM.
    pub fn on_success(&mut self, digest: Digest, at: Moment, now: Moment) -> EvidenceChange {
        self.successes.record(digest, at, now);
        let Some(suspect) = self.suspects.get_mut(&digest) else { return EvidenceChange::None };
        if suspect.forget_until(at + SUCCESS_TTL) {
            return EvidenceChange::None;
        }
        let was_quarantined = self.verdicts.contains_key(&digest);
        self.suspects.remove(&digest);
        // Others may have been quarantined together with the digest, or not because of it.
        self.judge();
        EvidenceChange::Cleared { was_quarantined }
    }

    /// Returns the time since the last success of a digest, or none if that is too long ago to
    /// clear the digest.
    pub fn success_age(&self, digest: &Digest, now: Moment) -> Option<Span> {
        let age = now.since(self.successes.last(digest)?);
        (age < SUCCESS_TTL).then_some(age)
    }

    /// Returns the quarantines that started or ended since the last call.
    pub fn take_transitions(&mut self) -> Vec<Transition> {
        std::mem::take(&mut self.transitions)
    }

    /// Returns the quarantined digests, the most recent first and no more than `limit`.
    pub fn quarantined(&self, limit: usize, now: Moment) -> Vec<QuarantinedContent> {
        let report = |(digest, verdict): (&Digest, &Verdict)| {
            let Quarantine { crashes, last_crash } = verdict.quarantine;
            let age = now.since(last_crash);
            (age < SUSPICION_TTL).then_some(QuarantinedContent { content: *digest, crashes, age })
        };
        let mut all: Vec<QuarantinedContent> = self.verdicts.iter().filter_map(report).collect();
        all.sort_by_key(|reported| (reported.age, reported.content));
        all.truncate(limit);
        all
    }

    /// Returns the number of digests that are suspects, the quarantined ones included.
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
        self.judge();
    }

    /// Determines which digests are quarantined, from the evidence against all candidates.
    fn judge(&mut self) {
        self.candidates.retain(|digest| self.suspects.contains_key(digest));
        if self.candidates.is_empty() && self.verdicts.is_empty() {
            return;
        }
        let mut verdicts = verdict::judge(&self.suspects, &self.candidates);
        for digest in &self.candidates {
            let Some(report) = self.suspects[digest].accepted_report() else { continue };
            // The other VM knows of more crashes, in which the companions may have been missing.
            let known = verdicts.get(digest).map(|verdict| verdict.quarantine);
            let quarantine = known.map_or(report, |known| known.merge(report));
            verdicts.insert(*digest, Verdict::reported(quarantine));
        }
        for (digest, verdict) in &verdicts {
            if !self.verdicts.contains_key(digest) {
                let crashes = verdict.quarantine.crashes;
                self.transitions.push(Transition::Quarantined(*digest, crashes));
            }
        }
        let released = self.verdicts.keys().filter(|digest| !verdicts.contains_key(digest));
        self.transitions.extend(released.map(|digest| Transition::Released(*digest)));
        self.verdicts = verdicts;
    }

    /// Makes room for one more suspect: if there are too many, evicts the half with the least
    /// weight. Quarantined digests are evicted last.
    fn evict_if_full(&mut self, now: Moment) {
        if self.suspects.len() >= MAX_SUSPECTS {
            self.expire(now);
        }
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        let rank = |digest: &Digest, suspect: &Suspect| {
            let last_crash = suspect.crashes.iter().map(|crash| crash.at).max();
            (self.verdicts.contains_key(digest), suspect.weight(), last_crash)
        };
        let mut ranks: Vec<_> =
            self.suspects.iter().map(|(digest, suspect)| rank(digest, suspect)).collect();
        let middle = ranks.len() / 2;
        let least = *ranks.select_nth_unstable(middle).1;
        let evicted: Vec<Digest> = self
            .suspects
            .iter()
            .filter(|(digest, suspect)| rank(digest, suspect) <= least)
            .map(|(digest, _)| *digest)
            .collect();
        for digest in evicted {
            self.suspects.remove(&digest);
        }
        self.judge();
    }
}

/// Returns the moment such that evidence dated then or earlier has expired by `now`.
fn expiry_cutoff(now: Moment) -> Moment {
    Moment(now.0.saturating_sub(SUSPICION_TTL.0))
}
