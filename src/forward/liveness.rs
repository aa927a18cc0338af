//! How sure a VM is that an incarnation of a backend server still runs.

use crate::decide::poison::BrokenRequest;
use crate::engine::crash_check::Check;

/// State of one incarnation of a server, as far as this VM knows.
#[derive(Debug, Default)]
pub enum Liveness {
    /// No response of the incarnation broke off, or the server accepted connections afterwards.
    #[default]
    Alive,
    /// Responses broke off, and the server is being checked.
    Suspect(Suspicion),
    /// The incarnation has crashed.
    Dead,
}

/// Responses of a server that broke off, and the check of the server.
#[derive(Debug)]
pub struct Suspicion {
    /// The requests whose responses broke off.
    pub broken: Vec<BrokenRequest>,
    /// The check that is running.
    pub check: Check,
}
