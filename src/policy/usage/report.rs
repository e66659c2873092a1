//! Which report is written or sent next.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{Times, Window};
use crate::adapter::clock::Millis;

/// Number of keys that reports take turns in, which bounds what the log keeps for good.
pub const SLOTS: u64 = 32;
/// Minimum time between the end of a window and its report, in milliseconds, in which the final counts
/// arrive.
const SETTLE: u64 = 800;
/// Pause after a report that was not accepted, in milliseconds.
const RETRY_PAUSE: u64 = 500;

/// A report whose content is fixed, as it is recorded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FixedReport {
    /// The window.
    pub window: Window,
    /// True once the platform has accepted the report, or it is too late.
    pub sent: bool,
    /// Content of the report; empty if it was sent.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

impl FixedReport {
    /// Key of the record of a window.
    pub fn key(window: Window) -> String {
        format!("usage/{}", window % SLOTS)
    }

    /// Prefix of the keys of reports.
    pub const PREFIX: &'static str = "usage/";

    /// True if it is a later record under the same key than another.
    pub fn is_after(&self, other: &Self) -> bool {
        (self.window, self.sent) > (other.window, other.sent)
    }
}

/// What is due.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Fix the content of a window's report by a record.
    Fix(Window),
    /// Send a report that is fixed.
    Send(FixedReport),
    /// Mark a report as done that can't be sent in time any more.
    Drop(Window),
    /// Nothing.
    Nothing,
}

/// Decides on the reports of a holder.
#[derive(Debug, Default)]
pub struct Reports {
    /// Window from which this holder reports if nothing is recorded.
    first: Option<Window>,
    /// First window that is reported.
    skipped_to: Window,
    /// Time of the next send by window.
    retry_at: IndexMap<Window, Millis>,
}

impl Reports {
    /// Fixes no report of a window before this one: another holder may have sent it.
    pub fn skip_to(&mut self, window: Window) {
        self.skipped_to = window;
    }

    /// Decides on the next step at `now`, true time, from the recorded reports. `first` is the first
    /// window with counts; `missing` tells how many instances have not sent their final counts of a
    /// window yet.
    pub fn next(
        &mut self,
        times: &Times,
        now: Millis,
        recorded: &[FixedReport],
        first: Option<Window>,
        missing: impl Fn(Window) -> usize,
    ) -> Step {
        if let Some(window) = self.due_window(times, now, recorded, first, missing) {
            return Step::Fix(window);
        }
        let retry_at = |r: &FixedReport| self.retry_at.get(&r.window).copied().unwrap_or_default();
        let unsent = recorded.iter().filter(|r| !r.sent);
        let Some(report) = unsent.min_by_key(|r| (retry_at(r), r.window)) else {
            return Step::Nothing;
        };
        if now > times.end_of(report.window) + times.late + times.window {
            return Step::Drop(report.window);
        }
        if now >= retry_at(report) { Step::Send(report.clone()) } else { Step::Nothing }
    }

    /// The next window whose content may be fixed.
    fn due_window(
        &mut self,
        times: &Times,
        now: Millis,
        recorded: &[FixedReport],
        first: Option<Window>,
        missing: impl Fn(Window) -> usize,
    ) -> Option<Window> {
        let open = times.window_of(now);
        let first = *self.first.get_or_insert(first.unwrap_or(open));
        let last = recorded.iter().map(|r| r.window).max();
        let window = last.map_or(first, |w| w + 1);
        let window = window.max(times.oldest_due(now)).max(self.skipped_to);
        let end = times.end_of(window);
        let complete = now >= end + SETTLE && missing(window) == 0;
        (complete || now >= end + times.late / 2).then_some(window)
    }

    /// Takes that a report was not accepted, or may not have been.
    pub fn failed(&mut self, now: Millis, window: Window) {
        self.retry_at.retain(|w, _| w + SLOTS > window);
        self.retry_at.insert(window, now + RETRY_PAUSE);
    }
}
