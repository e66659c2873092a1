//! Placement: chooses the endpoint of a service that serves a request, or finds that none has
//! capacity.
//!
//! It is designed for these load patterns: bursts of long prompts that fill engines with prefill
//! work; bursts of short streams whose target gap would be missed because of the prefill of other
//! requests in the batch; prompt prefixes that many requests share and that are best computed
//! once; the loss of a quarter of the engines at once.

mod backlog;
mod capacity;
mod endpoint;
mod reserve;
mod speed;

pub use backlog::{Group, Misses, Queued, send_order};
pub use capacity::{
    Capacity, Curve, Evidence, Learned, MAX_SHARED, Noise, Observed, Shared, pack_all,
};
pub use endpoint::{Endpoint, Listing, Load, Notices, Uncached};
pub use speed::{Samples, Speed};

use std::collections::VecDeque;

use indexmap::{IndexMap, IndexSet};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::adapter::clock::Millis;
use crate::mechanism::{self, Mechanism};
use crate::policy::limit::{Change, Limits, Report};
use crate::policy::origin::Software;

/// Maximum predicted time until the first event on an engine that has prompts pending, as a fraction
/// of the request's target. What waits here instead goes to the first engine with room.
const FIRST_FRACTION: f64 = 0.5;
/// The same for a request that can't meet its target any more: it is served late rather than
/// refused.
const LATE_FRACTION: f64 = 1.0;
/// Target time to the first event of a request whose route has none, in milliseconds.
const DEFAULT_TARGET_MS: f64 = 1_000.0;
/// Fraction of a batch that is filled normally; a fuller batch decodes too slowly.
const BATCH_FRACTION: f64 = 0.85;
/// Maximum fraction of a batch even for the most urgent priority: in a full batch, requests would
/// preempt each other.
const MAX_BATCH_FRACTION: f64 = 0.9;
/// Fraction of an engine's KV cache that requests may claim; the rest holds shared prompt segments.
const MEMORY_FRACTION: f64 = 0.8;
/// Cost of each running request, in prompt tokens: it makes every step slightly slower.
const RUNNING_COST: f64 = 120.0;
/// Cost of an endpoint in another failure domain, in requests (plain services only).
const REMOTE_COST: f64 = 0.4;
/// Maximum requests per slot at an endpoint of a plain service; further requests wait.
const PLAIN_DEPTH: f64 = 2.0;
/// Planned number of tight streams per engine of the tight partition, as a fraction of its batch.
const TIGHT_FILL: f64 = 0.55;
/// Minimum and maximum fraction of the engines in the tight partition.
const TIGHT_SHARE: (f64, f64) = (0.25, 0.8);
/// Cost per token of computing a shared segment on one more engine: the work is done twice, and the
/// segment takes memory twice.
const RECOMPUTE_COST: f64 = 6.0;
/// Discount for the home endpoint of the shared segments, in prompt tokens: it decides while no
/// endpoint has them cached.
const HOME_DISCOUNT: f64 = 400.0;
/// Time for which a request waits for an engine that has its shared segments cached, in times that
/// another engine would take to recompute them.
const PATIENCE: f64 = 4.0;
/// Maximum of that time, as a fraction of the request's target.
const MAX_PATIENCE_FRACTION: f64 = 0.25;
/// Maximum prompt tokens that an engine processes in one step.
const STEP_TOKENS: u32 = 2_048;
/// Maximum prompt tokens pending prefill on an engine of the tight partition when it takes an
/// overflow request, that is, one without a tight gap: they are processed between two events.
const OVERFLOW_LIMIT: u32 = 3 * STEP_TOKENS;
/// Factors on the batch and prefill limits for requests of the priorities 0, 1, and 2 or higher, so
/// that capacity stays free for more urgent requests.
const PRIORITY_FACTORS: [f64; 3] = [1.2, 1.0, 0.8];

/// Maximum random part of a cost, in requests, so that instances with the same view don't all send to
/// the same endpoint.
const SPREAD: f64 = 0.5;
/// Further random part at an age of views of [`SPREAD_AGE_MS`] or more, as a multiple of the mean number
/// of requests that other instances have placed on an endpoint; less in proportion for newer views.
const PEER_SPREAD: f64 = 3.0;
/// Age of views at which they say little of where the least load is.
const SPREAD_AGE_MS: f64 = 200.0;
/// Maximum random part for a request with shared segments, in requests: it must not outweigh their home.
const MAX_HOME_SPREAD: f64 = 0.9 * HOME_DISCOUNT / RUNNING_COST;
/// Maximum samples of the pace that wait for a view of the concurrency; further ones are dropped.
const MAX_PENDING: usize = 1_024;
/// Minimum interval between two updates of the endpoints' capacities, in milliseconds.
const REFRESH_MS: u64 = 20;
/// Endpoints of a service that are updated in a millisecond at most, which bounds the cost in large
/// services.
const REFRESH_ENDPOINTS: u64 = 10;

/// Maximum incarnations that are remembered after they have left the list.
const MAX_UNLISTED: usize = 512;

/// A request with more uncached prompt tokens than this is sent to a busy endpoint only during its
/// instance's turn.
const TURN_MIN_TOKENS: u32 = 2 * STEP_TOKENS;
/// Length of an instance's turn to send queued work to an endpoint: about the time that the load
/// update takes to reach the other instances.
const TURN_MS: u64 = 40;

/// What a request needs of an endpoint.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Requirements {
    /// Segments of its prompt in order: hash and number of tokens.
    pub segments: Vec<(u64, u32)>,
    /// Prompt tokens in total.
    pub prompt: u32,
    /// Expected output tokens.
    pub output: u32,
    /// Target time to the first event, in milliseconds; 0 for none.
    pub target: u64,
    /// Target gap: longest pause allowed between events, in milliseconds; 0 for none.
    pub gap: u64,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Time since its arrival, in milliseconds.
    pub waited: u64,
    /// Endpoints that must not be chosen.
    pub avoid: Vec<String>,
    /// The only software version that may be chosen, if there is one.
    pub software: Option<Software>,
}

impl Requirements {
    /// Segments that may be shared with other requests: all but the last.
    pub fn shared(&self) -> &[(u64, u32)] {
        &self.segments[..self.segments.len().saturating_sub(1)]
    }

    /// Target time to the first event, in milliseconds.
    fn target(&self) -> f64 {
        if self.target > 0 { self.target as f64 } else { DEFAULT_TARGET_MS }
    }

    fn priority_factor(&self) -> f64 {
        PRIORITY_FACTORS[usize::from(self.priority).min(PRIORITY_FACTORS.len() - 1)]
    }
}

/// Engine capacity and target gaps of a service.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Profile {
    /// Maximum requests that one engine runs at once; 0 for a plain service.
    pub batch: u32,
    /// KV cache capacity of one engine, in tokens.
    pub memory: u32,
    /// Tightest and loosest target gap, in milliseconds.
    pub gaps: (u64, u64),
}

impl Profile {
    fn is_partitioned(&self) -> bool {
        self.batch > 0 && self.gaps.0 > 0 && !self.is_near_tightest(self.gaps.1)
    }

    /// True if requests with this target gap go to the tight partition.
    pub fn is_tight(&self, gap: u64) -> bool {
        self.is_partitioned() && gap > 0 && self.is_near_tightest(gap)
    }

    /// True for a target gap of at most 1.25 times the tightest.
    fn is_near_tightest(&self, gap: u64) -> bool {
        gap * 4 <= self.gaps.0 * 5
    }
}

closed! {
    /// Why an endpoint doesn't take a request now, in the order in which it is checked.
    pub enum Block {
        /// The request still waits for an endpoint that has its shared segments cached.
        Patience,
        /// Its shared segments would be recomputed while other prompts are pending.
        Recompute,
        /// Too much prefill for the tight partition.
        Overflow,
        /// The endpoint takes no more requests at present, by the limit that it names.
        Limit,
        /// It is another instance's turn.
        Turn,
        /// The batch is full.
        Batch,
        /// A slow endpoint would miss the target gap.
        Slow,
        /// Too much prefill is pending.
        Prefill,
        /// The KV cache is full.
        Memory,
    }
}

impl Block {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Patience => "patience",
            Self::Recompute => "recompute",
            Self::Overflow => "overflow",
            Self::Limit => "limit",
            Self::Turn => "turn",
            Self::Batch => "batch",
            Self::Slow => "slow",
            Self::Prefill => "prefill",
            Self::Memory => "memory",
        }
    }
}

/// Result of [`Balancer::choose`].
#[derive(Debug, Clone, PartialEq)]
pub enum Choice {
    /// Id of the endpoint that takes the request, and its load at the time of the choice.
    Chosen(String, Load),
    /// No eligible endpoint takes the request now: the lowest load among them, and why the one that
    /// passed the most checks doesn't.
    Full(Load, Block),
    /// No endpoint is eligible.
    NoEndpoint,
}

/// A request placed on an endpoint; its load is removed by [`Balancer::end`].
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// Id of the endpoint.
    pub endpoint: String,
    /// Load that the request adds to the endpoint.
    pub load: Load,
    /// Prompt tokens not cached at the endpoint when the request was sent, as far as known.
    pub uncached: Uncached,
    /// Time of the send.
    pub sent_at: Millis,
    /// Prompt tokens that the endpoint had to compute until the first event, as far as known.
    pub work: u32,
    /// Predicted time until the first event, in milliseconds.
    pub predicted: u64,
}

/// The endpoints of one service as one instance sees them.
#[derive(Debug, Default)]
pub struct Balancer {
    /// Engine capacity and target gaps.
    pub profile: Profile,
    /// Limits that the endpoints have named.
    pub limits: Limits,
    domain: String,
    endpoints: IndexMap<String, Endpoint>,
    /// What is known of incarnations that are not listed now, oldest first: one may be listed again.
    unlisted: IndexMap<String, Notices>,
    /// Keys of the endpoints' incarnations.
    keys: IndexSet<u32>,
    /// Indices of the endpoints, sorted by the hash of their ids: the same order on every instance.
    order: Vec<usize>,
    /// Number of endpoints in the tight partition.
    tight_count: usize,
    /// Requests with a tight gap that wait in the whole fleet.
    tight_waiting: u32,
    /// What requests of this instance, and of the others, have shown of the engines' speed.
    samples: (Samples, Samples),
    speed: Speed,
    /// Gaps or whole responses by concurrency, of requests of this instance and of the others.
    curves: (Curve, Curve),
    /// Gaps or whole responses whose concurrency the views don't show yet: time, incarnation,
    /// endpoint and milliseconds.
    pending: VecDeque<(Millis, u32, String, f64)>,
    /// Typical age of the load placed by peers, in milliseconds.
    view_age: Millis,
    /// Noise of first events, and of gaps or whole responses.
    noise: (Noise, Noise),
    /// Time of the last update of the endpoints' capacities.
    refreshed_at: Millis,
    /// Maximum random part of the cost of an endpoint, in requests.
    spread: f64,
    /// Number of choices made, for the random part of costs.
    choices: u64,
    /// Number of this instance, and the numbers of all instances that have queued work.
    turns: (u64, Vec<u64>),
    /// Fraction of the endpoints' limits that the current choice leaves free.
    reserve: f64,
}

impl Balancer {
    /// Creates a service as seen by an instance in the failure domain `domain`.
    pub fn new(domain: &str) -> Self {
        Self { domain: domain.to_owned(), ..Self::default() }
    }

    /// Applies the endpoint list. Endpoints that are not listed are dropped, but what they have said
    /// of themselves is kept. One with another start time starts afresh.
    pub fn sync(&mut self, list: &[Listing]) {
        self.keep_notices(list);
        let served = !self.endpoints.is_empty() && self.expected_pace(1.0).is_some();
        self.endpoints.retain(|id, _| list.iter().any(|l| l.id == *id));
        for listing in list {
            match self.endpoints.get_mut(&listing.id) {
                Some(e) if e.listing.is_same(listing) => e.listing = listing.clone(),
                _ => {
                    let known = self.unlisted.shift_remove(&listing.incarnation());
                    let endpoint =
                        Endpoint::with_notices(listing.clone(), known.unwrap_or_default());
                    self.endpoints.insert(listing.id.clone(), endpoint);
                    if served && let Some(e) = self.endpoints.get_mut(&listing.id) {
                        e.learned.probe();
                    }
                }
            }
        }
        self.keys = self.endpoints.values().map(Endpoint::key).collect();
        self.order = (0..self.endpoints.len()).collect();
        self.order.sort_by_key(|i| self.endpoints[*i].id_hash());
        self.refreshed_at = 0;
    }

    /// Takes the time left of leaving endpoints from a list that was received now.
    pub fn note_leaving(&mut self, now: Millis) {
        self.endpoints.values_mut().for_each(|e| e.note_leaving(now));
    }

    /// Keeps what is known of the endpoints that are missing in the list.
    fn keep_notices(&mut self, list: &[Listing]) {
        for (id, endpoint) in &self.endpoints {
            if list.iter().all(|l| l.id != *id)
                && let Some(notices) = endpoint.notices()
            {
                self.unlisted.insert(endpoint.listing.incarnation(), notices);
            }
        }
        while self.unlisted.len() > MAX_UNLISTED {
            self.unlisted.shift_remove_index(0);
        }
    }

    /// Software versions of the endpoints that accept work.
    pub fn versions(&self) -> IndexSet<Software> {
        self.endpoints().filter(|e| e.accepts_work()).filter_map(Endpoint::software).collect()
    }

    /// Software versions of all endpoints that are listed.
    pub fn listed_versions(&self) -> IndexSet<Software> {
        self.endpoints().filter_map(Endpoint::software).collect()
    }

    /// An endpoint by id.
    pub fn get(&self, id: &str) -> Option<&Endpoint> {
        self.endpoints.get(id)
    }

    /// An endpoint by id, to update its state.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(id)
    }

    /// All endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }

    /// All endpoints, to update their state.
    pub fn endpoints_mut(&mut self) -> impl Iterator<Item = &mut Endpoint> {
        self.endpoints.values_mut()
    }

    /// Replaces the load placed by peers, by endpoint id.
    pub fn set_peer_loads(&mut self, loads: &IndexMap<String, Load>) {
        for (id, endpoint) in &mut self.endpoints {
            endpoint.peers = loads.get(id).copied().unwrap_or_default();
        }
    }

    /// Sets the number of this instance and of all instances that have queued work.
    pub fn set_contenders(&mut self, me: u64, waiting: Vec<u64>) {
        self.turns = (me, waiting);
    }

    /// What this instance's requests have shown of the engines' speed, for the other instances.
    pub fn samples(&self) -> Samples {
        self.samples.0
    }

    /// Sets what the requests of the other instances have shown of the engines' speed.
    pub fn set_peer_samples(&mut self, samples: Samples) {
        self.samples.1 = samples;
        self.fit_speed();
    }

    /// Speed of the engines.
    pub fn speed(&self) -> Speed {
        self.speed
    }

    fn fit_speed(&mut self) {
        let (mut all, peers) = self.samples;
        all.merge(&peers);
        self.speed = all.speed();
    }

    /// Applies what another instance tells of an endpoint's limit. Returns the change and the id of the
    /// endpoint, if it is listed and there is one.
    pub fn hear_limit(&mut self, now: Millis, report: &Report) -> Option<(Change, &str)> {
        if !self.keys.contains(&report.key) {
            return None;
        }
        let change = self.limits.hear(now, report)?;
        let endpoint = self.endpoints.values().find(|e| e.key() == report.key)?;
        Some((change, &endpoint.listing.id))
    }

    /// Forgets limits of endpoints that are gone.
    pub fn expire_limits(&mut self, now: Millis) {
        self.limits.expire(now, |key| self.keys.contains(&key));
    }

    /// Sets the typical age of the load placed by peers, in milliseconds.
    pub fn set_view_age(&mut self, age: Millis) {
        self.view_age = age;
    }

    /// Gaps or whole responses by concurrency of this instance's requests, for the other instances.
    pub fn curve(&self) -> Curve {
        self.curves.0
    }

    /// Sets the same of the other instances' requests.
    pub fn set_peer_curve(&mut self, curve: Curve) {
        self.curves.1 = curve;
    }

    /// Evidence of this instance's requests by incarnation, for the other instances.
    pub fn observed(&self, now: Millis) -> impl Iterator<Item = (u32, Observed)> {
        let known = self.endpoints.values().filter(move |e| e.learned.own.is_recent(now));
        known.map(|e| (e.key(), e.learned.own))
    }

    /// Evidence of the other instances' requests, of the endpoints in [`Self::observed`].
    pub fn peer_observed(&self, now: Millis) -> impl Iterator<Item = (u32, Observed)> {
        let known = self.endpoints.values().filter(move |e| e.learned.own.is_recent(now));
        known.map(|e| (e.key(), e.learned.peers))
    }

    /// Sets the evidence of the other instances' requests, and updates the capacities.
    pub fn set_peer_observed(&mut self, now: Millis, all: &IndexMap<u32, Observed>) {
        for e in self.endpoints.values_mut() {
            e.learned.peers = all.get(&e.key()).copied().unwrap_or_default();
        }
        self.refresh(now);
    }

    /// Predicted gap or time of a whole response at a typical endpoint, in milliseconds.
    fn expected_pace(&self, concurrency: f64) -> Option<f64> {
        let mut curve = self.curves.0;
        curve.merge(&self.curves.1);
        curve.predict(concurrency)
    }

    /// Updates the capacities of all endpoints. What all have in common is taken out: it is in the
    /// speed and the curve of the service.
    fn refresh(&mut self, now: Millis) {
        let interval = REFRESH_MS.max(self.endpoints.len() as u64 / REFRESH_ENDPOINTS);
        let recent = self.refreshed_at > 0 && now < self.refreshed_at + interval;
        if recent || !mechanism::on(Mechanism::Capacity) {
            return;
        }
        self.refreshed_at = now;
        self.apply_pending(now);
        let peers: u32 = self.endpoints.values().map(|e| e.peers.running).sum();
        let mean = f64::from(peers) / self.endpoints.len().max(1) as f64;
        let age = (self.view_age as f64 / SPREAD_AGE_MS).min(1.0);
        self.spread = SPREAD + PEER_SPREAD * age * mean;
        let logs: Vec<_> =
            self.endpoints.values().map(|e| e.learned.logs(now, &self.noise)).collect();
        let open: Vec<_> = self.endpoints.values().map(Endpoint::accepts_work).collect();
        let common = |f: fn(&(f64, f64)) -> f64| {
            let used = logs.iter().zip(&open).filter(|(_, open)| **open);
            capacity::median(used.map(|(l, _)| f(l)).collect())
        };
        let (first, pace) = (common(|l| l.0), common(|l| l.1));
        for (e, log) in self.endpoints.values_mut().zip(&logs) {
            let concurrency = e.concurrency(now);
            e.learned.see(now, concurrency);
            e.learned.refresh(now, (log.0 - first, log.1 - pace));
        }
    }

    /// Learns from the gap between two events of a stream, in milliseconds.
    pub fn record_gap(&mut self, now: Millis, endpoint: &str, ms: f64) {
        self.record_pace(now, endpoint, ms);
    }

    /// Learns from the whole response of a plain service. Called before [`Self::end`].
    pub fn record_whole(&mut self, now: Millis, placement: &Placement) {
        if self.profile.batch == 0 {
            let took = now.saturating_sub(placement.sent_at) as f64;
            self.record_pace(now, &placement.endpoint, took);
        }
    }

    /// Keeps a sample until the views show the concurrency at its time.
    fn record_pace(&mut self, now: Millis, endpoint: &str, ms: f64) {
        let key = self.endpoints.get(endpoint).map(Endpoint::key);
        if mechanism::on(Mechanism::Capacity)
            && self.pending.len() < MAX_PENDING
            && let Some(key) = key
        {
            self.pending.push_back((now, key, endpoint.to_owned(), ms));
        }
        self.refresh(now);
    }

    /// Applies the samples whose concurrency the views show by now.
    fn apply_pending(&mut self, now: Millis) {
        while self.pending.front().is_some_and(|(at, ..)| at + self.view_age <= now)
            && let Some((_, key, endpoint, ms)) = self.pending.pop_front()
        {
            // Another incarnation may have taken its place.
            if self.endpoints.get(&endpoint).is_some_and(|e| e.key() == key) {
                self.apply_pace(now, &endpoint, ms);
            }
        }
    }

    fn apply_pace(&mut self, now: Millis, endpoint: &str, ms: f64) {
        let Some(concurrency) = self.endpoints.get(endpoint).map(|e| e.learned.concurrency())
        else {
            return;
        };
        let expected = self.expected_pace(concurrency);
        let Some(e) = self.endpoints.get_mut(endpoint) else { return };
        let typical = ms.max(1.0) / e.capacity().pace;
        self.curves.0.record(concurrency, typical, expected);
        if let Some(expected) = expected {
            e.learned.own.pace.add(now, ms.max(1.0) / expected, &self.noise.1);
            self.noise.1.add(typical / expected);
        }
    }

    /// True if a request can't have its first event within its target any more, even on an idle engine
    /// that has its shared segments cached.
    pub fn is_late(&self, needs: &Requirements) -> bool {
        self.profile.batch > 0 && needs.waited as f64 + self.least_first(needs) > needs.target()
    }

    /// Time for which a request has waited, as a multiple of the time that it takes itself, in
    /// thousandths; 0 for one that is late and for a plain service, where only the arrival counts.
    pub fn stretch(&self, needs: &Requirements) -> u64 {
        if self.profile.batch == 0 || self.is_late(needs) {
            return 0;
        }
        (1_000.0 * needs.waited as f64 / self.least_first(needs).max(1.0)) as u64
    }

    /// Predicted time until the first event on an idle engine that has the shared segments cached, in
    /// milliseconds.
    fn least_first(&self, needs: &Requirements) -> f64 {
        let shared: u32 = needs.shared().iter().map(|(_, tokens)| *tokens).sum();
        self.speed.predict(needs.prompt.saturating_sub(shared))
    }

    /// Sets the number of requests with a tight gap that wait in the whole fleet.
    pub fn set_tight_waiting(&mut self, tight: u32) {
        self.tight_waiting = tight;
    }

    /// True when this instance may send queued work to an endpoint now. All instances see free
    /// capacity at the same time, so they take turns to avoid overloading the endpoint.
    fn has_turn(&self, now: Millis, id: &str) -> bool {
        let (me, waiting) = &self.turns;
        if waiting.iter().all(|w| w == me) {
            return true;
        }
        let slot = now / TURN_MS;
        let key = |w: &u64| xxh3_64_with_seed(id.as_bytes(), w ^ slot.rotate_left(32));
        waiting.iter().chain([me]).max_by_key(|w| key(w)) == Some(me)
    }

    /// Chooses an endpoint for a request. When its own partition has no capacity left, one without a
    /// tight gap may overflow into the tight partition, and one with a tight gap into the loose
    /// partition once it has waited: its events may come late there, but it is served.
    pub fn choose(&mut self, now: Millis, needs: &Requirements) -> Choice {
        self.refresh(now);
        self.choices += 1;
        let usable = self.usable(now, needs);
        if usable.is_empty() {
            return Choice::NoEndpoint;
        }
        let (limited, free) = self.split_limited(now, usable);
        let (tight, loose) = self.partition(&free);
        let is_tight = self.profile.is_tight(needs.gap);
        let own = [if is_tight { tight } else { loose }, &limited].concat();
        if own.is_empty() {
            return Choice::Full(self.least_load(&self.usable(now, needs)), Block::Limit);
        }
        match self.cheapest(now, &own, needs, false) {
            Ok(i) => self.chosen(i),
            Err(block) => match self.overflow(now, tight, loose, needs) {
                Some(i) => self.chosen(i),
                None => Choice::Full(self.least_load(&own), block),
            },
        }
    }

    /// Splits the usable endpoints into those with a limit that allows a request now, and those without
    /// one. Those with a limit are in no partition: what they take is little, and allowed at moments.
    /// Where most of them have one, the allowed ones are partitioned like others.
    fn split_limited(&mut self, now: Millis, usable: Vec<usize>) -> (Vec<usize>, Vec<usize>) {
        if !self.limits.any() {
            return (Vec::new(), usable);
        }
        let key = |i: &usize| self.endpoints[*i].key();
        let (mut limited, mut free): (Vec<usize>, Vec<usize>) =
            usable.iter().partition(|i| self.limits.holds(now, key(i)));
        let most = limited.len() > free.len();
        limited.retain(|i| self.limits.allows(now, self.endpoints[*i].key()));
        if most {
            free.append(&mut limited);
            free.sort_by_key(|i| self.endpoints[*i].id_hash());
        }
        (limited, free)
    }

    /// Like [`Self::choose`], but leaves a fraction of the endpoints' limits free for others.
    pub fn choose_within(&mut self, now: Millis, needs: &Requirements, reserve: f64) -> Choice {
        self.reserve = reserve;
        let choice = self.choose(now, needs);
        self.reserve = 0.0;
        choice
    }

    /// An endpoint of the other partition for a request that has found no capacity in its own.
    fn overflow(
        &self,
        now: Millis,
        tight: &[usize],
        loose: &[usize],
        needs: &Requirements,
    ) -> Option<usize> {
        if !self.profile.is_tight(needs.gap) {
            return self.cheapest(now, tight, needs, true).ok();
        }
        let waited = needs.waited as f64 >= MAX_PATIENCE_FRACTION * needs.target();
        if waited { self.cheapest(now, loose, needs, false).ok() } else { None }
    }

    fn chosen(&self, index: usize) -> Choice {
        let e = &self.endpoints[index];
        Choice::Chosen(e.listing.id.clone(), e.total())
    }

    /// Lowest load among the candidates.
    fn least_load(&self, candidates: &[usize]) -> Load {
        let loads = candidates.iter().map(|i| self.endpoints[*i].total());
        loads.min_by_key(|l| (l.prefill, l.running)).unwrap_or_default()
    }

    /// The candidate of lowest cost that has capacity. One that lacks cached segments is skipped
    /// until the request has waited long enough, see [`PATIENCE`], and while other prompts are pending
    /// there: recomputing would take time from them that a burst doesn't leave.
    fn cheapest(
        &self,
        now: Millis,
        candidates: &[usize],
        needs: &Requirements,
        overflow: bool,
    ) -> Result<usize, Block> {
        let home = needs.shared().last().and_then(|(segment, _)| self.home(*segment, candidates));
        let uncached: Vec<Uncached> =
            candidates.iter().map(|i| self.endpoints[*i].uncached(now, needs)).collect();
        let least = uncached.iter().map(|u| u.shared).min().unwrap_or_default();
        let mut best: Option<(f64, usize)> = None;
        let mut last = Block::Patience;
        for (&i, &uncached) in candidates.iter().zip(&uncached) {
            let e = &self.endpoints[i];
            let extra = uncached.shared - least;
            let blocked = self
                .cache_block(e, needs, extra)
                .or_else(|| self.capacity_block(now, e, needs, uncached, overflow));
            if let Some(block) = blocked {
                last = last.max(block);
                continue;
            }
            let cost = self.cost(now, e, uncached, home.map(|h| h == i));
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, i));
            }
        }
        best.map(|(_, i)| i).ok_or(last)
    }

    /// Why a request isn't sent to an endpoint that would recompute `extra` tokens of its shared
    /// segments.
    fn cache_block(&self, e: &Endpoint, needs: &Requirements, extra: u32) -> Option<Block> {
        if self.patience(needs, extra) > needs.waited as f64 {
            return Some(Block::Patience);
        }
        (extra > STEP_TOKENS && e.total().prefill > 0).then_some(Block::Recompute)
    }

    /// Maximum predicted time until the first event of a request, in milliseconds.
    fn max_first(&self, needs: &Requirements) -> f64 {
        let fraction = if self.is_late(needs) { LATE_FRACTION } else { FIRST_FRACTION };
        fraction * needs.target()
    }

    /// Time for which a request waits for an engine that has its shared segments cached, in
    /// milliseconds, rather than have `extra` tokens recomputed.
    fn patience(&self, needs: &Requirements, extra: u32) -> f64 {
        (PATIENCE * self.speed.ms(extra)).min(MAX_PATIENCE_FRACTION * needs.target())
    }

    /// Indices of the endpoints that may serve the request, in order: the healthy ones, or all that
    /// accept work if fewer than a third of them are healthy. None of them has asked for a pause.
    fn usable(&self, now: Millis, needs: &Requirements) -> Vec<usize> {
        let eligible = |accepts: &dyn Fn(&Endpoint) -> bool| -> Vec<usize> {
            let fits = |i: &usize| {
                let e = &self.endpoints[*i];
                let runs_version = needs.software.is_none() || needs.software == e.software();
                runs_version
                    && accepts(e)
                    && !e.is_paused(now)
                    && !needs.avoid.contains(&e.listing.id)
            };
            self.order.iter().copied().filter(fits).collect()
        };
        let mut open = eligible(&Endpoint::accepts_work);
        if !self.endpoints.values().any(Endpoint::accepts_work) {
            open = eligible(&|e| e.may_be_last(now));
        }
        let healthy = |i: &usize| self.endpoints[*i].is_healthy(now);
        let healthy: Vec<usize> = open.iter().copied().filter(healthy).collect();
        if healthy.len() * 3 >= open.len() { healthy } else { open }
    }

    /// Splits the usable endpoints into the tight and the loose partition, so that the prefill of
    /// long prompts doesn't delay the events of tight streams.
    fn partition<'a>(&mut self, usable: &'a [usize]) -> (&'a [usize], &'a [usize]) {
        let n = usable.len();
        if !self.profile.is_partitioned() || n < 2 {
            return (usable, usable);
        }
        let least = ((n as f64 * TIGHT_SHARE.0).ceil() as usize).clamp(1, n - 1);
        let most = ((n as f64 * TIGHT_SHARE.1) as usize).clamp(least, n - 1);
        let tight: u32 = self.endpoints.values().map(|e| e.total().tight).sum();
        let each = f64::from(self.profile.batch) * TIGHT_FILL;
        let wanted = (f64::from(tight + self.tight_waiting) / each).ceil() as usize;
        // Shrinks only to one engine above the demand, so that the partition doesn't oscillate.
        self.tight_count = wanted.max(self.tight_count.min(wanted + 1)).clamp(least, most);
        usable.split_at(self.tight_count)
    }

    /// Why the endpoint has no capacity for the request now, which has `uncached` tokens to prefill
    /// there. With `overflow`, it is a request without a tight gap in the tight partition.
    fn capacity_block(
        &self,
        now: Millis,
        e: &Endpoint,
        needs: &Requirements,
        uncached: Uncached,
        overflow: bool,
    ) -> Option<Block> {
        let total = e.total();
        if self.profile.batch == 0 {
            let slots = f64::from(e.listing.slots.max(1));
            let share = e.capacity().share * (1.0 - self.reserve);
            let limit = (slots * PLAIN_DEPTH * share).max(1.0);
            let full = e.concurrency(now) >= limit;
            return full.then_some(Block::Batch);
        }
        let uncached = uncached.total();
        if overflow && total.prefill + uncached > OVERFLOW_LIMIT {
            return Some(Block::Overflow);
        }
        if total.running == 0 {
            return None;
        }
        if uncached > TURN_MIN_TOKENS && !self.has_turn(now, &e.listing.id) {
            return Some(Block::Turn);
        }
        let factor = needs.priority_factor() * (1.0 - self.reserve);
        let batch = f64::from(self.profile.batch);
        let capacity = e.capacity();
        let fraction = (BATCH_FRACTION * factor).min(MAX_BATCH_FRACTION) * capacity.share;
        if f64::from(total.running) >= batch * fraction {
            return Some(Block::Batch);
        }
        if self.misses_gap(e, needs) {
            return Some(Block::Slow);
        }
        let first = capacity.first * self.speed.ms(total.prefill + uncached);
        if total.prefill > 0 && first > self.max_first(needs) * factor {
            return Some(Block::Prefill);
        }
        let claimed = total.memory + needs.prompt + needs.output;
        let memory = f64::from(self.profile.memory) * MEMORY_FRACTION;
        (f64::from(claimed) > memory).then_some(Block::Memory)
    }

    /// True if one more stream with a tight gap would miss it here, as the endpoint is slower than
    /// its service.
    fn misses_gap(&self, e: &Endpoint, needs: &Requirements) -> bool {
        let pace = e.capacity().pace;
        pace > 1.0
            && self.profile.is_tight(needs.gap)
            && self
                .expected_pace(f64::from(e.total().running + 1))
                .is_some_and(|ms| pace * ms > needs.gap as f64)
    }

    /// Random part of the cost of an endpoint, in requests; 0 for an instance without a number.
    fn random_part(&self, e: &Endpoint, most: f64) -> f64 {
        if self.turns.0 == 0 || !mechanism::on(Mechanism::Capacity) {
            return 0.0;
        }
        let draw = xxh3_64_with_seed(&self.choices.to_le_bytes(), self.turns.0 ^ e.id_hash());
        self.spread.min(most) * draw as f64 / u64::MAX as f64
    }

    /// Cost of placing a request on an endpoint, in prompt tokens; in requests for a plain service.
    fn cost(&self, now: Millis, e: &Endpoint, uncached: Uncached, home: Option<bool>) -> f64 {
        let (total, capacity) = (e.total(), e.capacity());
        if self.profile.batch == 0 {
            let remote = if e.listing.domain == self.domain { 0.0 } else { REMOTE_COST };
            let load = e.concurrency(now) + 1.0 + self.random_part(e, f64::MAX);
            return capacity.pace * load + remote;
        }
        let mut cost = f64::from(total.prefill) + f64::from(uncached.own);
        cost = capacity.first * (cost + RECOMPUTE_COST * f64::from(uncached.shared));
        let most = if home.is_some() { MAX_HOME_SPREAD } else { f64::MAX };
        let running = f64::from(total.running) + self.random_part(e, most);
        cost += RUNNING_COST * capacity.pace * running;
        if home == Some(true) { cost - HOME_DISCOUNT } else { cost }
    }

    /// Home endpoint of a segment by rendezvous hashing: the same on every instance.
    fn home(&self, segment: u64, candidates: &[usize]) -> Option<usize> {
        candidates
            .iter()
            .copied()
            .max_by_key(|i| rendezvous_score(self.endpoints[*i].id_hash(), segment))
    }

    /// Records that a request is sent to an endpoint, and adds its load there.
    pub fn start(&mut self, now: Millis, id: &str, needs: &Requirements) -> Placement {
        let load = self.load_of(now, id, needs);
        let mut uncached = Uncached::default();
        let (mut work, mut factor) = (0, 1.0);
        if let Some(e) = self.endpoints.get_mut(id) {
            uncached = e.uncached(now, needs);
            work = e.total().prefill + load.prefill;
            e.mark_cached(now, needs.shared().iter().map(|(id, _)| *id));
            e.own.add(load);
            factor = e.capacity().first;
            self.limits.record(now, e.key());
        }
        Placement {
            endpoint: id.to_owned(),
            load,
            uncached,
            sent_at: now,
            work,
            predicted: (factor * self.speed.predict(work)) as u64,
        }
    }

    /// Removes the prefill load of a request, and learns from the time it took. Called on its first
    /// event, which shows that prefill is complete.
    pub fn finish_prefill(&mut self, now: Millis, placement: &mut Placement) {
        let took = now.saturating_sub(placement.sent_at);
        let expected = self.speed.predict(placement.work);
        let mut typical = took;
        if let Some(e) = self.endpoints.get_mut(&placement.endpoint)
            && mechanism::on(Mechanism::Capacity)
        {
            let ratio = took.max(1) as f64 / expected.max(1.0);
            e.learned.own.first.add(now, ratio, &self.noise.0);
            typical = (took as f64 / e.capacity().first) as u64;
            self.noise.0.add(typical.max(1) as f64 / expected.max(1.0));
        }
        self.samples.0.record(placement.work, typical, expected);
        self.fit_speed();
        if let Some(e) = self.endpoints.get_mut(&placement.endpoint) {
            e.own.prefill = e.own.prefill.saturating_sub(placement.load.prefill);
        }
        placement.load.prefill = 0;
    }

    /// Removes the load of a request that has ended at its endpoint.
    pub fn end(&mut self, placement: &Placement) {
        if let Some(e) = self.endpoints.get_mut(&placement.endpoint) {
            e.own.sub(placement.load);
        }
    }
}

/// Pseudo-random score for a pair of hashes.
fn rendezvous_score(a: u64, b: u64) -> u64 {
    xxh3_64_with_seed(&a.to_le_bytes(), b)
}
