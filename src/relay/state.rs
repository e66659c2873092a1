//! What the threads of a process share: the newest table and listings on their way to the
//! driver, and what the driver knows of its peers on its way back.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::fleet::replica::{Replica, Topic};
use crate::policy::place::Listing;
use crate::relay::table::Table;

/// How far a peer has read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ahead {
    /// Where it answers calls.
    pub addr: SocketAddr,
    /// Ends of its copies of the configuration and of the endpoints.
    pub ends: (u64, u64),
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
    waker: mio::Waker,
}

impl Shared {
    /// State of a process that starts at `now` and whose driver is woken by `waker`.
    pub fn new(now: u64, waker: mio::Waker) -> Self {
        Self {
            news: Mutex::default(),
            ahead: Mutex::default(),
            instances: Mutex::default(),
            config: Mutex::new(Replica::new(now)),
            endpoints: Mutex::new(Replica::new(now)),
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

    /// The peer that has read a topic furthest.
    pub fn furthest(&self, topic: Topic) -> Option<(SocketAddr, u64)> {
        let end = |a: &Ahead| if topic == Topic::Config { a.ends.0 } else { a.ends.1 };
        lock(&self.ahead).iter().map(|a| (a.addr, end(a))).max_by_key(|(_, end)| *end)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
