//! Identifiers. Each is a newtype with `Display` and a validating `FromStr`.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize};

/// Maximum length of an identifier in bytes, so that it fits into a header and a log line.
const MAX_LENGTH: usize = 64;

/// Error of parsing a text as an identifier or quantity: a sentence for the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseError(pub String);

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for ParseError {}

fn validate(text: &str) -> Result<Arc<str>, ParseError> {
    let has_valid_length = !text.is_empty() && text.len() <= MAX_LENGTH;
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if has_valid_length && text.chars().all(is_allowed) {
        return Ok(text.into());
    }
    Err(ParseError(format!(
        "`{}` is not a name; use 1 to {MAX_LENGTH} letters, digits, `-`, `_` or `.`.",
        text.chars().take(MAX_LENGTH).collect::<String>()
    )))
}

macro_rules! string_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the identifier as text.
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
                validate(text).map($name)
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

string_id!(
    /// Workspace of a customer.
    Workspace
);
string_id!(
    /// Region, which contains data centres.
    Region
);
string_id!(
    /// Model, without its version.
    Model
);
string_id!(
    /// Version of a model.
    Version
);
string_id!(
    /// VM that runs this router.
    Vm
);
string_id!(
    /// Data centre.
    DataCentre
);
string_id!(
    /// Backend server: a model engine or a replica of a plain service.
    Server
);
string_id!(
    /// Application service without a model.
    Service
);
string_id!(
    /// Request, unique over all VMs and their incarnations.
    RequestId
);
string_id!(
    /// Kind of work as the caller names it, such as `tag` or `draft`.
    Kind
);

macro_rules! numeric_id {
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

numeric_id!(
    /// Revision of the configuration, which never decreases. Also the fencing token of orders to
    /// engines.
    Revision
);
numeric_id!(
    /// Incarnation of a VM's process: the wall-clock time of its start, in microseconds.
    Incarnation
);

numeric_id!(
    /// Number of a reporting window: windows of equal length, counted from the start of 1970.
    Window
);
numeric_id!(
    /// Fencing token: a number that rises whenever another VM takes over a duty.
    Fence
);

/// One version of a model, for which requests are meant; written as `MODEL@VERSION`. A target is
/// not a backend server: several servers can serve one target.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Target {
    /// Model.
    pub model: Model,
    /// Version of the model.
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
