//! Counters and gauges, in the Prometheus text format.

use std::sync::Mutex;
use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use super::lock;

/// Label of a class.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ClassLabels {
    /// Class.
    pub class: String,
}

/// Labels of a class and what happened.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ResultLabels {
    /// Class.
    pub class: String,
    /// What happened.
    pub result: &'static str,
}

/// Label of a state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum EndpointState {
    /// Takes work.
    Up,
    /// Ejected or probed.
    Out,
    /// Leaving.
    Leaving,
}

/// Labels of a service's endpoints.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct EndpointLabels {
    /// Service.
    pub service: String,
    /// State.
    pub state: EndpointState,
}

type DurationFamily = Family<ClassLabels, Histogram, fn() -> Histogram>;

/// All metrics of an instance.
pub struct Metrics {
    registry: Mutex<Registry>,
    /// Requests by how they ended.
    pub requests: Family<ResultLabels, Counter>,
    /// First tokens by whether they met the target.
    pub first_tokens: Family<ResultLabels, Counter>,
    /// Token gaps by whether they met the target.
    pub token_gaps: Family<ResultLabels, Counter>,
    /// Tokens delivered in answers that ended whole.
    pub good_tokens: Family<ClassLabels, Counter>,
    /// Tokens received that no caller got whole.
    pub wasted_tokens: Family<ClassLabels, Counter>,
    /// Waits for a grant in seconds.
    pub queue_waits: DurationFamily,
    /// Attempts after the first.
    pub retries: Family<ResultLabels, Counter>,
    /// Endpoints by state.
    pub endpoints: Family<EndpointLabels, Gauge>,
    /// Version of the configuration in force.
    pub config_version: Gauge,
    /// Age of the last word from the log in seconds, by stream.
    pub log_age: Gauge<f64, AtomicU64>,
    /// Peers that are silent.
    pub silent_peers: Gauge,
    /// Keys remembered.
    pub keys: Gauge,
    /// Invariant violations.
    pub violations: Gauge,
    /// Bytes of control messages sent and received.
    pub control_bytes: Counter,
}

fn duration_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.001, 2.0, 16))
}

impl Default for Metrics {
    fn default() -> Self {
        let metrics = Self {
            registry: Mutex::new(Registry::with_prefix("sassafras")),
            requests: Family::default(),
            first_tokens: Family::default(),
            token_gaps: Family::default(),
            good_tokens: Family::default(),
            wasted_tokens: Family::default(),
            queue_waits: Family::new_with_constructor(duration_histogram as fn() -> Histogram),
            retries: Family::default(),
            endpoints: Family::default(),
            config_version: Gauge::default(),
            log_age: Gauge::default(),
            silent_peers: Gauge::default(),
            keys: Gauge::default(),
            violations: Gauge::default(),
            control_bytes: Counter::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&self) {
        let mut r = lock(&self.registry);
        r.register("requests", "Requests by how they ended", self.requests.clone());
        r.register("first_token", "First tokens by target", self.first_tokens.clone());
        r.register("token_gaps", "Token gaps by target", self.token_gaps.clone());
        r.register("good_tokens", "Tokens in whole answers", self.good_tokens.clone());
        r.register("wasted_tokens", "Tokens no caller got whole", self.wasted_tokens.clone());
        r.register("queue_wait_seconds", "Waits for a grant", self.queue_waits.clone());
        r.register("retries", "Attempts after the first", self.retries.clone());
        r.register("endpoints", "Endpoints by state", self.endpoints.clone());
        r.register("config_version", "Configuration in force", self.config_version.clone());
        r.register("log_age_seconds", "Time since the claims log was read", self.log_age.clone());
        r.register("silent_peers", "Peers not heard of late", self.silent_peers.clone());
        r.register("keys", "Keys remembered", self.keys.clone());
        r.register("invariant_violations", "Must be 0", self.violations.clone());
        r.register(
            "control_bytes",
            "Control messages in both directions",
            self.control_bytes.clone(),
        );
    }

    /// The page that a scraper reads.
    pub fn render(&self) -> String {
        self.violations.set(crate::invariants::violations() as i64);
        let mut text = String::new();
        if encode(&mut text, &lock(&self.registry)).is_err() {
            tracing::error!("metrics: page can't be written.");
        }
        text
    }

    /// Counts how a request ended.
    pub fn count_request(&self, class: &str, result: &'static str) {
        self.requests.get_or_create(&ResultLabels { class: class.to_owned(), result }).inc();
    }

    /// Counts one more attempt.
    pub fn count_retry(&self, class: &str, result: &'static str) {
        self.retries.get_or_create(&ResultLabels { class: class.to_owned(), result }).inc();
    }

    /// Counts whether a first token or a gap met its target.
    pub fn count_target(family: &Family<ResultLabels, Counter>, class: &str, met: bool) {
        let result = if met { "met" } else { "missed" };
        family.get_or_create(&ResultLabels { class: class.to_owned(), result }).inc();
    }

    /// Adds to a family of counters by class.
    pub fn add(family: &Family<ClassLabels, Counter>, class: &str, n: u64) {
        family.get_or_create(&ClassLabels { class: class.to_owned() }).inc_by(n);
    }

    /// Records a wait in milliseconds.
    pub fn observe_wait(&self, class: &str, ms: u64) {
        self.queue_waits
            .get_or_create(&ClassLabels { class: class.to_owned() })
            .observe(ms as f64 / 1e3);
    }
}
