//! Stand-in for a plain HTTP service. It counts how often each operation is executed, so that tests
//! can check that a request ran at most once.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use indexmap::IndexMap;

use super::{send_json, serve};
use crate::adapter::clock::Clock;
use crate::adapter::serve::{Request, ResponseWriter, Server};
use crate::policy::endpoint::Report;

/// Request header with the name under which the operation is counted. Without it, method, path and
/// body form the name.
pub const OPERATION: &str = "x-operation";

/// Execution counts by operation, shared by the endpoints of all plain services.
#[derive(Debug, Default)]
pub struct Counts(Mutex<IndexMap<String, u64>>);

impl Counts {
    fn lock(&self) -> MutexGuard<'_, IndexMap<String, u64>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of executions of an operation.
    pub fn get(&self, operation: &str) -> u64 {
        self.lock().get(operation).copied().unwrap_or(0)
    }

    /// Snapshot of all counts.
    pub fn all(&self) -> IndexMap<String, u64> {
        self.lock().clone()
    }

    /// Counts one execution and returns the new count.
    fn add(&self, operation: &str) -> u64 {
        let mut map = self.lock();
        let n = map.entry(operation.to_owned()).or_default();
        *n += 1;
        *n
    }
}

/// One endpoint of a plain service.
pub struct PlainStandin {
    name: String,
    clock: Clock,
    counts: Arc<Counts>,
    /// Execution time of an operation, in milliseconds.
    latency: AtomicU64,
    running: AtomicU32,
    draining: AtomicBool,
    down: AtomicBool,
    /// Requests received while it was draining.
    late: AtomicU64,
}

impl PlainStandin {
    /// An endpoint whose operations take `latency` milliseconds.
    pub fn new(clock: Clock, name: &str, counts: Arc<Counts>, latency: u64) -> Arc<Self> {
        Arc::new(Self {
            name: name.to_owned(),
            clock,
            counts,
            latency: AtomicU64::new(latency),
            running: AtomicU32::new(0),
            draining: AtomicBool::new(false),
            down: AtomicBool::new(false),
            late: AtomicU64::new(0),
        })
    }

    /// Serves load reports (`/load`) and operations (any other path) on `addr`.
    pub fn serve(self: &Arc<Self>, addr: SocketAddr) -> io::Result<Server> {
        let plain = Arc::clone(self);
        serve(addr, move |request, writer| plain.handle(&request, writer))
    }

    /// Sets the execution time of an operation, in milliseconds.
    pub fn set_latency(&self, ms: u64) {
        self.latency.store(ms, Ordering::SeqCst);
    }

    /// Sets whether its load report says that it is draining. It still executes requests, and
    /// counts them as late.
    pub fn set_draining(&self, on: bool) {
        self.draining.store(on, Ordering::SeqCst);
    }

    /// Sets whether it closes all connections without a response. Operations that are running when
    /// it goes down are executed and counted, but get no response either.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
    }

    /// Number of requests received while it was draining.
    pub fn late(&self) -> u64 {
        self.late.load(Ordering::SeqCst)
    }

    /// Number of requests that are running.
    pub fn running(&self) -> u32 {
        self.running.load(Ordering::SeqCst)
    }

    fn handle(&self, request: &Request, writer: &mut ResponseWriter<'_>) {
        if self.down.load(Ordering::SeqCst) {
            return writer.abort();
        }
        if request.path == "/load" {
            let report = Report {
                boot: self.name.clone(),
                running: self.running(),
                waiting: 0,
                draining: self.draining.load(Ordering::SeqCst),
                age: 0,
            };
            return send_json(writer, 200, &serde_json::json!(report));
        }
        if self.draining.load(Ordering::SeqCst) {
            self.late.fetch_add(1, Ordering::SeqCst);
        }
        let named = request.header(OPERATION).map(str::to_owned);
        let operation = named.unwrap_or_else(|| {
            format!(
                "{} {} {}",
                request.method,
                request.path,
                String::from_utf8_lossy(&request.body)
            )
        });
        self.running.fetch_add(1, Ordering::SeqCst);
        let count = self.counts.add(&operation);
        self.clock.sleep(self.latency.load(Ordering::SeqCst));
        self.running.fetch_sub(1, Ordering::SeqCst);
        if self.down.load(Ordering::SeqCst) {
            return writer.abort();
        }
        let body = serde_json::json!({
            "operation": operation,
            "count": count,
            "by": self.name,
            "method": request.method,
            "path": request.path,
            "query": request.query,
        });
        send_json(writer, 200, &body);
    }
}
