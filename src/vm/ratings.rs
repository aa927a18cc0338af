//! Gives samples to the rating service and turns ratings into evidence.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::control::Control;
use crate::evidence::{Counts, Key};
use crate::standin::rating::Sample;
use crate::unit::{Date, RequestId, Span};

/// Time between two exchanges with the rating service.
const EXCHANGE: Duration = Duration::from_millis(250);

/// Samples that wait for a rating at most; the oldest are given up.
const WAITING: usize = 20_000;

/// Weight of the latest rating in the usual lag.
const LATEST: f64 = 0.1;

/// What a sample's rating counts for.
#[derive(Clone, Debug)]
pub struct Subject {
    /// Counters to add to.
    pub keys: Vec<Key>,
    /// When the answer was given.
    pub date: Date,
}

thread_local! {
    // One control thread serves one VM, so its queue needs no lock.
    static OUT: RefCell<Vec<Sample>> = const { RefCell::new(Vec::new()) };
}

/// Samples that wait, and the usual lag of ratings.
#[derive(Debug, Default)]
pub struct Waiting {
    subjects: HashMap<RequestId, Subject>,
    order: VecDeque<RequestId>,
    lag: f64,
}

impl Waiting {
    /// Notes what the rating of a request will count for.
    pub fn note(&mut self, request: RequestId, subject: Subject) {
        if self.order.len() >= WAITING
            && let Some(oldest) = self.order.pop_front()
        {
            self.subjects.remove(&oldest);
        }
        self.order.push_back(request.clone());
        self.subjects.insert(request, subject);
    }

    fn take(&mut self, request: &RequestId, now: Date) -> Option<Subject> {
        let subject = self.subjects.remove(request)?;
        let lag = now.since(subject.date).as_secs();
        self.lag = if self.lag == 0.0 { lag } else { self.lag + LATEST * (lag - self.lag) };
        Some(subject)
    }

    /// The usual time from an answer to its rating.
    pub fn lag(&self) -> Span {
        Span((self.lag * 1e6) as u64)
    }
}

/// Queues a sample.
pub fn give(control: Control, sample: Sample) {
    if control.ratings.is_some() {
        OUT.with_borrow_mut(|out| out.push(sample));
    }
}

/// Exchanges samples and ratings for as long as the process runs.
pub async fn exchange(control: Control) {
    let Some(ratings) = control.ratings.clone() else {
        return;
    };
    loop {
        tokio::time::sleep(EXCHANGE).await;
        let samples = OUT.with_borrow_mut(std::mem::take);
        if !samples.is_empty() {
            ratings.submit(&samples).await;
        }
        let date = control.vm.clock.date();
        for rating in ratings.fetch(&control.vm.settings.vm).await {
            let subject =
                control.vm.waiting.lock().expect("no panic while held").take(&rating.request, date);
            let Some(subject) = subject else { continue };
            let more = Counts { rated: 1, poor: u64::from(!rating.pass), ..Counts::default() };
            for key in subject.keys {
                control.vm.learn(key, more);
            }
        }
    }
}
