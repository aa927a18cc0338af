//! Decides which suspects are quarantined.
//!
//! A server that crashes had many requests open, and a request has several digests, so most
//! suspects are not the cause. Two rules tell them apart:
//!
//! - Suspects that were together in every crash can't be told apart. The narrowest of them is
//!   quarantined, and only for requests that have the others too. Another request with it runs:
//!   its success clears the digest, and its crash leaves the others behind.
//! - A crash has one cause. Suspects are considered in the order of their evidence, and a crash
//!   under a quarantined one does not count against those with less.
//! - A part of many prompts that has no more evidence than narrower parts have together is not
//!   quarantined. Contents don't explain a part like that: each request that a part makes crash
//!   servers may be retried often enough to be a candidate itself.

use std::collections::{HashMap, HashSet};

use super::evidence::{Crash, Quarantine, ServerIncarnation, Suspect};
use crate::unit::Digest;

/// Quarantine of one digest.
#[derive(Clone, Debug)]
pub(super) struct Verdict {
    pub quarantine: Quarantine,
    /// Wider suspects that the requests had too in every crash. Requests without one of them are
    /// not refused.
    pub companions: Vec<Digest>,
}

impl Verdict {
    /// Returns the verdict on a digest of which this VM knows only the report of another.
    pub(super) fn reported(quarantine: Quarantine) -> Verdict {
        Verdict { quarantine, companions: Vec::new() }
    }
}

/// A suspect with enough evidence for a quarantine that no narrower one was always together with.
struct Candidate<'a> {
    digest: Digest,
    suspect: &'a Suspect,
    weight: u32,
    /// Weight that is enough for a quarantine.
    enough: u32,
    companions: Vec<Digest>,
    /// Narrower shared parts that the requests had, in any crash.
    narrower_parts: Vec<Digest>,
}

impl Candidate<'_> {
    /// Returns the weight of the crashes that no other suspect explains.
    fn unexplained_weight(&self, explained: &HashSet<ServerIncarnation>) -> u32 {
        let crashes = self.suspect.crashes.iter();
        let left = crashes.filter(|crash| !explained.contains(&crash.incarnation));
        left.map(|crash| crash.weight).sum()
    }
}

/// Returns the verdicts on the quarantined digests.
pub(super) fn judge(
    suspects: &HashMap<Digest, Suspect>,
    candidates: &HashSet<Digest>,
) -> HashMap<Digest, Verdict> {
    let mut candidates: Vec<Candidate> =
        candidates.iter().filter_map(|digest| candidate(suspects, *digest)).collect();
    retain_unexplained_by_parts(&mut candidates);
    candidates.sort_by_key(|candidate| std::cmp::Reverse(candidate.weight));
    let mut explained = HashSet::new();
    let mut verdicts = HashMap::new();
    for equal in candidates.chunk_by(|one, other| one.weight == other.weight) {
        let is_cause = |one: &&Candidate| one.unexplained_weight(&explained) >= one.enough;
        let causes: Vec<&Candidate> = equal.iter().filter(is_cause).collect();
        for Candidate { digest, suspect, companions, .. } in causes {
            let Some(quarantine) = suspect.known() else { continue };
            explained.extend(suspect.crashes.iter().map(|crash| crash.incarnation));
            verdicts.insert(*digest, Verdict { quarantine, companions: companions.clone() });
        }
    }
    verdicts
}

/// Removes candidates most of whose crashes are also those of narrower parts that are candidates.
fn retain_unexplained_by_parts(candidates: &mut Vec<Candidate>) {
    let parts: HashMap<Digest, &Suspect> =
        candidates.iter().map(|candidate| (candidate.digest, candidate.suspect)).collect();
    candidates.retain(|candidate| {
        let narrower = candidate.narrower_parts.iter().filter_map(|part| parts.get(part));
        let crashes = narrower.flat_map(|part| &part.crashes);
        let explained = crashes.map(|crash| crash.incarnation).collect();
        candidate.unexplained_weight(&explained) >= candidate.enough
    });
}

/// Returns a candidate for a quarantine; none if the evidence is too weak, or a narrower suspect was
/// there in every crash.
fn candidate(suspects: &HashMap<Digest, Suspect>, digest: Digest) -> Option<Candidate<'_>> {
    let suspect = suspects.get(&digest)?;
    let weight = suspect.weight();
    let enough = suspect.quarantine_weight(&digest);
    if weight < enough {
        return None;
    }
    let companions = wider_companions(suspects, suspect, digest)?;
    let narrower_parts = narrower_parts(suspect, &digest);
    Some(Candidate { digest, suspect, weight, enough, companions, narrower_parts })
}

/// Returns the wider suspects that requests with a suspect had too in every crash; none if a
/// narrower one was there in every crash.
fn wider_companions(
    suspects: &HashMap<Digest, Suspect>,
    suspect: &Suspect,
    digest: Digest,
) -> Option<Vec<Digest>> {
    let (first, others) = suspect.crashes.split_first()?;
    let mut companions = Vec::new();
    for request in &first.requests {
        let mut is_narrower = true;
        for other in request.digests() {
            if *other == digest {
                is_narrower = false;
                continue;
            }
            let is_companion =
                suspects.contains_key(other) && others.iter().all(|crash| has_both(crash, other));
            if is_companion && is_narrower {
                return None;
            }
            if is_companion && !companions.contains(other) {
                companions.push(*other);
            }
        }
    }
    Some(companions)
}

/// Returns the shared parts that requests with a suspect had and that are narrower than it.
fn narrower_parts(suspect: &Suspect, digest: &Digest) -> Vec<Digest> {
    let requests = suspect.crashes.iter().flat_map(|crash| &crash.requests);
    let narrower = requests.flat_map(|request| {
        // The first digest is the content.
        request.digests().iter().take_while(|other| *other != digest).skip(1)
    });
    let mut narrower: Vec<Digest> = narrower.copied().collect();
    narrower.sort_unstable();
    narrower.dedup();
    narrower
}

/// Returns true if a request in this crash under a suspect has another digest too.
fn has_both(crash: &Crash, other: &Digest) -> bool {
    crash.requests.iter().any(|request| request.contains(other))
}
