//! Recognises contents that crash the endpoints they run on.
//!
//! A crash counts against every content that ran on the endpoint. Suspects never share an
//! endpoint afterwards, so that an innocent one is not beside the culprit twice.

use indexmap::{IndexMap, IndexSet};

use crate::adapter::clock::Millis;
use crate::mechanism::{self, Mechanism};

/// How long a crash counts, in milliseconds.
pub const RETENTION_MS: u64 = 600_000;
/// Time after which a report of the same life proves that there was no crash, in milliseconds.
pub const REVOKE_DELAY_MS: u64 = 1_000;
/// Suspects remembered.
const MAX_SUSPECTS: usize = 10_000;

/// Hash of what a request asks for.
pub type Content = u64;

/// State of a content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ContentState {
    /// Nothing is known against it.
    Clear,
    /// It ran on an endpoint that record_crash.
    Suspect,
    /// It is refused until the time given.
    Quarantined { until: Millis },
}

#[derive(Debug, Clone, Default)]
struct Record {
    crashes: IndexSet<String>,
    ignored: IndexSet<String>,
    last_crash: Millis,
    quarantined_until: Millis,
}

/// Contents under suspicion.
#[derive(Debug, Default)]
pub struct Suspects {
    map: IndexMap<Content, Record>,
}

impl Suspects {
    /// Counts the crash `crash` (endpoint and life) against a content. Returns true when that
    /// put it into quarantine.
    pub fn record_crash(
        &mut self,
        now: Millis,
        content: Content,
        crash: &str,
        limit: u32,
        duration: u64,
    ) -> bool {
        if self.map.len() >= MAX_SUSPECTS && !self.map.contains_key(&content) {
            self.map.swap_remove_index(0);
        }
        let record = self.map.entry(content).or_default();
        if now.saturating_sub(record.last_crash) > RETENTION_MS {
            record.crashes.clear();
        }
        if record.ignored.contains(crash) || record.crashes.contains(crash) {
            return false;
        }
        record.last_crash = now;
        record.crashes.insert(crash.to_owned());
        let exceeded = record.crashes.len() >= limit as usize && record.quarantined_until <= now;
        if exceeded {
            record.quarantined_until = now + duration;
        }
        exceeded
    }

    /// ContentState of a content.
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

    /// Takes over a quarantine that another instance has found.
    pub fn quarantine(&mut self, content: Content, until: Millis) {
        let record = self.map.entry(content).or_default();
        record.quarantined_until = record.quarantined_until.max(until);
    }

    /// Lets a content run again; the crashes counted so far never count again. Returns false
    /// when it was not known.
    pub fn release(&mut self, content: Content) -> bool {
        let Some(record) = self.map.get_mut(&content) else {
            return false;
        };
        record.quarantined_until = 0;
        record.ignored.extend(record.crashes.drain(..));
        true
    }

    /// The endpoint of `crash` is heard in the same life after all, so that crash was none.
    /// Returns the contents whose quarantine ends by that.
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

    /// Every crash counted within the memory, for the peers.
    pub fn export(&self, now: Millis) -> Vec<(Content, Vec<String>)> {
        let recent =
            self.map.iter().filter(|(_, r)| now.saturating_sub(r.last_crash) <= RETENTION_MS);
        recent.map(|(c, r)| (*c, r.crashes.iter().cloned().collect())).collect()
    }

    /// Contents in quarantine and when each ends.
    pub fn quarantined(&self, now: Millis) -> Vec<(Content, Millis)> {
        self.map
            .iter()
            .filter(|(_, r)| r.quarantined_until > now)
            .map(|(c, r)| (*c, r.quarantined_until))
            .collect()
    }
}
