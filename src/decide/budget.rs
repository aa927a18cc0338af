//! Budget of repeated sends: a share of the requests in a sliding window.

use std::collections::VecDeque;

use crate::unit::{Moment, Span};

/// Number of buckets that the window is counted in.
const BUCKETS: u64 = 20;

/// Fraction of the agreed ratio that is used; the rest is a margin for windows that are not aligned
/// with the buckets.
const USED_FRACTION: f64 = 0.9;

/// Fraction of the budget that is reserved for failures: a second run for a better response must
/// not leave a failed request without the retry that would save it.
const RESERVED_FRACTION: f64 = 0.25;

#[derive(Clone, Copy, Debug)]
struct Bucket {
    number: u64,
    firsts: u32,
    repeats: u32,
}

/// One VM's retry budget for one service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    bucket_length: Span,
    retry_ratio: f64,
    extra_retries: u32,
    buckets: VecDeque<Bucket>,
}

impl RetryBudget {
    /// Creates a budget of `share` of the requests in `window`, plus one retry until `set_extra` is
    /// called.
    pub fn new(window: Span, share: f64) -> RetryBudget {
        let bucket_length = Span((window.0 / BUCKETS).max(1));
        RetryBudget {
            bucket_length,
            retry_ratio: share * USED_FRACTION,
            extra_retries: 1,
            buckets: VecDeque::new(),
        }
    }

    /// Sets the number of retries beyond the share: this VM's part of what all VMs together may
    /// spend.
    pub fn set_extra_retries(&mut self, extra: u32) {
        self.extra_retries = extra;
    }

    /// Records that a request is sent for the first time.
    pub fn record_first(&mut self, now: Moment) {
        self.bucket(now).firsts += 1;
    }

    /// Takes a repeated send from the budget and returns true, or returns false if none is left.
    pub fn try_spend(&mut self, now: Moment) -> bool {
        self.spend_fraction(1.0, now)
    }

    /// Takes a repeated send that does not follow a failure, if the budget beyond the reserved
    /// fraction allows it.
    pub fn try_spend_optional(&mut self, now: Moment) -> bool {
        self.spend_fraction(1.0 - RESERVED_FRACTION, now)
    }

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

    /// Returns the current bucket and drops those that have left the window.
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
