//! How a life of a backend server goes on, as far as a VM knows.

use crate::decide::poison::OpenRequest;

/// What is known of how a life of a server goes on.
#[derive(Debug, Default)]
pub enum Liveness {
    /// No answer broke off there, or it took connections afterwards.
    #[default]
    Alive,
    /// Answers to these requests broke off, and it is being checked.
    Suspect(Vec<OpenRequest>),
    /// It has crashed.
    Dead,
}
