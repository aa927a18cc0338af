//! Which backend server gets a request: the least loaded, or where its prompt is read soonest.

use crate::unit::Span;

/// A server in another data centre counts as fuller by this part of its slots: bytes between data
/// centres are paid for, a short queue is not worth them.
const FAR: f64 = 0.15;

/// A prompt goes to another data centre if that saves this many microseconds for each of its bytes, which are paid for.
const CARRY: f64 = 10.0;

/// Requests that run beside one another slow each other a little: a server that is full counts as
/// so much later than an empty one, in microseconds.
const FULL: f64 = 150_000.0;

/// A server that may get the request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Requests that it is thought to hold.
    pub load: f64,
    /// Requests that it works on at once.
    pub slots: f64,
    /// Whether it is in the VM's own data centre.
    pub local: bool,
    /// Time until the prompt would be read there: what waits, and its own tokens that the server
    /// does not hold.
    pub until_prefilled: Span,
    /// The part of it that is the reading of its own tokens.
    pub prefill: Span,
}

impl Candidate {
    fn fullness(&self) -> f64 {
        self.load / self.slots.max(1.0)
    }
}

/// The candidate where a prompt of so many bytes is read soonest; none if there is no candidate.
pub fn soonest(candidates: &[Candidate], bytes: usize) -> Option<usize> {
    let score = |one: &Candidate| {
        let carry = if one.local { 0.0 } else { bytes as f64 * CARRY };
        one.until_prefilled.0 as f64 + one.fullness() * FULL + carry
    };
    let scores = candidates.iter().map(score).enumerate();
    scores.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(at, _)| at)
}

/// The least loaded candidate; `point` between 0 and 1 decides between equals.
pub fn least_loaded(candidates: &[Candidate], point: f64) -> Option<usize> {
    let score = |one: &Candidate| one.fullness() + if one.local { 0.0 } else { FAR };
    let least = candidates.iter().map(score).fold(f64::MAX, f64::min);
    let equal: Vec<usize> =
        (0..candidates.len()).filter(|i| score(&candidates[*i]) <= least + 1e-9).collect();
    let at = (point * equal.len() as f64) as usize;
    equal.get(at.min(equal.len().saturating_sub(1))).copied()
}
