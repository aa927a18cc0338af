//! Which backend server gets a request: the least loaded, or the home of its prompt while that
//! is not much fuller than the others.

/// The home of a prompt keeps a request while it holds no more than this many times the mean.
const HOME_SHARE: f64 = 1.25;

/// And this many requests beyond, so that an idle pool keeps its homes.
const HOME_SPARE: f64 = 3.0;

/// A server in another data centre counts as fuller by this part of its slots: bytes between data
/// centres are paid for, a short queue is not worth them.
const FAR: f64 = 0.15;

/// A server that may get the request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Requests that it is thought to hold.
    pub load: f64,
    /// Requests that it works on at once.
    pub slots: f64,
    /// Whether it is in the VM's own data centre.
    pub near: bool,
    /// Hash of the prompt and the server; the greatest is the prompt's home.
    pub affinity: u64,
}

impl Candidate {
    fn fullness(&self) -> f64 {
        self.load / self.slots.max(1.0)
    }
}

/// The home of a prompt among the candidates, or the next in its order that is not much fuller
/// than the mean; none if there is no candidate.
pub fn at_home(candidates: &[Candidate]) -> Option<usize> {
    let slots: f64 = candidates.iter().map(|one| one.slots).sum();
    let load: f64 = candidates.iter().map(|one| one.load).sum();
    let mean = load / slots.max(1.0);
    let fits = |one: &Candidate| one.load <= mean * one.slots * HOME_SHARE + HOME_SPARE;
    let fitting = (0..candidates.len()).filter(|i| fits(&candidates[*i]));
    fitting.max_by_key(|i| candidates[*i].affinity).or_else(|| least_loaded(candidates, 0.0))
}

/// The least loaded candidate; `point` between 0 and 1 decides between equals.
pub fn least_loaded(candidates: &[Candidate], point: f64) -> Option<usize> {
    let score = |one: &Candidate| one.fullness() + if one.near { 0.0 } else { FAR };
    let least = candidates.iter().map(score).fold(f64::MAX, f64::min);
    let equal: Vec<usize> =
        (0..candidates.len()).filter(|i| score(&candidates[*i]) <= least + 1e-9).collect();
    let at = (point * equal.len() as f64) as usize;
    equal.get(at.min(equal.len().saturating_sub(1))).copied()
}
