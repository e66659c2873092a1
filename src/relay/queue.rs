//! Priority queue of the requests on this instance that wait for capacity at an endpoint.

use std::collections::BTreeMap;

use crate::adapter::clock::Millis;

/// Sort key of a queued request: priority, time of arrival, serial number of the connection.
pub type QueueKey = (u8, Millis, u64);

/// The queue, in order of key; the values are indices of caller connections.
#[derive(Debug, Default)]
pub struct Queue(BTreeMap<QueueKey, usize>);

impl Queue {
    /// Adds the request of the caller connection at `index`.
    pub fn insert(&mut self, key: QueueKey, index: usize) {
        self.0.insert(key, index);
    }

    /// Removes a request.
    pub fn remove(&mut self, key: QueueKey) {
        self.0.remove(&key);
    }

    /// Keys and connection indices of all requests in order.
    pub fn ordered(&self) -> Vec<(QueueKey, usize)> {
        self.0.iter().map(|(key, i)| (*key, *i)).collect()
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
