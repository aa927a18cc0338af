//! Whether a small model's answer, which nobody has seen yet, gives way to one of a larger model.
//!
//! A second run buys quality with the time of an engine. While servers are idle that time is cheap, and
//! doubt decides. The longer requests wait, the more each second run delays others, and the longer its
//! own reading takes of the time to the goal, the surer it must be of a gain.

use crate::unit::Span;

/// An answer is kept from this confidence on, in hundredths, unless a flag says otherwise.
pub const KEEP_CONFIDENCE: f64 = 60.0;

/// Mean wait, as a part of the goal, at which no answer gives way any more.
const MAX_PRESSURE: f64 = 0.4;

/// A reading that takes all of the time to the goal takes this off the confidence below which an answer
/// gives way.
const PREFILL_PENALTY: f64 = 0.5;

/// An answer that comes late is worth about this part of one in time.
const LATE_ANSWER_WORTH: f64 = 0.3;

/// What is known when a small model's answer is there.
#[derive(Clone, Copy, Debug)]
pub struct Inputs {
    /// The small model's confidence, 0 to 1.
    pub confidence: f64,
    /// The confidence from which on its answer is kept however idle servers are, 0 to 1.
    pub keep_confidence: f64,
    /// Mean wait at the servers of late, as a part of the goal.
    pub pressure: f64,
    /// Time that its prompt would wait at the larger model's server.
    pub queue_wait: Span,
    /// Time that reading it there would take.
    pub prefill_time: Span,
    /// Time left to the goal.
    pub time_left: Span,
}

/// Whether the answer gives way.
pub fn should_escalate(inputs: &Inputs) -> bool {
    inputs.confidence < threshold(inputs)
}

/// The confidence below which it does.
fn threshold(inputs: &Inputs) -> f64 {
    let time_left = inputs.time_left.0.max(1) as f64;
    let prefill_share = inputs.prefill_time.0 as f64 / time_left;
    let room = (1.0 - inputs.pressure / MAX_PRESSURE).max(0.0);
    let threshold = inputs.keep_confidence * room - PREFILL_PENALTY * prefill_share;
    let in_time = inputs.queue_wait.0 + inputs.prefill_time.0 <= inputs.time_left.0;
    if in_time { threshold } else { threshold.min(LATE_ANSWER_WORTH) }
}
