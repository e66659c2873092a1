//! HTTP server for peers and operators: replicas of topics, and metrics.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use rouille::{Request, Response, Server};

use super::follow::TOO_LARGE;
use super::state::Shared;
use super::stats::Metrics;
use crate::adapter::codec;
use crate::fleet::replica::Topic;

/// Number of server threads; calls are rare and short.
const THREADS: usize = 2;

/// Starts the server on `addr` in a thread of its own. Fails if the address cannot be bound.
pub fn start(addr: SocketAddr, shared: Arc<Shared>, metrics: Arc<Metrics>) -> Result<(), String> {
    let handler = move |request: &Request| route(request, &shared, &metrics);
    let server = Server::new(addr, handler).map_err(|e| e.to_string())?.pool_size(THREADS);
    thread::spawn(move || server.run());
    Ok(())
}

fn route(request: &Request, shared: &Shared, metrics: &Metrics) -> Response {
    match request.url().as_str() {
        "/replica/config" => replica(request, shared, Topic::Config),
        "/replica/endpoints" => replica(request, shared, Topic::Endpoints),
        "/replica/instances" => {
            Response::from_data(codec::MSGPACK, codec::pack(&shared.instances()))
        }
        "/metrics" => metrics_page(metrics),
        _ => Response::empty_404(),
    }
}

fn replica(request: &Request, shared: &Shared, topic: Topic) -> Response {
    let from = request.get_param("from").and_then(|n| n.parse().ok()).unwrap_or_default();
    let max = request.get_param("max").and_then(|n| n.parse().ok()).unwrap_or(usize::MAX);
    let batch = codec::pack(&shared.export(topic, from));
    if batch.len() > max {
        return Response::empty_400().with_status_code(TOO_LARGE);
    }
    Response::from_data(codec::MSGPACK, batch)
}

fn metrics_page(metrics: &Metrics) -> Response {
    match metrics.render() {
        Ok(page) => Response::text(page),
        Err(e) => {
            tracing::error!("metrics: cannot render the page: {e}");
            Response::text("metrics are not available").with_status_code(500)
        }
    }
}
