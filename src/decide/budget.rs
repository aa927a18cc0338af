//! Budget of repeated sends (retries and second runs): a share of the requests in a sliding window.

use std::collections::VecDeque;

use crate::unit::{Moment, Span};

/// Number of buckets into which the sliding window is divided.
const BUCKETS: u64 = 20;

/// Fraction of the configured ratio of repeated sends to first sends that is used; the rest is a
/// margin, since users measure windows that are not aligned with the buckets.
const USED_FRACTION: f64 = 0.9;

/// Fraction of the budget that is reserved for retries after failures: a second run for a better
/// response must not leave a failed request without the retry that would save it.
const RESERVED_FRACTION: f64 = 0.25;

/// Numbers of first and repeated sends in one slice of the sliding window.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// Time since the epoch of `Moment`, in bucket lengths.
    number: u64,
    /// First sends of requests.
    firsts: u32,
    /// Repeated sends of requests.
    repeats: u32,
}

/// One VM's retry budget for one service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    bucket_length: Span,
    /// Repeated sends allowed per first send, after [`USED_FRACTION`].
    retry_ratio: f64,
    /// Repeated sends allowed in a window whatever the number of first sends.
    extra_retries: u32,
    buckets: VecDeque<Bucket>,
}

impl RetryBudget {
    /// Creates a budget of `share` of the requests in `window`, plus one retry until
    /// [`RetryBudget::set_extra_retries`] is called.
    pub fn new(window: Span, share: f64) -> RetryBudget {
        let bucket_length = Span((window.0 / BUCKETS).max(1));
        RetryBudget {
            bucket_length,
            retry_ratio: share * USED_FRACTION,
            extra_retries: 1,
            buckets: VecDeque::new(),
        }
    }

    /// Sets how many retries per window are allowed beyond the share of requests: this VM's part of
    /// the number that all VMs together may spend.
    pub fn set_extra_retries(&mut self, extra: u32) {
        self.extra_retries = extra;
    }

    /// Records the first send of a request, which adds to the budget.
    pub fn record_first(&mut self, now: Moment) {
        self.bucket(now).firsts += 1;
    }

    /// Spends one repeated send after a failure. Returns false if the budget is used up.
    pub fn try_spend(&mut self, now: Moment) -> bool {
        self.spend_fraction(1.0, now)
    }

    /// Spends one repeated send that does not follow a failure. Returns false if only the part that
    /// is reserved for failures is left.
    pub fn try_spend_optional(&mut self, now: Moment) -> bool {
        self.spend_fraction(1.0 - RESERVED_FRACTION, now)
    }

    /// Spends one repeated send if at most `fraction` of the budget of the window is spent then.
    fn spend_fraction(&mut self, fraction: f64, now: Moment) -> bool {
        self.bucket(now);
        let firsts: u32 = self.buckets.iter().map(|bucket| bucket.firsts).sum();
        let repeats: u32 = self.buckets.iter().map(|bucket| bucket.repeats).sum();
        let all = f64::from(firsts) * self.retry_ratio + f64::from(self.extra_retries);
        if f64::from(repeats) + 1.0 > all * fraction {
            return false;
        }
        self.bucket(now).repeats += 1;
        true
    }

    /// Returns the bucket of the current time and drops buckets that have left the window.
    fn bucket(&mut self, now: Moment) -> &mut Bucket {
        let number = now.0 / self.bucket_length.0;
        while self.buckets.front().is_some_and(|bucket| bucket.number + BUCKETS < number) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|bucket| bucket.number != number) {
            self.buckets.push_back(Bucket { number, firsts: 0, repeats: 0 });
        }
        self.buckets.back_mut().expect("it was just pushed")
    }
}
