//! Bounds what callers and endpoints make the process hold: buffers and connections. At a limit, the
//! connections that hold the most, or have moved nothing for longest, are closed.

use super::dispatch::RefuseReason;
use super::outcome::Cause;
use super::{Driver, caller_token, link_token};
use crate::adapter::clock::Millis;
use crate::mechanism::{self, Mechanism};
use crate::relay::budget::Holder;
use crate::relay::caller::{Caller, ListenerKind};
use crate::relay::read::READ_BUDGET;
use crate::relay::stats::ShedLabels;

/// Part of the buffers that is kept free: connections that hold little may still read into it.
const SPARE: usize = 8;
/// Size up to which a connection may read into the spare part, in bytes.
const SMALL: usize = 64 << 10;
/// Bytes after which a turn reads no more from callers or from endpoints, except that connections that
/// hold little may read as much again.
const MAX_TURN_BYTES: usize = 1 << 20;
/// Maximum connections that are closed in one turn to free memory.
const MAX_EVICTIONS: usize = 64;
/// Connections that are compared to find the one to close at the limit of connections.
const COMPARED: usize = 64;
/// Connections that are looked at for that, with those that have requests in flight.
const MAX_VISITED: usize = 1_024;
/// Interval between two log lines about one kind of shed load, in milliseconds.
const LOG_INTERVAL: u64 = 1_000;

closed! {
    /// Why a request or connection of a caller is given up to keep a limit.
    pub(super) enum Shed {
        /// Buffers are full, and this connection holds the most.
        Buffers,
        /// There are as many connections as allowed, and this one has moved nothing for longest.
        Connections,
        /// The caller doesn't read its response.
        Unread,
        /// The request did not arrive in time.
        Slow,
        /// The head or the body is over its limit, or malformed.
        Rejected,
        /// The caller kept sending after the last response.
        Excess,
    }
}

impl Shed {
    /// Name in logs and metrics.
    fn name(self) -> &'static str {
        match self {
            Self::Buffers => "buffers",
            Self::Connections => "connections",
            Self::Unread => "unread",
            Self::Slow => "slow",
            Self::Rejected => "rejected",
            Self::Excess => "excess",
        }
    }
}

/// Log lines about shed load: the last one of each kind, and how often it happened since.
#[derive(Debug, Default)]
pub(super) struct ShedLog([(Option<Millis>, u64); Shed::Excess as usize + 1]);

/// How readily a connection is closed at the limit of connections, the last one first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Idleness {
    /// A request is in flight.
    Busy,
    /// A request is being received.
    Receiving,
    /// It waits for a further request.
    Kept,
    /// A response isn't being read.
    Unread,
    /// It has sent nothing yet, or its last response has been sent.
    Unused,
}

impl Driver {
    /// True if a connection that holds `bytes` may read more in this turn, in which `read` bytes were read
    /// from connections of its kind. If memory is short, room is made at the end of the turn.
    pub(super) fn may_read(&mut self, bytes: usize, read: usize) -> bool {
        let most = if bytes < SMALL { 2 * MAX_TURN_BYTES } else { MAX_TURN_BYTES };
        read < most && self.has_room(bytes)
    }

    fn has_room(&mut self, bytes: usize) -> bool {
        if !mechanism::on(Mechanism::Holdings) {
            return true;
        }
        let limit = self.setup.budget.buffers;
        let limit = if bytes < SMALL { limit } else { limit - limit / SPARE };
        let fits = self.account.total() + READ_BUDGET <= limit;
        self.read_lacked_room |= !fits;
        fits
    }

    /// Updates the account of what a caller's connection holds.
    pub(super) fn account_caller(&mut self, index: usize) {
        let now = self.clock.now();
        let Some(caller) = self.callers.get_mut(index) else { return };
        let (bytes, complete) = (caller.buffered(), caller.has_complete_response());
        self.account.set(&mut caller.held, Holder::Caller(index), bytes, complete, now);
    }

    /// Updates the account of what a connection to an endpoint holds.
    pub(super) fn account_link(&mut self, index: usize) {
        let now = self.clock.now();
        let Some(link) = self.links.get_mut(index) else { return };
        let bytes = link.buffered();
        self.account.set(&mut link.held, Holder::Link(index), bytes, false, now);
    }

    /// Closes connections, those that hold most first, while the buffers are over their limit or a
    /// connection could not read.
    pub(super) fn limit_buffers(&mut self) {
        let limit = self.setup.budget.buffers;
        let target = limit - limit / SPARE;
        let crowded = std::mem::take(&mut self.read_lacked_room);
        self.metrics.buffered.set(self.account.total() as i64);
        let fits = self.account.total() <= target && !crowded;
        if fits || !mechanism::on(Mechanism::Holdings) {
            return;
        }
        for _ in 0..MAX_EVICTIONS {
            if self.account.total() + limit / SPARE <= target {
                return;
            }
            let Some(holder) = self.account.victim() else { return };
            self.metrics.evictions.inc();
            self.evict(holder);
        }
    }

    fn evict(&mut self, holder: Holder) {
        match holder {
            Holder::Link(index) => {
                let serial = self.links[index].serial;
                self.unread.swap_remove(&link_token(index));
                self.link_failed(index, Cause::Evicted);
                // The failed attempt has closed it, unless it carried no request.
                if self.links.get(index).is_some_and(|l| l.serial == serial) {
                    self.drop_link(index);
                }
            }
            Holder::Caller(index) => self.evict_caller(index),
        }
    }

    /// Refuses the request of a caller that holds too much, if that is still possible, and closes the
    /// connection.
    fn evict_caller(&mut self, index: usize) {
        self.shed(index, Shed::Buffers);
        self.unread.swap_remove(&caller_token(index));
        let caller = &mut self.callers[index];
        if !caller.out.is_empty() || caller.linger_until.is_some() {
            return self.abort_caller(index);
        }
        caller.closing = true;
        if caller.exchange.is_some() {
            self.end_request(index, RefuseReason::Overloaded);
        } else {
            self.refuse_unread(index, RefuseReason::Overloaded);
        }
    }

    /// Logs and counts that a caller bears the cost of a limit.
    pub(super) fn shed(&mut self, index: usize, why: Shed) {
        self.metrics.sheds.get_or_create(&ShedLabels { kind: why.name() }).inc();
        let now = self.clock.now();
        let (last, count) = &mut self.shed_log.0[why as usize];
        *count += 1;
        if last.is_some_and(|at| now < at + LOG_INTERVAL) {
            return;
        }
        let count = std::mem::take(count);
        *last = Some(now);
        let bytes = self.callers.get(index).map_or(0, Caller::buffered);
        tracing::warn!(
            kind = why.name(),
            count,
            bytes,
            total = self.account.total(),
            callers = self.callers.len(),
            links = self.links.len(),
            "relay: caller given up"
        );
    }

    /// Makes room for one more caller at the limit of connections. Returns false if all that were looked
    /// at have requests in flight.
    pub(super) fn make_room(&mut self) -> bool {
        let fits = self.callers.len() < self.setup.budget.callers;
        if fits || !mechanism::on(Mechanism::Holdings) {
            return true;
        }
        let mut worst = None;
        let mut compared = 0;
        for _ in 0..MAX_VISITED {
            if compared == COMPARED {
                break;
            }
            self.compared_until = if self.compared_until + 1 < self.callers.capacity() {
                self.compared_until + 1
            } else {
                0
            };
            let Some(caller) = self.callers.get(self.compared_until) else { continue };
            let idleness = idleness(caller);
            if caller.listener != ListenerKind::Front || idleness == Idleness::Busy {
                continue;
            }
            compared += 1;
            let age = self.clock.now().saturating_sub(caller.last_moved);
            worst = worst.max(Some((idleness, age, self.compared_until)));
        }
        let Some((_, _, index)) = worst else { return false };
        self.shed(index, Shed::Connections);
        self.unread.swap_remove(&caller_token(index));
        self.abort_caller(index);
        true
    }
}

fn idleness(caller: &Caller) -> Idleness {
    if caller.linger_until.is_some() {
        Idleness::Unused
    } else if !caller.out.is_empty() {
        Idleness::Unread
    } else if caller.exchange.is_some() {
        Idleness::Busy
    } else if !caller.is_idle() {
        Idleness::Receiving
    } else if caller.served {
        Idleness::Kept
    } else {
        Idleness::Unused
    }
}
