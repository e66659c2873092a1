//! Stand-ins (test doubles) for the platform and the endpoints, for tests and the demo. Each
//! serves the real protocol. Every fault can be switched on and off by an HTTP request to the
//! control server of [`world`].

pub mod engine;
pub mod list;
pub mod log;
pub mod plain;
pub mod proxy;
pub mod world;

use crate::adapter::serve::{Request, ResponseWriter};

/// Sends a JSON response. Ignores write errors, which mean that the caller has disconnected.
pub(crate) fn send_json(writer: &mut ResponseWriter<'_>, status: u16, value: &serde_json::Value) {
    let body = value.to_string();
    writer.send(status, &[("content-type", "application/json")], body.as_bytes()).ok();
}

/// First value of a query parameter, not percent-decoded.
pub(crate) fn query_param<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    let pairs = request.query.split('&').filter_map(|p| p.split_once('='));
    pairs.into_iter().find(|(n, _)| *n == name).map(|(_, v)| v)
}

/// Numeric query parameter, or `default` if it is missing or not a number.
pub(crate) fn query_number(request: &Request, name: &str, default: u64) -> u64 {
    query_param(request, name).and_then(|v| v.parse().ok()).unwrap_or(default)
}

/// Starts the HTTP server of a stand-in on `addr`.
pub(crate) fn serve(
    addr: std::net::SocketAddr,
    handler: impl Fn(Request, &mut ResponseWriter<'_>) + Send + Sync + 'static,
) -> std::io::Result<crate::adapter::serve::Server> {
    /// In bytes.
    const BODY_LIMIT: usize = 16 << 20;
    let options = crate::adapter::serve::ServerOptions {
        body_limit: BODY_LIMIT,
        room: crate::adapter::room::RoomLimits {
            connections: usize::MAX / 2,
            bytes: usize::MAX / 2,
        },
        given_up: prometheus_client::metrics::counter::Counter::default(),
        handler: Box::new(handler),
        bad_request: Box::new(|bad, writer| {
            send_json(writer, bad.status, &serde_json::json!({ "error": bad.text }));
        }),
    };
    crate::adapter::serve::Server::start(addr, options)
}
