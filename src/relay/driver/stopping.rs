//! Graceful stop: refuses what can't end in time, answers the rest, closes idle connections.

use super::Driver;
use super::dispatch::RefuseReason;
use super::outcome::RETRY_ELSEWHERE_MS;
use crate::adapter::clock::Millis;
use crate::policy::shutdown::{Pending, Shutdown, Work};
use crate::relay::caller::{Caller, ListenerKind};
use crate::relay::exchange::Exchange;
use crate::relay::timers::Owner;

/// Time for which a connection must have been idle before a stopping instance closes it, in
/// milliseconds. The first request on a new connection may still be on its way, and is to be answered.
const IDLE_CLOSE_MS: u64 = 200;

impl Driver {
    /// Starts the stop of the process, unless it has started. The grace period counts from
    /// `requested`.
    pub(super) fn start_stop(&mut self, requested: Millis) {
        if self.shutdown.is_some() {
            return;
        }
        let now = self.clock.now();
        let stop = Shutdown::new(requested, self.setup.grace);
        let waiting = self.queue.len();
        tracing::info!(
            callers = self.callers.len(),
            waiting,
            requested,
            ends = stop.ends_at(),
            now,
            "relay: stopping"
        );
        self.timers.set(stop.answers_at(), Owner::Stop);
        self.timers.set(stop.ends_at(), Owner::Stop);
        self.timers.set(stop.last_at(), Owner::Stop);
        self.shutdown = Some(stop);
    }

    /// Does what is due in a stop. Returns true once the process may end. `quiet` is true if this turn
    /// has found no new input of callers.
    pub(super) fn advance_stop(&mut self, quiet: bool) -> bool {
        let Some(stop) = self.shutdown else { return false };
        let now = self.clock.now();
        if stop.delay_passed(now) {
            if quiet {
                self.close_idle(now);
            }
            self.end_where(|e| e.queue_key.is_some() && !may_send(&stop, now, e));
        }
        if now >= stop.answers_at() {
            self.end_where(|e| !e.streaming);
            self.refuse_partial();
        }
        stop.may_end(now, self.pending(quiet))
    }

    /// What callers still wait for.
    fn pending(&self, quiet: bool) -> Pending {
        let all = self.callers.iter().map(|(_, c)| pending_of(c));
        let input = if quiet { Pending::Nothing } else { Pending::Answers };
        all.fold(input, Pending::min)
    }

    /// Refuses the requests that have arrived in part.
    fn refuse_partial(&mut self) {
        let partial = |c: &Caller| {
            c.request_start.is_some() && !c.closing && c.listener == ListenerKind::Front
        };
        let found = self.callers.iter().filter(|(_, c)| partial(c));
        let found: Vec<usize> = found.map(|(i, _)| i).collect();
        for caller in found {
            self.callers[caller].closing = true;
            let reason = RefuseReason::Stopping;
            self.count_outcome("", reason.message());
            self.respond(caller, reason.status(), Some(RETRY_ELSEWHERE_MS), reason.message());
        }
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

    /// Closes idle connections of callers; called once the platform sends no more requests, in a turn
    /// that has read all that has arrived on them.
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

/// What the caller of a connection still waits for.
fn pending_of(caller: &Caller) -> Pending {
    if caller.listener == ListenerKind::Ready || caller.is_idle() || caller.linger_until.is_some() {
        return Pending::Nothing;
    }
    match &caller.exchange {
        Some(exchange) if exchange.streaming => Pending::Streams,
        _ => Pending::Answers,
    }
}
