//! Corrects how much an endpoint takes by the first events that come late although there are enough
//! endpoints by the fixed figures.

use super::ServiceFigures;
use crate::adapter::clock::Millis;

/// Fraction of late first events of a class above which endpoints take less than assumed: targets
/// are meant for 95 of 100 requests.
const LATE: f64 = 0.05;
/// Fraction below which they take as much as assumed.
const CALM: f64 = 0.02;
/// Factor of one correction.
const STEP: f64 = 0.8;
/// Least factor of all corrections together.
const LEAST: f64 = 0.5;
/// Time for which there must be enough endpoints before late first events count, in milliseconds: the
/// queues empty, and earlier ones are forgotten.
const WATCH_MS: u64 = 10_000;
/// Calm time after which a correction is reduced, in milliseconds; it doubles with each further one.
const CALM_MS: u64 = 60_000;
/// Maximum number of doublings of that time.
const MAX_DOUBLINGS: u32 = 4;
/// Part of the late ones by which a correction must reduce them, so that it isn't taken back.
const EFFECT: f64 = 0.2;
/// Time without corrections after one had no effect, in milliseconds: the cause is another.
const REST_MS: u64 = 120_000;
/// Time constant of the fractions, in milliseconds.
const MEAN_MS: f64 = 3_000.0;
/// Minimum first events a second of a class that counts.
const MIN_RATE: f64 = 4.0;

/// Correction of what an endpoint takes.
#[derive(Debug)]
pub(super) struct Fit {
    factor: f64,
    /// Mean rates of first events in time and late ones, by priority.
    rates: Vec<(u8, f64, f64)>,
    updated_at: Millis,
    changed_at: Millis,
    /// Time since which there are enough endpoints.
    enough_since: Millis,
    corrections: u32,
    /// Greatest fraction of late ones since the last correction.
    most_late: f64,
    calm_since: Millis,
    rests_until: Millis,
}

impl Default for Fit {
    fn default() -> Self {
        Self {
            factor: 1.0,
            rates: Vec::new(),
            updated_at: 0,
            changed_at: 0,
            enough_since: 0,
            corrections: 0,
            most_late: 0.0,
            calm_since: 0,
            rests_until: 0,
        }
    }
}

impl Fit {
    /// Part of the assumed work that an endpoint takes.
    pub(super) fn factor(&self) -> f64 {
        self.factor
    }

    /// Takes figures. `enough` is true if there are as many endpoints as the demand needs by the
    /// present factor.
    pub(super) fn update(&mut self, now: Millis, figures: &ServiceFigures, enough: bool) {
        let late = self.late(now, figures);
        self.most_late = self.most_late.max(late);
        if late >= CALM || !enough {
            self.calm_since = now;
        }
        if !enough {
            self.enough_since = now;
        }
        let calm = CALM_MS << self.corrections.saturating_sub(1).min(MAX_DOUBLINGS);
        if late > LATE && now >= self.changed_at.max(self.enough_since) + WATCH_MS {
            self.correct(now, late);
        } else if now >= self.calm_since + calm && self.factor < 1.0 {
            self.factor = (self.factor / STEP.sqrt()).min(1.0);
            self.calm_since = now;
        }
    }

    fn correct(&mut self, now: Millis, late: f64) {
        if now < self.rests_until {
            return;
        }
        self.changed_at = now;
        let most = std::mem::replace(&mut self.most_late, late);
        if self.factor < 1.0 && late > most * (1.0 - EFFECT) {
            self.factor = 1.0;
            self.rests_until = now + REST_MS;
            return;
        }
        self.corrections += 1;
        self.factor = (self.factor * STEP).max(LEAST);
    }

    /// Greatest fraction of late first events of a class.
    fn late(&mut self, now: Millis, figures: &ServiceFigures) -> f64 {
        let gain = 1.0 - (-(now.saturating_sub(self.updated_at) as f64) / MEAN_MS).exp();
        self.updated_at = now;
        for c in &figures.classes {
            let (timely, late) = (f64::from(c.timely), f64::from(c.late));
            match self.rates.iter_mut().find(|r| r.0 == c.priority) {
                Some(rate) => {
                    rate.1 += gain * (timely - rate.1);
                    rate.2 += gain * (late - rate.2);
                }
                None => self.rates.push((c.priority, timely, late)),
            }
        }
        let counted = self.rates.iter().filter(|r| r.1 + r.2 >= MIN_RATE);
        counted.map(|r| r.2 / (r.1 + r.2)).fold(0.0, f64::max)
    }
}
