//! Local replica of a keyed topic: the newest record of each key, read by offset from the platform
//! or copied from a peer.
//!
//! Entries may expire on the platform during an outage, although their endpoints are alive. A
//! removal that is read right after an outage may be such an expiry, so the replica keeps the entry
//! for a grace period in which the endpoint can register again.
//!
//! A removal leaves nothing behind but the end position, so that decides what is old: a response
//! may arrive after a copy from a peer that has read further.
//!
//! Offsets here are positions, see [`super::position`]. A platform that was restored from a copy has
//! lost its newest records, which are written again a little later. Until then, entries that it lacks
//! are kept for the grace period, those that were removed lately stay hidden, and newer values of
//! others stay.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::position;
use crate::adapter::clock::Millis;

/// Grace period after the end of an outage in which an expired entry may be registered again, in
/// milliseconds. The users' requirements give endpoints about two seconds.
pub const EXPIRY_GRACE: u64 = 2_000;
/// Time after the end of an outage in which a removal that is read may be an expiry, in
/// milliseconds. It can be short because the first reads bring all that was removed in the outage.
const BACKLOG_WINDOW: u64 = 300;
/// Time without a response from the platform after which entries may have expired, in milliseconds:
/// shorter than three heartbeat intervals of the endpoints.
pub const MIN_OUTAGE: u64 = 3_000;

/// Time for which a removal is remembered, in milliseconds: longer than a copy is old.
const REMOVAL_MEMORY: u64 = 60_000;
/// Maximum removals that are remembered.
const MAX_REMOVALS: usize = 4_096;
/// Time for which an entry of a restored platform stays hidden if it was removed lately, in
/// milliseconds: entries of endpoints that are gone are removed again within it.
const HIDE_TIME: u64 = 5_000;

closed! {
    /// A topic of the platform that instances read.
    pub enum Topic {
        /// Configuration, written by operators.
        Config,
        /// Endpoints of the services.
        Endpoints,
        /// Instances of the fleet.
        Instances,
        /// What began the streams that callers may resume, written by the instances.
        Streams,
    }
}

data! {
    /// One record of a topic.
    pub struct Record {
        /// Offset of the record in the topic.
        pub offset: u64,
        /// Key of the entry that the record sets or removes.
        pub key: String,
        /// Value of the entry; `None` removes it.
        #[serde(with = "serde_bytes")]
        pub value: Option<Vec<u8>>,
        /// Time until an expired entry is removed, in milliseconds; `None` for any other.
        #[serde(default)]
        #[serde(rename = "left")]
        pub remaining: Option<u64>,
    }

    /// Records of a topic up to an end offset.
    pub struct Batch {
        /// Offset after the last record.
        pub end: u64,
        /// Records in order of offset.
        pub records: Vec<Record>,
        /// Keys that still exist, but whose records are older than the offset asked for.
        #[serde(default)]
        pub kept: Vec<String>,
    }
}

impl Batch {
    /// A full read with positions that compare with `since`, the end of the replica before the read began.
    #[must_use]
    pub fn after(mut self, since: u64) -> Self {
        self.end = position::end_of_read(since, self.end);
        for record in &mut self.records {
            record.offset = position::moved_to(self.end, record.offset);
        }
        self
    }
}

/// Newest record of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Entry {
    offset: u64,
    value: Vec<u8>,
    /// Time at which an expired entry is removed; `None` for any other.
    #[serde(rename = "goes")]
    remove_at: Option<Millis>,
}

/// Replica of a topic.
#[derive(Debug, Clone, Default)]
pub struct Replica {
    /// Offset after the last record read.
    end: u64,
    entries: IndexMap<String, Entry>,
    /// Time of the platform's last response to this instance.
    answered_at: Millis,
    /// Latest time of a response from the platform to a peer that had read up to the same offset.
    confirmed_at: Millis,
    /// True when a call to the platform has failed since its last response.
    failed: bool,
    /// Time of the last response before the last outage, and of the first one after it; 0 if there was
    /// none.
    outage: (Millis, Millis),
    /// Time since which the platform has answered this instance without an outage.
    steady_since: Option<Millis>,
    /// Number of calls that changed an entry.
    changes: u64,
    /// Keys of entries that were removed lately, and when, oldest first.
    removed: IndexMap<String, Millis>,
    /// Entries of a restored platform that had been removed before, and the time at which they count.
    hidden: IndexMap<String, (Millis, Entry)>,
}

impl Replica {
    /// An empty replica, created at `now`.
    pub fn new(now: Millis) -> Self {
        Self { answered_at: now, ..Self::default() }
    }

    /// Offset of the next record to read.
    pub fn end(&self) -> u64 {
        self.end
    }

    /// Time at which the replica was last known to be up to date with the platform.
    pub fn synced_at(&self) -> Millis {
        self.answered_at.max(self.confirmed_at)
    }

    /// Records that a peer which has read up to `end` had its last response from the platform at
    /// `at`. Only a peer at the same offset shows that this replica is up to date.
    pub fn confirm(&mut self, at: Millis, end: u64) {
        if end == self.end {
            self.confirmed_at = self.confirmed_at.max(at);
        }
    }

    /// Time for which the platform has answered this instance without an outage, in milliseconds; 0
    /// while it doesn't.
    pub fn steady(&self, now: Millis) -> u64 {
        let since = self.steady_since.filter(|_| !self.failed);
        since.map_or(0, |at| now.saturating_sub(at))
    }

    /// Records that the platform has answered a peer without an outage from `since` to `at`. If that
    /// covers the last outage, only this instance was cut off: no entry has expired, and those that
    /// were kept for the grace period are removed.
    pub fn deny_outage(&mut self, now: Millis, since: Millis, at: Millis) {
        let (lost_at, recovered_at) = self.outage;
        if recovered_at == 0 || since > lost_at || at + MIN_OUTAGE < recovered_at {
            return;
        }
        self.outage = (0, 0);
        let kept_until = recovered_at + EXPIRY_GRACE;
        for entry in self.entries.values_mut().filter(|e| e.remove_at == Some(kept_until)) {
            entry.remove_at = Some(now);
        }
    }

    /// Records that a call to the platform failed.
    pub fn set_failed(&mut self) {
        self.failed = true;
    }

    /// Keys and values, expired entries in their grace period included.
    pub fn entries(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.entries.iter().map(|(k, e)| (k.as_str(), e.value.as_slice()))
    }

    /// Applies records that the platform returned from an earlier [`end`](Self::end) on; those before
    /// the present one are accounted for. Returns true when an entry changed.
    pub fn append(&mut self, now: Millis, batch: Batch) -> bool {
        self.set_answered(now);
        let mut changed = false;
        let end = self.end;
        for record in batch.records.into_iter().filter(|r| r.offset >= end) {
            changed |= self.apply(now, record);
        }
        self.end = end.max(batch.end);
        self.count_change(changed)
    }

    /// Applies a full read of the platform, with the newest record of every key; entries that it
    /// does not list are removed. A read that ends before this replica is older and changes nothing.
    /// Returns true when an entry changed.
    pub fn reset(&mut self, now: Millis, batch: Batch) -> bool {
        self.set_answered(now);
        if batch.end < self.end {
            return false;
        }
        let restored = self.is_restored(&batch);
        if restored {
            tracing::info!(
                era = position::era(batch.end),
                generation = position::generation(batch.end),
                end = position::offset(batch.end),
                before = position::offset(self.end),
                "replica: platform was restored"
            );
            self.outage = (0, 0);
            self.hidden.clear();
        }
        let mut changed = false;
        let listed =
            |k: &String| batch.kept.contains(k) || batch.records.iter().any(|r| r.key == *k);
        let missing: Vec<String> = self.entries.keys().filter(|k| !listed(k)).cloned().collect();
        self.hidden.retain(|k, _| listed(k));
        for key in missing {
            if restored {
                self.keep_for_grace(&key, now);
            } else {
                changed |= self.remove(now, &key);
            }
        }
        for record in batch.records {
            if restored && self.was_removed(now, &record.key) {
                self.hide(now, record);
            } else {
                changed |= self.apply(now, record);
            }
        }
        self.end = batch.end;
        self.count_change(changed)
    }

    /// True if a full read or a peer's replica belongs to a later history than this replica.
    pub fn is_restored(&self, batch: &Batch) -> bool {
        self.end > 0 && position::history(batch.end) > position::history(self.end)
    }

    /// Puts values of this replica in the place of older ones of a platform that was restored.
    /// `supersedes` tells whether a value of a key, the second argument, is newer than another.
    pub fn carry_over(&self, batch: &mut Batch, supersedes: impl Fn(&str, &[u8], &[u8]) -> bool) {
        if !self.is_restored(batch) {
            return;
        }
        for record in &mut batch.records {
            let Some(entry) = self.entries.get(&record.key) else { continue };
            let is_newer = |theirs: &Vec<u8>| supersedes(&record.key, &entry.value, theirs);
            if record.value.as_ref().is_some_and(is_newer) {
                record.value = Some(entry.value.clone());
            }
        }
    }

    /// Applies a peer's replica if the peer has read further. That is no response of the platform,
    /// so the times of its responses stay as they are. An entry that this replica lacks although it
    /// has read past its record was removed, whatever the peer holds. Returns true when an entry
    /// changed.
    pub fn adopt(&mut self, now: Millis, mut batch: Batch) -> bool {
        if batch.end <= self.end {
            return false;
        }
        let is_current = |r: &Record| r.offset >= self.end || self.entries.contains_key(&r.key);
        batch.records.retain(is_current);
        let (answered_at, failed) = (self.answered_at, self.failed);
        let (outage, steady_since) = (self.outage, self.steady_since);
        self.failed = false;
        let changed = self.reset(now, batch);
        (self.answered_at, self.failed) = (answered_at, failed);
        (self.outage, self.steady_since) = (outage, steady_since);
        changed
    }

    /// Entries at `now` for a peer that has read up to `from`: the records from there on, those of
    /// expired entries, and just the keys of the rest.
    pub fn export(&self, now: Millis, from: u64) -> Batch {
        let included = |e: &Entry| e.offset >= from || e.remove_at.is_some();
        let hidden = self.hidden.iter().map(|(k, (_, e))| (k, e));
        let all = self.entries.iter().chain(hidden);
        let records = all.filter(|(_, e)| included(e)).map(|(k, e)| Record {
            offset: e.offset,
            key: k.clone(),
            value: Some(e.value.clone()),
            remaining: e.remove_at.map(|at| at.saturating_sub(now)),
        });
        let kept = self.entries.iter().filter(|(_, e)| !included(e)).map(|(k, _)| k.clone());
        Batch { end: self.end, records: records.collect(), kept: kept.collect() }
    }

    /// Removes expired entries whose grace period is over, and shows those that were hidden for long
    /// enough. Returns true when there were any.
    pub fn expire(&mut self, now: Millis) -> bool {
        let over = |e: &Entry| e.remove_at.is_some_and(|at| at <= now);
        let expired: Vec<String> =
            self.entries.iter().filter(|(_, e)| over(e)).map(|(k, _)| k.clone()).collect();
        expired.iter().for_each(|key| self.forget(now, key));
        let shown: Vec<_> = self.hidden.extract_if(.., |_, (at, _)| *at <= now).collect();
        let changed = !expired.is_empty() || !shown.is_empty();
        self.entries.extend(shown.into_iter().map(|(key, (_, entry))| (key, entry)));
        self.count_change(changed)
    }

    /// Number of changes so far, which tells a later state of the entries from an earlier one.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Counts a change, if there was one. Returns `changed`.
    fn count_change(&mut self, changed: bool) -> bool {
        self.changes += u64::from(changed);
        changed
    }

    /// Records a response of the platform. A long silence alone is no outage, since a read may wait
    /// for new records: a call must have failed too.
    fn set_answered(&mut self, now: Millis) {
        if self.failed && now.saturating_sub(self.answered_at) > MIN_OUTAGE {
            self.outage = (self.answered_at, now);
            self.steady_since = None;
        }
        self.steady_since.get_or_insert(now);
        self.failed = false;
        self.answered_at = now;
    }

    /// Applies one record unless it is older than the entry. Returns true when the entry changed.
    fn apply(&mut self, now: Millis, record: Record) -> bool {
        if let Some(entry) = self.entries.get_mut(&record.key)
            && entry.offset >= record.offset
        {
            if entry.offset == record.offset {
                entry.remove_at = entry.remove_at.or(record.remaining.map(|ms| now + ms));
            }
            return false;
        }
        if self.hidden.get(&record.key).is_some_and(|(_, e)| e.offset >= record.offset) {
            return false;
        }
        self.hidden.shift_remove(&record.key);
        let Some(value) = record.value else { return self.remove(now, &record.key) };
        let remove_at = record.remaining.map(|ms| now + ms);
        let new = Entry { offset: record.offset, value, remove_at };
        let old = self.entries.insert(record.key, new.clone());
        old.is_none_or(|o| o.value != new.value || o.remove_at.is_some())
    }

    /// Removes an entry; right after an outage it is kept for the grace period instead. Returns
    /// true when it was removed at once.
    fn remove(&mut self, now: Millis, key: &str) -> bool {
        let (_, recovered_at) = self.outage;
        let in_backlog = recovered_at > 0 && now < recovered_at + BACKLOG_WINDOW;
        let Some(entry) = self.entries.get_mut(key) else { return false };
        if in_backlog {
            entry.remove_at.get_or_insert(recovered_at + EXPIRY_GRACE);
            return false;
        }
        self.forget(now, key);
        true
    }

    /// Removes an entry at once.
    fn forget(&mut self, now: Millis, key: &str) {
        self.entries.shift_remove(key);
        self.removed.shift_remove(key);
        self.removed.insert(key.to_owned(), now);
        while self.removed.len() > MAX_REMOVALS {
            self.removed.shift_remove_index(0);
        }
    }

    /// True if an entry was removed lately, and not written again.
    fn was_removed(&self, now: Millis, key: &str) -> bool {
        let recently = self.removed.get(key).is_some_and(|at| now < at + REMOVAL_MEMORY);
        recently && !self.entries.contains_key(key)
    }

    /// Keeps an entry that a restored platform lacks: it may be written again.
    fn keep_for_grace(&mut self, key: &str, now: Millis) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.remove_at.get_or_insert(now + EXPIRY_GRACE);
        }
    }

    /// Hides an entry of a restored platform that was removed before.
    fn hide(&mut self, now: Millis, record: Record) {
        let Record { offset, key, value: Some(value), .. } = record else { return };
        self.hidden.insert(key, (now + HIDE_TIME, Entry { offset, value, remove_at: None }));
    }
}
