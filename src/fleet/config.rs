//! Folds the `config` stream of the log into the configuration in force.
//!
//! A publication names the version it was edited from (optimistic concurrency control). It is
//! accepted if and only if that version is in force at its offset and the document is valid. The
//! fold is deterministic, so every reader reaches the same decision.
//!
//! The log trims old records, so the version in force is appended again before its record expires:
//! such a *carry* is a checkpoint, with the version and the offset up to which it accounts for all
//! records. A reader that finds records trimmed which it has not read can't know the version in
//! force. It keeps publications pending until a carry, from the log or a peer, states the version.

use std::sync::Arc;

use indexmap::IndexMap;
use uuid::Uuid;

use crate::adapter::clock::Millis;
use crate::config::FleetConfig;
use crate::mechanism::{self, Mechanism};

/// Name of the log stream that holds these records.
pub const STREAM: &str = "config";
/// Largest number of pending publications; further ones are dropped.
const MAX_PENDING: usize = 10_000;
/// Largest number of publication ids remembered to detect repeated appends.
const MAX_SEEN: usize = 50_000;

data! {
    /// A configuration document published by an operator.
    pub struct Publish {
        /// Id of the publication, the same in each repeated append (idempotency key).
        pub id: Uuid,
        /// Version that the document was edited from.
        pub base: u64,
        /// Operator who published it.
        pub author: String,
        /// The document.
        pub text: String,
    }

    /// Checkpoint of the version in force, appended before its record expires.
    pub struct Carry {
        /// Number of the version.
        pub version: u64,
        /// Publication that made it.
        pub id: Uuid,
        /// Operator who published it.
        pub author: String,
        /// All records before this offset are accounted for.
        pub as_of: u64,
        /// The document.
        pub text: String,
    }

    /// One record of the stream.
    pub enum Record {
        /// A new document, to be decided.
        Publish(Publish),
        /// A checkpoint of the version in force.
        Carry(Carry),
    }
}

/// The configuration in force.
#[derive(Debug, Clone)]
pub struct CurrentConfig {
    /// Number of the version, counted from 1.
    pub version: u64,
    /// Publication that made it.
    pub id: Uuid,
    /// Operator who published it.
    pub author: String,
    /// All records before this offset are accounted for.
    pub as_of: u64,
    /// Log time of the newest record that states it, a publication or a carry.
    pub logged: Millis,
    /// The document.
    pub text: Arc<str>,
    /// The parsed document.
    pub fleet: Arc<FleetConfig>,
}

/// Outcome of a publication.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// It came into force as this version.
    Accepted { version: u64 },
    /// It was edited from another version than the one in force, which is given with its author.
    Conflict { version: u64, author: String },
    /// The document is invalid, with these findings.
    Invalid { findings: String },
}

/// Decision on a publication.
#[derive(Debug, Clone, PartialEq)]
pub struct Decision {
    /// Offset of its record.
    pub offset: u64,
    /// Log time of its record.
    pub at: Millis,
    /// The publication.
    pub publish: Publish,
    /// Outcome of the publication.
    pub outcome: Outcome,
}

/// State of the fold: the configuration in force after the records read so far.
#[derive(Debug, Default)]
pub struct Fold {
    /// Offset from which on every record was read.
    read_from: u64,
    /// Offset of the next record to read.
    next: u64,
    /// True when the version in force at `next` is certain.
    known: bool,
    current: Option<CurrentConfig>,
    /// Publications that wait for the version in force: offset, log time, publication.
    pending: Vec<(u64, Millis, Publish)>,
    /// Ids of decided publications, oldest first, with their offsets.
    seen: IndexMap<Uuid, u64>,
}

impl Fold {
    /// Offset of the next record to read.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// The configuration in force, if any is known.
    pub fn current(&self) -> Option<&CurrentConfig> {
        self.current.as_ref()
    }

    /// Version in force; 0 while none is known.
    pub fn version(&self) -> u64 {
        self.current.as_ref().map_or(0, |c| c.version)
    }

    /// True when the version in force is certain, so that publications can be decided.
    pub fn known(&self) -> bool {
        self.known
    }

    /// Sets the oldest offset that the log still has. Call it before applying a page. If unread
    /// records were trimmed, publications stay pending until a carry accounts for the gap.
    pub fn set_oldest(&mut self, oldest: u64) {
        if oldest == 0 && self.next == 0 {
            self.known = true;
        }
        if oldest > self.next {
            self.known = !mechanism::on(Mechanism::Gaps);
            self.read_from = oldest;
            self.next = oldest;
            self.pending.clear();
        }
    }

    /// Applies the record at `offset`, unless it was read before. Returns the decisions that became
    /// possible.
    pub fn apply(&mut self, offset: u64, at: Millis, record: Record) -> Vec<Decision> {
        if offset < self.next {
            return Vec::new();
        }
        self.next = offset + 1;
        match record {
            Record::Publish(publish) if self.known => {
                self.decide(offset, at, publish).into_iter().collect()
            }
            Record::Publish(publish) => {
                if self.pending.len() < MAX_PENDING {
                    self.pending.push((offset, at, publish));
                }
                Vec::new()
            }
            Record::Carry(carry) => self.adopt(at, carry),
        }
    }

    /// Decides a publication; `None` when it is a repeated append or `current` accounts for it.
    fn decide(&mut self, offset: u64, at: Millis, publish: Publish) -> Option<Decision> {
        if self.seen.contains_key(&publish.id) {
            return None;
        }
        if self.seen.len() >= MAX_SEEN {
            self.seen.shift_remove_index(0);
        }
        self.seen.insert(publish.id, offset);
        let in_force = self.version();
        let outcome = if self.current.as_ref().is_some_and(|c| offset < c.as_of) {
            return None;
        } else if publish.base != in_force && mechanism::on(Mechanism::Base) {
            let author = self.current.as_ref().map_or(String::new(), |c| c.author.clone());
            Outcome::Conflict { version: in_force, author }
        } else {
            match FleetConfig::parse("config", &publish.text) {
                Ok(fleet) => self.accept(offset, at, &publish, fleet),
                Err(findings) => Outcome::Invalid { findings: findings.to_string() },
            }
        };
        Some(Decision { offset, at, publish, outcome })
    }

    /// Puts a publication in force as the next version.
    fn accept(
        &mut self,
        offset: u64,
        at: Millis,
        publish: &Publish,
        fleet: FleetConfig,
    ) -> Outcome {
        let version = self.version() + 1;
        self.set_current(CurrentConfig {
            version,
            id: publish.id,
            author: publish.author.clone(),
            as_of: offset + 1,
            logged: at,
            text: publish.text.as_str().into(),
            fleet: Arc::new(fleet),
        });
        Outcome::Accepted { version }
    }

    /// Replaces the version in force; versions never decrease, and each has one document.
    fn set_current(&mut self, new: CurrentConfig) {
        if let Some(old) = &self.current {
            invariant!(
                new.version >= old.version,
                "config version decreases from {} to {}",
                old.version,
                new.version
            );
            invariant!(
                new.version > old.version || new.id == old.id,
                "two documents have version {}",
                new.version
            );
        }
        self.current = Some(new);
    }

    /// Applies a carry from the log or from a peer, unless it states an older version than the one
    /// in force. Then decides the pending publications that it does not account for.
    pub fn adopt(&mut self, at: Millis, carry: Carry) -> Vec<Decision> {
        let as_of = carry.as_of;
        let own = self.version();
        if carry.version < own {
            return Vec::new();
        }
        if carry.version > own {
            let has_read = self.known && as_of <= self.next;
            invariant!(
                !has_read,
                "version {} of a carry is not in the log before offset {as_of}",
                carry.version
            );
            if !self.install(at, carry) {
                return Vec::new();
            }
        } else if let Some(c) = &mut self.current {
            invariant!(carry.id == c.id, "two documents have version {own}");
            c.logged = c.logged.max(at);
            c.as_of = c.as_of.max(as_of);
        }
        if as_of > self.next {
            self.read_from = as_of;
            self.next = as_of;
            self.pending.clear();
        }
        if as_of < self.read_from {
            return Vec::new();
        }
        self.known = true;
        let pending = std::mem::take(&mut self.pending);
        let unaccounted = pending.into_iter().filter(|(offset, ..)| *offset >= as_of);
        unaccounted.filter_map(|(offset, at, publish)| self.decide(offset, at, publish)).collect()
    }

    /// Puts the document of a carry in force; false when it is invalid.
    fn install(&mut self, at: Millis, carry: Carry) -> bool {
        let fleet = match FleetConfig::parse("config", &carry.text) {
            Ok(fleet) => Arc::new(fleet),
            Err(findings) => {
                tracing::error!("config: version {} can't be read: {findings}.", carry.version);
                return false;
            }
        };
        self.set_current(CurrentConfig {
            version: carry.version,
            id: carry.id,
            author: carry.author,
            as_of: carry.as_of,
            logged: at,
            text: carry.text.into(),
            fleet,
        });
        true
    }

    /// A carry of the version in force; `None` while none is known.
    pub fn snapshot(&self) -> Option<Carry> {
        let c = self.current.as_ref()?;
        let as_of = if self.known { self.next.max(c.as_of) } else { c.as_of };
        Some(Carry {
            version: c.version,
            id: c.id,
            author: c.author.clone(),
            as_of,
            text: c.text.to_string(),
        })
    }
}
