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

    /// Returns the prompt of a request with the preferred one of these servers: the first `affine`
    /// one among them or, if they are all servers of the service, the one chosen by rendezvous
    /// hashing.
    pub fn new(criteria: &Criteria, servers: &[&Server], affine: Option<&[&Id]>) -> Prompt {
        let parts = parts(criteria.call, criteria.model);
        let Some(shared) = shared_hash(&parts) else {
            return Prompt { parts, preferred: None };
        };
        let name = shared.to_string();
        let rank = |server: &&&Server| hash::stable(&[&name, server.replica.id.as_str()]);
        let is_left = |id: &&&Id| servers.iter().any(|server| server.replica.id == ***id);
        let preferred = match affine {
            Some(affine) => affine.iter().find(is_left).copied().cloned(),
            None => servers.iter().max_by_key(rank).map(|server| server.replica.id.clone()),
        };
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

/// Returns the hash by which requests that share all but the last part of their prompt are sent to
/// the same servers; `None` if nothing is shared.
pub fn affinity(criteria: &Criteria) -> Option<u64> {
    shared_hash(&parts(criteria.call, criteria.model))
}

/// Returns the hash of the last shared part.
fn shared_hash(parts: &[Part]) -> Option<u64> {
    Some(parts[parts.len().checked_sub(2)?].hash)
}

/// Returns the parts of a call's prompt, hashed with the model.
fn parts(call: &Call, model: Option<&Model>) -> Vec<Part> {
    let model = model.map_or("", |model| model.as_str());
    let part =
        |part: &PromptPart| Part { hash: hash::stable(&[&part.id, model]), tokens: part.tokens };
    call.prompt.iter().map(part).collect()
}
