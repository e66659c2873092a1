//! Model of engines and instances on paused time: the same policy code as in an instance, fed
//! with a scenario's arrivals, for comparing policies on equal draws.
//!
//! Not modelled: the network's own delay, HTTP, and the log.

use std::collections::{BTreeMap, VecDeque};

use indexmap::{IndexMap, IndexSet};

use super::scenario::{Arrival, Scenario, Stream};
use super::tally::{Ending, Tally};
use crate::config::{Fleet, Strategy};
use crate::policy::endpoint::Report;
use crate::policy::pool::{self, Grant, Load, Outcome, Pool, Step};
use crate::policy::{Job, JobId};

/// Resolution of time, in milliseconds.
const TICK: u64 = 5;
/// Interval of load reports, in milliseconds.
const POLL: u64 = 1_000;
/// Interval of slow decisions, in milliseconds.
const SLOW_TICK: u64 = 200;
/// Tokens over which a stream's pace is taken.
const PACE_TOKENS: u64 = 5;
/// Prefixes that fit into an engine's cache.
const CACHE: usize = 64;
/// Part of the prefill that a cached prefix still costs, as a divisor.
const CACHED_PART: u64 = 10;
/// Share of further step time that each request in the batch costs, as a divisor.
const BATCH_COST: u64 = 40;

/// Who decides in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Setup {
    /// Every instance by this policy, with words between them.
    Fleet(Strategy),
    /// One perfect queue that sees everything at once.
    Central,
}

#[derive(Debug)]
struct Request {
    arrival: Arrival,
    instance: usize,
    done: u64,
    first: Option<u64>,
    last: u64,
    attempts: u32,
    paced: u64,
    avoid: Vec<String>,
    gone: bool,
    engine: Option<usize>,
}

#[derive(Debug)]
struct Run {
    job: JobId,
    request: usize,
    priority: u8,
    order: u64,
    prefill: u64,
}

#[derive(Debug, Default)]
struct Engine {
    running: Vec<Run>,
    waiting: Vec<Run>,
    cache: IndexSet<u64>,
    next: u64,
    down_until: u64,
    slow: u64,
    life: u64,
    reports: VecDeque<(u64, u32, u32)>,
}

/// A run of one scenario under one setup.
pub struct Model<'a> {
    scenario: &'a Scenario,
    fleet: &'a Fleet,
    setup: Setup,
    pools: Vec<Pool>,
    engines: Vec<Engine>,
    requests: Vec<Request>,
    jobs: IndexMap<JobId, usize>,
    tally: Tally,
    next_job: JobId,
}

impl<'a> Model<'a> {
    /// A model that has not run yet.
    pub fn new(scenario: &'a Scenario, fleet: &'a Fleet, setup: Setup) -> Self {
        let (count, strategy) = match setup {
            Setup::Fleet(strategy) => (scenario.instances, strategy),
            Setup::Central => (1, Strategy::Prioritized),
        };
        let limits: IndexMap<String, u32> =
            fleet.workspaces.iter().map(|(n, w)| (n.clone(), w.running)).collect();
        let used: Vec<&str> = scenario.streams.iter().map(|s| s.class.as_str()).collect();
        let mut classes = fleet.classes.clone();
        classes.retain(|name, _| used.contains(&name.as_str()));
        let members: Vec<(String, String, String, bool)> = (0..scenario.engines)
            .map(|i| (name_of(i), String::new(), format!("domain-{}", i % 3), false))
            .collect();
        let ids: Vec<u64> = (0..count as u64).collect();
        let pools = ids
            .iter()
            .map(|id| {
                let domain = format!("domain-{}", id % 3);
                let mut pool = Pool::new(*id, &domain, strategy, scenario.seed.wrapping_add(*id));
                pool.configure(&classes, limits.clone());
                pool.set_endpoints(&members, scenario.slots);
                pool.set_peers(&ids);
                ids.iter().for_each(|peer| pool.update_peer(0, *peer, Load::default()));
                pool
            })
            .collect();
        let engines = (0..scenario.engines).map(|_| Engine { slow: 1, ..Engine::default() });
        Self {
            scenario,
            fleet,
            setup,
            pools,
            engines: engines.collect(),
            requests: Vec::new(),
            jobs: IndexMap::new(),
            tally: Tally::default(),
            next_job: 1,
        }
    }

    /// Runs to the end of the last request.
    pub fn run(mut self) -> Tally {
        let mut arrivals: VecDeque<Arrival> = self.scenario.arrivals().into();
        let longest = self.fleet.classes.values().map(|c| c.params.deadline).max().unwrap_or(0);
        let end = self.scenario.length + longest;
        let mut now = 0;
        while now < end {
            now += TICK;
            while arrivals.front().is_some_and(|a| a.at <= now) {
                if let Some(arrival) = arrivals.pop_front() {
                    self.enter(now, arrival);
                }
            }
            self.troubles(now);
            self.exchange(now);
            self.steps(now);
            self.hang_up(now);
            for i in 0..self.pools.len() {
                if now.is_multiple_of(SLOW_TICK) {
                    self.pools[i].tick(now);
                }
                self.pump(now, i);
            }
            if now <= self.scenario.length {
                self.observe();
            }
            if arrivals.is_empty() && self.jobs.is_empty() {
                break;
            }
        }
        self.tally.length = self.scenario.length;
        self.tally
    }

    fn stream(&self, request: usize) -> &'a Stream {
        &self.scenario.streams[self.requests[request].arrival.stream]
    }

    fn enter(&mut self, now: u64, arrival: Arrival) {
        let instance = if self.setup == Setup::Central { 0 } else { arrival.instance };
        self.requests.push(Request {
            arrival,
            instance,
            done: 0,
            first: None,
            last: 0,
            attempts: 0,
            paced: 0,
            avoid: Vec::new(),
            gone: false,
            engine: None,
        });
        let request = self.requests.len() - 1;
        self.tally.offer(&self.stream(request).class);
        self.ask(now, request);
    }

    /// Queues a request for its first or a further attempt.
    fn ask(&mut self, now: u64, request: usize) {
        let stream = self.stream(request);
        let r = &self.requests[request];
        let params = self.fleet.params(&stream.class, &stream.workspace, "", now).0;
        let resumed = r.done > 0;
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
            pool::Arrival::Refused(_) => self.refused(id),
            pool::Arrival::Displaced(gone) => self.refused(gone),
        }
    }

    fn refused(&mut self, job: JobId) {
        let Some(request) = self.jobs.swap_remove(&job) else { return };
        let class = &self.stream(request).class;
        self.tally.wasted += self.requests[request].done;
        self.tally.end(class, Ending::Refused);
    }

    fn pump(&mut self, now: u64, instance: usize) {
        loop {
            match self.pools[instance].next(now) {
                Step::Wait => return,
                Step::Refuse(job, _) => self.refused(job),
                Step::Grant(grant) => self.start(now, &grant),
            }
        }
    }

    fn start(&mut self, now: u64, grant: &Grant) {
        let request = self.jobs[&grant.job];
        let index = index_of(&grant.endpoint);
        self.requests[request].attempts += 1;
        if self.engines[index].down_until > now {
            self.fail(now, grant.job, Outcome::Failed, &grant.endpoint);
            return;
        }
        let r = &mut self.requests[request];
        r.engine = Some(index);
        let prefix = r.arrival.prefix + ((r.arrival.stream as u64) << 32);
        let words = self.scenario.streams[r.arrival.stream].words;
        let engine = &mut self.engines[index];
        let full = (words * self.scenario.prefill / 1_000).max(1);
        let prefill = if engine.cache.contains(&prefix) { full / CACHED_PART } else { full };
        if engine.cache.insert(prefix) && engine.cache.len() > CACHE {
            engine.cache.shift_remove_index(0);
        }
        let (job, priority) = (grant.job, grant.priority);
        engine.waiting.push(Run { job, request, priority, order: job, prefill });
    }

    /// An attempt failed: tries again as an instance would.
    fn fail(&mut self, now: u64, job: JobId, outcome: Outcome, endpoint: &str) {
        let Some(request) = self.jobs.swap_remove(&job) else { return };
        let stream = self.stream(request);
        let params = self.fleet.params(&stream.class, &stream.workspace, "", now).0;
        let r = &mut self.requests[request];
        r.engine = None;
        r.avoid.push(endpoint.to_owned());
        let (instance, attempts, begun) = (r.instance, r.attempts, r.done > 0);
        let pool = &mut self.pools[instance];
        pool.done(now, job, outcome);
        let ours = self.setup != Setup::Fleet(Strategy::Random)
            && self.setup != Setup::Fleet(Strategy::LeastLoaded);
        // The baselines start a broken answer anew.
        if !ours {
            self.tally.wasted += r.done;
            r.done = 0;
        }
        let again =
            attempts < params.attempts && (begun || pool.take_retry(&stream.class) || !ours);
        if again {
            self.ask(now, request);
            return;
        }
        self.tally.wasted += self.requests[request].done;
        self.tally.end(&stream.class, Ending::Broken);
    }

    /// A stream goes on at another engine.
    fn moved(&mut self, now: u64, job: JobId, endpoint: &str) {
        let Some(request) = self.jobs.swap_remove(&job) else { return };
        let r = &mut self.requests[request];
        r.engine = None;
        r.paced = 0;
        r.avoid.push(endpoint.to_owned());
        self.pools[r.instance].done(now, job, Outcome::Inconclusive);
        self.ask(now, request);
    }

    fn troubles(&mut self, now: u64) {
        for t in &self.scenario.troubles {
            let engine = &mut self.engines[t.engine];
            if now == t.at.next_multiple_of(TICK) && t.slow > 0 {
                engine.slow = t.slow;
            }
            if now == t.until.next_multiple_of(TICK) && t.slow > 0 {
                engine.slow = 1;
            }
            if now != t.at.next_multiple_of(TICK) || t.slow > 0 {
                continue;
            }
            engine.down_until = t.until;
            engine.life += 1;
            engine.cache.clear();
            let lost: Vec<JobId> =
                engine.running.drain(..).chain(engine.waiting.drain(..)).map(|r| r.job).collect();
            let name = name_of(t.engine);
            for job in lost {
                self.fail(now, job, Outcome::Crashed, &name);
            }
        }
    }

    /// Words between instances and load reports, each with its delay.
    fn exchange(&mut self, now: u64) {
        let cut = (self.scenario.cut_from..self.scenario.cut_to).contains(&now);
        let every = self.scenario.gossip.next_multiple_of(TICK);
        for i in 0..self.pools.len() {
            let turn = every * i as u64 / self.pools.len() as u64;
            if (now + turn.next_multiple_of(TICK)).is_multiple_of(every) && !cut {
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
            if !now.is_multiple_of(POLL) || engine.down_until > now {
                continue;
            }
            let (_, running, waiting) = engine.reports[0];
            let boot = engine.life.to_string();
            let report = Report { boot, running, waiting, draining: false, age: self.scenario.lag };
            for pool in &mut self.pools {
                pool.apply_report(now, &name_of(i), report.clone());
            }
        }
    }

    fn steps(&mut self, now: u64) {
        for i in 0..self.engines.len() {
            let slots = self.scenario.slots as usize;
            let engine = &mut self.engines[i];
            admit(engine, slots);
            if now < engine.next || now < engine.down_until {
                continue;
            }
            let step = self.scenario.step;
            let step = (step + step * engine.running.len() as u64 / BATCH_COST) * engine.slow;
            engine.next = now + step;
            let (mut ended, mut paces) = (Vec::new(), Vec::new());
            for run in &mut engine.running {
                if run.prefill > 0 {
                    run.prefill = run.prefill.saturating_sub(step);
                    continue;
                }
                let r = &mut self.requests[run.request];
                r.done += 1;
                r.first.get_or_insert(now);
                r.last = now;
                self.tally.tokens += 1;
                if r.done >= r.arrival.tokens {
                    ended.push(run.job);
                } else if r.done.is_multiple_of(PACE_TOKENS) {
                    let gap = (now - r.paced) as f64 / PACE_TOKENS as f64;
                    if r.paced > 0 {
                        paces.push((r.instance, run.job, gap));
                    }
                    r.paced = now;
                }
            }
            engine.running.retain(|r| !ended.contains(&r.job));
            for job in ended {
                self.whole(now, job);
            }
            for (instance, job, gap) in paces {
                self.pools[instance].record_gap(now, &name_of(i), gap);
                if self.pools[instance].should_migrate(job) {
                    self.engines[i].running.retain(|r| r.job != job);
                    self.moved(now, job, &name_of(i));
                }
            }
        }
    }

    fn whole(&mut self, now: u64, job: JobId) {
        let Some(request) = self.jobs.swap_remove(&job) else { return };
        let stream = self.stream(request);
        let params = self.fleet.params(&stream.class, &stream.workspace, "", now).0;
        let r = &self.requests[request];
        let first = r.first.unwrap_or(now);
        let gap = (r.done > 1).then(|| (r.last - first) as f64 / (r.done - 1) as f64);
        self.pools[r.instance].done(now, job, Outcome::Succeeded { gap });
        let wait = first - r.arrival.at;
        let on_time = wait <= params.first_token;
        let paced = gap.is_none_or(|g| g <= params.between_tokens as f64);
        self.tally.good += r.done;
        self.tally.first(&stream.class, wait as f64);
        self.tally.progress(&stream.class, now);
        self.tally.end(&stream.class, Ending::Whole { on_time, paced });
    }

    /// Callers whose deadline has passed hang up.
    fn hang_up(&mut self, now: u64) {
        if !now.is_multiple_of(100) {
            return;
        }
        let late: Vec<(JobId, usize)> =
            self.jobs.iter().map(|(j, r)| (*j, *r)).filter(|(_, r)| self.late(now, *r)).collect();
        for (job, request) in late {
            let r = &mut self.requests[request];
            r.gone = true;
            let (instance, done, engine) = (r.instance, r.done, r.engine);
            self.jobs.swap_remove(&job);
            if !self.pools[instance].cancel(job) {
                if let Some(engine) = engine.map(|i| &mut self.engines[i]) {
                    engine.running.retain(|r| r.job != job);
                    engine.waiting.retain(|r| r.job != job);
                }
                self.pools[instance].done(now, job, Outcome::Inconclusive);
            }
            self.tally.wasted += done;
            let class = &self.stream(request).class;
            self.tally.end(class, Ending::GaveUp);
        }
    }

    fn late(&self, now: u64, request: usize) -> bool {
        let stream = self.stream(request);
        let params = self.fleet.params(&stream.class, &stream.workspace, "", now).0;
        now > self.requests[request].arrival.at + params.deadline
    }

    /// Samples how far the instances go past the slots, and what they leave idle.
    fn observe(&mut self) {
        let slots = self.scenario.slots;
        let over: u32 = self.engines.iter().map(|e| e.waiting.len() as u32).sum();
        let free = |e: &Engine| slots.saturating_sub((e.running.len() + e.waiting.len()) as u32);
        let idle: u32 = self.engines.iter().map(free).sum();
        let waiting: usize = self.pools.iter().map(Pool::waiting).sum();
        let all = f64::from(slots) * self.engines.len() as f64;
        self.tally.samples += 1;
        self.tally.over += f64::from(over) / all;
        self.tally.idle += f64::from(idle.min(waiting as u32)) / all;
    }
}

fn name_of(engine: usize) -> String {
    format!("engine-{engine}")
}

fn index_of(name: &str) -> usize {
    name.strip_prefix("engine-").and_then(|n| n.parse().ok()).unwrap_or(0)
}

/// Fills the batch in order of priority; urgent requests push patient ones out.
fn admit(engine: &mut Engine, slots: usize) {
    engine.waiting.sort_by_key(|r| (r.priority, r.order));
    while !engine.waiting.is_empty() && engine.running.len() < slots {
        let run = engine.waiting.remove(0);
        engine.running.push(run);
    }
    loop {
        let Some(best) = engine.waiting.first().map(|r| r.priority) else { return };
        let worst = engine.running.iter().enumerate().max_by_key(|(_, r)| (r.priority, r.order));
        let Some((i, _)) = worst.filter(|(_, r)| r.priority > best) else { return };
        let out = engine.running.remove(i);
        let run = engine.waiting.remove(0);
        engine.running.push(run);
        engine.waiting.push(out);
        engine.waiting.sort_by_key(|r| (r.priority, r.order));
    }
}

/// Tallies of all setups on the same draws.
pub fn compare(scenario: &Scenario, fleet: &Fleet) -> BTreeMap<&'static str, Tally> {
    let setups = [
        ("1 random, fifo", Setup::Fleet(Strategy::Random)),
        ("2 least reported, fifo", Setup::Fleet(Strategy::LeastLoaded)),
        ("3 ours", Setup::Fleet(Strategy::Prioritized)),
        ("4 one perfect queue", Setup::Central),
    ];
    setups.map(|(name, setup)| (name, Model::new(scenario, fleet, setup).run())).into()
}
