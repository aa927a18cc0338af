//! How an attempt ended, and what follows: the table of `docs/PLATFORM.md`.

use crate::config::Repeat;

/// How an attempt at one server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptOutcome {
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

impl AttemptOutcome {
    /// Whether no byte of the request left for the server.
    pub fn is_unsent(self) -> bool {
        matches!(self, AttemptOutcome::NotSent | AttemptOutcome::Withheld)
    }
}

/// What follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Another server, if attempts, budget and time allow it.
    Retry,
    /// The caller gets what the server gave.
    Deliver,
    /// The caller is told that it may have run.
    Unknown,
}

/// What follows an end; what may run twice goes elsewhere, what may not is left as it is.
pub fn next(end: AttemptOutcome, repeat: Repeat) -> Next {
    match (end, repeat) {
        (AttemptOutcome::Good, _) => Next::Deliver,
        (AttemptOutcome::NotSent | AttemptOutcome::Withheld | AttemptOutcome::NotRun, _) => {
            Next::Retry
        }
        (AttemptOutcome::Late, _) => Next::Unknown,
        (AttemptOutcome::Failed, Repeat::Never) => Next::Deliver,
        (AttemptOutcome::Broken, Repeat::Never) => Next::Unknown,
        (AttemptOutcome::Failed | AttemptOutcome::Broken, _) => Next::Retry,
    }
}

/// What the caller gets when no other server may be tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalResponse {
    /// A refusal: it did not run and will not.
    Refused,
    /// The server's own failure.
    Delivered,
    /// It may have run.
    Unknown,
}

/// The last word after an attempt that ended so, if no attempt before it may have run.
pub fn final_response(end: AttemptOutcome, ran_before: bool) -> FinalResponse {
    match end {
        AttemptOutcome::NotSent | AttemptOutcome::Withheld | AttemptOutcome::NotRun
            if ran_before =>
        {
            FinalResponse::Unknown
        }
        AttemptOutcome::NotSent | AttemptOutcome::Withheld | AttemptOutcome::NotRun => {
            FinalResponse::Refused
        }
        AttemptOutcome::Failed | AttemptOutcome::Good => FinalResponse::Delivered,
        AttemptOutcome::Broken | AttemptOutcome::Late => FinalResponse::Unknown,
    }
}
