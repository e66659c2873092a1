//! Request queue of one service: delivers the decisions of its [`Pool`] to the threads that wait
//! for them.

use std::sync::Mutex;
use std::sync::mpsc::{self, RecvTimeoutError, SyncSender};
use std::time::Duration;

use indexmap::IndexMap;

use super::lock;
use crate::adapter::clock::{Clock, Millis};
use crate::config::Strategy;
use crate::policy::pool::{Arrival, Grant, Outcome, Pool, Step};
use crate::policy::{Job, JobId, Refusal};

/// How often a queued request checks whether it was cancelled.
const CANCEL_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of [`Pool::tick`], in milliseconds.
const POOL_TICK_MS: u64 = 200;

/// How a wait ended.
#[derive(Debug)]
pub enum WaitResult {
    /// The request may be sent.
    Granted(Grant),
    /// The request must not be run.
    Refused(Refusal),
    /// The caller no longer waits for it.
    Cancelled,
}

struct Inner {
    pool: Pool,
    /// Channels to the threads whose jobs are queued.
    waiters: IndexMap<JobId, SyncSender<Step>>,
    /// Time of the last [`Pool::tick`].
    last_tick: Millis,
}

/// Queue and scheduler of one service on this instance.
pub struct Dispatcher {
    /// Name of the service.
    pub name: String,
    inner: Mutex<Inner>,
}

impl Dispatcher {
    /// Creates a dispatcher without endpoints. For the arguments see [`Pool::new`].
    pub fn new(name: &str, own_id: u64, domain: &str, strategy: Strategy, seed: u64) -> Self {
        let pool = Pool::new(own_id, domain, strategy, seed);
        let inner = Inner { pool, waiters: IndexMap::new(), last_tick: 0 };
        Self { name: name.to_owned(), inner: Mutex::new(inner) }
    }

    /// Calls `body` with the pool, then carries out the decisions that follow from its changes.
    pub fn with<T>(&self, now: Millis, body: impl FnOnce(&mut Pool) -> T) -> T {
        let mut inner = lock(&self.inner);
        let out = body(&mut inner.pool);
        dispatch(&mut inner, now);
        out
    }

    /// Calls `body` with the pool, read-only.
    pub fn read<T>(&self, body: impl FnOnce(&Pool) -> T) -> T {
        body(&lock(&self.inner).pool)
    }

    /// Records the average token gap of a stream on an endpoint, in milliseconds.
    pub fn record_gap(&self, now: Millis, endpoint: &str, gap: f64) {
        lock(&self.inner).pool.record_gap(now, endpoint, gap);
    }

    /// True if a running stream should continue on another endpoint.
    pub fn should_migrate(&self, job: JobId) -> bool {
        self.read(|pool| pool.should_migrate(job))
    }

    /// Carries out the decisions that are due by `now`. To be called at short intervals.
    pub fn tick(&self, now: Millis) {
        let mut inner = lock(&self.inner);
        if now >= inner.last_tick + POOL_TICK_MS {
            inner.last_tick = now;
            inner.pool.tick(now);
        }
        dispatch(&mut inner, now);
    }

    /// True while requests are queued or running.
    pub fn busy(&self) -> bool {
        self.read(|pool| pool.waiting() + pool.in_flight() > 0)
    }

    /// Queues a job and blocks until it is granted or refused, or `is_cancelled` returns true.
    pub fn wait(&self, clock: &Clock, job: Job, is_cancelled: &dyn Fn() -> bool) -> WaitResult {
        let id = job.id;
        let (sender, receiver) = mpsc::sync_channel(1);
        {
            let mut inner = lock(&self.inner);
            let now = clock.now();
            inner.waiters.insert(id, sender);
            match inner.pool.arrive(now, job) {
                Arrival::Queued => {}
                Arrival::Refused(reason) => {
                    inner.waiters.swap_remove(&id);
                    return WaitResult::Refused(reason);
                }
                Arrival::Displaced(displaced) => {
                    notify(&mut inner, displaced, Step::Refuse(displaced, Refusal::QueueFull));
                }
            }
            dispatch(&mut inner, now);
        }
        loop {
            match receiver.recv_timeout(CANCEL_CHECK_INTERVAL) {
                Ok(Step::Grant(grant)) => return WaitResult::Granted(grant),
                Ok(Step::Refuse(_, reason)) => return WaitResult::Refused(reason),
                Ok(Step::Wait) | Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => {
                    return WaitResult::Refused(Refusal::NoEndpoint);
                }
            }
            if is_cancelled() {
                self.cancel(clock.now(), id);
                return WaitResult::Cancelled;
            }
        }
    }

    /// Removes a job from the queue, or ends it if it was granted in the meantime.
    fn cancel(&self, now: Millis, id: JobId) {
        let mut inner = lock(&self.inner);
        inner.waiters.swap_remove(&id);
        if !inner.pool.cancel(id) && inner.pool.is_running(id) {
            inner.pool.done(now, id, Outcome::Inconclusive);
        }
        dispatch(&mut inner, now);
    }

    /// Ends a granted job.
    pub fn done(&self, now: Millis, job: JobId, outcome: Outcome) {
        self.with(now, |pool| pool.done(now, job, outcome));
    }
}

/// Carries out the pool's decisions until it has none left. A job is ended if its thread no longer
/// waits for the grant.
fn dispatch(inner: &mut Inner, now: Millis) {
    loop {
        let step = inner.pool.next(now);
        match &step {
            Step::Wait => return,
            Step::Grant(grant) => {
                let id = grant.job;
                if !notify(inner, id, step) {
                    inner.pool.done(now, id, Outcome::Inconclusive);
                }
            }
            Step::Refuse(id, _) => {
                let id = *id;
                notify(inner, id, step);
            }
        }
    }
}

/// Sends a decision to the thread that waits for it; false if none does.
fn notify(inner: &mut Inner, id: JobId, step: Step) -> bool {
    inner.waiters.swap_remove(&id).is_some_and(|waiter| waiter.send(step).is_ok())
}
