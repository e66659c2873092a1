//! Groups of instances, which keep the cost of heartbeats bounded in large fleets.
//!
//! In a fleet of up to [`MESH_LIMIT`] instances, each sends its heartbeats to all others. A larger
//! fleet is divided into groups of about [`GROUP_SIZE`]. Heartbeats stay within the group. One member,
//! its representative, sends a digest of the group to the representatives of the other groups, and
//! a digest of what it receives from them to its own group. All of it follows from the instance
//! list and from who is heard, without a coordinator: two representatives at a time cost messages,
//! but a receiver counts only one.

use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::gossip::{self, Heartbeat, Peers, Scope};
use crate::adapter::clock::Millis;
use crate::policy::fair;
use crate::policy::limit::Report;
use crate::policy::place::Load;
use crate::policy::report::MAX_REPORTS;
use crate::policy::suspect::Content;

/// Maximum instances of a fleet in which each one sends its heartbeats to all others: about as many
/// as can do so without reporting loads much less often than digests do.
pub const MESH_LIMIT: usize = 100;
/// Mean number of instances in a group.
pub const GROUP_SIZE: usize = 20;
/// Interval between the digests of a representative, in milliseconds.
pub const DIGEST_INTERVAL: u64 = 100;
/// Interval between heartbeats with the complete load, in milliseconds. After a datagram is lost, a
/// load may be wrong for this long.
const FULL_INTERVAL: u64 = 800;
/// Maximum interval between messages with evidence of endpoints, in milliseconds: it must reach the
/// fleet within about a second.
const EVIDENCE_INTERVAL: u64 = 400;
/// Interval between digests with the complete load, in milliseconds. A new representative needs one of
/// each group while what members know of the fleet is still fresh.
const FULL_DIGEST_INTERVAL: u64 = 300;
/// Minimum interval between figures of the demand on services with scaling, in milliseconds: orders are
/// decided once a second.
const DEMAND_INTERVAL: u64 = 400;
/// Interval between messages with the usage of workspaces, in milliseconds; it is short against the
/// time constant of the usage.
const USAGE_INTERVAL: u64 = 800;
/// Number of members of a group that are sent a digest while its representative is unknown: so many of
/// the lowest rank, one of which represents it unless all have failed, and as many at random.
pub const CANDIDATES: usize = 4;

/// Number of groups in a fleet of `instances`.
pub fn group_count(instances: usize) -> u32 {
    if instances <= MESH_LIMIT { 1 } else { instances.div_ceil(GROUP_SIZE) as u32 }
}

/// The group of an instance, by rendezvous hashing: another number of groups moves few instances.
pub fn group_of(name: &str, groups: u32) -> u32 {
    let score = |g: &u32| xxh3_64_with_seed(name.as_bytes(), u64::from(*g));
    (0..groups).max_by_key(score).unwrap_or_default()
}

/// Rank of an instance in its group: the lowest one that is alive represents the group.
pub fn rank(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Name of the sender in the digest of a group.
pub fn digest_name(group: u32) -> String {
    format!("group/{group}")
}

/// Name of the sender in the digest that a group receives from its representative.
pub const REST_NAME: &str = "rest";

/// A series of heartbeats or digests: what was last sent of the loads, which are sent as changes.
#[derive(Debug)]
pub struct Outbox {
    /// Interval between messages with the complete load, in milliseconds.
    interval: u64,
    seq: u64,
    next_full: Millis,
    next_demand: Millis,
    next_usage: Millis,
    /// Time from which evidence of endpoints is sent again.
    next_evidence: Millis,
    sent: IndexMap<String, Load>,
    /// Shared prompt segments sent to endpoints since the last message, by endpoint.
    segments: IndexMap<String, Vec<u64>>,
    /// Stale incarnations reported since the last message.
    stale: Vec<String>,
    /// Crashes by content reported since the last message.
    crashes: IndexSet<(Content, String)>,
    /// Sound segments reported since the last message.
    sound: IndexSet<Content>,
}

impl Outbox {
    fn new(interval: u64) -> Self {
        Self {
            interval,
            seq: 0,
            next_full: 0,
            next_demand: 0,
            next_usage: 0,
            next_evidence: 0,
            sent: IndexMap::new(),
            segments: IndexMap::new(),
            stale: Vec::new(),
            crashes: IndexSet::new(),
            sound: IndexSet::new(),
        }
    }

    /// For heartbeats of an instance.
    pub fn heartbeats() -> Self {
        Self::new(FULL_INTERVAL)
    }

    /// Adds shared prompt segments that an endpoint has cached to the next message.
    pub fn add_segments(&mut self, endpoint: &str, segments: impl Iterator<Item = u64>) {
        self.segments.entry(endpoint.to_owned()).or_default().extend(segments);
    }

    /// Adds what another instance has reported to the next message.
    fn add_news(&mut self, news: News) {
        for (endpoint, segments) in news.segments {
            self.add_segments(&endpoint, segments.into_iter());
        }
        self.stale.extend(news.stale);
        self.crashes.extend(news.crashes);
        self.sound.extend(news.sound);
    }

    /// Makes the next message from the complete state. All of it is sent at intervals, and else the
    /// loads that have changed, without the failure domain and samples.
    pub fn next(&mut self, now: Millis, mut state: Heartbeat) -> Heartbeat {
        self.seq += 1;
        state.seq = self.seq;
        state.full = now >= self.next_full;
        if state.full {
            self.next_full = now + self.interval;
            self.sent.clear();
        }
        state.loads = self.changes(&state.loads);
        self.sent.extend(state.loads.iter().map(|(id, load)| (id.clone(), *load)));
        state.segments = std::mem::take(&mut self.segments);
        state.stale.append(&mut self.stale);
        state.crashes.extend(self.crashes.drain(..self.crashes.len().min(MAX_REPORTS)));
        state.sound.extend(self.sound.drain(..));
        if !state.full {
            state.domain.clear();
            state.speeds.clear();
            state.curves.clear();
            (state.clock, state.duty) = (0, None);
            state.limits.retain(Report::is_news);
        }
        if now < self.next_evidence {
            state.slowness.clear();
        } else {
            self.next_evidence = now + EVIDENCE_INTERVAL.min(self.interval);
        }
        if now < self.next_demand {
            state.demand.clear();
        } else if !state.demand.is_empty() {
            self.next_demand = now + self.interval.min(DEMAND_INTERVAL);
        }
        if now < self.next_usage {
            state.usage.clear();
        } else {
            self.next_usage = now + USAGE_INTERVAL;
            fair::truncate(&mut state.usage);
        }
        state
    }

    /// Loads that differ from what was sent; those that have gone are 0.
    fn changes(&self, loads: &IndexMap<String, Load>) -> IndexMap<String, Load> {
        let sent = |id: &String| self.sent.get(id).copied().unwrap_or_default();
        let changed = loads.iter().filter(|(id, load)| **load != sent(id));
        let changed = changed.map(|(id, load)| (id.clone(), *load));
        let none = Load::default();
        let gone = self.sent.iter().filter(|(id, load)| **load != none && !loads.contains_key(*id));
        changed.chain(gone.map(|(id, _)| (id.clone(), none))).collect()
    }

    /// Makes the next message a complete one.
    fn restart(&mut self) {
        self.next_full = 0;
        self.next_usage = 0;
        self.next_evidence = 0;
        self.segments.clear();
        self.stale.clear();
        self.crashes.clear();
        self.sound.clear();
    }
}

/// What a message reports only once, and a representative passes on.
#[derive(Debug, Clone)]
pub struct News {
    scope: Scope,
    segments: IndexMap<String, Vec<u64>>,
    stale: Vec<String>,
    crashes: Vec<(Content, String)>,
    sound: Vec<Content>,
}

impl From<&Heartbeat> for News {
    fn from(message: &Heartbeat) -> Self {
        Self {
            scope: message.scope,
            segments: message.segments.clone(),
            stale: message.stale.clone(),
            crashes: message.crashes.clone(),
            sound: message.sound.clone(),
        }
    }
}

/// Digests that this instance sends while it represents its group.
#[derive(Debug)]
pub struct Representative {
    active: bool,
    /// Time since which it does.
    since: Millis,
    /// Time of the last decision.
    updated_at: Millis,
    /// To representatives of other groups.
    group: Outbox,
    /// To the other members of this group.
    rest: Outbox,
}

impl Default for Representative {
    fn default() -> Self {
        let digests = || Outbox::new(FULL_DIGEST_INTERVAL);
        Self { active: false, since: 0, updated_at: 0, group: digests(), rest: digests() }
    }
}

impl Representative {
    /// True while this instance represents its group.
    pub fn is_active(&self) -> bool {
        self.active
    }

    /// Decides whether this instance represents its group. Returns true if that is a change.
    pub fn update(&mut self, now: Millis, peers: &Peers) -> bool {
        let before = std::mem::replace(&mut self.active, peers.is_representative(now));
        let paused = now > self.updated_at + gossip::ALIVE_TIMEOUT;
        self.updated_at = now;
        if self.active && (paused || !before) {
            self.since = now;
            self.group.restart();
            self.rest.restart();
        }
        self.active != before
    }

    /// Adds shared prompt segments that this instance has sent to an endpoint.
    pub fn add_segments(&mut self, endpoint: &str, segments: impl Iterator<Item = u64>) {
        if self.active {
            self.group.add_segments(endpoint, segments);
        }
    }

    /// Adds crashes and sound segments that this instance reports.
    pub fn add_crashes(&mut self, crashes: &[(Content, String)], sound: &[Content]) {
        if self.active {
            self.group.crashes.extend(crashes.iter().cloned());
            self.group.sound.extend(sound);
        }
    }

    /// Passes on what a message that counts has reported.
    pub fn pass_on(&mut self, news: News) {
        match news.scope {
            _ if !self.active => {}
            Scope::Instance => self.group.add_news(news),
            Scope::Group => self.rest.add_news(news),
            Scope::Rest => {}
        }
    }

    /// The next digests and where to send them. `state` is the complete state of this instance;
    /// `draw` is a random number.
    pub fn digests(
        &mut self,
        now: Millis,
        peers: &Peers,
        state: Heartbeat,
        draw: u64,
    ) -> Vec<(Heartbeat, Vec<SocketAddr>)> {
        let rest = Heartbeat {
            name: REST_NAME.to_owned(),
            started: state.started,
            ends: state.ends,
            age: state.age,
            scope: Scope::Rest,
            ..peers.rest_state(now)
        };
        let name = digest_name(peers.own_group());
        let group = Heartbeat { name, scope: Scope::Group, ..peers.group_state(now, state) };
        // Members keep what the representative before has told them until this one hears from all
        // groups that are alive.
        let informed =
            peers.hears_fleet(now, Scope::Group) || now >= self.since + gossip::ALIVE_TIMEOUT;
        let mut digests = vec![(self.group.next(now, group), peers.digest_addrs(now, draw))];
        if informed {
            digests.push((self.rest.next(now, rest), peers.addrs().collect()));
        } else {
            self.rest.restart();
        }
        digests
    }
}
