//! TCP connections of `ureq` that check every response before `ureq` reads it.
//!
//! `ureq` accepts responses that the protocol doesn't allow, and takes a reset for the end of a response
//! without a length. These connections fail instead. Of what they pass on, interim responses, chunk
//! extensions and trailers are left out.

use std::fmt;
use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use ureq::unversioned::transport::{
    Buffers, ConnectionDetails, Connector, LazyBuffers, NextTimeout, Transport,
};

use crate::wire::{Framing, MessageError, Part, ResponseReader, put_chunk};

/// Size of the input and of the output buffer of a connection, in bytes each.
pub const BUFFER_SIZE: usize = 16 << 10;
/// Maximum size of a response's head, in bytes: it must fit into the input buffer.
const HEAD_LIMIT: usize = BUFFER_SIZE - 1;

/// Opens [`CheckedTransport`]s.
#[derive(Debug, Default)]
pub struct CheckedConnector;

impl Connector<()> for CheckedConnector {
    type Out = CheckedTransport;

    fn connect(
        &self,
        details: &ConnectionDetails<'_>,
        _: Option<()>,
    ) -> Result<Option<CheckedTransport>, ureq::Error> {
        let mut last = ureq::Error::ConnectionFailed;
        for addr in &details.addrs {
            let opened = match details.timeout.not_zero() {
                Some(limit) => TcpStream::connect_timeout(addr, *limit),
                None => TcpStream::connect(addr),
            };
            match opened {
                Ok(sock) => {
                    sock.set_nodelay(true)?;
                    return Ok(Some(CheckedTransport::new(sock)));
                }
                Err(e) if is_timeout(&e) => last = ureq::Error::Timeout(details.timeout.reason),
                Err(e) if e.kind() == ErrorKind::ConnectionRefused => last = e.into(),
                Err(e) => {
                    tracing::debug!(%addr, "transport: not connected: {e}");
                    last = ureq::Error::ConnectionFailed;
                }
            }
        }
        Err(last)
    }
}

/// A connection whose responses are checked.
pub struct CheckedTransport {
    sock: TcpStream,
    buffers: LazyBuffers,
    /// The response that is due, from the first byte of its request on.
    response: Option<ResponseReader>,
    /// Checked bytes for which the input buffer had no room.
    checked: Vec<u8>,
    block: Vec<u8>,
}

impl fmt::Debug for CheckedTransport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CheckedTransport").field("sock", &self.sock).finish_non_exhaustive()
    }
}

impl CheckedTransport {
    fn new(sock: TcpStream) -> Self {
        Self {
            sock,
            buffers: LazyBuffers::new(BUFFER_SIZE, BUFFER_SIZE),
            response: None,
            checked: Vec::new(),
            block: vec![0; BUFFER_SIZE],
        }
    }

    /// Passes checked bytes on, as far as the input buffer has room. Returns true if there were any.
    fn pass_on(&mut self) -> bool {
        let room = self.buffers.input_append_buf();
        let n = room.len().min(self.checked.len());
        room[..n].copy_from_slice(&self.checked[..n]);
        self.checked.drain(..n);
        self.buffers.input_appended(n);
        n > 0
    }

    /// Checks the first `n` bytes of the block.
    fn check(&mut self, n: usize) -> Result<(), MessageError> {
        let Some(response) = &mut self.response else { return Ok(()) };
        response.push(&self.block[..n]);
        loop {
            let chunked = response.framing() == Some(Framing::Chunked);
            match response.next_part()? {
                Part::More => return Ok(()),
                Part::Head(bytes) => self.checked.extend(bytes),
                Part::Data(data) if chunked => put_chunk(&mut self.checked, &data),
                Part::Data(data) => self.checked.extend(data),
                Part::End => {
                    if chunked {
                        put_chunk(&mut self.checked, &[]);
                    }
                    return Ok(());
                }
            }
        }
    }

    /// Handles that the server has closed the connection in order.
    fn closed(&self) -> io::Result<bool> {
        match &self.response {
            Some(response) if response.may_close() => Ok(false),
            _ => Err(ErrorKind::UnexpectedEof.into()),
        }
    }
}

impl Transport for CheckedTransport {
    fn buffers(&mut self) -> &mut dyn Buffers {
        &mut self.buffers
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), ureq::Error> {
        let output = &self.buffers.output()[..amount];
        if self.response.as_ref().is_none_or(ResponseReader::ended) {
            let method = output.split(|b| *b == b' ').next().unwrap_or_default();
            let method = String::from_utf8_lossy(method);
            self.response = Some(ResponseReader::new(&method, HEAD_LIMIT));
        }
        self.sock.set_write_timeout(limit(timeout))?;
        self.sock.write_all(output).map_err(|e| timed(e, timeout))
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, ureq::Error> {
        if self.pass_on() {
            return Ok(true);
        }
        self.sock.set_read_timeout(limit(timeout))?;
        let n = read(&mut self.sock, &mut self.block).map_err(|e| broken(e, timeout))?;
        if n == 0 {
            return Ok(self.closed()?);
        }
        self.check(n).map_err(|e| io::Error::new(ErrorKind::InvalidData, e))?;
        self.pass_on();
        Ok(true)
    }

    /// True if another request may be sent: nothing has arrived after the last response.
    fn is_open(&mut self) -> bool {
        let ended = self.response.as_ref().is_some_and(|r| r.ended() && !r.has_surplus());
        ended && self.checked.is_empty() && is_quiet(&self.sock)
    }
}

/// Reads what has arrived. A process that was suspended meanwhile reads again.
fn read(sock: &mut TcpStream, block: &mut [u8]) -> io::Result<usize> {
    loop {
        match sock.read(block) {
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            other => return other,
        }
    }
}

/// True if the connection is open and there is nothing to read.
fn is_quiet(sock: &TcpStream) -> bool {
    if sock.set_nonblocking(true).is_err() {
        return false;
    }
    let quiet = sock.peek(&mut [0]).is_err_and(|e| e.kind() == ErrorKind::WouldBlock);
    sock.set_nonblocking(false).is_ok() && quiet
}

/// Timeout of a socket; at least a millisecond, as sockets accept no timeout of 0.
fn limit(timeout: NextTimeout) -> Option<Duration> {
    timeout.not_zero().map(|d| (*d).max(Duration::from_millis(1)))
}

fn timed(error: io::Error, timeout: NextTimeout) -> ureq::Error {
    if is_timeout(&error) { ureq::Error::Timeout(timeout.reason) } else { error.into() }
}

/// Error of a failed read. It gets another kind, since `ureq` takes a reset for the end of a response
/// without a length.
fn broken(error: io::Error, timeout: NextTimeout) -> ureq::Error {
    if is_timeout(&error) { timed(error, timeout) } else { io::Error::other(error).into() }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::TimedOut | ErrorKind::WouldBlock)
}
