//! Stand-ins for the platform and the endpoints, for tests and the demo. Every fault can be
//! switched by an HTTP call.

pub mod engine;
pub mod list;
pub mod log;
pub mod plain;
pub mod proxy;
pub mod world;

use crate::adapter::serve::{Reply, Request};

/// Answers with a JSON value; a lost caller is of no interest here.
pub(crate) fn send_json(reply: &mut Reply<'_>, status: u16, value: &serde_json::Value) {
    let body = value.to_string();
    reply.send(status, &[("content-type", "application/json")], body.as_bytes()).ok();
}

/// Value of a query parameter.
pub(crate) fn query_param<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    let pairs = request.query.split('&').filter_map(|p| p.split_once('='));
    pairs.into_iter().find(|(n, _)| *n == name).map(|(_, v)| v)
}

/// Numeric query parameter, or `or`.
pub(crate) fn query_number(request: &Request, name: &str, default: u64) -> u64 {
    query_param(request, name).and_then(|v| v.parse().ok()).unwrap_or(default)
}

/// Starts a server for a stand-in.
pub(crate) fn serve(
    addr: std::net::SocketAddr,
    handler: impl Fn(Request, &mut Reply<'_>) + Send + Sync + 'static,
) -> std::io::Result<crate::adapter::serve::Server> {
    const BODY_LIMIT: usize = 16 << 20;
    let options = crate::adapter::serve::ServerOptions {
        body_limit: BODY_LIMIT,
        handler: Box::new(handler),
        bad_request: Box::new(|bad, reply| {
            send_json(reply, bad.status, &serde_json::json!({ "error": bad.text }));
        }),
    };
    crate::adapter::serve::Server::start(addr, options)
}
