//! Rate limits of workspaces, divided among VMs, and a concurrency limit that adapts to a pool.

use crate::unit::{Moment, Rate, Span};

/// Burst size of a workspace, in seconds of its rate.
const BURST_SECS: f64 = 1.0;

/// Fraction of an even share of a workspace's limit that each VM always gets. Otherwise callers
/// that move to another VM would be refused there until all VMs know of the new demand.
const MIN_SHARE_OF_EVEN: f64 = 0.2;

/// Token bucket that enforces one VM's share of a workspace's rate limit.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    /// Number of tokens at `updated_at`.
    level: f64,
    updated_at: Moment,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(rate: Rate, now: Moment) -> TokenBucket {
        TokenBucket { level: (rate.0 * BURST_SECS).max(1.0), updated_at: now }
    }

    /// Takes one token for a request. The error is the time until a token is available.
    pub fn try_take(&mut self, rate: Rate, now: Moment) -> Result<(), Span> {
        let gained = now.since(self.updated_at).as_secs() * rate.0;
        self.level = (self.level + gained).min((rate.0 * BURST_SECS).max(1.0));
        self.updated_at = now;
        if self.level >= 1.0 {
            self.level -= 1.0;
            return Ok(());
        }
        let wait = (1.0 - self.level) / rate.0.max(1e-3);
        Err(Span((wait * 1e6) as u64))
    }
}

/// Returns this VM's share of a workspace's rate limit, given the recent demand at this VM (`own`)
/// and at all VMs (`all`).
pub fn local_share(limit: Rate, own: f64, all: f64, vms: usize) -> Rate {
    let even = 1.0 / vms.max(1) as f64;
    let share = if all > 0.0 { own / all } else { even };
    let floor = MIN_SHARE_OF_EVEN * even;
    // The minimum shares of all VMs are part of the limit, so that the shares sum to it.
    Rate(limit.0 * (floor + share * (1.0 - MIN_SHARE_OF_EVEN)))
}

/// Fraction of a limit that [`even_share`] divides among the known VMs; the rest is a reserve for
/// VMs that are not known yet.
const ALLOCATED_FRACTION: f64 = 0.85;

/// Returns the share of one of `vms` VMs in a limit on a number of things (such as connections or
/// extra retries), at least one.
pub fn even_share(limit: u32, vms: u32) -> u32 {
    ((f64::from(limit) * ALLOCATED_FRACTION / f64::from(vms.max(1))) as u32).max(1)
}

/// Relative increase of the concurrency limit at each update, while all of the limit is in use and
/// hardly any request met a full pool.
const INCREASE_FACTOR: f64 = 0.04;

/// Fraction of requests that may find the pool full or end late before the concurrency limit
/// decreases. The fraction is not zero: without any such request nothing would show that the limit
/// is near the pool's capacity.
const TOLERATED_BAD_FRACTION: f64 = 0.08;

/// Relative decrease of the concurrency limit, times the fraction of bad requests beyond
/// [`TOLERATED_BAD_FRACTION`].
const DECREASE_FACTOR: f64 = 0.25;

/// Concurrency limit of one VM for one pool, which adapts to late responses and refusals.
#[derive(Clone, Copy, Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    max: f64,
    /// Responses in time since the last adjustment.
    good: f64,
    /// Late responses and refusals since the last adjustment.
    bad: f64,
    /// True if a request did not fit since the last adjustment.
    was_reached: bool,
}

impl ConcurrencyLimit {
    /// Creates a limit that starts at `limit` and never exceeds `max`.
    pub fn new(limit: f64, max: f64) -> ConcurrencyLimit {
        ConcurrencyLimit {
            limit: limit.clamp(1.0, max),
            max,
            good: 0.0,
            bad: 0.0,
            was_reached: false,
        }
    }

    /// Returns the number of requests that may run at once.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Returns true if one more request fits besides `running` others. A request that does not fit
    /// is remembered, as only a limit that was reached is increased.
    pub fn admits(&mut self, running: f64) -> bool {
        let fits = running + 1.0 <= self.limit;
        self.was_reached |= !fits;
        fits
    }

    /// Records a response that arrived in time.
    pub fn record_success(&mut self) {
        self.good += 1.0;
    }

    /// Records a request whose response was late, or for which no backend server had room.
    pub fn record_overload(&mut self) {
        self.bad += 1.0;
    }

    /// Adjusts the limit to the outcomes recorded since the last call of this function.
    pub fn adapt(&mut self) {
        let all = self.good + self.bad;
        if all == 0.0 {
            return;
        }
        let excess = self.bad / all - TOLERATED_BAD_FRACTION;
        if excess > 0.0 {
            self.limit = (self.limit * (1.0 - DECREASE_FACTOR * excess)).max(1.0);
        } else if self.was_reached {
            self.limit = (self.limit * (1.0 + INCREASE_FACTOR)).max(self.limit + 0.5).min(self.max);
        }
        self.good = 0.0;
        self.bad = 0.0;
        self.was_reached = false;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn parts_of_all_vms_sum_to_the_limit() {
        let demands = [10.0, 0.0, 30.0];
        let sum: f64 = demands.iter().map(|own| local_share(Rate(100.0), *own, 40.0, 3).0).sum();
        assert!((sum - 100.0).abs() < 1e-9, "{sum}");
    }

    #[test]
    fn a_bucket_says_when_to_come_back() {
        let mut bucket = TokenBucket::new(Rate(1.0), Moment(0));
        assert!(bucket.try_take(Rate(1.0), Moment(0)).is_ok());
        assert_eq!(bucket.try_take(Rate(1.0), Moment(500_000)), Err(Span(500_000)));
    }

    #[test]
    fn concurrency_falls_with_the_share_of_the_bad_and_rises_when_used() {
        let mut pool = ConcurrencyLimit::new(100.0, 200.0);
        (0..10).for_each(|_| pool.record_overload());
        pool.adapt();
        assert!(pool.limit() < 80.0, "{}", pool.limit());
        for _ in 0..50 {
            assert!(!pool.admits(200.0));
            pool.record_success();
            pool.adapt();
        }
        assert_eq!(pool.limit(), 200.0);
    }
}
