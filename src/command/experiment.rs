//! `experiment`: measures a decision or a mechanism of the router.

use crate::cli;
use crate::error::Error;
use crate::experiment::{Options, run as run_experiment};

/// Runs an experiment and prints its table.
pub fn run(flags: &cli::Experiment) -> Result<(), Error> {
    let name = flags.name.as_deref().unwrap_or_default();
    let options = Options::check(flags)?;
    let table = run_experiment(name, &options)?;
    if flags.json {
        println!("{:#}", table.to_json());
    } else {
        print!("{table}");
    }
    Ok(())
}
