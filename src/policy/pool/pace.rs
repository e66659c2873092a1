//! Detection and ejection of endpoints with slow token rates, and migration of their streams.

use rand::Rng;

use super::{Notice, Pool, Running, SlowState};
use crate::adapter::clock::Millis;
use crate::config::Strategy;
use crate::mechanism::{self, Mechanism};
use crate::policy::JobId;
use crate::policy::endpoint::{Cause, Endpoint, Health, SLOW_RATIO};

/// An endpoint is ejected only while fewer endpoints are out of use than their total divided by
/// this, rounded up. A crashed endpoint is ejected in any case.
const EJECT_DIVISOR: usize = 3;
/// Endpoints with a known token gap that are needed before one can count as a straggler.
const MIN_GAP_ENDPOINTS: usize = 3;

impl Pool {
    /// Records the recent token gap of a stream from the endpoint, in milliseconds. An endpoint
    /// that is being probed and is still too slow is ejected again.
    pub fn record_gap(&mut self, now: Millis, endpoint: &str, gap: f64) {
        let limit = self.slow_limit(now).unwrap_or(f64::MAX);
        let Some(e) = self.endpoints.get_mut(endpoint) else { return };
        e.record_gap(gap);
        if gap > limit && matches!(e.health, Health::Probing { .. }) {
            self.eject_slow(now, endpoint);
        }
    }

    /// Ejects a straggler and marks its streams for migration. The jitter keeps the instances from
    /// probing it at the same time.
    pub(super) fn eject_slow(&mut self, now: Millis, endpoint: &str) {
        let jitter = 1.0 + self.rng.random::<f64>();
        if let Some(e) = self.endpoints.get_mut(endpoint) {
            e.eject(now, Cause::Slow);
            e.extend_ejection(now, jitter);
        }
        self.migrate_streams(now, endpoint);
        let endpoint = endpoint.to_owned();
        self.notices.push(Notice::Ejected { endpoint, cause: "slow" });
    }

    /// True while a peer has the endpoint ejected as slow, or is probing it.
    pub(super) fn slow_at_peer(&self, now: Millis, endpoint: &str) -> bool {
        self.fresh_peers(now).any(|p| match p.load.slow.get(endpoint) {
            Some(SlowState::Probing) => true,
            Some(SlowState::Until(until)) => *until > now,
            None => false,
        })
    }

    /// Average token gap of an endpoint in milliseconds, over this instance and its peers; `None`
    /// while unknown.
    pub(super) fn token_gap(&self, now: Millis, e: &Endpoint) -> Option<f64> {
        let peers = self.fresh_peers(now).filter_map(|p| p.load.token_gaps.get(&e.name).copied());
        let all: Vec<f64> = e.token_gap().into_iter().chain(peers).collect();
        (!all.is_empty()).then(|| all.iter().sum::<f64>() / all.len() as f64)
    }

    /// Token gap in milliseconds above which an endpoint is a straggler; `None` while the gap of
    /// fewer than [`MIN_GAP_ENDPOINTS`] endpoints is known.
    pub(super) fn slow_limit(&self, now: Millis) -> Option<f64> {
        let mut gaps: Vec<f64> =
            self.endpoints.values().filter_map(|e| self.token_gap(now, e)).collect();
        if gaps.len() < MIN_GAP_ENDPOINTS {
            return None;
        }
        gaps.sort_by(f64::total_cmp);
        Some(SLOW_RATIO * gaps[gaps.len() / 2])
    }

    /// Starts due probes, except of a slow endpoint that a peer has ejected or is probing, and
    /// ejects at most one straggler. To be called several times a second.
    pub fn tick(&mut self, now: Millis) {
        let blocked: Vec<bool> =
            self.endpoints.keys().map(|name| self.slow_at_peer(now, name)).collect();
        for (e, blocked) in self.endpoints.values_mut().zip(blocked) {
            let slow = matches!(e.health, Health::Ejected { cause: Cause::Slow, .. });
            if !(slow && blocked) {
                e.tick(now);
            }
        }
        if self.strategy != Strategy::Prioritized || !self.ejectable() {
            return;
        }
        let Some(limit) = self.slow_limit(now) else { return };
        let slow = |e: &&Endpoint| {
            e.health == Health::Up && self.token_gap(now, e).is_some_and(|s| s > limit)
        };
        if let Some(endpoint) = self.endpoints.values().find(slow).map(|e| e.name.clone()) {
            self.eject_slow(now, &endpoint);
        }
    }

    /// Marks streams on an endpoint for migration, the most urgent tier first, up to this
    /// instance's equal share of the free slots on the other endpoints.
    pub(super) fn migrate_streams(&mut self, now: Millis, endpoint: &str) {
        if !mechanism::on(Mechanism::Moves) {
            return;
        }
        let others = |e: &&Endpoint| e.available() && e.name != endpoint;
        let free =
            |e: &Endpoint| e.slots.saturating_sub(e.load(self.peer_load(now, &e.name), true));
        let free_slots: u32 = self.endpoints.values().filter(others).map(free).sum();
        let free_slots = free_slots as usize / (self.peers.len() + 1);
        let tier = |r: &Running| self.rules.get(&r.job.class).map_or(0, |rule| rule.tier);
        let mut ids: Vec<(u8, JobId)> = self
            .running
            .iter()
            .filter(|(_, r)| r.endpoint == endpoint)
            .map(|(id, r)| (tier(r), *id))
            .collect();
        ids.sort_unstable();
        for (_, id) in ids.into_iter().take(free_slots) {
            self.running[&id].migrate = true;
        }
    }

    /// True when a running stream should continue on another endpoint.
    pub fn should_migrate(&self, job: JobId) -> bool {
        self.running.get(&job).is_some_and(|r| r.migrate)
    }

    /// True when another endpoint may be ejected within the limit of [`EJECT_DIVISOR`].
    pub(super) fn ejectable(&self) -> bool {
        if !mechanism::on(Mechanism::Eject) {
            return false;
        }
        let unhealthy = |e: &&Endpoint| e.health != Health::Up;
        self.endpoints.values().filter(unhealthy).count()
            < self.endpoints.len().div_ceil(EJECT_DIVISOR)
    }
}
