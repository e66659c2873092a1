//! Number of endpoints that a service needs for the demand on it.

use std::collections::VecDeque;

use indexmap::IndexMap;

use super::demand::ServiceDemand;
use super::fit::Fit;
use crate::adapter::clock::Millis;

/// Fraction of an endpoint's slots that requests take in ordinary load: with more, the gaps between
/// events pass the tightest target.
const FILL: f64 = 0.55;
/// The same in a burst: first events still come in time while the batch of an endpoint isn't full.
const BURST_FILL: f64 = 0.8;
/// Fraction of an endpoint's time that prefill takes in ordinary load; the queueing time for prefill
/// is then about that of one prompt.
const PREFILL: f64 = 0.5;
/// The same in a burst.
const BURST_PREFILL: f64 = 0.75;
/// Fraction of the KV cache that requests claim in ordinary load.
const MEMORY: f64 = 0.6;
/// Growth of one class in a burst for which there is always capacity.
const BURST: f64 = 2.5;
/// Fraction of the need of the less urgent classes that regular endpoints cover, so that they are
/// served late rather than not at all until others have started.
const BASE_REST: f64 = 0.4;
/// Time for which the highest need decides on giving up endpoints, in milliseconds: longer than a
/// burst and the time until the next wave.
const HOLD_MS: u64 = 20_000;
/// Time for which demand is observed before endpoints are given up, in milliseconds: about the length of
/// one wave.
const SETTLE_MS: u64 = 10_000;
/// Time over which the rise of the need is measured, twice in a row, in milliseconds.
const RISE_MS: u64 = 2_000;
/// Time added to the start of an endpoint for which a rise is extrapolated, in milliseconds: that
/// until the order and until instances know of the endpoint.
const LEAD_MS: u64 = 1_500;
/// Maximum extrapolated growth.
const MAX_GROWTH: f64 = 1.8;
/// Fraction of an endpoint's slots that requests take at the extrapolated demand: a rise may end before.
const RISE_FILL: f64 = 0.65;
/// Time constant of the usual duration and prompt size of a class, in milliseconds.
const USUAL_MS: f64 = 20_000.0;
/// Minimum requests a second at which the usual figures of a class are learned.
const MIN_STARTED: f64 = 0.2;

/// Need of one class, in endpoints.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct ClassNeed {
    ordinary: f64,
    burst: f64,
}

/// Usual rates of a class.
#[derive(Debug, Clone, Copy, Default)]
struct Usual {
    running: f64,
    started: f64,
    prefill: f64,
}

impl Usual {
    fn update(&mut self, gain: f64, running: f64, started: f64, prefill: f64) {
        self.running += gain * (running - self.running);
        self.started += gain * (started - self.started);
        self.prefill += gain * (prefill - self.prefill);
    }

    /// Requests that run at once, and prompt tokens a second, at `arrived` requests a second.
    fn offered(&self, arrived: f64) -> (f64, f64) {
        if self.started < MIN_STARTED {
            return (0.0, 0.0);
        }
        (arrived * self.running / self.started, arrived * self.prefill / self.started)
    }
}

#[derive(Debug)]
struct Sample {
    at: Millis,
    classes: IndexMap<u8, ClassNeed>,
    total: f64,
    wanted: f64,
}

/// What a service needs, in endpoints.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct Need {
    /// For the demand now in ordinary load.
    pub(super) now: f64,
    /// With headroom for a burst and for a rise under way.
    pub(super) wanted: f64,
    /// The highest of the latter in the hold time.
    pub(super) held: f64,
    /// Regular endpoints that must stay when all others are reclaimed.
    pub(super) base: f64,
    /// Part of the assumed work that an endpoint takes.
    pub(super) fit: f64,
    /// Time for which demand has been observed, in milliseconds.
    pub(super) observed: u64,
}

impl Need {
    /// True once the demand is known well enough to give up endpoints.
    pub(super) fn is_settled(&self) -> bool {
        self.observed >= SETTLE_MS
    }
}

/// Demand of a service in the last seconds.
#[derive(Debug, Default)]
pub(super) struct History {
    since: Option<Millis>,
    updated_at: Millis,
    usual: IndexMap<u8, Usual>,
    fit: Fit,
    samples: VecDeque<Sample>,
}

impl History {
    /// Adds figures, and returns what they need.
    pub(super) fn update(&mut self, now: Millis, demand: &ServiceDemand) -> Need {
        let since = *self.since.get_or_insert(now);
        self.learn(now, demand);
        self.learn_fit(now, demand);
        let classes = self.class_needs(demand);
        let ordinary: f64 = classes.values().map(|c| c.ordinary).sum();
        let total = ordinary.max(demand.memory / MEMORY);
        while self.samples.front().is_some_and(|s| s.at + HOLD_MS < now) {
            self.samples.pop_front();
        }
        self.samples.push_back(Sample { at: now, classes, total, wanted: 0.0 });
        let wanted = total.max(self.burst_need()).max(self.risen(now, demand.scaling.boot));
        if let Some(sample) = self.samples.back_mut() {
            sample.wanted = wanted;
        }
        let held = self.samples.iter().map(|s| s.wanted).fold(0.0, f64::max);
        let observed = now.saturating_sub(since);
        Need { now: total, wanted, held, base: self.base(), fit: self.fit.factor(), observed }
    }

    fn learn(&mut self, now: Millis, demand: &ServiceDemand) {
        let passed = now.saturating_sub(self.updated_at) as f64;
        let gain = 1.0 - (-passed / USUAL_MS).exp();
        self.updated_at = now;
        for c in &demand.figures.classes {
            let (running, started) = (f64::from(c.running), f64::from(c.started));
            let prefill = f64::from(c.prefill);
            match self.usual.get_mut(&c.priority) {
                Some(usual) => usual.update(gain, running, started, prefill),
                None => {
                    self.usual.insert(c.priority, Usual { running, started, prefill });
                }
            }
        }
    }

    fn learn_fit(&mut self, now: Millis, demand: &ServiceDemand) {
        let need = self.samples.back().map_or(0.0, |s| s.total);
        let ready = demand.stock.values().map(|s| s.ready).sum::<u32>();
        self.fit.update(now, &demand.figures, f64::from(ready) >= need);
    }

    /// Need of each class: what runs and waits, or what arrives if that is more.
    fn class_needs(&self, demand: &ServiceDemand) -> IndexMap<u8, ClassNeed> {
        let slots = (demand.slots * self.fit.factor()).max(1.0);
        let rate = demand.rate * self.fit.factor();
        let need = |streams: f64, tokens: f64, fill: f64, prefill: f64| {
            let by_prefill = if rate > 0.0 { tokens / (rate * prefill) } else { 0.0 };
            by_prefill.max(streams / (slots * fill))
        };
        let class = |c: &super::ClassFigures| {
            let usual = self.usual.get(&c.priority).copied().unwrap_or_default();
            let (streams, tokens) = usual.offered(f64::from(c.arrived));
            let streams = streams.max(f64::from(c.running) + f64::from(c.waiting));
            let tokens = tokens.max(f64::from(c.prefill));
            let ordinary = need(streams, tokens, FILL, PREFILL);
            (
                c.priority,
                ClassNeed { ordinary, burst: need(streams, tokens, BURST_FILL, BURST_PREFILL) },
            )
        };
        demand.figures.classes.iter().map(class).collect()
    }

    /// Mean need of each class in the hold time.
    fn mean(&self) -> IndexMap<u8, ClassNeed> {
        let mut mean: IndexMap<u8, ClassNeed> = IndexMap::new();
        let n = self.samples.len().max(1) as f64;
        for (priority, need) in self.samples.iter().flat_map(|s| &s.classes) {
            let class = mean.entry(*priority).or_default();
            class.ordinary += need.ordinary / n;
            class.burst += need.burst / n;
        }
        mean
    }

    /// Need when the class that needs most has a burst.
    fn burst_need(&self) -> f64 {
        let mean = self.mean();
        let total: f64 = mean.values().map(|c| c.burst).sum();
        let most = mean.values().map(|c| c.burst).fold(0.0, f64::max);
        total + (BURST - 1.0) * most
    }

    /// Need when endpoints ordered now serve, if the present rise goes on. What has not risen for twice
    /// [`RISE_MS`] is a burst, for which there is headroom.
    fn risen(&self, now: Millis, boot: u64) -> f64 {
        let since = |ms: u64| self.samples.iter().find(|s| s.at + ms >= now);
        let (Some(first), Some(middle), Some(last)) =
            (since(2 * RISE_MS), since(RISE_MS), self.samples.back())
        else {
            return 0.0;
        };
        if middle.at < first.at + RISE_MS / 2 || last.at < middle.at + RISE_MS / 2 {
            return 0.0;
        }
        let slope = |a: &Sample, b: &Sample| (b.total - a.total) / (b.at - a.at) as f64;
        let rise = slope(first, middle).min(slope(middle, last)).max(0.0);
        let ahead = last.total + rise * (boot + LEAD_MS) as f64;
        ahead.min(last.total * MAX_GROWTH) * FILL / RISE_FILL
    }

    /// Mean need of the most urgent class, and a part of that of the others.
    fn base(&self) -> f64 {
        let mean = self.mean();
        let Some(urgent) = mean.keys().min().copied() else { return 0.0 };
        let needs = mean.iter();
        needs.map(|(p, c)| if *p == urgent { c.ordinary } else { BASE_REST * c.burst }).sum()
    }
}
