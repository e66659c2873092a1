//! The base version of one service: the last one that alone has served for longer than a stream can
//! last.
//!
//! It is on record as open, when streams may begin at it without a record, or as closed, when it has not
//! been listed since: then all streams are recorded, and those that are on no record still began at it. A
//! new base is opened only after a lifetime in which the one before was closed, so no instance can take
//! the one before for open any more.

use indexmap::IndexSet;

use super::{Marker, Software};
use crate::adapter::clock::Millis;

/// Time for which one version alone has to be listed when the fleet starts for the first time, in
/// milliseconds: all endpoints are listed by then.
const FIRST_START: u64 = 3_000;

/// What an instance knows of the base.
#[derive(Debug, Default)]
pub(super) struct Base {
    /// The base on record.
    software: Option<Software>,
    is_open: bool,
    generation: u64,
    /// The base was open in a read that began when it was listed, and has been listed since.
    verified: bool,
    is_listed: bool,
    /// Number of the read that was asked for, if it has not ended.
    read: Option<u64>,
    /// A marker that is to be written, and the change with which it is.
    proposed: Option<(Proposal, u64)>,
    /// Time since which there has been no open base.
    closed_since: Option<Millis>,
    /// The only listed version, and the time since which this instance has seen no other.
    alone: Option<(Software, Millis)>,
    /// The last version that was the only listed one, if it is listed still: others may have made it the
    /// base since.
    candidate: Option<Software>,
    /// Time since which the list has been up to date at all instances.
    informed_since: Option<Millis>,
    /// There has been a base, or more than one version.
    was_set: bool,
}

/// A change of the base.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Proposal {
    /// The base is not listed any more.
    Close(Software),
    /// A version has served alone for long enough.
    Open(Software),
}

impl Base {
    /// Takes the versions that are listed, one at least.
    pub(super) fn observe(&mut self, now: Millis, listed: &IndexSet<Software>, informed: bool) {
        let only = listed.first().copied().filter(|_| listed.len() == 1);
        let before = self.alone.filter(|(v, _)| Some(*v) == only);
        let is_other = self.alone.is_some() && before.is_none();
        self.alone = only.map(|v| before.unwrap_or((v, now)));
        self.candidate = only.or(self.candidate.filter(|v| listed.contains(v)));
        self.was_set |= listed.len() > 1 || is_other;
        self.informed_since = informed.then(|| self.informed_since.unwrap_or(now));
        self.is_listed = self.software.is_some_and(|v| listed.contains(&v));
        if !self.is_listed {
            (self.verified, self.read) = (false, None);
        }
        if !self.is_open {
            self.closed_since.get_or_insert(now);
        }
        let alone = self.alone;
        self.proposed.take_if(|(p, _)| match p {
            Proposal::Close(_) => false,
            Proposal::Open(v) => alone.is_none_or(|(only, _)| only != *v),
        });
    }

    /// The change that is due, as far as this instance knows.
    pub(super) fn due(&self, now: Millis, lifetime: u64, first_start: bool) -> Option<Proposal> {
        if self.proposed.is_some() || lifetime == 0 {
            return None;
        }
        if let Some(base) = self.software.filter(|_| self.is_open) {
            return (!self.is_listed).then_some(Proposal::Close(base));
        }
        let first = first_start && !self.was_set;
        let required = if first { FIRST_START.min(lifetime) } else { lifetime };
        let (v, since) = self.alone?;
        let since = since.max(self.informed_since?).max(self.closed_since?);
        (now >= since + required).then_some(Proposal::Open(v))
    }

    /// True if the record has to be read: before a change, or before streams begin at the base.
    pub(super) fn needs_read(&self, now: Millis, lifetime: u64, first_start: bool) -> bool {
        let unverified = self.is_open && self.is_listed && !self.verified;
        self.read.is_none() && (unverified || self.due(now, lifetime, first_start).is_some())
    }

    /// Records that a read was asked for.
    pub(super) fn set_reading(&mut self, number: u64) {
        self.read = Some(number);
    }

    /// The read with a number has ended, and its records were learned.
    pub(super) fn finish_read(&mut self, number: u64, ok: bool) -> bool {
        if self.read.take_if(|n| *n <= number).is_none() || !ok {
            return false;
        }
        self.verified = self.is_open && self.is_listed;
        true
    }

    /// Proposes a change, which counts once it has been written.
    pub(super) fn propose(&mut self, proposal: Proposal, change: u64) {
        self.proposed = Some((proposal, change));
    }

    /// Takes the proposed change if it has been written.
    pub(super) fn confirm(&mut self, now: Millis, written: u64) {
        let Some((proposal, _)) = self.proposed.take_if(|(_, change)| *change <= written) else {
            return;
        };
        match proposal {
            Proposal::Close(v) if self.software == Some(v) => {
                self.set(now, Some(v), false, self.generation);
            }
            Proposal::Close(_) => {}
            Proposal::Open(v) => self.set(now, Some(v), true, self.generation + 1),
        }
    }

    fn set(&mut self, now: Millis, software: Option<Software>, is_open: bool, generation: u64) {
        if (software, is_open, generation) == (self.software, self.is_open, self.generation) {
            return;
        }
        (self.software, self.is_open, self.generation) = (software, is_open, generation);
        self.proposed = None;
        (self.verified, self.read) = (false, None);
        self.was_set |= software.is_some();
        self.is_listed = software.is_some() && self.alone.map(|(v, _)| v) == software;
        self.closed_since = (!is_open).then_some(now);
    }

    /// Takes what another instance has on record.
    pub(super) fn learn(&mut self, now: Millis, marker: &Marker) {
        let own = self.software.map(|_| self.current());
        let merged = own.map_or(marker.clone(), |own| own.merge(marker));
        self.set(now, merged.base, merged.open, merged.generation);
    }

    /// Forgets the base: its record may be lost.
    pub(super) fn forget(&mut self, now: Millis) {
        self.set(now, None, false, self.generation);
    }

    /// The base at which streams may begin without a record.
    pub(super) fn trusted(&self) -> Option<Software> {
        self.software.filter(|_| self.is_open && self.verified)
    }

    /// The version that began the streams that are on no record.
    pub(super) fn software(&self) -> Option<Software> {
        self.software
    }

    /// True if the base is listed.
    pub(super) fn is_listed(&self) -> bool {
        self.is_listed
    }

    fn current(&self) -> Marker {
        Marker { base: self.software, open: self.is_open, generation: self.generation }
    }

    /// What is to be on record; `None` without a base.
    pub(super) fn marker(&self) -> Option<Marker> {
        let known = self.software.map(|_| self.current());
        match self.proposed {
            Some((Proposal::Close(_), _)) => known.map(|m| Marker { open: false, ..m }),
            Some((Proposal::Open(v), _)) => {
                Some(Marker { base: Some(v), open: true, generation: self.generation + 1 })
            }
            None => known,
        }
    }

    /// The version that may have become the base unnoticed, as it was the only listed one.
    pub(super) fn candidate(&self) -> Option<Software> {
        self.candidate
    }

    /// True if only one version is listed.
    pub(super) fn is_alone(&self) -> bool {
        self.alone.is_some()
    }

    /// The version that alone has served for longer than a stream can last, as this instance has seen.
    pub(super) fn alone(&self, now: Millis, lifetime: u64) -> Option<Software> {
        let (v, since) = self.alone?;
        (lifetime > 0 && now >= since + lifetime).then_some(v)
    }
}
