//! Simulation of engines and instances in virtual time. Runs the same policy code as an instance on
//! the arrivals of a scenario, to compare scheduling strategies on the same random numbers.
//!
//! Not modelled: network latency, HTTP, and the log.

use std::collections::{BTreeMap, VecDeque};

use indexmap::{IndexMap, IndexSet};

use super::scenario::{Arrival, ArrivalStream, Scenario};
use super::tally::{RequestOutcome, Tally};
use crate::config::{FleetConfig, Strategy};
use crate::policy::endpoint::Report;
use crate::policy::pool::{self, Grant, Load, Outcome, Pool, Step};
use crate::policy::{Job, JobId};

/// Step of the virtual time, in milliseconds.
const TICK_MS: u64 = 5;
/// Interval between load reports of an engine, in milliseconds.
const REPORT_INTERVAL: u64 = 1_000;
/// Interval of [`Pool::tick`], in milliseconds.
const POOL_TICK_MS: u64 = 200;
/// Tokens over which one sample of a stream's token gap is averaged.
const GAP_SAMPLE_TOKENS: u64 = 5;
/// Prompt prefixes that fit into the cache of an engine.
const CACHE_CAPACITY: usize = 64;
/// The prefill time of a request with a cached prefix is divided by this.
const CACHED_DIVISOR: u64 = 10;
/// Each request in the batch lengthens a step by the duration of the step divided by this.
const BATCH_DIVISOR: u64 = 40;

/// Which scheduler is simulated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scheduler {
    /// Every instance schedules with this strategy; the instances exchange their loads.
    Distributed(Strategy),
    /// One instance receives all requests and so knows the whole load: the ideal to compare with.
    Central,
}

/// A request of the scenario. Times are in milliseconds of virtual time.
#[derive(Debug)]
struct Request {
    arrival: Arrival,
    instance: usize,
    /// Tokens generated so far.
    generated: u64,
    /// Time of the first token.
    first_token: Option<u64>,
    /// Time of the last token.
    last_token: u64,
    attempts: u32,
    /// Time at which the current token gap sample began; 0 if none has begun.
    gap_start: u64,
    /// Endpoints where an earlier attempt failed, or that its stream was migrated away from.
    avoid: Vec<String>,
    cancelled: bool,
    /// Index of the engine that has its current attempt, if any.
    engine: Option<usize>,
}

/// One attempt of a request on an engine.
#[derive(Debug)]
struct Attempt {
    job: JobId,
    /// Index of the request.
    request: usize,
    /// Lower runs first.
    priority: u8,
    /// Breaks ties of the priority; lower runs first.
    order: u64,
    /// Remaining prefill time, in milliseconds.
    prefill: u64,
}

/// A simulated engine. Times are in milliseconds of virtual time.
#[derive(Debug, Default)]
struct Engine {
    running: Vec<Attempt>,
    waiting: Vec<Attempt>,
    /// Cached prefixes, in the order in which they were added.
    cache: IndexSet<u64>,
    /// Earliest time of the next batch step.
    next_step: u64,
    down_until: u64,
    /// Factor by which the duration of a step is multiplied.
    slowdown: u64,
    /// Number of crashes; tells incarnations apart.
    incarnation: u64,
    /// Time, running and waiting requests of past moments, back to the one that is reported.
    reports: VecDeque<(u64, u32, u32)>,
}

/// Simulation of one scenario with one scheduler.
pub struct Model<'a> {
    scenario: &'a Scenario,
    fleet: &'a FleetConfig,
    scheduler: Scheduler,
    pools: Vec<Pool>,
    engines: Vec<Engine>,
    requests: Vec<Request>,
    /// Index of the request by the id of its current job, while it is queued or running.
    jobs: IndexMap<JobId, usize>,
    tally: Tally,
    next_job: JobId,
}

impl<'a> Model<'a> {
    /// Creates a simulation at time 0.
    pub fn new(scenario: &'a Scenario, fleet: &'a FleetConfig, scheduler: Scheduler) -> Self {
        let (count, strategy) = match scheduler {
            Scheduler::Distributed(strategy) => (scenario.instances, strategy),
            Scheduler::Central => (1, Strategy::Prioritized),
        };
        let limits: IndexMap<String, u32> =
            fleet.workspaces.iter().map(|(n, w)| (n.clone(), w.running)).collect();
        let used: Vec<&str> = scenario.streams.iter().map(|s| s.class.as_str()).collect();
        let mut classes = fleet.classes.clone();
        classes.retain(|name, _| used.contains(&name.as_str()));
        let endpoints: Vec<(String, String, String, bool)> = (0..scenario.engines)
            .map(|i| (engine_name(i), String::new(), format!("domain-{}", i % 3), false))
            .collect();
        let ids: Vec<u64> = (0..count as u64).collect();
        let pools = ids
            .iter()
            .map(|id| {
                let domain = format!("domain-{}", id % 3);
                let mut pool = Pool::new(*id, &domain, strategy, scenario.seed.wrapping_add(*id));
                pool.configure(&classes, limits.clone());
                pool.set_endpoints(&endpoints, scenario.slots);
                pool.set_peers(&ids);
                ids.iter().for_each(|peer| pool.update_peer(0, *peer, Load::default()));
                pool
            })
            .collect();
        let engines = (0..scenario.engines).map(|_| Engine { slowdown: 1, ..Engine::default() });
        Self {
            scenario,
            fleet,
            scheduler,
            pools,
            engines: engines.collect(),
            requests: Vec::new(),
            jobs: IndexMap::new(),
            tally: Tally::default(),
            next_job: 1,
        }
    }

    /// Runs until all requests have ended, or until the longest deadline has passed since the end
    /// of the arrivals.
    pub fn run(mut self) -> Tally {
        let mut arrivals: VecDeque<Arrival> = self.scenario.arrivals().into();
        let longest = self.fleet.classes.values().map(|c| c.params.deadline).max().unwrap_or(0);
        let end = self.scenario.length + longest;
        let mut now = 0;
        while now < end {
            now += TICK_MS;
            while arrivals.front().is_some_and(|a| a.at <= now) {
                if let Some(arrival) = arrivals.pop_front() {
                    self.submit(now, arrival);
                }
            }
            self.apply_faults(now);
            self.exchange_loads(now);
            self.step_engines(now);
            self.cancel_expired(now);
            for i in 0..self.pools.len() {
                if now.is_multiple_of(POOL_TICK_MS) {
                    self.pools[i].tick(now);
                }
                self.dispatch(now, i);
            }
            if now <= self.scenario.length {
                self.sample_load();
            }
            if arrivals.is_empty() && self.jobs.is_empty() {
                break;
            }
        }
        self.tally.length = self.scenario.length;
        self.tally
    }

    fn stream(&self, request: usize) -> &'a ArrivalStream {
        &self.scenario.streams[self.requests[request].arrival.stream]
    }

    /// Adds a request that has arrived and queues it.
    fn submit(&mut self, now: u64, arrival: Arrival) {
        let instance = if self.scheduler == Scheduler::Central { 0 } else { arrival.instance };
        self.requests.push(Request {
            arrival,
            instance,
            generated: 0,
            first_token: None,
            last_token: 0,
            attempts: 0,
            gap_start: 0,
            avoid: Vec::new(),
            cancelled: false,
            engine: None,
        });
        let request = self.requests.len() - 1;
        self.tally.record_arrival(&self.stream(request).class);
        self.enqueue(now, request);
    }

    /// Queues a request for its first or a further attempt.
    fn enqueue(&mut self, now: u64, request: usize) {
        let stream = self.stream(request);
        let r = &self.requests[request];
        let params = self.fleet.params(&stream.class, &stream.workspace, "", now).0;
        let resumed = r.generated > 0;
        let job = Job {
            id: self.next_job,
            class: stream.class.clone(),
            workspace: stream.workspace.clone(),
            arrived: r.arrival.at,
            target: r.arrival.at + params.first_token,
            deadline: if resumed { u64::MAX } else { r.arrival.at + params.deadline },
            prefix: r.arrival.prefix + 1 + ((r.arrival.stream as u64) << 32),
            suspect: false,
            avoid: r.avoid.clone(),
            resumed,
        };
        let (id, instance) = (self.next_job, r.instance);
        self.next_job += 1;
        self.jobs.insert(id, request);
        match self.pools[instance].arrive(now, job) {
            pool::Arrival::Queued => {}
            pool::Arrival::Refused(_) => self.record_refusal(id),
            pool::Arrival::Displaced(displaced) => self.record_refusal(displaced),
        }
    }

    /// Ends a request whose job was refused.
    fn record_refusal(&mut self, job: JobId) {
        let Some(request) = self.jobs.swap_remove(&job) else { return };
        let class = &self.stream(request).class;
        self.tally.wasted_tokens += self.requests[request].generated;
        self.tally.record_outcome(class, RequestOutcome::Refused);
    }

    /// Applies all decisions that the pool of an instance makes now.
    fn dispatch(&mut self, now: u64, instance: usize) {
        loop {
            match self.pools[instance].next(now) {
                Step::Wait => return,
                Step::Refuse(job, _) => self.record_refusal(job),
                Step::Grant(grant) => self.start_attempt(now, &grant),
            }
        }
    }

    /// Adds a granted job to the queue of its engine. It fails at once if the engine is down.
    fn start_attempt(&mut self, now: u64, grant: &Grant) {
        let request = self.jobs[&grant.job];
        let index = engine_index(&grant.endpoint);
        self.requests[request].attempts += 1;
        if self.engines[index].down_until > now {
            self.fail_attempt(now, grant.job, Outcome::Failed, &grant.endpoint);
            return;
        }
        let r = &mut self.requests[request];
        r.engine = Some(index);
        let prefix = r.arrival.prefix + ((r.arrival.stream as u64) << 32);
        let words = self.scenario.streams[r.arrival.stream].words;
        let engine = &mut self.engines[index];
        let full = (words * self.scenario.prefill / 1_000).max(1);
        let prefill = if engine.cache.contains(&prefix) { full / CACHED_DIVISOR } else { full };
        if engine.cache.insert(prefix) && engine.cache.len() > CACHE_CAPACITY {
            engine.cache.shift_remove_index(0);
        }
        let (job, priority) = (grant.job, grant.priority);
        engine.waiting.push(Attempt { job, request, priority, order: job, prefill });
    }

    /// Ends a failed attempt, and retries the request by the rules of an instance.
    fn fail_attempt(&mut self, now: u64, job: JobId, outcome: Outcome, endpoint: &str) {
        let Some(request) = self.jobs.swap_remove(&job) else { return };
        let stream = self.stream(request);
        let params = self.fleet.params(&stream.class, &stream.workspace, "", now).0;
        let r = &mut self.requests[request];
        r.engine = None;
        r.avoid.push(endpoint.to_owned());
        let (instance, attempts, started) = (r.instance, r.attempts, r.generated > 0);
        let pool = &mut self.pools[instance];
        pool.done(now, job, outcome);
        let prioritized = self.scheduler != Scheduler::Distributed(Strategy::Random)
            && self.scheduler != Scheduler::Distributed(Strategy::LeastLoaded);
        // The baselines start an interrupted response over instead of resuming it, and retry
        // without a retry budget.
        if !prioritized {
            self.tally.wasted_tokens += r.generated;
            r.generated = 0;
        }
        let retry = attempts < params.attempts
            && (started || pool.take_retry(&stream.class) || !prioritized);
        if retry {
            self.enqueue(now, request);
            return;
        }
        self.tally.wasted_tokens += self.requests[request].generated;
        self.tally.record_outcome(&stream.class, RequestOutcome::Failed);
    }

    /// Queues a stream again so that it continues on another engine.
    fn migrate(&mut self, now: u64, job: JobId, endpoint: &str) {
        let Some(request) = self.jobs.swap_remove(&job) else { return };
        let r = &mut self.requests[request];
        r.engine = None;
        r.gap_start = 0;
        r.avoid.push(endpoint.to_owned());
        self.pools[r.instance].done(now, job, Outcome::Inconclusive);
        self.enqueue(now, request);
    }

    /// Starts and ends the faults of the scenario.
    fn apply_faults(&mut self, now: u64) {
        for fault in &self.scenario.faults {
            let engine = &mut self.engines[fault.engine];
            if now == fault.at.next_multiple_of(TICK_MS) && fault.slow > 0 {
                engine.slowdown = fault.slow;
            }
            if now == fault.until.next_multiple_of(TICK_MS) && fault.slow > 0 {
                engine.slowdown = 1;
            }
            if now != fault.at.next_multiple_of(TICK_MS) || fault.slow > 0 {
                continue;
            }
            engine.down_until = fault.until;
            engine.incarnation += 1;
            engine.cache.clear();
            let lost: Vec<JobId> =
                engine.running.drain(..).chain(engine.waiting.drain(..)).map(|r| r.job).collect();
            let name = engine_name(fault.engine);
            for job in lost {
                self.fail_attempt(now, job, Outcome::Crashed, &name);
            }
        }
    }

    /// Sends the loads of instances to their peers at staggered times, except during the network
    /// partition, and load reports of engines to instances with the delay of the scenario.
    fn exchange_loads(&mut self, now: u64) {
        let partitioned = (self.scenario.cut_from..self.scenario.cut_to).contains(&now);
        let interval = self.scenario.gossip.next_multiple_of(TICK_MS);
        for i in 0..self.pools.len() {
            let offset = interval * i as u64 / self.pools.len() as u64;
            if (now + offset.next_multiple_of(TICK_MS)).is_multiple_of(interval) && !partitioned {
                let load = self.pools[i].load();
                for (_, peer) in self.pools.iter_mut().enumerate().filter(|(j, _)| *j != i) {
                    peer.update_peer(now, i as u64, load.clone());
                }
            }
        }
        for i in 0..self.engines.len() {
            let engine = &mut self.engines[i];
            let (running, waiting) = (engine.running.len() as u32, engine.waiting.len() as u32);
            engine.reports.push_back((now, running, waiting));
            while engine.reports.get(1).is_some_and(|r| r.0 + self.scenario.lag <= now) {
                engine.reports.pop_front();
            }
            if !now.is_multiple_of(REPORT_INTERVAL) || engine.down_until > now {
                continue;
            }
            let (_, running, waiting) = engine.reports[0];
            let boot = engine.incarnation.to_string();
            let report = Report { boot, running, waiting, draining: false, age: self.scenario.lag };
            for pool in &mut self.pools {
                pool.apply_report(now, &engine_name(i), report.clone());
            }
        }
    }

    /// Runs the batch steps that are due.
    fn step_engines(&mut self, now: u64) {
        for i in 0..self.engines.len() {
            let slots = self.scenario.slots as usize;
            let engine = &mut self.engines[i];
            admit(engine, slots);
            if now < engine.next_step || now < engine.down_until {
                continue;
            }
            let step = self.scenario.step;
            let step =
                (step + step * engine.running.len() as u64 / BATCH_DIVISOR) * engine.slowdown;
            engine.next_step = now + step;
            let (mut ended, mut gaps) = (Vec::new(), Vec::new());
            for attempt in &mut engine.running {
                if attempt.prefill > 0 {
                    attempt.prefill = attempt.prefill.saturating_sub(step);
                    continue;
                }
                let r = &mut self.requests[attempt.request];
                r.generated += 1;
                r.first_token.get_or_insert(now);
                r.last_token = now;
                self.tally.tokens += 1;
                if r.generated >= r.arrival.tokens {
                    ended.push(attempt.job);
                } else if r.generated.is_multiple_of(GAP_SAMPLE_TOKENS) {
                    let gap = (now - r.gap_start) as f64 / GAP_SAMPLE_TOKENS as f64;
                    if r.gap_start > 0 {
                        gaps.push((r.instance, attempt.job, gap));
                    }
                    r.gap_start = now;
                }
            }
            engine.running.retain(|r| !ended.contains(&r.job));
            for job in ended {
                self.complete(now, job);
            }
            for (instance, job, gap) in gaps {
                self.pools[instance].record_gap(now, &engine_name(i), gap);
                if self.pools[instance].should_migrate(job) {
                    self.engines[i].running.retain(|r| r.job != job);
                    self.migrate(now, job, &engine_name(i));
                }
            }
        }
    }

    /// Ends a request whose last token was generated.
    fn complete(&mut self, now: u64, job: JobId) {
        let Some(request) = self.jobs.swap_remove(&job) else { return };
        let stream = self.stream(request);
        let params = self.fleet.params(&stream.class, &stream.workspace, "", now).0;
        let r = &self.requests[request];
        let first = r.first_token.unwrap_or(now);
        let gap =
            (r.generated > 1).then(|| (r.last_token - first) as f64 / (r.generated - 1) as f64);
        self.pools[r.instance].done(now, job, Outcome::Succeeded { gap });
        let wait = first - r.arrival.at;
        let on_time = wait <= params.first_token;
        let gap_met = gap.is_none_or(|g| g <= params.between_tokens as f64);
        self.tally.good_tokens += r.generated;
        self.tally.record_first_token(&stream.class, wait as f64);
        self.tally.record_completion(&stream.class, now);
        self.tally.record_outcome(&stream.class, RequestOutcome::Completed { on_time, gap_met });
    }

    /// Cancels the requests whose deadline has passed, as their callers would.
    fn cancel_expired(&mut self, now: u64) {
        if !now.is_multiple_of(100) {
            return;
        }
        let expired: Vec<(JobId, usize)> = self
            .jobs
            .iter()
            .map(|(j, r)| (*j, *r))
            .filter(|(_, r)| self.is_expired(now, *r))
            .collect();
        for (job, request) in expired {
            let r = &mut self.requests[request];
            r.cancelled = true;
            let (instance, generated, engine) = (r.instance, r.generated, r.engine);
            self.jobs.swap_remove(&job);
            if !self.pools[instance].cancel(job) {
                if let Some(engine) = engine.map(|i| &mut self.engines[i]) {
                    engine.running.retain(|r| r.job != job);
                    engine.waiting.retain(|r| r.job != job);
                }
                self.pools[instance].done(now, job, Outcome::Inconclusive);
            }
            self.tally.wasted_tokens += generated;
            let class = &self.stream(request).class;
            self.tally.record_outcome(class, RequestOutcome::Expired);
        }
    }

    fn is_expired(&self, now: u64, request: usize) -> bool {
        let stream = self.stream(request);
        let params = self.fleet.params(&stream.class, &stream.workspace, "", now).0;
        now > self.requests[request].arrival.at + params.deadline
    }

    /// Samples the requests queued inside engines, and the slots that are free while requests are
    /// queued on instances.
    fn sample_load(&mut self) {
        let slots = self.scenario.slots;
        let queued: u32 = self.engines.iter().map(|e| e.waiting.len() as u32).sum();
        let free = |e: &Engine| slots.saturating_sub((e.running.len() + e.waiting.len()) as u32);
        let idle: u32 = self.engines.iter().map(free).sum();
        let waiting: usize = self.pools.iter().map(Pool::waiting).sum();
        let all = f64::from(slots) * self.engines.len() as f64;
        self.tally.samples += 1;
        self.tally.overload += f64::from(queued) / all;
        self.tally.idle += f64::from(idle.min(waiting as u32)) / all;
    }
}

fn engine_name(engine: usize) -> String {
    format!("engine-{engine}")
}

fn engine_index(name: &str) -> usize {
    name.strip_prefix("engine-").and_then(|n| n.parse().ok()).unwrap_or(0)
}

/// Fills the batch in order of priority. Queued requests preempt running ones of lower priority.
fn admit(engine: &mut Engine, slots: usize) {
    engine.waiting.sort_by_key(|r| (r.priority, r.order));
    while !engine.waiting.is_empty() && engine.running.len() < slots {
        let attempt = engine.waiting.remove(0);
        engine.running.push(attempt);
    }
    loop {
        let Some(best) = engine.waiting.first().map(|r| r.priority) else { return };
        let worst = engine.running.iter().enumerate().max_by_key(|(_, r)| (r.priority, r.order));
        let Some((i, _)) = worst.filter(|(_, r)| r.priority > best) else { return };
        let preempted = engine.running.remove(i);
        let attempt = engine.waiting.remove(0);
        engine.running.push(attempt);
        engine.waiting.push(preempted);
        engine.waiting.sort_by_key(|r| (r.priority, r.order));
    }
}

/// Runs the scenario with each scheduler on the same random numbers and returns the results by
/// name.
pub fn compare(scenario: &Scenario, fleet: &FleetConfig) -> BTreeMap<&'static str, Tally> {
    let schedulers = [
        ("1 random, fifo", Scheduler::Distributed(Strategy::Random)),
        ("2 least reported, fifo", Scheduler::Distributed(Strategy::LeastLoaded)),
        ("3 ours", Scheduler::Distributed(Strategy::Prioritized)),
        ("4 one perfect queue", Scheduler::Central),
    ];
    schedulers.map(|(name, scheduler)| (name, Model::new(scenario, fleet, scheduler).run())).into()
}
