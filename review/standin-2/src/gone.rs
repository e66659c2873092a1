//! Clients leave while servers still read their requests.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::net::{free_addr, listen_limited, own_ip, read_chunked, read_head};
use crate::record::Record;
use crate::relay::Relay;
use crate::store::Store;

const SERVERS: usize = 12;
const REQUESTS: usize = 60;
/// Number of clients that leave: 0.3 of them.
const LEAVING: usize = 18;
/// Length of a request's body, in bytes: the largest of `colecao-layout`.
const REQUEST_BYTES: usize = 72_000;
/// What a server reads in one step, and the pause after it.
const STEP_BYTES: usize = 4 << 10;
const READ_PAUSE: Duration = Duration::from_millis(100);
/// Receive buffer of a server's connections, in bytes.
const RECEIVE_BUFFER: i32 = 16 << 10;
/// Time after which a client leaves, and the time after its close from which an arrival is late.
const STAY: Duration = Duration::from_millis(200);
const LATE: Duration = Duration::from_millis(500);
/// Late arrivals that the rule allows: "more than a few" break it.
const FEW: usize = 5;

const HOST: &str = "ficu95.example";
const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// Ids of the requests that servers began to run, and when.
type Runs = Arc<Mutex<Vec<(String, Instant)>>>;

pub fn run(record: &Record, dir: &Path, trouble: bool) -> Verdict {
    let ip = own_ip(0);
    let store = Store::start(free_addr(ip));
    let runs = Runs::default();
    store.put("keyed.op", "config", config().as_bytes());
    for i in 0..SERVERS {
        let (addr, id) = (free_addr(ip), format!("i-{i}"));
        let (runs, record, own) = (Arc::clone(&runs), record.clone(), id.clone());
        listen_limited(addr, Some(RECEIVE_BUFFER), move |sock| serve(sock, &own, &runs, &record));
        store.put("keyed.servers", &id, entry(addr).as_bytes());
    }
    let relay = Relay::start(dir, "edge-recife-1", ip, store.addr);
    if !relay.wait_ready() {
        return Verdict::NotRun("the relay isn't ready".to_owned());
    }
    let clients: Vec<_> = (0..REQUESTS)
        .map(|i| {
            let (front, record) = (relay.front, record.clone());
            thread::spawn(move || ask(front, &format!("a{i}"), trouble && i < LEAVING, &record))
        })
        .collect();
    let closed: Vec<(String, Option<Instant>)> =
        clients.into_iter().filter_map(|c| c.join().ok()).collect();
    thread::sleep(Duration::from_secs(4));
    judge(record, &closed, &runs.lock().unwrap())
}

fn config() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-2yhvz3p","host":"{HOST}","path-prefix":"/lohu930/",
"type":"stream","timeout-ms":15000,"target-latency-ms":2000,"priority":2,"service":"redator",
"max-attempts":2,"public":false,"sticky":true,"resumable":true,"target-gap-ms":800}}],
"services":[{{"name":"redator","health-path":"/healthz","max-conns":370}}],
"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},
"tenants":[{{"name":"hule930","api-keys":["{KEY}"]}}]}}"#
    )
}

fn entry(addr: SocketAddr) -> String {
    format!(
        r#"{{"service":"redator","address":"{addr}","zone":"recife","version":"v1","slots":64,"state":"ready","cold-left-ms":0,"sequence":4,"born":1788000000000}}"#
    )
}

/// Reads one request slowly, and runs it once it is whole.
fn serve(mut sock: TcpStream, server: &str, runs: &Runs, record: &Record) {
    let mut buffer = Vec::new();
    let Some(head) = read_head(&mut sock, &mut buffer) else { return };
    let id = head.get("Attempt-Id").unwrap_or_default().to_owned();
    record.line(&format!("server {server} has read the head of {id}"));
    let mut left = head.length().unwrap_or(0).saturating_sub(buffer.len());
    let mut piece = [0; STEP_BYTES];
    while left > 0 {
        let most = left.min(STEP_BYTES);
        match sock.read(&mut piece[..most]) {
            Ok(n) if n > 0 => left -= n,
            _ => {
                record.line(&format!(
                    "server {server} drops {id}: its connection ended in the request"
                ));
                return;
            }
        }
        thread::sleep(READ_PAUSE);
    }
    record.line(&format!("server {server} has read all of {id} and runs it"));
    runs.lock().unwrap().push((id.clone(), Instant::now()));
    let head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nInstance-Seal: {server}.{id}\r\nContent-Type: text/event-stream\r\n\
         Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let mut sent = sock.write_all(head.as_bytes());
    for i in 1..=20 {
        thread::sleep(Duration::from_millis(50));
        let event = format!("id: {i}\ndata: piece\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        sent = sent.and_then(|()| sock.write_all(chunk.as_bytes()));
        if sent.is_err() {
            record.line(&format!("server {server} drops {id}: its connection is closed"));
            return;
        }
    }
    sock.write_all(b"0\r\n\r\n").ok();
    record.line(&format!("server {server} has answered {id}"));
}

/// Sends a request. A client that leaves returns the time of its close.
fn ask(front: SocketAddr, id: &str, leaves: bool, record: &Record) -> (String, Option<Instant>) {
    let none = (id.to_owned(), None);
    let Ok(mut sock) = TcpStream::connect(front) else { return none };
    sock.set_read_timeout(Some(Duration::from_secs(15))).ok();
    let head = format!(
        "POST /lohu930/2f HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nModel: m\r\nDeadline-Ms: 15000\r\n\
         Key: {KEY}\r\nContent-Length: {REQUEST_BYTES}\r\n\r\n"
    );
    if sock.write_all(head.as_bytes()).is_err()
        || sock.write_all(&vec![b'x'; REQUEST_BYTES]).is_err()
    {
        return none;
    }
    record.line(&format!("client has sent {id}"));
    if leaves {
        thread::sleep(STAY);
        drop(sock);
        record.line(&format!("the client of {id} closes its connection"));
        return (id.to_owned(), Some(Instant::now()));
    }
    let mut buffer = Vec::new();
    let status = read_head(&mut sock, &mut buffer).map_or(0, |h| h.status());
    let (_, complete) = read_chunked(&mut sock, &mut buffer);
    record.line(&format!("the client of {id} gets {status}, complete {complete}"));
    none
}

/// Counts the requests that a server had whole over half a second after their client's close.
fn judge(
    record: &Record,
    closed: &[(String, Option<Instant>)],
    runs: &[(String, Instant)],
) -> Verdict {
    let mut late = 0;
    for (id, at) in closed.iter().filter_map(|(id, at)| Some((id, (*at)?))) {
        let Some((_, ran)) = runs.iter().find(|(r, _)| r == id) else { continue };
        let after = ran.saturating_duration_since(at);
        if after > LATE {
            late += 1;
            record.line(&format!(
                "GONE: {id} reaches a server whole {} ms after its client's close",
                after.as_millis()
            ));
        }
    }
    let left = closed.iter().filter(|(_, at)| at.is_some()).count();
    record.line(&format!(
        "{} requests, {} run; {left} clients left, {late} of their requests reached a server late",
        closed.len(),
        runs.len()
    ));
    if runs.len() < closed.len() - left {
        return Verdict::NotRun("not all requests ran whose clients stayed".to_owned());
    }
    if late > FEW { Verdict::Broken } else { Verdict::Held }
}
