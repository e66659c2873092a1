//! Answers of endpoints on their way to callers.

use slab::Slab;

use super::Driver;
use super::outcome::Cause;
use crate::policy::attempt::FailureKind;
use crate::relay::caller::Caller;
use crate::relay::link::{Disconnect, Link};
use crate::relay::names::HeaderNames;
use crate::relay::sse::Events;
use crate::relay::stats::RouteLabels;
use crate::relay::table::RouteKind;
use crate::relay::wire::{self, Decoder, Step};

/// Largest head of an answer, in bytes.
const HEAD_LIMIT: usize = 64 << 10;
/// Largest body that is not a stream, in bytes.
const BODY_LIMIT: usize = 16 << 20;

/// What the next bytes of a connection came to.
enum Turn {
    /// Wait for more.
    More,
    /// Go on.
    Again,
    /// The answer is whole.
    Whole,
    /// The bytes make no sense.
    Bad,
}

impl Driver {
    /// Goes on with the answer on a connection.
    pub(super) fn advance_link(&mut self, index: usize) {
        loop {
            let Some(link) = self.links.get_mut(index) else { return };
            let turn = if link.head.is_none() {
                take_head(link, &self.setup.names, &self.callers)
            } else {
                self.take_body(index)
            };
            match turn {
                Turn::More => return,
                Turn::Again => {}
                Turn::Bad => return self.link_failed(index, Cause::Garbled),
                Turn::Whole if self.links[index].foreign => self.skip_foreign(index),
                Turn::Whole => return self.answer_whole(index),
            }
        }
    }

    fn take_body(&mut self, index: usize) -> Turn {
        let link = &mut self.links[index];
        let Some(decoder) = &mut link.decoder else { return Turn::Bad };
        let step = decoder.step(&link.input);
        let data = match step {
            Err(_) => return Turn::Bad,
            Ok(Step::End) => {
                let used = decoder.consumed();
                link.input.drain(..used);
                decoder.shift(used);
                return Turn::Whole;
            }
            Ok(Step::More) => {
                let used = decoder.consumed();
                link.input.drain(..used);
                decoder.shift(used);
                return Turn::More;
            }
            Ok(Step::Data(range)) => link.input[range].to_vec(),
        };
        if link.foreign {
            return Turn::Again;
        }
        if self.is_stream(index) {
            return self.pass_events(index, &data);
        }
        let link = &mut self.links[index];
        link.body.extend_from_slice(&data);
        if link.body.len() > BODY_LIMIT { Turn::Bad } else { Turn::Again }
    }

    fn skip_foreign(&mut self, index: usize) {
        let link = &mut self.links[index];
        tracing::info!(endpoint = link.endpoint, "relay: answer to another request skipped");
        link.clear();
    }

    /// True when the answer in progress is a stream of events to pass on as they come.
    fn is_stream(&self, index: usize) -> bool {
        let link = &self.links[index];
        let ok = link.head.as_ref().is_some_and(|h| h.status == 200);
        let caller = link.caller.and_then(|u| self.callers.get(u.index));
        let kind = caller.and_then(|c| c.exchange.as_ref()).map(|e| e.kind());
        ok && kind.is_some_and(RouteKind::is_stream)
    }

    fn pass_events(&mut self, index: usize, data: &[u8]) -> Turn {
        let now = self.clock.now();
        let Some(user) = self.links[index].caller else { return Turn::Bad };
        let Some(exchange) = self.callers.get_mut(user.index).and_then(|c| c.exchange.as_mut())
        else {
            return Turn::Bad;
        };
        let events = match exchange.splitter.feed(data) {
            Events::Pass(events) => events,
            Events::Broken => return Turn::Bad,
        };
        if events.is_empty() {
            return Turn::Again;
        }
        exchange.first_at.get_or_insert(now);
        let mut out = Vec::new();
        let begins = !exchange.streaming;
        exchange.streaming = true;
        self.prompt_read(user.index);
        if begins {
            self.count_first(user.index, now);
            out = self.stream_head(index, user.index);
        }
        wire::put_chunk(&mut out, &events);
        self.write(user.index, &out);
        if self.links.contains(index) { Turn::Again } else { Turn::More }
    }

    /// The first event shows that the prompt has been read.
    fn prompt_read(&mut self, caller: usize) {
        let Some(exchange) = self.callers[caller].exchange.as_mut() else { return };
        let service = exchange.service.clone();
        let Some(mut placed) = exchange.placement.take() else { return };
        if placed.load.prefill > 0 {
            self.pool(&service).place.finish_prefill(&mut placed);
            self.tell_soon();
        }
        if let Some(exchange) = self.callers[caller].exchange.as_mut() {
            exchange.placement = Some(placed);
        }
    }

    fn count_first(&self, caller: usize, now: u64) {
        if let Some(exchange) = &self.callers[caller].exchange {
            let label = RouteLabels { route: exchange.route.name.clone() };
            let took = now.saturating_sub(exchange.arrived) as f64 / 1_000.0;
            self.stats.first_byte.get_or_create(&label).observe(took);
        }
    }

    fn stream_head(&self, index: usize, caller: usize) -> Vec<u8> {
        let mut out = self.answer_head(index);
        wire::put_header(&mut out, "Transfer-Encoding", b"chunked");
        if self.closes(caller) {
            wire::put_header(&mut out, "Connection", b"close");
        }
        out.extend_from_slice(b"\r\n");
        out
    }

    /// Status line and headers of the endpoint, without framing.
    fn answer_head(&self, index: usize) -> Vec<u8> {
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

    fn answer_whole(&mut self, index: usize) {
        let link = &self.links[index];
        let Some(user) = link.caller else { return };
        let Some(head) = &link.head else { return };
        let names = &self.setup.names;
        let not_run = head.status == 421 || head.count(names.not_run) > 0;
        let status = head.status;
        let load = head.get(names.load).and_then(load);
        self.report(index, load);
        if self.is_stream(index) {
            return self.stream_whole(index, user.index);
        }
        if not_run {
            let cause = if status == 421 { Cause::Stale } else { Cause::Full };
            return self.attempt_failed(user.index, FailureKind::NotRun, cause);
        }
        if status >= 500 {
            return self.attempt_failed(user.index, FailureKind::Failed, Cause::Error);
        }
        if self.is_streaming(user.index) {
            return self.attempt_failed(user.index, FailureKind::Lost, Cause::Garbled);
        }
        self.deliver(index, user.index, "answered");
    }

    fn is_streaming(&self, caller: usize) -> bool {
        let exchange = self.callers.get(caller).and_then(|c| c.exchange.as_ref());
        exchange.is_some_and(|e| e.streaming)
    }

    fn report(&mut self, index: usize, load: Option<(u32, u32)>) {
        let (Some(link), Some((running, waiting))) = (self.links.get(index), load) else { return };
        let (service, endpoint) = (link.service.clone(), link.endpoint.clone());
        if let Some(e) = self.pool(&service).place.get_mut(&endpoint) {
            e.report(running, waiting);
        }
    }

    fn stream_whole(&mut self, index: usize, caller: usize) {
        let Some(exchange) = self.callers.get(caller).and_then(|c| c.exchange.as_ref()) else {
            return;
        };
        if exchange.splitter.has_partial() {
            return self.link_failed(index, Cause::Garbled);
        }
        if !exchange.streaming {
            return self.deliver(index, caller, "answered");
        }
        self.settle(caller, true);
        self.release_link(index);
        self.done(caller, "answered");
        let close = self.closes(caller);
        self.end_answer(caller, b"0\r\n\r\n", close);
    }

    /// Passes on a whole answer.
    pub(super) fn deliver(&mut self, index: usize, caller: usize, outcome: &'static str) {
        let mut out = self.answer_head(index);
        let link = &self.links[index];
        let status = link.head.as_ref().map_or(0, |h| h.status);
        wire::put_header(&mut out, "Content-Length", link.body.len().to_string().as_bytes());
        let close = self.closes(caller);
        if close {
            wire::put_header(&mut out, "Connection", b"close");
        }
        out.extend_from_slice(b"\r\n");
        out.extend_from_slice(&link.body);
        let now = self.clock.now();
        if let Some(exchange) = self.callers.get_mut(caller).and_then(|c| c.exchange.as_mut()) {
            exchange.first_at.get_or_insert(now);
        }
        self.count_first(caller, now);
        self.settle(caller, status < 500);
        self.release_link(index);
        self.done(caller, outcome);
        self.end_answer(caller, &out, close);
    }

    /// A connection has ended, in use or not. `unsent` tells that it never came about.
    pub(super) fn link_ended(&mut self, index: usize, end: Disconnect, unsent: bool) {
        let Some(link) = self.links.get(index) else { return };
        let whole = end == Disconnect::Closed
            && !link.foreign
            && link.decoder.as_ref().is_some_and(Decoder::until_close);
        if link.caller.is_none() {
            self.drop_link(index);
        } else if whole {
            self.answer_whole(index);
        } else if unsent || !link.wrote {
            self.link_failed(index, Cause::Unreached);
        } else {
            self.link_failed(index, Cause::Broken);
        }
    }

    /// The attempt on a connection has failed with the connection.
    pub(super) fn link_failed(&mut self, index: usize, cause: Cause) {
        let Some(user) = self.links.get(index).and_then(|l| l.caller) else { return };
        let failure =
            if cause == Cause::Unreached { FailureKind::NotSent } else { FailureKind::Lost };
        self.attempt_failed(user.index, failure, cause);
    }
}

fn load(value: &str) -> Option<(u32, u32)> {
    let mut numbers = value.split(',').map(|n| n.trim().parse().ok());
    Some((numbers.next()??, numbers.next()??))
}

/// Takes the head of an answer. A success without the endpoint's seal is not its answer.
fn take_head(link: &mut Link, names: &HeaderNames, callers: &Slab<Caller>) -> Turn {
    let head = match wire::parse_response(&link.input, HEAD_LIMIT) {
        Ok(Some(head)) => head,
        Ok(None) => return Turn::More,
        Err(_) => return Turn::Bad,
    };
    link.input.drain(..head.size);
    if (100..200).contains(&head.status) {
        return if head.status == 101 { Turn::Bad } else { Turn::Again };
    }
    let Ok(framing) = wire::response_framing(&head, &link.method) else { return Turn::Bad };
    let user = link.caller.and_then(|u| callers.get(u.index));
    let id = user.and_then(|c| c.exchange.as_ref()).map(|e| e.id.as_str());
    link.foreign = head.get(names.attempt).is_some_and(|a| Some(a) != id);
    if !link.foreign && (200..300).contains(&head.status) && head.count(names.seal) == 0 {
        return Turn::Bad;
    }
    link.decoder = Some(Decoder::new(framing));
    link.head = Some(head);
    Turn::Again
}
