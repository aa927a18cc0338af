//! Sizes, rates, money and shares, and the one place where they are shown.

use std::fmt;
use std::ops::{Add, AddAssign};
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use super::ParseError;

/// Micro-euros in a euro.
const MICROS: u64 = 1_000_000;

/// Tokens that a version's price is stated for.
const PRICED_TOKENS: u64 = 1_000;

/// Bytes in a kilobyte, as operators write `64KB`.
const KILO: u64 = 1_000;

/// An amount of money in micro-euros.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Cost(pub u64);

impl Cost {
    /// The cost of `tokens` at this price for a thousand tokens.
    pub fn for_tokens(self, tokens: u64) -> Cost {
        Cost(self.0 * tokens / PRICED_TOKENS)
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

/// A count of bytes.
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

/// Events a second.
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

/// Thousandths of a processor core.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Millicores(pub u32);

impl Millicores {
    /// Thousandths in a core.
    const CORE: f64 = 1_000.0;

    /// The number nearest to a part of a core.
    pub fn from_cores(cores: f64) -> Millicores {
        Millicores((cores.max(0.0) * Millicores::CORE).round() as u32)
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

/// A share of traffic in parts of a million.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct TrafficShare(pub u32);

impl TrafficShare {
    /// All traffic.
    pub const ALL: TrafficShare = TrafficShare(1_000_000);

    /// The share nearest to a fraction from 0 to 1.
    pub fn from_fraction(fraction: f64) -> TrafficShare {
        TrafficShare((fraction.clamp(0.0, 1.0) * f64::from(TrafficShare::ALL.0)).round() as u32)
    }

    /// The share as a fraction from 0 to 1.
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
