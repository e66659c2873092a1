//! Case 3: the machines of a zone are stopped and started in turn. The first one still serves a
//! stream that began before its SIGTERM, and is sent new orders until it ends.

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

/// Time that a server works on an order: below the most on the sheet.
const WORK: Duration = Duration::from_millis(100);
/// Pause between the stops of two machines.
const STOP_GAP_MS: u64 = 1_000;
/// Time that a client waits for an order.
const ORDER_DEADLINE_MS: u64 = 1_000;
/// Bounds of the deployment.
const GRACE_MS: u64 = 8_000;
/// Time after the SIGTERM up to which a client may have sent a request whose end the rule excuses.
const EXCUSED_MS: u64 = 3_000;
/// Pause between two orders of the zone.
const ORDER_GAP: Duration = Duration::from_millis(12);

/// The platform's entry to the zone: checks readiness once a second, takes a machine out after two
/// misses, and uses all if fewer than half are in rotation.
struct Entry {
    machines: Vec<Relay>,
    misses: Mutex<Vec<u32>>,
}

impl Entry {
    fn check(&self) {
        for (i, machine) in self.machines.iter().enumerate() {
            let ready = machine.is_ready();
            let mut misses = self.misses.lock().unwrap();
            let before = misses[i];
            misses[i] = if ready { 0 } else { before + 1 };
            if misses[i] == 2 {
                record::line(&format!("platform: {} is out of rotation", machine.name));
            }
        }
    }

    /// The machine that the platform passes the connection of this client to.
    fn pick(&self, client: usize) -> &Relay {
        let misses = self.misses.lock().unwrap();
        let inside: Vec<usize> = (0..self.machines.len()).filter(|i| misses[*i] < 2).collect();
        let all: Vec<usize> = (0..self.machines.len()).collect();
        let usable = if inside.len() * 2 < all.len() { all } else { inside };
        &self.machines[usable[client % usable.len()]]
    }
}

/// An order and what its client saw.
struct Order {
    id: String,
    machine: String,
    sent_at: u64,
    ended_at: u64,
    outcome: Outcome,
}

pub fn run(trouble: bool) -> Result<Verdict, String> {
    let store = Store::start()?;
    store.configure(&client::config());
    let mut servers = Vec::new();
    for i in 0..6 {
        let work = server::answer_after(WORK);
        let server = Server::start(&store, &format!("i-7f3a91c{i}"), "balcao", 6, work)?;
        server.beat(&store);
        servers.push(server);
    }
    let work = Arc::new(|server: &Server, sock: &mut TcpStream, request: &Message| {
        server::stream(server, sock, request, 100, Duration::from_millis(120))
    });
    Server::start(&store, "i-02d9e6b4", "redator", 64, work)?.beat(&store);
    let names = ["edge-recife-1", "edge-recife-2", "edge-recife-3"];
    let machines: Result<Vec<Relay>, String> =
        names.iter().map(|n| Relay::start(n, store.addr)).collect();
    let machines = machines?;
    thread::sleep(Duration::from_secs(1));
    let entry = Arc::new(Entry { machines: machines.clone(), misses: Mutex::new(vec![0; 3]) });
    let checking = Arc::clone(&entry);
    thread::spawn(move || {
        loop {
            checking.check();
            thread::sleep(Duration::from_secs(1));
        }
    });
    let front = machines[0].front;
    let stream = thread::spawn(move || {
        let Some(mut client) = Client::open(front) else { return };
        let prompt = "Model: m\r\nToken-Counts: 1460,400\r\n";
        client.ask("POST", "/layout/2f", &client::attempt(), 15_000, prompt);
    });
    thread::sleep(Duration::from_millis(500));

    let stopped_at = record::now();
    let orders: Arc<Mutex<Vec<Order>>> = Arc::default();
    let mut clients = Vec::new();
    let mut next_stop = 0;
    let mut n = 0;
    while record::now() < stopped_at + GRACE_MS + 2_000 {
        if trouble && next_stop < 2 && record::now() >= stopped_at + next_stop as u64 * STOP_GAP_MS {
            record::line(&format!("platform: SIGTERM to {}", machines[next_stop].name));
            machines[next_stop].terminate();
            next_stop += 1;
        }
        let (entry, orders) = (Arc::clone(&entry), Arc::clone(&orders));
        clients.push(thread::spawn(move || send_order(&entry, n, &orders)));
        n += 1;
        thread::sleep(ORDER_GAP);
    }
    clients.into_iter().for_each(|t| _ = t.join());
    drop(stream);
    let ran: BTreeSet<String> = servers.iter().flat_map(|s| s.arrivals().into_keys()).collect();
    let mut lost = 0;
    for order in orders.lock().unwrap().iter() {
        let since = order.sent_at.saturating_sub(stopped_at);
        let counts = order.machine == machines[0].name
            && order.outcome == Outcome::Cut
            && ran.contains(&order.id)
            && since > EXCUSED_MS
            && order.ended_at < stopped_at + GRACE_MS + 1_000
            && order.ended_at - order.sent_at < ORDER_DEADLINE_MS;
        if counts {
            lost += 1;
            record::line(&format!(
                "order {} sent {since} ms after the SIGTERM of {} was passed on and cut off after {} ms",
                order.id,
                order.machine,
                order.ended_at - order.sent_at
            ));
        }
    }
    record::line(&format!("{lost} orders were passed on and cut off"));
    Ok(if lost > 0 { Verdict::Broken } else { Verdict::Held })
}

/// Sends one order over a new connection.
fn send_order(entry: &Entry, n: usize, orders: &Mutex<Vec<Order>>) {
    let machine = entry.pick(n);
    let Some(mut client) = Client::open(machine.front) else { return };
    let (id, sent_at) = (client::attempt(), record::now());
    let outcome = client.ask("POST", "/order/2f", &id, ORDER_DEADLINE_MS, "Connection: close\r\n");
    let machine = machine.name.clone();
    orders.lock().unwrap().push(Order { id, machine, sent_at, ended_at: record::now(), outcome });
}
