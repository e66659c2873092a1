//! A connection to an endpoint, which carries one request at a time.

use indexmap::IndexSet;
use mio::net::TcpStream;

use super::budget::Held;
use super::output::{Unsent, trim};
use crate::adapter::clock::Millis;
use crate::wire::{Decoder, Head};

/// Timeout for opening a connection, in milliseconds.
pub(super) const CONNECT_TIMEOUT: u64 = 400;
/// Time for which an idle connection is kept open for reuse, in milliseconds.
pub(super) const IDLE_TIMEOUT: u64 = 1_500;
/// Maximum idle time of a connection that is reused for a request that must not be retried, in
/// milliseconds. If the endpoint closed the connection at that moment, it would be unknown whether
/// the request ran.
pub(super) const IDLE_TIMEOUT_ONCE: u64 = 800;
/// Maximum responses that are skipped before the one to the request: interim ones, and those to
/// other requests.
const MAX_SKIPPED: u32 = 16;
/// Maximum size of the bodies that are skipped with them, in bytes.
const MAX_SKIPPED_BYTES: usize = 16 << 20;
/// Maximum attempts refused over a connection, whose ids it remembers, until it is closed.
const MAX_REFUSED: usize = 32;
/// Safety margin before the idle timeout that an endpoint announces, in milliseconds.
const IDLE_MARGIN: u64 = 500;

/// How a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Disconnect {
    /// Closed by the endpoint.
    Closed,
    /// Reset, not established, or failed otherwise.
    Reset,
}

/// The caller whose request a connection carries. The serial number tells it from a later caller at
/// the same index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct CallerRef {
    pub(super) index: usize,
    pub(super) serial: u64,
}

/// A connection to an endpoint.
pub(super) struct Link {
    pub(super) sock: TcpStream,
    pub(super) serial: u64,
    /// Id of the endpoint's incarnation.
    pub(super) endpoint: String,
    pub(super) service: String,
    pub(super) connected: bool,
    pub(super) opened: Millis,
    /// Bytes of the request that have not been written yet.
    pub(super) out: Unsent,
    /// What it holds according to the account of all connections.
    pub(super) held: Held,
    /// True once a byte of the request has been written to the socket.
    pub(super) wrote: bool,
    /// A write has found that the connection was reset: no end that is read later is in order.
    pub(super) reset: bool,
    pub(super) input: Vec<u8>,
    pub(super) caller: Option<CallerRef>,
    pub(super) method: String,
    pub(super) head: Option<Head>,
    pub(super) decoder: Option<Decoder>,
    pub(super) body: Vec<u8>,
    /// The response being read belongs to another request and is skipped.
    pub(super) foreign: bool,
    /// Responses skipped since the request was sent, and the bytes of their bodies.
    skipped: (u32, usize),
    /// Number of requests completed.
    pub(super) served: u32,
    /// Ids of the attempts that the endpoint refused over it.
    pub(super) refused: IndexSet<String>,
    /// Time at which it last became idle.
    pub(super) idle_since: Millis,
    /// Time for which it may stay idle, in milliseconds.
    pub(super) idle_timeout: u64,
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
            out: Unsent::default(),
            held: Held::default(),
            wrote: false,
            reset: false,
            input: Vec::new(),
            caller: None,
            method: String::new(),
            head: None,
            decoder: None,
            body: Vec::new(),
            foreign: false,
            skipped: (0, 0),
            served: 0,
            refused: IndexSet::new(),
            idle_since: now,
            idle_timeout: IDLE_TIMEOUT,
        }
    }

    /// Prepares the connection to send `bytes`, the encoded request of a caller.
    pub(super) fn begin(&mut self, caller: CallerRef, method: &str, bytes: Vec<u8>) {
        self.caller = Some(caller);
        self.method = method.to_owned();
        self.out = Unsent::new(bytes);
        self.wrote = false;
        self.skipped = (0, 0);
        self.clear();
    }

    /// Counts a response that is skipped. Returns false if there are too many.
    pub(super) fn skip_response(&mut self) -> bool {
        self.skipped.0 += 1;
        self.skipped.0 <= MAX_SKIPPED
    }

    /// Counts `n` bytes of the body of a response that is skipped. Returns false if there are too many.
    pub(super) fn skip_bytes(&mut self, n: usize) -> bool {
        self.skipped.1 += n;
        self.skipped.1 <= MAX_SKIPPED_BYTES
    }

    /// Memory of its buffers, in bytes.
    pub(super) fn buffered(&self) -> usize {
        let head = self.head.as_ref().map_or(0, Head::memory);
        let refused: usize =
            self.refused.iter().map(|id| id.capacity() + size_of::<String>()).sum();
        self.out.capacity() + self.input.capacity() + self.body.capacity() + head + refused
    }

    /// Frees the unused memory of its input.
    pub(super) fn trim(&mut self) {
        trim(&mut self.input);
    }

    /// Discards the state of the response being read.
    pub(super) fn clear(&mut self) {
        self.head = None;
        self.decoder = None;
        self.body = Vec::new();
        self.foreign = false;
    }

    /// Limits the idle time to the one that the endpoint announces in a `Keep-Alive` header, in
    /// seconds.
    pub(super) fn update_idle_timeout(&mut self) {
        let Some(head) = &self.head else { return };
        let Some(stated) = head.get("keep-alive").and_then(parse_timeout) else { return };
        self.idle_timeout = IDLE_TIMEOUT.min((stated * 1_000).saturating_sub(IDLE_MARGIN));
    }

    /// True when the response is complete and the connection can carry another request.
    pub(super) fn reusable(&self) -> bool {
        let close =
            self.head.as_ref().is_some_and(|h| h.has_connection_option("close") || h.http10);
        let ended = self.decoder.as_ref().is_some_and(|d| d.ended() && !d.until_close());
        let few = self.refused.len() <= MAX_REFUSED;
        ended && !close && few && self.out.is_empty() && self.input.is_empty()
    }
}

/// Parses the `timeout` parameter of a `Keep-Alive` header, in seconds.
fn parse_timeout(value: &str) -> Option<u64> {
    let field = value.split(',').find_map(|f| f.trim().strip_prefix("timeout="))?;
    field.trim().parse().ok()
}
