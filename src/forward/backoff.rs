//! Pauses after failed calls to the store.

use crate::unit::Span;

/// First pause after a failed call.
const INITIAL_DELAY: Span = Span::millis(150);

/// Doublings at most.
const MAX_DOUBLINGS: u32 = 8;

/// Pauses that double, with a random part that keeps VMs apart.
#[derive(Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Whether the last call failed.
    pub fn has_failed(&self) -> bool {
        self.failures > 0
    }

    /// The pause after one more failure, at most `longest`.
    pub fn next_delay(&mut self, longest: Span) -> Span {
        let doubled = INITIAL_DELAY.0 << self.failures.min(MAX_DOUBLINGS);
        self.failures += 1;
        let most = doubled.min(longest.0) as f64;
        Span((most * (0.5 + 0.5 * rand::random::<f64>())) as u64)
    }
}
