//! Endpoint selection for a job: prefix affinity with a load bound, and random choices by cost.
//!
//! Loads and costs are fractions of an endpoint's slots: 1.0 is a full endpoint.

use indexmap::IndexMap;
use rand::Rng;
use xxhash_rust::xxh3::xxh3_64;

use super::{Admission, Costs, Peer, Pool};
use crate::adapter::clock::Millis;
use crate::mechanism::{self, Mechanism};
use crate::policy::Job;
use crate::policy::endpoint::{Endpoint, Health};

/// Cost of an endpoint outside this instance's failure domain, as a fraction of its slots.
const DOMAIN_COST: f64 = 0.08;
/// Cost reduction for the endpoint that probably has the prompt prefix cached, as a fraction of
/// its slots.
const AFFINITY_GAIN: f64 = 0.3;
/// Ratio to the mean load up to which the preferred endpoint is considered.
const AFFINITY_BOUND: f64 = 1.25;
/// Endpoints considered at random in addition to the preferred one.
const RANDOM_CHOICES: usize = 3;
/// Time slice during which only one instance may send suspects to an endpoint, in milliseconds.
const SUSPECT_SLICE: u64 = 2_000;
/// Guard interval at the start of a slice, in milliseconds: no instance may send suspects then.
const SUSPECT_GUARD: u64 = 700;
/// How long an endpoint that is probing waits for a request of the least urgent tier, in
/// milliseconds. After that, any request may be the probe.
const PROBE_WAIT: u64 = 5_000;

/// An endpoint that may be given the job.
#[derive(Debug)]
struct Candidate {
    name: String,
    load: f64,
    cost: f64,
}

impl Pool {
    /// Selects the cheapest of the endpoints considered: the one preferred for the job's prompt
    /// prefix (rendezvous hashing) and [`RANDOM_CHOICES`] consecutive ones from a random start.
    /// Also returns the costs of those considered, the cheapest first.
    pub(super) fn choose(
        &mut self,
        now: Millis,
        job: &Job,
        admission: Admission,
    ) -> Option<(String, Costs)> {
        let candidates = self.candidates(now, job, admission);
        if candidates.is_empty() {
            return None;
        }
        let mean = candidates.iter().map(|c| c.load).sum::<f64>() / candidates.len() as f64;
        let preferred = candidates
            .iter()
            .filter(|_| job.prefix != 0)
            .max_by_key(|c| xxh3_64(format!("{}/{}", job.prefix, c.name).as_bytes()))
            .filter(|c| c.load <= AFFINITY_BOUND * mean)
            .map(|c| c.name.clone());
        let mut costs: Costs = Vec::with_capacity(RANDOM_CHOICES + 1);
        if let Some(c) = candidates.iter().find(|c| Some(&c.name) == preferred.as_ref()) {
            costs.push((c.name.clone(), c.cost - AFFINITY_GAIN));
        }
        let first = self.rng.random_range(0..candidates.len());
        for c in candidates.iter().cycle().skip(first).take(RANDOM_CHOICES.min(candidates.len())) {
            if Some(&c.name) != preferred.as_ref() {
                costs.push((c.name.clone(), c.cost));
            }
        }
        costs.sort_by(|a, b| a.1.total_cmp(&b.1));
        costs.first().map(|(name, _)| (name.clone(), costs.clone()))
    }

    /// Endpoints that may be given the job, with their loads and costs. Silent endpoints are left
    /// out unless all are silent; endpoints that failed the job before, unless no others are left.
    fn candidates(&self, now: Millis, job: &Job, admission: Admission) -> Vec<Candidate> {
        let complete = self.silent_peers(now) == 0;
        let mut peers: IndexMap<&str, u32> = IndexMap::new();
        for (name, n) in self.fresh_peers(now).flat_map(|p| &p.load.endpoints) {
            *peers.entry(name).or_default() += n;
        }
        let all_silent = self.endpoints.values().all(|e| e.silent(now));
        let token_gap = |e: &Endpoint| self.token_gap(now, e);
        let gaps: Vec<f64> = self.endpoints.values().filter_map(token_gap).collect();
        let mean_gap = gaps.iter().sum::<f64>() / gaps.len().max(1) as f64;
        let tier = self.rules.get(&job.class).map_or(0, |r| r.tier);
        let urgent = self.may_exceed_quota(&job.class);
        let lowest = self.rules.values().all(|r| r.tier <= tier);
        let fits = |e: &&Endpoint| {
            let probe_ok = match e.health {
                Health::Probing { since, .. } => lowest || now > since + PROBE_WAIT,
                _ => true,
            };
            probe_ok
                && e.available()
                && (all_silent || !e.silent(now))
                && !(job.suspect && self.suspect_blocked(now, e))
        };
        let mut candidates: Vec<Candidate> = Vec::new();
        for e in self.endpoints.values().filter(fits) {
            let load = e.load(peers.get(e.name.as_str()).copied().unwrap_or(0), complete);
            if load >= admission.cap(e.slots, urgent) {
                continue;
            }
            let occupancy = f64::from(load + 1) / f64::from(e.slots);
            let slowdown =
                token_gap(e).filter(|_| mean_gap > 0.0).map_or(1.0, |s| (s / mean_gap).max(1.0));
            let domain_cost = if e.domain == self.domain { 0.0 } else { DOMAIN_COST };
            let suspect_cost = 0.5 * f64::from(e.suspects);
            candidates.push(Candidate {
                name: e.name.clone(),
                load: f64::from(load) / f64::from(e.slots),
                cost: occupancy * slowdown + domain_cost + suspect_cost,
            });
        }
        if candidates.iter().any(|c| !job.avoid.contains(&c.name)) {
            candidates.retain(|c| !job.avoid.contains(&c.name));
        }
        candidates
    }

    /// True when a suspect must not be sent to this endpoint, because another one may be running
    /// there. In each time slice, only one instance may send suspects to an endpoint. During
    /// the guard interval at its start none may, so that the next instance has heard by then of
    /// suspects that are still running.
    fn suspect_blocked(&self, now: Millis, e: &Endpoint) -> bool {
        if !mechanism::on(Mechanism::Isolation) {
            return false;
        }
        let mut ids: Vec<u64> = self.peers.keys().copied().chain([self.own_id]).collect();
        ids.sort_unstable();
        let slice = xxh3_64(e.name.as_bytes()).wrapping_add(now / SUSPECT_SLICE);
        let owner = ids[(slice % ids.len() as u64) as usize];
        let has_suspect = |p: &Peer| p.load.suspects.contains_key(&e.name);
        owner != self.own_id
            || (ids.len() > 1 && now % SUSPECT_SLICE < SUSPECT_GUARD)
            || e.suspects > 0
            || self.fresh_peers(now).any(has_suspect)
    }
}
