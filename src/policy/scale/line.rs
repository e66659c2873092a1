//! Orders of one kind of endpoint of a service in one failure domain.

use super::{Outcome, Stock};
use crate::adapter::clock::Millis;

/// Minimum time between two orders, in milliseconds.
const MIN_INTERVAL_MS: u64 = 1_000;
/// Time without an answer after which the outcome of an order is unknown, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 6_000;
/// First pause after an order of unknown outcome, in milliseconds; it doubles each time. Then the order
/// is repeated, or another one sent.
const REPEAT_MS: u64 = 2_000;
/// Maximum number of doublings of that pause.
const MAX_DOUBLINGS: u32 = 2;
/// First pause after none was available, in milliseconds; it doubles each time.
const UNAVAILABLE_MS: u64 = 5_000;
/// Pause after endpoints were reclaimed, in milliseconds.
const RECLAIMED_MS: u64 = 20_000;
/// Maximum pause, in milliseconds.
const MAX_PAUSE_MS: u64 = 60_000;
/// Time after the start of an endpoint in which it must be listed, in milliseconds.
const LIST_MS: u64 = 3_000;
/// Repeated orders without effect after which no endpoints are expected there for a while.
const MAX_REPEATS: u32 = 2;

/// State of the orders of one kind in one failure domain.
#[derive(Debug, Default)]
pub(super) struct Line {
    /// Number last ordered, or taken over.
    pub(super) desired: u32,
    /// True until something is ordered: the number is then that of the endpoint list, which may still
    /// be incomplete.
    follows: bool,
    /// What the endpoint list had last.
    pub(super) stock: Stock,
    /// Number ordered before, to return to if the last order is rejected.
    before: u32,
    /// Time in which an endpoint starts, in milliseconds.
    boot: u64,
    /// Time of the last order.
    ordered_at: Option<Millis>,
    /// Time until which endpoints of orders that may have been carried out may be starting.
    starts_until: Millis,
    /// True while the last order has no answer.
    pending: bool,
    /// Time at which an order of unknown outcome is repeated.
    repeat_at: Option<Millis>,
    /// Time until which none is ordered.
    blocked_until: Millis,
    /// Rejections in a row.
    rejections: u32,
    /// Unknown outcomes in a row.
    unknowns: u32,
    /// Time until which nothing is ordered after one.
    unknown_until: Millis,
    /// Repeated orders in a row.
    repeats: u32,
    /// Time since which the list differs from what was ordered.
    differs_since: Option<Millis>,
}

impl Line {
    /// A line on which nothing was ordered yet.
    pub(super) fn unordered() -> Self {
        Self { follows: true, ..Self::default() }
    }

    /// A line on which `desired` endpoints were ordered.
    pub(super) fn new(desired: u32) -> Self {
        Self { desired, before: desired, ..Self::default() }
    }

    /// Takes note of the endpoint list. Returns true if endpoints are being reclaimed.
    pub(super) fn observe(&mut self, now: Millis, boot: u64, stock: Stock) -> bool {
        let lost = stock.ready < self.stock.ready;
        self.stock = stock;
        self.boot = boot;
        if self.pending && self.ordered_at.is_none_or(|at| now >= at + ANSWER_TIMEOUT_MS) {
            self.answered(now, Outcome::Unknown);
        }
        if self.follows {
            (self.desired, self.before) = (stock.ready, stock.ready);
        }
        if stock.ready == self.desired {
            self.differs_since = None;
            self.repeats = 0;
            self.repeat_at = None;
            return false;
        }
        let since = *self.differs_since.get_or_insert(now);
        if lost && stock.leaving > stock.ready && stock.ready < self.desired {
            self.give_up(now, RECLAIMED_MS);
            return true;
        }
        if now >= since + boot + LIST_MS && !self.is_starting(now) {
            self.repeat_at.get_or_insert(now);
        }
        false
    }

    /// Expects no more than what is listed, and orders none for `pause` milliseconds.
    fn give_up(&mut self, now: Millis, pause: u64) {
        (self.desired, self.before) = (self.stock.ready, self.stock.ready);
        self.blocked_until = self.blocked_until.max(now + pause);
        self.starts_until = now;
        self.repeat_at = None;
        self.differs_since = None;
        self.repeats = 0;
    }

    /// True while ordered endpoints may be starting.
    fn is_starting(&self, now: Millis) -> bool {
        self.pending || now < self.starts_until
    }

    /// Endpoints that take work, or will soon.
    pub(super) fn expected(&self, now: Millis) -> u32 {
        if self.is_starting(now) { self.desired } else { self.serving() }
    }

    /// Endpoints that take work and were not given up.
    pub(super) fn serving(&self) -> u32 {
        self.stock.ready.min(self.desired)
    }

    /// True while no more are ordered here, since there are none.
    pub(super) fn is_blocked(&self, now: Millis) -> bool {
        now < self.blocked_until
    }

    /// True if an order may be sent now.
    pub(super) fn is_open(&self, now: Millis) -> bool {
        let known = !self.pending && now >= self.unknown_until;
        known && self.ordered_at.is_none_or(|at| now >= at + MIN_INTERVAL_MS)
    }

    /// True if the last order is repeated now, as it shows no effect.
    pub(super) fn must_repeat(&self, now: Millis) -> bool {
        self.repeat_at.is_some_and(|at| now >= at) && !self.is_blocked(now)
    }

    /// Records that a number is ordered now. Returns the number ordered before.
    pub(super) fn order(&mut self, now: Millis, desired: u32) -> u32 {
        self.repeats = if desired == self.desired { self.repeats + 1 } else { 0 };
        self.before = self.desired;
        self.desired = desired;
        self.follows = false;
        self.ordered_at = Some(now);
        self.pending = true;
        self.repeat_at = None;
        self.differs_since = None;
        self.before
    }

    /// Records the outcome of the last order.
    pub(super) fn answered(&mut self, now: Millis, outcome: Outcome) {
        self.pending = false;
        let starts_until = self.ordered_at.unwrap_or(now) + self.boot + LIST_MS;
        if outcome != Outcome::Unknown {
            self.unknowns = 0;
        }
        match outcome {
            Outcome::Accepted => {
                self.rejections = 0;
                self.starts_until = starts_until;
                if self.repeats > MAX_REPEATS {
                    self.give_up(now, RECLAIMED_MS);
                }
            }
            Outcome::Unavailable => {
                self.revert(now);
                self.block(now);
            }
            Outcome::Limited => self.revert(now),
            Outcome::Unknown => {
                self.unknown_until = now + (REPEAT_MS << self.unknowns.min(MAX_DOUBLINGS));
                self.unknowns += 1;
                self.repeat_at = Some(self.unknown_until);
                self.starts_until = starts_until;
            }
        }
    }

    /// Returns to the number before an order that was not carried out.
    fn revert(&mut self, now: Millis) {
        let starting = now < self.starts_until && self.before != self.desired;
        self.desired = if starting { self.before } else { self.before.min(self.stock.ready) };
        self.before = self.desired;
    }

    fn block(&mut self, now: Millis) {
        let pause = (UNAVAILABLE_MS << self.rejections.min(4)).min(MAX_PAUSE_MS);
        self.blocked_until = now + pause;
        self.rejections += 1;
    }
}
