//! Bytes that are yet to be written to a socket, and buffers that grow by a part of their size.

use std::io::{ErrorKind, Write};

/// Unused memory that a buffer may keep, in bytes.
const SLACK: usize = 4 << 10;

/// Appends `data`. The buffer grows by at least a quarter of its size instead of doubling, and not
/// beyond `most` bytes unless the data needs it.
pub(super) fn append(buffer: &mut Vec<u8>, data: &[u8], most: usize) {
    let needed = buffer.len() + data.len();
    if needed > buffer.capacity() {
        let grown = (buffer.capacity() + buffer.capacity() / 4).min(most).max(needed);
        buffer.reserve_exact(grown - buffer.len());
    }
    buffer.extend_from_slice(data);
}

/// Frees the memory of a buffer if most of it is unused.
pub(super) fn trim(buffer: &mut Vec<u8>) {
    if buffer.capacity() > SLACK + 2 * buffer.len() {
        buffer.shrink_to_fit();
    }
}

/// State of a connection after a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WriteEnd {
    /// It is usable.
    Usable,
    /// The receiver had closed it in order, or it was found broken before.
    Closed,
    /// It was reset, or failed otherwise. Reading may not find out: the kernel reports this only once.
    Reset,
}

/// Bytes that a socket has not taken yet.
#[derive(Debug, Default)]
pub(super) struct Unsent {
    bytes: Vec<u8>,
    /// Bytes at the beginning that were written.
    sent: usize,
}

impl Unsent {
    pub(super) fn new(bytes: Vec<u8>) -> Self {
        Self { bytes, sent: 0 }
    }

    pub(super) fn len(&self) -> usize {
        self.bytes.len() - self.sent
    }

    pub(super) fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Memory that it takes, in bytes.
    pub(super) fn capacity(&self) -> usize {
        self.bytes.capacity()
    }

    /// Appends bytes, without a copy if there were none.
    pub(super) fn push(&mut self, bytes: Vec<u8>, sent: usize) {
        if self.is_empty() {
            *self = Self { bytes, sent };
        } else {
            self.extend(&bytes[sent..]);
        }
    }

    /// Appends a copy of bytes.
    pub(super) fn extend(&mut self, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        if self.sent > self.len() {
            self.bytes.drain(..self.sent);
            self.sent = 0;
        }
        append(&mut self.bytes, bytes, usize::MAX);
    }

    /// Writes as much as `sock` takes. Returns the number of bytes written.
    pub(super) fn write_to(&mut self, sock: &mut impl Write) -> (usize, WriteEnd) {
        let (sent, end) = write_available(sock, &self.bytes[self.sent..]);
        self.sent += sent;
        if self.is_empty() {
            *self = Self::default();
        }
        (sent, end)
    }
}

/// Writes as much of `bytes` as `sock` takes. Returns the number of bytes written.
pub(super) fn write_available(sock: &mut impl Write, bytes: &[u8]) -> (usize, WriteEnd) {
    let mut sent = 0;
    while sent < bytes.len() {
        match sock.write(&bytes[sent..]) {
            Ok(n) => sent += n,
            Err(e) => match e.kind() {
                ErrorKind::WouldBlock => break,
                ErrorKind::Interrupted => {}
                ErrorKind::BrokenPipe => return (sent, WriteEnd::Closed),
                _ => return (sent, WriteEnd::Reset),
            },
        }
    }
    (sent, WriteEnd::Usable)
}
