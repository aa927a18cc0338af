//! Sends samples (answers to be rated) to the rating service, and adds the ratings to the evidence.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::control::Control;
use crate::evidence::{Counts, Key};
use crate::standin::rating::Sample;
use crate::unit::{Date, RequestId, Span};

/// Time between two exchanges with the rating service.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum number of samples that wait for a rating; beyond the maximum the oldest is dropped.
const MAX_PENDING_SAMPLES: usize = 20_000;

/// Weight of the latest rating in the moving average of the time from an answer to its rating.
const SMOOTHING_FACTOR: f64 = 0.1;

/// A sample that waits for its rating: where the rating will be counted.
#[derive(Clone, Debug)]
pub struct PendingSample {
    /// Evidence keys under which the rating is counted.
    pub keys: Vec<Key>,
    /// Time at which the answer was sent.
    pub answered_at: Date,
}

thread_local! {
    // One control thread serves one VM, so its queue needs no lock.
    static OUTBOX: RefCell<Vec<Sample>> = const { RefCell::new(Vec::new()) };
}

/// Samples that wait for a rating, and the mean time from an answer to its rating.
#[derive(Debug, Default)]
pub struct PendingSamples {
    samples: HashMap<RequestId, PendingSample>,
    /// Requests of the samples, the oldest first.
    order: VecDeque<RequestId>,
    /// Mean time from an answer to its rating, in seconds; zero before the first rating.
    mean_lag: f64,
}

impl PendingSamples {
    /// Inserts the sample of a request.
    pub fn insert(&mut self, request: RequestId, pending: PendingSample) {
        if self.order.len() >= MAX_PENDING_SAMPLES
            && let Some(oldest) = self.order.pop_front()
        {
            self.samples.remove(&oldest);
        }
        self.order.push_back(request.clone());
        self.samples.insert(request, pending);
    }

    /// Removes the sample of a request whose rating arrived, and adds the rating to the mean lag.
    fn remove(&mut self, request: &RequestId, now: Date) -> Option<PendingSample> {
        let pending = self.samples.remove(request)?;
        let lag = now.since(pending.answered_at).as_secs();
        self.mean_lag = if self.mean_lag == 0.0 {
            lag
        } else {
            self.mean_lag + SMOOTHING_FACTOR * (lag - self.mean_lag)
        };
        Some(pending)
    }

    /// Returns the moving average of the time from an answer to its rating; zero before the first
    /// rating.
    pub fn mean_lag(&self) -> Span {
        Span((self.mean_lag * 1e6) as u64)
    }
}

/// Queues a sample for the next exchange; drops it if there is no rating service.
pub fn enqueue(control: Control, sample: Sample) {
    if control.ratings.is_some() {
        OUTBOX.with_borrow_mut(|outbox| outbox.push(sample));
    }
}

/// Exchanges samples and ratings with the rating service, if there is one, until the process ends.
pub async fn exchange(control: Control) {
    let Some(ratings) = control.ratings.clone() else {
        return;
    };
    loop {
        tokio::time::sleep(EXCHANGE_INTERVAL).await;
        let samples = OUTBOX.with_borrow_mut(std::mem::take);
        if !samples.is_empty() {
            ratings.submit(&samples).await;
        }
        let date = control.vm.clock.date();
        for rating in ratings.fetch(&control.vm.settings.vm).await {
            let pending = control
                .vm
                .pending_samples
                .lock()
                .expect("no panic while held")
                .remove(&rating.request, date);
            let Some(pending) = pending else { continue };
            let more = Counts { rated: 1, poor: u64::from(!rating.is_good), ..Counts::default() };
            for key in pending.keys {
                control.vm.record_evidence(key, more);
            }
        }
    }
}
