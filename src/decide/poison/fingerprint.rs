//! What identifies a request as a possible cause of server crashes.

use std::sync::Arc;

use crate::unit::Digest;

/// Maximum number of shared parts of a prompt that are considered, the first ones.
const MAX_SHARED_PARTS: usize = 64;

/// Digests of what a request has in common with others that would crash servers for the same
/// reason: its content, then the shared parts of its prompt. They are ordered from the narrowest,
/// which the fewest requests have, to the widest: the later a part stands in a prompt, the fewer
/// requests share it. Clones share the digests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fingerprint(Arc<[Digest]>);

impl Fingerprint {
    /// Creates the fingerprint of a request with the shared parts of its prompt, in the order of
    /// the prompt. A part that occurs twice counts once.
    pub fn new(content: Digest, shared_parts: impl IntoIterator<Item = Digest>) -> Fingerprint {
        let mut digests: Vec<Digest> = shared_parts.into_iter().take(MAX_SHARED_PARTS).collect();
        digests.push(content);
        digests.reverse();
        Fingerprint::from_digests(&digests)
    }

    /// Creates a fingerprint from digests, of which the first is the content.
    pub(super) fn from_digests(digests: &[Digest]) -> Fingerprint {
        let is_first = |at: &usize| !digests[..*at].contains(&digests[*at]);
        (0..digests.len()).filter(is_first).map(|at| digests[at]).collect::<Vec<_>>().into()
    }

    /// Returns the digest of the content.
    pub fn content(&self) -> Digest {
        self.0.first().copied().unwrap_or_default()
    }

    /// Returns the digests of the shared parts, from the narrowest to the widest.
    pub fn shared_parts(&self) -> &[Digest] {
        self.0.get(1..).unwrap_or_default()
    }

    /// Returns all digests, from the narrowest to the widest.
    pub fn digests(&self) -> &[Digest] {
        &self.0
    }

    /// Returns true if this is one of the digests.
    pub fn contains(&self, digest: &Digest) -> bool {
        self.0.contains(digest)
    }
}

impl Default for Fingerprint {
    fn default() -> Fingerprint {
        Fingerprint::from(Digest::default())
    }
}

impl From<Digest> for Fingerprint {
    /// Returns the fingerprint of a request that shares no parts of its prompt.
    fn from(content: Digest) -> Fingerprint {
        Fingerprint::new(content, [])
    }
}

impl From<Vec<Digest>> for Fingerprint {
    fn from(digests: Vec<Digest>) -> Fingerprint {
        Fingerprint(digests.into())
    }
}
