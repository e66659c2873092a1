//! Limits that endpoints name in their responses: the requests a second that they take from all
//! instances together.
//!
//! Instances tell each other the limits and what they have sent of late, so each knows the sum but for
//! what has been sent in the last moment. What the sum leaves free is divided. What doesn't divide
//! evenly is for some of the instances in turn; a turn is longer than the news of a send take. An instance that
//! has just learned of a limit, or doesn't hear the others, sends an equal part of it.

mod recent;
mod statement;
mod throttle;
mod turns;

pub use recent::{Recent, Sends};
pub use statement::{MAX_RATE, MIN_RATE, Statement};
pub use turns::Fleet;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::adapter::clock::Millis;
use crate::mechanism::{self, Mechanism};
use throttle::Throttle;

/// Age up to which a statement that no send went with is reported in each message, in milliseconds.
const NEWS_MS: u64 = 1_000;

/// A change of what is known of an endpoint's limit, in requests a second; `None` is no limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Change {
    /// Limit before.
    pub before: Option<f64>,
    /// Limit from now on.
    pub after: Option<f64>,
}

/// What one or more instances tell the others of an endpoint with a limit.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Key of the incarnation.
    #[serde(rename = "k")]
    pub key: u32,
    /// Limit in requests a second that the endpoint has named; `None` if it names none any more.
    #[serde(rename = "r")]
    pub rate: Option<f64>,
    /// Time since the newest response that said so, in milliseconds.
    #[serde(rename = "a")]
    pub age: u64,
    /// Requests sent to it.
    #[serde(rename = "s")]
    pub sends: Recent,
}

impl Report {
    /// True if it belongs in each message, not only in complete ones.
    pub fn is_news(&self) -> bool {
        !self.sends.is_empty() || self.age < NEWS_MS
    }

    /// The same `ms` milliseconds later.
    pub fn aged(&self, ms: u64) -> Self {
        Self { age: self.age.saturating_add(ms), sends: self.sends.aged(ms), ..*self }
    }

    /// Adds what another instance tells of the same endpoint.
    pub fn merge(&mut self, other: &Self) {
        self.sends.merge(&other.sends);
        if other.age < self.age {
            (self.rate, self.age) = (other.rate, other.age);
        }
    }

    /// Adds reports to others, by key.
    pub fn merge_all(all: &mut IndexMap<u32, Self>, reports: impl Iterator<Item = Self>) {
        for report in reports {
            all.entry(report.key).and_modify(|r| r.merge(&report)).or_insert(report);
        }
    }
}

/// Limits of the endpoints of one service, by key of the incarnation.
#[derive(Debug, Default)]
pub struct Limits {
    all: IndexMap<u32, Throttle>,
    fleet: Fleet,
    /// Some endpoint may have a limit.
    any: bool,
}

impl Limits {
    /// Records a send of this instance.
    pub fn record(&mut self, now: Millis, key: u32) {
        self.all.entry(key).or_default().own.record(now);
    }

    /// Applies what a response says that this instance has received. Returns the change, if there is
    /// one.
    pub fn apply(&mut self, now: Millis, key: u32, statement: Statement) -> Option<Change> {
        self.apply_at(now, now, key, statement)
    }

    /// Applies what another instance tells of an endpoint. Returns the change, if there is one.
    pub fn hear(&mut self, now: Millis, report: &Report) -> Option<Change> {
        let statement = report.rate.map_or(Statement::Unlimited, Statement::Rate);
        let at = now.saturating_sub(report.age);
        self.apply_at(now, at, report.key, statement)
    }

    fn apply_at(
        &mut self,
        now: Millis,
        at: Millis,
        key: u32,
        statement: Statement,
    ) -> Option<Change> {
        let change = self.all.entry(key).or_default().apply(now, at, statement);
        self.any |= change.is_some();
        change
    }

    /// True if some endpoint may have a limit.
    pub fn any(&self) -> bool {
        self.any
    }

    /// Notes whether a statement is odd. Returns true if it is and the one before was not.
    pub fn note_odd(&mut self, key: u32, statement: Statement) -> bool {
        let odd = &mut self.all.entry(key).or_default().odd;
        let before = std::mem::replace(odd, statement.is_odd());
        statement.is_odd() && !before
    }

    /// Sets what is known of the other instances, and what they have sent to the endpoints.
    pub fn set_peers(&mut self, now: Millis, fleet: Fleet, reports: &IndexMap<u32, Report>) {
        self.fleet = fleet;
        for (key, throttle) in &mut self.all {
            throttle.set_peers(now, reports.get(key).map(|r| r.sends).unwrap_or_default());
        }
    }

    /// What this instance tells the others of an endpoint, if it has a limit.
    pub fn report(&self, now: Millis, key: u32) -> Option<Report> {
        let t = self.all.get(&key).filter(|t| t.is_news(now))?;
        let (rate, age) = (t.rate, t.statement_age(now));
        Some(Report { key, rate, age, sends: t.own.recent(now) })
    }

    /// True if this instance may send a request to an endpoint now.
    pub fn allows(&mut self, now: Millis, key: u32) -> bool {
        let Some(throttle) = self.all.get_mut(&key) else { return true };
        !mechanism::on(Mechanism::Limits) || throttle.allows(now, key, &self.fleet)
    }

    /// True while an endpoint has a limit, or one that has just ended.
    pub fn holds(&self, now: Millis, key: u32) -> bool {
        self.all.get(&key).is_some_and(|t| t.holds(now))
    }

    /// Forgets endpoints that nothing was sent to for long, unless they have a limit and are listed.
    pub fn expire(&mut self, now: Millis, is_listed: impl Fn(u32) -> bool) {
        self.all.retain(|key, t| t.is_recent(now) || (t.rate.is_some() && is_listed(*key)));
        self.any = self.any && self.all.values().any(|t| t.holds(now));
    }

    /// Limit of an endpoint, in requests a second.
    pub fn rate(&self, key: u32) -> Option<f64> {
        self.all.get(&key)?.rate
    }

    /// Sends of this instance in the last seconds, and those of the fleet as far as known.
    pub fn sends(&self, now: Millis, key: u32) -> (u32, u32) {
        let known = self.all.get(&key);
        known.map_or((0, 0), |t| (t.own.recent(now).total(), t.sends(now).total()))
    }

    /// Number of endpoints that have a limit, or one that has just ended.
    pub fn count(&self, now: Millis) -> usize {
        if !self.any {
            return 0;
        }
        self.all.values().filter(|t| t.holds(now)).count()
    }
}
