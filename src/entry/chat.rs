//! Chat completions: forwards the tokens of an engine to the caller, each once and in order, and
//! resumes an interrupted stream on another engine.

use std::io;
use std::sync::Arc;

use serde_json::{Value, json};
use xxhash_rust::xxh3::xxh3_64;

use super::attempt::{AttemptResult, RequestResult, RequestSpec};
use super::fail::Failure;
use super::front::Context;
use super::keyed::{KeyedRequest, SendOutcome};
use super::metrics::Metrics;
use super::trace::Trace;
use super::{Entry, lock};
use crate::adapter::clock::Millis;
use crate::adapter::endpoint::{self, AttemptError, Call, CallControl};
use crate::adapter::serve::ResponseWriter;
use crate::mechanism::{self, Mechanism};
use crate::policy::claim::BufferedResponse;
use crate::policy::pool::Grant;

/// Length of the prompt prefix by which requests are routed to engines that may have it cached, in
/// bytes.
const PREFIX_LEN: usize = 256;
/// Lower limit of the idle timeout of an engine, in milliseconds.
const MIN_IDLE_TIMEOUT_MS: u64 = 1_500;
/// Upper limit of the idle timeout of an engine, in milliseconds.
const MAX_IDLE_TIMEOUT_MS: u64 = 20_000;
/// Timeout of one attempt, in milliseconds.
const MAX_ATTEMPT_MS: u64 = 1_800_000;
const JSON_HEADER: (&str, &str) = ("content-type", "application/json");

/// Number of tokens over which the average token gap of a stream is measured.
const GAP_SAMPLE_TOKENS: u64 = 5;

/// A parsed chat completion request.
struct ChatRequest {
    model: String,
    stream: bool,
    body: Value,
    /// Hash of model and messages.
    content: u64,
    /// Hash of the prompt prefix; never 0.
    prefix: u64,
}

/// How an engine's response ended.
#[derive(Debug, Clone)]
enum StreamEnd {
    /// Complete, with finish reason and token usage.
    Finished { reason: String, usage: Value },
    /// The engine rejected the request with a 4xx status.
    Rejected(BufferedResponse),
}

fn bad_request(text: &str) -> Failure {
    Failure::not_run(400, "bad_request", text)
}

fn parse_request(body: &[u8]) -> Result<ChatRequest, Failure> {
    let body: Value = serde_json::from_slice(body)
        .map_err(|e| bad_request(&format!("the body is not JSON: {e}")))?;
    if !body.is_object() {
        return Err(bad_request("the body must be a JSON object"));
    }
    let model =
        body["model"].as_str().ok_or_else(|| bad_request("`model` must be a string"))?.to_owned();
    let messages = body["messages"].as_array().filter(|m| !m.is_empty());
    let messages =
        messages.ok_or_else(|| bad_request("`messages` must be a list that is not empty"))?;
    let valid = |m: &Value| m["role"].is_string() && !m["content"].is_null();
    if let Some(i) = messages.iter().position(|m| !valid(m)) {
        return Err(bad_request(&format!("`messages[{i}]` needs a role and a content")));
    }
    let stream = match &body["stream"] {
        Value::Null => false,
        Value::Bool(b) => *b,
        _ => return Err(bad_request("`stream` must be true or false")),
    };
    if !body["max_tokens"].is_null() && body["max_tokens"].as_u64().is_none_or(|n| n == 0) {
        return Err(bad_request("`max_tokens` must be a whole number above 0"));
    }
    let text = body["messages"].to_string();
    let content = xxh3_64(format!("{model}\n{text}").as_bytes());
    let first = messages[0]["content"].to_string();
    let prefix = xxh3_64(&first.as_bytes()[..first.len().min(PREFIX_LEN)]).max(1);
    Ok(ChatRequest { model, stream, body, content, prefix })
}

/// Serves a chat completion.
pub fn serve(mut context: Context<'_>, writer: &mut ResponseWriter<'_>) -> Result<(), Failure> {
    let chat = parse_request(&context.request.body)?;
    let fleet = Arc::clone(&context.fleet);
    let Some((service, _)) = fleet.service_of(&chat.model) else {
        let text = format!("no model is called `{}`", chat.model);
        return Err(Failure::not_run(404, "unknown_model", text));
    };
    let default = fleet.workspaces[&context.workspace].class.clone();
    let class = context.class(&default)?;
    let spec = context.spec(service, &class, chat.content, chat.prefix);
    let key = if spec.non_idempotent { context.key(service)? } else { None };
    if let Some((text, _)) = &key
        && context.entry.forward_to_issuer(text, &context, writer)?
    {
        return Ok(());
    }
    let digest = context.digest();
    let trace = std::mem::take(&mut context.trace);
    let mut session = Session {
        entry: context.entry,
        spec: &spec,
        chat: &chat,
        writer,
        head_sent: false,
        next_token: 0,
        text: String::new(),
        last_at: 0,
        first_at: 0,
        gap_start: (0, 0),
    };
    match key {
        Some((text, key)) => session.run_keyed(
            &KeyedRequest { text: &text, key, digest, deadline: spec.deadline() },
            trace,
        ),
        None => session.run_unkeyed(trace),
    }
}

/// State of a chat completion across its attempts.
struct Session<'a, 'r> {
    entry: &'a Arc<Entry>,
    spec: &'a RequestSpec,
    chat: &'a ChatRequest,
    writer: &'a mut ResponseWriter<'r>,
    /// True once the head of the event stream has been sent to the caller.
    head_sent: bool,
    /// Index of the next token expected from the engine.
    next_token: u64,
    /// Text received so far, if it isn't streamed to the caller.
    text: String,
    /// Arrival of the first token.
    first_at: Millis,
    /// Arrival of the last token.
    last_at: Millis,
    /// Time and token index at which the current measurement of the token gap began. The time is 0
    /// for the first measurement of an attempt.
    gap_start: (Millis, u64),
}

impl Session<'_, '_> {
    /// Serves a chat without an idempotency key. Tokens are forwarded as they arrive if the caller
    /// asked for a stream and the class is idempotent.
    fn run_unkeyed(&mut self, mut trace: Trace) -> Result<(), Failure> {
        let probe = self.writer.probe();
        let spec = self.spec;
        let entry = self.entry;
        let disconnected = || {
            !spec.non_idempotent
                && probe
                    .as_ref()
                    .is_some_and(super::super::adapter::serve::ConnectionProbe::is_closed)
        };
        let streaming = self.chat.stream && !spec.non_idempotent;
        let result =
            entry.run(spec, &mut trace, &disconnected, |grant| self.attempt(grant, streaming));
        let class = &spec.class;
        match result {
            RequestResult::Completed(end) => {
                Metrics::add(&entry.metrics.good_tokens, class, self.next_token);
                entry.finish(trace, "whole");
                self.send_end(&end, streaming).ok();
                Ok(())
            }
            RequestResult::CallerGone => {
                Metrics::add(&entry.metrics.wasted_tokens, class, self.next_token);
                entry.finish(trace, "caller_gone");
                self.writer.abort();
                Ok(())
            }
            RequestResult::Failed { failure, .. } => {
                Metrics::add(&entry.metrics.wasted_tokens, class, self.next_token);
                entry.finish(trace, failure.code);
                if !self.head_sent {
                    return Err(failure);
                }
                // The head has been sent: report the error as an event, and leave the body
                // unfinished.
                let event = format!("data: {}\n\n", failure.body(&spec.id));
                self.writer.chunk(event.as_bytes()).ok();
                self.writer.abort();
                Ok(())
            }
        }
    }

    /// Serves a chat with an idempotency key. The complete response is stored for callers that
    /// repeat the request, and only then sent.
    fn run_keyed(&mut self, keyed: &KeyedRequest<'_>, mut trace: Trace) -> Result<(), Failure> {
        let (entry, spec) = (self.entry, self.spec);
        let mut note = String::new();
        let ended = entry.run_once(keyed, &mut note, || {
            match entry.run(spec, &mut trace, &|| false, |grant| self.attempt(grant, false)) {
                RequestResult::Completed(StreamEnd::Finished { reason, usage }) => {
                    SendOutcome::Done(self.completion(&reason, &usage))
                }
                RequestResult::Completed(StreamEnd::Rejected(response)) => {
                    SendOutcome::Done(response)
                }
                RequestResult::Failed { failure, sent: false } => SendOutcome::NotSent(failure),
                RequestResult::Failed { failure, sent: true } => SendOutcome::Lost(failure),
                RequestResult::CallerGone => {
                    SendOutcome::Lost(Failure::unknown(502, "outcome_unknown", "the call was cut"))
                }
            }
        });
        trace.claim = note;
        match ended {
            Ok(response) => {
                entry.finish(trace, "whole");
                self.send_response(&response).ok();
                Ok(())
            }
            Err(failure) => {
                entry.finish(trace, failure.code);
                Err(failure)
            }
        }
    }

    /// Makes one attempt on the granted endpoint.
    fn attempt(&mut self, grant: &Grant, streaming: bool) -> AttemptResult<StreamEnd> {
        let resume_from = self.next_token;
        let idle_timeout =
            (self.spec.params.deadline / 4).clamp(MIN_IDLE_TIMEOUT_MS, MAX_IDLE_TIMEOUT_MS);
        let probe = self.writer.probe();
        let non_idempotent = self.spec.non_idempotent;
        let disconnected = move || {
            !non_idempotent
                && probe
                    .as_ref()
                    .is_some_and(super::super::adapter::serve::ConnectionProbe::is_closed)
        };
        let room = &self.entry.responses;
        let disconnected = Box::new(disconnected);
        let control = CallControl::new_in(room, idle_timeout, MAX_ATTEMPT_MS, disconnected);
        self.gap_start = (0, resume_from);
        let attempt = format!("{}-{}", self.spec.id, grant.job);
        let body = self.engine_body(grant, resume_from).to_string();
        let headers = [
            (JSON_HEADER.0.to_owned(), JSON_HEADER.1.to_owned()),
            ("x-attempt".to_owned(), attempt.clone()),
        ];
        let call = Call {
            addr: &grant.addr,
            method: "POST",
            path: "/v1/chat/completions",
            headers: &headers,
            body: body.as_bytes(),
        };
        match self.read_stream(&call, &control, &attempt, streaming, grant) {
            Ok(StreamOutcome::End(end)) => {
                AttemptResult::Completed(end, self.average_gap(resume_from))
            }
            Ok(StreamOutcome::Draining) => AttemptResult::Draining,
            Ok(StreamOutcome::Migrate) => AttemptResult::Migrated { resume_from: self.next_token },
            Ok(StreamOutcome::CallerGone) | Err(AttemptError::Cancelled) => {
                AttemptResult::CallerGone
            }
            Err(error) => {
                if !streaming {
                    tracing::debug!(
                        "chat: attempt {attempt} failed at token {}: {error}.",
                        self.next_token
                    );
                }
                AttemptResult::Failed { error, sent: control.sent(), resume_from: self.next_token }
            }
        }
    }

    /// Body of the request to the engine: the caller's, with `stream`, `priority` and
    /// `resume_from` set.
    fn engine_body(&self, grant: &Grant, resume_from: u64) -> Value {
        let mut body = self.chat.body.clone();
        body["stream"] = true.into();
        body["priority"] = grant.priority.into();
        if resume_from > 0 {
            body["resume_from"] = resume_from.into();
        }
        body
    }

    /// Sends the request and processes the engine's events until the stream ends or must migrate,
    /// or the caller is gone.
    fn read_stream(
        &mut self,
        call: &Call<'_>,
        control: &Arc<CallControl>,
        attempt: &str,
        streaming: bool,
        grant: &Grant,
    ) -> Result<StreamOutcome, AttemptError> {
        let mut response = endpoint::call(call, control)?;
        match response.status {
            200 => {}
            503 => return Ok(StreamOutcome::Draining),
            400..500 => {
                let (status, headers) =
                    (response.status, vec![(JSON_HEADER.0.into(), JSON_HEADER.1.into())]);
                let body = response.read_body()?;
                return Ok(StreamOutcome::End(StreamEnd::Rejected(BufferedResponse {
                    status,
                    headers,
                    body,
                })));
            }
            _ => return Err(AttemptError::InvalidResponse),
        }
        loop {
            let Some(data) = response.next_event()? else {
                return Err(AttemptError::ConnectionLost);
            };
            match Chunk::parse(&data, attempt, self.next_token)? {
                Chunk::Token(text) => {
                    if self.accept_token(&text, streaming).is_err() {
                        return Ok(StreamOutcome::CallerGone);
                    }
                    control.keep(self.text.len())?;
                    if self.should_migrate(grant) {
                        return Ok(StreamOutcome::Migrate);
                    }
                }
                Chunk::Duplicate => {}
                Chunk::End(end) => return Ok(StreamOutcome::End(end)),
            }
        }
    }

    /// Every [`GAP_SAMPLE_TOKENS`] tokens, reports the average token gap to the pool and returns
    /// true if the stream should continue on another endpoint.
    fn should_migrate(&mut self, grant: &Grant) -> bool {
        let (since, start) = self.gap_start;
        let tokens = self.next_token - start;
        if tokens < GAP_SAMPLE_TOKENS {
            return false;
        }
        self.gap_start = (self.last_at, self.next_token);
        let Some(dispatcher) = self.entry.dispatcher(&self.spec.service) else { return false };
        // The first sample of an attempt includes the prefill and is not a token gap.
        if since > 0 {
            let gap = self.last_at.saturating_sub(since) as f64 / tokens as f64;
            dispatcher.record_gap(self.last_at, &grant.endpoint, gap);
        }
        !self.spec.non_idempotent && dispatcher.should_migrate(grant.job)
    }

    /// Records one token, and forwards it if `streaming`, else appends it to the text.
    fn accept_token(&mut self, text: &str, streaming: bool) -> io::Result<()> {
        let now = self.entry.now();
        let (metrics, class) = (&self.entry.metrics, &self.spec.class);
        if self.next_token == 0 {
            self.first_at = now;
            self.entry.record_first_token(self.spec);
        } else {
            let gap = now.saturating_sub(self.last_at);
            Metrics::count_target(
                &metrics.token_gaps,
                class,
                gap <= self.spec.params.between_tokens,
            );
        }
        self.last_at = now;
        self.next_token += 1;
        if !streaming {
            self.text.push_str(text);
            return Ok(());
        }
        let delta = if self.head_sent {
            json!({ "content": text })
        } else {
            json!({ "role": "assistant", "content": text })
        };
        self.send_event(&delta, None)
    }

    /// Sends one event, and before the first one the head. `end` holds finish reason and usage.
    fn send_event(&mut self, delta: &Value, end: Option<(&str, &Value)>) -> io::Result<()> {
        if !self.head_sent {
            self.head_sent = true;
            let headers = [
                ("content-type", "text/event-stream"),
                ("cache-control", "no-cache"),
                ("x-request-id", self.spec.id.as_str()),
            ];
            self.writer.start(200, &headers)?;
        }
        let mut chunk = json!({
            "id": self.spec.id,
            "object": "chat.completion.chunk",
            "created": self.spec.arrived / 1_000,
            "model": self.chat.model,
            "choices": [{ "index": 0, "delta": delta, "finish_reason": end.map(|e| e.0) }],
        });
        if let Some((_, usage)) = end {
            chunk["usage"] = usage.clone();
        }
        self.writer.chunk(format!("data: {chunk}\n\n").as_bytes())
    }

    /// Ends a streamed response, or sends the complete response.
    fn send_end(&mut self, end: &StreamEnd, streaming: bool) -> io::Result<()> {
        match end {
            StreamEnd::Rejected(response) => self.send_response(response),
            StreamEnd::Finished { reason, usage } if streaming => {
                self.send_event(&json!({}), Some((reason, usage)))?;
                self.writer.chunk(b"data: [DONE]\n\n")?;
                self.writer.end()
            }
            StreamEnd::Finished { reason, usage } => {
                let response = self.completion(reason, usage);
                self.send_response(&response)
            }
        }
    }

    /// The complete response as a `chat.completion` object.
    fn completion(&self, reason: &str, usage: &Value) -> BufferedResponse {
        let message = json!({ "role": "assistant", "content": self.text });
        let body = json!({
            "id": self.spec.id,
            "object": "chat.completion",
            "created": self.spec.arrived / 1_000,
            "model": self.chat.model,
            "choices": [{ "index": 0, "message": message, "finish_reason": reason }],
            "usage": usage,
        });
        let headers = vec![(JSON_HEADER.0.to_owned(), JSON_HEADER.1.to_owned())];
        BufferedResponse { status: 200, headers, body: body.to_string().into_bytes() }
    }

    /// Sends a complete response, as an event stream if the caller asked for one.
    fn send_response(&mut self, response: &BufferedResponse) -> io::Result<()> {
        let value: Value = serde_json::from_slice(&response.body).unwrap_or(Value::Null);
        let choice = &value["choices"][0];
        if !self.chat.stream || response.status != 200 || choice.is_null() {
            let headers = [JSON_HEADER, ("x-request-id", self.spec.id.as_str())];
            return self.writer.send(response.status, &headers, &response.body);
        }
        let reason = choice["finish_reason"].as_str().unwrap_or("stop").to_owned();
        self.send_event(&choice["message"].clone(), None)?;
        self.send_event(&json!({}), Some((&reason, &value["usage"])))?;
        self.writer.chunk(b"data: [DONE]\n\n")?;
        self.writer.end()
    }

    /// Average token gap of this attempt, in milliseconds; `None` if the attempt resumed a stream
    /// or received fewer than two tokens.
    fn average_gap(&self, resume_from: u64) -> Option<f64> {
        let n = self.next_token.saturating_sub(resume_from);
        let span = self.last_at.saturating_sub(self.first_at) as f64;
        (resume_from == 0 && n > 1).then(|| span / (n - 1) as f64)
    }
}

/// Why reading an engine's stream stopped without an error.
enum StreamOutcome {
    End(StreamEnd),
    Migrate,
    Draining,
    CallerGone,
}

/// One event of an engine's stream.
enum Chunk {
    Token(String),
    /// A token that was received before.
    Duplicate,
    End(StreamEnd),
}

impl Chunk {
    /// Parses the data of an event; `next` is the index of the token expected. An event of another
    /// attempt, a skipped token or a wrong token count is an [`AttemptError::InvalidResponse`].
    fn parse(data: &str, attempt: &str, next: u64) -> Result<Self, AttemptError> {
        let value: Value = serde_json::from_str(data).map_err(|_| AttemptError::InvalidResponse)?;
        let own = value["id"].as_str() == Some(attempt);
        if !own && mechanism::on(Mechanism::Attempts) {
            tracing::warn!("chat: the engine sent an event of another attempt; the call fails.");
            return Err(AttemptError::InvalidResponse);
        }
        let choice = &value["choices"][0];
        if let Some(reason) = choice["finish_reason"].as_str() {
            let usage = value["usage"].clone();
            if usage["completion_tokens"].as_u64().is_some_and(|n| n != next) {
                return Err(AttemptError::InvalidResponse);
            }
            return Ok(Self::End(StreamEnd::Finished { reason: reason.to_owned(), usage }));
        }
        let text = choice["delta"]["content"].as_str().unwrap_or("").to_owned();
        // Engines that don't number their tokens are assumed to send each once and in order.
        match value["token"].as_u64() {
            None => Ok(Self::Token(text)),
            Some(n) if n == next => Ok(Self::Token(text)),
            Some(n) if n < next => Ok(Self::Duplicate),
            Some(_) => Err(AttemptError::InvalidResponse),
        }
    }
}

impl Entry {
    /// Ends the quarantine of a content, and logs the release by `who` for the other instances.
    /// Returns false if this instance doesn't track the content.
    pub(super) fn release(&self, content: u64, who: &str) -> bool {
        use crate::fleet::audit::{Event, EventKind, Record};
        let known = lock(&self.suspects).release(content);
        let event = Event {
            at: self.now(),
            who: who.to_owned(),
            kind: EventKind::Released,
            subject: format!("{content:016x}"),
            detail: "released by an operator".to_owned(),
        };
        self.journal.queue_audit(Record::Release { content, event });
        known
    }
}
