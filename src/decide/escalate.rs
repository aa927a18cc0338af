//! Decides whether an answer of a small model, which no caller has seen yet, is discarded for one
//! of a larger model.
//!
//! A second run, on the larger model, costs engine time for a better answer. While servers are idle
//! engine time is cheap, and the confidence that the small model states for its answer decides. The
//! longer requests wait, the more each second run delays others; and the more of the time left to
//! the latency goal the prefill of the second run takes, the lower the confidence must be to
//! justify it.

use crate::unit::Span;

/// Default of the confidence, in hundredths, from which the small model's answer is always kept; a
/// flag overrides it.
pub const KEEP_CONFIDENCE: f64 = 60.0;

/// Mean queue wait, as a fraction of the latency goal, from which no answer is escalated.
const MAX_PRESSURE: f64 = 0.4;

/// Reduction of the confidence threshold if the larger model's prefill takes all of the time left
/// to the latency goal; proportionally less for a shorter prefill.
const PREFILL_PENALTY: f64 = 0.5;

/// Maximum of the confidence threshold if the second answer would miss the latency goal, since a
/// late answer is worth this fraction of one in time.
const LATE_ANSWER_WORTH: f64 = 0.3;

/// Inputs of [`should_escalate`], taken when the small model's answer is complete.
#[derive(Clone, Copy, Debug)]
pub struct Inputs {
    /// Confidence of the small model, from 0 to 1.
    pub confidence: f64,
    /// Confidence from which the answer is kept even if all servers are idle, from 0 to 1.
    pub keep_confidence: f64,
    /// Recent mean queue wait at the servers, as a fraction of the latency goal.
    pub pressure: f64,
    /// Expected queue wait at the larger model's server.
    pub queue_wait: Span,
    /// Expected prefill time at the larger model's server.
    pub prefill_time: Span,
    /// Time left to the latency goal.
    pub time_left: Span,
}

/// Returns true if the small model's answer is discarded and the request is sent to the larger
/// model.
pub fn should_escalate(inputs: &Inputs) -> bool {
    inputs.confidence < threshold(inputs)
}

/// Returns the confidence below which the small model's answer is discarded.
fn threshold(inputs: &Inputs) -> f64 {
    let time_left = inputs.time_left.0.max(1) as f64;
    let prefill_share = inputs.prefill_time.0 as f64 / time_left;
    let room = (1.0 - inputs.pressure / MAX_PRESSURE).max(0.0);
    let threshold = inputs.keep_confidence * room - PREFILL_PENALTY * prefill_share;
    let in_time = inputs.queue_wait.0 + inputs.prefill_time.0 <= inputs.time_left.0;
    if in_time { threshold } else { threshold.min(LATE_ANSWER_WORTH) }
}
