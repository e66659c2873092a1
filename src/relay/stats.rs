//! Prometheus metrics of the relay: counters, gauges and latency histograms.

use std::fmt::Error;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Upper bound of the first latency bucket, in seconds; each further bound is twice the previous
/// one.
const FIRST_BUCKET: f64 = 0.005;
/// Number of latency buckets.
const BUCKETS: u16 = 13;
/// Upper bound of the first bucket of prompt sizes, in tokens; each further bound is twice the
/// previous one.
const FIRST_PROMPT_BUCKET: f64 = 256.0;
/// Number of buckets of prompt sizes.
const PROMPT_BUCKETS: u16 = 10;

/// Labels of a finished request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// Name of the route.
    pub route: String,
    /// How the request ended.
    pub outcome: &'static str,
}

/// Label of metrics by route.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RouteLabels {
    /// Name of the route.
    pub route: String,
}

/// Labels of refused and delayed requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct WorkspaceLabels {
    /// Name of the workspace; `other` beyond a number of them.
    pub workspace: String,
    /// Name of the route.
    pub route: String,
}

/// Labels of a failed attempt.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct FailureLabels {
    /// Name of the service.
    pub service: String,
    /// Cause of the failure.
    pub cause: &'static str,
}

/// Label of bytes read.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ReadLabels {
    /// Kind of connection that they came over: `caller` or `endpoint`.
    pub from: &'static str,
}

/// Label of a topic of the platform.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TopicLabels {
    /// `config` or `endpoints`.
    pub topic: &'static str,
}

/// Labels of a call to the platform's API for duties.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct DutyLabels {
    /// `usage` or `scale`.
    pub call: &'static str,
    /// How the API answered.
    pub reply: &'static str,
}

/// Labels of a call of the ledger.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct LedgerCallLabels {
    /// `write`, `read`, `newest` or `remove`.
    pub call: &'static str,
    /// How the platform answered.
    pub outcome: &'static str,
}

/// Label of what calls of the ledger carried.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct LedgerLabels {
    /// `write`, `read`, `newest` or `remove`.
    pub call: &'static str,
}

/// Labels of orders for endpoints.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OrderLabels {
    /// Name of the service.
    pub service: String,
    /// Failure domain.
    pub domain: String,
    /// Kind of the endpoints.
    pub kind: &'static str,
}

/// Labels of the outcome of an order.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabels {
    /// Name of the service.
    pub service: String,
    /// What became of the order.
    pub outcome: &'static str,
}

/// Label of callers that were given up to keep a limit.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ShedLabels {
    /// Kind of limit.
    pub kind: &'static str,
}

/// The metrics, in one registry.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Number of finished requests.
    pub requests: Family<RequestLabels, Counter>,
    /// Number of failed attempts.
    pub failures: Family<FailureLabels, Counter>,
    /// Number of attempts after the first.
    pub retries: Counter,
    /// Time to the first byte of a response or to the first event, in seconds.
    pub first_byte: Family<RouteLabels, Histogram, fn() -> Histogram>,
    /// Time to the end of a response, in seconds.
    pub duration: Family<RouteLabels, Histogram, fn() -> Histogram>,
    /// Time spent in the queue, in seconds.
    pub queue_wait: Family<RouteLabels, Histogram, fn() -> Histogram>,
    /// Prompt tokens of finished requests.
    pub prompts: Family<RequestLabels, Histogram, fn() -> Histogram>,
    /// Number of requests that found no endpoint on arrival.
    pub queued: Family<WorkspaceLabels, Counter>,
    /// Number of requests refused for lack of capacity.
    pub refused: Family<WorkspaceLabels, Counter>,
    /// Number of bursts of workspaces.
    pub bursts: Counter,
    /// Number of connections opened to endpoints.
    pub connects: Counter,
    /// Number of pauses that endpoints have asked for.
    pub pauses: Counter,
    /// Number of endpoints that have said in a response that they are leaving.
    pub leaving: Counter,
    /// Version of the configuration in force.
    pub config_version: Gauge,
    /// Number of requests in the queue.
    pub waiting: Gauge,
    /// Number of endpoints that are slower than their service.
    pub slow_endpoints: Gauge,
    /// Number of endpoints that have named a limit.
    pub limited_endpoints: Gauge,
    /// Number of peers that are alive.
    pub peers: Gauge,
    /// Number of contents that crashes count against.
    pub suspects: Gauge,
    /// Number of crash reports that the last heartbeat had no room for.
    pub reports_due: Gauge,
    /// Duration of the turns of the event loop, in seconds.
    pub turns: Histogram,
    /// Memory of the buffers of all connections when it was last measured, in bytes.
    pub buffered: Gauge,
    /// Number of connections closed because the buffers of all took too much memory.
    pub evictions: Counter,
    /// Number of callers that were given up to keep a limit.
    pub sheds: Family<ShedLabels, Counter>,
    /// Bytes read from callers and endpoints.
    pub read_bytes: Family<ReadLabels, Counter>,
    /// Full reads of a topic because records had expired.
    pub rereads: Family<TopicLabels, Counter>,
    /// 1 if this instance holds the lease of the duties.
    pub duty_holder: Gauge,
    /// Number of calls to the platform's API for duties.
    pub duty_calls: Family<DutyLabels, Counter>,
    /// Number of calls of the ledger.
    pub ledger_calls: Family<LedgerCallLabels, Counter>,
    /// Records that calls of the ledger carried.
    pub ledger_entries: Family<LedgerLabels, Counter>,
    /// Bytes of the keys and values of those records.
    pub ledger_bytes: Family<LedgerLabels, Counter>,
    /// Number of endpoints last ordered by this instance.
    pub ordered: Family<OrderLabels, Gauge>,
    /// Number of orders by outcome.
    pub orders: Family<OutcomeLabels, Counter>,
}

fn latency() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET, 2.0, BUCKETS))
}

fn prompt_size() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_PROMPT_BUCKET, 2.0, PROMPT_BUCKETS))
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("relay"),
            requests: Family::default(),
            failures: Family::default(),
            retries: Counter::default(),
            first_byte: Family::new_with_constructor(latency as fn() -> Histogram),
            duration: Family::new_with_constructor(latency as fn() -> Histogram),
            queue_wait: Family::new_with_constructor(latency as fn() -> Histogram),
            prompts: Family::new_with_constructor(prompt_size as fn() -> Histogram),
            queued: Family::default(),
            refused: Family::default(),
            bursts: Counter::default(),
            connects: Counter::default(),
            pauses: Counter::default(),
            leaving: Counter::default(),
            config_version: Gauge::default(),
            waiting: Gauge::default(),
            slow_endpoints: Gauge::default(),
            limited_endpoints: Gauge::default(),
            peers: Gauge::default(),
            suspects: Gauge::default(),
            reports_due: Gauge::default(),
            turns: latency(),
            buffered: Gauge::default(),
            evictions: Counter::default(),
            sheds: Family::default(),
            read_bytes: Family::default(),
            rereads: Family::default(),
            duty_holder: Gauge::default(),
            duty_calls: Family::default(),
            ledger_calls: Family::default(),
            ledger_entries: Family::default(),
            ledger_bytes: Family::default(),
            ordered: Family::default(),
            orders: Family::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
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
        r.register("prompt_tokens", "prompt tokens by route and outcome", self.prompts.clone());
        r.register(
            "queued",
            "requests that waited for room, by workspace and route",
            self.queued.clone(),
        );
        r.register(
            "refused",
            "requests refused for lack of room, by workspace and route",
            self.refused.clone(),
        );
        r.register("bursts", "bursts of workspaces", self.bursts.clone());
        r.register("connects", "connections opened to endpoints", self.connects.clone());
        r.register("endpoint_pauses", "pauses asked for by endpoints", self.pauses.clone());
        r.register(
            "endpoints_leaving",
            "endpoints that said in a response that they are leaving",
            self.leaving.clone(),
        );
        r.register(
            "config_version",
            "version of the configuration in force",
            self.config_version.clone(),
        );
        r.register("waiting", "requests that wait for room", self.waiting.clone());
        let help = "endpoints that are slower than their service";
        r.register("slow_endpoints", help, self.slow_endpoints.clone());
        let help = "endpoints that have named a limit on requests";
        r.register("limited_endpoints", help, self.limited_endpoints.clone());
        r.register("peers", "peers heard of late", self.peers.clone());
        r.register("suspects", "contents that crashes count against", self.suspects.clone());
        r.register(
            "crash_reports_due",
            "crash reports that the last heartbeat had no room for",
            self.reports_due.clone(),
        );
        r.register("turn_seconds", "duration of turns of the event loop", self.turns.clone());
        r.register("buffered_bytes", "memory of the buffers of connections", self.buffered.clone());
        r.register(
            "buffer_evictions",
            "connections closed to free the memory of their buffers",
            self.evictions.clone(),
        );
        r.register(
            "endpoints_ordered",
            "endpoints last ordered by this instance",
            self.ordered.clone(),
        );
        r.register("orders", "orders for endpoints by outcome", self.orders.clone());
        r.register("callers_given_up", "callers given up to keep a limit", self.sheds.clone());
        r.register("read_bytes", "bytes read by kind of connection", self.read_bytes.clone());
        let help = "full reads because records expired, by topic";
        r.register("rereads", help, self.rereads.clone());
        r.register("duty_holder", "1 on the holder of the duties", self.duty_holder.clone());
        r.register("duty_calls", "calls for duties by reply", self.duty_calls.clone());
        r.register("ledger_calls", "calls of the ledger by outcome", self.ledger_calls.clone());
        r.register("ledger_records", "records in calls of the ledger", self.ledger_entries.clone());
        let help = "bytes of the records in calls of the ledger";
        r.register("ledger_record_bytes", help, self.ledger_bytes.clone());
    }

    /// Renders the metrics in the Prometheus text format.
    pub fn render(&self) -> Result<String, Error> {
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }
}
