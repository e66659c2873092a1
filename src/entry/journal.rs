//! Appends to the log by group commit: records that arrive during an append are batched into the
//! next one, so that many claims cost one append.

use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use super::{Entry, lock};
use crate::adapter::codec;
use crate::adapter::http::CallError;
use crate::fleet::audit;
use crate::policy::claim::Op;

/// Name of the log stream that holds batches of claim operations.
pub const CLAIMS_STREAM: &str = "claims";
/// Largest number of operations in one batch.
const MAX_BATCH: usize = 500;
/// Largest number of audit records queued while the log is unavailable; further ones are dropped.
const MAX_AUDIT_RECORDS: usize = 5_000;
/// Delay before the next append after the first failed one, in milliseconds. It doubles with each
/// further failure and halves with each success.
const MIN_BACKOFF: u64 = 10;
/// Longest delay before the next append, in milliseconds.
const MAX_BACKOFF: u64 = 500;

data! {
    /// One record of the claims stream.
    pub struct Batch {
        /// Operations in order.
        pub ops: Vec<Op>,
    }
}

/// State of the append of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendState {
    /// Queued or in progress.
    Pending,
    /// The claim is on the log.
    Appended,
    /// The claim is certainly not on the log, or its request has abandoned it.
    NotAppended,
    /// The result of the append is unknown; reading the log will tell.
    Unknown,
}

/// State of a queued claim, shared with the request that waits for it.
pub type Ticket = Arc<Mutex<AppendState>>;

#[derive(Debug, Default)]
struct Queues {
    ops: Vec<(Op, Option<Ticket>)>,
    audit_records: Vec<audit::Record>,
    backoff: u64,
}

/// Queues of records to be appended.
#[derive(Debug, Default)]
pub struct Journal {
    queues: Mutex<Queues>,
    not_empty: Condvar,
}

impl Journal {
    /// Queues a claim. The ticket shows the state of its append.
    pub fn queue_claim(&self, op: Op) -> Ticket {
        let ticket = Arc::new(Mutex::new(AppendState::Pending));
        lock(&self.queues).ops.push((op, Some(Arc::clone(&ticket))));
        self.not_empty.notify_all();
        ticket
    }

    /// Queues the outcome of a claim. Its append is retried until it succeeds.
    pub fn queue_outcome(&self, op: Op) {
        lock(&self.queues).ops.push((op, None));
        self.not_empty.notify_all();
    }

    /// Queues an audit record; drops it if the queue is full.
    pub fn queue_audit(&self, record: audit::Record) {
        let mut queues = lock(&self.queues);
        if queues.audit_records.len() < MAX_AUDIT_RECORDS {
            queues.audit_records.push(record);
        }
        self.not_empty.notify_all();
    }

    /// True if no record is queued.
    pub fn is_empty(&self) -> bool {
        let queues = lock(&self.queues);
        queues.ops.is_empty() && queues.audit_records.is_empty()
    }
}

/// Starts the threads that append queued records.
pub fn start(entry: &Arc<Entry>) {
    entry.spawn_loop("claims-out", append_ops);
    entry.spawn_loop("notes-out", append_audit);
}

/// Waits until a queue is not empty, but no longer than 200 ms, so that the thread notices when the
/// instance stops. Returns whether the queue is not empty.
fn wait_nonempty(entry: &Entry, empty: impl Fn(&Queues) -> bool) -> bool {
    const POLL_INTERVAL: Duration = Duration::from_millis(200);
    let queues = lock(&entry.journal.queues);
    if !empty(&queues) {
        return true;
    }
    let waited = entry.journal.not_empty.wait_timeout(queues, POLL_INTERVAL);
    !empty(&waited.unwrap_or_else(std::sync::PoisonError::into_inner).0)
}

fn append_ops(entry: &Arc<Entry>) {
    if !wait_nonempty(entry, |q| q.ops.is_empty()) {
        return;
    }
    let (batch, backoff) = {
        let mut queues = lock(&entry.journal.queues);
        // Claims that their requests have abandoned are not appended.
        queues.ops.retain(|(_, t)| t.as_ref().is_none_or(|t| *lock(t) != AppendState::NotAppended));
        let n = queues.ops.len().min(MAX_BATCH);
        (queues.ops.drain(..n).collect::<Vec<_>>(), queues.backoff)
    };
    if batch.is_empty() {
        return;
    }
    let ops: Vec<Op> = batch.iter().map(|(op, _)| op.clone()).collect();
    let bytes = codec::pack(&Batch { ops });
    let result = entry.log.append(CLAIMS_STREAM, &bytes);
    entry.metrics.control_bytes.inc_by(bytes.len() as u64);
    let outcome = match &result {
        Ok(_) => AppendState::Appended,
        Err(e) if e.had_no_effect() => AppendState::NotAppended,
        Err(_) => AppendState::Unknown,
    };
    let overloaded = matches!(result, Err(CallError::Status { status: 429, .. }));
    let mut requeued = Vec::new();
    for (op, ticket) in batch {
        match ticket {
            Some(ticket) if overloaded && *lock(&ticket) == AppendState::Pending => {
                requeued.push((op, Some(ticket)));
            }
            Some(ticket) => *lock(&ticket) = outcome,
            None if outcome != AppendState::Appended => requeued.push((op, None)),
            None => {}
        }
    }
    entry.claims.notify_all();
    let backoff =
        if outcome == AppendState::Appended { backoff / 2 } else { (backoff * 2).max(MIN_BACKOFF) };
    let backoff = backoff.min(MAX_BACKOFF);
    {
        let mut queues = lock(&entry.journal.queues);
        queues.backoff = backoff;
        requeued.append(&mut queues.ops);
        queues.ops = requeued;
    }
    if let Err(e) = result {
        tracing::warn!("log: append of claims failed: {e}.");
    }
    entry.clock.sleep(backoff);
}

fn append_audit(entry: &Arc<Entry>) {
    if !wait_nonempty(entry, |q| q.audit_records.is_empty()) {
        return;
    }
    let audit_records = lock(&entry.journal.queues).audit_records.clone();
    let bytes = codec::pack(&audit_records);
    match entry.log.append(audit::STREAM, &bytes) {
        Ok(_) => {
            lock(&entry.journal.queues).audit_records.drain(..audit_records.len());
        }
        Err(_) => entry.clock.sleep(MAX_BACKOFF),
    }
    // Audit records are rare and not urgent: at most one append a second.
    entry.clock.sleep(2 * MAX_BACKOFF);
}
