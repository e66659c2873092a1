//! Answers without a length that the servers cut off while the relay is frozen.
//!
//! The servers read the long requests slowly and begin to answer before they have all of it. Their answers
//! have no length and end with the connection. A server resets a connection on which nothing of its
//! answer was taken for [`UNREAD`].

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::net::{
    Head, SIGCONT, SIGSTOP, free_addr, limit_buffers, listen, own_ip, read_chunked, read_exact,
    read_head, reset_on_close,
};
use crate::record::Record;
use crate::relay::Relay;
use crate::store::Store;

/// Servers and their slots: as many requests run at once, the others wait in the servers' queues.
const SERVERS: usize = 5;
const SLOTS: usize = 6;
const REQUESTS: usize = 36;
/// Minimum number of requests that run when the relay is frozen.
const MIN_RUNNING: usize = 26;
/// Length of a request's body and of an answer's, in bytes.
const REQUEST_BYTES: usize = 280_000;
const ANSWER_BYTES: usize = 320_000;
/// What a server reads and writes in one step, and the pause after it.
const STEP_BYTES: usize = 8 << 10;
const READ_PAUSE: Duration = Duration::from_millis(50);
const WRITE_PAUSE: Duration = Duration::from_millis(20);
/// Time after which a server cuts off an answer of which nothing is taken.
const UNREAD: Duration = Duration::from_secs(2);
/// Send and receive buffers of a server's connections, in bytes.
const SEND_BUFFER: i32 = 64 << 10;
const RECEIVE_BUFFER: i32 = 32 << 10;
/// Length of the freeze.
const FREEZE: Duration = Duration::from_millis(3_500);

/// Maximum time until the freeze begins.
const MAX_START: Duration = Duration::from_millis(400);

const HOST: &str = "ficu95.example";
const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// What became of the answer of one run.
#[derive(Clone, Default)]
struct Run {
    id: String,
    server: String,
    /// The server has written the whole answer and closed the connection in order.
    whole: bool,
}

type Runs = Arc<Mutex<Vec<Run>>>;

/// Free slots of a server.
type Slots = Arc<(Mutex<usize>, Condvar)>;

pub fn run(record: &Record, dir: &Path, trouble: bool) -> Verdict {
    let ip = own_ip(0);
    let store = Store::start(free_addr(ip));
    let runs = Runs::default();
    store.put("keyed.op", "config", config().as_bytes());
    for i in 0..SERVERS {
        let (addr, id) = (free_addr(ip), format!("i-{i}"));
        let (runs, record, own) = (Arc::clone(&runs), record.clone(), id.clone());
        let slots: Slots = Arc::new((Mutex::new(SLOTS), Condvar::new()));
        listen(addr, move |sock| {
            let mut buffer = Vec::new();
            let Some(head) = read_head(&mut sock.try_clone().expect("socket shared"), &mut buffer)
            else {
                return;
            };
            let (free, freed) = &*slots;
            let mut free = freed.wait_while(free.lock().unwrap(), |n| *n == 0).unwrap();
            *free -= 1;
            drop(free);
            serve(sock, &head, buffer.len(), &own, &runs, &record);
            *slots.0.lock().unwrap() += 1;
            slots.1.notify_one();
        });
        store.put("keyed.servers", &id, entry(addr).as_bytes());
    }
    let relay = Relay::start(dir, "edge-recife-1", ip, store.addr);
    if !relay.wait_ready() {
        return Verdict::NotRun("the relay isn't ready".to_owned());
    }
    record.line(&format!("the relay {} is ready, process {}", relay.name, relay.pid()));
    let clients: Vec<_> = (0..REQUESTS)
        .map(|i| {
            let (front, record) = (relay.front, record.clone());
            thread::spawn(move || ask(front, &format!("a{i}"), &record))
        })
        .collect();
    let start = Instant::now();
    while runs.lock().unwrap().len() < SERVERS * SLOTS && start.elapsed() < MAX_START {
        thread::sleep(Duration::from_millis(5));
    }
    let running = runs.lock().unwrap().len();
    record.line(&format!("{running} requests run"));
    if trouble {
        thread::sleep(Duration::from_millis(200));
        record.line("the relay's machine freezes");
        relay.signal(SIGSTOP);
        thread::sleep(FREEZE);
        relay.signal(SIGCONT);
        record.line("the relay's machine goes on");
    }
    let answers: Vec<Answer> = clients.into_iter().filter_map(|c| c.join().ok()).collect();
    if running < MIN_RUNNING {
        return Verdict::NotRun(format!("only {running} requests ran at once"));
    }
    judge(record, &answers, &runs.lock().unwrap())
}

fn config() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-2yhvz3p","host":"{HOST}","path-prefix":"/puxa403/",
"type":"non_idempotent","timeout-ms":15000,"target-latency-ms":4000,"priority":2,"service":"balcao",
"max-attempts":1,"public":false}}],
"services":[{{"name":"balcao","health-path":"/healthz","max-conns":110}}],
"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},
"tenants":[{{"name":"hule930","api-keys":["{KEY}"]}}]}}"#
    )
}

fn entry(addr: SocketAddr) -> String {
    format!(
        r#"{{"service":"balcao","address":"{addr}","zone":"recife","version":"v1","slots":{SLOTS},"state":"ready","cold-left-ms":0,"sequence":4,"born":1788000000000}}"#
    )
}

/// The whole body of the answer to a request.
fn answer_of(id: &str) -> Vec<u8> {
    format!("{id} ").into_bytes().into_iter().cycle().take(ANSWER_BYTES).collect()
}

/// Serves one request, of whose body `received` bytes have been read, and closes the connection.
fn serve(
    mut sock: TcpStream,
    head: &Head,
    received: usize,
    server: &str,
    runs: &Runs,
    record: &Record,
) {
    limit_buffers(&sock, SEND_BUFFER, RECEIVE_BUFFER);
    let id = head.get("Attempt-Id").unwrap_or_default().to_owned();
    let length = head.length().unwrap_or(0);
    record.line(&format!("server {server} runs {id}"));
    let mine = {
        let mut runs = runs.lock().unwrap();
        runs.push(Run { id: id.clone(), server: server.to_owned(), whole: false });
        runs.len() - 1
    };
    let reader = sock.try_clone().expect("socket shared");
    let reads = thread::spawn(move || read_slowly(reader, length.saturating_sub(received)));
    let out = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nInstance-Seal: {server}.{id}\r\nConnection: close\r\n\r\n"
    );
    let mut out = out.into_bytes();
    out.extend_from_slice(&answer_of(&id));
    sock.set_write_timeout(Some(UNREAD)).expect("time-out set");
    for piece in out.chunks(STEP_BYTES) {
        if sock.write_all(piece).is_err() {
            record.line(&format!("server {server} cuts off its answer to {id}: nobody reads it"));
            reset_on_close(&sock);
            sock.shutdown(std::net::Shutdown::Read).ok();
            reads.join().ok();
            return;
        }
        thread::sleep(WRITE_PAUSE);
    }
    let whole = reads.join().unwrap_or(false);
    runs.lock().unwrap()[mine].whole = whole;
    record.line(&format!("server {server} has answered {id} whole: {whole}"));
}

/// Reads the rest of a request's body in small steps. Returns true if all of it has arrived.
fn read_slowly(mut sock: TcpStream, mut left: usize) -> bool {
    let mut piece = [0; STEP_BYTES];
    while left > 0 {
        let most = left.min(piece.len());
        match sock.read(&mut piece[..most]) {
            Ok(n) if n > 0 => left -= n,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            _ => return false,
        }
        thread::sleep(READ_PAUSE);
    }
    true
}

/// What a client got.
struct Answer {
    id: String,
    status: u16,
    sealed: bool,
    /// The answer is complete by its framing.
    complete: bool,
    body: Vec<u8>,
}

fn ask(front: SocketAddr, id: &str, record: &Record) -> Answer {
    let none =
        Answer { id: id.to_owned(), status: 0, sealed: false, complete: false, body: Vec::new() };
    let Ok(mut sock) = TcpStream::connect(front) else { return none };
    sock.set_read_timeout(Some(Duration::from_secs(20))).ok();
    let head = format!(
        "POST /puxa403/2f HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: 15000\r\nKey: {KEY}\r\n\
         Content-Length: {REQUEST_BYTES}\r\n\r\n"
    );
    if sock.write_all(head.as_bytes()).is_err()
        || sock.write_all(&vec![b'x'; REQUEST_BYTES]).is_err()
    {
        return none;
    }
    record.line(&format!("client has sent {id}"));
    let mut buffer = Vec::new();
    let Some(head) = read_head(&mut sock, &mut buffer) else {
        record.line(&format!("client gets no answer to {id}"));
        return none;
    };
    let (body, complete) = match head.length() {
        Some(length) => read_exact(&mut sock, &mut buffer, length),
        None => read_chunked(&mut sock, &mut buffer),
    };
    let (status, sealed) = (head.status(), head.get("Instance-Seal").is_some());
    record.line(&format!(
        "client gets {status} to {id}, signature {sealed}, {} bytes, complete {complete}",
        body.len()
    ));
    Answer { id: id.to_owned(), status, sealed, complete, body }
}

/// Counts successes whose body isn't the server's whole body.
fn judge(record: &Record, answers: &[Answer], runs: &[Run]) -> Verdict {
    let mut wrong = 0;
    for answer in answers.iter().filter(|a| (200..300).contains(&a.status) && a.complete) {
        let whole = answer.body == answer_of(&answer.id);
        if whole && answer.sealed {
            continue;
        }
        wrong += 1;
        let run = runs.iter().find(|r| r.id == answer.id).cloned().unwrap_or_default();
        record.line(&format!(
            "MIXED: {} is answered {} with {} of {ANSWER_BYTES} bytes as if complete; server {} had \
             finished it: {}",
            answer.id,
            answer.status,
            answer.body.len(),
            run.server,
            run.whole
        ));
    }
    let count = |f: &dyn Fn(&Answer) -> bool| answers.iter().filter(|a| f(a)).count();
    record.line(&format!(
        "{} requests: {} with 200, {} with 502, {} with another status, {} without an answer; {wrong} cut \
         short and answered as complete",
        answers.len(),
        count(&|a| a.status == 200),
        count(&|a| a.status == 502),
        count(&|a| ![0, 200, 502].contains(&a.status)),
        count(&|a| a.status == 0),
    ));
    if wrong > 0 { Verdict::Broken } else { Verdict::Held }
}
