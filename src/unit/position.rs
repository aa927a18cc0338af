//! Points in the history of the platform's store.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use super::ParseError;

/// Number of times that the store was restored from a copy; revisions of different eras have nothing
/// to do with each other.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Era(pub u64);

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Era {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let number = text.trim().parse();
        number
            .map(Era)
            .map_err(|_| ParseError(format!("`{text}` is not an era; write a whole number.")))
    }
}

/// A revision of the store in one of its eras. Positions of a later era are later, whatever their
/// revisions.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// The era.
    pub era: Era,
    /// The revision, which rises with each change within the era.
    pub revision: u64,
}

impl Position {
    /// The position at a revision of an era.
    pub fn new(era: Era, revision: u64) -> Position {
        Position { era, revision }
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era, self.revision)
    }
}

impl FromStr for Position {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let fault = || ParseError(format!("`{text}` is not a position; write ERA/REVISION."));
        let (era, revision) = text.split_once('/').ok_or_else(fault)?;
        let revision = revision.parse().map_err(|_| fault())?;
        Ok(Position { era: era.parse().map_err(|_| fault())?, revision })
    }
}
