//! The parts of a prompt, and how many of its tokens a server would have to prefill because it has
//! not cached them.

use super::Criteria;
use crate::forward::call::{Call, PromptPart};
use crate::forward::server::Server;
use crate::unit::{Model, Moment, Server as Id, hash};

/// A prompt as a list of parts, of which all but the last may be shared with other requests.
pub struct Prompt {
    parts: Vec<Part>,
    /// The server preferred for requests with the same last shared part (prefix affinity). All VMs
    /// compute the same one.
    preferred: Option<Id>,
}

/// One part of a prompt.
struct Part {
    /// Hash of the part's id and the model, since models share no cache.
    hash: u64,
    tokens: u64,
}

impl Prompt {
    /// Returns the prompt of a request that was sent, without a preferred server.
    pub fn without_affinity(call: &Call, model: Option<&Model>) -> Prompt {
        Prompt { parts: parts(call, model), preferred: None }
    }

    /// Returns the prompt of a request with the preferred one of these servers, by rendezvous
    /// hashing.
    pub fn new(criteria: &Criteria, servers: &[&Server]) -> Prompt {
        let parts = parts(criteria.call, criteria.model);
        let Some(last_shared) = parts.len().checked_sub(2) else {
            return Prompt { parts, preferred: None };
        };
        let name = parts[last_shared].hash.to_string();
        let rank = |server: &&&Server| hash::stable(&[&name, server.replica.id.as_str()]);
        let preferred = servers.iter().max_by_key(rank).map(|server| server.replica.id.clone());
        Prompt { parts, preferred }
    }

    /// Returns the hashes of the parts in order.
    pub fn hashes(&self) -> impl Iterator<Item = u64> {
        self.parts.iter().map(|part| part.hash)
    }

    /// Returns the number of tokens of all parts.
    pub fn tokens(&self) -> u64 {
        self.parts.iter().map(|part| part.tokens).sum()
    }

    /// Returns the number of tokens that a server would have to prefill: those of the first part
    /// that it has not cached, and of all later parts. The preferred server counts as having cached
    /// all parts but the last.
    pub fn uncached_tokens(&self, server: &Server, now: Moment) -> u64 {
        let is_preferred = self.preferred.as_ref() == Some(&server.replica.id);
        let last = self.parts.len().saturating_sub(1);
        let is_cached = |at: usize, part: &Part| {
            (is_preferred && at < last) || server.has_prefix(part.hash, now)
        };
        let first = self.parts.iter().enumerate().position(|(at, part)| !is_cached(at, part));
        let from = first.unwrap_or(self.parts.len());
        self.parts[from..].iter().map(|part| part.tokens).sum()
    }
}

/// Returns the parts of a call's prompt, hashed with the model.
fn parts(call: &Call, model: Option<&Model>) -> Vec<Part> {
    let model = model.map_or("", |model| model.as_str());
    let part =
        |part: &PromptPart| Part { hash: hash::stable(&[&part.id, model]), tokens: part.tokens };
    call.prompt.iter().map(part).collect()
}
