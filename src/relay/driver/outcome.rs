//! Ends of attempts and requests: retries, refusals, failures, timeouts and cancellation.

use super::Driver;
use super::dispatch::RefuseReason;
use crate::policy::attempt::{Action, FailureKind, RetryState};
use crate::policy::drain;
use crate::policy::place::{Block, Endpoint};
use crate::policy::suspect::Content;
use crate::relay::exchange::Exchange;
use crate::relay::fault::Fault;
use crate::relay::stats::{FailureLabels, RequestLabels, RouteLabels};

/// Time for which a stale incarnation is reported to peers.
pub(super) const STALE_REPORT_MS: u64 = 5_000;
/// `Retry-After` of a stopping instance: another instance serves the retry, so it need not wait.
pub(super) const RETRY_ELSEWHERE_MS: u64 = 10;
/// `Retry-After` of a refused request: random between these fractions of its route's target.
const RETRY_AFTER_SPREAD: (f64, f64) = (0.25, 0.75);
/// Minimum `Retry-After` of a refused request.
const MIN_RETRY_AFTER_MS: f64 = 100.0;

/// Why an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Cause {
    /// The connection could not be established, or closed before any of the request was written.
    ConnectFailed,
    /// Another incarnation answered at the address.
    Stale,
    /// The endpoint is full.
    Full,
    /// The endpoint answered with a 5xx status.
    Error,
    /// The connection broke before the response was complete.
    ConnectionLost,
    /// The response is malformed or too large.
    InvalidResponse(Fault),
    /// The response was given up, as the buffers of all connections took too much memory.
    Evicted,
}

impl Cause {
    /// Name in logs and metrics.
    fn name(self) -> &'static str {
        match self {
            Self::ConnectFailed => "unreached",
            Self::Stale => "stale",
            Self::Full => "full",
            Self::Error => "error",
            Self::ConnectionLost => "broken",
            Self::InvalidResponse(_) => "garbled",
            Self::Evicted => "evicted",
        }
    }

    /// What is wrong with the response, if there is one.
    fn fault(self) -> Option<Fault> {
        match self {
            Self::InvalidResponse(fault) => Some(fault),
            _ => None,
        }
    }
}

impl Driver {
    /// Handles a failed attempt: retries, or ends the request.
    pub(super) fn attempt_failed(&mut self, caller: usize, failure: FailureKind, cause: Cause) {
        let now = self.clock.now();
        let Some(exchange) = self.callers.get_mut(caller).and_then(|c| c.exchange.as_mut()) else {
            return;
        };
        let link = exchange.link.take();
        exchange.runs += u32::from(matches!(failure, FailureKind::Failed | FailureKind::Lost));
        exchange.splitter.restart();
        exchange.pace_from = None;
        let state = RetryState {
            retryable: exchange.kind().is_retryable(),
            streaming: exchange.streaming,
            sends: exchange.sends,
            runs: exchange.runs,
            max_runs: exchange.route.attempts,
            left: exchange.deadline.saturating_sub(now),
        };
        let placement = exchange.placement.take();
        let (service, contents) = (exchange.service.clone(), exchange.contents.clone());
        let endpoint = placement.as_ref().map(|p| p.endpoint.clone()).unwrap_or_default();
        exchange.requirements.avoid.push(endpoint.clone());
        exchange.sent_to = None;
        let (id, route) = (exchange.id.clone(), exchange.route.name.clone());
        if let Some(placement) = &placement {
            self.pool(&service).balancer.end(placement);
            self.schedule_heartbeat();
        }
        let content = contents[0];
        self.record_failure(&service, &endpoint, cause, contents);
        let sharers = self.peers.sharers(now);
        let rule = self.setup.retries;
        let next =
            state.decide(failure, || self.pool(&service).window.try_withdraw(now, rule, sharers));
        tracing::info!(
            id,
            route,
            endpoint,
            content,
            cause = cause.name(),
            fault = cause.fault().map(|f| f.to_string()),
            fact = ?failure,
            ?next,
            sends = state.sends,
            runs = state.runs,
            left = state.left,
            sharers,
            "relay: attempt failed"
        );
        let label = FailureLabels { service, cause: cause.name() };
        self.metrics.failures.get_or_create(&label).inc();
        self.execute_action(
            caller,
            link,
            next,
            matches!(failure, FailureKind::NotRun | FailureKind::Failed),
        );
    }

    /// Executes the action chosen for a failed attempt. `answered` is true if the endpoint's
    /// response is complete, so that the connection can be reused.
    fn execute_action(&mut self, caller: usize, link: Option<usize>, next: Action, answered: bool) {
        if let (Action::Pass, Some(link)) = (next, link) {
            return self.forward_response(link, caller, "failed by endpoint");
        }
        if let Some(link) = link {
            if answered { self.release_link(link) } else { self.drop_link(link) }
        }
        match next {
            Action::Again => self.retry(caller),
            Action::Refuse => self.refuse(caller, RefuseReason::NotRun),
            Action::Fail | Action::Pass => self.fail(caller, 502, "outcome unknown"),
            Action::Break => self.abort_response(caller, "broken off"),
        }
    }

    /// Dispatches a request again. It may wait in the queue for half of its remaining time;
    /// endpoints that failed it are avoided as long as there are others.
    fn retry(&mut self, caller: usize) {
        self.metrics.retries.inc();
        let now = self.clock.now();
        let Some(exchange) = self.callers[caller].exchange.as_mut() else { return };
        let left = exchange.deadline.saturating_sub(now);
        exchange.queue_deadline = now + left / 2;
        self.free_version(caller);
        if !self.has_other(caller)
            && let Some(exchange) = self.callers[caller].exchange.as_mut()
        {
            exchange.requirements.avoid.clear();
        }
        self.dispatch(caller);
    }

    /// Records a failed attempt against its endpoint, which may eject it or mark it as stale. A
    /// broken connection is kept as a possible crash.
    fn record_failure(
        &mut self,
        service: &str,
        endpoint: &str,
        cause: Cause,
        contents: Vec<Content>,
    ) {
        let now = self.clock.now();
        if cause == Cause::ConnectionLost {
            self.record_broken(service, endpoint, contents);
        }
        if cause == Cause::Stale {
            self.record_crash(endpoint, "stale");
            self.stale.retain(|(at, _)| at + STALE_REPORT_MS > now);
            self.stale.push((now, endpoint.to_owned()));
        }
        let Some(e) = self.pool(service).balancer.get_mut(endpoint) else { return };
        let excluded = match cause {
            Cause::Error if e.is_paused(now) => false,
            Cause::Stale => {
                e.mark_stale();
                true
            }
            Cause::ConnectFailed => e.record_failure(now, true),
            Cause::Full => false,
            Cause::Error | Cause::ConnectionLost | Cause::InvalidResponse(_) | Cause::Evicted => {
                e.record_failure(now, false)
            }
        };
        if excluded {
            tracing::info!(service, endpoint, cause = cause.name(), "relay: endpoint excluded");
        }
    }

    /// Removes the load of a request that has ended at its endpoint. A `success` ends an ejection
    /// of the endpoint and revokes crashes recorded for its incarnation.
    pub(super) fn finish_placement(&mut self, caller: usize, success: bool) {
        let Some(exchange) = self.callers.get_mut(caller).and_then(|c| c.exchange.as_mut()) else {
            return;
        };
        exchange.link = None;
        let service = exchange.service.clone();
        let answered = success && exchange.splitter.passed() > 0;
        let segments = if answered { exchange.segments().to_vec() } else { Vec::new() };
        self.record_sound(&segments);
        let Some(exchange) = self.callers.get_mut(caller).and_then(|c| c.exchange.as_mut()) else {
            return;
        };
        let Some(placement) = exchange.placement.take() else { return };
        let balancer = &mut self.pool(&service).balancer;
        balancer.end(&placement);
        let is_engine = balancer.profile.batch > 0;
        if success && let Some(e) = balancer.get_mut(&placement.endpoint) {
            Endpoint::record_success(e);
        }
        if is_engine {
            self.schedule_heartbeat();
        }
        if success {
            self.revoke_crash(&service, &placement.endpoint);
        }
    }

    /// Logs the outcome of a request and counts it in the metrics.
    pub(super) fn record_outcome(&mut self, caller: usize, outcome: &'static str) {
        let now = self.clock.now();
        let Some(exchange) = self.callers.get(caller).and_then(|c| c.exchange.as_ref()) else {
            return;
        };
        let took = now.saturating_sub(exchange.arrived);
        let first = exchange.first_at.map_or(0, |at| at.saturating_sub(exchange.arrived));
        let route = exchange.route.name.clone();
        let prompt = exchange.requirements.prompt;
        let blocked = exchange.blocked.map_or("", Block::name);
        tracing::info!(
            id = exchange.id,
            route,
            service = exchange.service,
            workspace = exchange.workspace.as_ref().map_or("", |w| w.name.as_str()),
            version = exchange.version,
            prompt,
            blocked,
            sends = exchange.sends,
            runs = exchange.runs,
            events = exchange.splitter.passed(),
            first,
            took,
            "relay: {outcome}"
        );
        let label = RouteLabels { route: route.clone() };
        self.metrics.duration.get_or_create(&label).observe(took as f64 / 1_000.0);
        if prompt > 0 {
            let label = RequestLabels { route: route.clone(), outcome };
            self.metrics.prompts.get_or_create(&label).observe(f64::from(prompt));
        }
        self.count_outcome(&route, outcome);
    }

    pub(super) fn count_outcome(&self, route: &str, outcome: &'static str) {
        let label = RequestLabels { route: route.to_owned(), outcome };
        self.metrics.requests.get_or_create(&label).inc();
    }

    /// Answers that the request has not run. `Retry-After` follows the queues of the fleet or, where
    /// their rate isn't known, is a random fraction of the route's target; it is short if another
    /// instance can serve the request at once. A stream that has begun is broken off instead.
    pub(super) fn refuse(&mut self, caller: usize, reason: RefuseReason) {
        if self.stream_started(caller) {
            return self.abort_response(caller, reason.message());
        }
        let Some(exchange) = self.callers.get(caller).and_then(|c| c.exchange.as_ref()) else {
            return;
        };
        let retry = match reason {
            RefuseReason::Stopping => RETRY_ELSEWHERE_MS,
            _ => self.retry_after(exchange),
        };
        if reason == RefuseReason::NoRoom
            && let Some(label) = self.workspace_labels(caller)
        {
            self.metrics.refused.get_or_create(&label).inc();
        }
        self.record_outcome(caller, reason.message());
        self.respond(caller, reason.status(), Some(retry), reason.message());
    }

    /// `Retry-After` of a refused request, in milliseconds.
    fn retry_after(&self, exchange: &Exchange) -> u64 {
        let now = self.clock.now();
        let gap = exchange.requirements.gap;
        let groups = self.queued_groups();
        let own = groups.get(&exchange.service).and_then(|g| g.get(&gap)).copied().unwrap_or(0);
        let pool = self.pools.get(&exchange.service).filter(|_| self.has_workspaces);
        match pool.and_then(|p| p.drain.forecast(now, gap, own as usize)) {
            Some(forecast) => {
                let left = exchange.deadline.saturating_sub(now);
                drain::retry_after(forecast.drain(), left, rand::random())
            }
            None => spread_retry(exchange.route.target_latency),
        }
    }

    /// Ends a request that waits or is at an endpoint: refuses it or, where it may have run, answers
    /// that its outcome is unknown.
    pub(super) fn end_request(&mut self, caller: usize, reason: RefuseReason) {
        let Some(exchange) = self.callers.get(caller).and_then(|c| c.exchange.as_ref()) else {
            return;
        };
        let link = exchange.link.and_then(|l| self.links.get(l));
        let may_have_run = exchange.runs > 0 || link.is_some_and(|l| l.wrote);
        self.release_resources(caller);
        if may_have_run {
            self.fail(caller, 502, reason.message());
        } else {
            self.refuse(caller, reason);
        }
    }

    /// Answers with an error; the request may have run. A stream that has begun is broken off instead.
    pub(super) fn fail(&mut self, caller: usize, status: u16, why: &'static str) {
        if self.stream_started(caller) {
            return self.abort_response(caller, why);
        }
        self.record_outcome(caller, why);
        self.respond(caller, status, None, why);
    }

    /// Closes the connection in the middle of a response, so that the part already sent doesn't
    /// look complete.
    fn abort_response(&mut self, caller: usize, why: &'static str) {
        self.record_outcome(caller, why);
        self.callers[caller].exchange = None;
        self.drop_caller(caller);
    }

    /// Ends a request whose deadline, or maximum time in the queue, has passed.
    pub(super) fn exchange_timed_out(&mut self, caller: usize) {
        let Some(exchange) = self.callers[caller].exchange.as_ref() else { return };
        let (streaming, waits, runs) =
            (exchange.streaming, exchange.queue_key.is_some(), exchange.runs);
        let available = self
            .pools
            .get(&exchange.service)
            .is_some_and(|p| p.balancer.endpoints().any(Endpoint::accepts_work));
        self.release_resources(caller);
        if streaming {
            self.abort_response(caller, "timed out in mid-stream");
        } else if waits && runs == 0 {
            self.record_first(caller, true);
            self.refuse(
                caller,
                if available { RefuseReason::NoRoom } else { RefuseReason::NoEndpoint },
            );
        } else {
            self.fail(caller, 504, "timed out");
        }
    }

    /// Cancels the request of a caller that has disconnected.
    pub(super) fn cancel(&mut self, caller: usize) {
        if self.callers.get(caller).is_some_and(|c| c.exchange.is_some()) {
            self.release_resources(caller);
            self.record_outcome(caller, "caller left");
            self.callers[caller].exchange = None;
        }
    }

    /// Releases the queue entry, load and connection of a request. Closing the connection cancels
    /// the work at the endpoint.
    pub(super) fn release_resources(&mut self, caller: usize) {
        let Some(exchange) = self.callers[caller].exchange.as_mut() else { return };
        let (link, key, placement) =
            (exchange.link.take(), exchange.queue_key.take(), exchange.placement.take());
        let service = exchange.service.clone();
        if let Some(key) = key {
            self.queue.remove(key);
        }
        if let Some(placement) = placement {
            self.pool(&service).balancer.end(&placement);
        }
        if let Some(link) = link {
            self.drop_link(link);
        }
    }
}

/// Random `Retry-After` of a refused request, in milliseconds, for a route's target.
fn spread_retry(target: u64) -> u64 {
    let fraction = rand::random_range(RETRY_AFTER_SPREAD.0..RETRY_AFTER_SPREAD.1);
    (target as f64 * fraction).max(MIN_RETRY_AFTER_MS) as u64
}
