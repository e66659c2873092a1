//! What a run has come to, by class and in sum, and its tables.

use hdrhistogram::Histogram;
use indexmap::IndexMap;

/// Longest time that histograms tell apart, in milliseconds.
const LONGEST: u64 = 3_600_000;

/// Window in which progress is counted, in milliseconds.
pub const WINDOW: u64 = 10_000;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// Whole answer; the first token was on time; the pace was kept.
    Whole { on_time: bool, paced: bool },
    /// Refused as not run.
    Refused,
    /// Every attempt failed.
    Broken,
    /// The caller's deadline passed.
    GaveUp,
}

/// Counts of one class.
#[derive(Debug, Clone)]
pub struct Class {
    /// Requests that came in.
    pub offered: u64,
    /// Whole answers.
    pub whole: u64,
    /// Whole answers whose first token was on time.
    pub on_time: u64,
    /// Whole answers that kept the pace.
    pub paced: u64,
    /// Whole answers that met both targets.
    pub met: u64,
    /// Refused requests.
    pub refused: u64,
    /// Broken requests.
    pub broken: u64,
    /// Requests whose caller gave up.
    pub gave_up: u64,
    /// Times to the first token in milliseconds.
    pub firsts: Histogram<u64>,
    /// Whole answers by window of [`WINDOW`].
    pub windows: Vec<u64>,
}

impl Default for Class {
    fn default() -> Self {
        // Both arguments are constants within the library's bounds.
        let firsts = Histogram::new_with_max(LONGEST, 2)
            .unwrap_or_else(|_| unreachable!("constant histogram bounds"));
        Self {
            offered: 0,
            whole: 0,
            on_time: 0,
            paced: 0,
            met: 0,
            refused: 0,
            broken: 0,
            gave_up: 0,
            firsts,
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
    pub classes: IndexMap<String, Class>,
    /// Tokens generated.
    pub tokens: u64,
    /// Tokens in whole answers.
    pub good: u64,
    /// Tokens generated that are in no whole answer.
    pub wasted: u64,
    /// Samples of the two sums that follow.
    pub samples: u64,
    /// Sum of the requests waiting inside engines, as a part of all slots.
    pub over: f64,
    /// Sum of the slots idle while requests waited, as a part of all slots.
    pub idle: f64,
}

impl Tally {
    fn class(&mut self, class: &str) -> &mut Class {
        self.classes.entry(class.to_owned()).or_default()
    }

    /// A request came in.
    pub fn offer(&mut self, class: &str) {
        self.class(class).offered += 1;
    }

    /// The first token came after `ms`.
    pub fn first(&mut self, class: &str, ms: f64) {
        self.class(class).firsts.saturating_record(ms as u64);
    }

    /// A whole answer ended at `now`.
    pub fn progress(&mut self, class: &str, now: u64) {
        let windows = &mut self.class(class).windows;
        let at = (now / WINDOW) as usize;
        if windows.len() <= at {
            windows.resize(at + 1, 0);
        }
        windows[at] += 1;
    }

    /// A request ended.
    pub fn end(&mut self, class: &str, ending: Ending) {
        let c = self.class(class);
        match ending {
            Ending::Whole { on_time, paced } => {
                c.whole += 1;
                c.on_time += u64::from(on_time);
                c.paced += u64::from(paced);
                c.met += u64::from(on_time && paced);
            }
            Ending::Refused => c.refused += 1,
            Ending::Broken => c.broken += 1,
            Ending::GaveUp => c.gave_up += 1,
        }
    }

    /// Part of a class's requests that met both targets, of all that came in.
    pub fn attained(&self, class: &str) -> f64 {
        self.classes.get(class).map_or(0.0, |c| part(c.met, c.offered))
    }

    /// Good tokens a second.
    pub fn goodput(&self) -> f64 {
        self.good as f64 * 1e3 / self.length.max(1) as f64
    }

    /// Mean of the requests waiting inside engines, as a part of all slots.
    pub fn mean_over(&self) -> f64 {
        self.over / self.samples.max(1) as f64
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
                100.0 * part(c.met, c.offered),
                100.0 * part(c.on_time, c.offered),
                100.0 * part(c.paced, c.offered),
                100.0 * part(c.whole, c.offered),
                c.refused,
                c.gave_up + c.broken,
                c.firsts.value_at_quantile(0.5),
                c.firsts.value_at_quantile(0.95)
            );
        }
        out
    }

    /// One line of totals.
    pub fn line(&self) -> String {
        format!(
            "goodput {:.0} tokens/s, wasted {} tokens ({:.2}%), over {:.3}, idle {:.3}",
            self.goodput(),
            self.wasted,
            100.0 * part(self.wasted, self.tokens),
            self.mean_over(),
            self.mean_idle()
        )
    }
}

fn part(n: u64, of: u64) -> f64 {
    n as f64 / of.max(1) as f64
}
