//! Splits a byte stream into server-sent events, so that only complete events are passed on, and
//! each only once.

/// Maximum length of the line breaks that end an event, in bytes.
const EVENT_END: usize = 3;
/// Maximum size of an event, in bytes.
const MAX_EVENT: usize = 1 << 20;

/// Result of feeding bytes to a [`Splitter`].
#[derive(Debug, PartialEq, Eq)]
pub enum Events {
    /// Complete events to pass on; may be empty.
    Pass(Vec<u8>),
    /// An event is missing, or more bytes than the maximum size came without the end of an event.
    Broken,
}

/// Splitter of one caller's stream. It is kept when another endpoint continues the stream.
#[derive(Debug, Clone, Default)]
pub struct Splitter {
    pending: Vec<u8>,
    /// Bytes of `pending` that no end of an event begins in.
    searched: usize,
    last: Option<u64>,
    passed: u64,
}

impl Splitter {
    /// A splitter for a caller that already has the events up to id `last`.
    pub fn new(last: Option<u64>) -> Self {
        Self { last, ..Self::default() }
    }

    /// Id of the last event that the caller has: the last one passed on, or the one it had before.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Number of events with an id that were passed on.
    pub fn passed(&self) -> u64 {
        self.passed
    }

    /// Memory of its buffer, in bytes.
    pub fn buffered(&self) -> usize {
        self.pending.capacity()
    }

    /// True when an incomplete event is buffered.
    pub fn has_partial(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Drops an incomplete event of the previous endpoint, before another endpoint continues.
    pub fn restart(&mut self) {
        self.pending.clear();
        self.searched = 0;
    }

    /// Adds bytes of the stream and returns the events that are now complete.
    pub fn feed(&mut self, bytes: &[u8]) -> Events {
        self.pending.extend_from_slice(bytes);
        let mut out = Vec::new();
        let (mut start, mut from) = (0, self.searched);
        while let Some(end) = event_end(&self.pending, from) {
            let event = start..end;
            let id = id(&self.pending[event.clone()]);
            match self.classify(id) {
                EventAction::Pass => out.extend_from_slice(&self.pending[event]),
                EventAction::Drop => {}
                EventAction::Break => return Events::Broken,
            }
            (start, from) = (end, end);
        }
        self.pending.drain(..start);
        self.searched = self.pending.len().saturating_sub(EVENT_END - 1);
        if self.pending.len() > MAX_EVENT {
            return Events::Broken;
        }
        Events::Pass(out)
    }

    /// Decides what happens to an event by its id: one that the caller has is dropped, and a gap
    /// breaks the stream.
    fn classify(&mut self, id: Option<u64>) -> EventAction {
        let Some(id) = id else { return EventAction::Pass };
        match self.last {
            Some(last) if id <= last => return EventAction::Drop,
            Some(last) if id > last + 1 => return EventAction::Break,
            _ => {}
        }
        self.last = Some(id);
        self.passed += 1;
        EventAction::Pass
    }
}

enum EventAction {
    Pass,
    Drop,
    Break,
}

/// End of the first event that ends after `from`, including the blank line that ends it.
fn event_end(bytes: &[u8], mut from: usize) -> Option<usize> {
    while let Some(n) = bytes[from..].iter().position(|b| *b == b'\n') {
        let next = from + n + 1;
        match bytes.get(next) {
            Some(b'\n') => return Some(next + 1),
            Some(b'\r') if bytes.get(next + 1) == Some(&b'\n') => return Some(next + 2),
            Some(_) => from = next,
            None => return None,
        }
    }
    None
}

/// Id of an event; `None` if it is missing or not a number.
fn id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|b| *b == b'\n');
    let value = lines.filter_map(|l| l.strip_prefix(b"id:")).next()?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
