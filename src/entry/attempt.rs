//! Attempt loop of a request: waits for a grant, calls the endpoint, and decides whether to retry.

use std::sync::Arc;

use super::dispatch::{Dispatcher, WaitResult};
use super::fail::Failure;
use super::members::{self, Liveness};
use super::metrics::Metrics;
use super::trace::{AttemptTrace, Trace};
use super::{Entry, gossip, lock};
use crate::adapter::clock::Millis;
use crate::adapter::endpoint::AttemptError;
use crate::config::Params;
use crate::mechanism::{self, Mechanism};
use crate::policy::Job;
use crate::policy::pool::{Grant, Outcome};
use crate::policy::suspect::ContentState;

/// Attempts, including those that ended in a crash, after which a request that may have been sent
/// is not retried.
const MAX_ATTEMPTS: u32 = 12;

/// A request to be run, with the parameters that apply to it.
#[derive(Debug, Clone)]
pub struct RequestSpec {
    /// Id of the request.
    pub id: String,
    /// Name of its workspace.
    pub workspace: String,
    /// Name of its class.
    pub class: String,
    /// Name of the service that it is for.
    pub service: String,
    /// Parameters of its class, with the exceptions that apply.
    pub params: Params,
    /// Hash of its content, which crashes of endpoints are counted against.
    pub content: u64,
    /// Hash of its prompt prefix; 0 for none.
    pub prefix: u64,
    /// Time of its arrival.
    pub arrived: Millis,
    /// True if it must run at most once.
    pub non_idempotent: bool,
}

impl RequestSpec {
    /// Time after which its response is useless to the caller.
    pub fn deadline(&self) -> Millis {
        self.arrived + self.params.deadline
    }
}

/// How one attempt ended.
#[derive(Debug)]
pub enum AttemptResult<T> {
    /// Complete response, with its average token gap in milliseconds if that was measured.
    Completed(T, Option<f64>),
    /// The endpoint is draining and did not run the request.
    Draining,
    /// The attempt failed. `sent`: a byte of the request may have been sent. `resume_from`: index
    /// of the first token that is still missing.
    Failed { error: AttemptError, sent: bool, resume_from: u64 },
    /// The stream must continue on another endpoint, from the token with index `resume_from`.
    Migrated { resume_from: u64 },
    /// The caller closed the connection.
    CallerGone,
}

/// How a request ended.
#[derive(Debug)]
pub enum RequestResult<T> {
    /// Complete response.
    Completed(T),
    /// No complete response. `sent`: a byte of the request may have been sent.
    Failed { failure: Failure, sent: bool },
    /// The caller closed the connection.
    CallerGone,
}

/// What to do after an attempt without a complete response.
enum RetryDecision {
    Retry,
    GiveUp(Failure),
}

/// State of a request across its attempts.
struct Attempts<'a> {
    entry: &'a Arc<Entry>,
    spec: &'a RequestSpec,
    dispatcher: Arc<Dispatcher>,
    /// Endpoints of earlier attempts.
    avoid: Vec<String>,
    /// True once a byte of the request may have been sent.
    sent: bool,
    /// Index of the first token that is still missing.
    resume_from: u64,
    /// Attempts started.
    started: u32,
    /// Attempts that ended in a crash of the endpoint.
    crashes: u32,
}

impl Entry {
    /// Runs a request until it has a complete response or must not be retried. `is_cancelled` is
    /// polled while the request is queued; `attempt` makes one attempt on the granted endpoint.
    pub(super) fn run<T>(
        self: &Arc<Self>,
        spec: &RequestSpec,
        trace: &mut Trace,
        is_cancelled: &dyn Fn() -> bool,
        mut attempt: impl FnMut(&Grant) -> AttemptResult<T>,
    ) -> RequestResult<T> {
        let Some(dispatcher) = self.dispatcher(&spec.service) else {
            let failure = Failure::not_run(404, "unknown_service", "no such service is configured");
            return RequestResult::Failed { failure, sent: false };
        };
        let mut attempts = Attempts {
            entry: self,
            spec,
            dispatcher,
            avoid: Vec::new(),
            sent: false,
            resume_from: 0,
            started: 0,
            crashes: 0,
        };
        loop {
            let grant = match attempts.acquire_grant(trace, is_cancelled) {
                Ok(grant) => attempts.identify(grant),
                Err(Some(failure)) => {
                    return RequestResult::Failed { failure, sent: attempts.sent };
                }
                Err(None) => return RequestResult::CallerGone,
            };
            // If this process was suspended after the grant, the deadline may have passed by now; a
            // non-idempotent request is not sent then.
            let expired = spec.non_idempotent && self.now() >= spec.deadline();
            let result = if expired {
                AttemptResult::Failed {
                    error: AttemptError::Cancelled,
                    sent: false,
                    resume_from: 0,
                }
            } else {
                attempt(&grant)
            };
            match attempts.finish_attempt(&grant, result, trace) {
                NextAction::Return(value) => return RequestResult::Completed(value),
                NextAction::CallerGone => return RequestResult::CallerGone,
                NextAction::Unfinished(RetryDecision::Retry) => {}
                NextAction::Unfinished(RetryDecision::GiveUp(failure)) => {
                    return RequestResult::Failed { failure, sent: attempts.sent };
                }
            }
        }
    }
}

/// How the attempt loop continues after an attempt.
enum NextAction<T> {
    Return(T),
    CallerGone,
    Unfinished(RetryDecision),
}

impl Attempts<'_> {
    /// Waits in the queue for an endpoint. `Err(None)` if the request was cancelled.
    fn acquire_grant(
        &mut self,
        trace: &mut Trace,
        is_cancelled: &dyn Fn() -> bool,
    ) -> Result<Grant, Option<Failure>> {
        let (entry, spec) = (self.entry, self.spec);
        let now = entry.now();
        let state = lock(&entry.suspects).state(now, spec.content);
        if let ContentState::Quarantined { until } = state {
            return Err(Some(self.quarantine_failure(until)));
        }
        let job = Job {
            id: entry.next_job_id(),
            class: spec.class.clone(),
            workspace: spec.workspace.clone(),
            arrived: spec.arrived,
            target: spec.arrived + spec.params.first_token,
            deadline: if self.resume_from > 0 { Millis::MAX } else { spec.deadline() },
            prefix: spec.prefix,
            suspect: state == ContentState::Suspect,
            avoid: self.avoid.clone(),
            resumed: self.resume_from > 0,
        };
        let waited = self.dispatcher.wait(&entry.clock, job, is_cancelled);
        let ms = entry.now().saturating_sub(now);
        entry.metrics.observe_wait(&spec.class, ms);
        match waited {
            WaitResult::Cancelled => Err(None),
            WaitResult::Refused(reason) => Err(Some(Failure::refused(reason, self.sent))),
            WaitResult::Granted(grant) => {
                self.started += 1;
                trace.attempts.push(AttemptTrace {
                    endpoint: grant.endpoint.clone(),
                    priority: grant.priority,
                    costs: grant.costs.clone(),
                    waited: ms,
                    resume_from: self.resume_from,
                    outcome: String::new(),
                });
                Ok(grant)
            }
        }
    }

    /// Completes a grant with the incarnation of its endpoint, if that was not polled before.
    fn identify(&self, mut grant: Grant) -> Grant {
        if !grant.boot.is_empty() {
            return grant;
        }
        self.entry.await_first_poll(&grant.endpoint);
        grant.boot = self.dispatcher.read(|pool| pool.boot(&grant.endpoint).to_owned());
        grant
    }

    /// Failure of a request whose content is quarantined until the given time.
    fn quarantine_failure(&self, until: Millis) -> Failure {
        let text = "this content crashes the endpoints that run it and is refused for a while";
        let remaining = until.saturating_sub(self.entry.now());
        let failure = if self.sent {
            Failure::unknown(422, "quarantined", text)
        } else {
            Failure::not_run(422, "quarantined", text)
        };
        failure.retry_after(remaining)
    }

    /// Reports the result of an attempt to the pool and to the trace.
    fn finish_attempt<T>(
        &mut self,
        grant: &Grant,
        result: AttemptResult<T>,
        trace: &mut Trace,
    ) -> NextAction<T> {
        let (next, outcome, description) = match result {
            AttemptResult::Completed(value, gap) => {
                (NextAction::Return(value), Outcome::Succeeded { gap }, "whole".to_owned())
            }
            AttemptResult::CallerGone => {
                (NextAction::CallerGone, Outcome::Inconclusive, "the caller hung up".to_owned())
            }
            AttemptResult::Migrated { resume_from } => {
                self.sent = true;
                self.resume_from = resume_from;
                self.avoid.push(grant.endpoint.clone());
                self.entry.metrics.count_retry(&self.spec.class, "moved");
                let description = format!("moved at token {resume_from}");
                (NextAction::Unfinished(RetryDecision::Retry), Outcome::Inconclusive, description)
            }
            AttemptResult::Draining => {
                self.avoid.push(grant.endpoint.clone());
                let decision = self.retry_unsent();
                (
                    NextAction::Unfinished(decision),
                    Outcome::Draining,
                    "takes no new work".to_owned(),
                )
            }
            AttemptResult::Failed { error, sent, resume_from } => {
                let (id, endpoint) = (&self.spec.id, &grant.endpoint);
                tracing::info!(id, endpoint, sent, resume_from, "entry: attempt failed: {error}");
                let (decision, outcome) = self.record_failure(grant, error, sent, resume_from);
                (
                    NextAction::Unfinished(decision),
                    outcome,
                    format!("{error} at token {resume_from}"),
                )
            }
        };
        self.dispatcher.done(self.entry.now(), grant.job, outcome);
        if let Some(last) = trace.attempts.last_mut() {
            last.outcome = description;
        }
        next
    }

    /// Classifies a failed attempt for the pool and decides on a retry. An endpoint that
    /// has restarted or can't be reached after a lost connection counts as crashed, and the crash
    /// counts against the content of the request.
    fn record_failure(
        &mut self,
        grant: &Grant,
        error: AttemptError,
        sent: bool,
        resume_from: u64,
    ) -> (RetryDecision, Outcome) {
        self.sent |= sent;
        self.resume_from = resume_from;
        self.avoid.push(grant.endpoint.clone());
        let crashed = sent
            && matches!(error, AttemptError::ConnectionLost | AttemptError::ConnectFailed)
            && { members::check_liveness(&grant.addr, &grant.boot) == Liveness::Crashed };
        let outcome = match error {
            _ if crashed => Outcome::Crashed,
            AttemptError::Cancelled => Outcome::Inconclusive,
            _ => Outcome::Failed,
        };
        if crashed {
            self.record_crash(grant);
        }
        let decision = if !sent {
            self.retry_unsent()
        } else if self.spec.non_idempotent {
            RetryDecision::GiveUp(
                self.final_failure("the request was sent and its outcome is not known"),
            )
        } else {
            self.crashes += u32::from(crashed);
            self.retry_sent(crashed, resume_from > 0)
        };
        (decision, outcome)
    }

    /// Counts the crash of an endpoint against the content of the request.
    fn record_crash(&self, grant: &Grant) {
        match members::crash_id(&grant.endpoint, &grant.boot) {
            Some(crash) => gossip::record_crash(self.entry, self.spec.content, &crash),
            None => tracing::warn!(
                "crash: {} counts against no content, its incarnation is unknown.",
                grant.endpoint
            ),
        }
    }

    /// Decides on a retry if the last attempt sent no byte. That is safe for every request, so the
    /// limit is three times the attempts of the class, and the retry budget doesn't apply.
    fn retry_unsent(&self) -> RetryDecision {
        if self.entry.now() >= self.spec.deadline() || self.started >= 3 * self.spec.params.attempts
        {
            return RetryDecision::GiveUp(self.final_failure("no endpoint could be reached"));
        }
        self.entry.metrics.count_retry(&self.spec.class, "unsent");
        RetryDecision::Retry
    }

    /// Decides on a retry of an idempotent request that may have run. A stream with tokens already
    /// received resumes regardless of the retry budget and the deadline, as giving up would waste
    /// what was delivered. So does a request whose endpoint crashed; crashes don't count as
    /// attempts, since the quarantine limits them.
    fn retry_sent(&self, crashed: bool, stream_started: bool) -> RetryDecision {
        let class = &self.spec.class;
        if stream_started && !mechanism::on(Mechanism::Resume) {
            return RetryDecision::GiveUp(self.final_failure("the stream broke"));
        }
        let counted = self.started - self.crashes;
        if counted >= self.spec.params.attempts || self.started >= MAX_ATTEMPTS {
            return RetryDecision::GiveUp(self.final_failure("every attempt failed"));
        }
        if stream_started || crashed {
            let reason = if stream_started { "resumed" } else { "crashed" };
            self.entry.metrics.count_retry(class, reason);
            return RetryDecision::Retry;
        }
        let now = self.entry.now();
        if now >= self.spec.deadline() {
            return RetryDecision::GiveUp(self.final_failure("its deadline has passed"));
        }
        if !self.dispatcher.with(now, |pool| pool.take_retry(class)) {
            self.entry.metrics.count_retry(class, "denied");
            return RetryDecision::GiveUp(
                self.final_failure("the retry budget of its class is used up"),
            );
        }
        self.entry.metrics.count_retry(class, "repeated");
        RetryDecision::Retry
    }

    /// Failure that is returned when there is no further attempt.
    fn final_failure(&self, text: &str) -> Failure {
        if self.sent {
            return Failure::unknown(502, "endpoint_failed", text);
        }
        Failure::not_run(503, "no_endpoint", text).retry_after(1_000)
    }
}

impl Entry {
    /// Counts a finished request by its outcome and stores its trace.
    pub(super) fn finish(&self, mut trace: Trace, outcome: &'static str) {
        let now = self.now();
        trace.duration = now.saturating_sub(trace.arrived);
        trace.outcome = outcome.to_owned();
        if !trace.class.is_empty() {
            self.metrics.count_request(&trace.class, outcome);
        }
        tracing::debug!(
            "entry: request {} ended as {outcome} after {} ms.",
            trace.id,
            trace.duration
        );
        self.traces.insert(trace);
    }

    /// Counts whether the first token, produced now, met the target of the request.
    pub(super) fn record_first_token(&self, spec: &RequestSpec) {
        let took = self.now().saturating_sub(spec.arrived);
        Metrics::count_target(
            &self.metrics.first_tokens,
            &spec.class,
            took <= spec.params.first_token,
        );
    }
}
