//! Rank of a prompt among those that wait at a backend server.
//!
//! Servers read the most urgent prompt first. A prompt that is short for the time it has left goes
//! before a long one: it holds up the long one little, while the long one would make it late.

use crate::unit::Span;

/// Ranks of reading within one rank of workspaces.
const RANKS: u32 = 3;

/// The lowest rank that servers know.
const LOWEST: u32 = 9;

/// Up to these parts of the time left to the goal a reading counts as short, and as middling.
const SHORT: f64 = 0.05;
const MIDDLING: f64 = 0.2;

/// The rank, 0 first, of a prompt that takes `reads` to read and has `left` to its goal.
pub fn prompt_priority(workspace: u32, reads: Span, left: Span) -> u32 {
    let (reads, left) = (reads.0 as f64, left.0 as f64);
    let reading = match reads {
        _ if reads <= SHORT * left => 0,
        _ if reads <= MIDDLING * left => 1,
        _ => 2,
    };
    (workspace * RANKS + reading).min(LOWEST)
}
