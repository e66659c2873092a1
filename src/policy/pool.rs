//! One service on one instance: its queue, its endpoints, and who runs next where.

use indexmap::IndexMap;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::xxh3_64;

use super::budget::Budget;
use super::endpoint::{Cause, Endpoint, Health, Report, SLOW_RATIO};
use super::length::Lengths;
use super::queue::{Entered, Queue};
use super::share::{self, Demand, Quota, ROTATION, Rule};
use super::{Job, JobId, Refusal};
use crate::adapter::clock::Millis;
use crate::config::{Class, Strategy};
use crate::mechanism::{self, Mechanism};

/// Age in milliseconds from which a peer's word is silent.
pub const PEER_MAX_AGE: u64 = 2_000;
/// Age in milliseconds up to which a silent peer's demand is taken to be as it last said.
const WORD_MEMORY: u64 = 60_000;
/// Cost of leaving the own failure domain, in loads.
const DOMAIN_COST: f64 = 0.08;
/// What a likely cached prefix is worth, in loads.
const AFFINITY_GAIN: f64 = 0.3;
/// A preferred endpoint may be loaded up to this ratio of the mean.
const AFFINITY_BOUND: f64 = 1.25;
/// Endpoints drawn at random beside the preferred one.
const DRAWS: usize = 3;
/// Largest part of a service that may be ejected at a time.
const EJECT_PART: usize = 3;
/// How long one instance alone may place suspects on an endpoint, in milliseconds.
const SUSPECT_TURN: u64 = 2_000;
/// Start of that time in which nobody may, in milliseconds.
const SUSPECT_GUARD: u64 = 700;
/// Time that an endpoint waits for a patient request to be probed with, in milliseconds.
const PROBE_PATIENCE: u64 = 5_000;
/// Endpoints whose speed must be known before one can be a straggler.
const SPEED_PEERS: usize = 3;
/// Lowest number that engines take as a priority; lower runs first.
pub const TOP_PRIORITY: u8 = 0;

data! {
    /// What an instance tells its peers about one service.
    #[derive(Default)]
    pub struct Load {
        /// Running and queued requests by class.
        pub classes: IndexMap<String, (u32, u32)>,
        /// Own requests by endpoint.
        pub endpoints: IndexMap<String, u32>,
        /// Running requests by workspace, where a limit holds.
        pub workspaces: IndexMap<String, u32>,
        /// Token gaps by endpoint, in milliseconds.
        pub paces: IndexMap<String, f64>,
        /// Endpoints out of use for their speed.
        pub slow: IndexMap<String, Out>,
        /// Suspect contents that run, by endpoint.
        pub suspects: IndexMap<String, u32>,
    }
}

closed! {
    /// State of an endpoint that is out of use.
    pub enum Out {
        /// Ejected until this time.
        Until(Millis),
        /// One request finds out.
        Probing,
    }
}

/// A peer as last heard.
#[derive(Debug, Clone)]
struct Peer {
    at: Millis,
    load: Load,
}

/// What happened to a request that came in.
#[derive(Debug, PartialEq)]
pub enum Arrival {
    /// It waits for a grant.
    Queued,
    /// It was refused.
    Refused(Refusal),
    /// It waits, and this one was refused for it.
    Displaced(JobId),
}

/// What to do next.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Send the job to the endpoint.
    Grant(Grant),
    /// Tell the caller that the job was not run.
    Refuse(JobId, Refusal),
    /// Nothing until the next event.
    Wait,
}

/// A job's permission to run.
#[derive(Debug, Clone, PartialEq)]
pub struct Grant {
    /// The job.
    pub job: JobId,
    /// Endpoint's name.
    pub endpoint: String,
    /// Endpoint's address.
    pub addr: String,
    /// Endpoint's life at this time; empty while unknown.
    pub boot: String,
    /// Priority for the engine.
    pub priority: u8,
    /// Endpoints weighed, with their costs.
    pub weighed: Weighed,
}

/// How a granted job ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Outcome {
    /// Whole answer; average token gap in milliseconds if it streamed.
    Good { gap: Option<f64> },
    /// The endpoint failed.
    Bad,
    /// The endpoint crashed.
    Crashed,
    /// The endpoint said that it takes no new work.
    Draining,
    /// It says nothing of the endpoint.
    Neutral,
}

/// A change in an endpoint's use that operators want to know.
#[derive(Debug, Clone, PartialEq)]
pub enum Notice {
    /// An endpoint was ejected.
    Ejected { endpoint: String, cause: &'static str },
    /// An ejected endpoint is in use again.
    Restored { endpoint: String },
    /// An endpoint is leaving.
    Leaving { endpoint: String },
}

#[derive(Debug)]
struct Running {
    job: Job,
    endpoint: String,
    since: Millis,
    /// True once it should go on at another endpoint.
    moving: bool,
}

/// State and decisions of one service on one instance.
pub struct Pool {
    domain: String,
    strategy: Strategy,
    classes: IndexMap<String, Class>,
    rules: IndexMap<String, Rule>,
    limits: IndexMap<String, u32>,
    queue: Queue,
    running: IndexMap<JobId, Running>,
    endpoints: IndexMap<String, Endpoint>,
    peers: IndexMap<u64, Option<Peer>>,
    me: u64,
    budgets: IndexMap<String, Budget>,
    lengths: Lengths,
    notices: Vec<Notice>,
    rng: ChaCha8Rng,
}

impl Pool {
    /// An empty pool for the instance `me` in `domain`.
    pub fn new(me: u64, domain: &str, strategy: Strategy, seed: u64) -> Self {
        Self {
            domain: domain.to_owned(),
            strategy,
            classes: IndexMap::new(),
            rules: IndexMap::new(),
            limits: IndexMap::new(),
            queue: Queue::default(),
            running: IndexMap::new(),
            endpoints: IndexMap::new(),
            peers: IndexMap::new(),
            me,
            budgets: IndexMap::new(),
            lengths: Lengths::default(),
            notices: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Takes over classes and workspace limits of a configuration.
    pub fn configure(&mut self, classes: &IndexMap<String, Class>, limits: IndexMap<String, u32>) {
        let rule =
            |c: &Class| Rule { tier: c.tier, weight: c.params.weight, share: c.params.share };
        self.rules = classes.iter().map(|(n, c)| (n.clone(), rule(c))).collect();
        self.classes = classes.clone();
        self.limits = limits;
    }

    /// Takes over the endpoints of the instance list: name, address, domain, leaving. Endpoints
    /// that are gone are dropped once nothing of ours runs on them.
    pub fn members(&mut self, list: &[(String, String, String, bool)], slots: u32) {
        for (name, addr, domain, leaving) in list {
            let fresh = || Endpoint::new(name, addr, domain, slots);
            let e = self.endpoints.entry(name.clone()).or_insert_with(fresh);
            if e.addr != *addr {
                *e = fresh();
            }
            e.slots = slots;
            if *leaving && !e.leaving {
                self.notices.push(Notice::Leaving { endpoint: name.clone() });
            }
            e.leaving |= *leaving;
        }
        let listed = |name: &str| list.iter().any(|(n, ..)| n == name);
        for e in self.endpoints.values_mut() {
            e.leaving |= !listed(&e.name);
        }
        self.endpoints.retain(|name, e| listed(name) || e.running() > 0);
    }

    /// Takes in an endpoint's load report.
    pub fn report(&mut self, now: Millis, endpoint: &str, report: Report) {
        let Some(e) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        let before = e.leaving;
        let draining = report.draining && mechanism::on(Mechanism::Leavers);
        e.heard(now, Report { draining, ..report });
        if e.leaving && !before {
            self.notices.push(Notice::Leaving { endpoint: endpoint.to_owned() });
        }
    }

    /// A peer says that the endpoint, in the life `boot`, is leaving.
    pub fn leaving(&mut self, endpoint: &str, boot: &str) {
        let Some(e) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        let same = e.boot() == boot || e.boot().is_empty();
        if !e.leaving && same && mechanism::on(Mechanism::Leavers) {
            e.leaving = true;
            self.notices.push(Notice::Leaving { endpoint: endpoint.to_owned() });
        }
    }

    /// Endpoints known to be leaving, with their lives.
    pub fn leavers(&self) -> Vec<(String, String)> {
        let leavers = self.endpoints.values().filter(|e| e.leaving);
        leavers.map(|e| (e.name.clone(), e.boot().to_owned())).collect()
    }

    /// Sets which instances share the service, by number; the own one may be among them.
    pub fn mates(&mut self, listed: &[u64]) {
        let me = self.me;
        self.peers.retain(|id, _| listed.contains(id));
        for id in listed.iter().filter(|id| **id != me) {
            self.peers.entry(*id).or_insert(None);
        }
    }

    /// Takes in a peer's word.
    pub fn peer(&mut self, now: Millis, id: u64, load: Load) {
        if id != self.me {
            self.peers.insert(id, Some(Peer { at: now, load }));
        }
    }

    /// A peer said that it has ended.
    pub fn forget(&mut self, id: u64) {
        self.peers.swap_remove(&id);
    }

    fn heard(&self, now: Millis) -> impl Iterator<Item = &Peer> {
        let fresh = move |p: &&Peer| now.saturating_sub(p.at) <= PEER_MAX_AGE;
        self.peers.values().flatten().filter(fresh)
    }

    /// Peers whose last word is not too old to count.
    fn remembered(&self, now: Millis) -> impl Iterator<Item = (u64, &Peer)> {
        let fresh = move |p: &&Peer| now.saturating_sub(p.at) <= WORD_MEMORY;
        self.peers.iter().filter_map(move |(id, p)| p.as_ref().filter(fresh).map(|p| (*id, p)))
    }

    /// Number of peers of whom nothing is known.
    fn unknown(&self, now: Millis) -> u32 {
        (self.peers.len() - self.remembered(now).count()) as u32
    }

    /// Number of peers that are silent.
    pub fn silent(&self, now: Millis) -> usize {
        self.peers.len() - self.heard(now).count()
    }

    /// The own word for the peers.
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
            load.paces.extend(e.speed().map(|gap| (e.name.clone(), gap)));
        }
        for e in self.endpoints.values() {
            let out = match e.health {
                Health::Ejected { until, cause: Cause::Slow } => Out::Until(until),
                Health::Probing { busy: true, .. } => Out::Probing,
                _ => continue,
            };
            load.slow.insert(e.name.clone(), out);
        }
        for run in self.running.values() {
            let workspace = &run.job.workspace;
            if self.limits.get(workspace).is_some_and(|n| *n > 0) {
                *load.workspaces.entry(workspace.clone()).or_default() += 1;
            }
        }
        load
    }

    /// Changes since the last call.
    pub fn notices(&mut self) -> Vec<Notice> {
        std::mem::take(&mut self.notices)
    }

    /// Endpoints as known now.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }

    /// Number of jobs that wait.
    pub fn waiting(&self) -> usize {
        self.queue.total()
    }

    /// Number of jobs that run.
    pub fn in_flight(&self) -> usize {
        self.running.len()
    }

    fn running_of(&self, class: &str) -> u32 {
        self.running.values().filter(|r| r.job.class == class).count() as u32
    }

    fn running_for(&self, workspace: &str) -> u32 {
        self.running.values().filter(|r| r.job.workspace == workspace).count() as u32
    }

    fn slots(&self) -> u32 {
        self.endpoints.values().filter(|e| e.open()).map(|e| e.slots).sum()
    }

    /// A request comes in, for the first time or for another attempt.
    pub fn arrive(&mut self, now: Millis, job: Job) -> Arrival {
        let Some(class) = self.classes.get(&job.class) else {
            return Arrival::Refused(Refusal::NoEndpoint);
        };
        let params = class.params;
        let first = job.avoid.is_empty();
        if first {
            self.budgets.entry(job.class.clone()).or_default().earn(params.retry_ratio);
        }
        let hopeless = first && !class.protected && self.strategy == Strategy::Ours;
        if hopeless && now as f64 + self.expected_wait(now, &job) > job.deadline as f64 {
            return Arrival::Refused(Refusal::TooLate);
        }
        let bound = if first { self.bound(now, &job.class, params.queue) } else { u32::MAX };
        match self.queue.enter(job, bound) {
            Entered::Waiting => Arrival::Queued,
            Entered::Displaced(gone) => Arrival::Displaced(gone.id),
            Entered::Full(job) if self.limited(now, &job.workspace) => {
                tracing::debug!("pool: workspace {} is at its limit.", job.workspace);
                Arrival::Refused(Refusal::WorkspaceLimit)
            }
            Entered::Full(_) => Arrival::Refused(Refusal::QueueFull),
        }
    }

    /// Own part of a class's queue bound: what the others leave, at least an equal part.
    fn bound(&self, now: Millis, class: &str, queue: u32) -> u32 {
        let part = queue / (self.peers.len() as u32 + 1);
        let waiting = |p: &Peer| p.load.classes.get(class).map_or(0, |(_, wait)| *wait);
        let known: u32 = self.remembered(now).map(|(_, p)| waiting(p)).sum();
        let others = known + part * self.unknown(now);
        queue.saturating_sub(others).max(part).max(1)
    }

    /// Expected time in milliseconds until a slot is free for one more job of its class.
    fn expected_wait(&self, now: Millis, job: &Job) -> f64 {
        let ahead = f64::from(self.queue.len(&job.class));
        let each = self.lengths.of_class(&job.class);
        let lanes = f64::from(self.room(&self.quota(now), &job.class).max(1));
        each * ahead / lanes
    }

    /// Slots that a class may fill on this instance.
    fn room(&self, quota: &Quota, class: &str) -> u32 {
        quota.slots.get(class).copied().unwrap_or(0) + quota.spare
    }

    /// Takes a retry out of the class's budget; false when none is left.
    pub fn may_retry(&mut self, class: &str) -> bool {
        let paid = self.budgets.entry(class.to_owned()).or_default().take();
        paid || !mechanism::on(Mechanism::Budget)
    }

    /// A waiting job is no longer wanted. Returns false when it was granted before.
    pub fn cancel(&mut self, job: JobId) -> bool {
        self.queue.remove(job).is_some()
    }

    /// A granted job ended.
    pub fn done(&mut self, now: Millis, job: JobId, outcome: Outcome) {
        let Some(run) = self.running.swap_remove(&job) else {
            invariant!(false, "job {job} ended but did not run");
            return;
        };
        if let Outcome::Good { .. } = outcome {
            let ms = now.saturating_sub(run.since) as f64;
            self.lengths.learn(&run.job.class, &run.job.workspace, ms);
        }
        let ejectable = self.ejectable();
        let limit = self.slow_limit(now).unwrap_or(f64::MAX);
        let Some(e) = self.endpoints.get_mut(&run.endpoint) else {
            return;
        };
        e.end(&run.job.class, run.job.suspect);
        let endpoint = run.endpoint;
        match outcome {
            Outcome::Good { gap } => {
                let slow = gap.is_some_and(|g| g > limit) && ejectable;
                if slow && matches!(e.health, Health::Probing { .. }) {
                    self.slow(now, &endpoint);
                } else if e.good() {
                    self.notices.push(Notice::Restored { endpoint });
                }
            }
            Outcome::Bad if e.bad() && ejectable => {
                e.eject(now, Cause::Faults);
                self.notices.push(Notice::Ejected { endpoint, cause: "faults" });
            }
            Outcome::Crashed => {
                if e.health == Health::Up {
                    self.notices.push(Notice::Ejected { endpoint, cause: "crash" });
                }
                e.eject(now, Cause::Faults);
            }
            Outcome::Draining if !e.leaving => {
                e.leaving = true;
                self.notices.push(Notice::Leaving { endpoint });
            }
            Outcome::Neutral => e.unproven(),
            Outcome::Bad | Outcome::Draining => {}
        }
    }

    /// True when one more endpoint may be ejected.
    fn ejectable(&self) -> bool {
        if !mechanism::on(Mechanism::Eject) {
            return false;
        }
        let out = |e: &&Endpoint| e.health != Health::Up;
        self.endpoints.values().filter(out).count() < self.endpoints.len().div_ceil(EJECT_PART)
    }

    /// A stream from the endpoint has this token gap of late, in milliseconds.
    pub fn pace(&mut self, now: Millis, endpoint: &str, gap: f64) {
        let limit = self.slow_limit(now).unwrap_or(f64::MAX);
        let Some(e) = self.endpoints.get_mut(endpoint) else { return };
        e.pace(gap);
        if gap > limit && matches!(e.health, Health::Probing { .. }) {
            self.slow(now, endpoint);
        }
    }

    /// Takes a straggler out of use.
    fn slow(&mut self, now: Millis, endpoint: &str) {
        let jitter = 1.0 + self.rng.random::<f64>();
        if let Some(e) = self.endpoints.get_mut(endpoint) {
            e.eject(now, Cause::Slow);
            e.prolong(now, jitter);
        }
        self.move_off(now, endpoint);
        let endpoint = endpoint.to_owned();
        self.notices.push(Notice::Ejected { endpoint, cause: "slow" });
    }

    /// True when a peer knows the endpoint to be slow still, or is finding out.
    fn held_off(&self, now: Millis, endpoint: &str) -> bool {
        self.heard(now).any(|p| match p.load.slow.get(endpoint) {
            Some(Out::Probing) => true,
            Some(Out::Until(until)) => *until > now,
            None => false,
        })
    }

    /// Average token gap of an endpoint, by own and peers' streams.
    fn speed(&self, now: Millis, e: &Endpoint) -> Option<f64> {
        let peers = self.heard(now).filter_map(|p| p.load.paces.get(&e.name).copied());
        let all: Vec<f64> = e.speed().into_iter().chain(peers).collect();
        (!all.is_empty()).then(|| all.iter().sum::<f64>() / all.len() as f64)
    }

    /// Token gap from which an endpoint is a straggler; `None` while too few are known.
    fn slow_limit(&self, now: Millis) -> Option<f64> {
        let mut speeds: Vec<f64> =
            self.endpoints.values().filter_map(|e| self.speed(now, e)).collect();
        if speeds.len() < SPEED_PEERS {
            return None;
        }
        speeds.sort_by(f64::total_cmp);
        Some(SLOW_RATIO * speeds[speeds.len() / 2])
    }

    /// Time passed: probes and stragglers. Call a few times a second.
    pub fn tick(&mut self, now: Millis) {
        let held: Vec<bool> = self.endpoints.keys().map(|name| self.held_off(now, name)).collect();
        for (e, held) in self.endpoints.values_mut().zip(held) {
            let slow = matches!(e.health, Health::Ejected { cause: Cause::Slow, .. });
            if !(slow && held) {
                e.tick(now);
            }
        }
        if self.strategy != Strategy::Ours || !self.ejectable() {
            return;
        }
        let Some(limit) = self.slow_limit(now) else { return };
        let slow =
            |e: &&Endpoint| e.health == Health::Up && self.speed(now, e).is_some_and(|s| s > limit);
        if let Some(endpoint) = self.endpoints.values().find(slow).map(|e| e.name.clone()) {
            self.slow(now, &endpoint);
        }
    }

    /// Marks streams on an endpoint to go on elsewhere, the most urgent first, as far as there
    /// are free slots.
    fn move_off(&mut self, now: Millis, endpoint: &str) {
        if !mechanism::on(Mechanism::Moves) {
            return;
        }
        let others = |e: &&Endpoint| e.open() && e.name != endpoint;
        let free =
            |e: &Endpoint| e.slots.saturating_sub(e.load(self.peer_work(now, &e.name), true));
        let room: u32 = self.endpoints.values().filter(others).map(free).sum();
        let room = room as usize / (self.peers.len() + 1);
        let tier = |r: &Running| self.rules.get(&r.job.class).map_or(0, |rule| rule.tier);
        let mut ids: Vec<(u8, JobId)> = self
            .running
            .iter()
            .filter(|(_, r)| r.endpoint == endpoint)
            .map(|(id, r)| (tier(r), *id))
            .collect();
        ids.sort_unstable();
        for (_, id) in ids.into_iter().take(room) {
            self.running[&id].moving = true;
        }
    }

    /// True when a running stream should go on at another endpoint.
    pub fn moving(&self, job: JobId) -> bool {
        self.running.get(&job).is_some_and(|r| r.moving)
    }

    fn peer_work(&self, now: Millis, endpoint: &str) -> u32 {
        self.heard(now).map(|p| p.load.endpoints.get(endpoint).copied().unwrap_or(0)).sum()
    }

    /// Own part of the service's slots. A silent peer's demand counts as it last was; after a
    /// while, or if it was never heard, an equal part is kept for it.
    pub fn quota(&self, now: Millis) -> Quota {
        let all = self.slots();
        if !mechanism::on(Mechanism::Shares) {
            return Quota { spare: all, ..Quota::default() };
        }
        let reserve = all * self.unknown(now) / (self.peers.len() as u32 + 1);
        let mut demand: Vec<(u64, Demand)> = vec![(self.me, self.demand())];
        for (id, peer) in self.remembered(now) {
            let sums = peer.load.classes.iter().map(|(c, (run, wait))| (c.clone(), run + wait));
            demand.push((id, sums.collect()));
        }
        demand.sort_by_key(|(id, _)| *id);
        let row = demand.iter().position(|(id, _)| *id == self.me).unwrap_or(0);
        let rows: Vec<Demand> = demand.into_iter().map(|(_, d)| d).collect();
        let mut grid = share::divide(all - reserve, &self.rules, &rows, now / ROTATION);
        std::mem::take(&mut grid[row])
    }

    fn demand(&self) -> Demand {
        let sum = |c: &String| self.running_of(c) + self.queue.len(c);
        self.rules.keys().map(|c| (c.clone(), sum(c))).collect()
    }

    fn limited(&self, now: Millis, workspace: &str) -> bool {
        let Some(limit) = self.limits.get(workspace).copied().filter(|n| *n > 0) else {
            return false;
        };
        let others: u32 =
            self.heard(now).map(|p| p.load.workspaces.get(workspace).copied().unwrap_or(0)).sum();
        let silent = self.silent(now) as u32;
        let own = limit - limit * silent / (self.peers.len() as u32 + 1);
        self.running_for(workspace) + others >= own.max(1)
    }

    /// Decides one thing to do. Call again until it says [`Step::Wait`].
    pub fn next(&mut self, now: Millis) -> Step {
        if let Some(job) = self.queue.take_if(|j| j.deadline <= now) {
            return Step::Refuse(job.id, Refusal::TooLate);
        }
        match self.strategy {
            Strategy::Ours => self.next_ours(now),
            Strategy::Random | Strategy::Least => self.next_baseline(now),
        }
    }

    fn next_baseline(&mut self, now: Millis) -> Step {
        let Some(job) = self.queue.oldest() else {
            return Step::Wait;
        };
        let open: Vec<&Endpoint> =
            self.endpoints.values().filter(|e| e.open() && !job.avoid.contains(&e.name)).collect();
        let id = job.id;
        let chosen = match self.strategy {
            Strategy::Least => open.iter().min_by_key(|e| e.reported()),
            _ if open.is_empty() => None,
            _ => open.get(self.rng.random_range(0..open.len())),
        };
        let Some(name) = chosen.map(|e| e.name.clone()) else {
            return Step::Wait;
        };
        self.grant(now, id, &name, TOP_PRIORITY, Vec::new())
    }

    fn next_ours(&mut self, now: Millis) -> Step {
        if self.queue.total() == 0 {
            return Step::Wait;
        }
        let quota = self.quota(now);
        for (class, lane) in self.lanes(&quota) {
            let Some(job) = self.best(now, &class) else {
                continue;
            };
            let (id, priority) = (job.id, self.priority(&class, lane));
            let Some((name, weighed)) = self.choose(now, &job, lane) else {
                continue;
            };
            return self.grant(now, id, &name, priority, weighed);
        }
        Step::Wait
    }

    /// Best job of a class whose workspace is below its limit.
    fn best(&self, now: Millis, class: &str) -> Option<Job> {
        let ranked = self.queue.ranked(class, now, |w| self.running_for(w));
        ranked.into_iter().find(|j| !self.limited(now, &j.workspace)).cloned()
    }

    fn priority(&self, class: &str, lane: Lane) -> u8 {
        match lane {
            Lane::Floor => TOP_PRIORITY,
            Lane::Quota | Lane::Over => self.classes[class].tier,
        }
    }

    /// True when a class may go past its part and past a full batch.
    fn may_push(&self, class: &str) -> bool {
        let urgent = self.classes.get(class).is_some_and(|c| c.tier == 0 || c.protected);
        urgent && mechanism::on(Mechanism::Over)
    }

    /// Classes that may start a job now, the most urgent first.
    fn lanes(&self, quota: &Quota) -> Vec<(String, Lane)> {
        let part = |map: &IndexMap<String, u32>, class: &str| map.get(class).copied().unwrap_or(0);
        let excess =
            |class: &String| self.running_of(class).saturating_sub(part(&quota.slots, class));
        let spare_used: u32 = self.rules.keys().map(excess).sum();
        let mut lanes = Vec::new();
        for class in self.rules.keys() {
            if self.queue.len(class) == 0 {
                continue;
            }
            let running = self.running_of(class);
            let lane = if running < part(&quota.floor, class) {
                Lane::Floor
            } else if running < part(&quota.slots, class) || spare_used < quota.spare {
                Lane::Quota
            } else if self.may_push(class) {
                Lane::Over
            } else {
                continue;
            };
            lanes.push((class.clone(), lane));
        }
        lanes.sort_by_cached_key(|(class, lane)| {
            (*lane == Lane::Over, self.rules[class].tier, self.queue.urgency(class))
        });
        lanes
    }

    /// Picks an endpoint for a job; the costs weighed come with it.
    fn choose(&mut self, now: Millis, job: &Job, lane: Lane) -> Option<(String, Weighed)> {
        let open = self.usable(now, job, lane);
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
    fn usable(&self, now: Millis, job: &Job, lane: Lane) -> Vec<Candidate> {
        let whole = self.silent(now) == 0;
        let mut peers: IndexMap<&str, u32> = IndexMap::new();
        for (name, n) in self.heard(now).flat_map(|p| &p.load.endpoints) {
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
            if load >= lane.cap(e.slots, urgent) {
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
            || self.heard(now).any(placed)
    }

    fn grant(
        &mut self,
        now: Millis,
        id: JobId,
        endpoint: &str,
        priority: u8,
        weighed: Weighed,
    ) -> Step {
        let Some(job) = self.queue.remove(id) else {
            return Step::Wait;
        };
        let e = &mut self.endpoints[endpoint];
        invariant!(e.open(), "job {id} granted to {endpoint}, which takes no work");
        e.start(&job.class, job.suspect);
        let grant = Grant {
            job: id,
            endpoint: endpoint.to_owned(),
            addr: e.addr.clone(),
            boot: e.boot().to_owned(),
            priority,
            weighed,
        };
        self.running
            .insert(id, Running { job, endpoint: endpoint.to_owned(), since: now, moving: false });
        Step::Grant(grant)
    }
}

/// Endpoints weighed and their costs.
pub type Weighed = Vec<(String, f64)>;

/// An endpoint that may take a job.
#[derive(Debug)]
struct Candidate {
    name: String,
    load: f64,
    cost: f64,
}

/// On what ground a class may start one more job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Lane {
    /// Its guaranteed share is not filled.
    Floor,
    /// Its part of the slots is not filled.
    Quota,
    /// It is urgent and may make an engine preempt patient work.
    Over,
}

impl Lane {
    /// Load up to which an endpoint of `slots` takes a job on this ground. Urgent jobs make the
    /// engine preempt patient ones, so a full batch doesn't hold them up.
    fn cap(self, slots: u32, urgent: bool) -> u32 {
        match self {
            _ if urgent => slots + slots.div_ceil(2),
            Self::Floor => slots + 1,
            Self::Quota | Self::Over => slots,
        }
    }
}
