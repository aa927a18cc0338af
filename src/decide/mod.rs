//! Decisions of the router: pure functions of the known state and the current time.

pub mod admission;
pub mod availability;
pub mod backlog;
pub mod budget;
pub mod canary;
pub mod cascade;
pub mod cold_start;
pub mod escalate;
pub mod fair;
pub mod limit;
pub mod load;
pub mod outcome;
pub mod outlier;
pub mod placement;
pub mod poison;
pub mod prefill;
pub mod pressure;
pub mod priority;
pub mod reader;
pub mod replica;
pub mod retry;
pub mod rollout;
pub mod sequential;
pub mod server_limit;
