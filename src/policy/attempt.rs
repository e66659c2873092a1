//! What follows a failed attempt.

closed! {
    /// What is known of an attempt that failed.
    pub enum FailureKind {
        /// No byte of it reached the endpoint.
        NotSent,
        /// The endpoint says that it didn't run it.
        NotRun,
        /// The endpoint answered with a failure of its own.
        Failed,
        /// It may have run, and there is no whole answer.
        Lost,
    }

    /// What to do.
    pub enum Action {
        /// Send it to another endpoint.
        Again,
        /// Pass on the endpoint's own failure.
        Pass,
        /// Tell the caller that it has not run.
        Refuse,
        /// Tell the caller that the outcome is not known.
        Fail,
        /// Close the connection: part of the answer is out already.
        Break,
    }
}

/// Attempts that may come to nothing before the caller is refused.
const MAX_SENDS: u32 = 4;
/// Time that must be left for another attempt, in milliseconds.
const MIN_LEFT_MS: u64 = 30;

/// Where a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryState {
    /// It may run more than once.
    pub repeatable: bool,
    /// Part of its answer is out.
    pub streaming: bool,
    /// Attempts so far.
    pub sends: u32,
    /// Attempts that may have run, this one included.
    pub runs: u32,
    /// Attempts that may run at most.
    pub max_runs: u32,
    /// Time left in milliseconds.
    pub left: u64,
}

impl RetryState {
    /// The next step; `budget` takes one retry from the budget where the endpoint was reached.
    pub fn decide(&self, failure: FailureKind, budget: impl FnOnce() -> bool) -> Action {
        if self.can_retry(failure) && (failure == FailureKind::NotSent || budget()) {
            return Action::Again;
        }
        if self.streaming {
            return Action::Break;
        }
        match failure {
            FailureKind::Failed => Action::Pass,
            FailureKind::NotSent | FailureKind::NotRun if self.runs == 0 => Action::Refuse,
            FailureKind::NotSent | FailureKind::NotRun | FailureKind::Lost => Action::Fail,
        }
    }

    fn can_retry(&self, failure: FailureKind) -> bool {
        if self.sends >= MAX_SENDS || self.left < MIN_LEFT_MS {
            return false;
        }
        match failure {
            FailureKind::NotSent | FailureKind::NotRun => self.runs == 0 || self.repeatable,
            FailureKind::Failed | FailureKind::Lost => self.repeatable && self.runs < self.max_runs,
        }
    }
}
