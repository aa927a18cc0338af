//! Digests that all VMs work out alike and that nobody can aim at.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// A digest: the first 128 bits of SHA-256.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Digest(pub u64, pub u64);

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}{:016x}", self.0, self.1)
    }
}

/// Digest of parts, each told apart from the next.
pub fn digest(parts: &[&[u8]]) -> Digest {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let bytes = hasher.finalize();
    let number = |at: usize| {
        let eight: [u8; 8] = bytes[at..at + 8].try_into().expect("eight bytes");
        u64::from_be_bytes(eight)
    };
    Digest(number(0), number(8))
}
