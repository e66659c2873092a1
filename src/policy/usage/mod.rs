//! Usage reports: requests that began to run, by window and workspace.
//!
//! Each instance counts its own and sends the counts to the candidates for the duties. The counts only
//! grow, so the greatest known count of an instance is the best one.

mod count;
mod merge;
mod report;

pub use count::{Counter, Counts, Part};
pub use merge::Merged;
pub use report::{FixedReport, Reports, SLOTS, Step};

use crate::adapter::clock::Millis;

/// Number of a window: it begins at this multiple of the window's length after the start of 1970.
pub type Window = u64;

/// Times of the reports, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Times {
    /// Length of a window.
    pub window: u64,
    /// Time after the end of a window within which its report has to be sent.
    pub late: u64,
}

impl Times {
    /// The window that contains a time.
    pub fn window_of(&self, at: Millis) -> Window {
        at / self.window
    }

    /// End of a window.
    pub fn end_of(&self, window: Window) -> Millis {
        (window + 1) * self.window
    }

    /// The oldest window whose report may still be sent.
    pub fn oldest_due(&self, now: Millis) -> Window {
        self.window_of(now.saturating_sub(self.late))
    }

    /// The oldest window whose counts are kept.
    pub fn oldest_kept(&self, now: Millis) -> Window {
        self.oldest_due(now).saturating_sub(1)
    }
}
