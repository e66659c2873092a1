//! What the responses of an endpoint say of the requests that it takes.

/// Lowest limit that is kept to, in requests a second: only a request can bring the response that
/// ends a limit.
pub const MIN_RATE: f64 = 0.1;
/// Highest limit that is kept to, in requests a second.
pub const MAX_RATE: f64 = 1e6;

/// What a response says of the requests a second that its endpoint takes from all instances.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Statement {
    /// It names no limit.
    Unlimited,
    /// This many, from [`MIN_RATE`] to [`MAX_RATE`].
    Rate(f64),
    /// It names this many, which is not in that range; the nearest one that is holds.
    Clamped(f64),
    /// It names a limit that can't be read; what was said before holds.
    Malformed,
}

impl Statement {
    /// Parses the values of the header, of which there should be one at most: a decimal number.
    pub fn parse<'a>(mut values: impl Iterator<Item = &'a [u8]>) -> Self {
        let Some(value) = values.next() else { return Self::Unlimited };
        if values.next().is_some() {
            return Self::Malformed;
        }
        match parse_decimal(value) {
            None => Self::Malformed,
            Some(rate) if (MIN_RATE..=MAX_RATE).contains(&rate) => Self::Rate(rate),
            Some(rate) => Self::Clamped(rate.clamp(MIN_RATE, MAX_RATE)),
        }
    }

    /// True if it deserves a line in the log by itself.
    pub fn is_odd(self) -> bool {
        matches!(self, Self::Clamped(_) | Self::Malformed)
    }
}

/// Parses digits with at most one point among them. Numbers that are too large are infinite.
fn parse_decimal(value: &[u8]) -> Option<f64> {
    let text = std::str::from_utf8(value).ok()?.trim();
    let is_decimal = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    if !is_decimal || !text.bytes().any(|b| b.is_ascii_digit()) {
        return None;
    }
    text.parse().ok()
}
