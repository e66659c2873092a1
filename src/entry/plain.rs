//! Calls to plain services under `/svc/NAME/...`.

use xxhash_rust::xxh3::xxh3_64;

use super::Entry;
use super::attempt::{Order, Run, Tried};
use super::fail::Failure;
use super::front::{CLASS, Context, HOP, KEY};
use super::keyed::{KeyedRequest, SendOutcome};
use super::trace::Trace;
use crate::adapter::endpoint::{self, Call, CallControl};
use crate::adapter::serve::{Reply, Request};
use crate::config::Kind;
use crate::policy::claim::Answer;
use crate::policy::pool::Grant;
use std::sync::Arc;

/// Shortest time that a request which must not run twice is given, in milliseconds.
const ONCE_LIMIT: u64 = 60_000;
/// Headers that end at each hop.
pub(super) const HOP_HEADERS: [&str; 10] = [
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

/// Serves a call to a plain service.
pub fn serve(mut context: Context<'_>, reply: &mut Reply<'_>) -> Result<(), Failure> {
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
    let order = context.order(name, &class, xxh3_64(&digest.to_le_bytes()), 0);
    let target = match context.request.query.as_str() {
        "" => format!("/{path}"),
        query => format!("/{path}?{query}"),
    };
    let key = if order.once { context.key(name)? } else { None };
    let entry = context.entry;
    if let Some((text, _)) = &key
        && entry.forward_to_issuer(text, &context, reply)?
    {
        return Ok(());
    }
    let mut trace = std::mem::take(&mut context.trace);
    let line = reply.probe();
    let gone =
        move || line.as_ref().is_some_and(super::super::adapter::serve::ConnectionProbe::is_closed);
    let ended = match &key {
        Some((text, key)) => {
            let keyed = KeyedRequest { text, key: *key, digest, deadline: order.deadline() };
            let mut note = String::new();
            let ended = entry.run_once(&keyed, &mut note, || {
                match entry.forward(&order, &mut trace, &context.request, &target, &|| false) {
                    Run::Whole(answer) => SendOutcome::Done(answer),
                    Run::Failed { failure, sent: false } => SendOutcome::NotSent(failure),
                    Run::Failed { failure, sent: true } => SendOutcome::Lost(failure),
                    Run::CallerGone => SendOutcome::Lost(Failure::unknown(
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
            let stays = || false;
            let unwanted: &dyn Fn() -> bool = if order.once { &stays } else { &gone };
            match entry.forward(&order, &mut trace, &context.request, &target, unwanted) {
                Run::Whole(answer) => Ok(answer),
                Run::Failed { failure, .. } => Err(failure),
                Run::CallerGone => {
                    entry.finish(trace, "caller_gone");
                    return Ok(());
                }
            }
        }
    };
    match ended {
        Ok(answer) => {
            entry.first_token(&order);
            entry.finish(trace, "whole");
            context.send(&answer, reply);
            Ok(())
        }
        Err(failure) => {
            entry.finish(trace, failure.code);
            Err(failure)
        }
    }
}

impl Entry {
    fn forward(
        self: &Arc<Self>,
        order: &Order,
        trace: &mut Trace,
        request: &Request,
        target: &str,
        unwanted: &dyn Fn() -> bool,
    ) -> Run<Answer> {
        let named = |n: &str| matches!(n, CLASS | HOP | "authorization" | "x-request-id");
        let mut headers: Vec<(String, String)> = request
            .headers
            .iter()
            .filter(|(n, _)| !HOP_HEADERS.contains(&n.as_str()) && !named(n))
            .cloned()
            .collect();
        headers.push(("x-request-id".to_owned(), order.id.clone()));
        self.run(order, trace, unwanted, |grant| {
            let call = Call {
                addr: &grant.addr,
                method: &request.method,
                path: target,
                headers: &headers,
                body: &request.body,
            };
            self.call_plain(order, grant, &call)
        })
    }

    fn call_plain(&self, order: &Order, _: &Grant, call: &Call<'_>) -> Tried<Answer> {
        let left = order.deadline().saturating_sub(self.now()).max(1);
        let limit = if order.once { left.max(ONCE_LIMIT) } else { left };
        let watch = CallControl::new(limit, limit, Box::new(|| false));
        let answer = endpoint::call(call, &watch).and_then(|a| {
            let (status, headers) = (a.status, a.headers.clone());
            a.read_body().map(|body| Answer { status, headers: passed(headers), body })
        });
        match answer {
            Ok(answer) => Tried::Whole(answer, None),
            Err(fault) => Tried::Failed { fault, sent: watch.sent(), from: 0 },
        }
    }
}

/// Headers of an answer that go on to the caller.
pub(super) fn passed(headers: Vec<(String, String)>) -> Vec<(String, String)> {
    let ends = |n: &str| HOP_HEADERS.contains(&n) || n == "x-request-id" || n == KEY;
    headers.into_iter().filter(|(n, _)| !ends(n)).collect()
}
