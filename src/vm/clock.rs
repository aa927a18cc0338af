//! The clocks of a process. Only I/O code reads them; decisions get the time as an argument.
//!
//! A VM may be suspended for seconds. `CLOCK_MONOTONIC`, which `std::time::Instant` uses, stands
//! still meanwhile, so that state would look as fresh after a resume as before it: a key that was
//! revoked 20 s ago would count as verified a second ago. Moments therefore come from
//! `CLOCK_BOOTTIME`, which counts suspended time, and from `CLOCK_MONOTONIC` only where the former
//! does not exist.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

use crate::unit::{Date, Moment, Span};

/// Moment, in microseconds, at which a clock starts; not 0, because `Moment(0)` means "never".
const FIRST_MOMENT_US: u64 = 1_000_000;

/// One reading of the two clocks of a machine that count time since boot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reading {
    /// `CLOCK_MONOTONIC`: time since boot without suspended time.
    pub monotonic: Duration,
    /// `CLOCK_BOOTTIME`: time since boot including suspended time, if the system has this clock.
    pub boottime: Option<Duration>,
}

impl Reading {
    /// Reads both clocks of this machine.
    pub fn current() -> Reading {
        let read = |clock| clock_gettime(clock).ok().map(Duration::from);
        let monotonic = read(ClockId::CLOCK_MONOTONIC).unwrap_or_default();
        Reading { monotonic, boottime: read(ClockId::CLOCK_BOOTTIME) }
    }

    /// Returns the time since boot, with suspended time if a clock counts it.
    fn elapsed(self) -> Duration {
        self.boottime.unwrap_or(self.monotonic)
    }
}

/// The clocks of a process, with moments counted from its creation.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    read: fn() -> Reading,
    start: Duration,
}

impl Default for Clock {
    fn default() -> Clock {
        Clock::new(Reading::current)
    }
}

impl Clock {
    /// Creates clocks that are read with `read`.
    pub fn new(read: fn() -> Reading) -> Clock {
        Clock { read, start: read().elapsed() }
    }

    /// Returns the present moment. Time for which the machine was suspended counts.
    pub fn now(&self) -> Moment {
        let since = (self.read)().elapsed().saturating_sub(self.start);
        Moment(FIRST_MOMENT_US + since.as_micros() as u64)
    }

    /// Returns how long the machine has been suspended since boot; none if no clock counts it.
    pub fn suspended_time(&self) -> Option<Span> {
        let Reading { monotonic, boottime } = (self.read)();
        Some(Span(boottime?.saturating_sub(monotonic).as_micros() as u64))
    }

    /// Returns the present wall-clock time.
    pub fn date(&self) -> Date {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Date(since.as_micros() as u64)
    }
}
