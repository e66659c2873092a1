//! The platform's append-only log. This is the only place that knows its protocol:
//! `POST /log/STREAM` appends the body as one record; `GET /log/STREAM?from=N&wait=MS` reads.

use std::net::SocketAddr;

use super::clock::Millis;
use super::http::{CallError, Client};

/// Longest wait for an append, in milliseconds.
const APPEND_TIMEOUT: u64 = 2_000;
/// Margin over the server's wait for a read, in milliseconds.
const READ_MARGIN: u64 = 2_000;
/// Longest wait for new records that a reader asks for, in milliseconds.
pub const READ_WAIT: u64 = 1_000;

data! {
    /// One record.
    pub struct Record {
        /// Its place in the stream.
        pub offset: u64,
        /// Time at which the log took it.
        pub at: Millis,
        /// What was appended.
        #[serde(with = "serde_bytes")]
        pub data: Vec<u8>,
    }

    /// What a read returns.
    pub struct Page {
        /// First offset that the log still keeps.
        pub oldest: u64,
        /// Offset that the next append will get.
        pub next: u64,
        /// Log time.
        pub now: Millis,
        /// How long the log keeps records, in milliseconds.
        pub retention: u64,
        /// Records from the offset asked for, in order.
        pub records: Vec<Record>,
    }

    /// What an append returns.
    pub struct AppendResponse {
        /// Offset of the record.
        pub offset: u64,
    }
}

/// A client of the log service.
#[derive(Debug, Clone)]
pub struct LogClient {
    base_url: String,
    appends: Client,
    reads: Client,
}

impl LogClient {
    /// A client for the log at `addr`.
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            base_url: format!("http://{addr}/log"),
            appends: Client::new(APPEND_TIMEOUT),
            reads: Client::new(READ_WAIT + READ_MARGIN),
        }
    }

    /// Appends one record. [`CallError::had_no_effect`] tells whether a failed append is certain not
    /// to take effect.
    pub fn append(&self, stream: &str, data: &[u8]) -> Result<u64, CallError> {
        let body = self.appends.post(&format!("{}/{stream}", self.base_url), data)?;
        let response: AppendResponse =
            serde_json::from_slice(&body).map_err(|e| CallError::InvalidResponse(e.to_string()))?;
        Ok(response.offset)
    }

    /// Reads from `from`, waiting up to `wait` milliseconds for the first record.
    pub fn read(&self, stream: &str, from: u64, wait: u64) -> Result<Page, CallError> {
        self.reads.get_packed(&format!("{}/{stream}?from={from}&wait={wait}", self.base_url))
    }
}
