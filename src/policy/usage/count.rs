//! Counting of the requests of one instance.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{Times, Window};
use crate::adapter::clock::Millis;

/// Maximum number of workspaces in a message: with names of 40 bytes it fits a datagram.
const MAX_ENTRIES: usize = 1_000;
/// Number of messages that report each change, as single messages may be lost.
const REPEATS: u64 = 2;
/// Number of intervals after the end of a window for which its final counts are repeated.
const FINAL_REPEATS: u64 = 3;
/// Time after the end of a window at which its counts are final, in milliseconds: a request may be
/// counted slightly late.
const FINAL_DELAY: u64 = 50;

/// Counts of one instance and window, sent as a datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Name of the instance.
    pub name: String,
    /// Time at which the process started, by its own clock.
    pub started: u64,
    /// The counts.
    pub part: Part,
}

/// Counts of a window, or of some workspaces in it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The window.
    pub window: Window,
    /// True if the counts are final and, with those sent before, complete.
    pub closed: bool,
    /// Number of requests since the start of the window, by workspace.
    pub counts: Vec<(String, u64)>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Count {
    n: u64,
    changed_at: Millis,
}

/// Counts of this instance.
#[derive(Debug, Default)]
pub struct Counter {
    windows: IndexMap<Window, IndexMap<String, Count>>,
    /// Window since which this instance counts.
    since: Option<Window>,
}

impl Counter {
    /// Counts a request of a workspace that begins to run at `now`, true time.
    pub fn add(&mut self, times: &Times, now: Millis, workspace: &str) {
        let window = self.windows.entry(times.window_of(now)).or_default();
        let count = match window.get_mut(workspace) {
            Some(count) => count,
            None => window.entry(workspace.to_owned()).or_default(),
        };
        *count = Count { n: count.n + 1, changed_at: now };
    }

    /// Messages that are due at `now`, at intervals of `interval` milliseconds: what has changed lately,
    /// and the counts of windows that have just ended. With `all`, everything that is kept.
    pub fn messages(&mut self, times: &Times, now: Millis, interval: u64, all: bool) -> Vec<Part> {
        let (oldest, open) = (times.oldest_kept(now), times.window_of(now));
        self.windows.retain(|w, _| *w >= oldest);
        let since = *self.since.get_or_insert(open.saturating_sub(1));
        let mut messages = Vec::new();
        for window in oldest.max(since)..=open {
            let ended = now.saturating_sub(times.end_of(window) + FINAL_DELAY);
            let closed = now >= times.end_of(window) + FINAL_DELAY;
            if closed && !all && ended > FINAL_REPEATS * interval {
                continue;
            }
            let whole = closed || all;
            let from = now.saturating_sub(REPEATS * interval);
            let entries = self.windows.get(&window);
            let due = entries.into_iter().flatten();
            let due = due.filter(|(_, c)| whole || c.changed_at >= from);
            let due: Vec<(String, u64)> = due.map(|(name, c)| (name.clone(), c.n)).collect();
            if due.is_empty() && closed {
                messages.push(Part { window, closed: true, counts: Vec::new() });
            }
            let chunks = due.len().div_ceil(MAX_ENTRIES);
            for (i, chunk) in due.chunks(MAX_ENTRIES).enumerate() {
                let closed = closed && i + 1 == chunks;
                messages.push(Part { window, closed, counts: chunk.to_vec() });
            }
        }
        messages
    }
}
