//! What follows a failed attempt.

closed! {
    /// What is known of an attempt that failed.
    pub enum Fact {
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
    pub enum Next {
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
const MIN_LEFT: u64 = 30;

/// Where a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Standing {
    /// It may run more than once.
    pub repeatable: bool,
    /// Part of its answer is out.
    pub streaming: bool,
    /// Attempts so far.
    pub sends: u32,
    /// Attempts that may have run, this one included.
    pub runs: u32,
    /// Attempts that may run at most.
    pub attempts: u32,
    /// Time left in milliseconds.
    pub left: u64,
}

impl Standing {
    /// The next step; `budget` takes one retry from the budget where the endpoint was reached.
    pub fn next(&self, fact: Fact, budget: impl FnOnce() -> bool) -> Next {
        if self.may_repeat(fact) && (fact == Fact::NotSent || budget()) {
            return Next::Again;
        }
        if self.streaming {
            return Next::Break;
        }
        match fact {
            Fact::Failed => Next::Pass,
            Fact::NotSent | Fact::NotRun if self.runs == 0 => Next::Refuse,
            Fact::NotSent | Fact::NotRun | Fact::Lost => Next::Fail,
        }
    }

    fn may_repeat(&self, fact: Fact) -> bool {
        if self.sends >= MAX_SENDS || self.left < MIN_LEFT {
            return false;
        }
        match fact {
            Fact::NotSent | Fact::NotRun => self.runs == 0 || self.repeatable,
            Fact::Failed | Fact::Lost => self.repeatable && self.runs < self.attempts,
        }
    }
}
