//! A copy of a keyed topic: the newest record of each key, read by offset from the platform or
//! taken over whole from a peer.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::adapter::clock::Millis;

/// Time after the platform's return in which an entry that lapsed may come back, in
/// milliseconds. The users' letter gives endpoints about two seconds.
pub const EXPIRY_GRACE: u64 = 2_000;
/// Time after the return in which removals are read that may be lapses, in milliseconds: what
/// was removed meanwhile is read at once.
const BACKLOG_WINDOW: u64 = 300;
/// Silence of the platform from which entries may have lapsed meanwhile, in milliseconds: below
/// three of the endpoints' heartbeats.
pub const MIN_OUTAGE: u64 = 3_000;

closed! {
    /// A topic that instances follow.
    pub enum Topic {
        /// The operators' configuration.
        Config,
        /// The endpoints.
        Endpoints,
        /// The instances of the fleet.
        Instances,
    }
}

data! {
    /// One record.
    pub struct Record {
        /// Its offset.
        pub offset: u64,
        /// Its key.
        pub key: String,
        /// Its value; `None` takes the key away.
        #[serde(with = "serde_bytes")]
        pub value: Option<Vec<u8>>,
        /// Time after which the entry is removed, in milliseconds, where it has lapsed.
        #[serde(default)]
        #[serde(rename = "left")]
        pub remaining: Option<u64>,
    }

    /// Records up to an end.
    pub struct Batch {
        /// Offset after the last record.
        pub end: u64,
        /// Records in order of offset.
        pub records: Vec<Record>,
        /// Keys whose records are older than what was asked for.
        #[serde(default)]
        pub kept: Vec<String>,
    }
}

/// One entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Entry {
    offset: u64,
    value: Vec<u8>,
    /// Time at which it is removed, once it has lapsed.
    #[serde(rename = "goes")]
    remove_at: Option<Millis>,
}

/// The copy.
#[derive(Debug, Clone, Default)]
pub struct Replica {
    end: u64,
    entries: IndexMap<String, Entry>,
    answered_at: Millis,
    /// Time at which a peer that had read as far had its last answer.
    confirmed_at: Millis,
    /// A call has failed since the last answer.
    failed: bool,
    recovered_at: Millis,
}

impl Replica {
    /// An empty copy at `now`.
    pub fn new(now: Millis) -> Self {
        Self { answered_at: now, ..Self::default() }
    }

    /// Offset from which to read on.
    pub fn end(&self) -> u64 {
        self.end
    }

    /// Time at which the copy was last known to be up to date.
    pub fn synced_at(&self) -> Millis {
        self.answered_at.max(self.confirmed_at)
    }

    /// A peer that has read up to `end` had its last answer from the platform at `at`.
    pub fn confirm(&mut self, at: Millis, end: u64) {
        if end == self.end {
            self.confirmed_at = self.confirmed_at.max(at);
        }
    }

    /// A call to the platform brought no answer.
    pub fn set_failed(&mut self) {
        self.failed = true;
    }

    /// Values by key.
    pub fn entries(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.entries.iter().map(|(k, e)| (k.as_str(), e.value.as_slice()))
    }

    /// Records that came after the end. Returns true when an entry changed.
    pub fn append(&mut self, now: Millis, batch: Batch) -> bool {
        self.set_answered(now);
        let mut changed = false;
        for record in batch.records {
            changed |= self.apply(now, record);
        }
        self.end = self.end.max(batch.end);
        changed
    }

    /// The newest record of every key, read whole. Returns true when an entry changed.
    pub fn reset(&mut self, now: Millis, batch: Batch) -> bool {
        self.set_answered(now);
        let mut changed = false;
        let listed =
            |k: &String| batch.kept.contains(k) || batch.records.iter().any(|r| r.key == *k);
        let missing: Vec<String> = self.entries.keys().filter(|k| !listed(k)).cloned().collect();
        for key in missing {
            changed |= self.remove(now, &key);
        }
        for record in batch.records {
            changed |= self.apply(now, record);
        }
        self.end = self.end.max(batch.end);
        changed
    }

    /// A peer's copy, which counts if it is further on. Returns true when an entry changed.
    pub fn adopt(&mut self, now: Millis, batch: Batch) -> bool {
        if batch.end <= self.end {
            return false;
        }
        let (answered_at, failed, recovered_at) =
            (self.answered_at, self.failed, self.recovered_at);
        self.failed = false;
        let changed = self.reset(now, batch);
        (self.answered_at, self.failed, self.recovered_at) = (answered_at, failed, recovered_at);
        changed
    }

    /// True when a peer's copy builds on an entry that this one doesn't have.
    pub fn lacks_kept(&self, batch: &Batch) -> bool {
        batch.kept.iter().any(|k| !self.entries.contains_key(k))
    }

    /// The copy at `now` for a peer that has read up to `from`.
    pub fn export(&self, now: Millis, from: u64) -> Batch {
        let included = |e: &Entry| e.offset >= from || e.remove_at.is_some();
        let records = self.entries.iter().filter(|(_, e)| included(e)).map(|(k, e)| Record {
            offset: e.offset,
            key: k.clone(),
            value: Some(e.value.clone()),
            remaining: e.remove_at.map(|at| at.saturating_sub(now)),
        });
        let kept = self.entries.iter().filter(|(_, e)| !included(e)).map(|(k, _)| k.clone());
        Batch { end: self.end, records: records.collect(), kept: kept.collect() }
    }

    /// Drops entries that have lapsed for good. Returns true when one went.
    pub fn expire(&mut self, now: Millis) -> bool {
        let before = self.entries.len();
        self.entries.retain(|_, e| e.remove_at.is_none_or(|at| at > now));
        before != self.entries.len()
    }

    fn set_answered(&mut self, now: Millis) {
        if self.failed && now.saturating_sub(self.answered_at) > MIN_OUTAGE {
            self.recovered_at = now;
        }
        self.failed = false;
        self.answered_at = now;
    }

    fn apply(&mut self, now: Millis, record: Record) -> bool {
        if let Some(entry) = self.entries.get_mut(&record.key)
            && entry.offset >= record.offset
        {
            if entry.offset == record.offset {
                entry.remove_at = entry.remove_at.or(record.remaining.map(|ms| now + ms));
            }
            return false;
        }
        let Some(value) = record.value else { return self.remove(now, &record.key) };
        let remove_at = record.remaining.map(|ms| now + ms);
        let new = Entry { offset: record.offset, value, remove_at };
        let old = self.entries.insert(record.key, new.clone());
        old.is_none_or(|o| o.value != new.value || o.remove_at.is_some())
    }

    /// Takes an entry away; right after an outage it gets time to come back.
    fn remove(&mut self, now: Millis, key: &str) -> bool {
        let in_backlog = self.recovered_at > 0 && now < self.recovered_at + BACKLOG_WINDOW;
        let Some(entry) = self.entries.get_mut(key) else { return false };
        if in_backlog {
            entry.remove_at.get_or_insert(self.recovered_at + EXPIRY_GRACE);
            return false;
        }
        self.entries.shift_remove(key).is_some()
    }
}
