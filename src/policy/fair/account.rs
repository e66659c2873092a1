//! Account of the recent work of a service, by workspace.

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::adapter::clock::Millis;
use crate::mechanism::{self, Mechanism};
use crate::policy::decay::{Decayed, decay};

/// Time constant with which past work decays, in milliseconds: about the length of a burst.
const DECAY_MS: f64 = 4_000.0;
/// Work below which a workspace is dropped from the account, in tokens.
const NEGLIGIBLE_WORK: f64 = 10.0;
/// Maximum workspaces in the account of one service. Beyond it, those with less than the mean are
/// dropped: an unknown workspace counts as one that has had nothing.
const MAX_WORKSPACES: usize = 4_096;
/// Maximum workspaces in one heartbeat or digest, over all services.
const MAX_REPORTED: usize = 16;
/// Steps in which the excess over the fair share is ranked, for each doubling. Within a step, the
/// order of the queue is that of its requests.
const STEPS: f64 = 4.0;
/// Steps over the share that still count as within it.
const TOLERATED_STEPS: u32 = 1;
/// Fraction of an endpoint's limits that is kept free of workspaces over their share while others
/// wait.
const RESERVE: f64 = 0.15;
/// The same for workspaces in a burst.
const BURST_RESERVE: f64 = 0.5;
/// Time constant of a workspace's usual work, in milliseconds: a burst hardly changes it.
const USUAL_MS: f64 = 60_000.0;
/// Multiple of its usual work from which the excess of a workspace counts as a burst, beyond the growth
/// of the whole service.
const BURST_FACTOR: f64 = 2.0;
/// Time from the first request until the usual work is known, in milliseconds. Until then, nothing
/// counts as a burst.
const MIN_HISTORY_MS: u64 = 8_000;
/// Time for which the reserves still apply after a request within its share has waited, in milliseconds:
/// a new one would find the room taken again.
const CONTENTION_MS: u64 = 1_000;

/// Recent work of a service as one message reports it, in tokens, decayed to the time of the message.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Work of all workspaces.
    #[serde(rename = "t")]
    pub total: u32,
    /// Number of workspaces.
    #[serde(rename = "n")]
    pub workspaces: u32,
    /// Work of the workspaces that have had most.
    #[serde(rename = "w")]
    pub largest: Vec<(u32, u32)>,
}

impl Usage {
    /// The same after a time.
    pub fn after(&self, ms: u64) -> Self {
        let keep = decay(ms, DECAY_MS);
        let aged = |work: u32| (f64::from(work) * keep) as u32;
        Self {
            total: aged(self.total),
            workspaces: self.workspaces,
            largest: self.largest.iter().map(|(id, work)| (*id, aged(*work))).collect(),
        }
    }
}

/// Adds the usage of other instances, by service.
pub fn merge(into: &mut IndexMap<String, Usage>, other: IndexMap<String, Usage>) {
    for (service, usage) in other {
        let sum = into.entry(service).or_default();
        sum.total = sum.total.saturating_add(usage.total);
        sum.workspaces = sum.workspaces.max(usage.workspaces);
        let mut works: IndexMap<u32, u32> = sum.largest.drain(..).collect();
        for (id, work) in usage.largest {
            let total = works.entry(id).or_default();
            *total = total.saturating_add(work);
        }
        sum.largest = works.into_iter().collect();
    }
}

/// Keeps the largest entries of a message, so that its size is bounded.
pub fn truncate(usage: &mut IndexMap<String, Usage>) {
    let mut works: Vec<u32> =
        usage.values().flat_map(|u| u.largest.iter().map(|(_, work)| *work)).collect();
    works.sort_unstable_by(|a, b| b.cmp(a));
    let least = works.get(MAX_REPORTED - 1).copied().unwrap_or_default();
    let mut left = MAX_REPORTED;
    for usage in usage.values_mut() {
        usage.largest.sort_unstable_by_key(|(id, work)| (std::cmp::Reverse(*work), *id));
        usage.largest.retain(|(_, work)| *work >= least);
        usage.largest.truncate(left);
        left -= usage.largest.len();
    }
}

/// Recent work of one service by workspace, of this instance and as its peers report it.
#[derive(Debug, Default)]
pub struct Account {
    own: IndexMap<u32, Decayed>,
    own_total: Decayed,
    peers: IndexMap<u32, u32>,
    peers_total: u32,
    /// Number of workspaces that the peer with most of them knows.
    peers_known: u32,
    peers_at: Millis,
    /// Usual work of the workspaces in the fleet.
    usual: IndexMap<u32, f64>,
    /// Usual work of all workspaces in the fleet.
    usual_total: f64,
    /// Time of the first request, and of the last update of the usual work.
    since: Option<Millis>,
    usual_at: Millis,
    /// Workspaces in a burst: from when they have had more than their share and much more than usual,
    /// until they have had no more than their share.
    bursts: IndexSet<u32>,
    /// Bursts that have begun (true) or ended since they were last taken.
    news: Vec<(u32, bool)>,
    contention: Option<Contention>,
}

/// Requests of workspaces within their share wait.
#[derive(Debug, Clone, Copy)]
struct Contention {
    until: Millis,
    /// The most urgent priority among them.
    priority: u8,
}

impl Account {
    /// Records a request that was sent to an endpoint.
    pub fn record(&mut self, now: Millis, workspace: u32, work: u32) {
        self.since.get_or_insert(now);
        self.own_total.add(now, DECAY_MS, f64::from(work));
        if self.own.len() >= MAX_WORKSPACES && !self.own.contains_key(&workspace) {
            self.shrink(now);
        }
        self.own.entry(workspace).or_default().add(now, DECAY_MS, f64::from(work));
        self.detect_burst(now, workspace);
    }

    /// Drops the workspaces that have had least.
    fn shrink(&mut self, now: Millis) {
        let mean =
            self.own.values().map(|d| d.at(now, DECAY_MS)).sum::<f64>() / self.own.len() as f64;
        self.own.retain(|_, d| d.at(now, DECAY_MS) > mean);
        self.own.truncate(MAX_WORKSPACES / 2);
    }

    /// Drops the workspaces whose work has decayed.
    pub fn expire(&mut self, now: Millis) {
        self.own.retain(|_, d| d.at(now, DECAY_MS) >= NEGLIGIBLE_WORK);
    }

    /// Sets what the peers report, decayed to `now`.
    pub fn set_peers(&mut self, now: Millis, usage: &Usage) {
        self.peers = usage.largest.iter().copied().collect();
        (self.peers_total, self.peers_known) = (usage.total, usage.workspaces);
        self.peers_at = now;
        self.update_usual(now);
    }

    /// Moves the usual work of each workspace towards its recent work.
    fn update_usual(&mut self, now: Millis) {
        let Some(since) = self.since else { return };
        let passed = now.saturating_sub(self.usual_at.max(since)) as f64;
        self.usual_at = now;
        // At the start, the mean of all recent figures.
        let elapsed = now.saturating_sub(since).max(1) as f64;
        let gain = (1.0 - (-passed / USUAL_MS).exp()).max(passed / elapsed);
        let known = now >= since + MIN_HISTORY_MS;
        self.usual_total += gain * (self.total(now) - self.usual_total);
        let ids: Vec<u32> = self.own.keys().chain(self.peers.keys()).copied().collect();
        for id in ids {
            if self.usual.len() < MAX_WORKSPACES && !self.usual.contains_key(&id) {
                self.usual.insert(id, if known { 0.0 } else { self.work(now, id) });
            }
        }
        let mut usual = std::mem::take(&mut self.usual);
        for (id, work) in &mut usual {
            let recent = self.work(now, *id);
            *work += gain * (recent - *work);
        }
        usual.retain(|id, work| *work >= NEGLIGIBLE_WORK || self.own.contains_key(id));
        self.usual = usual;
        let mut bursts = std::mem::take(&mut self.bursts);
        let ended: Vec<u32> = bursts.iter().copied().filter(|id| !self.is_over(now, *id)).collect();
        bursts.retain(|id| !ended.contains(id));
        self.bursts = bursts;
        self.news.extend(ended.into_iter().map(|id| (id, false)));
        let listed: Vec<u32> = self.peers.keys().copied().collect();
        listed.into_iter().for_each(|id| self.detect_burst(now, id));
    }

    /// Work of all workspaces as a multiple of their usual work, at least 1: a burst of a class in all
    /// workspaces is nobody's burst.
    fn growth(&self, now: Millis) -> f64 {
        if self.usual_total <= 0.0 { 1.0 } else { (self.total(now) / self.usual_total).max(1.0) }
    }

    /// True while any workspace is in a burst: the others share what it leaves.
    pub fn has_burst(&self) -> bool {
        !self.bursts.is_empty()
    }

    /// Decides whether a workspace begins a burst.
    fn detect_burst(&mut self, now: Millis, workspace: u32) {
        let known = self.since.is_some_and(|since| now >= since + MIN_HISTORY_MS);
        let usual = self.usual.get(&workspace).copied().unwrap_or_default();
        let is_new = !self.bursts.contains(&workspace) && self.bursts.len() < MAX_REPORTED;
        if known
            && is_new
            && self.is_over(now, workspace)
            && self.work(now, workspace) > BURST_FACTOR * self.growth(now) * usual
        {
            self.bursts.insert(workspace);
            self.news.push((workspace, true));
        }
    }

    /// Takes the bursts that have begun (true) or ended.
    pub fn take_news(&mut self) -> Vec<(u32, bool)> {
        std::mem::take(&mut self.news)
    }

    /// True while a workspace is in a burst.
    pub fn is_bursting(&self, now: Millis, workspace: u32) -> bool {
        self.bursts.contains(&workspace) && self.is_over(now, workspace)
    }

    /// Usage of this instance, for its peers.
    pub fn usage(&self, now: Millis) -> Usage {
        let mut largest: Vec<(u32, u32)> =
            self.own.iter().map(|(id, d)| (*id, d.at(now, DECAY_MS) as u32)).collect();
        largest.retain(|(_, work)| f64::from(*work) >= NEGLIGIBLE_WORK);
        let workspaces = largest.len() as u32;
        largest.sort_unstable_by_key(|(id, work)| (std::cmp::Reverse(*work), *id));
        largest.truncate(MAX_REPORTED);
        Usage { total: self.own_total.at(now, DECAY_MS) as u32, workspaces, largest }
    }

    /// Number of workspaces in the account.
    pub fn len(&self) -> usize {
        self.own.len()
    }

    /// True if no request was recorded recently.
    pub fn is_empty(&self) -> bool {
        self.own.is_empty()
    }

    /// Work of all workspaces in the fleet, in tokens.
    pub fn total(&self, now: Millis) -> f64 {
        self.own_total.at(now, DECAY_MS) + f64::from(self.peers_total) * self.peers_decay(now)
    }

    /// Work of a workspace in the fleet, in tokens.
    pub fn work(&self, now: Millis, workspace: u32) -> f64 {
        let own = self.own.get(&workspace).map_or(0.0, |d| d.at(now, DECAY_MS));
        let peers = self.peers.get(&workspace).copied().unwrap_or_default();
        own + f64::from(peers) * self.peers_decay(now)
    }

    fn peers_decay(&self, now: Millis) -> f64 {
        decay(now.saturating_sub(self.peers_at), DECAY_MS)
    }

    /// Equal share of the recent work for each active workspace, in tokens.
    pub fn share(&self, now: Millis) -> f64 {
        let listed = self.peers.keys().filter(|id| !self.own.contains_key(*id)).count();
        let active = (self.own.len() + listed).max(self.peers_known as usize);
        self.total(now) / active.max(1) as f64
    }

    /// Steps by which an amount of work exceeds a share; 0 if it doesn't.
    pub fn excess(work: f64, share: f64) -> u32 {
        if work <= share || share <= 0.0 {
            return 0;
        }
        (STEPS * (work / share).log2()).ceil() as u32
    }

    /// True if a workspace has had more than its share by over [`TOLERATED_STEPS`].
    pub fn is_over(&self, now: Millis, workspace: u32) -> bool {
        Self::excess(self.work(now, workspace), self.share(now)) > TOLERATED_STEPS
    }

    /// Notes that a request of this priority waits, here or at a peer, whose workspace is within its
    /// share.
    pub fn note_contention(&mut self, now: Millis, priority: u8) {
        let before = self.contention.filter(|c| now < c.until);
        if before.is_some_and(|c| c.priority < priority) {
            return;
        }
        self.contention = Some(Contention { until: now + CONTENTION_MS, priority });
    }

    /// How a request of a workspace yields to others.
    pub fn stance(&self, now: Millis, workspace: u32, priority: u8) -> Stance {
        let contention = self.contention.filter(|c| now < c.until);
        let Some(contention) = contention.filter(|_| mechanism::on(Mechanism::Fairness)) else {
            return Stance::Equal;
        };
        if self.is_bursting(now, workspace) {
            Stance::Last
        } else if self.has_burst()
            && contention.priority <= priority
            && self.is_over(now, workspace)
        {
            Stance::Yields
        } else {
            Stance::Equal
        }
    }
}

closed! {
    /// How a request of a workspace yields to those of workspaces within their share that wait.
    pub enum Stance {
        /// It doesn't.
        Equal,
        /// It leaves room at the endpoints for requests of the same or a higher priority.
        Yields,
        /// It comes after all of them, and leaves room like a request of the lowest priority: the
        /// burst of its workspace costs itself.
        Last,
    }
}

impl Stance {
    /// Fraction of an endpoint's limits that a request leaves free.
    pub fn reserve(self) -> f64 {
        match self {
            Self::Equal => 0.0,
            Self::Yields => RESERVE,
            Self::Last => BURST_RESERVE,
        }
    }

    /// Target gap of a request for its endpoint's load: the tight partition doesn't grow for bursts.
    pub fn gap(self, gap: u64) -> u64 {
        if self == Self::Last { 0 } else { gap }
    }

    /// Priority of a request at placement.
    pub fn priority(self, priority: u8) -> u8 {
        if self == Self::Last { u8::MAX } else { priority }
    }
}
