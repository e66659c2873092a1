//! Stand-in for the platform's store: keyed topics in a log.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::net::{Head, listen, read_exact, read_head, respond};

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (usize, Vec<u8>)>,
}

#[derive(Default)]
struct Inner {
    topics: Mutex<BTreeMap<String, Topic>>,
    changed: Condvar,
}

/// The store; clones share its content.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    inner: Arc<Inner>,
}

impl Store {
    pub fn start(addr: SocketAddr) -> Self {
        let store = Self { addr, inner: Arc::default() };
        let standin = store.clone();
        listen(addr, move |sock| standin.serve(sock));
        store
    }

    /// Appends a record; an empty value removes the key.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut content = vec![key.len() as u8];
        content.extend_from_slice(key.as_bytes());
        content.extend_from_slice(value);
        self.insert(topic, content);
    }

    fn insert(&self, name: &str, content: Vec<u8>) -> usize {
        let mut topics = self.inner.topics.lock().unwrap();
        let topic = topics.entry(name.to_owned()).or_default();
        let offset = topic.records.len();
        let n = usize::from(content[0]) + 1;
        let key = String::from_utf8_lossy(&content[1..n]).into_owned();
        if content.len() > n {
            topic.newest.insert(key, (offset, content[n..].to_vec()));
        } else {
            topic.newest.remove(&key);
        }
        topic.records.push(content);
        self.inner.changed.notify_all();
        offset
    }

    fn serve(&self, mut sock: TcpStream) {
        sock.set_nodelay(true).ok();
        let mut buffer = Vec::new();
        while let Some(head) = read_head(&mut sock, &mut buffer) {
            let (body, whole) = read_exact(&mut sock, &mut buffer, head.length().unwrap_or(0));
            if !whole || self.handle(&mut sock, &head, &body).is_err() {
                return;
            }
        }
    }

    fn handle(&self, sock: &mut TcpStream, head: &Head, body: &[u8]) -> std::io::Result<()> {
        let (path, query) = head.target().split_once('?').unwrap_or((head.target(), ""));
        let param = |name: &str| {
            query.split('&').filter_map(|p| p.split_once('=')).find(|p| p.0 == name).map(|p| p.1)
        };
        let number = |name: &str| param(name).and_then(|v| v.parse().ok()).unwrap_or(0);
        let topic = param("topic").unwrap_or_default();
        match path.rsplit('/').next().unwrap_or_default() {
            "log-newest" => {
                let text = self.newest(topic, param("after"));
                respond(sock, 200, "Content-Type: application/json\r\n", text.as_bytes())
            }
            "log-read" => {
                let bytes = self.read(topic, number("from"), number("wait-ms") as u64);
                respond(sock, 200, "", &bytes)
            }
            "log-append" => {
                let offset = self.append(topic, body);
                let text = format!("{{\"offset\":{offset},\"end\":{}}}", offset + 1);
                respond(sock, 200, "Content-Type: application/json\r\n", text.as_bytes())
            }
            _ => respond(sock, 404, "", b""),
        }
    }

    fn append(&self, topic: &str, mut body: &[u8]) -> usize {
        let mut first = None;
        while let Some((length, rest)) = body.split_first_chunk::<4>() {
            let n = u32::from_be_bytes(*length) as usize;
            let offset = self.insert(topic, rest[..n].to_vec());
            first.get_or_insert(offset);
            body = &rest[n..];
        }
        first.unwrap_or_default()
    }

    fn newest(&self, name: &str, after: Option<&str>) -> String {
        let mut topics = self.inner.topics.lock().unwrap();
        let topic = topics.entry(name.to_owned()).or_default();
        let listed = topic.newest.iter().filter(|(k, _)| after.is_none_or(|a| k.as_str() > a));
        let entries: Vec<String> = listed
            .map(|(k, (offset, value))| {
                format!("{{\"key\":\"{k}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
            })
            .collect();
        let end = topic.records.len();
        format!("{{\"entries\":[{}],\"truncated\":false,\"end\":{end}}}", entries.join(","))
    }

    fn read(&self, name: &str, from: usize, wait: u64) -> Vec<u8> {
        let deadline = Instant::now() + Duration::from_millis(wait);
        let mut topics = self.inner.topics.lock().unwrap();
        loop {
            let records = &topics.entry(name.to_owned()).or_default().records;
            let left = deadline.saturating_duration_since(Instant::now());
            if from < records.len() || left.is_zero() {
                let mut out = (records.len() as u64).to_be_bytes().to_vec();
                out.extend_from_slice(&0u64.to_be_bytes());
                for record in records.iter().skip(from) {
                    out.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    out.extend_from_slice(record);
                }
                return out;
            }
            topics = self.inner.changed.wait_timeout(topics, left).unwrap().0;
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word =
            chunk.iter().fold(0u32, |w, b| w << 8 | u32::from(*b)) << (8 * (3 - chunk.len()));
        for i in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * i)) as usize & 63] as char;
            out.push(if i <= chunk.len() { digit } else { '=' });
        }
    }
    out
}
