//! Short intents in words, as operators type them.

use std::fmt;
use std::str::FromStr;

use crate::unit::{DataCentre, Model, ParseError, Target};

/// What an operator wants, short of a change of declarations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Intent {
    /// Bring a version into service by evidence.
    RollOut(Target),
    /// Give a version no new work, for good.
    Withdraw(Target),
    /// Stop the roll-out of a model, or of all.
    Stop(Option<Model>),
    /// Give a data centre no new work.
    Drain(DataCentre),
    /// Give a drained data centre work again.
    Fill(DataCentre),
}

/// What is accepted, for the error.
const FORMS: &str = "write `roll out MODEL VERSION`, `withdraw MODEL VERSION`, \
`stop the roll-out [of MODEL]`, `drain data centre NAME` or `fill data centre NAME`";

impl FromStr for Intent {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let words: Vec<&str> = text.split_whitespace().collect();
        let target = |model: &str, version: &str| -> Result<Target, ParseError> {
            Ok(Target { model: model.parse()?, version: version.parse()? })
        };
        match words.as_slice() {
            ["roll", "out", model, version] => Ok(Intent::RollOut(target(model, version)?)),
            ["withdraw", model, version] => Ok(Intent::Withdraw(target(model, version)?)),
            ["stop", "the", "roll-out"] => Ok(Intent::Stop(None)),
            ["stop", "the", "roll-out", "of", model] => Ok(Intent::Stop(Some(model.parse()?))),
            ["drain", "data", "centre", name] => Ok(Intent::Drain(name.parse()?)),
            ["fill", "data", "centre", name] => Ok(Intent::Fill(name.parse()?)),
            _ => Err(ParseError(format!("`{text}` is not an intent; {FORMS}."))),
        }
    }
}

impl fmt::Display for Intent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Intent::RollOut(t) => write!(f, "roll out {} {}", t.model, t.version),
            Intent::Withdraw(t) => write!(f, "withdraw {} {}", t.model, t.version),
            Intent::Stop(None) => f.write_str("stop the roll-out"),
            Intent::Stop(Some(model)) => write!(f, "stop the roll-out of {model}"),
            Intent::Drain(name) => write!(f, "drain data centre {name}"),
            Intent::Fill(name) => write!(f, "fill data centre {name}"),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_form_reads_back_as_it_is_shown() {
        for text in ["roll out nest-llm v7", "withdraw roastmind v3", "stop the roll-out"] {
            assert_eq!(text.parse::<Intent>().unwrap().to_string(), text);
        }
        assert!("please roll out".parse::<Intent>().unwrap_err().0.contains("not an intent"));
    }
}
