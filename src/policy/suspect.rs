//! Detects request contents that crash endpoints, and quarantines them.
//!
//! A crash counts against every content that was running on the endpoint. Suspects never share an
//! endpoint afterwards, so that a harmless content doesn't run next to the cause a second time.

use indexmap::{IndexMap, IndexSet};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::sound::SoundSegments;
use crate::adapter::clock::Millis;
use crate::mechanism::{self, Mechanism};

/// Time after the last crash for which the crashes of a content count.
pub const RETENTION_MS: u64 = 600_000;
/// Time after a crash from which a report of the same incarnation proves that there was no crash.
pub const REVOKE_DELAY_MS: u64 = 1_000;
/// Seed that tells the hashes of prompt segments from those of whole requests.
const SEGMENT_SEED: u64 = 1;
/// Maximum contents tracked.
const MAX_SUSPECTS: usize = 10_000;

/// Hash of the content of a request, or of a prompt segment.
pub type Content = u64;

/// The content that stands for a prompt segment.
pub fn segment_content(id: u64) -> Content {
    xxh3_64_with_seed(&id.to_le_bytes(), SEGMENT_SEED)
}

/// State of a content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ContentState {
    /// No crash counts against it.
    Clear,
    /// It was running on an endpoint that crashed.
    Suspect,
    /// Its requests are refused until the given time.
    Quarantined { until: Millis },
}

/// What recording a crash against a content has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Counted {
    /// Nothing: the crash was known already, or never counts, or the content is a sound segment.
    Known,
    /// The crash counts from now on.
    New,
    /// The crash counts, and the content is quarantined because of it.
    Quarantined,
}

#[derive(Debug, Clone, Default)]
struct Record {
    /// Crashes that count.
    crashes: IndexSet<String>,
    /// Crashes that never count again.
    ignored: IndexSet<String>,
    last_crash: Millis,
    quarantined_until: Millis,
}

/// All contents that crashes count against.
#[derive(Debug, Default)]
pub struct Suspects {
    map: IndexMap<Content, Record>,
    sound: SoundSegments,
}

impl Suspects {
    /// Counts the crash `crash` (endpoint and incarnation) against a content. With `limit` crashes,
    /// the content is quarantined for `duration` milliseconds.
    pub fn record_crash(
        &mut self,
        now: Millis,
        content: Content,
        crash: &str,
        limit: u32,
        duration: u64,
    ) -> Counted {
        if self.sound.contains(content) {
            return Counted::Known;
        }
        if self.map.len() >= MAX_SUSPECTS && !self.map.contains_key(&content) {
            self.evict(now);
        }
        let record = self.map.entry(content).or_default();
        if now.saturating_sub(record.last_crash) > RETENTION_MS {
            record.ignored.extend(record.crashes.drain(..));
        }
        if record.ignored.contains(crash) || record.crashes.contains(crash) {
            return Counted::Known;
        }
        record.last_crash = now;
        record.crashes.insert(crash.to_owned());
        let exceeded = record.crashes.len() >= limit as usize && record.quarantined_until <= now;
        if !exceeded {
            return Counted::New;
        }
        record.quarantined_until = now + duration;
        Counted::Quarantined
    }

    /// Records that an endpoint has answered on a prompt segment: crashes don't count against it.
    /// Returns true if that ends its quarantine.
    pub fn record_sound(&mut self, now: Millis, segment: Content) -> bool {
        self.sound.insert(now, segment);
        let quarantined = matches!(self.state(now, segment), ContentState::Quarantined { .. });
        self.release(segment);
        quarantined
    }

    /// True if an endpoint has answered on the prompt segment recently.
    pub fn is_sound(&self, segment: Content) -> bool {
        self.sound.contains(segment)
    }

    /// Removes the content whose last crash is the oldest; quarantined ones only if all are.
    fn evict(&mut self, now: Millis) {
        let rank = |r: &Record| (r.quarantined_until > now, r.last_crash);
        let oldest = self.map.iter().min_by_key(|(_, r)| rank(r)).map(|(content, _)| *content);
        if let Some(content) = oldest {
            self.map.swap_remove(&content);
        }
    }

    /// Number of crashes that count against a content.
    pub fn crash_count(&self, content: Content) -> usize {
        self.map.get(&content).map_or(0, |r| r.crashes.len())
    }

    /// Number of contents tracked.
    pub fn len(&self) -> usize {
        self.map.len()
    }

    /// True if no content is tracked.
    pub fn is_empty(&self) -> bool {
        self.map.is_empty()
    }

    /// Current state of a content; always clear if quarantine is switched off.
    pub fn state(&self, now: Millis, content: Content) -> ContentState {
        if !mechanism::on(Mechanism::Quarantine) {
            return ContentState::Clear;
        }
        match self.map.get(&content) {
            Some(r) if r.quarantined_until > now => {
                ContentState::Quarantined { until: r.quarantined_until }
            }
            Some(r)
                if now.saturating_sub(r.last_crash) <= RETENTION_MS && !r.crashes.is_empty() =>
            {
                ContentState::Suspect
            }
            _ => ContentState::Clear,
        }
    }

    /// Applies a quarantine that another instance has decided.
    pub fn quarantine(&mut self, content: Content, until: Millis) {
        let record = self.map.entry(content).or_default();
        record.quarantined_until = record.quarantined_until.max(until);
    }

    /// Ends the quarantine of a content; the crashes counted so far never count again. Returns
    /// false if the content is not tracked.
    pub fn release(&mut self, content: Content) -> bool {
        let Some(record) = self.map.get_mut(&content) else {
            return false;
        };
        record.quarantined_until = 0;
        record.ignored.extend(record.crashes.drain(..));
        true
    }

    /// Revokes a crash, because the endpoint has reported in the same incarnation since. Returns
    /// the contents whose quarantine ends because of that.
    pub fn revoke_crash(&mut self, now: Millis, crash: &str, limit: u32) -> Vec<Content> {
        let mut released = Vec::new();
        for (content, record) in &mut self.map {
            if now < record.last_crash + REVOKE_DELAY_MS || !record.crashes.swap_remove(crash) {
                continue;
            }
            record.ignored.insert(crash.to_owned());
            if record.quarantined_until > now && record.crashes.len() < limit as usize {
                record.quarantined_until = 0;
                released.push(*content);
            }
        }
        released
    }

    /// All contents with a crash within the retention time, and their crashes, for the peers.
    pub fn export(&self, now: Millis) -> Vec<(Content, Vec<String>)> {
        let recent =
            self.map.iter().filter(|(_, r)| now.saturating_sub(r.last_crash) <= RETENTION_MS);
        recent.map(|(c, r)| (*c, r.crashes.iter().cloned().collect())).collect()
    }

    /// The newest `limit` crashes of each quarantined content, for the peers.
    pub fn evidence(&self, now: Millis, limit: u32) -> Vec<(Content, String)> {
        let quarantined = self.map.iter().filter(|(_, r)| r.quarantined_until > now);
        let newest = quarantined
            .flat_map(|(c, r)| r.crashes.iter().rev().take(limit as usize).map(move |id| (c, id)));
        newest.map(|(content, id)| (*content, id.clone())).collect()
    }

    /// Quarantined contents and the time at which each quarantine ends.
    pub fn quarantined(&self, now: Millis) -> Vec<(Content, Millis)> {
        self.map
            .iter()
            .filter(|(_, r)| r.quarantined_until > now)
            .map(|(c, r)| (*c, r.quarantined_until))
            .collect()
    }
}
