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
pub fn fingerprint(text: &str) -> String {
    format!("{:08x}", stable(&[text]) >> 32)
}

/// A point from 0 to 1 that follows from a hash.
pub fn to_unit_interval(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1u64 << 53) as f64
}

/// A cheap mixing of two numbers, for ranks that all work out alike.
pub fn mix(a: u64, b: u64) -> u64 {
    let mut x = a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
