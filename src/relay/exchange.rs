//! A request in flight: from the time its last byte is received until the last byte of its response
//! is sent.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

use super::caller::Request;
use super::names::HeaderNames;
use super::queue::QueueKey;
use super::sse::Splitter;
use super::table::{Route, RouteKind, Workspace};
use crate::adapter::clock::Millis;
use crate::policy::fair;
use crate::policy::origin::Software;
use crate::policy::place::{Block, Load, Placement, Requirements};
use crate::policy::suspect::{Content, segment_content};
use crate::wire::{self, Head};

/// Number of the least urgent priority that engines support; 0 is the most urgent.
const LOWEST_PRIORITY: u8 = 9;
/// Number of route priorities that are distinguished within one workspace priority.
const ROUTE_PRIORITIES: u8 = 3;
/// Body bytes per prompt token, for an estimate if the caller states no number of tokens.
const BYTES_PER_TOKEN: usize = 4;
/// Maximum time in the queue as a multiple of the route's target latency, and as a fraction of the
/// request's timeout. A late answer is worth more than a refusal after a wait.
const STREAM_WAIT: Wait = Wait { target: 2.0, timeout: 0.4 };
/// The same for requests of plain services, whose callers wait for the whole answer.
const PLAIN_WAIT: Wait = Wait { target: 0.5, timeout: 0.25 };
/// Minimum of the maximum time in the queue that the target gives, in milliseconds.
const MIN_WAIT_MS: f64 = 150.0;

/// Bounds on the time in the queue.
struct Wait {
    target: f64,
    timeout: f64,
}

/// How far the software version of a stream is decided. Other requests stay free.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Lineage {
    /// It may begin at any version that its requirements allow.
    Free,
    /// It waits until the version at which it will begin is on record.
    Recording,
    /// It resumes a stream, and waits until the ledger's read with this number has ended.
    Reading(u64),
    /// It has had an event, or goes on with a stream that had: only the version in its requirements may
    /// serve it.
    Fixed,
}

impl Lineage {
    /// True if it may still begin at another version.
    pub(super) fn is_open(self) -> bool {
        matches!(self, Self::Free | Self::Recording)
    }
}

/// The stream that a caller resumes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Resume {
    /// Id of the attempt that brought its first event, if the caller names it.
    pub(super) attempt: Option<String>,
    /// Id of the last event that the caller has.
    pub(super) last_event: u64,
}

/// Maximum length of the id of the attempt that a caller resumes, in bytes.
const MAX_ATTEMPT_LEN: usize = 256;

impl Resume {
    /// Parses the stream that a request resumes; `None` if it begins one. Returns an error if the headers
    /// are malformed or stand there twice.
    pub(super) fn parse(names: &HeaderNames, head: &Head) -> Result<Option<Self>, ResumeError> {
        let Some(last) = head.get(names.last_event) else { return Ok(None) };
        if head.count(names.last_event) > 1 || head.count(names.resumes) > 1 {
            return Err(ResumeError);
        }
        let last_event = last.trim().parse().map_err(|_| ResumeError)?;
        let attempt = head.get(names.resumes).map(|a| a.trim().to_owned());
        let valid = |a: &String| !a.is_empty() && a.len() <= MAX_ATTEMPT_LEN;
        if !attempt.as_ref().is_none_or(valid) {
            return Err(ResumeError);
        }
        Ok(Some(Self { attempt, last_event }))
    }
}

/// The headers that name the stream to resume are malformed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ResumeError;

/// A request in flight.
#[derive(Debug)]
pub(super) struct Exchange {
    /// Id of the caller's attempt.
    pub(super) id: String,
    pub(super) route: Arc<Route>,
    pub(super) service: String,
    pub(super) workspace: Option<Arc<Workspace>>,
    pub(super) head: Head,
    pub(super) body: Vec<u8>,
    pub(super) requirements: Requirements,
    /// Hash of its target, workspace and body, then its shared prompt segments: what may crash an
    /// endpoint.
    pub(super) contents: Vec<Content>,
    /// Version of the table under which it was admitted.
    pub(super) version: u64,
    pub(super) arrived: Millis,
    /// Time by which it must have its final response.
    pub(super) deadline: Millis,
    /// Time until which it may wait in the queue.
    pub(super) queue_deadline: Millis,
    /// Its key in the queue while it waits there.
    pub(super) queue_key: Option<QueueKey>,
    /// Why no endpoint took it the last time.
    pub(super) blocked: Option<Block>,
    /// Number of times that it was sent to an endpoint.
    pub(super) sends: u32,
    /// Number of those sends in which the endpoint may have run it.
    pub(super) runs: u32,
    /// Index of the connection that it was sent over.
    pub(super) link: Option<usize>,
    pub(super) placement: Option<Placement>,
    /// The stream that it resumes.
    pub(super) resume: Option<Resume>,
    pub(super) lineage: Lineage,
    /// Software version and incarnation of the endpoint that it was sent to, until the first event.
    pub(super) sent_to: Option<(Software, u32)>,
    /// Room that is reserved for it at an endpoint while its record is written.
    pub(super) reserved: Option<(String, Load)>,
    /// Time until which its caller waits, in further attempts too.
    pub(super) waits_until: Millis,
    pub(super) splitter: Splitter,
    /// The head of the event stream has been sent to the caller.
    pub(super) streaming: bool,
    /// Time and number of events from which the pace of the stream is measured.
    pub(super) pace_from: Option<(Millis, u64)>,
    /// Time of the first event, or of the complete response if it is not a stream.
    pub(super) first_at: Option<Millis>,
}

impl Exchange {
    /// A request that was admitted under `version` of the table.
    pub(super) fn new(
        names: &HeaderNames,
        request: Request,
        route: &Arc<Route>,
        service: &str,
        workspace: Option<&Arc<Workspace>>,
        version: u64,
    ) -> Self {
        let Request { head, body, arrived } = request;
        let mut requirements = requirements(names, &head, body.len(), route);
        requirements.priority = route.priority;
        let segments = requirements.shared().iter().map(|(id, _)| segment_content(*id));
        let whole = content_hash(&head, &body, workspace.map(AsRef::as_ref));
        let contents = std::iter::once(whole).chain(segments).collect();
        let last = head.get(names.last_event).and_then(|v| v.parse().ok());
        let given = head.get(names.deadline).and_then(|v| v.parse().ok());
        let waits: u64 = given.unwrap_or(u64::MAX);
        let timeout = waits.min(route.timeout);
        Self {
            id: head.get(names.attempt).unwrap_or_default().to_owned(),
            route: Arc::clone(route),
            service: service.to_owned(),
            workspace: workspace.cloned(),
            contents,
            head,
            body,
            requirements,
            version,
            arrived,
            deadline: arrived + timeout,
            queue_deadline: arrived + max_queue_wait(route, timeout),
            queue_key: None,
            blocked: None,
            sends: 0,
            runs: 0,
            link: None,
            placement: None,
            resume: None,
            lineage: Lineage::Free,
            sent_to: None,
            reserved: None,
            waits_until: arrived.saturating_add(waits),
            splitter: Splitter::new(last),
            streaming: false,
            pace_from: None,
            first_at: None,
        }
    }

    /// Memory of its buffers, in bytes.
    pub(super) fn buffered(&self) -> usize {
        let segments = self.requirements.segments.len() + self.contents.len();
        let lists = segments * size_of::<(u64, u32)>();
        self.body.capacity() + self.splitter.buffered() + self.head.memory() + lists
    }

    /// The contents of its shared prompt segments.
    pub(super) fn segments(&self) -> &[Content] {
        &self.contents[1..]
    }

    /// Identifies its workspace in accounts.
    pub(super) fn workspace_id(&self) -> Option<u32> {
        self.workspace.as_ref().map(|w| fair::workspace_id(&w.name))
    }

    /// Its expected work, in tokens, if the shared segments are cached.
    pub(super) fn expected_work(&self) -> u32 {
        let shared: u32 = self.requirements.shared().iter().map(|(_, tokens)| *tokens).sum();
        let uncached = self.requirements.prompt.saturating_sub(shared);
        fair::expected_work(uncached, self.requirements.output)
    }

    pub(super) fn kind(&self) -> RouteKind {
        self.route.kind
    }

    /// Priority, 0 the most urgent: by the workspace first, then by the route.
    pub(super) fn priority(&self) -> u8 {
        let workspace = self.workspace.as_ref().and_then(|w| w.priority).unwrap_or_default();
        let route = self.route.priority.min(ROUTE_PRIORITIES - 1);
        workspace.saturating_mul(ROUTE_PRIORITIES).saturating_add(route).min(LOWEST_PRIORITY)
    }

    /// Encodes the request for an endpoint.
    pub(super) fn encode(&self, names: &HeaderNames, endpoint: &str, now: Millis) -> Vec<u8> {
        let mut out = Vec::with_capacity(self.head.size + self.body.len() + 200);
        out.extend_from_slice(
            format!("{} {} HTTP/1.1\r\n", self.head.method, self.head.target).as_bytes(),
        );
        for (name, value) in &self.head.headers {
            if self.forwards(names, name) {
                wire::put_header(&mut out, name, value);
            }
        }
        let left = self.deadline.saturating_sub(now);
        wire::put_header(&mut out, names.deadline, left.to_string().as_bytes());
        wire::put_header(&mut out, names.expect_instance, endpoint.as_bytes());
        if let Some(workspace) = &self.workspace {
            wire::put_header(&mut out, names.workspace, workspace.name.as_bytes());
        }
        if self.kind().is_stream() {
            wire::put_header(&mut out, names.priority, self.priority().to_string().as_bytes());
        }
        if let (true, Some(last)) = (self.resumes(), self.splitter.last()) {
            wire::put_header(&mut out, names.last_event, last.to_string().as_bytes());
        }
        if !self.body.is_empty() || self.head.method != "GET" {
            wire::put_header(&mut out, "Content-Length", self.body.len().to_string().as_bytes());
        }
        out.extend_from_slice(b"\r\n");
        out.extend_from_slice(&self.body);
        out
    }

    /// True when events have been sent to the caller, so that the endpoint must continue after
    /// them.
    fn resumes(&self) -> bool {
        self.splitter.passed() > 0
    }

    /// True for a header that is sent on to the endpoint.
    fn forwards(&self, names: &HeaderNames, name: &str) -> bool {
        if names.is_end_to_end(name) {
            return !(self.resumes() && name.eq_ignore_ascii_case(names.last_event));
        }
        !self.head.is_hop_by_hop(name)
            && !names.is_reserved(name)
            && !name.eq_ignore_ascii_case("content-length")
            && !name.eq_ignore_ascii_case("expect")
    }
}

/// What a request needs of an endpoint according to its headers. `body` is the size of its body in
/// bytes.
fn requirements(names: &HeaderNames, head: &Head, body: usize, route: &Route) -> Requirements {
    let segments = head.get(names.prefix).map(parse_segments).unwrap_or_default();
    let (prompt, most) = head.get(names.tokens).and_then(parse_pair).unwrap_or_default();
    let hint = head.get(names.hint).and_then(|h| h.parse().ok());
    let prompt = if prompt > 0 { prompt } else { (body / BYTES_PER_TOKEN) as u32 };
    Requirements {
        segments,
        prompt,
        output: hint.unwrap_or(most).min(most.max(1)),
        target: route.target_latency,
        gap: route.gap,
        priority: 0,
        waited: 0,
        avoid: Vec::new(),
        software: None,
    }
}

/// Hash of a request's target, workspace and body.
fn content_hash(head: &Head, body: &[u8], workspace: Option<&Workspace>) -> u64 {
    let mut all = head.target.as_bytes().to_vec();
    all.extend_from_slice(workspace.map_or("", |w| w.name.as_str()).as_bytes());
    all.extend_from_slice(body);
    xxh3_64(&all)
}

/// Parses the hash and number of tokens of each prompt segment; malformed segments are skipped.
fn parse_segments(value: &str) -> Vec<(u64, u32)> {
    let entries = value.split(',').filter_map(|e| e.trim().split_once(':'));
    entries
        .filter_map(|(id, n)| Some((u64::from_str_radix(id, 16).ok()?, n.parse().ok()?)))
        .collect()
}

fn parse_pair(value: &str) -> Option<(u32, u32)> {
    let (a, b) = value.split_once(',')?;
    Some((a.trim().parse().ok()?, b.trim().parse().ok()?))
}

/// Maximum time that a request of a route waits in the queue, for a timeout; both in milliseconds.
fn max_queue_wait(route: &Route, timeout: u64) -> u64 {
    let wait = if route.kind.is_stream() { STREAM_WAIT } else { PLAIN_WAIT };
    let by_target = (route.target_latency as f64 * wait.target).max(MIN_WAIT_MS);
    by_target.min(timeout as f64 * wait.timeout) as u64
}
