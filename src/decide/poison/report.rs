//! Encodes the requests that were open at a server when it crashed for messages between VMs.
//!
//! A message lists digests. A request without shared parts is its content; one with shared parts is
//! its content, the parts, and its content again, so that the list says where a request ends. A VM
//! that knows contents alone counts each digest as one, and the repeated ones once.

use serde::{Deserialize, Serialize};

use super::evidence::BrokenRequest;
use super::fingerprint::Fingerprint;
use crate::unit::Digest;

/// Maximum number of digests in a report; each takes some 20 bytes. Requests that had run for a
/// while, the less likely causes, are left out first.
const MAX_DIGESTS: usize = 512;

/// A digest of a request that was open at a server incarnation when the server crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenRequest {
    /// Digest of the request's content or of a shared part of its prompt.
    pub content: Digest,
    /// True if the request had produced events at the server for
    /// [`STABLE_AFTER`](super::STABLE_AFTER) before the crash.
    pub was_stable: bool,
}

/// Encodes requests.
pub fn encode(requests: &[BrokenRequest]) -> Vec<OpenRequest> {
    let mut ordered: Vec<&BrokenRequest> = requests.iter().collect();
    ordered.sort_by_key(|request| request.was_stable);
    let mut encoded = Vec::new();
    for BrokenRequest { fingerprint, was_stable } in ordered {
        let digests = fingerprint.digests();
        let end = (digests.len() > 1).then(|| fingerprint.content());
        if encoded.len() + digests.len() + 1 > MAX_DIGESTS {
            break;
        }
        let entry = |content| OpenRequest { content, was_stable: *was_stable };
        encoded.extend(digests.iter().copied().chain(end).map(entry));
    }
    encoded
}

/// Decodes requests.
pub fn decode(mut encoded: &[OpenRequest]) -> Vec<BrokenRequest> {
    let mut requests = Vec::new();
    while let Some((first, rest)) = encoded.split_first() {
        let end = rest.iter().position(|entry| entry.content == first.content);
        let length = end.map_or(1, |end| end + 1);
        let digests: Vec<Digest> = encoded[..length].iter().map(|entry| entry.content).collect();
        let fingerprint = Fingerprint::from_digests(&digests);
        requests.push(BrokenRequest { fingerprint, was_stable: first.was_stable });
        encoded = &encoded[length + usize::from(end.is_some())..];
    }
    requests
}
