//! How a life of a backend server goes on, as far as a VM knows.

use crate::decide::poison::OpenRequest;

/// What is known of how a life of a server goes on.
#[derive(Debug, Default)]
pub enum Life {
    /// No answer broke off there, or it took connections afterwards.
    #[default]
    GoesOn,
    /// Answers to these requests broke off, and it is being checked.
    Doubtful(Vec<OpenRequest>),
    /// It has crashed.
    Over,
}
