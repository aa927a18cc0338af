//! One shard of keys: a chain of records, each link created once in the store.
//!
//! Whoever creates link n has read all links before it; a paused writer that still believes to
//! own the shard finds link n taken and reads on. So agreement rests on the store alone, and
//! ownership only spares conflicts.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::{Answer, Claim, Digest, Outcome, Settled};
use crate::unit::{Date, Span};

/// A key is remembered this long; callers repeat within it.
const KEPT: Span = Span::secs(24 * 3600);

/// One record of the chain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// A claim that was granted.
    Claim(Claim),
    /// How a claimed call ended.
    Settled(Settled),
}

#[derive(Clone, Debug)]
struct Held {
    claim: Claim,
    outcome: Option<Outcome>,
}

/// What the chain says, as far as it was read.
#[derive(Clone, Debug, Default)]
pub struct Shard {
    next: u64,
    held: HashMap<Digest, Held>,
}

impl Shard {
    /// Number of the link that would be created next.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Keys held.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Takes the next link of the chain.
    pub fn link(&mut self, records: Vec<Record>) {
        self.next += 1;
        for record in records {
            self.apply(record);
        }
    }

    fn apply(&mut self, record: Record) {
        match record {
            // The first claim holds; a later one in the chain was never granted.
            Record::Claim(claim) => {
                self.held.entry(claim.key).or_insert(Held { claim, outcome: None });
            }
            Record::Settled(settled) => {
                let Some(held) = self.held.get_mut(&settled.key) else {
                    return;
                };
                if held.claim.request != settled.request {
                    return;
                }
                match settled.outcome {
                    Outcome::NotRun => {
                        self.held.remove(&settled.key);
                    }
                    outcome => held.outcome = Some(outcome),
                }
            }
        }
    }

    /// The answer to a claim from what was read; nothing if the key is free.
    pub fn answer(&self, claim: &Claim) -> Option<Answer> {
        let held = self.held.get(&claim.key)?;
        if held.claim.request == claim.request {
            return Some(Answer::Granted);
        }
        if held.claim.body != claim.body {
            return Some(Answer::OtherBody);
        }
        match &held.outcome {
            Some(outcome) => Some(Answer::Ended(outcome.clone())),
            None => Some(Answer::Running(held.claim.holder.clone())),
        }
    }

    /// Forgets keys that are older than callers repeat.
    pub fn forget(&mut self, now: Date) {
        self.held.retain(|_, held| now.since(held.claim.date) < KEPT);
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
        }
    }

    #[test]
    fn a_released_key_is_free_and_a_settled_one_is_not() {
        let mut shard = Shard::default();
        shard.link(vec![Record::Claim(claim(1, 1))]);
        assert!(matches!(shard.answer(&claim(1, 2)), Some(Answer::Running(_))));
        let settle = |outcome| {
            let key = digest(&[&[1]]);
            Record::Settled(Settled { key, request: "r1".parse().unwrap(), outcome })
        };
        shard.link(vec![settle(Outcome::NotRun)]);
        assert_eq!(shard.answer(&claim(1, 2)), None);
        shard.link(vec![Record::Claim(claim(1, 2)), settle(Outcome::NotRun)]);
        assert_eq!(shard.answer(&claim(1, 2)), Some(Answer::Granted));
    }

    #[test]
    fn another_body_under_the_same_key_is_refused() {
        let mut shard = Shard::default();
        shard.link(vec![Record::Claim(claim(1, 1))]);
        let other = Claim { body: digest(&[b"other"]), ..claim(1, 2) };
        assert_eq!(shard.answer(&other), Some(Answer::OtherBody));
    }

    quickcheck! {
        /// Several writers with stale views race for links; the store keeps the first of each.
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
                    let at = shard.next() as usize;
                    if at < chain.len() {
                        shard.link(chain[at].clone());
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
