//! The decisions: pure functions of what is known and of the present time.

pub mod admit;
pub mod cascade;
pub mod fair;
pub mod limit;
pub mod replica;
pub mod retry;
pub mod rollout;
pub mod sequential;
