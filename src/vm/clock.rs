//! The clocks of a process; only the edges read them, and hand the time on.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use crate::unit::{Date, Moment};

/// Moments begin here, so that none is nought.
const FIRST: u64 = 1_000_000;

/// A process's clocks.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Default for Clock {
    fn default() -> Clock {
        Clock { start: Instant::now() }
    }
}

impl Clock {
    /// The present moment.
    pub fn now(&self) -> Moment {
        Moment(FIRST + self.start.elapsed().as_micros() as u64)
    }

    /// The present date.
    pub fn date(&self) -> Date {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Date(since.as_micros() as u64)
    }
}
