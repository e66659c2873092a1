//! The loop that owns all connections of an instance.

mod answers;
mod callers;
mod dispatch;
mod links;
mod outcome;
mod peers;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use mio::net::{TcpListener, UdpSocket};
use mio::{Events, Interest, Poll, Token, Waker};
use slab::Slab;

use super::caller::Caller;
use super::gossip::{self, Peers};
use super::link::Link;
use super::names::Names;
use super::queue::Queue;
use super::state::Shared;
use super::stats::Stats;
use super::table::Table;
use super::timers::{Owner, Timers};
use crate::adapter::clock::{Clock, Millis};
use crate::policy::place::{Load, Service};
use crate::policy::suspect::Suspects;
use crate::policy::window::{RetryRule, RetryWindow};

const WAKE: Token = Token(0);
const FRONT: Token = Token(1);
const READY: Token = Token(2);
const GOSSIP: Token = Token(3);
const FIRST_CONN: usize = 4;
/// Events taken at once.
const EVENT_CAPACITY: usize = 256;
/// Longest sleep of the loop, in milliseconds.
const MAX_POLL_MS: u64 = 500;
/// Shortest time between two looks through the queue, in milliseconds: each costs a choice for
/// every kind of request that waits.
const DRAIN_MIN_MS: u64 = 4;
/// Longest time between two looks while something waits, in milliseconds: turns pass with time
/// alone.
const DRAIN_MAX_MS: u64 = 20;
/// Bytes read from a socket at once.
const READ_BYTES: usize = 16 << 10;

/// What an instance is told at its start.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Its name.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// Address for callers.
    pub front: SocketAddr,
    /// Address for readiness checks.
    pub ready: SocketAddr,
    /// Address for datagrams and calls of peers.
    pub peers: SocketAddr,
    /// Time for which a stopping process may go on, in milliseconds.
    pub grace: u64,
    /// Retries that the fleet may spend on one service.
    pub retries: RetryRule,
    /// Names of headers.
    pub names: Names,
}

/// One service: where its requests go, and what may be retried.
#[derive(Debug, Default)]
struct Pool {
    balancer: Service,
    window: RetryWindow,
}

/// An answer that broke off, which may have been a crash.
#[derive(Debug)]
struct BrokenAttempt {
    at: Millis,
    endpoint: String,
    content: u64,
}

/// The loop's state.
pub struct Driver {
    setup: Setup,
    clock: Clock,
    poll: Poll,
    front: TcpListener,
    ready: TcpListener,
    udp: UdpSocket,
    shared: Arc<Shared>,
    stats: Arc<Stats>,
    table: Arc<Table>,
    pools: IndexMap<String, Pool>,
    has_listings: bool,
    callers: Slab<Caller>,
    links: Slab<Link>,
    idle_links: IndexMap<String, Vec<usize>>,
    queue: Queue,
    drained_at: Millis,
    /// Loads or endpoints have changed since the last look through the queue.
    load_changed: bool,
    applied_at: Millis,
    /// A sum over what peers said is due.
    apply_scheduled: bool,
    timers: Timers,
    peers: Peers,
    suspects: Suspects,
    /// Shared prompt parts sent since the last datagram, by endpoint.
    sent_parts: IndexMap<String, Vec<u64>>,
    stale: Vec<(Millis, String)>,
    broken: Vec<BrokenAttempt>,
    serial: u64,
    started_at: u64,
    heartbeat_seq: u64,
    /// Work by endpoint as peers know it.
    sent_loads: IndexMap<String, Load>,
    next_full: Millis,
    next_heartbeat: Millis,
    last_heartbeat: Millis,
    stopping_since: Option<Millis>,
    buffer: Vec<u8>,
}

impl Driver {
    /// Opens the sockets of an instance.
    pub fn open(setup: Setup, clock: Clock) -> io::Result<Self> {
        let poll = Poll::new()?;
        let mut front = TcpListener::bind(setup.front)?;
        let mut ready = TcpListener::bind(setup.ready)?;
        let mut udp = UdpSocket::bind(setup.peers)?;
        let registry = poll.registry();
        registry.register(&mut front, FRONT, Interest::READABLE)?;
        registry.register(&mut ready, READY, Interest::READABLE)?;
        registry.register(&mut udp, GOSSIP, Interest::READABLE)?;
        let waker = Waker::new(registry, WAKE)?;
        let now = clock.now();
        let shared = Arc::new(Shared::new(clock.clone(), waker));
        shared.set_instances(vec![(setup.name.clone(), setup.peers)]);
        let mut timers = Timers::default();
        timers.set(now + gossip::EVERY, Owner::Gossip);
        Ok(Self {
            setup,
            clock,
            poll,
            front,
            ready,
            udp,
            shared,
            stats: Arc::default(),
            table: Arc::default(),
            pools: IndexMap::new(),
            has_listings: false,
            callers: Slab::new(),
            links: Slab::new(),
            idle_links: IndexMap::new(),
            queue: Queue::default(),
            drained_at: 0,
            load_changed: true,
            applied_at: 0,
            apply_scheduled: false,
            timers,
            peers: Peers::default(),
            suspects: Suspects::default(),
            sent_parts: IndexMap::new(),
            stale: Vec::new(),
            broken: Vec::new(),
            serial: 0,
            started_at: now,
            heartbeat_seq: 0,
            sent_loads: IndexMap::new(),
            next_full: now,
            next_heartbeat: now + gossip::EVERY,
            last_heartbeat: now,
            stopping_since: None,
            buffer: vec![0; READ_BYTES.max(gossip::DATAGRAM)],
        })
    }

    /// State that other threads share with the loop.
    pub fn shared(&self) -> Arc<Shared> {
        Arc::clone(&self.shared)
    }

    /// Counters of the loop.
    pub fn stats(&self) -> Arc<Stats> {
        Arc::clone(&self.stats)
    }

    /// Runs until the process may end.
    pub fn run(&mut self) -> io::Result<()> {
        let mut events = Events::with_capacity(EVENT_CAPACITY);
        loop {
            let now = self.clock.now();
            let next = self.timers.next().map_or(MAX_POLL_MS, |at| at.saturating_sub(now));
            match self.poll.poll(&mut events, Some(Duration::from_millis(next.min(MAX_POLL_MS)))) {
                Ok(()) => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) => return Err(e),
            }
            for event in &events {
                self.handle_event(event.token(), event.is_readable(), event.is_writable());
            }
            self.fire_timers();
            self.drain_queue(self.clock.now());
            if self.stop_delay_passed() {
                self.close_idle();
            }
            if self.finished() {
                return Ok(());
            }
        }
    }

    fn handle_event(&mut self, token: Token, readable: bool, writable: bool) {
        match token {
            WAKE => self.apply_news(),
            FRONT => self.accept(super::caller::Door::Front),
            READY => self.accept(super::caller::Door::Ready),
            GOSSIP => self.receive_heartbeats(),
            Token(n) => {
                let index = (n - FIRST_CONN) / 2;
                if (n - FIRST_CONN).is_multiple_of(2) {
                    self.caller_event(index, readable, writable);
                } else {
                    self.link_event(index, readable, writable);
                }
            }
        }
    }

    fn fire_timers(&mut self) {
        let now = self.clock.now();
        while let Some(owner) = self.timers.due(now) {
            match owner {
                Owner::Caller(index, serial) => self.caller_timer_fired(index, serial),
                Owner::Link(index, serial) => self.link_timer_fired(index, serial),
                Owner::Gossip => self.send_heartbeats(now),
                Owner::Peers => self.apply_peer_loads(now),
                Owner::Queue => {}
            }
        }
    }

    fn next_serial(&mut self) -> u64 {
        self.serial += 1;
        self.serial
    }

    fn is_ready(&self) -> bool {
        self.stopping_since.is_none() && self.has_listings && self.table.version > 0
    }
}

fn caller_token(index: usize) -> Token {
    Token(FIRST_CONN + 2 * index)
}

fn link_token(index: usize) -> Token {
    Token(FIRST_CONN + 2 * index + 1)
}
