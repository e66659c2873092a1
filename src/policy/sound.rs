//! Remembers which prompt segments endpoints have answered on.
//!
//! Load pattern: requests with a segment that crashes endpoints share their other segments with
//! sound requests, so that all of them are there at each crash. The sound ones are answered on
//! elsewhere.

use indexmap::IndexSet;

use super::suspect::Content;
use crate::adapter::clock::Millis;

/// Time after which a generation is replaced by the next, in milliseconds. A segment is remembered
/// for one to two of them.
const GENERATION_MS: u64 = 60_000;
/// Maximum segments in a generation.
const MAX_SEGMENTS: usize = 10_000;

/// Segments that were answered on recently.
#[derive(Debug, Default)]
pub struct SoundSegments {
    current: IndexSet<Content>,
    previous: IndexSet<Content>,
    started: Millis,
}

impl SoundSegments {
    /// Adds a segment that an endpoint has answered on.
    pub fn insert(&mut self, now: Millis, segment: Content) {
        self.rotate(now);
        self.current.insert(segment);
    }

    /// True if an endpoint has answered on the segment recently.
    pub fn contains(&self, segment: Content) -> bool {
        self.current.contains(&segment) || self.previous.contains(&segment)
    }

    fn rotate(&mut self, now: Millis) {
        let old = now >= self.started + GENERATION_MS;
        if !old && self.current.len() < MAX_SEGMENTS {
            return;
        }
        self.started = now;
        self.previous = std::mem::take(&mut self.current);
    }
}
