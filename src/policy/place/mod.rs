//! Placement: which endpoint of a service takes a request, or that none should now.
//!
//! Load patterns answered here: a burst of long prompts that fills engines with prefill work; a
//! burst of short streams whose target gap the prefill of neighbours would break; shared parts
//! of prompts that are best read once; a quarter of the engines gone at once.

mod endpoint;

pub use endpoint::{Endpoint, Listing, Load, Uncached};

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::adapter::clock::Millis;

/// Prompt tokens that may wait for prefill on an engine, those of the next request included: about
/// two thirds of a second of work on the engines of the site sheets.
const PREFILL_LIMIT: f64 = 40_000.0;
/// Most of its own prompt tokens that count for a request there, so that the longest prompts find
/// room too.
const OWN_PREFILL_LIMIT: u32 = 16_000;
/// Part of a batch that is filled by choice; a fuller batch decodes too slowly.
const BATCH_FRACTION: f64 = 0.85;
/// Most of a batch that even the most urgent fill: in a full one they would preempt each other.
const MAX_BATCH_FRACTION: f64 = 0.9;
/// Part of an engine's memory that requests may claim; the rest holds shared prompt parts.
const MEMORY_FRACTION: f64 = 0.8;
/// Cost of a running request in prompt tokens: it slows every step a little.
const RUNNING_COST: f64 = 120.0;
/// Cost of another failure domain, in requests of a plain service.
const REMOTE_COST: f64 = 0.4;
/// Plain requests held by an endpoint for each of its slots before more are held back.
const PLAIN_DEPTH: f64 = 2.0;
/// Tight streams that one engine of the tight part is meant to run, as part of its batch.
const TIGHT_FILL: f64 = 0.55;
/// Least and most part of the engines that serve tight streams only.
const TIGHT_SHARE: (f64, f64) = (0.25, 0.8);
/// A service is is_partitioned when its loosest target gap is this many times its tightest.
const PARTITION_RATIO: u64 = 2;
/// Cost of reading a shared part once more, for each of its tokens: it is work done twice, and
/// takes memory twice.
const REREAD_COST: f64 = 6.0;
/// Discount at the endpoint that is meant to keep the parts, in prompt tokens: it decides where
/// nobody keeps them yet.
const HOME_DISCOUNT: f64 = 400.0;
/// Time for which a request waits for an engine that keeps its shared parts, in milliseconds for
/// each token that another one would read again: about four times the time of reading it.
const AFFINITY_MS: f64 = 0.06;
/// Prompt tokens that an engine reads in one step, at most.
const STEP_TOKENS: u32 = 2_048;
/// Prompt tokens that the tight part takes of requests without a tight gap: they pass between two
/// events.
const OVERFLOW_LIMIT: u32 = 3 * STEP_TOKENS;
/// Part of the room that requests of the ranks 0, 1 and later may fill, so that the more urgent
/// still find candidates.
const RANK_FACTORS: [f64; 3] = [1.2, 1.0, 0.8];

/// Prompt tokens to be read from which a request needs its instance's turn at an endpoint.
const TURN_MIN_TOKENS: u32 = 2 * STEP_TOKENS;
/// Time for which one instance may send queued work to an endpoint, in milliseconds: about the
/// time after which the others have heard of it.
const TURN_MS: u64 = 40;

/// What a request needs.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Requirements {
    /// Parts of its prompt: id and tokens.
    pub parts: Vec<(u64, u32)>,
    /// Tokens of its prompt.
    pub prompt: u32,
    /// Tokens that it may generate.
    pub output: u32,
    /// Longest pause between events for its target, in milliseconds; 0 for none.
    pub gap: u64,
    /// Its priority, 0 first.
    pub rank: u8,
    /// Time since it came, in milliseconds.
    pub waited: u64,
    /// Endpoints that must not be chosen.
    pub avoid: Vec<String>,
}

impl Requirements {
    /// Parts that other requests share: all but the last.
    pub fn shared(&self) -> &[(u64, u32)] {
        &self.parts[..self.parts.len().saturating_sub(1)]
    }

    fn rank_factor(&self) -> f64 {
        RANK_FACTORS[usize::from(self.rank).min(RANK_FACTORS.len() - 1)]
    }
}

/// What a service is like.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Profile {
    /// Requests that one engine runs at once; 0 for a plain service.
    pub batch: u32,
    /// Tokens that fit an engine's memory.
    pub memory: u32,
    /// Tightest and loosest target gap in milliseconds.
    pub gaps: (u64, u64),
}

impl Profile {
    fn is_partitioned(&self) -> bool {
        self.batch > 0 && self.gaps.0 > 0 && self.gaps.1 >= PARTITION_RATIO * self.gaps.0
    }

    /// True for requests that go to the tight part.
    pub fn is_tight(&self, gap: u64) -> bool {
        self.is_partitioned() && gap > 0 && gap * 4 <= self.gaps.0 * 5
    }
}

/// A choice.
#[derive(Debug, Clone, PartialEq)]
pub enum Choice {
    /// This endpoint takes the request; with the load that decided it.
    Chosen(String, Load),
    /// All that may take it are full, or it is another instance's turn; with the least load.
    Full(Load),
    /// No endpoint may take it.
    NoEndpoint,
}

/// Work that was placed, to be given back with [`Service::end`].
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// Endpoint.
    pub endpoint: String,
    /// What it adds to the endpoint's load.
    pub load: Load,
    /// Prompt tokens that the endpoint had to read when it was sent, as far as known.
    pub uncached: Uncached,
}

/// The endpoints of one service as one instance sees them.
#[derive(Debug, Default)]
pub struct Service {
    /// What the service is like.
    pub profile: Profile,
    domain: String,
    endpoints: IndexMap<String, Endpoint>,
    /// Positions of the endpoints by the hash of their ids: the same order on every instance.
    order: Vec<usize>,
    tight_count: usize,
    /// Requests with a tight gap that wait in the fleet.
    tight_waiting: u32,
    /// This instance and those that have work waiting, as numbers.
    turns: (u64, Vec<u64>),
}

impl Service {
    /// A service seen from a failure domain.
    pub fn new(domain: &str) -> Self {
        Self { domain: domain.to_owned(), ..Self::default() }
    }

    /// Takes over the list of endpoints. Those no longer there are dropped.
    pub fn sync(&mut self, list: &[Listing]) {
        self.endpoints.retain(|id, _| list.iter().any(|l| l.id == *id));
        for listing in list {
            match self.endpoints.get_mut(&listing.id) {
                Some(e) if e.listing.born == listing.born => e.listing = listing.clone(),
                _ => {
                    let endpoint = Endpoint::new(listing.clone());
                    self.endpoints.insert(listing.id.clone(), endpoint);
                }
            }
        }
        self.order = (0..self.endpoints.len()).collect();
        self.order.sort_by_key(|i| self.endpoints[*i].id_hash());
    }

    /// An endpoint by id.
    pub fn get(&self, id: &str) -> Option<&Endpoint> {
        self.endpoints.get(id)
    }

    /// An endpoint by id, to record what happened.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(id)
    }

    /// All endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }

    /// Replaces what peers have placed, by endpoint.
    pub fn set_peer_loads(&mut self, loads: &IndexMap<String, Load>) {
        for (id, endpoint) in &mut self.endpoints {
            endpoint.peers = loads.get(id).copied().unwrap_or_default();
        }
    }

    /// Names this instance, and all instances that have work waiting.
    pub fn set_contenders(&mut self, me: u64, waiting: Vec<u64>) {
        self.turns = (me, waiting);
    }

    /// Tells how many requests with a tight gap wait in the fleet.
    pub fn set_tight_waiting(&mut self, tight: u32) {
        self.tight_waiting = tight;
    }

    /// True when queued work for an endpoint may come from this instance now. Room that shows at
    /// an endpoint shows to all instances at once; they take turns at it.
    fn has_turn(&self, now: Millis, id: &str) -> bool {
        let (me, waiting) = &self.turns;
        if waiting.iter().all(|w| w == me) {
            return true;
        }
        let slot = now / TURN_MS;
        let key = |w: &u64| xxh3_64_with_seed(id.as_bytes(), w ^ slot.rotate_left(32));
        waiting.iter().chain([me]).max_by_key(|w| key(w)) == Some(me)
    }

    /// Chooses an endpoint.
    pub fn choose(&mut self, now: Millis, needs: &Requirements) -> Choice {
        let usable = self.usable(now, needs);
        if usable.is_empty() {
            return Choice::NoEndpoint;
        }
        let (tight, loose) = self.partition(&usable);
        let is_tight = self.profile.is_tight(needs.gap);
        let own = if is_tight { tight } else { loose };
        match self.cheapest(now, own, needs, false) {
            Some(i) => self.chosen(i),
            None if is_tight => Choice::Full(self.least_load(own)),
            None => match self.cheapest(now, tight, needs, true) {
                Some(i) => self.chosen(i),
                None => Choice::Full(self.least_load(own)),
            },
        }
    }

    fn chosen(&self, index: usize) -> Choice {
        let e = &self.endpoints[index];
        Choice::Chosen(e.listing.id.clone(), e.total())
    }

    /// The least load of candidates endpoints.
    fn least_load(&self, candidates: &[usize]) -> Load {
        let loads = candidates.iter().map(|i| self.endpoints[*i].total());
        loads.min_by_key(|l| (l.prefill, l.running)).unwrap_or_default()
    }

    fn cheapest(
        &self,
        now: Millis,
        candidates: &[usize],
        needs: &Requirements,
        overflow: bool,
    ) -> Option<usize> {
        let home = needs.shared().last().and_then(|(part, _)| self.home(*part, candidates));
        let uncached: Vec<Uncached> =
            candidates.iter().map(|i| self.endpoints[*i].uncached(now, needs)).collect();
        let least = uncached.iter().map(|u| u.shared).min().unwrap_or_default();
        let mut best: Option<(f64, usize)> = None;
        for (&i, &uncached) in candidates.iter().zip(&uncached) {
            let e = &self.endpoints[i];
            let extra = f64::from(uncached.shared - least);
            if extra * AFFINITY_MS > needs.waited as f64
                || !self.has_room(now, e, needs, uncached, overflow)
            {
                continue;
            }
            let cost = self.cost(e, uncached, home == Some(i));
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, i));
            }
        }
        best.map(|(_, i)| i)
    }

    /// Endpoints that may be used, in order: healthy ones, or all if too many seem ill.
    fn usable(&self, now: Millis, needs: &Requirements) -> Vec<usize> {
        let eligible = |i: &usize| {
            let e = &self.endpoints[*i];
            e.accepts_work() && !needs.avoid.contains(&e.listing.id)
        };
        let open: Vec<usize> = self.order.iter().copied().filter(eligible).collect();
        let healthy = |i: &usize| self.endpoints[*i].is_healthy(now);
        let healthy: Vec<usize> = open.iter().copied().filter(healthy).collect();
        if healthy.len() * 3 >= open.len() { healthy } else { open }
    }

    /// Parts the usable endpoints: the first ones serve tight streams first, so that long prompts
    /// don't hold up their events.
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
        // Shrinks one step behind demand, so that the tight_count doesn't swing.
        self.tight_count = wanted.max(self.tight_count.min(wanted + 1)).clamp(least, most);
        usable.split_at(self.tight_count)
    }

    /// True when the endpoint may take the request now, which has `uncached` tokens to be read. A
    /// `overflow` is one without a tight gap in the tight part.
    fn has_room(
        &self,
        now: Millis,
        e: &Endpoint,
        needs: &Requirements,
        uncached: Uncached,
        overflow: bool,
    ) -> bool {
        let total = e.total();
        if self.profile.batch == 0 {
            let slots = f64::from(e.listing.slots.max(1));
            return f64::from(total.running.max(e.reported())) < slots * PLAIN_DEPTH;
        }
        let uncached = uncached.total();
        if overflow && total.prefill + uncached > OVERFLOW_LIMIT {
            return false;
        }
        if uncached > TURN_MIN_TOKENS && total.running > 0 && !self.has_turn(now, &e.listing.id) {
            return false;
        }
        let factor = needs.rank_factor();
        let batch = f64::from(self.profile.batch);
        let claimed = total.memory + needs.prompt + needs.output;
        let memory = f64::from(self.profile.memory) * MEMORY_FRACTION;
        total.running == 0
            || (f64::from(total.running)
                < batch * (BATCH_FRACTION * factor).min(MAX_BATCH_FRACTION)
                && f64::from(total.prefill + uncached.min(OWN_PREFILL_LIMIT))
                    <= PREFILL_LIMIT * factor
                && f64::from(claimed) <= memory)
    }

    fn cost(&self, e: &Endpoint, uncached: Uncached, home: bool) -> f64 {
        let total = e.total();
        if self.profile.batch == 0 {
            let remote = if e.listing.domain == self.domain { 0.0 } else { REMOTE_COST };
            return f64::from(total.running.max(e.reported())) + remote;
        }
        let mut cost = f64::from(total.prefill) + RUNNING_COST * f64::from(total.running);
        cost += f64::from(uncached.own) + REREAD_COST * f64::from(uncached.shared);
        if home { cost - HOME_DISCOUNT } else { cost }
    }

    /// The endpoint that is meant to keep a part: the same on every instance.
    fn home(&self, part: u64, candidates: &[usize]) -> Option<usize> {
        candidates
            .iter()
            .copied()
            .max_by_key(|i| rendezvous_score(self.endpoints[*i].id_hash(), part))
    }

    /// Records that a request goes to an endpoint.
    pub fn start(&mut self, now: Millis, id: &str, needs: &Requirements) -> Placement {
        let tight = self.profile.is_tight(needs.gap);
        let mut load = Load {
            running: 1,
            prefill: 0,
            memory: needs.prompt + needs.output / 2,
            tight: u32::from(tight),
        };
        let mut uncached = Uncached::default();
        if let Some(e) = self.endpoints.get_mut(id) {
            uncached = e.uncached(now, needs);
            load.prefill = uncached.total();
            e.mark_cached(now, needs.shared().iter().map(|(id, _)| *id));
            e.own.add(load);
        }
        Placement { endpoint: id.to_owned(), load, uncached }
    }

    /// The first event of a request is there, so its prompt has been read.
    pub fn finish_prefill(&mut self, placement: &mut Placement) {
        if let Some(e) = self.endpoints.get_mut(&placement.endpoint) {
            e.own.prefill = e.own.prefill.saturating_sub(placement.load.prefill);
        }
        placement.load.prefill = 0;
    }

    /// A request has left its endpoint.
    pub fn end(&mut self, placement: &Placement) {
        if let Some(e) = self.endpoints.get_mut(&placement.endpoint) {
            e.own.sub(placement.load);
        }
    }
}

/// A draw for a pair of hashes.
fn rendezvous_score(a: u64, b: u64) -> u64 {
    xxh3_64_with_seed(&a.to_le_bytes(), b)
}
