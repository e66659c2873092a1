//! Learned capacity of endpoints: how slow each one is compared with its service, and the fraction
//! of its usual concurrency that it may take. See `docs/design/endpoint-capacity.md`.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::adapter::clock::Millis;

/// Time in which the weight of evidence falls by a factor of e.
const DECAY_MS: f64 = 500.0;
/// Age of evidence from which on its weight is negligible.
const RECENT_MS: u64 = 4_000;
/// Weight of the assumption that an endpoint is like its service, in samples.
const PRIOR_WEIGHT: f64 = 0.1;
/// Maximum logarithm of a sample's ratio, in either direction.
const MAX_LOG: f64 = 2.5;
/// Standard deviation that is assumed of a sample's logarithm until samples show it, and its bounds.
const START_NOISE: f64 = 0.35;
const NOISE_BOUNDS: (f64, f64) = (0.1, 0.8);
/// Minimum weight of a new sample in its variance, and samples that the assumption counts for.
const NOISE_GAIN: f64 = 0.01;
const NOISE_START_WEIGHT: f64 = 10.0;
/// A sample further from the mean than this, in standard deviations, halves the weight of earlier
/// ones: the endpoint may have changed.
const CHANGE: f64 = 2.0;
/// Number of standard deviations within which evidence is taken to be noise.
const SIGNIFICANCE: f64 = 2.5;
/// Minimum and maximum of a factor.
const FACTOR_BOUNDS: (f64, f64) = (0.25, 8.0);
/// Time over which the concurrency of an endpoint is averaged: views of it are old and jump.
const CONCURRENCY_MS: f64 = 75.0;
/// Time in which an endpoint's own figure of its slowness fades by a factor of e.
const STATED_FADE_MS: f64 = 250.0;
/// Factors on the pace below which an endpoint no longer counts as slow, and above which it does.
const SLOW_PACE: (f64, f64) = (1.2, 1.5);
/// Time in which an endpoint that joins a service with known figures reaches its limit.
const PROBE_MS: f64 = 2_000.0;
/// Fraction of the limit that it gets at first.
const PROBE_SHARE: f64 = 0.25;
/// Fraction of its weight that a curve keeps with each new sample.
const CURVE_DECAY: f64 = 0.99;
/// Samples without which a curve predicts nothing.
const MIN_SAMPLES: f64 = 5.0;
/// Maximum factor between a sample of a curve and the prediction; beyond that it counts as this far
/// off.
const MAX_DEVIATION: f64 = 3.0;
/// Variance of the concurrency that a curve needs to show a slope, in requests squared.
const SLOPE_RIDGE: f64 = 0.25;
/// Maximum endpoints in one message.
pub const MAX_SHARED: usize = 4;
/// Evidence below this isn't sent, as a sum of logarithms.
const MIN_SHARED: f64 = 0.15;
/// Resolution of a logarithm, and of a weight, in a message.
const LOG_STEPS: f64 = 32.0;
const WEIGHT_STEPS: f64 = 8.0;

/// Decayed sums of the logarithms of observed over expected times.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Evidence {
    weight: f64,
    sum: f64,
    at: Millis,
}

impl Evidence {
    /// The same as of a later time.
    pub fn aged(self, now: Millis) -> Self {
        let keep = fade(now.saturating_sub(self.at), DECAY_MS);
        Self { weight: self.weight * keep, sum: self.sum * keep, at: self.at.max(now) }
    }

    /// Adds a sample: the ratio of the observed to the expected time.
    pub fn add(&mut self, now: Millis, ratio: f64, noise: &Noise) {
        *self = self.aged(now);
        let log = ratio.max(f64::MIN_POSITIVE).ln().clamp(-MAX_LOG, MAX_LOG);
        let apart = (log * self.weight - self.sum).abs();
        if apart > CHANGE * noise.deviation() * self.weight {
            self.weight /= 2.0;
            self.sum /= 2.0;
        }
        self.weight += 1.0;
        self.sum += log;
    }

    /// Adds evidence as of the same time.
    pub fn merge(&mut self, other: Self) {
        self.weight += other.weight;
        self.sum += other.sum;
        self.at = self.at.max(other.at);
    }

    fn mean(&self) -> f64 {
        if self.weight > 0.0 { self.sum / self.weight } else { 0.0 }
    }

    /// Estimated logarithm of the factor, reduced by what noise alone would give.
    pub fn log(self, noise: &Noise) -> f64 {
        // Decayed weights have half the variance of as many equal ones.
        let noise = SIGNIFICANCE * noise.deviation() * (self.weight / 2.0).sqrt();
        let kept = (1.0 - (noise / self.sum.abs().max(f64::MIN_POSITIVE)).powi(4)).max(0.0);
        kept * self.sum / (self.weight + PRIOR_WEIGHT)
    }
}

/// Variance of the logarithms of a service's samples about the estimates of their endpoints.
#[derive(Debug, Clone, Copy)]
pub struct Noise {
    variance: f64,
    samples: f64,
}

impl Default for Noise {
    fn default() -> Self {
        Self { variance: START_NOISE * START_NOISE, samples: NOISE_START_WEIGHT }
    }
}

impl Noise {
    /// Adds a sample: the ratio of the observed to the estimated time.
    pub fn add(&mut self, ratio: f64) {
        let log = ratio.max(f64::MIN_POSITIVE).ln().clamp(-MAX_LOG, MAX_LOG);
        self.samples += 1.0;
        let gain = NOISE_GAIN.max(1.0 / self.samples);
        self.variance += gain * (log * log - self.variance);
    }

    fn deviation(&self) -> f64 {
        self.variance.sqrt().clamp(NOISE_BOUNDS.0, NOISE_BOUNDS.1)
    }
}

/// Evidence of an endpoint: for first events, and for the pace (gaps between events, or whole
/// responses of a plain service).
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Observed {
    /// Time to the first event.
    pub first: Evidence,
    /// Time between events, or of a whole response.
    pub pace: Evidence,
}

impl Observed {
    /// The same as of a later time.
    pub fn aged(self, now: Millis) -> Self {
        Self { first: self.first.aged(now), pace: self.pace.aged(now) }
    }

    /// True if some of it is recent enough to matter.
    pub fn is_recent(&self, now: Millis) -> bool {
        self.first.at.max(self.pace.at) + RECENT_MS > now
    }

    /// Adds evidence as of the same time.
    pub fn merge(&mut self, other: Self) {
        self.first.merge(other.first);
        self.pace.merge(other.pace);
    }

    /// How far it differs from an endpoint like its service.
    fn strength(&self) -> f64 {
        self.first.sum.abs().max(self.pace.sum.abs())
    }
}

/// Evidence of an endpoint in a message.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shared {
    /// Hash of the incarnation.
    #[serde(rename = "i")]
    pub key: u32,
    /// Logarithms of the factors and their weights, for first events and for the pace.
    #[serde(rename = "f")]
    first: (i8, u8),
    #[serde(rename = "p")]
    pace: (i8, u8),
}

impl Shared {
    /// The evidence as of the time at which the message was received.
    pub fn unpack(&self, now: Millis) -> Observed {
        Observed { first: unpack(self.first, now), pace: unpack(self.pace, now) }
    }
}

/// Evidence for a message, at most [`MAX_SHARED`] endpoints: the strongest, and others in rotation.
/// `known` is what the receivers know already: evidence that contradicts it is strong, too.
pub fn pack_all(
    now: Millis,
    turn: u64,
    all: &IndexMap<u32, Observed>,
    known: &IndexMap<u32, Observed>,
) -> Vec<Shared> {
    let strength = |key: &u32, o: &Observed| {
        let known = known.get(key).copied().unwrap_or_default();
        o.strength()
            .max(known.first.mean().abs() * o.first.weight)
            .max(known.pace.mean().abs() * o.pace.weight)
    };
    let aged = all.iter().map(|(key, o)| (*key, o.aged(now)));
    let mut found: Vec<_> = aged.filter(|(k, o)| strength(k, o) >= MIN_SHARED).collect();
    found.sort_by(|a, b| strength(&b.0, &b.1).total_cmp(&strength(&a.0, &a.1)));
    if found.len() > MAX_SHARED {
        let fixed = MAX_SHARED / 2;
        let step = (turn as usize * (MAX_SHARED - fixed)) % (found.len() - fixed);
        found[fixed..].rotate_left(step);
        found.truncate(MAX_SHARED);
    }
    let shared =
        |(key, o): &(u32, Observed)| Shared { key: *key, first: pack(o.first), pace: pack(o.pace) };
    found.iter().map(shared).collect()
}

fn pack(e: Evidence) -> (i8, u8) {
    // Casts saturate.
    ((e.mean() * LOG_STEPS).round() as i8, (e.weight * WEIGHT_STEPS).round() as u8)
}

fn unpack((log, weight): (i8, u8), at: Millis) -> Evidence {
    let weight = f64::from(weight) / WEIGHT_STEPS;
    Evidence { weight, sum: weight * f64::from(log) / LOG_STEPS, at }
}

/// The endpoint's own figure of its slowness, as a logarithm.
#[derive(Debug, Clone, Copy, Default)]
struct Stated {
    last: f64,
    /// Moving average of it, with the decay of the measured evidence.
    mean: f64,
    at: Millis,
}

impl Stated {
    fn update(&mut self, now: Millis, log: f64) {
        self.mean = self.mean_at(now);
        self.last = log;
        self.at = now;
    }

    fn mean_at(&self, now: Millis) -> f64 {
        self.last + (self.mean - self.last) * fade(now.saturating_sub(self.at), DECAY_MS)
    }

    /// Expected difference from the mean soon after `now`.
    fn deviation(&self, now: Millis) -> f64 {
        (self.last - self.mean_at(now)) * fade(now.saturating_sub(self.at), STATED_FADE_MS)
    }
}

/// What an endpoint takes, compared with a typical one of its service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Capacity {
    /// Factor on the predicted time to the first event.
    pub first: f64,
    /// Factor on the predicted gap or whole response.
    pub pace: f64,
    /// Fraction of the usual concurrency that it may take, over 0 and at most 1.
    pub share: f64,
}

impl Default for Capacity {
    fn default() -> Self {
        Self { first: 1.0, pace: 1.0, share: 1.0 }
    }
}

/// Whether an endpoint has joined a service with known figures, and since when it is used.
#[derive(Debug, Clone, Copy, Default)]
enum Probe {
    #[default]
    None,
    Joins,
    Since(Millis),
}

impl Probe {
    /// Fraction of its limit that the endpoint gets.
    fn share(&mut self, now: Millis) -> f64 {
        if let Self::Joins = *self {
            *self = Self::Since(now);
        }
        let Self::Since(at) = *self else { return 1.0 };
        let part = now.saturating_sub(at) as f64 / PROBE_MS;
        (PROBE_SHARE + (1.0 - PROBE_SHARE) * part).min(1.0)
    }
}

/// State of one incarnation.
#[derive(Debug, Default)]
pub struct Learned {
    /// Evidence of this instance's requests.
    pub own: Observed,
    /// That of the other instances' requests.
    pub peers: Observed,
    stated: Stated,
    /// Moving average of the concurrency, and its time.
    concurrency: Option<(f64, Millis)>,
    /// When it joined a service with known figures, if it did.
    probe: Probe,
    /// The capacity as of the last refresh.
    pub capacity: Capacity,
    /// True while it counts as slow.
    slow: bool,
}

impl Learned {
    /// Stores the endpoint's own figure of its slowness, in percent of the usual.
    pub fn state(&mut self, now: Millis, percent: u32) {
        if percent > 0 {
            let log = (f64::from(percent) / 100.0).ln().clamp(-MAX_LOG, MAX_LOG);
            self.stated.update(now, log);
        }
    }

    /// Adds the present concurrency to the average.
    pub fn see(&mut self, now: Millis, concurrency: f64) {
        let (mean, at) = self.concurrency.unwrap_or((concurrency, now));
        let keep = fade(now.saturating_sub(at), CONCURRENCY_MS);
        self.concurrency = Some((concurrency + (mean - concurrency) * keep, now));
    }

    /// Mean concurrency in the recent past; at least 1.
    pub fn concurrency(&self) -> f64 {
        self.concurrency.map_or(1.0, |(mean, _)| mean.max(1.0))
    }

    /// Estimated logarithms of its factors, for first events and the pace.
    pub fn logs(&self, now: Millis, (first, pace): &(Noise, Noise)) -> (f64, f64) {
        let mut all = self.own.aged(now);
        all.merge(self.peers.aged(now));
        (all.first.log(first), all.pace.log(pace))
    }

    /// True while it counts as slow.
    pub fn is_slow(&self) -> bool {
        self.slow
    }

    /// Decides whether it counts as slow. Returns true if that is a change.
    pub fn update_slow(&mut self) -> bool {
        let bound = if self.slow { SLOW_PACE.0 } else { SLOW_PACE.1 };
        let before = std::mem::replace(&mut self.slow, self.capacity.pace > bound);
        self.slow != before
    }

    /// Notes that it joins a service with known figures.
    pub fn probe(&mut self) {
        self.probe = Probe::Joins;
    }

    /// Derives the capacity from the logarithms, relative to the service.
    pub fn refresh(&mut self, now: Millis, (first, pace): (f64, f64)) {
        let probe = self.probe.share(now);
        let deviation = self.stated.deviation(now);
        self.capacity = Capacity {
            first: factor(first + deviation),
            pace: factor(pace + deviation),
            share: probe / factor(pace).max(1.0),
        };
    }
}

fn factor(log: f64) -> f64 {
    log.exp().clamp(FACTOR_BOUNDS.0, FACTOR_BOUNDS.1)
}

fn fade(age: Millis, time: f64) -> f64 {
    (-(age as f64) / time).exp()
}

/// Lower median; 0 if there is none.
pub(super) fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len().saturating_sub(1) / 2).copied().unwrap_or_default()
}

/// Decayed sums over samples: requests in flight at an endpoint, and the gap or the time of a whole
/// response, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Curve {
    #[serde(rename = "n")]
    weight: f64,
    #[serde(rename = "x")]
    loads: f64,
    #[serde(rename = "y")]
    times: f64,
    #[serde(rename = "xx")]
    squares: f64,
    #[serde(rename = "xy")]
    products: f64,
}

impl Curve {
    /// Adds a sample, and reduces the weight of earlier ones. `expected` is the predicted time.
    pub fn record(&mut self, load: f64, ms: f64, expected: Option<f64>) {
        let ms = expected.map_or(ms, |e| ms.clamp(e / MAX_DEVIATION, e * MAX_DEVIATION));
        let sample =
            Self { weight: 1.0, loads: load, times: ms, squares: load * load, products: load * ms };
        let all = [&mut self.weight, &mut self.loads, &mut self.times];
        all.into_iter().for_each(|v| *v *= CURVE_DECAY);
        self.squares *= CURVE_DECAY;
        self.products *= CURVE_DECAY;
        self.merge(&sample);
    }

    /// Adds the samples of another instance.
    pub fn merge(&mut self, other: &Self) {
        self.weight += other.weight;
        self.loads += other.loads;
        self.times += other.times;
        self.squares += other.squares;
        self.products += other.products;
    }

    /// Predicted time at a concurrency, in milliseconds; `None` with too few samples.
    pub fn predict(&self, load: f64) -> Option<f64> {
        if self.weight < MIN_SAMPLES || self.times <= 0.0 {
            return None;
        }
        let (x, y) = (self.loads / self.weight, self.times / self.weight);
        let variance = (self.squares / self.weight - x * x).max(0.0) + SLOPE_RIDGE;
        let slope = (self.products / self.weight - x * y) / variance;
        let slope = slope.clamp(0.0, y / x.max(1.0));
        Some((y + slope * (load - x)).max(f64::MIN_POSITIVE))
    }
}
