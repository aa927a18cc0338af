//! Settings that an entry VM reads at its start.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};

use crate::decide::freshness::Schedules;
use crate::decide::{freshness, lease, usage};
use crate::unit::{DataCentre, Millicores, Region, Size, Span, Vm};

/// Safety margin on the age of a proof that the configuration is the newest, for differences
/// between clock rates.
const PROOF_AGE_MARGIN: Span = Span::millis(250);

/// Settings of one entry VM.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the VM, unique among all VMs.
    pub vm: Vm,
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// Region of each data centre.
    pub regions: HashMap<DataCentre, Region>,
    /// IP address of the VM.
    pub ip: IpAddr,
    /// Local address of connections to backend servers; any if it is `None`.
    pub source: Option<IpAddr>,
    /// CPU quota, in thousandths of a core; larger VMs do more of the work for others.
    pub cpu_quota: Millicores,
    /// Memory of the VM; `None` if it is not known.
    pub memory: Option<Size>,
    /// Descriptors that the process may have; `None` if the file does not tell.
    pub descriptors: Option<u64>,
    /// Connections of clients that may be open; `None` to derive them from the descriptors.
    pub client_connections: Option<usize>,
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address for the readiness checks of the balancer.
    pub readiness: SocketAddr,
    /// UDP address for messages from other VMs; `None` if the VM works alone.
    pub links: Option<SocketAddr>,
    /// Address of the platform's object store.
    pub store: SocketAddr,
    /// Listen address for the metrics, if they are served.
    pub metrics: Option<SocketAddr>,
    /// Confidence, from 0 to 100, from which the response of a small model is kept, however idle
    /// the servers of larger ones are.
    pub keep_confidence: f64,
    /// Guarantees of the site.
    pub bounds: Bounds,
    /// Duties of the fleet towards the platform; `None` if it has none.
    pub duties: Option<Duties>,
}

/// Duties that one VM at a time performs for the fleet.
#[derive(Clone, Copy, Debug)]
pub struct Duties {
    /// Address of the platform that receives the calls.
    pub platform: SocketAddr,
    /// Durations of the lease on a duty.
    pub lease: lease::Terms,
    /// Windows in which usage is reported.
    pub usage: usage::Schedule,
}

/// Times and fractions that the operators promise to their users.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Time that a VM must have run without disturbance before the other bounds apply to it.
    pub settling_time: Span,
    /// Time until a change of the configuration is in force everywhere.
    pub config_propagation: Span,
    /// Time after which a draining backend server gets no new requests.
    pub drain_within: Span,
    /// Time after which the servers of an evacuated data centre get no new requests.
    pub evacuate_within: Span,
    /// Time after which a revoked key is refused everywhere; `None` if that time is not bounded.
    pub key_staleness: Option<Span>,
    /// Time from the verdict that a version is bad until it is out of use.
    pub rollback: Span,
    /// Time from the stop signal until the process is killed.
    pub stop_within: Span,
    /// Longest time between two requests of one session.
    pub session_gap: Span,
    /// Retries allowed per request, on average over all VMs.
    pub retry_share: f64,
    /// Retries allowed in one window in addition to `retry_share`, over all VMs.
    pub retry_extra: f64,
    /// Window in which requests and retries are counted for `retry_share` and `retry_extra`.
    pub retry_window: Span,
    /// Fraction of a service's requests that a bad version may get.
    pub max_exposure: f64,
    /// Number of requests that a bad version may get in addition to its fraction.
    pub exposure_tolerance: f64,
}

impl Bounds {
    /// Returns the longest age of a proof at which requests with a key may be forwarded; `None` if
    /// the time after which a revoked key is refused is not bounded.
    pub fn max_proof_age(&self) -> Option<Span> {
        Some(Span(self.key_staleness?.0.saturating_sub(PROOF_AGE_MARGIN.0)))
    }

    /// Returns the times of reads that keep the state of the store within these bounds.
    pub fn schedules(&self) -> Schedules {
        Schedules::new(freshness::Bounds {
            config: self.config_propagation,
            servers: self.drain_within,
            rollouts: self.rollback,
            evacuations: self.evacuate_within,
            key_proof: self.max_proof_age(),
        })
    }
}
