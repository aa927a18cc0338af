//! Which contents of requests are held back, since backend servers crash that run them.
//!
//! A server that crashes says nothing of why. All contents that were open at it are suspected; as they come again, innocent ones run
//! to a good end, and one that crashes servers never does. A content is held back once so many lives of servers have ended under it
//! that chance is no longer a likely cause.
//!
//! Load that this answers: a request that crashes each server 20 to 180 ms after it begins to run it, sent by a caller three times a second
//! to seven VMs, each of which tried three servers, ended the twelve servers of a service within two seconds, nine times in 80 s.

mod evidence;
mod exchange;

pub use evidence::{
    Change, Evidence, OpenRequest, QuarantinedContent, STABLE_AFTER, ServerIncarnation,
};
pub use exchange::{Effects, Exchange, Message, Outgoing, Recipients, Topology, Transition};
