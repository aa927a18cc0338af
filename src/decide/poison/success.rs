//! Digests of requests that recently ran well.

use std::collections::HashMap;

use crate::unit::{Digest, Moment, Span};

/// Time after a success during which crashes do not count against its digests. A prompt that many
/// callers send is open at every server that crashes, but it also completes many times a second.
pub const SUCCESS_TTL: Span = Span::secs(30);

/// Maximum number of digests whose last success is remembered. They are kept apart from suspects
/// and evict none.
const MAX_SUCCESSES: usize = 4_000;

/// Digests with the time of their last success. The older half is dropped when the younger half is
/// full or [`SUCCESS_TTL`] old.
#[derive(Clone, Debug, Default)]
pub struct Successes {
    younger: HashMap<Digest, Moment>,
    older: HashMap<Digest, Moment>,
    rotated_at: Moment,
}

impl Successes {
    /// Records a success at the moment `at`.
    pub fn record(&mut self, digest: Digest, at: Moment, now: Moment) {
        if self.younger.len() >= MAX_SUCCESSES / 2 || now.since(self.rotated_at) >= SUCCESS_TTL {
            self.older = std::mem::take(&mut self.younger);
            self.rotated_at = now;
        }
        let known = self.younger.entry(digest).or_insert(at);
        *known = at.max(*known);
    }

    /// Returns the time of the last success.
    pub fn last(&self, digest: &Digest) -> Option<Moment> {
        self.younger.get(digest).max(self.older.get(digest)).copied()
    }

    /// Returns true if a recent success clears a digest of a crash at the moment `at`.
    pub fn clears(&self, digest: &Digest, at: Moment) -> bool {
        self.last(digest).is_some_and(|last| at <= last + SUCCESS_TTL)
    }
}
