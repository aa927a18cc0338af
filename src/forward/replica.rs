//! Backend servers as the platform lists them, and orders to roll a version out.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::unit::{DataCentre, Position, Server, Service, Span, Version};

/// One life of a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct Replica {
    /// Its id. One that starts again may keep it, and then holds and knows nothing of before.
    pub id: Server,
    /// When this life of it began, in milliseconds of its own clock since 1970; tells lives under one id apart.
    pub started_at_ms: Option<u64>,
    /// The service that it answers for.
    pub service: Service,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Version of its software.
    pub version: Version,
    /// Requests that it works on at once.
    pub slots: u32,
    /// How much longer it is cold, as its entry says.
    pub cold: Span,
    /// Whether it takes new work.
    pub ready: bool,
}

impl Replica {
    /// Whether this is the same life of the same server, as far as entries tell. Which of two is the later one is not for
    /// its clock to say, which may step back: the store's revisions order them.
    pub fn is_same_incarnation(&self, other: &Replica) -> bool {
        self.matches_incarnation(&other.id, other.started_at_ms, other.address)
    }

    /// Returns what names this life.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation {
            server: self.id.clone(),
            started_at_ms: self.started_at_ms,
            address: self.address,
        }
    }

    /// The same, of a life that is told of by what names it.
    pub fn matches_incarnation(
        &self,
        id: &Server,
        started_at_ms: Option<u64>,
        address: SocketAddr,
    ) -> bool {
        (&self.id, self.started_at_ms, self.address) == (id, started_at_ms, address)
    }
}

/// What names one life of a server between VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Incarnation {
    /// Its id.
    pub server: Server,
    /// When that life began, by its own clock.
    pub started_at_ms: Option<u64>,
    /// Where it listens.
    pub address: SocketAddr,
}

/// How far a roll-out has come, as it stands in the store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Phase {
    /// This share of sessions goes to the new version.
    Running {
        /// From 0 to 1.
        share: f64,
    },
    /// The new version has taken over.
    Completed,
    /// The new version was found bad.
    RolledBack,
}

/// The operator's order to move a service to a version, and how far it has come.
#[derive(Clone, Debug, PartialEq)]
pub struct Rollout {
    /// The service.
    pub service: Service,
    /// The new version.
    pub version: Version,
    /// Time in which it is to be done.
    pub within: Span,
    /// How far it has come, as far as this VM knows; none before the first step.
    pub phase: Option<Phase>,
    /// The phase that the store has.
    pub stored: Option<Phase>,
    /// The object's position, for a conditional update.
    pub position: Position,
}

impl Rollout {
    /// Returns true if this is the same order as another.
    pub fn is_same_order(&self, other: &Rollout) -> bool {
        let order = |one: &Rollout| (one.service.clone(), one.version.clone(), one.within);
        order(self) == order(other)
    }

    /// Keeps the phase of an earlier state of the same order if that has come further.
    pub fn keep_progress(&mut self, earlier: &Rollout) {
        if progress(earlier.phase) >= progress(self.phase) {
            self.phase = earlier.phase;
        }
    }

    /// Returns true if the store does not have the phase that this VM knows.
    pub fn is_unwritten(&self) -> bool {
        self.phase != self.stored
    }

    /// Whether it has not ended, in either way.
    pub fn is_open(&self) -> bool {
        !matches!(self.phase, Some(Phase::Completed | Phase::RolledBack))
    }
}

/// Orders the phases of one order by how far it has come; both ends are as far.
fn progress(phase: Option<Phase>) -> (u8, f64) {
    match phase {
        None => (0, 0.0),
        Some(Phase::Running { share }) => (1, share),
        Some(Phase::Completed | Phase::RolledBack) => (2, 0.0),
    }
}
