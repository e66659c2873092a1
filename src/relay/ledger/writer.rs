//! Turns of the thread that writes: one call with all changes, after an interval.

use std::sync::Arc;

use super::log::CallLog;
use super::{Backoff, Batch, Budget, Next};
use crate::adapter::clock::{Clock, Millis};
use crate::fleet::replica::Topic;
use crate::relay::follow::Source;
use crate::relay::state::Shared;
use crate::relay::stats::Metrics;

/// Writes the changes of the board.
pub struct Writer {
    source: Arc<dyn Source>,
    shared: Arc<Shared>,
    clock: Clock,
    budget: Budget,
    log: CallLog,
    backoff: Backoff,
    /// Earliest time of the next write.
    next_at: Millis,
}

impl Writer {
    /// A writer of the board that `shared` holds.
    pub fn new(
        source: Arc<dyn Source>,
        shared: Arc<Shared>,
        clock: Clock,
        metrics: Arc<Metrics>,
        budget: Budget,
    ) -> Self {
        let log = CallLog::new("write", clock.clone(), metrics);
        Self { source, shared, clock, budget, log, backoff: Backoff::default(), next_at: 0 }
    }

    /// Writes what is due, in one call.
    pub fn turn(&mut self) -> Next {
        let now = self.clock.now();
        if now < self.next_at {
            return Next::Pause(self.next_at - now);
        }
        if let Some(era) = self.shared.era() {
            self.shared.ledger().note_era(era);
        }
        let interval = self.budget.write_interval(self.shared.instances().len());
        self.shared.ledger().set_write_interval(interval);
        let Some(batch) = self.shared.ledger().batch() else { return Next::Wait };
        self.write(&batch);
        Next::Pause(self.next_at.saturating_sub(self.clock.now()))
    }

    fn write(&mut self, batch: &Batch) {
        let instances = self.shared.instances().len();
        self.next_at = self.clock.now() + self.budget.write_interval(instances);
        let entries: Vec<_> =
            batch.changes.iter().map(|(_, k, v)| (k.as_str(), some_unless_empty(v))).collect();
        match self.source.put(Topic::Streams, &entries) {
            Ok(era) => {
                let bytes = batch.changes.iter().map(|(_, k, v)| k.len() + v.len()).sum();
                self.log.succeeded("write", entries.len(), bytes);
                self.backoff = Backoff::default();
                let written = self.shared.ledger().acknowledge(batch, era);
                self.shared.notify(|updates| {
                    updates.written = written.or(updates.written);
                    updates.ledger_era = updates.ledger_era.max(Some(era));
                });
            }
            Err(e) => {
                self.log.failed("write", &e);
                let retry_at = self.clock.now() + self.backoff.next(instances);
                self.next_at = self.next_at.max(retry_at);
            }
        }
    }
}

/// The value of an entry; `None` if the key is to be removed.
fn some_unless_empty(value: &[u8]) -> Option<&[u8]> {
    (!value.is_empty()).then_some(value)
}
