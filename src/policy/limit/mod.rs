//! Limits that endpoints name in their responses: the requests a second that they take from all
//! instances together.

mod recent;
mod statement;

pub use recent::{Recent, Sends};
pub use statement::{MAX_RATE, MIN_RATE, Statement};

use indexmap::IndexMap;

use crate::adapter::clock::Millis;

/// A change of what is known of an endpoint's limit, in requests a second; `None` is no limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Change {
    /// Limit before.
    pub before: Option<f64>,
    /// Limit from now on.
    pub after: Option<f64>,
}

/// Limit of one endpoint, and what was sent to it.
#[derive(Debug, Default)]
struct Throttle {
    /// Limit that the endpoint has named, in requests a second.
    rate: Option<f64>,
    /// The last statement was odd, which is logged once.
    odd: bool,
    /// Sends of this instance.
    own: Sends,
}

/// Limits of the endpoints of one service, by key of the incarnation.
#[derive(Debug, Default)]
pub struct Limits {
    all: IndexMap<u32, Throttle>,
}

impl Limits {
    /// Records a send of this instance.
    pub fn record(&mut self, now: Millis, key: u32) {
        self.all.entry(key).or_default().own.record(now);
    }

    /// Applies what a response says. Returns the change, if there is one.
    pub fn apply(&mut self, key: u32, statement: Statement) -> Option<Change> {
        let throttle = self.all.entry(key).or_default();
        let before = throttle.rate;
        throttle.rate = match statement {
            Statement::Unlimited => None,
            Statement::Rate(rate) | Statement::Clamped(rate) => Some(rate),
            Statement::Malformed => before,
        };
        (throttle.rate != before).then_some(Change { before, after: throttle.rate })
    }

    /// Notes whether a statement is odd. Returns true if it is and the one before was not.
    pub fn note_odd(&mut self, key: u32, statement: Statement) -> bool {
        let odd = &mut self.all.entry(key).or_default().odd;
        statement.is_odd() && !std::mem::replace(odd, statement.is_odd())
    }

    /// Limit of an endpoint, in requests a second.
    pub fn rate(&self, key: u32) -> Option<f64> {
        self.all.get(&key)?.rate
    }

    /// Sends of this instance in the last seconds.
    pub fn own_sends(&self, now: Millis, key: u32) -> u32 {
        self.all.get(&key).map_or(0, |t| t.own.recent(now).total())
    }

    /// Number of endpoints that have a limit.
    pub fn count(&self) -> usize {
        self.all.values().filter(|t| t.rate.is_some()).count()
    }
}
