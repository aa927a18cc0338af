//! Idempotency keys: a call that may run at most once claims its key before it is sent.

mod claim;
mod owner;
mod reserved;
mod shard;

pub use crate::unit::{Digest, digest};
pub use claim::{Answer, Claim, Outcome, SHARDS, Settlement, shard_of};
pub use owner::{MAX_SETTLE_DELAY, ShardOwner};
pub use reserved::{KeyGrant, ReservedKeys};
pub use shard::{Record, Shard};
