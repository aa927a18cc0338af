//! How an attempt at a server ended, and what follows: the table of `docs/PLATFORM.md`.

use crate::config::RetryPolicy;

/// How an attempt at one server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptOutcome {
    /// No connection was established, or no byte was sent.
    NotSent,
    /// The attempt was withheld before any byte was sent: what became known about the server since
    /// it was chosen forbids it.
    Withheld,
    /// The server stated that it did not run the request.
    NotRun,
    /// The connection broke, or the response was incomplete or invalid.
    Broken,
    /// A complete error response, signed by the server.
    Failed,
    /// A complete response, or the first event of a stream.
    Good,
    /// The deadline passed while the server had the request.
    Late,
}

impl AttemptOutcome {
    /// Returns true if no byte of the request was sent to the server.
    pub fn is_unsent(self) -> bool {
        matches!(self, AttemptOutcome::NotSent | AttemptOutcome::Withheld)
    }
}

/// What follows an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextAction {
    /// Another server is tried, if attempts, budget and time allow it.
    Retry,
    /// The caller gets the server's response.
    Deliver,
    /// The caller is told that it may have run.
    Unknown,
}

/// Returns what follows an attempt. After a failed or broken attempt, a request that may run twice is
/// retried; another one is not, since it may have run.
pub fn next_action(end: AttemptOutcome, repeat: RetryPolicy) -> NextAction {
    match (end, repeat) {
        (AttemptOutcome::Good, _) => NextAction::Deliver,
        (AttemptOutcome::NotSent | AttemptOutcome::Withheld | AttemptOutcome::NotRun, _) => {
            NextAction::Retry
        }
        (AttemptOutcome::Late, _) => NextAction::Unknown,
        (AttemptOutcome::Failed, RetryPolicy::Never) => NextAction::Deliver,
        (AttemptOutcome::Broken, RetryPolicy::Never) => NextAction::Unknown,
        (AttemptOutcome::Failed | AttemptOutcome::Broken, _) => NextAction::Retry,
    }
}

/// What the caller gets when no other server may be tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalResponse {
    /// A refusal: the request did not run and will not.
    Refused,
    /// The server's own error response.
    Delivered,
    /// It may have run.
    Unknown,
}

/// Returns the final response after the last attempt; `ran_before` is true if an earlier attempt
/// may have run.
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
