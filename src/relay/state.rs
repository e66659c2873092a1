//! What the threads of a process share: the newest table and listings on their way to the
//! driver, and what the driver knows of its peers on its way back.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::adapter::clock::Clock;
use crate::fleet::replica::{Batch, Replica, Topic};
use crate::policy::place::Listing;
use crate::relay::table::Table;

/// How far a peer has read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerOffsets {
    /// Where it answers calls.
    pub addr: SocketAddr,
    /// Ends of its copies of the configuration and of the endpoints.
    pub ends: (u64, u64),
    /// It is in the failure domain of this instance.
    pub same_domain: bool,
}

/// News for the driver.
#[derive(Debug, Default)]
pub struct Updates {
    /// A newer table.
    pub table: Option<Arc<Table>>,
    /// A changed list of endpoints.
    pub endpoints: Option<Vec<Listing>>,
    /// A changed list of instances.
    pub instances: Option<Vec<(String, SocketAddr)>>,
    /// Instances that a peer knows of.
    pub known: Option<Vec<(String, SocketAddr)>>,
    /// The process is to end.
    pub stop: bool,
}

/// Shared state.
#[derive(Debug)]
pub struct Shared {
    updates: Mutex<Updates>,
    peer_offsets: Mutex<Vec<PeerOffsets>>,
    instances: Mutex<Vec<(String, SocketAddr)>>,
    config: Mutex<Replica>,
    endpoints: Mutex<Replica>,
    /// This instance reads the platform itself.
    reader: AtomicBool,
    /// The platform doesn't answer here: the configuration, the endpoints.
    disconnected: [AtomicBool; 2],
    /// Peers are ahead, and don't hand over what they have.
    stuck: [AtomicBool; 2],
    clock: Clock,
    waker: mio::Waker,
}

impl Shared {
    /// State of a process whose driver is woken by `waker`.
    pub fn new(clock: Clock, waker: mio::Waker) -> Self {
        let now = clock.now();
        Self {
            updates: Mutex::default(),
            peer_offsets: Mutex::default(),
            instances: Mutex::default(),
            config: Mutex::new(Replica::new(now)),
            endpoints: Mutex::new(Replica::new(now)),
            reader: AtomicBool::new(true),
            disconnected: Default::default(),
            stuck: Default::default(),
            clock,
            waker,
        }
    }

    /// Changes the news and wakes the driver.
    pub fn notify(&self, change: impl FnOnce(&mut Updates)) {
        change(&mut lock(&self.updates));
        if let Err(e) = self.waker.wake() {
            tracing::error!("state: the driver can't be woken: {e}");
        }
    }

    /// Takes the news.
    pub fn take_updates(&self) -> Updates {
        std::mem::take(&mut *lock(&self.updates))
    }

    /// The copy of a topic; instances are not copied.
    pub fn replica(&self, topic: Topic) -> MutexGuard<'_, Replica> {
        match topic {
            Topic::Config => lock(&self.config),
            Topic::Endpoints | Topic::Instances => lock(&self.endpoints),
        }
    }

    /// The copy of a topic for a peer that has read up to `from`.
    pub fn export(&self, topic: Topic, from: u64) -> Batch {
        self.replica(topic).export(self.clock.now(), from)
    }

    /// True when this instance reads the platform itself.
    pub fn is_reader(&self) -> bool {
        self.reader.load(Ordering::Relaxed)
    }

    /// Sets whether this instance reads; returns true when that is a change.
    pub fn set_reader(&self, reader: bool) -> bool {
        self.reader.swap(reader, Ordering::Relaxed) != reader
    }

    /// True when the platform doesn't answer here.
    pub fn is_disconnected(&self) -> bool {
        self.disconnected.iter().any(|l| l.load(Ordering::Relaxed))
    }

    /// Sets whether the platform answers reads of a topic.
    pub fn set_disconnected(&self, topic: Topic, disconnected: bool) {
        self.disconnected[topic_index(topic)].store(disconnected, Ordering::Relaxed);
    }

    /// True while peers are ahead and don't hand over what they have.
    pub fn is_stuck(&self, topic: Topic) -> bool {
        self.stuck[topic_index(topic)].load(Ordering::Relaxed)
    }

    /// Sets whether peers are ahead and don't hand over what they have.
    pub fn set_stuck(&self, topic: Topic, stuck: bool) {
        self.stuck[topic_index(topic)].store(stuck, Ordering::Relaxed);
    }

    /// How far this process has read.
    pub fn ends(&self) -> (u64, u64) {
        (lock(&self.config).end(), lock(&self.endpoints).end())
    }

    /// Sets how far peers have read.
    pub fn set_peer_offsets(&self, list: Vec<PeerOffsets>) {
        *lock(&self.peer_offsets) = list;
    }

    /// Sets the instances heard of late, this one included.
    pub fn set_instances(&self, list: Vec<(String, SocketAddr)>) {
        *lock(&self.instances) = list;
    }

    /// The instances heard of late, this one included.
    pub fn instances(&self) -> Vec<(String, SocketAddr)> {
        lock(&self.instances).clone()
    }

    /// One of the peers that have read a topic furthest: drawn, so that not all ask the same; in
    /// the own failure domain where there is one.
    pub fn furthest_peer(&self, topic: Topic) -> Option<(SocketAddr, u64)> {
        let end = |a: &PeerOffsets| if topic == Topic::Config { a.ends.0 } else { a.ends.1 };
        let draw = |a: &PeerOffsets| (end(a), a.same_domain, rand::random::<u32>());
        let peer_offsets = lock(&self.peer_offsets);
        peer_offsets.iter().max_by_key(|a| draw(a)).map(|a| (a.addr, end(a)))
    }
}

fn topic_index(topic: Topic) -> usize {
    usize::from(topic != Topic::Config)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
