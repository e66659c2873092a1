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
pub struct Ahead {
    /// Where it answers calls.
    pub addr: SocketAddr,
    /// Ends of its copies of the configuration and of the endpoints.
    pub ends: (u64, u64),
    /// It is in the failure domain of this instance.
    pub near: bool,
}

/// News for the driver.
#[derive(Debug, Default)]
pub struct News {
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
    news: Mutex<News>,
    ahead: Mutex<Vec<Ahead>>,
    instances: Mutex<Vec<(String, SocketAddr)>>,
    config: Mutex<Replica>,
    endpoints: Mutex<Replica>,
    /// This instance reads the platform itself.
    reads: AtomicBool,
    /// The platform doesn't answer here: the configuration, the endpoints.
    lost: [AtomicBool; 2],
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
            news: Mutex::default(),
            ahead: Mutex::default(),
            instances: Mutex::default(),
            config: Mutex::new(Replica::new(now)),
            endpoints: Mutex::new(Replica::new(now)),
            reads: AtomicBool::new(true),
            lost: Default::default(),
            stuck: Default::default(),
            clock,
            waker,
        }
    }

    /// Changes the news and wakes the driver.
    pub fn tell(&self, change: impl FnOnce(&mut News)) {
        change(&mut lock(&self.news));
        if let Err(e) = self.waker.wake() {
            tracing::error!("state: the driver can't be woken: {e}");
        }
    }

    /// Takes the news.
    pub fn take(&self) -> News {
        std::mem::take(&mut *lock(&self.news))
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
    pub fn reads(&self) -> bool {
        self.reads.load(Ordering::Relaxed)
    }

    /// Sets whether this instance reads; returns true when that is a change.
    pub fn set_reads(&self, reads: bool) -> bool {
        self.reads.swap(reads, Ordering::Relaxed) != reads
    }

    /// True when the platform doesn't answer here.
    pub fn is_lost(&self) -> bool {
        self.lost.iter().any(|l| l.load(Ordering::Relaxed))
    }

    /// Sets whether the platform answers reads of a topic.
    pub fn set_lost(&self, topic: Topic, lost: bool) {
        self.lost[place(topic)].store(lost, Ordering::Relaxed);
    }

    /// True while peers are ahead and don't hand over what they have.
    pub fn is_stuck(&self, topic: Topic) -> bool {
        self.stuck[place(topic)].load(Ordering::Relaxed)
    }

    /// Sets whether peers are ahead and don't hand over what they have.
    pub fn set_stuck(&self, topic: Topic, stuck: bool) {
        self.stuck[place(topic)].store(stuck, Ordering::Relaxed);
    }

    /// How far this process has read.
    pub fn ends(&self) -> (u64, u64) {
        (lock(&self.config).end(), lock(&self.endpoints).end())
    }

    /// Sets how far peers have read.
    pub fn set_ahead(&self, list: Vec<Ahead>) {
        *lock(&self.ahead) = list;
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
    pub fn furthest(&self, topic: Topic) -> Option<(SocketAddr, u64)> {
        let end = |a: &Ahead| if topic == Topic::Config { a.ends.0 } else { a.ends.1 };
        let draw = |a: &Ahead| (end(a), a.near, rand::random::<u32>());
        let ahead = lock(&self.ahead);
        ahead.iter().max_by_key(|a| draw(a)).map(|a| (a.addr, end(a)))
    }
}

fn place(topic: Topic) -> usize {
    usize::from(topic != Topic::Config)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
