//! Cryptographic digests: equal on all VMs, and collisions cannot be constructed.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// First 128 bits of a SHA-256 digest.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Digest(pub u64, pub u64);

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}{:016x}", self.0, self.1)
    }
}

/// Returns the digest of a sequence of parts. The length of each part is hashed too, so that other
/// splits of the same bytes give other digests.
pub fn digest(parts: &[&[u8]]) -> Digest {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let bytes = hasher.finalize();
    let word = |start: usize| {
        let eight: [u8; 8] = bytes[start..start + 8].try_into().expect("eight bytes");
        u64::from_be_bytes(eight)
    };
    Digest(word(0), word(8))
}
