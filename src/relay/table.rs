//! The routing table: which request goes to which service, and under which limits.

use std::sync::Arc;

use indexmap::IndexMap;

closed! {
    /// What may be repeated on a route.
    pub enum RouteKind {
        /// May run more than once.
        Idempotent,
        /// Runs at most once for each attempt of a caller.
        NonIdempotent,
        /// A stream of events that runs at most once.
        Stream,
        /// A stream of events that another endpoint may continue.
        Resumable,
    }
}

impl RouteKind {
    /// True when the request may be sent again after it may have run.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Resumable)
    }

    /// True for a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable)
    }
}

/// A route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name, for logs and metrics.
    pub name: String,
    /// Host, in lower case and without port.
    pub host: String,
    /// Start of the paths it serves.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time to a final answer, in milliseconds.
    pub timeout: u64,
    /// Time to the answer or first event for full credit, in milliseconds.
    pub target_latency: u64,
    /// Longest pause between events, in milliseconds; 0 where nothing is set.
    pub gap: u64,
    /// Rank, 0 first.
    pub priority: u8,
    /// Endpoints that one attempt of a caller may reach.
    pub attempts: u32,
    /// Needs no key.
    pub public: bool,
    /// Services and their weights.
    pub split: Vec<(String, u32)>,
}

impl Route {
    /// The service for a draw in `0..=u32::MAX`, by weight.
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

/// A service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Connections that one endpoint takes from all instances.
    pub max_conns: u32,
    /// Requests that one engine runs at once; 0 for a plain service.
    pub batch: u32,
    /// Tokens that fit an engine's memory.
    pub memory: u32,
    /// Tightest and loosest target gap of its routes in milliseconds; 0 for none.
    pub gaps: (u64, u64),
}

/// Bounds on what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Request line and headers, in bytes.
    pub header_bytes: usize,
    /// Body, in bytes.
    pub body_bytes: usize,
    /// Time for a whole request, in milliseconds.
    pub header_timeout: u64,
    /// Time that a connection may stay idle, in milliseconds.
    pub idle_timeout: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_timeout: 3_000,
            idle_timeout: 15_000,
        }
    }
}

/// A workspace.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workspace {
    /// Its name.
    pub name: String,
    /// Its priority, which is compared before that of the route.
    pub priority: Option<u8>,
}

/// Everything that one version of the configuration says.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Table {
    /// Its version.
    pub version: u64,
    /// Routes by host, the longest prefix first.
    pub routes: IndexMap<String, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: IndexMap<String, Service>,
    /// Bounds on callers.
    pub limits: Limits,
    /// Workspaces by key; `None` where no keys are needed.
    pub keys: Option<IndexMap<String, Arc<Workspace>>>,
}

impl Table {
    /// A table of routes and services, in any order.
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

    /// The route of a host and path.
    pub fn route(&self, host: &str, target: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(h, _)| h).to_ascii_lowercase();
        let path = target.split(['?', '#']).next().unwrap_or(target);
        self.routes.get(&host)?.iter().find(|r| path.starts_with(&r.prefix))
    }
}
