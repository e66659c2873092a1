//! Where resumable streams began: a stream goes on only at the software version of its service that
//! began it, since what two versions write doesn't fit together.
//!
//! Each service has a base version: the last one that alone has served for longer than a stream can
//! last. It is on record in the platform, as are the streams that begin at other versions, each before
//! its request is sent. So a stream that is on no record began at the base. While the base is unknown,
//! all streams are recorded, and those that are on no record are not resumed.

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
use record::Key;

/// Longest time for which a stream may be resumed, in milliseconds, whatever its caller states.
pub const MAX_LIFETIME: u64 = 600_000;
/// Time added to the longest timeout of a route, in milliseconds, for requests under way.
const LIFETIME_MARGIN: u64 = 1_000;
/// Time after which a write that isn't acknowledged shows that streams can't be recorded now, in
/// milliseconds.
pub const WRITE_TIMEOUT: u64 = 400;
/// Maximum streams of another instance that are kept.
const MAX_LEARNED: usize = 100_000;

/// A software version of a service, as a hash of both names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Software(u64);

impl Software {
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
    /// At the base only, which needs no record.
    Base(Software),
    /// At any version, without a record: the base has no endpoint.
    Unrecorded,
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
    /// Era of the platform whose records were read; `None` before that.
    era: Option<u64>,
    /// Time from which records that a restored platform has lost don't matter any more.
    whole_from: Millis,
    /// Time for which a stream may last, in milliseconds.
    lifetime: u64,
    /// Streams that this instance began, also before its last start.
    own: IndexMap<Attempt, OwnStream>,
    /// Streams of other instances, by the keys of their records.
    learned: IndexMap<String, IndexMap<Attempt, Stream>>,
    bases: IndexMap<String, Base>,
    changes: Changes,
    /// Keys that are to be written.
    unwritten: IndexSet<Key>,
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

    /// Takes a time for which a stream may last: the timeout of a route, or the time that a caller
    /// waits; in milliseconds. Only longer ones count, as earlier streams may still run.
    pub fn extend_lifetime(&mut self, timeout: u64) {
        let lifetime = timeout.min(MAX_LIFETIME) + LIFETIME_MARGIN;
        self.lifetime = self.lifetime.max(lifetime);
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
        let (lifetime, first_start) = (self.lifetime, self.first_start);
        let base = self.bases.entry(service.to_owned()).or_default();
        base.observe(now, listed, informed);
        let first = first_start && !base.is_recorded();
        let Some(successor) = base.successor(now, lifetime, first) else { return };
        if self.era.is_none() {
            return;
        }
        tracing::info!(service, ?successor, "origin: a service has a new base version");
        let change = self.touch(Key::Service(service.to_owned()));
        if let Some(base) = self.bases.get_mut(service) {
            base.propose(successor, change);
        }
    }

    /// True if the record of a service has to be read before its base is known again.
    pub fn needs_read(&self) -> bool {
        self.bases.values().any(Base::needs_read)
    }

    /// The version of a service at which streams begin without a record.
    pub fn base(&self, now: Millis, service: &str) -> Option<Software> {
        let base = self.bases.get(service)?;
        base.trusted().filter(|_| now >= self.whole_from)
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
        match self.base(now, service).filter(|v| serves(*v)) {
            Some(base) => Begin::Base(base),
            None => Begin::Unrecorded,
        }
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
        let recorded = self.base(now, service) != Some(software);
        let known = self.own.get(&attempt);
        let same =
            known.is_some_and(|o| o.stream.software == Some(software) && o.recorded == recorded);
        if !same {
            let was_recorded = known.is_some_and(|o| o.recorded);
            let until = until.saturating_add(LIFETIME_MARGIN).min(now + MAX_LIFETIME);
            let stream = Stream { software: Some(software), until };
            let change = if recorded || was_recorded { self.touch(Key::Instance) } else { 0 };
            let own = OwnStream { service: service.to_owned(), stream, recorded, change };
            self.own.insert(attempt, own);
            if was_recorded && self.is_write_late(now) {
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
        if !self.is_write_late(now) {
            return Readiness::Wait;
        }
        match self.base(now, service) {
            // Without a base, a stream that is on no record isn't resumed anyway.
            None => Readiness::Ready,
            Some(_) if recorded => Readiness::Ready,
            Some(_) => Readiness::Stuck,
        }
    }

    /// Forgets an attempt whose stream is complete.
    pub fn end(&mut self, attempt: &str) {
        self.own.shift_remove(&Attempt::of(attempt));
    }

    /// Marks the stream of an attempt as begun at a version that nobody knows: its endpoint has turned out
    /// to be another incarnation than the one that it was sent to.
    pub fn doubt(&mut self, attempt: &str) {
        if let Some(own) = self.own.get_mut(&Attempt::of(attempt)) {
            own.stream.software = None;
            own.recorded = true;
            self.touch(Key::Instance);
        }
    }

    /// The version that began the stream of an attempt on a route to a service, if that is known here.
    pub fn known(&self, now: Millis, attempt: &str) -> Option<Verdict> {
        let attempt = Attempt::of(attempt);
        let own = self.own.get(&attempt).map(|o| o.stream);
        let learned = self.learned.values().filter_map(|all| all.get(&attempt).copied());
        let mut known = own.into_iter().chain(learned).filter(|s| s.until > now);
        let first = known.next()?.software;
        let agreed = first.filter(|_| known.all(|s| s.software == first));
        Some(agreed.map_or(Verdict::Unknown, Verdict::Began))
    }

    /// The version that began the stream of an attempt on a route to a service, after the records were
    /// read, which is true for `read`, or could not be read. `current` is true if no instance knows a newer
    /// endpoint list.
    pub fn verdict(
        &self,
        now: Millis,
        service: &str,
        attempt: Option<&str>,
        read: bool,
        current: bool,
    ) -> Verdict {
        if let Some(known) = attempt.and_then(|a| self.known(now, a)) {
            return known;
        }
        let base = self.base(now, service).filter(|_| read && attempt.is_some());
        let alone = self.bases.get(service).filter(|_| current);
        let alone = alone.and_then(|b| b.alone(now, self.lifetime));
        base.or(alone).map_or(Verdict::Unknown, Verdict::Began)
    }

    /// Takes a record that was read. Returns false if it can't be decoded.
    pub fn learn(&mut self, now: Millis, key: &str, value: &[u8]) -> bool {
        match Key::parse(key, &self.me) {
            Some(Key::Service(name)) => self.learn_marker(&name, value),
            Some(Key::Instance) => self.learn_own(now, value),
            Some(Key::Other) => self.learn_others(now, key, value),
            None => false,
        }
    }

    fn learn_marker(&mut self, service: &str, value: &[u8]) -> bool {
        if value.is_empty() {
            return true;
        }
        let Ok(marker) = codec::unpack::<Marker>(value) else { return false };
        let software = marker.base.filter(|_| Some(marker.era) == self.era);
        self.bases.entry(service.to_owned()).or_default().learn(software);
        true
    }

    /// Takes the streams that this instance had on record before its last start.
    fn learn_own(&mut self, now: Millis, value: &[u8]) -> bool {
        let Some(record) = StreamsRecord::decode(value) else { return false };
        for (service, software, attempt, remaining) in record.streams() {
            let stream = Stream { software, until: now + remaining.min(MAX_LIFETIME) };
            let service = service.to_owned();
            let old = OwnStream { service, stream, recorded: true, change: 0 };
            self.own.entry(attempt).or_insert(old);
        }
        true
    }

    /// Takes the streams that another instance has on record now. If they can't be kept, a stream that is
    /// on no record here may have begun anywhere.
    fn learn_others(&mut self, now: Millis, key: &str, value: &[u8]) -> bool {
        let record = StreamsRecord::decode(value);
        let all = record.iter().flat_map(StreamsRecord::streams);
        let streams: IndexMap<Attempt, Stream> = all
            .take(MAX_LEARNED + 1)
            .map(|(_, software, attempt, remaining)| {
                (attempt, Stream { software, until: now + remaining.min(MAX_LIFETIME) })
            })
            .collect();
        if record.is_none() || streams.len() > MAX_LEARNED {
            self.whole_from = now + self.lifetime;
            return false;
        }
        self.learned.insert(key.to_owned(), streams);
        true
    }

    /// Takes the era of the platform whose records are being read, before they are learned. In a later
    /// era, records that were written lately may be lost: what is known here is written again.
    pub fn set_era(&mut self, now: Millis, era: u64) {
        if self.era.is_some_and(|before| before != era) {
            tracing::info!(era, "origin: records may be lost, the platform was restored");
            self.whole_from = now + self.lifetime;
            let services: Vec<String> = self.bases.keys().cloned().collect();
            services.into_iter().for_each(|name| _ = self.touch(Key::Service(name)));
            self.touch(Key::Instance);
        }
        self.era = Some(era);
    }

    /// Records that all records made before have been read.
    pub fn set_read(&mut self) {
        self.bases.values_mut().for_each(Base::set_read);
    }

    fn touch(&mut self, key: Key) -> u64 {
        self.unwritten.insert(key);
        self.changes.made += 1;
        self.changes.made
    }

    /// True if something is to be written.
    pub fn has_writes(&self) -> bool {
        self.era.is_some() && !self.unwritten.is_empty()
    }

    /// Keys and values to write now; none before records were read. Bases are held back while a restored
    /// platform may have lost records.
    pub fn take_writes(&mut self, now: Millis) -> Vec<(String, Vec<u8>)> {
        if self.era.is_none() || self.unwritten.is_empty() {
            return Vec::new();
        }
        let whole = now >= self.whole_from;
        let keys: Vec<Key> =
            self.unwritten.extract_if(.., |k| whole || *k == Key::Instance).collect();
        keys.iter().map(|key| (key.name(&self.me), self.value(now, key))).collect()
    }

    fn value(&self, now: Millis, key: &Key) -> Vec<u8> {
        match key {
            Key::Service(name) => {
                let base = self.bases.get(name).and_then(Base::to_record);
                let era = self.era.unwrap_or_default();
                codec::pack_positional(&Marker { base, era })
            }
            Key::Instance | Key::Other => codec::pack_positional(&self.streams_record(now)),
        }
    }

    /// The streams of this instance that are to be on record.
    fn streams_record(&self, now: Millis) -> StreamsRecord {
        let mut record = StreamsRecord::default();
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
    pub fn set_written(&mut self, number: u64) {
        self.take_written(number);
        let written = self.changes.written;
        self.bases.values_mut().for_each(|b| b.confirm(written));
    }

    fn take_written(&mut self, number: u64) {
        let submitted = &mut self.changes.submitted;
        while submitted.front().is_some_and(|(n, ..)| *n <= number)
            && let Some((_, made, _)) = submitted.pop_front()
        {
            self.changes.written = made;
        }
    }

    /// True if streams can't be recorded now.
    fn is_write_late(&self, now: Millis) -> bool {
        let first = self.changes.submitted.front();
        first.is_some_and(|(.., at)| at + WRITE_TIMEOUT <= now)
    }

    /// Time at which it shows that streams can't be recorded, if writes are under way.
    pub fn write_deadline(&self) -> Option<Millis> {
        self.changes.submitted.front().map(|(.., at)| at + WRITE_TIMEOUT)
    }

    /// Forgets streams whose callers don't wait any more.
    pub fn expire(&mut self, now: Millis) {
        self.own.retain(|_, own| own.stream.until > now);
        self.learned.values_mut().for_each(|all| all.retain(|_, stream| stream.until > now));
        self.learned.retain(|_, all| !all.is_empty());
    }

    /// Numbers of streams that are kept: own ones and others'.
    pub fn counts(&self) -> (usize, usize) {
        (self.own.len(), self.learned.values().map(IndexMap::len).sum())
    }
}
