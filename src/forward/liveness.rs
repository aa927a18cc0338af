//! How sure a VM is that an incarnation of a backend server still runs.

use crate::decide::poison::OpenRequest;

/// State of one incarnation of a server, as far as this VM knows.
#[derive(Debug, Default)]
pub enum Liveness {
    /// No response of the incarnation broke off, or the server accepted connections afterwards.
    #[default]
    Alive,
    /// The responses to these requests broke off, and the server is being checked.
    Suspect(Vec<OpenRequest>),
    /// The incarnation has crashed.
    Dead,
}
