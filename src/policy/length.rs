//! Learns how long requests run, by class and workspace; output lengths are unknown up front.

use indexmap::IndexMap;

/// Weight of a new sample.
const GAIN: f64 = 0.1;
/// Workspaces remembered for each instance.
const MAX_KEYS: usize = 4_096;

/// Moving averages of running times in milliseconds.
#[derive(Debug, Clone, Default)]
pub struct Lengths {
    class: IndexMap<String, f64>,
    exact: IndexMap<(String, String), f64>,
}

impl Lengths {
    /// A request of the class and workspace ran for `ms`.
    pub fn learn(&mut self, class: &str, workspace: &str, ms: f64) {
        blend(self.class.entry(class.to_owned()).or_insert(ms), ms);
        let key = (class.to_owned(), workspace.to_owned());
        if self.exact.len() >= MAX_KEYS && !self.exact.contains_key(&key) {
            self.exact.swap_remove_index(0);
        }
        blend(self.exact.entry(key).or_insert(ms), ms);
    }

    /// Expected running time in milliseconds; 0 while nothing is known.
    pub fn expect(&self, class: &str, workspace: &str) -> f64 {
        let key = (class.to_owned(), workspace.to_owned());
        let known = self.exact.get(&key).or_else(|| self.class.get(class));
        known.copied().unwrap_or(0.0)
    }

    /// Expected running time of a class in milliseconds; 0 while nothing is known.
    pub fn of_class(&self, class: &str) -> f64 {
        self.class.get(class).copied().unwrap_or(0.0)
    }
}

/// Moves an average towards a new sample.
pub fn blend(mean: &mut f64, sample: f64) {
    *mean += GAIN * (sample - *mean);
}
