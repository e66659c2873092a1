//! Heartbeats: the state that instances send each other several times a second, one datagram each.

use std::net::SocketAddr;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::groups;
use crate::adapter::clock::Millis;
use crate::policy::drain::Flows;
use crate::policy::fair::{self, Usage};
use crate::policy::lease::{Candidate, choose};
use crate::policy::limit::{Fleet, Report};
use crate::policy::place::{self, Curve, Load, Observed, Samples, Shared};
use crate::policy::scale::ServiceFigures;
use crate::policy::suspect::Content;

/// Maximum interval between datagrams to a peer, in milliseconds.
pub const INTERVAL: u64 = 400;
/// Minimum interval between datagrams to a peer, in milliseconds, which applies after the load has
/// changed. The staler the loads, the more instances choose the same endpoint at the same time.
const MIN_INTERVAL: u64 = 30;
/// Number of peers up to which [`MIN_INTERVAL`] applies; with more, the minimum grows in
/// proportion.
const MIN_INTERVAL_PEERS: u64 = 24;
/// Received heartbeats are collected before they take effect, for the minimum interval divided by
/// this number.
const MERGE_DIVISOR: u64 = 8;
/// Time without a heartbeat after which a peer is no longer alive and its load is ignored, in
/// milliseconds.
pub const ALIVE_TIMEOUT: u64 = 1_200;
/// Time without a digest after which that of another representative counts, in milliseconds.
const TAKEOVER_TIMEOUT: u64 = 300;
/// Time after which silent peers count as gone rather than cut off, in milliseconds: another instance
/// has taken over the duties by then.
const ISOLATED_TIMEOUT: u64 = 5_000;
/// Time without a heartbeat after which a peer no longer shares budgets, in milliseconds.
const SHARER_TIMEOUT: u64 = 10_000;
/// Time without a heartbeat after which a peer takes no part of the endpoints' limits any more, in
/// milliseconds: one that is cut off may go on sending.
const LIMIT_TIMEOUT: u64 = 60_000;
/// Time for which the sends that a peer has reported count, in milliseconds, also if it is silent.
const REPORT_TIMEOUT: u64 = 5_000;
/// Maximum size of a datagram, in bytes.
pub const MAX_DATAGRAM: usize = 60_000;

/// Whose state a message has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// That of the instance that sent it: a heartbeat.
    #[default]
    #[serde(rename = "i")]
    Instance,
    /// That of the sender's group, for representatives of other groups: a digest.
    #[serde(rename = "g")]
    Group,
    /// That of all other groups, for the sender's own group: a digest.
    #[serde(rename = "r")]
    Rest,
}

/// A heartbeat or a digest, sent as one datagram.
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
    /// Crashes: content and incarnation of the endpoint.
    #[serde(rename = "c")]
    pub crashes: Vec<(Content, String)>,
    /// What the sender's requests have shown of the engines' speed, by service, if `full`.
    #[serde(rename = "v", default)]
    pub speeds: IndexMap<String, Samples>,
    /// Whose state the message has.
    #[serde(rename = "p", default)]
    pub scope: Scope,
    /// Hashes of the names of instances with queued requests, in a digest.
    #[serde(rename = "b", default)]
    pub contenders: Vec<u64>,
    /// Prompt segments that endpoints have answered on and a peer has reported crashes of.
    #[serde(rename = "u", default)]
    pub sound: Vec<Content>,
    /// Time for which the platform has answered the sender without an outage, in milliseconds; 0 if
    /// it doesn't or that isn't known.
    #[serde(rename = "y", default)]
    pub steady: u64,
    /// Clock of the sender, in milliseconds, if `full` and the sender has duties; else 0.
    #[serde(rename = "h", default)]
    pub clock: u64,
    /// What the sender is as a candidate for duties, if `full` and it has duties.
    #[serde(rename = "j", default)]
    pub duty: Option<Fitness>,
    /// Preferred candidates for duties, in a digest.
    #[serde(rename = "m", default)]
    pub candidates: Vec<Candidate>,
    /// Demand on services with scaling, by service; empty if it was sent a short time before.
    #[serde(rename = "f", default)]
    pub demand: IndexMap<String, ServiceFigures>,
    /// Recent work by service and workspace, the largest only. Empty means unchanged: it is sent less
    /// often than heartbeats.
    #[serde(rename = "ua", default)]
    pub usage: IndexMap<String, Usage>,
    /// The most urgent priority among queued requests whose workspaces are within their share, by
    /// service.
    #[serde(rename = "ow", default)]
    pub owed: IndexMap<String, u8>,
    /// Gaps or whole responses by concurrency that the sender's requests have shown, by service, if
    /// `full`.
    #[serde(rename = "cu", default)]
    pub curves: IndexMap<String, Curve>,
    /// Evidence of endpoints that differ from their service; empty if there is none or it isn't due.
    #[serde(rename = "sl", default)]
    pub slowness: Vec<Shared>,
    /// Queued and recently started requests, by service and target gap.
    #[serde(rename = "fl", default)]
    pub flows: IndexMap<String, Flows>,
    /// Endpoints that have named a limit. Those without sends of late are listed if `full`, or if the
    /// limit has changed.
    #[serde(rename = "li", default)]
    pub limits: Vec<Report>,
}

/// What an instance is as a candidate for duties.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fitness {
    /// Memory, in MB.
    pub memory: u32,
    /// The platform rejects it, or it is slow.
    pub impaired: bool,
    /// It holds the lease.
    pub holds: bool,
}

/// Another instance of the fleet, or a group of instances that a digest stands for.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Address on which it receives datagrams and calls; that of its representative for a group.
    pub addr: SocketAddr,
    /// Its last message, with its complete load.
    pub heartbeat: Heartbeat,
    /// Time at which that message was received; 0 if there was none yet.
    pub heard_at: Millis,
    /// Time at which its last message with evidence of endpoints was received.
    evidence_at: Millis,
    /// Group of the instance.
    group: u32,
    /// Its clock less the local one, in milliseconds.
    offset: Option<i64>,
    /// Time at which the last usage was received.
    usage_at: Millis,
}

impl Peer {
    fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            heartbeat: Heartbeat::default(),
            heard_at: 0,
            evidence_at: 0,
            group: 0,
            offset: None,
            usage_at: 0,
        }
    }

    fn is_alive(&self, now: Millis) -> bool {
        self.heard_at > 0 && self.heard_at + ALIVE_TIMEOUT > now
    }

    /// Applies a message, and adds the change of its load to `sum`. Loads that the message doesn't
    /// list have not changed, unless it is complete or `restarted`.
    fn apply(
        &mut self,
        now: Millis,
        from: SocketAddr,
        mut message: Heartbeat,
        restarted: bool,
        sum: &mut IndexMap<String, Load>,
    ) {
        let mut loads = std::mem::take(&mut self.heartbeat.loads);
        if message.full || restarted {
            for (id, load) in loads.drain(..) {
                sum.entry(id).or_default().sub(load);
            }
        }
        for (id, load) in std::mem::take(&mut message.loads) {
            let total = sum.entry(id.clone()).or_default();
            total.add(load);
            if let Some(old) = loads.insert(id, load) {
                total.sub(old);
            }
        }
        loads.retain(|_, load| *load != Load::default());
        message.loads = loads;
        if message.slowness.is_empty() {
            message.slowness = std::mem::take(&mut self.heartbeat.slowness);
        } else {
            self.evidence_at = now;
        }
        if !message.full {
            message.domain = std::mem::take(&mut self.heartbeat.domain);
            message.speeds = std::mem::take(&mut self.heartbeat.speeds);
            message.curves = std::mem::take(&mut self.heartbeat.curves);
            message.duty = self.heartbeat.duty;
        }
        self.update_offset(now, message.clock, restarted);
        if message.demand.is_empty() && !restarted {
            message.demand = std::mem::take(&mut self.heartbeat.demand);
        }
        if message.usage.is_empty() {
            message.usage = std::mem::take(&mut self.heartbeat.usage);
        } else {
            self.usage_at = now;
        }
        self.addr = from;
        self.heartbeat = message;
        self.heard_at = now;
    }

    /// Updates the difference of the clocks. The message that arrived fastest shows it best; the
    /// estimate declines slowly, as clocks drift.
    fn update_offset(&mut self, now: Millis, clock: u64, restarted: bool) {
        if clock == 0 {
            return;
        }
        let new = clock as i64 - now as i64;
        let old = self.offset.filter(|_| !restarted);
        self.offset = Some(old.map_or(new, |old| new.max(old - 1)));
    }

    /// What it is as a candidate for duties.
    fn candidate(&self) -> Option<Candidate> {
        let fitness = self.heartbeat.duty?;
        Some(Candidate {
            name: self.heartbeat.name.clone(),
            addr: self.addr,
            started: self.heartbeat.started,
            domain: self.heartbeat.domain.clone(),
            memory: fitness.memory,
            impaired: fitness.impaired,
            holds: fitness.holds,
        })
    }

    /// Its usage by service, decayed to `now`.
    fn usage(&self, now: Millis) -> IndexMap<String, Usage> {
        let age = now.saturating_sub(self.usage_at);
        self.heartbeat.usage.iter().map(|(name, u)| (name.clone(), u.after(age))).collect()
    }

    /// Adds what it has reported of endpoints with limits, as of now.
    fn add_limits(&self, now: Millis, all: &mut IndexMap<u32, Report>) {
        let age = now.saturating_sub(self.heard_at);
        if age < REPORT_TIMEOUT {
            Report::merge_all(all, self.heartbeat.limits.iter().map(|r| r.aged(age)));
        }
    }

    /// Subtracts its load from `sum`.
    fn remove_loads(&mut self, sum: &mut IndexMap<String, Load>) {
        for (id, load) in std::mem::take(&mut self.heartbeat.loads) {
            sum.entry(id).or_default().sub(load);
        }
    }
}

/// All known peers by name, and the total load of those that are alive.
#[derive(Debug, Default)]
pub struct Peers {
    /// Name of this instance.
    me: String,
    all: IndexMap<String, Peer>,
    /// Other groups, or all of them as one, by name of the digest.
    digests: IndexMap<String, Peer>,
    sum: IndexMap<String, Load>,
    /// Number of groups, and that of this instance.
    groups: (u32, u32),
}

impl Peers {
    /// Peers of the instance `me`; none is known yet.
    pub fn new(me: &str) -> Self {
        Self { me: me.to_owned(), groups: (1, 0), ..Self::default() }
    }

    /// Makes the peers match the instance list: adds new ones, updates addresses, and removes
    /// those that are not listed.
    pub fn sync(&mut self, listed: &[(String, SocketAddr)]) {
        let unlisted = |name: &String| !listed.iter().any(|(n, _)| n == name);
        let gone: Vec<String> = self.all.keys().filter(|n| unlisted(n)).cloned().collect();
        for name in gone {
            if let Some(mut peer) = self.all.shift_remove(&name) {
                peer.remove_loads(&mut self.sum);
            }
        }
        for (name, addr) in listed {
            self.all.entry(name.clone()).or_insert_with(|| Peer::new(*addr)).addr = *addr;
        }
        self.regroup();
    }

    /// True for the first heartbeat since the peer started.
    pub fn is_new(&self, heartbeat: &Heartbeat) -> bool {
        heartbeat.scope == Scope::Instance
            && self
                .all
                .get(&heartbeat.name)
                .is_none_or(|p| p.heard_at == 0 || p.heartbeat.started < heartbeat.started)
    }

    /// Adds instances that another instance knows of.
    pub fn add(&mut self, known: &[(String, SocketAddr)]) {
        for (name, addr) in known {
            self.all.entry(name.clone()).or_insert_with(|| Peer::new(*addr));
        }
        self.regroup();
    }

    /// Divides the known instances into groups.
    fn regroup(&mut self) {
        let groups = groups::group_count(self.all.len() + 1);
        for (name, peer) in &mut self.all {
            peer.group = groups::group_of(name, groups);
        }
        let own = groups::group_of(&self.me, groups);
        if self.groups != (groups, own) {
            self.groups = (groups, own);
            self.digests.values_mut().for_each(|d| d.remove_loads(&mut self.sum));
            self.digests.clear();
        }
    }

    /// Number of groups; 1 if all instances send heartbeats to all.
    pub fn group_count(&self) -> u32 {
        self.groups.0
    }

    /// Group of this instance.
    pub fn own_group(&self) -> u32 {
        self.groups.1
    }

    /// True if this instance represents its group: of the members that are alive, it has the lowest
    /// rank.
    pub fn is_representative(&self, now: Millis) -> bool {
        let own = groups::rank(&self.me);
        self.groups.0 > 1 && self.members(now).all(|p| groups::rank(&p.heartbeat.name) > own)
    }

    /// Applies a message. Returns false for one that is older than the last, or that doesn't count
    /// here; it is dropped.
    pub fn receive(&mut self, now: Millis, from: SocketAddr, message: Heartbeat) -> bool {
        match message.scope {
            Scope::Instance => self.receive_heartbeat(now, from, message),
            Scope::Group | Scope::Rest => self.receive_digest(now, from, message),
        }
    }

    fn receive_heartbeat(
        &mut self,
        now: Millis,
        from: SocketAddr,
        mut heartbeat: Heartbeat,
    ) -> bool {
        if !self.all.contains_key(&heartbeat.name) {
            self.add(&[(heartbeat.name.clone(), from)]);
        }
        let (groups, own) = self.groups;
        let Some(peer) = self.all.get_mut(&heartbeat.name) else { return false };
        if (heartbeat.started, heartbeat.seq) <= (peer.heartbeat.started, peer.heartbeat.seq)
            && peer.heard_at > 0
        {
            return false;
        }
        if groups > 1 && peer.group != own {
            // The digest of its group counts.
            heartbeat = Heartbeat {
                name: heartbeat.name,
                started: heartbeat.started,
                seq: heartbeat.seq,
                ends: heartbeat.ends,
                domain: heartbeat.domain,
                full: true,
                ..Heartbeat::default()
            };
        }
        let restarted = peer.heartbeat.started != heartbeat.started;
        peer.apply(now, from, heartbeat, restarted, &mut self.sum);
        true
    }

    /// Applies a digest. That of another representative counts once the one before is silent, from a
    /// complete one on.
    fn receive_digest(&mut self, now: Millis, from: SocketAddr, digest: Heartbeat) -> bool {
        let own = digest.name == groups::digest_name(self.groups.1);
        if digest.scope != self.wanted_scope(now) || own {
            return false;
        }
        let peer = self.digests.entry(digest.name.clone()).or_insert_with(|| Peer::new(from));
        let same = peer.addr == from && peer.heartbeat.started == digest.started;
        let known = peer.is_alive(now);
        if peer.heard_at > 0 && same && digest.seq <= peer.heartbeat.seq {
            return false;
        }
        let handed_over = known && peer.addr != from;
        if (handed_over && now < peer.heard_at + TAKEOVER_TIMEOUT)
            || !(digest.full || known && same)
        {
            return false;
        }
        peer.apply(now, from, digest, !same, &mut self.sum);
        true
    }

    /// Scope of the digests that count: the representative receives those of other groups, the other
    /// members that of the representative.
    fn wanted_scope(&self, now: Millis) -> Scope {
        if self.is_representative(now) { Scope::Group } else { Scope::Rest }
    }

    /// Removes the loads of peers that are no longer alive, and digests that no longer count.
    pub fn expire(&mut self, now: Millis) {
        let wanted = self.wanted_scope(now);
        if self.hears_fleet(now, wanted) {
            for digest in self.digests.values_mut().filter(|d| d.heartbeat.scope != wanted) {
                digest.remove_loads(&mut self.sum);
            }
            self.digests.retain(|_, d| d.heartbeat.scope == wanted);
        }
        for peer in self.all.values_mut().chain(self.digests.values_mut()) {
            if !peer.is_alive(now) {
                peer.remove_loads(&mut self.sum);
            }
        }
        self.sum.retain(|_, load| *load != Load::default());
    }

    /// True if digests of a scope cover all other groups. Until then, those of the role before stay.
    pub fn hears_fleet(&self, now: Millis, scope: Scope) -> bool {
        let heard = self.remote(now).filter(|d| d.heartbeat.scope == scope).count();
        match scope {
            Scope::Instance => false,
            Scope::Group => heard + 1 >= self.groups.0 as usize,
            Scope::Rest => heard > 0,
        }
    }

    /// Minimum interval between datagrams to a peer, in milliseconds.
    pub fn min_interval(&self) -> u64 {
        let n = self.addrs().count() as u64;
        (MIN_INTERVAL * n.max(MIN_INTERVAL_PEERS) / MIN_INTERVAL_PEERS).min(INTERVAL)
    }

    /// Typical age of the loads of peers, in milliseconds: half an interval of heartbeats, and in a
    /// fleet with groups two digests.
    pub fn view_age(&self) -> u64 {
        let digests = if self.groups.0 > 1 { 2 * groups::DIGEST_INTERVAL } else { 0 };
        self.min_interval() / 2 + digests
    }

    /// Minimum interval between two updates of the placement from received heartbeats, in
    /// milliseconds. It is small compared to the age of what the heartbeats report.
    pub fn merge_interval(&self) -> u64 {
        let age = if self.groups.0 > 1 { groups::DIGEST_INTERVAL } else { self.min_interval() };
        age / MERGE_DIVISOR
    }

    /// Addresses of the peers that receive this instance's heartbeats: those of its group.
    pub fn addrs(&self) -> impl Iterator<Item = SocketAddr> {
        self.all.values().filter(|p| p.group == self.groups.1).map(|p| p.addr)
    }

    /// Addresses to which the digest of this group is sent: the representatives of the other groups,
    /// or some members, in part random by `draw`, of a group whose representative is unknown.
    pub fn digest_addrs(&self, now: Millis, draw: u64) -> Vec<SocketAddr> {
        let (groups, own) = self.groups;
        (0..groups).filter(|g| *g != own).flat_map(|g| self.group_addrs(now, g, draw)).collect()
    }

    fn group_addrs(&self, now: Millis, group: u32, draw: u64) -> Vec<SocketAddr> {
        let digest = self.digests.get(&groups::digest_name(group));
        if let Some(digest) = digest.filter(|d| d.is_alive(now)) {
            return vec![digest.addr];
        }
        let mut members: Vec<(&String, &Peer)> =
            self.all.iter().filter(|(_, p)| p.group == group).collect();
        members.sort_by_key(|(name, _)| groups::rank(name));
        let start = draw as usize % members.len().max(1);
        let random = members.iter().cycle().skip(start).take(groups::CANDIDATES);
        let first = members.iter().take(groups::CANDIDATES);
        let mut addrs: Vec<SocketAddr> = first.chain(random).map(|(_, p)| p.addr).collect();
        addrs.sort();
        addrs.dedup();
        addrs
    }

    /// Names and addresses of instances for a newcomer: those that are alive, or all if this
    /// instance doesn't hear from all.
    pub fn alive_addrs(&self, now: Millis) -> impl Iterator<Item = (String, SocketAddr)> {
        let grouped = self.groups.0 > 1;
        let alive = self.all.iter().filter(move |(_, p)| grouped || p.is_alive(now));
        alive.map(|(name, p)| (name.clone(), p.addr))
    }

    /// Peers that are alive: a heartbeat was received recently.
    pub fn alive(&self, now: Millis) -> impl Iterator<Item = &Peer> {
        self.all.values().filter(move |p| p.is_alive(now))
    }

    /// Peers of this instance's group that are alive.
    pub fn members(&self, now: Millis) -> impl Iterator<Item = &Peer> {
        self.alive(now).filter(|p| p.group == self.groups.1)
    }

    /// Other groups whose digests count.
    pub fn remote(&self, now: Millis) -> impl Iterator<Item = &Peer> {
        self.digests.values().filter(move |p| p.is_alive(now))
    }

    /// Number of instances that share budgets: this one, peers with a recent heartbeat, and known
    /// peers that have sent none yet; all known ones if this instance doesn't hear from all.
    pub fn sharers(&self, now: Millis) -> usize {
        let shares =
            |p: &&Peer| self.groups.0 > 1 || p.heard_at == 0 || p.heard_at + SHARER_TIMEOUT > now;
        1 + self.all.values().filter(shares).count()
    }

    /// True if this instance hears from all others, in their groups' digests where there are groups.
    pub fn is_complete(&self, now: Millis) -> bool {
        match self.groups.0 {
            1 => self.sharers(now) == 1 + self.alive(now).count(),
            _ => {
                self.addrs().count() == self.members(now).count()
                    && self.remote(now).next().is_some()
            }
        }
    }

    /// True if this instance hears from all instances that it knows.
    pub fn hears_all(&self, now: Millis) -> bool {
        self.is_complete(now) && (self.groups.0 > 1 || self.all.len() == self.alive(now).count())
    }

    /// True if this instance hears from most instances that it knows: no other part of the fleet does.
    pub fn hears_most(&self, now: Millis) -> bool {
        match self.groups.0 {
            1 => 2 * (1 + self.alive(now).count()) > 1 + self.all.len(),
            _ => self.is_complete(now),
        }
    }

    /// What this instance knows of those that share limits with it. `waits` is true if it has had
    /// requests in its queue for a while.
    pub fn limit_fleet(&self, now: Millis, waits: bool) -> Fleet {
        let me = instance_hash(&self.me);
        let shares =
            |p: &&Peer| self.groups.0 > 1 || p.heard_at == 0 || p.heard_at + LIMIT_TIMEOUT > now;
        let others = self.all.iter().filter(|(_, p)| shares(p)).map(|(n, _)| instance_hash(n));
        let all: Vec<u64> = others.chain([me]).collect();
        let waiting = self.waiting(now).into_iter().chain(waits.then_some(me)).collect();
        let (known, heard) = match self.groups.0 {
            1 => (all.len(), 1 + self.alive(now).count()),
            _ => (self.addrs().count() + 1, 1 + self.members(now).count()),
        };
        let hears_groups = self.groups.0 == 1 || self.remote(now).next().is_some();
        Fleet { me, all, waiting, informed: hears_groups && 2 * heard >= known }
    }

    /// What peers have reported of endpoints with limits, as of now.
    pub fn limits(&self, now: Millis) -> IndexMap<u32, Report> {
        let mut all = IndexMap::new();
        let members = self.all.values().filter(|p| p.group == self.groups.1);
        members.chain(self.digests.values()).for_each(|p| p.add_limits(now, &mut all));
        all
    }

    /// Hashes of the names of the alive peers that have requests in their queue.
    pub fn waiting(&self, now: Millis) -> Vec<u64> {
        let busy = self.members(now).filter(|p| p.heartbeat.waiting > 0);
        let own = busy.map(|p| instance_hash(&p.heartbeat.name));
        own.chain(self.remote(now).flat_map(|d| d.heartbeat.contenders.iter().copied())).collect()
    }

    /// Number of requests of a service with a tight target gap in the queues of alive peers.
    pub fn tight(&self, now: Millis, service: &str) -> u32 {
        let all = self.members(now).chain(self.remote(now));
        all.filter_map(|p| p.heartbeat.tight.get(service)).sum()
    }

    /// What the requests of alive peers have shown of the speed of a service's engines.
    pub fn samples(&self, now: Millis, service: &str) -> Samples {
        let mut all = Samples::default();
        let known = self.members(now).chain(self.remote(now));
        known.filter_map(|p| p.heartbeat.speeds.get(service)).for_each(|s| all.merge(s));
        all
    }

    /// Preferred candidates for duties of the whole fleet, of which `own` stands for this instance.
    pub fn candidates(&self, now: Millis, own: Candidate) -> Vec<Candidate> {
        let members = self.members(now).filter_map(Peer::candidate);
        let remote = self.remote(now).flat_map(|d| d.heartbeat.candidates.iter().cloned());
        choose(members.chain(remote).chain([own]).collect())
    }

    /// True if this instance hears less than half of the fleet that it heard lately, itself included.
    pub fn is_isolated(&self, now: Millis) -> bool {
        let recent = |p: &&Peer| p.heard_at > 0 && p.heard_at + ISOLATED_TIMEOUT > now;
        let heard = 1 + self.all.values().filter(recent).count();
        2 * (1 + self.alive(now).count()) < heard
    }

    /// Names of the alive peers that count requests; `None` if this instance doesn't hear from all.
    pub fn counting(&self, now: Millis) -> Option<Vec<String>> {
        let counting = self.alive(now).filter(|p| p.heartbeat.duty.is_some());
        (self.groups.0 == 1).then(|| counting.map(|p| p.heartbeat.name.clone()).collect())
    }

    /// True time less the local clock, in milliseconds: the median of the clocks of this instance and
    /// its alive peers.
    pub fn clock_offset(&self, now: Millis) -> i64 {
        let mut all: Vec<i64> = self.alive(now).filter_map(|p| p.offset).chain([0]).collect();
        all.sort_unstable();
        let (low, high) = (all[(all.len() - 1) / 2], all[all.len() / 2]);
        (low + high) / 2
    }

    /// Demand of alive peers on a service.
    pub fn demand(&self, now: Millis, service: &str) -> ServiceFigures {
        let mut all = ServiceFigures::default();
        let known = self.members(now).chain(self.remote(now));
        known.filter_map(|p| p.heartbeat.demand.get(service)).for_each(|d| all.merge(d));
        all
    }

    /// Recent work of alive peers, by service.
    pub fn usage(&self, now: Millis) -> IndexMap<String, Usage> {
        let mut all = IndexMap::new();
        let known = self.members(now).chain(self.remote(now));
        known.for_each(|p| fair::merge(&mut all, p.usage(now)));
        all
    }

    /// Queued and recently started requests of alive peers, by service and target gap.
    pub fn flows(&self, now: Millis) -> IndexMap<String, Flows> {
        let mut all = IndexMap::new();
        for peer in self.members(now).chain(self.remote(now)) {
            add_flows(&mut all, &peer.heartbeat.flows, now.saturating_sub(peer.heard_at));
        }
        all
    }

    /// The most urgent priority among the requests of a service that peers have queued and whose
    /// workspaces are within their share.
    pub fn owed(&self, now: Millis, service: &str) -> Option<u8> {
        let all = self.members(now).chain(self.remote(now));
        all.filter_map(|p| p.heartbeat.owed.get(service).copied()).min()
    }

    /// What the requests of alive peers have shown of gaps or whole responses of a service.
    pub fn curve(&self, now: Millis, service: &str) -> Curve {
        let mut all = Curve::default();
        let known = self.members(now).chain(self.remote(now));
        known.filter_map(|p| p.heartbeat.curves.get(service)).for_each(|c| all.merge(c));
        all
    }

    /// Evidence of alive peers by incarnation, as of now.
    pub fn observed(&self, now: Millis) -> IndexMap<u32, Observed> {
        merge_observed(now, self.members(now).chain(self.remote(now)))
    }

    /// Total load of all alive peers, by endpoint.
    pub fn loads(&self) -> &IndexMap<String, Load> {
        &self.sum
    }

    /// Digest of this group, which adds its alive members to `own`, the heartbeat of this instance.
    /// `own` has the complete load.
    pub fn group_state(&self, now: Millis, own: Heartbeat) -> Heartbeat {
        let mut state = own;
        if state.waiting > 0 {
            state.contenders.push(instance_hash(&self.me));
        }
        for peer in self.members(now) {
            if peer.heartbeat.waiting > 0 {
                state.contenders.push(instance_hash(&peer.heartbeat.name));
            }
            merge_state(&mut state, &peer.heartbeat);
            fair::merge(&mut state.usage, peer.usage(now));
            let age = now.saturating_sub(peer.heard_at);
            add_flows(&mut state.flows, &peer.heartbeat.flows, age);
        }
        let mut limits = state.limits.drain(..).map(|r| (r.key, r)).collect();
        let members = self.all.values().filter(|p| p.group == self.groups.1);
        members.for_each(|p| p.add_limits(now, &mut limits));
        state.limits = limits.into_values().collect();
        state.candidates.extend(self.members(now).filter_map(Peer::candidate));
        state.candidates = choose(std::mem::take(&mut state.candidates));
        let mut all = merge_observed(now, self.members(now));
        for own in &state.slowness {
            all.entry(own.key).or_default().merge(own.unpack(now));
        }
        state.slowness =
            place::pack_all(now, now / groups::DIGEST_INTERVAL, &all, &IndexMap::new());
        state
    }

    /// Digest of all other groups that this representative hears from.
    pub fn rest_state(&self, now: Millis) -> Heartbeat {
        let mut state = Heartbeat::default();
        let mut limits = IndexMap::new();
        let groups = self.digests.values().filter(|d| d.heartbeat.scope == Scope::Group);
        groups.for_each(|d| d.add_limits(now, &mut limits));
        state.limits = limits.into_values().collect();
        for digest in self.remote(now).filter(|d| d.heartbeat.scope == Scope::Group) {
            state.contenders.extend_from_slice(&digest.heartbeat.contenders);
            merge_state(&mut state, &digest.heartbeat);
            state.candidates.extend(digest.heartbeat.candidates.iter().cloned());
            fair::merge(&mut state.usage, digest.usage(now));
            let age = now.saturating_sub(digest.heard_at);
            add_flows(&mut state.flows, &digest.heartbeat.flows, age);
        }
        state.candidates = choose(std::mem::take(&mut state.candidates));
        let heard = self.remote(now).filter(|d| d.heartbeat.scope == Scope::Group);
        let all = merge_observed(now, heard);
        state.slowness =
            place::pack_all(now, now / groups::DIGEST_INTERVAL, &all, &IndexMap::new());
        state
    }
}

/// Adds the evidence in the last messages of peers that have some, as of now.
fn merge_observed<'a>(
    now: Millis,
    peers: impl Iterator<Item = &'a Peer>,
) -> IndexMap<u32, Observed> {
    let mut all: IndexMap<u32, Observed> = IndexMap::new();
    for peer in peers {
        for shared in &peer.heartbeat.slowness {
            let aged = shared.unpack(peer.evidence_at).aged(now);
            all.entry(shared.key).or_default().merge(aged);
        }
    }
    all
}

fn add_flows(sum: &mut IndexMap<String, Flows>, other: &IndexMap<String, Flows>, age: u64) {
    for (service, flows) in other {
        let sum = sum.entry(service.clone()).or_default();
        flows.iter().for_each(|(gap, flow)| sum.entry(*gap).or_default().add(*flow, age));
    }
}

/// Adds loads, queues and samples of a message to a digest.
fn merge_state(state: &mut Heartbeat, other: &Heartbeat) {
    for (id, load) in &other.loads {
        state.loads.entry(id.clone()).or_default().add(*load);
    }
    for (service, n) in &other.tight {
        *state.tight.entry(service.clone()).or_default() += n;
    }
    for (service, priority) in &other.owed {
        let least = state.owed.entry(service.clone()).or_insert(*priority);
        *least = (*least).min(*priority);
    }
    for (service, samples) in &other.speeds {
        state.speeds.entry(service.clone()).or_default().merge(samples);
    }
    for (service, figures) in &other.demand {
        state.demand.entry(service.clone()).or_default().merge(figures);
    }
    for (service, curve) in &other.curves {
        state.curves.entry(service.clone()).or_default().merge(curve);
    }
}

/// Hash of an instance's name, by which instances take turns at an endpoint.
pub fn instance_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}
