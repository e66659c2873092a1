//! Answers that a stand-in writes byte by byte, sound or broken.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::Duration;

use sassafrasworks::wire;

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

/// Maximum size of a request's head, in bytes.
const HEAD_LIMIT: usize = 16 << 10;

/// A server that gives the same answer to every request.
pub struct RawServer {
    pub addr: SocketAddr,
    arrivals: Arc<AtomicU32>,
}

impl RawServer {
    pub fn start(addr: SocketAddr, raw: Raw) -> Self {
        Self::with(addr, move |sock| raw.send(sock, ""))
    }

    /// A server that lets `answer` write each answer. It returns true if the connection goes on.
    pub fn with(
        addr: SocketAddr,
        answer: impl Fn(&mut TcpStream) -> bool + Send + Sync + Clone + 'static,
    ) -> Self {
        let arrivals = Arc::new(AtomicU32::new(0));
        let listener = TcpListener::bind(addr).unwrap();
        let counted = Arc::clone(&arrivals);
        thread::spawn(move || {
            for mut sock in listener.incoming().flatten() {
                let (counted, answer) = (Arc::clone(&counted), answer.clone());
                thread::spawn(move || {
                    let mut buffer = Vec::new();
                    while skip_request(&mut sock, &mut buffer).is_some() {
                        counted.fetch_add(1, Ordering::SeqCst);
                        if !answer(&mut sock) {
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

/// Reads one request, whose body has a length; `None` when the connection ends first.
fn skip_request(sock: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
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
    Some(())
}

fn read_more(sock: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut block = [0; 4_096];
    let n = sock.read(&mut block).ok().filter(|n| *n > 0)?;
    buffer.extend_from_slice(&block[..n]);
    Some(())
}
