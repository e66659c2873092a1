//! Choice of an endpoint for a job.

use indexmap::IndexMap;
use rand::Rng;
use xxhash_rust::xxh3::xxh3_64;

use super::{Admission, Peer, Pool, Weighed};
use crate::adapter::clock::Millis;
use crate::mechanism::{self, Mechanism};
use crate::policy::Job;
use crate::policy::endpoint::{Endpoint, Health};

/// Cost of leaving the own failure domain, in loads.
const DOMAIN_COST: f64 = 0.08;
/// What a likely cached prefix is worth, in loads.
const AFFINITY_GAIN: f64 = 0.3;
/// A preferred endpoint may be loaded up to this ratio of the mean.
const AFFINITY_BOUND: f64 = 1.25;
/// Endpoints drawn at random beside the preferred one.
const DRAWS: usize = 3;
/// How long one instance alone may place suspects on an endpoint, in milliseconds.
const SUSPECT_TURN: u64 = 2_000;
/// Start of that time in which nobody may, in milliseconds.
const SUSPECT_GUARD: u64 = 700;
/// Time that an endpoint waits for a patient request to be probed with, in milliseconds.
const PROBE_PATIENCE: u64 = 5_000;

/// An endpoint that may take a job.
#[derive(Debug)]
struct Candidate {
    name: String,
    load: f64,
    cost: f64,
}

impl Pool {
    /// Picks an endpoint for a job; the costs weighed come with it.
    pub(super) fn choose(
        &mut self,
        now: Millis,
        job: &Job,
        admission: Admission,
    ) -> Option<(String, Weighed)> {
        let open = self.usable(now, job, admission);
        if open.is_empty() {
            return None;
        }
        let mean = open.iter().map(|c| c.load).sum::<f64>() / open.len() as f64;
        let home = open
            .iter()
            .filter(|_| job.prefix != 0)
            .max_by_key(|c| xxh3_64(format!("{}/{}", job.prefix, c.name).as_bytes()))
            .filter(|c| c.load <= AFFINITY_BOUND * mean)
            .map(|c| c.name.clone());
        let mut weighed: Weighed = Vec::with_capacity(DRAWS + 1);
        if let Some(c) = open.iter().find(|c| Some(&c.name) == home.as_ref()) {
            weighed.push((c.name.clone(), c.cost - AFFINITY_GAIN));
        }
        let first = self.rng.random_range(0..open.len());
        for c in open.iter().cycle().skip(first).take(DRAWS.min(open.len())) {
            if Some(&c.name) != home.as_ref() {
                weighed.push((c.name.clone(), c.cost));
            }
        }
        weighed.sort_by(|a, b| a.1.total_cmp(&b.1));
        weighed.first().map(|(name, _)| (name.clone(), weighed.clone()))
    }

    /// Endpoints that may take the job, with their loads and costs.
    fn usable(&self, now: Millis, job: &Job, admission: Admission) -> Vec<Candidate> {
        let whole = self.silent_peers(now) == 0;
        let mut peers: IndexMap<&str, u32> = IndexMap::new();
        for (name, n) in self.fresh_peers(now).flat_map(|p| &p.load.endpoints) {
            *peers.entry(name).or_default() += n;
        }
        let all_silent = self.endpoints.values().all(|e| e.silent(now));
        let speed = |e: &Endpoint| self.speed(now, e);
        let gaps: Vec<f64> = self.endpoints.values().filter_map(speed).collect();
        let pace = gaps.iter().sum::<f64>() / gaps.len().max(1) as f64;
        let tier = self.rules.get(&job.class).map_or(0, |r| r.tier);
        let urgent = self.may_push(&job.class);
        let patient = self.rules.values().all(|r| r.tier <= tier);
        let fits = |e: &&Endpoint| {
            let probes = match e.health {
                Health::Probing { since, .. } => patient || now > since + PROBE_PATIENCE,
                _ => true,
            };
            probes
                && e.open()
                && (all_silent || !e.silent(now))
                && !(job.suspect && self.shared(now, e))
        };
        let mut open: Vec<Candidate> = Vec::new();
        for e in self.endpoints.values().filter(fits) {
            let load = e.load(peers.get(e.name.as_str()).copied().unwrap_or(0), whole);
            if load >= admission.cap(e.slots, urgent) {
                continue;
            }
            let filled = f64::from(load + 1) / f64::from(e.slots);
            let slow = speed(e).filter(|_| pace > 0.0).map_or(1.0, |s| (s / pace).max(1.0));
            let away = if e.domain == self.domain { 0.0 } else { DOMAIN_COST };
            let beside = 0.5 * f64::from(e.suspects);
            open.push(Candidate {
                name: e.name.clone(),
                load: f64::from(load) / f64::from(e.slots),
                cost: filled * slow + away + beside,
            });
        }
        if open.iter().any(|c| !job.avoid.contains(&c.name)) {
            open.retain(|c| !job.avoid.contains(&c.name));
        }
        open
    }

    /// True when a suspect on this endpoint might not be the only one. In each turn, one
    /// instance alone may place suspects on an endpoint; the start of a turn is left free, so
    /// that it has heard of suspects that run there still.
    fn shared(&self, now: Millis, e: &Endpoint) -> bool {
        if !mechanism::on(Mechanism::Isolation) {
            return false;
        }
        let mut ids: Vec<u64> = self.peers.keys().copied().chain([self.me]).collect();
        ids.sort_unstable();
        let turn = xxh3_64(e.name.as_bytes()).wrapping_add(now / SUSPECT_TURN);
        let owner = ids[(turn % ids.len() as u64) as usize];
        let placed = |p: &Peer| p.load.suspects.contains_key(&e.name);
        owner != self.me
            || (ids.len() > 1 && now % SUSPECT_TURN < SUSPECT_GUARD)
            || e.suspects > 0
            || self.fresh_peers(now).any(placed)
    }
}
