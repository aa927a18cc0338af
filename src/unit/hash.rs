//! Hashes that all VMs work out alike, whatever their build.

use std::hash::{DefaultHasher, Hash, Hasher};

/// The hash of some texts.
pub fn stable(parts: &[&str]) -> u64 {
    // `DefaultHasher::new` has fixed keys.
    let mut hasher = DefaultHasher::new();
    for part in parts {
        part.hash(&mut hasher);
    }
    hasher.finish()
}

/// A text that stands for another one in logs.
pub fn short(text: &str) -> String {
    format!("{:08x}", stable(&[text]) >> 32)
}

/// A point from 0 to 1 that follows from a hash.
pub fn point(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1u64 << 53) as f64
}
