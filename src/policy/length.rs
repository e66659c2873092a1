//! Estimates how long requests run, by class and workspace, from past requests: output lengths are
//! unknown up front.

use indexmap::IndexMap;

/// Weight of a new sample in a moving average.
const GAIN: f64 = 0.1;
/// Maximum pairs of class and workspace tracked by an instance.
const MAX_KEYS: usize = 4_096;

/// Moving averages of run times, in milliseconds.
#[derive(Debug, Clone, Default)]
pub struct RunTimes {
    by_class: IndexMap<String, f64>,
    by_workspace: IndexMap<(String, String), f64>,
}

impl RunTimes {
    /// Records that a request of the class and workspace ran for `ms` milliseconds.
    pub fn record(&mut self, class: &str, workspace: &str, ms: f64) {
        update_average(self.by_class.entry(class.to_owned()).or_insert(ms), ms);
        let key = (class.to_owned(), workspace.to_owned());
        if self.by_workspace.len() >= MAX_KEYS && !self.by_workspace.contains_key(&key) {
            self.by_workspace.shift_remove_index(0);
        }
        update_average(self.by_workspace.entry(key).or_insert(ms), ms);
    }

    /// Expected run time in milliseconds, by workspace or else by class; 0 without any sample.
    pub fn estimate(&self, class: &str, workspace: &str) -> f64 {
        let key = (class.to_owned(), workspace.to_owned());
        let average = self.by_workspace.get(&key).or_else(|| self.by_class.get(class));
        average.copied().unwrap_or(0.0)
    }

    /// Expected run time of a class in milliseconds; 0 without any sample.
    pub fn class_estimate(&self, class: &str) -> f64 {
        self.by_class.get(class).copied().unwrap_or(0.0)
    }
}

/// Updates an exponential moving average with a new sample.
pub fn update_average(mean: &mut f64, sample: f64) {
    *mean += GAIN * (sample - *mean);
}
