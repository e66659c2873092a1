//! Duties that one instance performs for the fleet: a thread that keeps the lease, writes and sends
//! usage reports, and sends orders of endpoints.

mod board;
mod counts;
mod runner;

pub use board::Board;
pub use counts::{MARKER, decode, encode};
pub use runner::Runner;

use std::sync::Arc;
use std::thread;

use indexmap::IndexMap;

use super::follow::SourceError;
use super::stats::Metrics;
use crate::adapter::clock::Clock;
use crate::fleet::replica::Batch;
use crate::policy::lease::{Appended, Entry, Term};
use crate::policy::scale::Order;
use crate::policy::usage::Times;

/// Which duties there are, and their times.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Duties {
    /// Usage reports are sent.
    pub usage: bool,
    /// Endpoints are ordered.
    pub scaling: bool,
    /// Duration of the lease, in milliseconds.
    pub lease: u64,
    /// Times of the usage reports.
    pub times: Times,
    /// Minimum time between two calls of a holder, in milliseconds.
    pub call_gap: u64,
    /// Memory of this instance, in MB.
    pub memory: u32,
}

closed! {
    /// Answer to a call to the platform's API.
    pub enum Reply {
        /// The call was accepted.
        Accepted,
        /// What was asked for is not available.
        Unavailable,
        /// A rate limit was reached, or the API is down; nothing was done.
        Limited,
        /// The call is invalid.
        Rejected,
        /// The API was not reached; nothing was done.
        Unreached,
        /// It is not known whether the call had an effect.
        Unknown,
    }
}

impl Reply {
    /// Name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Unavailable => "unavailable",
            Self::Limited => "limited",
            Self::Rejected => "rejected",
            Self::Unreached => "unreached",
            Self::Unknown => "unknown",
        }
    }
}

/// The log of the duties.
pub trait Journal: Send {
    /// The newest record of every key.
    fn newest(&self) -> Result<Batch, SourceError>;
    /// Records from the position `from` on. Waits up to `wait` milliseconds for the first one.
    fn read(&self, from: u64, wait: u64) -> Result<Batch, SourceError>;
    /// Appends records if the log ends at the position `at`.
    fn append(&self, at: u64, records: &[Entry]) -> Appended;
}

/// The platform's API. A call is sent only before the end of the term, and ends by then.
pub trait Api: Send {
    /// Sends a usage report.
    fn report(&self, term: &Term, body: &[u8]) -> Reply;
    /// Sends an order.
    fn order(&self, term: &Term, order: &Order) -> Reply;
    /// Encodes a usage report.
    fn encode_report(&self, window: u64, counts: &IndexMap<String, u64>) -> Vec<u8>;
}

/// Starts the thread of the duties for instance `me`.
pub fn start(
    me: &str,
    duties: &Duties,
    clock: &Clock,
    board: &Arc<Board>,
    metrics: &Arc<Metrics>,
    journal: Box<dyn Journal>,
    api: Box<dyn Api>,
) {
    let mut runner = Runner::new(
        me,
        duties.clone(),
        clock.clone(),
        Arc::clone(board),
        Arc::clone(metrics),
        journal,
        api,
    );
    let clock = clock.clone();
    thread::spawn(move || {
        loop {
            let pause = runner.turn();
            clock.sleep(pause);
        }
    });
}
