//! Choice of the backend server for a request: the least loaded one, or for a model request the one
//! that finishes the prefill of the prompt soonest.

use crate::unit::Span;

/// Utilization added to a server in another data centre: traffic between data centres costs money,
/// which is not worth paying to avoid a short queue.
const REMOTE_PENALTY: f64 = 0.15;

/// Microseconds per byte of the prompt that a server in another data centre must save to be chosen,
/// since the traffic costs money.
const TRANSFER_MICROS_PER_BYTE: f64 = 10.0;

/// Microseconds by which a full server counts as slower than an empty one, since concurrent
/// requests slow each other down a little.
const FULL_SERVER_MICROS: f64 = 150_000.0;

/// A server that may get the request, with the inputs of the choice.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Estimated number of requests at the server, running and queued.
    pub load: f64,
    /// Number of requests that the server runs concurrently.
    pub slots: f64,
    /// True if the server is in the VM's own data centre.
    pub local: bool,
    /// Time until the server would have read the prompt: the queued work plus the prefill of the
    /// prompt's tokens that the server has not cached.
    pub until_prefilled: Span,
    /// Prefill time of the prompt's uncached tokens alone, without the queued work.
    pub prefill: Span,
}

impl Candidate {
    /// Returns the load of the server as a fraction of its slots.
    fn utilization(&self) -> f64 {
        self.load / self.slots.max(1.0)
    }
}

/// Returns the index of the candidate that finishes reading a prompt of `bytes` bytes soonest; none
/// if there is no candidate.
pub fn select_soonest(candidates: &[Candidate], bytes: usize) -> Option<usize> {
    let score = |candidate: &Candidate| {
        let transfer = if candidate.local { 0.0 } else { bytes as f64 * TRANSFER_MICROS_PER_BYTE };
        candidate.until_prefilled.0 as f64 + candidate.utilization() * FULL_SERVER_MICROS + transfer
    };
    let scores = candidates.iter().map(score).enumerate();
    scores.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(at, _)| at)
}

/// Returns the index of the least loaded candidate; none if there is no candidate. `point`, uniform
/// from 0 to 1, chooses among equally loaded ones.
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
