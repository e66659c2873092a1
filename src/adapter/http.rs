//! HTTP client for short calls to peers and to the platform, with timeouts, a bound on the size of
//! bodies and pooled connections.

use std::fmt::Display;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use ureq::Agent;
use ureq::http::HeaderMap;
use ureq::unversioned::resolver::DefaultResolver;

use super::codec;
use super::transport::{BUFFER_SIZE, CheckedConnector};

/// Largest body of a response with a status other than 2xx, in bytes, and the part of it that is kept.
const ERROR_BODY_LIMIT: u64 = 64 << 10;
const ERROR_TEXT_LIMIT: usize = 1 << 10;
/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a call returned no usable response.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The server refused the call with a status other than 2xx and did nothing.
    #[error("refused with status {status}: {text}")]
    Status { status: u16, text: String },
    /// No connection could be established, so nothing was sent.
    #[error("not reached: {0}")]
    ConnectFailed(String),
    /// The call may have been sent, but no complete response arrived; it may have taken effect.
    #[error("no answer: {0}")]
    NoResponse(String),
    /// A response arrived but could not be decoded.
    #[error("bad answer: {0}")]
    InvalidResponse(String),
}

impl CallError {
    /// True if the call certainly had no effect, so that repeating it is safe.
    pub fn had_no_effect(&self) -> bool {
        matches!(self, Self::ConnectFailed(_) | Self::Status { .. })
    }
}

/// A 2xx response.
#[derive(Debug)]
pub struct Answer {
    /// The whole body.
    pub body: Vec<u8>,
    headers: HeaderMap,
}

impl Answer {
    /// Value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// Client whose calls each have one timeout, from connecting to the last byte of the body.
#[derive(Debug, Clone)]
pub struct Client {
    agent: Agent,
    /// Largest body of a response, in bytes.
    body_limit: u64,
}

impl Client {
    /// A client whose calls time out after `timeout` milliseconds and fail if the body of a response is
    /// larger than `body_limit` bytes. Each call may hold as much in memory.
    pub fn new(timeout: u64, body_limit: u64) -> Self {
        let config = Agent::config_builder()
            .timeout_global(Some(Duration::from_millis(timeout)))
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .http_status_as_error(false)
            .max_redirects(0)
            .max_redirects_will_error(false)
            .input_buffer_size(BUFFER_SIZE)
            .output_buffer_size(BUFFER_SIZE)
            .proxy(None)
            .build();
        let agent = Agent::with_parts(config, CheckedConnector, DefaultResolver::default());
        Self { agent, body_limit }
    }

    /// Sends a GET and returns the body of a 2xx response.
    pub fn get(&self, url: &str) -> Result<Vec<u8>, CallError> {
        self.fetch(url).map(|a| a.body)
    }

    /// Sends a GET and returns a 2xx response with its headers.
    pub fn fetch(&self, url: &str) -> Result<Answer, CallError> {
        self.read_response(self.agent.get(url).call())
    }

    /// Like [`Client::fetch`], but with a timeout of `timeout` milliseconds, for calls on which the
    /// server waits for new data.
    pub fn fetch_with_timeout(&self, url: &str, timeout: u64) -> Result<Answer, CallError> {
        let request = self.agent.get(url).config();
        let request = request.timeout_global(Some(Duration::from_millis(timeout))).build();
        self.read_response(request.call())
    }

    /// Posts raw bytes and returns the body of a 2xx response.
    pub fn post(&self, url: &str, body: &[u8]) -> Result<Vec<u8>, CallError> {
        self.submit(url, body).map(|a| a.body)
    }

    /// Posts raw bytes and returns a 2xx response with its headers.
    pub fn submit(&self, url: &str, body: &[u8]) -> Result<Answer, CallError> {
        self.read_response(self.agent.post(url).header("content-type", codec::MSGPACK).send(body))
    }

    /// Sends a GET and decodes the JSON response.
    pub fn get_json<T: DeserializeOwned>(&self, url: &str) -> Result<T, CallError> {
        serde_json::from_slice(&self.get(url)?).map_err(invalid_response)
    }

    /// Sends a GET and decodes the MessagePack response.
    pub fn get_packed<T: DeserializeOwned>(&self, url: &str) -> Result<T, CallError> {
        codec::unpack(&self.get(url)?).map_err(invalid_response)
    }

    /// Posts a value as MessagePack and decodes the MessagePack response.
    pub fn post_packed<Q: Serialize, A: DeserializeOwned>(
        &self,
        url: &str,
        value: &Q,
    ) -> Result<A, CallError> {
        codec::unpack(&self.post(url, &codec::pack(value))?).map_err(invalid_response)
    }

    /// A 2xx response, with its whole body.
    fn read_response(
        &self,
        result: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
    ) -> Result<Answer, CallError> {
        let mut response = result.map_err(|e| classify(&e))?;
        let status = response.status().as_u16();
        let accepted = (200..300).contains(&status);
        let limit = if accepted { self.body_limit } else { ERROR_BODY_LIMIT };
        let body = response.body_mut().with_config().limit(limit).read_to_vec();
        let mut body = body.map_err(|e| CallError::NoResponse(e.to_string()))?;
        if accepted {
            return Ok(Answer { body, headers: response.headers().clone() });
        }
        body.truncate(ERROR_TEXT_LIMIT);
        Err(CallError::Status { status, text: String::from_utf8_lossy(&body).into_owned() })
    }
}

fn invalid_response(e: impl Display) -> CallError {
    CallError::InvalidResponse(e.to_string())
}

fn classify(e: &ureq::Error) -> CallError {
    let connect_failed = match e {
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => true,
        ureq::Error::Timeout(t) => matches!(t, ureq::Timeout::Connect | ureq::Timeout::Resolve),
        ureq::Error::Io(io) => io.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    };
    if connect_failed {
        CallError::ConnectFailed(e.to_string())
    } else {
        CallError::NoResponse(e.to_string())
    }
}
