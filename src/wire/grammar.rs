//! Grammar of RFC 9110 and RFC 9112 that `httparse` does not check: it accepts what recipients may
//! tolerate, and leaves chunk extensions and trailers to its users.

use super::Flaw;

/// Optional white space.
pub(super) const OWS: [char; 2] = [' ', '\t'];
/// Offsets of the blanks around the status code in a status line.
const STATUS_BLANKS: [usize; 2] = [8, 12];
/// Fields that determine framing, routing or the form of the content, which trailers must not hold.
const NO_TRAILERS: [&[u8]; 6] = [
    b"content-encoding",
    b"content-length",
    b"content-range",
    b"content-type",
    b"host",
    b"transfer-encoding",
];

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

/// Parses a chunk size line; valid chunk extensions are ignored.
pub(super) fn chunk_size(line: &[u8]) -> Result<u64, Flaw> {
    let (digits, extensions) = split(line, u8::is_ascii_hexdigit);
    if digits.is_empty() {
        return Err(Flaw::ChunkSize);
    }
    check_extensions(extensions)?;
    let text = std::str::from_utf8(digits).map_err(|_| Flaw::ChunkSize)?;
    u64::from_str_radix(text, 16).map_err(|_| Flaw::ChunkSize)
}

/// Checks `*( BWS ";" BWS name [ BWS "=" BWS value ] )`.
fn check_extensions(mut rest: &[u8]) -> Result<(), Flaw> {
    while !rest.is_empty() {
        let Some(after) = skip_blanks(rest).strip_prefix(b";") else { return Err(Flaw::ChunkSize) };
        let (name, after) = split(skip_blanks(after), is_token_byte);
        if name.is_empty() {
            return Err(Flaw::ChunkExtension);
        }
        rest = match skip_blanks(after).strip_prefix(b"=") {
            Some(value) => skip_value(skip_blanks(value))?,
            None => after,
        };
        if !rest.is_empty() && !skip_blanks(rest).starts_with(b";") {
            return Err(Flaw::ChunkExtension);
        }
    }
    Ok(())
}

/// Skips a token or a quoted string.
fn skip_value(bytes: &[u8]) -> Result<&[u8], Flaw> {
    if let Some(quoted) = bytes.strip_prefix(b"\"") {
        return skip_quoted(quoted);
    }
    let (token, rest) = split(bytes, is_token_byte);
    if token.is_empty() { Err(Flaw::ChunkExtension) } else { Ok(rest) }
}

/// Skips the rest of a quoted string, in which a backslash precedes a quote or a backslash.
fn skip_quoted(bytes: &[u8]) -> Result<&[u8], Flaw> {
    let mut rest = bytes;
    loop {
        rest = match rest {
            [b'"', after @ ..] => return Ok(after),
            [b'\\', b, after @ ..] | [b, after @ ..] if is_text_byte(b) => after,
            _ => return Err(Flaw::ChunkExtension),
        }
    }
}

/// True for a field line that may stand in a trailer.
pub(super) fn is_trailer_line(line: &[u8]) -> bool {
    let (name, rest) = split(line, is_token_byte);
    let Some(value) = rest.strip_prefix(b":") else { return false };
    let allowed = !NO_TRAILERS.iter().any(|n| n.eq_ignore_ascii_case(name));
    !name.is_empty() && allowed && value.iter().all(is_text_byte)
}

/// Splits after the first bytes for which `belongs` is true.
fn split(bytes: &[u8], belongs: impl Fn(&u8) -> bool) -> (&[u8], &[u8]) {
    bytes.split_at(bytes.iter().take_while(|b| belongs(b)).count())
}

fn skip_blanks(bytes: &[u8]) -> &[u8] {
    split(bytes, |b| matches!(b, b' ' | b'\t')).1
}

/// True for a byte of a token, such as the name of a field.
fn is_token_byte(byte: &u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(byte)
}

/// True for a byte of the value of a field.
fn is_text_byte(byte: &u8) -> bool {
    matches!(byte, b'\t' | b' '..=b'~' | 0x80..)
}
