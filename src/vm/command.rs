//! Commands that the threads serving callers send to the control thread.

use tokio::sync::oneshot;

use crate::decide::poison;
use crate::ledger::Entry;
use crate::once::{Answer, Claim, Digest, KeyGrant, Settlement};
use crate::standin::rating::Sample;
use crate::unit::{RequestId, Revision, Server, Vm};

/// A request to run a call under a reserved key.
#[derive(Clone, Debug)]
pub struct KeyUse {
    /// Digest of the key.
    pub key: Digest,
    /// The request that would run.
    pub request: RequestId,
    /// Digest of the call's body.
    pub body: Digest,
}

/// A command to the control thread, with the channel for its reply where it has one.
pub enum Command {
    /// Make a bill durable; the reply is true once it is held by other VMs or the store.
    RecordBill(Entry, oneshot::Sender<bool>),
    /// Claim an idempotency key.
    Claim(Claim, oneshot::Sender<Answer>),
    /// Use a reserved key: ask its holder, or all VMs if the holder is not known.
    UseKey(KeyUse, Option<Vm>, oneshot::Sender<Option<KeyGrant>>),
    /// Record how a claimed call ended.
    Settle(Settlement),
    /// Submit an answer to the rating service.
    SubmitSample(Sample),
    /// Catch up with a later revision that a session token names.
    CatchUp(Revision, oneshot::Sender<()>),
    /// Cancel a request on an engine.
    Cancel(std::net::SocketAddr, crate::engine::wire::Cancel),
    /// Probe the load of a server at once.
    ProbeServer(Server),
    /// Ask all VMs for the decision record of a request.
    Explain(String, oneshot::Sender<Option<String>>),
    /// Send other VMs a message about contents that crash servers.
    SendPoison(poison::Outgoing),
    /// Collect the counts for the burn report from all VMs.
    CollectBurn(oneshot::Sender<Vec<String>>),
}
