//! Limit of one endpoint, and what the fleet has sent to it.

use super::recent::{INTERVAL_MS, INTERVALS, Recent, Sends};
use super::turns::{Fleet, Place};
use super::{Change, Statement};
use crate::adapter::clock::Millis;

/// Sends that may follow each other at once, in seconds of the limit: those that were not made before.
const DEPTH_S: f64 = 0.75;
/// Time after a response with a limit in which one without it doesn't end the limit, in milliseconds:
/// it may have been written before.
const END_GRACE_MS: u64 = 250;
/// After the end of a limit, twice as many requests may be sent after each such time, in milliseconds.
const RAMP_STEP_MS: u64 = 250;
/// Time after the end of a limit from which any number may be sent, in milliseconds.
const RAMP_MS: u64 = 2_000;
/// Least rate at the start of that time, in requests a second.
const MIN_RAMP_RATE: f64 = 1.0;
/// Time for which sends and statements are remembered, in milliseconds.
const MEMORY_MS: u64 = 60_000;

/// Limit of one endpoint, and what the fleet has sent to it.
#[derive(Debug, Default)]
pub(super) struct Throttle {
    /// Limit that the endpoint has named, in requests a second.
    pub(super) rate: Option<f64>,
    /// Time of the newest statement that counts.
    stated_at: Millis,
    /// Time since which this instance has known that there is a limit.
    known_since: Millis,
    /// Time of the end of the last limit, and that limit.
    ended: Option<(Millis, f64)>,
    /// The last statement was odd, which is logged once.
    pub(super) odd: bool,
    /// Sends of this instance.
    pub(super) own: Sends,
    /// Sends of the other instances, and the time at which they were so.
    peers: (Recent, Millis),
    /// The last turn that was looked up, and this instance's place in it.
    turn: Option<(u64, Option<Place>)>,
}

impl Throttle {
    /// Applies what a response that was received at `at` by any instance says. Returns the change, if
    /// there is one.
    pub(super) fn apply(
        &mut self,
        now: Millis,
        at: Millis,
        statement: Statement,
    ) -> Option<Change> {
        let before = self.rate;
        let after = match statement {
            Statement::Unlimited => None,
            Statement::Rate(rate) | Statement::Clamped(rate) => Some(rate),
            Statement::Malformed => return None,
        };
        let too_early = after.is_none() && before.is_some() && at < self.stated_at + END_GRACE_MS;
        if at < self.stated_at || too_early {
            return None;
        }
        self.stated_at = at;
        if after == before {
            return None;
        }
        if !self.holds(now) {
            self.known_since = now;
        }
        self.ended = before.filter(|_| after.is_none()).map(|rate| (at, rate));
        self.rate = after;
        Some(Change { before, after })
    }

    /// Replaces the sends of the other instances.
    pub(super) fn set_peers(&mut self, now: Millis, sends: Recent) {
        self.peers = (sends, now);
    }

    /// Age of the newest statement, in milliseconds.
    pub(super) fn statement_age(&self, now: Millis) -> u64 {
        now.saturating_sub(self.stated_at)
    }

    /// True while a limit holds or has just ended.
    pub(super) fn holds(&self, now: Millis) -> bool {
        self.effective_rate(now).is_some()
    }

    /// True if the other instances need to know of it.
    pub(super) fn is_news(&self, now: Millis) -> bool {
        self.rate.is_some() || self.ended.is_some_and(|(at, _)| now < at + 2 * RAMP_MS)
    }

    /// True while it is worth remembering.
    pub(super) fn is_recent(&self, now: Millis) -> bool {
        let last = self.own.last_at().unwrap_or_default().max(self.stated_at);
        now < last + MEMORY_MS
    }

    /// Limit in requests a second, which rises step by step after its end.
    fn effective_rate(&self, now: Millis) -> Option<f64> {
        let (at, last) = match (self.rate, self.ended) {
            (Some(rate), _) => return Some(rate),
            (None, Some(ended)) => ended,
            (None, None) => return None,
        };
        let since = now.saturating_sub(at);
        let rate = last.max(MIN_RAMP_RATE) * 2f64.powi((since / RAMP_STEP_MS) as i32 + 1);
        (since < RAMP_MS).then_some(rate)
    }

    /// Sends of the whole fleet, as far as known.
    pub(super) fn sends(&self, now: Millis) -> Recent {
        let (peers, at) = &self.peers;
        let mut sends = self.own.recent(now);
        sends.merge(&peers.aged(now.saturating_sub(*at)));
        sends
    }

    /// True if this instance may send a request to the endpoint now.
    pub(super) fn allows(&mut self, now: Millis, key: u32, fleet: &Fleet) -> bool {
        let Some(rate) = self.effective_rate(now) else { return true };
        let settled = now >= self.known_since + 2 * fleet.news_delay();
        if !fleet.informed || !settled {
            return self.allows_part(now, rate, fleet);
        }
        let unseen = self.own.recent(now).within(unseen_intervals(fleet)) as usize;
        let room = self.room(now, rate) + unseen as f64;
        let room = if room > 0.0 { room as usize } else { 0 };
        let (part, rest) = (room / fleet.size(), room % fleet.size());
        if unseen < part {
            return true;
        }
        let place = if unseen < part + rest { self.place(now, key, fleet) } else { None };
        place.is_some_and(|p| unseen < part + p.part(rest))
    }

    /// True if this instance may send a request although it doesn't know what others send: an equal
    /// part of the limit.
    fn allows_part(&self, now: Millis, rate: f64, fleet: &Fleet) -> bool {
        let interval = fleet.size() as f64 * 1_000.0 / rate;
        let last = self.own.last_at().unwrap_or_default().max(self.known_since);
        now.saturating_sub(last) as f64 >= interval
    }

    /// Place of this instance in the present turn, if it has one.
    fn place(&mut self, now: Millis, key: u32, fleet: &Fleet) -> Option<Place> {
        let turn = fleet.turn(now)?;
        match self.turn {
            Some((last, place)) if last == turn => place,
            _ => self.turn.insert((turn, fleet.place(turn, key))).1,
        }
    }

    /// Requests that the fleet may still send now: in no span of time up to the present may there be
    /// more than the limit gives in it and [`DEPTH_S`].
    fn room(&self, now: Millis, rate: f64) -> f64 {
        let sends = self.sends(now);
        let apart = 1_000.0 / rate;
        if sends.last_age().is_some_and(|age| rate < 1.0 && (age as f64) < apart) {
            return 0.0;
        }
        let depth = (rate * DEPTH_S).max(1.0);
        let span = |intervals: usize| {
            let seconds = (intervals as u64 * INTERVAL_MS) as f64 / 1_000.0;
            rate * seconds + depth - f64::from(sends.within(intervals))
        };
        (1..=INTERVALS).map(span).fold(f64::INFINITY, f64::min)
    }
}

/// Intervals that may hold sends which others have not heard of.
fn unseen_intervals(fleet: &Fleet) -> usize {
    fleet.news_delay().div_ceil(INTERVAL_MS) as usize + 1
}
