//! Retry budget over a sliding window, divided among instances without a coordinator.

use std::collections::VecDeque;

use crate::adapter::clock::Millis;

/// Fraction of the budget that is spent; the rest absorbs differences between the clocks and
/// windows of instances.
const MARGIN: f64 = 0.8;

/// Retry budget of the whole fleet for one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryRule {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Further retries allowed per window, for the whole fleet.
    pub extra: f64,
    /// Length of the window in milliseconds.
    pub window: u64,
}

/// One instance's share of the retry budget of one service.
#[derive(Debug, Default)]
pub struct RetryWindow {
    requests: VecDeque<Millis>,
    retries: VecDeque<Millis>,
}

impl RetryWindow {
    /// Records an incoming request.
    pub fn record_request(&mut self, now: Millis) {
        self.requests.push_back(now);
    }

    /// Withdraws one retry; returns false if none is left. The allowance `extra` of the rule is
    /// divided equally among the `instances` that share the budget.
    pub fn try_withdraw(&mut self, now: Millis, rule: RetryRule, instances: usize) -> bool {
        expire(&mut self.requests, now, rule.window);
        expire(&mut self.retries, now, rule.window);
        let earned = rule.ratio * self.requests.len() as f64;
        let share = rule.extra / instances.max(1) as f64;
        if (self.retries.len() + 1) as f64 > MARGIN * (earned + share) {
            return false;
        }
        self.retries.push_back(now);
        true
    }
}

/// Removes the times that have left the window.
fn expire(times: &mut VecDeque<Millis>, now: Millis, window: u64) {
    while times.front().is_some_and(|t| t + window <= now) {
        times.pop_front();
    }
}
