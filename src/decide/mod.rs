//! Decisions of the router: pure functions of the known state and the current time, without I/O.
//!
//! Words that several modules use: a *VM* is one router process; an *incarnation* is one process
//! lifetime of a backend server or VM; the *content* of a request is a digest of what it asks for;
//! a *roll-out* moves the traffic of a model from the old version to the new one; *exposure* is the
//! share of requests that a new version gets; a *rung* is one model of a cascade.

pub mod admission;
pub mod availability;
pub mod backlog;
pub mod budget;
pub mod canary;
pub mod cascade;
pub mod clients;
pub mod cold_start;
pub mod connectivity;
pub mod escalate;
pub mod fair;
pub mod freshness;
pub mod lapse;
pub mod lease;
pub mod lending;
pub mod limit;
pub mod load;
pub mod outcome;
pub mod outlier;
pub mod path;
pub mod placement;
pub mod poison;
pub mod prefill;
pub mod pressure;
pub mod priority;
pub mod reader;
pub mod reading;
pub mod replica;
pub mod retry;
pub mod rollout;
pub mod sequential;
pub mod server_limit;
pub mod stall;
pub mod tunnel;
pub mod usage;
