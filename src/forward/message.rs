//! The messages that entry VMs tell one another.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::pinned::Draw;
use super::poison;
use super::replica::Incarnation;
use super::settings::Settings;
use super::trial::Totals;
use crate::unit::{DataCentre, Millicores, Rate, Server, Service, Span, Version, Vm as Name};

/// What one VM tells another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Message {
    /// It is there.
    Hello,
    /// It stops.
    Goodbye,
    /// It sent a prompt to a server.
    Work {
        /// The server.
        server: Server,
        /// Time that the server needs to read it.
        work: Span,
    },
    /// What it has seen of a version since its roll-out began.
    TrialCounts {
        /// The service.
        service: Service,
        /// The new version.
        version: Version,
        /// Its counts, of routes where they changed.
        routes: Vec<(String, Totals)>,
    },
    /// Sessions that keep the old version while a new one's trial is young.
    PinnedSessions {
        /// The service.
        service: Service,
        /// The new version.
        version: Version,
        /// Their draws.
        draws: Vec<Draw>,
    },
    /// Contents under which servers crashed, or did not.
    Poison(poison::Message),
    /// A life of a server has said that it leaves.
    ServerDraining(Incarnation),
    /// A life of a server names a limit, or no longer does.
    ServerLimit {
        /// Its id.
        server: Server,
        /// When that life began, by its own clock.
        born: Option<u64>,
        /// Where it listens.
        address: SocketAddr,
        /// Requests a second from all VMs together.
        rate: Option<Rate>,
        /// How long ago it said so.
        age: Span,
    },
}

/// A word, who says it, and where to answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Envelope {
    /// Who says it.
    pub from: Name,
    /// Where it is.
    pub info: PeerInfo,
    /// What it says.
    pub message: Message,
}

/// Where a VM is, and how large; the store's entry of it says the same.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerInfo {
    /// Where other VMs reach it.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its share of a core.
    #[serde(default)]
    pub share: Millicores,
}

impl PeerInfo {
    /// The place of a VM with these settings, whose links are at `address`.
    pub fn of(settings: &Settings, address: SocketAddr) -> PeerInfo {
        PeerInfo { address, data_centre: settings.data_centre.clone(), share: settings.share }
    }
}
