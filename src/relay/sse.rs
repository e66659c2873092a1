//! Splits a stream of events, so that only whole events are passed on and each once.

/// Largest single event, in bytes.
const MAX_EVENT: usize = 1 << 20;

/// What became of the bytes that came in.
#[derive(Debug, PartialEq, Eq)]
pub enum Events {
    /// Whole events to pass on; may be empty.
    Pass(Vec<u8>),
    /// The stream is out of order or not made of events.
    Broken,
}

/// State of one stream towards a caller, over all endpoints that serve it.
#[derive(Debug, Clone, Default)]
pub struct Splitter {
    pending: Vec<u8>,
    last: Option<u64>,
    passed: u64,
}

impl Splitter {
    /// A splitter for a caller that has events up to `last`.
    pub fn new(last: Option<u64>) -> Self {
        Self { pending: Vec::new(), last, passed: 0 }
    }

    /// Id of the last event passed on, or what the caller had before.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Events passed on.
    pub fn passed(&self) -> u64 {
        self.passed
    }

    /// True when part of an event is held back.
    pub fn has_partial(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Another endpoint continues: part of an event from the one before is dropped.
    pub fn restart(&mut self) {
        self.pending.clear();
    }

    /// Takes bytes; returns whole events.
    pub fn feed(&mut self, bytes: &[u8]) -> Events {
        self.pending.extend_from_slice(bytes);
        let mut out = Vec::new();
        let mut start = 0;
        while let Some(end) = event_end(&self.pending[start..]) {
            let event = start..start + end;
            let id = id(&self.pending[event.clone()]);
            match self.classify(id) {
                EventAction::Pass => out.extend_from_slice(&self.pending[event]),
                EventAction::Drop => {}
                EventAction::Break => return Events::Broken,
            }
            start += end;
        }
        self.pending.drain(..start);
        if self.pending.len() > MAX_EVENT {
            return Events::Broken;
        }
        Events::Pass(out)
    }

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

/// Length of the first whole event with its blank line.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let mut from = 0;
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

/// Id of an event, where it has a number.
fn id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|b| *b == b'\n');
    let value = lines.filter_map(|l| l.strip_prefix(b"id:")).next()?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
