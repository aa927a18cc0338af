//! Messages between VMs, encoded by `postcard`.
//!
//! `postcard` encodes fields and variants by position: their order and types are the protocol.

use serde::{Deserialize, Serialize};

use super::Member;
use crate::config::Piece;
use crate::decide::poison;
use crate::evidence::Row;
use crate::ledger::Entry;
use crate::once::{Answer, Claim, Digest, KeyGrant, Settlement};
use crate::unit::{Incarnation, RequestId, Revision, Span, Vm};

/// Configuration state of the sender, part of every probe and its acknowledgement.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigStatus {
    /// Revision that the sender has adopted.
    pub revision: Revision,
    /// Highest revision that the sender knows to be accepted: no VM can start work under an older
    /// one.
    pub accepted: Revision,
    /// Time since the sender's revision was last known to be the newest of the store; none if
    /// never.
    pub age: Option<Span>,
}

/// Changes that the receiver has not acknowledged yet.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// Changed membership records.
    pub members: Vec<Member>,
    /// Number of the sender's last membership change that this delta covers.
    pub members_upto: u64,
    /// Changed rows of evidence.
    pub evidence: Vec<Row>,
    /// Number of the sender's last evidence change that this delta covers.
    pub evidence_upto: u64,
}

/// Position up to which a VM has merged the changes of one incarnation of another VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Cursor {
    /// Incarnation of the other VM; its change numbers restart with each one.
    pub incarnation: Incarnation,
    /// Number of its last membership change merged.
    pub members: u64,
    /// Number of its last evidence change merged.
    pub evidence: u64,
}

/// A one-way message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Probes the receiver and sends it changes.
    Probe {
        /// Sequence number of the sender's probes.
        number: u64,
        /// Membership record of the sender.
        me: Member,
        /// Configuration state of the sender.
        status: ConfigStatus,
        /// Changes that the receiver lacks.
        delta: Delta,
        /// Changes of the receiver that the sender has merged.
        cursor: Cursor,
    },
    /// Acknowledges a probe and sends changes back.
    Ack {
        /// Number of the probe.
        number: u64,
        /// Membership record of the sender.
        me: Member,
        /// Configuration state of the sender.
        status: ConfigStatus,
        /// Changes that the receiver lacks.
        delta: Delta,
        /// Changes of the prober that the sender has merged.
        cursor: Cursor,
    },
    /// Requests the configuration, if the receiver has a higher revision.
    ConfigRequest {
        /// Revision that the sender has.
        have: Revision,
        /// Digests of the pieces (parts of the declarations) that the sender has already.
        pieces: Vec<String>,
    },
    /// Sends a configuration: the root, and the pieces that the receiver lacks.
    Config {
        /// JSON of the root (the object that lists the pieces), as in the store.
        root: Vec<u8>,
        /// Pieces that were not in the request.
        pieces: Vec<Piece>,
    },
    /// Reports to an accepter which revision the sender enforces.
    Adopted {
        /// Membership record of the sender, so that accepters know a new VM before it starts work.
        me: Member,
        /// Configuration state of the sender.
        status: ConfigStatus,
        /// Revision that all work that it sends from now on follows.
        enforced_revision: Revision,
    },
    /// Acknowledges an `Adopted`, from an accepter.
    AdoptionAck {
        /// Revision of the sender of the `Adopted`.
        revision: Revision,
        /// Configuration state of the accepter.
        status: ConfigStatus,
    },
}

/// A message that expects a reply.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Call {
    /// Stores copies of bills that are not in the store yet.
    CopyBills {
        /// VM that created the bills.
        origin: Vm,
        /// Incarnation of that VM.
        incarnation: Incarnation,
        /// Bills to keep a copy of.
        entries: Vec<Entry>,
        /// Bills up to this number are in the store; their copies may go.
        flushed: u64,
    },
    /// Claims an idempotency key at the owner of its shard.
    Claim(Claim),
    /// Records how the call of a claimed key ended.
    Settle(Settlement),
    /// Asks the holder of a reserved key if a request may use it.
    UseReserved {
        /// Digest of the key.
        key: Digest,
        /// Request that would run under the key.
        user: RequestId,
        /// Digest of the body of that request.
        body: Digest,
    },
    /// Requests the decision record of a request.
    Explain {
        /// Id of the request.
        request: String,
    },
    /// Requests the counts of the burn report, which measures the objectives of workspaces.
    Burn,
    /// Exchanges contents of requests under which servers crash.
    Poison(poison::Message),
}

/// The reply to a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The call is complete and returns nothing.
    Done,
    /// Decision of the owner of the shard on the claim of an idempotency key: the request may run,
    /// or why it may not.
    Claim(Answer),
    /// Decision of the holder of a reserved key; none if the receiver has not reserved it.
    UseReserved(Option<KeyGrant>),
    /// An explanation or JSON; none if the receiver has nothing to report.
    Text(Option<String>),
}

/// A frame or a call, with its sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope<T> {
    /// Name of the sender.
    pub from: Vm,
    /// The frame or call.
    pub body: T,
}

/// Encodes a message.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    postcard::to_stdvec(message).expect("messages are plain data")
}

/// Decodes a message; returns none if the bytes are not a valid one.
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Option<T> {
    postcard::from_bytes(bytes).ok()
}
