//! State that the event loop and the thread of the duties share.

use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use indexmap::IndexMap;

use crate::adapter::clock::Millis;
use crate::policy::lease::{Candidate, Standing};
use crate::policy::scale::Demand;
use crate::policy::usage::{Counts, Merged, Times, Window};

#[derive(Debug, Default)]
struct State {
    candidates: Vec<Candidate>,
    merged: Merged,
    /// Names of the instances that send counts; `None` if not all are known.
    reporting: Option<Vec<String>>,
    demand: Demand,
}

/// What the event loop tells the duties, and the other way round.
#[derive(Debug, Default)]
pub struct Board {
    /// True time less the time of the local clock, in milliseconds.
    offset: AtomicI64,
    impaired_until: AtomicU64,
    holds: AtomicBool,
    leaving: AtomicBool,
    isolated: AtomicBool,
    state: Mutex<State>,
}

impl Board {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Converts a time of the local clock to true time.
    pub fn true_time(&self, now: Millis) -> Millis {
        now.saturating_add_signed(self.offset.load(Ordering::Relaxed))
    }

    /// Sets the difference of true time to the local clock, in milliseconds.
    pub fn set_offset(&self, offset: i64) {
        self.offset.store(offset, Ordering::Relaxed);
    }

    /// Sets the candidates in order of preference.
    pub fn set_candidates(&self, candidates: Vec<Candidate>) {
        self.state().candidates = candidates;
    }

    /// The candidates in order of preference.
    pub fn candidates(&self) -> Vec<Candidate> {
        self.state().candidates.clone()
    }

    /// Position of the instance `me`.
    pub fn standing(&self, me: &str) -> Standing {
        let rank = self.state().candidates.iter().position(|c| c.name == me);
        Standing { rank, leaving: self.leaving.load(Ordering::Relaxed) }
    }

    /// Makes the instance give up the lease for good, as it stops.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Sets whether this instance hears too few others.
    pub fn set_isolated(&self, isolated: bool) {
        self.isolated.store(isolated, Ordering::Relaxed);
    }

    /// True if this instance hears too few others to know their counts.
    pub fn is_isolated(&self) -> bool {
        self.isolated.load(Ordering::Relaxed)
    }

    /// Prefers other candidates until a time of the local clock.
    pub fn impair(&self, until: Millis) {
        self.impaired_until.fetch_max(until, Ordering::Relaxed);
    }

    /// True while other candidates are preferred.
    pub fn is_impaired(&self, now: Millis) -> bool {
        now < self.impaired_until.load(Ordering::Relaxed)
    }

    /// Sets whether this instance holds the lease. Returns true if that is a change.
    pub fn set_holds(&self, holds: bool) -> bool {
        self.holds.swap(holds, Ordering::Relaxed) != holds
    }

    /// True if this instance holds the lease.
    pub fn holds(&self) -> bool {
        self.holds.load(Ordering::Relaxed)
    }

    /// Sets the instances that send counts; `None` if not all are known.
    pub fn set_reporting(&self, names: Option<Vec<String>>) {
        self.state().reporting = names;
    }

    /// Adds the counts of an instance at `now`, true time.
    pub fn add_counts(&self, times: &Times, now: Millis, counts: Counts) {
        self.state().merged.add(times, now, counts);
    }

    /// Total of all instances in a window, in order of the workspaces' names.
    pub fn totals(&self, window: Window) -> IndexMap<String, u64> {
        self.state().merged.totals(window).into_iter().collect()
    }

    /// Number of instances whose final counts of a window are missing; at least 1 if not all instances
    /// are known.
    pub fn missing(&self, window: Window) -> usize {
        let state = self.state();
        let names = state.reporting.as_ref();
        names.map_or(1, |all| state.merged.missing(window, all.iter().map(String::as_str)))
    }

    /// The first window with counts.
    pub fn first_window(&self) -> Option<Window> {
        self.state().merged.first()
    }

    /// Publishes demand and supply.
    pub fn set_demand(&self, demand: Demand) {
        self.state().demand = demand;
    }

    /// Demand and supply as last published.
    pub fn demand(&self) -> Demand {
        self.state().demand.clone()
    }
}
