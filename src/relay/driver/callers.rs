//! Connections of callers: reads requests, writes responses, detects disconnects.

use std::io;
use std::net::Shutdown;

use mio::Interest;

use super::buffers::Shed;
use super::dispatch::{RETRY_DEFAULT_MS, RefuseReason};
use super::{Driver, FRONT, READY, caller_token};
use crate::adapter::clock::Millis;
use crate::relay::budget::Holder;
use crate::relay::caller::{Caller, ListenerKind, Progress};
use crate::relay::output::{WriteEnd, append, write_available};
use crate::relay::read::{ReadEnd, read_available};
use crate::relay::timers::Owner;
use crate::wire::{self, MessageError};

/// Maximum connections that are accepted in one turn of the event loop.
const MAX_ACCEPTS: usize = 256;
/// Time for which input is still read after the write side is shut down: closing with unread input
/// sends a reset, and the caller could lose the response.
const LINGER_MS: u64 = 1_000;
/// Maximum bytes of a stream buffered for a caller that doesn't read; beyond that it is disconnected.
const MAX_UNREAD_BYTES: usize = 1 << 20;
/// Maximum bytes that are read and discarded after the last response on a connection.
const MAX_DISCARD_BYTES: usize = 1 << 20;
/// Size from which the body of a response is written without a copy, in bytes.
const LARGE_BODY: usize = 64 << 10;

impl Driver {
    /// Accepts pending connections of a listener.
    pub(super) fn accept(&mut self, kind: ListenerKind) {
        for _ in 0..MAX_ACCEPTS {
            let listener = if kind == ListenerKind::Front { &self.front } else { &self.ready };
            match listener.accept() {
                Ok((sock, _)) => self.add_caller(sock, kind),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => {
                    tracing::warn!("relay: connection not accepted: {e}");
                    return;
                }
            }
        }
        self.unread.insert(if kind == ListenerKind::Front { FRONT } else { READY });
    }

    fn add_caller(&mut self, sock: mio::net::TcpStream, kind: ListenerKind) {
        if kind == ListenerKind::Front && !self.make_room() {
            return self.shed(usize::MAX, Shed::Connections);
        }
        let now = self.clock.now();
        let serial = self.next_serial();
        if let Err(e) = sock.set_nodelay(true) {
            tracing::debug!("relay: TCP_NODELAY not set: {e}");
        }
        let index = self.callers.insert(Caller::new(sock, serial, kind, now));
        let both = Interest::READABLE | Interest::WRITABLE;
        let sock = &mut self.callers[index].sock;
        if let Err(e) = self.poll.registry().register(sock, caller_token(index), both) {
            tracing::warn!("relay: connection not registered with the poller: {e}");
            self.callers.remove(index);
            return;
        }
        self.set_caller_timer(index);
    }

    /// Handles events of a connection. `closed` is true once the caller has closed it.
    pub(super) fn caller_event(
        &mut self,
        index: usize,
        readable: bool,
        writable: bool,
        closed: bool,
    ) {
        if !self.callers.contains(index) {
            return;
        }
        if writable {
            self.flush_caller(index);
        }
        if readable && self.callers.contains(index) {
            self.read_caller(index);
        }
        // With more unread than is read ahead, reading doesn't find the end of the connection.
        let waits = |c: &Caller| c.unread && c.exchange.is_some();
        if closed && self.callers.get(index).is_some_and(waits) {
            self.abort_caller(index);
        }
    }

    /// Reads the available bytes and handles the requests in them.
    fn read_caller(&mut self, index: usize) {
        let alive = self.fill_caller(index);
        if !self.callers.contains(index) {
            return;
        }
        self.advance_caller(index);
        if !alive && self.callers.contains(index) {
            return self.abort_caller(index);
        }
        let header_bytes = self.table.limits.header_bytes;
        if let Some(caller) = self.callers.get_mut(index) {
            caller.trim();
            if caller.unread && caller.read_budget(header_bytes) > 0 {
                self.unread.insert(caller_token(index));
            }
        }
        self.account_caller(index);
    }

    /// Reads available bytes into the input buffer, as far as there is room for them. Returns false if
    /// the connection is closed or broken.
    fn fill_caller(&mut self, index: usize) -> bool {
        let header_bytes = self.table.limits.header_bytes;
        let held = self.callers[index].buffered();
        let discards = self.callers[index].discards_input();
        let read = self.turn.caller_bytes;
        if !discards && !self.may_read(held, read) {
            self.callers[index].unread = true;
            self.unread.insert(caller_token(index));
            return true;
        }
        let caller = &mut self.callers[index];
        let budget = caller.read_budget(header_bytes);
        let Caller { sock, input, .. } = caller;
        let mut bytes = 0;
        let end = read_available(sock, &mut self.buffer, budget, |piece| {
            bytes += piece.len();
            if !discards {
                append(input, piece, usize::MAX);
            }
        });
        self.turn.caller_bytes += bytes;
        if bytes > 0 {
            caller.last_moved = self.clock.now();
        }
        caller.unread = end == ReadEnd::Budget;
        if discards {
            caller.discarded += bytes;
            if caller.discarded > MAX_DISCARD_BYTES {
                self.shed(index, Shed::Excess);
                return false;
            }
        }
        matches!(end, ReadEnd::Drained | ReadEnd::Budget)
    }

    /// Handles the next request in the input buffer.
    pub(super) fn advance_caller(&mut self, index: usize) {
        let now = self.clock.now();
        let limits = self.table.limits;
        let Some(caller) = self.callers.get_mut(index) else { return };
        if !caller.accepts_request() {
            return;
        }
        match caller.advance(now, limits.header_bytes, limits.body_bytes) {
            Progress::More => self.set_caller_timer(index),
            Progress::Continue => {
                self.write(index, b"HTTP/1.1 100 Continue\r\n\r\n");
                self.set_caller_timer(index);
            }
            Progress::Reject(error) => self.reject_request(index, error),
            Progress::Complete(request) => match self.callers[index].listener {
                ListenerKind::Ready => self.respond_readiness(index, &request.head),
                ListenerKind::Front => self.admit(index, request),
            },
        }
    }

    /// Answers a malformed or too large request, and closes the connection.
    fn reject_request(&mut self, index: usize, error: MessageError) {
        self.shed(index, Shed::Rejected);
        self.count_outcome("", error.reason());
        self.callers[index].discard_request();
        self.respond(index, error.status(), None, &error.to_string());
    }

    fn respond_readiness(&mut self, index: usize, head: &wire::Head) {
        let path = self.setup.names.ready_path;
        let status = match (head.target == path, self.is_ready()) {
            (false, _) => 404,
            (true, true) => 200,
            (true, false) => 503,
        };
        self.callers[index].closing |= head.has_connection_option("close") || head.http10;
        self.respond(index, status, None, "");
    }

    /// Sets a timer for the next deadline of the connection, if it is still there: a write before may
    /// have found that the caller has left.
    pub(super) fn set_caller_timer(&mut self, index: usize) {
        let Some(caller) = self.callers.get(index) else { return };
        let at = self.caller_deadline(caller);
        self.arm_caller(index, at);
    }

    /// Sets the timer of a connection, unless it is set for an earlier time: it is set again when it
    /// fires early. A connection has one timer, however many requests it carries.
    pub(super) fn arm_caller(&mut self, index: usize, at: Millis) {
        let Some(caller) = self.callers.get_mut(index) else { return };
        let owner = Owner::Caller(index, caller.serial);
        match caller.timer {
            Some(earlier) if earlier <= at => return,
            Some(later) => self.timers.remove(later, owner),
            None => {}
        }
        caller.timer = Some(at);
        self.timers.set(at, owner);
    }

    /// Time of the next timeout of a connection: linger, queue wait, request, read or idle.
    fn caller_deadline(&self, caller: &Caller) -> Millis {
        let limits = self.table.limits;
        if let Some(at) = caller.linger_until {
            return at;
        }
        if let Some(exchange) = &caller.exchange {
            return if exchange.queue_key.is_some() {
                exchange.queue_deadline
            } else {
                exchange.deadline
            };
        }
        match caller.request_start {
            Some(since) if !caller.closing => since + limits.read_timeout,
            _ => caller.last_active + limits.idle_timeout,
        }
    }

    /// Handles a timer of a connection; sets it again if the deadline has moved.
    pub(super) fn caller_timer_fired(&mut self, index: usize, serial: u64) {
        let Some(caller) = self.callers.get_mut(index).filter(|c| c.serial == serial) else {
            return;
        };
        caller.timer = None;
        let now = self.clock.now();
        let at = self.caller_deadline(&self.callers[index]);
        if at > now {
            return self.arm_caller(index, at);
        }
        let caller = &mut self.callers[index];
        if caller.linger_until.is_some() {
            self.drop_caller(index);
        } else if caller.exchange.is_some() {
            self.exchange_timed_out(index);
        } else if caller.closing || (caller.request_start.is_none() && !caller.out.is_empty()) {
            self.shed(index, Shed::Unread);
            self.abort_caller(index);
        } else if caller.request_start.is_some() {
            self.shed(index, Shed::Slow);
            self.count_outcome("", "request not complete in time");
            self.callers[index].discard_request();
            self.respond(index, 408, None, "request not complete in time");
        } else {
            self.drop_idle(index, serial);
        }
    }

    /// Drops an idle connection, unless a request has arrived on it that no turn has read yet.
    fn drop_idle(&mut self, index: usize, serial: u64) {
        self.read_caller(index);
        if self.callers.get(index).is_some_and(|c| c.serial == serial && c.is_idle()) {
            return self.drop_caller(index);
        }
        self.set_caller_timer(index);
    }

    /// Cancels the request of a caller that has disconnected, and drops the connection.
    pub(super) fn abort_caller(&mut self, index: usize) {
        self.callers[index].eof = true;
        self.cancel(index);
        self.drop_caller(index);
    }

    /// Writes as much of the bytes as the socket takes, and buffers the rest.
    pub(super) fn write(&mut self, index: usize, bytes: &[u8]) {
        self.write_parts(index, bytes, Vec::new());
    }

    /// Writes `bytes` and then `body`, which is kept without a copy if it is large.
    fn write_parts(&mut self, index: usize, bytes: &[u8], body: Vec<u8>) {
        let Some(caller) = self.callers.get_mut(index) else { return };
        let Caller { sock, out, .. } = caller;
        let (mut sent, mut end) = (0, WriteEnd::Usable);
        if out.is_empty() {
            (sent, end) = write_available(sock, bytes);
            out.extend(&bytes[sent..]);
        } else {
            out.extend(bytes);
        }
        if !body.is_empty() {
            let mut n = 0;
            if end == WriteEnd::Usable && out.is_empty() {
                (n, end) = write_available(sock, &body);
            }
            sent += n;
            out.push(body, n);
        }
        self.after_write(index, sent, end == WriteEnd::Usable);
    }

    fn flush_caller(&mut self, index: usize) {
        let Some(caller) = self.callers.get_mut(index) else { return };
        if caller.out.is_empty() {
            return;
        }
        let (sent, end) = caller.out.write_to(&mut caller.sock);
        self.after_write(index, sent, end == WriteEnd::Usable);
    }

    /// Handles what a write changes: the connection is broken, its caller doesn't read, or the last
    /// response has been sent.
    fn after_write(&mut self, index: usize, sent: usize, usable: bool) {
        let now = self.clock.now();
        let caller = &mut self.callers[index];
        if sent > 0 {
            (caller.last_active, caller.last_moved) = (now, now);
        }
        let streaming = caller.exchange.is_some();
        if !usable {
            return self.abort_caller(index);
        }
        if streaming && caller.out.len() > MAX_UNREAD_BYTES {
            self.shed(index, Shed::Unread);
            return self.abort_caller(index);
        }
        if !streaming && caller.out.is_empty() {
            if caller.closing {
                return self.linger(index, now);
            }
            if caller.unread || !caller.input.is_empty() {
                self.unread.insert(caller_token(index));
            }
        }
        self.account_caller(index);
    }

    /// Shuts down the write side and gives the caller time to read the response.
    pub(super) fn linger(&mut self, index: usize, now: Millis) {
        let caller = &mut self.callers[index];
        if caller.linger_until.is_some() {
            return;
        }
        caller.linger_until = Some(now + LINGER_MS);
        if caller.unread {
            self.unread.insert(caller_token(index));
        }
        if caller.sock.shutdown(Shutdown::Write).is_err() {
            self.drop_caller(index);
            return;
        }
        self.set_caller_timer(index);
    }

    pub(super) fn drop_caller(&mut self, index: usize) {
        let Some(mut caller) = self.callers.try_remove(index) else { return };
        if let Some(at) = caller.timer {
            self.timers.remove(at, Owner::Caller(index, caller.serial));
        }
        self.account.set(&mut caller.held, Holder::Caller(index), 0, false, 0);
        if let Err(e) = self.poll.registry().deregister(&mut caller.sock) {
            tracing::debug!("relay: connection not deregistered from the poller: {e}");
        }
    }

    /// Sends a response of the relay itself; `retry` is the `Retry-After` in milliseconds.
    pub(super) fn respond(&mut self, index: usize, status: u16, retry: Option<u64>, text: &str) {
        let close = self.should_close(index);
        let mut out = format!("HTTP/1.1 {status} {}\r\n", wire::reason(status)).into_bytes();
        if !text.is_empty() {
            wire::put_header(&mut out, "Content-Type", b"text/plain");
        }
        wire::put_header(&mut out, "Content-Length", text.len().to_string().as_bytes());
        if let Some(ms) = retry {
            wire::put_header(
                &mut out,
                "Retry-After",
                format!("{:.3}", ms as f64 / 1_000.0).as_bytes(),
            );
        }
        if close {
            wire::put_header(&mut out, "Connection", b"close");
        }
        out.extend_from_slice(b"\r\n");
        out.extend_from_slice(text.as_bytes());
        self.finish_response(index, &out, close);
    }

    /// True if the connection is closed after the current response.
    pub(super) fn should_close(&self, index: usize) -> bool {
        self.shutdown.is_some() || self.callers.get(index).is_none_or(|c| c.closing)
    }

    /// Writes the last bytes of a response. The next request, if it has arrived, is handled in the next
    /// turn, so that a caller with many requests doesn't hold up the others.
    pub(super) fn finish_response(&mut self, index: usize, bytes: &[u8], close: bool) {
        self.finish_with(index, bytes, Vec::new(), close);
    }

    /// Writes a whole response: its head and its body.
    pub(super) fn finish_whole(
        &mut self,
        index: usize,
        mut head: Vec<u8>,
        body: Vec<u8>,
        close: bool,
    ) {
        if body.len() < LARGE_BODY {
            head.extend_from_slice(&body);
            return self.finish_with(index, &head, Vec::new(), close);
        }
        self.finish_with(index, &head, body, close);
    }

    fn finish_with(&mut self, index: usize, bytes: &[u8], body: Vec<u8>, close: bool) {
        let Some(caller) = self.callers.get_mut(index) else { return };
        caller.exchange = None;
        caller.closing |= close;
        caller.served = true;
        let serial = caller.serial;
        self.write_parts(index, bytes, body);
        if self.callers.get(index).is_some_and(|c| c.serial == serial) {
            self.set_caller_timer(index);
        }
    }

    /// Refuses a request that has not been received whole, and closes the connection.
    pub(super) fn refuse_unread(&mut self, index: usize, reason: RefuseReason) {
        self.count_outcome("", reason.message());
        self.callers[index].discard_request();
        self.respond(index, reason.status(), Some(RETRY_DEFAULT_MS), reason.message());
    }
}
