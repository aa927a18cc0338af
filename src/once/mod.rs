//! Calls that may not be repeated: claimed by key before the first byte leaves.

mod claim;
mod owner;
mod reserved;
mod shard;

pub use crate::unit::{Digest, digest};
pub use claim::{Answer, Claim, Outcome, SHARDS, Settled, shard_of};
pub use owner::{Owner, SETTLE_WITHIN};
pub use reserved::{Reserved, Word};
pub use shard::{Record, Shard};
