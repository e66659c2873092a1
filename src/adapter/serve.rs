//! HTTP/1.1 server for callers and for streamed answers, on `std::net` and `httparse`.
//!
//! It bounds headers, bodies and the time a caller may take for them, flushes each event, tells
//! when a caller hung up, and lets requests in progress end at shutdown.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Largest head of a request in bytes.
const HEAD_LIMIT: usize = 32 << 10;
/// Header lines at most.
const MAX_HEADERS: usize = 100;
/// Longest time between the first byte of a request and its last.
const READ_TIMEOUT: Duration = Duration::from_secs(15);
/// Longest idle time of a kept connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Longest wait for a caller to take what is written.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// How often an idle connection looks for shutdown.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Longest time for which a refused caller is read.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);
/// Stack of a connection's thread in bytes.
const STACK_SIZE: usize = 512 << 10;

/// A request as received.
#[derive(Debug, Default)]
pub struct Request {
    /// Method in capitals.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Query without the `?`.
    pub query: String,
    /// Headers in order, names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl Request {
    /// First value of a header; `name` in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
}

/// A fault in a request's form, as told to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BadRequest {
    /// HTTP status.
    pub status: u16,
    /// Stable code.
    pub code: &'static str,
    /// What is wrong.
    pub text: &'static str,
}

enum ReadOutcome {
    Request(Request, usize, bool),
    Closed,
    Bad(BadRequest),
}

/// What a handler answers with. One answer for each request.
pub struct Reply<'a> {
    stream: &'a mut TcpStream,
    close: bool,
    chunked: bool,
    started: bool,
}

impl Reply<'_> {
    /// Sends a whole answer.
    pub fn send(&mut self, status: u16, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        let length = body.len().to_string();
        let mut head = self.head(status, headers);
        head.push_str(&format!("content-length: {length}\r\n\r\n"));
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        self.started = true;
        self.stream.write_all(&bytes)
    }

    /// Starts a streamed answer.
    pub fn start(&mut self, status: u16, headers: &[(&str, &str)]) -> io::Result<()> {
        let mut head = self.head(status, headers);
        head.push_str("transfer-encoding: chunked\r\n\r\n");
        self.started = true;
        self.chunked = true;
        self.stream.write_all(head.as_bytes())
    }

    /// Sends one piece of a streamed answer at once.
    pub fn chunk(&mut self, data: &[u8]) -> io::Result<()> {
        let mut bytes = format!("{:x}\r\n", data.len()).into_bytes();
        bytes.extend_from_slice(data);
        bytes.extend_from_slice(b"\r\n");
        self.stream.write_all(&bytes)
    }

    /// Ends a streamed answer.
    pub fn end(&mut self) -> io::Result<()> {
        self.chunked = false;
        self.stream.write_all(b"0\r\n\r\n")
    }

    /// Ends the connection without a proper end of the answer.
    pub fn abort(&mut self) {
        self.close = true;
        self.stream.shutdown(std::net::Shutdown::Both).ok();
    }

    /// True once an answer was started.
    pub fn started(&self) -> bool {
        self.started
    }

    /// A second handle on the caller's connection, to find out whether it hung up.
    pub fn probe(&self) -> Option<ConnectionProbe> {
        self.stream.try_clone().ok().map(ConnectionProbe)
    }

    fn head(&self, status: u16, headers: &[(&str, &str)]) -> String {
        let mut head = format!("HTTP/1.1 {status} {}\r\n", reason(status));
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if self.close {
            head.push_str("connection: close\r\n");
        }
        head
    }
}

/// A caller's connection, for looking only.
#[derive(Debug)]
pub struct ConnectionProbe(TcpStream);

impl ConnectionProbe {
    /// True when the caller has hung up.
    pub fn is_closed(&self) -> bool {
        let mut byte = [0];
        if self.0.set_read_timeout(Some(Duration::from_millis(1))).is_err() {
            return true;
        }
        match self.0.peek(&mut byte) {
            Ok(n) => n == 0,
            Err(e) => !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
        }
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        409 => "Conflict",
        429 => "Too Many Requests",
        503 => "Service Unavailable",
        _ => "Status",
    }
}

/// A handler of requests.
pub type Handler = dyn Fn(Request, &mut Reply<'_>) + Send + Sync;
/// Writes the answer for a request that is badly formed.
pub type BadRequestHandler = dyn Fn(BadRequest, &mut Reply<'_>) + Send + Sync;

/// Bounds and handlers of a server.
pub struct ServerOptions {
    /// Largest body in bytes.
    pub body_limit: usize,
    /// Handles each request.
    pub handler: Box<Handler>,
    /// Answers badly formed requests.
    pub bad_request: Box<BadRequestHandler>,
}

/// A running server.
pub struct Server {
    addr: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    options: ServerOptions,
    stop: AtomicBool,
    in_flight: AtomicUsize,
    open: AtomicUsize,
}

impl Server {
    /// Listens on `addr` and serves each connection on a thread of its own.
    pub fn start(addr: SocketAddr, options: ServerOptions) -> io::Result<Self> {
        let listener = TcpListener::bind(addr)?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Shared {
            options,
            stop: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
            open: AtomicUsize::new(0),
        });
        let inner = Arc::clone(&shared);
        thread::Builder::new().name("accept".into()).spawn(move || accept(&listener, &inner))?;
        Ok(Self { addr, shared })
    }

    /// Address in use.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Closes the listening socket and idle connections; requests in progress go on.
    pub fn close(&self) {
        self.shared.stop.store(true, Ordering::SeqCst);
        // Wakes the accepting thread, which then drops the listener.
        TcpStream::connect_timeout(&self.addr, POLL_INTERVAL).ok();
    }

    /// Requests in progress.
    pub fn in_flight(&self) -> usize {
        self.shared.in_flight.load(Ordering::SeqCst)
    }
}

fn accept(listener: &TcpListener, shared: &Arc<Shared>) {
    for stream in listener.incoming() {
        if shared.stop.load(Ordering::SeqCst) {
            return;
        }
        let Ok(stream) = stream else {
            // Out of file descriptors; let some connections end first.
            thread::sleep(POLL_INTERVAL);
            continue;
        };
        let inner = Arc::clone(shared);
        let builder = thread::Builder::new().name("caller".into()).stack_size(STACK_SIZE);
        let spawned = builder.spawn(move || {
            inner.open.fetch_add(1, Ordering::SeqCst);
            connection(stream, &inner);
            inner.open.fetch_sub(1, Ordering::SeqCst);
        });
        if let Err(e) = spawned {
            tracing::warn!("serve: no thread for a connection: {e}.");
        }
    }
}

fn connection(mut stream: TcpStream, shared: &Shared) {
    stream.set_nodelay(true).ok();
    stream.set_write_timeout(Some(WRITE_TIMEOUT)).ok();
    let mut buffer = Vec::new();
    loop {
        match read_request(&mut stream, &mut buffer, shared) {
            ReadOutcome::Closed => return,
            ReadOutcome::Bad(bad) => {
                let mut reply = reply(&mut stream, true);
                (shared.options.bad_request)(bad, &mut reply);
                stream.shutdown(std::net::Shutdown::Write).ok();
                discard_input(&mut stream);
                return;
            }
            ReadOutcome::Request(request, used, keep_alive) => {
                buffer.drain(..used);
                shared.in_flight.fetch_add(1, Ordering::SeqCst);
                let stopping = shared.stop.load(Ordering::SeqCst);
                let mut reply = reply(&mut stream, !keep_alive || stopping);
                (shared.options.handler)(request, &mut reply);
                let (close, complete) = (reply.close, reply.started && !reply.chunked);
                shared.in_flight.fetch_sub(1, Ordering::SeqCst);
                if close || !complete {
                    return;
                }
            }
        }
    }
}

fn reply(stream: &mut TcpStream, close: bool) -> Reply<'_> {
    Reply { stream, close, chunked: false, started: false }
}

/// Reads what a refused caller still sends, so that closing doesn't reset its connection before
/// it has read the answer.
fn discard_input(stream: &mut TcpStream) {
    stream.set_read_timeout(Some(POLL_INTERVAL)).ok();
    let mut sink = [0; 4096];
    let end = Instant::now() + DISCARD_TIMEOUT;
    while Instant::now() < end {
        match stream.read(&mut sink) {
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
}

const SLOW_REQUEST: BadRequest =
    BadRequest { status: 408, code: "slow_request", text: "the request took too long to arrive" };

/// Reads one request; `buffer` may hold the start of it.
fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>, shared: &Shared) -> ReadOutcome {
    let idle_deadline = Instant::now() + IDLE_TIMEOUT;
    let mut deadline = (!buffer.is_empty()).then(|| Instant::now() + READ_TIMEOUT);
    loop {
        match parse(buffer, shared.options.body_limit) {
            Parsed::Complete(request, used, keep_alive) => {
                return ReadOutcome::Request(request, used, keep_alive);
            }
            Parsed::Bad(bad) => return ReadOutcome::Bad(bad),
            Parsed::ExpectContinue => {
                if stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").is_err() {
                    return ReadOutcome::Closed;
                }
                strip_expect(buffer);
            }
            Parsed::Incomplete => {}
        }
        if let Err(e) = stream.set_read_timeout(Some(POLL_INTERVAL)) {
            tracing::debug!("serve: connection lost: {e}.");
            return ReadOutcome::Closed;
        }
        let mut piece = [0; 8192];
        match stream.read(&mut piece) {
            Ok(0) => return ReadOutcome::Closed,
            Ok(n) => {
                deadline = deadline.or_else(|| Some(Instant::now() + READ_TIMEOUT));
                buffer.extend_from_slice(&piece[..n]);
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => return ReadOutcome::Closed,
        }
        let now = Instant::now();
        if deadline.is_some_and(|d| now > d) {
            return ReadOutcome::Bad(SLOW_REQUEST);
        }
        let stopping = shared.stop.load(Ordering::SeqCst);
        if deadline.is_none() && (now > idle_deadline || stopping) {
            return ReadOutcome::Closed;
        }
    }
}

enum Parsed {
    Complete(Request, usize, bool),
    Incomplete,
    ExpectContinue,
    Bad(BadRequest),
}

fn bad(status: u16, code: &'static str, text: &'static str) -> Parsed {
    Parsed::Bad(BadRequest { status, code, text })
}

fn parse(buffer: &[u8], body_limit: usize) -> Parsed {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let start = match head.parse(buffer) {
        Ok(httparse::Status::Complete(n)) => n,
        Ok(httparse::Status::Partial) if buffer.len() > HEAD_LIMIT => {
            return bad(431, "headers_too_large", "the headers are larger than 32 KB");
        }
        Ok(httparse::Status::Partial) => return Parsed::Incomplete,
        Err(httparse::Error::TooManyHeaders) => {
            return bad(431, "headers_too_large", "there are more than 100 headers");
        }
        Err(_) => return bad(400, "bad_http", "the request is not valid HTTP/1.1"),
    };
    if start > HEAD_LIMIT {
        return bad(431, "headers_too_large", "the headers are larger than 32 KB");
    }
    let mut request =
        Request { method: head.method.unwrap_or("").to_owned(), ..Request::default() };
    let target = head.path.unwrap_or("/");
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    (request.path, request.query) = (path.to_owned(), query.to_owned());
    for h in head.headers.iter() {
        let Ok(value) = std::str::from_utf8(h.value) else {
            return bad(400, "bad_header", "a header is not valid UTF-8");
        };
        request.headers.push((h.name.to_ascii_lowercase(), value.to_owned()));
    }
    if request.header("transfer-encoding").is_some() {
        return bad(411, "length_required", "send the body with content-length");
    }
    let lengths: Vec<&str> = request
        .headers
        .iter()
        .filter(|(n, _)| n == "content-length")
        .map(|(_, v)| v.as_str())
        .collect();
    let length = match lengths.as_slice() {
        [] => 0,
        [one] => match one.parse::<usize>() {
            Ok(n) => n,
            Err(_) => return bad(400, "bad_length", "content-length is not a number"),
        },
        _ => return bad(400, "bad_length", "content-length stands twice"),
    };
    if length > body_limit {
        return bad(413, "body_too_large", "the body is larger than this instance takes");
    }
    if buffer.len() < start + length {
        let expects =
            request.header("expect").is_some_and(|v| v.eq_ignore_ascii_case("100-continue"));
        return if expects { Parsed::ExpectContinue } else { Parsed::Incomplete };
    }
    request.body = buffer[start..start + length].to_vec();
    let close = request.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
    let keep_alive = head.version == Some(1) && !close;
    Parsed::Complete(request, start + length, keep_alive)
}

/// Removes the `Expect` header once it was answered.
fn strip_expect(buffer: &mut [u8]) {
    let lower = buffer.to_ascii_lowercase();
    if let Some(i) = lower.windows(7).position(|w| w == b"expect:") {
        buffer[i..i + 6].copy_from_slice(b"x-done");
    }
}
