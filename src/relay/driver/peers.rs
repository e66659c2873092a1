//! News from other threads, and datagrams from and to peers.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;

use super::Driver;
use super::outcome::{CRASHES, REFUSED};
use crate::adapter::clock::Millis;
use crate::adapter::codec;
use crate::fleet::readers;
use crate::fleet::replica::Topic;
use crate::policy::place::{Endpoint, Listing, Load, Profile};
use crate::relay::gossip::{self, Heartbeat, Peer};
use crate::relay::state::PeerOffsets;
use crate::relay::table::{Service, Table};
use crate::relay::timers::Owner;

/// Crashes told in one datagram.
const TOLD: usize = 40;

impl Driver {
    /// Takes over a new table, list, or the order to stop.
    pub(super) fn news(&mut self) {
        let news = self.shared.take_updates();
        if let Some(table) = news.table {
            self.take_table(table);
        }
        if let Some(listings) = news.endpoints {
            self.take_listings(&listings);
        }
        if let Some(instances) = news.instances {
            self.peers.sync(&instances);
        }
        if let Some(known) = news.known {
            let me = &self.setup.name;
            let others: Vec<_> = known.into_iter().filter(|(name, _)| name != me).collect();
            self.peers.add(&others);
        }
        if news.stop && self.stopping.is_none() {
            tracing::info!(requests = self.callers.len(), "relay: stopping");
            self.stopping = Some(self.clock.now());
        }
    }

    fn take_table(&mut self, table: Arc<Table>) {
        if table.version <= self.table.version {
            return;
        }
        let (from, to) = (self.table.version, table.version);
        tracing::info!(
            from,
            to,
            routes = table.routes.values().map(Vec::len).sum::<usize>(),
            "relay: configuration in force"
        );
        self.stats.config_version.set(to as i64);
        self.tell_soon();
        self.table = table;
        let table = Arc::clone(&self.table);
        for (name, service) in &table.services {
            let Service { batch, memory, gaps, .. } = *service;
            let profile = Profile { batch, memory, gaps };
            self.pool(name).place.profile = profile;
        }
    }

    fn take_listings(&mut self, listings: &[Listing]) {
        let mut names: Vec<String> = listings.iter().map(|l| l.service.clone()).collect();
        names.extend(self.pools.keys().cloned());
        names.sort();
        names.dedup();
        for name in names {
            let own: Vec<Listing> =
                listings.iter().filter(|l| l.service == name).cloned().collect();
            self.log_changes(&name, &own);
            self.note_crashes(&name, &own);
            self.pool(&name).place.sync(&own);
        }
        if !self.listed {
            tracing::info!(endpoints = listings.len(), "relay: endpoints known");
        }
        self.listed = true;
        self.drop_unlisted();
        self.tell_soon();
    }

    fn log_changes(&mut self, service: &str, listings: &[Listing]) {
        let place = &self.pool(service).place;
        for l in listings {
            match place.get(&l.id) {
                None => {
                    tracing::info!(service, endpoint = l.id, addr = l.addr, "relay: endpoint came")
                }
                Some(e) if e.listing.leaving != l.leaving => {
                    tracing::info!(
                        service,
                        endpoint = l.id,
                        leaving = l.leaving,
                        "relay: endpoint changed"
                    );
                }
                Some(_) => {}
            }
        }
        for e in place.endpoints().filter(|e| listings.iter().all(|l| l.id != e.listing.id)) {
            tracing::info!(service, endpoint = e.listing.id, "relay: endpoint went");
        }
    }

    /// Incarnations that went without having said that they leave may have crashed.
    fn note_crashes(&mut self, service: &str, listings: &[Listing]) {
        let same = |l: &Listing, old: &Listing| l.id == old.id && l.born == old.born;
        let place = &self.pool(service).place;
        let gone = place.endpoints().filter(|e| !e.listing.leaving);
        let gone = gone.filter(|e| !listings.iter().any(|l| same(l, &e.listing)));
        let gone: Vec<String> = gone.map(|e| e.listing.id.clone()).collect();
        for id in gone {
            self.crashed(&id);
        }
    }

    /// Tells all peers what this instance does, and takes stock of what they do.
    pub(super) fn gossip(&mut self, now: Millis) {
        if now < self.gossip_at {
            return;
        }
        self.gossip_at = now + gossip::INTERVAL;
        self.gossiped = now;
        self.timers.set(self.gossip_at, Owner::Gossip);
        self.beats += 1;
        let bytes = codec::pack_positional(&self.beat(now));
        let addrs: Vec<_> = self.peers.addrs().collect();
        for addr in addrs {
            if let Err(e) = self.udp.send_to(&bytes, addr) {
                tracing::debug!(%addr, "relay: datagram not sent: {e}");
            }
        }
        self.weigh_peers(now);
        self.compare_copies(now);
        let me = (self.setup.name.clone(), self.setup.peers);
        self.shared.set_instances(self.peers.alive_addrs(now).chain([me]).collect());
    }

    /// Takes stock of how far the peers have read, and whether this instance has to read.
    fn compare_copies(&mut self, now: Millis) {
        let near = |p: &Peer| p.heartbeat.domain == self.setup.domain;
        let ahead =
            |p: &Peer| PeerOffsets { addr: p.addr, ends: p.heartbeat.ends, same_domain: near(p) };
        let ahead: Vec<PeerOffsets> = self.peers.alive(now).map(ahead).collect();
        self.stats.peers.set(ahead.len() as i64);
        self.shared.set_peer_offsets(ahead);
        let reaching = self.peers.alive(now).filter(|p| !p.heartbeat.disconnected);
        let reads =
            readers::is_reader(&self.setup.name, reaching.map(|p| p.heartbeat.name.as_str()));
        if self.shared.set_reader(reads) {
            tracing::info!(reads, "relay: role at the platform changed");
        }
        let mut endpoints = self.shared.replica(Topic::Endpoints);
        for p in self.peers.alive(now) {
            endpoints.confirm(p.heard_at.saturating_sub(p.heartbeat.age), p.heartbeat.ends.1);
        }
    }

    /// The load has changed: peers are told soon.
    pub(super) fn tell_soon(&mut self) {
        self.moved = true;
        let at = self.clock.now().max(self.gossiped + self.peers.min_interval());
        if at < self.gossip_at {
            self.gossip_at = at;
            self.timers.set(at, Owner::Gossip);
        }
    }

    pub(super) fn weigh_peers(&mut self, now: Millis) {
        self.weighed = now;
        self.weighs = false;
        self.moved = true;
        self.peers.expire(now);
        let me = gossip::instance_hash(&self.setup.name);
        let waiting = self.peers.waiting(now);
        let tight = self.tight_waiting();
        for (name, pool) in &mut self.pools {
            pool.place.set_peer_loads(self.peers.loads());
            pool.place.set_contenders(me, waiting.clone());
            let own = tight.get(name).copied().unwrap_or_default();
            pool.place.set_tight_waiting(own + self.peers.tight(now, name));
        }
    }

    /// Requests with a tight gap that wait here, by service.
    fn tight_waiting(&self) -> IndexMap<String, u32> {
        let mut tight = IndexMap::new();
        for (_, index) in self.queue.ordered() {
            let Some(e) = self.callers.get(index).and_then(|c| c.exchange.as_ref()) else {
                continue;
            };
            let profile = self.pools.get(&e.service).map(|p| p.place.profile).unwrap_or_default();
            if profile.is_tight(e.requirements.gap) {
                *tight.entry(e.service.clone()).or_default() += 1;
            }
        }
        tight
    }

    fn beat(&mut self, now: Millis) -> Heartbeat {
        let parts = std::mem::take(&mut self.parts);
        let whole = now >= self.whole_at;
        if whole {
            self.whole_at = now + gossip::FULL_INTERVAL;
        }
        let loads = self.loads_to_tell(whole);
        let crashes = if whole { self.suspects.export(now) } else { Vec::new() }.into_iter();
        let crashes = crashes.flat_map(|(c, ids)| ids.into_iter().map(move |id| (c, id)));
        let gone = self.gone.iter().filter(|(at, _)| whole || at + gossip::INTERVAL > now);
        Heartbeat {
            name: self.setup.name.clone(),
            started: self.life,
            seq: self.beats,
            domain: if whole { self.setup.domain.clone() } else { String::new() },
            disconnected: self.shared.is_disconnected(),
            age: self.list_age(),
            ends: self.shared.ends(),
            full: whole,
            loads,
            parts,
            tight: self.tight_waiting(),
            waiting: self.queue.len() as u32,
            gone: gone.map(|(_, id)| id.clone()).collect(),
            crashes: crashes.take(TOLD).collect(),
        }
    }

    /// The work of this instance by endpoint: all of it, or what peers don't know yet.
    fn loads_to_tell(&mut self, whole: bool) -> IndexMap<String, Load> {
        let places = self.pools.values().flat_map(|p| p.place.endpoints());
        let known = |e: &&Endpoint| self.told.get(&e.listing.id).copied().unwrap_or_default();
        let news: Vec<(String, Load)> = places
            .filter(|e| if whole { e.own.running > 0 } else { e.own != known(e) })
            .map(|e| (e.listing.id.clone(), e.own))
            .collect();
        if whole {
            self.told.clear();
        }
        self.told.extend(news.iter().cloned());
        news.into_iter().collect()
    }

    pub(super) fn hear(&mut self) {
        loop {
            let (n, from) = match self.udp.recv_from(&mut self.buffer) {
                Ok(got) => got,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) => {
                    tracing::debug!("relay: datagram not received: {e}");
                    return;
                }
            };
            match codec::unpack::<Heartbeat>(&self.buffer[..n]) {
                Ok(beat) => self.take_beat(from, beat),
                Err(e) => tracing::warn!(%from, "relay: datagram not understood: {e}"),
            }
        }
        self.weigh_soon();
    }

    /// What peers said counts soon: at once, or with what comes within a few milliseconds.
    fn weigh_soon(&mut self) {
        let now = self.clock.now();
        let at = self.weighed + self.peers.merge_interval();
        if now >= at {
            self.weigh_peers(now);
        } else if !self.weighs {
            self.weighs = true;
            self.timers.set(at, Owner::Peers);
        }
    }

    fn take_beat(&mut self, from: SocketAddr, beat: Heartbeat) {
        let now = self.clock.now();
        for (id, parts) in &beat.parts {
            let all = self.pools.values_mut().filter_map(|p| p.place.get_mut(id));
            all.for_each(|e| e.mark_cached(now, parts.iter().copied()));
        }
        for id in &beat.gone {
            let all = self.pools.values_mut().filter_map(|p| p.place.get_mut(id));
            all.for_each(Endpoint::mark_stale);
        }
        for (content, endpoint) in &beat.crashes {
            if self.suspects.record_crash(now, *content, endpoint, CRASHES, REFUSED) {
                tracing::warn!(
                    content,
                    endpoint,
                    peer = beat.name,
                    "relay: content refused, by peers' word"
                );
            }
        }
        if self.peers.is_new(&beat) {
            tracing::info!(peer = beat.name, %from, life = beat.started, "relay: peer came");
        }
        self.peers.receive(now, from, beat);
    }
}
