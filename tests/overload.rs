//! Replays of overload without I/O: several instances place requests on engines that can't serve
//! them all.
#![allow(clippy::unwrap_used)]

use std::collections::VecDeque;

use indexmap::IndexMap;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sassafrasworks::policy::place::{
    Balancer, Choice, Listing, Load, Misses, Placement, Profile, Queued, Requirements, Samples,
    send_order,
};

/// Prompt tokens that an engine computes in a millisecond.
const RATE: u32 = 66;
const ENGINES: usize = 24;
const INSTANCES: usize = 24;
/// Time between two passes of an instance over its queue, in milliseconds.
const PASS_MS: u64 = 4;
/// Time between two exchanges of loads, in milliseconds.
const EXCHANGE_MS: u64 = 100;
/// Time after which a queued request is refused, in milliseconds.
const MAX_WAIT_MS: u64 = 4_000;
/// Number of requests of one replay.
const REQUESTS: usize = 6_000;
/// Own prompt tokens of a request: mean, maximum, and the spread of its logarithm.
const PROMPT: (f64, f64, f64) = (6_610.0, 54_600.0, 1.0);
const SHARED_TOKENS: u32 = 5_000;
/// Number of segments that requests share.
const SEGMENTS: u64 = 100;
/// Time from the first event of a stream to its end, in milliseconds.
const DECODE_MS: u64 = 600;

struct Engine {
    /// Requests to prefill, with their remaining tokens.
    prefill: VecDeque<(usize, u32)>,
    /// Requests that decode, and when they end.
    decode: Vec<(u64, usize)>,
}

struct Instance {
    balancer: Balancer,
    queue: Vec<usize>,
    own: IndexMap<String, Load>,
}

struct Arrival {
    at: u64,
    instance: usize,
    needs: Requirements,
    placement: Option<Placement>,
    served: bool,
}

fn listing(i: usize) -> Listing {
    Listing {
        id: format!("engine-{i}"),
        service: "spine".to_owned(),
        addr: format!("10.0.0.{i}:80"),
        domain: "recife".to_owned(),
        slots: 12,
        leaving: false,
        started_at: 1,
        ..Listing::default()
    }
}

fn instance() -> Instance {
    let mut balancer = Balancer::new("recife");
    balancer.profile = Profile { batch: 12, memory: 400_000, gaps: (1_000, 1_000) };
    balancer.sync(&(0..ENGINES).map(listing).collect::<Vec<_>>());
    let mut samples = Samples::default();
    for i in 0..200 {
        let tokens = 500 * (1 + i % 40);
        samples.record(tokens, u64::from(tokens / RATE) + 10, samples.speed().predict(tokens));
    }
    balancer.set_peer_samples(samples);
    Instance { balancer, queue: Vec::new(), own: IndexMap::new() }
}

/// A normally distributed number with mean 0 and variance 1.
fn normal(rng: &mut ChaCha8Rng) -> f64 {
    (0..12).map(|_| rng.random_range(0.0..1.0)).sum::<f64>() - 6.0
}

/// Requests that offer `load` times the work that the engines can do.
fn arrivals(load: f64, rng: &mut ChaCha8Rng) -> Vec<Arrival> {
    let (mean, most, spread) = PROMPT;
    let gap = mean / (f64::from(RATE) * ENGINES as f64 * load);
    let arrival = |i: usize| {
        let own = (mean * (spread * normal(rng) - spread * spread / 2.0).exp()).min(most) as u32;
        let segments =
            vec![(rng.random_range(1..=SEGMENTS), SHARED_TOKENS), ((i as u64 + 1) << 32, own)];
        let needs = Requirements {
            segments,
            prompt: SHARED_TOKENS + own,
            output: 400,
            target: 2_000,
            gap: 1_000,
            priority: 2,
            ..Requirements::default()
        };
        let instance = rng.random_range(0..INSTANCES);
        Arrival { at: (i as f64 * gap) as u64, instance, needs, placement: None, served: false }
    };
    (0..REQUESTS).map(arrival).collect()
}

struct Replay {
    requests: Vec<Arrival>,
    instances: Vec<Instance>,
    engines: Vec<Engine>,
}

impl Replay {
    fn run(load: f64, seed: u64) -> Self {
        let requests = arrivals(load, &mut ChaCha8Rng::seed_from_u64(seed));
        let engine = || Engine { prefill: VecDeque::new(), decode: Vec::new() };
        let mut replay = Self {
            instances: (0..INSTANCES).map(|_| instance()).collect(),
            engines: (0..ENGINES).map(|_| engine()).collect(),
            requests,
        };
        let end = replay.requests.last().unwrap().at + 3 * MAX_WAIT_MS;
        let mut next = 0;
        for now in 0..end {
            while replay.requests.get(next).is_some_and(|r| r.at <= now) {
                let to = replay.requests[next].instance;
                replay.instances[to].queue.push(next);
                next += 1;
            }
            if now % EXCHANGE_MS == 0 {
                replay.exchange_loads();
            }
            if now % PASS_MS == 0 {
                (0..INSTANCES).for_each(|i| replay.pass(now, i));
            }
            (0..ENGINES).for_each(|e| replay.compute(now, e));
        }
        replay
    }

    fn exchange_loads(&mut self) {
        for instance in &mut self.instances {
            let loads = instance.balancer.endpoints().map(|e| (e.listing.id.clone(), e.own));
            instance.own = loads.collect();
        }
        let waiting: Vec<u64> = (0..INSTANCES)
            .filter(|i| !self.instances[*i].queue.is_empty())
            .map(|i| i as u64)
            .collect();
        for i in 0..INSTANCES {
            let mut sum: IndexMap<String, Load> = IndexMap::new();
            for (_, peer) in self.instances.iter().enumerate().filter(|(p, _)| *p != i) {
                for (id, load) in &peer.own {
                    sum.entry(id.clone()).or_default().add(*load);
                }
            }
            self.instances[i].balancer.set_peer_loads(&sum);
            self.instances[i].balancer.set_contenders(i as u64, waiting.clone());
        }
    }

    fn pass(&mut self, now: u64, i: usize) {
        let (instance, requests) = (&mut self.instances[i], &mut self.requests);
        instance.queue.retain(|r| requests[*r].at + MAX_WAIT_MS > now);
        let mut queued: Vec<Queued> = Vec::new();
        for index in instance.queue.iter().copied() {
            let request = &mut requests[index];
            request.needs.waited = now - request.at;
            let late = instance.balancer.is_late(&request.needs);
            let stretch = instance.balancer.stretch(&request.needs);
            queued.push(Queued { priority: 2, late, stretch, arrived: request.at, index });
        }
        send_order(&mut queued);
        let mut misses = Misses::default();
        for index in queued.into_iter().map(|q| q.index) {
            if !misses.allow(&("spine".to_owned(), 1_000, None)) {
                break;
            }
            let request = &mut requests[index];
            let Choice::Chosen(id, _) = instance.balancer.choose(now, &request.needs) else {
                misses.record(("spine".to_owned(), 1_000, None));
                continue;
            };
            let placement = instance.balancer.start(now, &id, &request.needs);
            let engine: usize = id.trim_start_matches("engine-").parse().unwrap();
            self.engines[engine].prefill.push_back((index, placement.load.prefill));
            request.placement = Some(placement);
            instance.queue.retain(|r| *r != index);
        }
    }

    /// One millisecond of an engine.
    fn compute(&mut self, now: u64, e: usize) {
        let engine = &mut self.engines[e];
        let mut tokens = RATE;
        while let Some((index, left)) = engine.prefill.front_mut() {
            let n = tokens.min(*left);
            *left -= n;
            tokens -= n;
            if *left > 0 {
                break;
            }
            let request = &mut self.requests[*index];
            let balancer = &mut self.instances[request.instance].balancer;
            balancer.finish_prefill(now, request.placement.as_mut().unwrap());
            engine.decode.push((now + DECODE_MS, *index));
            engine.prefill.pop_front();
        }
        for (_, index) in engine.decode.extract_if(.., |(at, _)| *at <= now) {
            let request = &mut self.requests[index];
            request.served = true;
            let placement = request.placement.as_ref().unwrap();
            self.instances[request.instance].balancer.end(placement);
        }
    }

    /// Fraction that was served of the largest tenth, and of all requests.
    fn served(&self) -> (f64, f64) {
        let mut all: Vec<&Arrival> = self.requests.iter().collect();
        all.sort_by_key(|r| std::cmp::Reverse(r.needs.prompt));
        let share =
            |of: &[&Arrival]| of.iter().filter(|r| r.served).count() as f64 / of.len() as f64;
        (share(&all[..all.len() / 10]), share(&all))
    }
}

#[test]
fn longest_prompts_are_served_under_overload() {
    for load in [1.1, 1.4, 2.0] {
        let (largest, all) = Replay::run(load, 26).served();
        assert!(largest * 2.0 >= all, "load {load}: largest tenth {largest:.2}, all {all:.2}");
    }
}
