//! How an attempt ended, and what follows: the table of `docs/PLATFORM.md`.

use crate::config::Repeat;

/// How an attempt at one server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum End {
    /// No connection opened, or no byte was sent.
    NotSent,
    /// It was kept back before a byte left: what was heard of the server since it was chosen forbids it.
    Withheld,
    /// The server's word that it did not run the request.
    NotRun,
    /// It broke, or gave something that is not the whole answer.
    Broken,
    /// A failure that the server signed, whole.
    Failed,
    /// A whole answer, or the first event of a stream.
    Good,
    /// The time was up while the server had the request.
    Late,
}

impl End {
    /// Whether no byte of the request left for the server.
    pub fn is_unsent(self) -> bool {
        matches!(self, End::NotSent | End::Withheld)
    }
}

/// What follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Another server, if attempts, budget and time allow it.
    Elsewhere,
    /// The caller gets what the server gave.
    Deliver,
    /// The caller is told that it may have run.
    Unknown,
}

/// What follows an end; what may run twice goes elsewhere, what may not is left as it is.
pub fn next(end: End, repeat: Repeat) -> Next {
    match (end, repeat) {
        (End::Good, _) => Next::Deliver,
        (End::NotSent | End::Withheld | End::NotRun, _) => Next::Elsewhere,
        (End::Late, _) => Next::Unknown,
        (End::Failed, Repeat::Never) => Next::Deliver,
        (End::Broken, Repeat::Never) => Next::Unknown,
        (End::Failed | End::Broken, _) => Next::Elsewhere,
    }
}

/// What the caller gets when no other server may be tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Last {
    /// A refusal: it did not run and will not.
    Refused,
    /// The server's own failure.
    Delivered,
    /// It may have run.
    Unknown,
}

/// The last word after an attempt that ended so, if no attempt before it may have run.
pub fn last(end: End, ran_before: bool) -> Last {
    match end {
        End::NotSent | End::Withheld | End::NotRun if ran_before => Last::Unknown,
        End::NotSent | End::Withheld | End::NotRun => Last::Refused,
        End::Failed | End::Good => Last::Delivered,
        End::Broken | End::Late => Last::Unknown,
    }
}
