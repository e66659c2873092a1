//! Room for connections and for what was received over them: at a limit, the connection that holds most, or
//! has moved nothing for longest, is asked to end.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use indexmap::IndexMap;
use prometheus_client::metrics::counter::Counter;

use super::clock::{Clock, Millis};

/// Size up to which a connection may use the spare part of the room, in bytes.
const SMALL: usize = 64 << 10;
/// Minimum bytes of a connection that is ended to make room for bytes.
const MIN_VICTIM: usize = 16 << 10;
/// Part of the room for bytes that only connections that hold little may use.
const SPARE: usize = 8;
/// Connections accepted beyond the limit, while those that were asked to end do so.
const RESERVE: usize = 32;
/// Interval between two log lines, in milliseconds.
const LOG_INTERVAL: u64 = 1_000;

/// Limits on what all connections together may hold.
#[derive(Debug, Clone, Copy)]
pub struct RoomLimits {
    /// Maximum number of connections.
    pub connections: usize,
    /// Maximum bytes that have been received and not handled.
    pub bytes: usize,
}

/// What one connection holds.
#[derive(Debug, Default)]
pub struct Tenant {
    id: u64,
    bytes: AtomicUsize,
    /// Time at which bytes were last read.
    moved: AtomicU64,
    /// A request of it is being handled.
    busy: AtomicBool,
    ended: AtomicBool,
}

impl Tenant {
    /// True once the connection has to end.
    pub(super) fn is_ended(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
    }

    pub(super) fn set_busy(&self, busy: bool) {
        self.busy.store(busy, Ordering::Relaxed);
    }

    /// Asks the connection to end. Returns false if it was asked before.
    fn end(&self) -> bool {
        !self.ended.swap(true, Ordering::Relaxed)
    }
}

/// Connections to callers or to endpoints, and what they hold.
#[derive(Debug)]
pub struct Room {
    /// Whose connections they are, for the log.
    whose: &'static str,
    limits: RoomLimits,
    clock: Clock,
    tenants: Mutex<IndexMap<u64, Arc<Tenant>>>,
    next: AtomicU64,
    total: AtomicUsize,
    given_up: Counter,
    logged: AtomicU64,
}

impl Room {
    /// Room for the connections of `whose`. `given_up` counts those that were asked to end or not
    /// accepted.
    pub fn new(whose: &'static str, limits: RoomLimits, given_up: Counter) -> Self {
        Self {
            whose,
            limits,
            clock: Clock::system(),
            tenants: Mutex::default(),
            next: AtomicU64::new(0),
            total: AtomicUsize::new(0),
            given_up,
            logged: AtomicU64::new(0),
        }
    }

    /// Admits a connection; `None` if there is no room even in the reserve.
    pub(super) fn enter(&self) -> Option<Arc<Tenant>> {
        let mut tenants = self.tenants.lock().unwrap_or_else(PoisonError::into_inner);
        if tenants.len() >= self.limits.connections {
            let waiting = tenants.values().filter(|t| !t.busy.load(Ordering::Relaxed));
            let open = waiting.filter(|t| !t.is_ended());
            let oldest = open.min_by_key(|t| t.moved.load(Ordering::Relaxed));
            if oldest.is_some_and(|t| t.end()) {
                self.record("connections");
            }
            if tenants.len() >= self.limits.connections + RESERVE {
                self.record("connections");
                return None;
            }
        }
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let moved = AtomicU64::new(self.clock.now());
        let tenant = Arc::new(Tenant { id, moved, ..Tenant::default() });
        tenants.insert(id, Arc::clone(&tenant));
        Some(tenant)
    }

    /// Forgets a connection that has ended.
    pub(super) fn leave(&self, tenant: &Tenant) {
        self.hold(tenant, 0);
        let mut tenants = self.tenants.lock().unwrap_or_else(PoisonError::into_inner);
        tenants.swap_remove(&tenant.id);
    }

    /// Sets the bytes that a connection holds.
    pub(super) fn hold(&self, tenant: &Tenant, bytes: usize) {
        tenant.moved.store(self.clock.now(), Ordering::Relaxed);
        let before = tenant.bytes.swap(bytes, Ordering::Relaxed);
        self.total.fetch_add(bytes, Ordering::Relaxed);
        self.total.fetch_sub(before, Ordering::Relaxed);
    }

    /// True if a connection may read more. Otherwise the one that holds most is asked to end.
    pub(super) fn may_read(&self, tenant: &Tenant) -> bool {
        let spare = self.limits.bytes / SPARE;
        let small = tenant.bytes.load(Ordering::Relaxed) < SMALL;
        let limit = if small { self.limits.bytes } else { self.limits.bytes - spare };
        if self.total.load(Ordering::Relaxed) <= limit {
            return true;
        }
        let tenants = self.tenants.lock().unwrap_or_else(PoisonError::into_inner);
        let waiting = tenants.values().filter(|t| !t.busy.load(Ordering::Relaxed));
        let holding = waiting.filter(|t| t.bytes.load(Ordering::Relaxed) > MIN_VICTIM);
        let largest = holding.max_by_key(|t| t.bytes.load(Ordering::Relaxed));
        if largest.is_some_and(|t| t.end()) {
            self.record("bytes");
        }
        false
    }

    fn record(&self, limit: &str) {
        self.given_up.inc();
        let ended = self.given_up.get();
        let now: Millis = self.clock.now();
        let last = self.logged.load(Ordering::Relaxed);
        if last > 0 && now < last + LOG_INTERVAL {
            return;
        }
        self.logged.store(now, Ordering::Relaxed);
        let total = self.total.load(Ordering::Relaxed);
        let whose = self.whose;
        tracing::warn!("{whose}: no room ({limit}): {ended} given up so far, {total} bytes.");
    }
}

/// What one response holds of a room, until it is dropped.
#[derive(Debug)]
pub(super) struct Held {
    room: Arc<Room>,
    tenant: Arc<Tenant>,
}

impl Held {
    /// `None` if there is no room for another response.
    pub(super) fn enter(room: &Arc<Room>) -> Option<Self> {
        Some(Self { room: Arc::clone(room), tenant: room.enter()? })
    }

    /// Sets the bytes that the response holds.
    pub(super) fn hold(&self, bytes: usize) {
        self.room.hold(&self.tenant, bytes);
    }

    /// True if more of the response may be read.
    pub(super) fn may_read(&self) -> bool {
        self.room.may_read(&self.tenant)
    }

    /// True once the response has to be given up.
    pub(super) fn is_ended(&self) -> bool {
        self.tenant.is_ended()
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.room.leave(&self.tenant);
    }
}
