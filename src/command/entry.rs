//! `entry`: one entry VM on the users' platform until a signal ends it.

use super::block_on;
use crate::error::Error;
use crate::{cli, forward, options};

/// Runs a VM; SIGTERM or SIGINT is a planned stop.
pub fn run(flags: &cli::Entry) -> Result<(), Error> {
    let settings = options::entry(flags)?;
    block_on(forward::run(settings))
}
