//! Graceful stop: refuses what can't end in time, answers the rest, closes idle connections.

use super::Driver;
use super::dispatch::RefuseReason;
use crate::adapter::clock::Millis;
use crate::policy::shutdown::{Shutdown, Work};
use crate::relay::caller::{Caller, ListenerKind};
use crate::relay::exchange::Exchange;
use crate::relay::timers::Owner;

/// Time for which a connection has been idle before a stopping instance closes it, in milliseconds: the
/// request on a new one is about to arrive, and has an answer coming.
const IDLE_CLOSE_MS: u64 = 200;

impl Driver {
    /// Starts the stop of the process, unless it has started.
    pub(super) fn start_stop(&mut self) {
        if self.shutdown.is_some() {
            return;
        }
        let now = self.clock.now();
        let stop = Shutdown::new(now, self.setup.grace);
        let waiting = self.queue.len();
        tracing::info!(
            callers = self.callers.len(),
            waiting,
            ends = stop.ends_at(),
            now,
            "relay: stopping"
        );
        self.timers.set(stop.answers_at(), Owner::Stop);
        self.timers.set(stop.ends_at(), Owner::Stop);
        self.shutdown = Some(stop);
    }

    /// Does what is due in a stop. Returns true once the process may end.
    pub(super) fn advance_stop(&mut self) -> bool {
        let Some(stop) = self.shutdown else { return false };
        let now = self.clock.now();
        if stop.delay_passed(now) {
            self.close_idle(now);
            self.end_where(|e| e.queue_key.is_some() && !may_send(&stop, now, e));
        }
        if now >= stop.answers_at() {
            self.end_where(|e| !e.streaming);
        }
        let idle = self.callers.iter().all(|(_, c)| allows_end(c));
        stop.may_end(now, idle)
    }

    /// True if a request may be sent to an endpoint, as far as a stop is concerned.
    pub(super) fn stop_allows(&self, exchange: &Exchange) -> bool {
        let now = self.clock.now();
        self.shutdown.is_none_or(|stop| may_send(&stop, now, exchange))
    }

    /// Ends the requests that `which` selects.
    fn end_where(&mut self, which: impl Fn(&Exchange) -> bool) {
        let selected = |c: &Caller| c.exchange.as_ref().is_some_and(|e| which(e));
        let found = self.callers.iter().filter(|(_, c)| selected(c));
        let found: Vec<usize> = found.map(|(i, _)| i).collect();
        for caller in found {
            self.end_request(caller, RefuseReason::Stopping);
        }
    }

    /// Closes idle connections of callers; called once the platform sends no more requests.
    fn close_idle(&mut self, now: Millis) {
        let unused = |c: &Caller| c.is_idle() && c.last_active + IDLE_CLOSE_MS <= now;
        let closes =
            |c: &Caller| c.listener == ListenerKind::Front && unused(c) && c.linger_until.is_none();
        let all = self.callers.iter().filter(|(_, c)| closes(c));
        let all: Vec<usize> = all.map(|(i, _)| i).collect();
        for index in all {
            self.linger(index, now);
        }
    }
}

fn may_send(stop: &Shutdown, now: Millis, exchange: &Exchange) -> bool {
    let work = match (exchange.kind().is_stream(), exchange.streaming) {
        (false, _) => Work::Whole,
        (true, false) => Work::Stream,
        (true, true) => Work::Rest,
    };
    stop.may_send(now, work, exchange.deadline)
}

/// True if a connection doesn't hold up the end of the process.
fn allows_end(caller: &Caller) -> bool {
    caller.listener == ListenerKind::Ready || caller.is_idle() || caller.linger_until.is_some()
}
