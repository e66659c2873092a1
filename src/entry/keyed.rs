//! Non-idempotent requests: the request of an idempotency key runs at most once, whichever
//! instances receive it and whichever components fail.
//!
//! Only the instance whose claim is first on the log sends the request, after it has read its own
//! claim back from the log. All others wait for the response or report that the outcome is unknown.

use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

use indexmap::IndexMap;
use uuid::Uuid;

use super::fail::{Failure, Ran};
use super::journal::{AppendState, Batch};
use super::{Entry, gossip, lock};
use crate::adapter::clock::Millis;
use crate::adapter::log::Page;
use crate::fleet::peer::KeyStatus;
use crate::mechanism::{self, Mechanism};
use crate::policy::claim::{
    BufferedResponse, Claim, ClaimState, ClaimTable, Holder, Key, KeyAge, Op, Position, key_age,
};

/// Longest wait for the log to decide a claim, in milliseconds.
const CLAIM_TIMEOUT: u64 = 3_000;
/// Interval at which a waiting request checks its state, in milliseconds.
const POLL_INTERVAL: u64 = 100;
/// Largest response body that is stored on the log, in bytes.
pub const RESPONSE_LIMIT: usize = 256 << 10;
/// Retry delay that callers are told while the log is unavailable, in milliseconds.
const LOG_RETRY: u64 = 2_000;
/// Fraction of the log's retention period that limits the claim window.
const RETENTION_RATIO: f64 = 0.8;
/// Time since the claimant last reported its request as running after which the outcome counts as
/// unknown, in milliseconds.
const CLAIMANT_GRACE: u64 = 1_500;
/// Age up to which an instance's copy of the instance list may be relied on, in milliseconds.
pub const LIST_MAX_AGE: u64 = 2_500;
/// Prefix of the keys that this fleet issues; the boot id of the issuing instance follows.
pub const ISSUED_PREFIX: &str = "home-";

/// Length of a UUID in text form, in bytes.
pub const UUID_LEN: usize = 36;

/// Result of a request with a key.
pub type KeyedResult = Result<BufferedResponse, Failure>;

#[derive(Debug, Clone)]
enum KeyState {
    Running,
    Done(BufferedResponse),
    Lost,
    NotSent(Failure),
}

/// A key that this instance has accepted.
#[derive(Debug)]
struct LocalKey {
    digest: u64,
    created: Millis,
    state: Mutex<KeyState>,
    changed: Condvar,
}

impl LocalKey {
    fn set(&self, state: KeyState) {
        *lock(&self.state) = state;
        self.changed.notify_all();
    }

    fn get(&self) -> KeyState {
        lock(&self.state).clone()
    }

    fn wait(&self, ms: u64) -> KeyState {
        let state = lock(&self.state);
        if !matches!(*state, KeyState::Running) {
            return state.clone();
        }
        let waited = self.changed.wait_timeout(state, Duration::from_millis(ms));
        waited.unwrap_or_else(PoisonError::into_inner).0.clone()
    }
}

#[derive(Debug, Default)]
struct Inner {
    table: ClaimTable,
    next: u64,
    /// Clock time at which the stream was last read to its end.
    synced_at: Millis,
    /// Log time minus clock time, in milliseconds.
    skew: i64,
    retention: u64,
    /// Abandoned claims by their id, and the log time until which they are remembered. They are
    /// released if they appear on the log after all.
    abandoned: IndexMap<Uuid, Millis>,
}

/// Claims as read from the log, and the keys accepted by this instance.
#[derive(Debug, Default)]
pub struct Claims {
    inner: Mutex<Inner>,
    changed: Condvar,
    local: Mutex<IndexMap<Key, Arc<LocalKey>>>,
}

impl Claims {
    /// Wakes all waiting requests.
    pub fn notify_all(&self) {
        self.changed.notify_all();
    }

    /// Offset of the next record to read.
    pub fn next(&self) -> u64 {
        lock(&self.inner).next
    }

    /// Clock time at which the stream was last read to its end; 0 if it never was.
    pub fn synced_at(&self) -> Millis {
        lock(&self.inner).synced_at
    }

    /// Number of keys remembered.
    pub fn len(&self) -> usize {
        lock(&self.local).len()
    }

    /// True if no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Waits up to `ms` milliseconds for a change.
    fn wait(&self, ms: u64) {
        let inner = lock(&self.inner);
        drop(self.changed.wait_timeout(inner, Duration::from_millis(ms)));
    }
}

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

    /// Current log time, estimated from the last page read.
    fn log_now(&self) -> Millis {
        let skew = lock(&self.claims.inner).skew;
        self.now().saturating_add_signed(skew)
    }

    /// Claims a key on the log, and waits until records read from the log decide the claim.
    fn claim_key(&self, keyed: &KeyedRequest<'_>, nonce: Uuid) -> ClaimResult {
        if let Some(holder) = self.holder(keyed) {
            return holder;
        }
        let window = self.claim_window();
        let claim = Claim { key: keyed.key, nonce, boot: self.boot, digest: keyed.digest, window };
        let ticket = self.journal.queue_claim(Op::Claim(claim));
        let end = keyed.deadline.min(self.now() + CLAIM_TIMEOUT);
        loop {
            let position = self.position(keyed, nonce);
            match position {
                Position::Acquired => {
                    let at =
                        lock(&self.claims.inner).table.holder(keyed.key, 0).map_or(0, |h| h.at);
                    return ClaimResult::Acquired { at };
                }
                Position::HeldByOther(holder) => return ClaimResult::HeldByOther(holder),
                Position::Mismatch => return ClaimResult::Mismatch,
                Position::Free => {}
            }
            let appended = *lock(&ticket);
            let why = match appended {
                AppendState::NotAppended => "the log refused it",
                AppendState::Unknown if !mechanism::on(Mechanism::Settle) => {
                    return ClaimResult::Acquired { at: self.log_now() };
                }
                _ if self.now() >= end => "the log did not decide in time",
                _ => {
                    self.claims.wait(POLL_INTERVAL);
                    continue;
                }
            };
            return self.abandon_claim(keyed, nonce, &ticket, why);
        }
    }

    /// Abandons a claim, unless the log has decided it in the meantime.
    fn abandon_claim(
        &self,
        keyed: &KeyedRequest<'_>,
        nonce: Uuid,
        ticket: &Mutex<AppendState>,
        why: &'static str,
    ) -> ClaimResult {
        *lock(ticket) = AppendState::NotAppended;
        let until = self.log_now() + self.claim_window();
        let mut inner = lock(&self.claims.inner);
        match inner.table.position(keyed.key, nonce, keyed.digest, until.saturating_sub(1)) {
            Position::Free => {
                inner.abandoned.insert(nonce, until);
                ClaimResult::Failed(why)
            }
            Position::Acquired => {
                let at = inner.table.holder(keyed.key, 0).map_or(0, |h| h.at);
                ClaimResult::Acquired { at }
            }
            Position::HeldByOther(holder) => ClaimResult::HeldByOther(holder),
            Position::Mismatch => ClaimResult::Mismatch,
        }
    }

    /// Standing of the claim `nonce` at the current log time.
    fn position(&self, keyed: &KeyedRequest<'_>, nonce: Uuid) -> Position {
        let now = self.log_now();
        lock(&self.claims.inner).table.position(keyed.key, nonce, keyed.digest, now)
    }

    /// Result of claiming the key if another claim already holds it.
    fn holder(&self, keyed: &KeyedRequest<'_>) -> Option<ClaimResult> {
        match self.position(keyed, Uuid::nil()) {
            Position::HeldByOther(holder) => Some(ClaimResult::HeldByOther(holder)),
            Position::Mismatch => Some(ClaimResult::Mismatch),
            Position::Free | Position::Acquired => None,
        }
    }

    /// Waits for the outcome of another claim, from the log or from its instance.
    fn follow_holder(&self, keyed: &KeyedRequest<'_>, mut holder: Holder) -> FollowResult {
        let mut heard_at = self.now();
        loop {
            match self.position(keyed, holder.nonce) {
                Position::Acquired => {}
                Position::Free => return FollowResult::Free,
                Position::HeldByOther(next) => {
                    holder = next;
                    continue;
                }
                Position::Mismatch => return FollowResult::Ended(Err(key_reused())),
            }
            let state =
                lock(&self.claims.inner).table.holder(keyed.key, 0).map(|h| h.state.clone());
            match state {
                Some(ClaimState::Done(response)) => {
                    return FollowResult::Ended(Ok(response.as_ref().clone()));
                }
                Some(ClaimState::Lost) => return FollowResult::Ended(Err(outcome_unknown())),
                Some(ClaimState::Held) | None => {}
            }
            match gossip::query_key(self, holder.boot, keyed.key, POLL_INTERVAL * 5) {
                Some(KeyStatus::Done(response)) => return FollowResult::Ended(Ok(response)),
                Some(KeyStatus::Lost) => return FollowResult::Ended(Err(outcome_unknown())),
                Some(KeyStatus::Running) => heard_at = self.now(),
                Some(KeyStatus::NotSent | KeyStatus::Unknown) | None => {}
            }
            let now = self.now();
            if now >= keyed.deadline {
                return FollowResult::Ended(Err(still_running()));
            }
            if now >= heard_at + CLAIMANT_GRACE {
                let text = "the instance that ran this request is gone";
                let failure = Failure::unknown(502, "claimant_gone", text);
                return FollowResult::Ended(Err(failure));
            }
            self.claims.wait(POLL_INTERVAL);
        }
    }

    /// Error for a key that could not be claimed; it says "not run" only if that is certain.
    fn claim_failure(&self, key: Key) -> Failure {
        let text = "the log can't take the claim of this key now";
        if self.certainly_not_run(key) {
            return Failure::not_run(503, "log_unavailable", text).retry_after(LOG_RETRY);
        }
        Failure::unknown(503, "log_unavailable", text).retry_after(LOG_RETRY)
    }

    /// True if no instance can have run the request of the key: the log holds no claim on the key
    /// as far as it was read, and every instance alive since that read denies having sent it.
    fn certainly_not_run(&self, key: Key) -> bool {
        if !mechanism::on(Mechanism::Deny) {
            return true;
        }
        let synced_at = {
            let inner = lock(&self.claims.inner);
            let now = self.now().saturating_add_signed(inner.skew);
            if inner.synced_at == 0 || inner.table.holder(key, now).is_some() {
                return false;
            }
            inner.synced_at
        };
        gossip::all_deny(self, key, synced_at)
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

/// Result of waiting for another claim.
enum FollowResult {
    /// The request has this result.
    Ended(KeyedResult),
    /// The other claim was released or has expired; the key can be claimed again.
    Free,
}

/// Part of a key that may carry a timestamp: the UUID at the end of an issued key, else all of it.
fn timestamp_part(key: &str) -> &str {
    let uuid = key.strip_prefix(ISSUED_PREFIX).and_then(|_| key.len().checked_sub(UUID_LEN));
    uuid.and_then(|at| key.get(at..)).unwrap_or(key)
}

/// Result of claiming a key.
enum ClaimResult {
    /// The claim is first; `at` is its log time.
    Acquired { at: Millis },
    /// Another claim, for the same request, is first.
    HeldByOther(Holder),
    /// A claim for a different request holds the key.
    Mismatch,
    /// The claim was not decided, for this reason.
    Failed(&'static str),
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
