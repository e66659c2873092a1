//! Case 5: many users come at once. After that, most machines refuse the service for good, although
//! its servers are idle.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::client::{self, Client, Outcome};
use crate::relay::Relay;
use crate::server::{self, Server};
use crate::store::Store;
use crate::{Verdict, record};

const MACHINES: usize = 9;
const SERVERS: usize = 1;
/// Time that a server works on an order.
const WORK: Duration = Duration::from_millis(60);
/// Orders a second in the whole deployment; the servers can run 300.
const RATE: f64 = 80.0;
/// Factor and duration of the burst.
const BURST: f64 = 5.0;
const BURST_MS: u64 = 6_000;

pub fn run(trouble: bool) -> Result<Verdict, String> {
    let store = Store::start()?;
    store.configure(&client::config());
    let mut servers = Vec::new();
    for i in 0..SERVERS {
        let work = server::answer_after(WORK);
        let server = Server::start(&store, &format!("i-7f3a91c{i}"), "balcao", 6, work)?;
        server.beat(&store);
        servers.push(server);
    }
    let mut machines = Vec::new();
    for i in 0..MACHINES {
        machines.push(Relay::start(&format!("edge-recife-{i}"), store.addr)?);
    }
    thread::sleep(Duration::from_secs(2));
    let results: Arc<Mutex<Vec<(usize, u64, Outcome)>>> = Arc::default();
    let start = record::now();
    let n = AtomicU32::new(0);
    let mut threads = Vec::new();
    while record::now() < start + 20_000 {
        let t = record::now() - start;
        let burst = trouble && (2_000..2_000 + BURST_MS).contains(&t);
        let rate = if burst { RATE * BURST } else { RATE };
        let m = n.fetch_add(1, Ordering::SeqCst) as usize % MACHINES;
        let (front, results) = (machines[m].front, Arc::clone(&results));
        threads.push(thread::spawn(move || {
            let Some(mut client) = Client::open(front) else { return };
            let at = record::now();
            let outcome = client.ask("POST", "/order/2f", &client::attempt(), 1_000, "");
            results.lock().unwrap().push((m, at, outcome));
        }));
        thread::sleep(Duration::from_secs_f64(1.0 / rate));
    }
    threads.into_iter().for_each(|t| _ = t.join());
    let results = results.lock().unwrap();
    for m in 0..MACHINES {
        for (name, from, to) in [("before", 0, 2_000), ("burst", 2_000, 11_000), ("calm", 14_000, 20_000)] {
            let own: Vec<_> =
                results.iter().filter(|r| r.0 == m && (start + from..start + to).contains(&r.1)).collect();
            let ok = own.iter().filter(|r| r.2 == Outcome::Answered(200)).count();
            record::line(&format!("machine {m} {name}: {ok} of {} served", own.len()));
        }
    }
    Ok(Verdict::Held)
}
