//! Dispatch of complete requests: route and key lookup, endpoint selection, and the queue.

use std::sync::Arc;

use super::origins::Resumption;
use super::{DRAIN_MAX_MS, DRAIN_MIN_MS, Driver, Pool};
use crate::adapter::clock::Millis;
use crate::fleet::replica::Topic;
use crate::mechanism::{self, Mechanism};
use crate::policy::fair::{self, Stance};
use crate::policy::origin::Readiness;
use crate::policy::place::{Balancer, Block, Choice, Load, Misses, Queued, Requirements};
use crate::relay::caller::Request;
use crate::relay::exchange::{Exchange, Lineage, Resume};
use crate::relay::link::CallerRef;
use crate::relay::queue::QueueKey;
use crate::relay::stats::{RouteLabels, WorkspaceLabels};
use crate::relay::table::{Route, RouteKind, RoutingTable, Workspace};
use crate::relay::timers::Owner;

/// `Retry-After` of a request that is refused before it has a route.
pub(super) const RETRY_DEFAULT_MS: u64 = 500;

/// Maximum workspaces that have their own label in metrics.
const MAX_LABELS: usize = 64;
/// Label of the other workspaces.
const OTHER_LABEL: &str = "other";

/// Result of [`Driver::try_send`].
enum SendOutcome {
    Sent,
    /// No endpoint takes it now: the least load among them, and why.
    Full(Load, Block),
    /// Not sent for the given reason.
    Unsent(&'static str),
    /// It is sent once its record is written.
    Recording,
    /// The request has been answered instead.
    Ended,
}

/// Why the relay refuses a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RefuseReason {
    NoTable,
    NoRoute,
    NoKey,
    NoAttempt,
    NoService,
    NoRoom,
    NoEndpoint,
    Quarantined,
    Stopping,
    NotRun,
    Overloaded,
    /// The headers that name the stream to resume are malformed.
    BadResume,
    /// Nobody knows which software version began the stream.
    UnknownOrigin,
    /// No endpoint has the software version that began the stream.
    NoVersion,
    /// The version that begins the stream can't be recorded.
    NoRecord,
}

impl RefuseReason {
    /// HTTP status of the response.
    pub(super) fn status(self) -> u16 {
        match self {
            Self::NoRoute => 404,
            Self::NoKey => 401,
            Self::NoAttempt | Self::BadResume => 400,
            _ => 503,
        }
    }

    /// Body of the response, and label of the outcome in metrics.
    pub(super) fn message(self) -> &'static str {
        match self {
            Self::NoTable => "no configuration yet",
            Self::NoRoute => "no such route",
            Self::NoKey => "unknown key",
            Self::NoAttempt => "attempt id missing",
            Self::NoService => "no service for this route",
            Self::NoRoom => "no room at endpoints",
            Self::NoEndpoint => "no endpoint",
            Self::Quarantined => "content crashes endpoints",
            Self::Stopping => "instance is stopping",
            Self::NotRun => "endpoints did not run it",
            Self::Overloaded => "no room for buffers",
            Self::BadResume => "stream to resume is malformed",
            Self::UnknownOrigin => "version that began the stream is unknown",
            Self::NoVersion => "version that began the stream is gone",
            Self::NoRecord => "version of the stream can't be recorded",
        }
    }
}

impl Driver {
    /// Admits a request of a caller and dispatches it, or refuses it.
    pub(super) fn admit(&mut self, index: usize, request: Request) {
        self.callers[index].closing |=
            request.head.has_connection_option("close") || request.head.http10;
        let id = request.head.get(self.setup.names.attempt).unwrap_or_default().to_owned();
        match self.prepare(request) {
            Ok(exchange) => {
                self.callers[index].exchange = Some(Box::new(exchange));
                self.dispatch(index);
            }
            Err(reason) => {
                let version = self.table.version;
                tracing::info!(id, version, "relay: refused: {}", reason.message());
                self.count_outcome("", reason.message());
                let retry = (reason.status() == 503).then_some(RETRY_DEFAULT_MS);
                self.respond(index, reason.status(), retry, reason.message());
            }
        }
    }

    /// Resolves the route, workspace and service of a request. Fails if one of them is missing or
    /// the content is quarantined.
    fn prepare(&mut self, request: Request) -> Result<Exchange, RefuseReason> {
        let (table, names) = (Arc::clone(&self.table), &self.setup.names);
        if table.version == 0 {
            return Err(RefuseReason::NoTable);
        }
        let head = &request.head;
        let host = head.get("host").unwrap_or_default();
        let route = table.route(host, &head.target).ok_or(RefuseReason::NoRoute)?;
        let workspace = find_workspace(&table, route, head.get(names.key))?;
        if head.count(names.attempt) != 1 || head.count("host") != 1 {
            return Err(RefuseReason::NoAttempt);
        }
        let service = route.pick_service(rand::random()).ok_or(RefuseReason::NoService)?;
        let now = self.clock.now();
        let resume = match route.kind {
            RouteKind::Resumable if mechanism::on(Mechanism::Versions) => {
                Resume::parse(names, head).map_err(|_| RefuseReason::BadResume)?
            }
            _ => None,
        };
        let mut exchange = Exchange::new(names, request, route, service, workspace, table.version);
        exchange.resume = resume;
        if self.is_quarantined(now, &exchange.contents) {
            return Err(RefuseReason::Quarantined);
        }
        self.pool(service).window.record_request(now);
        self.record_arrival(now, service, exchange.requirements.priority);
        Ok(exchange)
    }

    /// The pool of a service; created if there is none yet.
    pub(super) fn pool(&mut self, service: &str) -> &mut Pool {
        if !self.pools.contains_key(service) {
            let balancer = Balancer::new(&self.setup.domain);
            self.pools.insert(service.to_owned(), Pool { balancer, ..Pool::default() });
        }
        &mut self.pools[service]
    }

    /// Sends a request to an endpoint, or queues it.
    pub(super) fn dispatch(&mut self, index: usize) {
        let now = self.clock.now();
        let Some(exchange) = self.callers[index].exchange.as_ref() else { return };
        if self.is_quarantined(now, &exchange.contents) {
            return self.end_request(index, RefuseReason::Quarantined);
        }
        if !self.stop_allows(exchange) {
            return self.end_request(index, RefuseReason::Stopping);
        }
        match self.resolve_resume(index) {
            Resumption::Free => {}
            Resumption::Wait => return self.enqueue(index, "records read", Load::default()),
            Resumption::Refuse(reason) => return self.end_request(index, reason),
        }
        if self.lost_version(index) {
            return self.end_request(index, RefuseReason::NoVersion);
        }
        if self.must_wait(index) {
            return self.enqueue(index, "behind others", Load::default());
        }
        match self.try_send(index) {
            SendOutcome::Sent | SendOutcome::Ended => {}
            SendOutcome::Full(least, block) => self.enqueue(index, block.name(), least),
            SendOutcome::Unsent(why) => self.enqueue(index, why, Load::default()),
            SendOutcome::Recording => self.enqueue(index, "not on record", Load::default()),
        }
    }

    /// True if a request with the same service and target gap is queued already at the same or a
    /// higher priority, for the same endpoints or more.
    fn must_wait(&self, index: usize) -> bool {
        let Some(own) = self.callers[index].exchange.as_ref() else { return false };
        if own.resume.is_some() {
            return false;
        }
        self.queue.ordered().iter().any(|(key, other)| {
            let other = self.callers.get(*other).and_then(|c| c.exchange.as_ref());
            key.0 <= own.priority()
                && other.is_some_and(|o| {
                    let (theirs, needs) = (&o.requirements, &own.requirements);
                    let is_wide = theirs.software.is_none() || theirs.software == needs.software;
                    let waits_for_room = !matches!(o.lineage, Lineage::Reading(_));
                    o.service == own.service && theirs.gap == needs.gap && is_wide && waits_for_room
                })
        })
    }

    /// Queues a request, unless it is queued already, and sets the timer for its maximum wait.
    fn enqueue(&mut self, index: usize, why: &'static str, least: Load) {
        self.log_waiting(index, why, least);
        self.count_queued(index);
        let serial = self.callers[index].serial;
        let Some(exchange) = self.callers[index].exchange.as_mut() else { return };
        if exchange.queue_key.is_none() {
            let key = (exchange.priority(), exchange.arrived, serial);
            exchange.queue_key = Some(key);
            self.queue.insert(key, index);
        }
        let at = exchange.queue_deadline;
        self.arm_caller(index, at);
    }

    fn count_queued(&mut self, index: usize) {
        let exchange = self.callers[index].exchange.as_ref();
        let is_new = exchange.is_some_and(|e| e.queue_key.is_none());
        if is_new && let Some(label) = self.workspace_labels(index) {
            self.metrics.queued.get_or_create(&label).inc();
        }
    }

    /// Labels of a caller's request for metrics by workspace. The first [`MAX_LABELS`] workspaces have
    /// their own.
    pub(super) fn workspace_labels(&mut self, index: usize) -> Option<WorkspaceLabels> {
        let exchange = self.callers.get(index).and_then(|c| c.exchange.as_ref())?;
        let name = exchange.workspace.as_ref()?.name.clone();
        let route = exchange.route.name.clone();
        if self.labels.len() < MAX_LABELS {
            self.labels.insert(name.clone());
        }
        let workspace = if self.labels.contains(&name) { name } else { OTHER_LABEL.to_owned() };
        Some(WorkspaceLabels { workspace, route })
    }

    fn log_waiting(&self, index: usize, why: &'static str, least: Load) {
        let Some(e) = self.callers[index].exchange.as_ref() else { return };
        tracing::info!(
            id = e.id,
            route = e.route.name,
            service = e.service,
            version = e.version,
            why,
            prompt = e.requirements.prompt,
            queue = self.queue.len(),
            running = least.running,
            prefill = least.prefill,
            list_age = self.list_age(),
            "relay: waiting"
        );
    }

    /// Age of the local replica of the endpoint list, in milliseconds.
    pub(super) fn list_age(&self) -> u64 {
        self.clock.now().saturating_sub(self.shared.replica(Topic::Endpoints).synced_at())
    }

    /// The queued requests in the order in which they are sent.
    fn queue_order(&self, now: Millis) -> Vec<fair::Entry> {
        let ordered = self.queue.ordered().into_iter();
        let mut entries: Vec<fair::Entry> =
            ordered.filter_map(|(key, index)| self.queued(now, key, index)).collect();
        fair::send_order(now, &mut entries, |service| self.pools.get(service).map(|p| &p.account));
        entries
    }

    fn queued(&self, now: Millis, key: QueueKey, index: usize) -> Option<fair::Entry> {
        let (priority, arrived, _) = key;
        let exchange = self.callers.get(index).and_then(|c| c.exchange.as_ref())?;
        let waited = now.saturating_sub(exchange.arrived);
        let needs = Requirements { waited, ..exchange.requirements.clone() };
        let pool = self.pools.get(&exchange.service);
        // A resumed stream goes before others: it has run for a part already, and few endpoints may take it.
        let resumed = exchange.resume.is_some();
        let late = !resumed && pool.is_some_and(|p| p.balancer.is_late(&needs));
        let stretch = pool.filter(|_| !resumed).map_or(0, |p| p.balancer.stretch(&needs));
        let queued = Queued { priority, late, stretch, arrived, index };
        Some(fair::Entry {
            queued,
            service: exchange.service.clone(),
            workspace: exchange.workspace_id().filter(|_| self.has_workspaces),
            work: exchange.expected_work(),
            rank: Default::default(),
        })
    }

    /// True if the workspace of a queued request is within its share of the service.
    pub(super) fn is_owed(&self, now: Millis, exchange: &Exchange) -> bool {
        let Some(workspace) = exchange.workspace_id().filter(|_| self.has_workspaces) else {
            return false;
        };
        self.pools.get(&exchange.service).is_some_and(|p| !p.account.is_over(now, workspace))
    }

    /// Notes the services for which requests of workspaces within their share wait here: the others
    /// leave room for them.
    fn note_contention(&mut self, now: Millis) {
        for (service, priority) in self.owed(now) {
            self.pool(&service).account.note_contention(now, priority);
        }
    }

    /// Tries to send the queued requests in order, at most once per [`DRAIN_MIN_MS`] or, while
    /// loads don't change, per [`DRAIN_MAX_MS`].
    pub(super) fn drain_queue(&mut self, now: Millis) {
        if self.queue.is_empty() {
            self.waiting_since = None;
            return self.reserve_all();
        }
        self.waiting_since.get_or_insert(now);
        let interval = if self.load_changed { DRAIN_MIN_MS } else { DRAIN_MAX_MS };
        if now < self.drained_at + interval {
            self.timers.set(self.drained_at + interval, Owner::Queue);
            return;
        }
        self.drained_at = now;
        self.load_changed = false;
        self.note_contention(now);
        self.reserve_all();
        let mut misses = Misses::default();
        for index in self.queue_order(now).into_iter().map(|e| e.queued.index) {
            let Some(exchange) = self.callers.get(index).and_then(|c| c.exchange.as_ref()) else {
                continue;
            };
            let Requirements { gap, software, .. } = exchange.requirements;
            let group = (exchange.service.clone(), gap, software);
            if self.lost_version(index) {
                self.end_request(index, RefuseReason::NoVersion);
            } else if misses.allow(&group)
                && matches!(self.try_send(index), SendOutcome::Full(..) | SendOutcome::Unsent(_))
            {
                misses.record(group);
            }
        }
        self.metrics.waiting.set(self.queue.len() as i64);
    }

    /// How a request yields to those of other workspaces.
    pub(super) fn stance(&self, now: Millis, exchange: &Exchange) -> Stance {
        let workspace = exchange.workspace_id().filter(|_| self.has_workspaces);
        let account = self.pools.get(&exchange.service).map(|p| &p.account);
        workspace.zip(account).map_or(Stance::Equal, |(workspace, account)| {
            account.stance(now, workspace, exchange.priority())
        })
    }

    /// Sends a request if an endpoint has capacity and a connection to it is available.
    fn try_send(&mut self, index: usize) -> SendOutcome {
        let now = self.clock.now();
        if self.is_recording(now, index) {
            return SendOutcome::Recording;
        }
        self.restrict_versions(index);
        self.unreserve(index);
        let Some(exchange) = self.callers[index].exchange.as_ref() else {
            return SendOutcome::Sent;
        };
        if matches!(exchange.lineage, Lineage::Reading(_)) {
            return SendOutcome::Unsent("records read");
        }
        let (service, mut needs) = (exchange.service.clone(), exchange.requirements.clone());
        needs.waited = now.saturating_sub(exchange.arrived);
        let stance = self.stance(now, exchange);
        let pool = self.pool(&service);
        needs.priority = stance.priority(needs.priority);
        let (endpoint, load) = match pool.balancer.choose_within(now, &needs, stance.reserve()) {
            Choice::Chosen(endpoint, load) => (endpoint, load),
            Choice::Full(least, block) => {
                self.set_blocked(index, block);
                self.free_version(index);
                return SendOutcome::Full(least, block);
            }
            Choice::NoEndpoint => {
                self.free_version(index);
                return SendOutcome::Unsent("no endpoint");
            }
        };
        match self.prepare_origin(index, &endpoint) {
            Readiness::Ready => {}
            Readiness::Wait => {
                self.reserve(index, &endpoint);
                return SendOutcome::Recording;
            }
            Readiness::Stuck => {
                self.end_request(index, RefuseReason::NoRecord);
                return SendOutcome::Ended;
            }
        }
        let Some(link) = self.acquire_link(index, &service, &endpoint) else {
            return SendOutcome::Unsent("no connection");
        };
        self.send(index, link, &endpoint, now);
        if let Some(exchange) = self.callers.get(index).and_then(|c| c.exchange.as_ref()) {
            let (id, route, version) = (&exchange.id, &exchange.route.name, exchange.version);
            let (send, waited) = (exchange.sends, now.saturating_sub(exchange.arrived));
            let age = self.list_age();
            let placement = exchange.placement.as_ref();
            let uncached = placement.map(|p| p.uncached).unwrap_or_default();
            let predicted = placement.map_or(0, |p| p.predicted);
            let (limit, recent) = self.limit_of(&service, &endpoint, now);
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
                predicted,
                limit,
                recent,
                software = self.version_of(&service, &endpoint),
                list_age = age,
                "relay: sent"
            );
        }
        SendOutcome::Sent
    }

    fn set_blocked(&mut self, index: usize, block: Block) {
        if let Some(exchange) = self.callers[index].exchange.as_mut() {
            exchange.blocked = Some(block);
        }
    }

    /// An idle connection to an endpoint, or a new one.
    fn acquire_link(&mut self, index: usize, service: &str, endpoint: &str) -> Option<usize> {
        let exchange = self.callers[index].exchange.as_ref()?;
        let (attempt, at_most_once) = (exchange.id.clone(), !exchange.kind().is_retryable());
        if let Some(link) = self.take_idle_link(endpoint, &attempt, at_most_once) {
            return Some(link);
        }
        if !self.can_connect(endpoint, service) {
            return None;
        }
        let addr = self.pools.get(service)?.balancer.get(endpoint)?.listing.addr.parse().ok()?;
        match self.connect(endpoint, service, addr) {
            Ok(link) => Some(link),
            Err(e) => {
                tracing::warn!(endpoint, "relay: connection not opened: {e}");
                None
            }
        }
    }

    /// Sends a request over a connection and adds its load to the endpoint.
    fn send(&mut self, index: usize, link: usize, endpoint: &str, now: Millis) {
        let Some(mut exchange) = self.callers[index].exchange.take() else { return };
        if let Some(key) = exchange.queue_key.take() {
            self.queue.remove(key);
        }
        let route = exchange.route.name.clone();
        let waited = now.saturating_sub(exchange.arrived);
        let label = RouteLabels { route };
        self.metrics.queue_wait.get_or_create(&label).observe(waited as f64 / 1_000.0);
        let needs: &Requirements = &exchange.requirements;
        let workspace = exchange.workspace_id().filter(|_| self.has_workspaces);
        let stance = self.stance(now, &exchange);
        let pool = self.pool(&exchange.service);
        let gap = stance.gap(needs.gap);
        let placement = pool.balancer.start(now, endpoint, &Requirements { gap, ..needs.clone() });
        if let Some(workspace) = workspace {
            pool.account.record(now, workspace, fair::work(&placement, needs.output));
            pool.drain.record(now, needs.gap);
        }
        let segments = exchange.requirements.shared().iter().map(|(id, _)| *id);
        self.heartbeats.add_segments(endpoint, segments.clone());
        self.representative.add_segments(endpoint, segments);
        self.record_start(now, &exchange.service, needs.priority, placement.uncached.total());
        exchange.placement = Some(placement);
        exchange.sends += 1;
        exchange.link = Some(link);
        let bytes = exchange.encode(&self.setup.names, endpoint, now);
        let method = exchange.head.method.clone();
        let serial = self.callers[index].serial;
        self.callers[index].exchange = Some(exchange);
        self.schedule_heartbeat();
        self.set_caller_timer(index);
        self.start_request(link, CallerRef { index, serial }, &method, bytes);
    }
}

/// The workspace that a key belongs to; `None` on a public route, or if no keys are configured.
fn find_workspace<'a>(
    table: &'a RoutingTable,
    route: &Route,
    key: Option<&str>,
) -> Result<Option<&'a Arc<Workspace>>, RefuseReason> {
    match &table.keys {
        Some(keys) if !route.public => {
            let key = key.ok_or(RefuseReason::NoKey)?;
            keys.get(key).map(Some).ok_or(RefuseReason::NoKey)
        }
        _ => Ok(None),
    }
}
