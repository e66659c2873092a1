//! Recognises contents that crash the endpoints they run on.
//!
//! A crash counts against every content that ran on the endpoint. Suspects never share an
//! endpoint afterwards, so that an innocent one is not beside the culprit twice.

use indexmap::{IndexMap, IndexSet};

use crate::adapter::clock::Millis;
use crate::mechanism::{self, Mechanism};

/// How long a crash counts, in milliseconds.
pub const MEMORY: u64 = 600_000;
/// Time after which a report of the same life proves that there was no crash, in milliseconds.
pub const SETTLE: u64 = 1_000;
/// Suspects remembered.
const MAX_SUSPECTS: usize = 10_000;

/// Hash of what a request asks for.
pub type Content = u64;

/// State of a content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Nothing is known against it.
    Clear,
    /// It ran on an endpoint that crashed.
    Suspect,
    /// It is refused until the time given.
    Quarantined { until: Millis },
}

#[derive(Debug, Clone, Default)]
struct Record {
    crashes: IndexSet<String>,
    forgiven: IndexSet<String>,
    last: Millis,
    until: Millis,
}

/// Contents under suspicion.
#[derive(Debug, Default)]
pub struct Suspects {
    map: IndexMap<Content, Record>,
}

impl Suspects {
    /// Counts the crash `crash` (endpoint and life) against a content. Returns true when that
    /// put it into quarantine.
    pub fn crashed(
        &mut self,
        now: Millis,
        content: Content,
        crash: &str,
        limit: u32,
        hold: u64,
    ) -> bool {
        if self.map.len() >= MAX_SUSPECTS && !self.map.contains_key(&content) {
            self.map.swap_remove_index(0);
        }
        let record = self.map.entry(content).or_default();
        if now.saturating_sub(record.last) > MEMORY {
            record.crashes.clear();
        }
        if record.forgiven.contains(crash) || record.crashes.contains(crash) {
            return false;
        }
        record.last = now;
        record.crashes.insert(crash.to_owned());
        let over = record.crashes.len() >= limit as usize && record.until <= now;
        if over {
            record.until = now + hold;
        }
        over
    }

    /// Standing of a content.
    pub fn standing(&self, now: Millis, content: Content) -> Standing {
        if !mechanism::on(Mechanism::Quarantine) {
            return Standing::Clear;
        }
        match self.map.get(&content) {
            Some(r) if r.until > now => Standing::Quarantined { until: r.until },
            Some(r) if now.saturating_sub(r.last) <= MEMORY && !r.crashes.is_empty() => {
                Standing::Suspect
            }
            _ => Standing::Clear,
        }
    }

    /// Takes over a quarantine that another instance has found.
    pub fn hold(&mut self, content: Content, until: Millis) {
        let record = self.map.entry(content).or_default();
        record.until = record.until.max(until);
    }

    /// Lets a content run again; the crashes counted so far never count again. Returns false
    /// when it was not known.
    pub fn release(&mut self, content: Content) -> bool {
        let Some(record) = self.map.get_mut(&content) else {
            return false;
        };
        record.until = 0;
        record.forgiven.extend(record.crashes.drain(..));
        true
    }

    /// The endpoint of `crash` is heard in the same life after all, so that crash was none.
    /// Returns the contents whose quarantine ends by that.
    pub fn alive(&mut self, now: Millis, crash: &str, limit: u32) -> Vec<Content> {
        let mut freed = Vec::new();
        for (content, record) in &mut self.map {
            if now < record.last + SETTLE || !record.crashes.swap_remove(crash) {
                continue;
            }
            record.forgiven.insert(crash.to_owned());
            if record.until > now && record.crashes.len() < limit as usize {
                record.until = 0;
                freed.push(*content);
            }
        }
        freed
    }

    /// Every crash counted within the memory, for the peers.
    pub fn export(&self, now: Millis) -> Vec<(Content, Vec<String>)> {
        let recent = self.map.iter().filter(|(_, r)| now.saturating_sub(r.last) <= MEMORY);
        recent.map(|(c, r)| (*c, r.crashes.iter().cloned().collect())).collect()
    }

    /// Contents in quarantine and when each ends.
    pub fn held(&self, now: Millis) -> Vec<(Content, Millis)> {
        self.map.iter().filter(|(_, r)| r.until > now).map(|(c, r)| (*c, r.until)).collect()
    }
}
