//! What a run has come to, by class and in sum, and its tables.

use hdrhistogram::Histogram;
use indexmap::IndexMap;

/// Longest time that histograms tell apart, in milliseconds.
const MAX_LATENCY: u64 = 3_600_000;

/// Window in which progress is counted, in milliseconds.
pub const PROGRESS_WINDOW: u64 = 10_000;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Whole answer; the first token was on time; the pace was kept.
    Completed { on_time: bool, gap_met: bool },
    /// Refused as not run.
    Refused,
    /// Every attempt failed.
    Failed,
    /// The caller's deadline passed.
    Expired,
}

/// Counts of one class.
#[derive(Debug, Clone)]
pub struct ClassTally {
    /// Requests that came in.
    pub offered: u64,
    /// Whole answers.
    pub completed: u64,
    /// Whole answers whose first token was on time.
    pub on_time: u64,
    /// Whole answers that kept the pace.
    pub gap_met: u64,
    /// Whole answers that met both targets.
    pub met: u64,
    /// Refused requests.
    pub refused: u64,
    /// Broken requests.
    pub failed: u64,
    /// Requests whose caller gave up.
    pub expired: u64,
    /// Times to the first token in milliseconds.
    pub first_tokens: Histogram<u64>,
    /// Whole answers by window of [`PROGRESS_WINDOW`].
    pub windows: Vec<u64>,
}

impl Default for ClassTally {
    fn default() -> Self {
        // Both arguments are constants within the library's bounds.
        let first_tokens = Histogram::new_with_max(MAX_LATENCY, 2)
            .unwrap_or_else(|_| unreachable!("constant histogram bounds"));
        Self {
            offered: 0,
            completed: 0,
            on_time: 0,
            gap_met: 0,
            met: 0,
            refused: 0,
            failed: 0,
            expired: 0,
            first_tokens,
            windows: Vec::new(),
        }
    }
}

/// What a run has come to.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    /// Length of the run in milliseconds.
    pub length: u64,
    /// By class.
    pub classes: IndexMap<String, ClassTally>,
    /// Tokens generated.
    pub tokens: u64,
    /// Tokens in whole answers.
    pub good_tokens: u64,
    /// Tokens generated that are in no whole answer.
    pub wasted_tokens: u64,
    /// Samples of the two sums that follow.
    pub samples: u64,
    /// Sum of the requests waiting inside engines, as a part of all slots.
    pub overload: f64,
    /// Sum of the slots idle while requests waited, as a part of all slots.
    pub idle: f64,
}

impl Tally {
    fn class_mut(&mut self, class: &str) -> &mut ClassTally {
        self.classes.entry(class.to_owned()).or_default()
    }

    /// A request came in.
    pub fn record_arrival(&mut self, class: &str) {
        self.class_mut(class).offered += 1;
    }

    /// The first token came after `ms`.
    pub fn record_first_token(&mut self, class: &str, ms: f64) {
        self.class_mut(class).first_tokens.saturating_record(ms as u64);
    }

    /// A whole answer ended at `now`.
    pub fn record_completion(&mut self, class: &str, now: u64) {
        let windows = &mut self.class_mut(class).windows;
        let index = (now / PROGRESS_WINDOW) as usize;
        if windows.len() <= index {
            windows.resize(index + 1, 0);
        }
        windows[index] += 1;
    }

    /// A request ended.
    pub fn record_outcome(&mut self, class: &str, outcome: RequestOutcome) {
        let c = self.class_mut(class);
        match outcome {
            RequestOutcome::Completed { on_time, gap_met } => {
                c.completed += 1;
                c.on_time += u64::from(on_time);
                c.gap_met += u64::from(gap_met);
                c.met += u64::from(on_time && gap_met);
            }
            RequestOutcome::Refused => c.refused += 1,
            RequestOutcome::Failed => c.failed += 1,
            RequestOutcome::Expired => c.expired += 1,
        }
    }

    /// Part of a class's requests that met both targets, of all that came in.
    pub fn attainment(&self, class: &str) -> f64 {
        self.classes.get(class).map_or(0.0, |c| ratio(c.met, c.offered))
    }

    /// Good tokens a second.
    pub fn goodput(&self) -> f64 {
        self.good_tokens as f64 * 1e3 / self.length.max(1) as f64
    }

    /// Mean of the requests waiting inside engines, as a part of all slots.
    pub fn mean_overload(&self) -> f64 {
        self.overload / self.samples.max(1) as f64
    }

    /// Mean of the slots idle while requests waited, as a part of all slots.
    pub fn mean_idle(&self) -> f64 {
        self.idle / self.samples.max(1) as f64
    }

    /// Table by class.
    pub fn table(&self) -> String {
        let mut out = format!(
            "{:<14} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>8} {:>8}\n",
            "class",
            "offered",
            "met%",
            "first%",
            "pace%",
            "whole%",
            "refused",
            "gaveup",
            "p50 ms",
            "p95 ms"
        );
        for (name, c) in &self.classes {
            out += &format!(
                "{name:<14} {:>7} {:>7.1} {:>7.1} {:>7.1} {:>7.1} {:>7} {:>7} {:>8} {:>8}\n",
                c.offered,
                100.0 * ratio(c.met, c.offered),
                100.0 * ratio(c.on_time, c.offered),
                100.0 * ratio(c.gap_met, c.offered),
                100.0 * ratio(c.completed, c.offered),
                c.refused,
                c.expired + c.failed,
                c.first_tokens.value_at_quantile(0.5),
                c.first_tokens.value_at_quantile(0.95)
            );
        }
        out
    }

    /// One line of totals.
    pub fn summary(&self) -> String {
        format!(
            "goodput {:.0} tokens/s, wasted {} tokens ({:.2}%), over {:.3}, idle {:.3}",
            self.goodput(),
            self.wasted_tokens,
            100.0 * ratio(self.wasted_tokens, self.tokens),
            self.mean_overload(),
            self.mean_idle()
        )
    }
}

fn ratio(n: u64, of: u64) -> f64 {
    n as f64 / of.max(1) as f64
}
