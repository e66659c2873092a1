//! A key is taken away shortly after all open connections to the store have gone silent.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::net::{free_addr, listen, own_ip, read_exact, read_head, respond};
use crate::record::Record;
use crate::relay::Relay;
use crate::store::Store;

const RELAYS: u8 = 9;
const HOST: &str = "ficu95.example";
/// The key that stays, and the one that is taken away.
const KEYS: [&str; 2] = ["n2ctnfzs989anu6wsjnb", "q7vx0m3kd82hwe5tzr1c"];
/// `contact-ms` and `config-apply-ms` of the settings.
const CONTACT: Duration = Duration::from_millis(3_000);
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
/// Time from the first change of the configuration to the silence, and from there to the revocation.
const UNTIL_SILENCE: Duration = Duration::from_millis(500);
const UNTIL_REVOCATION: Duration = Duration::from_millis(300);
/// Pause between two requests to a relay, and the time for which they are sent after the revocation.
const PAUSE: Duration = Duration::from_millis(50);
const WATCH: Duration = Duration::from_secs(8);

/// Passes connections on to the store. Those that are open when it goes silent stay open, but nothing
/// passes on them any more; new ones work.
#[derive(Clone)]
struct Link {
    addr: SocketAddr,
    /// Number of silences so far; a connection remembers that of its start.
    silences: Arc<AtomicU64>,
}

impl Link {
    fn start(addr: SocketAddr, store: SocketAddr) -> Self {
        let link = Self { addr, silences: Arc::default() };
        let listener = TcpListener::bind(addr).expect("a free port");
        let own = link.clone();
        thread::spawn(move || {
            for sock in listener.incoming().flatten() {
                let Ok(to) = TcpStream::connect(store) else { continue };
                sock.set_nodelay(true).ok();
                to.set_nodelay(true).ok();
                let (from2, to2) =
                    (sock.try_clone().expect("shared"), to.try_clone().expect("shared"));
                own.pump(sock, to);
                own.pump(to2, from2);
            }
        });
        link
    }

    fn pump(&self, mut from: TcpStream, mut to: TcpStream) {
        let (silences, own) = (Arc::clone(&self.silences), self.silences.load(Ordering::SeqCst));
        thread::spawn(move || {
            let mut piece = [0; 16 << 10];
            loop {
                let n = from.read(&mut piece).unwrap_or(0);
                while silences.load(Ordering::SeqCst) != own {
                    // Neither bytes nor the end of the connection get through.
                    thread::sleep(Duration::from_secs(1));
                }
                if n == 0 || to.write_all(&piece[..n]).is_err() {
                    to.shutdown(std::net::Shutdown::Both).ok();
                    return;
                }
            }
        });
    }

    fn go_silent(&self) {
        self.silences.fetch_add(1, Ordering::SeqCst);
    }
}

/// A request with the key that is taken away.
struct Probe {
    relay: String,
    sent: Instant,
    status: u16,
    id: String,
}

pub fn run(record: &Record, dir: &Path, trouble: bool) -> Verdict {
    let ip = own_ip(0);
    let store = Store::start(free_addr(ip));
    let link = Link::start(free_addr(ip), store.addr);
    let runs = Arc::new(Mutex::new(Vec::new()));
    let server = free_addr(ip);
    let (own, own_record) = (Arc::clone(&runs), record.clone());
    listen(server, move |sock| serve(sock, &own, &own_record));
    store.put("keyed.op", "config", config(7, &KEYS).as_bytes());
    store.put("keyed.servers", "i-0", entry(server).as_bytes());
    let relays: Vec<Relay> = (0..RELAYS)
        .map(|i| Relay::start(dir, &format!("edge-recife-{}", i + 1), own_ip(i + 1), link.addr))
        .collect();
    if !relays.iter().all(Relay::wait_ready) {
        return Verdict::NotRun("a relay isn't ready".to_owned());
    }
    thread::sleep(Duration::from_secs(2));
    store.put("keyed.op", "config", config(8, &KEYS).as_bytes());
    record.line("version 8 of the configuration is acknowledged");
    thread::sleep(UNTIL_SILENCE);
    let silent = Instant::now();
    if trouble {
        link.go_silent();
        record.line("all open connections to the store go silent; new ones work");
    }
    thread::sleep(UNTIL_REVOCATION);
    store.put("keyed.op", "config", config(9, &KEYS[..1]).as_bytes());
    let revoked = Instant::now();
    record.line("version 9 is acknowledged: it takes the second key away");
    let stop = Arc::new(AtomicBool::new(false));
    let watchers: Vec<_> = relays
        .iter()
        .map(|relay| {
            let (name, front, record) = (relay.name.clone(), relay.front, record.clone());
            let stop = Arc::clone(&stop);
            thread::spawn(move || watch(&name, front, &stop, &record))
        })
        .collect();
    thread::sleep(WATCH);
    stop.store(true, Ordering::SeqCst);
    let probes: Vec<Probe> = watchers.into_iter().filter_map(|w| w.join().ok()).flatten().collect();
    let judged = if trouble {
        (revoked + CONFIG_APPLY).max(silent + CONTACT)
    } else {
        revoked + CONFIG_APPLY
    };
    judge(record, &probes, judged, revoked, &runs.lock().unwrap())
}

fn config(version: u32, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|k| format!("\"{k}\"")).collect();
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-2yhvz3p","host":"{HOST}","path-prefix":"/puxa403/",
"type":"non_idempotent","timeout-ms":1000,"target-latency-ms":100,"priority":2,"service":"balcao",
"max-attempts":1,"public":false}}],
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

fn serve(mut sock: TcpStream, runs: &Mutex<Vec<String>>, record: &Record) {
    let mut buffer = Vec::new();
    while let Some(head) = read_head(&mut sock, &mut buffer) {
        let (_, whole) = read_exact(&mut sock, &mut buffer, head.length().unwrap_or(0));
        let id = head.get("Attempt-Id").unwrap_or_default().to_owned();
        if !whole {
            return;
        }
        record.line(&format!("server i-0 runs {id}"));
        runs.lock().unwrap().push(id.clone());
        let headers = format!("Attempt-Id: {id}\r\nInstance-Seal: i-0.{id}\r\n");
        if respond(&mut sock, 200, &headers, b"printed").is_err() {
            return;
        }
    }
}

/// Sends requests with the key that is taken away, one after the other.
fn watch(name: &str, front: SocketAddr, stop: &AtomicBool, record: &Record) -> Vec<Probe> {
    let mut probes = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        let id = format!("{name}-{}", probes.len());
        record.line(&format!("client sends {id} to {name}"));
        let sent = Instant::now();
        let status = ask(front, &id).unwrap_or(0);
        record.line(&format!("{name} answers {status} to {id}, with the key that is taken away"));
        probes.push(Probe { relay: name.to_owned(), sent, status, id });
        thread::sleep(PAUSE);
    }
    probes
}

fn ask(front: SocketAddr, id: &str) -> Option<u16> {
    let mut sock = TcpStream::connect(front).ok()?;
    sock.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    let request = format!(
        "POST /puxa403/2f HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: 1000\r\nKey: {}\r\n\
         Content-Length: 5\r\n\r\norder",
        KEYS[1]
    );
    sock.write_all(request.as_bytes()).ok()?;
    Some(read_head(&mut sock, &mut Vec::new())?.status())
}

/// Counts the requests that were sent when the revocation had to be in force, and that ran.
fn judge(
    record: &Record,
    probes: &[Probe],
    judged: Instant,
    revoked: Instant,
    runs: &[String],
) -> Verdict {
    let mut late = 0;
    for probe in probes.iter().filter(|p| p.sent > judged && runs.contains(&p.id)) {
        late += 1;
        let after = probe.sent.duration_since(revoked).as_millis();
        record.line(&format!(
            "CONFIG: {} was sent to {} {after} ms after the acknowledgement of version 9, and ran (status {})",
            probe.id, probe.relay, probe.status
        ));
    }
    for i in 1..=RELAYS {
        let name = format!("edge-recife-{i}");
        let refused = probes.iter().find(|p| p.relay == name && p.status == 401);
        let after = refused.map(|p| p.sent.duration_since(revoked).as_millis());
        record.line(&format!("{name} refuses the key from {after:?} ms after the acknowledgement"));
        if refused.is_none() {
            return Verdict::NotRun(format!("{name} never refused the key"));
        }
    }
    record.line(&format!("{} requests with the key, {late} of them ran too late", probes.len()));
    if late > 0 { Verdict::Broken } else { Verdict::Held }
}
