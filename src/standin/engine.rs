//! Stand-in for a model engine: continuous batching with limited slots, a prefix cache, priorities
//! with preemption, cancellation, resumption, delayed load reports, and faults. The generated text
//! is a deterministic function of the prompt, so that a test can compute the expected response.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::mpsc::{self, Receiver, SyncSender};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;

use indexmap::IndexSet;
use serde_json::json;
use uuid::Uuid;
use xxhash_rust::xxh3::xxh3_64;

use super::{send_json, serve};
use crate::adapter::clock::{Clock, Millis};
use crate::adapter::serve::{Request, ResponseWriter, Server};
use crate::policy::endpoint::Report;

/// Events buffered between the batch and a connection. A request whose buffer is full is
/// cancelled.
const EVENT_BUFFER: usize = 4_096;
/// Capacity of the prefix cache, in prefixes.
const CACHE_CAPACITY: usize = 64;
/// The prefill time of a request with a cached prefix is divided by this.
const CACHED_DIVISOR: u64 = 10;
/// A prompt that contains this text crashes the engine after its prefill.
pub const POISON: &str = "poison";

/// Parameters of an engine.
#[derive(Debug, Clone, Copy)]
pub struct EngineOptions {
    /// Maximum number of requests in the batch.
    pub slots: usize,
    /// Duration of one step of the batch, in milliseconds. A step generates one token per request.
    pub step: u64,
    /// Prefill time of one prompt word, in microseconds.
    pub prefill: u64,
    /// Minimum age of the figures in load reports, in milliseconds.
    pub lag: u64,
    /// Time that the engine is down after a crash, in milliseconds.
    pub restart: u64,
}

/// Counters of one engine since it was created; crashes do not reset them.
#[derive(Debug, Clone, Copy, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Totals {
    /// Tokens generated.
    pub tokens: u64,
    /// Tokens generated for requests that were cancelled, or were in the batch at a crash.
    pub wasted: u64,
    /// Requests accepted into the queue.
    pub started: u64,
    /// Requests that generated their last token.
    pub finished: u64,
    /// Times that a request in the batch was preempted by a more urgent one.
    pub preempted: u64,
    /// Number of crashes.
    pub crashes: u64,
    /// Requests received while it was draining.
    pub late: u64,
}

/// What the batch sends to the connection of a request.
enum Event {
    /// Index and text of a token.
    Token(u64, String),
    /// Finish reason; the last event.
    Done(&'static str),
}

/// A request in the batch or in the queue.
struct Sequence {
    /// Lower values are more urgent.
    priority: u8,
    /// Sequence number in order of arrival.
    arrival: u64,
    /// Determines the text of the tokens.
    seed: u64,
    /// True if the request crashes the engine.
    poison: bool,
    /// Prefill time without a cached prefix, in microseconds.
    prefill: u64,
    /// Prefill time that remains, in microseconds.
    prefill_left: u64,
    /// Index of the first token to generate; above 0 if the request resumes an interrupted
    /// response.
    start: u64,
    /// Index of the next token.
    next: u64,
    /// Index after the last token.
    end: u64,
    finish_reason: &'static str,
    events: SyncSender<Event>,
}

struct State {
    /// Boot id; changes at each crash.
    boot: Uuid,
    /// The batch.
    running: Vec<Sequence>,
    /// The queue.
    waiting: Vec<Sequence>,
    /// Hashes of the cached prefixes, oldest first.
    cache: IndexSet<u64>,
    /// Time, batch size and queue length at the end of each step. The first entry is the one to
    /// report.
    reports: VecDeque<(Millis, u32, u32)>,
    totals: Totals,
    down_until: Millis,
    /// Factor on the duration of a step.
    slowdown: u64,
    draining: bool,
    /// See [`EngineStandin::set_crossed`].
    crossed: bool,
    /// Requests that have arrived so far.
    arrivals: u64,
}

/// A stand-in engine.
pub struct EngineStandin {
    name: String,
    options: EngineOptions,
    clock: Clock,
    state: Mutex<State>,
}

impl EngineStandin {
    /// Creates an engine and starts the thread that runs its batch.
    pub fn new(clock: Clock, name: &str, options: EngineOptions) -> Arc<Self> {
        let state = State {
            boot: Uuid::new_v4(),
            running: Vec::new(),
            waiting: Vec::new(),
            cache: IndexSet::new(),
            reports: VecDeque::new(),
            totals: Totals::default(),
            down_until: 0,
            slowdown: 1,
            draining: false,
            crossed: false,
            arrivals: 0,
        };
        let engine =
            Arc::new(Self { name: name.to_owned(), options, clock, state: Mutex::new(state) });
        let batch = Arc::clone(&engine);
        thread::spawn(move || batch.run());
        engine
    }

    /// Serves load reports and chat completions on `addr`.
    pub fn serve(self: &Arc<Self>, addr: SocketAddr) -> io::Result<Server> {
        let engine = Arc::clone(self);
        serve(addr, move |request, writer| engine.handle(&request, writer))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Name of the engine.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Current counters.
    pub fn totals(&self) -> Totals {
        self.lock().totals
    }

    /// Number of requests in the batch.
    pub fn running(&self) -> usize {
        self.lock().running.len()
    }

    /// Makes every step take `factor` times as long.
    pub fn set_slowdown(&self, factor: u64) {
        self.lock().slowdown = factor.max(1);
    }

    /// Sets whether the engine is draining: its load report says so, and it rejects new requests.
    pub fn set_draining(&self, on: bool) {
        self.lock().draining = on;
    }

    /// Makes the engine answer as if to another request: with a wrong attempt id and wrong text.
    pub fn set_crossed(&self, on: bool) {
        self.lock().crossed = on;
    }

    /// Crashes the engine: it loses all requests and its cache, drops connections for the restart
    /// time, and comes back under a new boot id.
    pub fn crash(&self) {
        let now = self.clock.now();
        crash(&mut self.lock(), now + self.options.restart);
    }

    /// Steps the batch forever.
    fn run(&self) {
        loop {
            let slowdown = self.lock().slowdown;
            let step = self.options.step * slowdown;
            self.clock.sleep(step);
            let now = self.clock.now();
            let mut state = self.lock();
            if now >= state.down_until {
                self.step(&mut state, now, step);
            }
            self.record_load(&mut state, now);
        }
    }

    /// Records the load and drops the records that are older than the one to report.
    fn record_load(&self, state: &mut State, now: Millis) {
        let (running, waiting) = (state.running.len() as u32, state.waiting.len() as u32);
        state.reports.push_back((now, running, waiting));
        while state.reports.get(1).is_some_and(|r| r.0 + self.options.lag <= now) {
            state.reports.pop_front();
        }
    }

    /// Advances each request in the batch by one token, or by `step` milliseconds of its prefill.
    /// Cancels requests whose connection is gone or does not keep up.
    fn step(&self, state: &mut State, now: Millis, step: u64) {
        self.schedule(state);
        let mut i = 0;
        while i < state.running.len() {
            let seq = &mut state.running[i];
            if seq.prefill_left > 0 {
                seq.prefill_left = seq.prefill_left.saturating_sub(step * 1_000);
                i += 1;
                continue;
            }
            if seq.poison {
                return crash(state, now + self.options.restart);
            }
            let token = token_text(seq.seed, seq.next);
            let sent =
                seq.next >= seq.end || seq.events.try_send(Event::Token(seq.next, token)).is_ok();
            if !sent {
                let cancelled = state.running.remove(i);
                state.totals.wasted += cancelled.next - cancelled.start;
                continue;
            }
            if seq.next < seq.end {
                seq.next += 1;
                state.totals.tokens += 1;
            }
            if seq.next >= seq.end {
                let finished = state.running.remove(i);
                finished.events.try_send(Event::Done(finished.finish_reason)).ok();
                state.totals.finished += 1;
                continue;
            }
            i += 1;
        }
    }

    /// Fills the batch in order of priority and arrival. While the batch is full, a more urgent
    /// request in the queue preempts the least urgent one of the batch. The preempted request
    /// repeats its prefill at the cost of a cached prefix when it resumes.
    fn schedule(&self, state: &mut State) {
        state.waiting.sort_by_key(|s| (s.priority, s.arrival));
        while !state.waiting.is_empty() && state.running.len() < self.options.slots {
            let seq = state.waiting.remove(0);
            state.running.push(seq);
        }
        loop {
            let Some(best) = state.waiting.first().map(|s| s.priority) else {
                return;
            };
            let worst =
                state.running.iter().enumerate().max_by_key(|(_, s)| (s.priority, s.arrival));
            let Some((i, _)) = worst.filter(|(_, s)| s.priority > best) else {
                return;
            };
            let mut preempted = state.running.remove(i);
            preempted.prefill_left = preempted.prefill / CACHED_DIVISOR;
            state.totals.preempted += 1;
            let seq = state.waiting.remove(0);
            state.running.push(seq);
            state.waiting.push(preempted);
            state.waiting.sort_by_key(|s| (s.priority, s.arrival));
        }
    }

    fn handle(&self, request: &Request, writer: &mut ResponseWriter<'_>) {
        if self.clock.now() < self.lock().down_until {
            return writer.abort();
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/load") => send_json(writer, 200, &json!(self.report())),
            ("POST", "/v1/chat/completions") => self.chat(request, writer),
            _ => send_json(writer, 404, &json!({ "error": "no such path" })),
        }
    }

    /// The load report, from figures that are at least `lag` old once such figures exist.
    fn report(&self) -> Report {
        let now = self.clock.now();
        let state = self.lock();
        let (at, running, waiting) = state.reports.front().copied().unwrap_or((now, 0, 0));
        Report {
            boot: state.boot.to_string(),
            running,
            waiting,
            draining: state.draining,
            age: now.saturating_sub(at),
        }
    }

    /// Handles a chat completion and streams its response.
    fn chat(&self, request: &Request, writer: &mut ResponseWriter<'_>) {
        let Ok(body) = serde_json::from_slice::<serde_json::Value>(&request.body) else {
            return send_json(writer, 400, &json!({ "error": "not JSON" }));
        };
        let (draining, crossed) = {
            let mut state = self.lock();
            state.totals.late += u64::from(state.draining);
            (state.draining, state.crossed)
        };
        if draining {
            return send_json(writer, 503, &json!({ "error": "draining" }));
        }
        let mut id = request.header("x-attempt").unwrap_or("").to_owned();
        if crossed {
            id = format!("other-{}", Uuid::new_v4());
        }
        let model = body["model"].as_str().unwrap_or("").to_owned();
        let (prompt_words, events) = self.enqueue(&body, u64::from(crossed));
        if writer.start(200, &[("content-type", "text/event-stream")]).is_err() {
            return;
        }
        self.stream(&id, &model, prompt_words, &events, writer);
    }

    /// Queues a request, and returns the number of words of its prompt and its events. `seed_mask`
    /// is XORed into the seed; any value but 0 changes the text of the response.
    fn enqueue(&self, body: &serde_json::Value, seed_mask: u64) -> (u64, Receiver<Event>) {
        let texts: Vec<&str> = body["messages"]
            .as_array()
            .map(|m| m.iter().filter_map(|m| m["content"].as_str()).collect())
            .unwrap_or_default();
        let prompt = texts.join("\n");
        let prompt_words = prompt.split_whitespace().count() as u64;
        let seed = xxh3_64(prompt.as_bytes()) ^ seed_mask;
        let prefix = xxh3_64(texts.first().unwrap_or(&"").as_bytes());
        let length = response_length(&prompt, seed);
        let limit = body["max_tokens"].as_u64().unwrap_or(u64::MAX);
        let start = body["resume_from"].as_u64().unwrap_or(0);
        let (events, receiver) = mpsc::sync_channel(EVENT_BUFFER);
        let mut state = self.lock();
        let cached = state.cache.contains(&prefix);
        if !cached && state.cache.len() >= CACHE_CAPACITY {
            state.cache.shift_remove_index(0);
        }
        state.cache.insert(prefix);
        let prefill = (prompt_words * self.options.prefill).max(1);
        state.arrivals += 1;
        state.totals.started += 1;
        let seq = Sequence {
            priority: body["priority"].as_u64().unwrap_or(0) as u8,
            arrival: state.arrivals,
            seed,
            poison: prompt.contains(POISON),
            prefill,
            prefill_left: if cached { prefill / CACHED_DIVISOR } else { prefill },
            start,
            next: start,
            end: length.min(limit),
            finish_reason: if length > limit { "length" } else { "stop" },
            events,
        };
        state.waiting.push(seq);
        (prompt_words, receiver)
    }

    /// Sends the events of a request as server-sent events until the last one. Aborts the response
    /// if the request was lost in a crash or cancelled.
    fn stream(
        &self,
        id: &str,
        model: &str,
        prompt_words: u64,
        events: &Receiver<Event>,
        writer: &mut ResponseWriter<'_>,
    ) {
        let mut count = 0;
        // `recv` fails after the batch has dropped the request and with it the sender.
        while let Ok(event) = events.recv() {
            match event {
                Event::Token(n, text) => {
                    count = n + 1;
                    let chunk = json!({
                        "id": id,
                        "object": "chat.completion.chunk",
                        "model": model,
                        "token": n,
                        "choices": [{ "index": 0, "delta": { "content": text }, "finish_reason": null }],
                    });
                    if writer.chunk(format!("data: {chunk}\n\n").as_bytes()).is_err() {
                        return;
                    }
                }
                Event::Done(finish) => {
                    let chunk = json!({
                        "id": id,
                        "object": "chat.completion.chunk",
                        "model": model,
                        "choices": [{ "index": 0, "delta": {}, "finish_reason": finish }],
                        "usage": { "prompt_tokens": prompt_words, "completion_tokens": count },
                    });
                    let end = format!("data: {chunk}\n\ndata: [DONE]\n\n");
                    if writer.chunk(end.as_bytes()).is_ok() {
                        writer.end().ok();
                    }
                    return;
                }
            }
        }
        writer.abort();
    }
}

/// Drops all requests and the cache, renews the boot id, and sets the engine down until the
/// given time.
fn crash(state: &mut State, until: Millis) {
    state.totals.crashes += 1;
    state.totals.wasted += state.running.iter().map(|s| s.next - s.start).sum::<u64>();
    state.running.clear();
    state.waiting.clear();
    state.cache.clear();
    state.boot = Uuid::new_v4();
    state.down_until = until;
}

/// Text of token `n` of the response to the prompt with this seed.
pub fn token_text(seed: u64, n: u64) -> String {
    let hash = xxh3_64(&[seed.to_le_bytes(), n.to_le_bytes()].concat());
    format!("w{} ", hash % 10_000)
}

/// The expected response, at most `limit` tokens long, to a chat whose messages, joined with line
/// breaks, are `prompt`.
pub fn response_text(prompt: &str, limit: u64) -> String {
    let seed = xxh3_64(prompt.as_bytes());
    (0..response_length(prompt, seed).min(limit)).map(|n| token_text(seed, n)).collect()
}

/// Length of the response to a prompt, in tokens: N if the prompt contains the word `len=N`, else
/// derived from the seed.
fn response_length(prompt: &str, seed: u64) -> u64 {
    let requested = prompt.split_whitespace().find_map(|w| w.strip_prefix("len="));
    requested.and_then(|n| n.parse().ok()).unwrap_or(16 + seed % 64)
}
