//! Log lines and metrics of the calls of the ledger.

use std::sync::Arc;

use crate::adapter::clock::{Clock, Millis};
use crate::relay::follow::SourceError;
use crate::relay::stats::{LedgerCallLabels, LedgerLabels, Metrics};

/// Minimum time between two lines that calls fail, in milliseconds: a platform that refuses every other
/// call doesn't fill the log.
const MIN_LOG_INTERVAL: u64 = 10_000;

/// Counts calls of one thread, and logs when they begin to fail and when they succeed again.
#[derive(Debug)]
pub(super) struct CallLog {
    /// What the thread does.
    action: &'static str,
    clock: Clock,
    metrics: Arc<Metrics>,
    /// Time at which failed calls were last logged; `None` if never.
    logged_at: Option<Millis>,
    /// Failed calls were logged, and none has succeeded since.
    is_failing: bool,
    /// Calls that failed since the last line.
    failed: u64,
}

impl CallLog {
    pub(super) fn new(action: &'static str, clock: Clock, metrics: Arc<Metrics>) -> Self {
        Self { action, clock, metrics, logged_at: None, is_failing: false, failed: 0 }
    }

    /// Counts a call that succeeded, with the keys and values that it carried.
    pub(super) fn succeeded(&mut self, call: &'static str, entries: usize, bytes: usize) {
        self.count(call, "ok");
        let labels = LedgerLabels { call };
        self.metrics.ledger_entries.get_or_create(&labels).inc_by(entries as u64);
        self.metrics.ledger_bytes.get_or_create(&labels).inc_by(bytes as u64);
        if std::mem::take(&mut self.is_failing) {
            let failed = std::mem::take(&mut self.failed);
            tracing::info!(action = self.action, failed, "ledger: calls succeed again");
        }
    }

    /// Counts a call that failed.
    pub(super) fn failed(&mut self, call: &'static str, e: &SourceError) {
        self.count(call, e.name());
        self.failed += 1;
        let now = self.clock.now();
        if self.is_failing || self.logged_at.is_some_and(|at| now < at + MIN_LOG_INTERVAL) {
            return;
        }
        (self.is_failing, self.logged_at) = (true, Some(now));
        tracing::warn!(action = self.action, failed = self.failed, "ledger: calls fail: {e}");
    }

    fn count(&self, call: &'static str, outcome: &'static str) {
        self.metrics.ledger_calls.get_or_create(&LedgerCallLabels { call, outcome }).inc();
    }
}
