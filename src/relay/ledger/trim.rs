//! Which records of instances that are gone are removed: the platform keeps the newest one of each key
//! for ever.

use indexmap::IndexMap;

use crate::adapter::clock::Millis;
use crate::fleet::replica::Record;

/// Prefix of the keys that belong to an instance, before its name.
pub const INSTANCE_PREFIX: &str = "instance/";
/// Maximum keys that are removed at once.
pub const MAX_REMOVALS: usize = 64;

/// Compares full reads that lie far apart.
#[derive(Debug)]
pub(super) struct Trimmer {
    /// Name of this instance.
    me: String,
    /// Time for which a record of an instance that is gone is kept at least, in milliseconds.
    retention: u64,
    /// Earliest time of the next look.
    next_at: Millis,
    /// Positions of the records at the last look, by key.
    seen: IndexMap<String, u64>,
}

impl Trimmer {
    pub(super) fn new(me: &str, retention: u64) -> Self {
        Self { me: me.to_owned(), retention, next_at: 0, seen: IndexMap::new() }
    }

    /// True if the last look was long ago.
    pub(super) fn is_time(&self, now: Millis) -> bool {
        now >= self.next_at
    }

    /// True if this instance has the lowest name of those that are `alive`, and its last look was long
    /// ago.
    pub(super) fn is_due(&self, now: Millis, alive: &[String]) -> bool {
        self.is_time(now) && alive.iter().all(|name| *name >= self.me)
    }

    /// Puts off the next look.
    pub(super) fn defer(&mut self, now: Millis) {
        self.next_at = now + self.retention;
    }

    /// Looks at the newest records. Returns the keys to remove: those of instances that are not `alive`
    /// whose records are the same as at the last look.
    pub(super) fn look(&mut self, records: &[Record], alive: &[String]) -> Vec<String> {
        let is_same = |r: &&Record| self.seen.get(&r.key) == Some(&r.offset);
        let is_gone = |r: &&Record| is_of_another(&r.key, alive);
        let old = records.iter().filter(is_same).filter(is_gone).take(MAX_REMOVALS);
        let old = old.map(|r| r.key.clone()).collect();
        self.seen = records.iter().map(|r| (r.key.clone(), r.offset)).collect();
        old
    }
}

/// True for a key of an instance that is not among `alive`.
fn is_of_another(key: &str, alive: &[String]) -> bool {
    let Some(name) = key.strip_prefix(INSTANCE_PREFIX) else { return false };
    let is_of = |own: &String| {
        name.strip_prefix(own.as_str()).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    };
    !alive.iter().any(is_of)
}
