//! A request on its way, from its last byte to the last byte of its answer.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

use super::caller::Request;
use super::names::Names;
use super::queue::Place;
use super::sse::Splitter;
use super::table::{Kind, Route, Workspace};
use super::wire::{self, Head};
use crate::adapter::clock::Millis;
use crate::policy::place::{Placement, Requirements};

/// Lowest priority that an engine knows.
const LAST_PRIORITY: u8 = 9;
/// Priorities of routes that are told apart inside one of a workspace.
const ROUTE_PRIORITIES: u8 = 3;
/// Tokens of a prompt where the caller says nothing: bytes for each token.
const BYTES_PER_TOKEN: usize = 4;
/// Part of its target for which a request waits for room.
const PATIENCE_PART: f64 = 0.5;
/// Shortest and longest wait for room, in milliseconds.
const PATIENCE: (u64, u64) = (150, 1_000);
/// Part of its whole time that a request may wait for room.
const PATIENCE_OF_DUE: f64 = 0.25;

/// The request.
#[derive(Debug)]
pub(super) struct Exchange {
    pub(super) id: String,
    pub(super) route: Arc<Route>,
    pub(super) service: String,
    pub(super) workspace: Option<Arc<Workspace>>,
    pub(super) head: Head,
    pub(super) body: Vec<u8>,
    pub(super) ask: Requirements,
    /// Hash of what it asks for.
    pub(super) content: u64,
    /// Version of the table that it was admitted under.
    pub(super) version: u64,
    pub(super) arrived: Millis,
    /// Time of its final answer at the latest.
    pub(super) due: Millis,
    /// Time until which it waits for room.
    pub(super) patience: Millis,
    pub(super) place: Option<Place>,
    /// Endpoints that it was sent to.
    pub(super) sends: u32,
    /// Those of them where it may have run.
    pub(super) runs: u32,
    pub(super) link: Option<usize>,
    pub(super) placed: Option<Placement>,
    pub(super) events: Splitter,
    /// The head of a stream has been passed on.
    pub(super) streaming: bool,
    pub(super) first_at: Option<Millis>,
}

impl Exchange {
    /// A request that was admitted under a version of the table.
    pub(super) fn new(
        names: &Names,
        request: Request,
        route: &Arc<Route>,
        service: &str,
        workspace: Option<&Arc<Workspace>>,
        version: u64,
    ) -> Self {
        let Request { head, body, arrived } = request;
        let mut ask = ask(names, &head, body.len(), route);
        ask.rank = route.priority;
        let last = head.get(names.last_event).and_then(|v| v.parse().ok());
        let given = head.get(names.deadline).and_then(|v| v.parse().ok());
        let time = given.unwrap_or(u64::MAX).min(route.timeout);
        Self {
            id: head.get(names.attempt).unwrap_or_default().to_owned(),
            route: Arc::clone(route),
            service: service.to_owned(),
            workspace: workspace.cloned(),
            content: content(&head, &body, workspace.map(AsRef::as_ref)),
            head,
            body,
            ask,
            version,
            arrived,
            due: arrived + time,
            patience: arrived + patience(route.target, time),
            place: None,
            sends: 0,
            runs: 0,
            link: None,
            placed: None,
            events: Splitter::new(last),
            streaming: false,
            first_at: None,
        }
    }

    pub(super) fn kind(&self) -> Kind {
        self.route.kind
    }

    /// Its priority: first by the workspace, then by the route.
    pub(super) fn priority(&self) -> u8 {
        let workspace = self.workspace.as_ref().and_then(|w| w.priority).unwrap_or_default();
        let route = self.route.priority.min(ROUTE_PRIORITIES - 1);
        workspace.saturating_mul(ROUTE_PRIORITIES).saturating_add(route).min(LAST_PRIORITY)
    }

    /// The bytes for an endpoint.
    pub(super) fn bytes(&self, names: &Names, endpoint: &str, now: Millis) -> Vec<u8> {
        let mut out = Vec::with_capacity(self.head.size + self.body.len() + 200);
        out.extend_from_slice(
            format!("{} {} HTTP/1.1\r\n", self.head.method, self.head.target).as_bytes(),
        );
        for (name, value) in &self.head.headers {
            if self.forwards(names, name) {
                wire::put(&mut out, name, value);
            }
        }
        let left = self.due.saturating_sub(now);
        wire::put(&mut out, names.deadline, left.to_string().as_bytes());
        wire::put(&mut out, names.expect, endpoint.as_bytes());
        if let Some(workspace) = &self.workspace {
            wire::put(&mut out, names.workspace, workspace.name.as_bytes());
        }
        if self.kind().streams() {
            wire::put(&mut out, names.priority, self.priority().to_string().as_bytes());
        }
        if let (true, Some(last)) = (self.resumes(), self.events.last()) {
            wire::put(&mut out, names.last_event, last.to_string().as_bytes());
        }
        if !self.body.is_empty() || self.head.method != "GET" {
            wire::put(&mut out, "Content-Length", self.body.len().to_string().as_bytes());
        }
        out.extend_from_slice(b"\r\n");
        out.extend_from_slice(&self.body);
        out
    }

    /// True when events have been passed on and another endpoint is to go on after them.
    fn resumes(&self) -> bool {
        self.events.passed() > 0
    }

    fn forwards(&self, names: &Names, name: &str) -> bool {
        if names.is_vital(name) {
            return !(self.resumes() && name.eq_ignore_ascii_case(names.last_event));
        }
        !self.head.is_hop(name)
            && !names.is_reserved(name)
            && !name.eq_ignore_ascii_case("content-length")
            && !name.eq_ignore_ascii_case("expect")
    }
}

/// What a request needs of an endpoint, by its headers.
fn ask(names: &Names, head: &Head, body: usize, route: &Route) -> Requirements {
    let parts = head.get(names.prefix).map(parts).unwrap_or_default();
    let (prompt, most) = head.get(names.tokens).and_then(pair).unwrap_or_default();
    let hint = head.get(names.hint).and_then(|h| h.parse().ok());
    let prompt = if prompt > 0 { prompt } else { (body / BYTES_PER_TOKEN) as u32 };
    Requirements {
        parts,
        prompt,
        output: hint.unwrap_or(most).min(most.max(1)),
        gap: route.gap,
        rank: 0,
        waited: 0,
        avoid: Vec::new(),
    }
}

/// Hash of what a caller asks for.
fn content(head: &Head, body: &[u8], workspace: Option<&Workspace>) -> u64 {
    let mut all = head.target.as_bytes().to_vec();
    all.extend_from_slice(workspace.map_or("", |w| w.name.as_str()).as_bytes());
    all.extend_from_slice(body);
    xxh3_64(&all)
}

fn parts(value: &str) -> Vec<(u64, u32)> {
    let entries = value.split(',').filter_map(|e| e.trim().split_once(':'));
    entries
        .filter_map(|(id, n)| Some((u64::from_str_radix(id, 16).ok()?, n.parse().ok()?)))
        .collect()
}

fn pair(value: &str) -> Option<(u32, u32)> {
    let (a, b) = value.split_once(',')?;
    Some((a.trim().parse().ok()?, b.trim().parse().ok()?))
}

/// Time for which a request waits for room, in milliseconds.
fn patience(target: u64, time: u64) -> u64 {
    let wish = ((target as f64 * PATIENCE_PART) as u64).clamp(PATIENCE.0, PATIENCE.1);
    wish.min((time as f64 * PATIENCE_OF_DUE) as u64)
}
