//! A connection of a caller.

use mio::net::TcpStream;

use super::exchange::Exchange;
use super::wire::{self, Bad, Decoder, Head, Step};
use crate::adapter::clock::Millis;

/// Bytes read ahead while a request is in progress.
pub(super) const READ_AHEAD: usize = 64 << 10;

closed! {
    /// The address that a connection came in by.
    pub enum Door {
        /// Requests of callers.
        Front,
        /// Readiness checks of the platform.
        Ready,
    }
}

/// A whole request.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) head: Head,
    pub(super) body: Vec<u8>,
    /// Time of its first byte.
    pub(super) arrived: Millis,
}

struct Reading {
    head: Head,
    decoder: Decoder,
    body: Vec<u8>,
}

/// What to do after bytes came in.
pub(super) enum Progress {
    /// Wait for more.
    More,
    /// Tell the caller to go on with the body, then wait.
    Continue,
    /// A request is whole.
    Whole(Request),
    /// Refuse and close.
    Refuse(Bad),
}

/// The connection.
pub(super) struct Caller {
    pub(super) sock: TcpStream,
    pub(super) serial: u64,
    pub(super) door: Door,
    pub(super) input: Vec<u8>,
    pub(super) out: Vec<u8>,
    pub(super) exchange: Option<Box<Exchange>>,
    /// Time of the last byte of a message in either direction.
    pub(super) idle: Millis,
    /// Time of the first byte of a request that is not whole yet.
    pub(super) since: Option<Millis>,
    /// Close once everything is written.
    pub(super) closing: bool,
    /// Written and shut down; closed at this time unless the caller closes first.
    pub(super) linger: Option<Millis>,
    /// The caller has closed its side.
    pub(super) ended: bool,
    reading: Option<Reading>,
}

impl Caller {
    pub(super) fn new(sock: TcpStream, serial: u64, door: Door, now: Millis) -> Self {
        Self {
            sock,
            serial,
            door,
            input: Vec::new(),
            out: Vec::new(),
            exchange: None,
            idle: now,
            since: None,
            closing: false,
            linger: None,
            ended: false,
            reading: None,
        }
    }

    /// True when nothing is in progress in either direction.
    pub(super) fn quiet(&self) -> bool {
        self.exchange.is_none() && self.since.is_none() && self.out.is_empty()
    }

    /// Reads on in the request that comes in.
    pub(super) fn advance(
        &mut self,
        now: Millis,
        header_bytes: usize,
        body_bytes: usize,
    ) -> Progress {
        if self.input.is_empty() && self.reading.is_none() {
            self.since = None;
            return Progress::More;
        }
        let arrived = *self.since.get_or_insert(now);
        if self.reading.is_none() {
            match self.head(header_bytes, body_bytes) {
                Ok(false) => return Progress::More,
                Ok(true) => {}
                Err(bad) => return Progress::Refuse(bad),
            }
        }
        match self.body(body_bytes) {
            Ok(true) => self.whole(arrived),
            Ok(false) => self.wants_continue(),
            Err(bad) => Progress::Refuse(bad),
        }
    }

    fn head(&mut self, header_bytes: usize, body_bytes: usize) -> Result<bool, Bad> {
        let Some(head) = wire::request(&self.input, header_bytes)? else { return Ok(false) };
        let framing = wire::request_framing(&head)?;
        if matches!(framing, wire::Framing::Length(n) if n > body_bytes as u64) {
            return Err(Bad::BodyTooLarge);
        }
        self.input.drain(..head.size);
        self.reading = Some(Reading { head, decoder: Decoder::new(framing), body: Vec::new() });
        Ok(true)
    }

    /// Returns true when the body is whole.
    fn body(&mut self, most: usize) -> Result<bool, Bad> {
        let Some(reading) = &mut self.reading else { return Ok(false) };
        loop {
            match reading.decoder.step(&self.input)? {
                Step::Data(range) => reading.body.extend_from_slice(&self.input[range]),
                Step::More => break,
                Step::End => break,
            }
            if reading.body.len() > most {
                return Err(Bad::BodyTooLarge);
            }
        }
        let used = reading.decoder.used();
        self.input.drain(..used);
        reading.decoder.shift(used);
        Ok(reading.decoder.ended())
    }

    fn whole(&mut self, arrived: Millis) -> Progress {
        let Some(Reading { head, body, .. }) = self.reading.take() else { return Progress::More };
        self.since = None;
        Progress::Whole(Request { head, body, arrived })
    }

    fn wants_continue(&mut self) -> Progress {
        let Some(reading) = &mut self.reading else { return Progress::More };
        let asks =
            reading.head.get("expect").is_some_and(|v| v.eq_ignore_ascii_case("100-continue"));
        if !asks {
            return Progress::More;
        }
        reading.head.headers.retain(|(n, _)| !n.eq_ignore_ascii_case("expect"));
        Progress::Continue
    }
}
