//! Requests waiting on one service: joins the pool's decisions to the threads that wait.

use std::sync::Mutex;
use std::sync::mpsc::{self, RecvTimeoutError, SyncSender};
use std::time::Duration;

use indexmap::IndexMap;

use super::lock;
use crate::adapter::clock::{Clock, Millis};
use crate::config::Strategy;
use crate::policy::pool::{Arrival, Grant, Outcome, Pool, Step};
use crate::policy::{Job, JobId, Refusal};

/// How often a waiting request looks whether its caller is still there.
const CANCEL_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of slow decisions, in milliseconds.
const POOL_TICK_MS: u64 = 200;

/// How a wait ended.
#[derive(Debug)]
pub enum WaitResult {
    /// The request may be sent.
    Granted(Grant),
    /// It must not be run.
    Refused(Refusal),
    /// Nobody wants it any more.
    Cancelled,
}

struct Inner {
    pool: Pool,
    waiters: IndexMap<JobId, SyncSender<Step>>,
    last_tick: Millis,
}

/// One service's queue on this instance.
pub struct Dispatcher {
    /// Name of the service.
    pub name: String,
    inner: Mutex<Inner>,
}

impl Dispatcher {
    /// An empty dispatcher.
    pub fn new(name: &str, own_id: u64, domain: &str, strategy: Strategy, seed: u64) -> Self {
        let pool = Pool::new(own_id, domain, strategy, seed);
        let inner = Inner { pool, waiters: IndexMap::new(), last_tick: 0 };
        Self { name: name.to_owned(), inner: Mutex::new(inner) }
    }

    /// Changes or reads the pool, then acts on what follows.
    pub fn with<T>(&self, now: Millis, body: impl FnOnce(&mut Pool) -> T) -> T {
        let mut inner = lock(&self.inner);
        let out = body(&mut inner.pool);
        dispatch(&mut inner, now);
        out
    }

    /// Reads the pool.
    pub fn read<T>(&self, body: impl FnOnce(&Pool) -> T) -> T {
        body(&lock(&self.inner).pool)
    }

    /// Tells the pool a stream's pace.
    pub fn record_gap(&self, now: Millis, endpoint: &str, gap: f64) {
        lock(&self.inner).pool.record_gap(now, endpoint, gap);
    }

    /// True when a running stream should go on at another endpoint.
    pub fn should_migrate(&self, job: JobId) -> bool {
        self.read(|pool| pool.should_migrate(job))
    }

    /// Time passed.
    pub fn tick(&self, now: Millis) {
        let mut inner = lock(&self.inner);
        if now >= inner.last_tick + POOL_TICK_MS {
            inner.last_tick = now;
            inner.pool.tick(now);
        }
        dispatch(&mut inner, now);
    }

    /// True while requests wait or run.
    pub fn busy(&self) -> bool {
        self.read(|pool| pool.waiting() + pool.in_flight() > 0)
    }

    /// Waits until the job may run, is refused, or `unwanted` says that nobody waits for it.
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

    /// Takes a job out of the queue; ends it if it was granted in the meantime.
    fn cancel(&self, now: Millis, id: JobId) {
        let mut inner = lock(&self.inner);
        inner.waiters.swap_remove(&id);
        if !inner.pool.cancel(id) && inner.pool.is_running(id) {
            inner.pool.done(now, id, Outcome::Inconclusive);
        }
        dispatch(&mut inner, now);
    }

    /// A granted job ended.
    pub fn done(&self, now: Millis, job: JobId, outcome: Outcome) {
        self.with(now, |pool| pool.done(now, job, outcome));
    }
}

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

fn notify(inner: &mut Inner, id: JobId, step: Step) -> bool {
    inner.waiters.swap_remove(&id).is_some_and(|waiter| waiter.send(step).is_ok())
}
