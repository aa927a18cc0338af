//! Quarantines what requests that crash backend servers have in common.
//!
//! A request has a *fingerprint*: digests of its content (prompt or body, with its workspace and
//! model or service), so that the same request sent again is recognised, and of the parts of its
//! prompt that other requests share. A *suspect* is a digest of a request that was open at a server
//! when that crashed, and an *incarnation* one process lifetime of a server.
//!
//! A server that crashes does not tell the cause, so all digests of the requests that were open at
//! the server become suspects. When requests with these digests are sent again, innocent ones run
//! well, and one that crashes servers never does. A digest is quarantined, and requests with it are
//! refused, once so many server incarnations have crashed under it that chance is no longer a likely
//! cause, and no other suspect explains the crashes better.
//!
//! This bounds the damage of a request that crashes each server 20 to 180 ms after it begins to
//! run. Sent by a caller three times a second to seven VMs, each of which tried three servers, it
//! crashed the twelve servers of a service within two seconds, nine times in 80 s.

mod evidence;
mod exchange;
mod fingerprint;
pub mod refusal;
pub mod report;
mod success;
mod verdict;

pub use evidence::{
    BrokenRequest, Evidence, EvidenceChange, QuarantinedContent, STABLE_AFTER, ServerIncarnation,
    Transition,
};
pub use exchange::{Effects, Exchange, Message, Outgoing, Recipients, Topology};
pub use fingerprint::Fingerprint;
