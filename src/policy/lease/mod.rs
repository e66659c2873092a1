//! The lease of the duties that one instance performs at a time, without I/O.
//!
//! The lease is a series of records in one log that accepts an append only at the offset that the
//! writer expects to be its end. Each append starts with a lease record, so it both renews the lease
//! and fails once another instance has taken over.
//!
//! Offsets here are positions, see [`crate::fleet::position`]. Tokens begin at the position of the
//! acquisition, so a log that was restored from a copy brings no lower ones.

mod candidate;
mod view;

pub use candidate::{Candidate, MAX_CANDIDATES, choose};
pub use view::{Entry, KEY, LeaseRecord, Snapshot};

use indexmap::IndexMap;

use crate::adapter::clock::Millis;
use crate::fleet::position;
use crate::mechanism::{self, Mechanism};
use view::View;

/// Fraction of the lease that the holder leaves unused: it covers a pause between the check of the
/// lease and a send, and the time in transit.
const MARGIN_DIVISOR: u64 = 4;
/// Fraction of the lease after which the holder renews it.
const RENEW_DIVISOR: u64 = 4;
/// Delay of a takeover for each rank among the candidates, in milliseconds: longer than an append
/// usually takes.
const RANK_DELAY: u64 = 400;
/// Delay of an acquisition by an instance that doesn't know what a log held that was restored from a
/// copy, in milliseconds: others that know it come first.
const BLIND_DELAY: u64 = 2_000;
/// Age of the last contact with the log, in milliseconds, from which an instance doesn't know what it
/// held before it was restored: another may have acquired the lease meanwhile.
const MAX_PAST_AGE: u64 = 5_000;
/// Maximum time that a read waits for records, in milliseconds, so that a stop is noticed.
const MAX_READ_WAIT: u64 = 1_000;
/// Interval between decisions of an instance that is not a candidate, in milliseconds.
const IDLE_INTERVAL: u64 = 250;

/// The right to act as the holder until a time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Term {
    /// Name of the holder.
    pub holder: String,
    /// Fencing token, which increases with each change of the holder.
    pub token: u64,
    /// Time from which the holder must not act, on its own clock.
    pub until: Millis,
}

/// A conditional append: the records take effect only if the log ends at `at`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Append {
    /// Offset at which the log must end.
    pub at: u64,
    /// Records, of which the first is the lease record.
    pub records: Vec<Entry>,
}

/// Outcome of an append.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Appended {
    /// The records were appended.
    Done,
    /// The log ends at another offset.
    Moved {
        /// Offset after the last record.
        end: u64,
    },
    /// Nothing was done.
    Refused(String),
    /// It is not known whether the records were, or still will be, appended.
    Unknown(String),
}

/// What an instance does next about the lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Next {
    /// Read the newest record of each key.
    Newest,
    /// Read records from an offset on, and wait for the first one for up to `wait` milliseconds.
    Read {
        /// First offset.
        from: u64,
        /// Maximum wait, in milliseconds.
        wait: u64,
    },
    /// Append records.
    Append(Append),
    /// Nothing until the given time.
    Wait {
        /// Time of the next decision.
        until: Millis,
    },
}

/// Position of an instance with regard to the duties.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Standing {
    /// Rank among the candidates; `None` if it is not one of them.
    pub rank: Option<usize>,
    /// True if the instance is to give up the lease.
    pub leaving: bool,
}

/// An append whose outcome is not known yet.
#[derive(Debug, Clone)]
struct Pending {
    append: Append,
    record: LeaseRecord,
    /// Time of the first send; the lease counts from it.
    sent_at: Millis,
    /// An earlier send may still be executed.
    uncertain: bool,
    /// The log has, or may have, moved: its records are read before another send.
    moved: bool,
}

/// The lease as its holder knows it.
#[derive(Debug, Clone, Copy)]
struct Hold {
    token: u64,
    /// Time at which the last successful append was sent.
    renewed_at: Millis,
}

/// The lease from the point of view of one instance.
#[derive(Debug)]
pub struct Lease {
    me: String,
    /// Duration of the lease, in milliseconds.
    length: u64,
    /// Distinguishes the appends of this process from those of an earlier one.
    life: u64,
    appends: u64,
    view: Option<View>,
    hold: Option<Hold>,
    pending: Option<Pending>,
    /// Highest token seen in any record.
    highest: u64,
    /// The last view that was dropped.
    past: Option<View>,
    /// Time at which the log was last read or appended to.
    contact_at: Millis,
    /// Entries that were known before the log was restored from a copy.
    carried: IndexMap<String, Vec<u8>>,
    /// Era up to which this instance has known the log before it was restored.
    known_until: Option<u64>,
}

impl Lease {
    /// The lease for instance `me`; `life` is a random number of this process, `length` the duration
    /// of the lease in milliseconds.
    pub fn new(me: &str, life: u64, length: u64) -> Self {
        Self {
            me: me.to_owned(),
            length,
            life,
            appends: 0,
            view: None,
            hold: None,
            pending: None,
            highest: 0,
            past: None,
            contact_at: 0,
            carried: IndexMap::new(),
            known_until: None,
        }
    }

    /// True if the last known record makes this instance the holder, even if its term has ended.
    pub fn holds(&self) -> bool {
        self.hold.is_some()
    }

    /// True while the outcome of an append is not known.
    pub fn is_settling(&self) -> bool {
        self.pending.is_some()
    }

    /// The present term, if the lease is certain to hold at `now`.
    pub fn term(&self, now: Millis) -> Option<Term> {
        let hold = self.hold?;
        let until = hold.renewed_at + self.length - self.length / MARGIN_DIVISOR;
        if !mechanism::on(Mechanism::Lease) {
            let until = now + self.length;
            return Some(Term { holder: self.me.clone(), token: hold.token, until });
        }
        (now < until).then(|| Term { holder: self.me.clone(), token: hold.token, until })
    }

    /// The newest value of a key, as far as the log was read.
    pub fn value(&self, key: &str) -> Option<&[u8]> {
        self.view.as_ref()?.entries.get(key).map(Vec::as_slice)
    }

    /// Newest values of the keys with a prefix, as far as the log was read.
    pub fn values<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a str, &'a [u8])> {
        let entries = self.view.iter().flat_map(|v| &v.entries);
        let found = entries.filter(move |(k, _)| k.starts_with(prefix));
        found.map(|(k, v)| (k.as_str(), v.as_slice()))
    }

    /// Decides what to do next.
    pub fn next(&mut self, now: Millis, standing: Standing) -> Next {
        if self.pending.is_some() {
            return self.settle();
        }
        if self.hold.is_none() && (standing.rank.is_none() || standing.leaving) {
            self.expired();
            return Next::Wait { until: now + IDLE_INTERVAL };
        }
        let Some(view) = &self.view else { return Next::Newest };
        if let Some(hold) = self.hold {
            let renew_at = hold.renewed_at + self.length / RENEW_DIVISOR;
            return match (standing.leaving, now >= renew_at) {
                (true, _) => self.append(now, Vec::new(), true),
                (false, true) => self.append(now, Vec::new(), false),
                (false, false) => Next::Wait { until: renew_at },
            };
        }
        let at = self.acquires_at(view, standing.rank.unwrap_or_default());
        if now >= at {
            return self.append(now, Vec::new(), false);
        }
        Next::Read { from: view.end, wait: (at - now).min(MAX_READ_WAIT) }
    }

    /// Records to append under the lease, together with a renewal. `None` while an append is not
    /// settled or the lease is not held.
    pub fn write(&mut self, now: Millis, records: Vec<Entry>) -> Option<Append> {
        if self.pending.is_some() || self.view.is_none() {
            return None;
        }
        self.term(now)?;
        match self.append(now, records, false) {
            Next::Append(append) => Some(append),
            _ => None,
        }
    }

    /// Time at which this instance may acquire the lease.
    fn acquires_at(&self, view: &View, rank: usize) -> Millis {
        let delay = rank as u64 * RANK_DELAY;
        let blind = if self.is_blind() { BLIND_DELAY } else { 0 };
        let delay = delay + blind;
        let Some(last) = &view.last else { return view.heard_at + delay };
        let silence = if last.released { 0 } else { self.length };
        let at = view.heard_at + silence + delay;
        let was_before = last.before.as_deref() == Some(&self.me) && last.holder != self.me;
        if was_before { at.max(view.taken_at + self.length) } else { at }
    }

    /// True if nobody has acquired the lease since the log was restored from a copy, as far as the log
    /// was read, and this instance doesn't know what the log held before.
    pub fn is_blind(&self) -> bool {
        let Some(view) = &self.view else { return false };
        let era = position::era(view.end);
        // Without any lease, the fleet starts for the first time.
        let last = view.last.as_ref().is_some_and(|l| position::era(l.token) < era);
        last && self.known_until != Some(era)
    }

    /// Continues with the append whose outcome is not known. The same records at the same offset can
    /// take effect only once.
    fn settle(&self) -> Next {
        let Some(pending) = &self.pending else { return Next::Newest };
        match &self.view {
            None => Next::Newest,
            Some(view) if pending.moved => Next::Read { from: view.end, wait: 0 },
            Some(_) => Next::Append(pending.append.clone()),
        }
    }

    /// Starts an append: a lease record and `records`.
    fn append(&mut self, now: Millis, records: Vec<Entry>, released: bool) -> Next {
        let Some(view) = &self.view else { return Next::Newest };
        let at = view.end;
        let last = view.last.as_ref();
        let token = self.hold.map_or(at.max(self.highest + 1), |h| h.token);
        let same = last.filter(|l| l.holder == self.me);
        let before = match same {
            Some(last) => last.before.clone(),
            None => last.map(|l| l.holder.clone()),
        };
        self.appends += 1;
        let record = LeaseRecord {
            holder: self.me.clone(),
            token,
            before,
            released,
            stamp: (self.life, self.appends),
        };
        let mut all = vec![record.entry()];
        all.extend(records);
        let append = Append { at, records: all };
        self.pending = Some(Pending {
            append: append.clone(),
            record,
            sent_at: now,
            uncertain: false,
            moved: false,
        });
        Next::Append(append)
    }

    /// Takes the outcome of an append.
    pub fn appended(&mut self, outcome: &Appended) {
        let Some(pending) = &mut self.pending else { return };
        match outcome {
            Appended::Done => self.succeed(),
            Appended::Moved { end } if *end > pending.append.at => pending.moved = true,
            // The log is shorter than it was: its history was lost.
            Appended::Moved { .. } => {
                pending.moved = true;
                self.expired();
            }
            Appended::Refused(_) if pending.uncertain => {}
            Appended::Refused(_) => self.pending = None,
            // Reading comes first: the log may answer reads while answers to appends are lost.
            Appended::Unknown(_) => (pending.uncertain, pending.moved) = (true, true),
        }
    }

    /// Applies the pending append, which has taken effect at the end of the view.
    fn succeed(&mut self) {
        let Some(pending) = self.pending.take() else { return };
        self.contact_at = self.contact_at.max(pending.sent_at);
        let Some(view) = &mut self.view else { return };
        for entry in &pending.append.records {
            view.apply(pending.sent_at, &entry.key, Some(&entry.value));
        }
        view.end = pending.append.at + pending.append.records.len() as u64;
        self.hold_by(&pending.record, pending.sent_at);
    }

    /// Holds the lease by a record of this process.
    fn hold_by(&mut self, record: &LeaseRecord, sent_at: Millis) {
        self.highest = self.highest.max(record.token);
        let held = Hold { token: record.token, renewed_at: sent_at };
        self.hold = (!record.released).then_some(held);
    }

    /// Takes the newest record of each key.
    pub fn loaded(&mut self, now: Millis, snapshot: Snapshot) {
        let contact_at = std::mem::replace(&mut self.contact_at, now);
        if let Some(past) = self.past.take()
            && position::era(snapshot.end) > position::era(past.end)
        {
            self.carried.extend(past.entries);
            let known = now < contact_at + MAX_PAST_AGE;
            self.known_until = known.then(|| position::era(snapshot.end));
            // The log may have lost the records of a later holder.
            (self.hold, self.pending) = (None, None);
        }
        let view = View::new(now, snapshot);
        let last = view.last.clone();
        let end = view.end;
        self.highest = self.highest.max(last.as_ref().map_or(0, |l| l.token));
        self.view = Some(view);
        if let Some(pending) = self.pending.take() {
            if last.as_ref() == Some(&pending.record) {
                return self.hold_by(&pending.record, pending.sent_at);
            }
            if end == pending.append.at {
                self.pending = Some(Pending { moved: false, ..pending });
            }
        }
        let token = last.filter(|l| l.holder == self.me && !l.released).map(|l| l.token);
        self.hold = self.hold.filter(|h| token == Some(h.token));
    }

    /// Takes records read from the end of the view on; `end` is the offset after the last.
    pub fn received<'a>(
        &mut self,
        now: Millis,
        end: u64,
        records: impl Iterator<Item = (&'a str, Option<&'a [u8]>)>,
    ) {
        self.contact_at = now;
        let Some(view) = &mut self.view else { return };
        let pending = self.pending.as_ref().map(|p| (p.record.clone(), p.sent_at));
        let moved = end > view.end;
        for (key, value) in records {
            view.apply(now, key, value);
            if key != KEY {
                continue;
            }
            let Some(last) = view.last.clone() else { continue };
            self.highest = self.highest.max(last.token);
            match &pending {
                Some((own, sent_at)) if *own == last => {
                    let held = Hold { token: own.token, renewed_at: *sent_at };
                    self.hold = (!own.released).then_some(held);
                }
                _ => self.hold = self.hold.filter(|h| h.token == last.token),
            }
        }
        view.end = end;
        if moved {
            self.pending = None;
        } else if let Some(pending) = &mut self.pending {
            pending.moved = false;
        }
    }

    /// Takes that the records to read have expired.
    pub fn expired(&mut self) {
        if let Some(view) = self.view.take() {
            self.past = Some(view);
        }
    }

    /// Values of the keys with a prefix that were known before the log was restored from a copy, which
    /// may lack them.
    pub fn carried<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a str, &'a [u8])> {
        let found = self.carried.iter().filter(move |(k, _)| k.starts_with(prefix));
        found.map(|(k, v)| (k.as_str(), v.as_slice()))
    }

    /// Forgets them, once they are in the log again.
    pub fn forget_carried(&mut self) {
        self.carried.clear();
    }
}
