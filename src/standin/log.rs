//! Stand-in for the append-only log of the platform: streams of records with offsets, a retention
//! period, a rate limit on appends, and faults.

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
use crate::adapter::serve::{Request, ResponseWriter, Server};

/// Maximum number of records in one page.
const PAGE_LIMIT: usize = 2_000;

/// Fault that the log simulates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// Rejects every request with status 503.
    Down,
    /// Accepts requests but never answers; appends have no effect.
    Hang,
    /// Appends take effect, but the connection closes without a response.
    Lost,
    /// Delays every request by this many milliseconds.
    Slow(u64),
}

#[derive(Debug, Default)]
struct Stream {
    /// Offset of the oldest retained record.
    oldest: u64,
    /// Retained records, oldest first.
    records: VecDeque<Record>,
}

#[derive(Debug)]
struct State {
    streams: IndexMap<String, Stream>,
    fault: Fault,
    /// Retention period, in milliseconds.
    retention: u64,
    /// Appends allowed per second; also the capacity of the token bucket.
    rate: f64,
    /// Tokens in the bucket; an append takes one.
    tokens: f64,
    /// When tokens were last added to the bucket.
    refilled: Millis,
    /// Appends accepted so far.
    appends: u64,
    /// Reads served so far.
    reads: u64,
}

/// A stand-in log.
pub struct LogStandin {
    state: Mutex<State>,
    /// Signals an append or a new fault to waiting reads.
    changed: Condvar,
    clock: Clock,
}

impl LogStandin {
    /// A log that retains records for `retention` milliseconds and accepts `rate` appends per
    /// second.
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

    /// Serves appends (`POST /log/STREAM`) and reads (other methods) on `addr`.
    pub fn serve(self: &Arc<Self>, addr: SocketAddr) -> io::Result<Server> {
        let log = Arc::clone(self);
        serve(addr, move |request, writer| log.handle(&request, writer))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the fault to simulate.
    pub fn set_fault(&self, fault: Fault) {
        self.lock().fault = fault;
        self.changed.notify_all();
    }

    /// Sets the retention period, in milliseconds.
    pub fn set_retention(&self, ms: u64) {
        self.lock().retention = ms;
    }

    /// Number of appends accepted and of reads served so far.
    pub fn counts(&self) -> (u64, u64) {
        let state = self.lock();
        (state.appends, state.reads)
    }

    /// Number of records ever appended to a stream, including those no longer retained.
    pub fn appended(&self, name: &str) -> u64 {
        let state = self.lock();
        state.streams.get(name).map_or(0, |s| s.oldest + s.records.len() as u64)
    }

    /// Sets the fault that the `fault` parameter of a control request names. Returns false if the
    /// name is missing or unknown.
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

    fn handle(&self, request: &Request, writer: &mut ResponseWriter<'_>) {
        let Some(name) = request.path.strip_prefix("/log/") else {
            return send_json(writer, 404, &serde_json::json!({ "error": "no such path" }));
        };
        let fault = self.lock().fault;
        match fault {
            Fault::Down => {
                return send_json(writer, 503, &serde_json::json!({ "error": "the log is down" }));
            }
            Fault::Hang => return self.hang(writer),
            Fault::Slow(ms) => self.clock.sleep(ms),
            Fault::None | Fault::Lost => {}
        }
        if request.method == "POST" {
            let Some(offset) = self.append(name, &request.body) else {
                return send_json(writer, 429, &serde_json::json!({ "error": "too many appends" }));
            };
            if fault == Fault::Lost {
                return writer.abort();
            }
            return send_json(writer, 200, &serde_json::json!({ "offset": offset }));
        }
        let page =
            self.read(name, query_number(request, "from", 0), query_number(request, "wait", 0));
        writer.send(200, &[("content-type", codec::MSGPACK)], &codec::pack(&page)).ok();
    }

    /// Holds a request until the fault ends or the caller disconnects, then closes the connection.
    fn hang(&self, writer: &mut ResponseWriter<'_>) {
        let probe = writer.probe();
        while self.lock().fault == Fault::Hang
            && !probe.as_ref().is_none_or(super::super::adapter::serve::ConnectionProbe::is_closed)
        {
            self.clock.sleep(50);
        }
        writer.abort();
    }

    /// Appends one record and returns its offset; `None` if the rate limit is exceeded.
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

    /// Reads one page from offset `from` on. If it has no records, waits up to `wait` milliseconds
    /// for the first one, unless there is a fault.
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

/// Drops the records of a stream that are past the retention period, and returns the page that
/// begins at offset `from`, or at the oldest record if that is later.
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
