//! Append-only log with offsets, limited retention, and faults.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use indexmap::IndexMap;

use super::{query_number, query_param, send_json, serve};
use crate::adapter::clock::{Clock, Millis};
use crate::adapter::codec;
use crate::adapter::log::{Page, Record};
use crate::adapter::serve::{Reply, Request, Server};

/// Records in one page at most.
const PAGE_LIMIT: usize = 2_000;

/// How the log misbehaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// It works.
    None,
    /// It refuses every call.
    Down,
    /// It takes calls and answers none; appends don't take effect.
    Hang,
    /// Appends take effect, but their answers are lost.
    Lost,
    /// Every call takes this many milliseconds more.
    Slow(u64),
}

#[derive(Debug, Default)]
struct Stream {
    oldest: u64,
    records: VecDeque<Record>,
}

#[derive(Debug)]
struct State {
    streams: IndexMap<String, Stream>,
    fault: Fault,
    retention: u64,
    rate: f64,
    tokens: f64,
    refilled: Millis,
    appends: u64,
    reads: u64,
}

/// The stand-in log.
pub struct LogStandin {
    state: Mutex<State>,
    changed: Condvar,
    clock: Clock,
}

impl LogStandin {
    /// A log that keeps records for `retention` milliseconds and takes `rate` appends a second.
    pub fn new(clock: Clock, retention: u64, rate: f64) -> Arc<Self> {
        let state = State {
            streams: IndexMap::new(),
            fault: Fault::None,
            retention,
            rate,
            tokens: rate,
            refilled: clock.now(),
            appends: 0,
            reads: 0,
        };
        Arc::new(Self { state: Mutex::new(state), changed: Condvar::new(), clock })
    }

    /// Serves on `addr`.
    pub fn serve(self: &Arc<Self>, addr: SocketAddr) -> io::Result<Server> {
        let log = Arc::clone(self);
        serve(addr, move |request, reply| log.handle(&request, reply))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Switches a fault.
    pub fn set_fault(&self, fault: Fault) {
        self.lock().fault = fault;
        self.changed.notify_all();
    }

    /// Changes the retention, in milliseconds.
    pub fn set_retention(&self, ms: u64) {
        self.lock().retention = ms;
    }

    /// Appends and reads served so far.
    pub fn counts(&self) -> (u64, u64) {
        let state = self.lock();
        (state.appends, state.reads)
    }

    /// Records ever appended to a stream.
    pub fn appended(&self, name: &str) -> u64 {
        let state = self.lock();
        state.streams.get(name).map_or(0, |s| s.oldest + s.records.len() as u64)
    }

    /// Switches a fault by its name, as the control call does.
    pub fn control(&self, request: &Request) -> bool {
        let fault = match query_param(request, "fault") {
            Some("none") => Fault::None,
            Some("down") => Fault::Down,
            Some("hang") => Fault::Hang,
            Some("lost") => Fault::Lost,
            Some("slow") => Fault::Slow(query_number(request, "ms", 500)),
            _ => return false,
        };
        self.set_fault(fault);
        true
    }

    fn handle(&self, request: &Request, reply: &mut Reply<'_>) {
        let Some(name) = request.path.strip_prefix("/log/") else {
            return send_json(reply, 404, &serde_json::json!({ "error": "no such path" }));
        };
        let fault = self.lock().fault;
        match fault {
            Fault::Down => {
                return send_json(reply, 503, &serde_json::json!({ "error": "the log is down" }));
            }
            Fault::Hang => return self.hang(reply),
            Fault::Slow(ms) => self.clock.sleep(ms),
            Fault::None | Fault::Lost => {}
        }
        if request.method == "POST" {
            let Some(offset) = self.append(name, &request.body) else {
                return send_json(reply, 429, &serde_json::json!({ "error": "too many appends" }));
            };
            if fault == Fault::Lost {
                return reply.abort();
            }
            return send_json(reply, 200, &serde_json::json!({ "offset": offset }));
        }
        let page =
            self.read(name, query_number(request, "from", 0), query_number(request, "wait", 0));
        reply.send(200, &[("content-type", codec::MSGPACK)], &codec::pack(&page)).ok();
    }

    fn hang(&self, reply: &mut Reply<'_>) {
        let probe = reply.probe();
        while self.lock().fault == Fault::Hang
            && !probe.as_ref().is_none_or(super::super::adapter::serve::ConnectionProbe::is_closed)
        {
            self.clock.sleep(50);
        }
        reply.abort();
    }

    /// Appends one record; `None` over the rate limit.
    pub fn append(&self, name: &str, data: &[u8]) -> Option<u64> {
        let now = self.clock.now();
        let mut state = self.lock();
        let refill = now.saturating_sub(state.refilled) as f64 / 1_000.0 * state.rate;
        state.tokens = (state.tokens + refill).min(state.rate);
        state.refilled = now;
        if state.tokens < 1.0 {
            return None;
        }
        state.tokens -= 1.0;
        state.appends += 1;
        let stream = state.streams.entry(name.to_owned()).or_default();
        let offset = stream.oldest + stream.records.len() as u64;
        stream.records.push_back(Record { offset, at: now, data: data.to_vec() });
        self.changed.notify_all();
        Some(offset)
    }

    fn read(&self, name: &str, from: u64, wait: u64) -> Page {
        let mut state = self.lock();
        state.reads += 1;
        let end = self.clock.now() + wait;
        loop {
            let now = self.clock.now();
            let page = page(&mut state, name, from, now);
            if !page.records.is_empty() || now >= end || state.fault != Fault::None {
                return page;
            }
            let left = Duration::from_millis(end - now);
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

fn page(state: &mut State, name: &str, from: u64, now: Millis) -> Page {
    let retention = state.retention;
    let stream = state.streams.entry(name.to_owned()).or_default();
    while stream.records.front().is_some_and(|r| r.at + retention < now) {
        stream.records.pop_front();
        stream.oldest += 1;
    }
    let skip = from.saturating_sub(stream.oldest) as usize;
    let records: Vec<Record> = stream.records.iter().skip(skip).take(PAGE_LIMIT).cloned().collect();
    let next = stream.oldest + stream.records.len() as u64;
    Page { oldest: stream.oldest, next, now, retention, records }
}
