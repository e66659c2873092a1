//! Turns of the thread that reads one topic of the platform into its replica.

use std::sync::Arc;

use super::follow::{
    BACKOFF, CHECK_INTERVAL, Source, SourceError, carry_over, max_backoff, publish,
};
use super::state::Shared;
use crate::adapter::clock::Clock;
use crate::fleet::replica::Topic;

/// Maximum time that a read waits for new records, in milliseconds. It is within the bounds for a
/// new configuration and for a leaving endpoint to take effect, which must hold even if the
/// connection has silently failed.
const READ_WAIT: u64 = 2_500;
/// Pause after a read that returned changes, in milliseconds, so that records written in quick
/// succession are read together.
const BATCH_PAUSE: u64 = 200;

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
    /// No read from the replica's end has succeeded since records expired.
    reread: bool,
    /// Pause after the next failed call, in milliseconds.
    backoff: u64,
}

impl Follower {
    /// A follower of a topic that has read nothing.
    pub fn new(source: Arc<dyn Source>, shared: Arc<Shared>, clock: Clock, topic: Topic) -> Self {
        Self {
            source,
            shared,
            clock,
            topic,
            full: true,
            disconnected: false,
            reread: false,
            backoff: BACKOFF.0,
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
            Ok(changed) => self.succeeded(changed),
            Err(SourceError::Expired) => self.expired(),
            Err(e) => self.failed(&e),
        }
    }

    fn succeeded(&mut self, changed: bool) -> u64 {
        if self.disconnected {
            tracing::info!(topic = ?self.topic, "follow: platform regained");
        }
        self.reread &= self.full;
        (self.disconnected, self.full, self.backoff) = (false, false, BACKOFF.0);
        self.shared.set_disconnected(self.topic, false);
        if !changed {
            return 0;
        }
        publish(self.source.as_ref(), &self.shared, self.topic);
        BATCH_PAUSE
    }

    fn expired(&mut self) -> u64 {
        tracing::info!(topic = ?self.topic, "follow: records expired, rereading all");
        self.full = true;
        if std::mem::replace(&mut self.reread, true) { BACKOFF.0 } else { 0 }
    }

    fn failed(&mut self, e: &SourceError) -> u64 {
        self.shared.replica(self.topic).set_failed();
        if !self.disconnected {
            tracing::warn!(topic = ?self.topic, "follow: platform lost: {e}");
        }
        self.disconnected = true;
        self.shared.set_disconnected(self.topic, true);
        let pause = self.backoff + rand::random_range(0..=self.backoff / 2);
        let max = max_backoff(self.shared.instances().len());
        self.backoff = (self.backoff * 2).min(max);
        pause
    }

    /// Reads the topic once: after records expired the newest record of every key, else the records
    /// from the replica's end on, waiting up to `wait` milliseconds for the first. After a failure
    /// `wait` must be 0, so that the end of an outage is known before the next record is read. Returns
    /// true when an entry changed.
    fn poll(&self, wait: u64) -> Result<bool, SourceError> {
        if self.full {
            let batch = self.source.newest(self.topic)?;
            let mut replica = self.shared.replica(self.topic);
            let batch = carry_over(self.source.as_ref(), self.topic, &replica, batch);
            return Ok(replica.reset(self.clock.now(), batch));
        }
        let from = self.shared.replica(self.topic).end();
        let batch = self.source.read(self.topic, from, wait)?;
        let now = self.clock.now();
        Ok(self.shared.replica(self.topic).append(now, batch))
    }
}
