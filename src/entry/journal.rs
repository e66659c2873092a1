//! Appends to the log by group commit: while one append is under way, further records gather
//! for the next, so that many claims cost one append.

use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use super::{Entry, lock};
use crate::adapter::codec;
use crate::adapter::http::CallError;
use crate::fleet::audit;
use crate::policy::claim::Op;

/// Stream of the log that holds batches of claim steps.
pub const CLAIMS: &str = "claims";
/// Steps in one record at most.
const BATCH: usize = 500;
/// Audit records kept while the log is away.
const MAX_NOTES: usize = 5_000;
/// First pause after the log pushed back, in milliseconds.
const PAUSE_FIRST: u64 = 10;
/// Longest pause after the log pushed back, in milliseconds.
const PAUSE_MAX: u64 = 500;

data! {
    /// One record of the claims stream.
    pub struct Batch {
        /// Steps in order.
        pub ops: Vec<Op>,
    }
}

/// What became of the append of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Appended {
    /// Still under way.
    Open,
    /// It is on the log.
    Yes,
    /// It is certainly not on the log.
    No,
    /// Nobody knows; reading the log will tell.
    Unsettled,
}

/// A claim's place in the queue.
pub type Ticket = Arc<Mutex<Appended>>;

#[derive(Debug, Default)]
struct Queues {
    ops: Vec<(Op, Option<Ticket>)>,
    notes: Vec<audit::Record>,
    pause: u64,
}

/// Records waiting to be appended.
#[derive(Debug, Default)]
pub struct Journal {
    queues: Mutex<Queues>,
    filled: Condvar,
}

impl Journal {
    /// Queues a claim; the ticket tells what became of its append.
    pub fn claim(&self, op: Op) -> Ticket {
        let ticket = Arc::new(Mutex::new(Appended::Open));
        lock(&self.queues).ops.push((op, Some(Arc::clone(&ticket))));
        self.filled.notify_all();
        ticket
    }

    /// Queues the outcome of a claim; it is appended again until the log has it.
    pub fn settle(&self, op: Op) {
        lock(&self.queues).ops.push((op, None));
        self.filled.notify_all();
    }

    /// Queues an audit record.
    pub fn note(&self, record: audit::Record) {
        let mut queues = lock(&self.queues);
        if queues.notes.len() < MAX_NOTES {
            queues.notes.push(record);
        }
        self.filled.notify_all();
    }

    /// True when nothing waits.
    pub fn is_empty(&self) -> bool {
        let queues = lock(&self.queues);
        queues.ops.is_empty() && queues.notes.is_empty()
    }
}

/// Starts the appending threads.
pub fn start(entry: &Arc<Entry>) {
    entry.spawn("claims-out", append_ops);
    entry.spawn("notes-out", append_notes);
}

fn wait(entry: &Entry, empty: impl Fn(&Queues) -> bool) -> bool {
    const LOOK: Duration = Duration::from_millis(200);
    let queues = lock(&entry.journal.queues);
    if !empty(&queues) {
        return true;
    }
    let waited = entry.journal.filled.wait_timeout(queues, LOOK);
    !empty(&waited.unwrap_or_else(std::sync::PoisonError::into_inner).0)
}

fn append_ops(entry: &Arc<Entry>) {
    if !wait(entry, |q| q.ops.is_empty()) {
        return;
    }
    let (batch, pause) = {
        let mut queues = lock(&entry.journal.queues);
        // Claims that their request has given up are not appended any more.
        queues.ops.retain(|(_, t)| t.as_ref().is_none_or(|t| *lock(t) != Appended::No));
        let n = queues.ops.len().min(BATCH);
        (queues.ops.drain(..n).collect::<Vec<_>>(), queues.pause)
    };
    if batch.is_empty() {
        return;
    }
    let ops: Vec<Op> = batch.iter().map(|(op, _)| op.clone()).collect();
    let bytes = codec::pack(&Batch { ops });
    let result = entry.log.append(CLAIMS, &bytes);
    entry.metrics.control_bytes.inc_by(bytes.len() as u64);
    let outcome = match &result {
        Ok(_) => Appended::Yes,
        Err(e) if e.had_no_effect() => Appended::No,
        Err(_) => Appended::Unsettled,
    };
    let crowded = matches!(result, Err(CallError::Status { status: 429, .. }));
    let mut again = Vec::new();
    for (op, ticket) in batch {
        match ticket {
            Some(ticket) if crowded && *lock(&ticket) == Appended::Open => {
                again.push((op, Some(ticket)));
            }
            Some(ticket) => *lock(&ticket) = outcome,
            None if outcome != Appended::Yes => again.push((op, None)),
            None => {}
        }
    }
    entry.claims.wake();
    let next = if outcome == Appended::Yes { pause / 2 } else { (pause * 2).max(PAUSE_FIRST) };
    let next = next.min(PAUSE_MAX);
    {
        let mut queues = lock(&entry.journal.queues);
        queues.pause = next;
        again.append(&mut queues.ops);
        queues.ops = again;
    }
    if let Err(e) = result {
        tracing::warn!("log: append of claims failed: {e}.");
    }
    entry.clock.sleep(next);
}

fn append_notes(entry: &Arc<Entry>) {
    if !wait(entry, |q| q.notes.is_empty()) {
        return;
    }
    let notes = lock(&entry.journal.queues).notes.clone();
    let bytes = codec::pack(&notes);
    match entry.log.append(audit::STREAM, &bytes) {
        Ok(_) => {
            lock(&entry.journal.queues).notes.drain(..notes.len());
        }
        Err(_) => entry.clock.sleep(PAUSE_MAX),
    }
    // Events are rare and not urgent: one append a second at most.
    entry.clock.sleep(2 * PAUSE_MAX);
}
