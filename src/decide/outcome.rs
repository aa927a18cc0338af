//! How an attempt at a server ended, and if the request is retried then: the table of
//! `docs/PLATFORM.md`.

use crate::config::RetryPolicy;

/// How an attempt at one server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptOutcome {
    /// No connection was established, or no byte was sent.
    NotSent,
    /// The attempt was withheld before any byte was sent, because of what became known about the
    /// server after it was chosen: it became unavailable, or this VM has no send slot there.
    Withheld,
    /// The server stated that it did not run the request.
    NotRun,
    /// The connection broke, or the response was incomplete or invalid.
    Broken,
    /// The server sent a complete error response with its signature.
    Failed,
    /// The server sent a complete response, or the first event of a stream.
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

/// What a VM does after an attempt of a request has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextAction {
    /// Try another server, if the limit on attempts, the retry budget and the deadline allow it.
    Retry,
    /// Send the server's response to the caller.
    Deliver,
    /// End the request with an error that says that it may have run.
    Unknown,
}

/// Returns what a VM does after an attempt that ended with `end`. After a failed or broken attempt
/// only a request that may run twice (by its route's `repeat` policy) is retried, since the attempt
/// may have run.
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
    /// An error that says that the request may have run.
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
