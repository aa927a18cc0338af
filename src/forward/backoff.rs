//! Exponential backoff with jitter after failed calls to the store.

use crate::decide::freshness::FIRST_RETRY_DELAY;
use crate::unit::Span;

/// Number of failures after which the delay no longer doubles.
const MAX_DOUBLINGS: u32 = 8;

/// Delays that double with each failure. A random part of up to a half keeps VMs from calling the
/// store at the same moments.
#[derive(Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Returns true if a call has failed since this backoff was created.
    pub fn has_failed(&self) -> bool {
        self.failures > 0
    }

    /// Records a failure and returns the delay before the next call, at most `longest`.
    pub fn next_delay(&mut self, longest: Span) -> Span {
        let doubled = FIRST_RETRY_DELAY.0 << self.failures.min(MAX_DOUBLINGS);
        self.failures += 1;
        with_jitter(Span(doubled).min(longest))
    }
}

/// Returns a random delay between a half and the whole of `longest`.
pub fn with_jitter(longest: Span) -> Span {
    longest.mul_f64(0.5 + 0.5 * rand::random::<f64>())
}
