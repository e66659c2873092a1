//! Load exchanged with peers, and this instance's share of slots, queue bounds and workspace
//! limits that is derived from it.

use super::{Load, PEER_MAX_AGE, Peer, Pool, SlowState};
use crate::adapter::clock::Millis;
use crate::mechanism::{self, Mechanism};
use crate::policy::endpoint::{Cause, Health};
use crate::policy::share::{self, Demand, Quota, ROTATION};

/// Age of a silent peer's last load in milliseconds up to which its demand still counts.
const DEMAND_MAX_AGE: u64 = 60_000;

impl Pool {
    /// Sets the ids of the instances that share the service. This instance's own id may be among
    /// them and is ignored.
    pub fn set_peers(&mut self, listed: &[u64]) {
        let own_id = self.own_id;
        self.peers.retain(|id, _| listed.contains(id));
        for id in listed.iter().filter(|id| **id != own_id) {
            self.peers.entry(*id).or_insert(None);
        }
    }

    /// Stores the load received from a peer.
    pub fn update_peer(&mut self, now: Millis, id: u64, load: Load) {
        if id != self.own_id {
            self.peers.insert(id, Some(Peer { received: now, load }));
        }
    }

    /// Removes a peer that has announced its end.
    pub fn remove_peer(&mut self, id: u64) {
        self.peers.swap_remove(&id);
    }

    /// Peers that are not silent: heard from within [`PEER_MAX_AGE`].
    pub(super) fn fresh_peers(&self, now: Millis) -> impl Iterator<Item = &Peer> {
        let fresh = move |p: &&Peer| now.saturating_sub(p.received) <= PEER_MAX_AGE;
        self.peers.values().flatten().filter(fresh)
    }

    /// Peers, with their ids, whose last load is at most [`DEMAND_MAX_AGE`] old.
    pub(super) fn recent_peers(&self, now: Millis) -> impl Iterator<Item = (u64, &Peer)> {
        let fresh = move |p: &&Peer| now.saturating_sub(p.received) <= DEMAND_MAX_AGE;
        self.peers.iter().filter_map(move |(id, p)| p.as_ref().filter(fresh).map(|p| (*id, p)))
    }

    /// Number of peers without a load recent enough to use.
    pub(super) fn unknown_peers(&self, now: Millis) -> u32 {
        (self.peers.len() - self.recent_peers(now).count()) as u32
    }

    /// Number of peers not heard from within [`PEER_MAX_AGE`].
    pub fn silent_peers(&self, now: Millis) -> usize {
        self.peers.len() - self.fresh_peers(now).count()
    }

    /// This instance's load, to be sent to the peers.
    pub fn load(&self) -> Load {
        let mut load = Load::default();
        for class in self.rules.keys() {
            let counts = (self.running_of(class), self.queue.len(class));
            if counts != (0, 0) {
                load.classes.insert(class.clone(), counts);
            }
        }
        for e in self.endpoints.values().filter(|e| e.running() > 0) {
            load.endpoints.insert(e.name.clone(), e.running());
            if e.suspects > 0 {
                load.suspects.insert(e.name.clone(), e.suspects);
            }
        }
        for e in self.endpoints.values() {
            load.token_gaps.extend(e.token_gap().map(|gap| (e.name.clone(), gap)));
        }
        for e in self.endpoints.values() {
            let state = match e.health {
                Health::Ejected { until, cause: Cause::Slow } => SlowState::Until(until),
                Health::Probing { busy: true, .. } => SlowState::Probing,
                _ => continue,
            };
            load.slow.insert(e.name.clone(), state);
        }
        for run in self.running.values() {
            let workspace = &run.job.workspace;
            if self.limits.get(workspace).is_some_and(|n| *n > 0) {
                *load.workspaces.entry(workspace.clone()).or_default() += 1;
            }
        }
        load
    }

    /// Requests of the peers on an endpoint.
    pub(super) fn peer_load(&self, now: Millis, endpoint: &str) -> u32 {
        self.fresh_peers(now).map(|p| p.load.endpoints.get(endpoint).copied().unwrap_or(0)).sum()
    }

    /// This instance's share of the service's slots. A silent peer counts with its last known
    /// demand; once that is too old, or if there never was one, an equal share of the slots is
    /// reserved for it.
    pub fn quota(&self, now: Millis) -> Quota {
        let all = self.slots();
        if !mechanism::on(Mechanism::Shares) {
            return Quota { spare: all, ..Quota::default() };
        }
        let reserve = all * self.unknown_peers(now) / (self.peers.len() as u32 + 1);
        let mut demand: Vec<(u64, Demand)> = vec![(self.own_id, self.demand())];
        for (id, peer) in self.recent_peers(now) {
            let sums = peer.load.classes.iter().map(|(c, (run, wait))| (c.clone(), run + wait));
            demand.push((id, sums.collect()));
        }
        demand.sort_by_key(|(id, _)| *id);
        let row = demand.iter().position(|(id, _)| *id == self.own_id).unwrap_or(0);
        let rows: Vec<Demand> = demand.into_iter().map(|(_, d)| d).collect();
        let mut quotas = share::divide(all - reserve, &self.rules, &rows, now / ROTATION);
        std::mem::take(&mut quotas[row])
    }

    /// This instance's running and queued requests by class.
    pub(super) fn demand(&self) -> Demand {
        let sum = |c: &String| self.running_of(c) + self.queue.len(c);
        self.rules.keys().map(|c| (c.clone(), sum(c))).collect()
    }

    /// True when a workspace has reached its limit of running requests. An equal share of the limit
    /// is reserved for each silent peer; one request is always allowed.
    pub(super) fn at_limit(&self, now: Millis, workspace: &str) -> bool {
        let Some(limit) = self.limits.get(workspace).copied().filter(|n| *n > 0) else {
            return false;
        };
        let others: u32 = self
            .fresh_peers(now)
            .map(|p| p.load.workspaces.get(workspace).copied().unwrap_or(0))
            .sum();
        let silent = self.silent_peers(now) as u32;
        let own = limit - limit * silent / (self.peers.len() as u32 + 1);
        self.running_for(workspace) + others >= own.max(1)
    }

    /// This instance's share of the queue bound of a class: what the peers' queues leave, and at
    /// least an equal share and one request. An equal share is reserved for each unknown peer.
    pub(super) fn queue_bound(&self, now: Millis, class: &str, queue: u32) -> u32 {
        let equal_share = queue / (self.peers.len() as u32 + 1);
        let waiting = |p: &Peer| p.load.classes.get(class).map_or(0, |(_, wait)| *wait);
        let known: u32 = self.recent_peers(now).map(|(_, p)| waiting(p)).sum();
        let others = known + equal_share * self.unknown_peers(now);
        queue.saturating_sub(others).max(equal_share).max(1)
    }
}
