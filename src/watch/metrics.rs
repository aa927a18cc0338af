//! Prometheus metrics of a VM, served at `/metrics`.

use prometheus::core::Collector;
use prometheus::{
    Encoder, GaugeVec, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts,
    Registry, TextEncoder,
};

use crate::unit::Revision;

/// Upper bounds of the latency histograms' buckets, in seconds.
const LATENCY_BUCKETS: [f64; 12] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.4, 2.5, 5.0, 10.0];

/// Metrics of one VM.
pub struct Metrics {
    registry: Registry,
    accepted: IntGauge,
    /// Requests by workspace and outcome.
    pub requests: IntCounterVec,
    /// Rejected requests by kind.
    pub refusals: IntCounterVec,
    /// Attempts by version and outcome.
    pub attempts: IntCounterVec,
    /// Tokens sent to callers.
    pub tokens: IntCounter,
    /// Time from the request to the first token, in seconds.
    pub first_token: Histogram,
    /// Time until a bill was stored durably, in seconds.
    pub bill: Histogram,
    /// Bills that are not in the store yet: those of this VM and copies of those of others.
    pub bills_held: IntGauge,
    /// Configuration revision that this VM enforces.
    pub revision: IntGauge,
    /// Control messages to other VMs, by kind.
    pub messages: IntCounterVec,
    /// Burn rates of this VM's requests, by workspace, version and window.
    pub burn: GaugeVec,
    /// Bytes of messages sent to other VMs, excluding the overhead of the transport.
    pub peer_bytes: IntGauge,
    /// Failed requests to the platform.
    pub store_failures: IntCounter,
    /// Events that a state chart does not allow in the current state.
    pub invalid_transitions: IntCounter,
    /// Frames from servers that belonged to another request or were duplicates.
    pub stray_frames: IntCounter,
}

impl Metrics {
    /// Registers all metrics, with the value 0.
    pub fn new() -> Metrics {
        let registry = Registry::new();
        let vec = |name: &str, help: &str, labels: &[&str]| {
            let vec = IntCounterVec::new(Opts::new(name, help), labels).expect("a plain name");
            registry.register(Box::new(vec.clone())).expect("a name used once");
            vec
        };
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help).expect("a plain name");
            registry.register(Box::new(counter.clone())).expect("a name used once");
            counter
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help).expect("a plain name");
            registry.register(Box::new(gauge.clone())).expect("a name used once");
            gauge
        };
        let histogram = |name: &str, help: &str| {
            let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec());
            let histogram = Histogram::with_opts(options).expect("a plain name");
            registry.register(Box::new(histogram.clone())).expect("a name used once");
            histogram
        };
        let burn = GaugeVec::new(
            Opts::new("kitepulley_burn", "Burn of objectives on this VM."),
            &["workspace", "version", "window"],
        )
        .expect("a plain name");
        registry.register(Box::new(burn.clone())).expect("a name used once");
        Metrics {
            burn,
            requests: vec("kitepulley_requests_total", "Requests.", &["workspace", "outcome"]),
            refusals: vec("kitepulley_refusals_total", "Refusals.", &["kind"]),
            attempts: vec("kitepulley_attempts_total", "Attempts.", &["version", "outcome"]),
            tokens: counter("kitepulley_tokens_total", "Tokens given to callers."),
            first_token: histogram("kitepulley_first_token_seconds", "First token."),
            bill: histogram("kitepulley_bill_seconds", "Time until a bill was safe."),
            bills_held: gauge("kitepulley_bills_held", "Bills not in the store yet."),
            revision: gauge("kitepulley_revision", "Revision in force."),
            messages: vec("kitepulley_messages_total", "Messages to VMs.", &["kind"]),
            peer_bytes: gauge("kitepulley_peer_bytes", "Bytes of messages sent to VMs."),
            store_failures: counter("kitepulley_store_failures_total", "Failed platform calls."),
            invalid_transitions: counter("kitepulley_misfits_total", "Events that fit no chart."),
            stray_frames: counter("kitepulley_stray_frames_total", "Frames of other requests."),
            accepted: gauge("kitepulley_accepted_revision", "Revision in force everywhere."),
            registry,
        }
    }

    /// Registers a metric that another module keeps.
    pub fn register(&self, metric: impl Collector + 'static) {
        self.registry.register(Box::new(metric)).expect("a name used once");
    }

    /// Returns the highest revision known to be in force on all VMs.
    pub fn accepted(&self) -> Revision {
        Revision(self.accepted.get() as u64)
    }

    /// Sets the highest revision known to be in force on all VMs.
    pub fn set_accepted(&self, revision: Revision) {
        self.accepted.set(revision.0 as i64);
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut out = Vec::new();
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut out);
        String::from_utf8(out).unwrap_or_default()
    }
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics::new()
    }
}
