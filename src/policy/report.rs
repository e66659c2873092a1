//! Decides which crashes to report to peers, and when.
//!
//! Load pattern: a crash breaks all requests of an endpoint, so one wave of crashes yields more
//! reports than a message has room for. Every report gets its turn: those due longest go first.

use indexmap::IndexMap;

use super::suspect::Content;
use crate::adapter::clock::Millis;

/// Maximum reports in one message.
pub const MAX_REPORTS: usize = 250;
/// First interval between two reports of a crash, in milliseconds; each further one is twice the
/// previous one.
const FIRST_INTERVAL: u64 = 500;
/// Longest interval between two reports of a crash, in milliseconds; after that it is not repeated.
/// Instances that were cut off for less time receive it.
const LAST_INTERVAL: u64 = 16_000;
/// Mean interval between two reports of the crashes behind a quarantine, in milliseconds: an instance
/// that joins must hear of them soon.
const QUARANTINE_INTERVAL: u64 = 2_000;
/// Number of peers up to which [`QUARANTINE_INTERVAL`] applies; with more, the interval grows in
/// proportion, so that what an instance receives stays the same.
const INTERVAL_PEERS: usize = 8;

/// How often a report is repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Repeat {
    /// At intervals that grow; the next one is given in milliseconds.
    Fading(u64),
    /// Once for each refresh, until the quarantine ends.
    Steady,
}

#[derive(Debug, Clone, Copy)]
struct Schedule {
    next: Millis,
    repeat: Repeat,
}

/// A crash: content and endpoint incarnation.
type Crash = (Content, String);

/// Crashes to report to peers.
#[derive(Debug, Default)]
pub struct Reports {
    map: IndexMap<Crash, Schedule>,
    /// Time from which the crashes behind quarantines are to be replaced.
    refresh_at: Millis,
}

impl Reports {
    /// Adds a crash that this instance has observed.
    pub fn add(&mut self, now: Millis, content: Content, crash: &str) {
        let schedule = Schedule { next: now, repeat: Repeat::Fading(FIRST_INTERVAL) };
        self.map.entry((content, crash.to_owned())).or_insert(schedule);
    }

    /// Replaces the crashes behind quarantines, which are repeated until they are no longer given
    /// here. `crashes` is called once per interval, which follows from the number of peers. `draw`
    /// is a random number from 0 to 1: it spreads the reports of different instances.
    pub fn refresh(
        &mut self,
        now: Millis,
        peers: usize,
        draw: f64,
        crashes: impl FnOnce() -> Vec<Crash>,
    ) {
        if now < self.refresh_at {
            return;
        }
        let interval =
            QUARANTINE_INTERVAL * peers.max(INTERVAL_PEERS) as u64 / INTERVAL_PEERS as u64;
        self.refresh_at = now + (interval as f64 * (0.5 + draw)) as u64;
        let crashes = crashes();
        self.map.retain(|_, s| s.repeat != Repeat::Steady);
        for crash in crashes {
            self.map.insert(crash, Schedule { next: now, repeat: Repeat::Steady });
        }
    }

    /// The reports for the next message, at most [`MAX_REPORTS`].
    pub fn take(&mut self, now: Millis) -> Vec<Crash> {
        let mut due: Vec<(&Crash, &mut Schedule)> =
            self.map.iter_mut().filter(|(_, s)| s.next <= now).collect();
        due.sort_by_key(|(_, s)| s.next);
        due.truncate(MAX_REPORTS);
        let mut taken = Vec::with_capacity(due.len());
        for (crash, schedule) in due {
            schedule.advance(now);
            taken.push(crash.clone());
        }
        self.map.retain(|_, s| !s.is_over());
        taken
    }

    /// Number of reports that are due.
    pub fn due(&self, now: Millis) -> usize {
        self.map.values().filter(|s| s.next <= now).count()
    }
}

impl Schedule {
    fn is_over(&self) -> bool {
        matches!(self.repeat, Repeat::Fading(interval) if interval > LAST_INTERVAL)
    }

    fn advance(&mut self, now: Millis) {
        match self.repeat {
            Repeat::Fading(interval) => {
                self.next = now + interval;
                self.repeat = Repeat::Fading(2 * interval);
            }
            Repeat::Steady => self.next = Millis::MAX,
        }
    }
}
