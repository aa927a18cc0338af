//! Events of a history, stored as one JSON object per line; `docs/HISTORY.md` describes them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::unit::{Date, RequestId, Revision, Server, Target, Vm, Workspace};

/// Statement of a refusal about the execution of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// No part of it ran.
    No,
    /// It ran.
    Yes,
    /// It may have run.
    Unknown,
}

/// One line of a history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Time of the event, in microseconds since the Unix epoch.
    pub at: Date,
    /// The event.
    #[serde(flatten)]
    pub event: Event,
}

/// An event, recorded where it happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// The store wrote a new root of the configuration, so its revision is confirmed.
    Confirmed {
        /// Revision of the root.
        revision: Revision,
        /// Versions that each workspace may use.
        allowed: BTreeMap<Workspace, Vec<Target>>,
        /// Versions withdrawn so far.
        withdrawn: Vec<Target>,
    },
    /// A VM learnt that a revision is accepted, so that no VM starts work under an older one.
    Accepted {
        /// Number of the revision.
        revision: Revision,
    },
    /// A VM adopted a revision: it uses it for new work.
    Adopted {
        /// VM of the event.
        vm: Vm,
        /// Incarnation of its process.
        incarnation: u64,
        /// Number of the revision.
        revision: Revision,
    },
    /// A caller sent a request.
    Asked {
        /// Number that the caller gave to the request.
        ask: u64,
        /// Workspace to which the caller's key belongs.
        workspace: Workspace,
        /// Idempotency key of a call that may run at most once.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        key: Option<String>,
        /// Number of the caller's session, if the request is part of one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        talk: Option<u64>,
    },
    /// A caller received a response or lost its connection.
    Answered {
        /// Number that the caller gave to the request.
        ask: u64,
        /// Id of the request, if the caller received it.
        request: Option<RequestId>,
        /// HTTP status; 0 if the connection broke.
        status: u16,
        /// Statement of a refusal about the execution.
        ran: Option<Ran>,
        /// True if the response is complete.
        #[serde(rename = "whole")]
        is_complete: bool,
        /// Digest of the text of the response.
        digest: Option<String>,
        /// Version of the model that answered, according to the response headers.
        target: Option<Target>,
        /// VM, according to the response headers or the caller's connection.
        vm: Option<Vm>,
    },
    /// A VM started work for a request at a backend server.
    Started {
        /// VM of the event.
        vm: Vm,
        /// Id of the request.
        request: RequestId,
        /// Revision under which it decided.
        revision: Revision,
        /// Version of the model; none for a call of a service.
        target: Option<Target>,
        /// Name of the backend server.
        server: Server,
    },
    /// A backend server started to run a model request.
    Ran {
        /// Name of the backend server.
        server: Server,
        /// Id of the request.
        request: RequestId,
        /// Workspace of the request.
        workspace: Workspace,
        /// Version that ran.
        target: Target,
        /// Number of tokens that an earlier attempt had produced already.
        offset: u32,
        /// Digest of the text of the whole answer.
        digest: String,
    },
    /// A replica of a service ran a call.
    Served {
        /// Name of the backend server.
        server: Server,
        /// Id of the request.
        request: RequestId,
        /// Workspace of the request.
        workspace: Workspace,
        /// Idempotency key of a call that may run at most once.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        key: Option<String>,
        /// Digest of the text of the answer.
        digest: String,
    },
    /// The store holds a bill for a request.
    Billed {
        /// Id of the request.
        request: RequestId,
        /// Workspace that pays.
        workspace: Workspace,
        /// Cost in micro-euros.
        cost: u64,
    },
    /// A backend server announced that it drains.
    Leaving {
        /// Name of the backend server.
        server: Server,
    },
    /// A VM started a planned stop.
    Stopping {
        /// VM of the event.
        vm: Vm,
    },
    /// A VM was killed without notice.
    Killed {
        /// VM of the event.
        vm: Vm,
    },
    /// An injected fault started or ended.
    Fault {
        /// Name of the fault.
        name: String,
        /// True if the fault started, false if it ended.
        #[serde(rename = "began")]
        is_start: bool,
    },
}
