//! Clients of the system.

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::http::{self, Message};
use crate::record;

/// API key of the only tenant.
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// A new id of a client attempt.
pub fn attempt() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("9c41d07be2{:06x}", NEXT.fetch_add(1, Ordering::SeqCst))
}

/// What a client saw of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A complete answer with this status.
    Answered(u16),
    /// The connection ended without a complete answer.
    Cut,
    /// No answer within the client's time.
    Silent,
}

/// A connection of a client.
pub struct Client {
    pub sock: TcpStream,
    pub buffer: Vec<u8>,
    /// Requests sent over it.
    pub sent: u32,
    /// The last answer.
    last: Message,
}

impl Client {
    pub fn open(addr: SocketAddr) -> Option<Self> {
        let sock = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok()?;
        sock.set_nodelay(true).ok()?;
        Some(Self { sock, buffer: Vec::new(), sent: 0, last: Message::default() })
    }

    /// Sends a request with [`KEY`] and reads the answer; `deadline` is the time that the client
    /// waits, in ms.
    pub fn ask(
        &mut self,
        method: &str,
        path: &str,
        id: &str,
        deadline: u64,
        extra: &str,
    ) -> Outcome {
        self.ask_as(KEY, method, path, id, deadline, extra)
    }

    /// The same with another key.
    pub fn ask_as(
        &mut self,
        key: &str,
        method: &str,
        path: &str,
        id: &str,
        deadline: u64,
        extra: &str,
    ) -> Outcome {
        let wait = Duration::from_millis(deadline + 1_000);
        let _ = self.sock.set_read_timeout(Some(wait));
        self.sent += 1;
        record::line(&format!("client: sends {id} {method} {path}"));
        let sent_at = std::time::Instant::now();
        let outcome =
            if http::write(&mut self.sock, &encode_as(key, method, path, id, deadline, extra)) {
                match http::read(&mut self.sock, &mut self.buffer) {
                    Some(Message { complete: false, .. }) | None if sent_at.elapsed() >= wait => {
                        Outcome::Silent
                    }
                    Some(m) if m.complete => {
                        let status = m.status();
                        self.last = m;
                        Outcome::Answered(status)
                    }
                    _ => Outcome::Cut,
                }
            } else {
                Outcome::Cut
            };
        let took = sent_at.elapsed().as_millis();
        record::line(&format!("client: {id} {outcome:?} after {took} ms"));
        outcome
    }
}

impl Client {
    /// A header of the last answer.
    pub fn last_header(&self, name: &str) -> Option<String> {
        self.last.get(name).map(str::to_owned)
    }
}

/// Encodes a request with a body of 600 bytes, or none for GET and HEAD.
pub fn encode_as(
    key: &str,
    method: &str,
    path: &str,
    id: &str,
    deadline: u64,
    extra: &str,
) -> Vec<u8> {
    let body = if matches!(method, "GET" | "HEAD") { String::new() } else { "b".repeat(600) };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: {id}\r\n\
         Deadline-Ms: {deadline}\r\nKey: {key}\r\n{extra}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// The operator's configuration: routes for streams, orders and look-ups.
pub fn config() -> String {
    config_with(7, &[KEY])
}

/// The same with a version and the tenant's keys.
pub fn config_with(version: u32, keys: &[&str]) -> String {
    let route = |name: &str, kind: &str, service: &str, timeout: u32, target: u32, more: &str| {
        format!(
            r#"{{"name":"r-{name}","host":"ficu95.example","path-prefix":"/{name}/","type":"{kind}","timeout-ms":{timeout},"target-latency-ms":{target},"priority":1,"service":"{service}","public":false,{more}}}"#
        )
    };
    let stream = r#""max-attempts":2,"sticky":true,"resumable":true,"target-gap-ms":800"#;
    let routes = [
        route("layout", "stream", "redator", 15_000, 2_000, stream),
        route("order", "non_idempotent", "balcao", 1_000, 100, r#""max-attempts":1"#),
        route("stock", "idempotent", "balcao", 1_000, 100, r#""max-attempts":2"#),
    ];
    let keys: Vec<String> = keys.iter().map(|k| format!("\"{k}\"")).collect();
    let keys = keys.join(",");
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"redator","health-path":"/healthz","max-conns":370,"protocol":"h1","tls":false}},{{"name":"balcao","health-path":"/healthz","max-conns":110,"protocol":"h1","tls":false}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[{{"name":"hule930","api-keys":[{keys}],"priority":1}}]}}"#,
        routes.join(",")
    )
}
