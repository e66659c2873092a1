//! When callers of refused requests come again: when the queues of the fleet have drained, and not all
//! together.
//!
//! Requests of a service with the same target gap form a group: they wait for the same endpoints.
//! The rate at which a group starts follows from what the whole fleet has started recently, whatever
//! holds it back.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::adapter::clock::Millis;
use crate::mechanism::{self, Mechanism};
use crate::policy::decay::{Decayed, decay};

/// Time constant of the rate of starts, in milliseconds.
const RATE_MS: f64 = 2_000.0;
/// Recent starts of a group in the fleet from which its rate counts as known.
const MIN_STARTS: f64 = 8.0;
/// Scale of the starts in heartbeats.
const SCALE: f64 = 16.0;
/// Time for which peers' figures count, in milliseconds.
const PEERS_TIMEOUT: u64 = 2_000;
/// `Retry-After` of a refused request: random between these multiples of the time in which the queue
/// drains.
const RETRY_SPREAD: (f64, f64) = (0.5, 1.5);
/// Maximum `Retry-After`, as a fraction of the time that the caller has left: it waits no longer.
const MAX_RETRY_FRACTION: f64 = 1.0 / 3.0;
/// Minimum `Retry-After`, in milliseconds, unless the caller has less time.
const MIN_RETRY_MS: f64 = 100.0;

/// Queued and recently started requests of a group.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Flow {
    /// Requests in the queue.
    #[serde(rename = "w")]
    pub waiting: u32,
    /// Decayed number of starts, scaled.
    #[serde(rename = "s")]
    started: u32,
}

impl Flow {
    /// Adds the flow of another instance, whose figures have this age in milliseconds.
    pub fn add(&mut self, other: Self, age: u64) {
        self.waiting = self.waiting.saturating_add(other.waiting);
        let started = f64::from(other.started) * decay(age, RATE_MS);
        self.started = self.started.saturating_add(started as u32);
    }
}

/// Flows by target gap.
pub type Flows = IndexMap<u64, Flow>;

/// Flows of one service, of this instance and of its peers.
#[derive(Debug, Default)]
pub struct Drain {
    starts: IndexMap<u64, Decayed>,
    peers: Flows,
    peers_at: Millis,
}

/// What a group of queued requests waits for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Forecast {
    /// Queued requests of the fleet.
    waiting: f64,
    /// Starts per millisecond in the fleet.
    rate: f64,
}

impl Drain {
    /// Records a request that was sent to an endpoint.
    pub fn record(&mut self, now: Millis, gap: u64) {
        self.starts.entry(gap).or_default().add(now, RATE_MS, 1.0);
    }

    /// Sets the flows of the peers as of `now`.
    pub fn set_peers(&mut self, now: Millis, flows: Flows) {
        (self.peers, self.peers_at) = (flows, now);
    }

    /// Flows of this instance for its peers; `waiting` are the queued requests by group.
    pub fn flows(&self, now: Millis, waiting: &IndexMap<u64, u32>) -> Flows {
        let mut flows: Flows =
            waiting.iter().map(|(gap, n)| (*gap, Flow { waiting: *n, started: 0 })).collect();
        for (gap, starts) in &self.starts {
            let started = (starts.at(now, RATE_MS) * SCALE) as u32;
            if started > 0 {
                flows.entry(*gap).or_default().started = started;
            }
        }
        flows
    }

    /// Forecast for a group with `own` queued requests here; `None` while its rate isn't known.
    pub fn forecast(&self, now: Millis, gap: u64, own: usize) -> Option<Forecast> {
        let age = now.saturating_sub(self.peers_at);
        let peers = self.peers.get(&gap).filter(|_| age < PEERS_TIMEOUT);
        let peers = peers.copied().unwrap_or_default();
        let started = self.starts.get(&gap).map_or(0.0, |s| s.at(now, RATE_MS))
            + f64::from(peers.started) / SCALE * decay(age, RATE_MS);
        let rate = started / RATE_MS;
        // What has waited at peers starts at that rate.
        let waiting = (f64::from(peers.waiting) - rate * age as f64).max(0.0);
        let known = started >= MIN_STARTS && mechanism::on(Mechanism::RetryAfter);
        known.then_some(Forecast { waiting: own as f64 + waiting, rate })
    }
}

impl Forecast {
    /// Time in which the queues drain, in milliseconds.
    pub fn drain(&self) -> f64 {
        self.waiting / self.rate
    }
}

/// `Retry-After` of a request in milliseconds: when the queue has drained, spread so that callers don't
/// return together, and within the time that the caller waits. `left` is the time until its
/// deadline, `draw` a random number from 0 to 1.
pub fn retry_after(drain: f64, left: u64, draw: f64) -> u64 {
    let most = left as f64 * MAX_RETRY_FRACTION;
    let high = (drain * RETRY_SPREAD.1).max(2.0 * MIN_RETRY_MS).min(most);
    let low = (drain * RETRY_SPREAD.0).max(MIN_RETRY_MS).min(high / 2.0);
    (low + draw * (high - low)) as u64
}
