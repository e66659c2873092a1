//! State of one endpoint: its load, its failures and the prompt segments that it has cached.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::Requirements;
use super::capacity::{Capacity, Learned};
use crate::adapter::clock::Millis;
use crate::mechanism::{self, Mechanism};
use crate::policy::origin::Software;

/// Maximum shared prompt segments tracked per endpoint.
const MAX_CACHED_SEGMENTS: usize = 256;
/// Time after its last use for which a segment is assumed to be cached.
const CACHE_TTL_MS: u64 = 20_000;
/// Weight of a new outcome in the moving average of the failure rate.
const GAIN: f64 = 0.15;
/// Failure rate at which an endpoint is ejected.
const EJECT_RATE: f64 = 0.4;
/// Duration of the first ejection; it doubles with each further one up to [`MAX_EJECT_MS`].
const MIN_EJECT_MS: u64 = 500;
/// Maximum duration of an ejection.
const MAX_EJECT_MS: u64 = 4_000;
/// Time for which an endpoint that says it is leaving is still used where no other is left.
const LEAVING_USE_MS: u64 = 1_000;
/// Time in which an endpoint's report of its load fades.
const REPORT_FADE_MS: u64 = 1_000;
/// Maximum pause that an endpoint may ask for.
const MAX_PAUSE_MS: u64 = 120_000;

/// Work placed on an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests in flight.
    #[serde(rename = "r")]
    pub running: u32,
    /// Uncached prompt tokens of requests that have had no first event yet.
    #[serde(rename = "p")]
    pub prefill: u32,
    /// KV cache that the requests are expected to claim, in tokens.
    #[serde(rename = "m")]
    pub memory: u32,
    /// Requests in flight that have a tight target gap.
    #[serde(rename = "t")]
    pub tight: u32,
}

impl Load {
    /// Adds another load.
    pub fn add(&mut self, other: Self) {
        self.running += other.running;
        self.prefill += other.prefill;
        self.memory += other.memory;
        self.tight += other.tight;
    }

    /// Subtracts another load; each figure stops at 0.
    pub fn sub(&mut self, other: Self) {
        self.running = self.running.saturating_sub(other.running);
        self.prefill = self.prefill.saturating_sub(other.prefill);
        self.memory = self.memory.saturating_sub(other.memory);
        self.tight = self.tight.saturating_sub(other.tight);
    }
}

/// Prompt tokens of a request that an endpoint doesn't have cached and has to compute.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Uncached {
    /// Tokens in segments that other requests share.
    pub shared: u32,
    /// Tokens in the request's own segment.
    pub own: u32,
}

impl Uncached {
    /// Sum of the shared and own tokens.
    pub fn total(self) -> u32 {
        self.shared + self.own
    }
}

/// Entry of an endpoint in the endpoint list of the platform.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Listing {
    /// Id of the endpoint, usually a new one for each incarnation.
    pub id: String,
    /// Name of the service that it belongs to.
    pub service: String,
    /// Address, as IP:PORT.
    pub addr: String,
    /// Failure domain.
    pub domain: String,
    /// Number of requests that it runs at once.
    pub slots: u32,
    /// True when it must not get new work.
    pub leaving: bool,
    /// True if it is reclaimable: it may leave at any time, with others of its failure domain.
    pub reclaimable: bool,
    /// Time left when its entry was written, in milliseconds, if it is leaving and says so.
    pub leaves_in: Option<u64>,
    /// Start time in milliseconds, which tells incarnations with the same id apart; 0 if unknown.
    pub started_at: u64,
    /// Version of its software.
    pub version: String,
}

impl Listing {
    /// Name of the incarnation: id and start time.
    pub fn incarnation(&self) -> String {
        format!("{}/{}", self.id, self.started_at)
    }

    /// Its software version within the service.
    pub fn software(&self) -> Software {
        Software::of(&self.service, &self.version)
    }

    /// True if another listing is of the same incarnation.
    pub fn is_same(&self, other: &Self) -> bool {
        self.id == other.id
            && self.started_at == other.started_at
            && self.version == other.version
            && self.service == other.service
    }
}

/// What is known of an incarnation for good or for a stated time, whether it is listed or not.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Notices {
    /// True when another incarnation has answered at its address.
    stale: bool,
    /// Time of its first response that said it is leaving.
    leaving_since: Option<Millis>,
    /// Time until which it wants no requests.
    paused_until: Millis,
}

/// An endpoint as one instance sees it.
#[derive(Debug, Default)]
pub struct Endpoint {
    /// Its entry in the endpoint list.
    pub listing: Listing,
    /// Load placed by this instance.
    pub own: Load,
    /// Load of requests that this instance will send once their record is written.
    reserved: Load,
    /// Load placed by the other instances.
    pub peers: Load,
    /// What the times of its responses have shown.
    pub learned: Learned,
    /// Hash of the endpoint's id.
    id_hash: u64,
    /// Hash of its incarnation, for messages.
    key: u32,
    /// Version of its software; `None` only by default.
    software: Option<Software>,
    /// Running and waiting requests as last reported by the endpoint itself, and when.
    reported: (u32, Millis),
    notices: Notices,
    /// Time at which it will have left, if its entry says so.
    gone_at: Option<Millis>,
    /// Moving average of failures, 0 to 1.
    failure_rate: f64,
    /// Ejections since the last success.
    ejections: u32,
    ejected_until: Millis,
    /// Prompt segments assumed to be cached, with the time of their last use, oldest first.
    cached: IndexMap<u64, Millis>,
}

impl Endpoint {
    /// Creates an endpoint that has no load yet.
    pub fn new(listing: Listing) -> Self {
        let id_hash = xxh3_64(listing.id.as_bytes());
        let key = xxh3_64(listing.incarnation().as_bytes()) as u32;
        let software = Some(listing.software());
        Self { id_hash, key, software, listing, ..Self::default() }
    }

    /// Creates an endpoint of which something is known already.
    pub fn with_notices(listing: Listing, notices: Notices) -> Self {
        Self { notices, ..Self::new(listing) }
    }

    /// What is known of its incarnation; `None` if that is nothing.
    pub fn notices(&self) -> Option<Notices> {
        (self.notices != Notices::default()).then_some(self.notices)
    }

    /// Hash of the endpoint's id.
    pub fn id_hash(&self) -> u64 {
        self.id_hash
    }

    /// Hash of its incarnation, for messages.
    pub fn key(&self) -> u32 {
        self.key
    }

    /// Version of its software.
    pub fn software(&self) -> Option<Software> {
        self.software
    }

    /// What it takes, compared with a typical endpoint of its service.
    pub fn capacity(&self) -> Capacity {
        self.learned.capacity
    }

    /// Requests in flight as the fleet has placed them or, if that is more, as the endpoint itself
    /// has reported.
    pub fn concurrency(&self, now: Millis) -> f64 {
        f64::from(self.total().running).max(self.reported(now))
    }

    /// Load placed by the whole fleet, and what is reserved here.
    pub fn total(&self) -> Load {
        let mut total = self.own;
        total.add(self.peers);
        total.add(self.reserved);
        total
    }

    /// Reserves room for a load.
    pub fn reserve(&mut self, load: Load) {
        self.reserved.add(load);
    }

    /// Gives back reserved room.
    pub fn unreserve(&mut self, load: Load) {
        self.reserved.sub(load);
    }

    /// Gives back all reserved room.
    pub fn clear_reserved(&mut self) {
        self.reserved = Load::default();
    }

    /// Running and waiting requests as last reported by the endpoint itself. The report fades, since
    /// the requests in it end and only a further response brings another.
    pub fn reported(&self, now: Millis) -> f64 {
        let (requests, at) = self.reported;
        let age = now.saturating_sub(at).min(REPORT_FADE_MS);
        f64::from(requests) * (1.0 - age as f64 / REPORT_FADE_MS as f64)
    }

    /// Stores the endpoint's own report of running and waiting requests.
    pub fn report(&mut self, now: Millis, running: u32, waiting: u32) {
        self.reported = (running.saturating_add(waiting), now);
    }

    /// Takes the time left from its entry, which was received now if it is new.
    pub fn note_leaving(&mut self, now: Millis) {
        match self.listing.leaves_in.filter(|_| self.listing.leaving) {
            Some(left) => _ = self.gone_at.get_or_insert(now.saturating_add(left)),
            None => self.gone_at = None,
        }
    }

    /// Time until it will have left, in milliseconds, if its entry says so.
    pub fn leaves_in(&self, now: Millis) -> Option<u64> {
        self.gone_at.map(|at| at.saturating_sub(now))
    }

    /// True unless it is leaving or stale.
    pub fn accepts_work(&self) -> bool {
        !self.listing.leaving && !self.notices.stale && !self.says_leaving()
    }

    fn says_leaving(&self) -> bool {
        self.notices.leaving_since.is_some() && mechanism::on(Mechanism::Leavers)
    }

    /// True if it says that it is leaving, and may be used a little longer where no other is left.
    pub fn may_be_last(&self, now: Millis) -> bool {
        let since = self.notices.leaving_since;
        let recent = since.is_some_and(|at| now < at + LEAVING_USE_MS);
        recent && !self.listing.leaving && !self.notices.stale
    }

    /// Records that a response of this incarnation says that it is leaving. Returns true for the
    /// first one.
    pub fn mark_leaving(&mut self, now: Millis) -> bool {
        let first = self.notices.leaving_since.is_none();
        self.notices.leaving_since.get_or_insert(now);
        first
    }

    /// True while it wants no requests.
    pub fn is_paused(&self, now: Millis) -> bool {
        now < self.notices.paused_until && mechanism::on(Mechanism::Pauses)
    }

    /// Sends it no requests for `ms` milliseconds, at most [`MAX_PAUSE_MS`]. Returns the end of the
    /// pause.
    pub fn pause(&mut self, now: Millis, ms: u64) -> Millis {
        let until = &mut self.notices.paused_until;
        *until = (*until).max(now + ms.min(MAX_PAUSE_MS));
        *until
    }

    /// True unless it is ejected.
    pub fn is_healthy(&self, now: Millis) -> bool {
        self.ejected_until <= now
    }

    /// Excludes the endpoint, because another incarnation has answered at its address.
    pub fn mark_stale(&mut self) {
        self.notices.stale = true;
    }

    /// Records an answered request, which ends an ejection.
    pub fn record_success(&mut self) {
        self.failure_rate -= GAIN * self.failure_rate;
        self.ejections = 0;
        self.ejected_until = 0;
    }

    /// Records a failed request. Returns true if that ejects the endpoint. A `hard` failure ejects
    /// it at once, and its cached segments are taken to be lost.
    pub fn record_failure(&mut self, now: Millis, hard: bool) -> bool {
        self.failure_rate += GAIN * (1.0 - self.failure_rate);
        if !hard && self.failure_rate < EJECT_RATE {
            return false;
        }
        let duration = (MIN_EJECT_MS << self.ejections.min(4)).min(MAX_EJECT_MS);
        self.ejections += 1;
        self.ejected_until = now + duration;
        self.failure_rate *= 0.5;
        if hard {
            self.cached.clear();
        }
        true
    }

    /// Prompt tokens of a request that are not cached. Only the leading shared segments can be
    /// cached: after the first uncached one, all count as uncached.
    pub fn uncached(&self, now: Millis, needs: &Requirements) -> Uncached {
        let is_cached = |id: &u64| self.cached.get(id).is_some_and(|at| at + CACHE_TTL_MS > now);
        let shared = needs.shared();
        let cached: u32 = shared.iter().take_while(|(id, _)| is_cached(id)).map(|(_, t)| *t).sum();
        let all: u32 = shared.iter().map(|(_, t)| *t).sum();
        Uncached { shared: all - cached, own: needs.prompt.saturating_sub(all) }
    }

    /// Records that the endpoint has prompt segments cached as of now.
    pub fn mark_cached(&mut self, now: Millis, segments: impl Iterator<Item = u64>) {
        for id in segments {
            self.cached.shift_remove(&id);
            self.cached.insert(id, now);
        }
        while self.cached.len() > MAX_CACHED_SEGMENTS {
            self.cached.shift_remove_index(0);
        }
    }
}
