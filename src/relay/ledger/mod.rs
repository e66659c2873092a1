//! Records on the platform that outlive all instances: a thread that writes the newest values of this
//! instance's keys in batches, and one that reads what all instances wrote when the driver asks for it.
//!
//! All instances share the calls that the platform accepts, so each keeps an interval between two calls
//! that grows with the fleet.

mod board;
mod log;
mod reader;
mod trim;
mod writer;

pub use board::{Batch, Board};
pub use reader::Reader;
pub use trim::{INSTANCE_PREFIX, MAX_REMOVALS};
pub use writer::Writer;

use std::sync::Arc;
use std::thread;

use super::follow::{BACKOFF, Source, max_backoff};
use super::state::Shared;
use super::stats::Metrics;
use crate::adapter::clock::Clock;

/// Fraction of the calls that the platform accepts which the ledgers of all instances make at most.
const BUDGET_FRACTION: f64 = 0.5;
/// Minimum time between the starts of two writes, in milliseconds.
const MIN_WRITE_INTERVAL: u64 = 50;
/// Minimum time between the starts of two reads, in milliseconds.
const MIN_READ_INTERVAL: u64 = 20;
/// Maximum time that a thread waits for work before it looks at the time and at the platform's era, in
/// milliseconds.
const MAX_WAIT: u64 = 1_000;

/// Time for which records of an instance that is gone are kept, in milliseconds: longer than a stream
/// lasts.
pub const RETENTION: u64 = 600_000;

/// Calls that the platform accepts from all instances together, each second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Budget {
    /// Calls that write.
    pub writes: f64,
    /// Calls that read.
    pub reads: f64,
}

impl Budget {
    /// Time between the starts of two writes of an instance in a fleet of `instances`, in milliseconds.
    pub fn write_interval(&self, instances: usize) -> u64 {
        interval(self.writes, instances).max(MIN_WRITE_INTERVAL)
    }

    /// Time between the starts of two reads of an instance in a fleet of `instances`, in milliseconds.
    pub fn read_interval(&self, instances: usize) -> u64 {
        interval(self.reads, instances).max(MIN_READ_INTERVAL)
    }
}

/// Time between two calls of an instance that leaves the others their share of `calls` each second, in
/// milliseconds.
fn interval(calls: f64, instances: usize) -> u64 {
    (instances as f64 * 1_000.0 / (BUDGET_FRACTION * calls)).ceil() as u64
}

/// What a thread of the ledger does after a turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Takes the next turn after a pause, in milliseconds.
    Pause(u64),
    /// Waits until the board has work for it.
    Wait,
}

/// Starts the threads of instance `me`: one writes, one reads.
pub fn start(
    me: &str,
    source: &Arc<dyn Source>,
    shared: &Arc<Shared>,
    clock: &Clock,
    metrics: &Arc<Metrics>,
    budget: Budget,
) {
    let board = Arc::clone(shared.ledger());
    let mut writer = Writer::new(
        Arc::clone(source),
        Arc::clone(shared),
        clock.clone(),
        Arc::clone(metrics),
        budget,
    );
    let (board2, clock2) = (Arc::clone(&board), clock.clone());
    thread::spawn(move || {
        loop {
            match writer.turn() {
                Next::Pause(ms) => clock2.sleep(ms),
                Next::Wait => board2.wait_for_change(MAX_WAIT),
            }
        }
    });
    let mut reader = Reader::new(
        (me, RETENTION),
        Arc::clone(source),
        Arc::clone(shared),
        clock.clone(),
        Arc::clone(metrics),
        budget,
    );
    let clock = clock.clone();
    thread::spawn(move || {
        loop {
            match reader.turn() {
                Next::Pause(ms) => clock.sleep(ms),
                Next::Wait => board.wait_for_request(MAX_WAIT),
            }
        }
    });
}

/// Pause after failed calls that grows with each, in milliseconds.
#[derive(Debug)]
struct Backoff(u64);

impl Default for Backoff {
    fn default() -> Self {
        Self(BACKOFF.0)
    }
}

impl Backoff {
    /// The next pause in a fleet of `instances`.
    fn next(&mut self, instances: usize) -> u64 {
        let pause = self.0 + rand::random_range(0..=self.0 / 2);
        self.0 = (self.0 * 2).min(max_backoff(instances));
        pause
    }
}
