//! Backend servers as the platform lists them, and orders to roll a version out.

use std::net::SocketAddr;

use crate::unit::{DataCentre, Server, Service, Span, Version};

/// One life of a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct Replica {
    /// Its id; a new one at each start.
    pub id: Server,
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
    /// How far it has come; none before the first step.
    pub phase: Option<Phase>,
    /// The object's revision, for a conditional update.
    pub revision: u64,
}

impl Rollout {
    /// Whether it has not ended, in either way.
    pub fn is_open(&self) -> bool {
        !matches!(self.phase, Some(Phase::Completed | Phase::RolledBack))
    }
}
