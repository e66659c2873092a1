//! Non-idempotent requests: the request of an idempotency key runs at most once, whichever
//! instances receive it and whichever components fail.
//!
//! Only the instance whose claim is first on the log sends the request, after it has read its own
//! claim back from the log. All others wait for the response or report that the outcome is unknown.

mod claim;
mod state;

use std::sync::{Arc, Condvar, Mutex};

use uuid::Uuid;

pub use state::Claims;

use claim::{ClaimResult, FollowResult};
use state::{Inner, KeyState, LocalKey};

use super::fail::{Failure, Ran};
use super::journal::Batch;
use super::{Entry, gossip, lock};
use crate::adapter::clock::Millis;
use crate::adapter::log::Page;
use crate::fleet::peer::KeyStatus;
use crate::mechanism::{self, Mechanism};
use crate::policy::claim::{BufferedResponse, Key, KeyAge, Op, key_age};

/// Interval at which a waiting request checks its state, in milliseconds.
const POLL_INTERVAL: u64 = 100;
/// Largest response body that is stored on the log, in bytes.
pub const RESPONSE_LIMIT: usize = 256 << 10;
/// Fraction of the log's retention period that limits the claim window.
const RETENTION_RATIO: f64 = 0.8;
/// Age up to which an instance's copy of the instance list may be relied on, in milliseconds.
pub const LIST_MAX_AGE: u64 = 2_500;
/// Prefix of the keys that this fleet issues; the boot id of the issuing instance follows.
pub const ISSUED_PREFIX: &str = "home-";

/// Length of a UUID in text form, in bytes.
pub const UUID_LEN: usize = 36;

/// Result of a request with a key.
pub type KeyedResult = Result<BufferedResponse, Failure>;

/// A request with an idempotency key.
#[derive(Debug, Clone, Copy)]
pub struct KeyedRequest<'a> {
    /// Key as sent by the caller.
    pub text: &'a str,
    /// Hash of workspace, service and key.
    pub key: Key,
    /// Hash of the request.
    pub digest: u64,
    /// Time until which the caller waits for the response.
    pub deadline: Millis,
}

/// Outcome of sending a request, which happens once under a claim.
#[derive(Debug)]
pub enum SendOutcome {
    /// The request was executed with this response.
    Done(BufferedResponse),
    /// No byte was sent, so it certainly was not executed.
    NotSent(Failure),
    /// Bytes may have been sent and no complete response arrived.
    Lost(Failure),
}

impl Entry {
    /// Applies a page of the claims stream. `requested` is the clock time at which the read was
    /// sent; if the page reaches the end of the stream, all records appended until then have been
    /// read.
    pub(super) fn fold_claims(&self, page: &Page, requested: Millis) {
        let now = self.now();
        let mut releases = Vec::new();
        {
            let mut inner = lock(&self.claims.inner);
            inner.skew = page.now as i64 - now as i64;
            inner.retention = page.retention;
            inner.next = inner.next.max(page.oldest);
            for record in &page.records {
                if record.offset < inner.next {
                    continue;
                }
                inner.next = record.offset + 1;
                let Ok(batch) = crate::adapter::codec::unpack::<Batch>(&record.data) else {
                    tracing::error!("log: claims record {} can't be read.", record.offset);
                    continue;
                };
                for op in &batch.ops {
                    inner.table.apply(record.at, op);
                    releases.extend(release_abandoned(&inner, op));
                }
            }
            if inner.next >= page.next {
                inner.synced_at = requested;
            }
            let log_now = page.now;
            inner.table.prune(log_now);
            inner.abandoned.retain(|_, until| log_now < *until);
        }
        for op in releases {
            self.journal.queue_outcome(op);
        }
        self.claims.notify_all();
    }

    /// Drops keys that were accepted longer ago than the claim window and don't run any more.
    pub(super) fn prune_keys(&self) {
        let now = self.now();
        let window = self.claim_window();
        let mut entries = lock(&self.claims.local);
        entries.retain(|_, c| {
            now < c.created + window || matches!(*lock(&c.state), KeyState::Running)
        });
        self.metrics.keys.set(entries.len() as i64);
    }

    /// How long a key is remembered, in milliseconds: as configured, but at most
    /// [`RETENTION_RATIO`] of the log's retention period.
    pub(super) fn claim_window(&self) -> u64 {
        let wanted = self.fleet().map_or(0, |f| f.claim_window);
        let retention = lock(&self.claims.inner).retention;
        if retention == 0 {
            return wanted;
        }
        wanted.min((retention as f64 * RETENTION_RATIO) as u64)
    }

    /// Runs a request under its key by calling `send`, or waits for the result if it already runs
    /// here or elsewhere. `note` is set to the explanation that the trace shows.
    pub(super) fn run_once(
        self: &Arc<Self>,
        keyed: &KeyedRequest<'_>,
        note: &mut String,
        send: impl FnOnce() -> SendOutcome,
    ) -> KeyedResult {
        match key_age(timestamp_part(keyed.text), self.now(), self.claim_window()) {
            KeyAge::Usable => {}
            KeyAge::Ahead => {
                let text = "the idempotency key was made in the future";
                return Err(Failure::not_run(400, "key_ahead", text));
            }
            KeyAge::Expired => {
                let text = "the idempotency key is older than the keys that are remembered";
                return Err(Failure::unknown(409, "key_expired", text));
            }
        }
        if !self.wait_until_known(keyed.deadline) {
            let text = "this instance has just started and is not known to its peers yet";
            return Err(Failure::unknown(503, "not_introduced", text).retry_after(1_000));
        }
        let (local, is_new) = self.local_key(keyed);
        if local.digest != keyed.digest {
            return Err(key_reused());
        }
        if !is_new {
            *note = "joined a request with this key on this instance".to_owned();
            return self.join(&local, keyed.deadline);
        }
        let ended = if keyed.text.starts_with(ISSUED_PREFIX) || !mechanism::on(Mechanism::Claims) {
            *note = "key issued by this instance".to_owned();
            self.record_outcome(&local, send())
        } else {
            self.run_claimed(keyed, &local, note, send)
        };
        if matches!(*lock(&local.state), KeyState::Running) {
            invariant!(false, "the local state of a key was left running");
        }
        ended
    }

    /// Waits until every other instance must know of this one, so that none can declare a key not
    /// run without asking it. False if the deadline passes first.
    fn wait_until_known(&self, deadline: Millis) -> bool {
        let known = self.created + self.settings.list_lag + LIST_MAX_AGE;
        loop {
            let now = self.now();
            if now >= known || gossip::all_heard(self) {
                return true;
            }
            if now >= deadline {
                return false;
            }
            self.clock.sleep(POLL_INTERVAL);
        }
    }

    /// The local state of a key, and whether it is new. A key whose request was not sent starts
    /// anew.
    fn local_key(&self, keyed: &KeyedRequest<'_>) -> (Arc<LocalKey>, bool) {
        let mut entries = lock(&self.claims.local);
        if let Some(local) = entries.get(&keyed.key)
            && !matches!(*lock(&local.state), KeyState::NotSent(_))
        {
            return (Arc::clone(local), false);
        }
        let local = Arc::new(LocalKey {
            digest: keyed.digest,
            created: self.now(),
            state: Mutex::new(KeyState::Running),
            changed: Condvar::new(),
        });
        entries.insert(keyed.key, Arc::clone(&local));
        (local, true)
    }

    /// Waits for the result of a request that was accepted with the same key on this instance.
    fn join(&self, local: &LocalKey, deadline: Millis) -> KeyedResult {
        loop {
            match local.wait(POLL_INTERVAL) {
                KeyState::Done(response) => return Ok(response),
                KeyState::Lost => return Err(outcome_unknown()),
                KeyState::NotSent(failure) => return Err(failure),
                KeyState::Running if self.now() >= deadline => return Err(still_running()),
                KeyState::Running => {}
            }
        }
    }

    /// Records the outcome of sending the request in the local state.
    fn record_outcome(&self, local: &LocalKey, sent: SendOutcome) -> KeyedResult {
        match sent {
            SendOutcome::Done(response) => {
                local.set(KeyState::Done(response.clone()));
                Ok(response)
            }
            SendOutcome::NotSent(failure) => {
                local.set(KeyState::NotSent(failure.clone()));
                Err(failure)
            }
            SendOutcome::Lost(failure) => {
                local.set(KeyState::Lost);
                Err(failure)
            }
        }
    }

    /// Claims the key on the log and sends the request if the claim is first; otherwise waits for
    /// the result of the first claim.
    fn run_claimed(
        self: &Arc<Self>,
        keyed: &KeyedRequest<'_>,
        local: &LocalKey,
        note: &mut String,
        send: impl FnOnce() -> SendOutcome,
    ) -> KeyedResult {
        loop {
            let nonce = Uuid::new_v4();
            let failure = match self.claim_key(keyed, nonce) {
                ClaimResult::Acquired { at } => {
                    *note = format!(
                        "first on the log, {} ms after the claim",
                        self.log_now().saturating_sub(at)
                    );
                    let sent = send();
                    self.journal.queue_outcome(outcome_op(keyed.key, nonce, &sent));
                    return self.record_outcome(local, sent);
                }
                ClaimResult::HeldByOther(holder) => {
                    *note = format!("another claim came first, by {}", holder.boot);
                    match self.follow_holder(keyed, holder) {
                        FollowResult::Free => continue,
                        FollowResult::Ended(Ok(response)) => {
                            local.set(KeyState::Done(response.clone()));
                            return Ok(response);
                        }
                        FollowResult::Ended(Err(failure)) => failure,
                    }
                }
                ClaimResult::Mismatch => key_reused(),
                ClaimResult::Failed(why) => {
                    *note = format!("no claim: {why}");
                    self.claim_failure(keyed.key)
                }
            };
            // This instance sent nothing, so a retry by the caller starts from the beginning.
            local.set(KeyState::NotSent(failure.clone()));
            return Err(failure);
        }
    }

    /// Status of a key on this instance. Waits up to `wait` milliseconds for a running request to
    /// end.
    pub(super) fn key_status(&self, key: Key, wait: u64) -> KeyStatus {
        let Some(local) = lock(&self.claims.local).get(&key).cloned() else {
            return KeyStatus::Unknown;
        };
        match if wait == 0 { local.get() } else { local.wait(wait) } {
            KeyState::Running => KeyStatus::Running,
            KeyState::Done(response) => KeyStatus::Done(response),
            KeyState::Lost => KeyStatus::Lost,
            KeyState::NotSent(f) if f.ran == Ran::No => KeyStatus::NotSent,
            KeyState::NotSent(_) => KeyStatus::Unknown,
        }
    }
}

/// Part of a key that may carry a timestamp: the UUID at the end of an issued key, else all of it.
fn timestamp_part(key: &str) -> &str {
    let uuid = key.strip_prefix(ISSUED_PREFIX).and_then(|_| key.len().checked_sub(UUID_LEN));
    uuid.and_then(|at| key.get(at..)).unwrap_or(key)
}

/// The log record of an outcome.
fn outcome_op(key: Key, nonce: Uuid, sent: &SendOutcome) -> Op {
    match sent {
        SendOutcome::Done(response) if response.body.len() <= RESPONSE_LIMIT => {
            Op::Done { key, nonce, answer: response.clone() }
        }
        // The request ran, but its response is too large for the log; only this instance has it.
        SendOutcome::Done(_) | SendOutcome::Lost(_) => Op::Lost { key, nonce },
        SendOutcome::NotSent(_) => Op::Release { key, nonce },
    }
}

/// The release of a claim that appears on the log after it was abandoned.
fn release_abandoned(inner: &Inner, op: &Op) -> Option<Op> {
    let Op::Claim(claim) = op else { return None };
    let abandoned = inner.abandoned.contains_key(&claim.nonce);
    abandoned.then_some(Op::Release { key: claim.key, nonce: claim.nonce })
}

fn outcome_unknown() -> Failure {
    Failure::unknown(502, "outcome_unknown", "the request was sent and its outcome is not known")
}

fn still_running() -> Failure {
    Failure::unknown(504, "still_running", "the request with this key has not ended yet")
        .retry_after(1_000)
}

fn key_reused() -> Failure {
    Failure::not_run(422, "key_reused", "the idempotency key was used for a different request")
}
