//! Error responses to callers: HTTP status, a stable code, a message, and whether the request ran.

use serde_json::json;

use crate::adapter::serve::{BadRequest, ResponseWriter};
use crate::policy::Refusal;

closed! {
    /// Whether a failed request ran.
    pub enum Ran {
        /// It did not run.
        No,
        /// It may have run.
        Unknown,
    }
}

/// An error response.
#[derive(Debug, Clone, PartialEq)]
pub struct Failure {
    /// HTTP status.
    pub status: u16,
    /// Stable code for programs.
    pub code: &'static str,
    /// Message for people, one sentence.
    pub message: String,
    /// Whether the request ran.
    pub ran: Ran,
    /// Delay before a retry, in milliseconds; 0 if none is advised.
    pub retry_ms: u64,
}

impl Failure {
    /// Error of a request that did not run.
    pub fn not_run(status: u16, code: &'static str, message: impl Into<String>) -> Self {
        Self { status, code, message: message.into(), ran: Ran::No, retry_ms: 0 }
    }

    /// Error of a request of which it is unknown whether it ran.
    pub fn unknown(status: u16, code: &'static str, message: impl Into<String>) -> Self {
        Self { status, code, message: message.into(), ran: Ran::Unknown, retry_ms: 0 }
    }

    /// Sets the delay before a retry, in milliseconds.
    pub fn retry_after(mut self, ms: u64) -> Self {
        self.retry_ms = ms;
        self
    }

    /// Error of a request that the pool refused. `sent`: an earlier attempt may have run.
    pub fn refused(refusal: Refusal, sent: bool) -> Self {
        let (status, text) = match refusal {
            Refusal::QueueFull => (429, "the queue of this class is full"),
            Refusal::TooLate => (503, "it could not be answered before its deadline"),
            Refusal::WorkspaceLimit => (429, "the workspace runs as many requests as it may"),
            Refusal::NoEndpoint => (503, "no endpoint takes work for this service"),
        };
        let ran = if sent { Ran::Unknown } else { Ran::No };
        Self { status, code: refusal.code(), message: text.to_owned(), ran, retry_ms: 1_000 }
    }

    /// JSON body of the response; `id` is the request id.
    pub fn body(&self, id: &str) -> serde_json::Value {
        let mut error = json!({
            "code": self.code,
            "message": self.message,
            "type": "sassafras_error",
            "ran": self.ran,
            "request_id": id,
        });
        if self.retry_ms > 0 {
            error["retry_after_ms"] = self.retry_ms.into();
        }
        json!({ "error": error })
    }

    /// Sends the response, with the retry delay rounded up to whole seconds in `Retry-After`.
    pub fn send(&self, id: &str, writer: &mut ResponseWriter<'_>) {
        let seconds = self.retry_ms.div_ceil(1_000).to_string();
        let mut headers = vec![("content-type", "application/json"), ("x-request-id", id)];
        if self.retry_ms > 0 {
            headers.push(("retry-after", &seconds));
        }
        writer.send(self.status, &headers, self.body(id).to_string().as_bytes()).ok();
    }
}

/// Responds to a malformed HTTP request, which has no request id yet.
pub fn send_bad_request(error: BadRequest, writer: &mut ResponseWriter<'_>) {
    Failure::not_run(error.status, error.code, error.text).send("", writer);
}
