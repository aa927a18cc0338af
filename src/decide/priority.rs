//! Priority of a prompt in the queue of a backend server.
//!
//! Servers read the prompt with the highest priority first. A prompt that is short relative to the
//! time left to its latency goal goes before a long one: a short prompt delays a long one little,
//! while a long prompt would make a short one late.

use crate::unit::Span;

/// Number of classes of prefill time (short, medium, long) within each priority of a workspace.
const PREFILL_CLASSES: u32 = 3;

/// The lowest priority that servers support.
const LOWEST_PRIORITY: u32 = 9;

/// Fraction of the time left to the latency goal up to which a prefill counts as short.
const SHORT_FRACTION: f64 = 0.05;

/// Fraction of the time left to the latency goal up to which a prefill counts as medium.
const MEDIUM_FRACTION: f64 = 0.2;

/// Returns the priority, 0 being the highest, of a prompt whose prefill takes `prefill` and that
/// has `left` until its latency goal; `workspace` is the priority of its workspace.
pub fn prompt_priority(workspace: u32, prefill: Span, left: Span) -> u32 {
    let (prefill, left) = (prefill.0 as f64, left.0 as f64);
    let class = match prefill {
        _ if prefill <= SHORT_FRACTION * left => 0,
        _ if prefill <= MEDIUM_FRACTION * left => 1,
        _ => 2,
    };
    (workspace * PREFILL_CLASSES + class).min(LOWEST_PRIORITY)
}
