//! Stand-in for a server: registers itself in the store, and runs requests.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{self, Message};
use crate::record;
use crate::store::Store;

/// How a server runs a request. Returns true if it answered as a sound server and the connection
/// can be used again.
pub type Work = Arc<dyn Fn(&Server, &mut TcpStream, &Message) -> bool + Send + Sync>;

/// A server; clones share its state.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub service: String,
    pub addr: SocketAddr,
    slots: u32,
    sequence: Arc<AtomicU32>,
    running: Arc<AtomicU32>,
    /// Arrival times by attempt, in milliseconds since the start of the case.
    arrivals: Arc<Mutex<BTreeMap<String, Vec<u64>>>>,
    /// Register at intervals.
    beats: Arc<AtomicBool>,
    work: Work,
}

/// Interval between two entries in the store.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

impl Server {
    /// Starts a sound server, registered in the store from now on.
    pub fn start(
        store: &Store,
        id: &str,
        service: &str,
        slots: u32,
        work: Work,
    ) -> Result<Self, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
        let server = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            addr: listener.local_addr().map_err(|e| e.to_string())?,
            slots,
            sequence: Arc::default(),
            running: Arc::default(),
            arrivals: Arc::default(),
            beats: Arc::new(AtomicBool::new(true)),
            work,
        };
        server.register(store);
        let serving = server.clone();
        thread::spawn(move || {
            for sock in listener.incoming().flatten() {
                let server = serving.clone();
                thread::spawn(move || server.serve(sock));
            }
        });
        Ok(server)
    }

    /// Writes its entry at intervals, until it leaves.
    pub fn beat(&self, store: &Store) {
        let (server, store) = (self.clone(), store.clone());
        thread::spawn(move || {
            while server.beats.load(Ordering::SeqCst) {
                server.register(&store);
                thread::sleep(HEARTBEAT);
            }
        });
    }

    /// Writes its entry once.
    pub fn register(&self, store: &Store) {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst);
        let entry = format!(
            r#"{{"service":"{}","address":"{}","zone":"recife","version":"v1","slots":{},"state":"ready","cold-left-ms":0,"sequence":{sequence},"born":1790000000000}}"#,
            self.service, self.addr, self.slots
        );
        store.put("keyed.servers", &self.id, Some(&entry));
    }

    /// Arrival times by attempt.
    pub fn arrivals(&self) -> BTreeMap<String, Vec<u64>> {
        self.arrivals.lock().unwrap().clone()
    }

    /// Headers of its answers to a request.
    pub fn headers(&self, request: &Message) -> String {
        let id = request.get("Attempt-Id").unwrap_or_default();
        let running = self.running.load(Ordering::SeqCst);
        let load = format!("{},0,{}", running.min(self.slots), self.slots);
        format!("Attempt-Id: {id}\r\nInstance-Seal: seal.{}.{id}\r\nInstance-Load: {load}\r\n", self.id)
    }

    fn serve(&self, mut sock: TcpStream) {
        let _ = sock.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Some(request) = http::read(&mut sock, &mut buffer) {
            if !request.complete {
                return;
            }
            let id = request.get("Attempt-Id").unwrap_or_default().to_owned();
            if request.get("Expect-Instance").is_some_and(|i| i != self.id) {
                record::line(&format!("server {}: 421 to {id}", self.id));
                let headers = [("Instance-Id", self.id.as_str()), ("Attempt-Id", id.as_str())];
                if !http::write(&mut sock, &http::response(421, &headers, b"")) {
                    return;
                }
                continue;
            }
            record::line(&format!("server {}: runs {id}", self.id));
            self.arrivals.lock().unwrap().entry(id).or_default().push(record::now());
            self.running.fetch_add(1, Ordering::SeqCst);
            let kept = (self.work)(self, &mut sock, &request);
            self.running.fetch_sub(1, Ordering::SeqCst);
            if !kept {
                return;
            }
        }
    }

    /// Stops registering; the entry is the caller's to remove.
    pub fn stop_beats(&self) {
        self.beats.store(false, Ordering::SeqCst);
    }
}

/// Works for `time` and answers with a body of 800 bytes.
pub fn answer_after(time: Duration) -> Work {
    Arc::new(move |server, sock, request| {
        thread::sleep(time);
        answer(server, sock, request)
    })
}

/// Answers with a body of 800 bytes.
pub fn answer(server: &Server, sock: &mut TcpStream, request: &Message) -> bool {
    let body = "x".repeat(800);
    let headers = server.headers(request);
    let out = format!("HTTP/1.1 200 OK\r\n{headers}Content-Length: 800\r\n\r\n{body}");
    http::write(sock, out.as_bytes())
}

/// Streams one event each `gap` until there are `events`.
pub fn stream(
    server: &Server,
    sock: &mut TcpStream,
    request: &Message,
    events: u64,
    gap: Duration,
) -> bool {
    let headers = server.headers(request);
    let head = format!(
        "HTTP/1.1 200 OK\r\n{headers}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    if !http::write(sock, head.as_bytes()) {
        return false;
    }
    let last = request.get("Last-Event-Id").and_then(|v| v.parse().ok()).unwrap_or(0u64);
    for i in last + 1..=events {
        let event = format!("id: {i}\ndata: piece {i}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if !http::write(sock, chunk.as_bytes()) {
            return false;
        }
        thread::sleep(gap);
    }
    http::write(sock, b"0\r\n\r\n")
}
