//! Attempts of one request: waits for a slot, tries an endpoint, decides what to do next.

use std::sync::Arc;

use super::dispatch::{Dispatcher, Waited};
use super::fail::Failure;
use super::members::{self, Liveness};
use super::metrics::Metrics;
use super::trace::{Attempt, Trace};
use super::{Entry, gossip, lock};
use crate::adapter::clock::Millis;
use crate::adapter::endpoint::AttemptError;
use crate::config::Params;
use crate::mechanism::{self, Mechanism};
use crate::policy::Job;
use crate::policy::pool::{Grant, Outcome};
use crate::policy::suspect::ContentState;

/// Attempts of one request at most, whatever their faults.
const MAX_TRIES: u32 = 12;

/// What one request wants and under which rules.
#[derive(Debug, Clone)]
pub struct Order {
    /// Request id.
    pub id: String,
    /// Workspace.
    pub workspace: String,
    /// Class.
    pub class: String,
    /// Service.
    pub service: String,
    /// Numbers in force for it.
    pub params: Params,
    /// Hash of what it asks for.
    pub content: u64,
    /// Hash of the start of its prompt; 0 for none.
    pub prefix: u64,
    /// Time it came in.
    pub arrived: Millis,
    /// True when it must not run twice.
    pub once: bool,
}

impl Order {
    /// Time after which its answer is of no use.
    pub fn deadline(&self) -> Millis {
        self.arrived + self.params.deadline
    }
}

/// How one attempt ended.
#[derive(Debug)]
pub enum Tried<T> {
    /// Whole answer, and its average token gap in milliseconds if it streamed.
    Whole(T, Option<f64>),
    /// The endpoint takes no new work and did not run it.
    Draining,
    /// It failed. `sent`: a byte may have left. `from`: the next token that is missing.
    Failed { fault: AttemptError, sent: bool, from: u64 },
    /// The stream should go on at another endpoint, from the token `from`.
    Moved { from: u64 },
    /// The caller hung up.
    CallerGone,
}

/// How a request ended.
#[derive(Debug)]
pub enum Run<T> {
    /// Whole answer.
    Whole(T),
    /// No whole answer; `sent` tells whether any byte may have left.
    Failed { failure: Failure, sent: bool },
    /// The caller hung up.
    CallerGone,
}

/// What to do after an attempt that failed.
enum After {
    Again,
    Give(Failure),
}

/// State of a request across its attempts.
struct Attempts<'a> {
    entry: &'a Arc<Entry>,
    order: &'a Order,
    dispatcher: Arc<Dispatcher>,
    avoid: Vec<String>,
    sent: bool,
    from: u64,
    tries: u32,
    /// Attempts that ended in a crash of the endpoint.
    crashes: u32,
}

impl Entry {
    /// Runs a request until it has a whole answer or must not be tried again.
    pub(super) fn run<T>(
        self: &Arc<Self>,
        order: &Order,
        trace: &mut Trace,
        unwanted: &dyn Fn() -> bool,
        mut attempt: impl FnMut(&Grant) -> Tried<T>,
    ) -> Run<T> {
        let Some(dispatcher) = self.dispatcher(&order.service) else {
            let failure = Failure::not_run(404, "unknown_service", "no such service is configured");
            return Run::Failed { failure, sent: false };
        };
        let mut attempts = Attempts {
            entry: self,
            order,
            dispatcher,
            avoid: Vec::new(),
            sent: false,
            from: 0,
            tries: 0,
            crashes: 0,
        };
        loop {
            let grant = match attempts.grant(trace, unwanted) {
                Ok(grant) => grant,
                Err(Some(failure)) => {
                    return Run::Failed { failure, sent: attempts.sent };
                }
                Err(None) => return Run::CallerGone,
            };
            // A paused instance may wake long after its grant.
            let late = order.once && self.now() >= order.deadline();
            let tried = if late {
                Tried::Failed { fault: AttemptError::Cancelled, sent: false, from: 0 }
            } else {
                attempt(&grant)
            };
            match attempts.ended(&grant, tried, trace) {
                Next::Whole(value) => return Run::Whole(value),
                Next::CallerGone => return Run::CallerGone,
                Next::After(After::Again) => {}
                Next::After(After::Give(failure)) => {
                    return Run::Failed { failure, sent: attempts.sent };
                }
            }
        }
    }
}

enum Next<T> {
    Whole(T),
    CallerGone,
    After(After),
}

impl Attempts<'_> {
    /// Waits for an endpoint. `Err(None)` when the caller has hung up.
    fn grant(
        &mut self,
        trace: &mut Trace,
        unwanted: &dyn Fn() -> bool,
    ) -> Result<Grant, Option<Failure>> {
        let (entry, order) = (self.entry, self.order);
        let now = entry.now();
        let standing = lock(&entry.suspects).state(now, order.content);
        if let ContentState::Quarantined { until } = standing {
            return Err(Some(self.quarantined(until)));
        }
        let job = Job {
            id: entry.next_job_id(),
            class: order.class.clone(),
            workspace: order.workspace.clone(),
            arrived: order.arrived,
            target: order.arrived + order.params.first_token,
            deadline: if self.from > 0 { Millis::MAX } else { order.deadline() },
            prefix: order.prefix,
            suspect: standing == ContentState::Suspect,
            avoid: self.avoid.clone(),
            resumed: self.from > 0,
        };
        let waited = self.dispatcher.wait(&entry.clock, job, unwanted);
        let ms = entry.now().saturating_sub(now);
        entry.metrics.waited(&order.class, ms);
        match waited {
            Waited::Unwanted => Err(None),
            Waited::Refused(why) => Err(Some(Failure::refused(why, self.sent))),
            Waited::Granted(grant) => {
                self.tries += 1;
                trace.attempts.push(Attempt {
                    endpoint: grant.endpoint.clone(),
                    priority: grant.priority,
                    weighed: grant.costs.clone(),
                    waited: ms,
                    from: self.from,
                    outcome: String::new(),
                });
                Ok(grant)
            }
        }
    }

    fn quarantined(&self, until: Millis) -> Failure {
        let text = "this content crashes the endpoints that run it and is refused for a while";
        let left = until.saturating_sub(self.entry.now());
        let failure = if self.sent {
            Failure::unknown(422, "quarantined", text)
        } else {
            Failure::not_run(422, "quarantined", text)
        };
        failure.retry_after(left)
    }

    fn ended<T>(&mut self, grant: &Grant, tried: Tried<T>, trace: &mut Trace) -> Next<T> {
        let (next, outcome, word) = match tried {
            Tried::Whole(value, gap) => {
                (Next::Whole(value), Outcome::Succeeded { gap }, "whole".to_owned())
            }
            Tried::CallerGone => {
                (Next::CallerGone, Outcome::Inconclusive, "the caller hung up".to_owned())
            }
            Tried::Moved { from } => {
                self.sent = true;
                self.from = from;
                self.avoid.push(grant.endpoint.clone());
                self.entry.metrics.retried(&self.order.class, "moved");
                let word = format!("moved at token {from}");
                (Next::After(After::Again), Outcome::Inconclusive, word)
            }
            Tried::Draining => {
                self.avoid.push(grant.endpoint.clone());
                let after = self.retry_unsent();
                (Next::After(after), Outcome::Draining, "takes no new work".to_owned())
            }
            Tried::Failed { fault, sent, from } => {
                let (after, outcome) = self.failed(grant, fault, sent, from);
                (Next::After(after), outcome, format!("{fault} at token {from}"))
            }
        };
        self.dispatcher.done(self.entry.now(), grant.job, outcome);
        if let Some(last) = trace.attempts.last_mut() {
            last.outcome = word;
        }
        next
    }

    fn failed(
        &mut self,
        grant: &Grant,
        fault: AttemptError,
        sent: bool,
        from: u64,
    ) -> (After, Outcome) {
        self.sent |= sent;
        self.from = from;
        self.avoid.push(grant.endpoint.clone());
        let crashed = sent
            && matches!(fault, AttemptError::ConnectionLost | AttemptError::ConnectFailed)
            && { members::check_liveness(&grant.addr, &grant.boot) == Liveness::Crashed };
        let outcome = match fault {
            _ if crashed => Outcome::Crashed,
            AttemptError::Cancelled => Outcome::Inconclusive,
            _ => Outcome::Failed,
        };
        if crashed && let Some(crash) = members::crash_id(&grant.endpoint, &grant.boot) {
            gossip::record_crash(self.entry, self.order.content, &crash);
        }
        let after = if !sent {
            self.retry_unsent()
        } else if self.order.once {
            After::Give(self.gave_up("the request was sent and its outcome is not known"))
        } else {
            self.crashes += u32::from(crashed);
            self.retry_sent(crashed, from > 0)
        };
        (after, outcome)
    }

    /// No byte left: trying again is safe for every request.
    fn retry_unsent(&self) -> After {
        if self.entry.now() >= self.order.deadline() || self.tries >= 3 * self.order.params.attempts
        {
            return After::Give(self.gave_up("no endpoint could be reached"));
        }
        self.entry.metrics.retried(&self.order.class, "unsent");
        After::Again
    }

    /// The request may have run; it is idempotent. A stream that the caller has begun to read
    /// goes on without the budget, since giving up would waste what was delivered. A crash does
    /// not count as an attempt: the quarantine bounds it.
    fn retry_sent(&self, crashed: bool, begun: bool) -> After {
        let class = &self.order.class;
        if begun && !mechanism::on(Mechanism::Resume) {
            return After::Give(self.gave_up("the stream broke"));
        }
        let tries = self.tries - self.crashes;
        if tries >= self.order.params.attempts || self.tries >= MAX_TRIES {
            return After::Give(self.gave_up("every attempt failed"));
        }
        if begun || crashed {
            let why = if begun { "resumed" } else { "crashed" };
            self.entry.metrics.retried(class, why);
            return After::Again;
        }
        let now = self.entry.now();
        if now >= self.order.deadline() {
            return After::Give(self.gave_up("its deadline has passed"));
        }
        if !self.dispatcher.with(now, |pool| pool.take_retry(class)) {
            self.entry.metrics.retried(class, "denied");
            return After::Give(self.gave_up("the retry budget of its class is used up"));
        }
        self.entry.metrics.retried(class, "repeated");
        After::Again
    }

    fn gave_up(&self, text: &str) -> Failure {
        if self.sent {
            return Failure::unknown(502, "endpoint_failed", text);
        }
        Failure::not_run(503, "no_endpoint", text).retry_after(1_000)
    }
}

impl Entry {
    /// Counts how a request ended and keeps its trace.
    pub(super) fn finish(&self, mut trace: Trace, outcome: &'static str) {
        let now = self.now();
        trace.took = now.saturating_sub(trace.at);
        trace.outcome = outcome.to_owned();
        if !trace.class.is_empty() {
            self.metrics.ended(&trace.class, outcome);
        }
        tracing::debug!("entry: {} ended as {outcome} after {} ms.", trace.id, trace.took);
        self.traces.keep(trace);
    }

    /// Counts whether the first token met its target.
    pub(super) fn first_token(&self, order: &Order) {
        let took = self.now().saturating_sub(order.arrived);
        Metrics::met(&self.metrics.first, &order.class, took <= order.params.first_token);
    }
}
