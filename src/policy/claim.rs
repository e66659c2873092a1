//! Claims on the idempotency keys of non-idempotent requests, ordered by the shared log.
//!
//! The first claim of a key in the log wins, and only its holder may send the request, once.
//! Every instance applies the same records and arrives at the same table. A record may occur
//! twice in the log when an append with an unknown result was repeated; applying the second copy
//! has no effect.

use std::sync::Arc;

use indexmap::IndexMap;
use uuid::Uuid;

use crate::adapter::clock::Millis;

/// Hash of workspace, service and idempotency key.
pub type Key = u128;

data! {
    /// A complete HTTP response. That of a keyed request is stored for callers that repeat it.
    pub struct BufferedResponse {
        /// HTTP status.
        pub status: u16,
        /// Response headers, names in lower case.
        pub headers: Vec<(String, String)>,
        /// Complete body.
        #[serde(with = "serde_bytes")]
        pub body: Vec<u8>,
    }

    /// A log record that changes the state of a claim.
    pub enum Op {
        /// Claims a key.
        Claim(Claim),
        /// The request was executed with this response.
        Done { key: Key, nonce: Uuid, answer: BufferedResponse },
        /// The request was not sent and will not be sent under this claim.
        Release { key: Key, nonce: Uuid },
        /// The request was sent and its outcome is unknown.
        Lost { key: Key, nonce: Uuid },
    }

    /// A claim on an idempotency key.
    pub struct Claim {
        /// Claimed key.
        pub key: Key,
        /// Unique id of this claim.
        pub nonce: Uuid,
        /// Boot id of the claiming instance.
        pub boot: Uuid,
        /// Hash of the request; detects a key that is reused for a different request.
        pub digest: u64,
        /// How long the claim is valid, in milliseconds of log time.
        pub window: u64,
    }
}

/// State of a claimed request.
#[derive(Debug, Clone, PartialEq)]
pub enum ClaimState {
    /// The holder may be executing it.
    Held,
    /// It was executed with this response.
    Done(Arc<BufferedResponse>),
    /// It was sent; whether it was executed is unknown.
    Lost,
}

/// The claim that owns a key.
#[derive(Debug, Clone, PartialEq)]
pub struct Holder {
    /// Unique id of the claim.
    pub nonce: Uuid,
    /// Boot id of the claiming instance.
    pub boot: Uuid,
    /// Hash of the request.
    pub digest: u64,
    /// Log time of the claim.
    pub at: Millis,
    /// Log time at which the claim expires and the key is free again.
    pub until: Millis,
    /// State of the request.
    pub state: ClaimState,
}

/// Claims by key, built by applying the records of the log in order.
#[derive(Debug, Default)]
pub struct ClaimTable {
    keys: IndexMap<Key, Holder>,
    /// Released claims by their id, and the log time after which they may be dropped. A second
    /// copy of the record of a released claim must not claim the key again.
    released: IndexMap<Uuid, Millis>,
}

impl ClaimTable {
    /// Applies one record. `at` is the time that the log assigned to it.
    pub fn apply(&mut self, at: Millis, op: &Op) {
        match op {
            Op::Claim(claim) => self.claim(at, claim),
            Op::Done { key, nonce, answer } => {
                self.settle(*key, *nonce, ClaimState::Done(Arc::new(answer.clone())));
            }
            Op::Lost { key, nonce } => self.settle(*key, *nonce, ClaimState::Lost),
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
            state: ClaimState::Held,
        };
        self.keys.insert(claim.key, holder);
    }

    fn settle(&mut self, key: Key, nonce: Uuid, state: ClaimState) {
        let Some(holder) = self.keys.get_mut(&key) else {
            return;
        };
        if holder.nonce == nonce && holder.state == ClaimState::Held {
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
        invariant!(
            holder.state == ClaimState::Held,
            "claim {nonce} released after its request was sent"
        );
        let until = holder.until;
        self.keys.swap_remove(&key);
        self.released.insert(nonce, until);
    }

    /// Claim that owns `key` at log time `now`.
    pub fn holder(&self, key: Key, now: Millis) -> Option<&Holder> {
        self.keys.get(&key).filter(|h| now < h.until)
    }

    /// Drops claims that have expired by log time `now`. Returns the number of claims left.
    pub fn prune(&mut self, now: Millis) -> usize {
        self.keys.retain(|_, h| now < h.until);
        self.released.retain(|_, until| now < *until);
        self.keys.len()
    }

    /// Claims of the instance `boot` whose request has no outcome yet.
    pub fn held_by(&self, boot: Uuid) -> impl Iterator<Item = (Key, &Holder)> {
        let held = move |h: &Holder| h.boot == boot && h.state == ClaimState::Held;
        self.keys.iter().filter(move |(_, h)| held(h)).map(|(k, h)| (*k, h))
    }
}

/// Standing of one claim on a key.
#[derive(Debug, Clone, PartialEq)]
pub enum Position {
    /// No claim holds the key.
    Free,
    /// This claim holds the key; its request may be sent, once.
    Acquired,
    /// Another claim, for the same request, holds the key.
    HeldByOther(Holder),
    /// The key is held by a claim for a different request.
    Mismatch,
}

impl ClaimTable {
    /// Standing of the claim `nonce` on `key` at log time `now`. `digest` is the hash of its
    /// request.
    pub fn position(&self, key: Key, nonce: Uuid, digest: u64, now: Millis) -> Position {
        match self.holder(key, now) {
            None => Position::Free,
            Some(h) if h.nonce == nonce => Position::Acquired,
            Some(h) if h.digest != digest => Position::Mismatch,
            Some(h) => Position::HeldByOther(h.clone()),
        }
    }
}

/// Age of a caller's idempotency key relative to the claim window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyAge {
    /// Within the window, or without a timestamp.
    Usable,
    /// Created so long ago that its claim may have expired already.
    Expired,
    /// Created in the future.
    Ahead,
}

/// Tolerated clock skew between a caller and this instance, in milliseconds.
pub const CLOCK_SKEW: u64 = 60_000;

/// Checks the timestamp in a UUID version 7 key against `now` and the claim `window`, both in
/// milliseconds. Other keys carry no timestamp and are accepted.
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
