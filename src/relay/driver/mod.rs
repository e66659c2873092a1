//! Event loop that owns all connections of an instance: callers, endpoints, and datagrams of peers.

mod answers;
mod buffers;
mod callers;
mod crashes;
mod demand;
mod dispatch;
mod limits;
mod links;
mod origins;
mod outcome;
mod peers;
mod stopping;
mod turn;
mod usage;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use mio::net::{TcpListener, UdpSocket};
use mio::{Events, Interest, Poll, Token, Waker};
use slab::Slab;

use buffers::ShedLog;
use crashes::BrokenAttempt;
use turn::Turn;

use super::budget::{Account, Budget, CALLER_RECEIVE};
use super::caller::Caller;
use super::duty::Duties;
use super::gossip::{self, Peers};
use super::groups::{Outbox, Representative};
use super::link::Link;
use super::names::HeaderNames;
use super::queue::Queue;
use super::sockets;
use super::state::Shared;
use super::stats::Metrics;
use super::table::RoutingTable;
use super::timers::{Owner, Timers};
use crate::adapter::clock::{Clock, Millis};
use crate::policy::drain::Drain;
use crate::policy::fair;
use crate::policy::origin::Origins;
use crate::policy::place::Balancer;
use crate::policy::report::Reports;
use crate::policy::scale::Meter;
use crate::policy::shutdown::Shutdown;
use crate::policy::suspect::{Content, Suspects};
use crate::policy::usage::Counter;
use crate::policy::window::{RetryRule, RetryWindow};

const WAKE: Token = Token(0);
const FRONT: Token = Token(1);
const READY: Token = Token(2);
const GOSSIP: Token = Token(3);
/// First token of a connection: callers get the even offsets from it, endpoints the odd ones.
const FIRST_CONN: usize = 4;
/// Maximum events per poll.
const EVENT_CAPACITY: usize = 256;
/// Maximum time that the loop blocks in one poll.
const MAX_POLL_MS: u64 = 500;
/// Maximum time that the loop blocks in one poll once only late answers hold up the end of a stop.
const MAX_LATE_POLL_MS: u64 = 5;
/// Minimum time between two passes over the queue: a pass runs endpoint selection for every group
/// of waiting requests.
const DRAIN_MIN_MS: u64 = 4;
/// Maximum time between two passes while requests wait: the turns of instances advance by the
/// clock, without an event that wakes the loop.
const DRAIN_MAX_MS: u64 = 20;
/// Minimum size of the read buffer, which also has to hold a datagram.
const MIN_BUFFER_BYTES: usize = 16 << 10;

/// Startup parameters of an instance.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Instance name.
    pub name: String,
    /// Failure domain of the instance.
    pub domain: String,
    /// Listen address for callers.
    pub front: SocketAddr,
    /// Listen address for readiness checks.
    pub ready: SocketAddr,
    /// Address for heartbeat datagrams and calls from peers.
    pub peers: SocketAddr,
    /// Grace period for shutdown, in milliseconds.
    pub grace: u64,
    /// Retry budget of the fleet for one service.
    pub retries: RetryRule,
    /// Limits on what callers and endpoints make the process hold.
    pub budget: Budget,
    /// Duties of the fleet; `None` if there are none.
    pub duties: Option<Duties>,
    /// The whole fleet starts for the first time.
    pub first_start: bool,
    /// Header names.
    pub names: HeaderNames,
}

/// Endpoint selection and retry budget of one service.
#[derive(Debug, Default)]
struct Pool {
    balancer: Balancer,
    window: RetryWindow,
    /// Demand of this instance's callers, if the service has scaling.
    meter: Meter,
    account: fair::Account,
    drain: Drain,
}

/// State of the event loop.
pub struct Driver {
    setup: Setup,
    clock: Clock,
    poll: Poll,
    events: Events,
    front: TcpListener,
    ready: TcpListener,
    udp: UdpSocket,
    shared: Arc<Shared>,
    metrics: Arc<Metrics>,
    table: Arc<RoutingTable>,
    /// The configuration names several workspaces, which share the services.
    has_workspaces: bool,
    /// Names of the workspaces, by their ids in accounts.
    workspaces: IndexMap<u32, String>,
    /// Workspaces that have their own label in metrics.
    labels: IndexSet<String>,
    /// Pools by service.
    pools: IndexMap<String, Pool>,
    /// True once an endpoint list has been received.
    has_listings: bool,
    callers: Slab<Caller>,
    links: Slab<Link>,
    /// Idle connections by endpoint, the most recently used last.
    idle_links: IndexMap<String, Vec<usize>>,
    queue: Queue,
    /// Time of the last pass over the queue.
    drained_at: Millis,
    /// Time since which requests have waited in the queue, if any do.
    waiting_since: Option<Millis>,
    /// Loads or endpoints have changed since the last pass over the queue.
    load_changed: bool,
    /// Time at which the loads reported by peers were last applied.
    applied_at: Millis,
    /// A timer is set to apply the loads reported by peers.
    apply_scheduled: bool,
    timers: Timers,
    peers: Peers,
    suspects: Suspects,
    /// Crashes to report to peers.
    reports: Reports,
    /// Service and endpoint of connections that were refused since the last turn of the loop.
    refused: Vec<(String, String)>,
    /// Contents were quarantined since the last turn of the loop.
    quarantine_changed: bool,
    /// Segments known to be sound, which peers have reported crashes of.
    sound_news: IndexSet<Content>,
    /// Heartbeats to the instances of this one's group.
    heartbeats: Outbox,
    /// Digests for other groups, while this instance represents its own.
    representative: Representative,
    /// Stale incarnations to report to peers, and when each was found.
    stale: Vec<(Millis, String)>,
    /// Attempts that broke recently, not attributed to a crash yet.
    broken: Vec<BrokenAttempt>,
    /// Last serial number given to a connection.
    serial: u64,
    /// Start time; tells the heartbeats of this process from those of an earlier one.
    started_at: u64,
    /// Time at which the demand is published next.
    next_demand: Millis,
    next_heartbeat: Millis,
    last_heartbeat: Millis,
    /// Set once the process is stopping.
    shutdown: Option<Shutdown>,
    buffer: Vec<u8>,
    /// Sockets that may have more to read than one turn takes: the poller reports them only once.
    unread: IndexSet<Token>,
    turn: Turn,
    /// What all connections hold.
    account: Account,
    /// A connection could not read in this turn, for lack of room.
    read_lacked_room: bool,
    /// Index up to which callers have been compared at the limit of connections.
    compared_until: usize,
    shed_log: ShedLog,
    /// Software versions that began streams.
    origins: Origins,
    /// Room is reserved for requests whose record is being written.
    has_reserved: bool,
    /// Time at which records were last passed on to be written.
    flushed_at: Millis,
    /// Requests that began to run, for usage reports.
    counter: Counter,
    /// Candidates that have received the counts, by name and start time.
    informed: Vec<(String, u64)>,
}

impl Driver {
    /// Binds the sockets of an instance. Returns an error if one of them can't be bound or
    /// registered with the poller.
    pub fn open(setup: Setup, clock: Clock) -> io::Result<Self> {
        let poll = Poll::new()?;
        let mut front = TcpListener::bind(setup.front)?;
        let mut ready = TcpListener::bind(setup.ready)?;
        sockets::limit_buffers(&front, CALLER_RECEIVE)?;
        sockets::limit_buffers(&ready, CALLER_RECEIVE)?;
        let mut udp = UdpSocket::bind(setup.peers)?;
        let registry = poll.registry();
        registry.register(&mut front, FRONT, Interest::READABLE)?;
        registry.register(&mut ready, READY, Interest::READABLE)?;
        registry.register(&mut udp, GOSSIP, Interest::READABLE)?;
        let waker = Waker::new(registry, WAKE)?;
        let now = clock.now();
        let shared = Arc::new(Shared::new(clock.clone(), waker));
        shared.set_instances(vec![(setup.name.clone(), setup.peers)]);
        let peers = Peers::new(&setup.name);
        let origins = Origins::new(&setup.name, setup.first_start);
        let mut timers = Timers::default();
        timers.set(now + gossip::INTERVAL, Owner::Gossip);
        if setup.duties.is_some() {
            timers.set(now + gossip::INTERVAL, Owner::Usage);
        }
        Ok(Self {
            setup,
            clock,
            poll,
            events: Events::with_capacity(EVENT_CAPACITY),
            front,
            ready,
            udp,
            shared,
            metrics: Arc::default(),
            table: Arc::default(),
            has_workspaces: false,
            workspaces: IndexMap::new(),
            labels: IndexSet::new(),
            pools: IndexMap::new(),
            has_listings: false,
            callers: Slab::new(),
            links: Slab::new(),
            idle_links: IndexMap::new(),
            queue: Queue::default(),
            drained_at: 0,
            waiting_since: None,
            load_changed: true,
            applied_at: 0,
            apply_scheduled: false,
            timers,
            peers,
            suspects: Suspects::default(),
            reports: Reports::default(),
            refused: Vec::new(),
            quarantine_changed: false,
            sound_news: IndexSet::new(),
            heartbeats: Outbox::heartbeats(),
            representative: Representative::default(),
            stale: Vec::new(),
            broken: Vec::new(),
            serial: 0,
            started_at: now,
            next_demand: now,
            next_heartbeat: now + gossip::INTERVAL,
            last_heartbeat: now,
            shutdown: None,
            buffer: vec![0; MIN_BUFFER_BYTES.max(gossip::MAX_DATAGRAM)],
            unread: IndexSet::new(),
            turn: Turn::default(),
            account: Account::default(),
            read_lacked_room: false,
            compared_until: 0,
            shed_log: ShedLog::default(),
            origins,
            has_reserved: false,
            flushed_at: 0,
            counter: Counter::default(),
            informed: Vec::new(),
        })
    }

    /// State shared between the loop and other threads.
    pub fn shared(&self) -> Arc<Shared> {
        Arc::clone(&self.shared)
    }

    /// Metrics of the loop.
    pub fn metrics(&self) -> Arc<Metrics> {
        Arc::clone(&self.metrics)
    }

    /// Runs the loop until shutdown is complete. Returns an error if polling fails.
    pub fn run(&mut self) -> io::Result<()> {
        while !self.turn()? {}
        Ok(())
    }

    /// Runs one turn of the loop: waits for events, and handles them and what is due. Returns true
    /// once shutdown is complete, and an error if polling fails.
    pub fn turn(&mut self) -> io::Result<bool> {
        let mut events = std::mem::replace(&mut self.events, Events::with_capacity(0));
        let polled = self.poll_events(&mut events);
        let result = polled.map(|polled| polled && self.handle_events(&events));
        self.events = events;
        result
    }

    /// Waits for events. Returns false if a signal ended the wait.
    fn poll_events(&mut self, events: &mut Events) -> io::Result<bool> {
        let wait = Duration::from_millis(self.max_poll(self.clock.now()));
        match self.poll.poll(events, Some(wait)) {
            Ok(()) => Ok(true),
            Err(e) if e.kind() == io::ErrorKind::Interrupted => Ok(false),
            Err(e) => Err(e),
        }
    }

    /// Handles events and what is due. Returns true once shutdown is complete.
    fn handle_events(&mut self, events: &Events) -> bool {
        let start = self.clock.now();
        let unread = std::mem::take(&mut self.unread);
        let mut quiet = unread.is_empty();
        for event in events {
            self.turn.events += 1;
            quiet &= !is_caller(event.token());
            let closed = event.is_read_closed();
            self.handle_event(event.token(), event.is_readable(), event.is_writable(), closed);
        }
        for token in unread {
            self.handle_event(token, true, false, false);
        }
        self.fire_timers();
        self.check_refused();
        self.end_quarantined();
        self.drain_queue(self.clock.now());
        self.flush_origins();
        self.limit_buffers();
        let ended = self.advance_stop(quiet && self.unread.is_empty());
        if ended {
            self.send_last_counts();
        }
        self.finish_turn(start);
        ended
    }

    /// Maximum time that the loop blocks in the next poll, in milliseconds.
    fn max_poll(&self, now: Millis) -> u64 {
        if !self.unread.is_empty() {
            return 0;
        }
        let is_late = self.shutdown.is_some_and(|stop| now >= stop.ends_at());
        let most = if is_late { MAX_LATE_POLL_MS } else { MAX_POLL_MS };
        self.timers.next().map_or(most, |at| at.saturating_sub(now)).min(most)
    }

    fn handle_event(&mut self, token: Token, readable: bool, writable: bool, closed: bool) {
        match token {
            WAKE => self.apply_updates(),
            FRONT => self.accept(super::caller::ListenerKind::Front),
            READY => self.accept(super::caller::ListenerKind::Ready),
            GOSSIP => self.receive_heartbeats(),
            Token(n) => {
                let index = (n - FIRST_CONN) / 2;
                if (n - FIRST_CONN).is_multiple_of(2) {
                    self.caller_event(index, readable, writable, closed);
                } else {
                    self.link_event(index, readable, writable);
                }
            }
        }
    }

    fn fire_timers(&mut self) {
        let now = self.clock.now();
        while let Some(owner) = self.timers.pop_due(now) {
            match owner {
                Owner::Caller(index, serial) => self.caller_timer_fired(index, serial),
                Owner::Link(index, serial) => self.link_timer_fired(index, serial),
                Owner::Gossip => self.send_heartbeats(now),
                Owner::Peers => self.apply_peer_loads(now),
                Owner::Digest => self.send_digests(now),
                Owner::Usage => self.send_counts(now),
                Owner::Queue | Owner::Stop | Owner::Ledger => {}
            }
        }
    }

    fn next_serial(&mut self) -> u64 {
        self.serial += 1;
        self.serial
    }

    fn is_ready(&self) -> bool {
        self.shutdown.is_none() && self.has_listings && self.table.version > 0
    }
}

/// True for the listener of callers and for their connections.
fn is_caller(token: Token) -> bool {
    token == FRONT || (token.0 >= FIRST_CONN && (token.0 - FIRST_CONN).is_multiple_of(2))
}

fn caller_token(index: usize) -> Token {
    Token(FIRST_CONN + 2 * index)
}

fn link_token(index: usize) -> Token {
    Token(FIRST_CONN + 2 * index + 1)
}
