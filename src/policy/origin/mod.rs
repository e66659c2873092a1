//! Where resumable streams began: a stream goes on only at the software version of its service that
//! began it, since what two versions write doesn't fit together.
//!
//! Each service has a base version: the last one that alone has served for longer than a stream can
//! last. It is on record in the platform, as are the streams that begin at other versions, each before
//! its request is sent. So a stream that is on no record began at the base. While there is no base that
//! this instance can rely on, all streams are recorded.

mod base;
mod record;

pub use record::{Marker, StreamsRecord};

use std::collections::VecDeque;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::adapter::clock::Millis;
use crate::adapter::codec;
use base::Base;

/// Longest time for which a stream may be resumed, in milliseconds, whatever its caller states.
pub const MAX_LIFETIME: u64 = 600_000;
/// Time added to the longest timeout of a route, in milliseconds, for requests under way.
const LIFETIME_MARGIN: u64 = 1_000;
/// Time after which streams begin at the base while a write isn't acknowledged, in milliseconds. If it isn't
/// for this time after its turn, streams can't be recorded now.
pub const WRITE_TIMEOUT: u64 = 400;
/// Maximum streams of another instance that are kept.
const MAX_LEARNED: usize = 100_000;

/// A software version of a service, as a hash of both names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Software(u64);

impl Software {
    /// No version of any service.
    pub fn none() -> Self {
        Self(0)
    }

    /// The version `version` of a service.
    pub fn of(service: &str, version: &str) -> Self {
        Self(xxh3_64(format!("{service}\0{version}").as_bytes()))
    }
}

/// The attempt of a caller that brought the first event of a stream, as a hash of its id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Attempt(u64);

impl Attempt {
    /// The attempt with an id.
    pub fn of(id: &str) -> Self {
        Self(xxh3_64(id.as_bytes()))
    }
}

/// Which software version began a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// This version.
    Began(Software),
    /// Nobody knows, so the stream can't be resumed.
    Unknown,
}

/// Whether an attempt may be sent to an endpoint of a software version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Readiness {
    /// It may be sent.
    Ready,
    /// It has to be recorded before.
    Wait,
    /// It can't be recorded now, and may be on record already: another attempt has to take its place.
    Stuck,
}

/// How streams may begin while nothing can be written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Begin {
    /// At any version, once recorded.
    Any,
    /// At the base only, which needs no record, or at the version that may have become the base.
    Base(Software),
    /// At any version, without a record: the base isn't listed.
    Unrecorded,
    /// Not at this instance.
    Refuse,
}

/// A stream that a caller may resume.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Stream {
    /// Version that began it; `None` if records contradict each other.
    software: Option<Software>,
    /// Time until which its caller waits.
    until: Millis,
}

/// A stream that this instance began.
#[derive(Debug, Clone, PartialEq, Eq)]
struct OwnStream {
    service: String,
    stream: Stream,
    /// It is to be on record.
    recorded: bool,
    /// The change of the records that has to be written before it is sent.
    change: u64,
}

/// What an instance knows of the streams of the fleet and the software versions of the services.
#[derive(Debug, Default)]
pub struct Origins {
    /// Name of the instance.
    me: String,
    /// The fleet starts for the first time: no stream is older than this process.
    first_start: bool,
    /// Time until which the endpoint list of this instance may be relied on.
    list_until: Millis,
    /// Records that could not be decoded, by key and hash of the value.
    malformed: IndexSet<(String, u64)>,
    /// Era of the platform whose records were read; `None` before that.
    era: Option<u64>,
    /// Time from which records that a restored platform has lost don't matter any more.
    whole_from: Millis,
    /// Time for which a stream may last, in milliseconds, by all routes that the fleet has known, as far as
    /// it is on record, and the change that puts the rest there.
    lifetime: u64,
    recorded_lifetime: u64,
    lifetime_change: u64,
    /// Streams that this instance began, also before its last start.
    own: IndexMap<Attempt, OwnStream>,
    /// Streams of other instances, by the keys of their records.
    learned: IndexMap<String, IndexMap<Attempt, Stream>>,
    /// Services and versions of streams on record, and the time until which the last caller waits.
    versions: IndexMap<(String, Option<Software>), Millis>,
    bases: IndexMap<String, Base>,
    changes: Changes,
    /// The record of this instance is to be written.
    is_unwritten: bool,
    /// Time that a write waits for its turn, in milliseconds.
    write_wait: u64,
}

/// Numbers of changes of the records.
#[derive(Debug, Default)]
struct Changes {
    made: u64,
    written: u64,
    /// Changes passed on to the writer: its number, the number here, and the time.
    submitted: VecDeque<(u64, u64, Millis)>,
}

impl Origins {
    /// What the instance `me` knows at its start. With `first_start`, there have been no streams before.
    pub fn new(me: &str, first_start: bool) -> Self {
        Self { me: me.to_owned(), first_start, ..Self::default() }
    }

    /// Takes a time for which a stream may last, the timeout of a route, in milliseconds. Only longer ones
    /// count, as earlier streams may still run. Streams whose callers wait longer are always recorded.
    pub fn add_timeout(&mut self, timeout: u64) {
        self.extend_lifetime(timeout.min(MAX_LIFETIME) + LIFETIME_MARGIN);
    }

    fn extend_lifetime(&mut self, lifetime: u64) {
        if lifetime > self.lifetime {
            self.lifetime = lifetime;
            self.lifetime_change = self.touch();
        }
    }

    /// Takes the software versions that are listed for a service. `informed` is true if the list is up to
    /// date at all instances.
    pub fn observe(
        &mut self,
        now: Millis,
        service: &str,
        listed: &IndexSet<Software>,
        informed: bool,
    ) {
        if listed.is_empty() {
            return;
        }
        let base = self.bases.entry(service.to_owned()).or_default();
        base.observe(now, listed, informed);
    }

    /// Sets the time until which the endpoint list of this instance may be relied on: later, other
    /// instances may have seen the base leave.
    pub fn rely_on_list(&mut self, until: Millis) {
        self.list_until = until;
    }

    /// True if the records have to be read before streams begin at the base, or before it changes.
    pub fn needs_read(&self, now: Millis) -> bool {
        let needs = |b: &Base| b.needs_read(now, self.lifetime, self.first_start);
        now >= self.whole_from && self.bases.values().any(needs)
    }

    /// Records that a read was asked for, and has this number.
    pub fn set_reading(&mut self, now: Millis, number: u64) {
        let (lifetime, first_start) = (self.lifetime, self.first_start);
        for base in self.bases.values_mut() {
            if base.needs_read(now, lifetime, first_start) {
                base.set_reading(number);
            }
        }
    }

    /// Records that the read with a number has ended and its records were learned; changes bases that
    /// are due.
    pub fn finish_read(&mut self, now: Millis, number: u64, ok: bool) {
        let (lifetime, first_start) = (self.lifetime, self.first_start);
        let whole = now >= self.whole_from && self.era.is_some();
        let mut due = Vec::new();
        for (service, base) in &mut self.bases {
            if base.finish_read(number, ok) && whole {
                due.extend(base.due(now, lifetime, first_start).map(|p| (service.clone(), p)));
            }
        }
        for (service, proposal) in due {
            tracing::info!(service, ?proposal, "origin: base version of a service changes");
            let change = self.touch();
            if let Some(base) = self.bases.get_mut(&service) {
                base.propose(proposal, change);
            }
        }
    }

    /// The version of a service at which streams begin without a record.
    pub fn base(&self, now: Millis, service: &str) -> Option<Software> {
        let base = self.bases.get(service)?;
        base.trusted().filter(|_| now >= self.whole_from && now < self.list_until)
    }

    /// The version of a service that began the streams that are on no record.
    fn unrecorded(&self, now: Millis, service: &str) -> Option<Software> {
        self.bases.get(service)?.software().filter(|_| now >= self.whole_from)
    }

    /// How streams of a service may begin now. `serves` tells whether a version has endpoints.
    pub fn begin(
        &self,
        now: Millis,
        service: &str,
        serves: impl FnOnce(Software) -> bool,
    ) -> Begin {
        if !self.is_write_late(now) && self.era.is_some() {
            return Begin::Any;
        }
        if let Some(base) = self.base(now, service).filter(|b| serves(*b)) {
            return Begin::Base(base);
        }
        if !self.is_write_lost(now) && self.era.is_some() {
            return Begin::Any;
        }
        let known = self.bases.get(service);
        if known.is_some_and(Base::is_listed) {
            return Begin::Refuse;
        }
        known.and_then(Base::candidate).map_or(Begin::Unrecorded, Begin::Base)
    }

    /// True if a stream may begin at a version without a record while nothing can be written: the base isn't
    /// listed, so one that is taken for a stream of the base finds no endpoint. The only exception is a
    /// version that may have become the base.
    fn may_begin_unrecorded(&self, service: &str, software: Software) -> bool {
        self.bases.get(service).is_none_or(|base| {
            !base.is_listed() && base.candidate().is_none_or(|only| only == software)
        })
    }

    /// Prepares an attempt that has brought no event to be sent to an endpoint with a software version.
    /// Its caller waits until `until`.
    pub fn prepare(
        &mut self,
        now: Millis,
        service: &str,
        attempt: &str,
        software: Software,
        until: Millis,
    ) -> Readiness {
        let attempt = Attempt::of(attempt);
        let is_long = until > now + self.recorded_lifetime;
        let recorded = is_long || self.base(now, service) != Some(software);
        let known = self.own.get(&attempt);
        let same =
            known.is_some_and(|o| o.stream.software == Some(software) && (o.recorded || !recorded));
        if !same {
            let was_recorded = known.is_some_and(|o| o.recorded);
            let until = until.saturating_add(LIFETIME_MARGIN).min(now + MAX_LIFETIME);
            let stream = Stream { software: Some(software), until };
            let change = if recorded || was_recorded { self.touch() } else { 0 };
            if recorded {
                self.note_version(service, stream);
            }
            let own = OwnStream { service: service.to_owned(), stream, recorded, change };
            self.own.insert(attempt, own);
            if was_recorded && self.is_write_lost(now) {
                return Readiness::Stuck;
            }
        }
        let change = self.own.get(&attempt).map_or(0, |o| o.change);
        if change <= self.changes.written {
            return Readiness::Ready;
        }
        if self.era.is_none() {
            // The base is almost certainly the only version.
            let alone = self.bases.get(service).is_some_and(Base::is_alone);
            return if alone { Readiness::Ready } else { Readiness::Wait };
        }
        if !self.is_write_lost(now) {
            return Readiness::Wait;
        }
        let may_begin = recorded && self.may_begin_unrecorded(service, software);
        if may_begin { Readiness::Ready } else { Readiness::Stuck }
    }

    /// True if an attempt was prepared and its record is being written.
    pub fn is_recording(&self, now: Millis, attempt: &str) -> bool {
        let own = self.own.get(&Attempt::of(attempt));
        let is_unwritten = own.is_some_and(|o| o.change > self.changes.written);
        is_unwritten && self.era.is_some() && !self.is_write_lost(now)
    }

    /// Puts a stream that goes on here on record, for as long as the caller of this attempt waits.
    pub fn adopt(
        &mut self,
        now: Millis,
        service: &str,
        attempt: &str,
        software: Software,
        until: Millis,
    ) {
        let until = until.saturating_add(LIFETIME_MARGIN).min(now + MAX_LIFETIME);
        let key = Attempt::of(attempt);
        if self.own.get(&key).is_some_and(|o| o.stream.until >= until) {
            return;
        }
        let recorded = self.base(now, service) != Some(software);
        let change = if recorded { self.touch() } else { 0 };
        let stream = Stream { software: Some(software), until };
        self.note_version(service, stream);
        self.own.insert(key, OwnStream { service: service.to_owned(), stream, recorded, change });
    }

    /// Marks the stream of an attempt as begun at a version that nobody knows: its endpoint has turned out
    /// to be another incarnation than the one that it was sent to.
    pub fn doubt(&mut self, attempt: &str) {
        if let Some(own) = self.own.get_mut(&Attempt::of(attempt)) {
            own.stream.software = None;
            own.recorded = true;
            let (service, stream) = (own.service.clone(), own.stream);
            self.note_version(&service, stream);
            self.touch();
        }
    }

    /// Notes the version of a stream on record.
    fn note_version(&mut self, service: &str, stream: Stream) {
        let until = self.versions.entry((service.to_owned(), stream.software)).or_default();
        *until = stream.until.max(*until);
    }

    /// True if a stream of a service that began at another version than `base`, or at one that nobody
    /// knows, is on record.
    fn has_other(&self, now: Millis, service: &str, base: Software) -> bool {
        self.versions.iter().any(|((name, software), until)| {
            name == service && *software != Some(base) && *until > now
        })
    }

    /// The version that began the stream of an attempt, if this instance began it.
    pub fn own(&self, now: Millis, attempt: &str) -> Option<Verdict> {
        let own = self.own.get(&Attempt::of(attempt)).map(|o| o.stream);
        let stream = own.filter(|s| s.until > now)?;
        Some(stream.software.map_or(Verdict::Unknown, Verdict::Began))
    }

    /// The version that began the stream of an attempt, according to the records.
    fn on_record(&self, now: Millis, attempt: &str) -> Option<Verdict> {
        let attempt = Attempt::of(attempt);
        let learned = self.learned.values().filter_map(|all| all.get(&attempt));
        let mut known = learned.filter(|s| s.until > now);
        let first = known.next()?.software;
        let agreed = first.filter(|_| known.all(|s| s.software == first));
        Some(agreed.map_or(Verdict::Unknown, Verdict::Began))
    }

    /// The version that began the stream of an attempt on a route to a service, after the records were
    /// read, which is true for `read`, or could not be read. Without an attempt, it began at the base if no
    /// stream of another version is on record. `current` is true if all instances have the same endpoint
    /// list.
    pub fn verdict(
        &self,
        now: Millis,
        service: &str,
        attempt: Option<&str>,
        read: bool,
        current: bool,
    ) -> Verdict {
        if let Some(own) = attempt.and_then(|a| self.own(now, a)) {
            return own;
        }
        if let Some(known) = attempt.filter(|_| read).and_then(|a| self.on_record(now, a)) {
            return known;
        }
        let base = self.unrecorded(now, service).filter(|_| read);
        let base = base.filter(|b| attempt.is_some() || !self.has_other(now, service, *b));
        let alone = self.bases.get(service).filter(|_| current);
        let alone = alone.and_then(|b| b.alone(now, self.lifetime));
        base.or(alone).map_or(Verdict::Unknown, Verdict::Began)
    }

    /// Takes a record that was read. Returns false if it can't be decoded.
    pub fn learn(&mut self, now: Millis, key: &str, value: &[u8]) -> bool {
        if !record::is_key(key) {
            return false;
        }
        let own = key == record::key_of(&self.me);
        let record = StreamsRecord::decode(value);
        let count = record.iter().flat_map(StreamsRecord::streams).take(MAX_LEARNED + 1).count();
        let Some(record) = record.filter(|_| count <= MAX_LEARNED) else {
            // A stream that is on no record that can be read may have begun anywhere.
            if self.malformed.insert((key.to_owned(), xxh3_64(value))) {
                self.whole_from = now + self.lifetime;
            }
            return false;
        };
        let lifetime = record.lifetime.min(MAX_LIFETIME + LIFETIME_MARGIN);
        self.recorded_lifetime = self.recorded_lifetime.max(lifetime);
        self.extend_lifetime(lifetime);
        if Some(record.era) == self.era {
            for (service, marker) in &record.bases {
                self.bases.entry(service.clone()).or_default().learn(now, marker);
            }
        }
        match own {
            true => self.learn_own(now, &record),
            false => self.learn_others(now, key, &record),
        }
        true
    }

    /// Takes the streams that this instance had on record before its last start.
    fn learn_own(&mut self, now: Millis, record: &StreamsRecord) {
        for (service, software, attempt, remaining) in record.streams() {
            let stream = Stream { software, until: now + remaining.min(MAX_LIFETIME) };
            self.note_version(service, stream);
            let service = service.to_owned();
            let old = OwnStream { service, stream, recorded: true, change: 0 };
            self.own.entry(attempt).or_insert(old);
        }
    }

    /// Takes the streams that another instance has on record now.
    fn learn_others(&mut self, now: Millis, key: &str, record: &StreamsRecord) {
        let mut streams = IndexMap::new();
        for (service, software, attempt, remaining) in record.streams() {
            let stream = Stream { software, until: now + remaining.min(MAX_LIFETIME) };
            self.note_version(service, stream);
            streams.insert(attempt, stream);
        }
        self.learned.insert(key.to_owned(), streams);
    }

    /// Takes the era of the platform whose records are being read, before they are learned. In a later
    /// era, records that were written lately may be lost: streams are written again, and bases forgotten.
    pub fn set_era(&mut self, now: Millis, era: u64) {
        if self.era.is_some_and(|before| before < era) {
            tracing::info!(era, "origin: records may be lost, the platform was restored");
            self.whole_from = now + self.lifetime;
            self.bases.values_mut().for_each(|b| b.forget(now));
            self.record_all();
            self.recorded_lifetime = 0;
            self.lifetime_change = self.touch();
        }
        self.era = self.era.max(Some(era));
    }

    /// Takes an era of the platform that was seen in other calls than reads of the records.
    pub fn note_era(&mut self, now: Millis, era: u64) {
        if self.era.is_some() {
            self.set_era(now, era);
        }
    }

    /// Puts all streams of this instance on record, also those at a base.
    fn record_all(&mut self) {
        let mut streams = Vec::new();
        for own in self.own.values_mut().filter(|o| !o.recorded) {
            own.recorded = true;
            streams.push((own.service.clone(), own.stream));
        }
        streams.into_iter().for_each(|(service, stream)| self.note_version(&service, stream));
    }

    fn touch(&mut self) -> u64 {
        self.is_unwritten = true;
        self.changes.made += 1;
        self.changes.made
    }

    /// True if something is to be written.
    pub fn has_writes(&self) -> bool {
        self.era.is_some() && self.is_unwritten
    }

    /// Key and value to write now; none before records were read.
    pub fn take_write(&mut self, now: Millis) -> Option<(String, Vec<u8>)> {
        if !self.has_writes() {
            return None;
        }
        self.is_unwritten = false;
        let record = codec::pack_positional(&self.streams_record(now));
        Some((record::key_of(&self.me), record))
    }

    /// The bases, and the streams of this instance that are to be on record.
    fn streams_record(&self, now: Millis) -> StreamsRecord {
        let bases = self.bases.iter();
        let mut record = StreamsRecord {
            era: self.era.unwrap_or_default(),
            lifetime: self.lifetime,
            bases: bases.filter_map(|(name, b)| Some((name.clone(), b.marker()?))).collect(),
            ..StreamsRecord::default()
        };
        for (attempt, own) in self.own.iter().filter(|(_, o)| o.recorded && o.stream.until > now) {
            let Stream { software, until } = own.stream;
            record.add(&own.service, software, *attempt, until - now);
        }
        record
    }

    /// Records that the changes so far were passed on to the writer, which gave them a number.
    pub fn set_submitted(&mut self, now: Millis, number: u64) {
        self.changes.submitted.push_back((number, self.changes.made, now));
    }

    /// Records that the writer's changes up to a number have been written.
    pub fn set_written(&mut self, now: Millis, number: u64) {
        self.take_written(number);
        let written = self.changes.written;
        self.bases.values_mut().for_each(|b| b.confirm(now, written));
    }

    fn take_written(&mut self, number: u64) {
        let submitted = &mut self.changes.submitted;
        while submitted.front().is_some_and(|(n, ..)| *n <= number)
            && let Some((_, made, _)) = submitted.pop_front()
        {
            self.changes.written = made;
        }
        if self.changes.written >= self.lifetime_change {
            self.recorded_lifetime = self.lifetime;
        }
    }

    /// Sets the time that a write waits for its turn at most, in milliseconds: it grows with the fleet.
    pub fn set_write_wait(&mut self, ms: u64) {
        self.write_wait = ms;
    }

    /// True if a write takes long: streams begin at the base as far as it serves.
    fn is_write_late(&self, now: Millis) -> bool {
        let first = self.changes.submitted.front();
        first.is_some_and(|(.., at)| at + WRITE_TIMEOUT <= now)
    }

    /// True if streams can't be recorded now.
    fn is_write_lost(&self, now: Millis) -> bool {
        let first = self.changes.submitted.front();
        first.is_some_and(|(.., at)| at + self.write_wait + WRITE_TIMEOUT <= now)
    }

    /// Forgets streams whose callers don't wait any more.
    pub fn expire(&mut self, now: Millis) {
        self.own.retain(|_, own| own.stream.until > now);
        self.learned.values_mut().for_each(|all| all.retain(|_, stream| stream.until > now));
        self.versions.retain(|_, until| *until > now);
    }

    /// Numbers of streams that are kept: own ones and others'.
    pub fn counts(&self) -> (usize, usize) {
        (self.own.len(), self.learned.values().map(IndexMap::len).sum())
    }
}
