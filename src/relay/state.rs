//! State shared by the threads of a process: updates for the driver, such as the newest table and
//! listings, and what the driver knows of its peers.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::adapter::clock::{Clock, Millis};
use crate::fleet::position;
use crate::fleet::replica::{Batch, Replica, Topic};
use crate::policy::place::Listing;
use crate::relay::duty::Board;
use crate::relay::ledger;
use crate::relay::table::RoutingTable;

/// How far a peer has read the platform's topics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerOffsets {
    /// Address on which it answers calls.
    pub addr: SocketAddr,
    /// End offsets of its replicas of the configuration and of the endpoints.
    pub ends: (u64, u64),
    /// True when it is in the failure domain of this instance.
    pub same_domain: bool,
}

/// Updates that the driver has not taken yet.
#[derive(Debug, Default)]
pub struct Updates {
    /// A newer routing table.
    pub table: Option<Arc<RoutingTable>>,
    /// The current endpoint list.
    pub endpoints: Option<Vec<Listing>>,
    /// The current instance list, without this instance.
    pub instances: Option<Vec<(String, SocketAddr)>>,
    /// Instances that a seed knows of.
    pub known: Option<Vec<(String, SocketAddr)>>,
    /// Records of the ledger that were read, key and value, oldest first: those of all keys at the first
    /// read and after a full one, else those that are new.
    pub records: Vec<(String, Vec<u8>)>,
    /// Number of the last read of the ledger that has ended, and whether it succeeded. It covers the
    /// requests of this number and of lower ones; 0 is the one at the start.
    pub read: Option<(u64, bool)>,
    /// Number of the last change of the ledger that the platform has acknowledged, along with all before
    /// it.
    pub written: Option<u64>,
    /// Era of the platform at the last read of the ledger that succeeded.
    pub ledger_era: Option<u64>,
    /// Time at which the process was asked to stop.
    pub stop: Option<Millis>,
    /// Change of the replica of the endpoints that the newest list accounts for.
    listed: u64,
}

impl Updates {
    /// Passes on the endpoint list as of a change of the replica, unless a later one was passed on:
    /// several threads change the replica, and each passes on its own list.
    pub fn put_endpoints(&mut self, change: u64, list: Vec<Listing>) {
        if change < self.listed {
            return;
        }
        self.listed = change;
        self.endpoints = Some(list);
    }
}

/// State shared by the threads of a process.
#[derive(Debug)]
pub struct Shared {
    updates: Mutex<Updates>,
    peer_offsets: Mutex<Vec<PeerOffsets>>,
    instances: Mutex<Vec<(String, SocketAddr)>>,
    config: Mutex<Replica>,
    endpoints: Mutex<Replica>,
    /// True when this instance reads the platform itself rather than copying from peers.
    reader: AtomicBool,
    /// By topic, configuration and endpoints: the platform does not answer reads.
    disconnected: [AtomicBool; 2],
    /// By topic, as above: peers stay ahead because nothing can be copied from them.
    stuck: [AtomicBool; 2],
    duties: Arc<Board>,
    ledger: Arc<ledger::Board>,
    clock: Clock,
    waker: mio::Waker,
}

impl Shared {
    /// State of a process; `waker` wakes its driver.
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
            duties: Arc::default(),
            ledger: Arc::default(),
            clock,
            waker,
        }
    }

    /// State shared with the thread of the duties.
    pub fn duties(&self) -> &Arc<Board> {
        &self.duties
    }

    /// State shared with the threads of the ledger.
    pub fn ledger(&self) -> &Arc<ledger::Board> {
        &self.ledger
    }

    /// Changes the pending updates and wakes the driver.
    pub fn notify(&self, change: impl FnOnce(&mut Updates)) {
        change(&mut lock(&self.updates));
        if let Err(e) = self.waker.wake() {
            tracing::error!("state: cannot wake the driver: {e}");
        }
    }

    /// Asks the driver to stop. The time counts from the first request.
    pub fn request_stop(&self) {
        let now = self.clock.now();
        self.duties.leave();
        self.notify(|updates| _ = updates.stop.get_or_insert(now));
    }

    /// Takes the pending updates.
    pub fn take_updates(&self) -> Updates {
        let mut updates = lock(&self.updates);
        let next = Updates { listed: updates.listed, ..Updates::default() };
        std::mem::replace(&mut *updates, next)
    }

    /// The replica of a topic. Instances and streams have none: that of the endpoints is returned for
    /// them.
    pub fn replica(&self, topic: Topic) -> MutexGuard<'_, Replica> {
        match topic {
            Topic::Config => lock(&self.config),
            Topic::Endpoints | Topic::Instances | Topic::Streams => lock(&self.endpoints),
        }
    }

    /// Records of a topic for a peer that has read up to `from`.
    pub fn export(&self, topic: Topic, from: u64) -> Batch {
        self.replica(topic).export(self.clock.now(), from)
    }

    /// True when this instance reads the platform itself rather than copying from peers.
    pub fn is_reader(&self) -> bool {
        self.reader.load(Ordering::Relaxed)
    }

    /// Sets whether this instance reads the platform itself. Returns true if that is a change.
    pub fn set_reader(&self, reader: bool) -> bool {
        self.reader.swap(reader, Ordering::Relaxed) != reader
    }

    /// True when the platform does not answer reads of some topic.
    pub fn is_disconnected(&self) -> bool {
        self.disconnected.iter().any(|d| d.load(Ordering::Relaxed))
    }

    /// Sets whether the platform answers reads of a topic.
    pub fn set_disconnected(&self, topic: Topic, disconnected: bool) {
        self.disconnected[topic_index(topic)].store(disconnected, Ordering::Relaxed);
    }

    /// True while peers stay ahead because nothing can be copied from them.
    pub fn is_stuck(&self, topic: Topic) -> bool {
        self.stuck[topic_index(topic)].load(Ordering::Relaxed)
    }

    /// Sets whether peers stay ahead because nothing can be copied from them.
    pub fn set_stuck(&self, topic: Topic, stuck: bool) {
        self.stuck[topic_index(topic)].store(stuck, Ordering::Relaxed);
    }

    /// End offsets of the replicas of the configuration and of the endpoints.
    pub fn ends(&self) -> (u64, u64) {
        (lock(&self.config).end(), lock(&self.endpoints).end())
    }

    /// History of the platform's log, see [`position::history`]; `None` before anything has been read.
    pub fn history(&self) -> Option<u64> {
        let (config, endpoints) = self.ends();
        let end = config.max(endpoints);
        (end > 0).then(|| position::history(end))
    }

    /// Era of the platform; `None` before anything has been read.
    pub fn era(&self) -> Option<u64> {
        let (config, endpoints) = self.ends();
        let end = config.max(endpoints);
        (end > 0).then(|| position::era(end))
    }

    /// Sets how far the alive peers have read.
    pub fn set_peer_offsets(&self, list: Vec<PeerOffsets>) {
        *lock(&self.peer_offsets) = list;
    }

    /// Sets the names and addresses of the alive instances, including this one.
    pub fn set_instances(&self, list: Vec<(String, SocketAddr)>) {
        *lock(&self.instances) = list;
    }

    /// Names and addresses of the alive instances, including this one.
    pub fn instances(&self) -> Vec<(String, SocketAddr)> {
        lock(&self.instances).clone()
    }

    /// Address and end offset of a peer that has read a topic furthest. Peers in this instance's
    /// failure domain are preferred; among equal ones the choice is random, so that instances do
    /// not all call the same peer.
    pub fn furthest_peer(&self, topic: Topic) -> Option<(SocketAddr, u64)> {
        let end = |p: &PeerOffsets| if topic == Topic::Config { p.ends.0 } else { p.ends.1 };
        let rank = |p: &PeerOffsets| (end(p), p.same_domain, rand::random::<u32>());
        let peer_offsets = lock(&self.peer_offsets);
        peer_offsets.iter().max_by_key(|p| rank(p)).map(|p| (p.addr, end(p)))
    }
}

/// Index of a topic in the arrays of [`Shared`].
fn topic_index(topic: Topic) -> usize {
    usize::from(topic != Topic::Config)
}

/// Locks a mutex even if a thread panicked while it held the lock.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
