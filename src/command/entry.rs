//! `entry`: runs one entry VM on the users' platform until a signal stops it.

use super::block_on;
use crate::error::Error;
use crate::{cli, client, forward, options};

/// Runs a VM. SIGTERM or SIGINT starts a graceful shutdown.
pub fn run(flags: &cli::Entry) -> Result<(), Error> {
    let settings = options::entry(flags)?;
    client::return_large_blocks();
    block_on(forward::run(settings))
}
