//! HTTP server for peers and operators, built on `rouille`.

use std::io::{self, Read};
use std::sync::Arc;
use std::thread;

use rouille::{Request, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;

use super::{Entry, gossip, lock};
use crate::adapter::codec;
use crate::fleet::peer::{ConfigResponse, Heartbeat, KeyQuery};

/// Largest request body accepted, in bytes.
const BODY_LIMIT: u64 = 8 << 20;
/// Timeout of a call to the peer that remembers a request, in milliseconds.
const EXPLAIN_TIMEOUT: u64 = 1_000;

/// Starts the server, which runs until the instance stops. Fails if the address can't be bound.
pub fn start(entry: &Arc<Entry>) -> io::Result<()> {
    let inner = Arc::clone(entry);
    let server = rouille::Server::new(entry.settings.admin, move |r| handle(&inner, r))
        .map_err(|e| io::Error::other(e.to_string()))?;
    let (handle, stop) = server.stoppable();
    let entry = Arc::clone(entry);
    thread::spawn(move || {
        while !entry.stopped() {
            entry.clock.sleep(200);
        }
        stop.send(()).ok();
        handle.join().ok();
    });
    Ok(())
}

fn handle(entry: &Arc<Entry>, request: &Request) -> Response {
    let url = request.url();
    match (request.method(), url.as_str()) {
        ("POST", "/peer/heartbeat") => handle_packed(request, |heartbeat: Heartbeat| {
            gossip::receive(entry, &heartbeat);
            gossip::own_heartbeat(entry)
        }),
        ("POST", "/peer/key") => {
            handle_packed(request, |query: KeyQuery| entry.key_status(query.key, query.wait))
        }
        ("GET", "/peer/config") => {
            let snapshot = ConfigResponse { carry: lock(&entry.config).snapshot() };
            Response::from_data(codec::MSGPACK, codec::pack(&snapshot))
        }
        ("GET", "/metrics") => {
            Response::from_data("text/plain; version=0.0.4", entry.metrics.render())
        }
        ("GET", "/status") => Response::json(&status(entry)),
        ("GET", "/config") => match entry.current() {
            Some(c) => Response::json(&json!({
                "version": c.version,
                "author": c.author,
                "text": c.text.as_ref(),
            })),
            None => Response::json(&json!({ "version": 0 })).with_status_code(404),
        },
        ("POST", "/release") => release(entry, request),
        (_, path) if path.starts_with("/explain/") => {
            explain(entry, &path["/explain/".len()..], request)
        }
        _ => Response::json(&json!({ "error": "no such path" })).with_status_code(404),
    }
}

/// Decodes a MessagePack request and encodes the result of `respond` as the response.
fn handle_packed<Q: DeserializeOwned, A: Serialize>(
    request: &Request,
    respond: impl FnOnce(Q) -> A,
) -> Response {
    let mut body = Vec::new();
    let read = request.data().map(|data| data.take(BODY_LIMIT).read_to_end(&mut body));
    if !matches!(read, Some(Ok(_))) {
        return Response::text("no body").with_status_code(400);
    }
    match codec::unpack(&body) {
        Ok(query) => Response::from_data(codec::MSGPACK, codec::pack(&respond(query))),
        Err(e) => Response::text(e.to_string()).with_status_code(400),
    }
}

fn release(entry: &Entry, request: &Request) -> Response {
    let content = request.get_param("content").and_then(|c| u64::from_str_radix(&c, 16).ok());
    let who = request.get_param("who").unwrap_or_default();
    match content {
        Some(_) if who.is_empty() => {
            Response::json(&json!({ "error": "who is missing" })).with_status_code(400)
        }
        Some(content) => Response::json(&json!({ "known": entry.release(content, &who) })),
        None => Response::json(&json!({ "error": "content is not a hash" })).with_status_code(400),
    }
}

/// Returns the trace of a request. If another instance served it, asks that one: its boot id is
/// part of the request id. The parameter `hop` marks such a query, which is not forwarded again.
fn explain(entry: &Entry, id: &str, request: &Request) -> Response {
    if let Some(trace) = entry.traces.find(id) {
        return Response::json(&trace);
    }
    let boot = id.strip_prefix("req-").and_then(|r| r.get(..36));
    let boot = boot.and_then(|b| uuid::Uuid::parse_str(b).ok());
    let forwarded = request.get_param("hop").is_some();
    let instance = boot
        .filter(|b| *b != entry.boot && !forwarded)
        .and_then(|b| gossip::instance_by_boot(entry, b));
    let Some(instance) = instance else {
        let text = "no instance that is alive remembers this request";
        return Response::json(&json!({ "error": text })).with_status_code(404);
    };
    let client = crate::adapter::http::Client::new(EXPLAIN_TIMEOUT, BODY_LIMIT);
    match client.get(&format!("http://{}/explain/{id}?hop=1", instance.admin)) {
        Ok(body) => Response::from_data("application/json", body),
        Err(e) => Response::json(&json!({ "error": e.to_string() })).with_status_code(404),
    }
}

fn status(entry: &Entry) -> serde_json::Value {
    let now = entry.now();
    let peers: Vec<serde_json::Value> = entry
        .peers
        .all()
        .iter()
        .map(|(name, p)| {
            json!({
                "name": name,
                "age_ms": now.saturating_sub(p.heard_at),
                "version": p.version,
                "leaving": p.leaving,
            })
        })
        .collect();
    let services: Vec<serde_json::Value> = entry
        .dispatchers()
        .iter()
        .map(|dispatcher| {
            dispatcher.read(|pool| {
                let endpoints: Vec<serde_json::Value> = pool
                    .endpoints()
                    .map(|e| {
                        json!({
                            "name": e.name,
                            "health": format!("{:?}", e.health),
                            "leaving": e.leaving,
                            "own": e.running(),
                            "reported": e.reported_load(),
                            "silent": e.silent(now),
                        })
                    })
                    .collect();
                json!({
                    "name": dispatcher.name,
                    "waiting": pool.waiting(),
                    "running": pool.in_flight(),
                    "endpoints": endpoints,
                })
            })
        })
        .collect();
    let quarantine: Vec<serde_json::Value> = lock(&entry.suspects)
        .quarantined(now)
        .iter()
        .map(|(content, until)| {
            json!({ "content": format!("{content:016x}"), "left_ms": until.saturating_sub(now) })
        })
        .collect();
    json!({
        "name": entry.settings.name,
        "boot": entry.boot,
        "domain": entry.settings.domain,
        "ready": entry.ready(),
        "leaving": entry.leaving(),
        "version": lock(&entry.config).version(),
        "known": lock(&entry.config).known(),
        "log_age_ms": now.saturating_sub(entry.claims.synced_at()),
        "violations": crate::invariants::violations(),
        "peers": peers,
        "services": services,
        "quarantine": quarantine,
    })
}
