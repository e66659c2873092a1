//! Model engine: continuous batch with limited slots, prefix cache, priorities, cancel, resume,
//! lagging load reports, and faults.

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
use crate::adapter::serve::{Reply, Request, Server};
use crate::policy::endpoint::Report;

/// Tokens buffered between the batch and a connection.
const EVENT_BUFFER: usize = 4_096;
/// Prefixes that fit into the cache.
const CACHE_CAPACITY: usize = 64;
/// Part of the prefill that a cached prefix still costs, as a divisor.
const CACHED_DIVISOR: u64 = 10;
/// Content that crashes the engine.
pub const POISON: &str = "poison";

/// Parameters of an engine.
#[derive(Debug, Clone, Copy)]
pub struct EngineOptions {
    /// Requests in the batch at most.
    pub slots: usize,
    /// Time of one step of the batch, in milliseconds.
    pub step: u64,
    /// Prefill of one prompt word, in microseconds.
    pub prefill: u64,
    /// Delay of load reports in milliseconds.
    pub lag: u64,
    /// Time that a crashed engine is away, in milliseconds.
    pub restart: u64,
}

/// Totals of one engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Totals {
    /// Tokens generated.
    pub tokens: u64,
    /// Tokens generated for requests that were cancelled, crashed or failed.
    pub wasted: u64,
    /// Requests started.
    pub started: u64,
    /// Requests that generated their last token.
    pub finished: u64,
    /// Requests put back for more urgent ones.
    pub preempted: u64,
    /// Crashes.
    pub crashes: u64,
    /// Requests received after it began to drain.
    pub late: u64,
}

enum Event {
    Token(u64, String),
    Done(&'static str),
}

struct Sequence {
    priority: u8,
    arrival: u64,
    seed: u64,
    poison: bool,
    prefill: u64,
    prefill_left: u64,
    start: u64,
    next: u64,
    end: u64,
    finish_reason: &'static str,
    events: SyncSender<Event>,
}

struct State {
    boot: Uuid,
    running: Vec<Sequence>,
    waiting: Vec<Sequence>,
    cache: IndexSet<u64>,
    reports: VecDeque<(Millis, u32, u32)>,
    totals: Totals,
    down_until: Millis,
    slowdown: u64,
    draining: bool,
    crossed: bool,
    arrivals: u64,
}

/// The stand-in engine.
pub struct EngineStandin {
    name: String,
    options: EngineOptions,
    clock: Clock,
    state: Mutex<State>,
}

impl EngineStandin {
    /// Starts the batch of an engine.
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

    /// Serves on `addr`.
    pub fn serve(self: &Arc<Self>, addr: SocketAddr) -> io::Result<Server> {
        let engine = Arc::clone(self);
        serve(addr, move |request, reply| engine.handle(&request, reply))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Name of the engine.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Totals so far.
    pub fn totals(&self) -> Totals {
        self.lock().totals
    }

    /// Requests in the batch.
    pub fn running(&self) -> usize {
        self.lock().running.len()
    }

    /// Makes every step take `factor` times as long.
    pub fn set_slowdown(&self, factor: u64) {
        self.lock().slowdown = factor.max(1);
    }

    /// Sets whether it says that it is leaving.
    pub fn set_draining(&self, on: bool) {
        self.lock().draining = on;
    }

    /// Makes it answer with the identity of another request.
    pub fn set_crossed(&self, on: bool) {
        self.lock().crossed = on;
    }

    /// Drops all its requests and stays away for its restart time.
    pub fn crash(&self) {
        let now = self.clock.now();
        crash(&mut self.lock(), now + self.options.restart);
    }

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

    fn record_load(&self, state: &mut State, now: Millis) {
        let (running, waiting) = (state.running.len() as u32, state.waiting.len() as u32);
        state.reports.push_back((now, running, waiting));
        while state.reports.get(1).is_some_and(|r| r.0 + self.options.lag <= now) {
            state.reports.pop_front();
        }
    }

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

    /// Fills the batch in order of priority; urgent requests push patient ones out.
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

    fn handle(&self, request: &Request, reply: &mut Reply<'_>) {
        if self.clock.now() < self.lock().down_until {
            return reply.abort();
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/load") => send_json(reply, 200, &json!(self.report())),
            ("POST", "/v1/chat/completions") => self.chat(request, reply),
            _ => send_json(reply, 404, &json!({ "error": "no such path" })),
        }
    }

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

    fn chat(&self, request: &Request, reply: &mut Reply<'_>) {
        let Ok(body) = serde_json::from_slice::<serde_json::Value>(&request.body) else {
            return send_json(reply, 400, &json!({ "error": "not JSON" }));
        };
        let (draining, crossed) = {
            let mut state = self.lock();
            state.totals.late += u64::from(state.draining);
            (state.draining, state.crossed)
        };
        if draining {
            return send_json(reply, 503, &json!({ "error": "draining" }));
        }
        let mut id = request.header("x-attempt").unwrap_or("").to_owned();
        if crossed {
            id = format!("other-{}", Uuid::new_v4());
        }
        let model = body["model"].as_str().unwrap_or("").to_owned();
        let (prompt_words, events) = self.enqueue(&body, u64::from(crossed));
        if reply.start(200, &[("content-type", "text/event-stream")]).is_err() {
            return;
        }
        self.stream(&id, &model, prompt_words, &events, reply);
    }

    fn enqueue(&self, body: &serde_json::Value, seed_mask: u64) -> (u64, Receiver<Event>) {
        let texts: Vec<&str> = body["messages"]
            .as_array()
            .map(|m| m.iter().filter_map(|m| m["content"].as_str()).collect())
            .unwrap_or_default();
        let prompt = texts.join("\n");
        let prompt_words = prompt.split_whitespace().count() as u64;
        let seed = xxh3_64(prompt.as_bytes()) ^ seed_mask;
        let prefix = xxh3_64(texts.first().unwrap_or(&"").as_bytes());
        let length = answer_length(&prompt, seed);
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

    fn stream(
        &self,
        id: &str,
        model: &str,
        prompt_words: u64,
        events: &Receiver<Event>,
        reply: &mut Reply<'_>,
    ) {
        let mut count = 0;
        // The batch drops its sender when the request is lost in a crash.
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
                    if reply.chunk(format!("data: {chunk}\n\n").as_bytes()).is_err() {
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
                    if reply.chunk(end.as_bytes()).is_ok() {
                        reply.end().ok();
                    }
                    return;
                }
            }
        }
        reply.abort();
    }
}

fn crash(state: &mut State, until: Millis) {
    state.totals.crashes += 1;
    state.totals.wasted += state.running.iter().map(|s| s.next - s.start).sum::<u64>();
    state.running.clear();
    state.waiting.clear();
    state.cache.clear();
    state.boot = Uuid::new_v4();
    state.down_until = until;
}

/// Token `n` of the answer to the prompt with this seed.
pub fn token_text(seed: u64, n: u64) -> String {
    let hash = xxh3_64(&[seed.to_le_bytes(), n.to_le_bytes()].concat());
    format!("w{} ", hash % 10_000)
}

/// Whole answer to a chat whose messages join to `prompt`.
pub fn answer(prompt: &str, limit: u64) -> String {
    let seed = xxh3_64(prompt.as_bytes());
    (0..answer_length(prompt, seed).min(limit)).map(|n| token_text(seed, n)).collect()
}

/// Tokens that a prompt asks for: `len=N` in it, else drawn from its hash.
fn answer_length(prompt: &str, seed: u64) -> u64 {
    let requested = prompt.split_whitespace().find_map(|w| w.strip_prefix("len="));
    requested.and_then(|n| n.parse().ok()).unwrap_or(16 + seed % 64)
}
