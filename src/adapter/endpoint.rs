//! Calls to endpoints: one connection for each attempt, so that it is known whether a byte has
//! left, with a bound on every gap and a way to cancel.
//!
//! `ureq` can bound each read, but not end a read early; the transport here bounds each gap and
//! looks for cancellation while it waits.

use std::fmt;
use std::io::{BufRead, BufReader, Read};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use ureq::unversioned::resolver::DefaultResolver;
use ureq::unversioned::transport::{
    Buffers, ConnectionDetails, Connector, NextTimeout, TcpConnector, Transport,
};
use ureq::{Agent, Timeout};

/// How often a waiting call looks for cancellation.
const SLICE: Duration = Duration::from_millis(50);
/// Buffers of a connection, in bytes each.
const BUFFER: usize = 16 << 10;
/// Longest wait for a connection.
const CONNECT: Duration = Duration::from_millis(1_000);
/// Largest whole answer of an endpoint, in bytes.
const BODY_LIMIT: u64 = 8 << 20;
/// Longest line of a stream, in bytes.
const LINE_LIMIT: u64 = 1 << 20;

/// Tells whether the call is no longer wanted.
pub type Unwanted = dyn Fn() -> bool + Send + Sync;

/// Bounds and state of one attempt, shared with its transport.
pub struct Watch {
    sent: AtomicBool,
    gap: Duration,
    end: Instant,
    unwanted: Box<Unwanted>,
}

impl fmt::Debug for Watch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Watch").field("sent", &self.sent).field("gap", &self.gap).finish()
    }
}

impl Watch {
    /// A watch that allows `gap` milliseconds between two reads and `total` for all.
    pub fn new(gap: u64, total: u64, unwanted: Box<Unwanted>) -> Arc<Self> {
        Arc::new(Self {
            sent: AtomicBool::new(false),
            gap: Duration::from_millis(gap),
            end: Instant::now() + Duration::from_millis(total),
            unwanted,
        })
    }

    /// True once a byte may have left.
    pub fn sent(&self) -> bool {
        self.sent.load(Ordering::SeqCst)
    }
}

/// Why an attempt brought no whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// No connection came about.
    #[error("not reached")]
    Unreached,
    /// Nothing came for too long.
    #[error("timed out")]
    Timeout,
    /// The connection ended before the answer did.
    #[error("connection broke")]
    Broken,
    /// The call was no longer wanted.
    #[error("cancelled")]
    Cancelled,
    /// The answer can't be understood or belongs to another attempt.
    #[error("bad answer")]
    Garbled,
}

/// What is sent to an endpoint.
#[derive(Debug, Clone)]
pub struct Call<'a> {
    /// Address, `ip:port`.
    pub addr: &'a str,
    /// Method in capitals.
    pub method: &'a str,
    /// Path with the query.
    pub path: &'a str,
    /// Headers.
    pub headers: &'a [(String, String)],
    /// Body.
    pub body: &'a [u8],
}

/// An answer whose body is still to be read.
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers, names in lower case.
    pub headers: Vec<(String, String)>,
    body: BufReader<Box<dyn Read + Send + Sync>>,
}

/// Sends a call. `watch` tells afterwards whether a byte may have left.
pub fn call(call: &Call<'_>, watch: &Arc<Watch>) -> Result<Answer, Fault> {
    let config = Agent::config_builder()
        .timeout_connect(Some(CONNECT))
        .http_status_as_error(false)
        .max_redirects(0)
        .max_idle_connections(0)
        .input_buffer_size(BUFFER)
        .output_buffer_size(BUFFER)
        .proxy(None)
        .build();
    let connector = TcpConnector::default().chain(Watched(Arc::clone(watch)));
    let agent = Agent::with_parts(config, connector, DefaultResolver::default());
    let mut request = ureq::http::Request::builder()
        .method(call.method)
        .uri(format!("http://{}{}", call.addr, call.path));
    for (name, value) in call.headers {
        request = request.header(name, value);
    }
    let response = if call.body.is_empty() && matches!(call.method, "GET" | "HEAD" | "DELETE") {
        agent.run(request.body(()).map_err(|_| Fault::Garbled)?)
    } else {
        agent.run(request.body(call.body).map_err(|_| Fault::Garbled)?)
    };
    let response = response.map_err(|e| sort(&e, watch))?;
    let (head, body) = response.into_parts();
    let text = |v: &ureq::http::HeaderValue| String::from_utf8_lossy(v.as_bytes()).into_owned();
    let headers = head.headers.iter().map(|(n, v)| (n.as_str().to_owned(), text(v))).collect();
    let reader: Box<dyn Read + Send + Sync> = Box::new(body.into_reader());
    Ok(Answer { status: head.status.as_u16(), headers, body: BufReader::new(reader) })
}

impl Answer {
    /// First value of a header; `name` in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// The whole body.
    pub fn whole(mut self) -> Result<Vec<u8>, Fault> {
        let mut body = Vec::new();
        let mut limited = (&mut self.body).take(BODY_LIMIT + 1);
        limited.read_to_end(&mut body).map_err(|e| sort_io(&e))?;
        if body.len() as u64 > BODY_LIMIT {
            return Err(Fault::Garbled);
        }
        Ok(body)
    }

    /// Data of the next server-sent event; `None` at a clean end of the body.
    pub fn event(&mut self) -> Result<Option<String>, Fault> {
        loop {
            let mut line = String::new();
            let read = (&mut self.body).take(LINE_LIMIT).read_line(&mut line);
            match read.map_err(|e| sort_io(&e))? {
                0 => return Ok(None),
                _ if !line.ends_with('\n') => return Err(Fault::Broken),
                _ => {}
            }
            if let Some(data) = line.trim_end().strip_prefix("data:") {
                return Ok(Some(data.trim_start().to_owned()));
            }
        }
    }
}

fn sort(e: &ureq::Error, watch: &Watch) -> Fault {
    match e {
        ureq::Error::Io(io) => sort_io(io),
        ureq::Error::Timeout(Timeout::Connect) => Fault::Unreached,
        ureq::Error::Timeout(_) => Fault::Timeout,
        _ if !watch.sent() => Fault::Unreached,
        ureq::Error::Protocol(_) | ureq::Error::BadUri(_) | ureq::Error::Http(_) => Fault::Garbled,
        _ => Fault::Broken,
    }
}

fn sort_io(e: &std::io::Error) -> Fault {
    use std::io::ErrorKind as K;
    if let Some(Cancelled) = e.get_ref().and_then(|r| r.downcast_ref::<Cancelled>()) {
        return Fault::Cancelled;
    }
    let inner = e.get_ref().and_then(|r| r.downcast_ref::<ureq::Error>());
    match inner {
        Some(ureq::Error::Timeout(_)) => return Fault::Timeout,
        Some(ureq::Error::Io(io)) => return sort_io(io),
        _ => {}
    }
    match e.kind() {
        K::ConnectionRefused | K::HostUnreachable | K::NetworkUnreachable => Fault::Unreached,
        K::TimedOut | K::WouldBlock => Fault::Timeout,
        _ => Fault::Broken,
    }
}

/// Marks an error as our own cancellation.
#[derive(Debug)]
struct Cancelled;

impl fmt::Display for Cancelled {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("cancelled")
    }
}

impl std::error::Error for Cancelled {}

#[derive(Debug)]
struct Watched(Arc<Watch>);

impl<In: Transport> Connector<In> for Watched {
    type Out = Pipe<In>;

    fn connect(
        &self,
        _: &ConnectionDetails<'_>,
        chained: Option<In>,
    ) -> Result<Option<Pipe<In>>, ureq::Error> {
        Ok(chained.map(|inner| Pipe { inner, watch: Arc::clone(&self.0) }))
    }
}

/// A connection whose every wait is bounded and can be cancelled.
#[derive(Debug)]
struct Pipe<T> {
    inner: T,
    watch: Arc<Watch>,
}

impl<T: Transport> Transport for Pipe<T> {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.inner.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), ureq::Error> {
        self.watch.sent.store(true, Ordering::SeqCst);
        self.inner.transmit_output(amount, timeout)
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, ureq::Error> {
        let give_up = (Instant::now() + self.watch.gap).min(self.watch.end);
        loop {
            let slice = NextTimeout { after: SLICE.into(), ..timeout };
            match self.inner.await_input(slice) {
                Err(ureq::Error::Timeout(_)) => {}
                other => return other,
            }
            if (self.watch.unwanted)() {
                return Err(ureq::Error::Io(std::io::Error::other(Cancelled)));
            }
            if Instant::now() >= give_up {
                return Err(ureq::Error::Timeout(Timeout::RecvBody));
            }
        }
    }

    fn is_open(&mut self) -> bool {
        self.inner.is_open()
    }
}
