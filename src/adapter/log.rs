//! Client of the platform's append-only log. Only this module knows the protocol of the log:
//! `POST /log/STREAM` appends the body as one record; `GET /log/STREAM?from=N&wait=MS` reads.

use std::net::SocketAddr;

use super::clock::Millis;
use super::http::{CallError, Client};

/// Timeout of an append, in milliseconds.
const APPEND_TIMEOUT: u64 = 2_000;
/// Time that a read may take beyond the server's wait for records, in milliseconds.
const READ_MARGIN: u64 = 2_000;
/// Largest response to an append, in bytes.
const APPEND_BODY_LIMIT: u64 = 64 << 10;
/// Largest response to a read, in bytes.
const PAGE_LIMIT: u64 = 32 << 20;
/// Longest time that a long-polling read may ask the server to wait for records, in milliseconds.
pub const READ_WAIT: u64 = 1_000;

data! {
    /// One record of a stream.
    pub struct Record {
        /// Position in the stream.
        pub offset: u64,
        /// Time at which the log accepted the record, by the clock of the log.
        pub at: Millis,
        /// Bytes that were appended.
        #[serde(with = "serde_bytes")]
        pub data: Vec<u8>,
    }

    /// Response to a read.
    pub struct Page {
        /// Offset of the oldest record that is still retained.
        pub oldest: u64,
        /// Offset that the next appended record will get.
        pub next: u64,
        /// Current time by the clock of the log.
        pub now: Millis,
        /// Retention period of records, in milliseconds.
        pub retention: u64,
        /// Records from the requested offset on, in order.
        pub records: Vec<Record>,
    }

    /// Response to an append.
    pub struct AppendResponse {
        /// Offset of the appended record.
        pub offset: u64,
    }
}

/// Client of the log service.
#[derive(Debug, Clone)]
pub struct LogClient {
    base_url: String,
    appends: Client,
    reads: Client,
}

impl LogClient {
    /// A client of the log served at `addr`.
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            base_url: format!("http://{addr}/log"),
            appends: Client::new(APPEND_TIMEOUT, APPEND_BODY_LIMIT),
            reads: Client::new(READ_WAIT + READ_MARGIN, PAGE_LIMIT),
        }
    }

    /// Appends one record and returns its offset. After an error,
    /// [`CallError::had_no_effect`] tells whether the record is certain not to be appended.
    pub fn append(&self, stream: &str, data: &[u8]) -> Result<u64, CallError> {
        let body = self.appends.post(&format!("{}/{stream}", self.base_url), data)?;
        let response: AppendResponse =
            serde_json::from_slice(&body).map_err(|e| CallError::InvalidResponse(e.to_string()))?;
        Ok(response.offset)
    }

    /// Reads records from offset `from` on. If there are none yet, the server waits up to `wait`
    /// milliseconds for the first one.
    pub fn read(&self, stream: &str, from: u64, wait: u64) -> Result<Page, CallError> {
        self.reads.get_packed(&format!("{}/{stream}?from={from}&wait={wait}", self.base_url))
    }
}
