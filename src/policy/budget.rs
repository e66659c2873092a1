//! Retry budget: retries are paid for by served requests, so that they never multiply an
//! overload.

/// Retries that may be balance up.
const MAX_BALANCE: f64 = 10.0;
/// Retries at hand when the process starts.
const INITIAL_BALANCE: f64 = 10.0;

/// The budget of one class.
#[derive(Debug, Clone, PartialEq)]
pub struct Budget {
    balance: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { balance: INITIAL_BALANCE }
    }
}

impl Budget {
    /// A request came in; `ratio` of a retry is balance.
    pub fn deposit(&mut self, ratio: f64) {
        self.balance = (self.balance + ratio).min(MAX_BALANCE);
    }

    /// Takes one retry; false when none is left.
    pub fn try_withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
