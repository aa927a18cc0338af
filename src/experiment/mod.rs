//! Experiments that compare policies and measure costs. They call the decision code of `decide`
//! that the router runs in production.

mod bound;
mod brittle;
mod cascade;
mod links;
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

/// Names of all experiments, as listed in the error for an unknown name.
pub const NAMES: &str = "cascade, rollout, replica, overload, spread, reading, poison, shed, \
                         bound, brittle, links, path, once, slopes";

/// Runs the named experiment.
///
/// # Errors
/// If no experiment has that name, or if its local servers cannot be started.
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
        "brittle" => Ok(brittle::run(options)),
        "links" => Ok(links::run(options)),
        "path" => path::run(options),
        "once" => once::run(options),
        "slopes" => slopes::run(options),
        _ => Err(Error::flag("experiment", name, format!("name one of {NAMES}."))),
    }
}
