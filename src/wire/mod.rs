//! Incremental parsing of HTTP/1.1 heads and bodies, and encoding of headers and chunks.

mod decoder;
mod error;
mod grammar;
mod response;

pub use decoder::{Decoder, Step};
pub use error::{Flaw, MessageError};
pub use response::{Part, ResponseReader};

use grammar::{OWS, check_response_head};

/// Maximum number of headers in a message.
const MAX_HEADERS: usize = 100;
/// Memory of a small allocation beyond its content, in bytes.
const ALLOCATION_BYTES: usize = 16;
/// Hop-by-hop headers, which apply to a single connection and are not forwarded.
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

/// How the length of a body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// By a number of bytes, as in `Content-Length`.
    Length(u64),
    /// By chunked transfer coding.
    Chunked,
    /// By the end of the connection.
    Close,
}

/// Head of a request or response: its first line and the headers in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Head {
    /// Method of a request; empty for a response.
    pub method: String,
    /// Target of a request; empty for a response.
    pub target: String,
    /// Status of a response; 0 for a request.
    pub status: u16,
    /// True for HTTP/1.0 messages.
    pub http10: bool,
    /// Names and values of the headers.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Size of the encoded head, in bytes.
    pub size: usize,
}

impl Head {
    /// First value of a header, trimmed; `None` if the header is missing or not UTF-8.
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.and_then(|(_, v)| text(v))
    }

    /// Values of all headers with a name.
    pub fn values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let found = self.headers.iter().filter(move |(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_slice())
    }

    /// Memory that it takes, in bytes.
    pub fn memory(&self) -> usize {
        let entry = size_of::<(String, Vec<u8>)>();
        self.size + self.headers.len() * (entry + 2 * ALLOCATION_BYTES)
    }

    /// Number of times that a header occurs.
    pub fn count(&self, name: &str) -> usize {
        self.headers.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name)).count()
    }

    /// True when the `Connection` headers list `token`.
    pub fn has_connection_option(&self, token: &str) -> bool {
        let lists = self.headers.iter().filter(|(n, _)| n.eq_ignore_ascii_case("connection"));
        lists.filter_map(|(_, v)| std::str::from_utf8(v).ok()).any(|v| has_token(v, token))
    }

    /// True for a hop-by-hop header, including one that the `Connection` header names.
    pub fn is_hop_by_hop(&self, name: &str) -> bool {
        HOP_BY_HOP.iter().any(|h| h.eq_ignore_ascii_case(name)) || self.has_connection_option(name)
    }
}

/// Value of a header without the blanks around it; `None` if it is not UTF-8.
fn text(value: &[u8]) -> Option<&str> {
    std::str::from_utf8(value).ok().map(|v| v.trim_matches(OWS))
}

fn has_token(list: &str, token: &str) -> bool {
    list.split(',').any(|t| t.trim().eq_ignore_ascii_case(token))
}

fn copy_headers(headers: &[httparse::Header<'_>]) -> Vec<(String, Vec<u8>)> {
    headers.iter().map(|h| (h.name.to_owned(), h.value.to_vec())).collect()
}

/// Parses the head of a request; `None` while it is incomplete. A head of more than `limit` bytes
/// is rejected.
pub fn parse_request(bytes: &[u8], limit: usize) -> Result<Option<Head>, MessageError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let size = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(n)) if n <= limit => n,
        Ok(httparse::Status::Partial) if bytes.len() <= limit => return Ok(None),
        Ok(_) => return Err(MessageError::HeadTooLarge),
        Err(e) => return Err(e.into()),
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

/// Parses the head of a response; `None` while it is incomplete. An incomplete head of more than
/// `limit` bytes is rejected, and so is one that recipients may tolerate but senders must not send.
pub fn parse_response(bytes: &[u8], limit: usize) -> Result<Option<Head>, MessageError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let size = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(n)) => n,
        Ok(httparse::Status::Partial) if bytes.len() <= limit => return Ok(None),
        Ok(_) => return Err(MessageError::HeadTooLarge),
        Err(e) => return Err(e.into()),
    };
    let status = parsed.code.unwrap_or_default();
    check_response_head(&bytes[..size], status)?;
    Ok(Some(Head {
        method: String::new(),
        target: String::new(),
        status,
        http10: parsed.version == Some(0),
        headers: copy_headers(parsed.headers),
        size,
    }))
}

/// Values of the `Content-Length` headers.
fn lengths(head: &Head) -> impl Iterator<Item = Result<&str, Flaw>> {
    let found = head.headers.iter().filter(|(n, _)| n.eq_ignore_ascii_case("content-length"));
    found.map(|(_, v)| text(v).ok_or(Flaw::Length))
}

fn parse_length(text: &str) -> Result<u64, Flaw> {
    if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
        return Err(Flaw::Length);
    }
    text.parse().map_err(|_| Flaw::Length)
}

/// The length that all of `found` agree on.
fn agreed(found: impl Iterator<Item = Result<u64, Flaw>>) -> Result<Option<u64>, Flaw> {
    let mut length = None;
    for n in found {
        let n = n?;
        if length.is_some_and(|l| l != n) {
            return Err(Flaw::Length);
        }
        length = Some(n);
    }
    Ok(length)
}

/// Length of a request's body according to its headers. Fails if it is not a number, or if several
/// values differ.
fn request_length(head: &Head) -> Result<Option<u64>, Flaw> {
    agreed(lengths(head).map(|v| parse_length(v?)))
}

/// The same for a response, of which RFC 9112, section 6.3, accepts a list of equal values.
pub fn response_length(head: &Head) -> Result<Option<u64>, Flaw> {
    let mut found = None;
    for list in lengths(head) {
        let values = list?.split(',').map(|v| parse_length(v.trim_matches(OWS)));
        found = agreed(found.map(Ok).into_iter().chain(values))?;
    }
    Ok(found)
}

/// True when the body is chunked. Fails for any other transfer coding, and for HTTP/1.0, which has none.
fn is_chunked(head: &Head) -> Result<bool, Flaw> {
    match head.count("transfer-encoding") {
        0 => Ok(false),
        1 if !head.http10 => match head.get("transfer-encoding") {
            Some(v) if v.eq_ignore_ascii_case("chunked") => Ok(true),
            _ => Err(Flaw::Coding),
        },
        _ => Err(Flaw::Coding),
    }
}

/// Framing of a request's body. A request with both `Content-Length` and `Transfer-Encoding` is
/// rejected, because each recipient could go by a different one (request smuggling).
pub fn request_framing(head: &Head) -> Result<Framing, MessageError> {
    match (is_chunked(head)?, request_length(head)?) {
        (true, Some(_)) => Err(Flaw::Framing.into()),
        (true, None) => Ok(Framing::Chunked),
        (false, n) => Ok(Framing::Length(n.unwrap_or(0))),
    }
}

/// True for the method whose responses have no body, whatever their headers say.
pub fn is_head(method: &str) -> bool {
    method.eq_ignore_ascii_case("HEAD")
}

/// True if a response with `status` may have content. Others that may not have no framing for it.
pub fn allows_content(status: u16) -> bool {
    status != 205
}

/// Framing of the body of a response to a request with `method`. A response that announces a body where
/// its status allows none is rejected, and so is a change of protocol, which no request asks for.
pub fn response_framing(head: &Head, method: &str) -> Result<Framing, MessageError> {
    let (chunked, length) = (is_chunked(head)?, response_length(head)?);
    match (head.status, chunked, length) {
        (101, _, _) => Err(Flaw::Upgrade.into()),
        (_, true, Some(_)) | (100..200 | 204, true, _) => Err(Flaw::Framing.into()),
        (100..200 | 204 | 205, _, Some(1..)) => Err(Flaw::Framing.into()),
        (100..200 | 204 | 304, _, _) => Ok(Framing::Length(0)),
        _ if is_head(method) => Ok(Framing::Length(0)),
        (_, true, None) => Ok(Framing::Chunked),
        (_, false, Some(n)) => Ok(Framing::Length(n)),
        (_, false, None) => Ok(Framing::Close),
    }
}

/// Reason phrase of a status code that the relay itself sends.
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
