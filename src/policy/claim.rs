//! Claims on the keys of non-idempotent requests, decided by the order of the log.
//!
//! The first claim of a key on the log wins, and only its holder may send the request, once.
//! Every instance folds the same records into the same table. Records may stand on the log
//! twice after an unsettled append; a second copy changes nothing.

use std::sync::Arc;

use indexmap::IndexMap;
use uuid::Uuid;

use crate::adapter::clock::Millis;

/// Hash of workspace, service and idempotency key.
pub type Key = u128;

data! {
    /// An answer kept for callers who send their request again.
    pub struct Answer {
        /// HTTP status.
        pub status: u16,
        /// Headers for the caller, names in lower case.
        pub headers: Vec<(String, String)>,
        /// Whole body.
        #[serde(with = "serde_bytes")]
        pub body: Vec<u8>,
    }

    /// One step in the life of a claim.
    pub enum Op {
        /// Claims a key.
        Claim(Claim),
        /// The request ran, and this is its answer.
        Done { key: Key, nonce: Uuid, answer: Answer },
        /// The request was not sent and never will be under this claim.
        Release { key: Key, nonce: Uuid },
        /// The request was sent and its outcome is not known.
        Lost { key: Key, nonce: Uuid },
    }

    /// A claim on a key.
    pub struct Claim {
        /// Key that is claimed.
        pub key: Key,
        /// Identity of this claim.
        pub nonce: Uuid,
        /// Instance that claims, by its boot id.
        pub boot: Uuid,
        /// Hash of the request, to tell a key used for two different requests.
        pub digest: u64,
        /// How long the claim holds, in milliseconds of log time.
        pub window: u64,
    }
}

/// What became of a claimed request.
#[derive(Debug, Clone, PartialEq)]
pub enum State {
    /// The holder may be running it.
    Held,
    /// It ran.
    Done(Arc<Answer>),
    /// It was sent; nobody knows whether it ran.
    Lost,
}

/// The claim that holds a key.
#[derive(Debug, Clone, PartialEq)]
pub struct Holder {
    /// Identity of the claim.
    pub nonce: Uuid,
    /// Instance that claimed.
    pub boot: Uuid,
    /// Hash of the request.
    pub digest: u64,
    /// Log time of the claim.
    pub at: Millis,
    /// Log time from which the key is free again.
    pub until: Millis,
    /// What became of the request.
    pub state: State,
}

/// Fold of the claims on the log.
#[derive(Debug, Default)]
pub struct Table {
    keys: IndexMap<Key, Holder>,
    /// Claims given up, and when they may be forgotten.
    released: IndexMap<Uuid, Millis>,
}

impl Table {
    /// Applies one record that the log stamped with the time `at`.
    pub fn apply(&mut self, at: Millis, op: &Op) {
        match op {
            Op::Claim(claim) => self.claim(at, claim),
            Op::Done { key, nonce, answer } => {
                self.settle(*key, *nonce, State::Done(Arc::new(answer.clone())));
            }
            Op::Lost { key, nonce } => self.settle(*key, *nonce, State::Lost),
            Op::Release { key, nonce } => self.release(*key, *nonce),
        }
    }

    fn claim(&mut self, at: Millis, claim: &Claim) {
        if self.released.contains_key(&claim.nonce) {
            return;
        }
        if self.keys.get(&claim.key).is_some_and(|h| at < h.until) {
            return;
        }
        let holder = Holder {
            nonce: claim.nonce,
            boot: claim.boot,
            digest: claim.digest,
            at,
            until: at + claim.window,
            state: State::Held,
        };
        self.keys.insert(claim.key, holder);
    }

    fn settle(&mut self, key: Key, nonce: Uuid, state: State) {
        let Some(holder) = self.keys.get_mut(&key) else {
            return;
        };
        if holder.nonce == nonce && holder.state == State::Held {
            holder.state = state;
        }
    }

    fn release(&mut self, key: Key, nonce: Uuid) {
        let Some(holder) = self.keys.get(&key) else {
            return;
        };
        if holder.nonce != nonce {
            return;
        }
        invariant!(holder.state == State::Held, "claim {nonce} released after it was sent");
        let until = holder.until;
        self.keys.swap_remove(&key);
        self.released.insert(nonce, until);
    }

    /// Claim that holds `key` at log time `now`.
    pub fn holder(&self, key: Key, now: Millis) -> Option<&Holder> {
        self.keys.get(&key).filter(|h| now < h.until)
    }

    /// Forgets claims that ended before log time `now`. Returns how many are left.
    pub fn prune(&mut self, now: Millis) -> usize {
        self.keys.retain(|_, h| now < h.until);
        self.released.retain(|_, until| now < *until);
        self.keys.len()
    }

    /// Claims held by `boot` whose outcome is open.
    pub fn held_by(&self, boot: Uuid) -> impl Iterator<Item = (Key, &Holder)> {
        let held = move |h: &Holder| h.boot == boot && h.state == State::Held;
        self.keys.iter().filter(move |(_, h)| held(h)).map(|(k, h)| (*k, h))
    }
}

/// What the caller of a key is to get, as far as the table tells.
#[derive(Debug, Clone, PartialEq)]
pub enum Position {
    /// Nobody holds the key.
    Free,
    /// This claim holds it and may send, once.
    Acquired,
    /// Another claim holds it.
    HeldByOther(Holder),
    /// The key was used for a different request.
    Mismatch,
}

impl Table {
    /// Looks up where the claim `nonce` for a request with this digest stands.
    pub fn position(&self, key: Key, nonce: Uuid, digest: u64, now: Millis) -> Position {
        match self.holder(key, now) {
            None => Position::Free,
            Some(h) if h.nonce == nonce => Position::Acquired,
            Some(h) if h.digest != digest => Position::Mismatch,
            Some(h) => Position::HeldByOther(h.clone()),
        }
    }
}

/// What a caller's key says about its age.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyAge {
    /// Within the window, or opaque.
    Usable,
    /// Older than the claims that are remembered.
    Expired,
    /// Made in the future.
    Ahead,
}

/// Allowed difference between a caller's clock and ours, in milliseconds.
pub const CLOCK_SKEW: u64 = 60_000;

/// Judges a time-ordered key (UUID version 7). Opaque keys carry no time and pass.
pub fn key_age(key: &str, now: Millis, window: u64) -> KeyAge {
    let Ok(id) = Uuid::parse_str(key) else {
        return KeyAge::Usable;
    };
    if id.get_version_num() != 7 {
        return KeyAge::Usable;
    }
    let Some(stamp) = id.get_timestamp() else {
        return KeyAge::Usable;
    };
    let (secs, nanos) = stamp.to_unix();
    let created = secs * 1_000 + u64::from(nanos) / 1_000_000;
    if created > now + CLOCK_SKEW {
        return KeyAge::Ahead;
    }
    if created + window.saturating_sub(2 * CLOCK_SKEW) < now {
        return KeyAge::Expired;
    }
    KeyAge::Usable
}
