//! Stand-in for the platform's store: keyed topics in a log, each with one partition.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::{http, record};

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
}

type Topics = BTreeMap<String, Topic>;

/// The store; clones share its state.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    state: Arc<(Mutex<Topics>, Condvar)>,
}

impl Store {
    pub fn start() -> Result<Self, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
        let addr = listener.local_addr().map_err(|e| e.to_string())?;
        let store = Self { addr, state: Arc::default() };
        let serving = store.clone();
        thread::spawn(move || {
            for sock in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(sock));
            }
        });
        Ok(store)
    }

    /// Writes the value of a key; without one, the key is dropped. Returns when it is accepted.
    pub fn put(&self, topic: &str, key: &str, value: Option<&str>) {
        let mut content = vec![key.len() as u8];
        content.extend_from_slice(key.as_bytes());
        content.extend_from_slice(value.unwrap_or_default().as_bytes());
        self.append(topic, content);
    }

    fn append(&self, name: &str, content: Vec<u8>) -> u64 {
        let (topics, changed) = &*self.state;
        let mut topics = topics.lock().unwrap();
        let topic = topics.entry(name.to_owned()).or_default();
        let offset = topic.records.len() as u64;
        let n = usize::from(content[0]) + 1;
        let key = String::from_utf8_lossy(&content[1..n]).into_owned();
        if content.len() > n {
            topic.newest.insert(key, (offset, content[n..].to_vec()));
        } else {
            topic.newest.remove(&key);
        }
        topic.records.push(content);
        changed.notify_all();
        offset
    }

    fn serve(&self, mut sock: TcpStream) {
        let mut buffer = Vec::new();
        let _ = sock.set_nodelay(true);
        while let Some(request) = http::read(&mut sock, &mut buffer) {
            let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
            let param = |name: &str| {
                let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
                pairs.find(|(n, _)| *n == name).map(|(_, v)| v.to_owned())
            };
            let number = |name: &str| param(name).and_then(|v| v.parse().ok()).unwrap_or(0);
            let topic = param("topic").unwrap_or_default();
            let reply = match path.rsplit('/').next().unwrap_or("") {
                "log-newest" => http::response(200, &[], &self.newest(&topic)),
                "log-read" => {
                    http::response(200, &[], &self.read(&topic, number("from"), number("wait-ms")))
                }
                "log-append" if request.body.len() > 4 => {
                    let offset = self.append(&topic, request.body[4..].to_vec());
                    let body = format!("{{\"offset\":{offset},\"end\":{}}}", offset + 1);
                    http::response(200, &[("Content-Type", "application/json")], body.as_bytes())
                }
                _ => http::response(404, &[], b""),
            };
            if !http::write(&mut sock, &reply) {
                return;
            }
        }
    }

    fn newest(&self, name: &str) -> Vec<u8> {
        let mut topics = self.state.0.lock().unwrap();
        let topic = topics.entry(name.to_owned()).or_default();
        let entries = topic.newest.iter().map(|(key, (offset, value))| {
            format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
        });
        let entries: Vec<String> = entries.collect();
        let end = topic.records.len();
        format!("{{\"entries\":[{}],\"truncated\":false,\"end\":{end}}}", entries.join(","))
            .into_bytes()
    }

    fn read(&self, name: &str, from: u64, wait: u64) -> Vec<u8> {
        let until = Instant::now() + Duration::from_millis(wait);
        let (topics, changed) = &*self.state;
        let mut topics = topics.lock().unwrap();
        loop {
            let topic = topics.entry(name.to_owned()).or_default();
            let end = topic.records.len() as u64;
            let left = until.saturating_duration_since(Instant::now());
            if from < end || left.is_zero() {
                let mut out = end.to_be_bytes().to_vec();
                out.extend_from_slice(&0u64.to_be_bytes());
                for content in topic.records.iter().skip(from as usize) {
                    out.extend_from_slice(&(content.len() as u32).to_be_bytes());
                    out.extend_from_slice(content);
                }
                return out;
            }
            topics = changed.wait_timeout(topics, left).unwrap().0;
        }
    }

    /// Offset of the newest record of a key.
    pub fn offset(&self, topic: &str, key: &str) -> Option<u64> {
        let topics = self.state.0.lock().unwrap();
        topics.get(topic)?.newest.get(key).map(|(offset, _)| *offset)
    }

    /// Writes the operator's configuration.
    pub fn configure(&self, config: &str) {
        self.put("keyed.op", "config", Some(config));
        record::line("store: configuration acknowledged");
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let n = chunk.iter().fold(0u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - chunk.len()));
        for i in 0..4 {
            if i <= chunk.len() {
                out.push(char::from(DIGITS[(n >> (18 - 6 * i)) as usize & 63]));
            } else {
                out.push('=');
            }
        }
    }
    out
}
