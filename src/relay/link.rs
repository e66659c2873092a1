//! A connection to an endpoint. It serves one request at a time.

use mio::net::TcpStream;

use super::wire::{Decoder, Head};
use crate::adapter::clock::Millis;

/// Longest wait for a connection to come about, in milliseconds.
pub(super) const CONNECT_TIMEOUT: u64 = 400;
/// Time for which a connection is kept without use, in milliseconds.
pub(super) const KEEP_ALIVE: u64 = 1_500;
/// The same for requests that may not be repeated, in milliseconds: an endpoint that closes at
/// that moment would leave open whether they ran.
pub(super) const KEEP_ALIVE_ONCE: u64 = 800;
/// Distance kept from the idle time that an endpoint states, in milliseconds.
const KEEP_ALIVE_MARGIN: u64 = 500;

/// How a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Disconnect {
    /// Closed in order.
    Closed,
    /// Reset, or failed otherwise.
    Reset,
}

/// Who uses a connection: index and serial of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct CallerRef {
    pub(super) index: usize,
    pub(super) serial: u64,
}

/// The connection.
pub(super) struct Link {
    pub(super) sock: TcpStream,
    pub(super) serial: u64,
    /// Incarnation at the other end.
    pub(super) endpoint: String,
    pub(super) service: String,
    pub(super) connected: bool,
    pub(super) opened: Millis,
    /// Bytes of the request that are not written yet.
    pub(super) out: Vec<u8>,
    /// True once a byte of the request has been handed to the system.
    pub(super) wrote: bool,
    pub(super) input: Vec<u8>,
    pub(super) caller: Option<CallerRef>,
    pub(super) method: String,
    pub(super) head: Option<Head>,
    pub(super) decoder: Option<Decoder>,
    pub(super) body: Vec<u8>,
    /// The answer in progress belongs to another request and is skipped.
    pub(super) foreign: bool,
    /// Requests served.
    pub(super) served: u32,
    /// Time since which it is unused.
    pub(super) idle_since: Millis,
    /// How long it may stay unused, in milliseconds.
    pub(super) keep_alive: u64,
}

impl Link {
    pub(super) fn new(
        sock: TcpStream,
        serial: u64,
        endpoint: &str,
        service: &str,
        now: Millis,
    ) -> Self {
        Self {
            sock,
            serial,
            endpoint: endpoint.to_owned(),
            service: service.to_owned(),
            connected: false,
            opened: now,
            out: Vec::new(),
            wrote: false,
            input: Vec::new(),
            caller: None,
            method: String::new(),
            head: None,
            decoder: None,
            body: Vec::new(),
            foreign: false,
            served: 0,
            idle_since: now,
            keep_alive: KEEP_ALIVE,
        }
    }

    /// Prepares it for a request.
    pub(super) fn begin(&mut self, caller: CallerRef, method: &str, bytes: Vec<u8>) {
        self.caller = Some(caller);
        self.method = method.to_owned();
        self.out = bytes;
        self.wrote = false;
        self.clear();
    }

    /// Forgets the answer in progress.
    pub(super) fn clear(&mut self) {
        self.head = None;
        self.decoder = None;
        self.body.clear();
        self.foreign = false;
    }

    /// Takes the idle time that the endpoint states, in whole seconds.
    pub(super) fn update_keep_alive(&mut self) {
        let Some(head) = &self.head else { return };
        let Some(stated) = head.get("keep-alive").and_then(parse_timeout) else { return };
        self.keep_alive = KEEP_ALIVE.min((stated * 1_000).saturating_sub(KEEP_ALIVE_MARGIN));
    }

    /// True when the next request may use it.
    pub(super) fn reusable(&self) -> bool {
        let close =
            self.head.as_ref().is_some_and(|h| h.has_connection_option("close") || h.http10);
        let ended = self.decoder.as_ref().is_some_and(|d| d.ended() && !d.until_close());
        ended && !close && self.out.is_empty() && self.input.is_empty()
    }
}

fn parse_timeout(value: &str) -> Option<u64> {
    let field = value.split(',').find_map(|f| f.trim().strip_prefix("timeout="))?;
    field.trim().parse().ok()
}
