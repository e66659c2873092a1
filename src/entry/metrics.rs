//! Metrics of an entry instance, in the Prometheus text format.

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

/// Labels of a metric by class.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ClassLabels {
    /// Class.
    pub class: String,
}

/// Labels of a metric by class and result.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ResultLabels {
    /// Class.
    pub class: String,
    /// Result.
    pub result: &'static str,
}

/// State of an endpoint, as a label value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum EndpointState {
    /// It gets new jobs.
    Up,
    /// It is ejected or being probed.
    Out,
    /// It is leaving and gets no new jobs.
    Leaving,
}

/// Labels of a metric by service and state of its endpoints.
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
    /// Requests by outcome.
    pub requests: Family<ResultLabels, Counter>,
    /// First tokens by whether they met their target.
    pub first_tokens: Family<ResultLabels, Counter>,
    /// Token gaps by whether they met their target.
    pub token_gaps: Family<ResultLabels, Counter>,
    /// Tokens of complete responses.
    pub good_tokens: Family<ClassLabels, Counter>,
    /// Tokens received for responses that were never completed.
    pub wasted_tokens: Family<ClassLabels, Counter>,
    /// Time that requests waited for a grant, in seconds.
    pub queue_waits: DurationFamily,
    /// Retries by reason, including those that the retry budget denied.
    pub retries: Family<ResultLabels, Counter>,
    /// Endpoints by state.
    pub endpoints: Family<EndpointLabels, Gauge>,
    /// Version of the configuration in force.
    pub config_version: Gauge,
    /// Time since the claims stream was last read to its end, in seconds.
    pub log_age: Gauge<f64, AtomicU64>,
    /// Peers without a recent heartbeat.
    pub silent_peers: Gauge,
    /// Idempotency keys remembered.
    pub keys: Gauge,
    /// Invariant violations since the start.
    pub violations: Gauge,
    /// Bytes of control messages sent and received.
    pub control_bytes: Counter,
    /// Number of callers given up for lack of room.
    pub given_up: Counter,
    /// Number of endpoints' responses given up for lack of room.
    pub responses_given_up: Counter,
}

/// Histogram with 16 buckets that double from 1 ms.
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
            given_up: Counter::default(),
            responses_given_up: Counter::default(),
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
        r.register("callers_given_up", "Callers given up for lack of room", self.given_up.clone());
        let given_up = self.responses_given_up.clone();
        r.register("responses_given_up", "Responses given up for lack of room", given_up);
    }

    /// Renders all metrics as text. Empty if that fails.
    pub fn render(&self) -> String {
        self.violations.set(crate::invariants::violations() as i64);
        let mut text = String::new();
        if encode(&mut text, &lock(&self.registry)).is_err() {
            tracing::error!("metrics: the page could not be encoded.");
        }
        text
    }

    /// Counts a finished request by its outcome.
    pub fn count_request(&self, class: &str, result: &'static str) {
        self.requests.get_or_create(&ResultLabels { class: class.to_owned(), result }).inc();
    }

    /// Counts a retry by its reason.
    pub fn count_retry(&self, class: &str, result: &'static str) {
        self.retries.get_or_create(&ResultLabels { class: class.to_owned(), result }).inc();
    }

    /// Counts whether a first token or a token gap met its target.
    pub fn count_target(family: &Family<ResultLabels, Counter>, class: &str, met: bool) {
        let result = if met { "met" } else { "missed" };
        family.get_or_create(&ResultLabels { class: class.to_owned(), result }).inc();
    }

    /// Adds `n` to the counter of a class.
    pub fn add(family: &Family<ClassLabels, Counter>, class: &str, n: u64) {
        family.get_or_create(&ClassLabels { class: class.to_owned() }).inc_by(n);
    }

    /// Records how long a request waited for a grant, in milliseconds.
    pub fn observe_wait(&self, class: &str, ms: u64) {
        self.queue_waits
            .get_or_create(&ClassLabels { class: class.to_owned() })
            .observe(ms as f64 / 1e3);
    }
}
