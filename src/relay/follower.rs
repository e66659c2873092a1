//! Turns of the thread that reads one topic of the platform into its replica.
//!
//! Reads that bring nothing are followed by pauses that grow, whatever the platform answers: it takes a
//! limited number of calls from all instances together.

use std::sync::Arc;

use super::follow::{
    BACKOFF, CHECK_INTERVAL, Source, SourceError, carry_over, max_backoff, publish,
};
use super::state::Shared;
use super::stats::{Metrics, TopicLabels};
use crate::adapter::clock::{Clock, Millis};
use crate::fleet::position;
use crate::fleet::replica::Topic;

/// Maximum time that a read waits for new records, in milliseconds. It is within the bounds for a
/// new configuration and for a leaving endpoint to take effect, which must hold even if the
/// connection has silently failed.
const READ_WAIT: u64 = 2_500;
/// Pause after a read that returned changes, in milliseconds, so that records written in quick
/// succession are read together.
const BATCH_PAUSE: u64 = 200;
/// Fraction of the maximum pause with which an instance that isn't a reader begins.
const FIRST_DIVISOR: u64 = 4;
/// Minimum time between two log lines about expired records, in milliseconds.
const MIN_LOG_INTERVAL: u64 = 10_000;

/// Keeps the replica of one topic up to date.
pub struct Follower {
    source: Arc<dyn Source>,
    shared: Arc<Shared>,
    clock: Clock,
    topic: Topic,
    /// The next read is a full one.
    full: bool,
    /// The platform has not answered the last call.
    disconnected: bool,
    /// Pause after the next read that brings nothing, in milliseconds.
    backoff: u64,
    rereads: Rereads,
}

/// Result of a read.
#[derive(Debug, Clone, Copy)]
struct Progress {
    /// An entry changed.
    changed: bool,
    /// The replica's end before the read and after it.
    ends: (u64, u64),
    /// Where the platform's topic ends, as a position that compares with the replica's end.
    end: u64,
    /// The read waited for records for about as long as it might.
    waited: bool,
}

impl Progress {
    fn is_useful(&self) -> bool {
        self.changed || self.ends.0 != self.ends.1
    }
}

/// Full reads because records expired.
#[derive(Debug)]
struct Rereads {
    metrics: Arc<Metrics>,
    topic: &'static str,
    /// Number in a row: no read from the replica's end has succeeded since.
    row: u64,
    /// Number since the last log line.
    unlogged: u64,
    /// Time of the last log line; `None` if there was none.
    logged_at: Option<Millis>,
}

impl Follower {
    /// A follower of a topic that has read nothing.
    pub fn new(
        source: Arc<dyn Source>,
        shared: Arc<Shared>,
        clock: Clock,
        metrics: Arc<Metrics>,
        topic: Topic,
    ) -> Self {
        Self {
            source,
            shared,
            clock,
            topic,
            full: true,
            disconnected: false,
            backoff: BACKOFF.0,
            rereads: Rereads::new(metrics, topic),
        }
    }

    /// Reads the topic once if that is due. Returns the pause until the next turn, in milliseconds.
    pub fn turn(&mut self) -> u64 {
        let stuck = self.shared.is_stuck(self.topic);
        if !self.full && !self.shared.is_reader() && !stuck {
            return CHECK_INTERVAL;
        }
        let wait = if self.disconnected || stuck { 0 } else { READ_WAIT };
        match self.poll(wait) {
            Ok(progress) => self.succeeded(progress),
            Err(SourceError::Expired) => self.expired(),
            Err(e) => self.failed(&e),
        }
    }

    fn succeeded(&mut self, progress: Progress) -> u64 {
        let regained = std::mem::replace(&mut self.disconnected, false);
        if regained {
            tracing::info!(topic = ?self.topic, "follow: platform regained");
        }
        self.shared.set_disconnected(self.topic, false);
        let was_full = std::mem::replace(&mut self.full, false);
        if was_full {
            self.rereads.read(&progress);
        } else {
            self.rereads.end();
        }
        if progress.is_useful() || progress.waited {
            self.backoff = BACKOFF.0;
        }
        if progress.changed {
            publish(self.source.as_ref(), &self.shared, self.topic);
            return BATCH_PAUSE;
        }
        // The next read tells more: from the new end, or with a wait for records.
        let is_first = was_full && self.rereads.row <= 1;
        if is_first || regained || progress.waited {
            return 0;
        }
        self.pause_after_nothing()
    }

    fn expired(&mut self) -> u64 {
        self.full = true;
        let end = self.shared.replica(self.topic).end();
        self.rereads.expired(self.clock.now(), end);
        let is_first = self.rereads.row == 1;
        if is_first && self.shared.is_reader() { 0 } else { self.pause_after_nothing() }
    }

    fn failed(&mut self, e: &SourceError) -> u64 {
        self.shared.replica(self.topic).set_failed();
        if !self.disconnected {
            tracing::warn!(topic = ?self.topic, "follow: platform lost: {e}");
        }
        self.disconnected = true;
        self.shared.set_disconnected(self.topic, true);
        let base = self.next_backoff(BACKOFF.0, max_backoff(self.shared.instances().len()));
        base + rand::random_range(0..=base / 2)
    }

    /// The pause after a read that brought nothing. Readers are few at any size of the fleet; the others
    /// may all begin to read at once.
    fn pause_after_nothing(&mut self) -> u64 {
        let (first, max) = match self.shared.is_reader() {
            true => BACKOFF,
            false => {
                let max = max_backoff(self.shared.instances().len());
                (max / FIRST_DIVISOR, max)
            }
        };
        let base = self.next_backoff(first, max);
        base / 2 + rand::random_range(0..=base)
    }

    /// Length of the next pause, at least `first`; the one after it is twice as long, up to `max`.
    fn next_backoff(&mut self, first: u64, max: u64) -> u64 {
        let base = self.backoff.clamp(first, max);
        self.backoff = (base * 2).min(max);
        base
    }

    /// Reads the topic once: after records expired the newest record of every key, else the records
    /// from the replica's end on, waiting up to `wait` milliseconds for the first. After a failure
    /// `wait` must be 0, so that the end of an outage is known before the next record is read.
    fn poll(&self, wait: u64) -> Result<Progress, SourceError> {
        let start = self.clock.now();
        // Taken before the call, see `position::end_of_read`.
        let since = self.shared.replica(self.topic).end();
        let batch = match self.full {
            true => self.source.newest(self.topic)?.after(since),
            false => self.source.read(self.topic, since, wait)?,
        };
        let now = self.clock.now();
        let end = batch.end;
        let mut replica = self.shared.replica(self.topic);
        let before = replica.end();
        let changed = if self.full {
            let batch = carry_over(self.source.as_ref(), self.topic, &replica, batch);
            replica.reset(now, batch)
        } else {
            replica.append(now, batch)
        };
        let waited = wait > 0 && now >= start + wait / 2;
        Ok(Progress { changed, ends: (before, replica.end()), end, waited })
    }
}

impl Rereads {
    fn new(metrics: Arc<Metrics>, topic: Topic) -> Self {
        let topic = if topic == Topic::Config { "config" } else { "endpoints" };
        Self { metrics, topic, row: 0, unlogged: 0, logged_at: None }
    }

    /// Counts a read of a replica that ends at `end`, whose records have expired.
    fn expired(&mut self, now: Millis, end: u64) {
        self.row += 1;
        self.unlogged += 1;
        self.metrics.rereads.get_or_create(&TopicLabels { topic: self.topic }).inc();
        if self.logged_at.is_some_and(|at| now < at + MIN_LOG_INTERVAL) {
            return;
        }
        self.logged_at = Some(now);
        let count = std::mem::take(&mut self.unlogged);
        tracing::info!(
            topic = self.topic,
            era = position::era(end),
            generation = position::generation(end),
            end = position::offset(end),
            count,
            row = self.row,
            "follow: records expired, rereading all"
        );
    }

    /// Notes what a full read brought. Those that were logged as they began are logged.
    fn read(&self, progress: &Progress) {
        if self.row == 0 || self.unlogged > 0 {
            return;
        }
        let Progress { changed, ends: (before, after), end, .. } = *progress;
        tracing::info!(
            topic = self.topic,
            era = position::era(end),
            generation = position::generation(end),
            end = position::offset(end),
            before = position::offset(before),
            moved = before != after,
            changed,
            "follow: all reread"
        );
    }

    /// Notes a read from the replica's end that succeeded.
    fn end(&mut self) {
        let row = std::mem::take(&mut self.row);
        if row > 1 {
            tracing::info!(topic = self.topic, row, "follow: reads go on after rereads");
        }
    }
}
