//! Connections of clients at both doors of a VM, which share one budget of memory and connections
//! ([`crate::decide::clients`]).

use nix::sys::resource::{Resource, getrlimit};

pub mod body;
mod memory;
pub mod stream;
pub mod table;

pub use memory::return_large_blocks;
pub use stream::Stream;
pub use table::{Account, Table};

/// Returns the number of descriptors that this process may have, if the system tells it.
pub fn max_descriptors() -> Option<u64> {
    let (soft, _) = getrlimit(Resource::RLIMIT_NOFILE).ok()?;
    Some(soft)
}
