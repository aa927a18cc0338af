//! Calls that may not be repeated: claimed by key before the first byte leaves.

mod claim;
mod owner;
mod reserved;
mod shard;

pub use claim::{Answer, Claim, Digest, Outcome, SHARDS, Settled, digest, shard_of};
pub use owner::{Owner, SETTLE_WITHIN};
pub use reserved::{Reserved, Word};
pub use shard::{Record, Shard};
