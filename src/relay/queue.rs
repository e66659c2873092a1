//! Requests that wait on an instance for room at an endpoint, in the order in which they go.

use std::collections::BTreeMap;

use crate::adapter::clock::Millis;

/// Place in the queue: priority, time of arrival, number of the connection.
pub type QueueKey = (u8, Millis, u64);

/// The queue of one instance.
#[derive(Debug, Default)]
pub struct Queue(BTreeMap<QueueKey, usize>);

impl Queue {
    /// Adds the request of connection `index`.
    pub fn insert(&mut self, key: QueueKey, index: usize) {
        self.0.insert(key, index);
    }

    /// Takes a request out.
    pub fn remove(&mut self, key: QueueKey) {
        self.0.remove(&key);
    }

    /// All requests in order.
    pub fn ordered(&self) -> Vec<(QueueKey, usize)> {
        self.0.iter().map(|(p, i)| (*p, *i)).collect()
    }

    /// Number of requests.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// True when nothing waits.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
