//! What an entry VM is told at its start.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};

use crate::unit::{DataCentre, Millicores, Region, Span, Vm};

/// Settings of one entry VM.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The VM's name.
    pub vm: Vm,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The regions of data centres.
    pub regions: HashMap<DataCentre, Region>,
    /// Its own address.
    pub ip: IpAddr,
    /// Its share of a core; larger VMs bear more of what is done for others.
    pub share: Millicores,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where the balancer asks whether it takes new connections.
    pub readiness: SocketAddr,
    /// Where other VMs reach it, by UDP; none if it is to stay alone.
    pub links: Option<SocketAddr>,
    /// The platform's object store.
    pub store: SocketAddr,
    /// Where counters are served, if anywhere.
    pub metrics: Option<SocketAddr>,
    /// A small model's answer is kept from this confidence of its own on, 0 to 100, however idle servers
    /// are.
    pub keep_confidence: f64,
    /// What must hold, and how soon.
    pub bounds: Bounds,
}

/// Times and shares that the operators promise to their users.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// A VM without trouble for this long is held to the other bounds.
    pub settling_time: Span,
    /// A change of the configuration is in force everywhere after this.
    pub config_propagation: Span,
    /// A backend server that says that it leaves gets nothing new after this.
    pub drain_within: Span,
    /// A data centre that is to be emptied gets nothing new after this.
    pub evacuate_within: Span,
    /// A key that was taken away is refused everywhere after this; none if it may lag.
    pub key_staleness: Option<Span>,
    /// A version is out of use this long after it was found bad.
    pub rollback: Span,
    /// Time from the signal to stop until the process is killed.
    pub stop_within: Span,
    /// Requests of one session follow one another within this.
    pub session_gap: Span,
    /// Sends beyond the first, for each request, over all VMs.
    pub retry_share: f64,
    /// Sends beyond that share, in one window, over all VMs.
    pub retry_extra: f64,
    /// The window of both.
    pub retry_window: Span,
    /// Share of a service's requests that a bad version may get.
    pub max_exposure: f64,
}
