//! A prompt by its parts: how much of it each server would have to read.

use super::Criteria;
use crate::forward::call::{Call, PromptPart};
use crate::forward::server::Server;
use crate::unit::{Model, Moment, Server as Id, hash};

/// The parts of a prompt, and where the shared ones are thought to be.
pub struct Prompt {
    parts: Vec<Part>,
    /// The server that is first for requests with the same last shared part: prefix affinity, which all VMs work out alike.
    affine: Option<Id>,
}

/// One part of a prompt.
struct Part {
    /// Hash of the part with the model, since models share nothing.
    hash: u64,
    tokens: u64,
}

impl Prompt {
    /// The prompt of a request that was sent, whichever server was first for it.
    pub fn without_affinity(call: &Call, model: Option<&Model>) -> Prompt {
        Prompt { parts: parts(call, model), affine: None }
    }

    /// The prompt of a request that one of these servers may get.
    pub fn new(criteria: &Criteria, servers: &[&Server]) -> Prompt {
        let parts = parts(criteria.call, criteria.model);
        let Some(shared) = parts.len().checked_sub(2) else {
            return Prompt { parts, affine: None };
        };
        let name = parts[shared].hash.to_string();
        let rank = |server: &&&Server| hash::stable(&[&name, server.replica.id.as_str()]);
        let affine = servers.iter().max_by_key(rank).map(|server| server.replica.id.clone());
        Prompt { parts, affine }
    }

    /// Hashes of its parts.
    pub fn hashes(&self) -> impl Iterator<Item = u64> {
        self.parts.iter().map(|part| part.hash)
    }

    /// Tokens of all its parts.
    pub fn tokens(&self) -> u64 {
        self.parts.iter().map(|part| part.tokens).sum()
    }

    /// Tokens that a server would have to read: parts from the first that it does not hold.
    pub fn uncached_tokens(&self, server: &Server, now: Moment) -> u64 {
        let is_affine = self.affine.as_ref() == Some(&server.replica.id);
        let last = self.parts.len().saturating_sub(1);
        let held =
            |at: usize, part: &Part| (is_affine && at < last) || server.has_prefix(part.hash, now);
        let first = self.parts.iter().enumerate().position(|(at, part)| !held(at, part));
        let from = first.unwrap_or(self.parts.len());
        self.parts[from..].iter().map(|part| part.tokens).sum()
    }
}

fn parts(call: &Call, model: Option<&Model>) -> Vec<Part> {
    let model = model.map_or("", |model| model.as_str());
    let part =
        |part: &PromptPart| Part { hash: hash::stable(&[&part.id, model]), tokens: part.tokens };
    call.prompt.iter().map(part).collect()
}
