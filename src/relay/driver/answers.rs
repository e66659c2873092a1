//! Parsing of endpoints' responses, and forwarding them to callers.

use slab::Slab;

use super::Driver;
use super::outcome::Cause;
use super::turn::Turn;
use crate::policy::attempt::FailureKind;
use crate::relay::caller::Caller;
use crate::relay::fault::Fault;
use crate::relay::link::{Disconnect, Link};
use crate::relay::names::HeaderNames;
use crate::relay::output::append;
use crate::relay::sse::Events;
use crate::relay::stats::RouteLabels;
use crate::relay::table::RouteKind;
use crate::wire::{self, Decoder, Flaw, Head, MessageError, Step};

/// Maximum size of a response's head, in bytes.
const HEAD_LIMIT: usize = 64 << 10;
/// Media type of a stream of events.
const EVENT_STREAM: &str = "text/event-stream";
/// Number of events over which the gap of a stream is measured: several may arrive at once.
const GAP_EVENTS: u64 = 2;
/// Maximum size of a body that is not a stream, in bytes.
const BODY_LIMIT: usize = 16 << 20;

/// Result of parsing the next bytes of a connection.
enum ParseStep {
    /// More input is needed.
    Incomplete,
    /// Progress was made; there may be more to parse.
    Continue,
    /// The response is complete.
    Complete,
    /// The response is malformed or too large.
    Invalid(Fault),
}

impl<E: Into<Fault>> From<E> for ParseStep {
    fn from(fault: E) -> Self {
        Self::Invalid(fault.into())
    }
}

impl Driver {
    /// Parses what has been received on a connection, and forwards it to the caller.
    pub(super) fn advance_link(&mut self, index: usize) {
        loop {
            let Some(link) = self.links.get_mut(index) else { return };
            let step = if link.head.is_none() {
                let step = parse_head(link, &self.setup.names, &self.callers, &mut self.turn);
                self.apply_notices(index);
                self.count_response(index);
                step
            } else {
                self.parse_body(index)
            };
            match step {
                ParseStep::Incomplete => return,
                ParseStep::Continue => {}
                ParseStep::Invalid(fault) => {
                    return self.link_failed(index, Cause::InvalidResponse(fault));
                }
                ParseStep::Complete if self.links[index].foreign => {
                    if !self.skip_foreign(index) {
                        return self.link_failed(index, Cause::InvalidResponse(Fault::Skipped));
                    }
                }
                ParseStep::Complete => return self.response_complete(index),
            }
        }
    }

    /// Applies what the head of a response says of its endpoint: that it is leaving, or wants no
    /// requests for a while.
    fn apply_notices(&mut self, index: usize) {
        let Some(link) = self.links.get(index) else { return };
        let Some(head) = &link.head else { return };
        let leaving = head.get(self.setup.names.leaving) == Some("1");
        let asks = head.status == 503 && !link.foreign;
        let pause = head.get("retry-after").filter(|_| asks).map(str::to_owned);
        let (service, endpoint) = (link.service.clone(), link.endpoint.clone());
        if leaving {
            self.mark_leaving(&service, &endpoint);
        }
        let limit = self.stated_limit(index);
        if let Some(text) = pause {
            self.pause_endpoint(&service, &endpoint, &text);
        }
        if let Some((statement, text)) = limit {
            self.apply_limit(&service, &endpoint, statement, &text);
        }
    }

    fn mark_leaving(&mut self, service: &str, endpoint: &str) {
        let now = self.clock.now();
        let found = self.pool(service).balancer.get_mut(endpoint);
        if !found.is_some_and(|e| e.mark_leaving(now)) {
            return;
        }
        tracing::info!(service, endpoint, "relay: endpoint says that it is leaving");
        self.metrics.leaving.inc();
        self.drop_idle_links(endpoint);
    }

    fn pause_endpoint(&mut self, service: &str, endpoint: &str, text: &str) {
        let now = self.clock.now();
        let Some(ms) = parse_pause(text) else {
            tracing::info!(endpoint, text, "relay: pause of an endpoint is malformed");
            return;
        };
        let Some(e) = self.pool(service).balancer.get_mut(endpoint) else { return };
        let until = e.pause(now, ms);
        tracing::info!(service, endpoint, ms, now, until, "relay: endpoint paused");
        self.metrics.pauses.inc();
    }

    /// Parses the next part of a body: events of a stream are forwarded, other bodies buffered.
    fn parse_body(&mut self, index: usize) -> ParseStep {
        let link = &mut self.links[index];
        let Some(decoder) = &mut link.decoder else { return ParseStep::Incomplete };
        let step = decoder.step(&link.input);
        let data = match step {
            Err(e) => return e.into(),
            Ok(Step::End) => {
                let used = decoder.consumed();
                link.input.drain(..used);
                decoder.shift(used);
                return ParseStep::Complete;
            }
            Ok(Step::More) => {
                let used = decoder.consumed();
                link.input.drain(..used);
                decoder.shift(used);
                return ParseStep::Incomplete;
            }
            Ok(Step::Data(range)) => link.input[range].to_vec(),
        };
        if link.foreign {
            let within = link.skip_bytes(data.len());
            return if within { ParseStep::Continue } else { Fault::Skipped.into() };
        }
        if link.head.as_ref().is_some_and(|h| !wire::allows_content(h.status)) {
            return MessageError::from(Flaw::Framing).into();
        }
        if self.is_event_stream(index) {
            return self.forward_events(index, &data);
        }
        let link = &mut self.links[index];
        append(&mut link.body, &data, BODY_LIMIT);
        if link.body.len() > BODY_LIMIT {
            return MessageError::BodyTooLarge.into();
        }
        ParseStep::Continue
    }

    /// Discards a response that belongs to another request. Returns false if there are too many.
    fn skip_foreign(&mut self, index: usize) -> bool {
        self.turn.skipped += 1;
        let id = self.attempt_of(index);
        let endpoint = &self.links[index].endpoint;
        tracing::info!(id, endpoint, "relay: response to another request discarded");
        let link = &mut self.links[index];
        link.clear();
        link.skip_response()
    }

    /// Id of the attempt that a connection carries.
    pub(super) fn attempt_of(&self, index: usize) -> Option<&str> {
        let caller = self.callers.get(self.links.get(index)?.caller?.index)?;
        caller.exchange.as_ref().map(|e| e.id.as_str())
    }

    /// True if the response is a stream of events, which is forwarded as it arrives.
    fn is_event_stream(&self, index: usize) -> bool {
        let link = &self.links[index];
        let ok = link.head.as_ref().is_some_and(|h| h.status == 200 && has_events(h));
        let caller = link.caller.and_then(|u| self.callers.get(u.index));
        let kind = caller.and_then(|c| c.exchange.as_ref()).map(|e| e.kind());
        ok && kind.is_some_and(RouteKind::is_stream)
    }

    fn forward_events(&mut self, index: usize, data: &[u8]) -> ParseStep {
        let now = self.clock.now();
        let Some(caller) = self.links[index].caller else { return ParseStep::Incomplete };
        if self.mixes_versions(caller.index) {
            return Fault::Version.into();
        }
        let Some(exchange) = self.callers.get_mut(caller.index).and_then(|c| c.exchange.as_mut())
        else {
            return ParseStep::Incomplete;
        };
        let events = match exchange.splitter.feed(data) {
            Events::Pass(events) => events,
            Events::Broken => return Fault::Events.into(),
        };
        if events.is_empty() {
            return ParseStep::Continue;
        }
        exchange.first_at.get_or_insert(now);
        let mut out = Vec::new();
        let first = !exchange.streaming;
        exchange.streaming = true;
        self.fix_version(caller.index);
        self.finish_prefill(caller.index);
        self.observe_gap(caller.index, now);
        if first {
            self.observe_first(caller.index, now);
            self.count_stream(caller.index);
            self.record_first(caller.index, false);
            out = self.stream_head(index, caller.index);
        }
        wire::put_chunk(&mut out, &events);
        self.write(caller.index, &out);
        if self.links.contains(index) { ParseStep::Continue } else { ParseStep::Incomplete }
    }

    /// Removes the prefill load of a request: its first event shows that prefill is complete.
    fn finish_prefill(&mut self, caller: usize) {
        let now = self.clock.now();
        let Some(exchange) = self.callers[caller].exchange.as_mut() else { return };
        let service = exchange.service.clone();
        let Some(mut placement) = exchange.placement.take() else { return };
        if placement.load.prefill > 0 {
            self.pool(&service).balancer.finish_prefill(now, &mut placement);
            self.schedule_heartbeat();
        }
        if let Some(exchange) = self.callers[caller].exchange.as_mut() {
            exchange.placement = Some(placement);
        }
    }

    /// Learns the pace of an endpoint from the events that a stream has passed on. Times of a caller
    /// that reads slowly don't count.
    fn observe_gap(&mut self, caller: usize, now: u64) {
        let Some(c) = self.callers.get_mut(caller) else { return };
        let slow = !c.out.is_empty();
        let Some(exchange) = c.exchange.as_mut() else { return };
        let passed = exchange.splitter.passed();
        let (at, from) = *exchange.pace_from.get_or_insert((now, passed));
        let events = passed.saturating_sub(from);
        if slow || events >= GAP_EVENTS {
            exchange.pace_from = Some((now, passed));
        }
        let Some(placement) = &exchange.placement else { return };
        if slow || events < GAP_EVENTS {
            return;
        }
        let ms = now.saturating_sub(at) as f64 / events as f64;
        let (service, endpoint) = (exchange.service.clone(), placement.endpoint.clone());
        self.pool(&service).balancer.record_gap(now, &endpoint, ms);
    }

    /// Observes the time to the first byte in the metrics.
    fn observe_first(&self, caller: usize, now: u64) {
        if let Some(exchange) = &self.callers[caller].exchange {
            let label = RouteLabels { route: exchange.route.name.clone() };
            let took = now.saturating_sub(exchange.arrived) as f64 / 1_000.0;
            self.metrics.first_byte.get_or_create(&label).observe(took);
        }
    }

    /// Head of a stream for the caller.
    fn stream_head(&self, index: usize, caller: usize) -> Vec<u8> {
        let mut out = self.response_head(index);
        wire::put_header(&mut out, "Transfer-Encoding", b"chunked");
        if self.should_close(caller) {
            wire::put_header(&mut out, "Connection", b"close");
        }
        out.extend_from_slice(b"\r\n");
        out
    }

    /// Status line and headers of the endpoint's response, without hop-by-hop headers and
    /// `Content-Length`.
    fn response_head(&self, index: usize) -> Vec<u8> {
        let Some(head) = &self.links[index].head else { return Vec::new() };
        let mut out =
            format!("HTTP/1.1 {} {}\r\n", head.status, wire::reason(head.status)).into_bytes();
        for (name, value) in &head.headers {
            if !head.is_hop_by_hop(name) && !name.eq_ignore_ascii_case("content-length") {
                wire::put_header(&mut out, name, value);
            }
        }
        out
    }

    /// Forwards a complete response, or handles it as a failed attempt.
    fn response_complete(&mut self, index: usize) {
        let link = &self.links[index];
        let Some(caller) = link.caller else { return };
        let Some(head) = &link.head else { return };
        let names = &self.setup.names;
        let not_run = head.status == 421 || head.count(names.not_run) > 0;
        let status = head.status;
        let load = head.get(names.load).and_then(parse_load);
        self.record_load(index, load);
        if self.is_event_stream(index) {
            return self.stream_complete(index, caller.index);
        }
        if not_run {
            return self.response_refuses(index, caller.index, status);
        }
        if status >= 500 {
            return self.attempt_failed(caller.index, FailureKind::Failed, Cause::Error);
        }
        if self.stream_started(caller.index) {
            let cause = Cause::InvalidResponse(Fault::NoEvents);
            return self.attempt_failed(caller.index, FailureKind::Lost, cause);
        }
        self.forward_response(index, caller.index, "answered");
    }

    /// Handles a refusal. Without an id, one on a connection that was used before may be the copy of an
    /// earlier one: then the request may run.
    fn response_refuses(&mut self, index: usize, caller: usize, status: u16) {
        let link = &mut self.links[index];
        let attempt = link.head.as_ref().and_then(|h| h.get(self.setup.names.attempt));
        if attempt.is_none() && link.served > 0 {
            let cause = Cause::InvalidResponse(Fault::Ambiguous);
            return self.attempt_failed(caller, FailureKind::Lost, cause);
        }
        let exchange = self.callers.get(caller).and_then(|c| c.exchange.as_ref());
        link.refused.extend(exchange.map(|e| e.id.clone()));
        let cause = if status == 421 { Cause::Stale } else { Cause::Full };
        self.attempt_failed(caller, FailureKind::NotRun, cause);
    }

    /// True if part of a stream has been sent to the caller.
    pub(super) fn stream_started(&self, caller: usize) -> bool {
        let exchange = self.callers.get(caller).and_then(|c| c.exchange.as_ref());
        exchange.is_some_and(|e| e.streaming)
    }

    /// Stores the load that an endpoint has reported.
    fn record_load(&mut self, index: usize, load: Option<ReportedLoad>) {
        let (Some(link), Some(load)) = (self.links.get(index), load) else { return };
        let (service, endpoint) = (link.service.clone(), link.endpoint.clone());
        let now = self.clock.now();
        if let Some(e) = self.pool(&service).balancer.get_mut(&endpoint) {
            e.report(now, load.running, load.waiting);
            if let Some(percent) = load.slowness {
                e.learned.state(now, percent);
            }
        }
    }

    fn stream_complete(&mut self, index: usize, caller: usize) {
        let Some(exchange) = self.callers.get(caller).and_then(|c| c.exchange.as_ref()) else {
            return;
        };
        let by_close = self.links[index].decoder.as_ref().is_some_and(Decoder::until_close);
        // A stream that was resumed may have nothing left to send.
        let empty = !exchange.streaming && exchange.splitter.last().is_none();
        if by_close && (empty || exchange.splitter.has_partial()) {
            return self.link_failed(index, Cause::ConnectionLost);
        }
        if exchange.splitter.has_partial() {
            return self.link_failed(index, Cause::InvalidResponse(Fault::PartialEvent));
        }
        if !exchange.streaming {
            return self.forward_response(index, caller, "answered");
        }
        self.finish_placement(caller, true);
        self.release_link(index);
        self.record_outcome(caller, "answered");
        let close = self.should_close(caller);
        self.finish_response(caller, b"0\r\n\r\n", close);
    }

    /// Forwards a complete response to the caller.
    pub(super) fn forward_response(&mut self, index: usize, caller: usize, outcome: &'static str) {
        let mut out = self.response_head(index);
        let link = &self.links[index];
        let status = link.head.as_ref().map_or(0, |h| h.status);
        if let Some(length) = forwarded_length(link) {
            wire::put_header(&mut out, "Content-Length", length.to_string().as_bytes());
        }
        let close = self.should_close(caller);
        if close {
            wire::put_header(&mut out, "Connection", b"close");
        }
        out.extend_from_slice(b"\r\n");
        let body = std::mem::take(&mut self.links[index].body);
        let now = self.clock.now();
        if let Some(exchange) = self.callers.get_mut(caller).and_then(|c| c.exchange.as_mut()) {
            exchange.first_at.get_or_insert(now);
        }
        self.observe_first(caller, now);
        self.record_first(caller, false);
        if (200..300).contains(&status) {
            self.observe_whole(caller, now);
        }
        self.finish_placement(caller, status < 500);
        self.release_link(index);
        self.record_outcome(caller, outcome);
        self.finish_whole(caller, out, body, close);
    }

    /// Learns the pace of an endpoint from a whole response.
    fn observe_whole(&mut self, caller: usize, now: u64) {
        let exchange = self.callers.get(caller).and_then(|c| c.exchange.as_ref());
        let Some((service, placement)) =
            exchange.and_then(|e| Some((e.service.clone(), e.placement.clone()?)))
        else {
            return;
        };
        self.pool(&service).balancer.record_whole(now, &placement);
    }

    /// Handles the end of a connection, whether it is in use or idle. `unsent` is true if it was
    /// never established.
    pub(super) fn link_ended(&mut self, index: usize, end: Disconnect, unsent: bool) {
        let Some(link) = self.links.get(index) else { return };
        let complete = end == Disconnect::Closed
            && !link.reset
            && !link.foreign
            && link.decoder.as_ref().is_some_and(Decoder::until_close);
        if link.caller.is_none() {
            self.drop_link(index);
        } else if complete {
            self.response_complete(index);
        } else if unsent || !link.wrote {
            self.link_failed(index, Cause::ConnectFailed);
        } else {
            self.link_failed(index, Cause::ConnectionLost);
        }
    }

    /// Handles an attempt that has failed because of its connection or a malformed response.
    pub(super) fn link_failed(&mut self, index: usize, cause: Cause) {
        let Some(caller) = self.links.get(index).and_then(|l| l.caller) else { return };
        let failure =
            if cause == Cause::ConnectFailed { FailureKind::NotSent } else { FailureKind::Lost };
        self.attempt_failed(caller.index, failure, cause);
    }
}

/// `Content-Length` of a complete response for the caller: none where the status allows none, the
/// endpoint's where there is no body by the method or the status, otherwise that of the body.
fn forwarded_length(link: &Link) -> Option<u64> {
    let head = link.head.as_ref()?;
    match head.status {
        204 => None,
        304 => wire::response_length(head).ok().flatten(),
        _ if wire::is_head(&link.method) => wire::response_length(head).ok().flatten(),
        _ => Some(link.body.len() as u64),
    }
}

/// True unless the response states that its body is something else than events.
fn has_events(head: &Head) -> bool {
    head.get("content-type")
        .is_none_or(|t| t.split(';').next().unwrap_or(t).trim().eq_ignore_ascii_case(EVENT_STREAM))
}

/// Parses a pause in seconds, which may have a fraction. Returns milliseconds; `None` if it is not a
/// number or negative.
fn parse_pause(text: &str) -> Option<u64> {
    let seconds: f64 = text.trim().parse().ok()?;
    (seconds >= 0.0).then(|| (seconds * 1_000.0).ceil() as u64)
}

/// Load that an endpoint reports of itself.
struct ReportedLoad {
    running: u32,
    waiting: u32,
    /// How long work takes there now, in percent of the usual; `None` if it isn't stated.
    slowness: Option<u32>,
}

/// Parses the numbers of running and waiting requests, slots and the slowness, separated by commas.
/// The last two may be missing.
fn parse_load(value: &str) -> Option<ReportedLoad> {
    let mut numbers = value.split(',').map(|n| n.trim().parse().ok());
    let (running, waiting) = (numbers.next()??, numbers.next()??);
    Some(ReportedLoad { running, waiting, slowness: numbers.nth(1).flatten() })
}

/// Parses the head of a response. A 2xx response without the seal header is invalid: it doesn't
/// come from the endpoint.
fn parse_head(
    link: &mut Link,
    names: &HeaderNames,
    callers: &Slab<Caller>,
    turn: &mut Turn,
) -> ParseStep {
    let head = match wire::parse_response(&link.input, HEAD_LIMIT) {
        Ok(Some(head)) => head,
        Ok(None) => return ParseStep::Incomplete,
        Err(e) => return e.into(),
    };
    link.input.drain(..head.size);
    let framing = match wire::response_framing(&head, &link.method) {
        Ok(framing) => framing,
        Err(e) => return e.into(),
    };
    if (100..200).contains(&head.status) {
        turn.skipped += 1;
        return if link.skip_response() { ParseStep::Continue } else { Fault::Skipped.into() };
    }
    let caller = link.caller.and_then(|u| callers.get(u.index));
    let id = caller.and_then(|c| c.exchange.as_ref()).map(|e| e.id.as_str());
    link.foreign = head.get(names.attempt).is_some_and(|a| Some(a) != id);
    if !link.foreign && (200..300).contains(&head.status) && head.count(names.seal) == 0 {
        return Fault::Unsealed.into();
    }
    link.decoder = Some(Decoder::new(framing));
    link.head = Some(head);
    ParseStep::Continue
}
