//! Connections of callers: reading requests, writing answers, noticing who leaves.

use std::io::{self, Read, Write};
use std::net::Shutdown;

use mio::Interest;

use super::{Driver, caller_token};
use crate::adapter::clock::Millis;
use crate::relay::caller::{Caller, Door, Progress, READ_AHEAD};
use crate::relay::timers::Owner;
use crate::relay::wire::{self, Bad};

/// Time for which a closed connection is still read, so that its answer isn't reset away, in
/// milliseconds.
const LINGER_MS: u64 = 1_000;
/// Answer bytes that a caller may leave unread before it is dropped.
const MAX_UNREAD_BYTES: usize = 4 << 20;
/// Time after the stop in which connections without a request are kept and streams are begun, in
/// milliseconds: the platform notices after two readiness checks, a second apart.
pub(super) const STOP_DELAY_MS: u64 = 2_500;
/// Time after the stop from which the process may end, in milliseconds.
const MIN_STOP_MS: u64 = 3_500;
/// Distance kept from the end of the grace, in milliseconds.
const GRACE_MARGIN_MS: u64 = 500;

impl Driver {
    pub(super) fn accept(&mut self, door: Door) {
        loop {
            let listener = if door == Door::Front { &self.front } else { &self.ready };
            match listener.accept() {
                Ok((sock, _)) => self.add_caller(sock, door),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => {
                    tracing::warn!("relay: connection not accepted: {e}");
                    return;
                }
            }
        }
    }

    fn add_caller(&mut self, sock: mio::net::TcpStream, door: Door) {
        let now = self.clock.now();
        let serial = self.next_serial();
        if let Err(e) = sock.set_nodelay(true) {
            tracing::debug!("relay: nodelay not set: {e}");
        }
        let index = self.callers.insert(Caller::new(sock, serial, door, now));
        let both = Interest::READABLE | Interest::WRITABLE;
        let sock = &mut self.callers[index].sock;
        if let Err(e) = self.poll.registry().register(sock, caller_token(index), both) {
            tracing::warn!("relay: connection not watched: {e}");
            self.callers.remove(index);
            return;
        }
        self.timers.set(now + self.table.limits.idle_time, Owner::Caller(index, serial));
    }

    pub(super) fn caller_event(&mut self, index: usize, readable: bool, writable: bool) {
        if !self.callers.contains(index) {
            return;
        }
        if writable {
            self.flush_caller(index);
        }
        if readable && self.callers.contains(index) {
            self.read_caller(index);
        }
    }

    /// Reads what there is and goes on with it.
    fn read_caller(&mut self, index: usize) {
        let alive = self.fill_caller(index);
        if !self.callers.contains(index) {
            return;
        }
        self.advance_caller(index);
        if !alive && self.callers.contains(index) {
            self.abort_caller(index);
        }
    }

    /// Returns false once the caller has closed.
    fn fill_caller(&mut self, index: usize) -> bool {
        let caller = &mut self.callers[index];
        while caller.exchange.is_none() || caller.input.len() < READ_AHEAD {
            match caller.sock.read(&mut self.buffer) {
                Ok(0) => return false,
                Ok(_) if caller.linger.is_some() => {}
                Ok(n) => caller.input.extend_from_slice(&self.buffer[..n]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return true,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
        true
    }

    /// Takes the next request from what has been read.
    pub(super) fn advance_caller(&mut self, index: usize) {
        let now = self.clock.now();
        let limits = self.table.limits;
        let Some(caller) = self.callers.get_mut(index) else { return };
        if caller.exchange.is_some() || caller.closing || caller.linger.is_some() {
            return;
        }
        match caller.advance(now, limits.header_bytes, limits.body_bytes) {
            Progress::More => self.set_caller_timer(index),
            Progress::Continue => {
                self.write(index, b"HTTP/1.1 100 Continue\r\n\r\n");
                self.set_caller_timer(index);
            }
            Progress::Refuse(bad) => self.reject_request(index, bad),
            Progress::Whole(request) => match self.callers[index].door {
                Door::Ready => self.answer_readiness(index, &request.head),
                Door::Front => self.admit(index, request),
            },
        }
    }

    fn reject_request(&mut self, index: usize, bad: Bad) {
        tracing::info!(status = bad.status(), "relay: caller refused: {bad}");
        self.callers[index].closing = true;
        self.reply(index, bad.status(), None, &bad.to_string());
    }

    fn answer_readiness(&mut self, index: usize, head: &wire::Head) {
        let path = self.setup.names.ready_path;
        let status = match (head.target == path, self.is_ready()) {
            (false, _) => 404,
            (true, true) => 200,
            (true, false) => 503,
        };
        self.callers[index].closing |= head.connection("close") || head.old;
        self.reply(index, status, None, "");
    }

    /// Looks at the connection again when its next bound passes.
    pub(super) fn set_caller_timer(&mut self, index: usize) {
        let at = self.caller_deadline(index);
        let serial = self.callers[index].serial;
        self.timers.set(at, Owner::Caller(index, serial));
    }

    fn caller_deadline(&self, index: usize) -> Millis {
        let (caller, limits) = (&self.callers[index], self.table.limits);
        if let Some(at) = caller.linger {
            return at;
        }
        if let Some(exchange) = &caller.exchange {
            return if exchange.place.is_some() { exchange.patience } else { exchange.due };
        }
        match caller.since {
            Some(since) => since + limits.header_time,
            None => caller.idle + limits.idle_time,
        }
    }

    pub(super) fn caller_timer_fired(&mut self, index: usize, serial: u64) {
        if self.callers.get(index).is_none_or(|c| c.serial != serial) {
            return;
        }
        let now = self.clock.now();
        let at = self.caller_deadline(index);
        if at > now {
            self.timers.set(at, Owner::Caller(index, serial));
            return;
        }
        let caller = &mut self.callers[index];
        if caller.linger.is_some() {
            self.drop_caller(index);
        } else if caller.exchange.is_some() {
            self.exchange_timed_out(index);
        } else if caller.since.is_some() {
            caller.closing = true;
            self.reply(index, 408, None, "request not complete in time");
        } else {
            self.drop_caller(index);
        }
    }

    /// The caller has closed its side: nobody waits for the answer.
    fn abort_caller(&mut self, index: usize) {
        self.callers[index].ended = true;
        self.cancel(index);
        self.drop_caller(index);
    }

    /// Queues bytes for a caller and writes what fits.
    pub(super) fn write(&mut self, index: usize, bytes: &[u8]) {
        if let Some(caller) = self.callers.get_mut(index) {
            caller.out.extend_from_slice(bytes);
            self.flush_caller(index);
        }
    }

    fn flush_caller(&mut self, index: usize) {
        let now = self.clock.now();
        let Some(caller) = self.callers.get_mut(index) else { return };
        let mut sent = 0;
        let mut broken = false;
        while sent < caller.out.len() {
            match caller.sock.write(&caller.out[sent..]) {
                Ok(n) => sent += n,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => {
                    broken = true;
                    break;
                }
            }
        }
        caller.out.drain(..sent);
        caller.idle = now;
        if broken || caller.out.len() > MAX_UNREAD_BYTES {
            self.abort_caller(index);
        } else if caller.closing && caller.out.is_empty() && caller.exchange.is_none() {
            self.linger(index, now);
        }
    }

    /// Closes our side and gives the caller time to read.
    fn linger(&mut self, index: usize, now: Millis) {
        let caller = &mut self.callers[index];
        if caller.linger.is_some() {
            return;
        }
        caller.linger = Some(now + LINGER_MS);
        if caller.sock.shutdown(Shutdown::Write).is_err() {
            self.drop_caller(index);
            return;
        }
        self.set_caller_timer(index);
    }

    pub(super) fn drop_caller(&mut self, index: usize) {
        let Some(mut caller) = self.callers.try_remove(index) else { return };
        if let Err(e) = self.poll.registry().deregister(&mut caller.sock) {
            tracing::debug!("relay: connection not unwatched: {e}");
        }
    }

    /// An answer of the relay itself.
    pub(super) fn reply(&mut self, index: usize, status: u16, retry: Option<u64>, text: &str) {
        let close = self.should_close(index);
        let mut out = format!("HTTP/1.1 {status} {}\r\n", wire::reason(status)).into_bytes();
        if !text.is_empty() {
            wire::put(&mut out, "Content-Type", b"text/plain");
        }
        wire::put(&mut out, "Content-Length", text.len().to_string().as_bytes());
        if let Some(ms) = retry {
            wire::put(&mut out, "Retry-After", format!("{:.3}", ms as f64 / 1_000.0).as_bytes());
        }
        if close {
            wire::put(&mut out, "Connection", b"close");
        }
        out.extend_from_slice(b"\r\n");
        out.extend_from_slice(text.as_bytes());
        self.finish_answer(index, &out, close);
    }

    /// True when the connection is to be closed after the answer.
    pub(super) fn should_close(&self, index: usize) -> bool {
        self.stopping_since.is_some() || self.callers.get(index).is_none_or(|c| c.closing)
    }

    /// Writes the last bytes of an answer and goes on with the next request.
    pub(super) fn finish_answer(&mut self, index: usize, bytes: &[u8], close: bool) {
        let Some(caller) = self.callers.get_mut(index) else { return };
        caller.exchange = None;
        caller.closing |= close;
        self.write(index, bytes);
        if self.callers.get(index).is_some_and(|c| !c.closing) {
            self.read_caller(index);
        }
    }

    /// Closes connections without a request, once the platform sends no more.
    pub(super) fn close_idle(&mut self) {
        let quiet = |c: &Caller| c.door == Door::Front && c.quiet() && c.linger.is_none();
        let all = self.callers.iter().filter(|(_, c)| quiet(c));
        let all: Vec<usize> = all.map(|(i, _)| i).collect();
        let now = self.clock.now();
        for index in all {
            self.linger(index, now);
        }
    }

    /// True once a stopping process begins no more streams.
    pub(super) fn stop_delay_passed(&self) -> bool {
        self.stopping_since.is_some_and(|at| self.clock.now() >= at + STOP_DELAY_MS)
    }

    /// True when a stopping process has nothing left to do, or no time.
    pub(super) fn finished(&mut self) -> bool {
        let Some(since) = self.stopping_since else { return false };
        let passed = self.clock.now().saturating_sub(since);
        if passed + GRACE_MARGIN_MS >= self.setup.grace {
            return true;
        }
        let idle = |c: &Caller| c.door == Door::Ready || c.quiet() || c.linger.is_some();
        passed >= MIN_STOP_MS && self.callers.iter().all(|(_, c)| idle(c))
    }
}
