//! Another writer leaves an entry with missing fields under the id of a server.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::net::{Head, free_addr, listen, own_ip, read_exact, read_head, respond};
use crate::record::Record;
use crate::relay::Relay;
use crate::store::Store;

/// Servers of each service.
const SERVERS: usize = 3;
const SERVICES: [&str; 2] = ["redator", "balcao"];
const SLOTS: [usize; 2] = [64, 6];
/// The server under whose id the foreign entry is left: the first one of `redator`.
const VICTIM: &str = "i-redator-0";
const HOST: &str = "ficu95.example";
const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// Time between two entries that a server writes of itself (`heartbeat-ms`).
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time before the foreign entry, from a heartbeat to it, and after it.
const CALM: Duration = Duration::from_secs(2);
const UNTIL_FOREIGN: Duration = Duration::from_millis(100);
const WATCH: Duration = Duration::from_secs(3);
/// Clients, the pause of each between two orders, and the work of an order.
const CLIENTS: usize = 4;
const PAUSE: Duration = Duration::from_millis(40);
const WORK: Duration = Duration::from_millis(15);

/// Orders that ran: server and id.
type Runs = Arc<Mutex<Vec<(String, String)>>>;

pub fn run(record: &Record, dir: &Path, trouble: bool) -> Verdict {
    let ip = own_ip(0);
    let store = Store::start(free_addr(ip));
    let runs = Runs::default();
    store.put("keyed.op", "config", config().as_bytes());
    let mut addrs = Vec::new();
    for (service, slots) in SERVICES.iter().zip(SLOTS) {
        for i in 0..SERVERS {
            let (addr, id) = (free_addr(ip), format!("i-{service}-{i}"));
            let (runs, record, own) = (Arc::clone(&runs), record.clone(), id.clone());
            listen(addr, move |sock| serve(sock, &own, &runs, &record));
            addrs.push((id, *service, slots, addr));
        }
    }
    let heartbeats = |sequence: u32| {
        for (id, service, slots, addr) in &addrs {
            store.put("keyed.servers", id, entry(service, *slots, *addr, sequence).as_bytes());
        }
    };
    heartbeats(1);
    let relay = Relay::start(dir, "edge-recife-1", ip, store.addr);
    if !relay.wait_ready() {
        return Verdict::NotRun("the relay isn't ready".to_owned());
    }
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|i| {
            let (front, own, record) = (relay.front, Arc::clone(&stop), record.clone());
            thread::spawn(move || order_all(i, front, &own, &record))
        })
        .collect();
    thread::sleep(CALM);
    heartbeats(2);
    thread::sleep(UNTIL_FOREIGN);
    if trouble {
        let text = foreign(addrs[0].3);
        store.put("keyed.servers", VICTIM, text.as_bytes());
        record.line(&format!("another writer leaves an entry under {VICTIM}: {text}"));
    }
    thread::sleep(HEARTBEAT - UNTIL_FOREIGN);
    heartbeats(3);
    record.line("all servers write their own entries again");
    thread::sleep(HEARTBEAT);
    heartbeats(4);
    thread::sleep(WATCH - HEARTBEAT);
    stop.store(true, Ordering::SeqCst);
    let answered: usize = clients.into_iter().filter_map(|c| c.join().ok()).sum();
    judge(record, answered, &runs.lock().unwrap())
}

/// A configuration whose only route leads to `balcao`.
fn config() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-2yhvz3p","host":"{HOST}","path-prefix":"/puxa403/",
"type":"non_idempotent","timeout-ms":1000,"target-latency-ms":100,"priority":2,"service":"balcao",
"max-attempts":1,"public":false}},{{"name":"r-fi6y7z5","host":"{HOST}","path-prefix":"/lohu930/",
"type":"stream","timeout-ms":15000,"target-latency-ms":2000,"priority":2,"service":"redator",
"max-attempts":2,"public":false,"sticky":true,"resumable":true,"target-gap-ms":800}}],
"services":[{{"name":"balcao","health-path":"/healthz","max-conns":110}},
{{"name":"redator","health-path":"/healthz","max-conns":370}}],
"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},
"tenants":[{{"name":"hule930","api-keys":["{KEY}"]}}]}}"#
    )
}

fn entry(service: &str, slots: usize, addr: SocketAddr, sequence: u32) -> String {
    format!(
        r#"{{"service":"{service}","address":"{addr}","zone":"recife","version":"v1","slots":{slots},"state":"ready","cold-left-ms":0,"sequence":{sequence},"born":1788000000000}}"#
    )
}

/// An entry without `version`, `cold-left-ms`, `sequence` and `born`, and with another service.
fn foreign(addr: SocketAddr) -> String {
    format!(
        r#"{{"service":"balcao","address":"{addr}","zone":"recife","slots":6,"state":"ready"}}"#
    )
}

/// Runs what is sent to this server and names its id, as servers do.
fn serve(mut sock: TcpStream, server: &str, runs: &Runs, record: &Record) {
    let mut buffer = Vec::new();
    while let Some(head) = read_head(&mut sock, &mut buffer) {
        let (_, whole) = read_exact(&mut sock, &mut buffer, head.length().unwrap_or(0));
        if !whole {
            return;
        }
        let id = head.get("Attempt-Id").unwrap_or_default().to_owned();
        if head.get("Expect-Instance") != Some(server) {
            respond(&mut sock, 421, &format!("Attempt-Id: {id}\r\nInstance-Id: {server}\r\n"), b"")
                .ok();
            return;
        }
        record.line(&format!("server {server} runs {id}"));
        runs.lock().unwrap().push((server.to_owned(), id.clone()));
        thread::sleep(WORK);
        let headers = format!("Attempt-Id: {id}\r\nInstance-Seal: {server}.{id}\r\n");
        if respond(&mut sock, 200, &headers, b"printed").is_err() {
            return;
        }
    }
}

/// Sends orders one after the other. Returns how many were answered with 200.
fn order_all(client: usize, front: SocketAddr, stop: &AtomicBool, record: &Record) -> usize {
    let mut answered = 0;
    for i in 0.. {
        if stop.load(Ordering::SeqCst) {
            break;
        }
        let id = format!("a{client}-{i}");
        record.line(&format!("client sends order {id}"));
        let head = order(front, &id);
        let status = head.as_ref().map_or(0, Head::status);
        let seal = head.and_then(|h| h.get("Instance-Seal").map(str::to_owned));
        record.line(&format!("client gets {status} to {id}, signature {seal:?}"));
        answered += usize::from(status == 200);
        thread::sleep(PAUSE);
    }
    answered
}

fn order(front: SocketAddr, id: &str) -> Option<Head> {
    let mut sock = TcpStream::connect(front).ok()?;
    sock.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    let request = format!(
        "POST /puxa403/2f HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: 1000\r\nKey: {KEY}\r\n\
         Connection: close\r\nContent-Length: 5\r\n\r\norder"
    );
    sock.write_all(request.as_bytes()).ok()?;
    read_head(&mut sock, &mut Vec::new())
}

/// Counts the orders that a server of the other service ran.
fn judge(record: &Record, answered: usize, runs: &[(String, String)]) -> Verdict {
    let mut wrong = 0;
    for (server, id) in runs.iter().filter(|(server, _)| !server.starts_with("i-balcao-")) {
        wrong += 1;
        record.line(&format!(
            "ROUTE: order {id}, whose route leads to balcao, was run by {server} of redator"
        ));
    }
    record.line(&format!(
        "{} orders run, {answered} answered 200, {wrong} run by another service",
        runs.len()
    ));
    if answered == 0 {
        return Verdict::NotRun("no order was answered".to_owned());
    }
    if wrong > 0 { Verdict::Broken } else { Verdict::Held }
}
