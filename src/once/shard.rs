//! State of one shard of idempotency keys, built from a chain of objects (links) in the store that
//! are created once and never changed.
//!
//! A writer creates link n only after it has read all links before it. A paused writer that still
//! believes to own the shard finds link n taken and reads the new links. So consistency depends
//! only on the store's create operation; shard ownership merely avoids conflicts.

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::{Answer, Claim, Digest, Outcome, Settlement};
use crate::unit::{Date, RequestId, Span};

/// Time for which a key is retained after its claim. Clients retry within this time.
const RETENTION: Span = Span::secs(24 * 3600);

/// Time for which the response of a call is retained after the claim of its key; later only the
/// digest of the call and the status are.
const OUTCOME_RETENTION: Span = Span::secs(3600);

/// Ratio of capacity to length from which the map of recent keys is shrunk.
const SHRINK_FACTOR: usize = 8;

/// Maximum number of retained requests that gave up before their claim was written.
const MAX_ABANDONED_REQUESTS: usize = 500;

/// Record of the chain: a link is a list of records.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// Claim of a key. It is granted if it is the first one of a free key in the chain.
    Claim(Claim),
    /// Outcome of a claimed call.
    Settled(Settlement),
}

/// Key whose claim was granted, with the outcome of the call once that is known.
#[derive(Clone, Debug)]
struct HeldKey {
    claim: Claim,
    outcome: Option<Outcome>,
}

/// Compact entry of a key whose call ended more than `OUTCOME_RETENTION` ago. It suffices to refuse
/// the key and takes a tenth of the memory of a `HeldKey`.
#[derive(Clone, Copy, Debug)]
struct EndedKey {
    body: Digest,
    date: Date,
    /// HTTP status of the response; 0 if it is unknown if the call ran.
    status: u16,
}

/// State of the keys of a shard, from the links read so far.
#[derive(Clone, Debug, Default)]
pub struct Shard {
    /// Number of links read so far, which is the number of the next link.
    next_link: u64,
    /// Keys of calls that have not ended, or recently.
    recent_keys: HashMap<Digest, HeldKey>,
    /// Keys of calls that ended long ago.
    old_keys: HashMap<Digest, EndedKey>,
    /// Requests that gave up before their claim was in the chain.
    abandoned_requests: VecDeque<RequestId>,
}

impl Shard {
    /// Returns the number of the next link to create.
    pub fn next_link(&self) -> u64 {
        self.next_link
    }

    /// Returns the number of retained keys.
    pub fn len(&self) -> usize {
        self.recent_keys.len() + self.old_keys.len()
    }

    /// Returns true if no key is retained.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Applies the records of the next link of the chain.
    pub fn apply_link(&mut self, records: Vec<Record>) {
        self.next_link += 1;
        for record in records {
            self.apply(record);
        }
    }

    /// Applies one record of the chain: a claim takes a free key, and an outcome ends the call that
    /// holds its key.
    fn apply(&mut self, record: Record) {
        match record {
            // The first claim of a key is granted; a later one was never granted.
            Record::Claim(claim) if self.old_keys.contains_key(&claim.key) => {}
            // The request gave up before a slow owner wrote its claim, so no outcome would follow
            // and the key would stay blocked.
            Record::Claim(claim) if self.abandoned_requests.contains(&claim.request) => {}
            Record::Claim(claim) => {
                self.recent_keys.entry(claim.key).or_insert(HeldKey { claim, outcome: None });
            }
            Record::Settled(settled) => {
                let held = self.recent_keys.get_mut(&settled.key);
                let own = held.filter(|held| held.claim.request == settled.request);
                let Some(held) = own else {
                    self.record_abandoned(settled);
                    return;
                };
                held.claim.body = settled.body;
                match settled.outcome {
                    Outcome::NotRun => {
                        self.recent_keys.remove(&settled.key);
                    }
                    outcome => held.outcome = Some(outcome),
                }
            }
        }
    }

    /// Records a request that gave up a key of which it has no granted claim, maybe since its claim
    /// is not written yet.
    fn record_abandoned(&mut self, settled: Settlement) {
        if settled.outcome != Outcome::NotRun {
            return;
        }
        if self.abandoned_requests.len() >= MAX_ABANDONED_REQUESTS {
            self.abandoned_requests.pop_front();
        }
        self.abandoned_requests.push_back(settled.request);
    }

    /// Returns the answer to a claim from the links read so far, or `None` if they leave the key
    /// free.
    pub fn answer(&self, claim: &Claim) -> Option<Answer> {
        if let Some(old) = self.old_keys.get(&claim.key) {
            return Some(old.answer(claim));
        }
        let held = self.recent_keys.get(&claim.key)?;
        if held.claim.request == claim.request {
            return Some(Answer::Granted);
        }
        if held.claim.reserved && held.outcome.is_none() {
            return Some(Answer::Reserved(held.claim.holder.clone()));
        }
        if held.claim.body != claim.body {
            return Some(Answer::BodyMismatch);
        }
        match &held.outcome {
            Some(outcome) => Some(Answer::Ended(outcome.clone())),
            None => Some(Answer::Running(held.claim.holder.clone())),
        }
    }

    /// Removes keys older than `RETENTION`, and the responses of calls older than
    /// `OUTCOME_RETENTION`.
    pub fn evict_expired(&mut self, now: Date) {
        self.old_keys.retain(|_, old| now.since(old.date) < RETENTION);
        let Shard { recent_keys: recent, old_keys: old, .. } = self;
        recent.retain(|key, held| {
            let age = now.since(held.claim.date);
            if age < OUTCOME_RETENTION || held.outcome.is_none() && age < RETENTION {
                return true;
            }
            let status = match &held.outcome {
                Some(Outcome::Ran { status, .. }) => *status,
                _ => 0,
            };
            if age < RETENTION {
                let (body, date) = (held.claim.body, held.claim.date);
                old.insert(*key, EndedKey { body, date, status });
            }
            false
        });
        // A map keeps its largest capacity unless it is shrunk.
        if recent.capacity() > SHRINK_FACTOR * recent.len().max(SHRINK_FACTOR) {
            recent.shrink_to_fit();
        }
    }
}

impl EndedKey {
    fn answer(&self, claim: &Claim) -> Answer {
        if self.body != claim.body {
            return Answer::BodyMismatch;
        }
        match self.status {
            0 => Answer::Ended(Outcome::InDoubt),
            status => {
                Answer::Ended(Outcome::Ran { status, content_type: String::new(), body: None })
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::super::digest;
    use super::*;
    use crate::evidence::Origin;
    use crate::unit::Incarnation;
    use quickcheck::quickcheck;

    fn claim(key: u8, request: u8) -> Claim {
        Claim {
            key: digest(&[&[key]]),
            body: digest(&[b"body"]),
            request: format!("r{request}").parse().unwrap(),
            workspace: "w".parse().unwrap(),
            holder: Origin { vm: "a".parse().unwrap(), incarnation: Incarnation(1) },
            date: Date(0),
            reserved: false,
        }
    }

    #[test]
    fn a_released_key_is_free_and_a_settled_one_is_not() {
        let mut shard = Shard::default();
        shard.apply_link(vec![Record::Claim(claim(1, 1))]);
        assert!(matches!(shard.answer(&claim(1, 2)), Some(Answer::Running(_))));
        let settle = |outcome| {
            let key = digest(&[&[1]]);
            let (request, body) = ("r1".parse().unwrap(), claim(1, 1).body);
            Record::Settled(Settlement { key, request, body, outcome })
        };
        shard.apply_link(vec![settle(Outcome::NotRun)]);
        assert_eq!(shard.answer(&claim(1, 2)), None);
        shard.apply_link(vec![Record::Claim(claim(1, 2)), settle(Outcome::NotRun)]);
        assert_eq!(shard.answer(&claim(1, 2)), Some(Answer::Granted));
    }

    #[test]
    fn a_call_that_ended_long_ago_still_holds_its_key_for_a_day() {
        let mut shard = Shard::default();
        let outcome =
            Outcome::Ran { status: 200, content_type: String::new(), body: Some(vec![1]) };
        let Claim { key, request, body, .. } = claim(1, 1);
        let settled = Settlement { key, request, body, outcome };
        shard.apply_link(vec![Record::Claim(claim(1, 1)), Record::Settled(settled)]);
        shard.evict_expired(Date(OUTCOME_RETENTION.0));
        let answer = shard.answer(&claim(1, 2));
        assert!(matches!(
            answer,
            Some(Answer::Ended(Outcome::Ran { status: 200, body: None, .. }))
        ));
        shard.apply_link(vec![Record::Claim(claim(1, 2))]);
        assert_ne!(shard.answer(&claim(1, 2)), Some(Answer::Granted));
        shard.evict_expired(Date(RETENTION.0));
        assert_eq!(shard.answer(&claim(1, 3)), None);
    }

    #[test]
    fn a_claim_written_after_its_request_gave_up_holds_nothing() {
        let mut shard = Shard::default();
        let Claim { key, request, body, .. } = claim(1, 1);
        let settled = Settlement { key, request, body, outcome: Outcome::NotRun };
        shard.apply_link(vec![Record::Settled(settled)]);
        shard.apply_link(vec![Record::Claim(claim(1, 1))]);
        assert_eq!(shard.answer(&claim(1, 2)), None);
        shard.apply_link(vec![Record::Claim(claim(1, 2))]);
        assert_eq!(shard.answer(&claim(1, 2)), Some(Answer::Granted));
    }

    #[test]
    fn another_body_under_the_same_key_is_refused() {
        let mut shard = Shard::default();
        shard.apply_link(vec![Record::Claim(claim(1, 1))]);
        let other = Claim { body: digest(&[b"other"]), ..claim(1, 2) };
        assert_eq!(shard.answer(&other), Some(Answer::BodyMismatch));
    }

    quickcheck! {
        /// Writers with stale states race to create links; the store keeps the first of each.
        fn a_key_is_granted_to_one_request_under_any_race(steps: Vec<(u8, u8, u8, bool)>) -> bool {
            let mut chain: Vec<Vec<Record>> = Vec::new();
            let mut writers = vec![Shard::default(); 3];
            let mut granted: HashMap<Digest, std::collections::HashSet<String>> = HashMap::new();
            for (writer, key, request, lost) in steps {
                let shard = &mut writers[usize::from(writer % 3)];
                let claim = claim(key % 4, request);
                loop {
                    if let Some(answer) = shard.answer(&claim) {
                        if answer == Answer::Granted {
                            let ids = granted.entry(claim.key).or_default();
                            ids.insert(claim.request.to_string());
                        }
                        break;
                    }
                    let at = shard.next_link() as usize;
                    if at < chain.len() {
                        shard.apply_link(chain[at].clone());
                        continue;
                    }
                    chain.push(vec![Record::Claim(claim.clone())]);
                    if lost {
                        break;
                    }
                }
            }
            granted.values().all(|ids| ids.len() == 1)
        }
    }
}
