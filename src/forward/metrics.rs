//! Prometheus metrics of an entry VM.

use prometheus::core::Collector;
use prometheus::{
    Encoder, Gauge, Histogram, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec,
    Opts, Registry, TextEncoder,
};

/// Upper bounds of the buckets of the latency histograms, in seconds.
const LATENCY_BUCKETS: [f64; 12] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.5, 3.0, 6.0, 12.0];

/// The metrics and their registry.
pub struct Metrics {
    registry: Registry,
    /// Requests, by route and outcome.
    pub requests: IntCounterVec,
    /// Attempts, by service and outcome.
    pub attempts: IntCounterVec,
    /// Checks of servers after a response broke off, by service and result.
    pub checks: IntCounterVec,
    /// Tunnels through other VMs, and those relayed for others, by direction and answer.
    pub tunnels: IntCounterVec,
    /// Places at brittle servers that were borrowed from other VMs, and other VMs' requests for
    /// places, by outcome.
    pub place_loans: IntCounterVec,
    /// Announcements in servers' response headers that changed what this VM knows of the servers,
    /// by service and kind.
    pub server_signals: IntCounterVec,
    /// Response headers of servers that this version does not decode, by name.
    pub unknown_headers: IntCounterVec,
    /// Request contents under which a server crashed.
    pub suspect_contents: IntGauge,
    /// Request contents that are quarantined because servers crashed under them.
    pub quarantined_contents: IntGauge,
    /// Time from a request to the head of its response or the first event, by route.
    pub response_time: HistogramVec,
    /// Time that this VM took before it forwarded a request.
    pub added_latency: Histogram,
    /// Calls to the platform's store, by call and outcome.
    pub store_calls: IntCounterVec,
    /// Objects of the platform that could not be decoded, by kind.
    pub unreadable: IntCounterVec,
    /// Calls of duties to the platform, by duty and outcome.
    pub duty_calls: IntCounterVec,
    /// Fencing token of each duty that this VM holds; 0 if it does not hold the duty.
    pub duty_fence: IntGaugeVec,
    /// Requests in flight.
    pub running: IntGauge,
    /// 1 for a data centre that is evacuated.
    pub evacuated: IntGaugeVec,
    /// Backend servers that are cold, by service.
    pub cold_servers: IntGaugeVec,
    /// Backend servers that are brittle, by service.
    pub brittle_servers: IntGaugeVec,
    /// Backend servers that announce a rate limit, by service.
    pub limited_servers: IntGaugeVec,
    /// Revision of the configuration in force.
    pub revision: IntGauge,
    /// Era of the store, a counter that rises with each restore from a backup.
    pub era: IntGauge,
    /// Responses of the store whose era was rejected or adjusted, by reason.
    pub era_anomalies: IntCounterVec,
    /// Age of the last proof that the configuration is the newest, in seconds.
    pub proof_age: Gauge,
}

impl Metrics {
    /// Returns metrics that are all zero, in a registry of their own.
    pub fn new() -> Metrics {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let made = IntCounterVec::new(Opts::new(name, help), labels);
            register(&registry, made.expect("the name is well formed"))
        };
        let histogram = |name: &str, help: &str| {
            HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec())
        };
        let answer = histogram("kitepulley_answer_seconds", "Time to the answer or first event.");
        let added = histogram("kitepulley_added_seconds", "Time before a request was sent on.");
        let running = IntGauge::new("kitepulley_running", "Requests in flight.");
        let emptied = Opts::new("kitepulley_emptied", "Whether an order empties a data centre.");
        let emptied = IntGaugeVec::new(emptied, &["data_centre"]);
        let suspects =
            IntGauge::new("kitepulley_suspects", "Contents under which a server crashed.");
        let held = IntGauge::new("kitepulley_held_back", "Contents that are held back.");
        let cold = Opts::new("kitepulley_cold_servers", "Backend servers that are cold.");
        let cold = IntGaugeVec::new(cold, &["service"]);
        let limited = "Backend servers that name a limit.";
        let limited = Opts::new("kitepulley_limited_servers", limited);
        let limited = IntGaugeVec::new(limited, &["service"]);
        let brittle = Opts::new("kitepulley_brittle_servers", "Backend servers that are brittle.");
        let brittle = IntGaugeVec::new(brittle, &["service"]);
        let revision = IntGauge::new("kitepulley_revision", "Revision in force.");
        let era = IntGauge::new("kitepulley_store_era", "Era of the store.");
        let fence = Opts::new("kitepulley_duty_fence", "Fencing token of a duty that is held.");
        let fence = IntGaugeVec::new(fence, &["duty"]);
        let proof = Gauge::new("kitepulley_proof_age_seconds", "Age of the proof of freshness.");
        Metrics {
            requests: counter("kitepulley_requests", "Requests.", &["route", "outcome"]),
            attempts: counter("kitepulley_attempts", "Attempts.", &["service", "end"]),
            store_calls: counter(
                "kitepulley_store_calls",
                "Calls to the store.",
                &["call", "outcome"],
            ),
            unreadable: counter("kitepulley_unreadable", "Objects not read.", &["kind"]),
            checks: counter(
                "kitepulley_checks",
                "Servers checked after an answer broke off.",
                &["service", "found"],
            ),
            tunnels: counter(
                "kitepulley_tunnels",
                "Tunnels to servers: opened through other VMs, and relayed for them.",
                &["direction", "answer"],
            ),
            place_loans: counter(
                "kitepulley_place_loans",
                "Places at brittle servers: borrowed, lent to other VMs, or declined to them.",
                &["outcome"],
            ),
            server_signals: counter(
                "kitepulley_said",
                "Words of servers that they leave, want rest or name a limit.",
                &["service", "word"],
            ),
            unknown_headers: counter(
                "kitepulley_unknown_headers",
                "Headers of servers' answers that nothing decodes.",
                &["name"],
            ),
            suspect_contents: register(&registry, suspects.expect("the name is well formed")),
            quarantined_contents: register(&registry, held.expect("the name is well formed")),
            response_time: register(
                &registry,
                HistogramVec::new(answer, &["route"]).expect("the name is well formed"),
            ),
            added_latency: register(
                &registry,
                Histogram::with_opts(added).expect("a well formed name"),
            ),
            duty_calls: counter(
                "kitepulley_duty_calls",
                "Calls of duties to the platform.",
                &["duty", "outcome"],
            ),
            duty_fence: register(&registry, fence.expect("the name is well formed")),
            running: register(&registry, running.expect("the name is well formed")),
            evacuated: register(&registry, emptied.expect("the name is well formed")),
            cold_servers: register(&registry, cold.expect("the name is well formed")),
            brittle_servers: register(&registry, brittle.expect("the name is well formed")),
            limited_servers: register(&registry, limited.expect("the name is well formed")),
            revision: register(&registry, revision.expect("the name is well formed")),
            era: register(&registry, era.expect("the name is well formed")),
            era_anomalies: counter(
                "kitepulley_store_era_anomalies",
                "Answers of the store whose era was not taken as it stood.",
                &["why"],
            ),
            proof_age: register(&registry, proof.expect("the name is well formed")),
            registry,
        }
    }

    /// Returns the number of calls to the store so far, by `call outcome`.
    pub fn calls(&self) -> Vec<(String, u64)> {
        let families = self.store_calls.collect();
        let counters = families.iter().flat_map(|family| family.get_metric());
        let count = |counter: &prometheus::proto::Metric| {
            let labels = counter.get_label().iter().map(|label| label.value());
            let name = labels.collect::<Vec<&str>>().join(" ");
            (name, counter.get_counter().get_value() as u64)
        };
        counters.map(count).collect()
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut out = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut out) {
            Ok(()) => String::from_utf8_lossy(&out).into_owned(),
            Err(fault) => format!("# failed to encode the metrics: {fault}\n"),
        }
    }
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics::new()
    }
}

impl Metrics {
    /// Registers a metric that another module keeps.
    pub fn register(&self, metric: impl Collector + Clone + 'static) {
        register(&self.registry, metric);
    }
}

fn register<T: Collector + Clone + 'static>(registry: &Registry, metric: T) -> T {
    registry.register(Box::new(metric.clone())).expect("metric names are unique");
    metric
}
