//! Identifiers. Each is a newtype with `Display` and a checking `FromStr`.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize};

/// The longest accepted identifier; it must fit a header and a log line.
const LONGEST: usize = 64;

/// Why a text is not the identifier it was read as.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseError(pub String);

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for ParseError {}

fn checked(text: &str) -> Result<Arc<str>, ParseError> {
    let fits = !text.is_empty() && text.len() <= LONGEST;
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if fits && text.chars().all(plain) {
        return Ok(text.into());
    }
    Err(ParseError(format!(
        "`{}` is not a name; use 1 to {LONGEST} letters, digits, `-`, `_` or `.`.",
        text.chars().take(LONGEST).collect::<String>()
    )))
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                checked(text).map($name)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
                let text = String::deserialize(from)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    };
}

name!(
    /// A customer's workspace.
    Workspace
);
name!(
    /// A region, which holds data centres.
    Region
);
name!(
    /// A model, whatever its version.
    Model
);
name!(
    /// A version of some model.
    Version
);
name!(
    /// One of the system's own VMs.
    Vm
);
name!(
    /// A data centre.
    DataCentre
);
name!(
    /// A backend server: a model engine or a plain service's replica.
    Server
);
name!(
    /// A plain application service.
    Service
);
name!(
    /// A request, unique over all VMs and incarnations.
    RequestId
);
name!(
    /// A kind of work, as the caller names it (`tag`, `draft`).
    Kind
);

macro_rules! number {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                let number = text.parse();
                let fault = |_| ParseError(format!("`{text}` is not a whole number."));
                number.map($name).map_err(fault)
            }
        }
    };
}

number!(
    /// A revision of the configuration; only rises. Also the fence number of orders.
    Revision
);
number!(
    /// One life of a VM: the wall time of its start in microseconds.
    Incarnation
);

/// A model at a version.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Target {
    /// The model.
    pub model: Model,
    /// The version of the model.
    pub version: Version,
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.model, self.version)
    }
}

impl FromStr for Target {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let parts = text.split_once('@');
        let (model, version) = parts
            .ok_or_else(|| ParseError(format!("`{text}` is not of the form MODEL@VERSION.")))?;
        Ok(Target { model: model.parse()?, version: version.parse()? })
    }
}

impl Serialize for Target {
    fn serialize<S: serde::Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Target {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = String::deserialize(from)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_target_reads_back_as_it_is_shown() {
        let target: Target = "nest-llm@v7".parse().unwrap();
        assert_eq!(target.to_string().parse::<Target>().unwrap(), target);
    }

    #[test]
    fn names_with_spaces_or_nothing_are_refused() {
        assert!("".parse::<Workspace>().is_err());
        assert!("a b".parse::<Workspace>().is_err());
        assert!("x".repeat(65).parse::<Workspace>().is_err());
    }
}
