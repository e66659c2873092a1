//! Timers of the event loop.

use std::collections::BTreeSet;

use crate::adapter::clock::Millis;

/// What a timer is for. The serial number tells a connection from a later one at the same index.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Owner {
    /// A caller's connection: index and serial number.
    Caller(usize, u64),
    /// A connection to an endpoint: index and serial number.
    Link(usize, u64),
    /// Sending a heartbeat.
    Gossip,
    /// Sending digests of groups.
    Digest,
    /// Applying received heartbeats.
    Peers,
    /// Sending usage counts.
    Usage,
    /// Sending queued requests.
    Queue,
    /// Passing on records to be written.
    Ledger,
    /// Steps of a graceful stop.
    Stop,
}

/// All timers in order of time.
#[derive(Debug, Default)]
pub(super) struct Timers(BTreeSet<(Millis, Owner)>);

impl Timers {
    pub(super) fn set(&mut self, at: Millis, owner: Owner) {
        self.0.insert((at, owner));
    }

    pub(super) fn remove(&mut self, at: Millis, owner: Owner) {
        self.0.remove(&(at, owner));
    }

    /// Time of the earliest timer.
    pub(super) fn next(&self) -> Option<Millis> {
        self.0.first().map(|(at, _)| *at)
    }

    /// Removes the earliest timer if it is due and returns what it is for.
    pub(super) fn pop_due(&mut self, now: Millis) -> Option<Owner> {
        let first = *self.0.first()?;
        if first.0 > now {
            return None;
        }
        self.0.pop_first();
        Some(first.1)
    }
}
