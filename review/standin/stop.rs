//! Case 4: a machine is stopped as planned, while the servers are full and ask for a pause.

use std::collections::BTreeSet;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::client::{self, Client, Outcome};
use crate::http::Message;
use crate::relay::Relay;
use crate::server::{self, Server};
use crate::store::Store;
use crate::{Verdict, record};

/// Requests that a server runs at once, and those that it queues.
const SLOTS: u32 = 6;
const QUEUE: usize = 2;
/// `Retry-After` of a full server, in seconds.
const PAUSE_S: &str = "10";
/// Events of a long stream, and the time between two.
const EVENTS: u64 = 80;
const GAP: Duration = Duration::from_millis(150);
/// Bounds of the deployment.
const GRACE_MS: u64 = 8_000;
const SLACK_MS: u64 = 200;
/// Deadline of a stream and timeout of its route.
const DEADLINE_MS: u64 = 15_000;
/// Streams sent to the machine after its SIGTERM, at the same time, and the time of that.
const LATE_STREAMS: u64 = 6;
const LATE_AFTER: Duration = Duration::from_millis(800);
const PROMPT: &str = "Model: m\r\nToken-Counts: 1460,400\r\n";

/// A stream and what its client saw.
struct Sent {
    id: String,
    sent_at: u64,
    ended_at: u64,
    outcome: Outcome,
}

pub fn run(trouble: bool) -> Result<Verdict, String> {
    let store = Store::start()?;
    store.configure(&client::config());
    let mut servers = Vec::new();
    for i in 0..2 {
        let work = Arc::new(|server: &Server, sock: &mut TcpStream, request: &Message| {
            server::stream(server, sock, request, EVENTS, GAP)
        });
        let id = format!("i-02d9e6b{i}");
        let server = Server::start(&store, &id, "redator", SLOTS, work)?;
        server.limit(QUEUE, PAUSE_S);
        server.beat(&store);
        servers.push(server);
    }
    let stopped = Relay::start("edge-recife-1", store.addr)?;
    let other = Relay::start("edge-recife-2", store.addr)?;
    thread::sleep(Duration::from_secs(1));

    // The usual load: as many streams as the servers take, through the other machine.
    for _ in 0..servers.len() * (SLOTS as usize + QUEUE) {
        let front = other.front;
        thread::spawn(move || {
            let Some(mut client) = Client::open(front) else { return };
            client.ask("POST", "/layout/2f", &client::attempt(), DEADLINE_MS, PROMPT);
        });
        thread::sleep(Duration::from_millis(20));
    }
    thread::sleep(Duration::from_millis(300));
    let stop_at = record::now();
    if trouble {
        record::line("platform: SIGTERM to edge-recife-1");
        stopped.terminate();
    }
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let mut threads = Vec::new();
    thread::sleep(LATE_AFTER);
    for _ in 0..LATE_STREAMS {
        let (front, sent) = (stopped.front, Arc::clone(&sent));
        threads.push(thread::spawn(move || {
            let Some(mut client) = Client::open(front) else { return };
            let (id, sent_at) = (client::attempt(), record::now());
            let outcome = client.ask("POST", "/layout/2f", &id, DEADLINE_MS, PROMPT);
            sent.lock().unwrap().push(Sent { id, sent_at, ended_at: record::now(), outcome });
        }));
    }
    threads.into_iter().for_each(|t| _ = t.join());
    if let Some(status) = stopped.exit() {
        record::line(&format!("edge-recife-1 has ended: {status}"));
    }
    let ran: BTreeSet<String> = servers.iter().flat_map(|s| s.arrivals().into_keys()).collect();
    let mut lost = 0;
    for s in sent.lock().unwrap().iter() {
        let (since, took) = (s.sent_at - stop_at, s.ended_at - s.sent_at);
        let counts = s.outcome == Outcome::Cut
            && !ran.contains(&s.id)
            && took > SLACK_MS
            && took < DEADLINE_MS
            && s.ended_at < stop_at + GRACE_MS + 1_000;
        if counts {
            lost += 1;
            record::line(&format!(
                "{} was sent {since} ms after the SIGTERM, ran nowhere, and was cut off after {took} ms",
                s.id
            ));
        }
    }
    record::line(&format!("{lost} of {LATE_STREAMS} requests were read and got no answer"));
    Ok(if lost > 0 { Verdict::Broken } else { Verdict::Held })
}
