//! Quarantines request contents that crash backend servers.
//!
//! The *content* of a request is a digest of what it asks for (prompt or body, with its workspace
//! and model or service), so that the same request sent again is recognised. A *suspect* is a
//! content that was open at a server when that crashed, and an *incarnation* one process lifetime
//! of a server.
//!
//! A server that crashes does not tell the cause, so all contents that were open at the server
//! become suspects. When requests with these contents are sent again, innocent ones complete, and
//! one that crashes servers never does. A content is quarantined, and requests with it are refused,
//! once so many server incarnations have crashed under it that chance is no longer a likely cause.
//!
//! This bounds the damage of a request that crashes each server 20 to 180 ms after it begins to
//! run. Sent by a caller three times a second to seven VMs, each of which tried three servers, it
//! crashed the twelve servers of a service within two seconds, nine times in 80 s.

mod evidence;
mod exchange;
pub mod refusal;

pub use evidence::{
    Evidence, EvidenceChange, OpenRequest, QuarantinedContent, STABLE_AFTER, ServerIncarnation,
};
pub use exchange::{Effects, Exchange, Message, Outgoing, Recipients, Topology, Transition};
