//! A caller's connection: reads requests from it and holds the bytes to be written to it.

use mio::net::TcpStream;

use super::budget::Held;
use super::exchange::Exchange;
use super::output::{Unsent, append, trim};
use super::read::READ_BUDGET;
use crate::adapter::clock::Millis;
use crate::wire::{self, Decoder, Head, MessageError, Step};

/// Maximum bytes read ahead while a request is in flight or its response has not been taken.
const READ_AHEAD: usize = 4 << 10;

closed! {
    /// Listener that accepted a connection.
    pub enum ListenerKind {
        /// Requests of callers.
        Front,
        /// The platform's readiness checks.
        Ready,
    }
}

/// A complete request.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) head: Head,
    pub(super) body: Vec<u8>,
    /// Time at which its first byte was received.
    pub(super) arrived: Millis,
}

/// A request whose head has been read and whose body is incomplete.
struct PartialRequest {
    head: Head,
    decoder: Decoder,
    body: Vec<u8>,
    /// Announced size of the body, in bytes.
    size: usize,
}

/// What to do after bytes were received.
pub(super) enum Progress {
    /// Wait for more bytes.
    More,
    /// Send `100 Continue`, then wait for the body.
    Continue,
    /// A request is complete.
    Complete(Request),
    /// Answer with an error and close the connection.
    Reject(MessageError),
}

/// A caller's connection.
pub(super) struct Caller {
    pub(super) sock: TcpStream,
    pub(super) serial: u64,
    pub(super) listener: ListenerKind,
    pub(super) input: Vec<u8>,
    pub(super) out: Unsent,
    pub(super) exchange: Option<Box<Exchange>>,
    /// What it holds according to the account of all connections.
    pub(super) held: Held,
    /// The socket may have more to read, which the poller doesn't report again.
    pub(super) unread: bool,
    /// Bytes discarded since no further request is read.
    pub(super) discarded: usize,
    /// A request has been answered on it.
    pub(super) served: bool,
    /// Time of the last write or, before it, of the accept: the idle timeout starts here.
    pub(super) last_active: Millis,
    /// Time at which bytes were last read or written.
    pub(super) last_moved: Millis,
    /// Time of its timer, if one is set.
    pub(super) timer: Option<Millis>,
    /// Time at which the first byte of a request was received that is still incomplete.
    pub(super) request_start: Option<Millis>,
    /// Close the connection once `out` has been written.
    pub(super) closing: bool,
    /// Time at which the connection is closed unless the caller closes it first; set once its write
    /// side has been shut down.
    pub(super) linger_until: Option<Millis>,
    /// The caller has closed the connection.
    pub(super) eof: bool,
    partial: Option<PartialRequest>,
}

impl Caller {
    pub(super) fn new(sock: TcpStream, serial: u64, listener: ListenerKind, now: Millis) -> Self {
        Self {
            sock,
            serial,
            listener,
            input: Vec::new(),
            out: Unsent::default(),
            exchange: None,
            held: Held::default(),
            unread: false,
            discarded: 0,
            served: false,
            last_active: now,
            last_moved: now,
            timer: None,
            request_start: None,
            closing: false,
            linger_until: None,
            eof: false,
            partial: None,
        }
    }

    /// True when there is no request, not even a partial one, and nothing left to write.
    pub(super) fn is_idle(&self) -> bool {
        let reading = self.request_start.is_some() || !self.input.is_empty();
        self.exchange.is_none() && !reading && self.out.is_empty()
    }

    /// Memory of its buffers, in bytes.
    pub(super) fn buffered(&self) -> usize {
        let partial = self.partial.as_ref().map_or(0, |p| p.body.capacity() + p.head.memory());
        let exchange = self.exchange.as_ref().map_or(0, |e| e.buffered());
        self.input.capacity() + self.out.capacity() + partial + exchange
    }

    /// True when it holds a complete response that the caller has yet to take.
    pub(super) fn has_complete_response(&self) -> bool {
        self.exchange.is_none() && !self.out.is_empty()
    }

    /// Frees the unused memory of its input.
    pub(super) fn trim(&mut self) {
        trim(&mut self.input);
    }

    /// Gives up the request that is being received.
    pub(super) fn discard_request(&mut self) {
        self.partial = None;
        self.input = Vec::new();
        self.request_start = None;
        self.closing = true;
    }

    /// Maximum bytes to read now. Requests that follow one another are read as far as one head, and
    /// less while an earlier one has no response or its response isn't taken.
    pub(super) fn read_budget(&self, header_bytes: usize) -> usize {
        if self.partial.is_some() || self.discards_input() {
            return READ_BUDGET;
        }
        let waits = self.exchange.is_some() || !self.out.is_empty();
        let most = if waits { READ_AHEAD } else { header_bytes + READ_AHEAD };
        most.saturating_sub(self.input.len())
    }

    /// True when the next request may be handled: the last response has been taken.
    pub(super) fn accepts_request(&self) -> bool {
        let waits = self.partial.is_none() && !self.out.is_empty();
        self.exchange.is_none() && !self.closing && self.linger_until.is_none() && !waits
    }

    /// True when no further request is read: the connection closes after the present response.
    pub(super) fn discards_input(&self) -> bool {
        self.linger_until.is_some() || (self.closing && self.exchange.is_none())
    }

    /// Parses the bytes received so far.
    pub(super) fn advance(
        &mut self,
        now: Millis,
        header_bytes: usize,
        body_bytes: usize,
    ) -> Progress {
        if self.input.is_empty() && self.partial.is_none() {
            self.request_start = None;
            return Progress::More;
        }
        let arrived = *self.request_start.get_or_insert(now);
        if self.partial.is_none() {
            match self.read_head(header_bytes, body_bytes) {
                Ok(false) => return Progress::More,
                Ok(true) => {}
                Err(error) => return Progress::Reject(error),
            }
        }
        match self.read_body(body_bytes) {
            Ok(true) => self.take_request(arrived),
            Ok(false) => self.handle_expect(),
            Err(error) => Progress::Reject(error),
        }
    }

    fn read_head(&mut self, header_bytes: usize, body_bytes: usize) -> Result<bool, MessageError> {
        let Some(head) = wire::parse_request(&self.input, header_bytes)? else { return Ok(false) };
        let framing = wire::request_framing(&head)?;
        if matches!(framing, wire::Framing::Length(n) if n > body_bytes as u64) {
            return Err(MessageError::BodyTooLarge);
        }
        self.input.drain(..head.size);
        let size = if let wire::Framing::Length(n) = framing { n as usize } else { usize::MAX };
        let decoder = Decoder::new(framing);
        self.partial = Some(PartialRequest { head, decoder, body: Vec::new(), size });
        Ok(true)
    }

    /// Decodes body bytes of up to `limit` in total. Returns true when the body is complete.
    fn read_body(&mut self, limit: usize) -> Result<bool, MessageError> {
        let Some(partial) = &mut self.partial else { return Ok(false) };
        loop {
            match partial.decoder.step(&self.input)? {
                Step::Data(range) => {
                    append(&mut partial.body, &self.input[range], partial.size.min(limit));
                }
                Step::More => break,
                Step::End => break,
            }
            if partial.body.len() > limit {
                return Err(MessageError::BodyTooLarge);
            }
        }
        let used = partial.decoder.consumed();
        self.input.drain(..used);
        partial.decoder.shift(used);
        Ok(partial.decoder.ended())
    }

    fn take_request(&mut self, arrived: Millis) -> Progress {
        let Some(PartialRequest { head, body, .. }) = self.partial.take() else {
            return Progress::More;
        };
        self.request_start = None;
        Progress::Complete(Request { head, body, arrived })
    }

    fn handle_expect(&mut self) -> Progress {
        let Some(partial) = &mut self.partial else { return Progress::More };
        let expects =
            partial.head.get("expect").is_some_and(|v| v.eq_ignore_ascii_case("100-continue"));
        if !expects {
            return Progress::More;
        }
        partial.head.headers.retain(|(n, _)| !n.eq_ignore_ascii_case("expect"));
        Progress::Continue
    }
}
