//! Measures the turns of the event loop: all connections wait for a slow one.

use super::Driver;
use crate::adapter::clock::Millis;
use crate::relay::stats::ReadLabels;

/// Duration from which a turn is logged, in milliseconds.
const SLOW_TURN_MS: u64 = 250;

/// Work of the current turn.
#[derive(Debug, Default)]
pub(super) struct Turn {
    /// Events of the poller.
    pub(super) events: usize,
    /// Bytes read from callers.
    pub(super) caller_bytes: usize,
    /// Bytes read from endpoints.
    pub(super) endpoint_bytes: usize,
    /// Responses of endpoints that were skipped: interim ones, and those to other requests.
    pub(super) skipped: usize,
}

impl Driver {
    /// Records the turn that began at `start`, and logs it if it was slow.
    pub(super) fn finish_turn(&mut self, start: Millis) {
        let took = self.clock.now().saturating_sub(start);
        let turn = std::mem::take(&mut self.turn);
        self.metrics.turns.observe(took as f64 / 1_000.0);
        self.count_bytes("caller", turn.caller_bytes);
        self.count_bytes("endpoint", turn.endpoint_bytes);
        if took < SLOW_TURN_MS {
            return;
        }
        self.impair_duties();
        tracing::warn!(
            took,
            events = turn.events,
            caller_bytes = turn.caller_bytes,
            endpoint_bytes = turn.endpoint_bytes,
            skipped = turn.skipped,
            callers = self.callers.len(),
            links = self.links.len(),
            "relay: slow turn"
        );
    }

    fn count_bytes(&self, from: &'static str, n: usize) {
        if n > 0 {
            self.metrics.read_bytes.get_or_create(&ReadLabels { from }).inc_by(n as u64);
        }
    }
}
