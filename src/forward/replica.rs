//! Backend servers as the platform lists them, and orders to roll out a version.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::unit::{DataCentre, Position, Server, Service, Span, Version};

/// One incarnation of a backend server: a process from its start to its end.
#[derive(Clone, Debug, PartialEq)]
pub struct Replica {
    /// Id of the server. A server that restarts may keep its id, but keeps no requests, cache or
    /// other state.
    pub id: Server,
    /// Start of this incarnation in milliseconds since 1970 by the server's own clock, if the entry
    /// gives it; distinguishes incarnations with the same id.
    pub started_at_ms: Option<u64>,
    /// Service that the server belongs to.
    pub service: Service,
    /// Address where it listens.
    pub address: SocketAddr,
    /// Data centre of the server.
    pub data_centre: DataCentre,
    /// Version of the server's software.
    pub version: Version,
    /// Number of requests that the server processes at the same time.
    pub slots: u32,
    /// Remaining time of the server's cold start, in which it accepts few requests, when the entry
    /// was written.
    pub cold: Span,
    /// False if the server is draining and must get no new requests.
    pub ready: bool,
}

impl Replica {
    /// Returns true if `other` is the same incarnation of the same server, as far as entries show.
    /// The start times can't tell which of two incarnations is the later one, since the server's
    /// clock may step back; the store's revisions order them.
    pub fn is_same_incarnation(&self, other: &Replica) -> bool {
        self.matches_incarnation(&other.id, other.started_at_ms, other.address)
    }

    /// Returns the identity of this incarnation, as VMs send it to one another.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation {
            server: self.id.clone(),
            started_at_ms: self.started_at_ms,
            address: self.address,
        }
    }

    /// Returns true if this is the incarnation with this id, start and address.
    pub fn matches_incarnation(
        &self,
        id: &Server,
        started_at_ms: Option<u64>,
        address: SocketAddr,
    ) -> bool {
        (&self.id, self.started_at_ms, self.address) == (id, started_at_ms, address)
    }
}

/// Identity of one incarnation of a server, in messages between VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Incarnation {
    /// Id of the server.
    pub server: Server,
    /// Start of the incarnation in milliseconds since 1970 by the server's own clock.
    pub started_at_ms: Option<u64>,
    /// Address where it listens.
    pub address: SocketAddr,
}

/// Progress of a rollout, as written in the store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Phase {
    /// A share of sessions goes to the new version.
    Running {
        /// Share of sessions, from 0 to 1.
        share: f64,
    },
    /// All sessions go to the new version.
    Completed,
    /// The new version was found bad and gets no sessions.
    RolledBack,
}

/// The operator's order to roll out a version of a service, and its progress.
#[derive(Clone, Debug, PartialEq)]
pub struct Rollout {
    /// Service whose version is rolled out.
    pub service: Service,
    /// The new version.
    pub version: Version,
    /// Time in which the rollout is to complete.
    pub within: Span,
    /// Progress that this VM knows; `None` before the first step.
    pub phase: Option<Phase>,
    /// Progress that is written in the store; `None` before the first step.
    pub stored: Option<Phase>,
    /// Position of the last change of the rollout's object, for conditional writes.
    pub position: Position,
}

impl Rollout {
    /// Returns true if this is the same order as another.
    pub fn is_same_order(&self, other: &Rollout) -> bool {
        let order = |one: &Rollout| (one.service.clone(), one.version.clone(), one.within);
        order(self) == order(other)
    }

    /// Keeps the phase of an earlier state of the same order unless the present phase is further.
    pub fn keep_progress(&mut self, earlier: &Rollout) {
        if progress(earlier.phase) >= progress(self.phase) {
            self.phase = earlier.phase;
        }
    }

    /// Returns true if the store does not have the phase that this VM knows.
    pub fn is_unwritten(&self) -> bool {
        self.phase != self.stored
    }

    /// Returns true if the rollout has neither completed nor been rolled back.
    pub fn is_open(&self) -> bool {
        !matches!(self.phase, Some(Phase::Completed | Phase::RolledBack))
    }
}

/// Returns a key that orders phases by progress; completed and rolled back are equal.
fn progress(phase: Option<Phase>) -> (u8, f64) {
    match phase {
        None => (0, 0.0),
        Some(Phase::Running { share }) => (1, share),
        Some(Phase::Completed | Phase::RolledBack) => (2, 0.0),
    }
}
