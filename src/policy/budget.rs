//! Retry budget: each request earns a fraction of a retry, so that retries never multiply an
//! overload.

/// Maximum retries that may accumulate.
const MAX_BALANCE: f64 = 10.0;
/// Retries available when the process starts.
const INITIAL_BALANCE: f64 = 10.0;

/// Retry budget of one class.
#[derive(Debug, Clone, PartialEq)]
pub struct Budget {
    /// Retries available.
    balance: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { balance: INITIAL_BALANCE }
    }
}

impl Budget {
    /// Adds `ratio` of a retry; called for each request.
    pub fn deposit(&mut self, ratio: f64) {
        self.balance = (self.balance + ratio).min(MAX_BALANCE);
    }

    /// Withdraws one retry; returns false if none is left.
    pub fn try_withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
