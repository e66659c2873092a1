//! What a stopping instance still does for requests, so that each has its answer before the process
//! ends.
//!
//! It is designed for stops under load: requests that wait for a full endpoint, that are sent again,
//! or that arrive shortly before the end.

use crate::adapter::clock::Millis;

/// Time after the stop request during which idle connections stay open and new streams are sent: the
/// platform notices the stop after two readiness checks, a second apart.
const DELAY_MS: u64 = 2_500;
/// Minimum time from the stop request to the end of the process.
const MIN_STOP_MS: u64 = 3_500;
/// Time before the end of the grace period at which the process ends, once its answers are sent.
const END_MARGIN_MS: u64 = 500;
/// Time before that end at which the requests in flight get their final answers.
const ANSWER_MARGIN_MS: u64 = 150;
/// Time before the end of the grace period up to which a process that is late still sends answers.
const LAST_MARGIN_MS: u64 = 100;

closed! {
    /// What would be sent to an endpoint.
    pub enum Work {
        /// A request whose response is passed on as a whole.
        Whole,
        /// A request for a stream of which the caller has nothing yet.
        Stream,
        /// A request for the rest of a stream that the caller has begun to receive.
        Rest,
    }
}

closed! {
    /// What callers still wait for, the most important first.
    pub enum Pending {
        /// Answers: some are not written yet, or input of callers has not been read yet.
        Answers,
        /// The rest of streams that have begun.
        Streams,
        /// Nothing.
        Nothing,
    }
}

/// The stop of an instance.
#[derive(Debug, Clone, Copy)]
pub struct Shutdown {
    requested: Millis,
    grace: u64,
}

impl Shutdown {
    /// A stop requested at `now`, for a process that is killed `grace` milliseconds later.
    pub fn new(now: Millis, grace: u64) -> Self {
        Self { requested: now, grace }
    }

    /// True once callers are no longer routed to this instance: it closes idle connections and sends
    /// no new streams.
    pub fn delay_passed(&self, now: Millis) -> bool {
        now >= self.requested + DELAY_MS
    }

    /// Time at which the process ends, unless answers are still to be sent.
    pub fn ends_at(&self) -> Millis {
        self.requested + self.grace.saturating_sub(END_MARGIN_MS)
    }

    /// Time at which requests without a response get their final answers.
    pub fn answers_at(&self) -> Millis {
        self.ends_at().saturating_sub(ANSWER_MARGIN_MS)
    }

    /// True if a request with this deadline is still sent to an endpoint at `now`. One whose deadline
    /// is later than the final answers might be cut off.
    pub fn may_send(&self, now: Millis, work: Work, deadline: Millis) -> bool {
        if !self.delay_passed(now) {
            return true;
        }
        match work {
            Work::Whole => deadline <= self.answers_at(),
            Work::Stream => false,
            Work::Rest => true,
        }
    }

    /// Time at which the process ends in any case.
    pub fn last_at(&self) -> Millis {
        self.ends_at().max(self.requested + self.grace.saturating_sub(LAST_MARGIN_MS))
    }

    /// True if the process may end at `now`. One that notices the end late, because its machine is
    /// slow or was paused, sends its answers first.
    pub fn may_end(&self, now: Millis, pending: Pending) -> bool {
        let end = match pending {
            Pending::Answers => self.last_at(),
            Pending::Streams => self.ends_at(),
            Pending::Nothing => (self.requested + MIN_STOP_MS).min(self.ends_at()),
        };
        now >= end
    }
}
