//! Retry budget: retries are paid for by served requests, so that they never multiply an
//! overload.

/// Retries that may be saved up.
const CAP: f64 = 10.0;
/// Retries at hand when the process starts.
const START: f64 = 10.0;

/// The budget of one class.
#[derive(Debug, Clone, PartialEq)]
pub struct Budget {
    saved: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { saved: START }
    }
}

impl Budget {
    /// A request came in; `ratio` of a retry is saved.
    pub fn earn(&mut self, ratio: f64) {
        self.saved = (self.saved + ratio).min(CAP);
    }

    /// Takes one retry; false when none is left.
    pub fn take(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
