//! Messages between entry VMs, encoded with `postcard`: fields and variants go by position.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::pinned_sessions::Draw;
use super::poison;
use super::replica::Incarnation;
use super::rollout_trial::Totals;
use super::settings::Settings;
use super::usage;
use crate::unit::{
    DataCentre, Millicores, Moment, Rate, Server, Service, Span, Version, Vm as Name,
};

/// A message from one VM to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Message {
    /// Heartbeat: the VM runs.
    Hello,
    /// The VM stops as planned.
    Goodbye,
    /// The VM sent a prompt to a server.
    Work {
        /// Id of the server.
        server: Server,
        /// Estimated time that the server needs to prefill the prompt.
        work: Span,
    },
    /// The sender's counts of answers of the old and the new version, since the rollout began.
    RolloutCounts {
        /// The service.
        service: Service,
        /// The new version.
        version: Version,
        /// Counts by route, only of the routes where they changed.
        routes: Vec<(String, Totals)>,
    },
    /// Sessions pinned to the old version in the early part of a rollout.
    PinnedSessions {
        /// The service.
        service: Service,
        /// The new version.
        version: Version,
        /// Draws of the pinned sessions: hashes that decide which sessions get the new version.
        draws: Vec<Draw>,
    },
    /// Request contents under which servers crashed, or that were served well.
    Poison(poison::Message),
    /// An incarnation of a server (one lifetime of its process) announced that it drains.
    ServerDraining(Incarnation),
    /// An incarnation of a server announced a rate limit, or the end of one.
    ServerLimit {
        /// Id of the server.
        server: Server,
        /// Start of the incarnation, in milliseconds since 1970 by the server's own clock.
        started_at_ms: Option<u64>,
        /// Address on which the server listens.
        address: SocketAddr,
        /// Rate limit in requests per second from all VMs together; `None` if the limit has ended.
        rate: Option<Rate>,
        /// Time since the server announced the rate limit or its end.
        age: Span,
    },
    /// Requests of the sender's workspaces that began to run.
    Usage(usage::Batch),
    /// The sender's shares of the rate limits of a service's servers are used up; it asks for those
    /// of others.
    ShareRequest {
        /// The service.
        service: Service,
        /// Rate of requests for the service at the sender.
        demand: Rate,
        /// When this was sent, by the sender's clock.
        sent_at: Moment,
    },
    /// The sender lends a part of its shares of the rate limits of a service's servers.
    ShareLoan {
        /// The service.
        service: Service,
        /// The part, from 0 to 1.
        part: f64,
        /// When the request that this answers was sent, by the clock of the VM that asked.
        requested_at: Moment,
    },
    /// The sender can't reach servers and asks for offers to relay its connections.
    TunnelRequest {
        /// The services that the sender forwards requests to.
        services: Vec<Service>,
    },
    /// The sender relays connections to the servers of these services; none withdraws its offer.
    TunnelOffer {
        /// The services whose servers the sender reaches.
        services: Vec<Service>,
        /// Number of tunnels that the sender relays already.
        open: u32,
    },
    /// An incarnation of a server announced that it is brittle, or no longer is.
    ServerBrittle {
        /// Id of the server.
        server: Server,
        /// Start of the incarnation, in milliseconds since 1970 by the server's own clock.
        started_at_ms: Option<u64>,
        /// Address on which the server listens.
        address: SocketAddr,
        /// Rejections per second beyond which the server fails; `None` if it is no longer brittle.
        rate: Option<Rate>,
        /// Time since the server announced it.
        age: Span,
    },
    /// The sender has requests that wait for a place at brittle servers of a service, and asks for
    /// one.
    PlaceRequest {
        /// The service.
        service: Service,
        /// When this was sent, by the sender's clock.
        sent_at: Moment,
    },
    /// Answer to a request for a place.
    PlaceAnswer {
        /// The server at which the sender lends a place; `None` if it has none to lend.
        place: Option<Incarnation>,
        /// When the request was sent, by the clock of the VM that asked.
        requested_at: Moment,
    },
    /// The sender returns a place that it had borrowed.
    PlaceReturn {
        /// The server.
        place: Incarnation,
    },
}

/// A message with its sender.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Envelope {
    /// Name of the sender.
    pub from: Name,
    /// Where to reach the sender.
    pub info: PeerInfo,
    /// The message itself.
    pub message: Message,
}

/// Address and size of a VM. The entry of the VM in the store has the same fields, as JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerInfo {
    /// Address for messages from other VMs.
    pub address: SocketAddr,
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// CPU quota of the VM, in thousandths of a core.
    #[serde(default, rename = "share")]
    pub cpu_quota: Millicores,
}

impl PeerInfo {
    /// Returns the information on a VM with these settings, whose links are at `address`.
    pub fn of(settings: &Settings, address: SocketAddr) -> PeerInfo {
        PeerInfo {
            address,
            data_centre: settings.data_centre.clone(),
            cpu_quota: settings.cpu_quota,
        }
    }
}
