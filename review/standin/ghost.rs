//! Case 5: one machine is partitioned from the store for a moment, while a server leaves.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::client::{self, Client, Outcome};
use crate::relay::Relay;
use crate::server::{self, Server};
use crate::store::Store;
use crate::{Verdict, record};

/// Bound of the deployment.
const DRAIN_MS: u64 = 2_000;
/// Duration of the cut.
const CUT: Duration = Duration::from_millis(3_200);
/// Time from the start of the cut to the removal of the leaving server's entry.
const LEAVES_AFTER: Duration = Duration::from_millis(400);
/// Time for which the leaving server goes on serving after the removal.
const SERVES_ON_MS: u64 = 8_000;
/// Time that a server works on a look-up.
const WORK: Duration = Duration::from_millis(60);
/// Clients, each with one kept connection.
const CLIENTS: usize = 12;

/// Link between one machine and the store. While it is cut, it holds the bytes of both directions.
#[derive(Clone)]
struct Link {
    addr: SocketAddr,
    cut: Arc<AtomicBool>,
}

impl Link {
    fn start(store: SocketAddr) -> Result<Self, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
        let addr = listener.local_addr().map_err(|e| e.to_string())?;
        let link = Self { addr, cut: Arc::default() };
        let serving = link.clone();
        thread::spawn(move || {
            for sock in listener.incoming().flatten() {
                serving.wait();
                let Ok(other) = TcpStream::connect(store) else { continue };
                let (Ok(a), Ok(b)) = (sock.try_clone(), other.try_clone()) else { continue };
                let (there, back) = (serving.clone(), serving.clone());
                thread::spawn(move || there.copy(sock, other));
                thread::spawn(move || back.copy(b, a));
            }
        });
        Ok(link)
    }

    fn wait(&self) {
        while self.cut.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(1));
        }
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut buffer = [0; 64 << 10];
        let _ = to.set_nodelay(true);
        while let Ok(n) = from.read(&mut buffer) {
            self.wait();
            if n == 0 || to.write_all(&buffer[..n]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(std::net::Shutdown::Both);
    }
}

pub fn run(trouble: bool) -> Result<Verdict, String> {
    let store = Store::start()?;
    store.configure(&client::config());
    let work = server::answer_after(WORK);
    let mut servers = Vec::new();
    for id in ["i-7f3a91c0", "i-7f3a91c1", "i-7f3a91c2"] {
        servers.push(Server::start(&store, id, "balcao", 6, Arc::clone(&work))?);
    }
    for server in &servers {
        server.beat(&store);
        // Servers start at different times.
        thread::sleep(Duration::from_millis(400));
    }
    let link = Link::start(store.addr)?;
    let machine = Relay::start("edge-recife-1", link.addr)?;
    Relay::start("edge-caruaru-1", store.addr)?;
    thread::sleep(Duration::from_secs(2));
    let sent: Arc<Mutex<Vec<Lookup>>> = Arc::default();
    let done = Arc::new(AtomicBool::new(false));
    let clients = (0..CLIENTS).map(|_| {
        let (machine, sent, done) = (machine.clone(), Arc::clone(&sent), Arc::clone(&done));
        thread::spawn(move || look_up(&machine, &done, &sent))
    });
    let clients: Vec<_> = clients.collect();
    thread::sleep(Duration::from_secs(1));

    let leaving = servers[0].clone();
    // The cut begins just before the server writes its entry for the last time.
    wait_for_beat(&store, &leaving);
    if trouble {
        link.cut.store(true, Ordering::SeqCst);
        record::line("disruption: edge-recife-1 is partitioned from the store");
    }
    leaving.stop_beats();
    leaving.register(&store);
    thread::sleep(LEAVES_AFTER);
    leaving.leaves();
    record::line(&format!("server {}: leaves, and says so in its answers", leaving.id));
    store.put("keyed.servers", &leaving.id, None);
    let removed_at = record::now();
    record::line(&format!("store: entry of {} removed and acknowledged", leaving.id));
    thread::sleep(CUT - LEAVES_AFTER);
    link.cut.store(false, Ordering::SeqCst);
    record::line("the partition has healed");
    while record::now() < removed_at + SERVES_ON_MS {
        thread::sleep(Duration::from_millis(10));
    }
    done.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|t| _ = t.join());
    record::line(&format!("server {}: exits", leaving.id));
    for line in machine.log_with(&leaving.id) {
        if ["endpoint added", "endpoint removed", "says that it"].iter().any(|t| line.contains(t)) {
            record::line(&format!("log of edge-recife-1: {}", line.trim()));
        }
    }
    let sent = sent.lock().unwrap();
    let Some(said_at) = sent.iter().filter(|l| l.leaving).map(|l| l.ended_at).min() else {
        return Err("no answer said that the server was leaving".to_owned());
    };
    record::line(&format!("the machine first passed on Server-Leaving at {said_at}"));
    let arrivals = leaving.arrivals();
    let late = |l: &&Lookup| l.sent_at > said_at + DRAIN_MS && arrivals.contains_key(&l.id);
    let late: Vec<&Lookup> = sent.iter().filter(late).collect();
    for l in &late {
        let after = l.sent_at - said_at;
        record::line(&format!(
            "{} was sent {after} ms after that, and reached {}",
            l.id, leaving.id
        ));
    }
    record::line(&format!("{} requests reached it over {DRAIN_MS} ms after that", late.len()));
    Ok(if late.is_empty() { Verdict::Held } else { Verdict::Broken })
}

/// A look-up and what its client saw.
struct Lookup {
    id: String,
    sent_at: u64,
    ended_at: u64,
    /// The answer carried `Server-Leaving: 1`.
    leaving: bool,
}

/// Waits until the server has just written its entry.
fn wait_for_beat(store: &Store, server: &Server) {
    let before = store.offset("keyed.servers", &server.id);
    while store.offset("keyed.servers", &server.id) == before {
        thread::sleep(Duration::from_millis(1));
    }
    thread::sleep(server::HEARTBEAT - Duration::from_millis(50));
}

/// Sends look-ups over one connection.
fn look_up(machine: &Relay, done: &AtomicBool, sent: &Mutex<Vec<Lookup>>) {
    let Some(mut client) = Client::open(machine.front) else { return };
    while !done.load(Ordering::SeqCst) {
        let (id, sent_at) = (client::attempt(), record::now());
        let outcome = client.ask("GET", "/stock/2f", &id, 1_000, "");
        let leaving = client.last_header("Server-Leaving").as_deref() == Some("1");
        sent.lock().unwrap().push(Lookup { id, sent_at, ended_at: record::now(), leaving });
        if outcome == Outcome::Cut {
            return;
        }
    }
}
