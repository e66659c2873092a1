//! Chat completions: streams tokens from engines to the caller, each once and in order, and
//! resumes a stream that breaks.

use std::io;
use std::sync::Arc;

use serde_json::{Value, json};
use xxhash_rust::xxh3::xxh3_64;

use super::attempt::{Order, Run, Tried};
use super::fail::Failure;
use super::front::Context;
use super::keyed::{KeyedRequest, SendOutcome};
use super::metrics::Metrics;
use super::trace::Trace;
use super::{Entry, lock};
use crate::adapter::clock::Millis;
use crate::adapter::endpoint::{self, AttemptError, Call, CallControl};
use crate::adapter::serve::Reply;
use crate::mechanism::{self, Mechanism};
use crate::policy::claim::Answer;
use crate::policy::pool::Grant;

/// Start of a prompt that decides which engines may have it cached, in bytes.
const PREFIX: usize = 256;
/// Shortest allowed silence of an engine, in milliseconds.
const SILENCE_MIN: u64 = 1_500;
/// Longest allowed silence of an engine, in milliseconds.
const SILENCE_MAX: u64 = 20_000;
/// Longest time of one attempt, in milliseconds.
const ATTEMPT_MAX: u64 = 1_800_000;
const JSON: (&str, &str) = ("content-type", "application/json");

/// Tokens over which a stream's pace is taken.
const PACE_TOKENS: u64 = 5;

/// What a caller asks for.
struct ChatRequest {
    model: String,
    stream: bool,
    body: Value,
    content: u64,
    prefix: u64,
}

/// End of an engine's answer.
#[derive(Debug, Clone)]
enum End {
    /// The last token came.
    Finished { reason: String, usage: Value },
    /// The engine refused the request as wrong.
    Rejected(Answer),
}

fn bad(text: &str) -> Failure {
    Failure::not_run(400, "bad_request", text)
}

fn read(body: &[u8]) -> Result<ChatRequest, Failure> {
    let body: Value =
        serde_json::from_slice(body).map_err(|e| bad(&format!("the body is not JSON: {e}")))?;
    if !body.is_object() {
        return Err(bad("the body must be a JSON object"));
    }
    let model = body["model"].as_str().ok_or_else(|| bad("`model` must be a string"))?.to_owned();
    let messages = body["messages"].as_array().filter(|m| !m.is_empty());
    let messages = messages.ok_or_else(|| bad("`messages` must be a list that is not empty"))?;
    let formed = |m: &Value| m["role"].is_string() && !m["content"].is_null();
    if let Some(i) = messages.iter().position(|m| !formed(m)) {
        return Err(bad(&format!("`messages[{i}]` needs a role and a content")));
    }
    let stream = match &body["stream"] {
        Value::Null => false,
        Value::Bool(b) => *b,
        _ => return Err(bad("`stream` must be true or false")),
    };
    if !body["max_tokens"].is_null() && body["max_tokens"].as_u64().is_none_or(|n| n == 0) {
        return Err(bad("`max_tokens` must be a whole number above 0"));
    }
    let text = body["messages"].to_string();
    let content = xxh3_64(format!("{model}\n{text}").as_bytes());
    let first = messages[0]["content"].to_string();
    let prefix = xxh3_64(&first.as_bytes()[..first.len().min(PREFIX)]).max(1);
    Ok(ChatRequest { model, stream, body, content, prefix })
}

/// Serves a chat completion.
pub fn serve(mut context: Context<'_>, reply: &mut Reply<'_>) -> Result<(), Failure> {
    let chat = read(&context.request.body)?;
    let fleet = Arc::clone(&context.fleet);
    let Some((service, _)) = fleet.service_of(&chat.model) else {
        let text = format!("no model is called `{}`", chat.model);
        return Err(Failure::not_run(404, "unknown_model", text));
    };
    let default = fleet.workspaces[&context.workspace].class.clone();
    let class = context.class(&default)?;
    let order = context.order(service, &class, chat.content, chat.prefix);
    let key = if order.once { context.key(service)? } else { None };
    if let Some((text, _)) = &key
        && context.entry.forward_to_issuer(text, &context, reply)?
    {
        return Ok(());
    }
    let digest = context.digest();
    let trace = std::mem::take(&mut context.trace);
    let mut session = Session {
        entry: context.entry,
        order: &order,
        chat: &chat,
        reply,
        begun: false,
        next: 0,
        text: String::new(),
        last: 0,
        first: 0,
        paced: (0, 0),
    };
    match key {
        Some((text, key)) => session
            .keyed(&KeyedRequest { text: &text, key, digest, deadline: order.deadline() }, trace),
        None => session.plain(trace),
    }
}

/// One chat on its way to the caller.
struct Session<'a, 'r> {
    entry: &'a Arc<Entry>,
    order: &'a Order,
    chat: &'a ChatRequest,
    reply: &'a mut Reply<'r>,
    begun: bool,
    /// Next token that the caller is to get.
    next: u64,
    text: String,
    first: Millis,
    last: Millis,
    /// When the pace was last taken, 0 for never in this attempt, and at which token.
    paced: (Millis, u64),
}

impl Session<'_, '_> {
    /// A chat without a key: tokens go to the caller as they come.
    fn plain(&mut self, mut trace: Trace) -> Result<(), Failure> {
        let line = self.reply.probe();
        let order = self.order;
        let entry = self.entry;
        let gone = || {
            !order.once
                && line
                    .as_ref()
                    .is_some_and(super::super::adapter::serve::ConnectionProbe::is_closed)
        };
        let live = self.chat.stream && !order.once;
        let run = entry.run(order, &mut trace, &gone, |grant| self.attempt(grant, live));
        let class = &order.class;
        match run {
            Run::Whole(end) => {
                Metrics::add(&entry.metrics.good, class, self.next);
                entry.finish(trace, "whole");
                self.finish(&end, live).ok();
                Ok(())
            }
            Run::CallerGone => {
                Metrics::add(&entry.metrics.wasted, class, self.next);
                entry.finish(trace, "caller_gone");
                self.reply.abort();
                Ok(())
            }
            Run::Failed { failure, .. } => {
                Metrics::add(&entry.metrics.wasted, class, self.next);
                entry.finish(trace, failure.code);
                if !self.begun {
                    return Err(failure);
                }
                // The head is out: the error goes as an event, and no end of the body follows.
                let event = format!("data: {}\n\n", failure.body(&order.id));
                self.reply.chunk(event.as_bytes()).ok();
                self.reply.abort();
                Ok(())
            }
        }
    }

    /// A chat that must run at most once: the answer is kept for resends, then sent whole.
    fn keyed(&mut self, keyed: &KeyedRequest<'_>, mut trace: Trace) -> Result<(), Failure> {
        let (entry, order) = (self.entry, self.order);
        let mut note = String::new();
        let ended = entry.run_once(keyed, &mut note, || {
            match entry.run(order, &mut trace, &|| false, |grant| self.attempt(grant, false)) {
                Run::Whole(End::Finished { reason, usage }) => {
                    SendOutcome::Done(self.whole(&reason, &usage))
                }
                Run::Whole(End::Rejected(answer)) => SendOutcome::Done(answer),
                Run::Failed { failure, sent: false } => SendOutcome::NotSent(failure),
                Run::Failed { failure, sent: true } => SendOutcome::Lost(failure),
                Run::CallerGone => {
                    SendOutcome::Lost(Failure::unknown(502, "outcome_unknown", "the call was cut"))
                }
            }
        });
        trace.claim = note;
        match ended {
            Ok(answer) => {
                entry.finish(trace, "whole");
                self.replay(&answer).ok();
                Ok(())
            }
            Err(failure) => {
                entry.finish(trace, failure.code);
                Err(failure)
            }
        }
    }

    fn attempt(&mut self, grant: &Grant, live: bool) -> Tried<End> {
        let from = self.next;
        let silence = (self.order.params.deadline / 4).clamp(SILENCE_MIN, SILENCE_MAX);
        let line = self.reply.probe();
        let once = self.order.once;
        let gone = move || {
            !once
                && line
                    .as_ref()
                    .is_some_and(super::super::adapter::serve::ConnectionProbe::is_closed)
        };
        let watch = CallControl::new(silence, ATTEMPT_MAX, Box::new(gone));
        self.paced = (0, from);
        let attempt = format!("{}-{}", self.order.id, grant.job);
        let body = self.engine_body(grant, from).to_string();
        let headers =
            [(JSON.0.to_owned(), JSON.1.to_owned()), ("x-attempt".to_owned(), attempt.clone())];
        let call = Call {
            addr: &grant.addr,
            method: "POST",
            path: "/v1/chat/completions",
            headers: &headers,
            body: body.as_bytes(),
        };
        match self.stream(&call, &watch, &attempt, live, grant) {
            Ok(Heard::End(end)) => Tried::Whole(end, self.gap(from)),
            Ok(Heard::Draining) => Tried::Draining,
            Ok(Heard::Moved) => Tried::Moved { from: self.next },
            Ok(Heard::CallerGone) | Err(AttemptError::Cancelled) => Tried::CallerGone,
            Err(fault) => {
                if !live {
                    tracing::debug!("chat: {attempt} broke at token {}: {fault}.", self.next);
                }
                Tried::Failed { fault, sent: watch.sent(), from: self.next }
            }
        }
    }

    /// The caller's body with the engine's own fields.
    fn engine_body(&self, grant: &Grant, from: u64) -> Value {
        let mut body = self.chat.body.clone();
        body["stream"] = true.into();
        body["priority"] = grant.priority.into();
        if from > 0 {
            body["resume_from"] = from.into();
        }
        body
    }

    fn stream(
        &mut self,
        call: &Call<'_>,
        watch: &Arc<CallControl>,
        attempt: &str,
        live: bool,
        grant: &Grant,
    ) -> Result<Heard, AttemptError> {
        let mut answer = endpoint::call(call, watch)?;
        match answer.status {
            200 => {}
            503 => return Ok(Heard::Draining),
            400..500 => {
                let (status, headers) = (answer.status, vec![(JSON.0.into(), JSON.1.into())]);
                let body = answer.read_body()?;
                return Ok(Heard::End(End::Rejected(Answer { status, headers, body })));
            }
            _ => return Err(AttemptError::InvalidResponse),
        }
        loop {
            let Some(data) = answer.next_event()? else {
                return Err(AttemptError::ConnectionLost);
            };
            match Chunk::read(&data, attempt, self.next)? {
                Chunk::Token(text) => {
                    if self.token(&text, live).is_err() {
                        return Ok(Heard::CallerGone);
                    }
                    if self.should_move(grant) {
                        return Ok(Heard::Moved);
                    }
                }
                Chunk::Repeated => {}
                Chunk::End(end) => return Ok(Heard::End(end)),
            }
        }
    }

    /// Tells the pool the pace from time to time; true when the stream should go on elsewhere.
    fn should_move(&mut self, grant: &Grant) -> bool {
        let (since, from) = self.paced;
        let tokens = self.next - from;
        if tokens < PACE_TOKENS {
            return false;
        }
        self.paced = (self.last, self.next);
        let Some(dispatcher) = self.entry.dispatcher(&self.order.service) else { return false };
        // The first tokens wait for the prefill and say nothing of the pace.
        if since > 0 {
            let gap = self.last.saturating_sub(since) as f64 / tokens as f64;
            dispatcher.pace(self.last, &grant.endpoint, gap);
        }
        !self.order.once && dispatcher.moving(grant.job)
    }

    /// Takes one token; sends it on when the caller wants a stream.
    fn token(&mut self, text: &str, live: bool) -> io::Result<()> {
        let now = self.entry.now();
        let (metrics, class) = (&self.entry.metrics, &self.order.class);
        if self.next == 0 {
            self.first = now;
            self.entry.first_token(self.order);
        } else {
            let gap = now.saturating_sub(self.last);
            Metrics::met(&metrics.gaps, class, gap <= self.order.params.between_tokens);
        }
        self.last = now;
        self.next += 1;
        if !live {
            self.text.push_str(text);
            return Ok(());
        }
        let delta = if self.begun {
            json!({ "content": text })
        } else {
            json!({ "role": "assistant", "content": text })
        };
        self.event(&delta, None)
    }

    /// Sends one event; the head goes before the first.
    fn event(&mut self, delta: &Value, end: Option<(&str, &Value)>) -> io::Result<()> {
        if !self.begun {
            self.begun = true;
            let headers = [
                ("content-type", "text/event-stream"),
                ("cache-control", "no-cache"),
                ("x-request-id", self.order.id.as_str()),
            ];
            self.reply.start(200, &headers)?;
        }
        let mut chunk = json!({
            "id": self.order.id,
            "object": "chat.completion.chunk",
            "created": self.order.arrived / 1_000,
            "model": self.chat.model,
            "choices": [{ "index": 0, "delta": delta, "finish_reason": end.map(|e| e.0) }],
        });
        if let Some((_, usage)) = end {
            chunk["usage"] = usage.clone();
        }
        self.reply.chunk(format!("data: {chunk}\n\n").as_bytes())
    }

    fn finish(&mut self, end: &End, live: bool) -> io::Result<()> {
        match end {
            End::Rejected(answer) => self.replay(answer),
            End::Finished { reason, usage } if live => {
                self.event(&json!({}), Some((reason, usage)))?;
                self.reply.chunk(b"data: [DONE]\n\n")?;
                self.reply.end()
            }
            End::Finished { reason, usage } => {
                let answer = self.whole(reason, usage);
                self.replay(&answer)
            }
        }
    }

    /// The whole answer as one JSON value.
    fn whole(&self, reason: &str, usage: &Value) -> Answer {
        let message = json!({ "role": "assistant", "content": self.text });
        let body = json!({
            "id": self.order.id,
            "object": "chat.completion",
            "created": self.order.arrived / 1_000,
            "model": self.chat.model,
            "choices": [{ "index": 0, "message": message, "finish_reason": reason }],
            "usage": usage,
        });
        let headers = vec![(JSON.0.to_owned(), JSON.1.to_owned())];
        Answer { status: 200, headers, body: body.to_string().into_bytes() }
    }

    /// Sends a whole answer in the form that the caller asked for.
    fn replay(&mut self, answer: &Answer) -> io::Result<()> {
        let value: Value = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
        let choice = &value["choices"][0];
        if !self.chat.stream || answer.status != 200 || choice.is_null() {
            let headers = [JSON, ("x-request-id", self.order.id.as_str())];
            return self.reply.send(answer.status, &headers, &answer.body);
        }
        let reason = choice["finish_reason"].as_str().unwrap_or("stop").to_owned();
        self.event(&choice["message"].clone(), None)?;
        self.event(&json!({}), Some((&reason, &value["usage"])))?;
        self.reply.chunk(b"data: [DONE]\n\n")?;
        self.reply.end()
    }

    /// Average gap between the tokens of this attempt, in milliseconds.
    fn gap(&self, from: u64) -> Option<f64> {
        let n = self.next.saturating_sub(from);
        let span = self.last.saturating_sub(self.first) as f64;
        (from == 0 && n > 1).then(|| span / (n - 1) as f64)
    }
}

enum Heard {
    End(End),
    Moved,
    Draining,
    CallerGone,
}

/// One event of an engine.
enum Chunk {
    Token(String),
    Repeated,
    End(End),
}

impl Chunk {
    /// Reads an event. Events of other attempts and tokens out of order are faults.
    fn read(data: &str, attempt: &str, next: u64) -> Result<Self, AttemptError> {
        let value: Value = serde_json::from_str(data).map_err(|_| AttemptError::InvalidResponse)?;
        let own = value["id"].as_str() == Some(attempt);
        if !own && mechanism::on(Mechanism::Attempts) {
            tracing::warn!("chat: an event of another attempt was dropped.");
            return Err(AttemptError::InvalidResponse);
        }
        let choice = &value["choices"][0];
        if let Some(reason) = choice["finish_reason"].as_str() {
            let usage = value["usage"].clone();
            if usage["completion_tokens"].as_u64().is_some_and(|n| n != next) {
                return Err(AttemptError::InvalidResponse);
            }
            return Ok(Self::End(End::Finished { reason: reason.to_owned(), usage }));
        }
        let text = choice["delta"]["content"].as_str().unwrap_or("").to_owned();
        // An engine that doesn't number its tokens is taken at its order.
        match value["token"].as_u64() {
            None => Ok(Self::Token(text)),
            Some(n) if n == next => Ok(Self::Token(text)),
            Some(n) if n < next => Ok(Self::Repeated),
            Some(_) => Err(AttemptError::InvalidResponse),
        }
    }
}

impl Entry {
    /// Releases a quarantined content; false when it is not known.
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
