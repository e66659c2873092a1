//! The base version of one service: the last one that alone has served for longer than a stream can
//! last.

use indexmap::IndexSet;

use super::Software;
use crate::adapter::clock::Millis;

/// Time for which one version alone has to be listed when the fleet starts for the first time, in
/// milliseconds: all endpoints are listed by then.
const FIRST_START: u64 = 3_000;

/// What an instance knows of the base.
#[derive(Debug, Default)]
pub(super) struct Base {
    /// The base that is on record.
    software: Option<Software>,
    /// A new base, and the change with which it is on record.
    proposed: Option<(Software, u64)>,
    /// The base is not listed: another instance may have recorded a new one.
    stale: bool,
    /// The base is listed again, and the record has to be read.
    unread: bool,
    /// The only listed version, and the time since which this instance has seen no other.
    alone: Option<(Software, Millis)>,
    /// Time since which the list has been up to date at all instances.
    informed_since: Option<Millis>,
}

impl Base {
    /// Takes the versions that are listed, one at least.
    pub(super) fn observe(&mut self, now: Millis, listed: &IndexSet<Software>, informed: bool) {
        let only = listed.first().copied().filter(|_| listed.len() == 1);
        let before = self.alone.filter(|(v, _)| Some(*v) == only);
        self.alone = only.map(|v| before.unwrap_or((v, now)));
        self.informed_since = informed.then(|| self.informed_since.unwrap_or(now));
        let is_listed = self.software.is_some_and(|v| listed.contains(&v));
        self.unread |= self.stale && is_listed;
        self.stale |= self.software.is_some() && !is_listed;
    }

    /// The version that has served alone for long enough to be a new base.
    pub(super) fn successor(&self, now: Millis, lifetime: u64, first: bool) -> Option<Software> {
        let required = if first { FIRST_START.min(lifetime) } else { lifetime };
        let (v, since) = self.alone?;
        let since = since.max(self.informed_since?);
        let is_known = self.trusted() == Some(v) || self.proposed.is_some_and(|(p, _)| p == v);
        (!is_known && lifetime > 0 && now >= since + required).then_some(v)
    }

    /// Proposes a new base, which counts once a change has been written.
    pub(super) fn propose(&mut self, software: Software, change: u64) {
        self.proposed = Some((software, change));
    }

    /// Takes the proposed base if its change has been written.
    pub(super) fn confirm(&mut self, written: u64) {
        if let Some((v, _)) = self.proposed.take_if(|(_, change)| *change <= written) {
            self.software = Some(v);
            (self.stale, self.unread) = (false, false);
        }
    }

    /// Takes the base that is on record; `None` if there is none that counts.
    pub(super) fn learn(&mut self, software: Option<Software>) {
        self.software = software;
    }

    /// The record has been read.
    pub(super) fn set_read(&mut self) {
        (self.stale, self.unread) = (false, false);
    }

    /// True if the record has to be read before the base counts again.
    pub(super) fn needs_read(&self) -> bool {
        self.unread
    }

    /// The base, unless another instance may have recorded a new one.
    pub(super) fn trusted(&self) -> Option<Software> {
        self.software.filter(|_| !self.stale)
    }

    /// What is to be on record.
    pub(super) fn to_record(&self) -> Option<Software> {
        self.proposed.map(|(v, _)| v).or(self.software)
    }

    /// True if there is a base on record.
    pub(super) fn is_recorded(&self) -> bool {
        self.software.is_some()
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
