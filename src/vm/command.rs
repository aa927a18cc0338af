//! Commands that the threads serving callers send to the control thread.

use tokio::sync::oneshot;

use crate::decide::poison;
use crate::ledger::Entry;
use crate::once::{Answer, Claim, Digest, KeyGrant, Settlement};
use crate::standin::rating::Sample;
use crate::unit::{RequestId, Revision, Server, Vm};

/// A request to run a call under a reserved idempotency key.
#[derive(Clone, Debug)]
pub struct KeyUse {
    /// Digest of the key.
    pub key: Digest,
    /// Id of the request that makes the call.
    pub request: RequestId,
    /// Digest of the call's body.
    pub body: Digest,
}

/// A command to the control thread, with the channel for its reply where it has one.
pub enum Command {
    /// Make a bill durable; the reply is true once other VMs or the store hold the bill.
    RecordBill(Entry, oneshot::Sender<bool>),
    /// Claim an idempotency key.
    Claim(Claim, oneshot::Sender<Answer>),
    /// Ask for the use of a reserved key: the VM that reserved it, or all VMs if that VM is not
    /// known. The reply is none if no VM reserved the key.
    UseKey(KeyUse, Option<Vm>, oneshot::Sender<Option<KeyGrant>>),
    /// Record the outcome of a call with an idempotency key.
    Settle(Settlement),
    /// Submit an answer to the rating service, which rates its quality.
    SubmitSample(Sample),
    /// Fetch a later configuration revision that a session token names; the reply comes when it is
    /// in force or could not be fetched.
    CatchUp(Revision, oneshot::Sender<()>),
    /// Cancel a request on the engine at this address.
    Cancel(std::net::SocketAddr, crate::engine::wire::Cancel),
    /// Probe the load of a server at once.
    ProbeServer(Server),
    /// Ask all VMs for the decision record of a request.
    Explain(String, oneshot::Sender<Option<String>>),
    /// Send other VMs a message about request contents that crash servers; the reply comes when
    /// they have answered or could not be reached.
    SendPoison(poison::Outgoing, oneshot::Sender<()>),
    /// Read the messages that other VMs sent while this process stood still.
    ReadMessages,
    /// Collect from all other VMs the counts for the report on error budgets, as JSON.
    CollectBurn(oneshot::Sender<Vec<String>>),
}
