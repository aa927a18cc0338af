//! Queueing at the backend servers of a service, measured from recent responses.

use crate::unit::{Moment, Span};

/// Time in which the weight of a response falls to 1/e: long enough to cover several responses of
/// one VM, short enough to follow a burst.
const DECAY_TIME: Span = Span::millis(800);

/// Weight, in responses, of the prior that no request queues. A small one, so that the estimate
/// does not depend on how many requests a VM serves.
const PRIOR_WEIGHT: f64 = 0.2;

/// Maximum of a recorded queue time, in latency goals of its request, so that one stuck request
/// does not dominate.
const MAX_WAIT_GOALS: f64 = 2.0;

/// Recent queue times at the servers of a service, each relative to the latency goal of its
/// request, with weights that decay.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pressure {
    decayed_wait: f64,
    decayed_responses: f64,
    at: Moment,
}

impl Pressure {
    /// Records the time that a request queued, without its own prefill, and its latency goal.
    pub fn record(&mut self, waited: Span, goal: Span, now: Moment) {
        let decay = self.decay(now);
        let part = waited.0 as f64 / goal.0.max(1) as f64;
        self.decayed_wait = self.decayed_wait * decay + part.min(MAX_WAIT_GOALS);
        self.decayed_responses = self.decayed_responses * decay + 1.0;
        self.at = now;
    }

    /// Returns the recent mean queue time as a fraction of the latency goal; the value decays while
    /// no responses arrive.
    pub fn mean_wait(&self, now: Moment) -> f64 {
        let decay = self.decay(now);
        self.decayed_wait * decay / (self.decayed_responses * decay + PRIOR_WEIGHT)
    }

    /// Returns the factor by which weights decayed since the last record.
    fn decay(&self, now: Moment) -> f64 {
        (-(now.since(self.at).0 as f64) / DECAY_TIME.0 as f64).exp()
    }
}
