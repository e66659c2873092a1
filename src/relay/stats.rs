//! Counters and latency histograms of the relay.

use std::fmt::Error;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// First bucket of latencies, in seconds; each next one is twice as long.
const FIRST_BUCKET: f64 = 0.005;
/// Number of buckets.
const BUCKETS: u16 = 13;

/// Labels of a finished request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// Route.
    pub route: String,
    /// How it ended.
    pub outcome: &'static str,
}

/// A route.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RouteLabels {
    /// Route.
    pub route: String,
}

/// Why an attempt failed.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct FailureLabels {
    /// Service.
    pub service: String,
    /// Cause.
    pub cause: &'static str,
}

/// All of them, in one registry.
#[derive(Debug)]
pub struct Stats {
    registry: Registry,
    /// Finished requests.
    pub requests: Family<RequestLabels, Counter>,
    /// Failed attempts.
    pub failures: Family<FailureLabels, Counter>,
    /// Retries sent.
    pub retries: Counter,
    /// Time to the first byte of an answer or the first event.
    pub first_byte: Family<RouteLabels, Histogram, fn() -> Histogram>,
    /// Time to the end of an answer.
    pub duration: Family<RouteLabels, Histogram, fn() -> Histogram>,
    /// Time spent waiting for room.
    pub queue_wait: Family<RouteLabels, Histogram, fn() -> Histogram>,
    /// Connections opened to endpoints.
    pub connects: Counter,
    /// Version of the configuration in force.
    pub config_version: Gauge,
    /// Requests that wait now.
    pub waiting: Gauge,
    /// Peers heard of late.
    pub peers: Gauge,
}

fn latency() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET, 2.0, BUCKETS))
}

impl Default for Stats {
    fn default() -> Self {
        let mut stats = Self {
            registry: Registry::with_prefix("relay"),
            requests: Family::default(),
            failures: Family::default(),
            retries: Counter::default(),
            first_byte: Family::new_with_constructor(latency as fn() -> Histogram),
            duration: Family::new_with_constructor(latency as fn() -> Histogram),
            queue_wait: Family::new_with_constructor(latency as fn() -> Histogram),
            connects: Counter::default(),
            config_version: Gauge::default(),
            waiting: Gauge::default(),
            peers: Gauge::default(),
        };
        stats.register();
        stats
    }
}

impl Stats {
    fn register(&mut self) {
        let r = &mut self.registry;
        r.register("requests", "finished requests by route and outcome", self.requests.clone());
        r.register(
            "attempt_failures",
            "failed attempts by service and cause",
            self.failures.clone(),
        );
        r.register("retries", "attempts after the first", self.retries.clone());
        r.register("first_seconds", "time to the first byte or event", self.first_byte.clone());
        r.register("whole_seconds", "time to the end of the answer", self.duration.clone());
        r.register("waited_seconds", "time spent waiting for room", self.queue_wait.clone());
        r.register("connects", "connections opened to endpoints", self.connects.clone());
        r.register(
            "config_version",
            "version of the configuration in force",
            self.config_version.clone(),
        );
        r.register("waiting", "requests that wait for room", self.waiting.clone());
        r.register("peers", "peers heard of late", self.peers.clone());
    }

    /// The page for Prometheus.
    pub fn render(&self) -> Result<String, Error> {
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }
}
