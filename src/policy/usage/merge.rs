//! Counts of all instances, as a candidate receives them.

use std::collections::BTreeMap;

use indexmap::{IndexMap, IndexSet};

use super::{Counts, Times, Window};
use crate::adapter::clock::Millis;

#[derive(Debug, Default)]
struct Received {
    /// Counts by process and workspace.
    counts: IndexMap<(String, u64), IndexMap<String, u64>>,
    /// Names of the instances whose counts are final.
    closed: IndexSet<String>,
}

/// Counts of all instances by window. They outlive the instances.
#[derive(Debug, Default)]
pub struct Merged {
    windows: BTreeMap<Window, Received>,
}

impl Merged {
    /// Adds the counts of a message. Messages may be lost, repeated and reordered. Windows that have not
    /// begun, or are too old to be reported, are ignored.
    pub fn add(&mut self, times: &Times, now: Millis, message: Counts) {
        let (oldest, open) = (times.oldest_kept(now), times.window_of(now));
        self.windows = self.windows.split_off(&oldest);
        let part = message.part;
        if part.window < oldest || part.window > open + 1 {
            return;
        }
        let window = self.windows.entry(part.window).or_default();
        if part.closed {
            window.closed.insert(message.name.clone());
        }
        let counts = window.counts.entry((message.name, message.started)).or_default();
        for (workspace, n) in part.counts {
            let count = counts.entry(workspace).or_default();
            *count = n.max(*count);
        }
    }

    /// Total of all instances in a window, by workspace in order of the names.
    pub fn totals(&self, window: Window) -> BTreeMap<String, u64> {
        let mut totals = BTreeMap::new();
        let counts = self.windows.get(&window).into_iter().flat_map(|w| w.counts.values());
        for (workspace, n) in counts.flatten() {
            *totals.entry(workspace.clone()).or_default() += n;
        }
        totals
    }

    /// Number of the given instances whose final counts of a window are missing.
    pub fn missing<'a>(&self, window: Window, names: impl Iterator<Item = &'a str>) -> usize {
        let closed = self.windows.get(&window).map(|w| &w.closed);
        names.filter(|n| closed.is_none_or(|c| !c.contains(*n))).count()
    }

    /// The first window with counts.
    pub fn first(&self) -> Option<Window> {
        self.windows.keys().next().copied()
    }
}
