//! Messages between VMs, encoded by `postcard`.

use serde::{Deserialize, Serialize};

use super::Member;
use crate::config::Piece;
use crate::decide::poison;
use crate::evidence::Row;
use crate::ledger::Entry;
use crate::once::{Answer, Claim, Digest, KeyGrant, Settlement};
use crate::unit::{Incarnation, RequestId, Revision, Span, Vm};

/// What every frame says about the configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigStatus {
    /// The sender's revision.
    pub revision: Revision,
    /// The highest revision that the sender knows to be in force everywhere.
    pub accepted: Revision,
    /// How long ago the sender's knowledge was as of the store; none if it never was.
    pub age: Option<Span>,
}

/// News for one neighbour: rows that it may not have.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// Rows of members.
    pub members: Vec<Member>,
    /// The sender's place in its sequence of member changes.
    pub members_upto: u64,
    /// Rows of evidence.
    pub evidence: Vec<Row>,
    /// The sender's place in its sequence of evidence changes.
    pub evidence_upto: u64,
}

/// How far a VM has merged the news of another's life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Cursor {
    /// The life.
    pub incarnation: Incarnation,
    /// Its place in its sequence of member changes.
    pub members: u64,
    /// Its place in its sequence of evidence changes.
    pub evidence: u64,
}

/// A one-way message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Asks for a sign of life, and brings news.
    Probe {
        /// Counts the sender's probes.
        number: u64,
        /// The sender's own row.
        me: Member,
        /// Its stand.
        status: ConfigStatus,
        /// News.
        delta: Delta,
        /// What the sender has merged of the receiver's news.
        cursor: Cursor,
    },
    /// Answers a probe.
    Ack {
        /// The probe's number.
        number: u64,
        /// The sender's own row.
        me: Member,
        /// Its stand.
        status: ConfigStatus,
        /// News.
        delta: Delta,
        /// What the sender has merged of the prober's news.
        cursor: Cursor,
    },
    /// Asks for the configuration, if the receiver's is later.
    ConfigRequest {
        /// The sender's revision.
        have: Revision,
        /// Digests of the pieces that the sender has.
        pieces: Vec<String>,
    },
    /// A configuration: the root, and the pieces that the receiver lacks.
    Config {
        /// JSON of the root, as it stands in the store.
        root: Vec<u8>,
        /// Pieces.
        pieces: Vec<Piece>,
    },
    /// Tells an accepter which revision the sender obeys.
    Adopted {
        /// The sender's own row, so that a new VM is known before it works.
        me: Member,
        /// Its stand.
        status: ConfigStatus,
        /// All work that it sends from now on obeys this revision.
        enforced_revision: Revision,
    },
    /// An accepter has noted an `Adopted`.
    AdoptionAck {
        /// The revision noted.
        revision: Revision,
        /// The accepter's stand.
        status: ConfigStatus,
    },
}

/// A message that wants an answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Call {
    /// Keep copies of bills.
    CopyBills {
        /// The VM that made them.
        origin: Vm,
        /// Its life.
        incarnation: Incarnation,
        /// The bills.
        entries: Vec<Entry>,
        /// All up to this number are in the store.
        flushed: u64,
    },
    /// Claim a key, as the owner of its shard.
    Claim(Claim),
    /// Note how a claimed call ended.
    Settle(Settlement),
    /// Ask the holder of a key that is set aside.
    UseReserved {
        /// The key.
        key: Digest,
        /// The request that would run.
        user: RequestId,
        /// Digest of its body.
        body: Digest,
    },
    /// The decision record of a request.
    Explain {
        /// The request's id.
        request: String,
    },
    /// The burn report's counts.
    Burn,
    /// Contents under which servers crash.
    Poison(poison::Message),
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// It is done.
    Done,
    /// The answer to a claim.
    Claim(Answer),
    /// The word of a key's holder; nothing if it is not set aside there.
    UseReserved(Option<KeyGrant>),
    /// Text: an explanation, or JSON.
    Text(Option<String>),
}

/// A frame or a call, and who sends it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope<T> {
    /// The sender.
    pub from: Vm,
    /// The message.
    pub body: T,
}

/// The bytes of a message.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    postcard::to_stdvec(message).expect("messages are plain data")
}

/// A message from its bytes; nothing if they are not one.
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Option<T> {
    postcard::from_bytes(bytes).ok()
}
