//! Incremental decoding of bodies.

use std::ops::Range;

use super::grammar::{chunk_size, is_trailer_line};
use super::{Flaw, Framing, MessageError};

/// Maximum length of a line in a chunked body, such as a chunk size line, in bytes.
const MAX_CHUNK_LINE: usize = 1 << 10;
/// Maximum size of the trailer of a chunked body, in bytes.
const MAX_TRAILER: usize = 16 << 10;

/// Result of a decoding step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// More bytes are needed.
    More,
    /// Bytes of the body, as a range of the buffer; call again.
    Data(Range<usize>),
    /// The body is complete.
    End,
}

/// Part of a chunked body that is expected next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ChunkState {
    /// The line with the size of a chunk.
    Size,
    /// This many further bytes of the chunk.
    Data(u64),
    /// The line break after the data of a chunk.
    DataEnd,
    /// Trailer lines, up to an empty one.
    Trailer,
}

/// Decodes a body incrementally from a growing buffer.
#[derive(Debug, Clone)]
pub struct Decoder {
    framing: Framing,
    remaining: u64,
    chunk: ChunkState,
    pos: usize,
    /// Bytes of trailer lines decoded.
    trailer: usize,
    ended: bool,
}

impl Decoder {
    /// A decoder for a body that starts at the beginning of the buffer.
    pub fn new(framing: Framing) -> Self {
        let remaining = if let Framing::Length(n) = framing { n } else { 0 };
        Self { framing, remaining, chunk: ChunkState::Size, pos: 0, trailer: 0, ended: false }
    }

    /// True when the body has been decoded to its end.
    pub fn ended(&self) -> bool {
        self.ended
    }

    /// True when the end of the connection ends the body.
    pub fn until_close(&self) -> bool {
        self.framing == Framing::Close
    }

    /// Number of bytes of the buffer that were decoded. The user of the decoder may drop them and
    /// then has to call [`Decoder::shift`].
    pub fn consumed(&self) -> usize {
        self.pos
    }

    /// Tells the decoder that the first `n` bytes of the buffer were dropped.
    pub fn shift(&mut self, n: usize) {
        self.pos -= n;
    }

    /// Decodes the next part of the body from the buffer `bytes`.
    pub fn step(&mut self, bytes: &[u8]) -> Result<Step, MessageError> {
        if self.ended {
            return Ok(Step::End);
        }
        match self.framing {
            Framing::Length(_) if self.remaining == 0 => Ok(self.end()),
            Framing::Length(_) => Ok(self.take(bytes, self.remaining)),
            Framing::Close => Ok(self.take(bytes, u64::MAX)),
            Framing::Chunked => self.chunked(bytes),
        }
    }

    fn end(&mut self) -> Step {
        self.ended = true;
        Step::End
    }

    /// Takes up to `limit` bytes of data.
    fn take(&mut self, bytes: &[u8], limit: u64) -> Step {
        let available = (bytes.len() - self.pos) as u64;
        let n = available.min(limit);
        if n == 0 {
            return Step::More;
        }
        let start = self.pos;
        self.pos += n as usize;
        self.remaining = self.remaining.saturating_sub(n);
        Step::Data(start..self.pos)
    }

    fn chunked(&mut self, bytes: &[u8]) -> Result<Step, MessageError> {
        loop {
            match self.chunk {
                ChunkState::Size => {
                    let Some(line) = self.next_line(bytes)? else { return Ok(Step::More) };
                    let size = chunk_size(&bytes[line])?;
                    self.chunk =
                        if size == 0 { ChunkState::Trailer } else { ChunkState::Data(size) };
                }
                ChunkState::Data(0) => self.chunk = ChunkState::DataEnd,
                ChunkState::Data(remaining) => {
                    let step = self.take(bytes, remaining);
                    if let Step::Data(range) = &step {
                        self.chunk = ChunkState::Data(remaining - range.len() as u64);
                    }
                    return Ok(step);
                }
                ChunkState::DataEnd => {
                    let Some(line) = self.next_line(bytes)? else { return Ok(Step::More) };
                    if !line.is_empty() {
                        return Err(Flaw::ChunkEnd.into());
                    }
                    self.chunk = ChunkState::Size;
                }
                ChunkState::Trailer => {
                    let Some(line) = self.next_line(bytes)? else { return Ok(Step::More) };
                    if line.is_empty() {
                        return Ok(self.end());
                    }
                    if !is_trailer_line(&bytes[line.clone()]) {
                        return Err(Flaw::Trailer.into());
                    }
                    self.trailer += line.len();
                    if self.trailer > MAX_TRAILER {
                        return Err(MessageError::HeadTooLarge);
                    }
                }
            }
        }
    }

    /// Range of the next line without its CRLF; `None` while it is incomplete.
    fn next_line(&mut self, bytes: &[u8]) -> Result<Option<Range<usize>>, MessageError> {
        let rest = &bytes[self.pos..];
        let Some(n) = rest.iter().position(|b| *b == b'\n') else {
            return if rest.len() > MAX_CHUNK_LINE { Err(Flaw::LineEnd.into()) } else { Ok(None) };
        };
        if n == 0 || rest[n - 1] != b'\r' {
            return Err(Flaw::LineEnd.into());
        }
        let start = self.pos;
        self.pos += n + 1;
        Ok(Some(start..start + n - 1))
    }
}
