//! Calls that may not be repeated: claimed by key before the first byte leaves.

mod claim;
mod owner;
mod reserved;
mod shard;

pub use crate::unit::{Digest, digest};
pub use claim::{Answer, Claim, Outcome, SHARDS, Settlement, shard_of};
pub use owner::{MAX_SETTLE_DELAY, Owner};
pub use reserved::{KeyGrant, Reserved};
pub use shard::{Record, Shard};
