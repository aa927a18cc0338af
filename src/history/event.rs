//! The events of a history, one JSON line each; `docs/HISTORY.md` describes them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::unit::{Date, RequestId, Revision, Server, Target, Vm, Workspace};

/// Whether a request ran, as a refusal states it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// Nothing of it ran.
    No,
    /// It ran.
    Yes,
    /// It may have run.
    Unknown,
}

/// One line of a history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// When, in microseconds since 1970.
    pub at: Date,
    /// What.
    #[serde(flatten)]
    pub event: Event,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// A root took effect in the store.
    Confirmed {
        /// Its revision.
        revision: Revision,
        /// The versions each workspace may use.
        allowed: BTreeMap<Workspace, Vec<Target>>,
        /// The versions withdrawn.
        withdrawn: Vec<Target>,
    },
    /// A VM found a revision to be in force everywhere.
    Accepted {
        /// The revision.
        revision: Revision,
    },
    /// A VM took a revision.
    Adopted {
        /// The VM.
        vm: Vm,
        /// Its incarnation.
        incarnation: u64,
        /// The revision.
        revision: Revision,
    },
    /// A caller sent a request.
    Asked {
        /// The caller's own number for it.
        ask: u64,
        /// The workspace of its key.
        workspace: Workspace,
        /// The key of a call that may not be repeated.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        key: Option<String>,
        /// The caller's conversation.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        talk: Option<u64>,
    },
    /// A caller got an answer, or found that it would get none.
    Answered {
        /// The caller's own number.
        ask: u64,
        /// The request's id, if the caller learnt it.
        request: Option<RequestId>,
        /// HTTP status; 0 if the connection broke.
        status: u16,
        /// What the refusal says.
        ran: Option<Ran>,
        /// Whether the answer came to its proper end.
        whole: bool,
        /// Digest of the answer's text.
        digest: Option<String>,
        /// The version, as the headers say.
        target: Option<Target>,
        /// The VM, as the headers say or the caller knows.
        vm: Option<Vm>,
    },
    /// A VM decided to start work.
    Started {
        /// The VM.
        vm: Vm,
        /// The request.
        request: RequestId,
        /// The revision it decided under.
        revision: Revision,
        /// The version; none for a service's call.
        target: Option<Target>,
        /// The backend server.
        server: Server,
    },
    /// A backend server began to run work for a model request.
    Ran {
        /// The backend server.
        server: Server,
        /// The request.
        request: RequestId,
        /// The workspace it is for.
        workspace: Workspace,
        /// The version.
        target: Target,
        /// Tokens that were there already, from an earlier attempt.
        offset: u32,
        /// Digest of the whole answer's text.
        digest: String,
    },
    /// A service's replica ran a call.
    Served {
        /// The backend server.
        server: Server,
        /// The request.
        request: RequestId,
        /// The workspace it is for.
        workspace: Workspace,
        /// The key of a call that may not be repeated.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        key: Option<String>,
        /// Digest of the answer.
        digest: String,
    },
    /// The store holds a bill for a request.
    Billed {
        /// The request.
        request: RequestId,
        /// The workspace that pays.
        workspace: Workspace,
        /// Micro-euros.
        cost: u64,
    },
    /// A backend server is leaving.
    Leaving {
        /// The backend server.
        server: Server,
    },
    /// A VM began a planned stop.
    Stopping {
        /// The VM.
        vm: Vm,
    },
    /// A VM was killed.
    Killed {
        /// The VM.
        vm: Vm,
    },
    /// A fault began or ended.
    Fault {
        /// Which.
        name: String,
        /// Whether it began.
        began: bool,
    },
}
