//! What the threads that serve callers ask of the control thread.

use tokio::sync::oneshot;

use crate::decide::poison;
use crate::ledger::Entry;
use crate::once::{Answer, Claim, Digest, KeyGrant, Settlement};
use crate::standin::rating::Sample;
use crate::unit::{RequestId, Revision, Server, Vm};

/// A call that wants to use a key.
#[derive(Clone, Debug)]
pub struct Asked {
    /// The key.
    pub key: Digest,
    /// The request that would run.
    pub user: RequestId,
    /// Digest of its body.
    pub body: Digest,
}

/// An errand.
pub enum Errand {
    /// Make a bill safe; answered when it stands in other VMs or in the store.
    Bill(Entry, oneshot::Sender<bool>),
    /// Claim a key.
    Claim(Claim, oneshot::Sender<Answer>),
    /// Ask for a key that is set aside: its holder, or everyone if the holder is not known.
    Use(Asked, Option<Vm>, oneshot::Sender<Option<KeyGrant>>),
    /// Note how a claimed call ended.
    Settle(Settlement),
    /// Have an answer rated.
    Rate(Sample),
    /// Catch up with a later revision that a token names.
    CatchUp(Revision, oneshot::Sender<()>),
    /// Give up work on an engine.
    Cancel(std::net::SocketAddr, crate::engine::wire::Cancel),
    /// Ask a server for its load at once.
    Look(Server),
    /// Ask all VMs for a request's decision record.
    Explain(String, oneshot::Sender<Option<String>>),
    /// Tell others of contents under which servers crash.
    Tell(poison::Outgoing),
    /// Ask all VMs for their burn counts.
    Burn(oneshot::Sender<Vec<String>>),
}
