//! Grammar of RFC 9110 and RFC 9112 that `httparse` does not check.

use super::Flaw;

/// Optional white space.
pub(super) const OWS: [char; 2] = [' ', '\t'];
/// Offsets of the blanks around the status code in a status line.
const STATUS_BLANKS: [usize; 2] = [8, 12];

/// Checks what `httparse` tolerates in the head of a response: empty lines before it, a status line
/// without all of its blanks, line feeds without a carriage return, and any three digits as the status.
pub(super) fn check_response_head(head: &[u8], status: u16) -> Result<(), Flaw> {
    if !head.starts_with(b"HTTP/") || STATUS_BLANKS.iter().any(|i| head.get(*i) != Some(&b' ')) {
        return Err(Flaw::StartLine);
    }
    if head.windows(2).any(|w| w[1] == b'\n' && w[0] != b'\r') {
        return Err(Flaw::LineEnd);
    }
    if (100..600).contains(&status) { Ok(()) } else { Err(Flaw::StatusCode) }
}

/// Parses a chunk size line; chunk extensions are ignored.
pub(super) fn chunk_size(line: &[u8]) -> Result<u64, Flaw> {
    let digits = line.split(|b| *b == b';').next().unwrap_or(line).trim_ascii_end();
    if digits.is_empty() || digits.len() > 15 || !digits.iter().all(u8::is_ascii_hexdigit) {
        return Err(Flaw::ChunkSize);
    }
    let text = std::str::from_utf8(digits).map_err(|_| Flaw::ChunkSize)?;
    u64::from_str_radix(text, 16).map_err(|_| Flaw::ChunkSize)
}
