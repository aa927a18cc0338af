//! Moments of a monotonic clock, spans of time and wall-clock dates, all in microseconds.

use std::fmt;
use std::ops::{Add, Sub};
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::ParseError;

/// Microseconds per millisecond, and milliseconds per second.
const MILLI: u64 = 1_000;

/// Duration in microseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Span(pub u64);

impl Span {
    /// Creates a span of `n` milliseconds.
    pub const fn millis(n: u64) -> Span {
        Span(n * MILLI)
    }

    /// Creates a span of `n` seconds.
    pub const fn secs(n: u64) -> Span {
        Span(n * MILLI * MILLI)
    }

    /// Returns the span in milliseconds, including the fraction.
    pub fn as_millis(self) -> f64 {
        self.0 as f64 / MILLI as f64
    }

    /// Returns the span in seconds, including the fraction.
    pub fn as_secs(self) -> f64 {
        self.0 as f64 / (MILLI * MILLI) as f64
    }

    /// Returns half of the span, rounded down to microseconds.
    pub const fn half(self) -> Span {
        Span(self.0 / 2)
    }

    /// Returns the span multiplied by `factor`, rounded down to microseconds.
    pub fn mul_f64(self, factor: f64) -> Span {
        Span((self.0 as f64 * factor) as u64)
    }

    /// Converts the span to the standard library's type.
    pub fn duration(self) -> Duration {
        Duration::from_micros(self.0)
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            n if n >= MILLI * MILLI => write!(f, "{:.2}s", self.as_secs()),
            n if n >= MILLI => write!(f, "{:.2}ms", self.as_millis()),
            n => write!(f, "{n}us"),
        }
    }
}

impl FromStr for Span {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let fault = || ParseError(format!("`{text}` is not a time; write `250ms` or `5s`."));
        let (digits, factor) = match text.strip_suffix("ms") {
            Some(digits) => (digits, MILLI),
            None => (text.strip_suffix('s').ok_or_else(fault)?, MILLI * MILLI),
        };
        let number: Option<f64> = digits.parse().ok();
        let number = number.filter(|n| (0.0..1e9).contains(n)).ok_or_else(fault)?;
        Ok(Span((number * factor as f64).round() as u64))
    }
}

/// Moment of a process's monotonic clock, in microseconds since an arbitrary start. Moments of
/// different processes are not comparable.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Moment(pub u64);

impl Moment {
    /// Returns the time elapsed since `earlier`, or 0 if `earlier` is later than this moment.
    pub fn since(self, earlier: Moment) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Add for Span {
    type Output = Span;

    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}

impl Add<Span> for Moment {
    type Output = Moment;

    fn add(self, span: Span) -> Moment {
        Moment(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Moment {
    type Output = Moment;

    fn sub(self, span: Span) -> Moment {
        Moment(self.0.saturating_sub(span.0))
    }
}

/// Wall-clock time in microseconds since the Unix epoch.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Date(pub u64);

impl Date {
    /// Returns the time elapsed since `earlier`, or 0 if `earlier` is later than this date.
    pub fn since(self, earlier: Date) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn spans_read_and_show_in_plain_units() {
        assert_eq!("250ms".parse::<Span>().unwrap(), Span::millis(250));
        assert_eq!("1.5s".parse::<Span>().unwrap().to_string(), "1.50s");
        assert!("5".parse::<Span>().is_err());
    }

    #[test]
    fn a_moment_ahead_is_no_time_ago() {
        assert_eq!(Moment(5).since(Moment(9)), Span(0));
    }
}
