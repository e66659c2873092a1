//! An entry instance of the router: serves callers, exchanges state with its peers and follows the
//! shared log.

pub mod admin;
pub mod attempt;
pub mod audit;
pub mod chat;
pub mod dispatch;
pub mod fail;
pub mod follow;
pub mod front;
pub mod gossip;
pub mod home;
pub mod journal;
pub mod keyed;
pub mod members;
pub mod metrics;
pub mod plain;
pub mod trace;

use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;

use indexmap::IndexMap;
use uuid::Uuid;
use xxhash_rust::xxh3::xxh3_64;

use crate::adapter::clock::{Clock, Millis};
use crate::adapter::list::ListClient;
use crate::adapter::log::LogClient;
use crate::adapter::room::{Room, RoomLimits};
use crate::adapter::serve::{Server, ServerOptions};
use crate::config::{FleetConfig, Settings};
use crate::fleet::audit::{Event, EventKind};
use crate::fleet::config::{CurrentConfig, Fold};
use crate::mechanism::{self, Mechanism};
use crate::policy::suspect::Suspects;
use crate::relay::budget::Budget;
use dispatch::Dispatcher;

/// Interval of the dispatchers' timer and of checks during shutdown, in milliseconds.
const TICK: u64 = 20;

/// Locks a mutex and ignores poisoning, so that a panic in one thread doesn't bring down others.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Id of the instance called `name`: a hash of the name, so every instance computes the same.
pub fn instance_id(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// One entry instance.
pub struct Entry {
    /// Settings of the instance.
    pub settings: Settings,
    /// Clock of the process.
    pub clock: Clock,
    /// Boot id: a new one for each start of the process.
    pub boot: Uuid,
    /// Time at which the instance was created.
    created: Millis,
    log: LogClient,
    list: ListClient,
    config: Mutex<Fold>,
    dispatchers: Mutex<IndexMap<String, Arc<Dispatcher>>>,
    claims: keyed::Claims,
    journal: journal::Journal,
    suspects: Mutex<Suspects>,
    peers: gossip::Peers,
    members: Mutex<members::Members>,
    traces: trace::Traces,
    metrics: metrics::Metrics,
    /// Room for the responses of endpoints.
    responses: Arc<Room>,
    next_job: AtomicU64,
    leaving: AtomicBool,
    stopped: AtomicBool,
}

impl Entry {
    /// Creates an instance. [`Entry::start`] starts its threads and servers.
    pub fn new(settings: Settings, clock: Clock) -> Arc<Self> {
        let metrics = metrics::Metrics::default();
        let limits = RoomLimits { connections: usize::MAX, ..room(&settings) };
        let responses =
            Arc::new(Room::new("endpoints", limits, metrics.responses_given_up.clone()));
        Arc::new(Self {
            log: LogClient::new(settings.log),
            list: ListClient::new(settings.list),
            boot: Uuid::new_v4(),
            created: clock.now(),
            config: Mutex::new(Fold::default()),
            dispatchers: Mutex::new(IndexMap::new()),
            claims: keyed::Claims::default(),
            journal: journal::Journal::default(),
            suspects: Mutex::new(Suspects::default()),
            peers: gossip::Peers::default(),
            members: Mutex::new(members::Members::default()),
            traces: trace::Traces::default(),
            metrics,
            responses,
            next_job: AtomicU64::new(1),
            leaving: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
            settings,
            clock,
        })
    }

    /// Starts the threads, the admin server and the server for callers, which is returned. Fails if
    /// an address can't be bound.
    pub fn start(self: &Arc<Self>) -> io::Result<Server> {
        admin::start(self)?;
        follow::start(self);
        journal::start(self);
        members::start(self);
        self.spawn_loop("tick", Entry::tick);
        let entry = Arc::clone(self);
        let service = ServerOptions {
            body_limit: self.settings.body_limit,
            room: room(&self.settings),
            given_up: self.metrics.given_up.clone(),
            handler: Box::new(move |request, writer| front::handle(&entry, request, writer)),
            bad_request: Box::new(fail::send_bad_request),
        };
        let server = Server::start(self.settings.listen, service)?;
        tracing::info!("entry: {} serves on {}.", self.settings.name, server.addr());
        self.record_event(EventKind::Started, &self.settings.name, "began to serve");
        Ok(server)
    }

    /// Starts a thread that runs `body` repeatedly until the instance stops.
    fn spawn_loop(self: &Arc<Self>, name: &str, body: impl Fn(&Arc<Self>) + Send + 'static) {
        let entry = Arc::clone(self);
        let named = thread::Builder::new().name(name.to_owned());
        let spawned = named.spawn(move || {
            while !entry.stopped() {
                body(&entry);
            }
        });
        if let Err(e) = spawned {
            tracing::error!("entry: can't start thread {name}: {e}.");
        }
    }

    fn tick(self: &Arc<Self>) {
        self.clock.sleep(TICK);
        let now = self.clock.now();
        for dispatcher in self.dispatchers() {
            dispatcher.tick(now);
            self.audit_notices(&dispatcher);
        }
    }

    /// Shuts down gracefully: informs the peers, lets requests in flight end within the drain time,
    /// and flushes queued records to the log.
    pub fn shutdown(self: &Arc<Self>, server: &Server) {
        tracing::info!("entry: {} is shutting down.", self.settings.name);
        self.leaving.store(true, Ordering::SeqCst);
        gossip::broadcast(self);
        self.clock.sleep(self.settings.linger);
        server.close();
        let end = self.clock.now() + self.settings.drain;
        let enabled = mechanism::on(Mechanism::Drain);
        while enabled && server.in_flight() > 0 && self.clock.now() < end {
            self.clock.sleep(TICK);
        }
        let left = server.in_flight();
        if left > 0 {
            tracing::error!("entry: {left} requests were cut off at the end of the drain time.");
        }
        self.record_event(EventKind::Stopped, &self.settings.name, "ended gracefully");
        self.flush();
        gossip::broadcast(self);
        self.stopped.store(true, Ordering::SeqCst);
        tracing::info!("entry: {} has stopped.", self.settings.name);
    }

    /// Waits up to `TIMEOUT` milliseconds for the queued records to be appended to the log.
    fn flush(&self) {
        const TIMEOUT: u64 = 5_000;
        let end = self.clock.now() + TIMEOUT;
        while !self.journal.is_empty() && self.clock.now() < end {
            self.clock.sleep(TICK);
        }
    }

    /// True once the instance has stopped.
    pub fn stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }

    /// True once the instance is shutting down.
    pub fn leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// True if the instance takes new requests: it has a configuration and is not shutting down.
    pub fn ready(&self) -> bool {
        !self.leaving() && self.fleet().is_some()
    }

    fn now(&self) -> Millis {
        self.clock.now()
    }

    fn next_job_id(&self) -> u64 {
        self.next_job.fetch_add(1, Ordering::SeqCst)
    }

    /// The configuration in force; `None` while none is known.
    pub fn fleet(&self) -> Option<Arc<FleetConfig>> {
        lock(&self.config).current().map(|c| Arc::clone(&c.fleet))
    }

    fn current(&self) -> Option<CurrentConfig> {
        lock(&self.config).current().cloned()
    }

    fn dispatcher(&self, service: &str) -> Option<Arc<Dispatcher>> {
        lock(&self.dispatchers).get(service).cloned()
    }

    fn dispatchers(&self) -> Vec<Arc<Dispatcher>> {
        lock(&self.dispatchers).values().cloned().collect()
    }

    /// Applies the configuration in force. Dispatchers of services that it no longer has are kept
    /// while requests wait or run on them.
    fn configure(&self, current: &CurrentConfig) {
        let now = self.now();
        let limits: IndexMap<String, u32> =
            current.fleet.workspaces.iter().map(|(n, w)| (n.clone(), w.running)).collect();
        let me = instance_id(&self.settings.name);
        let mut dispatchers = lock(&self.dispatchers);
        for (i, name) in current.fleet.services.keys().enumerate() {
            let dispatcher = dispatchers.entry(name.clone()).or_insert_with(|| {
                let (domain, strategy) = (&self.settings.domain, self.settings.strategy);
                Arc::new(Dispatcher::new(name, me, domain, strategy, me.wrapping_add(i as u64)))
            });
            dispatcher.with(now, |pool| pool.configure(&current.fleet.classes, limits.clone()));
        }
        dispatchers.retain(|name, dispatcher| {
            current.fleet.services.contains_key(name) || dispatcher.busy()
        });
        drop(dispatchers);
        self.metrics.config_version.set(current.version as i64);
        tracing::info!("config: version {} is in force.", current.version);
        members::apply(self);
    }

    /// Logs an event and queues it for the audit stream.
    fn record_event(&self, kind: EventKind, subject: &str, detail: &str) {
        tracing::info!("audit: {kind:?} {subject}: {detail}.");
        let event = Event {
            at: self.now(),
            who: self.settings.name.clone(),
            kind,
            subject: subject.to_owned(),
            detail: detail.to_owned(),
        };
        self.journal.queue_audit(crate::fleet::audit::Record::Event(event));
    }
}

/// Room for callers on a machine. A thread serves each connection, and its stack takes about as much
/// memory as what the budget counts for a connection.
fn room(settings: &Settings) -> RoomLimits {
    let budget = Budget::new(settings.memory, settings.descriptors);
    RoomLimits { connections: budget.callers / 2, bytes: budget.buffers }
}
