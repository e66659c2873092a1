//! Requests to plain HTTP services, under `/svc/NAME/...`.

use xxhash_rust::xxh3::xxh3_64;

use super::Entry;
use super::attempt::{AttemptResult, RequestResult, RequestSpec};
use super::fail::Failure;
use super::front::{CLASS_HEADER, Context, HOP_HEADER, KEY_HEADER};
use super::keyed::{KeyedRequest, SendOutcome};
use super::trace::Trace;
use crate::adapter::endpoint::{self, Call, CallControl};
use crate::adapter::serve::{Request, ResponseWriter};
use crate::config::Kind;
use crate::policy::claim::BufferedResponse;
use crate::policy::pool::Grant;
use std::sync::Arc;

/// Minimum timeout of an attempt of a non-idempotent request, in milliseconds. It may outlast the
/// deadline.
const MIN_NON_IDEMPOTENT_MS: u64 = 60_000;
/// Headers that are not forwarded: they apply to one connection only, or are set anew for the next
/// one as `host` and `content-length` are.
pub(super) const HOP_BY_HOP_HEADERS: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "content-length",
];

/// Serves a request to a plain service.
pub fn serve(mut context: Context<'_>, writer: &mut ResponseWriter<'_>) -> Result<(), Failure> {
    let rest = context.request.path.trim_start_matches("/svc/").to_owned();
    let (name, path) = rest.split_once('/').unwrap_or((&rest, ""));
    let fleet = Arc::clone(&context.fleet);
    let service = fleet.services.get(name).filter(|s| s.kind == Kind::Plain);
    let Some(service) = service else {
        let text = format!("no plain service is called `{name}`");
        return Err(Failure::not_run(404, "unknown_service", text));
    };
    let safe = matches!(context.request.method.as_str(), "GET" | "HEAD" | "OPTIONS");
    let class = context.class(if safe { &service.read_class } else { &service.write_class })?;
    let digest = context.digest();
    let spec = context.spec(name, &class, xxh3_64(&digest.to_le_bytes()), 0);
    let target = match context.request.query.as_str() {
        "" => format!("/{path}"),
        query => format!("/{path}?{query}"),
    };
    let key = if spec.non_idempotent { context.key(name)? } else { None };
    let entry = context.entry;
    if let Some((text, _)) = &key
        && entry.forward_to_issuer(text, &context, writer)?
    {
        return Ok(());
    }
    let mut trace = std::mem::take(&mut context.trace);
    let probe = writer.probe();
    let disconnected = move || {
        probe.as_ref().is_some_and(super::super::adapter::serve::ConnectionProbe::is_closed)
    };
    let ended = match &key {
        Some((text, key)) => {
            let keyed = KeyedRequest { text, key: *key, digest, deadline: spec.deadline() };
            let mut note = String::new();
            let ended = entry.run_once(&keyed, &mut note, || {
                match entry.forward(&spec, &mut trace, &context.request, &target, &|| false) {
                    RequestResult::Completed(response) => SendOutcome::Done(response),
                    RequestResult::Failed { failure, sent: false } => SendOutcome::NotSent(failure),
                    RequestResult::Failed { failure, sent: true } => SendOutcome::Lost(failure),
                    RequestResult::CallerGone => SendOutcome::Lost(Failure::unknown(
                        502,
                        "outcome_unknown",
                        "the call was cut",
                    )),
                }
            });
            trace.claim = note;
            ended
        }
        None => {
            let never = || false;
            let is_cancelled: &dyn Fn() -> bool =
                if spec.non_idempotent { &never } else { &disconnected };
            match entry.forward(&spec, &mut trace, &context.request, &target, is_cancelled) {
                RequestResult::Completed(response) => Ok(response),
                RequestResult::Failed { failure, .. } => Err(failure),
                RequestResult::CallerGone => {
                    entry.finish(trace, "caller_gone");
                    return Ok(());
                }
            }
        }
    };
    match ended {
        Ok(response) => {
            entry.record_first_token(&spec);
            entry.finish(trace, "whole");
            context.send(&response, writer);
            Ok(())
        }
        Err(failure) => {
            entry.finish(trace, failure.code);
            Err(failure)
        }
    }
}

impl Entry {
    /// Runs a request on the endpoints of its service. The headers for class, hop and authorization
    /// are not forwarded, and the request id replaces the caller's.
    fn forward(
        self: &Arc<Self>,
        spec: &RequestSpec,
        trace: &mut Trace,
        request: &Request,
        target: &str,
        is_cancelled: &dyn Fn() -> bool,
    ) -> RequestResult<BufferedResponse> {
        let replaced =
            |n: &str| matches!(n, CLASS_HEADER | HOP_HEADER | "authorization" | "x-request-id");
        let mut headers: Vec<(String, String)> = request
            .headers
            .iter()
            .filter(|(n, _)| !HOP_BY_HOP_HEADERS.contains(&n.as_str()) && !replaced(n))
            .cloned()
            .collect();
        headers.push(("x-request-id".to_owned(), spec.id.clone()));
        self.run(spec, trace, is_cancelled, |grant| {
            let call = Call {
                addr: &grant.addr,
                method: &request.method,
                path: target,
                headers: &headers,
                body: &request.body,
            };
            self.call_plain(spec, grant, &call)
        })
    }

    /// Makes one attempt on an endpoint.
    fn call_plain(
        &self,
        spec: &RequestSpec,
        _: &Grant,
        call: &Call<'_>,
    ) -> AttemptResult<BufferedResponse> {
        let remaining = spec.deadline().saturating_sub(self.now()).max(1);
        let timeout =
            if spec.non_idempotent { remaining.max(MIN_NON_IDEMPOTENT_MS) } else { remaining };
        let control = CallControl::new_in(&self.responses, timeout, timeout, Box::new(|| false));
        let response = endpoint::call(call, &control).and_then(|a| {
            let (status, headers) = (a.status, a.headers.clone());
            a.read_body().map(|body| BufferedResponse {
                status,
                headers: end_to_end_headers(headers),
                body,
            })
        });
        match response {
            Ok(response) => AttemptResult::Completed(response, None),
            Err(error) => AttemptResult::Failed { error, sent: control.sent(), resume_from: 0 },
        }
    }
}

/// Headers of a response that are forwarded to the caller.
pub(super) fn end_to_end_headers(headers: Vec<(String, String)>) -> Vec<(String, String)> {
    let dropped =
        |n: &str| HOP_BY_HOP_HEADERS.contains(&n) || n == "x-request-id" || n == KEY_HEADER;
    headers.into_iter().filter(|(n, _)| !dropped(n)).collect()
}
