//! From a whole request to an endpoint: routes, keys, the queue, and the choice.

use std::sync::Arc;

use super::{DRAIN_EVERY, DRAIN_LATEST, Driver, Pool};
use crate::adapter::clock::Millis;
use crate::fleet::replica::Topic;
use crate::policy::place::{Choice, Load, Requirements, Service};
use crate::policy::suspect::ContentState;
use crate::policy::window::RetryWindow;
use crate::relay::caller::Request;
use crate::relay::exchange::Exchange;
use crate::relay::link::CallerRef;
use crate::relay::stats::RouteLabels;
use crate::relay::table::{Route, Table, Workspace};
use crate::relay::timers::Owner;

/// Time after which a caller may come back to another instance, in milliseconds.
const RETRY_ELSEWHERE: u64 = 10;
/// Time after which a caller may come back where nothing better is known, in milliseconds.
const RETRY_SOON: u64 = 500;
/// Waits of one kind that are looked at before the rest of that kind is left alone.
const MISSES: usize = 4;

/// Whether a request could be sent.
enum Sent {
    Yes,
    /// All endpoints are full; the least load among them.
    Full(Load),
    /// For another reason.
    No(&'static str),
}

/// Why a request is refused by the relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Refused {
    NoTable,
    NoRoute,
    NoKey,
    NoAttempt,
    NoService,
    NoRoom,
    NoEndpoint,
    Crashes,
    Stopping,
    NotRun,
}

impl Refused {
    pub(super) fn status(self) -> u16 {
        match self {
            Self::NoRoute => 404,
            Self::NoKey => 401,
            Self::NoAttempt => 400,
            _ => 503,
        }
    }

    /// Time after which another try may fare better, in milliseconds.
    fn retry(self) -> u64 {
        match self {
            Self::Stopping => RETRY_ELSEWHERE,
            _ => RETRY_SOON,
        }
    }

    pub(super) fn why(self) -> &'static str {
        match self {
            Self::NoTable => "no configuration yet",
            Self::NoRoute => "no such route",
            Self::NoKey => "unknown key",
            Self::NoAttempt => "attempt id missing",
            Self::NoService => "no service for this route",
            Self::NoRoom => "no room at endpoints",
            Self::NoEndpoint => "no endpoint",
            Self::Crashes => "content crashes endpoints",
            Self::Stopping => "instance is stopping",
            Self::NotRun => "endpoints did not run it",
        }
    }
}

impl Driver {
    /// Takes a request of a caller.
    pub(super) fn admit(&mut self, index: usize, request: Request) {
        self.callers[index].closing |=
            request.head.has_connection_option("close") || request.head.http10;
        let id = request.head.get(self.setup.names.attempt).unwrap_or_default().to_owned();
        match self.prepare(request) {
            Ok(exchange) => {
                self.callers[index].exchange = Some(Box::new(exchange));
                self.dispatch(index);
            }
            Err(refused) => {
                let version = self.table.version;
                tracing::info!(id, version, "relay: refused: {}", refused.why());
                self.count("", refused.why());
                let retry = (refused.status() == 503).then(|| refused.retry());
                self.reply(index, refused.status(), retry, refused.why());
            }
        }
    }

    /// Checks a request against the table and against what is known of its content.
    fn prepare(&mut self, request: Request) -> Result<Exchange, Refused> {
        let (table, names) = (Arc::clone(&self.table), &self.setup.names);
        if table.version == 0 {
            return Err(Refused::NoTable);
        }
        let head = &request.head;
        let host = head.get("host").unwrap_or_default();
        let route = table.route(host, &head.target).ok_or(Refused::NoRoute)?;
        let workspace = workspace(&table, route, head.get(names.key))?;
        if head.count(names.attempt) != 1 || head.count("host") != 1 {
            return Err(Refused::NoAttempt);
        }
        if route.kind.is_stream() && self.late_in_stop() {
            return Err(Refused::Stopping);
        }
        let service = route.pick_service(rand::random()).ok_or(Refused::NoService)?;
        let now = self.clock.now();
        let exchange = Exchange::new(names, request, route, service, workspace, table.version);
        if let ContentState::Quarantined { .. } = self.suspects.state(now, exchange.content_hash) {
            return Err(Refused::Crashes);
        }
        self.pool(service).window.record_request(now);
        Ok(exchange)
    }

    pub(super) fn pool(&mut self, service: &str) -> &mut Pool {
        if !self.pools.contains_key(service) {
            let place = Service::new(&self.setup.domain);
            self.pools.insert(service.to_owned(), Pool { place, window: RetryWindow::default() });
        }
        &mut self.pools[service]
    }

    /// Chooses an endpoint for a request, or lets it wait.
    pub(super) fn dispatch(&mut self, index: usize) {
        if self.waits_behind(index) {
            return self.wait(index, "behind others", Load::default());
        }
        match self.try_send(index) {
            Sent::Yes => {}
            Sent::Full(least) => self.wait(index, "no room", least),
            Sent::No(why) => self.wait(index, why, Load::default()),
        }
    }

    /// True when a request that is as urgent, and of the same kind, waits already.
    fn waits_behind(&self, index: usize) -> bool {
        let Some(own) = self.callers[index].exchange.as_ref() else { return false };
        self.queue.ordered().iter().any(|(place, other)| {
            let other = self.callers.get(*other).and_then(|c| c.exchange.as_ref());
            place.0 <= own.priority()
                && other.is_some_and(|o| {
                    o.service == own.service && o.requirements.gap == own.requirements.gap
                })
        })
    }

    fn wait(&mut self, index: usize, why: &'static str, least: Load) {
        self.log_wait(index, why, least);
        let serial = self.callers[index].serial;
        let Some(exchange) = self.callers[index].exchange.as_mut() else { return };
        if exchange.queue_key.is_none() {
            let place = (exchange.priority(), exchange.arrived, serial);
            exchange.queue_key = Some(place);
            self.queue.insert(place, index);
        }
        let at = exchange.queue_deadline;
        self.timers.set(at, Owner::Caller(index, serial));
    }

    fn log_wait(&self, index: usize, why: &'static str, least: Load) {
        let Some(e) = self.callers[index].exchange.as_ref() else { return };
        tracing::info!(
            id = e.id,
            route = e.route.name,
            service = e.service,
            version = e.version,
            why,
            queue = self.queue.len(),
            running = least.running,
            prefill = least.prefill,
            list_age = self.list_age(),
            "relay: waiting"
        );
    }

    /// Age of the list of endpoints, in milliseconds.
    pub(super) fn list_age(&self) -> u64 {
        self.clock.now().saturating_sub(self.shared.replica(Topic::Endpoints).synced_at())
    }

    /// Tries to send each request that waits, in order.
    pub(super) fn drain_queue(&mut self, now: Millis) {
        if self.queue.is_empty() {
            return;
        }
        let pause = if self.moved { DRAIN_EVERY } else { DRAIN_LATEST };
        if now < self.drained + pause {
            self.timers.set(self.drained + pause, Owner::Queue);
            return;
        }
        self.drained = now;
        self.moved = false;
        let mut missed: Vec<(String, u64, usize)> = Vec::new();
        for (_, index) in self.queue.ordered() {
            let Some(exchange) = self.callers.get(index).and_then(|c| c.exchange.as_ref()) else {
                continue;
            };
            let kind = (exchange.service.clone(), exchange.requirements.gap);
            let known = missed.iter().position(|(s, g, _)| *s == kind.0 && *g == kind.1);
            if known.is_some_and(|i| missed[i].2 >= MISSES) {
                continue;
            }
            if matches!(self.try_send(index), Sent::Yes) {
                continue;
            }
            match known {
                Some(i) => missed[i].2 += 1,
                None => missed.push((kind.0, kind.1, 1)),
            }
        }
        self.stats.waiting.set(self.queue.len() as i64);
    }

    /// Sends a request if an endpoint has room.
    fn try_send(&mut self, index: usize) -> Sent {
        let now = self.clock.now();
        let Some(exchange) = self.callers[index].exchange.as_ref() else { return Sent::Yes };
        let (service, mut ask) = (exchange.service.clone(), exchange.requirements.clone());
        ask.waited = now.saturating_sub(exchange.arrived);
        let (endpoint, load) = match self.pool(&service).place.choose(now, &ask) {
            Choice::Chosen(endpoint, load) => (endpoint, load),
            Choice::Full(least) => return Sent::Full(least),
            Choice::NoEndpoint => return Sent::No("no endpoint"),
        };
        let Some(link) = self.link_to(index, &service, &endpoint) else {
            return Sent::No("no connection");
        };
        self.send(index, link, &endpoint, now);
        if let Some(exchange) = self.callers.get(index).and_then(|c| c.exchange.as_ref()) {
            let (id, route, version) = (&exchange.id, &exchange.route.name, exchange.version);
            let (send, waited) = (exchange.sends, now.saturating_sub(exchange.arrived));
            let age = self.list_age();
            let uncached = exchange.placement.as_ref().map(|p| p.uncached).unwrap_or_default();
            tracing::info!(
                id,
                route,
                service,
                endpoint,
                version,
                send,
                waited,
                running = load.running,
                prefill = load.prefill,
                shared = uncached.shared,
                own = uncached.own,
                list_age = age,
                "relay: sent"
            );
        }
        Sent::Yes
    }

    fn link_to(&mut self, index: usize, service: &str, endpoint: &str) -> Option<usize> {
        let exchange = self.callers[index].exchange.as_ref()?;
        let once = !exchange.kind().is_retryable();
        if let Some(link) = self.spare_link(endpoint, once) {
            return Some(link);
        }
        if !self.may_connect(endpoint, service) {
            return None;
        }
        let addr = self.pools.get(service)?.place.get(endpoint)?.listing.addr.parse().ok()?;
        match self.connect(endpoint, service, addr) {
            Ok(link) => Some(link),
            Err(e) => {
                tracing::warn!(endpoint, "relay: connection not opened: {e}");
                None
            }
        }
    }

    fn send(&mut self, index: usize, link: usize, endpoint: &str, now: Millis) {
        let Some(mut exchange) = self.callers[index].exchange.take() else { return };
        if let Some(place) = exchange.queue_key.take() {
            self.queue.remove(place);
        }
        let route = exchange.route.name.clone();
        let waited = now.saturating_sub(exchange.arrived);
        let label = RouteLabels { route };
        self.stats.queue_wait.get_or_create(&label).observe(waited as f64 / 1_000.0);
        let ask: &Requirements = &exchange.requirements;
        let placed = self.pool(&exchange.service).place.start(now, endpoint, ask);
        let parts = exchange.requirements.shared().iter().map(|(id, _)| *id);
        self.parts.entry(endpoint.to_owned()).or_default().extend(parts);
        exchange.placement = Some(placed);
        exchange.sends += 1;
        exchange.link = Some(link);
        let bytes = exchange.encode(&self.setup.names, endpoint, now);
        let method = exchange.head.method.clone();
        let serial = self.callers[index].serial;
        self.callers[index].exchange = Some(exchange);
        self.tell_soon();
        self.watch_caller(index);
        self.start_link(link, CallerRef { index, serial }, &method, bytes);
    }
}

/// The workspace of a key; none on a public route, or where no keys are needed.
fn workspace<'a>(
    table: &'a Table,
    route: &Route,
    key: Option<&str>,
) -> Result<Option<&'a Arc<Workspace>>, Refused> {
    match &table.keys {
        Some(keys) if !route.public => {
            let key = key.ok_or(Refused::NoKey)?;
            keys.get(key).map(Some).ok_or(Refused::NoKey)
        }
        _ => Ok(None),
    }
}
