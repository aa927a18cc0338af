//! Rates of workspaces as shares of one limit, and concurrency that adapts to a pool.

use crate::unit::{Moment, Rate, Span};

/// Seconds of its rate that a workspace may spend at once.
const BURST_SECS: f64 = 1.0;

/// A VM's part of a limit never falls below this fraction of an even part, so that a workspace
/// whose callers move to it is not refused while the news spreads.
const LEAST: f64 = 0.2;

/// A workspace's part of its limit on one VM.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    level: f64,
    at: Moment,
}

impl TokenBucket {
    /// A full bucket.
    pub fn new(rate: Rate, now: Moment) -> TokenBucket {
        TokenBucket { level: (rate.0 * BURST_SECS).max(1.0), at: now }
    }

    /// Takes a request, or says how long to wait.
    pub fn take(&mut self, rate: Rate, now: Moment) -> Result<(), Span> {
        let gained = now.since(self.at).as_secs() * rate.0;
        self.level = (self.level + gained).min((rate.0 * BURST_SECS).max(1.0));
        self.at = now;
        if self.level >= 1.0 {
            self.level -= 1.0;
            return Ok(());
        }
        let wait = (1.0 - self.level) / rate.0.max(1e-3);
        Err(Span((wait * 1e6) as u64))
    }
}

/// This VM's part of a limit, from the demand it met and that of all VMs.
pub fn local_share(limit: Rate, own: f64, all: f64, vms: usize) -> Rate {
    let even = 1.0 / vms.max(1) as f64;
    let share = if all > 0.0 { own / all } else { even };
    let floor = LEAST * even;
    // The floors of the others must fit too.
    Rate(limit.0 * (floor + share * (1.0 - LEAST)))
}

/// Part of a limit that VMs share out; the rest is for those that are not known yet.
const SHARED_OUT: f64 = 0.85;

/// One VM's even part of a limit on what many have open, at least one.
pub fn even_share(limit: u32, vms: u32) -> u32 {
    ((f64::from(limit) * SHARED_OUT / f64::from(vms.max(1))) as u32).max(1)
}

/// Rise of an adaptive limit at each look, while it is used and hardly anyone met a full pool.
const RISE: f64 = 0.04;

/// Share of requests that may find the pool full or end late before the limit falls: some must,
/// or the limit would not be known to be near the pool's.
const BORNE: f64 = 0.08;

/// How fast the limit falls with the share beyond that.
const FALL: f64 = 0.25;

/// Concurrency of one VM towards one pool, which adapts to late answers and refusals.
#[derive(Clone, Copy, Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    most: f64,
    good: f64,
    bad: f64,
    used: bool,
}

impl ConcurrencyLimit {
    /// Begins at `limit` and never exceeds `most`.
    pub fn new(limit: f64, most: f64) -> ConcurrencyLimit {
        ConcurrencyLimit { limit: limit.clamp(1.0, most), most, good: 0.0, bad: 0.0, used: false }
    }

    /// The present limit.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Whether one more fits.
    pub fn admits(&mut self, running: f64) -> bool {
        let fits = running + 1.0 <= self.limit;
        self.used |= !fits;
        fits
    }

    /// An answer came in time.
    pub fn record_success(&mut self) {
        self.good += 1.0;
    }

    /// An answer came late, or no back end had room.
    pub fn record_overload(&mut self) {
        self.bad += 1.0;
    }

    /// Adapts to what was met since the last look.
    pub fn adapt(&mut self) {
        let all = self.good + self.bad;
        if all == 0.0 {
            return;
        }
        let beyond = self.bad / all - BORNE;
        if beyond > 0.0 {
            self.limit = (self.limit * (1.0 - FALL * beyond)).max(1.0);
        } else if self.used {
            self.limit = (self.limit * (1.0 + RISE)).max(self.limit + 0.5).min(self.most);
        }
        self.good = 0.0;
        self.bad = 0.0;
        self.used = false;
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
        assert!(bucket.take(Rate(1.0), Moment(0)).is_ok());
        assert_eq!(bucket.take(Rate(1.0), Moment(500_000)), Err(Span(500_000)));
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
