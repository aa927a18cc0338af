//! Measured comparisons. The decisions are those of `decide`, called by the server too.

mod bound;
mod cascade;
mod once;
mod options;
mod overload;
mod path;
mod poison;
mod probe;
mod reading;
mod replica;
mod rollout;
mod shed;
mod slopes;
mod spread;
mod table;

pub use options::Options;
pub use table::{Row, Table};

use crate::error::Error;

/// The experiments by name.
pub const NAMES: &str =
    "cascade, rollout, replica, overload, spread, reading, poison, shed, bound, path, once, slopes";

/// Runs an experiment.
///
/// # Errors
/// If there is none of that name, or it cannot be run.
pub fn run(name: &str, options: &Options) -> Result<Table, Error> {
    match name {
        "cascade" => Ok(cascade::run(options)),
        "rollout" => Ok(rollout::run(options)),
        "replica" => Ok(replica::run(options)),
        "overload" => Ok(overload::run(options)),
        "spread" => Ok(spread::run(options)),
        "reading" => Ok(reading::run(options)),
        "poison" => Ok(poison::run(options)),
        "shed" => Ok(shed::run(options)),
        "bound" => Ok(bound::run(options)),
        "path" => path::run(options),
        "once" => once::run(options),
        "slopes" => slopes::run(options),
        _ => Err(Error::flag("experiment", name, format!("name one of {NAMES}."))),
    }
}
