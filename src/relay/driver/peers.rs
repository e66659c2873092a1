//! Updates from other threads, and heartbeats from and to peers.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;

use super::outcome::STALE_REPORT_MS;
use super::{Driver, GOSSIP};
use crate::adapter::clock::Millis;
use crate::adapter::codec;
use crate::fleet::readers;
use crate::fleet::replica::Topic;
use crate::policy::drain::Flows;
use crate::policy::fair::{Stance, Usage};
use crate::policy::place::{Curve, Endpoint, Listing, Load, Profile, Samples, Shared, pack_all};
use crate::relay::duty;
use crate::relay::gossip::{self, Heartbeat, Peer};
use crate::relay::groups::{self, News};
use crate::relay::state::PeerOffsets;
use crate::relay::table::{RoutingTable, Service};
use crate::relay::timers::Owner;

/// Maximum datagrams that are received in one turn of the event loop.
const MAX_DATAGRAMS: usize = 1_024;

impl Driver {
    /// Applies updates from other threads: a new table, lists of endpoints and instances, or a stop
    /// request.
    pub(super) fn apply_updates(&mut self) {
        let mut updates = self.shared.take_updates();
        self.apply_ledger(&mut updates);
        if let Some(table) = updates.table {
            self.apply_table(table);
        }
        if let Some(listings) = updates.endpoints {
            self.apply_listings(&listings);
        }
        if let Some(instances) = updates.instances {
            self.peers.sync(&instances);
        }
        if let Some(known) = updates.known {
            let me = &self.setup.name;
            let others: Vec<_> = known.into_iter().filter(|(name, _)| name != me).collect();
            self.peers.add(&others);
        }
        if let Some(requested) = updates.stop {
            self.start_stop(requested);
        }
    }

    /// Applies a routing table if it is newer than the current one.
    fn apply_table(&mut self, table: Arc<RoutingTable>) {
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
        self.metrics.config_version.set(to as i64);
        self.schedule_heartbeat();
        self.workspaces = table.workspaces();
        self.has_workspaces = self.workspaces.len() > 1;
        self.table = table;
        let table = Arc::clone(&self.table);
        self.extend_lifetime(&table);
        for (name, service) in &table.services {
            let Service { batch, memory, gaps, .. } = *service;
            let profile = Profile { batch, memory, gaps };
            self.pool(name).balancer.profile = profile;
        }
    }

    /// Applies the endpoint list to the pools of all services.
    fn apply_listings(&mut self, listings: &[Listing]) {
        let mut names: Vec<String> = listings.iter().map(|l| l.service.clone()).collect();
        names.extend(self.pools.keys().cloned());
        names.sort();
        names.dedup();
        let now = self.clock.now();
        for name in names {
            let own: Vec<Listing> =
                listings.iter().filter(|l| l.service == name).cloned().collect();
            self.log_changes(&name, &own);
            self.detect_crashes(&name, &own);
            self.check_restarts(&name, &own);
            self.pool(&name).balancer.sync(&own);
            self.pool(&name).balancer.note_leaving(now);
        }
        if !self.has_listings {
            tracing::info!(endpoints = listings.len(), "relay: list of endpoints received");
        }
        self.has_listings = true;
        self.observe_versions(now);
        self.drop_unlisted_links();
        self.schedule_heartbeat();
    }

    /// Logs endpoints that the new endpoint list adds, changes or removes.
    fn log_changes(&mut self, service: &str, listings: &[Listing]) {
        let balancer = &self.pool(service).balancer;
        for l in listings {
            match balancer.get(&l.id) {
                None => {
                    tracing::info!(
                        service,
                        endpoint = l.id,
                        addr = l.addr,
                        software = l.version,
                        "relay: endpoint added"
                    );
                }
                Some(e) if e.listing.started_at != l.started_at => {
                    tracing::info!(
                        service,
                        endpoint = l.id,
                        started_at = l.started_at,
                        software = l.version,
                        "relay: endpoint restarted"
                    );
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
        for e in balancer.endpoints().filter(|e| listings.iter().all(|l| l.id != e.listing.id)) {
            tracing::info!(service, endpoint = e.listing.id, "relay: endpoint removed");
        }
    }

    /// Sends a heartbeat to all peers if one is due, and updates what is derived from their
    /// heartbeats.
    pub(super) fn send_heartbeats(&mut self, now: Millis) {
        if now < self.next_heartbeat {
            return;
        }
        self.next_heartbeat = now + gossip::INTERVAL;
        self.last_heartbeat = now;
        self.timers.set(self.next_heartbeat, Owner::Gossip);
        let crashes = self.take_crash_reports(now);
        let sound = std::mem::take(&mut self.sound_news).into_iter().collect();
        let state = Heartbeat { crashes, sound, ..self.state(now) };
        self.publish_demand(now, &state.demand);
        self.representative.add_crashes(&state.crashes, &state.sound);
        let state = Heartbeat { candidates: Vec::new(), ..state };
        let heartbeat = self.heartbeats.next(now, state);
        self.send_datagrams(&heartbeat, &self.peers.addrs().collect::<Vec<_>>());
        self.apply_peer_loads(now);
        self.update_role(now);
        for (name, pool) in &mut self.pools {
            pool.balancer.set_peer_samples(self.peers.samples(now, name));
            pool.balancer.set_view_age(self.peers.view_age());
            pool.balancer.set_peer_curve(self.peers.curve(now, name));
        }
        self.update_accounts(now);
        let observed = self.peers.observed(now);
        self.pools.values_mut().for_each(|p| p.balancer.set_peer_observed(now, &observed));
        self.report_slow_endpoints();
        self.expire_limits(now);
        self.update_replicas(now);
        self.observe_versions(now);
        self.update_duties(now);
        let me = (self.setup.name.clone(), self.setup.peers);
        self.shared.set_instances(self.peers.alive_addrs(now).chain([me]).collect());
    }

    fn send_datagrams(&self, message: &Heartbeat, addrs: &[SocketAddr]) {
        let bytes = codec::pack_positional(message);
        for addr in addrs {
            if let Err(e) = self.udp.send_to(&bytes, *addr) {
                tracing::debug!(%addr, "relay: datagram not sent: {e}");
            }
        }
    }

    /// Decides whether this instance represents its group.
    fn update_role(&mut self, now: Millis) {
        if !self.representative.update(now, &self.peers) {
            return;
        }
        let (group, groups) = (self.peers.own_group(), self.peers.group_count());
        let represents = self.representative.is_active();
        tracing::info!(group, groups, represents, "relay: role in its group changed");
        if represents {
            self.timers.set(now, Owner::Digest);
        }
    }

    /// Sends the digests of a representative.
    pub(super) fn send_digests(&mut self, now: Millis) {
        self.update_role(now);
        if !self.representative.is_active() {
            return;
        }
        self.timers.set(now + groups::DIGEST_INTERVAL, Owner::Digest);
        let (state, draw) = (self.state(now), rand::random());
        for (digest, addrs) in self.representative.digests(now, &self.peers, state, draw) {
            self.send_datagrams(&digest, &addrs);
        }
    }

    /// Publishes how far the peers' replicas of the topics reach, decides whether this instance
    /// reads the platform itself, and confirms the replica of the endpoints by those of the peers.
    fn update_replicas(&mut self, now: Millis) {
        let same_domain = |p: &Peer| p.heartbeat.domain == self.setup.domain;
        let offsets = |p: &Peer| PeerOffsets {
            addr: p.addr,
            ends: p.heartbeat.ends,
            same_domain: same_domain(p),
        };
        let (members, remote) = (self.peers.members(now), self.peers.remote(now));
        let offsets: Vec<PeerOffsets> = members.chain(remote).map(offsets).collect();
        self.metrics.peers.set(offsets.len() as i64);
        self.shared.set_peer_offsets(offsets);
        let connected = self.peers.members(now).filter(|p| !p.heartbeat.disconnected);
        let connected = connected.map(|p| p.heartbeat.name.as_str());
        let share = readers::READERS.div_ceil(self.peers.group_count() as usize);
        let reads = readers::is_reader(&self.setup.name, connected, share);
        if self.shared.set_reader(reads) {
            tracing::info!(reads, "relay: reader role changed");
        }
        let mut endpoints = self.shared.replica(Topic::Endpoints);
        for p in self.peers.alive(now) {
            let answered_at = p.heard_at.saturating_sub(p.heartbeat.age);
            endpoints.confirm(answered_at, p.heartbeat.ends.1);
            if p.heartbeat.steady > 0 {
                let since = p.heard_at.saturating_sub(p.heartbeat.steady);
                endpoints.deny_outage(now, since, answered_at);
            }
        }
    }

    /// Notes that the load has changed, and schedules an early heartbeat.
    pub(super) fn schedule_heartbeat(&mut self) {
        self.load_changed = true;
        let at = self.clock.now().max(self.last_heartbeat + self.peers.min_interval());
        if at < self.next_heartbeat {
            self.next_heartbeat = at;
            self.timers.set(at, Owner::Gossip);
        }
    }

    /// Applies the loads and queues reported by peers to all pools.
    pub(super) fn apply_peer_loads(&mut self, now: Millis) {
        self.applied_at = now;
        self.apply_scheduled = false;
        self.load_changed = true;
        self.peers.expire(now);
        self.update_limits(now);
        let me = gossip::instance_hash(&self.setup.name);
        let waiting = self.peers.waiting(now);
        let tight = self.tight_waiting();
        let mut flows = self.peers.flows(now);
        for (name, pool) in &mut self.pools {
            pool.drain.set_peers(now, flows.swap_remove(name).unwrap_or_default());
            pool.balancer.set_peer_loads(self.peers.loads());
            pool.balancer.set_contenders(me, waiting.clone());
            let own = tight.get(name).copied().unwrap_or_default();
            pool.balancer.set_tight_waiting(own + self.peers.tight(now, name));
            if self.has_workspaces
                && let Some(priority) = self.peers.owed(now, name)
            {
                pool.account.note_contention(now, priority);
            }
        }
    }

    /// Applies the recent work that peers report to the accounts.
    fn update_accounts(&mut self, now: Millis) {
        if !self.has_workspaces {
            return;
        }
        let usage = self.peers.usage(now);
        for (name, pool) in &mut self.pools {
            pool.account.expire(now);
            pool.account.set_peers(now, usage.get(name).unwrap_or(&Usage::default()));
            for (id, begins) in pool.account.take_news() {
                let workspace = self.workspaces.get(&id).map_or("", String::as_str);
                let (work, share) = (pool.account.work(now, id), pool.account.share(now));
                tracing::info!(
                    service = name,
                    workspace,
                    begins,
                    work = work as u64,
                    share = share as u64,
                    "relay: burst of a workspace"
                );
                self.metrics.bursts.inc_by(u64::from(begins));
            }
        }
    }

    /// Recent work of this instance by service; empty without several workspaces.
    fn usage(&self, now: Millis) -> IndexMap<String, Usage> {
        let active = self.pools.iter().filter(|(_, p)| !p.account.is_empty());
        active.map(|(name, p)| (name.clone(), p.account.usage(now))).collect()
    }

    /// Queued and recently started requests of this instance, by service and target gap.
    fn flows(&self, now: Millis) -> IndexMap<String, Flows> {
        let waiting = self.queued_groups();
        let none = IndexMap::new();
        let flows = self.pools.iter().map(|(name, pool)| {
            (name.clone(), pool.drain.flows(now, waiting.get(name).unwrap_or(&none)))
        });
        flows.filter(|(_, f)| self.has_workspaces && !f.is_empty()).collect()
    }

    /// Number of requests in the local queue, by service and target gap.
    pub(super) fn queued_groups(&self) -> IndexMap<String, IndexMap<u64, u32>> {
        let mut groups: IndexMap<String, IndexMap<u64, u32>> = IndexMap::new();
        for (_, index) in self.queue.ordered() {
            if let Some(e) = self.callers.get(index).and_then(|c| c.exchange.as_ref()) {
                let gaps = groups.entry(e.service.clone()).or_default();
                *gaps.entry(e.requirements.gap).or_default() += 1;
            }
        }
        groups
    }

    /// The most urgent priority among the requests in the local queue whose workspaces are within their
    /// share, by service.
    pub(super) fn owed(&self, now: Millis) -> IndexMap<String, u8> {
        let mut owed = IndexMap::new();
        if !self.has_workspaces {
            return owed;
        }
        for (key, index) in self.queue.ordered() {
            let exchange = self.callers.get(index).and_then(|c| c.exchange.as_ref());
            let Some(e) = exchange.filter(|e| !owed.contains_key(&e.service)) else { continue };
            if self.is_owed(now, e) {
                owed.insert(e.service.clone(), key.0);
            }
        }
        owed
    }

    /// Number of requests with a tight target gap in the local queue, by service, without those of
    /// workspaces in a burst.
    fn tight_waiting(&self) -> IndexMap<String, u32> {
        let now = self.clock.now();
        let mut tight = IndexMap::new();
        for (_, index) in self.queue.ordered() {
            let Some(e) = self.callers.get(index).and_then(|c| c.exchange.as_ref()) else {
                continue;
            };
            let profile =
                self.pools.get(&e.service).map(|p| p.balancer.profile).unwrap_or_default();
            let is_last = self.stance(now, e) == Stance::Last;
            if profile.is_tight(e.requirements.gap) && !is_last {
                *tight.entry(e.service.clone()).or_default() += 1;
            }
        }
        tight
    }

    /// State of this instance with its complete load, without crashes.
    fn state(&mut self, now: Millis) -> Heartbeat {
        let demand = self.own_demand(now);
        let recent = self.stale.iter().filter(|(at, _)| at + STALE_REPORT_MS > now);
        Heartbeat {
            name: self.setup.name.clone(),
            started: self.started_at,
            domain: self.setup.domain.clone(),
            disconnected: self.shared.is_disconnected(),
            age: self.list_age(),
            steady: self.steady(now),
            ends: self.shared.ends(),
            loads: self.own_loads(),
            tight: self.tight_waiting(),
            waiting: self.queue.len() as u32,
            stale: recent.map(|(_, id)| id.clone()).collect(),
            speeds: self.speeds(),
            clock: if self.setup.duties.is_some() { now } else { 0 },
            duty: self.fitness(now),
            candidates: self.own_candidate(now).into_iter().collect(),
            demand,
            usage: self.usage(now),
            owed: self.owed(now),
            curves: self.curves(),
            slowness: self.slowness(now),
            flows: self.flows(now),
            limits: self.limit_reports(now),
            ..Heartbeat::default()
        }
    }

    /// Time for which the platform has answered this instance without an outage, in milliseconds.
    fn steady(&self, now: Millis) -> u64 {
        self.shared.replica(Topic::Endpoints).steady(now)
    }

    /// What this instance's requests have shown of the engines' speed, by service.
    fn speeds(&self) -> IndexMap<String, Samples> {
        let engines = self.pools.iter().filter(|(_, p)| p.balancer.profile.batch > 0);
        engines.map(|(name, p)| (name.clone(), p.balancer.samples())).collect()
    }

    /// What this instance's requests have shown of gaps and whole responses, by service.
    fn curves(&self) -> IndexMap<String, Curve> {
        let known = self.pools.iter().map(|(name, p)| (name.clone(), p.balancer.curve()));
        known.filter(|(_, c)| *c != Curve::default()).collect()
    }

    /// What this instance's requests have shown of endpoints that differ from their service.
    fn slowness(&self, now: Millis) -> Vec<Shared> {
        let all = self.pools.values().flat_map(|p| p.balancer.observed(now)).collect();
        let known = self.pools.values().flat_map(|p| p.balancer.peer_observed(now)).collect();
        pack_all(now, now / gossip::INTERVAL, &all, &known)
    }

    /// Logs endpoints that have become slower than their service, or are no longer, and counts them.
    fn report_slow_endpoints(&mut self) {
        let mut slow = 0;
        for (service, pool) in &mut self.pools {
            for e in pool.balancer.endpoints_mut() {
                let changed = e.learned.update_slow();
                let (endpoint, c) = (&e.listing.id, e.capacity());
                let (pace, first, share) = (c.pace, c.first, c.share);
                match (changed, e.learned.is_slow()) {
                    (true, true) => tracing::info!(
                        service,
                        endpoint,
                        pace,
                        first,
                        share,
                        "relay: endpoint is slow"
                    ),
                    (true, false) => tracing::info!(
                        service,
                        endpoint,
                        "relay: endpoint is as fast as its service again"
                    ),
                    _ => {}
                }
                slow += i64::from(e.learned.is_slow());
            }
        }
        self.metrics.slow_endpoints.set(slow);
    }

    /// Load of this instance by endpoint.
    fn own_loads(&self) -> IndexMap<String, Load> {
        let endpoints = self.pools.values().flat_map(|p| p.balancer.endpoints());
        let loaded = endpoints.filter(|e| e.own != Load::default());
        loaded.map(|e| (e.listing.id.clone(), e.own)).collect()
    }

    /// Receives pending datagrams.
    pub(super) fn receive_heartbeats(&mut self) {
        let mut drained = false;
        for _ in 0..MAX_DATAGRAMS {
            let (n, from) = match self.udp.recv_from(&mut self.buffer) {
                Ok(got) => got,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    drained = true;
                    break;
                }
                Err(e) => {
                    tracing::debug!("relay: datagram not received: {e}");
                    return;
                }
            };
            if self.buffer[..n].first() == Some(&duty::MARKER) {
                self.receive_counts(from, n);
                continue;
            }
            match codec::unpack::<Heartbeat>(&self.buffer[..n]) {
                Ok(heartbeat) => self.apply_heartbeat(from, heartbeat),
                Err(e) => tracing::warn!(%from, "relay: malformed datagram ignored: {e}"),
            }
        }
        if !drained {
            self.unread.insert(GOSSIP);
        }
        self.schedule_peer_loads();
    }

    /// Applies the loads reported by peers at once, or schedules that a few milliseconds later, to
    /// apply the heartbeats that arrive until then together.
    fn schedule_peer_loads(&mut self) {
        let now = self.clock.now();
        let at = self.applied_at + self.peers.merge_interval();
        if now >= at {
            self.apply_peer_loads(now);
        } else if !self.apply_scheduled {
            self.apply_scheduled = true;
            self.timers.set(at, Owner::Peers);
        }
    }

    /// Applies the cached prompt segments, stale incarnations and crashes in a peer's heartbeat,
    /// and stores its loads.
    fn apply_heartbeat(&mut self, from: SocketAddr, heartbeat: Heartbeat) {
        let now = self.clock.now();
        for (id, segments) in &heartbeat.segments {
            let entries = self.pools.values_mut().filter_map(|p| p.balancer.get_mut(id));
            entries.for_each(|e| e.mark_cached(now, segments.iter().copied()));
        }
        for id in &heartbeat.stale {
            let entries = self.pools.values_mut().filter_map(|p| p.balancer.get_mut(id));
            entries.for_each(Endpoint::mark_stale);
        }
        self.apply_crash_reports(&heartbeat);
        self.apply_limit_reports(now, &heartbeat);
        if self.peers.is_new(&heartbeat) {
            tracing::info!(
                peer = heartbeat.name,
                %from,
                life = heartbeat.started,
                "relay: peer joined"
            );
        }
        let news = News::from(&heartbeat);
        if self.peers.receive(now, from, heartbeat) {
            self.representative.pass_on(news);
        }
    }
}
