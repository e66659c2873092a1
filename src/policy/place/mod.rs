//! Placement: which endpoint of a service takes a request, or that none should now.
//!
//! Load patterns answered here: a burst of long prompts that fills engines with prefill work; a
//! burst of short streams whose target gap the prefill of neighbours would break; shared parts
//! of prompts that are best read once; a quarter of the engines gone at once.

mod endpoint;

pub use endpoint::{Endpoint, Listing, Load};

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::adapter::clock::Millis;

/// Prompt tokens that may wait for prefill on an engine before more is held back: about half a
/// second of work on the engines of the site sheets.
const PREFILL_LIMIT: u32 = 32_000;
/// Part of a batch that is filled by choice; a fuller batch decodes too slowly.
const BATCH_PART: f64 = 0.7;
/// Part of an engine's memory that requests may claim; the rest holds shared prompt parts.
const MEMORY_PART: f64 = 0.8;
/// Cost of a running request in prompt tokens: it slows every step a little.
const RUNNING_COST: f64 = 120.0;
/// Cost of another failure domain, in requests of a plain service.
const FAR_COST: f64 = 0.4;
/// Plain requests held by an endpoint for each of its slots before more are held back.
const PLAIN_DEPTH: f64 = 2.0;
/// Tight streams that one engine of the tight part is meant to run, as part of its batch.
const TIGHT_FILL: f64 = 0.45;
/// Least and most part of the engines that serve tight streams only.
const TIGHT_SHARE: (f64, f64) = (0.25, 0.5);
/// A service is parted when its loosest target gap is this many times its tightest.
const PART_RATIO: u64 = 2;
/// Discount on a shared part that the engine is only expected to keep.
const HOME_TRUST: f64 = 0.5;

/// What a request needs.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Ask {
    /// Parts of its prompt: id and tokens.
    pub parts: Vec<(u64, u32)>,
    /// Tokens of its prompt.
    pub prompt: u32,
    /// Tokens that it may generate.
    pub output: u32,
    /// Longest pause between events for its target, in milliseconds; 0 for none.
    pub gap: u64,
    /// Endpoints that must not be chosen.
    pub avoid: Vec<String>,
}

impl Ask {
    /// The deepest part that other requests share.
    fn shared(&self) -> Option<u64> {
        let n = self.parts.len();
        n.checked_sub(2).map(|i| self.parts[i].0)
    }
}

/// What a service is like.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Shape {
    /// Requests that one engine runs at once; 0 for a plain service.
    pub batch: u32,
    /// Tokens that fit an engine's memory.
    pub memory: u32,
    /// Tightest and loosest target gap in milliseconds.
    pub gaps: (u64, u64),
}

impl Shape {
    fn parted(&self) -> bool {
        self.batch > 0 && self.gaps.0 > 0 && self.gaps.1 >= PART_RATIO * self.gaps.0
    }

    /// True for requests that go to the tight part.
    fn is_tight(&self, gap: u64) -> bool {
        self.parted() && gap > 0 && gap * 4 <= self.gaps.0 * 5
    }
}

/// A choice.
#[derive(Debug, Clone, PartialEq)]
pub enum Choice {
    /// This endpoint takes the request; with the load that decided it.
    Take(String, Load),
    /// All that may take it are full.
    Full,
    /// No endpoint may take it.
    Nobody,
}

/// Work that was placed, to be given back with [`Service::end`].
#[derive(Debug, Clone, PartialEq)]
pub struct Placed {
    /// Endpoint.
    pub endpoint: String,
    /// What it adds to the endpoint's load.
    pub load: Load,
}

/// The endpoints of one service as one instance sees them.
#[derive(Debug, Default)]
pub struct Service {
    /// What the service is like.
    pub shape: Shape,
    domain: String,
    endpoints: IndexMap<String, Endpoint>,
    parting: usize,
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
                    let fresh = Endpoint::new(listing.clone());
                    self.endpoints.insert(listing.id.clone(), fresh);
                }
            }
        }
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
    pub fn all(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }

    /// Replaces what peers have placed, by endpoint.
    pub fn peers(&mut self, loads: &IndexMap<String, Load>) {
        for (id, endpoint) in &mut self.endpoints {
            endpoint.peers = loads.get(id).copied().unwrap_or_default();
        }
    }

    /// Chooses an endpoint.
    pub fn choose(&mut self, now: Millis, ask: &Ask) -> Choice {
        let usable = self.usable(now, ask);
        if usable.is_empty() {
            return Choice::Nobody;
        }
        let pool = self.part(&usable, ask);
        let best = pool
            .iter()
            .filter(|id| self.has_room(&self.endpoints[id.as_str()], ask))
            .map(|id| (self.cost(now, &self.endpoints[id.as_str()], ask, &pool), id))
            .min_by(|a, b| a.0.total_cmp(&b.0));
        match best {
            Some((_, id)) => Choice::Take(id.clone(), self.endpoints[id.as_str()].total()),
            None => Choice::Full,
        }
    }

    /// Endpoints that may be used: healthy ones, or all if too many seem ill.
    fn usable(&self, now: Millis, ask: &Ask) -> Vec<String> {
        let open = self.endpoints.values().filter(|e| e.open());
        let open: Vec<&Endpoint> = open.filter(|e| !ask.avoid.contains(&e.listing.id)).collect();
        let well: Vec<&Endpoint> = open.iter().copied().filter(|e| e.well(now)).collect();
        let chosen = if well.len() * 3 >= open.len() { well } else { open };
        chosen.iter().map(|e| e.listing.id.clone()).collect()
    }

    /// The part of the usable endpoints that serves requests of this kind, in rendezvous order.
    fn part(&mut self, usable: &[String], ask: &Ask) -> Vec<String> {
        let mut ranked = usable.to_vec();
        if !self.shape.parted() || ranked.len() < 2 {
            return ranked;
        }
        ranked.sort_by_key(|id| xxh3_64_with_seed(id.as_bytes(), 0));
        let n = ranked.len();
        let least = ((n as f64 * TIGHT_SHARE.0).ceil() as usize).clamp(1, n - 1);
        let most = ((n as f64 * TIGHT_SHARE.1) as usize).clamp(least, n - 1);
        let tight: u32 = self.endpoints.values().map(|e| e.total().tight).sum();
        let each = f64::from(self.shape.batch) * TIGHT_FILL;
        let want = (f64::from(tight) / each).ceil() as usize;
        // Shrinks one step behind demand, so that the border doesn't swing.
        self.parting = want.max(self.parting.min(want + 1)).clamp(least, most);
        let at = self.parting;
        if self.shape.is_tight(ask.gap) {
            ranked.truncate(at)
        } else {
            drop(ranked.drain(..at))
        }
        ranked
    }

    fn has_room(&self, e: &Endpoint, ask: &Ask) -> bool {
        let total = e.total();
        if self.shape.batch == 0 {
            let slots = f64::from(e.listing.slots.max(1));
            return f64::from(total.running.max(e.reported())) < slots * PLAIN_DEPTH;
        }
        let batch = f64::from(self.shape.batch);
        let part = if self.shape.is_tight(ask.gap) { 1.0 } else { BATCH_PART };
        let claimed = total.memory + ask.prompt + ask.output;
        let memory = f64::from(self.shape.memory) * MEMORY_PART;
        total.running == 0
            || (f64::from(total.running) < batch * part
                && total.prefill <= PREFILL_LIMIT
                && f64::from(claimed) <= memory)
    }

    fn cost(&self, now: Millis, e: &Endpoint, ask: &Ask, pool: &[String]) -> f64 {
        let total = e.total();
        if self.shape.batch == 0 {
            let far = if e.listing.domain == self.domain { 0.0 } else { FAR_COST };
            return f64::from(total.running.max(e.reported())) + far;
        }
        let home = ask.shared().and_then(|part| home(part, pool));
        let mut fresh = f64::from(e.uncached(now, ask));
        if home == Some(e.listing.id.as_str()) {
            fresh -= HOME_TRUST * f64::from(shared_tokens(ask)).min(fresh);
        }
        f64::from(total.prefill) + fresh + RUNNING_COST * f64::from(total.running)
    }

    /// Records that a request goes to an endpoint.
    pub fn start(&mut self, now: Millis, id: &str, ask: &Ask) -> Placed {
        let tight = self.shape.is_tight(ask.gap);
        let mut load = Load {
            running: 1,
            prefill: 0,
            memory: ask.prompt + ask.output / 2,
            tight: u32::from(tight),
        };
        if let Some(e) = self.endpoints.get_mut(id) {
            load.prefill = e.uncached(now, ask);
            e.remember(now, ask);
            e.own.add(load);
        }
        Placed { endpoint: id.to_owned(), load }
    }

    /// The first event of a request is there, so its prompt has been read.
    pub fn first(&mut self, placed: &mut Placed) {
        if let Some(e) = self.endpoints.get_mut(&placed.endpoint) {
            e.own.prefill = e.own.prefill.saturating_sub(placed.load.prefill);
        }
        placed.load.prefill = 0;
    }

    /// A request has left its endpoint.
    pub fn end(&mut self, placed: &Placed) {
        if let Some(e) = self.endpoints.get_mut(&placed.endpoint) {
            e.own.sub(placed.load);
        }
    }
}

/// Tokens that others share with the request.
fn shared_tokens(ask: &Ask) -> u32 {
    let n = ask.parts.len().saturating_sub(1);
    ask.parts[..n].iter().map(|(_, t)| *t).sum()
}

/// The endpoint that is meant to keep a part: the same on every instance.
fn home(part: u64, pool: &[String]) -> Option<&str> {
    pool.iter().max_by_key(|id| xxh3_64_with_seed(id.as_bytes(), part)).map(String::as_str)
}
