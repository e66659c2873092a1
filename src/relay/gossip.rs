//! Heartbeats: the state that instances send each other several times a second, one datagram each.

use std::net::SocketAddr;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::adapter::clock::Millis;
use crate::policy::place::{Load, Samples};

/// Maximum interval between datagrams to a peer, in milliseconds.
pub const INTERVAL: u64 = 400;
/// Minimum interval between datagrams to a peer, in milliseconds, which applies after the load has
/// changed. The staler the loads, the more instances choose the same endpoint at the same time.
const MIN_INTERVAL: u64 = 30;
/// Number of peers up to which [`MIN_INTERVAL`] applies; with more, the minimum grows in
/// proportion.
const MIN_INTERVAL_PEERS: u64 = 24;
/// Interval between full heartbeats, in milliseconds. After a datagram is lost, a load may be wrong
/// for this long.
pub const FULL_INTERVAL: u64 = 800;
/// Received heartbeats are collected before they take effect, for the minimum interval divided by
/// this number.
const MERGE_DIVISOR: u64 = 8;
/// Time without a heartbeat after which a peer is no longer alive and its load is ignored, in
/// milliseconds.
const ALIVE_TIMEOUT: u64 = 1_200;
/// Time without a heartbeat after which a peer no longer shares budgets, in milliseconds.
const SHARER_TIMEOUT: u64 = 10_000;
/// Maximum size of a datagram, in bytes.
pub const MAX_DATAGRAM: usize = 60_000;

/// A heartbeat, sent as one datagram.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the sender.
    #[serde(rename = "n")]
    pub name: String,
    /// Time at which the sender started, in milliseconds of its own clock.
    #[serde(rename = "l")]
    pub started: u64,
    /// Sequence number of the heartbeat since that start.
    #[serde(rename = "s")]
    pub seq: u64,
    /// End offsets of its replicas of the configuration and of the endpoints.
    #[serde(rename = "e")]
    pub ends: (u64, u64),
    /// Failure domain of the sender, if `full`; else empty.
    #[serde(rename = "d")]
    pub domain: String,
    /// The platform does not answer the sender.
    #[serde(rename = "x")]
    pub disconnected: bool,
    /// Time since its replica of the endpoints was last known to be up to date, in milliseconds.
    #[serde(rename = "o")]
    pub age: u64,
    /// True when `loads` has the sender's complete load; else it has the changes since its last
    /// heartbeat.
    #[serde(rename = "a")]
    pub full: bool,
    /// Load that the sender has placed, by endpoint.
    #[serde(rename = "w")]
    pub loads: IndexMap<String, Load>,
    /// Number of requests in the sender's queue.
    #[serde(rename = "q")]
    pub waiting: u32,
    /// Number of those requests that have a tight target gap, by service.
    #[serde(rename = "t")]
    pub tight: IndexMap<String, u32>,
    /// Hashes of the shared prompt segments of requests sent since its last heartbeat, by endpoint.
    #[serde(rename = "k")]
    pub segments: IndexMap<String, Vec<u64>>,
    /// Endpoint incarnations that the sender found gone from their address.
    #[serde(rename = "g")]
    pub stale: Vec<String>,
    /// Crashes by content, if `full`: hash of the content and endpoint incarnation.
    #[serde(rename = "c")]
    pub crashes: Vec<(u64, String)>,
    /// What the sender's requests have shown of the engines' speed, by service, if `full`.
    #[serde(rename = "v", default)]
    pub speeds: IndexMap<String, Samples>,
}

/// Another instance of the fleet.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Address on which it receives datagrams and calls.
    pub addr: SocketAddr,
    /// Its last heartbeat, with its complete load.
    pub heartbeat: Heartbeat,
    /// Time at which that heartbeat was received; 0 if there was none yet.
    pub heard_at: Millis,
}

/// All known peers by name, and the total load of those that are alive.
#[derive(Debug, Default)]
pub struct Peers {
    all: IndexMap<String, Peer>,
    sum: IndexMap<String, Load>,
}

impl Peers {
    /// Makes the peers match the instance list: adds new ones, updates addresses, and removes
    /// those that are not listed.
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

    /// True for the first heartbeat since the peer started.
    pub fn is_new(&self, heartbeat: &Heartbeat) -> bool {
        self.all
            .get(&heartbeat.name)
            .is_none_or(|p| p.heard_at == 0 || p.heartbeat.started < heartbeat.started)
    }

    /// Adds instances that another instance knows of.
    pub fn add(&mut self, known: &[(String, SocketAddr)]) {
        for (name, addr) in known {
            let new_peer = || Peer { addr: *addr, heartbeat: Heartbeat::default(), heard_at: 0 };
            self.all.entry(name.clone()).or_insert_with(new_peer);
        }
    }

    /// Applies a heartbeat. Returns false for one that is older than the last; it is dropped.
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
            heartbeat.speeds = std::mem::take(&mut peer.heartbeat.speeds);
        }
        peer.addr = from;
        peer.heartbeat = heartbeat;
        peer.heard_at = now;
        true
    }

    /// Subtracts a peer's load from the total.
    fn remove_loads(&mut self, name: &str) {
        let Some(peer) = self.all.get_mut(name) else { return };
        for (id, load) in std::mem::take(&mut peer.heartbeat.loads) {
            self.sum.entry(id).or_default().sub(load);
        }
    }

    /// Removes the loads of peers that are no longer alive.
    pub fn expire(&mut self, now: Millis) {
        let silent = |p: &Peer| p.heard_at + ALIVE_TIMEOUT <= now && !p.heartbeat.loads.is_empty();
        let silent: Vec<String> =
            self.all.iter().filter(|(_, p)| silent(p)).map(|(n, _)| n.clone()).collect();
        for name in silent {
            self.remove_loads(&name);
        }
        self.sum.retain(|_, load| *load != Load::default());
    }

    /// Minimum interval between datagrams to a peer, in milliseconds.
    pub fn min_interval(&self) -> u64 {
        let n = self.all.len() as u64;
        (MIN_INTERVAL * n.max(MIN_INTERVAL_PEERS) / MIN_INTERVAL_PEERS).min(INTERVAL)
    }

    /// Minimum interval between two updates of the placement from received heartbeats, in
    /// milliseconds. It is small compared to the age of what the heartbeats report.
    pub fn merge_interval(&self) -> u64 {
        self.min_interval() / MERGE_DIVISOR
    }

    /// Addresses of all peers.
    pub fn addrs(&self) -> impl Iterator<Item = SocketAddr> {
        self.all.values().map(|p| p.addr)
    }

    /// Names and addresses of the peers that are alive.
    pub fn alive_addrs(&self, now: Millis) -> impl Iterator<Item = (String, SocketAddr)> {
        let alive = self.all.iter().filter(move |(_, p)| p.heard_at + ALIVE_TIMEOUT > now);
        alive.map(|(name, p)| (name.clone(), p.addr))
    }

    /// Peers that are alive: a heartbeat was received recently.
    pub fn alive(&self, now: Millis) -> impl Iterator<Item = &Peer> {
        self.all.values().filter(move |p| p.heard_at + ALIVE_TIMEOUT > now)
    }

    /// All known peers.
    pub fn all(&self) -> impl Iterator<Item = &Peer> {
        self.all.values()
    }

    /// Number of instances that share budgets: this one, peers with a recent heartbeat, and known
    /// peers that have sent none yet.
    pub fn sharers(&self, now: Millis) -> usize {
        1 + self
            .all
            .values()
            .filter(|p| p.heard_at == 0 || p.heard_at + SHARER_TIMEOUT > now)
            .count()
    }

    /// Hashes of the names of the alive peers that have requests in their queue.
    pub fn waiting(&self, now: Millis) -> Vec<u64> {
        let busy = |p: &Peer| p.heard_at + ALIVE_TIMEOUT > now && p.heartbeat.waiting > 0;
        self.all.iter().filter(|(_, p)| busy(p)).map(|(n, _)| instance_hash(n)).collect()
    }

    /// Number of requests of a service with a tight target gap in the queues of alive peers.
    pub fn tight(&self, now: Millis, service: &str) -> u32 {
        let alive = self.all.values().filter(|p| p.heard_at + ALIVE_TIMEOUT > now);
        alive.filter_map(|p| p.heartbeat.tight.get(service)).sum()
    }

    /// What the requests of alive peers have shown of the speed of a service's engines.
    pub fn samples(&self, now: Millis, service: &str) -> Samples {
        let mut all = Samples::default();
        let known = self.alive(now).filter_map(|p| p.heartbeat.speeds.get(service));
        known.for_each(|s| all.merge(s));
        all
    }

    /// Total load of all alive peers, by endpoint.
    pub fn loads(&self) -> &IndexMap<String, Load> {
        &self.sum
    }
}

/// Hash of an instance's name, by which instances take turns at an endpoint.
pub fn instance_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}
