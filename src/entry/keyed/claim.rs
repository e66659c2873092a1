//! Claims of keys: claims a key on the log, and follows the claim of another instance.

use std::sync::Mutex;

use uuid::Uuid;

use super::{KeyedRequest, KeyedResult, POLL_INTERVAL, key_reused, outcome_unknown, still_running};
use crate::adapter::clock::Millis;
use crate::entry::fail::Failure;
use crate::entry::journal::AppendState;
use crate::entry::{Entry, gossip, lock};
use crate::fleet::peer::KeyStatus;
use crate::mechanism::{self, Mechanism};
use crate::policy::claim::{Claim, ClaimState, Holder, Key, Op, Position};

/// Longest wait for the log to decide a claim, in milliseconds.
const CLAIM_TIMEOUT: u64 = 3_000;
/// Time since the claimant last reported its request as running after which the outcome counts as
/// unknown, in milliseconds.
const CLAIMANT_GRACE: u64 = 1_500;
/// Retry delay that callers are told while the log is unavailable, in milliseconds.
const LOG_RETRY: u64 = 2_000;

/// Result of claiming a key.
pub(super) enum ClaimResult {
    /// The claim is first; `at` is its log time.
    Acquired { at: Millis },
    /// Another claim, for the same request, is first.
    HeldByOther(Holder),
    /// A claim for a different request holds the key.
    Mismatch,
    /// The claim was not decided, for this reason.
    Failed(&'static str),
}

/// Result of waiting for another claim.
pub(super) enum FollowResult {
    /// The request has this result.
    Ended(KeyedResult),
    /// The other claim was released or has expired; the key can be claimed again.
    Free,
}

impl Entry {
    /// Current log time, estimated from the last page read.
    pub(super) fn log_now(&self) -> Millis {
        let skew = lock(&self.claims.inner).skew;
        self.now().saturating_add_signed(skew)
    }

    /// Claims a key on the log, and waits until records read from the log decide the claim.
    pub(super) fn claim_key(&self, keyed: &KeyedRequest<'_>, nonce: Uuid) -> ClaimResult {
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
    pub(super) fn follow_holder(
        &self,
        keyed: &KeyedRequest<'_>,
        mut holder: Holder,
    ) -> FollowResult {
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
    pub(super) fn claim_failure(&self, key: Key) -> Failure {
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
}
