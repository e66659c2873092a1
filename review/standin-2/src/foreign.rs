//! A server leaves, and another writer leaves an entry with missing fields under its id.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::net::{free_addr, listen, own_ip, read_exact, read_head, respond};
use crate::record::Record;
use crate::relay::Relay;
use crate::store::Store;

const SERVERS: usize = 3;
const HOST: &str = "ficu95.example";
const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// `drain-ms` of the settings.
const DRAIN: Duration = Duration::from_millis(2_000);
/// Time until the server says that it leaves, and from one step to the next.
const CALM: Duration = Duration::from_secs(1);
const UNTIL_REMOVED: Duration = Duration::from_millis(300);
const UNTIL_FOREIGN: Duration = Duration::from_millis(2_500);
/// Time for which the server goes on serving after its entry is removed.
const SERVES_ON: Duration = Duration::from_secs(6);
/// Clients, the pause of each between two requests, and the work of a request.
const CLIENTS: usize = 8;
const PAUSE: Duration = Duration::from_millis(20);
const WORK: Duration = Duration::from_millis(15);

/// A request that reached a server.
struct Arrival {
    server: usize,
    id: String,
}

/// A request as its client saw it.
struct Call {
    id: String,
    sent: Instant,
    done: Instant,
    status: u16,
    leaving: bool,
}

type Arrivals = Arc<Mutex<Vec<Arrival>>>;

pub fn run(record: &Record, dir: &Path, trouble: bool) -> Verdict {
    let ip = own_ip(0);
    let store = Store::start(free_addr(ip));
    let arrivals = Arrivals::default();
    let leaving = Arc::new(AtomicBool::new(false));
    store.put("keyed.op", "config", config().as_bytes());
    let mut addrs = Vec::new();
    for i in 0..SERVERS {
        let addr = free_addr(ip);
        let (arrivals, leaving) = (Arc::clone(&arrivals), Arc::clone(&leaving));
        listen(addr, move |sock| serve(sock, i, &arrivals, &leaving));
        store.put("keyed.servers", &format!("i-{i}"), entry(addr).as_bytes());
        addrs.push(addr);
    }
    let relay = Relay::start(dir, "edge-recife-1", ip, store.addr);
    if !relay.wait_ready() {
        return Verdict::NotRun("the relay isn't ready".to_owned());
    }
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|i| {
            let (front, own) = (relay.front, Arc::clone(&stop));
            thread::spawn(move || send_all(i, front, &own))
        })
        .collect();
    thread::sleep(CALM);
    leaving.store(true, Ordering::SeqCst);
    record.line("server i-0 leaves: it says so in all its answers from now on");
    thread::sleep(UNTIL_REMOVED);
    store.put("keyed.servers", "i-0", b"");
    record.line("the entry of i-0 is removed; it serves on for 6 s");
    thread::sleep(UNTIL_FOREIGN);
    if trouble {
        let text = foreign(addrs[0]);
        store.put("keyed.servers", "i-0", text.as_bytes());
        record
            .line(&format!("another writer leaves an entry with missing fields under i-0: {text}"));
    }
    thread::sleep(SERVES_ON - UNTIL_FOREIGN);
    stop.store(true, Ordering::SeqCst);
    let mut calls: Vec<Call> =
        clients.into_iter().filter_map(|c| c.join().ok()).flatten().collect();
    calls.sort_by_key(|c| c.sent);
    judge(record, &calls, &arrivals.lock().unwrap())
}

fn config() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-2yhvz3p","host":"{HOST}","path-prefix":"/puxa403/",
"type":"non_idempotent","timeout-ms":1000,"target-latency-ms":100,"priority":2,"service":"balcao",
"max-attempts":1,"public":false}}],
"services":[{{"name":"balcao","health-path":"/healthz","max-conns":110}}],
"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},
"tenants":[{{"name":"hule930","api-keys":["{KEY}"]}}]}}"#
    )
}

fn entry(addr: SocketAddr) -> String {
    format!(
        r#"{{"service":"balcao","address":"{addr}","zone":"recife","version":"v1","slots":6,"state":"ready","cold-left-ms":0,"sequence":4,"born":1788000000000}}"#
    )
}

/// An entry without `version`, `cold-left-ms`, `sequence` and `born`.
fn foreign(addr: SocketAddr) -> String {
    format!(
        r#"{{"service":"balcao","address":"{addr}","zone":"recife","slots":6,"state":"ready"}}"#
    )
}

fn serve(mut sock: TcpStream, server: usize, arrivals: &Mutex<Vec<Arrival>>, leaving: &AtomicBool) {
    let mut buffer = Vec::new();
    while let Some(head) = read_head(&mut sock, &mut buffer) {
        let (_, whole) = read_exact(&mut sock, &mut buffer, head.length().unwrap_or(0));
        if !whole {
            return;
        }
        let id = head.get("Attempt-Id").unwrap_or_default().to_owned();
        let expected = format!("i-{server}");
        if head.get("Expect-Instance") != Some(expected.as_str()) {
            respond(
                &mut sock,
                421,
                &format!("Attempt-Id: {id}\r\nInstance-Id: {expected}\r\n"),
                b"",
            )
            .ok();
            return;
        }
        arrivals.lock().unwrap().push(Arrival { server, id: id.clone() });
        thread::sleep(WORK);
        let leaves = server == 0 && leaving.load(Ordering::SeqCst);
        let more = if leaves { "Server-Leaving: 1\r\n" } else { "" };
        let headers = format!("Attempt-Id: {id}\r\nInstance-Seal: {expected}.{id}\r\n{more}");
        if respond(&mut sock, 200, &headers, b"printed").is_err() {
            return;
        }
    }
}

/// Sends requests one after the other, each over a connection of its own.
fn send_all(client: usize, front: SocketAddr, stop: &AtomicBool) -> Vec<Call> {
    let mut calls = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        let id = format!("a{client}-{}", calls.len());
        let sent = Instant::now();
        let head = ask(front, &id);
        let status = head.as_ref().map_or(0, |h| h.status());
        let leaving = head.is_some_and(|h| h.get("Server-Leaving") == Some("1"));
        calls.push(Call { id, sent, done: Instant::now(), status, leaving });
        thread::sleep(PAUSE);
    }
    calls
}

fn ask(front: SocketAddr, id: &str) -> Option<crate::net::Head> {
    let mut sock = TcpStream::connect(front).ok()?;
    sock.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    let request = format!(
        "POST /puxa403/2f HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: 1000\r\nKey: {KEY}\r\n\
         Connection: close\r\nContent-Length: 5\r\n\r\norder"
    );
    sock.write_all(request.as_bytes()).ok()?;
    read_head(&mut sock, &mut Vec::new())
}

/// Counts the requests that reached the leaving server too late.
fn judge(record: &Record, calls: &[Call], arrivals: &[Arrival]) -> Verdict {
    for call in calls {
        let at = arrivals.iter().find(|a| a.id == call.id).map(|a| a.server);
        record.line(&format!(
            "{} was sent {:.3} s after the first request, reached server {at:?}, answer {}, leaving {}",
            call.id,
            call.sent.duration_since(calls[0].sent).as_secs_f64(),
            call.status,
            call.leaving
        ));
    }
    let Some(told) = calls.iter().filter(|c| c.leaving).map(|c| c.done).min() else {
        return Verdict::NotRun("no answer said that the server leaves".to_owned());
    };
    let mut late = 0;
    for call in calls.iter().filter(|c| c.sent > told + DRAIN) {
        if arrivals.iter().any(|a| a.server == 0 && a.id == call.id) {
            late += 1;
            let after = call.sent.duration_since(told).as_millis();
            record.line(&format!(
                "DRAIN: {} was sent {after} ms after the relay had passed on an answer with Server-Leaving, and \
                 reached the leaving server",
                call.id
            ));
        }
    }
    record.line(&format!("{} requests, {late} reached the leaving server too late", calls.len()));
    if late > 0 { Verdict::Broken } else { Verdict::Held }
}
