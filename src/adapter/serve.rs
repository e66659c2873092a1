//! HTTP/1.1 server on `std::net` and `httparse`, with one thread for each connection.
//!
//! It limits the size of headers and bodies and the time a caller may take to send them, sends each
//! chunk of a streamed response at once, detects that a caller has closed its connection, and lets
//! requests in flight finish at shutdown.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use prometheus_client::metrics::counter::Counter;
use rustix::net::sockopt::set_socket_recv_buffer_size;

use super::room::{Room, RoomLimits, Tenant};

/// Largest head of a request, which is the request line and the headers, in bytes.
const HEAD_LIMIT: usize = 32 << 10;
/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 100;
/// Longest time from the first to the last byte of a request.
const READ_TIMEOUT: Duration = Duration::from_secs(15);
/// How long a keep-alive connection may stay idle between requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Longest time that a write may block on a caller that does not read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// How often a connection that waits for input checks for shutdown and its timeouts.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Longest time for which input is discarded after a malformed request.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);
/// Stack size of a connection's thread, in bytes.
const STACK_SIZE: usize = 512 << 10;
/// Receive buffer of a connection, in bytes.
const RECEIVE_BUFFER: usize = 16 << 10;
/// Size of one read, in bytes.
const PIECE: usize = 8 << 10;
/// Pause of a connection that finds no room for more bytes.
const ROOM_WAIT: Duration = Duration::from_millis(10);
/// Maximum bytes that are discarded after a malformed request.
const MAX_DISCARD_BYTES: usize = 1 << 20;

/// A complete request.
#[derive(Debug, Default)]
pub struct Request {
    /// Method in upper case.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Query without the `?`; empty if there is none.
    pub query: String,
    /// Headers in the order received, names in lower case.
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

/// Why a request is malformed, as reported to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BadRequest {
    /// HTTP status.
    pub status: u16,
    /// Stable error code.
    pub code: &'static str,
    /// Error message.
    pub text: &'static str,
}

/// Result of reading a request from a connection.
enum ReadOutcome {
    /// The request, its length in bytes, and whether the connection is kept alive after it.
    Request(Request, usize, bool),
    /// The connection ended or failed, or was idle for too long or at shutdown.
    Closed,
    Bad(BadRequest),
}

/// Sends the response to one request. A handler sends exactly one, either whole or streamed.
pub struct ResponseWriter<'a> {
    stream: &'a mut TcpStream,
    close: bool,
    chunked: bool,
    started: bool,
}

impl ResponseWriter<'_> {
    /// Sends a whole response.
    pub fn send(&mut self, status: u16, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        let length = body.len().to_string();
        let mut head = self.head(status, headers);
        head.push_str(&format!("content-length: {length}\r\n\r\n"));
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        self.started = true;
        self.stream.write_all(&bytes)
    }

    /// Sends the head of a streamed response.
    pub fn start(&mut self, status: u16, headers: &[(&str, &str)]) -> io::Result<()> {
        let mut head = self.head(status, headers);
        head.push_str("transfer-encoding: chunked\r\n\r\n");
        self.started = true;
        self.chunked = true;
        self.stream.write_all(head.as_bytes())
    }

    /// Sends one chunk of a streamed response at once.
    pub fn chunk(&mut self, data: &[u8]) -> io::Result<()> {
        let mut bytes = format!("{:x}\r\n", data.len()).into_bytes();
        bytes.extend_from_slice(data);
        bytes.extend_from_slice(b"\r\n");
        self.stream.write_all(&bytes)
    }

    /// Ends a streamed response with the last, empty chunk.
    pub fn end(&mut self) -> io::Result<()> {
        self.chunked = false;
        self.stream.write_all(b"0\r\n\r\n")
    }

    /// Closes the connection without ending the response, so that the caller sees it as truncated.
    pub fn abort(&mut self) {
        self.close = true;
        self.stream.shutdown(std::net::Shutdown::Both).ok();
    }

    /// True once a response was started.
    pub fn started(&self) -> bool {
        self.started
    }

    /// A second handle to the caller's connection, to check whether the caller has closed it.
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

/// Handle to a caller's connection that only checks whether it is closed.
#[derive(Debug)]
pub struct ConnectionProbe(TcpStream);

impl ConnectionProbe {
    /// True if the caller has closed the connection. Waits up to 1 ms.
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
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        503 => "Service Unavailable",
        _ => "Status",
    }
}

/// Handles a request and sends the response.
pub type Handler = dyn Fn(Request, &mut ResponseWriter<'_>) + Send + Sync;
/// Sends the response to a malformed request.
pub type BadRequestHandler = dyn Fn(BadRequest, &mut ResponseWriter<'_>) + Send + Sync;

/// Limits and handlers of a server.
pub struct ServerOptions {
    /// Largest body of a request, in bytes.
    pub body_limit: usize,
    /// Limits on what all callers hold.
    pub room: RoomLimits,
    /// Counts the callers that were given up for lack of room.
    pub given_up: Counter,
    /// Handles each request.
    pub handler: Box<Handler>,
    /// Responds to malformed requests.
    pub bad_request: Box<BadRequestHandler>,
}

/// A running server.
pub struct Server {
    addr: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    options: ServerOptions,
    room: Room,
    stop: AtomicBool,
    in_flight: AtomicUsize,
}

impl Server {
    /// Listens on `addr` and serves each connection on its own thread.
    pub fn start(addr: SocketAddr, options: ServerOptions) -> io::Result<Self> {
        let listener = TcpListener::bind(addr)?;
        // Accepted connections inherit the size.
        set_socket_recv_buffer_size(&listener, RECEIVE_BUFFER)?;
        let addr = listener.local_addr()?;
        let room = Room::new("callers", options.room, options.given_up.clone());
        let shared = Arc::new(Shared {
            options,
            room,
            stop: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
        });
        let inner = Arc::clone(&shared);
        thread::Builder::new().name("accept".into()).spawn(move || accept(&listener, &inner))?;
        Ok(Self { addr, shared })
    }

    /// Address that the server listens on, with the actual port.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Closes the listening socket and idle connections; requests in flight continue.
    pub fn close(&self) {
        self.shared.stop.store(true, Ordering::SeqCst);
        // Connects once to wake the accept thread, which then drops the listener.
        TcpStream::connect_timeout(&self.addr, POLL_INTERVAL).ok();
    }

    /// Number of requests in flight.
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
            // Most likely out of file descriptors: wait for some connections to end.
            thread::sleep(POLL_INTERVAL);
            continue;
        };
        let Some(tenant) = shared.room.enter() else { continue };
        let inner = Arc::clone(shared);
        let held = Arc::clone(&tenant);
        let builder = thread::Builder::new().name("caller".into()).stack_size(STACK_SIZE);
        let spawned = builder.spawn(move || {
            serve_connection(stream, &inner, &held);
            inner.room.leave(&held);
        });
        if let Err(e) = spawned {
            shared.room.leave(&tenant);
            tracing::warn!("serve: could not spawn a thread for a connection: {e}.");
        }
    }
}

fn serve_connection(mut stream: TcpStream, shared: &Shared, tenant: &Tenant) {
    stream.set_nodelay(true).ok();
    stream.set_write_timeout(Some(WRITE_TIMEOUT)).ok();
    let mut buffer = Vec::new();
    loop {
        match read_request(&mut stream, &mut buffer, shared, tenant) {
            ReadOutcome::Closed => return,
            ReadOutcome::Bad(bad) => {
                drop(buffer);
                shared.room.hold(tenant, 0);
                let mut writer = writer(&mut stream, true);
                (shared.options.bad_request)(bad, &mut writer);
                stream.shutdown(std::net::Shutdown::Write).ok();
                discard_input(&mut stream);
                return;
            }
            ReadOutcome::Request(request, used, keep_alive) => {
                buffer.drain(..used);
                buffer.shrink_to(PIECE);
                shared.room.hold(tenant, buffer.capacity() + request.body.len());
                tenant.set_busy(true);
                shared.in_flight.fetch_add(1, Ordering::SeqCst);
                let stopping = shared.stop.load(Ordering::SeqCst);
                let mut writer = writer(&mut stream, !keep_alive || stopping);
                (shared.options.handler)(request, &mut writer);
                tenant.set_busy(false);
                shared.room.hold(tenant, buffer.capacity());
                let (close, complete) = (writer.close, writer.started && !writer.chunked);
                shared.in_flight.fetch_sub(1, Ordering::SeqCst);
                if close || !complete {
                    return;
                }
            }
        }
    }
}

fn writer(stream: &mut TcpStream, close: bool) -> ResponseWriter<'_> {
    ResponseWriter { stream, close, chunked: false, started: false }
}

/// Reads and discards what the caller of a malformed request still sends. Closing a socket with
/// unread input resets the connection, and the caller could lose the response.
fn discard_input(stream: &mut TcpStream) {
    stream.set_read_timeout(Some(POLL_INTERVAL)).ok();
    let mut sink = [0; 4096];
    let end = Instant::now() + DISCARD_TIMEOUT;
    let mut left = MAX_DISCARD_BYTES;
    while left > 0 && Instant::now() < end {
        match stream.read(&mut sink) {
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Ok(0) | Err(_) => return,
            Ok(n) => left = left.saturating_sub(n),
        }
    }
}

const NO_ROOM: BadRequest = BadRequest {
    status: 503,
    code: "no_room",
    text: "this instance has no room for the request, which has not run",
};
const SLOW_REQUEST: BadRequest =
    BadRequest { status: 408, code: "slow_request", text: "the request took too long to arrive" };

/// Reads what has arrived, up to [`PIECE`], and appends it to `buffer`, which grows by a quarter.
fn read_piece(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<usize> {
    let mut piece = [0; PIECE];
    let n = stream.read(&mut piece)?;
    if buffer.len() + n > buffer.capacity() {
        buffer.reserve_exact(n.max(buffer.capacity() / 4));
    }
    buffer.extend_from_slice(&piece[..n]);
    Ok(n)
}

/// Reads one request into `buffer`, which may already hold the start of it.
fn read_request(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    shared: &Shared,
    tenant: &Tenant,
) -> ReadOutcome {
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
            tracing::debug!("serve: could not set the read timeout of a connection: {e}.");
            return ReadOutcome::Closed;
        }
        if tenant.is_ended() {
            let idle = buffer.is_empty();
            return if idle { ReadOutcome::Closed } else { ReadOutcome::Bad(NO_ROOM) };
        }
        let may_read = shared.room.may_read(tenant);
        match if may_read { read_piece(stream, buffer) } else { wait_for_room() } {
            Ok(0) => return ReadOutcome::Closed,
            Ok(_) => {
                deadline = deadline.or_else(|| Some(Instant::now() + READ_TIMEOUT));
                // The body is copied once the request is complete.
                shared.room.hold(tenant, 2 * buffer.capacity());
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

fn wait_for_room() -> io::Result<usize> {
    thread::sleep(ROOM_WAIT);
    Err(ErrorKind::WouldBlock.into())
}

/// Result of parsing the bytes received so far.
enum Parsed {
    /// A complete request, its length in bytes, and whether the connection is kept alive after it.
    Complete(Request, usize, bool),
    /// More input is needed.
    Incomplete,
    /// The caller waits for `100 Continue` before it sends the body.
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

/// Renames the `Expect` header in place once `100 Continue` was sent, so that it is sent only once.
fn strip_expect(buffer: &mut [u8]) {
    let lower = buffer.to_ascii_lowercase();
    if let Some(i) = lower.windows(7).position(|w| w == b"expect:") {
        buffer[i..i + 6].copy_from_slice(b"x-done");
    }
}
