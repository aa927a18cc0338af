//! Sizes, rates, money and shares, with the text format of each.

use std::fmt;
use std::ops::{Add, AddAssign};
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use super::ParseError;

/// Micro-euros per euro.
const MICROS: u64 = 1_000_000;

/// Number of tokens to which the price of a version refers.
const TOKENS_PER_PRICE: u64 = 1_000;

/// Bytes per kilobyte, which is decimal (`64KB` is 64,000 bytes).
const KILO: u64 = 1_000;

/// Amount of money in micro-euros.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Cost(pub u64);

impl Cost {
    /// Returns the cost of `tokens` if `self` is the price of a thousand tokens.
    pub fn for_tokens(self, tokens: u64) -> Cost {
        Cost(self.0 * tokens / TOKENS_PER_PRICE)
    }
}

impl Add for Cost {
    type Output = Cost;

    fn add(self, other: Cost) -> Cost {
        Cost(self.0 + other.0)
    }
}

impl AddAssign for Cost {
    fn add_assign(&mut self, other: Cost) {
        self.0 += other.0;
    }
}

impl fmt::Display for Cost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06} EUR", self.0 / MICROS, self.0 % MICROS)
    }
}

impl FromStr for Cost {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let fault =
            || ParseError(format!("`{text}` is not an amount; write euros such as `0.25`."));
        let euros: f64 = text.trim_end_matches(" EUR").parse().map_err(|_| fault())?;
        if !euros.is_finite() || euros < 0.0 {
            return Err(fault());
        }
        Ok(Cost((euros * MICROS as f64).round() as u64))
    }
}

/// Size in bytes.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Size(pub u64);

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            n if n >= KILO * KILO => write!(f, "{:.1}MB", n as f64 / (KILO * KILO) as f64),
            n if n >= KILO => write!(f, "{:.1}KB", n as f64 / KILO as f64),
            n => write!(f, "{n}B"),
        }
    }
}

impl FromStr for Size {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let (digits, factor) = match text.strip_suffix("MB") {
            Some(digits) => (digits, KILO * KILO),
            None => match text.strip_suffix("KB") {
                Some(digits) => (digits, KILO),
                None => (text.trim_end_matches('B'), 1),
            },
        };
        let fault =
            |_| ParseError(format!("`{text}` is not a size; write `900B`, `64KB` or `1MB`."));
        let number: u32 = digits.parse().map_err(fault)?;
        Ok(Size(u64::from(number) * factor))
    }
}

/// Rate in events per second.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Rate(pub f64);

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.1}/s", self.0)
    }
}

impl FromStr for Rate {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let number: Option<f64> = text.trim_end_matches("/s").parse().ok();
        let number = number.filter(|n| n.is_finite() && *n >= 0.0);
        number.map(Rate).ok_or_else(|| ParseError(format!("`{text}` is not a rate; write `50/s`.")))
    }
}

/// Processor time in thousandths of a core.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Millicores(pub u32);

impl Millicores {
    /// Millicores per core.
    const PER_CORE: f64 = 1_000.0;

    /// Returns the number of cores.
    pub fn as_cores(self) -> f64 {
        f64::from(self.0) / Self::PER_CORE
    }

    /// Rounds a number of cores to millicores. A negative number counts as 0.
    pub fn from_cores(cores: f64) -> Millicores {
        Millicores((cores.max(0.0) * Millicores::PER_CORE).round() as u32)
    }
}

impl fmt::Display for Millicores {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}m", self.0)
    }
}

impl FromStr for Millicores {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let fault = |_| ParseError(format!("`{text}` is not a share of a core; write `250m`."));
        text.trim_end_matches('m').parse().map(Millicores).map_err(fault)
    }
}

/// Share of traffic in millionths.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct TrafficShare(pub u32);

impl TrafficShare {
    /// All traffic.
    pub const ALL: TrafficShare = TrafficShare(1_000_000);

    /// Rounds a fraction to millionths, after clamping it to the range from 0 to 1.
    pub fn from_fraction(fraction: f64) -> TrafficShare {
        TrafficShare((fraction.clamp(0.0, 1.0) * f64::from(TrafficShare::ALL.0)).round() as u32)
    }

    /// Returns the share as a fraction from 0 to 1.
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / f64::from(TrafficShare::ALL.0)
    }
}

impl fmt::Display for TrafficShare {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.2}%", self.fraction() * 100.0)
    }
}

impl FromStr for TrafficShare {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let number: Option<f64> = text.trim_end_matches('%').parse().ok();
        let number = number.filter(|n| (0.0..=100.0).contains(n));
        let parts = number.map(|n| TrafficShare::from_fraction(n / 100.0));
        parts.ok_or_else(|| ParseError(format!("`{text}` is not a share; write `5%`.")))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn quantities_read_back_as_they_are_shown() {
        assert_eq!("1.5".parse::<Cost>().unwrap().to_string(), "1.500000 EUR");
        assert_eq!("64KB".parse::<Size>().unwrap(), Size(64_000));
        assert_eq!("5.00%".parse::<TrafficShare>().unwrap(), TrafficShare(50_000));
        assert_eq!("50.0/s".parse::<Rate>().unwrap(), Rate(50.0));
        assert_eq!(Millicores::from_cores(0.12).to_string().parse(), Ok(Millicores(120)));
    }

    #[test]
    fn a_negative_or_endless_rate_is_refused() {
        assert!("-1".parse::<Rate>().is_err());
        assert!("inf".parse::<Rate>().is_err());
    }
}
