//! Hashes that are equal on all VMs, also on those of another build. Not cryptographic.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Returns the hash of a sequence of texts, which is the same in every process.
pub fn stable(parts: &[&str]) -> u64 {
    // `DefaultHasher::new` uses fixed keys, unlike `RandomState`.
    let mut hasher = DefaultHasher::new();
    for part in parts {
        part.hash(&mut hasher);
    }
    hasher.finish()
}

/// Returns eight hexadecimal digits that replace a text in logs.
pub fn fingerprint(text: &str) -> String {
    format!("{:08x}", stable(&[text]) >> 32)
}

/// Maps a hash to the interval from 0 (inclusive) to 1 (exclusive).
pub fn to_unit_interval(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1u64 << 53) as f64
}

/// Mixes two numbers into a hash, at little cost. Used for rankings that must be equal on all VMs.
pub fn mix(a: u64, b: u64) -> u64 {
    let mut x = a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
