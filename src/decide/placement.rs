//! Choice of the backend server for a request: the least loaded, or the one that reads its prompt
//! soonest.

use crate::unit::Span;

/// Utilization added to a server in another data centre: traffic between data centres is paid for,
/// and avoiding a short queue is not worth it.
const REMOTE_PENALTY: f64 = 0.15;

/// A prompt is sent to another data centre only if that saves this many microseconds per byte,
/// since the traffic is paid for.
const TRANSFER_MICROS_PER_BYTE: f64 = 10.0;

/// Concurrent requests slow each other down a little: a full server counts as this many
/// microseconds slower than an empty one.
const FULL_SERVER_MICROS: f64 = 150_000.0;

/// A server that may get the request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Estimated number of requests that it holds.
    pub load: f64,
    /// Number of requests that it runs concurrently.
    pub slots: f64,
    /// True if it is in the VM's own data centre.
    pub local: bool,
    /// Time until the prompt would be read there: queued work plus those of its tokens that the
    /// server has not cached.
    pub until_prefilled: Span,
    /// The part of it that is the prefill of the prompt itself.
    pub prefill: Span,
}

impl Candidate {
    fn utilization(&self) -> f64 {
        self.load / self.slots.max(1.0)
    }
}

/// Returns the index of the candidate where a prompt of `bytes` is read soonest, or none if there
/// is no candidate.
pub fn select_soonest(candidates: &[Candidate], bytes: usize) -> Option<usize> {
    let score = |candidate: &Candidate| {
        let transfer = if candidate.local { 0.0 } else { bytes as f64 * TRANSFER_MICROS_PER_BYTE };
        candidate.until_prefilled.0 as f64 + candidate.utilization() * FULL_SERVER_MICROS + transfer
    };
    let scores = candidates.iter().map(score).enumerate();
    scores.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(at, _)| at)
}

/// Returns the index of the least loaded candidate; `point`, between 0 and 1, chooses among equals.
pub fn select_least_loaded(candidates: &[Candidate], point: f64) -> Option<usize> {
    let score = |candidate: &Candidate| {
        candidate.utilization() + if candidate.local { 0.0 } else { REMOTE_PENALTY }
    };
    let least = candidates.iter().map(score).fold(f64::MAX, f64::min);
    let equal: Vec<usize> =
        (0..candidates.len()).filter(|i| score(&candidates[*i]) <= least + 1e-9).collect();
    let at = (point * equal.len() as f64) as usize;
    equal.get(at.min(equal.len().saturating_sub(1))).copied()
}
