//! Keys that this instance has accepted, and the claims as read from the log.

use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

use indexmap::IndexMap;
use uuid::Uuid;

use crate::adapter::clock::Millis;
use crate::entry::fail::Failure;
use crate::entry::lock;
use crate::policy::claim::{BufferedResponse, ClaimTable, Key};

#[derive(Debug, Clone)]
pub(super) enum KeyState {
    Running,
    Done(BufferedResponse),
    Lost,
    NotSent(Failure),
}

/// A key that this instance has accepted.
#[derive(Debug)]
pub(super) struct LocalKey {
    pub(super) digest: u64,
    pub(super) created: Millis,
    pub(super) state: Mutex<KeyState>,
    pub(super) changed: Condvar,
}

impl LocalKey {
    pub(super) fn set(&self, state: KeyState) {
        *lock(&self.state) = state;
        self.changed.notify_all();
    }

    pub(super) fn get(&self) -> KeyState {
        lock(&self.state).clone()
    }

    pub(super) fn wait(&self, ms: u64) -> KeyState {
        let state = lock(&self.state);
        if !matches!(*state, KeyState::Running) {
            return state.clone();
        }
        let waited = self.changed.wait_timeout(state, Duration::from_millis(ms));
        waited.unwrap_or_else(PoisonError::into_inner).0.clone()
    }
}

#[derive(Debug, Default)]
pub(super) struct Inner {
    pub(super) table: ClaimTable,
    pub(super) next: u64,
    /// Clock time at which the stream was last read to its end.
    pub(super) synced_at: Millis,
    /// Log time minus clock time, in milliseconds.
    pub(super) skew: i64,
    pub(super) retention: u64,
    /// Abandoned claims by their id, and the log time until which they are remembered. They are
    /// released if they appear on the log after all.
    pub(super) abandoned: IndexMap<Uuid, Millis>,
}

/// Claims as read from the log, and the keys accepted by this instance.
#[derive(Debug, Default)]
pub struct Claims {
    pub(super) inner: Mutex<Inner>,
    pub(super) changed: Condvar,
    pub(super) local: Mutex<IndexMap<Key, Arc<LocalKey>>>,
}

impl Claims {
    /// Wakes all waiting requests.
    pub fn notify_all(&self) {
        self.changed.notify_all();
    }

    /// Offset of the next record to read.
    pub fn next(&self) -> u64 {
        lock(&self.inner).next
    }

    /// Clock time at which the stream was last read to its end; 0 if it never was.
    pub fn synced_at(&self) -> Millis {
        lock(&self.inner).synced_at
    }

    /// Number of keys remembered.
    pub fn len(&self) -> usize {
        lock(&self.local).len()
    }

    /// True if no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Waits up to `ms` milliseconds for a change.
    pub(super) fn wait(&self, ms: u64) {
        let inner = lock(&self.inner);
        drop(self.changed.wait_timeout(inner, Duration::from_millis(ms)));
    }
}
