//! What instances tell each other several times a second, in one datagram.

use std::net::SocketAddr;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::adapter::clock::Millis;
use crate::policy::place::Load;

/// Longest time between two datagrams to a peer, in milliseconds.
pub const EVERY: u64 = 400;
/// Shortest time between two datagrams to a peer after the load has changed, in milliseconds: the
/// staler the loads, the more instances choose the same endpoint at once.
const QUICK: u64 = 30;
/// Peers up to which that holds; with more, the time grows with their number.
const QUICK_PEERS: u64 = 8;
/// Age from which a peer's load no longer counts, in milliseconds.
const FRESH: u64 = 1_200;
/// Silence after which a peer no longer shares budgets, in milliseconds.
const SHARES: u64 = 10_000;
/// Largest datagram, in bytes.
pub const DATAGRAM: usize = 60_000;

/// One datagram.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Beat {
    /// Name of the sender.
    #[serde(rename = "n")]
    pub name: String,
    /// Time of its start, in its own milliseconds.
    #[serde(rename = "l")]
    pub life: u64,
    /// Number of the datagram in this life.
    #[serde(rename = "s")]
    pub seq: u64,
    /// How far it has read the configuration and the endpoints.
    #[serde(rename = "e")]
    pub ends: (u64, u64),
    /// Its work by endpoint.
    #[serde(rename = "w")]
    pub loads: IndexMap<String, Load>,
    /// Shared prompt parts that it sent since its last datagram, by endpoint.
    #[serde(rename = "k")]
    pub parts: IndexMap<String, Vec<u64>>,
    /// Incarnations that it found gone from their address.
    #[serde(rename = "g")]
    pub gone: Vec<String>,
    /// Crashes by content: hash and endpoint incarnation.
    #[serde(rename = "c")]
    pub crashes: Vec<(u64, String)>,
}

/// A peer.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Where it takes datagrams and calls.
    pub addr: SocketAddr,
    /// Its last datagram.
    pub beat: Beat,
    /// Time at which that came; 0 when it was never heard.
    pub heard: Millis,
}

/// All known peers by name.
#[derive(Debug, Default)]
pub struct Peers(IndexMap<String, Peer>);

impl Peers {
    /// Takes over the names and addresses of the listed instances.
    pub fn sync(&mut self, listed: &[(String, SocketAddr)]) {
        self.0.retain(|name, _| listed.iter().any(|(n, _)| n == name));
        for (name, addr) in listed {
            let fresh = || Peer { addr: *addr, beat: Beat::default(), heard: 0 };
            self.0.entry(name.clone()).or_insert_with(fresh).addr = *addr;
        }
    }

    /// True for the first datagram of a peer's life.
    pub fn is_new(&self, beat: &Beat) -> bool {
        self.0.get(&beat.name).is_none_or(|p| p.heard == 0 || p.beat.life < beat.life)
    }

    /// Takes a datagram; an older one than the last is dropped.
    pub fn hear(&mut self, now: Millis, from: SocketAddr, beat: Beat) -> bool {
        let fresh = || Peer { addr: from, beat: Beat::default(), heard: 0 };
        let peer = self.0.entry(beat.name.clone()).or_insert_with(fresh);
        if (beat.life, beat.seq) <= (peer.beat.life, peer.beat.seq) && peer.heard > 0 {
            return false;
        }
        peer.addr = from;
        peer.beat = beat;
        peer.heard = now;
        true
    }

    /// Shortest time between two datagrams to a peer, in milliseconds.
    pub fn quick(&self) -> u64 {
        let n = self.0.len() as u64;
        (QUICK * n.max(QUICK_PEERS) / QUICK_PEERS).min(EVERY)
    }

    /// Addresses of all peers.
    pub fn addrs(&self) -> impl Iterator<Item = SocketAddr> {
        self.0.values().map(|p| p.addr)
    }

    /// All peers.
    pub fn all(&self) -> impl Iterator<Item = &Peer> {
        self.0.values()
    }

    /// Instances that share budgets: this one and the peers heard of late, or listed and not
    /// heard yet.
    pub fn sharers(&self, now: Millis) -> usize {
        1 + self.0.values().filter(|p| p.heard == 0 || p.heard + SHARES > now).count()
    }

    /// Work of all fresh peers by endpoint.
    pub fn loads(&self, now: Millis) -> IndexMap<String, Load> {
        let mut sum: IndexMap<String, Load> = IndexMap::new();
        for peer in self.0.values().filter(|p| p.heard + FRESH > now) {
            for (id, load) in &peer.beat.loads {
                sum.entry(id.clone()).or_default().add(*load);
            }
        }
        sum
    }
}
