//! Requests that wait on an instance for room at an endpoint, in the order in which they go.

use std::collections::BTreeMap;

use crate::adapter::clock::Millis;

/// Place in the queue: priority, time of arrival, number of the connection.
pub type Place = (u8, Millis, u64);

/// The queue of one instance.
#[derive(Debug, Default)]
pub struct Queue(BTreeMap<Place, usize>);

impl Queue {
    /// Adds the request of connection `index`.
    pub fn enter(&mut self, place: Place, index: usize) {
        self.0.insert(place, index);
    }

    /// Takes a request out.
    pub fn leave(&mut self, place: Place) {
        self.0.remove(&place);
    }

    /// All requests in order.
    pub fn order(&self) -> Vec<(Place, usize)> {
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
