//! `experiment`: measures a decision or a mechanism.

use crate::cli;
use crate::error::Error;

/// Runs an experiment.
pub fn run(flags: &cli::Experiment) -> Result<(), Error> {
    let name = flags.name.as_deref().unwrap_or_default();
    Err(Error::flag("experiment", name, "name one of those that `--help` lists."))
}
