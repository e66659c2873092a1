//! Answers that a stand-in writes byte by byte, sound or broken.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::Duration;

use sassafrasworks::wire::{self, Head};

/// Stands for the header lines that a sound answer has: the id of the attempt and the seal.
const OWN: &[u8] = b"{own}";

/// What becomes of the connection after an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// It is kept for further requests.
    Kept,
    /// It is closed in order.
    Closed,
    /// It is reset.
    Reset,
}

/// An answer: its bytes, in which `{own}` stands for the header lines of a sound answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Raw {
    pub bytes: &'static [u8],
    pub end: End,
}

impl Raw {
    pub const fn kept(bytes: &'static [u8]) -> Self {
        Self { bytes, end: End::Kept }
    }

    pub const fn closed(bytes: &'static [u8]) -> Self {
        Self { bytes, end: End::Closed }
    }

    pub const fn reset(bytes: &'static [u8]) -> Self {
        Self { bytes, end: End::Reset }
    }

    /// Sends the answer with the header lines `own`. Returns true if the connection goes on.
    pub fn send(self, sock: &mut TcpStream, own: &str) -> bool {
        let written = sock.write_all(&replaced(self.bytes, own.as_bytes())).is_ok();
        match self.end {
            End::Kept => written,
            End::Closed => {
                sock.shutdown(Shutdown::Write).ok();
                false
            }
            End::Reset => reset(sock),
        }
    }
}

/// `bytes` with `own` in place of [`OWN`].
fn replaced(bytes: &[u8], own: &[u8]) -> Vec<u8> {
    let Some(at) = bytes.windows(OWN.len()).position(|w| w == OWN) else { return bytes.to_vec() };
    [&bytes[..at], own, &bytes[at + OWN.len()..]].concat()
}

/// Makes the connection close with a TCP reset.
pub fn reset(sock: &TcpStream) -> bool {
    rustix::net::sockopt::set_socket_linger(sock, Some(Duration::ZERO)).unwrap();
    false
}

/// Bytes without end that are no answer: what comes first, and what is repeated after it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Flood {
    pub first: &'static [u8],
    pub piece: &'static [u8],
}

/// Size of one write of a flood, in bytes.
const FLOOD_BLOCK: usize = 48 << 10;
/// Maximum bytes of a flood on one connection.
const FLOOD_LIMIT: usize = 256 << 20;

/// Head of a body in chunks.
macro_rules! chunked {
    ($next:literal) => {
        concat!("HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n", $next).as_bytes()
    };
}

impl Flood {
    /// The name of a field that does not end.
    pub const NAME: Self = Self { first: b"HTTP/1.1 200 X\r\nX", piece: b"x" };
    /// Fields without end.
    pub const FIELDS: Self = Self { first: b"HTTP/1.1 200 X\r\n", piece: b"X: 1\r\n" };
    /// A reason that does not end.
    pub const REASON: Self = Self { first: b"HTTP/1.1 200 ", piece: b"x" };
    /// Interim responses without end.
    pub const INTERIM: Self = Self { first: b"", piece: b"HTTP/1.1 100 X\r\n\r\n" };
    /// Bytes that begin no answer.
    pub const NOISE: Self = Self { first: b"", piece: b"\x16\x03\x01 noise " };
    /// Empty lines without end.
    pub const EMPTY_LINES: Self = Self { first: b"", piece: b"\r\n" };
    /// A body without a length that does not end.
    pub const BODY: Self = Self { first: b"HTTP/1.1 200 X\r\n\r\n", piece: b"0123456789abcdef" };
    /// The same with a status that is a refusal.
    pub const REFUSAL: Self = Self { first: b"HTTP/1.1 503 X\r\n\r\n", piece: b"0123456789abcdef" };
    /// Chunks without end.
    pub const CHUNKS: Self = Self { first: chunked!(""), piece: b"10\r\n0123456789abcdef\r\n" };
    /// An extension of a chunk that does not end.
    pub const EXTENSION: Self = Self { first: chunked!("2;"), piece: b"x" };
    /// Trailer lines without end.
    pub const TRAILER: Self = Self { first: chunked!("0\r\n"), piece: b"x: 1\r\n" };

    /// Writes it until the connection is closed, or [`FLOOD_LIMIT`] is reached. Returns false: the
    /// connection doesn't go on.
    pub fn send(self, sock: &mut TcpStream) -> bool {
        let block = self.piece.repeat(FLOOD_BLOCK / self.piece.len());
        let mut sent = 0;
        let mut open = sock.write_all(self.first).is_ok();
        while open && sent < FLOOD_LIMIT {
            open = sock.write_all(&block).is_ok();
            sent += block.len();
        }
        false
    }
}

/// Makes a test of each flood.
#[macro_export]
macro_rules! floods {
    ($run:ident) => {
        $crate::cases! {
            $run:
            name_without_end_is_bounded => Flood::NAME;
            fields_without_end_are_bounded => Flood::FIELDS;
            reason_without_end_is_bounded => Flood::REASON;
            interim_responses_without_end_are_bounded => Flood::INTERIM;
            noise_without_end_is_bounded => Flood::NOISE;
            empty_lines_without_end_are_bounded => Flood::EMPTY_LINES;
            body_without_end_is_bounded => Flood::BODY;
            refusal_without_end_is_bounded => Flood::REFUSAL;
            chunks_without_end_are_bounded => Flood::CHUNKS;
            chunk_extension_without_end_is_bounded => Flood::EXTENSION;
            trailer_without_end_is_bounded => Flood::TRAILER;
        }
    };
}

/// Maximum size of a request's head, in bytes.
const HEAD_LIMIT: usize = 16 << 10;

/// A server that gives the same answer to every request.
pub struct RawServer {
    pub addr: SocketAddr,
    arrivals: Arc<AtomicU32>,
}

impl RawServer {
    pub fn start(addr: SocketAddr, raw: Raw) -> Self {
        Self::with(addr, move |sock, _| raw.send(sock, ""))
    }

    /// A server that lets `answer` write each answer. It returns true if the connection goes on.
    pub fn with(
        addr: SocketAddr,
        answer: impl Fn(&mut TcpStream, &Head) -> bool + Send + Sync + Clone + 'static,
    ) -> Self {
        let arrivals = Arc::new(AtomicU32::new(0));
        let listener = TcpListener::bind(addr).unwrap();
        let counted = Arc::clone(&arrivals);
        thread::spawn(move || {
            for mut sock in listener.incoming().flatten() {
                let (counted, answer) = (Arc::clone(&counted), answer.clone());
                thread::spawn(move || {
                    let mut buffer = Vec::new();
                    while let Some(head) = skip_request(&mut sock, &mut buffer) {
                        counted.fetch_add(1, Ordering::SeqCst);
                        if !answer(&mut sock, &head) {
                            return;
                        }
                    }
                });
            }
        });
        Self { addr, arrivals }
    }

    /// Number of requests that have arrived.
    pub fn arrivals(&self) -> u32 {
        self.arrivals.load(Ordering::SeqCst)
    }
}

/// Reads one request, whose body has a length, and returns its head; `None` when the connection ends first.
fn skip_request(sock: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Head> {
    let head = loop {
        match wire::parse_request(buffer, HEAD_LIMIT).ok()? {
            Some(head) => break head,
            None => read_more(sock, buffer)?,
        }
    };
    let length = head.get("content-length").map_or(0, |v| v.parse::<usize>().unwrap());
    while buffer.len() < head.size + length {
        read_more(sock, buffer)?;
    }
    buffer.drain(..head.size + length);
    Some(head)
}

fn read_more(sock: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut block = [0; 4_096];
    let n = sock.read(&mut block).ok().filter(|n| *n > 0)?;
    buffer.extend_from_slice(&block[..n]);
    Some(())
}
