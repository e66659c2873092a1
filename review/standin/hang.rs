//! Case 2: a server in trouble sends bytes that are no answer, without end, until the caller closes:
//! the same interim head over and over. Orders to sound servers of another service go on.

use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{self, Client, Outcome};
use crate::http::Message;
use crate::memory::Pace;
use crate::relay::Relay;
use crate::server::{self, Server};
use crate::store::Store;
use crate::{Verdict, http, record};

/// Clients with kept connections that send orders to sound servers.
const KEPT_CLIENTS: usize = 8;
/// Time that a sound server works on an order.
const WORK: Duration = Duration::from_millis(60);
/// Speed of the server in trouble, in bytes per millisecond: 500 Mbit/s, half of the link.
const LINK: usize = 62_500;
/// Duration of the traffic, and the time in it at which the stream is asked for.
const TRAFFIC: Duration = Duration::from_secs(30);
const STREAM_AT: Duration = Duration::from_secs(2);
/// Timeout of the route, and the time after it at which the rule looks again.
const TIMEOUT_MS: u64 = 1_000;
const LOOK_MS: u64 = 500;
/// What the server in trouble sends.
const INTERIM: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// Maximum number of bytes that it sends.
const MAX_BYTES: usize = 4 << 30;

/// Sends interim heads until the caller closes.
fn flood(server: &Server, sock: &mut TcpStream, request: &Message, pace: &Pace) -> bool {
    let id = request.get("Attempt-Id").unwrap_or_default();
    let piece = INTERIM.repeat(2_000);
    let mut sent = 0;
    while sent < MAX_BYTES {
        pace.take(piece.len());
        if !http::write(sock, &piece) {
            break;
        }
        sent += piece.len();
    }
    server.leave();
    record::line(&format!("server {}: sent {} KB to {id} until it closed", server.id, sent >> 10));
    false
}

pub fn run(trouble: bool) -> Result<Verdict, String> {
    let store = Store::start()?;
    store.configure(&client::config());
    for i in 0..3 {
        let work = server::answer_after(WORK);
        Server::start(&store, &format!("i-7f3a91c{i}"), "balcao", 6, work)?.beat(&store);
    }
    let pace = Arc::new(Pace::new(LINK));
    for i in 0..2 {
        let pace = Arc::clone(&pace);
        let faulty = trouble && i == 0;
        let work = Arc::new(move |server: &Server, sock: &mut TcpStream, request: &Message| {
            if faulty {
                return flood(server, sock, request, &pace);
            }
            server::stream(server, sock, request, 76, Duration::from_millis(20))
        });
        Server::start(&store, &format!("i-02d9e6b{i}"), "redator", 64, work)?.beat(&store);
    }
    let relay = Relay::start("edge-recife-1", store.addr)?;
    let done = Arc::new(AtomicBool::new(false));
    let orders: Arc<Mutex<Vec<(String, Outcome, u64)>>> = Arc::default();
    let mut threads = Vec::new();
    for _ in 0..KEPT_CLIENTS {
        let (front, done, orders) = (relay.front, Arc::clone(&done), Arc::clone(&orders));
        threads.push(thread::spawn(move || {
            while !done.load(Ordering::SeqCst) {
                let Some(mut client) = Client::open(front) else { continue };
                while !done.load(Ordering::SeqCst) {
                    let (id, at) = (client::attempt(), Instant::now());
                    let outcome = client.ask("POST", "/order/2f", &id, TIMEOUT_MS, "");
                    let took = at.elapsed().as_millis() as u64;
                    orders.lock().unwrap().push((id, outcome, took));
                    if !matches!(outcome, Outcome::Answered(_)) {
                        break;
                    }
                }
            }
        }));
    }
    thread::sleep(STREAM_AT);
    for _ in 0..2 {
        let front = relay.front;
        threads.push(thread::spawn(move || {
            let Some(mut client) = Client::open(front) else { return };
            let prompt = "Model: m\r\nToken-Counts: 1460,400\r\n";
            client.ask("POST", "/layout/2f", &client::attempt(), 15_000, prompt);
        }));
    }
    let start = Instant::now();
    while start.elapsed() + STREAM_AT < TRAFFIC {
        thread::sleep(Duration::from_secs(1));
        let ready = relay.is_ready();
        record::line(&format!("platform: ready {ready}, memory {} MB", relay.memory()));
    }
    done.store(true, Ordering::SeqCst);
    threads.into_iter().for_each(|t| _ = t.join());
    let orders = orders.lock().unwrap();
    let late: Vec<_> = orders.iter().filter(|(_, _, took)| *took >= TIMEOUT_MS).collect();
    let silent = late.iter().filter(|(_, _, took)| *took >= TIMEOUT_MS + LOOK_MS).count();
    record::line(&format!(
        "{} orders, {} unanswered at the timeout of their route, {silent} of these {LOOK_MS} ms later",
        orders.len(),
        late.len()
    ));
    Ok(if silent * 2 > late.len() { Verdict::Broken } else { Verdict::Held })
}
