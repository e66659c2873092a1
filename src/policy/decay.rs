//! Sums whose past decays exponentially.

use crate::adapter::clock::Millis;

/// A sum and the time to which it is decayed.
#[derive(Debug, Clone, Copy, Default)]
pub struct Decayed {
    sum: f64,
    at: Millis,
}

impl Decayed {
    /// The sum at a time, with a time constant in milliseconds.
    pub fn at(self, now: Millis, constant: f64) -> f64 {
        self.sum * decay(now.saturating_sub(self.at), constant)
    }

    /// Adds an amount.
    pub fn add(&mut self, now: Millis, constant: f64, amount: f64) {
        *self = Self { sum: self.at(now, constant) + amount, at: now };
    }
}

/// Fraction of a sum that is left after `ms` milliseconds.
pub fn decay(ms: u64, constant: f64) -> f64 {
    (-(ms as f64) / constant).exp()
}
