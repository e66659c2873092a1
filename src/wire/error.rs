//! Why messages are rejected.

/// Part of a message that the protocol doesn't allow as it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Flaw {
    /// The request line or the status line is malformed.
    #[error("start line")]
    StartLine,
    /// The status code is not from 100 to 599.
    #[error("status code")]
    StatusCode,
    /// The protocol changes, which was not asked for.
    #[error("upgrade")]
    Upgrade,
    /// Too many interim responses come before the final one.
    #[error("interim responses")]
    Interim,
    /// The name of a field is missing or has a byte that is not allowed there.
    #[error("field name")]
    FieldName,
    /// The value of a field has a byte that is not allowed there.
    #[error("field value")]
    FieldValue,
    /// A line does not end with CRLF, or is too long.
    #[error("line end")]
    LineEnd,
    /// The headers contradict each other, or the status, on the body.
    #[error("framing")]
    Framing,
    /// The length is not a number, or several differ.
    #[error("length")]
    Length,
    /// The body has a transfer coding other than chunked.
    #[error("transfer coding")]
    Coding,
    /// The size of a chunk is not a number.
    #[error("chunk size")]
    ChunkSize,
    /// An extension of a chunk is malformed.
    #[error("chunk extension")]
    ChunkExtension,
    /// The line break after the data of a chunk is missing.
    #[error("chunk end")]
    ChunkEnd,
    /// A trailer line is malformed, or of a field that is not allowed in trailers.
    #[error("trailer")]
    Trailer,
}

/// Why a message is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// It is not valid HTTP, or it is ambiguous.
    #[error("malformed message: {0}")]
    Malformed(#[from] Flaw),
    /// The head is larger than its limit, or it has too many headers.
    #[error("headers too large")]
    HeadTooLarge,
    /// The body is larger than its limit.
    #[error("body too large")]
    BodyTooLarge,
}

impl MessageError {
    /// Label of the outcome in metrics.
    pub fn reason(self) -> &'static str {
        match self {
            Self::Malformed(_) => "malformed message",
            Self::HeadTooLarge => "headers too large",
            Self::BodyTooLarge => "body too large",
        }
    }

    /// HTTP status of the response to the caller.
    pub fn status(self) -> u16 {
        match self {
            Self::Malformed(_) => 400,
            Self::HeadTooLarge => 431,
            Self::BodyTooLarge => 413,
        }
    }
}

impl From<httparse::Error> for MessageError {
    fn from(error: httparse::Error) -> Self {
        match error {
            httparse::Error::TooManyHeaders => Self::HeadTooLarge,
            httparse::Error::HeaderName => Flaw::FieldName.into(),
            httparse::Error::HeaderValue => Flaw::FieldValue.into(),
            httparse::Error::NewLine => Flaw::LineEnd.into(),
            httparse::Error::Status | httparse::Error::Token | httparse::Error::Version => {
                Flaw::StartLine.into()
            }
        }
    }
}
