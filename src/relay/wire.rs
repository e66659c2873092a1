//! HTTP/1.1 heads and bodies, parsed as they come in.

use std::ops::Range;

/// Headers in one message.
const MAX_HEADERS: usize = 100;
/// Longest line that gives the size of a chunk, in bytes.
const MAX_CHUNK_LINE: usize = 1 << 10;
/// Headers that concern one connection only.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Why a message can't be taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// Not HTTP, or ambiguous.
    #[error("malformed message")]
    Malformed,
    /// The head is over its bound.
    #[error("headers too large")]
    HeadTooLarge,
    /// The body is over its bound.
    #[error("body too large")]
    BodyTooLarge,
}

impl MessageError {
    /// Status that tells a caller.
    pub fn status(self) -> u16 {
        match self {
            Self::Malformed => 400,
            Self::HeadTooLarge => 431,
            Self::BodyTooLarge => 413,
        }
    }
}

/// How the end of a body is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// So many bytes.
    Length(u64),
    /// Chunks.
    Chunked,
    /// The end of the connection.
    Close,
}

/// A head, with its headers in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Head {
    /// Method of a request; empty for a response.
    pub method: String,
    /// Target of a request; empty for a response.
    pub target: String,
    /// Status of a response; 0 for a request.
    pub status: u16,
    /// True for HTTP/1.0.
    pub http10: bool,
    /// Names and values.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Its size in bytes.
    pub size: usize,
}

impl Head {
    /// First value of a header as text.
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.and_then(|(_, v)| std::str::from_utf8(v).ok()).map(str::trim)
    }

    /// How often a header is there.
    pub fn count(&self, name: &str) -> usize {
        self.headers.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name)).count()
    }

    /// True when the comma-separated `Connection` header has `token`.
    pub fn has_connection_option(&self, token: &str) -> bool {
        let lists = self.headers.iter().filter(|(n, _)| n.eq_ignore_ascii_case("connection"));
        lists.filter_map(|(_, v)| std::str::from_utf8(v).ok()).any(|v| has_token(v, token))
    }

    /// True for a header that concerns this connection only.
    pub fn is_hop_by_hop(&self, name: &str) -> bool {
        HOP_BY_HOP.iter().any(|h| h.eq_ignore_ascii_case(name)) || self.has_connection_option(name)
    }
}

fn has_token(list: &str, token: &str) -> bool {
    list.split(',').any(|t| t.trim().eq_ignore_ascii_case(token))
}

fn copy_headers(headers: &[httparse::Header<'_>]) -> Vec<(String, Vec<u8>)> {
    headers.iter().map(|h| (h.name.to_owned(), h.value.to_vec())).collect()
}

/// The head of a request once it is whole.
pub fn parse_request(bytes: &[u8], limit: usize) -> Result<Option<Head>, MessageError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let size = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(n)) if n <= limit => n,
        Ok(httparse::Status::Partial) if bytes.len() <= limit => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(MessageError::HeadTooLarge),
        Err(_) => return Err(MessageError::Malformed),
    };
    Ok(Some(Head {
        method: parsed.method.unwrap_or_default().to_owned(),
        target: parsed.path.unwrap_or_default().to_owned(),
        status: 0,
        http10: parsed.version == Some(0),
        headers: copy_headers(parsed.headers),
        size,
    }))
}

/// The head of a response once it is whole.
pub fn parse_response(bytes: &[u8], limit: usize) -> Result<Option<Head>, MessageError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let size = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(n)) => n,
        Ok(httparse::Status::Partial) if bytes.len() <= limit => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(MessageError::HeadTooLarge),
        Err(_) => return Err(MessageError::Malformed),
    };
    Ok(Some(Head {
        method: String::new(),
        target: String::new(),
        status: parsed.code.unwrap_or_default(),
        http10: parsed.version == Some(0),
        headers: copy_headers(parsed.headers),
        size,
    }))
}

/// Length that the headers state; an error where they disagree.
fn content_length(head: &Head) -> Result<Option<u64>, MessageError> {
    let mut found = None;
    for (name, value) in &head.headers {
        if !name.eq_ignore_ascii_case("content-length") {
            continue;
        }
        let text = std::str::from_utf8(value).map_err(|_| MessageError::Malformed)?.trim();
        if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
            return Err(MessageError::Malformed);
        }
        let n: u64 = text.parse().map_err(|_| MessageError::Malformed)?;
        if found.is_some_and(|f| f != n) {
            return Err(MessageError::Malformed);
        }
        found = Some(n);
    }
    Ok(found)
}

/// True when the body is chunked; an error for any other coding.
fn is_chunked(head: &Head) -> Result<bool, MessageError> {
    match head.count("transfer-encoding") {
        0 => Ok(false),
        1 => match head.get("transfer-encoding") {
            Some(v) if v.eq_ignore_ascii_case("chunked") => Ok(true),
            _ => Err(MessageError::Malformed),
        },
        _ => Err(MessageError::Malformed),
    }
}

/// Framing of a request's body. Two framings at once are refused, as each reader could take
/// another one.
pub fn request_framing(head: &Head) -> Result<Framing, MessageError> {
    match (is_chunked(head)?, content_length(head)?) {
        (true, Some(_)) => Err(MessageError::Malformed),
        (true, None) if head.http10 => Err(MessageError::Malformed),
        (true, None) => Ok(Framing::Chunked),
        (false, n) => Ok(Framing::Length(n.unwrap_or(0))),
    }
}

/// Framing of a response's body to a request with `method`.
pub fn response_framing(head: &Head, method: &str) -> Result<Framing, MessageError> {
    if method.eq_ignore_ascii_case("HEAD") || matches!(head.status, 204 | 304) {
        return Ok(Framing::Length(0));
    }
    match (is_chunked(head)?, content_length(head)?) {
        (true, Some(_)) => Err(MessageError::Malformed),
        (true, None) => Ok(Framing::Chunked),
        (false, Some(n)) => Ok(Framing::Length(n)),
        (false, None) => Ok(Framing::Close),
    }
}

/// What a decoder found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// More bytes are needed.
    More,
    /// Bytes of the body at this place; call again.
    Data(Range<usize>),
    /// The body is whole.
    End,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ChunkState {
    Size,
    Data(u64),
    DataEnd,
    Trailer,
}

/// Decodes a body from a growing buffer.
#[derive(Debug, Clone)]
pub struct Decoder {
    framing: Framing,
    remaining: u64,
    chunk: ChunkState,
    pos: usize,
    ended: bool,
}

impl Decoder {
    /// A decoder that starts at the beginning of a buffer.
    pub fn new(framing: Framing) -> Self {
        let remaining = if let Framing::Length(n) = framing { n } else { 0 };
        Self { framing, remaining, chunk: ChunkState::Size, pos: 0, ended: false }
    }

    /// True when the body has been read to its end.
    pub fn ended(&self) -> bool {
        self.ended
    }

    /// True when the body ends with its connection.
    pub fn until_close(&self) -> bool {
        self.framing == Framing::Close
    }

    /// Bytes of the buffer that are used up; the caller drops them and calls [`Decoder::shift`].
    pub fn consumed(&self) -> usize {
        self.pos
    }

    /// The first `n` bytes of the buffer were dropped.
    pub fn shift(&mut self, n: usize) {
        self.pos -= n;
    }

    /// The next step over `bytes`.
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
                        return Err(MessageError::Malformed);
                    }
                    self.chunk = ChunkState::Size;
                }
                ChunkState::Trailer => {
                    let Some(line) = self.next_line(bytes)? else { return Ok(Step::More) };
                    if line.is_empty() {
                        return Ok(self.end());
                    }
                }
            }
        }
    }

    /// The next line without its end.
    fn next_line(&mut self, bytes: &[u8]) -> Result<Option<Range<usize>>, MessageError> {
        let rest = &bytes[self.pos..];
        let Some(n) = rest.iter().position(|b| *b == b'\n') else {
            return if rest.len() > MAX_CHUNK_LINE {
                Err(MessageError::Malformed)
            } else {
                Ok(None)
            };
        };
        if n == 0 || rest[n - 1] != b'\r' {
            return Err(MessageError::Malformed);
        }
        let start = self.pos;
        self.pos += n + 1;
        Ok(Some(start..start + n - 1))
    }
}

fn chunk_size(line: &[u8]) -> Result<u64, MessageError> {
    let digits = line.split(|b| *b == b';').next().unwrap_or(line).trim_ascii_end();
    if digits.is_empty() || digits.len() > 15 || !digits.iter().all(u8::is_ascii_hexdigit) {
        return Err(MessageError::Malformed);
    }
    let text = std::str::from_utf8(digits).map_err(|_| MessageError::Malformed)?;
    u64::from_str_radix(text, 16).map_err(|_| MessageError::Malformed)
}

/// Reason phrase of a status that the relay itself sends.
pub fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Other",
    }
}

/// Appends one header line.
pub fn put_header(out: &mut Vec<u8>, name: &str, value: &[u8]) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}

/// Appends one chunk.
pub fn put_chunk(out: &mut Vec<u8>, data: &[u8]) {
    out.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
    out.extend_from_slice(data);
    out.extend_from_slice(b"\r\n");
}
