//! What instances tell each other several times a second, in one datagram.

use std::net::SocketAddr;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::adapter::clock::Millis;
use crate::policy::place::Load;

/// Longest time between two datagrams to a peer, in milliseconds.
pub const INTERVAL: u64 = 400;
/// Shortest time between two datagrams to a peer after the load has changed, in milliseconds: the
/// staler the loads, the more instances choose the same endpoint at once.
const MIN_INTERVAL: u64 = 30;
/// Peers up to which that holds; with more, the time grows with their number.
const MIN_INTERVAL_PEERS: u64 = 24;
/// Time between two datagrams that tell the whole load, in milliseconds: so long is a load wrong
/// after a datagram is lost.
pub const FULL_INTERVAL: u64 = 800;
/// Part of that time for which datagrams are gathered before they count.
const MERGE_DIVISOR: u64 = 8;
/// Age from which a peer's load no longer counts, in milliseconds.
const ALIVE_TIMEOUT: u64 = 1_200;
/// Silence after which a peer no longer shares budgets, in milliseconds.
const SHARER_TIMEOUT: u64 = 10_000;
/// Largest datagram, in bytes.
pub const MAX_DATAGRAM: usize = 60_000;

/// One datagram.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the sender.
    #[serde(rename = "n")]
    pub name: String,
    /// Time of its start, in its own milliseconds.
    #[serde(rename = "l")]
    pub started: u64,
    /// Number of the datagram in this life.
    #[serde(rename = "s")]
    pub seq: u64,
    /// How far it has read the configuration and the endpoints.
    #[serde(rename = "e")]
    pub ends: (u64, u64),
    /// Its failure domain, where `full`.
    #[serde(rename = "d")]
    pub domain: String,
    /// The platform doesn't answer there.
    #[serde(rename = "x")]
    pub disconnected: bool,
    /// Time since its copy of the endpoints was known to be up to date, in milliseconds.
    #[serde(rename = "o")]
    pub age: u64,
    /// True when `loads` has all of its work; else what changed since its last datagram.
    #[serde(rename = "a")]
    pub full: bool,
    /// Its work by endpoint.
    #[serde(rename = "w")]
    pub loads: IndexMap<String, Load>,
    /// Requests that wait there.
    #[serde(rename = "q")]
    pub waiting: u32,
    /// Those of them that have a tight target gap, by service.
    #[serde(rename = "t")]
    pub tight: IndexMap<String, u32>,
    /// Shared prompt parts that it sent since its last datagram, by endpoint.
    #[serde(rename = "k")]
    pub parts: IndexMap<String, Vec<u64>>,
    /// Incarnations that it found gone from their address.
    #[serde(rename = "g")]
    pub gone: Vec<String>,
    /// Crashes by content, where `full`: hash and endpoint incarnation.
    #[serde(rename = "c")]
    pub crashes: Vec<(u64, String)>,
}

/// A peer.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Where it takes datagrams and calls.
    pub addr: SocketAddr,
    /// Its last datagram, with all of its work.
    pub heartbeat: Heartbeat,
    /// Time at which that came; 0 when it was never heard.
    pub heard_at: Millis,
}

/// All known peers by name, and the sum of what the fresh ones do.
#[derive(Debug, Default)]
pub struct Peers {
    all: IndexMap<String, Peer>,
    sum: IndexMap<String, Load>,
}

impl Peers {
    /// Takes over the names and addresses of the listed instances.
    pub fn sync(&mut self, listed: &[(String, SocketAddr)]) {
        let unlisted = |name: &String| !listed.iter().any(|(n, _)| n == name);
        let gone: Vec<String> = self.all.keys().filter(|n| unlisted(n)).cloned().collect();
        for name in gone {
            self.remove_loads(&name);
            self.all.shift_remove(&name);
        }
        for (name, addr) in listed {
            let new_peer = || Peer { addr: *addr, heartbeat: Heartbeat::default(), heard_at: 0 };
            self.all.entry(name.clone()).or_insert_with(new_peer).addr = *addr;
        }
    }

    /// True for the first datagram of a peer's life.
    pub fn is_new(&self, heartbeat: &Heartbeat) -> bool {
        self.all
            .get(&heartbeat.name)
            .is_none_or(|p| p.heard_at == 0 || p.heartbeat.started < heartbeat.started)
    }

    /// Adds instances that a peer knows of.
    pub fn add(&mut self, known: &[(String, SocketAddr)]) {
        for (name, addr) in known {
            let new_peer = || Peer { addr: *addr, heartbeat: Heartbeat::default(), heard_at: 0 };
            self.all.entry(name.clone()).or_insert_with(new_peer);
        }
    }

    /// Takes a datagram; an older one than the last is dropped.
    pub fn receive(&mut self, now: Millis, from: SocketAddr, mut heartbeat: Heartbeat) -> bool {
        let new_peer = || Peer { addr: from, heartbeat: Heartbeat::default(), heard_at: 0 };
        let peer = self.all.entry(heartbeat.name.clone()).or_insert_with(new_peer);
        if (heartbeat.started, heartbeat.seq) <= (peer.heartbeat.started, peer.heartbeat.seq)
            && peer.heard_at > 0
        {
            return false;
        }
        let mut loads = std::mem::take(&mut peer.heartbeat.loads);
        if heartbeat.full || peer.heartbeat.started != heartbeat.started {
            for (id, load) in loads.drain(..) {
                self.sum.entry(id).or_default().sub(load);
            }
        }
        for (id, load) in std::mem::take(&mut heartbeat.loads) {
            let sum = self.sum.entry(id.clone()).or_default();
            sum.add(load);
            if let Some(old) = loads.insert(id, load) {
                sum.sub(old);
            }
        }
        loads.retain(|_, load| *load != Load::default());
        heartbeat.loads = loads;
        if !heartbeat.full {
            heartbeat.domain = std::mem::take(&mut peer.heartbeat.domain);
        }
        peer.addr = from;
        peer.heartbeat = heartbeat;
        peer.heard_at = now;
        true
    }

    /// Takes a peer's work out of the sum.
    fn remove_loads(&mut self, name: &str) {
        let Some(peer) = self.all.get_mut(name) else { return };
        for (id, load) in std::mem::take(&mut peer.heartbeat.loads) {
            self.sum.entry(id).or_default().sub(load);
        }
    }

    /// Forgets the work of peers that have been silent for too long.
    pub fn expire(&mut self, now: Millis) {
        let silent = |p: &Peer| p.heard_at + ALIVE_TIMEOUT <= now && !p.heartbeat.loads.is_empty();
        let silent: Vec<String> =
            self.all.iter().filter(|(_, p)| silent(p)).map(|(n, _)| n.clone()).collect();
        for name in silent {
            self.remove_loads(&name);
        }
        self.sum.retain(|_, load| *load != Load::default());
    }

    /// Shortest time between two datagrams to a peer, in milliseconds.
    pub fn min_interval(&self) -> u64 {
        let n = self.all.len() as u64;
        (MIN_INTERVAL * n.max(MIN_INTERVAL_PEERS) / MIN_INTERVAL_PEERS).min(INTERVAL)
    }

    /// Shortest time between two sums over what peers said, in milliseconds: it is small beside the
    /// age of what they say.
    pub fn merge_interval(&self) -> u64 {
        self.min_interval() / MERGE_DIVISOR
    }

    /// Addresses of all peers.
    pub fn addrs(&self) -> impl Iterator<Item = SocketAddr> {
        self.all.values().map(|p| p.addr)
    }

    /// Names and addresses of the fresh peers.
    pub fn alive_addrs(&self, now: Millis) -> impl Iterator<Item = (String, SocketAddr)> {
        let alive = self.all.iter().filter(move |(_, p)| p.heard_at + ALIVE_TIMEOUT > now);
        alive.map(|(name, p)| (name.clone(), p.addr))
    }

    /// The fresh peers.
    pub fn alive(&self, now: Millis) -> impl Iterator<Item = &Peer> {
        self.all.values().filter(move |p| p.heard_at + ALIVE_TIMEOUT > now)
    }

    /// All peers.
    pub fn all(&self) -> impl Iterator<Item = &Peer> {
        self.all.values()
    }

    /// Instances that share budgets: this one and the peers heard of late, or listed and not
    /// heard yet.
    pub fn sharers(&self, now: Millis) -> usize {
        1 + self
            .all
            .values()
            .filter(|p| p.heard_at == 0 || p.heard_at + SHARER_TIMEOUT > now)
            .count()
    }

    /// Numbers of the fresh peers where requests wait.
    pub fn waiting(&self, now: Millis) -> Vec<u64> {
        let busy = |p: &Peer| p.heard_at + ALIVE_TIMEOUT > now && p.heartbeat.waiting > 0;
        self.all.iter().filter(|(_, p)| busy(p)).map(|(n, _)| instance_hash(n)).collect()
    }

    /// Requests with a tight gap that wait at fresh peers for a service.
    pub fn tight(&self, now: Millis, service: &str) -> u32 {
        let alive = self.all.values().filter(|p| p.heard_at + ALIVE_TIMEOUT > now);
        alive.filter_map(|p| p.heartbeat.tight.get(service)).sum()
    }

    /// Work of all fresh peers by endpoint.
    pub fn loads(&self) -> &IndexMap<String, Load> {
        &self.sum
    }
}

/// The number of an instance, for drawing turns.
pub fn instance_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}
