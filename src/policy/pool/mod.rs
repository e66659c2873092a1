//! One service on one instance: its queue, its endpoints, and who runs next where.

mod pace;
mod pick;
mod view;

use indexmap::IndexMap;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::adapter::clock::Millis;
use crate::config::{Class, Strategy};
use crate::mechanism::{self, Mechanism};
use crate::policy::budget::Budget;
use crate::policy::endpoint::{Cause, Endpoint, Health, Report};
use crate::policy::length::Lengths;
use crate::policy::queue::{Entered, Queue};
use crate::policy::share::{Quota, Rule};
use crate::policy::{Job, JobId, Refusal};

/// Age in milliseconds from which a peer's word is silent.
pub const PEER_MAX_AGE: u64 = 2_000;
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
        #[serde(rename = "paces")]
        pub token_gaps: IndexMap<String, f64>,
        /// Endpoints out of use for their speed.
        pub slow: IndexMap<String, SlowState>,
        /// Suspect contents that run, by endpoint.
        pub suspects: IndexMap<String, u32>,
    }
}

closed! {
    /// State of an endpoint that is out of use.
    pub enum SlowState {
        /// Ejected until this time.
        Until(Millis),
        /// One request finds out.
        Probing,
    }
}

/// A peer as last heard.
#[derive(Debug, Clone)]
struct Peer {
    received: Millis,
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
    /// Endpoints considered, with their costs.
    pub costs: Costs,
}

/// How a granted job ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Outcome {
    /// Whole answer; average token gap in milliseconds if it streamed.
    Succeeded { gap: Option<f64> },
    /// The endpoint failed.
    Failed,
    /// The endpoint crashed.
    Crashed,
    /// The endpoint said that it takes no new work.
    Draining,
    /// It says nothing of the endpoint.
    Inconclusive,
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
    migrate: bool,
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
    own_id: u64,
    budgets: IndexMap<String, Budget>,
    lengths: Lengths,
    notices: Vec<Notice>,
    rng: ChaCha8Rng,
}

impl Pool {
    /// An empty pool for the instance `me` in `domain`.
    pub fn new(own_id: u64, domain: &str, strategy: Strategy, seed: u64) -> Self {
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
            own_id,
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
    pub fn set_endpoints(&mut self, list: &[(String, String, String, bool)], slots: u32) {
        for (name, addr, domain, leaving) in list {
            let create = || Endpoint::new(name, addr, domain, slots);
            let e = self.endpoints.entry(name.clone()).or_insert_with(create);
            if e.addr != *addr {
                *e = create();
            }
            e.slots = slots;
            if *leaving && !e.leaving {
                self.notices.push(Notice::Leaving { endpoint: name.clone() });
            }
            e.apply_listing(*leaving);
        }
        let listed = |name: &str| list.iter().any(|(n, ..)| n == name);
        for e in self.endpoints.values_mut() {
            e.leaving |= !listed(&e.name);
        }
        self.endpoints.retain(|name, e| listed(name) || e.running() > 0);
    }

    /// Takes in an endpoint's load report.
    pub fn apply_report(&mut self, now: Millis, endpoint: &str, report: Report) {
        let Some(e) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        let before = e.leaving;
        let draining = report.draining && mechanism::on(Mechanism::Leavers);
        e.apply_report(now, Report { draining, ..report });
        if e.leaving && !before {
            self.notices.push(Notice::Leaving { endpoint: endpoint.to_owned() });
        }
    }

    /// A peer says that the endpoint, in the life `boot`, is leaving.
    pub fn mark_leaving(&mut self, endpoint: &str, boot: &str) {
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
    pub fn leaving_endpoints(&self) -> Vec<(String, String)> {
        let leaving = self.endpoints.values().filter(|e| e.leaving);
        leaving.map(|e| (e.name.clone(), e.boot().to_owned())).collect()
    }

    /// Changes since the last call.
    pub fn take_notices(&mut self) -> Vec<Notice> {
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
        self.endpoints.values().filter(|e| e.available()).map(|e| e.slots).sum()
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
        let check_deadline = first && !class.protected && self.strategy == Strategy::Ours;
        if check_deadline && now as f64 + self.expected_wait(now, &job) > job.deadline as f64 {
            return Arrival::Refused(Refusal::TooLate);
        }
        let bound = if first { self.queue_bound(now, &job.class, params.queue) } else { u32::MAX };
        match self.queue.enter(job, bound) {
            Entered::Waiting => Arrival::Queued,
            Entered::Displaced(gone) => Arrival::Displaced(gone.id),
            Entered::Full(job) if self.at_limit(now, &job.workspace) => {
                tracing::debug!("pool: workspace {} is at its limit.", job.workspace);
                Arrival::Refused(Refusal::WorkspaceLimit)
            }
            Entered::Full(_) => Arrival::Refused(Refusal::QueueFull),
        }
    }

    /// Expected time in milliseconds until a slot is free for one more job of its class.
    fn expected_wait(&self, now: Millis, job: &Job) -> f64 {
        let ahead = f64::from(self.queue.len(&job.class));
        let duration = self.lengths.of_class(&job.class);
        let limit = f64::from(self.max_slots(&self.quota(now), &job.class).max(1));
        duration * ahead / limit
    }

    /// Slots that a class may fill on this instance.
    fn max_slots(&self, quota: &Quota, class: &str) -> u32 {
        quota.slots.get(class).copied().unwrap_or(0) + quota.spare
    }

    /// Takes a retry out of the class's budget; false when none is left.
    pub fn take_retry(&mut self, class: &str) -> bool {
        let taken = self.budgets.entry(class.to_owned()).or_default().take();
        taken || !mechanism::on(Mechanism::Budget)
    }

    /// True while a job is granted and has not ended.
    pub fn is_running(&self, job: JobId) -> bool {
        self.running.contains_key(&job)
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
        if let Outcome::Succeeded { .. } = outcome {
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
            Outcome::Succeeded { gap } => {
                let slow = gap.is_some_and(|g| g > limit) && ejectable;
                if slow && matches!(e.health, Health::Probing { .. }) {
                    self.eject_slow(now, &endpoint);
                } else if e.record_success() {
                    self.notices.push(Notice::Restored { endpoint });
                }
            }
            Outcome::Failed if e.record_failure() && ejectable => {
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
            Outcome::Inconclusive => e.reset_probe(),
            Outcome::Failed | Outcome::Draining => {}
        }
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
        let open: Vec<&Endpoint> = self
            .endpoints
            .values()
            .filter(|e| e.available() && !job.avoid.contains(&e.name))
            .collect();
        let id = job.id;
        let chosen = match self.strategy {
            Strategy::Least => open.iter().min_by_key(|e| e.reported_load()),
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
        for (class, admission) in self.admissions(&quota) {
            let Some(job) = self.best_job(now, &class) else {
                continue;
            };
            let (id, priority) = (job.id, self.priority(&class, admission));
            let Some((name, costs)) = self.choose(now, &job, admission) else {
                continue;
            };
            return self.grant(now, id, &name, priority, costs);
        }
        Step::Wait
    }

    /// Best job of a class whose workspace is below its limit.
    fn best_job(&self, now: Millis, class: &str) -> Option<Job> {
        let ranked = self.queue.ranked(class, now, |w| self.running_for(w));
        ranked.into_iter().find(|j| !self.at_limit(now, &j.workspace)).cloned()
    }

    fn priority(&self, class: &str, admission: Admission) -> u8 {
        match admission {
            Admission::Floor => TOP_PRIORITY,
            Admission::Quota | Admission::OverQuota => self.classes[class].tier,
        }
    }

    /// True when a class may go past its part and past a full batch.
    fn may_exceed_quota(&self, class: &str) -> bool {
        let urgent = self.classes.get(class).is_some_and(|c| c.tier == 0 || c.protected);
        urgent && mechanism::on(Mechanism::Over)
    }

    /// Classes that may start a job now, the most urgent first.
    fn admissions(&self, quota: &Quota) -> Vec<(String, Admission)> {
        let slots_of =
            |map: &IndexMap<String, u32>, class: &str| map.get(class).copied().unwrap_or(0);
        let excess =
            |class: &String| self.running_of(class).saturating_sub(slots_of(&quota.slots, class));
        let spare_used: u32 = self.rules.keys().map(excess).sum();
        let mut admissions = Vec::new();
        for class in self.rules.keys() {
            if self.queue.len(class) == 0 {
                continue;
            }
            let running = self.running_of(class);
            let admission = if running < slots_of(&quota.floor, class) {
                Admission::Floor
            } else if running < slots_of(&quota.slots, class) || spare_used < quota.spare {
                Admission::Quota
            } else if self.may_exceed_quota(class) {
                Admission::OverQuota
            } else {
                continue;
            };
            admissions.push((class.clone(), admission));
        }
        admissions.sort_by_cached_key(|(class, admission)| {
            (*admission == Admission::OverQuota, self.rules[class].tier, self.queue.urgency(class))
        });
        admissions
    }

    fn grant(
        &mut self,
        now: Millis,
        id: JobId,
        endpoint: &str,
        priority: u8,
        costs: Costs,
    ) -> Step {
        let Some(job) = self.queue.remove(id) else {
            return Step::Wait;
        };
        let e = &mut self.endpoints[endpoint];
        invariant!(e.available(), "job {id} granted to {endpoint}, which takes no work");
        e.start(&job.class, job.suspect);
        let grant = Grant {
            job: id,
            endpoint: endpoint.to_owned(),
            addr: e.addr.clone(),
            boot: e.boot().to_owned(),
            priority,
            costs,
        };
        self.running
            .insert(id, Running { job, endpoint: endpoint.to_owned(), since: now, migrate: false });
        Step::Grant(grant)
    }
}

/// Endpoints considered for a job, by name, and their costs.
pub type Costs = Vec<(String, f64)>;

/// On what ground a class may start one more job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Admission {
    /// Its guaranteed share is not filled.
    Floor,
    /// Its part of the slots is not filled.
    Quota,
    /// It is urgent and may make an engine preempt patient work.
    OverQuota,
}

impl Admission {
    /// Load up to which an endpoint of `slots` takes a job on this ground. Urgent jobs make the
    /// engine preempt patient ones, so a full batch doesn't hold them up.
    fn cap(self, slots: u32, urgent: bool) -> u32 {
        match self {
            _ if urgent => slots + slots.div_ceil(2),
            Self::Floor => slots + 1,
            Self::Quota | Self::OverQuota => slots,
        }
    }
}
