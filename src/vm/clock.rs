//! The clocks of a process; only the edges read them, and hand the time on.
//!
//! A VM may be suspended for seconds. The clock that the standard library calls monotonic stands still meanwhile, so that what a
//! VM believes would look as young on waking as it was before; a key that was taken away 20 s ago would count as proved a second
//! ago. So moments come from the clock that counts the time asleep. Where there is none they come from the steady one.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

use crate::unit::{Date, Moment, Span};

/// Moments begin here, so that none is nought.
const FIRST_MOMENT_US: u64 = 1_000_000;

/// What the clocks of a machine tell at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reading {
    /// Time that the machine was awake since its start.
    pub monotonic: Duration,
    /// The same with the time that it slept, if there is a clock that counts it.
    pub boottime: Option<Duration>,
}

impl Reading {
    /// The present reading of this machine's clocks.
    pub fn current() -> Reading {
        let read = |clock| clock_gettime(clock).ok().map(Duration::from);
        let monotonic = read(ClockId::CLOCK_MONOTONIC).unwrap_or_default();
        Reading { monotonic, boottime: read(ClockId::CLOCK_BOOTTIME) }
    }

    fn elapsed(self) -> Duration {
        self.boottime.unwrap_or(self.monotonic)
    }
}

/// A process's clocks.
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
    /// Clocks that are read so.
    pub fn new(read: fn() -> Reading) -> Clock {
        Clock { read, start: read().elapsed() }
    }

    /// The present moment. It counts the time that the machine slept.
    pub fn now(&self) -> Moment {
        let since = (self.read)().elapsed().saturating_sub(self.start);
        Moment(FIRST_MOMENT_US + since.as_micros() as u64)
    }

    /// How long the machine has slept since it was started; none if no clock counts it.
    pub fn slept(&self) -> Option<Span> {
        let Reading { monotonic, boottime } = (self.read)();
        Some(Span(boottime?.saturating_sub(monotonic).as_micros() as u64))
    }

    /// The present date.
    pub fn date(&self) -> Date {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Date(since.as_micros() as u64)
    }
}
