//! The routing table: which service a request is sent to, and under which limits.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::policy::fair;
use crate::policy::scale::Scaling;

closed! {
    /// Kind of a route's requests, which determines whether they may be retried.
    pub enum RouteKind {
        /// May run more than once.
        Idempotent,
        /// Runs at most once per attempt of a caller.
        NonIdempotent,
        /// An event stream that runs at most once.
        Stream,
        /// An event stream that another endpoint may continue.
        Resumable,
    }
}

impl RouteKind {
    /// True when a request may be sent again although it may have run.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Resumable)
    }

    /// True when the response is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable)
    }
}

/// A route: requests with a host and path prefix, and how they are served.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name, for logs and metrics.
    pub name: String,
    /// Host, in lower case and without port.
    pub host: String,
    /// Prefix of the paths.
    pub prefix: String,
    /// Kind of the requests.
    pub kind: RouteKind,
    /// Maximum time to the final response, in milliseconds.
    pub timeout: u64,
    /// Target time to the response or to the first event, in milliseconds; a faster response has
    /// no further benefit.
    pub target_latency: u64,
    /// Target gap: longest pause allowed between events, in milliseconds; 0 for none.
    pub gap: u64,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Maximum number of endpoints that one attempt of a caller may run on.
    pub attempts: u32,
    /// True when no key is needed.
    pub public: bool,
    /// Services and their weights in the traffic split.
    pub split: Vec<(String, u32)>,
}

impl Route {
    /// Picks a service by weight for a random number `draw` in `0..=u32::MAX`.
    pub fn pick_service(&self, draw: u32) -> Option<&str> {
        let total: u64 = self.split.iter().map(|(_, w)| u64::from(*w)).sum();
        let mut left = (u64::from(draw) * total.max(1)) >> 32;
        for (name, weight) in &self.split {
            if left < u64::from(*weight) {
                return Some(name);
            }
            left -= u64::from(*weight);
        }
        self.split.last().map(|(name, _)| name.as_str())
    }
}

/// Capacity, target gaps and scaling of a service.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Service {
    /// Maximum connections that one endpoint accepts from all instances together.
    pub max_conns: u32,
    /// Maximum requests that one engine runs at once; 0 for a plain service.
    pub batch: u32,
    /// KV cache capacity of an engine, in tokens.
    pub memory: u32,
    /// Tightest and loosest target gap of its routes, in milliseconds; 0 for none.
    pub gaps: (u64, u64),
    /// Rules by which its endpoints are ordered; `None` if they are not.
    pub scaling: Option<Scaling>,
}

/// Limits on requests and connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of the request line and headers, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a body, in bytes.
    pub body_bytes: usize,
    /// Maximum time in which a whole request, body included, must be received, in milliseconds.
    pub read_timeout: u64,
    /// Maximum time that a connection may stay idle, in milliseconds.
    pub idle_timeout: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            read_timeout: 3_000,
            idle_timeout: 15_000,
        }
    }
}

/// A workspace, on whose behalf requests are sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workspace {
    /// Name, which endpoints receive.
    pub name: String,
    /// Priority, which takes precedence over that of the route; 0 is the most urgent.
    pub priority: Option<u8>,
}

/// The contents of one version of the configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RoutingTable {
    /// Version of the configuration; 0 before the first is received.
    pub version: u64,
    /// Routes by host, the longest prefix first.
    pub routes: IndexMap<String, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: IndexMap<String, Service>,
    /// Limits on callers.
    pub limits: Limits,
    /// Workspaces by access key; `None` if no keys are needed.
    pub keys: Option<IndexMap<String, Arc<Workspace>>>,
}

impl RoutingTable {
    /// Builds a table from routes in any order and services.
    pub fn new(version: u64, routes: Vec<Route>, services: IndexMap<String, Service>) -> Self {
        let mut table = Self { version, services, ..Self::default() };
        for route in routes {
            table.widen_gaps(&route);
            table.routes.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for list in table.routes.values_mut() {
            list.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        table
    }

    /// Extends the range of target gaps of the route's services by the route's own.
    fn widen_gaps(&mut self, route: &Route) {
        if route.gap == 0 {
            return;
        }
        for (name, _) in &route.split {
            if let Some(service) = self.services.get_mut(name) {
                let (low, high) = service.gaps;
                let low = if low == 0 { route.gap } else { low.min(route.gap) };
                service.gaps = (low, high.max(route.gap));
            }
        }
    }

    /// Names of the workspaces, by their ids in accounts.
    pub fn workspaces(&self) -> IndexMap<u32, String> {
        let workspaces = self.keys.iter().flat_map(|k| k.values());
        workspaces.map(|w| (fair::workspace_id(&w.name), w.name.clone())).collect()
    }

    /// The route with the longest prefix that matches a host and request target. The port of the
    /// host and the query are ignored.
    pub fn route(&self, host: &str, target: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(h, _)| h).to_ascii_lowercase();
        let path = target.split(['?', '#']).next().unwrap_or(target);
        self.routes.get(&host)?.iter().find(|r| path.starts_with(&r.prefix))
    }
}
