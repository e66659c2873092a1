//! State that the event loop and the threads of the ledger share.

use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use indexmap::IndexMap;

/// Longest key of a record, in bytes.
const MAX_KEY_LEN: usize = 255;
/// Largest value of a record, in bytes.
const MAX_VALUE_LEN: usize = 128 << 10;
/// Maximum size of the keys and values of one write, in bytes, unless the first entry alone is larger.
const MAX_BATCH_BYTES: usize = 256 << 10;

/// Newest value of a key.
#[derive(Debug)]
struct Entry {
    /// Number of the change that set it.
    number: u64,
    value: Vec<u8>,
    /// Era of the platform in which it was written; `None` if it has not been.
    written: Option<u64>,
    /// The record is not too long for the platform.
    fits: bool,
}

#[derive(Debug, Default)]
struct State {
    entries: IndexMap<String, Entry>,
    /// Number of the last change.
    changed: u64,
    /// Number of the last change that was reported as written.
    reported: u64,
    /// Number of the last request for a read.
    requested: u64,
    /// Number of the last request before the last read began.
    begun: u64,
    /// The first full read has succeeded, so that changes may be written.
    is_open: bool,
    /// Latest known era of the platform.
    era: u64,
    /// Interval between the starts of two writes, in milliseconds.
    write_interval: u64,
}

impl State {
    /// True if the newest value of a key must be written: it never was, or the platform was restored
    /// from a copy since, which may lack it.
    fn is_due(&self, entry: &Entry) -> bool {
        entry.written.is_none_or(|era| era < self.era)
    }

    fn note_era(&mut self, era: u64) {
        if era <= self.era {
            return;
        }
        self.era = era;
        let keys = self.entries.values().filter(|e| e.written.is_some_and(|w| w < era)).count();
        if keys > 0 {
            tracing::info!(era, keys, "ledger: platform was restored, values are written again");
        }
    }

    fn has_work(&self) -> bool {
        self.is_open && self.entries.values().any(|e| e.fits && self.is_due(e))
    }
}

/// Changes that are written in one call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// Number of the change, key, and value, in order of the numbers.
    pub changes: Vec<(u64, String, Vec<u8>)>,
}

/// What the event loop tells the threads of the ledger.
#[derive(Debug, Default)]
pub struct Board {
    state: Mutex<State>,
    /// There is something to write or to read.
    work: Condvar,
}

impl Board {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the newest value of a key to be written; one that has not been written yet is replaced. An
    /// empty value removes the key. Returns the number of this change: later changes have greater
    /// numbers. Nothing is written before the first read has succeeded. A key or value that is too long
    /// is not written, and no later change counts as written until it is replaced.
    pub fn put(&self, key: &str, value: Vec<u8>) -> u64 {
        let mut state = self.state();
        state.changed += 1;
        let number = state.changed;
        let fits = key.len() <= MAX_KEY_LEN && value.len() <= MAX_VALUE_LEN;
        let bytes = value.len();
        let old =
            state.entries.insert(key.to_owned(), Entry { number, value, written: None, fits });
        if !fits && old.is_none_or(|e| e.fits) {
            tracing::error!(key, bytes, "ledger: record is too long, not written");
        }
        self.work.notify_all();
        number
    }

    /// Asks for a read that begins after this call. Returns its number.
    pub fn request_read(&self) -> u64 {
        let mut state = self.state();
        state.requested += 1;
        self.work.notify_all();
        state.requested
    }

    /// Notes that a read begins now. Returns the number of the last request, which it serves along with
    /// all before; 0 if there was none.
    pub fn begin_read(&self) -> u64 {
        let mut state = self.state();
        state.begun = state.requested;
        state.begun
    }

    /// True if a read was asked for after the last one began.
    pub fn is_read_requested(&self) -> bool {
        let state = self.state();
        state.requested > state.begun
    }

    /// Allows writes: a full read has succeeded.
    pub fn open(&self) {
        self.state().is_open = true;
        self.work.notify_all();
    }

    /// Notes the era of the platform. Values that were written in an earlier one are written again.
    pub fn note_era(&self, era: u64) {
        self.state().note_era(era);
        self.work.notify_all();
    }

    /// Notes that a removal of a key was read: a value of this instance that was written before it is
    /// written again.
    pub fn note_removal(&self, key: &str) {
        if let Some(entry) = self.state().entries.get_mut(key) {
            entry.written = None;
            self.work.notify_all();
        }
    }

    /// The oldest changes that are to be written; `None` if there are none, or if they must wait for the
    /// first read.
    pub fn batch(&self) -> Option<Batch> {
        let state = self.state();
        if !state.has_work() {
            return None;
        }
        let due = state.entries.iter().filter(|(_, e)| e.fits && state.is_due(e));
        let mut due: Vec<_> = due.collect();
        due.sort_by_key(|(_, e)| e.number);
        let mut bytes = 0;
        let mut changes = Vec::new();
        for (key, entry) in due {
            bytes += key.len() + entry.value.len();
            if bytes > MAX_BATCH_BYTES && !changes.is_empty() {
                break;
            }
            changes.push((entry.number, key.clone(), entry.value.clone()));
        }
        Some(Batch { changes })
    }

    /// Notes that the platform has acknowledged a batch in an era. Returns the number of the last change
    /// that is written along with all before it, if that is news.
    pub fn acknowledge(&self, batch: &Batch, era: u64) -> Option<u64> {
        let mut state = self.state();
        state.note_era(era);
        for (number, key, _) in &batch.changes {
            match state.entries.get_mut(key) {
                Some(entry) if entry.number != *number => {}
                Some(entry) if entry.value.is_empty() => _ = state.entries.shift_remove(key),
                Some(entry) => entry.written = Some(era),
                None => {}
            }
        }
        let due = state.entries.values().filter(|e| state.is_due(e));
        let written = due.map(|e| e.number - 1).min().unwrap_or(state.changed);
        if written <= state.reported {
            return None;
        }
        state.reported = written;
        Some(written)
    }

    /// Notes the interval between the starts of two writes, in milliseconds.
    pub fn set_write_interval(&self, ms: u64) {
        self.state().write_interval = ms;
    }

    /// The interval between the starts of two writes, in milliseconds.
    pub fn write_interval(&self) -> u64 {
        self.state().write_interval
    }

    /// Blocks until something is to be written, for `max` milliseconds at most.
    pub fn wait_for_change(&self, max: u64) {
        self.wait(max, State::has_work);
    }

    /// Blocks until a read is asked for, for `max` milliseconds at most.
    pub fn wait_for_request(&self, max: u64) {
        self.wait(max, |state| state.requested > state.begun);
    }

    fn wait(&self, max: u64, is_ready: impl Fn(&State) -> bool) {
        let state = self.state();
        let max = Duration::from_millis(max);
        drop(self.work.wait_timeout_while(state, max, |state| !is_ready(state)));
    }
}
