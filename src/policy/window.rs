//! Retry budget over a sliding window, divided among instances without a coordinator.

use std::collections::VecDeque;

use crate::adapter::clock::Millis;

/// Part of the budget that is used, so that clocks and windows that differ do no harm.
const MARGIN: f64 = 0.8;

/// What the fleet may spend on one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryRule {
    /// Second arrivals for each request.
    pub ratio: f64,
    /// Second arrivals besides, for the whole fleet.
    pub extra: f64,
    /// Length of the window in milliseconds.
    pub window: u64,
}

/// One instance's part of the budget of one service.
#[derive(Debug, Default)]
pub struct RetryWindow {
    requests: VecDeque<Millis>,
    retries: VecDeque<Millis>,
}

impl RetryWindow {
    /// A request came in.
    pub fn record_request(&mut self, now: Millis) {
        self.requests.push_back(now);
    }

    /// Takes one retry, where `instances` share the budget; false when none is left. The part
    /// that doesn't depend on requests is divided equally.
    pub fn try_withdraw(&mut self, now: Millis, rule: RetryRule, instances: usize) -> bool {
        expire(&mut self.requests, now, rule.window);
        expire(&mut self.retries, now, rule.window);
        let earned = rule.ratio * self.requests.len() as f64;
        let part = rule.extra / instances.max(1) as f64;
        if (self.retries.len() + 1) as f64 > MARGIN * (earned + part) {
            return false;
        }
        self.retries.push_back(now);
        true
    }
}

fn expire(times: &mut VecDeque<Millis>, now: Millis, window: u64) {
    while times.front().is_some_and(|t| t + window <= now) {
        times.pop_front();
    }
}
