//! HTTP interface for callers: authenticates requests and routes them to their handlers.

use std::sync::Arc;

use serde_json::json;
use uuid::Uuid;
use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

use super::attempt::RequestSpec;
use super::fail::Failure;
use super::keyed::ISSUED_PREFIX;
use super::trace::Trace;
use super::{Entry, chat, plain};
use crate::adapter::serve::{Request, ResponseWriter};
use crate::config::FleetConfig;
use crate::policy::claim::{BufferedResponse, Key};

/// Header with the class that the caller chooses for its request.
pub const CLASS_HEADER: &str = "x-sassafras-class";
/// Header of a request that another entry instance has forwarded, with that instance's name.
pub const HOP_HEADER: &str = "x-sassafras-hop";
/// Header with the idempotency key of a request.
pub const KEY_HEADER: &str = "idempotency-key";
/// Longest idempotency key, in bytes.
const KEY_LIMIT: usize = 255;

/// An authenticated request and what its handler needs.
pub struct Context<'a> {
    /// This instance.
    pub entry: &'a Arc<Entry>,
    /// Configuration in force when the request arrived.
    pub fleet: Arc<FleetConfig>,
    /// The request.
    pub request: Request,
    /// Id of the request.
    pub id: String,
    /// Workspace that the bearer token belongs to.
    pub workspace: String,
    /// Record of the decisions taken so far.
    pub trace: Trace,
}

/// Handles one request of a caller.
pub fn handle(entry: &Arc<Entry>, request: Request, writer: &mut ResponseWriter<'_>) {
    match (request.method.as_str(), request.path.as_str()) {
        ("GET", "/healthz") => return send_json(writer, &json!({ "ok": true })),
        ("GET", "/readyz") if entry.ready() => return send_json(writer, &json!({ "ready": true })),
        ("GET", "/readyz") => {
            let failure = Failure::not_run(503, "not_ready", "this instance takes no new requests");
            return failure.send("", writer);
        }
        _ => {}
    }
    let id = format!("req-{}-{}", entry.boot, entry.next_job_id());
    if let Err(failure) = route(entry, request, &id, writer) {
        failure.send(&id, writer);
    }
}

/// Authenticates a request and calls the handler for its path.
fn route(
    entry: &Arc<Entry>,
    request: Request,
    id: &str,
    writer: &mut ResponseWriter<'_>,
) -> Result<(), Failure> {
    let Some(current) = entry.current() else {
        let text = "this instance has no configuration yet";
        return Err(Failure::not_run(503, "no_configuration", text).retry_after(1_000));
    };
    let token = request.header("authorization").and_then(|v| v.strip_prefix("Bearer "));
    let Some((workspace, _)) = token.and_then(|t| current.fleet.workspace_of(t.trim())) else {
        let text = "the bearer token belongs to no workspace";
        return Err(Failure::not_run(401, "unknown_token", text));
    };
    let workspace = workspace.to_owned();
    let trace = Trace {
        id: id.to_owned(),
        instance: entry.settings.name.clone(),
        arrived: entry.now(),
        workspace: workspace.clone(),
        version: current.version,
        ..Trace::default()
    };
    let fleet = Arc::clone(&current.fleet);
    let context = Context { entry, fleet, request, id: id.to_owned(), workspace, trace };
    match (context.request.method.as_str(), context.request.path.as_str()) {
        ("GET", "/v1/models") => {
            send_json(writer, &models(&context.fleet));
            Ok(())
        }
        ("POST", "/v1/keys") => {
            let key = format!("{ISSUED_PREFIX}{}-{}", entry.boot, Uuid::now_v7());
            send_json(writer, &json!({ "key": key }));
            Ok(())
        }
        ("POST", "/v1/chat/completions") => chat::serve(context, writer),
        (_, path) if path.starts_with("/svc/") => plain::serve(context, writer),
        (_, "/v1/models" | "/v1/keys" | "/v1/chat/completions") => {
            Err(Failure::not_run(405, "bad_method", "this path does not take this method"))
        }
        _ => Err(Failure::not_run(404, "unknown_path", "there is nothing at this path")),
    }
}

fn send_json(writer: &mut ResponseWriter<'_>, value: &serde_json::Value) {
    writer.send(200, &[("content-type", "application/json")], value.to_string().as_bytes()).ok();
}

/// Models of all services, as an OpenAI-style list.
fn models(fleet: &FleetConfig) -> serde_json::Value {
    let rows: Vec<serde_json::Value> = fleet
        .services
        .values()
        .flat_map(|s| &s.models)
        .map(|m| json!({ "id": m, "object": "model", "owned_by": "sassafrasworks" }))
        .collect();
    json!({ "object": "list", "data": rows })
}

impl Context<'_> {
    /// Class of the request: from its header, else `default`. Fails if there is no such class.
    pub fn class(&self, default: &str) -> Result<String, Failure> {
        let name = self.request.header(CLASS_HEADER).unwrap_or(default);
        if !self.fleet.classes.contains_key(name) {
            let text = format!("no class is called `{name}`");
            return Err(Failure::not_run(400, "unknown_class", text));
        }
        Ok(name.to_owned())
    }

    /// Builds the spec of this request, and records class, service and applied exceptions in the
    /// trace. `content` and `prefix` are hashes.
    pub fn spec(&mut self, service: &str, class: &str, content: u64, prefix: u64) -> RequestSpec {
        let (params, exceptions) = self.fleet.params(
            class,
            &self.workspace,
            &self.entry.settings.domain,
            self.trace.arrived,
        );
        self.trace.class = class.to_owned();
        self.trace.service = service.to_owned();
        self.trace.exceptions = exceptions.into_iter().map(str::to_owned).collect();
        RequestSpec {
            id: self.id.clone(),
            workspace: self.workspace.clone(),
            class: class.to_owned(),
            service: service.to_owned(),
            params,
            content,
            prefix,
            arrived: self.trace.arrived,
            non_idempotent: !self.fleet.classes[class].idempotent,
        }
    }

    /// Idempotency key of the request, if it has one, and the hash of it with workspace and
    /// service.
    pub fn key(&self, service: &str) -> Result<Option<(String, Key)>, Failure> {
        let Some(text) = self.request.header(KEY_HEADER) else {
            return Ok(None);
        };
        if text.is_empty() || text.len() > KEY_LIMIT {
            let text = format!("the idempotency key must have 1 to {KEY_LIMIT} bytes");
            return Err(Failure::not_run(400, "bad_key", text));
        }
        let hash = xxh3_128(format!("{}\n{service}\n{text}", self.workspace).as_bytes());
        Ok(Some((text.to_owned(), hash)))
    }

    /// Hash of method, path, query and body; detects a key that is reused for a different request.
    pub fn digest(&self) -> u64 {
        let r = &self.request;
        let mut bytes = format!("{} {}?{}\n", r.method, r.path, r.query).into_bytes();
        bytes.extend_from_slice(&r.body);
        xxh3_64(&bytes)
    }

    /// Sends a response with the request id added to its headers.
    pub fn send(&self, response: &BufferedResponse, writer: &mut ResponseWriter<'_>) {
        let mut headers: Vec<(&str, &str)> =
            response.headers.iter().map(|(n, v)| (n.as_str(), v.as_str())).collect();
        headers.push(("x-request-id", &self.id));
        writer.send(response.status, &headers, &response.body).ok();
    }
}
