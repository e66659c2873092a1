//! One endpoint: what is placed on it and how it behaves.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::Requirements;
use crate::adapter::clock::Millis;

/// Shared parts remembered for each endpoint.
const MAX_CACHED_PARTS: usize = 256;
/// Time for which a part is taken to be kept after its last use, in milliseconds.
const CACHE_TTL_MS: u64 = 20_000;
/// Gain of the failure rate.
const GAIN: f64 = 0.15;
/// Failure rate from which an endpoint is left alone.
const EJECT_RATE: f64 = 0.4;
/// First time out after failures, in milliseconds; it doubles up to [`MAX_EJECT_MS`].
const MIN_EJECT_MS: u64 = 500;
/// Longest time out, in milliseconds.
const MAX_EJECT_MS: u64 = 4_000;

/// Work on an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests sent and not ended.
    #[serde(rename = "r")]
    pub running: u32,
    /// Prompt tokens of requests that have no first event yet, less what is kept.
    #[serde(rename = "p")]
    pub prefill: u32,
    /// Tokens of memory that they may claim.
    #[serde(rename = "m")]
    pub memory: u32,
    /// Those of the requests that have a tight target gap.
    #[serde(rename = "t")]
    pub tight: u32,
}

impl Load {
    /// Adds another load.
    pub fn add(&mut self, other: Self) {
        self.running += other.running;
        self.prefill += other.prefill;
        self.memory += other.memory;
        self.tight += other.tight;
    }

    /// Takes a load away again.
    pub fn sub(&mut self, other: Self) {
        self.running = self.running.saturating_sub(other.running);
        self.prefill = self.prefill.saturating_sub(other.prefill);
        self.memory = self.memory.saturating_sub(other.memory);
        self.tight = self.tight.saturating_sub(other.tight);
    }
}

/// Prompt tokens that an endpoint has to read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Uncached {
    /// In parts that other requests share.
    pub shared: u32,
    /// In the request's own part.
    pub own: u32,
}

impl Uncached {
    /// All of them.
    pub fn total(self) -> u32 {
        self.shared + self.own
    }
}

/// What the instance list says of an endpoint.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Listing {
    /// Its incarnation.
    pub id: String,
    /// Service that it belongs to.
    pub service: String,
    /// Address, as IP:PORT.
    pub addr: String,
    /// Failure domain.
    pub domain: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// True when it must get no new work.
    pub leaving: bool,
    /// Time of its start in milliseconds; 0 where unknown.
    pub born: u64,
}

/// An endpoint as one instance sees it.
#[derive(Debug, Default)]
pub struct Endpoint {
    /// What the list says.
    pub listing: Listing,
    /// Work of this instance.
    pub own: Load,
    /// Work of the other instances.
    pub peers: Load,
    /// Hash of its id.
    id_hash: u64,
    /// Running and waiting requests by its own word.
    reported: u32,
    /// Another incarnation answers at its address.
    stale: bool,
    failure_rate: f64,
    ejections: u32,
    ejected_until: Millis,
    cached: IndexMap<u64, Millis>,
}

impl Endpoint {
    /// A new endpoint.
    pub fn new(listing: Listing) -> Self {
        Self { id_hash: xxh3_64(listing.id.as_bytes()), listing, ..Self::default() }
    }

    /// Hash of its id.
    pub fn id_hash(&self) -> u64 {
        self.id_hash
    }

    /// Work of the whole fleet.
    pub fn total(&self) -> Load {
        let mut total = self.own;
        total.add(self.peers);
        total
    }

    /// Requests there by its own word.
    pub fn reported(&self) -> u32 {
        self.reported
    }

    /// Takes its word on running and waiting requests.
    pub fn report(&mut self, running: u32, waiting: u32) {
        self.reported = running + waiting;
    }

    /// True while it may get new work.
    pub fn accepts_work(&self) -> bool {
        !self.listing.leaving && !self.stale
    }

    /// True unless it is left alone after failures.
    pub fn is_healthy(&self, now: Millis) -> bool {
        self.ejected_until <= now
    }

    /// Its address answers for another incarnation.
    pub fn mark_stale(&mut self) {
        self.stale = true;
    }

    /// A request was answered.
    pub fn record_success(&mut self) {
        self.failure_rate -= GAIN * self.failure_rate;
        self.ejections = 0;
        self.ejected_until = 0;
    }

    /// A request failed. Returns true when the endpoint is left alone from now on.
    pub fn record_failure(&mut self, now: Millis, hard: bool) -> bool {
        self.failure_rate += GAIN * (1.0 - self.failure_rate);
        if !hard && self.failure_rate < EJECT_RATE {
            return false;
        }
        let duration = (MIN_EJECT_MS << self.ejections.min(4)).min(MAX_EJECT_MS);
        self.ejections += 1;
        self.ejected_until = now + duration;
        self.failure_rate *= 0.5;
        if hard {
            self.cached.clear();
        }
        true
    }

    /// Prompt tokens that it has to read: those that others share, and those of the request alone.
    pub fn uncached(&self, now: Millis, needs: &Requirements) -> Uncached {
        let is_cached = |id: &u64| self.cached.get(id).is_some_and(|at| at + CACHE_TTL_MS > now);
        let shared = needs.shared();
        let cached: u32 = shared.iter().take_while(|(id, _)| is_cached(id)).map(|(_, t)| *t).sum();
        let all: u32 = shared.iter().map(|(_, t)| *t).sum();
        Uncached { shared: all - cached, own: needs.prompt.saturating_sub(all) }
    }

    /// It reads parts of a prompt and keeps them.
    pub fn mark_cached(&mut self, now: Millis, parts: impl Iterator<Item = u64>) {
        for id in parts {
            self.cached.shift_remove(&id);
            self.cached.insert(id, now);
        }
        while self.cached.len() > MAX_CACHED_PARTS {
            self.cached.shift_remove_index(0);
        }
    }
}
