//! Counters for `/metrics`.

use prometheus::{
    Encoder, GaugeVec, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts,
    Registry, TextEncoder,
};

use crate::unit::Revision;

/// Bounds of the latency histograms, in seconds.
const BOUNDS: [f64; 12] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.4, 2.5, 5.0, 10.0];

/// The counters of one VM.
pub struct Metrics {
    registry: Registry,
    accepted: IntGauge,
    /// Requests by workspace and outcome.
    pub requests: IntCounterVec,
    /// Refusals by kind.
    pub refusals: IntCounterVec,
    /// Attempts by version and outcome.
    pub attempts: IntCounterVec,
    /// Tokens given to callers.
    pub tokens: IntCounter,
    /// First token after the request, seconds.
    pub first_token: Histogram,
    /// Time that a bill took to be safe, seconds.
    pub bill: Histogram,
    /// Bills not in the store yet, own and copies.
    pub bills_held: IntGauge,
    /// The revision in force.
    pub revision: IntGauge,
    /// Control messages to other VMs, by kind.
    pub messages: IntCounterVec,
    /// Burn of this VM's requests, by workspace, version and window.
    pub burn: GaugeVec,
    /// Bytes of messages sent to other VMs, without the transport's own.
    pub peer_bytes: IntGauge,
    /// Calls to the platform that failed.
    pub store_failures: IntCounter,
    /// Events that did not fit a state chart.
    pub invalid_transitions: IntCounter,
    /// Frames of back ends that belonged to another request or came twice.
    pub stray_frames: IntCounter,
}

impl Metrics {
    /// All counters at nought.
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
            let options = HistogramOpts::new(name, help).buckets(BOUNDS.to_vec());
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

    /// The highest revision found to be in force everywhere.
    pub fn accepted(&self) -> Revision {
        Revision(self.accepted.get() as u64)
    }

    /// Sets the highest revision found to be in force everywhere.
    pub fn set_accepted(&self, revision: Revision) {
        self.accepted.set(revision.0 as i64);
    }

    /// All counters in the text format.
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
