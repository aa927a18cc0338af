//! Idempotency keys: a call that may run at most once claims its key before it is sent.
//!
//! Keys are divided into *shards* by hash. The *owner* of a shard, any VM at a time, writes
//! *claims* of keys and the outcomes (*settlements*) of the claimed calls to the store, as a
//! *chain* of objects, the *links*, each of which is created once and never changed. Every 256
//! links are copied into a *segment*. A key may also be *reserved* before its call; then the VM
//! that reserved the key, its *holder*, decides alone which call uses it.

mod claim;
mod owner;
mod reserved;
mod shard;

pub use crate::unit::{Digest, digest};
pub use claim::{Answer, Claim, Outcome, SHARDS, Settlement, shard_of};
pub use owner::{MAX_SETTLE_DELAY, ShardOwner};
pub use reserved::{KeyGrant, ReservedKeys};
pub use shard::{Record, Shard};
