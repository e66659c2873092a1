//! What an instance knows of the log of the duties.

use indexmap::IndexMap;

use crate::adapter::clock::Millis;
use crate::adapter::codec;

/// Key of the lease records.
pub const KEY: &str = "lease";

/// A record of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Key of the record.
    pub key: String,
    /// Value of the record.
    pub value: Vec<u8>,
}

data! {
    /// Acquires, renews or releases the lease.
    #[derive(Eq)]
    pub struct LeaseRecord {
        /// Name of the holder.
        pub holder: String,
        /// Fencing token of the holder's term.
        pub token: u64,
        /// Name of the holder before this one.
        pub before: Option<String>,
        /// True if the holder gives up the lease.
        pub released: bool,
        /// Random number of the writing process, and number of its append.
        pub stamp: (u64, u64),
    }
}

impl LeaseRecord {
    /// The record for the log.
    pub fn entry(&self) -> Entry {
        Entry { key: KEY.to_owned(), value: codec::pack(self) }
    }
}

/// Newest record of each key.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// Offset after the last record.
    pub end: u64,
    /// Values by key.
    pub entries: IndexMap<String, Vec<u8>>,
}

/// The log as far as it was read.
#[derive(Debug, Clone)]
pub(super) struct View {
    pub(super) end: u64,
    pub(super) entries: IndexMap<String, Vec<u8>>,
    pub(super) last: Option<LeaseRecord>,
    /// Time at which the last record was received.
    pub(super) heard_at: Millis,
    /// Time at which the first record of the present holder was received.
    pub(super) taken_at: Millis,
}

impl View {
    pub(super) fn new(now: Millis, snapshot: Snapshot) -> Self {
        let last = snapshot.entries.get(KEY).and_then(|v| decode(v));
        Self { end: snapshot.end, entries: snapshot.entries, last, heard_at: now, taken_at: now }
    }

    /// Applies a record that was received, or sent by this instance, at `now`.
    pub(super) fn apply(&mut self, now: Millis, key: &str, value: Option<&[u8]>) {
        self.heard_at = now;
        let Some(value) = value else {
            self.entries.shift_remove(key);
            return;
        };
        if key == KEY
            && let Some(record) = decode(value)
        {
            if self.last.as_ref().is_none_or(|l| l.holder != record.holder) {
                self.taken_at = now;
            }
            self.last = Some(record);
        }
        self.entries.insert(key.to_owned(), value.to_vec());
    }
}

fn decode(value: &[u8]) -> Option<LeaseRecord> {
    match codec::unpack(value) {
        Ok(record) => Some(record),
        Err(e) => {
            tracing::warn!("lease: a record can't be read: {e}");
            None
        }
    }
}
