//! Grammar of RFC 9110 and RFC 9112 that `httparse` does not check.

use super::Flaw;

/// Optional white space.
pub(super) const OWS: [char; 2] = [' ', '\t'];

/// Checks the status of a response, for which `httparse` accepts any three digits.
pub(super) fn check_status(status: u16) -> Result<(), Flaw> {
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
