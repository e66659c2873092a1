//! Estimate of the time that the engines of a service take for prompts, learned from requests.

use serde::{Deserialize, Serialize};

/// Prompt tokens per millisecond that are assumed until requests show the rate.
const START_RATE: f64 = 40.0;
/// Time of a request besides its prompt that is assumed at the start, in milliseconds.
const START_BASE_MS: f64 = 20.0;
/// Size of the prompt that the assumptions at the start stand for, in tokens.
const START_TOKENS: f64 = 8_192.0;
/// Weight of the assumptions at the start, in requests.
const START_WEIGHT: f64 = 0.5;
/// Fraction of their weight that earlier requests keep with each new one.
const DECAY: f64 = 0.99;
/// Factor by which a request may differ from the estimate; beyond that it counts as this far off,
/// so that one stalled request can't change the estimate much.
const MAX_DEVIATION: f64 = 3.0;
/// Slowest and fastest rates that an estimate may take, in prompt tokens per millisecond.
const RATE_BOUNDS: (f64, f64) = (1.0, 2_000.0);

/// Decayed sums over requests: prompt tokens that the engine had to compute until the first event,
/// and the time until then.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Samples {
    #[serde(rename = "n")]
    weight: f64,
    #[serde(rename = "x")]
    tokens: f64,
    #[serde(rename = "y")]
    times: f64,
    #[serde(rename = "xx")]
    squares: f64,
    #[serde(rename = "xy")]
    products: f64,
}

impl Samples {
    /// Adds a request, and reduces the weight of earlier ones. `expected` is the time that was
    /// predicted for it; both times are in milliseconds.
    pub fn record(&mut self, tokens: u32, ms: u64, expected: f64) {
        let ms = (ms as f64).clamp(expected / MAX_DEVIATION, expected * MAX_DEVIATION);
        self.weight *= DECAY;
        self.tokens *= DECAY;
        self.times *= DECAY;
        self.squares *= DECAY;
        self.products *= DECAY;
        self.add(1.0, f64::from(tokens), ms);
    }

    fn add(&mut self, weight: f64, tokens: f64, ms: f64) {
        self.weight += weight;
        self.tokens += weight * tokens;
        self.times += weight * ms;
        self.squares += weight * tokens * tokens;
        self.products += weight * tokens * ms;
    }

    /// Adds the samples of another instance.
    pub fn merge(&mut self, other: &Self) {
        self.weight += other.weight;
        self.tokens += other.tokens;
        self.times += other.times;
        self.squares += other.squares;
        self.products += other.products;
    }

    /// Fits the time linearly to the tokens.
    pub fn speed(mut self) -> Speed {
        self.add(START_WEIGHT, 0.0, START_BASE_MS);
        self.add(START_WEIGHT, START_TOKENS, START_BASE_MS + START_TOKENS / START_RATE);
        let spread = self.weight * self.squares - self.tokens * self.tokens;
        let slope = (self.weight * self.products - self.tokens * self.times) / spread;
        let (slowest, fastest) = RATE_BOUNDS;
        let rate = 1.0 / slope.clamp(1.0 / fastest, 1.0 / slowest);
        let base = (self.times - self.tokens / rate) / self.weight;
        Speed { rate, base: base.max(0.0) }
    }
}

/// Speed of the engines of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Speed {
    /// Prompt tokens that an engine computes in a millisecond.
    rate: f64,
    /// Time of a request besides its prompt, in milliseconds.
    base: f64,
}

impl Default for Speed {
    fn default() -> Self {
        Samples::default().speed()
    }
}

impl Speed {
    /// Predicted time until the first event on an engine that has `tokens` prompt tokens to compute
    /// until then, in milliseconds.
    pub fn predict(&self, tokens: u32) -> f64 {
        self.base + self.ms(tokens)
    }

    /// Prompt tokens that an engine computes in a second.
    pub fn per_second(&self) -> f64 {
        self.rate * 1_000.0
    }

    /// Time to compute a number of prompt tokens, in milliseconds.
    pub fn ms(&self, tokens: u32) -> f64 {
        f64::from(tokens) / self.rate
    }
}
