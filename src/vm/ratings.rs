//! Sends samples to the rating service and adds the ratings to the evidence.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::control::Control;
use crate::evidence::{Counts, Key};
use crate::standin::rating::Sample;
use crate::unit::{Date, RequestId, Span};

/// Time between two exchanges with the rating service.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum number of samples that wait for a rating; beyond it the oldest is dropped.
const MAX_PENDING_SAMPLES: usize = 20_000;

/// Weight of the latest rating in the moving average of the lag.
const SMOOTHING_FACTOR: f64 = 0.1;

/// The counters that the rating of a sample is added to.
#[derive(Clone, Debug)]
pub struct PendingSample {
    /// Counters to add to.
    pub keys: Vec<Key>,
    /// Time at which the answer was sent.
    pub answered_at: Date,
}

thread_local! {
    // One control thread serves one VM, so its queue needs no lock.
    static OUTBOX: RefCell<Vec<Sample>> = const { RefCell::new(Vec::new()) };
}

/// Samples that wait for a rating, and the average lag of ratings.
#[derive(Debug, Default)]
pub struct PendingSamples {
    samples: HashMap<RequestId, PendingSample>,
    order: VecDeque<RequestId>,
    mean_lag: f64,
}

impl PendingSamples {
    /// Inserts a sample with the counters that its rating will be added to.
    pub fn insert(&mut self, request: RequestId, pending: PendingSample) {
        if self.order.len() >= MAX_PENDING_SAMPLES
            && let Some(oldest) = self.order.pop_front()
        {
            self.samples.remove(&oldest);
        }
        self.order.push_back(request.clone());
        self.samples.insert(request, pending);
    }

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

    /// Returns the average time from an answer to its rating.
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
            let more = Counts { rated: 1, poor: u64::from(!rating.pass), ..Counts::default() };
            for key in pending.keys {
                control.vm.record_evidence(key, more);
            }
        }
    }
}
