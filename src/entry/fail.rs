//! Errors as callers see them: a stable code, a sentence, and whether the request ran.

use serde_json::json;

use crate::adapter::serve::{BadRequest, Reply};
use crate::policy::Refusal;

closed! {
    /// Whether a request ran.
    pub enum Ran {
        /// It certainly did not run.
        No,
        /// It may have run.
        Unknown,
    }
}

/// An error for a caller.
#[derive(Debug, Clone, PartialEq)]
pub struct Failure {
    /// HTTP status.
    pub status: u16,
    /// Stable code.
    pub code: &'static str,
    /// One sentence.
    pub text: String,
    /// Whether the request ran.
    pub ran: Ran,
    /// When to try again, in milliseconds; 0 for never.
    pub retry: u64,
}

impl Failure {
    /// The request was not run.
    pub fn not_run(status: u16, code: &'static str, text: impl Into<String>) -> Self {
        Self { status, code, text: text.into(), ran: Ran::No, retry: 0 }
    }

    /// Nobody knows whether the request ran.
    pub fn unknown(status: u16, code: &'static str, text: impl Into<String>) -> Self {
        Self { status, code, text: text.into(), ran: Ran::Unknown, retry: 0 }
    }

    /// Adds when to try again.
    pub fn retry_after(mut self, ms: u64) -> Self {
        self.retry = ms;
        self
    }

    /// A refusal by the pool; `sent` tells whether an earlier attempt may have run.
    pub fn refused(why: Refusal, sent: bool) -> Self {
        let (status, text) = match why {
            Refusal::QueueFull => (429, "the queue of this class is full"),
            Refusal::TooLate => (503, "it could not be answered before its deadline"),
            Refusal::WorkspaceLimit => (429, "the workspace runs as many requests as it may"),
            Refusal::NoEndpoint => (503, "no endpoint takes work for this service"),
        };
        let ran = if sent { Ran::Unknown } else { Ran::No };
        Self { status, code: why.code(), text: text.to_owned(), ran, retry: 1_000 }
    }

    /// The error as JSON.
    pub fn body(&self, id: &str) -> serde_json::Value {
        let mut error = json!({
            "code": self.code,
            "message": self.text,
            "type": "sassafras_error",
            "ran": self.ran,
            "request_id": id,
        });
        if self.retry > 0 {
            error["retry_after_ms"] = self.retry.into();
        }
        json!({ "error": error })
    }

    /// Sends the error as a whole answer.
    pub fn send(&self, id: &str, reply: &mut Reply<'_>) {
        let retry = self.retry.div_ceil(1_000).to_string();
        let mut headers = vec![("content-type", "application/json"), ("x-request-id", id)];
        if self.retry > 0 {
            headers.push(("retry-after", &retry));
        }
        reply.send(self.status, &headers, self.body(id).to_string().as_bytes()).ok();
    }
}

/// Answers a request that is badly formed.
pub fn refuse(bad: BadRequest, reply: &mut Reply<'_>) {
    Failure::not_run(bad.status, bad.code, bad.text).send("", reply);
}
