//! The clocks of a process; only the edges read them, and hand the time on.
//!
//! A VM may be suspended for seconds. The clock that the standard library calls monotonic stands still meanwhile, so that what a
//! VM believes would look as young on waking as it was before; a key that was taken away 20 s ago would count as proved a second
//! ago. So moments come from the clock that counts the time asleep. Where there is none they come from the steady one.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

use crate::unit::{Date, Moment, Span};

/// Moments begin here, so that none is nought.
const FIRST: u64 = 1_000_000;

/// What the clocks of a machine tell at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reading {
    /// Time that the machine was awake since its start.
    pub awake: Duration,
    /// The same with the time that it slept, if there is a clock that counts it.
    pub all: Option<Duration>,
}

impl Reading {
    /// The present reading of this machine's clocks.
    pub fn of_machine() -> Reading {
        let read = |clock| clock_gettime(clock).ok().map(Duration::from);
        let awake = read(ClockId::CLOCK_MONOTONIC).unwrap_or_default();
        Reading { awake, all: read(ClockId::CLOCK_BOOTTIME) }
    }

    fn elapsed(self) -> Duration {
        self.all.unwrap_or(self.awake)
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
        Clock::new(Reading::of_machine)
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
        Moment(FIRST + since.as_micros() as u64)
    }

    /// How long the machine has slept since it was started; none if no clock counts it.
    pub fn slept(&self) -> Option<Span> {
        let Reading { awake, all } = (self.read)();
        Some(Span(all?.saturating_sub(awake).as_micros() as u64))
    }

    /// The present date.
    pub fn date(&self) -> Date {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Date(since.as_micros() as u64)
    }
}
