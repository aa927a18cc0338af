//! The decisions: pure functions of what is known and of the present time.

pub mod admit;
pub mod backlog;
pub mod bound;
pub mod budget;
pub mod canary;
pub mod cascade;
pub mod cold;
pub mod ends;
pub mod escalate;
pub mod fair;
pub mod limit;
pub mod load;
pub mod outlier;
pub mod pace;
pub mod place;
pub mod poison;
pub mod pressure;
pub mod rank;
pub mod reader;
pub mod replica;
pub mod retry;
pub mod rollout;
pub mod sequential;
pub mod standing;
