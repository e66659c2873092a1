//! HEAD requests over kept connections while their key is taken away.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::net::{free_addr, listen, own_ip, read_exact, read_head};
use crate::record::Record;
use crate::relay::Relay;
use crate::store::Store;

const SERVERS: usize = 3;
const CLIENTS: usize = 5;
const HOST: &str = "ficu95.example";
/// The key that stays, and the one that is taken away.
const KEYS: [&str; 2] = ["n2ctnfzs989anu6wsjnb", "q7vx0m3kd82hwe5tzr1c"];
/// Time after which a change of the configuration is in force.
const APPLY: Duration = Duration::from_millis(2_000);
/// Time for which a client listens after the head of an answer: no body follows the answer to a HEAD request.
const LISTEN: Duration = Duration::from_millis(300);

pub fn run(record: &Record, dir: &Path, trouble: bool) -> Verdict {
    let ip = own_ip(0);
    let store = Store::start(free_addr(ip));
    store.put("keyed.op", "config", config(7, &KEYS).as_bytes());
    for i in 0..SERVERS {
        let addr = free_addr(ip);
        let own = record.clone();
        listen(addr, move |sock| serve(sock, i, &own));
        store.put("keyed.servers", &format!("i-{i}"), entry(addr).as_bytes());
    }
    let relay = Relay::start(dir, "edge-recife-1", ip, store.addr);
    if !relay.wait_ready() {
        return Verdict::NotRun("the relay isn't ready".to_owned());
    }
    let clients: Vec<_> = (0..CLIENTS)
        .map(|i| {
            let (front, record) = (relay.front, record.clone());
            thread::spawn(move || ask_twice(i, front, &record))
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    if trouble {
        store.put("keyed.op", "config", config(8, &KEYS[..1]).as_bytes());
        record.line("version 8 is acknowledged: it takes the clients' key away");
    }
    let extra: Vec<Option<usize>> = clients.into_iter().filter_map(|c| c.join().ok()).collect();
    if extra.len() < CLIENTS || extra.contains(&None) {
        return Verdict::NotRun("a client got no answer".to_owned());
    }
    let wrong = extra.iter().flatten().filter(|n| **n > 0).count();
    record.line(&format!("{wrong} of {CLIENTS} connections carry bytes that are no answer"));
    if wrong > 0 { Verdict::Broken } else { Verdict::Held }
}

fn config(version: u32, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|k| format!("\"{k}\"")).collect();
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-cufi504","host":"{HOST}","path-prefix":"/cufi504/",
"type":"idempotent","timeout-ms":1000,"target-latency-ms":100,"priority":2,"service":"balcao",
"max-attempts":2,"public":false}}],
"services":[{{"name":"balcao","health-path":"/healthz","max-conns":110}}],
"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},
"tenants":[{{"name":"hule930","api-keys":[{}]}}]}}"#,
        keys.join(",")
    )
}

fn entry(addr: SocketAddr) -> String {
    format!(
        r#"{{"service":"balcao","address":"{addr}","zone":"recife","version":"v1","slots":6,"state":"ready","cold-left-ms":0,"sequence":4,"born":1788000000000}}"#
    )
}

fn serve(mut sock: TcpStream, server: usize, record: &Record) {
    let mut buffer = Vec::new();
    while let Some(head) = read_head(&mut sock, &mut buffer) {
        let (_, whole) = read_exact(&mut sock, &mut buffer, head.length().unwrap_or(0));
        if !whole {
            return;
        }
        let id = head.get("Attempt-Id").unwrap_or_default();
        record.line(&format!("server i-{server} runs {id}: {}", head.line));
        let text = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nInstance-Seal: i-{server}.{id}\r\nContent-Length: 800\r\n\r\n"
        );
        let body = if head.line.starts_with("HEAD ") { 0 } else { 800 };
        let sent = sock.write_all(text.as_bytes()).and_then(|()| sock.write_all(&vec![b'y'; body]));
        if sent.is_err() {
            return;
        }
    }
}

/// Sends a HEAD request before the key is taken away, and one after it. Returns the number of bytes that
/// come after the heads of the answers; `None` without an answer.
fn ask_twice(client: usize, front: SocketAddr, record: &Record) -> Option<usize> {
    let mut sock = TcpStream::connect(front).ok()?;
    let mut extra = 0;
    for i in 0..2 {
        let id = format!("a{client}-{i}");
        let request = format!(
            "HEAD /cufi504/2f HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: 1000\r\nKey: {}\r\n\r\n",
            KEYS[1]
        );
        sock.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
        sock.write_all(request.as_bytes()).ok()?;
        record.line(&format!("client sends {id} with the key that is taken away"));
        let mut rest = Vec::new();
        let head = read_head(&mut sock, &mut rest)?;
        sock.set_read_timeout(Some(LISTEN)).ok()?;
        let mut piece = [0; 1024];
        loop {
            match sock.read(&mut piece) {
                Ok(n) if n > 0 => rest.extend_from_slice(&piece[..n]),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                _ => break,
            }
        }
        record.line(&format!(
            "{id}: HEAD is answered {}, then come {} bytes: {:?}",
            head.status(),
            rest.len(),
            String::from_utf8_lossy(&rest)
        ));
        if !rest.is_empty() {
            record.line(&format!(
                "MIXED: {} bytes that are no answer follow the answer to {id}",
                rest.len()
            ));
        }
        extra += rest.len();
        thread::sleep(Duration::from_secs(1) + APPLY);
    }
    Some(extra)
}
