//! Counts of recent sends by age, which instances exchange and add up.

use serde::{Deserialize, Serialize};

use crate::adapter::clock::Millis;

/// Length of the intervals in which sends are counted, in milliseconds.
pub(super) const INTERVAL_MS: u64 = 250;
/// Number of intervals that are kept.
pub(super) const INTERVALS: usize = 16;

/// Sends of the last [`INTERVALS`] intervals, the newest interval first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recent {
    counts: [u16; INTERVALS],
    /// Age of the last send in milliseconds, if there was one.
    last: Option<u32>,
}

impl Recent {
    /// True if no send is counted.
    pub fn is_empty(&self) -> bool {
        self.counts.iter().all(|n| *n == 0)
    }

    /// Sends in the newest `intervals` intervals.
    pub fn within(&self, intervals: usize) -> u32 {
        self.counts.iter().take(intervals).map(|n| u32::from(*n)).sum()
    }

    /// Sends in all intervals.
    pub fn total(&self) -> u32 {
        self.within(INTERVALS)
    }

    /// Age of the last send, in milliseconds.
    pub fn last_age(&self) -> Option<u64> {
        self.last.map(u64::from)
    }

    /// The same `ms` milliseconds later. Ages are rounded down to whole intervals, so that no send
    /// counts as older than it is.
    pub fn aged(&self, ms: u64) -> Self {
        let mut aged = self.shifted(ms / INTERVAL_MS);
        aged.last = self.last.map(|age| age.saturating_add(ms.min(u64::from(u32::MAX)) as u32));
        aged
    }

    /// Adds the sends of another instance.
    pub fn merge(&mut self, other: &Self) {
        for (sum, n) in self.counts.iter_mut().zip(other.counts) {
            *sum = sum.saturating_add(n);
        }
        self.last = [self.last, other.last].into_iter().flatten().min();
    }

    fn shifted(&self, intervals: u64) -> Self {
        let by = intervals.min(INTERVALS as u64) as usize;
        let mut counts = [0; INTERVALS];
        counts[by..].copy_from_slice(&self.counts[..INTERVALS - by]);
        Self { counts, last: self.last }
    }
}

/// Sends of this instance to one endpoint.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Sends {
    recent: Recent,
    /// Number of the newest interval since the epoch of the clock.
    interval: u64,
    last_at: Option<Millis>,
}

impl Sends {
    /// Records a send.
    pub fn record(&mut self, now: Millis) {
        self.advance(now);
        self.recent.counts[0] = self.recent.counts[0].saturating_add(1);
        self.last_at = Some(now);
    }

    /// The sends as of now.
    pub fn recent(&self, now: Millis) -> Recent {
        let mut sends = self.clone();
        sends.advance(now);
        let age = self.last_at.map(|at| now.saturating_sub(at));
        sends.recent.last = age.map(|age| u32::try_from(age).unwrap_or(u32::MAX));
        sends.recent
    }

    /// Time of the last send.
    pub fn last_at(&self) -> Option<Millis> {
        self.last_at
    }

    fn advance(&mut self, now: Millis) {
        let interval = now / INTERVAL_MS;
        self.recent = self.recent.shifted(interval.saturating_sub(self.interval));
        self.interval = self.interval.max(interval);
    }
}
