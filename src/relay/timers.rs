//! Times at which connections want to be looked at again.

use std::collections::BTreeSet;

use crate::adapter::clock::Millis;

/// Whom a timer is for; the serial tells a connection from a later one at the same index.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Owner {
    Caller(usize, u64),
    Link(usize, u64),
    Gossip,
    Peers,
    Queue,
}

/// All timers, the earliest first.
#[derive(Debug, Default)]
pub(super) struct Timers(BTreeSet<(Millis, Owner)>);

impl Timers {
    pub(super) fn set(&mut self, at: Millis, owner: Owner) {
        self.0.insert((at, owner));
    }

    pub(super) fn next(&self) -> Option<Millis> {
        self.0.first().map(|(at, _)| *at)
    }

    /// Takes one timer that is due.
    pub(super) fn pop_due(&mut self, now: Millis) -> Option<Owner> {
        let first = *self.0.first()?;
        if first.0 > now {
            return None;
        }
        self.0.pop_first();
        Some(first.1)
    }
}
