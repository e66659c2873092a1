//! Client of an entry instance: sends requests and reads responses, whole or as a stream.

use std::time::Instant;

use serde_json::{Value, json};

use crate::adapter::endpoint::{self, AttemptError, Call, CallControl};

/// Longest time without input from the instance, in milliseconds.
const IDLE_TIMEOUT: u64 = 60_000;
/// Longest time for a whole request, in milliseconds.
const REQUEST_TIMEOUT: u64 = 600_000;

/// A caller of one instance, with the options of its requests.
#[derive(Debug, Clone)]
pub struct Caller {
    /// Address of the instance, `ip:port`.
    pub addr: String,
    /// Bearer token.
    pub token: String,
    /// Class of the requests; empty for the default.
    pub class: String,
    /// Idempotency key; empty for none.
    pub key: String,
    /// Additional headers.
    pub headers: Vec<(String, String)>,
}

/// A response as the caller received it. Times are in milliseconds since the request was sent.
#[derive(Debug, Clone, Default)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Request id.
    pub id: String,
    /// Body, or the concatenated text of a stream.
    pub text: String,
    /// True for a stream that was received to its end, and for any other response without an error
    /// status.
    pub complete: bool,
    /// Time of the first token, or of the end of a response that is not streamed.
    pub first_token: f64,
    /// Time of the last token, or of the end of a response that is not streamed.
    pub last_token: f64,
    /// Number of tokens received by a stream.
    pub tokens: u64,
    /// Times between successive tokens of a stream, in milliseconds.
    pub token_gaps: Vec<f64>,
    /// Error code; empty if there is no error.
    pub code: String,
    /// Whether a failed request ran, as stated by the error; empty if there is no error.
    pub ran: String,
}

impl Caller {
    /// A caller that uses the default class and no idempotency key.
    pub fn new(addr: &str, token: &str) -> Self {
        Self {
            addr: addr.to_owned(),
            token: token.to_owned(),
            class: String::new(),
            key: String::new(),
            headers: Vec::new(),
        }
    }

    /// Sets the class.
    pub fn class(mut self, class: &str) -> Self {
        self.class = class.to_owned();
        self
    }

    /// Sets the idempotency key.
    pub fn key(mut self, key: &str) -> Self {
        self.key = key.to_owned();
        self
    }

    /// Adds a header.
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    fn request_headers(&self) -> Vec<(String, String)> {
        let mut headers = vec![
            ("authorization".to_owned(), format!("Bearer {}", self.token)),
            ("content-type".to_owned(), "application/json".to_owned()),
        ];
        if !self.class.is_empty() {
            headers.push((crate::entry::front::CLASS_HEADER.to_owned(), self.class.clone()));
        }
        if !self.key.is_empty() {
            headers.push((crate::entry::front::KEY_HEADER.to_owned(), self.key.clone()));
        }
        headers.extend(self.headers.iter().cloned());
        headers
    }

    /// Sends a request and reads the whole response. An error status is returned as a response too.
    pub fn send(&self, method: &str, path: &str, body: &[u8]) -> Result<Response, AttemptError> {
        let start = Instant::now();
        let control = CallControl::new(IDLE_TIMEOUT, REQUEST_TIMEOUT, Box::new(|| false));
        let headers = self.request_headers();
        let call = Call { addr: &self.addr, method, path, headers: &headers, body };
        let response = endpoint::call(&call, &control)?;
        let status = response.status;
        let id = response.header("x-request-id").unwrap_or("").to_owned();
        let text = String::from_utf8_lossy(&response.read_body()?).into_owned();
        let elapsed = elapsed_ms(start);
        let mut result = Response {
            status,
            id,
            text,
            first_token: elapsed,
            last_token: elapsed,
            complete: status < 400,
            ..Response::default()
        };
        result.read_error();
        Ok(result)
    }

    /// Sends a chat request for at most `max` tokens and reads the stream. If the stream breaks
    /// off, the response is returned as incomplete.
    pub fn stream(&self, model: &str, prompt: &str, max: u64) -> Result<Response, AttemptError> {
        let start = Instant::now();
        let control = CallControl::new(IDLE_TIMEOUT, REQUEST_TIMEOUT, Box::new(|| false));
        let headers = self.request_headers();
        let body = chat_body(model, prompt, max, true).to_string();
        let path = "/v1/chat/completions";
        let body = body.as_bytes();
        let call = Call { addr: &self.addr, method: "POST", path, headers: &headers, body };
        let mut response = endpoint::call(&call, &control)?;
        let id = response.header("x-request-id").unwrap_or("").to_owned();
        let mut result = Response { status: response.status, id, ..Response::default() };
        if result.status != 200 {
            result.text = String::from_utf8_lossy(&response.read_body()?).into_owned();
            result.first_token = elapsed_ms(start);
            result.last_token = result.first_token;
            result.read_error();
            return Ok(result);
        }
        let mut finished = false;
        while let Ok(Some(data)) = response.next_event() {
            if data == "[DONE]" {
                result.complete = finished;
                break;
            }
            let value: Value =
                serde_json::from_str(&data).map_err(|_| AttemptError::InvalidResponse)?;
            if value.get("error").is_some() {
                result.code = value["error"]["code"].as_str().unwrap_or("").to_owned();
                result.ran = value["error"]["ran"].as_str().unwrap_or("").to_owned();
            }
            let choice = &value["choices"][0];
            finished |= choice["finish_reason"].is_string();
            if let Some(text) = choice["delta"]["content"].as_str() {
                result.push_token(elapsed_ms(start), text);
            }
        }
        Ok(result)
    }
}

impl Response {
    fn push_token(&mut self, at: f64, text: &str) {
        if self.tokens == 0 {
            self.first_token = at;
        } else {
            self.token_gaps.push(at - self.last_token);
        }
        self.last_token = at;
        self.tokens += 1;
        self.text.push_str(text);
    }

    fn read_error(&mut self) {
        let value: Value = serde_json::from_str(&self.text).unwrap_or(Value::Null);
        self.code = value["error"]["code"].as_str().unwrap_or("").to_owned();
        self.ran = value["error"]["ran"].as_str().unwrap_or("").to_owned();
    }

    /// The body as JSON; null if it is not JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or(Value::Null)
    }
}

/// Body of a chat request with one message, for at most `max` tokens.
pub fn chat_body(model: &str, prompt: &str, max: u64, stream: bool) -> Value {
    json!({
        "model": model,
        "messages": [{ "role": "user", "content": prompt }],
        "max_tokens": max,
        "stream": stream,
    })
}

fn elapsed_ms(start: Instant) -> f64 {
    start.elapsed().as_secs_f64() * 1e3
}
