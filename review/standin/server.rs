//! Stand-in for a server: registers itself in the store, and runs requests.

use std::collections::{BTreeMap, VecDeque};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{self, Message};
use crate::record;
use crate::store::Store;

/// How a server runs a request. Returns true if it answered as a sound server and the connection
/// can be used again.
pub type Work = Arc<dyn Fn(&Server, &mut TcpStream, &Message) -> bool + Send + Sync>;

/// Requests that wait beside those that run; further ones are shed.
const QUEUE: usize = 24;

#[derive(Default)]
struct Places {
    running: u32,
    /// Tickets of the waiting requests.
    waiting: VecDeque<u64>,
    last: u64,
}

/// A server; clones share its state.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub service: String,
    pub addr: SocketAddr,
    slots: u32,
    sequence: Arc<AtomicU32>,
    /// Requests that run and that wait, in order of their tickets.
    places: Arc<(Mutex<Places>, Condvar)>,
    /// Arrival times by attempt, in milliseconds since the start of the case.
    arrivals: Arc<Mutex<BTreeMap<String, Vec<u64>>>>,
    /// Register at intervals.
    beats: Arc<AtomicBool>,
    leaving: Arc<AtomicBool>,
    /// Length of its queue, and the `Retry-After` of what it sheds.
    limits: Arc<Mutex<(usize, Option<&'static str>)>>,
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
            places: Arc::default(),
            arrivals: Arc::default(),
            beats: Arc::new(AtomicBool::new(true)),
            leaving: Arc::default(),
            limits: Arc::new(Mutex::new((QUEUE, None))),
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
        let load = self.load();
        let leaving = self.leaving.load(Ordering::SeqCst);
        let leaving = if leaving { "Server-Leaving: 1\r\n" } else { "" };
        format!(
            "Attempt-Id: {id}\r\nInstance-Seal: seal.{}.{id}\r\nInstance-Load: {load}\r\n{leaving}",
            self.id
        )
    }

    /// Running and waiting requests, and slots.
    fn load(&self) -> String {
        let places = self.places.0.lock().unwrap();
        format!("{},{},{}", places.running, places.waiting.len(), self.slots)
    }

    /// Waits for a slot. Returns false if the queue is full.
    fn enter(&self) -> bool {
        let (places, changed) = &*self.places;
        let mut places = places.lock().unwrap();
        if places.running < self.slots && places.waiting.is_empty() {
            places.running += 1;
            return true;
        }
        if places.waiting.len() >= self.limits.lock().unwrap().0 {
            return false;
        }
        places.last += 1;
        let ticket = places.last;
        places.waiting.push_back(ticket);
        while places.running >= self.slots || places.waiting.front() != Some(&ticket) {
            places = changed.wait(places).unwrap();
        }
        places.waiting.pop_front();
        places.running += 1;
        changed.notify_all();
        true
    }

    /// Frees the slot of a request that has run.
    pub fn leave(&self) {
        self.places.0.lock().unwrap().running -= 1;
        self.places.1.notify_all();
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
            if !self.enter() {
                let load = self.load();
                record::line(&format!("server {}: sheds {id}, load {load}", self.id));
                let mut headers =
                    vec![("Not-Executed", "1"), ("Attempt-Id", &id), ("Instance-Load", &load)];
                headers.extend(self.limits.lock().unwrap().1.map(|pause| ("Retry-After", pause)));
                if !http::write(&mut sock, &http::response(503, &headers, b"")) {
                    return;
                }
                continue;
            }
            record::line(&format!("server {}: runs {id}", self.id));
            self.arrivals.lock().unwrap().entry(id).or_default().push(record::now());
            let kept = (self.work)(self, &mut sock, &request);
            if !kept {
                return;
            }
        }
    }

    /// Says in all answers from now on that it is leaving.
    pub fn leaves(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// Sets the length of its queue, and the pause in seconds that it asks for when it is full.
    pub fn limit(&self, queue: usize, pause: &'static str) {
        *self.limits.lock().unwrap() = (queue, Some(pause));
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
        server.leave();
        answer(server, sock, request)
    })
}

/// Answers with a body of 800 bytes.
pub fn answer(server: &Server, sock: &mut TcpStream, request: &Message) -> bool {
    let body = if request.first.starts_with("HEAD ") { String::new() } else { "x".repeat(800) };
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
        server.leave();
        return false;
    }
    let last = request.get("Last-Event-Id").and_then(|v| v.parse().ok()).unwrap_or(0u64);
    for i in last + 1..=events {
        let event = format!("id: {i}\ndata: piece {i}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if !http::write(sock, chunk.as_bytes()) {
            server.leave();
            return false;
        }
        thread::sleep(gap);
    }
    server.leave();
    http::write(sock, b"0\r\n\r\n")
}
